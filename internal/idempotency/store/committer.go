package store

import (
	"context"
	"errors"
	"fmt"
	"runtime"

	"go.etcd.io/bbolt"

	"lapisspread/internal/idempotency"
)

// maxBatch is the maximum number of records in one transaction.
const maxBatch = 512

// pendingWrite is one record that waits to be committed.
type pendingWrite struct {
	record idempotency.Record
	remove bool       // delete the intent of record.Key instead of writing the record
	done   chan error // buffered for the result, so that the committer never blocks
}

// submit queues a write and waits for its result.
func (s *Store) submit(ctx context.Context, w *pendingWrite) error {
	select {
	case s.queue <- w:
	case <-s.stop:
		return ErrClosed
	case <-ctx.Done():
		return context.Cause(ctx)
	}
	select {
	case err := <-w.done:
		return err
	case <-s.done:
		// The committer may have sent the result just before it returned.
		select {
		case err := <-w.done:
			return err
		default:
			return ErrClosed
		}
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// runCommitter commits the queued writes, one transaction at a time, until the store is closed.
func (s *Store) runCommitter() {
	defer close(s.done)
	batch := make([]*pendingWrite, 0, maxBatch)
	for {
		batch = s.nextBatch(batch[:0])
		if len(batch) == 0 {
			return
		}
		err := s.commit(batch)
		s.commits.Add(1)
		for _, w := range batch {
			w.done <- err
		}
	}
}

// nextBatch waits for a write, and returns it with all other queued writes up to maxBatch. It appends to batch, and
// appends nothing if the store is closed.
func (s *Store) nextBatch(batch []*pendingWrite) []*pendingWrite {
	select {
	case w := <-s.queue:
		batch = append(batch, w)
	case <-s.stop:
		return batch
	}
	runtime.Gosched() // lets goroutines that are about to submit a write share the flush
	for len(batch) < maxBatch {
		select {
		case w := <-s.queue:
			batch = append(batch, w)
		default:
			return batch
		}
	}
	return batch
}

// commit writes a batch in one transaction, and then records the number of the transaction in the witness.
func (s *Store) commit(batch []*pendingWrite) error {
	err := s.db.Update(func(tx *bbolt.Tx) error {
		return errors.Join(s.apply(tx, batch), s.advanceSequence(tx))
	})
	if err == nil {
		err = s.writeWitness()
	}
	if err != nil {
		return fmt.Errorf("idempotency store: committing a transaction: %w", err)
	}
	return nil
}

// apply writes a batch within a transaction, and deletes entries that have expired.
func (s *Store) apply(tx *bbolt.Tx, batch []*pendingWrite) error {
	entries := tx.Bucket(entriesBucket)
	now := s.clock.now()
	for _, w := range batch {
		key := encodeKey(w.record.Key)
		var err error
		switch {
		case w.remove:
			err = entries.Delete(key)
		case w.record.Completed:
			err = putExpiring(tx, key, stateCompleted, now.Add(s.window), w.record.Answer)
		case w.record.Uncertain:
			err = putExpiring(tx, key, stateUncertain, now.Add(s.uncertainWindow), nil)
		default:
			err = entries.Put(key, encodeValue(stateIntent, now, nil))
		}
		if err != nil {
			return err
		}
	}
	return deleteExpired(tx, now)
}

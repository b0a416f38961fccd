package store

import (
	"encoding/binary"
	"errors"
	"io"
	"os"
	"time"

	"go.etcd.io/bbolt"
)

// sequenceLength is the length of the witness in bytes.
const sequenceLength = 8

// openWitness opens the witness and compares the ledger with it. It sets lostAt if the ledger lacks entries. lostAt is
// persisted, because requests whose entries were lost may be retransmitted to a later process too.
func (s *Store) openWitness(path string, firstProcess bool) error {
	var err error
	if s.witness, err = os.OpenFile(path, os.O_CREATE|os.O_RDWR, fileMode); err != nil {
		return err
	}
	var witnessSequence [sequenceLength]byte
	n, err := s.witness.ReadAt(witnessSequence[:], 0)
	if err != nil && !errors.Is(err, io.EOF) {
		return errors.Join(err, s.witness.Close())
	}
	err = s.db.Update(func(tx *bbolt.Tx) error {
		meta, err := tx.CreateBucketIfNotExists(metaBucket)
		if err != nil {
			return err
		}
		sequence, found := getNumber(meta, sequenceKey)
		lacksEntries := !found || n < sequenceLength || sequence < binary.BigEndian.Uint64(witnessSequence[:])
		if at, found := getNumber(meta, lostAtKey); found {
			s.lostAt = time.Unix(0, int64(at))
		}
		if lacksEntries && !firstProcess {
			s.lostAt = s.clock.now()
			err = putNumber(meta, lostAtKey, uint64(s.lostAt.UnixNano()))
		}
		return errors.Join(err, s.advanceSequence(tx))
	})
	if err == nil {
		err = s.writeWitness()
	}
	if err != nil {
		return errors.Join(err, s.witness.Close())
	}
	return nil
}

// advanceSequence assigns the next number to a transaction, and stores a reading of the clock with it. Numbers of
// transactions that failed are not used again.
func (s *Store) advanceSequence(tx *bbolt.Tx) error {
	meta := tx.Bucket(metaBucket)
	committed, _ := getNumber(meta, sequenceKey)
	s.sequence = max(committed, s.sequence) + 1
	return errors.Join(putNumber(meta, sequenceKey, s.sequence), s.clock.save(meta))
}

// writeWitness writes the number of the last committed transaction to the witness. It must be called after the commit:
// if the witness were written first and the process killed before the commit, a complete ledger would seem to lack
// entries.
func (s *Store) writeWitness() error {
	_, err := s.witness.WriteAt(binary.BigEndian.AppendUint64(nil, s.sequence), 0)
	return err
}

// getNumber reads a number from the meta bucket; found is false if the key has no valid number.
func getNumber(b *bbolt.Bucket, key []byte) (n uint64, found bool) {
	v := b.Get(key)
	if len(v) != sequenceLength {
		return 0, false
	}
	return binary.BigEndian.Uint64(v), true
}

// putNumber writes a number to the meta bucket.
func putNumber(b *bbolt.Bucket, key []byte, n uint64) error {
	return b.Put(key, binary.BigEndian.AppendUint64(nil, n))
}

// Package store keeps a ledger of effects on disk: an intent is there before a request's first attempt goes out, an end
// before its answer does. What was told to be there outlives a kill at any moment.
//
// The file is a bbolt database: its pages are copied on write and its two meta pages are checked sums, so that a torn write
// leaves the state before it. bbolt was chosen over an append-only log of our own because that, its recovery and its freeing
// of old space are what would have to be written and proved again; its cost, a flush for each transaction, is shared by all
// records that wait (group commit).
//
// The layout: in the bucket "effects" the key is the origin, a zero byte and the end-to-end identifier (4 bytes, big
// endian); the value is the state (1 intent, 2 ended, 3 nobody knows how), a time in Unix nanoseconds (8 bytes; of an intent when it was written, else when it
// may be forgotten) and the answer. In the bucket
// "order" the key is the time and that key, for forgetting. In the bucket "meta" are the number of the last transaction ("seq") and
// when the ledger was last found to lack something ("lost", Unix nanoseconds).
//
// A ledger that is gone, or that an older copy of was put back, would have what it has forgotten begin again. So the number of the
// last transaction stands in a second file too, beside it (".seq"): a ledger whose number is lower lacks what came after, one that is
// new lacks all. What neither shows is a whole folder that was put back.
package store

import (
	"bytes"
	"cmp"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.etcd.io/bbolt"
	berrors "go.etcd.io/bbolt/errors"

	"lapisspread/internal/idempotency"
)

var (
	effectsBucket = []byte("effects")
	orderBucket   = []byte("order")
	metaBucket    = []byte("meta")
	seqKey        = []byte("seq")
	lostKey       = []byte("lost")
)

const (
	intent = 1
	end    = 2
	lost   = 3

	mostBatch = 512             // records of one transaction
	openWait  = 3 * time.Second // for another process to let go of the file
	forgetMax = 2048            // old records that one transaction drops besides
)

// Why a store can't be used.
var (
	ErrClosed = errors.New("effects: the store is closed")
	ErrLocked = errors.New("effects: another process holds the store")
)

// Store is a file of effects. It is for any goroutine.
type Store struct {
	db                *bbolt.DB
	window, uncertain time.Duration
	now               func() time.Time
	witness           *os.File // holds the number of the last transaction
	lost              time.Time
	seq               uint64 // of the last transaction

	commits atomic.Int64

	queue chan *waiter
	stop  chan struct{}
	done  chan struct{}
	once  sync.Once
}

type waiter struct {
	record idempotency.Record
	drop   bool
	done   chan error // holds one
}

// Options are how a store is opened.
type Options struct {
	Window          time.Duration    // for which what has ended is kept
	UncertainWindow time.Duration    // for which that of which nobody knows how it ended is; Window if it is shorter
	Now             func() time.Time // the machine's clock; nil is time.Now
	FirstProcess    bool             // no process before can have known anything: a new ledger lacks nothing
}

// LostAt is when the ledger was last found to lack what a process before knew; the zero time is never. It is as of Open.
func (s *Store) LostAt() time.Time { return s.lost }

// Open opens or makes a file, and gives what it holds in the order in which it was written, without what is older than
// the window. A file that is not one, or is held by another process, is an error.
func Open(path string, o Options) (*Store, []idempotency.Record, error) {
	if o.Now == nil {
		o.Now = time.Now
	}
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: openWait, FreelistType: bbolt.FreelistMapType})
	if errors.Is(err, berrors.ErrTimeout) {
		return nil, nil, fmt.Errorf("%s: %w", path, ErrLocked)
	}
	if err != nil {
		return nil, nil, fmt.Errorf("effects: %s: %w", path, err)
	}
	s := &Store{db: db, window: o.Window, uncertain: max(o.Window, o.UncertainWindow), now: o.Now, queue: make(chan *waiter, mostBatch), stop: make(chan struct{}), done: make(chan struct{})}
	records, err := s.load()
	if err == nil {
		err = s.testify(path+".seq", o.FirstProcess)
	}
	if err != nil {
		db.Close()
		return nil, nil, fmt.Errorf("effects: %s: %w", path, err)
	}
	go s.run()
	return s, records, nil
}

// load reads all that holds.
func (s *Store) load() ([]idempotency.Record, error) {
	type dated struct {
		at int64
		r  idempotency.Record
	}
	var all []dated
	now := s.now()
	type half struct{ key, value []byte }
	var begun []half // intents of a process that has died
	err := s.db.Update(func(tx *bbolt.Tx) error {
		for _, name := range [][]byte{effectsBucket, orderBucket} {
			if _, err := tx.CreateBucketIfNotExists(name); err != nil {
				return err
			}
		}
		err := tx.Bucket(effectsBucket).ForEach(func(k, v []byte) error {
			key, err := keyOf(k)
			if err != nil || len(v) < 9 || v[0] != intent && v[0] != end && v[0] != lost {
				return fmt.Errorf("a record that makes no sense: %x: %x", k, v[:min(len(v), 16)])
			}
			at := int64(binary.BigEndian.Uint64(v[1:]))
			// Danger: an intent without an end may have run, however long ago that was: its time begins now.
			if v[0] == intent {
				begun = append(begun, half{bytes.Clone(k), bytes.Clone(v)})
			} else if at < now.UnixNano() {
				return nil
			}
			all = append(all, dated{at, idempotency.Record{Key: key, Completed: v[0] == end, Uncertain: v[0] != end, Answer: bytes.Clone(v[9:])}})
			return nil
		})
		for _, h := range begun {
			if err == nil {
				err = put(tx, h.key, lost, now.Add(s.uncertain), nil)
			}
		}
		return err
	})
	if err != nil {
		return nil, err
	}
	slices.SortStableFunc(all, func(a, b dated) int { return cmp.Compare(a.at, b.at) })
	out := make([]idempotency.Record, len(all))
	for i, d := range all {
		out[i] = d.r
	}
	return out, nil
}

// testify holds the ledger against its witness, and notes in it whether it lacks something. What was lost may come back as a repeat in
// the time of a later process too, so that is kept.
func (s *Store) testify(path string, first bool) error {
	var err error
	if s.witness, err = os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600); err != nil {
		return err
	}
	var seen [8]byte
	n, err := s.witness.ReadAt(seen[:], 0)
	if err != nil && !errors.Is(err, io.EOF) {
		return errors.Join(err, s.witness.Close())
	}
	err = s.db.Update(func(tx *bbolt.Tx) error {
		meta, err := tx.CreateBucketIfNotExists(metaBucket)
		if err != nil {
			return err
		}
		seq, known := number(meta, seqKey)
		lacks := !known || n < len(seen) || seq < binary.BigEndian.Uint64(seen[:])
		if at, ever := number(meta, lostKey); ever {
			s.lost = time.Unix(0, int64(at))
		}
		if lacks && !first {
			s.lost = s.now()
			err = setNumber(meta, lostKey, uint64(s.lost.UnixNano()))
		}
		return errors.Join(err, s.count(tx))
	})
	if err == nil {
		err = s.attest()
	}
	if err != nil {
		return errors.Join(err, s.witness.Close())
	}
	return nil
}

func number(b *bbolt.Bucket, key []byte) (n uint64, known bool) {
	v := b.Get(key)
	if len(v) != 8 {
		return 0, false
	}
	return binary.BigEndian.Uint64(v), true
}

func setNumber(b *bbolt.Bucket, key []byte, n uint64) error {
	return b.Put(key, binary.BigEndian.AppendUint64(nil, n))
}

// count gives a transaction its number.
func (s *Store) count(tx *bbolt.Tx) error {
	n, _ := number(tx.Bucket(metaBucket), seqKey)
	s.seq = max(n, s.seq) + 1
	return setNumber(tx.Bucket(metaBucket), seqKey, s.seq)
}

// attest has the witness say what was committed. Danger: before the commit, a ledger that a kill left one behind would seem to lack
// something; so it says it after, and never more than is on disk.
func (s *Store) attest() error {
	_, err := s.witness.WriteAt(binary.BigEndian.AppendUint64(nil, s.seq), 0)
	return err
}

// Write returns once a record is on disk, with others that wait. After an error it is not known whether it is: whoever
// wanted to begin must not, and whoever has ended must say that it may have run.
func (s *Store) Write(ctx context.Context, r idempotency.Record) error {
	return s.wait(ctx, &waiter{record: r, done: make(chan error, 1)})
}

// Delete takes back the intent of a request that has not run and will not.
func (s *Store) Delete(ctx context.Context, k idempotency.Key) error {
	return s.wait(ctx, &waiter{record: idempotency.Record{Key: k}, drop: true, done: make(chan error, 1)})
}

func (s *Store) wait(ctx context.Context, w *waiter) error {
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

// run commits what waits, in one transaction at a time.
func (s *Store) run() {
	defer close(s.done)
	batch := make([]*waiter, 0, mostBatch)
	for {
		batch = batch[:0]
		select {
		case w := <-s.queue:
			batch = append(batch, w)
		case <-s.stop:
			return
		}
		runtime.Gosched() // those who are about to ask share the flush
	more:
		for len(batch) < mostBatch {
			select {
			case w := <-s.queue:
				batch = append(batch, w)
			default:
				break more
			}
		}
		err := s.db.Update(func(tx *bbolt.Tx) error { return errors.Join(s.commit(tx, batch), s.count(tx)) })
		if err == nil {
			err = s.attest()
		}
		if err != nil {
			err = fmt.Errorf("effects: writing: %w", err)
		}
		s.commits.Add(1)
		for _, w := range batch {
			w.done <- err
		}
	}
}

func (s *Store) commit(tx *bbolt.Tx, batch []*waiter) error {
	all, order := tx.Bucket(effectsBucket), tx.Bucket(orderBucket)
	now := s.now()
	for _, w := range batch {
		k := bytesOf(w.record.Key)
		if w.drop {
			if err := all.Delete(k); err != nil {
				return err
			}
			continue
		}
		var err error
		switch {
		case w.record.Completed:
			err = put(tx, k, end, now.Add(s.window), w.record.Answer)
		case w.record.Uncertain:
			err = put(tx, k, lost, now.Add(s.uncertain), nil)
		default:
			v := make([]byte, 9)
			v[0] = intent
			binary.BigEndian.PutUint64(v[1:], uint64(now.UnixNano()))
			err = all.Put(k, v)
		}
		if err != nil {
			return err
		}
	}
	return s.forget(all, order, now)
}

// put writes what is to be forgotten at a time.
func put(tx *bbolt.Tx, key []byte, state byte, until time.Time, answer []byte) error {
	v := make([]byte, 9, 9+len(answer))
	v[0] = state
	binary.BigEndian.PutUint64(v[1:], uint64(until.UnixNano()))
	if err := tx.Bucket(orderBucket).Put(append(bytes.Clone(v[1:]), key...), nil); err != nil {
		return err
	}
	return tx.Bucket(effectsBucket).Put(key, append(v, answer...))
}

// forget drops what was to be forgotten before a time, some at a time.
func (s *Store) forget(all, order *bbolt.Bucket, before time.Time) error {
	var old [][]byte
	c := order.Cursor()
	for k, _ := c.First(); k != nil && len(old) < forgetMax; k, _ = c.Next() {
		if len(k) < 8 || int64(binary.BigEndian.Uint64(k)) >= before.UnixNano() {
			break
		}
		old = append(old, bytes.Clone(k))
	}
	for _, k := range old {
		if err := order.Delete(k); err != nil {
			return err
		}
		// The identifier may be another request's by now.
		if v := all.Get(k[8:]); v != nil && bytes.Equal(v[1:9], k[:8]) {
			if err := all.Delete(k[8:]); err != nil {
				return err
			}
		}
	}
	return nil
}

// Size is how many bytes the file has.
func (s *Store) Size() (int64, error) {
	var n int64
	err := s.db.View(func(tx *bbolt.Tx) error { n = tx.Size(); return nil })
	return n, err
}

// Commits is how many transactions have been made: records that wait together share one.
func (s *Store) Commits() int64 { return s.commits.Load() }

// Close ends the store; what waits is told that it was closed.
func (s *Store) Close() error {
	var err error
	s.once.Do(func() {
		close(s.stop)
		<-s.done
		err = errors.Join(s.db.Close(), s.witness.Close())
	})
	return err
}

func bytesOf(k idempotency.Key) []byte {
	b := make([]byte, 0, len(k.Origin)+5)
	b = append(append(b, k.Origin...), 0)
	return binary.BigEndian.AppendUint32(b, k.ID)
}

func keyOf(b []byte) (idempotency.Key, error) {
	if len(b) < 5 || b[len(b)-5] != 0 {
		return idempotency.Key{}, errors.New("no key")
	}
	return idempotency.Key{Origin: string(b[:len(b)-5]), ID: binary.BigEndian.Uint32(b[len(b)-4:])}, nil
}

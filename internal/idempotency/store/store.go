package store

import (
	"context"
	"errors"
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"go.etcd.io/bbolt"
	berrors "go.etcd.io/bbolt/errors"

	"lapisspread/internal/idempotency"
)

const (
	// lockTimeout is the maximum time that Open waits for another process to release the file.
	lockTimeout = 3 * time.Second
	fileMode    = 0o600
	// witnessSuffix is appended to the path of the ledger to get the path of the witness.
	witnessSuffix = ".seq"
)

// Errors of a store, to be tested for with errors.Is.
var (
	// ErrClosed is returned by Write and Delete once the store is closed.
	ErrClosed = errors.New("idempotency store: the store is closed")
	// ErrLocked is returned by Open while another process has the file open.
	ErrLocked = errors.New("idempotency store: another process has the file open")
)

// Store persists one ledger in a file. It is safe for concurrent use.
type Store struct {
	db              *bbolt.DB
	window          time.Duration
	uncertainWindow time.Duration
	clock           clock
	witness         *os.File  // holds the number of the last committed transaction
	lostAt          time.Time // see LostAt
	sequence        uint64    // number of the last transaction; written only by Open and the committer

	commits atomic.Int64

	queue     chan *pendingWrite
	stop      chan struct{} // closed by Close
	done      chan struct{} // closed when the committer has returned
	closeOnce sync.Once
}

// Options configure Open.
type Options struct {
	// Window is the time for which a completed request is kept.
	Window time.Duration
	// UncertainWindow is the time for which a request of unknown outcome is kept. If it is shorter than Window, Window
	// is used.
	UncertainWindow time.Duration
	// Now returns the wall-clock time; nil means time.Now.
	Now func() time.Time
	// Uptime tells how much time has passed, whatever Now shows. nil means the system's uptime, or with Now that Now is
	// not stepped.
	Uptime func() Uptime
	// FirstProcess says that no earlier process can have had a ledger, so that a new file does not count as a loss of
	// entries.
	FirstProcess bool
}

// Open opens or creates the file, and returns the records that have not expired, ordered by their times: completed and
// uncertain ones by expiry, intents by when they were written. While another process has the file open, it waits up to
// 3 s and then returns ErrLocked. It returns an error if the file is not a ledger. The caller must call Close.
func Open(path string, o Options) (*Store, []idempotency.Record, error) {
	db, err := bbolt.Open(path, fileMode, &bbolt.Options{Timeout: lockTimeout, FreelistType: bbolt.FreelistMapType})
	if errors.Is(err, berrors.ErrTimeout) {
		return nil, nil, fmt.Errorf("%s: %w", path, ErrLocked)
	}
	if err != nil {
		return nil, nil, fmt.Errorf("idempotency store: %s: %w", path, err)
	}
	s := &Store{
		db:              db,
		window:          o.Window,
		uncertainWindow: max(o.Window, o.UncertainWindow),
		queue:           make(chan *pendingWrite, maxBatch),
		stop:            make(chan struct{}),
		done:            make(chan struct{}),
	}
	var records []idempotency.Record
	if err = s.startClock(o); err == nil {
		records, err = s.load()
	}
	if err == nil {
		err = s.openWitness(path+witnessSuffix, o.FirstProcess)
	}
	if err != nil {
		return nil, nil, errors.Join(fmt.Errorf("idempotency store: %s: %w", path, err), db.Close())
	}
	go s.runCommitter()
	return s, records, nil
}

// LostAt returns the time, as Now shows it, at which this or an earlier Open last found that the ledger lacks entries of an
// earlier process, or the zero time if that never happened.
func (s *Store) LostAt() time.Time { return s.lostAt }

// Now returns the time of the store's clock, which is close to the wall clock and does not follow its steps.
func (s *Store) Now() time.Time { return s.clock.now() }

// Write writes a record, and returns nil once it is on disk. Concurrent calls share a transaction, and all of them get
// its error, for example of a full disk. Write returns ErrClosed after Close, and the cause of ctx if ctx ends first.
// After an error the record may or may not be on disk: a request whose intent was to be written must not run, and the
// outcome of a request that has run counts as unknown.
func (s *Store) Write(ctx context.Context, r idempotency.Record) error {
	return s.submit(ctx, &pendingWrite{record: r, done: make(chan error, 1)})
}

// Delete removes the intent of a request that has not run and will not run. It blocks and returns errors like Write.
func (s *Store) Delete(ctx context.Context, key idempotency.Key) error {
	return s.submit(ctx, &pendingWrite{record: idempotency.Record{Key: key}, remove: true, done: make(chan error, 1)})
}

// Size returns the size of the file in bytes.
func (s *Store) Size() (int64, error) {
	var n int64
	err := s.db.View(func(tx *bbolt.Tx) error {
		n = tx.Size()
		return nil
	})
	return n, err
}

// Commits returns the number of transactions for records, including those that failed. Concurrent calls of Write and
// Delete share a transaction.
func (s *Store) Commits() int64 { return s.commits.Load() }

// Close closes the store, after the transaction in progress. Other waiting calls return ErrClosed. A second Close does
// nothing and returns nil.
func (s *Store) Close() error {
	var err error
	s.closeOnce.Do(func() {
		close(s.stop)
		<-s.done
		err = errors.Join(s.db.Close(), s.witness.Close())
	})
	return err
}

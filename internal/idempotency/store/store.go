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
	// lockTimeout is how long Open waits for another process to release the file.
	lockTimeout = 3 * time.Second
	fileMode    = 0o600
	// witnessSuffix is appended to the path of the ledger.
	witnessSuffix = ".seq"
)

// Errors of a store, which errors.Is finds.
var (
	// ErrClosed is returned once the store is closed.
	ErrClosed = errors.New("effects: the store is closed")
	// ErrLocked is returned by Open while another process has the file open.
	ErrLocked = errors.New("effects: another process holds the store")
)

// Store is the file of one ledger. It is safe for concurrent use.
type Store struct {
	db              *bbolt.DB
	window          time.Duration
	uncertainWindow time.Duration
	now             func() time.Time
	witness         *os.File // holds the number of the last committed transaction
	lostAt          time.Time
	sequence        uint64 // of the last transaction; only the committer changes it

	commits atomic.Int64

	queue     chan *write
	stop      chan struct{} // closed by Close
	done      chan struct{} // closed when the committer has returned
	closeOnce sync.Once
}

// Options configure Open.
type Options struct {
	// Window is how long a completed request is kept.
	Window time.Duration
	// UncertainWindow is how long a request of unknown outcome is kept; Window if that is longer.
	UncertainWindow time.Duration
	// Now is the wall clock; nil is time.Now.
	Now func() time.Time
	// FirstProcess says that no earlier process can have had a ledger: a new file lacks nothing.
	FirstProcess bool
}

// Open opens or creates the file, and returns the records that have not expired in the order of their times. It
// waits up to 3 s for another process to release the file, then returns ErrLocked. A file that is not a ledger is an
// error. The caller must Close the store.
func Open(path string, o Options) (*Store, []idempotency.Record, error) {
	if o.Now == nil {
		o.Now = time.Now
	}
	db, err := bbolt.Open(path, fileMode, &bbolt.Options{Timeout: lockTimeout, FreelistType: bbolt.FreelistMapType})
	if errors.Is(err, berrors.ErrTimeout) {
		return nil, nil, fmt.Errorf("%s: %w", path, ErrLocked)
	}
	if err != nil {
		return nil, nil, fmt.Errorf("effects: %s: %w", path, err)
	}
	s := &Store{
		db:              db,
		window:          o.Window,
		uncertainWindow: max(o.Window, o.UncertainWindow),
		now:             o.Now,
		queue:           make(chan *write, maxBatch),
		stop:            make(chan struct{}),
		done:            make(chan struct{}),
	}
	records, err := s.load()
	if err == nil {
		err = s.openWitness(path+witnessSuffix, o.FirstProcess)
	}
	if err != nil {
		return nil, nil, errors.Join(fmt.Errorf("effects: %s: %w", path, err), db.Close())
	}
	go s.runCommitter()
	return s, records, nil
}

// LostAt returns when the ledger was last found, by this or an earlier Open, to lack entries of an earlier process;
// the zero time is never.
func (s *Store) LostAt() time.Time { return s.lostAt }

// Write returns once a record is on disk; it shares the transaction of other calls that wait. After an error it is
// not known whether the record is on disk: a request that was to begin must not, and one that has run must be taken
// as of unknown outcome.
func (s *Store) Write(ctx context.Context, r idempotency.Record) error {
	return s.submit(ctx, &write{record: r, done: make(chan error, 1)})
}

// Delete removes the intent of a request that has not run and will not. It returns as Write does.
func (s *Store) Delete(ctx context.Context, key idempotency.Key) error {
	return s.submit(ctx, &write{record: idempotency.Record{Key: key}, remove: true, done: make(chan error, 1)})
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

// Commits returns how many transactions were made for records; records that wait together share one.
func (s *Store) Commits() int64 { return s.commits.Load() }

// Close ends the store. Calls that wait return ErrClosed. A second Close does nothing.
func (s *Store) Close() error {
	var err error
	s.closeOnce.Do(func() {
		close(s.stop)
		<-s.done
		err = errors.Join(s.db.Close(), s.witness.Close())
	})
	return err
}

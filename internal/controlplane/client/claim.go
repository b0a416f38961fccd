package client

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"

	"golang.org/x/sys/unix"

	"lapisspread/internal/durable"
	"lapisspread/internal/quotalease"
)

// floorClaim is a name's claim to its floors on this machine: a lock on a file, that the system lets go of when the process dies. Two
// processes of one name never hold it together. Beside it stands what the floors are, for the next process of the name.
type floorClaim struct {
	path, name string

	mu   sync.Mutex
	lock *os.File // held if not nil

	saving sync.Mutex
	file   durable.File
}

// floorsFormat is the form of what is kept.
const floorsFormat = 1

type persistedFloors struct {
	Version uint64                      `json:"Version"`
	Floors  map[string]quotalease.Floor `json:"Floors"`
}

func newClaim(path, name string) *floorClaim {
	return &floorClaim{path: path, name: name, file: durable.File{Path: path, Kind: "lapisspread-floors", Form: floorsFormat}}
}

// tryLock takes the lock if nobody has it. FloorTaken is that another process does.
func (c *floorClaim) tryLock() (bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lock != nil {
		return true, nil
	}
	// Danger: the file must never be removed, or two could hold locks on two files of one name.
	f, err := os.OpenFile(c.path+".lock", os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return false, FloorsNotPersistedError{err}
	}
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		f.Close()
		if errors.Is(err, unix.EWOULDBLOCK) {
			return false, quotalease.FloorClaimedError{Holder: c.name}
		}
		return false, FloorsNotPersistedError{err}
	}
	c.lock = f
	return true, nil
}

// release lets go of it. Nothing of the floors may be spent any more.
func (c *floorClaim) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lock != nil {
		c.lock.Close()
		c.lock = nil
	}
}

// load is what was kept; nothing if nothing was.
func (c *floorClaim) load() (uint64, map[string]quotalease.Floor, error) {
	var k persistedFloors
	err := c.file.Load(&k)
	if errors.Is(err, os.ErrNotExist) {
		return 0, nil, nil
	}
	if err != nil {
		return 0, nil, FloorsNotPersistedError{err}
	}
	return k.Version, k.Floors, nil
}

// save keeps floors so that they outlive a power failure, unless what is kept is newer already, or may says no more.
func (c *floorClaim) save(version uint64, floors map[string]quotalease.Floor, may func() bool) error {
	c.saving.Lock()
	defer c.saving.Unlock()
	if !may() {
		return FloorsNotPersistedError{errors.New("another duty has taken over")}
	}
	if had, _, err := c.load(); err == nil && had >= version {
		return nil
	}
	if err := c.file.Save(persistedFloors{version, floors}); err != nil {
		return FloorsNotPersistedError{err}
	}
	for _, path := range []string{c.path, filepath.Dir(c.path)} {
		f, err := os.Open(path)
		if err == nil {
			err = errors.Join(f.Sync(), f.Close())
		}
		if err != nil {
			return FloorsNotPersistedError{err}
		}
	}
	return nil
}

// FloorsNotPersistedError is that what a proxy has by its name can't be kept on disk: it asks for nothing then, and goes on with what it holds.
type FloorsNotPersistedError struct{ Err error }

func (e FloorsNotPersistedError) Error() string {
	return fmt.Sprintf("floors can't be kept: %v", e.Err)
}
func (e FloorsNotPersistedError) Unwrap() error { return e.Err }

// Advice is what an operator can do.
func (FloorsNotPersistedError) Advice() string {
	return "See that the folder that the fleet's file names as state is there, has room and may be written; what is damaged in it may be " +
		"removed while no proxy of that name runs: it is told its floors anew."
}

// WorkerCrashedError is that the goroutine that talks to the stewards has died; it is begun anew.
type WorkerCrashedError struct{ Cause string }

func (e WorkerCrashedError) Error() string { return "a duty of the fleet's died: " + e.Cause }

// Advice is what an operator can do.
func (WorkerCrashedError) Advice() string {
	return "It was begun anew; file the log line with its cause. If it goes on, serve without --fleet until it is mended."
}

// WorkerStalledError is that it has not moved for long; another was begun.
type WorkerStalledError struct{ For fmt.Stringer }

func (e WorkerStalledError) Error() string {
	return fmt.Sprintf("a duty of the fleet's has not moved for %v", e.For)
}

// Advice is what an operator can do.
func (WorkerStalledError) Advice() string {
	return "Look at the disk that holds the state folder and at the machine's load; another duty was begun in its place."
}

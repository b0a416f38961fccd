package client

import (
	"errors"
	"os"
	"path/filepath"
	"sync"

	"golang.org/x/sys/unix"

	"lapisspread/internal/durable"
	"lapisspread/internal/quotalease"
)

// floorsFormat is the form of persistedFloors.
const floorsFormat = 1

// stateFileMode lets only the owner read what a proxy keeps.
const stateFileMode = 0o600

// floorClaim is a proxy name's claim to its floors on this machine: a lock on a file, which the system releases
// when the process dies. Two processes of one name never hold it together. Another file holds what the floors are,
// for the next process.
type floorClaim struct {
	path, name string

	mu   sync.Mutex
	lock *os.File // nil while the claim is not held

	saving sync.Mutex
	file   durable.File
}

// persistedFloors are kept on disk.
type persistedFloors struct {
	Version uint64                      `json:"Version"`
	Floors  map[string]quotalease.Floor `json:"Floors"`
}

func newFloorClaim(path, name string) *floorClaim {
	return &floorClaim{
		path: path,
		name: name,
		file: durable.File{Path: path, Kind: "lapisspread-floors", Version: floorsFormat},
	}
}

// tryLock takes the lock if no process has it. It does not block. The error is FloorClaimedError if another process
// has it.
func (c *floorClaim) tryLock() (bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lock != nil {
		return true, nil
	}
	// The file must never be removed, or two processes could hold locks on two files of one name.
	file, err := os.OpenFile(c.path+".lock", os.O_CREATE|os.O_RDWR, stateFileMode)
	if err != nil {
		return false, FloorsNotPersistedError{err}
	}
	if err := unix.Flock(int(file.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		_ = file.Close() // nothing was written
		if errors.Is(err, unix.EWOULDBLOCK) {
			return false, quotalease.FloorClaimedError{Holder: c.name}
		}
		return false, FloorsNotPersistedError{err}
	}
	c.lock = file
	return true, nil
}

// release gives the lock up. Nothing of the floors may be spent any more.
func (c *floorClaim) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lock != nil {
		_ = c.lock.Close() // nothing was written
		c.lock = nil
	}
}

// load returns what was saved, or nothing if nothing was.
func (c *floorClaim) load() (version uint64, floors map[string]quotalease.Floor, err error) {
	var persisted persistedFloors
	err = c.file.Load(&persisted)
	if errors.Is(err, os.ErrNotExist) {
		return 0, nil, nil
	}
	if err != nil {
		return 0, nil, FloorsNotPersistedError{err}
	}
	return persisted.Version, persisted.Floors, nil
}

// save keeps floors so that they outlive a power failure, unless what is on disk is at least as new. It fails if
// mayWrite returns false once no other save is under way.
func (c *floorClaim) save(version uint64, floors map[string]quotalease.Floor, mayWrite func() bool) error {
	c.saving.Lock()
	defer c.saving.Unlock()
	if !mayWrite() {
		return FloorsNotPersistedError{errors.New("another duty has taken over")}
	}
	if saved, _, err := c.load(); err == nil && saved >= version {
		return nil
	}
	if err := c.file.Save(persistedFloors{version, floors}); err != nil {
		return FloorsNotPersistedError{err}
	}
	for _, path := range []string{c.path, filepath.Dir(c.path)} {
		if err := syncFile(path); err != nil {
			return FloorsNotPersistedError{err}
		}
	}
	return nil
}

// syncFile flushes a file or a directory to disk.
func syncFile(path string) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(file.Sync(), file.Close())
}

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

// floorsFormat is the format version of persistedFloors.
const floorsFormat = 1

// stateFileMode lets only the owner read a proxy's state files.
const stateFileMode = 0o600

// floorClaim is the claim of this process to the floors of its proxy name on this machine: a file lock, which the
// operating system releases when the process dies. No two processes with the same proxy name hold it at the same time.
// A second file stores the floors for the next process.
type floorClaim struct {
	path, name string

	mu   sync.Mutex
	lock *os.File // nil while the claim is not held

	saveMu sync.Mutex // held while floors are written
	file   durable.File
}

// persistedFloors is the content of the floors file.
type persistedFloors struct {
	Version uint64                      `json:"Version"`
	Floors  map[string]quotalease.Floor `json:"Floors"`
}

// newFloorClaim returns a claim that is not held. The floors are stored at path, and the lock is path with the suffix
// ".lock".
func newFloorClaim(path, name string) *floorClaim {
	return &floorClaim{
		path: path,
		name: name,
		file: durable.File{Path: path, Kind: "lapisspread-floors", Version: floorsFormat},
	}
}

// tryLock takes the lock if no other process holds it, and reports whether the lock is held now. It does not block. The
// error is a quotalease.FloorClaimedError if another process holds the lock, otherwise a FloorsNotPersistedError.
func (c *floorClaim) tryLock() (bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lock != nil {
		return true, nil
	}
	// The lock file must never be removed: another process could then create and lock a new file at the same path.
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

// release releases the lock. After that the caller must not use the floors any more.
func (c *floorClaim) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lock != nil {
		_ = c.lock.Close() // nothing was written
		c.lock = nil
	}
}

// load returns the stored floors and their version; version 0 and nil if none are stored. The error is a
// FloorsNotPersistedError.
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

// save stores floors and flushes them to disk so that they survive a power failure. It does nothing if the stored
// version is at least as high. It waits for a save in progress, and then fails if mayWrite returns false. Errors are
// FloorsNotPersistedErrors.
func (c *floorClaim) save(version uint64, floors map[string]quotalease.Floor, mayWrite func() bool) error {
	c.saveMu.Lock()
	defer c.saveMu.Unlock()
	if !mayWrite() {
		// The text is shown in the admin protocol and stays as it is; its "duty" is a newer worker.
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

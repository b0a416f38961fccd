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

// claim is a name's claim to its floors on this machine: a lock on a file, that the system lets go of when the process dies. Two
// processes of one name never hold it together. Beside it stands what the floors are, for the next process of the name.
type claim struct {
	path, name string

	mu   sync.Mutex
	lock *os.File // held if not nil

	saving sync.Mutex
	file   durable.File
}

// floorsForm is the form of what is kept.
const floorsForm = 1

type keptFloors struct {
	Version uint64                      `json:"Version"`
	Floors  map[string]quotalease.Floor `json:"Floors"`
}

func newClaim(path, name string) *claim {
	return &claim{path: path, name: name, file: durable.File{Path: path, Kind: "lapisspread-floors", Form: floorsForm}}
}

// try takes the lock if nobody has it. FloorTaken is that another process does.
func (c *claim) try() (bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lock != nil {
		return true, nil
	}
	// Danger: the file must never be removed, or two could hold locks on two files of one name.
	f, err := os.OpenFile(c.path+".lock", os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return false, FloorsNotKept{err}
	}
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		f.Close()
		if errors.Is(err, unix.EWOULDBLOCK) {
			return false, quotalease.FloorClaimedError{Holder: c.name}
		}
		return false, FloorsNotKept{err}
	}
	c.lock = f
	return true, nil
}

// release lets go of it. Nothing of the floors may be spent any more.
func (c *claim) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lock != nil {
		c.lock.Close()
		c.lock = nil
	}
}

// load is what was kept; nothing if nothing was.
func (c *claim) load() (uint64, map[string]quotalease.Floor, error) {
	var k keptFloors
	err := c.file.Load(&k)
	if errors.Is(err, os.ErrNotExist) {
		return 0, nil, nil
	}
	if err != nil {
		return 0, nil, FloorsNotKept{err}
	}
	return k.Version, k.Floors, nil
}

// save keeps floors so that they outlive a power failure, unless what is kept is newer already, or may says no more.
func (c *claim) save(version uint64, floors map[string]quotalease.Floor, may func() bool) error {
	c.saving.Lock()
	defer c.saving.Unlock()
	if !may() {
		return FloorsNotKept{errors.New("another duty has taken over")}
	}
	if had, _, err := c.load(); err == nil && had >= version {
		return nil
	}
	if err := c.file.Save(keptFloors{version, floors}); err != nil {
		return FloorsNotKept{err}
	}
	for _, path := range []string{c.path, filepath.Dir(c.path)} {
		f, err := os.Open(path)
		if err == nil {
			err = errors.Join(f.Sync(), f.Close())
		}
		if err != nil {
			return FloorsNotKept{err}
		}
	}
	return nil
}

// FloorsNotKept is that what a proxy has by its name can't be kept on disk: it asks for nothing then, and goes on with what it holds.
type FloorsNotKept struct{ Err error }

func (e FloorsNotKept) Error() string { return fmt.Sprintf("floors can't be kept: %v", e.Err) }
func (e FloorsNotKept) Unwrap() error { return e.Err }

// Advice is what an operator can do.
func (FloorsNotKept) Advice() string {
	return "See that the folder that the fleet's file names as state is there, has room and may be written; what is damaged in it may be " +
		"removed while no proxy of that name runs: it is told its floors anew."
}

// DutyDied is that the goroutine that talks to the stewards has died; it is begun anew.
type DutyDied struct{ Why string }

func (e DutyDied) Error() string { return "a duty of the fleet's died: " + e.Why }

// Advice is what an operator can do.
func (DutyDied) Advice() string {
	return "It was begun anew; file the log line with its cause. If it goes on, serve without --fleet until it is mended."
}

// DutyStuck is that it has not moved for long; another was begun.
type DutyStuck struct{ For fmt.Stringer }

func (e DutyStuck) Error() string {
	return fmt.Sprintf("a duty of the fleet's has not moved for %v", e.For)
}

// Advice is what an operator can do.
func (DutyStuck) Advice() string {
	return "Look at the disk that holds the state folder and at the machine's load; another duty was begun in its place."
}

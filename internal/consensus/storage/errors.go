package storage

import "fmt"

// StoreMissing is that there is no store: none is ever made by itself.
type StoreMissing struct{ Path string }

func (e StoreMissing) Error() string { return fmt.Sprintf("consensus: there is no store %s", e.Path) }

// Advice implements advice.Error.
func (StoreMissing) Advice() string {
	return "Found the fleet if it is new; if this steward's store was lost, have it join anew under a new number."
}

// StoreHeld is that another process has the store open.
type StoreHeld struct{ Path string }

func (e StoreHeld) Error() string {
	return fmt.Sprintf("consensus: another process holds the store %s", e.Path)
}

// Advice implements advice.Error.
func (StoreHeld) Advice() string {
	return "Stop the steward that runs already, or give this one a store of its own."
}

// StoreOfAnotherFleet is that the store is of another fleet, or of another epoch of this one.
type StoreOfAnotherFleet struct {
	Path, Fleet string
	Epoch       uint64
}

func (e StoreOfAnotherFleet) Error() string {
	return fmt.Sprintf("consensus: the store %s is of fleet %q, epoch %d", e.Path, e.Fleet, e.Epoch)
}

// Advice implements advice.Error.
func (StoreOfAnotherFleet) Advice() string {
	return "Name the store of this fleet; one of before a founding anew is put away."
}

// StoreOfAnotherNode is that the store is of another steward.
type StoreOfAnotherNode struct {
	Path string
	ID   uint64
}

func (e StoreOfAnotherNode) Error() string {
	return fmt.Sprintf("consensus: the store %s is of steward %d", e.Path, e.ID)
}

// Advice implements advice.Error.
func (StoreOfAnotherNode) Advice() string {
	return "Name this steward's own store; a copy of another's makes no new one."
}

// StoreNewer is that a newer version of the program has written the store.
type StoreNewer struct {
	Path   string
	Format uint64
}

func (e StoreNewer) Error() string {
	return fmt.Sprintf("consensus: the store %s is of format %d, this version knows %d", e.Path, e.Format, format)
}

// Advice implements advice.Error.
func (StoreNewer) Advice() string { return "Run the newer version of the program." }

// StoreDamaged is that the store can't be read.
type StoreDamaged struct{ Path, Why string }

func (e StoreDamaged) Error() string {
	return fmt.Sprintf("consensus: the store %s is damaged: %s", e.Path, e.Why)
}

// Advice implements advice.Error.
func (StoreDamaged) Advice() string {
	return "Look to the disk; put the store away and have the steward join anew under a new number, as a learner with an empty store."
}

// DiskFull is that a write found no room; what came before is whole.
type DiskFull struct {
	Path string
	Err  error
}

func (e DiskFull) Error() string {
	return fmt.Sprintf("consensus: no room for the store %s: %v", e.Path, e.Err)
}
func (e DiskFull) Unwrap() error { return e.Err }

// Advice implements advice.Error.
func (DiskFull) Advice() string { return "Make room on the disk and start the steward again." }

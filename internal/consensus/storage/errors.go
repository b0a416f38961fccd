package storage

import "fmt"

// The documentation of package consensus explains the terms in the texts of these errors.

// MissingError reports that there is no file at the store's path. Open never creates one; that needs a command of an
// operator (see Bootstrap and Join).
type MissingError struct{ Path string }

// Error implements error.
func (e MissingError) Error() string { return fmt.Sprintf("consensus: there is no store %s", e.Path) }

// Advice implements operatorerror.Error.
func (MissingError) Advice() string {
	return "Found the fleet if it is new; if this steward's store was lost, have it join anew under a new number."
}

// LockedError reports that another process has the store open.
type LockedError struct{ Path string }

// Error implements error.
func (e LockedError) Error() string {
	return fmt.Sprintf("consensus: another process holds the store %s", e.Path)
}

// Advice implements operatorerror.Error.
func (LockedError) Advice() string {
	return "Stop the steward that runs already, or give this one a store of its own."
}

// FleetMismatchError reports that the store belongs to another fleet, or to another epoch of this fleet.
type FleetMismatchError struct {
	// Path is the store's file; Fleet and Epoch are those in its identity.
	Path, Fleet string
	Epoch       uint64
}

// Error implements error.
func (e FleetMismatchError) Error() string {
	return fmt.Sprintf("consensus: the store %s is of fleet %q, epoch %d", e.Path, e.Fleet, e.Epoch)
}

// Advice implements operatorerror.Error.
func (FleetMismatchError) Advice() string {
	return "Name the store of this fleet; one of before a founding anew is put away."
}

// NodeMismatchError reports that the store belongs to another server.
type NodeMismatchError struct {
	// Path is the store's file; ID is the server in its identity.
	Path string
	ID   uint64
}

// Error implements error.
func (e NodeMismatchError) Error() string {
	return fmt.Sprintf("consensus: the store %s is of steward %d", e.Path, e.ID)
}

// Advice implements operatorerror.Error.
func (NodeMismatchError) Advice() string {
	return "Name this steward's own store; a copy of another's makes no new one."
}

// NewerFormatError reports that the store was written by a newer program, in a format that this one can't read.
type NewerFormatError struct {
	Path string
	// Format is the store's Identity.Format.
	Format uint64
}

// Error implements error.
func (e NewerFormatError) Error() string {
	return fmt.Sprintf("consensus: the store %s is of format %d, this version knows %d",
		e.Path, e.Format, formatVersion)
}

// Advice implements operatorerror.Error.
func (NewerFormatError) Advice() string { return "Run the newer version of the program." }

// DamagedError reports that the contents of the store are corrupt.
type DamagedError struct{ Path, Reason string }

// Error implements error.
func (e DamagedError) Error() string {
	return fmt.Sprintf("consensus: the store %s is damaged: %s", e.Path, e.Reason)
}

// Advice implements operatorerror.Error.
func (DamagedError) Advice() string {
	return "Look to the disk; put the store away and have the steward join anew under a new number, " +
		"as a learner with an empty store."
}

// DiskFullError reports that a write failed for lack of disk space. All earlier writes are complete.
type DiskFullError struct {
	Path string
	// Err is the error of the write.
	Err error
}

// Error implements error.
func (e DiskFullError) Error() string {
	return fmt.Sprintf("consensus: no room for the store %s: %v", e.Path, e.Err)
}

// Unwrap returns the cause.
func (e DiskFullError) Unwrap() error { return e.Err }

// Advice implements operatorerror.Error.
func (DiskFullError) Advice() string { return "Make room on the disk and start the steward again." }

package store

import "fmt"

// Operators and other releases see the texts, codes and advice of this package's errors, so they stay as they are. They
// use the words of the operators' pages: charter for ownership declaration, steward for control-plane server, offer for
// submit, keep for retain.

// NoDeclarationError is returned for a file that is submitted before the fleet has an ownership declaration.
type NoDeclarationError struct{}

// Error implements error.
func (NoDeclarationError) Error() string { return "the fleet has no charter" }

// Code returns the name of this error in messages between processes.
func (NoDeclarationError) Code() string { return "policybook.NoCharter" }

// Advice returns the operator's next step.
func (NoDeclarationError) Advice() string {
	return "Give the fleet its charter first: lapisspread fleet charter."
}

// TooLargeError is returned for a command that would exceed a limit on the size of stored data.
type TooLargeError struct {
	What  string // description of what is too large, used in the error text
	Bytes int
	Limit int // in bytes
}

// Error implements error.
func (e TooLargeError) Error() string {
	return fmt.Sprintf("%s: %d bytes, %d are the most", e.What, e.Bytes, e.Limit)
}

// Code returns the name of this error in messages between processes.
func (TooLargeError) Code() string { return "policybook.TooMuch" }

// Advice returns the operator's next step.
func (TooLargeError) Advice() string {
	return "Nothing was changed. Take out rules that nothing comes to any more, and write those that are alike as one."
}

// EpochNotRetainedError is returned for a rollback to an epoch that is not retained.
type EpochNotRetainedError struct {
	Epoch    uint64
	Retained []uint64 // epochs that are retained
}

// Error implements error.
func (e EpochNotRetainedError) Error() string {
	return fmt.Sprintf("epoch %d is not kept; %v are", e.Epoch, e.Retained)
}

// Code returns the name of this error in messages between processes.
func (EpochNotRetainedError) Code() string { return "policybook.EpochGone" }

// Advice returns the operator's next step.
func (EpochNotRetainedError) Advice() string {
	return "Name one of the epochs that are kept, or have the teams offer the old content under new numbers."
}

// InvalidCommandError is returned for a malformed command or snapshot, which a correct server never writes.
type InvalidCommandError struct{ Reason string }

// Error implements error.
func (e InvalidCommandError) Error() string { return "policies: " + e.Reason }

// Code returns the name of this error in messages between processes.
func (InvalidCommandError) Code() string { return "policybook.BadCommand" }

// Advice returns the operator's next step.
func (InvalidCommandError) Advice() string {
	return "See that all stewards and whoever speaks to them are of one release."
}

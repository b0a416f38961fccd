package server

// Codes of this package's errors in messages between processes. A code stays as it is when its type gets another name.

// Code is the name of the error in messages between processes.
func (DuplicateFloorClaimError) Code() string { return "steward.FloorsTwice" }

// Code is the name of the error in messages between processes.
func (ChunksRequiredError) Code() string { return "steward.NeedsPieces" }

package server

import (
	"fmt"

	"lapisspread/internal/policy/store"
)

// DuplicateFloorClaimError reports that two processes use the floors of the same proxy. A lock prevents this on one
// machine, so the two processes run on different machines.
type DuplicateFloorClaimError struct {
	// Holder is the proxy's name.
	Holder string
}

// Error implements error.
func (e DuplicateFloorClaimError) Error() string {
	return fmt.Sprintf("two processes on two machines use the floors of %s", e.Holder)
}

// Code returns the error's code in messages between processes.
func (DuplicateFloorClaimError) Code() string { return "steward.FloorsTwice" }

// Advice implements operatorerror.Error. It says what an operator should do.
func (DuplicateFloorClaimError) Advice() string {
	return "Stop one of the two, or give it a name of its own: until then its floors are spent twice. " +
		"A copy of a machine's state folder is the usual cause."
}

// ChunksRequiredError is returned to a proxy of an older release, which does not accept chunks, if the policy is longer
// than store.MaxUnchunkedBytes and so cannot be sent as one text.
type ChunksRequiredError struct {
	// Epoch is the policy's epoch.
	Epoch uint64
}

// Error implements error.
func (e ChunksRequiredError) Error() string {
	return fmt.Sprintf("the policy of epoch %d is over %d bytes, and this proxy takes whole texts alone",
		e.Epoch, store.MaxUnchunkedBytes)
}

// Code returns the error's code in messages between processes.
func (ChunksRequiredError) Code() string { return "steward.NeedsPieces" }

// Advice implements operatorerror.Error. It says what an operator should do.
func (ChunksRequiredError) Advice() string {
	return "The proxy goes on with the policy that it has. Replace it by one of this release, which takes policies " +
		"in pieces; or have the teams write less until then."
}

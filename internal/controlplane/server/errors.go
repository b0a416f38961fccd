package server

import (
	"fmt"

	"lapisspread/internal/policy/store"
)

// DuplicateFloorClaimError means that two processes spend the floors of one proxy. A lock keeps processes of one
// machine apart, so the two are on different machines.
type DuplicateFloorClaimError struct{ Holder string }

// Error implements error.
func (e DuplicateFloorClaimError) Error() string {
	return fmt.Sprintf("two processes on two machines go by the floors of %s", e.Holder)
}

// Code returns the name of this error in messages between processes.
func (DuplicateFloorClaimError) Code() string { return "steward.FloorsTwice" }

// Advice implements operatorerror.Error.
func (DuplicateFloorClaimError) Advice() string {
	return "Stop one of the two, or give it a name of its own: until then its floors are spent twice. " +
		"A copy of a machine's state folder is the usual cause."
}

// ChunksRequiredError tells a proxy of an older release that a policy is too long to be sent as one text.
type ChunksRequiredError struct{ Epoch uint64 }

// Error implements error.
func (e ChunksRequiredError) Error() string {
	return fmt.Sprintf("the policy of epoch %d is over %d bytes, and this proxy takes whole texts alone",
		e.Epoch, store.MaxUnchunkedBytes)
}

// Code returns the name of this error in messages between processes.
func (ChunksRequiredError) Code() string { return "steward.NeedsPieces" }

// Advice implements operatorerror.Error.
func (ChunksRequiredError) Advice() string {
	return "The proxy goes on with the policy that it has. Replace it by one of this release, which takes policies " +
		"in pieces; or have the teams write less until then."
}

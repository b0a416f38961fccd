// Package rollout takes a policy up in a fleet by steps: by a few proxies first, then by more, and stops by itself if
// those that have it do worse than the others. It is pure: no I/O, no goroutine, no clock; messages go in and out,
// callers give the time, and chance comes from a seed.
//
// An offer is ordered by (Order, Epoch). Epochs rise with each policy; Order rises only when an operator tells the fleet to go
// back. So nothing that is late, repeated or sent by a steward that was asleep takes a proxy back to an older epoch.
package rollout

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
)

// Version is a policy that a proxy shall have.
type Version struct {
	Generation uint64 `json:"Order"` // how often an operator has told the fleet to go back
	Epoch      uint64 `json:"Epoch"` // of the policy; each new one is higher
	Hash       string `json:"Hash"`  // of the policy's content: the root of its tree of pieces (package pieces) in hexadecimal
}

// NewerThan tells whether an offer goes before another.
func (o Version) NewerThan(p Version) bool {
	return o.Generation > p.Generation || o.Generation == p.Generation && o.Epoch > p.Epoch
}

// StaleVersionError is an offer that would take a proxy back with nobody having told it to.
type StaleVersionError struct{ Offered, Current Version }

func (e StaleVersionError) Error() string {
	return fmt.Sprintf("epoch %d (order %d) is offered, epoch %d (order %d) is held",
		e.Offered.Epoch, e.Offered.Generation, e.Current.Epoch, e.Current.Generation)
}

// Advice is what an operator can do.
func (e StaleVersionError) Advice() string {
	return "A late word, or a steward that was cut off: nothing to do. To go back on purpose, tell the stewards to."
}

// EpochConflictError is one epoch with two contents.
type EpochConflictError struct {
	Epoch          uint64
	Current, Other string
}

func (e EpochConflictError) Error() string {
	return fmt.Sprintf("epoch %d is held with hash %.12s, and offered with %.12s", e.Epoch, e.Current, e.Other)
}

// Advice is what an operator can do.
func (e EpochConflictError) Advice() string {
	return "Two stewards number policies apart from each other, as after a founding anew. Find which are the fleet's own, and offer " +
		"the right policy under a new epoch."
}

// HashMismatchError is a policy that is not what its offer says.
type HashMismatchError struct{ Expected, Actual string }

func (e HashMismatchError) Error() string {
	return fmt.Sprintf("the policy's hash is %.12s, %.12s was offered", e.Actual, e.Expected)
}

// Advice is what an operator can do.
func (e HashMismatchError) Advice() string {
	return "The policy was damaged or cut on its way; it is fetched again. If it goes on, look at the steward that sent it."
}

// CurrentVersion is a proxy's side: which policy it has. Callers keep it on disk, so that a restart does not forget it.
type CurrentVersion struct {
	version   Version
	mutations mutation
}

// NewCurrentVersion makes one that has a policy from before; the zero Offer is none.
func NewCurrentVersion(has Version) *CurrentVersion { return &CurrentVersion{version: has} }

// Version is what is held.
func (h *CurrentVersion) Version() Version { return h.version }

// AdoptText takes a policy up that came as a whole text, as older stewards send it: the offer's hash is the text's SHA-256 then.
// See TakeRoot.
func (h *CurrentVersion) AdoptText(o Version, text []byte) error {
	sum := sha256.Sum256(text)
	return h.Adopt(o, hex.EncodeToString(sum[:]))
}

// Adopt takes a policy up whose content came to a root, whole or not at all. Nil is taken, or had already. Errors are OldEpoch,
// EpochTwice and WrongContent; they change nothing.
func (h *CurrentVersion) Adopt(o Version, root string) error {
	if o == h.version {
		return nil
	}
	if o.Generation == h.version.Generation && o.Epoch == h.version.Epoch {
		return EpochConflictError{o.Epoch, h.version.Hash, o.Hash}
	}
	if !o.NewerThan(h.version) && h.mutations&acceptStaleVersion == 0 {
		return StaleVersionError{o, h.version}
	}
	if root != o.Hash && h.mutations&skipHashCheck == 0 {
		return HashMismatchError{o.Hash, root}
	}
	h.version = o
	return nil
}

// mutation is a guard taken out, to see that the tests convict.
type mutation uint16

const (
	acceptStaleVersion    mutation = 1 << iota // older epochs are taken
	skipHashCheck                              // any content is taken
	skipTest                                   // nothing stops a roll-out
	fullErrorRatePerLook                       // each look has the whole error rate
	poolRequests                               // requests count as drawn apart from each other, whichever proxy they came by
	ignoreSilent                               // a proxy that falls silent is left out
	skipMinRequests                            // looks are taken without enough requests
	compareTargeted                            // those that have a policy that was stopped are compared as if they were drawn
	compareLate                                // those that come after the draw are compared with those that were in it
	ignoreSilentControl                        // looks are taken while most others are silent
	skipReportingTest                          // those that told of requests are not compared by themselves
	skipGrossSignificance                      // a few that are silent stop a step, though others are silent too
	waitForever                                // a step that can't be looked at waits for ever
	skipCells                                  // proxies of a large fleet are drawn one by one
)

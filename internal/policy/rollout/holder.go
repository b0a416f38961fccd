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

// Offer is a policy that a proxy shall have.
type Offer struct {
	Order uint64 `json:"Order"` // how often an operator has told the fleet to go back
	Epoch uint64 `json:"Epoch"` // of the policy; each new one is higher
	Hash  string `json:"Hash"`  // of the policy's content: the root of its tree of pieces (package pieces) in hexadecimal
}

// After tells whether an offer goes before another.
func (o Offer) After(p Offer) bool {
	return o.Order > p.Order || o.Order == p.Order && o.Epoch > p.Epoch
}

// OldEpoch is an offer that would take a proxy back with nobody having told it to.
type OldEpoch struct{ Offered, Has Offer }

func (e OldEpoch) Error() string {
	return fmt.Sprintf("epoch %d (order %d) is offered, epoch %d (order %d) is held",
		e.Offered.Epoch, e.Offered.Order, e.Has.Epoch, e.Has.Order)
}

// Advice is what an operator can do.
func (e OldEpoch) Advice() string {
	return "A late word, or a steward that was cut off: nothing to do. To go back on purpose, tell the stewards to."
}

// EpochTwice is one epoch with two contents.
type EpochTwice struct {
	Epoch      uint64
	Has, Other string
}

func (e EpochTwice) Error() string {
	return fmt.Sprintf("epoch %d is held with hash %.12s, and offered with %.12s", e.Epoch, e.Has, e.Other)
}

// Advice is what an operator can do.
func (e EpochTwice) Advice() string {
	return "Two stewards number policies apart from each other, as after a founding anew. Find which are the fleet's own, and offer " +
		"the right policy under a new epoch."
}

// WrongContent is a policy that is not what its offer says.
type WrongContent struct{ Wanted, Got string }

func (e WrongContent) Error() string {
	return fmt.Sprintf("the policy's hash is %.12s, %.12s was offered", e.Got, e.Wanted)
}

// Advice is what an operator can do.
func (e WrongContent) Advice() string {
	return "The policy was damaged or cut on its way; it is fetched again. If it goes on, look at the steward that sent it."
}

// Holder is a proxy's side: which policy it has. Callers keep it on disk, so that a restart does not forget it.
type Holder struct {
	has   Offer
	flaws flaw
}

// NewHolder makes one that has a policy from before; the zero Offer is none.
func NewHolder(has Offer) *Holder { return &Holder{has: has} }

// Has is what is held.
func (h *Holder) Has() Offer { return h.has }

// Take takes a policy up that came as a whole text, as older stewards send it: the offer's hash is the text's SHA-256 then.
// See TakeRoot.
func (h *Holder) Take(o Offer, text []byte) error {
	sum := sha256.Sum256(text)
	return h.TakeRoot(o, hex.EncodeToString(sum[:]))
}

// TakeRoot takes a policy up whose content came to a root, whole or not at all. Nil is taken, or had already. Errors are OldEpoch,
// EpochTwice and WrongContent; they change nothing.
func (h *Holder) TakeRoot(o Offer, root string) error {
	if o == h.has {
		return nil
	}
	if o.Order == h.has.Order && o.Epoch == h.has.Epoch {
		return EpochTwice{o.Epoch, h.has.Hash, o.Hash}
	}
	if !o.After(h.has) && h.flaws&noFence == 0 {
		return OldEpoch{o, h.has}
	}
	if root != o.Hash && h.flaws&noHash == 0 {
		return WrongContent{o.Hash, root}
	}
	h.has = o
	return nil
}

// flaw is a guard taken out, to see that the tests convict.
type flaw uint16

const (
	noFence    flaw = 1 << iota // older epochs are taken
	noHash                      // any content is taken
	noTest                      // nothing stops a roll-out
	noSpend                     // each look has the whole error rate
	pooled                      // requests count as drawn apart from each other, whichever proxy they came by
	noSilent                    // a proxy that falls silent is left out
	noEnough                    // looks are taken without enough requests
	sameDraw                    // those that have a policy that was stopped are compared as if they were drawn
	countLate                   // those that come after the draw are compared with those that were in it
	noDeaf                      // looks are taken while most others are silent
	oneTest                     // those that told of requests are not compared by themselves
	anyGross                    // a few that are silent stop a step, though others are silent too
	noPatience                  // a step that can't be looked at waits for ever
	noCells                     // proxies of a large fleet are drawn one by one
)

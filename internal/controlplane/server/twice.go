package server

import (
	"fmt"
	"time"

	"lapisspread/internal/quotalease"
)

// DuplicateFloorClaimError is that two processes both say that the floors of one name are theirs. On one machine a lock keeps them apart, so these
// are on two.
type DuplicateFloorClaimError struct{ Holder string }

func (e DuplicateFloorClaimError) Error() string {
	return fmt.Sprintf("two processes on two machines go by the floors of %s", e.Holder)
}

// Advice is what an operator can do.
func (DuplicateFloorClaimError) Advice() string {
	return "Stop one of the two, or give it a name of its own: until then its floors are spent twice. A copy of a machine's state folder is the usual cause."
}

// floorClaimTracker finds that. Once another incarnation has claimed a name's floors, the one before it must never do so again.
type floorClaimTracker struct {
	byHolder    map[string]*floorClaimHistory
	lastWarning time.Duration
}

type floorClaimHistory struct {
	current  uint64
	previous map[uint64]time.Duration // when it claimed last
}

const (
	maxTrackedHolders = 1 << 14
	claimMemory       = time.Minute // a claim; of two that live each asks many times in that
)

// observe takes a request, and returns FloorsTwice if it shows that.
func (c *floorClaimTracker) observe(now time.Duration, r *quotalease.Request) error {
	if r.FloorsVersion == 0 || r.Leaving {
		return nil
	}
	if c.byHolder == nil || len(c.byHolder) >= maxTrackedHolders {
		c.byHolder = map[string]*floorClaimHistory{}
	}
	h := c.byHolder[r.Holder]
	if h == nil {
		h = &floorClaimHistory{current: r.Incarnation, previous: map[uint64]time.Duration{}}
		c.byHolder[r.Holder] = h
	}
	if h.current == r.Incarnation {
		return nil
	}
	for i, at := range h.previous {
		if now-at > claimMemory {
			delete(h.previous, i)
		}
	}
	_, again := h.previous[r.Incarnation]
	h.previous[h.current] = now
	h.current = r.Incarnation
	if again {
		return DuplicateFloorClaimError{r.Holder}
	}
	return nil
}

package server

import (
	"fmt"
	"time"

	"lapisspread/internal/quotalease"
)

// FloorsTwice is that two processes both say that the floors of one name are theirs. On one machine a lock keeps them apart, so these
// are on two.
type FloorsTwice struct{ Holder string }

func (e FloorsTwice) Error() string {
	return fmt.Sprintf("two processes on two machines go by the floors of %s", e.Holder)
}

// Advice is what an operator can do.
func (FloorsTwice) Advice() string {
	return "Stop one of the two, or give it a name of its own: until then its floors are spent twice. A copy of a machine's state folder is the usual cause."
}

// claimants finds that. Once another incarnation has claimed a name's floors, the one before it must never do so again.
type claimants struct {
	by   map[string]*claimed
	told time.Duration
}

type claimed struct {
	now    uint64
	before map[uint64]time.Duration // when it claimed last
}

const (
	mostClaimants = 1 << 14
	remembered    = time.Minute // a claim; of two that live each asks many times in that
)

// heard takes a request, and returns FloorsTwice if it shows that.
func (c *claimants) heard(now time.Duration, r *quotalease.Request) error {
	if r.FloorsVersion == 0 || r.Leaving {
		return nil
	}
	if c.by == nil || len(c.by) >= mostClaimants {
		c.by = map[string]*claimed{}
	}
	h := c.by[r.Holder]
	if h == nil {
		h = &claimed{now: r.Incarnation, before: map[uint64]time.Duration{}}
		c.by[r.Holder] = h
	}
	if h.now == r.Incarnation {
		return nil
	}
	for i, at := range h.before {
		if now-at > remembered {
			delete(h.before, i)
		}
	}
	_, again := h.before[r.Incarnation]
	h.before[h.now] = now
	h.now = r.Incarnation
	if again {
		return FloorsTwice{r.Holder}
	}
	return nil
}

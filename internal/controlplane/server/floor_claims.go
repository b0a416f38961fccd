package server

import (
	"time"

	"lapisspread/internal/quotalease"
)

const (
	// maxTrackedHolders bounds the tracker's memory. When it is reached, the tracker forgets all holders.
	maxTrackedHolders = 1 << 14
	// claimRetention is how long a replaced incarnation is remembered. Two running processes each send many requests in
	// this time, so a duplicate claim is still detected.
	claimRetention = time.Minute
)

// floorClaimTracker detects two processes that use the floors of the same proxy: once another incarnation has claimed
// the floors, the earlier one must not claim them again. It is not safe for concurrent use.
type floorClaimTracker struct {
	byHolder    map[string]*floorClaimHistory
	lastWarning time.Duration // when a duplicate claim was last logged; 0 if never
}

// floorClaimHistory holds the incarnations of one holder that claimed its floors.
type floorClaimHistory struct {
	current  uint64                   // incarnation of the last claim
	previous map[uint64]time.Duration // earlier incarnations and when each was replaced
}

// observe records a request that arrived at now. It returns a DuplicateFloorClaimError if the request claims the floors
// for an incarnation that another one replaced less than about claimRetention ago. Requests without floors, and those
// of a leaving holder, claim nothing.
func (t *floorClaimTracker) observe(now time.Duration, request *quotalease.Request) error {
	if request.FloorsVersion == 0 || request.Leaving {
		return nil
	}
	if t.byHolder == nil || len(t.byHolder) >= maxTrackedHolders {
		t.byHolder = map[string]*floorClaimHistory{}
	}
	history := t.byHolder[request.Holder]
	if history == nil {
		history = &floorClaimHistory{current: request.Incarnation, previous: map[uint64]time.Duration{}}
		t.byHolder[request.Holder] = history
	}
	if history.current == request.Incarnation {
		return nil
	}
	for incarnation, replacedAt := range history.previous {
		if now-replacedAt > claimRetention {
			delete(history.previous, incarnation)
		}
	}
	_, returned := history.previous[request.Incarnation]
	history.previous[history.current] = now
	history.current = request.Incarnation
	if returned {
		return DuplicateFloorClaimError{Holder: request.Holder}
	}
	return nil
}

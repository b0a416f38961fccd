package server

import (
	"time"

	"lapisspread/internal/quotalease"
)

const (
	// maxTrackedHolders bounds the tracker's memory; beyond it the tracker starts over.
	maxTrackedHolders = 1 << 14
	// claimMemory is how long an earlier claim counts. Two live processes each send many requests in that time.
	claimMemory = time.Minute
)

// floorClaimTracker detects two processes that spend the floors of one proxy: once another incarnation has claimed
// them, the earlier one must not claim them again. It is used by one goroutine.
type floorClaimTracker struct {
	byHolder    map[string]*floorClaimHistory
	lastWarning time.Duration // when a duplicate claim was last logged; 0 is never
}

type floorClaimHistory struct {
	current  uint64                   // incarnation
	previous map[uint64]time.Duration // when an earlier incarnation was replaced
}

// observe records a request. It returns a DuplicateFloorClaimError if the request proves a duplicate claim.
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
		if now-replacedAt > claimMemory {
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

package server

import (
	"errors"
	"testing"
	"time"

	"lapisspread/internal/quotalease"
)

// The tracker reports a duplicate only if a replaced incarnation claims the floors again; restarts and upgrades are not
// duplicates.
func TestDuplicateFloorClaimsAreDetected(t *testing.T) {
	newRequest := func(incarnation, floorsVersion uint64) *quotalease.Request {
		return &quotalease.Request{
			HolderID:      quotalease.HolderID{Holder: "p1", Incarnation: incarnation},
			FloorsVersion: floorsVersion,
		}
	}
	for name, c := range map[string]struct {
		requests []*quotalease.Request
		want     bool
	}{
		// One process repeats its claim and then claims a later version of the floors.
		"one process": {
			[]*quotalease.Request{newRequest(1, 3), newRequest(1, 3), newRequest(1, 4)}, false,
		},
		"the process restarts twice": {
			[]*quotalease.Request{newRequest(1, 3), newRequest(2, 3), newRequest(2, 3), newRequest(3, 3)}, false,
		},
		// Requests with floors version 0 claim no floors: the old process claims none after the new one's first claim.
		"an upgrade during which the old process still sends requests": {
			[]*quotalease.Request{
				newRequest(1, 3), newRequest(2, 0), newRequest(1, 3), newRequest(2, 3), newRequest(1, 0),
			}, false,
		},
		// Two running processes alternate their claims.
		"two running processes": {[]*quotalease.Request{newRequest(1, 3), newRequest(2, 3), newRequest(1, 3)}, true},
	} {
		var tracker floorClaimTracker
		detected := false
		for i, request := range c.requests {
			err := tracker.observe(time.Duration(i)*time.Second, request)
			detected = errors.As(err, &DuplicateFloorClaimError{}) || detected
		}
		if detected != c.want {
			t.Errorf("case %q: observe reported a duplicate floor claim = %v, want %v", name, detected, c.want)
		}
	}
}

package server

import (
	"errors"
	"testing"
	"time"

	"lapisspread/internal/quotalease"
)

func TestDuplicateFloorClaimsAreDetected(t *testing.T) {
	ask := func(incarnation, floors uint64) *quotalease.Request {
		return &quotalease.Request{
			HolderID:      quotalease.HolderID{Holder: "p1", Incarnation: incarnation},
			FloorsVersion: floors,
		}
	}
	for name, c := range map[string]struct {
		asks []*quotalease.Request
		want bool
	}{
		"one":                    {[]*quotalease.Request{ask(1, 3), ask(1, 3), ask(1, 4)}, false},
		"a restart, and another": {[]*quotalease.Request{ask(1, 3), ask(2, 3), ask(2, 3), ask(3, 3)}, false},
		"an upgrade: the old one asks": {
			[]*quotalease.Request{ask(1, 3), ask(2, 0), ask(1, 3), ask(2, 3), ask(1, 0)}, false,
		},
		"two": {[]*quotalease.Request{ask(1, 3), ask(2, 3), ask(1, 3)}, true},
	} {
		var all floorClaimTracker
		found := false
		for i, r := range c.asks {
			found = errors.As(all.observe(time.Duration(i)*time.Second, r), &DuplicateFloorClaimError{}) || found
		}
		if found != c.want {
			t.Errorf("%s: found %v", name, found)
		}
	}
}

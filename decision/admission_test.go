package decision

import (
	"testing"
	"time"
)

// With nearly as many requests open as may be, those that bring least for the time that they take are shed at once,
// and the others are admitted.
func TestLastOpenRequestsAreForMostValuable(t *testing.T) {
	cfg := testConfig()
	cfg.Capabilities.MaxOpenRequests = 20
	cfg.Classes[2].PriorityWeight = 20 // notIdempotent
	b, h := newBalancer(t, cfg, 4)
	id := RequestID(0)
	ask := func(class int) string {
		id++
		b.Request(second, Request{ID: id, Class: class, Deadline: 4 * second})
		for _, a := range h.take("reject") {
			if a.id == id {
				return "shed"
			}
		}
		return "admitted"
	}
	for range 9 {
		for _, class := range []int{notIdempotent, 0} {
			if got := ask(class); got != "admitted" {
				t.Fatalf("with %d open: %s", b.openRequests, got)
			}
		}
	}
	if got := ask(0); got != "shed" {
		t.Errorf("one of little weight with %d open: %s", b.openRequests, got)
	}
	if got := ask(notIdempotent); got != "admitted" {
		t.Errorf("one of much weight with %d open: %s", b.openRequests, got)
	}
	for id := range id {
		b.ClientGone(second, id+1)
		b.ClientGone(second, id+1)
	}
	if b.openRequests != 0 {
		t.Errorf("%d are counted as open after all have gone", b.openRequests)
	}
}

// An objective that is stretched past the range of a Duration ends at the deadline, and does not wrap round.
func TestStretchedObjectiveEndsAtDeadline(t *testing.T) {
	cfg := testConfig()
	cfg.Classes[idempotent].ObjectivePerWork = 1e12
	b, _ := newBalancer(t, cfg, 2)
	b.Request(second, Request{ID: 1, Class: idempotent, ExpectedWork: time.Hour, Deadline: 5 * second})
	if r := b.requests[1]; r == nil || r.objectiveAt != 5*second {
		t.Errorf("%+v", r)
	}
}

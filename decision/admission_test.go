package decision

import (
	"testing"
	"time"
)

// When nearly MaxOpenRequests are open, requests that earn less than the mean for each millisecond they are open are
// shed on arrival, and the others are admitted.
func TestLastOpenRequestsAreForMostValuable(t *testing.T) {
	cfg := testConfig()
	cfg.Capabilities.MaxOpenRequests = 20
	cfg.Classes[notIdempotent].PriorityWeight = 20
	b, h := newBalancer(t, cfg, 4)
	id := RequestID(0)
	admit := func(class int) string {
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
			if got := admit(class); got != "admitted" {
				t.Fatalf("Request(class %s) with %d of 20 open: %s, want admitted", className(class),
					b.openRequests, got)
			}
		}
	}
	if got := admit(0); got != "shed" {
		t.Errorf("Request(class of priority weight 1) with %d of 20 open: %s, want shed", b.openRequests, got)
	}
	if got := admit(notIdempotent); got != "admitted" {
		t.Errorf("Request(class of priority weight 20) with %d of 20 open: %s, want admitted", b.openRequests, got)
	}
	for id := range id {
		b.ClientGone(second, id+1)
		b.ClientGone(second, id+1)
	}
	if b.openRequests != 0 {
		t.Errorf("%d requests counted as open after all clients left, want 0", b.openRequests)
	}
}

// A latency objective that would exceed the range of time.Duration ends at the deadline and does not overflow.
func TestStretchedObjectiveEndsAtDeadline(t *testing.T) {
	cfg := testConfig()
	cfg.Classes[idempotent].ObjectivePerWork = 1e12
	b, _ := newBalancer(t, cfg, 2)
	b.Request(second, Request{ID: 1, Class: idempotent, ExpectedWork: time.Hour, Deadline: 5 * second})
	r := b.requests[1]
	if r == nil {
		t.Fatal("Request(deadline 5s) with an overflowing objective is not recorded as open, want it open")
	}
	if r.objectiveAt != 5*second {
		t.Errorf("Request(deadline 5s) with an overflowing objective: objectiveAt = %v, want 5s", r.objectiveAt)
	}
}

package decision

import (
	"testing"
	"time"
)

// A detached backend gets neither requests nor health checks until it is attached, whatever the endpoint list contains.
func TestDetachedBackendGetsNothingNew(t *testing.T) {
	for _, c := range []struct {
		name        string
		updateLists func(b *Balancer) // endpoint updates while the backend is detached
	}{
		{"list unchanged", func(*Balancer) {}},
		{"same list again", func(b *Balancer) {
			b.UpdateEndpoints(second,
				EndpointUpdate{Kind: UpdateFull, Backends: list(2)})
		}},
		{"removed and listed again", func(b *Balancer) {
			b.UpdateEndpoints(second, EndpointUpdate{Kind: UpdateFull, Backends: list(2)[1:]})
			b.UpdateEndpoints(second, EndpointUpdate{Kind: UpdateFull, Backends: list(2)})
		}},
		{"restarted", func(b *Balancer) {
			e := list(2)[0]
			e.Started = second
			b.UpdateEndpoints(second, EndpointUpdate{Kind: UpdateDelta, Backends: []Backend{e}})
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			detached := list(2)[0].ID
			b, h := newBalancer(t, testConfig(), 2)
			b.Detach(second, detached)
			if got := h.take("release"); len(got) != 1 || got[0].to != detached {
				t.Errorf("Detach(backend %d) caused %v, want one release of that backend's idle connections", detached,
					got)
			}
			c.updateLists(b)
			if known, excluded := b.CountBackends(); known != 2 || excluded != 1 {
				t.Errorf("CountBackends() with one of two detached = %d known, %d excluded; want 2 and 1", known,
					excluded)
			}
			if n := sendsAndChecks(b, h, detached); n > 0 {
				t.Errorf("detached backend got %d sends and health checks, want none", n)
			}
			b.Attach(3*second, detached)
			if _, warmingUp := b.warmUpCapacity(b.targetsByID[detached]); !warmingUp {
				t.Error("attached backend counts as warm, want it to warm up: it may have been restarted")
			}
			if !servesAgain(b, h, detached) {
				t.Error("attached backend got none of 100 requests, want at least one")
			}
		})
	}
}

// sendsAndChecks sends forty requests, answered at once, and counts the sends and health checks that the backend gets.
func sendsAndChecks(b *Balancer, h *recorder, to BackendID) (count int) {
	now := second
	for id := range RequestID(40) {
		now += 20 * milli
		b.Request(now, Request{ID: id + 1, Class: idempotent, Deadline: now + second})
		b.Timer(now, sweepToken)
		for _, a := range h.take("send", "check") {
			if a.to == to {
				count++
			}
			if a.verb == "send" {
				b.Outcome(now+milli, Outcome{ID: a.id, Backend: a.to, Result: OK, Latency: milli, Final: true})
			} else {
				b.HealthChecked(now+milli, HealthCheckResult{Backend: a.to, Result: OK, Latency: milli})
			}
		}
		now += milli
	}
	return count
}

// servesAgain reports whether the backend gets one of a hundred requests, which are answered after 1 ms.
func servesAgain(b *Balancer, h *recorder, to BackendID) bool {
	b.now = 3 * second
	for i := range 100 {
		now := 3*second + time.Duration(i)*20*milli
		b.Timer(now, sweepToken)
		b.Request(now, Request{ID: RequestID(100 + i), Class: idempotent, Deadline: now + second})
		found := false
		for _, a := range h.take("send") {
			found = found || a.to == to
			b.Outcome(now+milli, Outcome{ID: a.id, Backend: a.to, Result: OK, Latency: milli, Final: true})
		}
		if found {
			return true
		}
	}
	return false
}

// Detach may be called twice and before the backend is listed. One call of Attach cancels both calls.
func TestDetachBeforeListAndTwice(t *testing.T) {
	detached := list(1)[0].ID
	b, _ := newBalancer(t, testConfig(), 0)
	b.Detach(second, detached)
	b.Detach(second, detached)
	b.UpdateEndpoints(second, EndpointUpdate{Kind: UpdateFull, Backends: list(3)})
	if len(b.active) != 2 {
		t.Errorf("%d of 3 backends active after Detach of one was called twice before the list, want 2", len(b.active))
	}
	b.Attach(2*second, detached)
	b.Attach(2*second, detached)
	if len(b.active) != 3 {
		t.Errorf("%d of 3 backends active after Attach, want 3", len(b.active))
	}
}

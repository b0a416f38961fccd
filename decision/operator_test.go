package decision

import (
	"testing"
	"time"
)

// A detached backend gets neither requests nor health checks until it is attached, whatever the list says.
func TestDetachedBackendGetsNothingNew(t *testing.T) {
	for _, c := range []struct {
		name  string
		lists func(b *Balancer)
	}{
		{"list unchanged", func(*Balancer) {}},
		{"listed anew", func(b *Balancer) {
			b.UpdateEndpoints(second,
				EndpointUpdate{Kind: UpdateFull, Backends: list(2)})
		}},
		{"gone and back", func(b *Balancer) {
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
			out := list(2)[0].ID
			b, h := newBalancer(t, testConfig(), 2)
			b.Detach(second, out)
			if got := h.take("release"); len(got) != 1 || got[0].to != out {
				t.Errorf("idle connections released: %v", got)
			}
			c.lists(b)
			if known, excluded := b.CountBackends(); known != 2 || excluded != 1 {
				t.Errorf("%d known, %d excluded", known, excluded)
			}
			if n := sendsAndChecks(b, h, out); n > 0 {
				t.Errorf("%d requests and checks for the detached backend", n)
			}
			b.Attach(3*second, out)
			if _, cold := b.warmUpCapacity(b.targetsByID[out]); !cold {
				t.Error("it may have been restarted, and is taken for warm")
			}
			if !servesAgain(b, h, out) {
				t.Error("attached, it gets nothing")
			}
		})
	}
}

// sendsAndChecks counts what the backend gets of forty requests, which are answered at once.
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

// servesAgain reports whether the backend gets one of a hundred requests, which are answered at once.
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

// An order may come before the list and twice; one Attach ends it.
func TestDetachBeforeListAndTwice(t *testing.T) {
	out := list(1)[0].ID
	b, _ := newBalancer(t, testConfig(), 0)
	b.Detach(second, out)
	b.Detach(second, out)
	b.UpdateEndpoints(second, EndpointUpdate{Kind: UpdateFull, Backends: list(3)})
	if len(b.active) != 2 {
		t.Errorf("%d ready, want 2", len(b.active))
	}
	b.Attach(2*second, out)
	b.Attach(2*second, out)
	if len(b.active) != 3 {
		t.Errorf("attached: %d ready, want 3", len(b.active))
	}
}

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
				t.Errorf("idle connections given back: %v", got)
			}
			c.lists(b)
			if known, excluded := b.CountBackends(); known != 2 || excluded != 1 {
				t.Errorf("%d known, %d excluded", known, excluded)
			}
			sent := func(from RequestID) (there int) {
				now := second
				for id := from; id < from+40; id++ {
					now += 20 * milli
					b.Request(now, Request{ID: id, Class: idempotent, Deadline: now + second})
					b.Timer(now, sweepToken)
					for _, a := range h.take("send", "check") {
						if a.to == out {
							there++
						}
						if a.verb == "send" {
							b.Outcome(now+milli, Outcome{ID: a.id, Backend: a.to, Result: OK, Latency: milli,
								Final: true})
						} else {
							b.HealthChecked(now+milli, HealthCheckResult{Backend: a.to, Result: OK, Latency: milli})
						}
					}
					now += milli
				}
				return there
			}
			if n := sent(1); n > 0 {
				t.Errorf("%d requests and probes for the backend that is out", n)
			}
			b.Attach(3*second, out)
			if _, cold := b.warmUpCapacity(b.targetsByID[out]); !cold {
				t.Error("it may have been restarted, and is taken for warm")
			}
			b.now = 3 * second
			there := 0
			for id := RequestID(100); id < 200 && there == 0; id++ {
				now := 3*second + (time.Duration(id)-100)*20*milli
				b.Timer(now, sweepToken)
				b.Request(now, Request{ID: id, Class: idempotent, Deadline: now + second})
				for _, a := range h.take("send") {
					if a.to == out {
						there++
					}
					b.Outcome(now+milli, Outcome{ID: a.id, Backend: a.to, Result: OK, Latency: milli, Final: true})
				}
			}
			if there == 0 {
				t.Error("put back, it gets nothing")
			}
		})
	}
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
		t.Errorf("put back: %d ready, want 3", len(b.active))
	}
}

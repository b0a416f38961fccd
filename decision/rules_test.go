package decision

import "testing"

// Each guard by itself: send must say no, whoever asks.
func TestSendAsksEveryGuard(t *testing.T) {
	for _, c := range []struct {
		name  string
		class int
		set   func(b *Balancer, r *request, other *target)
	}{
		{"ended", idempotent, func(_ *Balancer, r *request, _ *target) { r.ended = true }},
		{"streaming", idempotent, func(_ *Balancer, r *request, _ *target) { r.streaming = true }},
		{"past the deadline", idempotent, func(b *Balancer, r *request, _ *target) { b.now = r.Deadline }},
		{"draining", idempotent, func(_ *Balancer, _ *request, o *target) { o.State = Draining }},
		{"gone", idempotent, func(_ *Balancer, _ *request, o *target) { o.State = Removed }},
		{"second copy", idempotent, func(b *Balancer, _ *request, _ *target) { b.config.Capabilities.HedgedRequests = false }},
		{"attempts used up", idempotent, func(b *Balancer, _ *request, _ *target) { b.config.Capabilities.MaxAttempts = 1 }},
		{"unsafe that may run", notIdempotent, func(*Balancer, *request, *target) {}},
		{"other zone", keyed, func(_ *Balancer, r *request, o *target) { o.Zone = r.attempts[0].zone + 1 }},
		{"other cell", keyed, func(b *Balancer, r *request, o *target) {
			b.config.Classes[keyed].DeduplicationScope, o.Cell = ScopeCell, r.attempts[0].cell+1
		}},
		{"after the window", keyedAnywhere, func(b *Balancer, _ *request, _ *target) { b.now += 2 * second }},
		{"cold without budget", idempotent, func(b *Balancer, _ *request, o *target) {
			o.lastStart, o.slowStartTokens = b.now, -1
		}},
	} {
		b, h := newBalancer(t, testConfig(), 2)
		b.Request(second, Request{ID: 1, Class: c.class, Deadline: 5 * second})
		r := b.requests[1]
		other := b.targets[0]
		if other == r.attempts[0].target {
			other = b.targets[1]
		}
		other.Zone, other.Cell = r.attempts[0].zone, r.attempts[0].cell
		h.take()
		c.set(b, r, other)
		if b.send(r, other) || len(h.take("send")) > 0 {
			t.Errorf("%s: sent all the same", c.name)
		}
	}
	b, h := newBalancer(t, testConfig(), 2)
	b.Request(second, Request{ID: 1, Deadline: 5 * second})
	h.take()
	r := b.requests[1]
	other := b.targets[0]
	if other == r.attempts[0].target {
		other = b.targets[1]
	}
	if !b.send(r, other) {
		t.Error("a second copy of a safe request was not sent, so the cases above show nothing")
	}
	b.rejectOrFail(r, 0)
	b.rejectOrFail(r, 0)
	if got := h.take("refuse", "fail"); len(got) != 1 {
		t.Errorf("%d final answers", len(got))
	}
}

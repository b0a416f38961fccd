package decision

import (
	"testing"
	"time"
)

// Whether a request is retried, failed or rejected after its attempt ends, by the idempotency of its class.
func TestRetryByIdempotency(t *testing.T) {
	for _, c := range []struct {
		class  int
		result Result
		want   string
	}{
		{idempotent, Error, "send"}, {idempotent, Reset, "send"}, {idempotent, ConnectFailed, "send"},
		{idempotent, Rejected, "send"},
		{keyed, Error, "send"}, {keyed, ConnectFailed, "send"},
		{keyedAnywhere, Error, "send"}, {keyedAnywhere, Reset, "send"},
		{notIdempotent, Error, "fail"}, {notIdempotent, Reset, "fail"}, {notIdempotent, Cancelled, "fail"},
		{notIdempotent, ConnectFailed, "send"}, {notIdempotent, Rejected, "send"},
	} {
		b, h := newBalancer(t, testConfig(), 6)
		b.Request(second, Request{ID: 9, Class: c.class, Deadline: 4 * second})
		first := h.take("send")
		if len(first) != 1 {
			t.Fatalf("Request(class %s) caused %d sends, want 1", className(c.class), len(first))
		}
		b.Outcome(second+10*milli, Outcome{ID: 9, Backend: first[0].to, Result: c.result, Latency: 10 * milli})
		next := h.take("send", "fail", "reject")
		if len(next) != 1 || next[0].verb != c.want {
			t.Errorf("class %s: Outcome(%s) caused %v, want one %s", className(c.class), resultName(c.result), next,
				c.want)
			continue
		}
		if c.want == "send" && next[0].to == first[0].to {
			t.Errorf("class %s: Outcome(%s) from backend %d caused a retry to the same backend, want another",
				className(c.class), resultName(c.result), first[0].to)
		}
		if c.class == keyed && !c.result.NeverRan() && (next[0].to-first[0].to)%2 != 0 {
			t.Errorf("class %s: Outcome(%s) from backend %d caused a retry to backend %d, want one in the same zone",
				className(c.class), resultName(c.result), first[0].to, next[0].to)
		}
	}
}

// Each guard by itself prevents a send, whatever the callers of send have checked.
func TestSendAsksEveryGuard(t *testing.T) {
	for _, c := range []struct {
		name  string
		class int
		set   func(b *Balancer, r *request, other *target) // sets the state that forbids the send
	}{
		{"request ended", idempotent, func(_ *Balancer, r *request, _ *target) { r.ended = true }},
		{"answer streaming", idempotent, func(_ *Balancer, r *request, _ *target) { r.streaming = true }},
		{"deadline reached", idempotent, func(b *Balancer, r *request, _ *target) { b.now = r.Deadline }},
		{"target draining", idempotent, func(_ *Balancer, _ *request, o *target) { o.State = Draining }},
		{"target removed", idempotent, func(_ *Balancer, _ *request, o *target) { o.State = Removed }},
		{"hedged requests not allowed", idempotent, func(b *Balancer, _ *request,
			_ *target) {
			b.config.Capabilities.HedgedRequests = false
		}},
		{"maximum number of attempts reached", idempotent, func(b *Balancer, _ *request,
			_ *target) {
			b.config.Capabilities.MaxAttempts = 1
		}},
		{"not idempotent and may have run", notIdempotent, func(*Balancer, *request, *target) {}},
		{"outside the deduplication zone", keyed, func(_ *Balancer, r *request, o *target) {
			o.Zone = r.attempts[0].zone + 1
		}},
		{"outside the deduplication cell", keyed, func(b *Balancer, r *request, o *target) {
			b.config.Classes[keyed].DeduplicationScope, o.Cell = ScopeCell, r.attempts[0].cell+1
		}},
		{"after the deduplication window", keyedAnywhere, func(b *Balancer, _ *request, _ *target) {
			b.now += 2 * second
		}},
		{"slow start without tokens", idempotent, func(b *Balancer, _ *request, o *target) {
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
			t.Errorf("%s: send() sent the request to the second target, want no send", c.name)
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
		t.Error("send() of a hedged idempotent request = false, want true, or the cases above prove nothing")
	}
	b.rejectOrFail(r)
	b.rejectOrFail(r)
	if got := h.take("reject", "fail"); len(got) != 1 {
		t.Errorf("two calls of rejectOrFail caused %v, want one final answer", got)
	}
}

// After a reset, a request is retried only where and as long as its class allows, and otherwise gets its final answer
// at once. The cases are each idempotency and scope, before and after the end of the deduplication window, and windows
// that are shorter than a tick or missing.
func TestResetAfterRequestBegan(t *testing.T) {
	const n = 12 // backends of two zones and three cells
	zoneAndCell := func(id BackendID) (zone, cell int) { return (int(id) - 1) % 2, (int(id) - 1) % 3 }
	for _, k := range []struct {
		name      string
		class     Class
		resetAt   time.Duration // since the send
		wantRetry bool
	}{
		{"idempotent", Class{Idempotency: Idempotent}, 30 * milli, true},
		{"not idempotent", Class{Idempotency: NotIdempotent, DeduplicationWindow: second, DeduplicationScope: ScopeAll},
			30 * milli, false},
		{"scope all, within the window", Class{Idempotency: IdempotentByKey, DeduplicationScope: ScopeAll,
			DeduplicationWindow: 40 * milli}, 30 * milli, true},
		{"scope all, after the window", Class{Idempotency: IdempotentByKey, DeduplicationScope: ScopeAll,
			DeduplicationWindow: 40 * milli}, 40 * milli, false},
		{"scope all, in the last tick of the window", Class{Idempotency: IdempotentByKey, DeduplicationScope: ScopeAll,
			DeduplicationWindow: 40 * milli}, 36 * milli, false},
		{"scope zone, within the window", Class{Idempotency: IdempotentByKey, DeduplicationScope: ScopeZone,
			DeduplicationWindow: 40 * milli}, 30 * milli, true},
		{"scope zone, after the window", Class{Idempotency: IdempotentByKey, DeduplicationScope: ScopeZone,
			DeduplicationWindow: 40 * milli}, 41 * milli, false},
		{"scope cell, within the window", Class{Idempotency: IdempotentByKey, DeduplicationScope: ScopeCell,
			DeduplicationWindow: 40 * milli}, 30 * milli, true},
		{"scope cell, after the window", Class{Idempotency: IdempotentByKey, DeduplicationScope: ScopeCell,
			DeduplicationWindow: 40 * milli}, 50 * milli, false},
		{"window shorter than a tick", Class{Idempotency: IdempotentByKey, DeduplicationScope: ScopeAll,
			DeduplicationWindow: 3 * milli}, milli, false},
		{"no window", Class{Idempotency: IdempotentByKey, DeduplicationScope: ScopeAll}, 0, false},
	} {
		t.Run(k.name, func(t *testing.T) {
			cfg := testConfig()
			k.class.Name = "c"
			k.class.LatencyObjective = second
			k.class.ClientTimeout = 3 * second
			k.class.PriorityWeight = 1
			cfg.Classes = []Class{k.class}
			b, h, to := openedRequest(t, cfg, 0, n)
			zone, cell := zoneAndCell(to)
			// Detach all other backends of the deduplication scope, so that any other target is outside it.
			for _, e := range list(n) {
				z, c := zoneAndCell(e.ID)
				if e.ID != to && (k.class.DeduplicationScope == ScopeZone && z == zone ||
					k.class.DeduplicationScope == ScopeCell && c == cell) {
					b.Detach(second, e.ID)
				}
			}
			h.take()
			b.Outcome(second+k.resetAt, Outcome{ID: 1, Backend: to, Result: Reset})
			got := h.take("send", "reject", "fail")
			finalAnswer := "fail"
			if k.class.Idempotency == Idempotent || k.class.Idempotency == IdempotentByKey &&
				k.class.DeduplicationScope == ScopeAll {
				finalAnswer = "reject" // trying again is harmless
			}
			switch {
			case len(got) != 1:
				t.Fatalf("Outcome(Reset) %v after the send caused %v, want one action", k.resetAt, got)
			case !k.wantRetry && got[0].verb != finalAnswer:
				t.Errorf("Outcome(Reset) %v after the send, with a deduplication window of %v, caused %v, want one %s",
					k.resetAt, k.class.DeduplicationWindow, got, finalAnswer)
			case k.wantRetry && got[0].verb != "send":
				t.Errorf("Outcome(Reset) %v after the send, with a deduplication window of %v, caused %v, want a send",
					k.resetAt, k.class.DeduplicationWindow, got)
			}
			if z, c := zoneAndCell(got[0].to); k.wantRetry && (k.class.DeduplicationScope == ScopeZone && z != zone &&
				k.class.Idempotency == IdempotentByKey ||
				k.class.DeduplicationScope == ScopeCell && c != cell && k.class.Idempotency == IdempotentByKey) {
				t.Errorf("retry after a reset by backend %d went to backend %d, want one in the deduplication scope",
					to, got[0].to)
			}
		})
	}
}

// The deduplication window starts at the first attempt that may have run, however many follow.
func TestWindowStartsAtFirstAttemptThatMayHaveRun(t *testing.T) {
	cfg := testConfig()
	cfg.Classes = []Class{{Name: "c", LatencyObjective: second, ClientTimeout: 3 * second, PriorityWeight: 1,
		Idempotency: IdempotentByKey, DeduplicationScope: ScopeAll, DeduplicationWindow: 100 * milli}}
	for _, k := range []struct {
		first Result
		want  string
	}{{ConnectFailed, "send"}, {Rejected, "send"}, {NotSent, "send"}, {Reset, "reject"}, {Error, "reject"}} {
		b, h, to := openedRequest(t, cfg, 0, 12)
		b.Outcome(second+60*milli, Outcome{ID: 1, Backend: to, Result: k.first})
		next := h.take("send")
		if len(next) != 1 {
			t.Fatalf("Outcome(%s) 60 ms after the send caused %d retries, want 1", resultName(k.first), len(next))
		}
		b.Outcome(second+120*milli, Outcome{ID: 1, Attempt: 1, Backend: next[0].to, Result: Reset})
		if got := h.take("send", "reject", "fail"); len(got) != 1 || got[0].verb != k.want {
			t.Errorf("first attempt ended with %s; Outcome(Reset) of the second, 120 ms after the first was sent, "+
				"with a deduplication window of 100 ms, caused %v, want one %s", resultName(k.first), got, k.want)
		}
	}
}

// A keyed request whose deduplication window ends while it is queued may not be sent any more: it gets its final answer
// then.
func TestKeyedRequestIsAnsweredOnceWindowEnds(t *testing.T) {
	b, h := newBalancer(t, testConfig(), 2)
	b.Request(second, Request{ID: 1, Class: keyed, Deadline: 9 * second})
	b.requests[1].objectiveAt = 9 * second // far later than the end of the deduplication window of 1 s
	to := h.take("send")[0].to
	for _, other := range b.targets { // no target has capacity
		other.limit.ceiling = 1
		other.limit.inFlight = 9
		other.limit.load = 9
	}
	b.Outcome(second+900*milli, Outcome{ID: 1, Backend: to, Result: Reset})
	if got := h.take("send", "reject", "fail"); len(got) != 0 {
		t.Fatalf("Outcome(Reset) 900 ms after the send, within the deduplication window of 1 s, caused %v, "+
			"want no action: the request is queued", got)
	}
	b.Timer(2*second+10*milli, dispatchToken)
	if got := h.take("send", "reject", "fail"); len(got) != 1 || got[0].verb != "fail" {
		t.Errorf("dispatch 1.01 s after the send, after the deduplication window of 1 s, caused %v, want one fail", got)
	}
}

// The deduplication window starts at the send, even if a streamed body ends later.
func TestWindowOfStreamedRequestStartsAtSend(t *testing.T) {
	b, h := newBalancer(t, testConfig(), 4)
	b.Request(second, Request{ID: 1, Class: keyed, Deadline: 9 * second, StreamedBody: true})
	to := h.take("send")[0].to
	b.BodyComplete(second+900*milli, 1, 9*second)
	b.Outcome(2*second+100*milli, Outcome{ID: 1, Backend: to, Result: Reset})
	if got := h.take("send", "fail"); len(got) != 1 || got[0].verb != "fail" {
		t.Errorf("Outcome(Reset) 1.1 s after the send, with a deduplication window of 1 s, caused %v, want one fail",
			got)
	}
}

package decision

import (
	"testing"
	"time"
)

// What follows the end of an attempt, by the idempotency of its class.
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
			t.Fatalf("class %d: %d sends at first", c.class, len(first))
		}
		b.Outcome(second+10*milli, Outcome{ID: 9, Backend: first[0].to, Result: c.result, Latency: 10 * milli})
		next := h.take("send", "fail", "reject")
		if len(next) != 1 || next[0].verb != c.want {
			t.Errorf("class %d after result %d: %v, want one %s", c.class, c.result, next, c.want)
			continue
		}
		if c.want == "send" && next[0].to == first[0].to {
			t.Errorf("class %d: sent again to the backend that failed", c.class)
		}
		if c.class == keyed && !c.result.NeverRan() && (next[0].to-first[0].to)%2 != 0 {
			t.Errorf("a keyed request left its zone after it may have run")
		}
	}
}

// send is held back by each guard alone, whatever its callers have checked.
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
		{"second copy", idempotent, func(b *Balancer, _ *request,
			_ *target) {
			b.config.Capabilities.HedgedRequests = false
		}},
		{"attempts used up", idempotent, func(b *Balancer, _ *request,
			_ *target) {
			b.config.Capabilities.MaxAttempts = 1
		}},
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
	b.rejectOrFail(r)
	b.rejectOrFail(r)
	if got := h.take("reject", "fail"); len(got) != 1 {
		t.Errorf("%d final answers", len(got))
	}
}

// After a reset, for each idempotency and scope, before and after the end of the window, also one that is shorter than
// a tick, a request is retried only where and as long as the settings allow, and otherwise answered at once.
func TestResetAfterRequestBegan(t *testing.T) {
	const n = 12 // backends of two zones and three cells
	place := func(id BackendID) (zone, cell int) { return (int(id) - 1) % 2, (int(id) - 1) % 3 }
	for _, k := range []struct {
		name   string
		class  Class
		after  time.Duration
		repeat bool
	}{
		{"safe", Class{Idempotency: Idempotent}, 30 * milli, true},
		{"unsafe", Class{Idempotency: NotIdempotent, DeduplicationWindow: second, DeduplicationScope: ScopeAll},
			30 * milli, false},
		{"all, in time", Class{Idempotency: IdempotentByKey, DeduplicationScope: ScopeAll,
			DeduplicationWindow: 40 * milli}, 30 * milli, true},
		{"all, too late", Class{Idempotency: IdempotentByKey, DeduplicationScope: ScopeAll,
			DeduplicationWindow: 40 * milli}, 40 * milli, false},
		{"all, within a tick of its end", Class{Idempotency: IdempotentByKey, DeduplicationScope: ScopeAll,
			DeduplicationWindow: 40 * milli}, 36 * milli, false},
		{"zone, in time", Class{Idempotency: IdempotentByKey, DeduplicationScope: ScopeZone,
			DeduplicationWindow: 40 * milli}, 30 * milli, true},
		{"zone, too late", Class{Idempotency: IdempotentByKey, DeduplicationScope: ScopeZone,
			DeduplicationWindow: 40 * milli}, 41 * milli, false},
		{"cell, in time", Class{Idempotency: IdempotentByKey, DeduplicationScope: ScopeCell,
			DeduplicationWindow: 40 * milli}, 30 * milli, true},
		{"cell, too late", Class{Idempotency: IdempotentByKey, DeduplicationScope: ScopeCell,
			DeduplicationWindow: 40 * milli}, 50 * milli, false},
		{"a window shorter than a tick", Class{Idempotency: IdempotentByKey, DeduplicationScope: ScopeAll,
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
			zone, cell := place(to)
			for _, e := range list(n) { // of its scope it alone is left: any other backend is outside
				z, c := place(e.ID)
				if e.ID != to && (k.class.DeduplicationScope == ScopeZone && z == zone ||
					k.class.DeduplicationScope == ScopeCell && c == cell) {
					b.Detach(second, e.ID)
				}
			}
			h.take()
			b.Outcome(second+k.after, Outcome{ID: 1, Backend: to, Result: Reset})
			got := h.take("send", "reject", "fail")
			end := "fail"
			if k.class.Idempotency == Idempotent || k.class.Idempotency == IdempotentByKey &&
				k.class.DeduplicationScope == ScopeAll {
				end = "reject" // trying again is harmless
			}
			switch {
			case len(got) != 1:
				t.Fatalf("%v, want one", got)
			case !k.repeat && got[0].verb != end:
				t.Errorf("%v, want %s", got, end)
			case k.repeat && got[0].verb != "send":
				t.Errorf("%v, want a repeat", got)
			}
			if z, c := place(got[0].to); k.repeat && (k.class.DeduplicationScope == ScopeZone && z != zone &&
				k.class.Idempotency == IdempotentByKey ||
				k.class.DeduplicationScope == ScopeCell && c != cell && k.class.Idempotency == IdempotentByKey) {
				t.Errorf("the repeat of what went to %d goes to %d, outside its group", to, got[0].to)
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
			t.Fatalf("after %d: %d repeats", k.first, len(next))
		}
		b.Outcome(second+120*milli, Outcome{ID: 1, Attempt: 1, Backend: next[0].to, Result: Reset})
		if got := h.take("send", "reject", "fail"); len(got) != 1 || got[0].verb != k.want {
			t.Errorf("the first ended with %d, the second broke 120 ms after the first was sent: %v, want %s",
				k.first, got, k.want)
		}
	}
}

// A keyed request whose window ends while it is queued can be sent nowhere any more: it is answered then.
func TestKeyedRequestIsAnsweredOnceWindowEnds(t *testing.T) {
	b, h := newBalancer(t, testConfig(), 2)
	b.Request(second, Request{ID: 1, Class: keyed, Deadline: 9 * second})
	b.requests[1].objectiveAt = 9 * second // much time is left beside the window of 1 s
	to := h.take("send")[0].to
	for _, other := range b.targets { // those of its zone have no capacity
		other.limit.ceiling = 1
		other.limit.inFlight = 9
		other.limit.load = 9
	}
	b.Outcome(second+900*milli, Outcome{ID: 1, Backend: to, Result: Reset})
	if got := h.take("send", "reject", "fail"); len(got) != 0 {
		t.Fatalf("it does not wait: %v", got)
	}
	b.Timer(2*second+10*milli, dispatchToken)
	if got := h.take("send", "reject", "fail"); len(got) != 1 || got[0].verb != "fail" {
		t.Errorf("after the end of its window: %v, want its failure", got)
	}
}

// The deduplication window starts at the send, also where the body's end comes later.
func TestWindowOfStreamedRequestStartsAtSend(t *testing.T) {
	b, h := newBalancer(t, testConfig(), 4)
	b.Request(second, Request{ID: 1, Class: keyed, Deadline: 9 * second, StreamedBody: true})
	to := h.take("send")[0].to
	b.BodyComplete(second+900*milli, 1, 9*second)
	b.Outcome(2*second+100*milli, Outcome{ID: 1, Backend: to, Result: Reset})
	if got := h.take("send", "fail"); len(got) != 1 || got[0].verb != "fail" {
		t.Errorf("1.1 s after its send, with a window of 1 s: %v, want its failure", got)
	}
}

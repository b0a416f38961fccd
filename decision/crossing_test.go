package decision

import (
	"fmt"
	"testing"
	"time"
)

// Two events that cross at a request: what comes after the one must not undo it.

// openedRequest gives a balancer with one request whose first attempt is out at the backend.
func openedRequest(t *testing.T, cfg Config, class, backends int) (*Balancer, *recorder, BackendID) {
	t.Helper()
	b, h := newBalancer(t, cfg, backends)
	b.Request(second, Request{ID: 1, Class: class, Deadline: 4 * second})
	sends := h.take("send")
	if len(sends) != 1 {
		t.Fatalf("%d sends at first", len(sends))
	}
	return b, h, sends[0].to
}

// fireEverything fires what the module may have set, sends a list and lets time go by, after a request has ended.
func fireEverything(b *Balancer, from time.Duration, attempts int) {
	for n := range attempts {
		b.Timer(from, timerAttempt<<56|uint64(n)<<32|1)
	}
	b.UpdateEndpoints(from, EndpointUpdate{Kind: UpdateFull, Backends: list(6)})
	for at := from; at < from+5*second; at += 50 * milli {
		b.Timer(at, timerDispatch<<56)
		b.Timer(at, timerSweep<<56)
		for n := range attempts {
			b.Timer(at, timerAttempt<<56|uint64(n)<<32|1)
		}
	}
}

// A client leaves: nothing new goes out for it and no answer is given, wherever its request was, whatever comes after.
func TestNothingFollowsClientGone(t *testing.T) {
	none := func(t *testing.T, h *recorder) {
		t.Helper()
		if got := h.take("send", "refuse", "fail"); len(got) != 0 {
			t.Errorf("after its leave: %v", got)
		}
	}
	for class := range 4 {
		t.Run(fmt.Sprint("queued, class ", class), func(t *testing.T) {
			b, h := newBalancer(t, testConfig(), 0)
			b.Request(second, Request{ID: 1, Class: class, Deadline: 4 * second})
			b.ClientGone(second+milli, 1)
			fireEverything(b, second+2*milli, 0)
			none(t, h)
		})
		for _, result := range []Result{OK, Error, Rejected, Timeout, ConnectFailed, Reset, Cancelled, NotSent} {
			t.Run(fmt.Sprintf("in an attempt, class %d, which ends with %d", class, result), func(t *testing.T) {
				b, h, to := openedRequest(t, testConfig(), class, 6)
				b.ClientGone(second+milli, 1)
				if got := h.take("cancel"); len(got) != 1 {
					t.Errorf("its attempt is not called off: %v", got)
				}
				fireEverything(b, second+2*milli, 1)
				b.Outcome(second+3*milli, Outcome{ID: 1, Backend: to, Result: result})
				b.Outcome(second+3*milli, Outcome{ID: 1, Backend: to, Result: result})
				fireEverything(b, second+4*milli, 1)
				none(t, h)
				if len(b.requests) != 0 || b.openRequests != 0 {
					t.Errorf("%d requests are held, %d count as open", len(b.requests), b.openRequests)
				}
			})
		}
		t.Run(fmt.Sprint("between two attempts, class ", class), func(t *testing.T) {
			b, h, to := openedRequest(t, testConfig(), class, 1)
			b.targets[0].limit.limit, b.targets[0].limit.inFlight, b.targets[0].limit.load = 1, 9, 9 // no room: it waits
			b.Outcome(second+milli, Outcome{ID: 1, Backend: to, Result: ConnectFailed})
			if got := h.take("send", "refuse", "fail"); len(got) != 0 || len(b.queue) != 1 {
				t.Fatalf("it does not wait: %v", got)
			}
			b.ClientGone(second+2*milli, 1)
			fireEverything(b, second+3*milli, 1)
			none(t, h)
		})
	}
}

// A request has its answer: the timer of its hedge, another list and a late end of its first attempt change nothing.
func TestNothingFollowsFinalAnswer(t *testing.T) {
	for class := range 4 {
		for _, copies := range []bool{true, false} {
			cfg := testConfig()
			cfg.Capabilities.HedgedRequests = copies
			b, h, to := openedRequest(t, cfg, class, 6)
			b.Outcome(second+50*milli, Outcome{ID: 1, Backend: to, Result: OK, Final: true})
			fireEverything(b, second+51*milli, 2)
			b.Outcome(second+60*milli, Outcome{ID: 1, Backend: to, Result: Reset})
			if got := h.take("send", "refuse", "fail", "cancel"); len(got) != 0 {
				t.Errorf("class %d, copies %v: after its answer: %v", class, copies, got)
			}
		}
	}
}

// The answer and the hedge cross: what is out beside the attempt that won is called off, and its end counts no more.
func TestHedgedRequestIsCancelledOnceOtherWins(t *testing.T) {
	for winner := range 2 {
		b, h, to := openedRequest(t, testConfig(), idempotent, 6)
		b.Timer(second+400*milli, timerAttempt<<56|1)
		copies := h.take("send")
		if len(copies) != 1 {
			t.Fatalf("%d copies", len(copies))
		}
		at := []BackendID{to, copies[0].to}
		b.Outcome(second+500*milli, Outcome{ID: 1, Attempt: winner, Backend: at[winner], Result: OK, Final: true})
		if got := h.take("cancel"); len(got) != 1 || got[0].attempt != 1-winner {
			t.Errorf("attempt %d won: %v", winner, got)
		}
		b.Outcome(second+501*milli, Outcome{ID: 1, Attempt: 1 - winner, Backend: at[1-winner], Result: Reset, Final: true})
		fireEverything(b, second+502*milli, 2)
		if got := h.take("send", "refuse", "fail", "cancel"); len(got) != 0 {
			t.Errorf("attempt %d won: afterwards %v", winner, got)
		}
	}
}

// A reset after the request began, for each effect and each group, before and after the end of a window, also one that is
// shorter than a tick: it is repeated only where, and as long as, the settings allow, and else answered at once.
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
		{"unsafe", Class{Idempotency: NotIdempotent, DeduplicationWindow: second, DeduplicationScope: ScopeAll}, 30 * milli, false},
		{"all, in time", Class{Idempotency: IdempotentByKey, DeduplicationScope: ScopeAll, DeduplicationWindow: 40 * milli}, 30 * milli, true},
		{"all, too late", Class{Idempotency: IdempotentByKey, DeduplicationScope: ScopeAll, DeduplicationWindow: 40 * milli}, 40 * milli, false},
		{"all, within a tick of its end", Class{Idempotency: IdempotentByKey, DeduplicationScope: ScopeAll, DeduplicationWindow: 40 * milli}, 36 * milli, false},
		{"zone, in time", Class{Idempotency: IdempotentByKey, DeduplicationScope: ScopeZone, DeduplicationWindow: 40 * milli}, 30 * milli, true},
		{"zone, too late", Class{Idempotency: IdempotentByKey, DeduplicationScope: ScopeZone, DeduplicationWindow: 40 * milli}, 41 * milli, false},
		{"cell, in time", Class{Idempotency: IdempotentByKey, DeduplicationScope: ScopeCell, DeduplicationWindow: 40 * milli}, 30 * milli, true},
		{"cell, too late", Class{Idempotency: IdempotentByKey, DeduplicationScope: ScopeCell, DeduplicationWindow: 40 * milli}, 50 * milli, false},
		{"a window shorter than a tick", Class{Idempotency: IdempotentByKey, DeduplicationScope: ScopeAll, DeduplicationWindow: 3 * milli}, milli, false},
		{"no window", Class{Idempotency: IdempotentByKey, DeduplicationScope: ScopeAll}, 0, false},
	} {
		t.Run(k.name, func(t *testing.T) {
			cfg := testConfig()
			k.class.Name, k.class.LatencyObjective, k.class.ClientTimeout, k.class.PriorityWeight = "c", second, 3*second, 1
			cfg.Classes = []Class{k.class}
			b, h, to := openedRequest(t, cfg, 0, n)
			zone, cell := place(to)
			for _, e := range list(n) { // of its group it alone is left: any other place is outside
				z, c := place(e.ID)
				if e.ID != to && (k.class.DeduplicationScope == ScopeZone && z == zone || k.class.DeduplicationScope == ScopeCell && c == cell) {
					b.Detach(second, e.ID)
				}
			}
			h.take()
			b.Outcome(second+k.after, Outcome{ID: 1, Backend: to, Result: Reset})
			got := h.take("send", "refuse", "fail")
			end := "fail"
			if k.class.Idempotency == Idempotent || k.class.Idempotency == IdempotentByKey && k.class.DeduplicationScope == ScopeAll {
				end = "refuse" // coming again is harmless
			}
			switch {
			case len(got) != 1:
				t.Fatalf("%v, want one", got)
			case !k.repeat && got[0].verb != end:
				t.Errorf("%v, want %s", got, end)
			case k.repeat && got[0].verb != "send":
				t.Errorf("%v, want a repeat", got)
			}
			if z, c := place(got[0].to); k.repeat && (k.class.DeduplicationScope == ScopeZone && z != zone && k.class.Idempotency == IdempotentByKey ||
				k.class.DeduplicationScope == ScopeCell && c != cell && k.class.Idempotency == IdempotentByKey) {
				t.Errorf("the repeat of what went to %d goes to %d, outside its group", to, got[0].to)
			}
		})
	}
}

// An end that is told twice counts once: what waits to be repeated is not placed, and sent, twice.
func TestDuplicateOutcomeCountsOnce(t *testing.T) {
	for class := range 4 {
		b, h, to := openedRequest(t, testConfig(), class, 6)
		for _, o := range b.targets {
			o.limit.limit, o.limit.inFlight, o.limit.load = 1, 9, 9 // no room: it waits
		}
		for range 3 {
			b.Outcome(second+milli, Outcome{ID: 1, Backend: to, Result: ConnectFailed})
		}
		for _, o := range b.targets {
			o.limit.inFlight, o.limit.load = 0, 0
		}
		b.Timer(second+10*milli, timerDispatch<<56)
		if got := h.take("send", "refuse", "fail"); len(got) != 1 || got[0].verb != "send" {
			t.Errorf("class %d: %v, want one repeat", class, got)
		}
	}
}

// An attempt fails when an answer to another could not be of use any more: there is none, and the answer comes at once.
func TestLateFailureIsAnsweredAtOnce(t *testing.T) {
	for class, want := range []string{"refuse", "fail", "fail", "refuse"} {
		b, h, to := openedRequest(t, testConfig(), class, 6)
		b.Outcome(2*second-3*milli, Outcome{ID: 1, Backend: to, Result: Timeout}) // its aim of 1 s is all that earns
		if got := h.take("send", "refuse", "fail"); len(got) != 1 || got[0].verb != want {
			t.Errorf("class %d: %v, want one %s", class, got, want)
		}
	}
}

// The window counts from the first attempt that may have run, however many follow, and not from one that is proved not to
// have run.
func TestWindowStartsAtFirstAttemptThatMayHaveRun(t *testing.T) {
	cfg := testConfig()
	cfg.Classes = []Class{{Name: "c", LatencyObjective: second, ClientTimeout: 3 * second, PriorityWeight: 1, Idempotency: IdempotentByKey, DeduplicationScope: ScopeAll, DeduplicationWindow: 100 * milli}}
	for _, k := range []struct {
		first Result
		want  string
	}{{ConnectFailed, "send"}, {Rejected, "send"}, {NotSent, "send"}, {Reset, "refuse"}, {Error, "refuse"}} {
		b, h, to := openedRequest(t, cfg, 0, 12)
		b.Outcome(second+60*milli, Outcome{ID: 1, Backend: to, Result: k.first})
		next := h.take("send")
		if len(next) != 1 {
			t.Fatalf("after %d: %d repeats", k.first, len(next))
		}
		b.Outcome(second+120*milli, Outcome{ID: 1, Attempt: 1, Backend: next[0].to, Result: Reset})
		if got := h.take("send", "refuse", "fail"); len(got) != 1 || got[0].verb != k.want {
			t.Errorf("the first ended with %d, the second broke 120 ms after the first and 60 ms after itself: %v, want %s", k.first, got, k.want)
		}
	}
}

// Little time is left, or none, or less than a tick: the request is sent within it or answered, and never sent after.
func TestDeadlineShorterThanTick(t *testing.T) {
	cfg := testConfig()
	for class := range 4 {
		for _, left := range []time.Duration{-second, 0, 1, milli, cfg.Tick - 1, cfg.Tick, 2 * cfg.Tick} {
			b, h := newBalancer(t, cfg, 6)
			b.Request(second, Request{ID: 1, Class: class, Deadline: second + left})
			got := h.take("send", "refuse", "fail")
			if len(got) != 1 {
				t.Fatalf("class %d, %v left: %v", class, left, got)
			}
			if got[0].verb != "send" {
				continue
			}
			if left <= 0 || got[0].at > second+left {
				t.Errorf("class %d, %v left: sent, to be waited for until %v", class, left, got[0].at)
			}
			b.Outcome(second+left, Outcome{ID: 1, Backend: got[0].to, Result: Timeout})
			if got = h.take("send", "refuse", "fail"); len(got) != 1 || got[0].verb == "send" {
				t.Errorf("class %d, %v left: at its end %v", class, left, got)
			}
		}
	}
}

// A backend drains, leaves or is taken out by hand while a request waits for it: the request does not go there.
func TestDrainWhileRequestIsQueued(t *testing.T) {
	for name, leave := range map[string]func(*Balancer){
		"drains": func(b *Balancer) {
			b.UpdateEndpoints(second+milli, EndpointUpdate{Kind: UpdateDelta, Backends: []Backend{{ID: 1, State: Draining}}})
		},
		"is gone": func(b *Balancer) { b.UpdateEndpoints(second+milli, EndpointUpdate{Kind: UpdateFull}) },
		"is out":  func(b *Balancer) { b.Detach(second+milli, 1) },
	} {
		for class := range 4 {
			b, h := newBalancer(t, testConfig(), 1)
			own := &b.targets[0].limit
			own.limit, own.inFlight, own.load = 1, 9, 9 // no room
			b.Request(second, Request{ID: 1, Class: class, Deadline: 4 * second})
			own.inFlight, own.load = 0, 0
			leave(b)
			for at := second + 2*milli; at < 4*second; at += 10 * milli {
				b.Timer(at, timerDispatch<<56)
			}
			if got := h.take("send", "refuse", "fail"); len(got) != 1 || got[0].verb != "refuse" {
				t.Errorf("%s, class %d: %v, want one refusal", name, class, got)
			}
		}
	}
}

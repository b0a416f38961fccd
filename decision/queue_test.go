package decision

import (
	"testing"
	"time"
)

func TestNoBackendsMeansRejectionInTime(t *testing.T) {
	b, h := newBalancer(t, testConfig(), 0)
	b.Request(second, Request{ID: 1, Class: notIdempotent, Deadline: 2 * second})
	b.Timer(2*second-100*milli, dispatchToken)
	if got := h.take("send", "reject", "fail"); len(got) != 1 || got[0].verb != "reject" {
		t.Errorf("got %v, want one rejection before the deadline", got)
	}
}

func TestEndpointListServesQueuedRequests(t *testing.T) {
	b, h := newBalancer(t, testConfig(), 0)
	b.Request(second, Request{ID: 1, Class: notIdempotent, Deadline: 2 * second})
	b.UpdateEndpoints(second+50*milli, EndpointUpdate{Kind: UpdateDelta, Backends: list(1)})
	b.Timer(second+60*milli, dispatchToken)
	if got := h.take("send", "reject", "fail"); len(got) != 1 || got[0].verb != "send" {
		t.Errorf("got %v, want the queued request to be sent", got)
	}
}

// Without a bound, each outcome would rank a queue of thousands after a burst.
func TestQueueIsBounded(t *testing.T) {
	b, _ := newBalancer(t, testConfig(), 3)
	for i := range 2000 {
		b.Request(second, Request{ID: RequestID(i), Deadline: 4 * second})
	}
	if n := len(b.queue); n > queuedPerTarget*4 {
		t.Errorf("%d of 2000 requests wait, want %d at most", n, queuedPerTarget*4)
	}
}

// The queues of all proxies together must not grow with their number.
func TestQueueIsThisProxysShare(t *testing.T) {
	cfg := manyConfig(100)
	cfg.KeyAffinity = true
	b, _ := newBalancer(t, cfg, 50)
	b.sharedLimit.ceiling = 0
	b.sharedLimit.averageLoad = 1
	b.sharedLimit.load = 1
	b.sharedLimit.averagedAt = b.now
	for id := range RequestID(200) {
		b.Request(b.now, Request{ID: id + 1, Class: idempotent, Deadline: b.now + 3*second})
	}
	if n := len(b.queue); n == 0 || n > 50 {
		t.Errorf("%d of 200 requests wait at one of 100 proxies, want 1 to 50", n)
	}
}

// Under load the request of the higher marginal gain is sent first.
func TestHighestGainIsDispatchedFirst(t *testing.T) {
	cfg := testConfig()
	cfg.Classes[keyedAnywhere].PriorityWeight = 10
	b, h := newBalancer(t, cfg, 1)
	for i := range 12 {
		b.Request(second, Request{ID: RequestID(i), Class: []int{idempotent, keyedAnywhere}[i%2], Deadline: 4 * second})
	}
	first := h.take("send")
	if len(b.queue) < 3 {
		t.Fatalf("%d wait after %d sends", len(b.queue), len(first))
	}
	b.Outcome(second+50*milli, Outcome{ID: first[0].id, Backend: 1, Result: OK, Final: true})
	next := h.take("send")
	if len(next) == 0 || next[0].id%2 != 1 {
		t.Errorf("sent next: %v", next)
	}
}

// failingHost fails at its first Send.
type failingHost struct {
	recorder
	failed bool
}

func (h *failingHost) Send(id RequestID, to BackendID, until time.Duration) {
	if !h.failed {
		h.failed = true
		panic("the host failed")
	}
	h.recorder.Send(id, to, until)
}

// A request whose sending panics does not take with it those that are queued behind it.
func TestQueueSurvivesPanic(t *testing.T) {
	h := &failingHost{}
	b, err := New(testConfig(), 1, h)
	if err != nil {
		t.Fatal(err)
	}
	b.Start(second)
	for id := range RequestID(3) { // with no backend yet all are queued
		b.Request(second, Request{ID: id, Deadline: 4 * second})
	}
	func() {
		defer func() { _ = recover() }()
		b.UpdateEndpoints(second, EndpointUpdate{Kind: UpdateFull, Version: 1, Backends: list(4)})
		b.Timer(second+20*milli, dispatchToken)
	}()
	if !h.failed {
		t.Fatal("nothing was sent")
	}
	b.Timer(second+40*milli, dispatchToken)
	if sent := h.take("send"); len(sent) != 2 {
		t.Errorf("%d of the two behind were sent", len(sent))
	}
}

// A request that is queued while its only backend drains, leaves or is detached does not go there.
func TestDrainWhileRequestIsQueued(t *testing.T) {
	for name, leave := range map[string]func(*Balancer){
		"drains": func(b *Balancer) {
			b.UpdateEndpoints(second+milli, EndpointUpdate{Kind: UpdateDelta,
				Backends: []Backend{{ID: 1, State: Draining}}})
		},
		"is gone": func(b *Balancer) { b.UpdateEndpoints(second+milli, EndpointUpdate{Kind: UpdateFull}) },
		"is out":  func(b *Balancer) { b.Detach(second+milli, 1) },
	} {
		for class := range 4 {
			b, h := newBalancer(t, testConfig(), 1)
			own := &b.targets[0].limit
			own.ceiling, own.inFlight, own.load = 1, 9, 9 // no capacity
			b.Request(second, Request{ID: 1, Class: class, Deadline: 4 * second})
			own.inFlight, own.load = 0, 0
			leave(b)
			for at := second + 2*milli; at < 4*second; at += 10 * milli {
				b.Timer(at, dispatchToken)
			}
			if got := h.take("send", "reject", "fail"); len(got) != 1 || got[0].verb != "reject" {
				t.Errorf("%s, class %d: %v, want one rejection", name, class, got)
			}
		}
	}
}

// However little time is left, a request is sent within it or answered, and never sent after it.
func TestDeadlineShorterThanTick(t *testing.T) {
	cfg := testConfig()
	for class := range 4 {
		for _, left := range []time.Duration{-second, 0, 1, milli, cfg.Tick - 1, cfg.Tick, 2 * cfg.Tick} {
			b, h := newBalancer(t, cfg, 6)
			b.Request(second, Request{ID: 1, Class: class, Deadline: second + left})
			got := h.take("send", "reject", "fail")
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
			if got = h.take("send", "reject", "fail"); len(got) != 1 || got[0].verb == "send" {
				t.Errorf("class %d, %v left: at its end %v", class, left, got)
			}
		}
	}
}

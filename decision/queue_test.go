package decision

import (
	"testing"
	"time"
)

// With no backends in the list, a request is rejected before its deadline.
func TestNoBackendsMeansRejectionInTime(t *testing.T) {
	b, h := newBalancer(t, testConfig(), 0)
	b.Request(second, Request{ID: 1, Class: notIdempotent, Deadline: 2 * second})
	b.Timer(2*second-100*milli, dispatchToken)
	if got := h.take("send", "reject", "fail"); len(got) != 1 || got[0].verb != "reject" {
		t.Errorf("dispatch 100 ms before the deadline, without backends, caused %v, want one reject", got)
	}
}

// A request that came before the first endpoint list is queued, and sent once a backend is listed.
func TestEndpointListServesQueuedRequests(t *testing.T) {
	b, h := newBalancer(t, testConfig(), 0)
	b.Request(second, Request{ID: 1, Class: notIdempotent, Deadline: 2 * second})
	b.UpdateEndpoints(second+50*milli, EndpointUpdate{Kind: UpdateDelta, Backends: list(1)})
	b.Timer(second+60*milli, dispatchToken)
	if got := h.take("send", "reject", "fail"); len(got) != 1 || got[0].verb != "send" {
		t.Errorf("the first endpoint update and dispatch caused %v, want one send of the queued request", got)
	}
}

// The queue is bounded: each outcome sorts it by gain, which would be slow with thousands of requests after a burst.
func TestQueueIsBounded(t *testing.T) {
	b, _ := newBalancer(t, testConfig(), 3)
	for i := range 2000 {
		b.Request(second, Request{ID: RequestID(i), Deadline: 4 * second})
	}
	if n := len(b.queue); n > queuedPerTarget*4 {
		t.Errorf("%d of 2000 requests are queued, want at most %d", n, queuedPerTarget*4)
	}
}

// The queues of all proxies together must not grow with the number of proxies, so each holds only its share.
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
		t.Errorf("%d of 200 requests are queued at one of 100 proxies, want 1 to 50", n)
	}
}

// Under load the queued request of the highest marginal gain is sent first.
func TestHighestGainIsDispatchedFirst(t *testing.T) {
	cfg := testConfig()
	cfg.Classes[keyedAnywhere].PriorityWeight = 10
	b, h := newBalancer(t, cfg, 1)
	for i := range 12 {
		b.Request(second, Request{ID: RequestID(i), Class: []int{idempotent, keyedAnywhere}[i%2], Deadline: 4 * second})
	}
	first := h.take("send")
	if len(b.queue) < 3 {
		t.Fatalf("of 12 requests %d were sent and %d queued, want at least 3 queued", len(first), len(b.queue))
	}
	b.Outcome(second+50*milli, Outcome{ID: first[0].id, Backend: 1, Result: OK, Final: true})
	next := h.take("send")
	if len(next) == 0 || next[0].id%2 != 1 {
		t.Errorf("Outcome(OK) caused the sends %v, want first a request of the class with priority weight 10 (odd ID)",
			next)
	}
}

// failingHost is a Host whose first Send panics.
type failingHost struct {
	recorder
	failed bool
}

func (h *failingHost) Send(id RequestID, to BackendID, until time.Duration) {
	if !h.failed {
		h.failed = true
		panic("simulated panic of Host.Send")
	}
	h.recorder.Send(id, to, until)
}

// If sending a request panics, the requests queued behind it are still sent.
func TestQueueSurvivesPanic(t *testing.T) {
	h := &failingHost{}
	b, err := New(testConfig(), 1, h)
	if err != nil {
		t.Fatalf("New: %v", err)
	}
	b.Start(second)
	for id := range RequestID(3) { // all are queued, since no backend is listed yet
		b.Request(second, Request{ID: id, Deadline: 4 * second})
	}
	func() {
		defer func() { _ = recover() }()
		b.UpdateEndpoints(second, EndpointUpdate{Kind: UpdateFull, Version: 1, Backends: list(4)})
		b.Timer(second+20*milli, dispatchToken)
	}()
	if !h.failed {
		t.Fatal("Host.Send was not called by the endpoint update or the dispatch, want one call that panics")
	}
	b.Timer(second+40*milli, dispatchToken)
	if sent := h.take("send"); len(sent) != 2 {
		t.Errorf("dispatch after the panic caused %d sends, want 2: those of the requests queued behind the one "+
			"that panicked", len(sent))
	}
}

// A request that is queued while the only backend becomes draining, removed or detached is not sent there.
func TestDrainWhileRequestIsQueued(t *testing.T) {
	for name, excludeBackend := range map[string]func(*Balancer){
		"backend draining": func(b *Balancer) {
			b.UpdateEndpoints(second+milli, EndpointUpdate{Kind: UpdateDelta,
				Backends: []Backend{{ID: 1, State: Draining}}})
		},
		"backend removed": func(b *Balancer) {
			b.UpdateEndpoints(second+milli, EndpointUpdate{Kind: UpdateFull})
		},
		"backend detached": func(b *Balancer) { b.Detach(second+milli, 1) },
	} {
		for class := range 4 {
			b, h := newBalancer(t, testConfig(), 1)
			limit := &b.targets[0].limit
			limit.ceiling, limit.inFlight, limit.load = 1, 9, 9 // no capacity
			b.Request(second, Request{ID: 1, Class: class, Deadline: 4 * second})
			limit.inFlight, limit.load = 0, 0
			excludeBackend(b)
			for at := second + 2*milli; at < 4*second; at += 10 * milli {
				b.Timer(at, dispatchToken)
			}
			if got := h.take("send", "reject", "fail"); len(got) != 1 || got[0].verb != "reject" {
				t.Errorf("%s, class %s: dispatches up to the deadline caused %v, want one reject", name,
					className(class), got)
			}
		}
	}
}

// However little time is left until its deadline, a request is sent before it or answered, and never sent after it.
func TestDeadlineShorterThanTick(t *testing.T) {
	cfg := testConfig()
	for class := range 4 {
		for _, left := range []time.Duration{-second, 0, 1, milli, cfg.Tick - 1, cfg.Tick, 2 * cfg.Tick} {
			b, h := newBalancer(t, cfg, 6)
			b.Request(second, Request{ID: 1, Class: class, Deadline: second + left})
			got := h.take("send", "reject", "fail")
			if len(got) != 1 {
				t.Fatalf("Request(class %s, %v before its deadline) caused %v, want one action", className(class), left,
					got)
			}
			if got[0].verb != "send" {
				continue
			}
			if left <= 0 || got[0].at > second+left {
				t.Errorf("Request(class %s, %v before its deadline) caused %v, want no send beyond the deadline at %v",
					className(class), left, got[0], second+left)
			}
			b.Outcome(second+left, Outcome{ID: 1, Backend: got[0].to, Result: Timeout})
			if got = h.take("send", "reject", "fail"); len(got) != 1 || got[0].verb == "send" {
				t.Errorf("class %s: Outcome(Timeout) at the deadline, %v after Request, caused %v, "+
					"want one final answer", className(class), left, got)
			}
		}
	}
}

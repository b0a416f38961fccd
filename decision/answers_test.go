package decision

import (
	"fmt"
	"testing"
)

// Once a client has left, nothing new is sent for it and no answer is given, whatever state its request was in.
func TestNothingFollowsClientGone(t *testing.T) {
	none := func(t *testing.T, h *recorder) {
		t.Helper()
		if got := h.take("send", "reject", "fail"); len(got) != 0 {
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
			// no capacity: it waits
			b.targets[0].limit.ceiling = 1
			b.targets[0].limit.inFlight = 9
			b.targets[0].limit.load = 9
			b.Outcome(second+milli, Outcome{ID: 1, Backend: to, Result: ConnectFailed})
			if got := h.take("send", "reject", "fail"); len(got) != 0 || len(b.queue) != 1 {
				t.Fatalf("it does not wait: %v", got)
			}
			b.ClientGone(second+2*milli, 1)
			fireEverything(b, second+3*milli, 1)
			none(t, h)
		})
	}
}

// Once a request has its answer, its hedging timer, an endpoint update and the late end of an attempt change nothing.
func TestNothingFollowsFinalAnswer(t *testing.T) {
	for class := range 4 {
		for _, hedged := range []bool{true, false} {
			cfg := testConfig()
			cfg.Capabilities.HedgedRequests = hedged
			b, h, to := openedRequest(t, cfg, class, 6)
			b.Outcome(second+50*milli, Outcome{ID: 1, Backend: to, Result: OK, Final: true})
			fireEverything(b, second+51*milli, 2)
			b.Outcome(second+60*milli, Outcome{ID: 1, Backend: to, Result: Reset})
			if got := h.take("send", "reject", "fail", "cancel"); len(got) != 0 {
				t.Errorf("class %d, hedged %v: after its answer: %v", class, hedged, got)
			}
		}
	}
}

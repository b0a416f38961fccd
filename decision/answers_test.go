package decision

import (
	"fmt"
	"testing"
)

// Once a client has left, its request causes no send and no final answer, whatever state the request was in.
func TestNothingFollowsClientGone(t *testing.T) {
	wantNoActions := func(t *testing.T, h *recorder) {
		t.Helper()
		if got := h.take("send", "reject", "fail"); len(got) != 0 {
			t.Errorf("after ClientGone the Balancer called %v, want no send, reject or fail", got)
		}
	}
	for class := range 4 {
		t.Run("queued, class "+className(class), func(t *testing.T) {
			b, h := newBalancer(t, testConfig(), 0)
			b.Request(second, Request{ID: 1, Class: class, Deadline: 4 * second})
			b.ClientGone(second+milli, 1)
			fireTimersAndUpdateList(b, second+2*milli, 0)
			wantNoActions(t, h)
		})
		for _, result := range []Result{OK, Error, Rejected, Timeout, ConnectFailed, Reset, Cancelled, NotSent} {
			name := fmt.Sprintf("attempt in flight that ends with %s, class %s", resultName(result), className(class))
			t.Run(name, func(t *testing.T) {
				b, h, to := openedRequest(t, testConfig(), class, 6)
				b.ClientGone(second+milli, 1)
				if got := h.take("cancel"); len(got) != 1 {
					t.Errorf("ClientGone caused the cancels %v, want one, of the attempt in flight", got)
				}
				fireTimersAndUpdateList(b, second+2*milli, 1)
				b.Outcome(second+3*milli, Outcome{ID: 1, Backend: to, Result: result})
				b.Outcome(second+3*milli, Outcome{ID: 1, Backend: to, Result: result})
				fireTimersAndUpdateList(b, second+4*milli, 1)
				wantNoActions(t, h)
				if len(b.requests) != 0 || b.openRequests != 0 {
					t.Errorf("after the last outcome %d requests are recorded and %d counted as open, want none",
						len(b.requests), b.openRequests)
				}
			})
		}
		t.Run("queued for a retry, class "+className(class), func(t *testing.T) {
			b, h, to := openedRequest(t, testConfig(), class, 1)
			// The backend has no capacity, so the retry is queued.
			b.targets[0].limit.ceiling = 1
			b.targets[0].limit.inFlight = 9
			b.targets[0].limit.load = 9
			b.Outcome(second+milli, Outcome{ID: 1, Backend: to, Result: ConnectFailed})
			if got := h.take("send", "reject", "fail"); len(got) != 0 || len(b.queue) != 1 {
				t.Fatalf("Outcome(ConnectFailed) caused %v with %d requests queued, want no action and 1 queued", got,
					len(b.queue))
			}
			b.ClientGone(second+2*milli, 1)
			fireTimersAndUpdateList(b, second+3*milli, 1)
			wantNoActions(t, h)
		})
	}
}

// Once a request has its final answer, its hedging timer, an endpoint update and a late outcome cause no action.
func TestNothingFollowsFinalAnswer(t *testing.T) {
	for class := range 4 {
		for _, hedged := range []bool{true, false} {
			cfg := testConfig()
			cfg.Capabilities.HedgedRequests = hedged
			b, h, to := openedRequest(t, cfg, class, 6)
			b.Outcome(second+50*milli, Outcome{ID: 1, Backend: to, Result: OK, Final: true})
			fireTimersAndUpdateList(b, second+51*milli, 2)
			b.Outcome(second+60*milli, Outcome{ID: 1, Backend: to, Result: Reset})
			if got := h.take("send", "reject", "fail", "cancel"); len(got) != 0 {
				t.Errorf("class %s, HedgedRequests %v: after the final answer the Balancer called %v, want no action",
					className(class), hedged, got)
			}
		}
	}
}

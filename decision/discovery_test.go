package decision

import (
	"testing"
	"time"
)

// After each failed call for the endpoint list, a timer for the next call is started.
func TestListIsRequestedAgainAfterFailure(t *testing.T) {
	cfg := testConfig()
	cfg.PolledDiscovery = true
	h := &recorder{}
	b, err := New(cfg, 1, h)
	if err != nil {
		t.Fatalf("New: %v", err)
	}
	b.Start(second)
	for i := range 10 {
		var timer action
		for _, a := range h.take("timer") {
			if a.token == endpointsToken {
				timer = a
			}
		}
		if timer.verb == "" || timer.at > cfg.Constraints.MaxListAge {
			t.Fatalf("after %d failed calls: timer for the next list call = %v, want one after at most %v", i, timer,
				cfg.Constraints.MaxListAge)
		}
		b.Timer(second, timer.token)
		if len(h.take("watch")) != 1 {
			t.Fatalf("after %d failed calls: Timer did not call WatchEndpoints, want one call", i)
		}
		b.UpdateEndpoints(second, EndpointUpdate{Kind: UpdateFailed})
	}
}

// The backoff of calls for the endpoint list has an upper bound, whatever the polling interval and the connect timeout:
// the proxy must have a polled list within 6 s after the discovery service can be reached again, and a list that an
// agent on the same machine pushes at once.
func TestListBackoffIsBounded(t *testing.T) {
	for _, maxAge := range []time.Duration{0, 2 * second, 10 * second, 60 * second} {
		for _, connect := range []time.Duration{30 * time.Millisecond, second, 5 * second, 20 * second} {
			for _, grace := range []time.Duration{250 * time.Millisecond, 500 * time.Millisecond} {
				for _, polled := range []bool{true, false} {
					cfg := testConfig()
					cfg.PolledDiscovery = polled
					cfg.Capabilities.ConnectTimeout = connect
					cfg.Constraints.MaxListAge = maxAge
					cfg.Constraints.DrainGrace = grace
					maxWait := 2 * second
					if !polled {
						maxWait = grace / 3
					}
					h := &recorder{}
					b, err := New(cfg, 1, h)
					if err != nil {
						t.Fatalf("New: %v", err)
					}
					b.Start(second)
					for _, a := range h.take("timer") {
						if a.token>>timerKindShift == timerEndpoints && a.at > maxWait {
							t.Fatalf("MaxListAge %v, ConnectTimeout %v: first list call after %v, want at most %v",
								maxAge, connect, a.at, maxWait)
						}
					}
					for i := range 20 {
						b.UpdateEndpoints(second, EndpointUpdate{Kind: UpdateFailed})
						timers := h.take("timer")
						if len(timers) != 1 || timers[0].at > maxWait || timers[0].at < 5*time.Millisecond {
							t.Fatalf("MaxListAge %v, ConnectTimeout %v, DrainGrace %v, PolledDiscovery %v: "+
								"after %d failed calls the Balancer started %v, want one timer of 5ms to %v",
								maxAge, connect, grace, polled, i+1, timers, maxWait)
						}
					}
				}
			}
		}
	}
}

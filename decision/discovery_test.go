package decision

import (
	"testing"
	"time"
)

func TestListIsRequestedAgainAfterFailure(t *testing.T) {
	cfg := testConfig()
	cfg.PolledDiscovery = true
	h := &recorder{}
	b, err := New(cfg, 1, h)
	if err != nil {
		t.Fatal(err)
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
			t.Fatalf("round %d: next call after %v", i, timer.at)
		}
		b.Timer(second, timer.token)
		if len(h.take("watch")) != 1 {
			t.Fatalf("round %d: not maxAge", i)
		}
		b.UpdateEndpoints(second, EndpointUpdate{Kind: UpdateFailed})
	}
}

// However seldom a register is polled and however slowly backends connect, its list counts as known 6 s after it could
// be reached, and that of an agent on this machine at once.
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
					most := 2 * second
					if !polled {
						most = grace / 3
					}
					h := &recorder{}
					b, err := New(cfg, 1, h)
					if err != nil {
						t.Fatal(err)
					}
					b.Start(second)
					for _, a := range h.take("timer") {
						if a.token>>timerKindShift == timerEndpoints && a.at > most {
							t.Fatalf("polled every %v, connects in %v: the first call comes after %v", maxAge, connect,
								a.at)
						}
					}
					for i := range 20 {
						b.UpdateEndpoints(second, EndpointUpdate{Kind: UpdateFailed})
						rests := h.take("timer")
						if len(rests) != 1 || rests[0].at > most || rests[0].at < 5*time.Millisecond {
							t.Fatalf("polled every %v, connects in %v, grace %v, polled %v: after %d failed calls %+v",
								maxAge, connect, grace, polled, i+1, rests)
						}
					}
				}
			}
		}
	}
}

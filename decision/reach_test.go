package decision

import (
	"testing"
	"time"
)

// A proxy uses as many backends as it has requests for, also when these come by the thousand in an interval.
func TestActiveSetFollowsHighRates(t *testing.T) {
	for _, k := range []struct {
		perSecond, least, most int
	}{{40, minActiveTargets, 40}, {10_000, 250, 400}} {
		cfg := testConfig()
		cfg.Instances = 2
		b, h := newBalancer(t, cfg, 400)
		now := second
		step := time.Second / time.Duration(k.perSecond)
		for i := range 2 * k.perSecond {
			now += step
			b.Request(now, Request{ID: RequestID(i + 1), Deadline: now + second})
			for _, a := range h.take("send") {
				b.Outcome(now, Outcome{ID: a.id, Backend: a.to, Result: OK, Final: true})
			}
			b.ClientGone(now, RequestID(i+1))
		}
		b.selectActive()
		if n := len(b.active); n < k.least || n > k.most {
			t.Errorf("at %d requests a second it uses %d backends, want %d to %d", k.perSecond, n, k.least, k.most)
		}
	}
}

package decision

import (
	"testing"
	"time"
)

// Many proxies with connections to all backends would fill the connection tables and measure none of them.
func TestActiveSetFollowsRequestRate(t *testing.T) {
	for _, c := range []struct {
		name string
		warm bool
		gap  time.Duration
		used int
	}{
		{"one request in two seconds", false, 2 * second, 2 * minActiveTargets},
		{"hundreds a second", false, 2 * milli, 40},
		{"little, but keys choose", true, 2 * second, 40},
	} {
		cfg := manyConfig(100)
		cfg.KeyAffinity = c.warm
		b, _ := newBalancer(t, cfg, 40)
		now := second
		for id := range RequestID(60) {
			now += c.gap
			b.Request(now, Request{ID: id + 1, Class: idempotent, Deadline: now + second})
		}
		b.Timer(now, sweepToken)
		if len(b.active) != c.used {
			t.Errorf("%s: uses %d, not %d", c.name, len(b.active), c.used)
		}
		if c.used > len(b.listed)/2 {
			continue
		}
		before := b.active[0]
		before.healthy = false
		b.Timer(now+b.checkInterval, sweepToken)
		if len(b.active) != c.used+1 || b.active[0] != before {
			t.Errorf("%s: an unhealthy one is not made up for: %d used", c.name, len(b.active))
		}
	}
}

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

// After a day without a request the rate is right again within seconds, and no measurement lasts for hours.
func TestRequestRateRecoversAfterSilence(t *testing.T) {
	b, h := newBalancer(t, testConfig(), 400)
	now := second
	for i := range 2000 {
		if now += 10 * milli; i == 1000 {
			now += 24 * time.Hour
			b.Timer(now, sweepToken)
			if b.decaySpan > 10*time.Minute {
				t.Errorf("what was measured is remembered for %v", b.decaySpan)
			}
		}
		id := RequestID(i + 1)
		b.Request(now, Request{ID: id, Class: idempotent, Deadline: now + second})
		for _, a := range h.take("send") {
			b.Outcome(now, Outcome{ID: a.id, Backend: a.to, Final: true})
		}
		b.ClientGone(now, id)
	}
	if b.selectActive(); len(b.active) <= 2*minActiveTargets {
		t.Errorf("10 s on, at 100 requests a second, it uses %d of 400 servers", len(b.active))
	}
}

// A proxy that uses a backend rarely must not forget that it is slow before it uses it again.
func TestDecaySpanCoversAnswersOfEachTarget(t *testing.T) {
	b, _ := newBalancer(t, manyConfig(100), 6)
	now := second
	for id := range RequestID(60) {
		now += second
		b.Request(now, Request{ID: id + 1, Class: idempotent, Deadline: now + milli})
	}
	b.selectActive()
	if b.decaySpan < 20*second || b.decaySpan > 30*second {
		t.Errorf("one request a second to six backends is remembered for %v", b.decaySpan)
	}
}

package decision

import (
	"testing"
	"time"
)

// A proxy uses as many backends as its request rate requires. If each of many proxies connected to all backends, the
// connections would fill the backends' connection tables and no proxy would measure any backend often enough.
func TestActiveSetFollowsRequestRate(t *testing.T) {
	for _, c := range []struct {
		name        string
		keyAffinity bool
		interval    time.Duration
		wantActive  int
	}{
		{"one request every 2 s", false, 2 * second, 2 * minActiveTargets},
		{"500 requests a second", false, 2 * milli, 40},
		{"one request every 2 s with key affinity", true, 2 * second, 40},
	} {
		cfg := manyConfig(100)
		cfg.KeyAffinity = c.keyAffinity
		b, _ := newBalancer(t, cfg, 40)
		now := second
		for id := range RequestID(60) {
			now += c.interval
			b.Request(now, Request{ID: id + 1, Class: idempotent, Deadline: now + second})
		}
		b.Timer(now, sweepToken)
		if len(b.active) != c.wantActive {
			t.Errorf("%s: %d of 40 backends active after 60 requests, want %d", c.name, len(b.active), c.wantActive)
		}
		if c.wantActive > len(b.listed)/2 { // no inactive target is left to take the place of an unhealthy one
			continue
		}
		unhealthy := b.active[0]
		unhealthy.healthy = false
		b.Timer(now+b.checkInterval, sweepToken)
		if len(b.active) != c.wantActive+1 || b.active[0] != unhealthy {
			t.Errorf("%s: after backend %d became unhealthy, %d backends active, first is %d; want %d, first is %d",
				c.name, unhealthy.ID, len(b.active), b.active[0].ID, c.wantActive+1, unhealthy.ID)
		}
	}
}

// A proxy also uses as many backends as its request rate requires when thousands of requests arrive in each check
// interval.
func TestActiveSetFollowsHighRates(t *testing.T) {
	for _, k := range []struct {
		perSecond, minActive, maxActive int
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
		if n := len(b.active); n < k.minActive || n > k.maxActive {
			t.Errorf("after 2 s at %d requests a second, %d of 400 backends active, want %d to %d", k.perSecond, n,
				k.minActive, k.maxActive)
		}
	}
}

// After a day without requests the request rate is correct again within seconds, and measurements do not take
// hours to decay.
func TestRequestRateRecoversAfterSilence(t *testing.T) {
	b, h := newBalancer(t, testConfig(), 400)
	now := second
	for i := range 2000 {
		if now += 10 * milli; i == 1000 {
			now += 24 * time.Hour
			b.Timer(now, sweepToken)
			if b.decaySpan > 10*time.Minute {
				t.Errorf("after a day without requests, measurements decay over %v, want 10m at most", b.decaySpan)
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
		t.Errorf("10 s after a day without requests, at 100 requests a second, %d of 400 backends active, want over %d",
			len(b.active), 2*minActiveTargets)
	}
}

// A proxy that rarely sends to a backend must keep the measurement that it is slow until it sends there again.
func TestDecaySpanCoversAnswersOfEachTarget(t *testing.T) {
	b, _ := newBalancer(t, manyConfig(100), 6)
	now := second
	for id := range RequestID(60) {
		now += second
		b.Request(now, Request{ID: id + 1, Class: idempotent, Deadline: now + milli})
	}
	b.selectActive()
	if b.decaySpan < 20*second || b.decaySpan > 30*second {
		t.Errorf("at one request a second to six backends, measurements decay over %v, want 20s to 30s", b.decaySpan)
	}
}

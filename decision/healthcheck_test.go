package decision

import (
	"testing"
	"time"
)

// Health checks by the clock alone would cost the backends of many proxies more than their requests do.
func TestHealthChecksStayWithinBudget(t *testing.T) {
	b, h := newBalancer(t, manyConfig(100), 40)
	span := 60 * second
	for now := second; now < second+span; now += b.checkInterval / sweepsPerInterval {
		b.Timer(now, sweepToken)
		for _, p := range h.take("check") {
			b.HealthChecked(now, HealthCheckResult{Backend: p.to, Result: OK})
		}
	}
	// No request came, so only the least is due; what the first budget allows comes once.
	checks := 0
	for now := second + span; now < second+2*span; now += b.checkInterval / sweepsPerInterval {
		b.Timer(now, sweepToken)
		for _, p := range h.take("check") {
			checks++
			b.HealthChecked(now, HealthCheckResult{Backend: p.to, Result: OK})
		}
	}
	want := int(span/(passingCheckFactor*b.checkInterval)) * minChecksPerSpan
	if checks < want*8/10 || checks > want*12/10 {
		t.Errorf("%d checks a minute without requests, %d are due", checks, want)
	}
}

// Where connections are made fast, check intervals are short, and checks would cost more than requests.
func TestShortConnectTimeoutsKeepHealthChecksRare(t *testing.T) {
	cfg := manyConfig(100)
	cfg.Capabilities.ConnectTimeout = 50 * milli
	b, h := newBalancer(t, cfg, 10)
	h.take()
	checks := 0
	for at := second; at < 11*second; at += b.checkInterval / sweepsPerInterval {
		b.Timer(at, sweepToken)
		for _, a := range h.take("check") {
			checks++
			b.HealthChecked(at, HealthCheckResult{Backend: a.to, Result: OK, Latency: milli})
		}
	}
	if checks < 5 || checks > 15 {
		t.Errorf("%d checks in ten idle seconds", checks)
	}
}

// Failed health checks of a backend that answers requests meanwhile do not begin a slow start.
func TestHealthChecksBesideAnswers(t *testing.T) {
	for _, answers := range []bool{true, false} {
		b, _ := newBalancer(t, testConfig(), 1)
		target := b.targets[0]
		for i := range 2 {
			target.checkInFlight = true
			b.HealthChecked(30*second+time.Duration(i)*second, HealthCheckResult{Backend: target.ID, Result: Reset})
			if answers {
				target.lastSuccess = b.now + 10*milli
			}
		}
		if _, cold := b.warmUpCapacity(target); cold == answers {
			t.Errorf("answers meanwhile %v: cold %v", answers, cold)
		}
		if target.healthy {
			t.Error("two failed checks in a row did not mark it")
		}
	}
}

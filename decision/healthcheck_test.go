package decision

import (
	"testing"
	"time"
)

// The number of health checks is bounded by a budget. If each of many proxies checked all backends at fixed intervals,
// checks would cost the backends more than requests.
func TestHealthChecksStayWithinBudget(t *testing.T) {
	b, h := newBalancer(t, manyConfig(100), 40)
	span := 60 * second
	for now := second; now < second+span; now += b.checkInterval / sweepsPerInterval {
		b.Timer(now, sweepToken)
		for _, p := range h.take("check") {
			b.HealthChecked(now, HealthCheckResult{Backend: p.to, Result: OK})
		}
	}
	// Without requests only the minimum number of checks is due. The checks of the first minute, which include those
	// of the initial budget, are not counted.
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
		t.Errorf("%d health checks in a minute without requests, want %d within 20 %%", checks, want)
	}
}

// With a short connect timeout the check interval is short too, but health checks stay rare: they would cost more than
// requests.
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
		t.Errorf("%d health checks in ten idle seconds, want 5 to 15", checks)
	}
}

// Failed health checks make a backend unhealthy, but do not begin a slow start if it answers requests meanwhile.
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
		if _, warmingUp := b.warmUpCapacity(target); warmingUp == answers {
			t.Errorf("after two failed checks, with answers to requests between them: %v, warming up = %v, want %v",
				answers, warmingUp, !answers)
		}
		if target.healthy {
			t.Errorf("after two failed checks, with answers to requests between them: %v, healthy = true, want false",
				answers)
		}
	}
}

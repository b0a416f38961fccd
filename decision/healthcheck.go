package decision

import (
	"fmt"
	"time"
)

// Active health checks. A new target counts as healthy; unhealthyThreshold consecutive failed checks make it
// unhealthy, and healthyThreshold passed ones healthy again. Unhealthy targets get a request only if it may
// be sent to no healthy one.
const (
	// The check interval, between two checks of a target in doubt, is checkIntervalConnectTimeouts times the
	// connect timeout, which is the platform's measure of how soon a backend answers. It is at least
	// minIntervalTicks ticks and at least minCheckInterval.
	checkIntervalConnectTimeouts = 2
	minIntervalTicks             = 20
	minCheckInterval             = 100 * time.Millisecond

	// The interval is passingCheckFactor times as long for a target that passes its checks: attempts give
	// better evidence of its health, without extra cost.
	passingCheckFactor = 4

	// One failed check may happen by chance.
	unhealthyThreshold = 2
	healthyThreshold   = 2

	// The budget of checks is the share checkShareOfRequests of the requests, and at least minChecksPerSpan
	// checks in the interval of a target that passes, or in minCheckSpan if that is longer.
	checkShareOfRequests = 0.1
	minChecksPerSpan     = 2
	minCheckSpan         = 2 * time.Second
)

// checkIntervalFor returns the time between two checks of a target in doubt.
func checkIntervalFor(c *Config) time.Duration {
	return max(checkIntervalConnectTimeouts*c.Capabilities.ConnectTimeout, minIntervalTicks*c.Tick,
		minCheckInterval)
}

// CheckHealthNow starts a health check of each active backend at once. The caller uses it before connections
// to them are opened, so that the first requests go to healthy backends.
func (b *Balancer) CheckHealthNow(now time.Duration) {
	b.now = now
	for _, t := range b.active {
		if b.config.Capabilities.HealthChecks && !t.checkInFlight {
			b.startHealthCheck(t)
		}
	}
}

// startHealthCheck starts a health check of a target.
func (b *Balancer) startHealthCheck(t *target) {
	t.checkInFlight = true
	t.nextCheck = b.now + b.checkInterval
	b.host.CheckHealth(t.ID)
}

// HealthChecked reports the result of a health check. It is ignored if no check of the backend is in flight.
func (b *Balancer) HealthChecked(now time.Duration, result HealthCheckResult) {
	b.now = now
	t := b.targetsByID[result.Backend]
	if t == nil || !t.checkInFlight {
		return
	}
	t.checkInFlight = false
	switch result.Result {
	case OK:
		b.checkPassed(t)
	case Rejected, Cancelled, NotSent: // no evidence of the backend's health
	default:
		b.checkFailed(t)
	}
}

// checkPassed records a passed health check of a target.
func (b *Balancer) checkPassed(t *target) {
	t.failedChecks = 0
	t.passedChecks++
	if !t.healthy && t.passedChecks >= healthyThreshold {
		t.healthy = true
		// Log lines call a health check a probe: the golden transcripts contain them.
		b.log(fmt.Sprintf("backend %d passes its probes again", t.ID))
	}
}

// checkFailed records a failed health check of a target, and a suspected start.
func (b *Balancer) checkFailed(t *target) {
	t.passedChecks = 0
	t.failedChecks++
	t.nextCheck = min(t.nextCheck, b.now+b.checkInterval)
	if t.failedChecks == 1 {
		t.checksFailingSince = b.now
	}
	if t.failedChecks < unhealthyThreshold {
		return
	}
	// The backend may have restarted before the endpoint list shows it. From this check on, each failed
	// check is recorded as a start, until a check passes. A backend that has answered requests since the
	// first failed check has not restarted.
	if t.lastSuccess < t.checksFailingSince {
		b.recordStart(t, b.now)
	}
	if t.healthy {
		t.healthy = false
		b.log(fmt.Sprintf("backend %d fails its probes", t.ID))
	}
}

// startDueHealthChecks starts the health checks that are due, those of targets in doubt first, as far as the
// budget allows. Without a budget, the checks by many proxies with little traffic each would cost the
// backends more than the requests.
func (b *Balancer) startDueHealthChecks() {
	if !b.config.Capabilities.HealthChecks {
		return
	}
	span := max(passingCheckFactor*b.checkInterval, minCheckSpan)
	refill := float64(minChecksPerSpan*b.checkInterval) / sweepsPerInterval / float64(span)
	b.checkBudget = min(b.checkBudget+refill, float64(len(b.active)))
	b.checkCursor++
	b.startDueChecks(true)
	b.startDueChecks(false)
}

// startDueChecks starts the due checks of the active targets that are in doubt, or of those that are not. It
// begins at checkCursor, so that over time all targets get their turn.
func (b *Balancer) startDueChecks(inDoubt bool) {
	for i := 0; i < len(b.active) && b.checkBudget >= 1; i++ {
		t := b.active[(b.checkCursor+i)%len(b.active)]
		if t.checkInFlight || b.now < t.nextCheck || t.inDoubt() != inDoubt {
			continue
		}
		b.checkBudget--
		b.startHealthCheck(t)
		if !inDoubt {
			t.nextCheck = b.now + passingCheckFactor*b.checkInterval
		}
	}
}

// inDoubt reports whether a target is unhealthy, or a check or an attempt has failed since the last success.
func (t *target) inDoubt() bool {
	return !t.healthy || t.failedChecks > 0 || t.consecutiveFailures > 0
}

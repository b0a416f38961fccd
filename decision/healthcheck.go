package decision

import (
	"fmt"
	"time"
)

// Active health checks. A target starts healthy; unhealthyThreshold failed checks in a row make it
// unhealthy, and healthyThreshold passed ones healthy again. Unhealthy targets get requests only if no
// healthy one may have them.
const (
	// A target in doubt is checked every checkIntervalConnectTimeouts connect timeouts, the platform's own
	// measure of how soon a backend answers, but at least minIntervalTicks ticks and minCheckInterval apart.
	checkIntervalConnectTimeouts = 2
	minIntervalTicks             = 20
	minCheckInterval             = 100 * time.Millisecond

	// A target that passes is checked passingCheckFactor times as rarely: attempts show more, at no cost.
	passingCheckFactor = 4

	// One failed check may be chance.
	unhealthyThreshold = 2
	healthyThreshold   = 2

	// The budget of checks is checkShareOfRequests, and at least minChecksPerSpan in the time between two
	// checks of a target that passes, or in minCheckSpan if that is longer.
	checkShareOfRequests = 0.1
	minChecksPerSpan     = 2
	minCheckSpan         = 2 * time.Second
)

// checkIntervalFor is the time between two checks of a target in doubt.
func checkIntervalFor(c *Config) time.Duration {
	return max(checkIntervalConnectTimeouts*c.Capabilities.ConnectTimeout, minIntervalTicks*c.Tick,
		minCheckInterval)
}

// CheckHealthNow checks at once the backends that the first requests would go to, before connections to
// them are made.
func (b *Balancer) CheckHealthNow(now time.Duration) {
	b.now = now
	for _, t := range b.active {
		if b.config.Capabilities.HealthChecks && !t.checkInFlight {
			b.startHealthCheck(t)
		}
	}
}

func (b *Balancer) startHealthCheck(t *target) {
	t.checkInFlight = true
	t.nextCheck = b.now + b.checkInterval
	b.host.CheckHealth(t.ID)
}

// HealthChecked reports the result of a health check. One that was not started is ignored.
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
	case Rejected, Cancelled, NotSent: // it says nothing of the backend's health
	default:
		b.checkFailed(t)
	}
}

func (b *Balancer) checkPassed(t *target) {
	t.failedChecks = 0
	t.passedChecks++
	if !t.healthy && t.passedChecks >= healthyThreshold {
		t.healthy = true
		b.log(fmt.Sprintf("backend %d passes its probes again", t.ID))
	}
}

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
	// It may have died and come back before the list says so. Until it passes again its start counts as
	// now, unless it has answered requests meanwhile.
	if t.lastSuccess < t.checksFailingSince {
		b.recordStart(t, b.now)
	}
	if t.healthy {
		t.healthy = false
		b.log(fmt.Sprintf("backend %d fails its probes", t.ID))
	}
}

// startDueHealthChecks checks the targets whose time has come, those in doubt first, as far as the budget
// goes. Without a budget, checks by many proxies with little traffic each would cost the backends more than
// requests.
func (b *Balancer) startDueHealthChecks() {
	if !b.config.Capabilities.HealthChecks {
		return
	}
	span := max(passingCheckFactor*b.checkInterval, minCheckSpan)
	refill := float64(minChecksPerSpan*b.checkInterval) / sweepsPerInterval / float64(span)
	b.checkBudget = min(b.checkBudget+refill, float64(len(b.active)))
	b.checkCursor++
	b.startDueChecksOf(true)
	b.startDueChecksOf(false)
}

// startDueChecksOf goes round the active targets that are in doubt, or those that are not.
func (b *Balancer) startDueChecksOf(doubtful bool) {
	for i := 0; i < len(b.active) && b.checkBudget >= 1; i++ {
		t := b.active[(b.checkCursor+i)%len(b.active)]
		if t.checkInFlight || b.now < t.nextCheck || t.inDoubt() != doubtful {
			continue
		}
		b.checkBudget--
		b.startHealthCheck(t)
		if !doubtful {
			t.nextCheck = b.now + passingCheckFactor*b.checkInterval
		}
	}
}

// inDoubt reports whether a check or an attempt has failed since the last that passed.
func (t *target) inDoubt() bool {
	return !t.healthy || t.failedChecks > 0 || t.consecutiveFailures > 0
}

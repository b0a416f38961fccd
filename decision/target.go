package decision

import "time"

// target is what is known of one backend. It outlives list updates and restarts of the backend.
type target struct {
	Backend
	detached     bool    // by an operator
	hashOrder    uint64  // its place among those that this proxy may use
	relativeSize float64 // as registered, over the mean; 1 where sizes are not known

	// Active health checks (healthcheck.go).
	healthy            bool
	checkInFlight      bool
	failedChecks       int // in a row
	passedChecks       int // in a row
	checksFailingSince time.Duration
	nextCheck          time.Duration

	// Attempts as evidence of health (outlier.go).
	consecutiveFailures int // attempts in a row that got no answer
	failingSince        time.Duration
	lastSuccess         time.Duration
	lossesByClass       []decayingSum // unanswered attempts, halved by each answer

	// Latency (latency.go).
	ratioSum   decayingSum // of the latency ratios of attempts
	ratioCount decayingSum // and their number

	// Attempts in flight, oldest first, and over those that wait for an answer the sums of
	// waitingSince/expectedLatency and 1/expectedLatency.
	inFlight         []*attempt
	sentOverExpected float64
	inverseExpected  float64

	limit concurrencyLimit // on what is in flight here (concurrency.go)

	// Slow start (slowstart.go).
	lastStart       time.Duration // known or suspected; 0 is long ago
	slowStartTokens float64       // requests of mean work that it may be sent; below 0 none yet
	slowStartRate   float64       // ms of work a second that is added to them
	tokensUpdatedAt time.Duration
	servedWork      decayingSum // ms of work, over servedWorkIntervals
	recentWork      decayingSum // ms of work since the last start, over the overload window
}

// newTarget enters a backend that the list names for the first time.
func (b *Balancer) newTarget(e Backend) *target {
	t := &target{Backend: e, healthy: true, tokensUpdatedAt: b.now}
	t.lossesByClass = make([]decayingSum, len(b.config.Classes))
	t.hashOrder = hashKey(uint64(b.config.Rank)+1, e.ID)
	_, t.detached = b.detached[e.ID]
	b.targetsByID[e.ID] = t
	b.targets = append(b.targets, t)
	return t
}

// recordRatio notes how long n answers took, as the sum of multiples of what was expected.
func (t *target) recordRatio(now, span time.Duration, ratio, n float64) {
	t.ratioSum.add(ratio, now, span)
	t.ratioCount.add(n, now, span)
}

// locality is 0 for a backend in the proxy's own zone, else 1.
func (b *Balancer) locality(t *target) int {
	if t.Zone == b.config.Zone {
		return 0
	}
	return 1
}

package decision

import "time"

// target is the state of one backend. It is kept over list updates and restarts of the backend.
type target struct {
	Backend
	detached     bool    // by an operator
	hashOrder    uint64  // sort key of Balancer.listed; differs between proxies
	relativeSize float64 // registered size divided by the mean; 1 if sizes are unknown

	// Active health checks (healthcheck.go).
	healthy            bool
	checkInFlight      bool
	failedChecks       int // consecutive
	passedChecks       int // consecutive
	checksFailingSince time.Duration
	nextCheck          time.Duration

	// Attempts as evidence of health (outlier.go).
	consecutiveFailures int           // attempts without an answer since the last answer
	failingSince        time.Duration // time of the first of them
	lastSuccess         time.Duration // time of the last answer
	lossesByClass       []decayingSum // unanswered attempts, halved by each answer

	// Latency (latency.go).
	ratioSum   decayingSum // decaying sum of the latency ratios of attempts
	ratioCount decayingSum // decaying sum of the weights of these ratios

	// Attempts in flight, oldest first, and sums over those of them that are not uploading.
	inFlight         []*attempt
	sentOverExpected float64 // sum of waitingSince/expectedLatency
	inverseExpected  float64 // sum of 1/expectedLatency, in 1/ms

	limit concurrencyLimit // on the load in flight at the target (concurrency.go)

	// Slow start (slowstart.go).
	lastStart       time.Duration // known or suspected; 0 means long ago
	slowStartTokens float64       // requests of mean work that it may be sent; below 0, none yet
	slowStartRate   float64       // ms of work a second at which tokens are added
	tokensUpdatedAt time.Duration
	servedWork      decayingSum // ms of work, over servedWorkIntervals check intervals
	recentWork      decayingSum // ms of work since the last start, over the overload window
}

// newTarget adds a target for a backend that is new in the list.
func (b *Balancer) newTarget(e Backend) *target {
	t := &target{Backend: e, healthy: true, tokensUpdatedAt: b.now}
	t.lossesByClass = make([]decayingSum, len(b.config.Classes))
	t.hashOrder = hashKey(uint64(b.config.Rank)+1, e.ID)
	_, t.detached = b.detached[e.ID]
	b.targetsByID[e.ID] = t
	b.targets = append(b.targets, t)
	return t
}

// recordRatio adds weight answers to the mean latency ratio of the target. ratioSum is the sum of their
// latency ratios: of actual to expected latency.
func (t *target) recordRatio(now, span time.Duration, ratioSum, weight float64) {
	t.ratioSum.add(ratioSum, now, span)
	t.ratioCount.add(weight, now, span)
}

// locality returns 0 for a target in the proxy's own zone, else 1.
func (b *Balancer) locality(t *target) int {
	if t.Zone == b.config.Zone {
		return 0
	}
	return 1
}

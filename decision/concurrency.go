package decision

import (
	"math"
	"time"
)

// A concurrency limit bounds the load in flight at one target, or at all of them. It grows while answers
// come in their usual time, is cut back by each late one, and sinks to what is used. An attempt is late
// once it takes a multiple of its class's usual tail latency.
const (
	// An attempt is late after lateTailFactor times the tail latency of its class, but no sooner than
	// minLateShare and no later than maxLateShare of its objective: at the objective itself it is lost.
	lateTailFactor = 1.5
	minLateShare   = 0.3
	maxLateShare   = 0.7

	// initialLimit is the limit of a target that is new here, over the number of proxies.
	initialLimit = 8

	// targetLimitBackoff is what a late attempt leaves of a target's limit, sharedLimitBackoff of the limit
	// for all.
	targetLimitBackoff = 0.9
	sharedLimitBackoff = 0.96

	// increasesPerBackoff is how many attempts in time make up for a late one.
	increasesPerBackoff = 4

	// targetLimitGrowth is the least growth of a target's limit by an attempt in time, over the number of
	// proxies.
	targetLimitGrowth = 0.3

	// limitUtilization is the share of a limit that must be in use for it to grow.
	limitUtilization = 0.6

	// An unused limit sinks until its part for requests of little gain is limitHeadroom times the mean load.
	// One below its initial value rises to it limitRecoveryFactor times as slowly. The difference sinks to
	// 1/e in averagingIntervals check intervals.
	limitHeadroom       = 1.5
	limitRecoveryFactor = 4
	averagingIntervals  = decayIntervals

	// The share of a limit that holds for requests of little gain, and for those of the most.
	minLimitScale = 0.5
	maxLimitScale = 5

	// maxLoadWeight is how many mean requests one request counts for at most.
	maxLoadWeight = 8

	// From more proxies than sharedLimitInstances on, there is a limit for all backends beside each one's.
	sharedLimitInstances = initialLimit

	// smallestMeanGain keeps a quotient finite while no gain is known.
	smallestMeanGain = 1e-9
)

// concurrencyLimit bounds the load in flight. Loads are in requests of mean latency.
type concurrencyLimit struct {
	inFlight      int
	load          float64
	ceiling       float64 // the limit itself; 0 is not set yet
	growthStep    float64 // what each answer in time adds; halved by each late one
	unit          float64 // this proxy's part of one request at each; the ceiling is cut no lower
	backoffFactor float64 // what a late attempt leaves of the ceiling
	lastSent      time.Duration

	averagingSpan time.Duration // over which the load is averaged; 0 takes it as it is
	averageLoad   float64
	averagedAt    time.Duration
}

func newConcurrencyLimit(unit, backoffFactor float64, averagingSpan time.Duration) concurrencyLimit {
	c := concurrencyLimit{averagingSpan: averagingSpan, unit: unit, backoffFactor: backoffFactor,
		growthStep: 1}
	c.ceiling = initialLimit * unit
	return c
}

// meanLoad brings the average load to the time now and returns it. It must be called before the load changes.
func (c *concurrencyLimit) meanLoad(now time.Duration) float64 {
	if c.averagingSpan == 0 {
		return c.load
	}
	age := float64(now-c.averagedAt) / float64(c.averagingSpan)
	c.averageLoad += (c.load - c.averageLoad) * (1 - math.Exp(-age))
	c.averagedAt = now
	return c.averageLoad
}

// reserve counts an attempt in, and notes that it is late after so many ms.
func (c *concurrencyLimit) reserve(a *attempt, now time.Duration, lateAfter float64) {
	before := c.meanLoad(now)
	c.inFlight++
	c.load += a.loadWeight
	c.lastSent = now
	reserved := reservation{limit: c, loadAtSend: max(before, c.meanLoad(now))}
	reserved.lateAt = now + fromMillis(lateAfter)
	a.reservations = append(a.reservations, reserved)
}

// release takes the load of an attempt off.
func (c *concurrencyLimit) release(loadWeight float64, now time.Duration) {
	if c.meanLoad(now); c.inFlight > 1 {
		c.inFlight--
		c.load -= loadWeight
	} else { // rounding must leave no trace
		c.inFlight = 0
		c.load = 0
	}
}

// reservation is an attempt's part in a limit.
type reservation struct {
	limit      *concurrencyLimit
	loadAtSend float64 // with this attempt
	lateAt     time.Duration
	late       bool
}

// startWaiting counts the load of an attempt whose body has gone by, and moves the time from which it is
// late.
func (reserved *reservation) startWaiting(a *attempt, now time.Duration) {
	reserved.limit.meanLoad(now)
	reserved.limit.load += a.loadWeight
	reserved.lateAt = reserved.lateAt + now - a.waitingSince
	reserved.loadAtSend = reserved.limit.load
}

// isLate reports whether an attempt is late by now; one whose body is on its way is not.
func (a *attempt) isLate(reserved *reservation, now time.Duration) bool {
	return !a.uploading && now >= reserved.lateAt
}

// lateAfter is after how many ms an attempt to any target counts as late.
func (b *Balancer) lateAfter(r *request, expected float64) float64 {
	mean := b.expectedLatency(r.Class, 0)
	objective := millis(r.objectiveAt - r.arrived)
	usual := max(lateTailFactor*b.tailByClass[r.Class].baselineOr(initialTailFactor*mean),
		minLateShare*objective)
	return max(1, expected/mean) * min(usual, maxLateShare*objective) // one of more work may take longer
}

// adjustLimits learns how much may be in flight from whether an attempt takes its usual time. It is called
// at the end of an attempt and, with Cancelled, by each sweep while it is in flight: an overloaded
// server answers all late, so its limit must not wait for the answers.
func (b *Balancer) adjustLimits(a *attempt, result Result) {
	for i := range a.reservations {
		reserved := &a.reservations[i]
		c := reserved.limit
		if !reserved.late && (a.isLate(reserved, b.now) || result == Rejected) {
			// The ceiling is cut, not the load: an attempt that was late alone is no sign of an overload.
			reserved.late = true
			c.ceiling = max(c.unit, c.ceiling*c.backoffFactor)
			// A proxy that starts under load would double its limits far past what overloads a server.
			c.growthStep /= 2
		} else if result == OK && !reserved.late &&
			reserved.loadAtSend > c.ceiling*limitUtilization*minLimitScale {
			grow := max(c.growthStep, c.ceiling*(1-c.backoffFactor)/increasesPerBackoff)
			if c != &b.sharedLimit { // this least growth there would let every second attempt be late
				grow = max(grow, targetLimitGrowth*c.unit/min(1, c.ceiling))
			}
			c.ceiling += grow
		}
	}
}

// relaxLimit lets a limit sink to what is used, and rise again to where it began. Far above that, a burst
// overloads servers before late answers show it; far below, a backend gets no request that could show that
// it has recovered.
func (b *Balancer) relaxLimit(c *concurrencyLimit) {
	initial := initialLimit * c.unit
	needed := max(1, initial, limitHeadroom/minLimitScale*c.meanLoad(b.now))
	if c.ceiling > needed {
		c.ceiling += (needed - c.ceiling) / (averagingIntervals * sweepsPerInterval)
	} else if c.ceiling < initial && b.usesSharedLimit() {
		c.ceiling += (initial - c.ceiling) / (limitRecoveryFactor * averagingIntervals * sweepsPerInterval)
	}
}

// usesSharedLimit reports whether there is a limit for all backends beside each one's own. A proxy whose part
// of an initial limit is under one request sees too little of each backend to learn in time that all are
// overloaded.
func (b *Balancer) usesSharedLimit() bool { return b.config.Instances > sharedLimitInstances }

// sharedLimitReached reports whether the mean load reaches the limit for all backends. With few in flight the
// load itself jumps too much.
func (b *Balancer) sharedLimitReached(scale float64) bool {
	return b.usesSharedLimit() && b.sharedLimit.meanLoad(b.now) > b.sharedLimit.ceiling*scale
}

// hasCapacity reports whether a target may have one more in flight. A limit below one spaces attempts out in
// time.
func (b *Balancer) hasCapacity(t *target, scale float64) bool {
	c := &t.limit
	limit := c.ceiling * scale
	if limit < 1 {
		return c.inFlight == 0 && b.now >= c.lastSent+fromMillis(b.typicalLatency()/limit)
	}
	return c.inFlight == 0 || c.load+1 <= limit
}

// limitScale scales limits for a request by the root of its gain over the mean, between minLimitScale and
// maxLimitScale. A proxy with little traffic seldom has two waiting to choose from, and would shed the
// classes of most weight alike with the rest. It does harm where weights are configured wrongly.
func (b *Balancer) limitScale(r *request) float64 {
	if !b.usesSharedLimit() {
		return 1
	}
	gain := b.marginalGain(r) * b.totalTally.offered / max(b.meanGain, smallestMeanGain)
	return min(max(math.Sqrt(gain), minLimitScale), maxLimitScale)
}

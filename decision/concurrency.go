package decision

import (
	"math"
	"time"
)

// A concurrency limit bounds the load in flight at one target, or at all targets together. It grows with each
// answer in time, is reduced by each late one, and decreases slowly towards the load in use. An attempt is
// late once it takes longer than a multiple of its class's usual tail latency.
const (
	// An attempt is late after lateTailFactor times the tail latency of its class, but not before the share
	// minLateShare and not after the share maxLateShare of its latency objective: after the objective itself
	// the answer has lost its value.
	lateTailFactor = 1.5
	minLateShare   = 0.3
	maxLateShare   = 0.7

	// initialLimit is the limit of a new target for all proxies together. Each proxy begins with its share.
	initialLimit = 8

	// A late attempt multiplies a target's limit by targetLimitBackoff and the shared limit by
	// sharedLimitBackoff.
	targetLimitBackoff = 0.9
	sharedLimitBackoff = 0.96

	// increasesPerBackoff is how many attempts in time make up for the backoff by a late one.
	increasesPerBackoff = 4

	// targetLimitGrowth is the minimum growth of a target's limit by an attempt in time, for all proxies
	// together.
	targetLimitGrowth = 0.3

	// limitUtilization is the share of a limit that must be in use for it to grow.
	limitUtilization = 0.6

	// A limit far above the load in use decreases until the part of it that requests of the lowest gain may
	// use, minLimitScale times the limit, is limitHeadroom times the mean load. While it decreases, the
	// difference decays to 1/e in averagingIntervals check intervals. A limit below its initial value rises
	// towards it, limitRecoveryFactor times as slowly.
	limitHeadroom       = 1.5
	limitRecoveryFactor = 4
	averagingIntervals  = decayIntervals

	// limitScale multiplies a limit by minLimitScale for requests of the lowest gain, and by maxLimitScale
	// for those of the highest.
	minLimitScale = 0.5
	maxLimitScale = 5

	// maxLoadWeight is the maximum load of one request, in requests of mean latency. The minimum is
	// 1/maxLoadWeight.
	maxLoadWeight = 8

	// With more than sharedLimitInstances proxies, a shared limit for all targets applies besides that of
	// each target.
	sharedLimitInstances = initialLimit

	// minMeanGain keeps a quotient finite while no gain is known.
	minMeanGain = 1e-9
)

// concurrencyLimit bounds the load in flight. Loads are in requests of mean latency.
type concurrencyLimit struct {
	inFlight      int
	load          float64
	ceiling       float64       // the limit itself; 0 means not set yet
	growthStep    float64       // added by each answer in time; halved by each late one
	requestShare  float64       // this proxy's share of one request at each target; the minimum ceiling
	backoffFactor float64       // by which a late attempt multiplies the ceiling
	lastSent      time.Duration // time of the last send under this limit

	averagingSpan time.Duration // over which the load is averaged; 0 means no averaging
	averageLoad   float64
	averagedAt    time.Duration
}

// newConcurrencyLimit returns a limit at its initial value, initialLimit times requestShare.
func newConcurrencyLimit(requestShare, backoffFactor float64, averagingSpan time.Duration) concurrencyLimit {
	c := concurrencyLimit{averagingSpan: averagingSpan, requestShare: requestShare,
		backoffFactor: backoffFactor, growthStep: 1}
	c.ceiling = initialLimit * requestShare
	return c
}

// meanLoad updates the average load to the time now and returns it. It must be called before each change of
// the load.
func (c *concurrencyLimit) meanLoad(now time.Duration) float64 {
	if c.averagingSpan == 0 {
		return c.load
	}
	age := float64(now-c.averagedAt) / float64(c.averagingSpan)
	c.averageLoad += (c.load - c.averageLoad) * (1 - math.Exp(-age))
	c.averagedAt = now
	return c.averageLoad
}

// reserve adds the load of an attempt to the limit. The attempt counts as late after lateAfter, in ms.
func (c *concurrencyLimit) reserve(a *attempt, now time.Duration, lateAfter float64) {
	before := c.meanLoad(now)
	c.inFlight++
	c.load += a.loadWeight
	c.lastSent = now
	reserved := reservation{limit: c, loadAtSend: max(before, c.meanLoad(now))}
	reserved.lateAt = now + fromMillis(lateAfter)
	a.reservations = append(a.reservations, reserved)
}

// release removes the load of an attempt.
func (c *concurrencyLimit) release(loadWeight float64, now time.Duration) {
	if c.meanLoad(now); c.inFlight > 1 {
		c.inFlight--
		c.load -= loadWeight
	} else { // without attempts in flight, rounding errors must not leave a load
		c.inFlight = 0
		c.load = 0
	}
}

// reservation is the load of an attempt in one limit.
type reservation struct {
	limit      *concurrencyLimit
	loadAtSend float64 // of the limit, including this attempt
	lateAt     time.Duration
	late       bool // the limit has been reduced because of this attempt
}

// startWaiting adds the load of an attempt whose streamed body is now complete, and postpones the time from
// which the attempt is late by the duration of the upload.
func (reserved *reservation) startWaiting(a *attempt, now time.Duration) {
	reserved.limit.meanLoad(now)
	reserved.limit.load += a.loadWeight
	reserved.lateAt = reserved.lateAt + now - a.waitingSince
	reserved.loadAtSend = reserved.limit.load
}

// isLate reports whether an attempt is late. An attempt whose body is still being uploaded is not.
func (a *attempt) isLate(reserved *reservation, now time.Duration) bool {
	return !a.uploading && now >= reserved.lateAt
}

// lateAfter returns the time in ms after which an attempt to any target counts as late. expected is the
// expected latency of the request in ms.
func (b *Balancer) lateAfter(r *request, expected float64) float64 {
	mean := b.expectedLatency(r.Class, 0)
	objective := millis(r.objectiveAt - r.arrived)
	usual := max(lateTailFactor*b.tailByClass[r.Class].baselineOr(initialTailFactor*mean),
		minLateShare*objective)
	// A request of more work may take longer.
	return max(1, expected/mean) * min(usual, maxLateShare*objective)
}

// adjustLimits raises the limits of an attempt that was answered in time, and reduces those of one that is
// late or was rejected. It is called at the end of an attempt and, with the result Cancelled, by each sweep
// while the attempt is in flight: an overloaded backend answers everything late, so the reduction must not
// wait for the answers.
func (b *Balancer) adjustLimits(a *attempt, result Result) {
	for i := range a.reservations {
		reserved := &a.reservations[i]
		c := reserved.limit
		if !reserved.late && (a.isLate(reserved, b.now) || result == Rejected) {
			// The backoff starts from the ceiling, not from the current load: an attempt that is late
			// although it is alone at its target is no sign of an overload.
			reserved.late = true
			c.ceiling = max(c.requestShare, c.ceiling*c.backoffFactor)
			// Otherwise a proxy that starts under load would double its limits far beyond what overloads a
			// backend.
			c.growthStep /= 2
		} else if result == OK && !reserved.late &&
			reserved.loadAtSend > c.ceiling*limitUtilization*minLimitScale {
			growth := max(c.growthStep, c.ceiling*(1-c.backoffFactor)/increasesPerBackoff)
			// The shared limit has no such minimum growth: with it, every second attempt would be late.
			if c != &b.sharedLimit {
				growth = max(growth, targetLimitGrowth*c.requestShare/min(1, c.ceiling))
			}
			c.ceiling += growth
		}
	}
}

// relaxLimit moves a limit towards the load in use if it is above, and towards its initial value if it is
// below. With a limit far above the load, a burst overloads backends before late answers show it. With one
// far below its initial value, a backend gets no request that could show that it has recovered.
func (b *Balancer) relaxLimit(c *concurrencyLimit) {
	initial := initialLimit * c.requestShare
	needed := max(1, initial, limitHeadroom/minLimitScale*c.meanLoad(b.now))
	if c.ceiling > needed {
		c.ceiling += (needed - c.ceiling) / (averagingIntervals * sweepsPerInterval)
	} else if c.ceiling < initial && b.usesSharedLimit() {
		c.ceiling += (initial - c.ceiling) / (limitRecoveryFactor * averagingIntervals * sweepsPerInterval)
	}
}

// usesSharedLimit reports whether a shared limit for all targets applies besides that of each target. A proxy
// whose share of an initial limit is less than one request sends too few requests to each backend to detect
// in time that all are overloaded.
func (b *Balancer) usesSharedLimit() bool { return b.config.Instances > sharedLimitInstances }

// sharedLimitReached reports whether the mean load exceeds the shared limit times scale. The mean is used
// because with few attempts in flight the load itself varies too much.
func (b *Balancer) sharedLimitReached(scale float64) bool {
	return b.usesSharedLimit() && b.sharedLimit.meanLoad(b.now) > b.sharedLimit.ceiling*scale
}

// hasCapacity reports whether the limit of a target, times scale, allows one more attempt in flight. A limit
// below one spaces attempts in time.
func (b *Balancer) hasCapacity(t *target, scale float64) bool {
	c := &t.limit
	limit := c.ceiling * scale
	if limit < 1 {
		return c.inFlight == 0 && b.now >= c.lastSent+fromMillis(b.typicalLatency()/limit)
	}
	return c.inFlight == 0 || c.load+1 <= limit
}

// limitScale returns the factor by which limits are multiplied for a request: the square root of its gain
// divided by the mean gain, between minLimitScale and maxLimitScale. A proxy with little traffic seldom has
// two queued requests to choose from, and without the factor would shed classes of high weight as often as
// others. The factor does harm where weights are configured wrongly.
func (b *Balancer) limitScale(r *request) float64 {
	if !b.usesSharedLimit() {
		return 1
	}
	gain := b.marginalGain(r) * b.totalTally.offered / max(b.meanGain, minMeanGain)
	return min(max(math.Sqrt(gain), minLimitScale), maxLimitScale)
}

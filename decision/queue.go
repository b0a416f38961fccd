package decision

import (
	"cmp"
	"slices"
	"time"
)

const (
	// queuedPerTarget is the maximum number of queued requests for each active target.
	queuedPerTarget = 4

	// After maxDispatchMisses requests for which no target was found, a dispatch tries no more requests.
	maxDispatchMisses = 20

	// While requests are queued, the next dispatch comes after dispatchTicks ticks plus dispatchPause.
	dispatchTicks = 2
	dispatchPause = time.Millisecond
)

// enqueue queues a request without attempts in flight for the next dispatch, or gives its final answer if it
// may not be sent any more. It may wait for half of the time left before an answer would come too late.
func (b *Balancer) enqueue(r *request) {
	if b.hasNoTarget(r) {
		b.rejectOrFail(r)
		return
	}
	slack := b.lastUseful(r) - b.now - fromMillis(b.expectedFor(r)*b.medianRatio)
	r.waitUntil = b.now + slack/2
	b.queue = append(b.queue, r)
}

// hasNoTarget reports whether a request that was sent before may not be sent to any active target.
func (b *Balancer) hasNoTarget(r *request) bool {
	allowed := func(t *target) bool { return b.mayAttempt(r, t) }
	return len(r.attempts) > 0 && !slices.ContainsFunc(b.active, allowed)
}

// dispatch sends queued requests while there is capacity, that of the greatest marginal gain first, and gives
// a final answer to those that have waited too long. If it panics at one request, those behind it stay
// queued.
func (b *Balancer) dispatch() {
	waiting := slices.DeleteFunc(b.queue, func(r *request) bool { return r.ended })
	b.queue = nil
	rest := waiting
	defer func() { b.queue = append(b.queue, rest...) }()
	b.sortByGain(waiting)
	misses, maxQueued := 0, b.queueCapacity()
	for i, r := range waiting {
		rest = waiting[i+1:]
		if r.ended {
			continue
		}
		if misses < maxDispatchMisses {
			if t := b.selectTarget(r); t != nil && b.send(r, t) {
				continue
			}
			misses++
		}
		// While a request waits, its deduplication window may end, after which it may have no target left.
		if b.now >= r.waitUntil || len(b.queue) >= maxQueued || b.hasNoTarget(r) {
			b.rejectOrFail(r)
			continue
		}
		b.queue = append(b.queue, r)
	}
	if len(b.queue) > 0 && !b.dispatchScheduled {
		b.dispatchScheduled = true
		b.host.StartTimer(dispatchTicks*b.config.Tick+dispatchPause, dispatchToken)
	}
}

// sortByGain sorts requests by their marginal gain, the greatest first. The sort is stable.
func (b *Balancer) sortByGain(waiting []*request) {
	for _, r := range waiting {
		r.rank = b.marginalGain(r)
	}
	slices.SortStableFunc(waiting, func(x, y *request) int { return cmp.Compare(y.rank, x.rank) })
}

// queueCapacity returns the maximum number of queued requests at this proxy. With many proxies each holds
// only its share, so that their queues together do not grow with their number.
func (b *Balancer) queueCapacity() int {
	instances := b.config.Instances
	return queuedPerTarget * (len(b.active) + 1) * min(initialLimit, instances) / instances
}

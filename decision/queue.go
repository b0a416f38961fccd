package decision

import (
	"cmp"
	"slices"
	"time"
)

const (
	// queuedPerTarget is how many requests may wait for each active target.
	queuedPerTarget = 4

	// maxDispatchMisses is after how many requests that found no target no more are tried.
	maxDispatchMisses = 20

	// The queue is looked at again after dispatchTicks ticks and dispatchPause.
	dispatchTicks = 2
	dispatchPause = time.Millisecond
)

// enqueue lets a request that has nothing in flight wait for the next dispatch, if it may still be sent. It
// waits for half of the time that it can spare.
func (b *Balancer) enqueue(r *request) {
	if b.hasNoTarget(r) {
		b.rejectOrFail(r)
		return
	}
	slack := b.lastUseful(r) - b.now - fromMillis(b.expectedFor(r)*b.medianRatio)
	r.waitUntil = b.now + slack/2
	b.queue = append(b.queue, r)
}

// hasNoTarget reports whether a request that was sent may be sent nowhere any more.
func (b *Balancer) hasNoTarget(r *request) bool {
	may := func(t *target) bool { return b.mayAttempt(r, t) }
	return len(r.attempts) > 0 && !slices.ContainsFunc(b.active, may)
}

// dispatch sends what waits, the greatest marginal gain first, while there is capacity, and ends what has
// waited too long. If deciding one request panics, all behind it go on waiting.
func (b *Balancer) dispatch() {
	waiting := slices.DeleteFunc(b.queue, func(r *request) bool { return r.ended })
	b.queue = nil
	rest := waiting
	defer func() { b.queue = append(b.queue, rest...) }()
	b.sortByGain(waiting)
	misses, most := 0, b.queueCapacity()
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
		// While it waits, a deduplication window may end, and with it the only targets that it may go to.
		if b.now >= r.waitUntil || len(b.queue) >= most || b.hasNoTarget(r) {
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

// sortByGain ranks requests by their marginal gain and puts the greatest first; equals keep their order.
func (b *Balancer) sortByGain(waiting []*request) {
	for _, r := range waiting {
		r.rank = b.marginalGain(r)
	}
	slices.SortStableFunc(waiting, func(x, y *request) int { return cmp.Compare(y.rank, x.rank) })
}

// queueCapacity is how many requests may wait at this proxy. Of many proxies each holds its part only: their
// queues together must not grow with their number.
func (b *Balancer) queueCapacity() int {
	instances := b.config.Instances
	return queuedPerTarget * (len(b.active) + 1) * min(initialLimit, instances) / instances
}

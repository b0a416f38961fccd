package decision

import "time"

// mayAttempt reports whether a request may be sent to a target, for the first time or again. It must have no
// answer yet, the deadline and MaxAttempts must not be reached, and another attempt may be in flight only if
// hedged requests are allowed. A request that may have run is sent again only if it is idempotent, or
// idempotent by its key and within the deduplication scope and window.
func (b *Balancer) mayAttempt(r *request, t *target) bool {
	if r.ended || r.streaming || len(r.attempts) >= b.config.Capabilities.MaxAttempts || b.now >= r.Deadline {
		return false
	}
	if r.hasInFlight() && (!b.config.Capabilities.HedgedRequests || r.StreamedBody) {
		return false
	}
	class := &b.config.Classes[r.Class]
	firstSent := time.Duration(-1) // of the attempts that may have run
	for _, a := range r.attempts {
		if !a.mayHaveRun || class.Idempotency == Idempotent {
			continue
		}
		if class.Idempotency == NotIdempotent || !class.deduplicates(a, t) {
			return false
		}
		if firstSent < 0 {
			firstSent = a.sentAt
		}
	}
	return firstSent < 0 || b.now < firstSent+class.DeduplicationWindow-b.config.Tick
}

// deduplicates reports whether a target is within the deduplication scope of an attempt, so that it drops a
// repetition of it.
func (c *Class) deduplicates(a *attempt, t *target) bool {
	switch c.DeduplicationScope {
	case ScopeZone:
		return a.zone == t.Zone
	case ScopeCell:
		return a.cell == t.Cell
	}
	return true
}

// send starts an attempt and reports true, unless mayAttempt or mayReceive forbids it. All attempts are sent
// here, so that no code path can bypass these guards.
func (b *Balancer) send(r *request, t *target) bool {
	work := b.workOf(r)
	if !b.mayAttempt(r, t) || !b.mayReceive(t, work) {
		return false
	}
	expected := b.expectedFor(r)
	a := &attempt{request: r, number: len(r.attempts), target: t, zone: t.Zone, cell: t.Cell, sentAt: b.now,
		waitingSince: b.now, work: work, expectedLatency: expected, mayHaveRun: true}
	a.loadWeight = min(max(expected/b.meanLatency, 1.0/maxLoadWeight), maxLoadWeight)
	a.begin()
	t.slowStartTokens -= b.inMeanRequests(work)
	lateAfter := b.lateAfter(r, expected)
	t.limit.reserve(a, b.now, lateAfter)
	if b.usesSharedLimit() {
		// Under the shared limit, a slower target has more time before its attempts are late. Otherwise a few
		// slow machines would reduce the limit for all targets.
		b.sharedLimit.reserve(a, b.now, lateAfter*max(1, b.latencyRatio(t)/b.medianRatio))
	}
	until := min(r.Deadline, max(b.lastUseful(r)-b.config.Tick, b.now+b.config.Tick))
	b.host.Send(r.ID, t.ID, until)
	b.scheduleHedge(a, until)
	return true
}

// Outcome reports the end of an attempt. If the request has no final answer and no other attempt in flight,
// it is retried, rejected or failed. Outcomes of unknown or ended attempts are ignored.
func (b *Balancer) Outcome(now time.Duration, o Outcome) {
	b.now = now
	r := b.requests[o.ID]
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.attempts) {
		return
	}
	a := r.attempts[o.Attempt]
	if a == r.streamingAttempt { // FirstByte has settled it
		b.complete(r, a)
		return
	}
	if a.done {
		return
	}
	b.settle(a, o)
	defer b.dispatch()
	if r.ended || o.Final {
		b.complete(r, a)
		return
	}
	if r.hasInFlight() {
		return
	}
	b.retryOrEnd(a, o)
}

// settle removes an attempt from its target and its limits, and updates the estimates by its result.
func (b *Balancer) settle(a *attempt, o Outcome) {
	a.mayHaveRun = !o.Result.NeverRan()
	a.release(b.now)
	b.recordAttemptHealth(a, o.Result)
	latency := max(millis(b.now-a.waitingSince), minLatency)
	b.adjustLimits(a, o.Result)
	switch o.Result {
	case OK:
		if o.Final {
			b.recordServed(a.request)
		}
		b.learnLatency(a, latency)
		b.recordServedWork(a.target, a.work)
	case Cancelled, NotSent:
		b.learnAge(a, latency)
	default:
		b.learnFailure(a, latency)
	}
}

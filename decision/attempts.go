package decision

import "time"

// mayAttempt reports whether a request may be sent, or sent again, to a target: it has no answer, time and
// attempts are left, only hedged requests have two attempts in flight, and idempotency allows it. A request
// that may have run is repeated only if it is idempotent, or, by its key, within the scope and the window
// in which repeats are dropped.
func (b *Balancer) mayAttempt(r *request, t *target) bool {
	if r.ended || r.streaming || len(r.attempts) >= b.config.Capabilities.MaxAttempts || b.now >= r.Deadline {
		return false
	}
	if r.hasInFlight() && (!b.config.Capabilities.HedgedRequests || r.StreamedBody) {
		return false
	}
	class := &b.config.Classes[r.Class]
	firstSent := time.Duration(-1) // of those that may have run
	for _, a := range r.attempts {
		if !a.mayHaveRun || class.Idempotency == Idempotent {
			continue
		}
		if class.Idempotency == NotIdempotent || !class.dropsRepeats(a, t) {
			return false
		}
		if firstSent < 0 {
			firstSent = a.sentAt
		}
	}
	return firstSent < 0 || b.now < firstSent+class.DeduplicationWindow-b.config.Tick
}

// dropsRepeats reports whether a target drops the repeat of an attempt.
func (c *Class) dropsRepeats(a *attempt, t *target) bool {
	switch c.DeduplicationScope {
	case ScopeZone:
		return a.zone == t.Zone
	case ScopeCell:
		return a.cell == t.Cell
	}
	return true
}

// send starts an attempt, unless mayAttempt or mayReceive forbids it. It is the one place where requests
// leave, so that no path can bypass these guards.
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
		// Late is relative to the target's own speed, or some slow machines would cut the limit for all.
		b.sharedLimit.reserve(a, b.now, lateAfter*max(1, b.latencyRatio(t)/b.medianRatio))
	}
	until := min(r.Deadline, max(b.lastUseful(r)-b.config.Tick, b.now+b.config.Tick))
	b.host.Send(r.ID, t.ID, until)
	b.scheduleHedge(a, until)
	return true
}

// Outcome reports the end of an attempt. If the request has no final answer, it is retried or given up.
func (b *Balancer) Outcome(now time.Duration, o Outcome) {
	b.now = now
	r := b.requests[o.ID]
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.attempts) {
		return
	}
	a := r.attempts[o.Attempt]
	if a == r.streamingAttempt { // it was settled with its first byte
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

// settle takes an attempt off its target and its limits, and learns from how it ended.
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

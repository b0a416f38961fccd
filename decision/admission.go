package decision

import "time"

// openRequestsThreshold is the share of MaxOpenRequests above which requests of little value are shed.
const openRequestsThreshold = 0.93

// Request reports a request that the proxy has just received from a client. The Balancer sends, queues or
// sheds it. A request whose ID is already open is ignored.
func (b *Balancer) Request(now time.Duration, q Request) {
	b.now = now
	if _, known := b.requests[q.ID]; known {
		return
	}
	q.Class = min(max(q.Class, 0), len(b.config.Classes)-1)
	b.learnHint(q.Class, q.ExpectedWork)
	r := &request{Request: q, arrived: now}
	r.objectiveAt = b.objectiveFrom(now, r)
	b.requests[q.ID] = r
	b.refillRetryBudget()
	b.checkBudget += checkShareOfRequests
	b.countRequest()
	b.learnArrival(r)
	b.valueRequest(r)
	b.meanGain = movingAverage(b.meanGain, b.marginalGain(r)*b.totalTally.offered, b.meanSamples)
	b.openRequests++
	if b.shouldShed(r) {
		b.rejectOrFail(r)
		return
	}
	b.enqueue(r)
	b.dispatch()
}

// objectiveFrom returns the time until which an answer to a request earns its full value, if its latency
// counts from now.
func (b *Balancer) objectiveFrom(now time.Duration, r *request) time.Duration {
	class := &b.config.Classes[r.Class]
	extra := fromMillis(class.ObjectivePerWork * millis(r.ExpectedWork))
	return min(now+class.LatencyObjective+extra, r.Deadline)
}

// lastUseful returns the time after which an answer to a request earns nothing.
func (b *Balancer) lastUseful(r *request) time.Duration {
	if b.config.Classes[r.Class].LateValueShare > 0 {
		return r.Deadline
	}
	return r.objectiveAt
}

// shouldShed reports whether a request is shed on arrival. Once nearly MaxOpenRequests are open, requests are
// shed that earn less than the mean for each ms that they are open. If MaxOpenRequests were reached, no
// client could connect any more, and requests that earn much in a short time would be excluded like all
// others.
func (b *Balancer) shouldShed(r *request) bool {
	latency := b.expectedFor(r) * b.medianRatio
	density := b.marginalGain(r) * b.totalTally.offered * b.workOf(r) / latency
	b.meanDensity = movingAverage(b.meanDensity, density, b.meanSamples)
	maxOpen := b.config.Capabilities.MaxOpenRequests
	return maxOpen > 0 && float64(b.openRequests) > openRequestsThreshold*float64(maxOpen) &&
		density < b.meanDensity
}

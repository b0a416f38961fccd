package decision

import "time"

// hedgeLatencyFactor is the multiple of the expected latency after which an attempt is hedged or replaced.
const hedgeLatencyFactor = 3

// scheduleHedge starts the timer after which hedgeOrReplace handles an attempt as too slow. until is the
// time at which the attempt times out; no timer is started that would end later.
func (b *Balancer) scheduleHedge(a *attempt, until time.Duration) {
	wait := fromMillis(hedgeLatencyFactor * a.expectedLatency * max(1, b.medianRatio))
	if b.now+wait < until {
		b.host.StartTimer(wait, attemptToken(a.request.ID, a.number))
	}
}

// hedgeOrReplace handles an attempt that takes too long, if the retry budget allows it. It sends a hedged
// request or, if only one attempt may be in flight, cancels the attempt so that the request is retried. It
// cancels only attempts of idempotent requests, and only if the target has answered no other attempt since
// this one was sent.
func (b *Balancer) hedgeOrReplace(a *attempt) {
	r := a.request
	if r.ended || a.done || r.streaming || r.StreamedBody || b.retryBudget < 1 ||
		b.now+fromMillis(a.expectedLatency) > b.lastUseful(r) {
		return
	}
	if b.config.Capabilities.HedgedRequests {
		if t := b.selectTarget(r); t != nil && !wasAttempted(r, t) && b.send(r, t) {
			b.retryBudget--
		}
		return
	}
	silent := a.target.lastSuccess < a.waitingSince
	if b.config.Classes[r.Class].Idempotency == Idempotent && b.config.Capabilities.Cancel && silent {
		a.retryReserved = true
		b.retryBudget--
		b.cancel(a)
	}
}

package decision

import "time"

// hedgeLatencyFactor is how many expected latencies an attempt may take before it is hedged or replaced.
const hedgeLatencyFactor = 3

// scheduleHedge starts the timer after which an attempt takes too long, if it ends before the attempt does.
func (b *Balancer) scheduleHedge(a *attempt, until time.Duration) {
	wait := fromMillis(hedgeLatencyFactor * a.expectedLatency * max(1, b.medianRatio))
	if b.now+wait < until {
		b.host.StartTimer(wait, attemptToken(a.request.ID, a.number))
	}
}

// hedgeOrReplace responds to an attempt that takes too long, as far as the retry budget goes: by a hedged
// request beside it or, where only one may be in flight, by cancelling it in favour of a retry. The latter
// is for idempotent requests to targets that have answered nothing since.
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

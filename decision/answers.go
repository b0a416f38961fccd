package decision

import "slices"

// mayReject reports whether a request may be rejected. A rejection promises the client that a retry is
// harmless: either it is certain that no attempt of the request has run, or repeating it is harmless at every
// backend.
func (b *Balancer) mayReject(r *request) bool {
	class := &b.config.Classes[r.Class]
	if class.Idempotency == Idempotent || class.Idempotency == IdempotentByKey &&
		class.DeduplicationScope == ScopeAll {
		return true
	}
	return !slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.mayHaveRun })
}

// rejectOrFail gives the final answer to a request that will not be served, and cancels its attempts in
// flight. A rejection tells the client to retry after a check interval.
func (b *Balancer) rejectOrFail(r *request) {
	if r.ended || r.streaming {
		return
	}
	if b.mayReject(r) {
		retryAfter := b.checkInterval
		if !b.config.Capabilities.RetryAfter {
			retryAfter = 0
		}
		b.host.Reject(r.ID, min(retryAfter, b.config.Capabilities.MaxRetryAfter))
	} else {
		b.host.Fail(r.ID)
	}
	b.complete(r, nil)
}

// complete marks a request as ended and cancels its attempts except the winner, whose answer the client got;
// winner is nil if there is none. The request is removed once no attempt is in flight.
func (b *Balancer) complete(r *request, winner *attempt) {
	if !r.ended {
		r.ended = true
		b.openRequests--
	}
	b.cancelOthers(r, winner)
	if !r.hasInFlight() {
		delete(b.requests, r.ID)
	}
}

// cancelOthers cancels all attempts of a request in flight except the winner.
func (b *Balancer) cancelOthers(r *request, winner *attempt) {
	for _, a := range r.attempts {
		if a != winner && !a.done {
			b.cancel(a)
		}
	}
}

// cancel cancels an attempt if the platform allows it and it has not been cancelled yet.
func (b *Balancer) cancel(a *attempt) {
	if b.config.Capabilities.Cancel && !a.cancelled {
		a.cancelled = true
		b.host.Cancel(a.request.ID, a.number)
	}
}

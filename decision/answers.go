package decision

import "slices"

// mayReject reports whether a request may be rejected. A rejection promises the client that trying again is
// harmless: nothing of the request may have run, or repeats of it are harmless everywhere.
func (b *Balancer) mayReject(r *request) bool {
	class := &b.config.Classes[r.Class]
	if class.Idempotency == Idempotent || class.Idempotency == IdempotentByKey &&
		class.DeduplicationScope == ScopeAll {
		return true
	}
	return !slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.mayHaveRun })
}

// rejectOrFail sends the final answer to a request that is given up, and cancels what is still in flight.
// The client is to retry after a check interval.
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

// complete marks a request as ended and cancels its attempts but the winner, which may be nil.
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

func (b *Balancer) cancelOthers(r *request, winner *attempt) {
	for _, a := range r.attempts {
		if a != winner && !a.done {
			b.cancel(a)
		}
	}
}

func (b *Balancer) cancel(a *attempt) {
	if b.config.Capabilities.Cancel && !a.cancelled {
		a.cancelled = true
		b.host.Cancel(a.request.ID, a.number)
	}
}

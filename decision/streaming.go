package decision

import "time"

// FirstByte reports that a streamed answer has begun. From then on the request is bound to this attempt, and
// its other attempts are cancelled. The rest of the answer depends on how fast the client reads, so it does
// not count in the backend's latency or load. It is ignored if the request or the attempt has ended.
func (b *Balancer) FirstByte(now time.Duration, f FirstByte) {
	b.now = now
	r := b.requests[f.ID]
	if r == nil || r.ended || r.streaming || f.Attempt < 0 || f.Attempt >= len(r.attempts) {
		return
	}
	a := r.attempts[f.Attempt]
	if a.done {
		return
	}
	r.streaming = true
	r.streamingAttempt = a
	b.cancelOthers(r, a)
	b.settle(a, Outcome{ID: f.ID, Attempt: f.Attempt, Backend: f.Backend, Result: OK, Final: true})
	b.dispatch()
}

// BodyComplete reports that the last byte of a streamed request body was forwarded. The request's latency
// counts from now on, and its deadline on the caller's clock is replaced by deadline.
func (b *Balancer) BodyComplete(now time.Duration, id RequestID, deadline time.Duration) {
	b.now = now
	r := b.requests[id]
	if r == nil || r.ended || !r.StreamedBody || r.bodyComplete {
		return
	}
	r.bodyComplete = true
	r.arrived = now
	r.Deadline = deadline
	r.objectiveAt = b.objectiveFrom(now, r)
	for _, a := range r.attempts {
		if !a.done {
			a.startWaiting(now)
		}
	}
}

// ClientGone reports that the client of a request has left. The request ends without a final answer, and its
// attempts in flight are cancelled.
func (b *Balancer) ClientGone(now time.Duration, id RequestID) {
	b.now = now
	if r := b.requests[id]; r != nil && !r.ended {
		b.complete(r, nil)
	}
}

package decision

import "time"

// FirstByte binds a request whose answer is streamed to its attempt. What follows depends on how fast the
// client reads: it says nothing of the backend, and counts as no load there.
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

// BodyComplete says that the last byte of a streamed body has gone by. The request's time counts from here,
// up to the new deadline on the caller's clock.
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

// ClientGone says that a request's client has left: no answer is owed any more.
func (b *Balancer) ClientGone(now time.Duration, id RequestID) {
	b.now = now
	if r := b.requests[id]; r != nil && !r.ended {
		b.complete(r, nil)
	}
}

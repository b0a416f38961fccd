package engine

import (
	"context"
	"time"
)

const (
	// deadlineGrace is the time after a request's deadline at which the engine ends the request if the decision module
	// has not done so.
	deadlineGrace = 5 * time.Millisecond
	// uploadCheckInterval is the maximum time between two checks of the deadline of a request whose body is incomplete.
	uploadCheckInterval = 250 * time.Millisecond
)

// Upload is the body of a request that is still being received when the request is submitted. Its methods must not
// block.
//
// A client's timeout runs from the last byte that it has written, which may lie unread in the buffers of the two systems
// while the backend takes nothing. The deadline of an upload is therefore counted from the latest time at which the body
// was known to be incomplete, and not from the time at which its last byte is read.
type Upload interface {
	// IncompleteAt returns the latest time, on the engine's clock, at which the client was known not to have written the
	// last byte.
	IncompleteAt() time.Duration
	// Cut ends the receiving of the body, unless its last byte was read. It returns true if the last byte was not and
	// will not be read, so that no backend can have run the request.
	Cut() bool
}

// setReceivedAt sets the earliest time at which the last byte of a request can have arrived, and with it the request's
// deadline.
func (e *Engine) setReceivedAt(r *Request, at time.Duration) {
	r.receivedAt = at
	r.Deadline = e.deadline(at, r.Timeout)
}

// deadline returns the deadline of a request whose last byte has arrived at a time. Any goroutine may call it.
func (e *Engine) deadline(receivedAt, timeout time.Duration) time.Duration {
	deadline := receivedAt + timeout
	if by, limited := e.opts.AnswerBy(e.clock.Time(receivedAt)); limited {
		deadline = min(deadline, e.clock.At(by))
	}
	return deadline
}

// BodyComplete records that the last byte of an upload was read. It must be called within an event.
func (e *Engine) BodyComplete(r *Request) {
	if r.ended || !r.Uploading() {
		return
	}
	e.setReceivedAt(r, r.Upload.IncompleteAt())
	r.bodyComplete = true
	e.stopTimer(r.expiry)
	e.scheduleExpiry(r)
	now := e.clock.Now()
	for _, a := range r.attempts {
		if a.timeout == nil {
			a.setTimeout(r.Deadline - now)
		}
	}
	e.decider.BodyComplete(now, r.id, r.Deadline)
}

// scheduleExpiry sets a timer that ends the request deadlineGrace after its deadline. For an upload, whose deadline can
// move, the timer checks the deadline first.
func (e *Engine) scheduleExpiry(r *Request) {
	if r.Uploading() {
		due := min(r.Deadline, e.clock.Now()+uploadCheckInterval)
		r.expiry = e.startTimerAt(due, func() { e.checkUpload(r) })
		return
	}
	r.expiry = e.startTimerAt(r.Deadline+deadlineGrace, func() { e.expireRequest(r) })
}

// checkUpload moves the deadline of an upload if its client has not finished, and ends the request if its client has left.
// If the deadline has passed, it ends the attempts in flight; the decision module has deadlineGrace to end the request
// then.
func (e *Engine) checkUpload(r *Request) {
	if r.ended {
		return
	}
	if r.hasClientLeft() {
		e.ClientGone(r)
		return
	}
	e.setReceivedAt(r, r.Upload.IncompleteAt())
	if e.clock.Now() < r.Deadline {
		e.scheduleExpiry(r)
		return
	}
	for _, a := range r.attempts {
		a.stop(context.DeadlineExceeded)
	}
	r.expiry = e.startTimerAt(r.Deadline+deadlineGrace, func() { e.expireRequest(r) })
}

// expireRequest ends a request that is still open after its deadline, so that each request gets a result even if the
// decision module does not end it.
func (e *Engine) expireRequest(r *Request) {
	if r.ended {
		return
	}
	e.log.Warn("request still open at its deadline", "attempts", len(r.attempts), "uploading", r.Uploading())
	result := Result{Outcome: Failed, TimedOut: true}
	if r.Upload != nil && r.Upload.Cut() {
		result = Result{Outcome: Rejected}
	}
	e.complete(r, result)
	e.decider.ClientGone(e.clock.Now(), r.id)
}

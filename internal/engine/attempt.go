package engine

import (
	"context"
	"time"

	"lapisspread/decision"
)

// inFlightAttempt is an attempt that the decision module has started with Send. It stays in Request.attempts after it
// has ended.
type inFlightAttempt struct {
	number    int // index of the attempt in the request, from 0
	backend   decision.BackendID
	startedAt time.Duration
	permit    Permit
	ctx       context.Context
	stop      context.CancelCauseFunc // cancels ctx
	timeout   *time.Timer             // nil while the request's body is being uploaded

	ended  bool
	result decision.Result // valid once ended is set
}

// cancel cancels the attempt's context and stops its timeout.
func (a *inFlightAttempt) cancel() {
	a.stopTimeout()
	a.stop(context.Canceled)
}

// setTimeout cancels the attempt's context with context.DeadlineExceeded after a time.
func (a *inFlightAttempt) setTimeout(after time.Duration) {
	a.timeout = time.AfterFunc(after, func() { a.stop(context.DeadlineExceeded) })
}

func (a *inFlightAttempt) stopTimeout() {
	if a.timeout != nil {
		a.timeout.Stop()
	}
}

// Send starts an attempt at a backend that times out at until; if until is 0, it times out at the request's deadline.
// An attempt that may not be made ends with decision.NotSent in a later event.
func (h host) Send(id decision.RequestID, to decision.BackendID, until time.Duration) {
	r := h.requests[id]
	if r == nil {
		h.log.Warn("attempt for a finished request ignored")
		return
	}
	now := h.clock.Now()
	if r.Uploading() {
		h.setReceivedAt(r, r.Upload.IncompleteAt())
	}
	until = r.attemptEnd(until)
	a := &inFlightAttempt{number: len(r.attempts), backend: to, startedAt: now}
	a.ctx, a.stop = context.WithCancelCause(h.ctx)
	r.attempts = append(r.attempts, a)
	r.inFlight++
	backend := h.opts.Upstream.Find(to)
	if backend == nil || now >= until || !h.admitAttempt(r, a) {
		h.deferred = append(h.deferred, func() { h.attemptEnded(r, a.number, decision.NotSent, nil) })
		return
	}
	if !r.Uploading() {
		a.setTimeout(until - now)
	}
	attempt := Attempt{
		Message:     r.Message,
		Timeout:     until - now,
		Remaining:   h.remaining(r, until),
		LeaseToken:  a.permit.Token,
		MaySend:     func() (time.Time, bool) { return h.maySend(r, a.number) },
		StartStream: func(s Stream) bool { return h.startStream(r, a, s) },
	}
	class := r.Class
	h.startWorker(func() {
		result, response := h.exchange(a, class, backend, attempt)
		h.Post(func() { h.attemptEnded(r, a.number, result, response) })
	})
}

// attemptEnd returns when an attempt times out, given the time until that the decision module has set for it.
func (r *Request) attemptEnd(until time.Duration) time.Duration {
	switch {
	case r.Uploading(): // only the timeout sent to the backend: checkUpload ends the attempt
		return r.Deadline
	case until <= 0 || until > r.Deadline:
		return r.Deadline
	}
	return until
}

// remaining returns the implementation of Attempt.Remaining for an attempt that times out at until. For an upload, whose
// deadline can move, the time is counted from what its client has sent by then.
func (e *Engine) remaining(r *Request, until time.Duration) func() time.Duration {
	if !r.Uploading() {
		return func() time.Duration { return until - e.clock.Now() }
	}
	upload, timeout := r.Upload, r.Timeout
	return func() time.Duration { return e.deadline(upload.IncompleteAt(), timeout) - e.clock.Now() }
}

// admitAttempt reports whether an attempt may be made. It consumes a retry from AllowRetry and a unit from Quota, where
// they are needed. The request's inFlight count must already include the attempt.
func (e *Engine) admitAttempt(r *Request, a *inFlightAttempt) bool {
	capabilities := &e.opts.Decision.Capabilities
	switch {
	case r.guard.isClosed():
		return false
	case a.number >= capabilities.MaxAttempts:
		return false
	case r.inFlight > 1 && !capabilities.HedgedRequests:
		return false
	case a.number > 0 && !e.opts.AllowRetry():
		return false
	}
	if e.opts.Freshness != nil {
		if _, ok := e.opts.Freshness.CheckAttempt(a.backend, r.Class); !ok {
			return false
		}
	}
	if e.opts.Quota == nil {
		return true
	}
	permit, ok := e.opts.Quota.Acquire(r.Class, r.Tenant, a.number == 0)
	a.permit = permit
	return ok
}

// maySend implements Attempt.MaySend for one attempt of a request. It reports whether the first byte may be sent now,
// and the time by which the last byte must be sent; a zero time means no limit. Any goroutine may call it.
//
// It asks the client's connection once more: ClientGone comes only when the front end has read as far as the client's
// close, and nobody reads while a part of a long body waits for its backend.
func (e *Engine) maySend(r *Request, number int) (by time.Time, ok bool) {
	if r.hasClientLeft() {
		r.clientLeft.Store(true)
		r.guard.close()
		return time.Time{}, false
	}
	classes := e.opts.Decision.Classes
	// The decision module clamps a class that is out of range in the same way.
	class := min(max(r.Class, 0), len(classes)-1)
	end, ok := r.guard.startSend(number, e.clock.Now(), retryWindow(classes[class]))
	if end == 0 {
		return time.Time{}, ok
	}
	return e.clock.Time(end), ok
}

// exchange carries out an attempt and blocks until the attempt has ended.
func (e *Engine) exchange(a *inFlightAttempt, class int, backend Backend, attempt Attempt) (decision.Result, any) {
	if e.opts.Quota != nil && e.opts.Quota.Expired(a.permit) {
		return decision.NotSent, nil
	}
	if e.opts.Freshness == nil {
		return backend.Exchange(a.ctx, attempt)
	}
	// Checked again, because the process may have been stopped for a while since admitAttempt.
	check, ok := e.opts.Freshness.CheckAttempt(a.backend, class)
	if !ok {
		return decision.NotSent, nil
	}
	result, response := backend.Exchange(a.ctx, attempt)
	e.opts.Freshness.AttemptEnded(check, result)
	return result, response
}

// startStream implements Attempt.StartStream. The goroutine that carries out the attempt calls it.
func (e *Engine) startStream(r *Request, a *inFlightAttempt, s Stream) bool {
	if a.ctx.Err() != nil {
		return false
	}
	e.Post(func() {
		a.stopTimeout()
		if a.ctx.Err() != nil { // the attempt timed out before this event was handled
			e.log.Info("streamed response came after its attempt's deadline",
				"cause", context.Cause(a.ctx), "uploading", r.Uploading())
			s.End(ErrAbandoned)
			return
		}
		e.streamStarted(r, a, s)
	})
	return true
}

// streamStarted makes a streamed response, whose first byte has arrived, the result of the request. If the request has
// ended, it drops the response.
func (e *Engine) streamStarted(r *Request, a *inFlightAttempt, s Stream) {
	if r.ended {
		e.log.Info("streamed response of a superseded attempt dropped",
			"attempt", a.number, "streaming", r.stream != nil)
		s.End(ErrAbandoned)
		return
	}
	r.stream = s
	e.complete(r, Result{Outcome: Served, Stream: s})
	now := e.clock.Now()
	e.decider.FirstByte(now, decision.FirstByte{
		ID:      r.id,
		Attempt: a.number,
		Backend: a.backend,
		Latency: now - a.startedAt,
	})
}

// attemptEnded handles the end of an attempt and reports it to the decision module. A response ends the request, unless
// the request has already ended.
func (e *Engine) attemptEnded(r *Request, number int, result decision.Result, response any) {
	now := e.clock.Now()
	a := r.attempts[number]
	a.cancel()
	a.ended = true
	a.result = result
	r.guard.attemptEnded(number, result)
	r.inFlight--
	r.timedOut = result == decision.Timeout
	consumed := result != decision.OK && r.Message != nil && r.Message.Consumed()
	if result == decision.OK {
		e.complete(r, Result{Outcome: Served, Response: response})
	}
	if r.clientLeft.Load() {
		e.ClientGone(r)
	}
	e.release(r)
	e.decider.Outcome(now, decision.Outcome{
		ID:           r.id,
		Attempt:      number,
		Backend:      a.backend,
		Result:       result,
		Latency:      now - a.startedAt,
		Final:        r.ended,
		BodyConsumed: consumed,
	})
}

// Cancel cancels an attempt. Its outcome is reported by a later event.
func (h host) Cancel(id decision.RequestID, number int) {
	if r := h.requests[id]; r != nil && number >= 0 && number < len(r.attempts) {
		r.attempts[number].cancel()
	}
}

package engine

import (
	"context"
	"time"

	"lapisspread/decision"
)

// inFlightAttempt is an attempt that the decision module has ordered.
type inFlightAttempt struct {
	number    int // counts the request's attempts from 0
	backend   decision.BackendID
	startedAt time.Duration
	permit    Permit
	ctx       context.Context
	stop      context.CancelCauseFunc
	timeout   *time.Timer // nil while the request's body is on its way

	ended  bool
	result decision.Result // once it has ended
}

// cancel ends the attempt and its timeout.
func (a *inFlightAttempt) cancel() {
	a.stopTimeout()
	a.stop(context.Canceled)
}

// setTimeout ends the attempt after a time.
func (a *inFlightAttempt) setTimeout(after time.Duration) {
	a.timeout = time.AfterFunc(after, func() { a.stop(context.DeadlineExceeded) })
}

func (a *inFlightAttempt) stopTimeout() {
	if a.timeout != nil {
		a.timeout.Stop()
	}
}

// Send starts an attempt at a backend that ends at until; 0 is the request's deadline. An attempt that may not be made
// ends as decision.NotSent.
func (h host) Send(id decision.RequestID, to decision.BackendID, until time.Duration) {
	r := h.requests[id]
	if r == nil {
		h.log.Warn("attempt for a finished request ignored")
		return
	}
	now := h.clock.Now()
	until = r.attemptEnd(now, until)
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

// attemptEnd is when an attempt ends at the latest, for one that the decision module wants to end at until.
func (r *Request) attemptEnd(now, until time.Duration) time.Duration {
	switch {
	case r.Uploading(): // the backend gets this; the timeout is set once the body is complete
		return now + r.Timeout
	case until <= 0 || until > r.Deadline:
		return r.Deadline
	}
	return until
}

// admitAttempt reports whether an attempt may be made, and takes what it costs: a retry of AllowRetry and a unit of
// Quota. The attempt counts as in flight already.
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

// maySend answers Attempt.MaySend for one attempt of a request: whether its first byte may be sent now, and by when
// its last must be, zero if that does not matter. Any goroutine may call it.
func (e *Engine) maySend(r *Request, number int) (by time.Time, ok bool) {
	classes := e.opts.Decision.Classes
	class := min(max(r.Class, 0), len(classes)-1) // as the decision module takes a class that is out of range
	end, ok := r.guard.begin(number, e.clock.Now(), retryWindow(classes[class]))
	if end == 0 {
		return time.Time{}, ok
	}
	return e.clock.Time(end), ok
}

// exchange carries an attempt out; it blocks until that has ended.
func (e *Engine) exchange(a *inFlightAttempt, class int, backend Backend, attempt Attempt) (decision.Result, any) {
	if e.opts.Quota != nil && e.opts.Quota.Expired(a.permit) {
		return decision.NotSent, nil
	}
	if e.opts.Freshness == nil {
		return backend.Exchange(a.ctx, attempt)
	}
	seen, ok := e.opts.Freshness.CheckAttempt(a.backend, class) // again: the process may have been stopped since
	if !ok {
		return decision.NotSent, nil
	}
	result, response := backend.Exchange(a.ctx, attempt)
	e.opts.Freshness.AttemptEnded(seen, result)
	return result, response
}

// startStream is the Attempt's StartStream. The attempt's own goroutine calls it.
func (e *Engine) startStream(r *Request, a *inFlightAttempt, s Stream) bool {
	if a.ctx.Err() != nil {
		return false
	}
	e.Post(func() {
		a.stopTimeout()
		if a.ctx.Err() != nil { // it timed out meanwhile
			e.log.Info("streamed response came after its attempt's deadline",
				"cause", context.Cause(a.ctx), "uploading", r.Uploading())
			s.End(ErrAbandoned)
			return
		}
		e.streamStarted(r, a, s)
	})
	return true
}

// streamStarted takes a streamed response whose first byte has come: it is the request's result.
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

// attemptEnded takes the end of an attempt. A response ends its request, unless that has ended before.
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

// Cancel cancels an attempt; its outcome comes as an event.
func (h host) Cancel(id decision.RequestID, number int) {
	if r := h.requests[id]; r != nil && number >= 0 && number < len(r.attempts) {
		r.attempts[number].cancel()
	}
}

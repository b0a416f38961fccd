package engine

import (
	"time"

	"lapisspread/decision"
)

// deadlineGrace is how long after a request's deadline the engine ends it if the decision module has not.
const deadlineGrace = 5 * time.Millisecond

// Outcome is how a request ended.
type Outcome uint8

// The outcomes.
const (
	Failed   Outcome = iota // nothing is known or promised
	Rejected                // it did not run: a repeat is harmless
	Served
)

// String returns the outcome's name, as the console and the logs show it.
func (o Outcome) String() string { return [...]string{"failed", "refused", "served"}[o] }

// Result is the one result of a request.
type Result struct {
	Outcome    Outcome
	RetryAfter time.Duration // Rejected: when the client may come again; 0 is none
	TimedOut   bool          // Failed: the last attempt ran into its timeout, or the deadline has passed
	MayHaveRun bool          // an attempt may have run, or may still
	ClientGone bool          // the client had left; nobody waits for this
	Response   any           // Served: the response as the Upstream returned it; nil if Stream is set
	Stream     Stream        // Served: a response whose body is on its way
}

// Request is a request between a front end and the engine. A front end fills in the exported fields, calls Init, hands
// the request to Submit by Post and reads Result once.
type Request struct {
	Message      Message
	Class        int           // index into Options.Decision.Classes
	Tenant       int           // index into Options.Decision.Tenants
	Key          uint64        // for idempotency and affinity; 0 is none
	ExpectedWork time.Duration // the client's hint; 0 is none
	MarkedRetry  bool          // the client says that it has sent this before
	Timeout      time.Duration // from the last byte of the request to its deadline
	Deadline     time.Duration // by the engine's clock; 0 while the body is on its way

	id       decision.RequestID
	result   chan Result // of capacity 1
	attempts []*inFlightAttempt
	inFlight int // attempts that have not ended
	ended    bool
	timedOut bool // the last attempt that has ended did by its timeout
	expiry   *timer
	stream   Stream // the response, if that is streamed
	guard    sendGuard
}

// Init readies a request for Submit. It must be called once, before Result.
func (r *Request) Init() { r.result = make(chan Result, 1) }

// Abandon notes that the client has left: no attempt that is about to be sent goes out any more. Any goroutine may call
// it, ahead of the ClientGone that it posts.
func (r *Request) Abandon() { r.guard.close() }

// Result delivers the one result.
func (r *Request) Result() <-chan Result { return r.result }

// ReceivedAt is when the request's last byte came, by the engine's clock. It holds once the result is there.
func (r *Request) ReceivedAt() time.Duration { return r.Deadline - r.Timeout }

// Uploading reports whether the body is still on its way.
func (r *Request) Uploading() bool { return r.Deadline == 0 }

// mayHaveRun reports whether an attempt may have run or may still.
func (r *Request) mayHaveRun() bool {
	for _, a := range r.attempts {
		if !a.ended || !a.result.NeverRan() {
			return true
		}
	}
	return false
}

// Submit takes a request that a client has sent. It is called within an event, once for each request. The result of a
// request whose deadline has passed is there when it returns.
func (e *Engine) Submit(r *Request) {
	now := e.clock.Now()
	r.id = e.newRequestID()
	e.requests[r.id] = r
	deadline := r.Deadline
	switch {
	case r.Uploading(): // as if its last byte had come; BodyComplete corrects it
		deadline = now + r.Timeout
	case now >= r.Deadline:
		e.complete(r, Result{Outcome: Failed, TimedOut: true})
		return
	default:
		e.scheduleExpiry(r)
	}
	e.decider.Request(now, decision.Request{
		ID:           r.id,
		Class:        r.Class,
		Tenant:       r.Tenant,
		Key:          r.Key,
		ExpectedWork: r.ExpectedWork,
		Deadline:     deadline,
		MarkedRetry:  r.MarkedRetry,
		StreamedBody: r.Uploading(),
	})
}

// newRequestID returns an ID that no request in flight has. The counter wraps: an ID comes back after 2^32 requests.
func (e *Engine) newRequestID() decision.RequestID {
	for {
		e.lastRequestID++
		if _, used := e.requests[e.lastRequestID]; !used {
			return e.lastRequestID
		}
	}
}

// BodyComplete notes that the last byte of a streamed body was read at a time: the request's timeout counts from there.
// It is called within an event.
func (e *Engine) BodyComplete(r *Request, at time.Duration) {
	if r.ended || !r.Uploading() {
		return
	}
	r.Deadline = at + r.Timeout
	e.scheduleExpiry(r)
	now := e.clock.Now()
	for _, a := range r.attempts {
		if a.timeout == nil {
			a.setTimeout(r.Deadline - now)
		}
	}
	e.decider.BodyComplete(now, r.id, r.Deadline)
}

// ClientGone notes that the client has left. It is called within an event, also after the request's end: a streamed
// response ends then.
func (e *Engine) ClientGone(r *Request) {
	if r.stream != nil {
		r.stream.End(ErrAbandoned)
	}
	if r.ended || r.id == 0 {
		return
	}
	e.complete(r, Result{Outcome: Failed, ClientGone: true})
	e.decider.ClientGone(e.clock.Now(), r.id)
}

// scheduleExpiry has the request end soon after its deadline.
func (e *Engine) scheduleExpiry(r *Request) {
	r.expiry = e.startTimerAt(r.Deadline+deadlineGrace, func() { e.expireRequest(r) })
}

// expireRequest ends a request that is still open after its deadline: it is owed a result whatever went wrong.
func (e *Engine) expireRequest(r *Request) {
	if r.ended {
		return
	}
	e.log.Warn("request still open at its deadline", "attempts", len(r.attempts))
	e.complete(r, Result{Outcome: Failed, TimedOut: true})
	e.decider.ClientGone(e.clock.Now(), r.id)
}

// complete delivers the result, once.
func (e *Engine) complete(r *Request, result Result) {
	if r.ended {
		return
	}
	r.ended = true
	r.guard.close()
	result.MayHaveRun = r.mayHaveRun()
	r.result <- result
	e.stopTimer(r.expiry)
	e.release(r)
}

// release drops a request that has ended, once its attempts have.
func (e *Engine) release(r *Request) {
	if r.ended && r.inFlight == 0 {
		delete(e.requests, r.id)
		r.Message = nil
	}
}

package engine

import (
	"sync/atomic"
	"time"

	"lapisspread/decision"
)

// Outcome is how a request ended.
type Outcome uint8

// The outcomes.
const (
	Failed   Outcome = iota // the request may or may not have run
	Rejected                // the request did not run, so that the client may safely repeat it
	Served                  // the request has a response
)

// String returns the outcome's name as shown in the console and the logs.
func (o Outcome) String() string { return [...]string{"failed", "refused", "served"}[o] }

// Result is the one result of a request.
type Result struct {
	Outcome    Outcome
	RetryAfter time.Duration // Rejected: delay after which the client may retry; 0 is none
	TimedOut   bool          // Failed: the last attempt timed out, or the deadline has passed
	MayHaveRun bool          // an attempt may have run, or may still run
	ClientGone bool          // the client has left and does not wait for the result
	Response   any           // Served: the response as the Upstream returned it; nil if Stream is set
	Stream     Stream        // Served: a response whose body is still being received
}

// Client is the peer that waits for a request's result.
type Client interface {
	// Left reports whether the client has left, as far as its connection shows now. It must not block; any goroutine may
	// call it.
	Left() bool
}

// Request is a request between a front end and the engine. A front end fills in the exported fields, calls Init, hands
// the request to Submit by Post and reads Result once.
type Request struct {
	Message      Message
	Class        int           // index into Options.Decision.Classes
	Tenant       int           // index into Options.Decision.Tenants
	Key          uint64        // for idempotency and affinity; 0 is none
	ExpectedWork time.Duration // the client's hint; 0 is none
	MarkedRetry  bool          // the client has marked the request as a retry
	Timeout      time.Duration // from the last byte of the request to its deadline
	Deadline     time.Duration // on the engine's clock; the engine sets it if Upload is set
	Upload       Upload        // a body that is still being received; nil if the whole request has arrived
	Client       Client        // shows whether the client has left; nil if only ClientGone tells

	id       decision.RequestID
	result   chan Result // has capacity 1, so that the engine never blocks on it
	attempts []*inFlightAttempt
	inFlight int // attempts that have not ended
	ended    bool
	timedOut bool // the attempt that ended last timed out
	expiry   *timer
	stream   Stream // the response if it is streamed, else nil
	guard    sendGuard

	receivedAt   time.Duration // when the last byte can have arrived; moves on while an upload is incomplete
	bodyComplete bool          // BodyComplete was called for the upload
	clientLeft   atomic.Bool   // an attempt was not sent because the client had left
}

// Init prepares a request for Submit. It must be called once, before Result.
func (r *Request) Init() { r.result = make(chan Result, 1) }

// Abandon records that the client has left, so that no further attempt is sent. Any goroutine may call it, before it
// posts a call of ClientGone.
func (r *Request) Abandon() { r.guard.close() }

// hasClientLeft asks the client's connection whether the client has left.
func (r *Request) hasClientLeft() bool { return r.Client != nil && r.Client.Left() }

// Result returns the channel that delivers the request's only result.
func (r *Request) Result() <-chan Result { return r.result }

// ReceivedAt returns when the last byte of the request arrived, on the engine's clock; for a body that was not read to
// its end, it is the earliest time at which the last byte can have arrived. It is valid once the result has been
// delivered.
func (r *Request) ReceivedAt() time.Duration { return r.receivedAt }

// Uploading reports whether the body is still being received from the client.
func (r *Request) Uploading() bool { return r.Upload != nil && !r.bodyComplete }

// mayHaveRun reports whether an attempt may have run or may still run.
func (r *Request) mayHaveRun() bool {
	for _, a := range r.attempts {
		if !a.ended || !a.result.NeverRan() {
			return true
		}
	}
	return false
}

// Submit starts handling a request that a client has sent. It must be called within an event, once for each request. If
// the request's deadline has passed, the result is available when Submit returns.
func (e *Engine) Submit(r *Request) {
	now := e.clock.Now()
	r.id = e.newRequestID()
	e.requests[r.id] = r
	if r.Uploading() {
		e.setReceivedAt(r, r.Upload.IncompleteAt())
	} else {
		e.setReceivedAt(r, r.Deadline-r.Timeout)
	}
	if now >= r.Deadline {
		e.complete(r, Result{Outcome: Failed, TimedOut: true})
		return
	}
	e.scheduleExpiry(r)
	e.decider.Request(now, decision.Request{
		ID:           r.id,
		Class:        r.Class,
		Tenant:       r.Tenant,
		Key:          r.Key,
		ExpectedWork: r.ExpectedWork,
		Deadline:     r.Deadline,
		MarkedRetry:  r.MarkedRetry,
		StreamedBody: r.Uploading(),
	})
}

// newRequestID returns an ID that no request in flight has. The counter wraps around: IDs are reused after 2^32
// requests.
func (e *Engine) newRequestID() decision.RequestID {
	for {
		e.lastRequestID++
		if _, used := e.requests[e.lastRequestID]; !used {
			return e.lastRequestID
		}
	}
}

// ClientGone records that the client has left. It must be called within an event. It may also be called after the
// request has ended: it then ends a streamed response.
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

// complete ends a request and delivers its result. If the request has already ended, it does nothing.
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

// release removes a request from the engine's state once the request and all its attempts have ended.
func (e *Engine) release(r *Request) {
	if r.ended && r.inFlight == 0 {
		delete(e.requests, r.id)
		r.Message = nil
	}
}

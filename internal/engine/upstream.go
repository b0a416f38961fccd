package engine

import (
	"context"
	"errors"
	"time"

	"lapisspread/decision"
)

// ErrAbandoned is passed to Stream.End if the response is no longer needed because the client has left or the request
// has ended.
var ErrAbandoned = errors.New("response no longer needed: the client has left or the request has ended")

// Upstream carries out attempts at the backends of a service.
type Upstream interface {
	// Update applies an endpoint list. The engine's goroutine calls it before the decision module gets the list; it must
	// not block.
	Update(EndpointList)
	// Find returns the backend with an ID, or nil if there is none. The engine's goroutine calls it; it must not block.
	Find(decision.BackendID) Backend
	// Release closes a backend's idle connections. It may block.
	Release(id decision.BackendID)
}

// Backend is one backend of an Upstream. Its methods are called from worker goroutines and block until the attempt or
// the health check has ended or ctx ends; context.Cause is context.DeadlineExceeded on a timeout and context.Canceled
// otherwise.
type Backend interface {
	// Exchange carries out one attempt and returns its result. With decision.OK it also returns the response, unless the
	// response was passed to Attempt.StartStream.
	Exchange(ctx context.Context, a Attempt) (decision.Result, any)
	// CheckHealth carries out one health check.
	CheckHealth(ctx context.Context) decision.Result
}

// Attempt is one attempt to send a request's message.
type Attempt struct {
	Message Message
	// Timeout is the time within which the response must arrive, from the start of the attempt.
	Timeout time.Duration
	// Remaining returns the time within which the response must arrive, from now on. nil means Timeout.
	Remaining func() time.Duration
	// LeaseToken is the token of the attempt's Permit, which is sent to the backend; empty means none.
	LeaseToken string
	// StartStream takes over a streamed response whose first byte has arrived. It returns false if the attempt has
	// already ended.
	StartStream func(Stream) bool
	// MaySend is called on each connection that is tried, just before the first byte is sent. It reports whether the
	// attempt may still be sent and, unless by is zero, the time until which its last byte may be sent. It prevents a
	// send on a connection that is established after the request or the retry window has ended, or after its client has
	// left. nil allows all sends.
	MaySend func() (by time.Time, ok bool)
}

// TimeLeft returns the time within which the response must arrive, from now on. Backends call it right before they write
// the request, and pass it to the server: a connection may have taken long to come up.
func (a Attempt) TimeLeft() time.Duration {
	if a.Remaining == nil {
		return a.Timeout
	}
	return a.Remaining()
}

// SendAllowed calls MaySend, or allows the send without a limit if MaySend is nil. Backends call it right before they
// write the request.
func (a Attempt) SendAllowed() (by time.Time, ok bool) {
	if a.MaySend == nil {
		return time.Time{}, true
	}
	return a.MaySend()
}

// Message is a request in the form that the front end and the Upstream share. The engine only passes it on
// and calls Consumed.
type Message interface {
	// Consumed reports whether the body has been read and can't be sent again, so that no further attempt is possible.
	Consumed() bool
}

// Stream is a response whose body is still being received.
type Stream interface {
	// End reports how the stream has ended: a nil error means that the response was delivered completely. The current
	// owner of the stream must call it exactly once.
	End(err error)
}

// Permit allows one attempt under a Quota.
type Permit struct {
	Token   string        // sent to the backend
	Expires time.Duration // on the clock of the Quota
}

// Quota limits attempts across processes. Its methods neither block nor allocate.
type Quota interface {
	// Acquire takes one unit for an attempt of a class and a tenant; first reports whether it is the request's first
	// attempt. It returns false if the attempt must not be made. A unit is used up even if the attempt fails.
	Acquire(class, tenant int, first bool) (Permit, bool)
	// Expired is called just before the attempt is made and reports whether the permit is no longer valid.
	Expired(Permit) bool
}

// healthCheckClass is the class that is passed to Freshness.CheckAttempt for a health check.
const healthCheckClass = -1

// Freshness decides whether the endpoint list is recent enough for an attempt. Its methods neither block nor allocate.
type Freshness interface {
	// CheckAttempt reports whether an attempt of a class may go to a backend now; a class below 0 is a health check,
	// which is always allowed. The caller passes check, which identifies this call, to AttemptEnded.
	CheckAttempt(to decision.BackendID, class int) (check any, ok bool)
	// AttemptEnded records the result of an attempt or a health check. The goroutine that carried it out calls it.
	AttemptEnded(check any, result decision.Result)
}

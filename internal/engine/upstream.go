package engine

import (
	"context"
	"errors"
	"time"

	"lapisspread/decision"
)

// ErrAbandoned ends a Stream that nobody waits for any more: the client has left or the request is over.
var ErrAbandoned = errors.New("nobody wants the answer any more")

// Upstream carries out attempts at the backends of a service.
type Upstream interface {
	// Update takes in an endpoint list, before the decision module does. The engine's goroutine calls it; it must not
	// block.
	Update(EndpointList)
	// Find returns the backend with an ID, nil if there is none. The engine's goroutine calls it; it must not block.
	Find(decision.BackendID) Backend
	// Release closes a backend's idle connections. It may block.
	Release(id decision.BackendID)
}

// Backend is one backend of an Upstream. Its methods are called from goroutines of their own and block until the
// attempt is over or ctx ends; context.Cause is context.DeadlineExceeded on a timeout and context.Canceled otherwise.
type Backend interface {
	// Exchange carries out one attempt and returns how it ended. With decision.OK it returns the response too, unless
	// that was handed to Attempt.StartStream.
	Exchange(ctx context.Context, a Attempt) (decision.Result, any)
	// CheckHealth carries out one health check.
	CheckHealth(ctx context.Context) decision.Result
}

// Attempt is one attempt to send a request's message.
type Attempt struct {
	Message Message
	// Timeout is how long the response is waited for; it is passed to the backend.
	Timeout time.Duration
	// LeaseToken is the Permit's token, for the backend; empty is none.
	LeaseToken string
	// StartStream takes a streamed response that has begun. It returns false if it is too late for it.
	StartStream func(Stream) bool
	// MaySend is called just before the first byte is sent, on each connection that is tried: whether the attempt may
	// still be made, and unless by is zero, until when its last byte may be sent. It guards against an attempt whose
	// connection comes up after the request has ended or the retry window is over. nil allows all.
	MaySend func() (by time.Time, ok bool)
}

// SendAllowed calls MaySend. Backends call it right before they write.
func (a Attempt) SendAllowed() (by time.Time, ok bool) {
	if a.MaySend == nil {
		return time.Time{}, true
	}
	return a.MaySend()
}

// Message is a request as the front end and its Upstream know it; the engine hands it on.
type Message interface {
	// Consumed reports whether the body has been read and can't be sent again: there can be no further attempt.
	Consumed() bool
}

// Stream is a response whose body is still on its way.
type Stream interface {
	// End says how it went; a nil error is a complete response. Whoever holds the stream calls it once.
	End(err error)
}

// Permit allows one attempt under a Quota.
type Permit struct {
	Token   string        // sent to the backend
	Expires time.Duration // by the clock of the Quota
}

// Quota is a limit beyond this process that attempts draw on. Its methods neither block nor allocate.
type Quota interface {
	// Acquire takes one unit for an attempt of a class and a tenant; first marks a request's first attempt. It returns
	// false if the attempt must not be made. A unit that was taken is spent, whatever becomes of the attempt.
	Acquire(class, tenant int, first bool) (Permit, bool)
	// Expired is called just before the attempt is made and reports that the permit is not valid any more.
	Expired(Permit) bool
}

// healthCheckClass is the class that stands for a health check in Freshness.CheckAttempt.
const healthCheckClass = -1

// Freshness says how far the endpoint list may be trusted. Its methods neither block nor allocate.
type Freshness interface {
	// CheckAttempt reports whether an attempt of a class may go to a backend now; a class below 0 is a health check,
	// which always may. seen is to be passed to AttemptEnded.
	CheckAttempt(to decision.BackendID, class int) (seen any, ok bool)
	// AttemptEnded takes the result of an attempt or a health check. The goroutine that carried it out calls it.
	AttemptEnded(seen any, result decision.Result)
}

package engine

import (
	"testing"

	"lapisspread/decision"
)

// engineWithAttempt makes an engine with one request of a class whose first attempt is in flight.
func engineWithAttempt(t *testing.T, class int) (*Engine, *Request) {
	t.Helper()
	e := testEngine(t)
	e.handle(func() {
		e.applyEndpoints(testEndpoints(), decision.UpdateFull)
	})
	r := testRequest(e)
	r.Class = class
	e.handle(func() { e.Submit(r) })
	if r.inFlight != 1 {
		t.Fatalf("%d attempts are in flight, want one", r.inFlight)
	}
	return e, r
}

// A response, the deadline, a client that leaves or a rejection come in the same moment, in either order: the first one
// is the result, and the other changes nothing.
func TestDeadlineRacesResponse(t *testing.T) {
	for name, c := range map[string]struct {
		first, second func(*Engine, *Request)
		want          Outcome
	}{
		"the response first": {
			func(e *Engine, r *Request) { e.attemptEnded(r, 0, decision.OK, "response") },
			func(e *Engine, r *Request) { e.expireRequest(r) }, Served},
		"the deadline first": {
			func(e *Engine, r *Request) { e.expireRequest(r) },
			func(e *Engine, r *Request) { e.attemptEnded(r, 0, decision.OK, "response") }, Failed},
		"the client leaves first": {
			func(e *Engine, r *Request) { e.ClientGone(r) },
			func(e *Engine, r *Request) { e.attemptEnded(r, 0, decision.OK, "response") }, Failed},
		"a rejection first": {
			func(e *Engine, r *Request) { host{e}.Reject(r.id, 0) },
			func(e *Engine, r *Request) { e.attemptEnded(r, 0, decision.OK, "response") }, Rejected},
	} {
		t.Run(name, func(t *testing.T) {
			e, r := engineWithAttempt(t, 0)
			e.handle(func() { c.first(e, r) })
			if a := within(t, r.result, "no result"); a.Outcome != c.want {
				t.Errorf("ended as %v, want %v", a.Outcome, c.want)
			}
			second := make(chan bool)
			go func() { e.handle(func() { c.second(e, r) }); close(second) }()
			// The result channel is empty again: a second result would not block.
			within(t, second, "a second result waits for a reader")
			select {
			case a := <-r.result:
				t.Errorf("a second result: %v", a.Outcome)
			default:
			}
			if len(e.requests) != 0 {
				t.Errorf("%d requests are still held", len(e.requests))
			}
		})
	}
}

// No further attempt is sent for a client that leaves as its attempt fails, in whichever order the two are told.
func TestNoAttemptAfterClientGone(t *testing.T) {
	leave := func(e *Engine, r *Request) { e.ClientGone(r) }
	fail := func(e *Engine, r *Request) { e.attemptEnded(r, 0, decision.ConnectFailed, nil) }
	for name, order := range map[string][2]func(*Engine, *Request){
		"leaves, then fails": {leave, fail},
		"fails, then leaves": {fail, leave},
	} {
		t.Run(name, func(t *testing.T) {
			e, r := engineWithAttempt(t, 0)
			e.handle(func() { order[0](e, r) })
			sent := len(r.attempts)
			e.handle(func() { order[1](e, r) })
			if len(r.attempts) > sent {
				t.Error("an attempt began after the client had left")
			}
			for i, a := range r.attempts {
				if a.ctx.Err() == nil {
					t.Errorf("attempt %d goes on", i)
				}
			}
		})
	}
}

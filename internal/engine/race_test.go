package engine

import (
	"testing"

	"lapisspread/decision"
)

// engineWithAttempt returns an engine and a request of the class with index class, whose first attempt is in flight.
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
		t.Fatalf("%d attempts in flight after Submit, want 1", r.inFlight)
	}
	return e, r
}

// Two of these events happen at almost the same time: a response, the deadline, the client's departure or a rejection.
// The first one decides the result, and the second one has no effect.
func TestDeadlineRacesResponse(t *testing.T) {
	for name, c := range map[string]struct {
		first, second func(*Engine, *Request)
		want          Outcome
	}{
		"response before deadline": {
			func(e *Engine, r *Request) { e.attemptEnded(r, 0, decision.OK, "response") },
			func(e *Engine, r *Request) { e.expireRequest(r) }, Served},
		"deadline before response": {
			func(e *Engine, r *Request) { e.expireRequest(r) },
			func(e *Engine, r *Request) { e.attemptEnded(r, 0, decision.OK, "response") }, Failed},
		"client leaves before response": {
			func(e *Engine, r *Request) { e.ClientGone(r) },
			func(e *Engine, r *Request) { e.attemptEnded(r, 0, decision.OK, "response") }, Failed},
		"rejection before response": {
			func(e *Engine, r *Request) { host{e}.Reject(r.id, 0) },
			func(e *Engine, r *Request) { e.attemptEnded(r, 0, decision.OK, "response") }, Rejected},
	} {
		t.Run(name, func(t *testing.T) {
			e, r := engineWithAttempt(t, 0)
			e.handle(func() { c.first(e, r) })
			if got := receive(t, r.result, "no result after the first event"); got.Outcome != c.want {
				t.Errorf("outcome after the first event = %v, want %v", got.Outcome, c.want)
			}
			secondHandled := make(chan bool)
			go func() { e.handle(func() { c.second(e, r) }); close(secondHandled) }()
			// The result channel is empty again, so a second result would not block.
			receive(t, secondHandled, "handling the second event blocked for 20 s")
			select {
			case got := <-r.result:
				t.Errorf("second result with outcome %v after the second event, want none", got.Outcome)
			default:
			}
			if len(e.requests) != 0 {
				t.Errorf("%d requests held after both events, want 0", len(e.requests))
			}
		})
	}
}

// If the client leaves at almost the same time as its attempt fails, no further attempt is started after the second of
// these events, whichever comes first.
func TestNoAttemptAfterClientGone(t *testing.T) {
	leave := func(e *Engine, r *Request) { e.ClientGone(r) }
	fail := func(e *Engine, r *Request) { e.attemptEnded(r, 0, decision.ConnectFailed, nil) }
	for name, order := range map[string][2]func(*Engine, *Request){
		"client leaves before attempt fails": {leave, fail},
		"attempt fails before client leaves": {fail, leave},
	} {
		t.Run(name, func(t *testing.T) {
			e, r := engineWithAttempt(t, 0)
			e.handle(func() { order[0](e, r) })
			sent := len(r.attempts)
			e.handle(func() { order[1](e, r) })
			if len(r.attempts) > sent {
				t.Errorf("%d attempts started after both events, want %d as after the first event", len(r.attempts), sent)
			}
			for i, a := range r.attempts {
				if a.ctx.Err() == nil {
					t.Errorf("attempt %d was not cancelled after the client had left", i)
				}
			}
		})
	}
}

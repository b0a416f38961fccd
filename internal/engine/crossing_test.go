package engine

import (
	"testing"

	"lapisspread/decision"
)

// out gives an engine with one request of a class whose first attempt is out at the server.
func out(t *testing.T, class int) (*Engine, *Request) {
	t.Helper()
	l := testEngine(t)
	l.handle(func() {
		l.applyEndpoints(EndpointList{Full: true, Endpoints: []Endpoint{{ID: "a", Addr: "a:1", State: decision.Ready}}}, decision.UpdateFull)
	})
	x := testRequest(l)
	x.Class = class
	l.handle(func() { l.Submit(x) })
	if x.inFlight != 1 {
		t.Fatalf("%d attempts are out, want one", x.inFlight)
	}
	return l, x
}

// The answer and the deadline come in the same moment, in either order: one result, which is that of whoever came first, and the
// other changes nothing.
func TestTheDeadlineAgainstTheAnswer(t *testing.T) {
	for name, k := range map[string]struct {
		first, second func(*Engine, *Request)
		end           Outcome
	}{
		"the answer first": {
			func(l *Engine, x *Request) { l.attemptEnded(x, 0, decision.OK, "whole") },
			func(l *Engine, x *Request) { l.expireRequest(x) }, Served},
		"the deadline first": {
			func(l *Engine, x *Request) { l.expireRequest(x) },
			func(l *Engine, x *Request) { l.attemptEnded(x, 0, decision.OK, "whole") }, Failed},
		"the client's leave first": {
			func(l *Engine, x *Request) { l.ClientGone(x) },
			func(l *Engine, x *Request) { l.attemptEnded(x, 0, decision.OK, "whole") }, Failed},
		"a refusal first": {
			func(l *Engine, x *Request) { host{l}.Reject(x.id, 0) },
			func(l *Engine, x *Request) { l.attemptEnded(x, 0, decision.OK, "whole") }, Rejected},
	} {
		t.Run(name, func(t *testing.T) {
			l, x := out(t, 0)
			l.handle(func() { k.first(l, x) })
			if a := within(t, x.result, "no result"); a.Outcome != k.end {
				t.Errorf("ended as %v, want %v", a.Outcome, k.end)
			}
			second := make(chan bool)
			go func() { l.handle(func() { k.second(l, x) }); close(second) }()
			within(t, second, "a second result waits for a reader") // the channel's one place is free again: it would stand there
			select {
			case a := <-x.result:
				t.Errorf("a second result: %v", a.Outcome)
			default:
			}
			if len(l.requests) != 0 {
				t.Errorf("%d requests are still held", len(l.requests))
			}
		})
	}
}

// A client that leaves as its attempt fails is owed nothing more: no further attempt goes out, in whichever order the two are told.
func TestNoFurtherAttemptForWhoHasLeft(t *testing.T) {
	left := func(l *Engine, x *Request) { l.ClientGone(x) }
	broke := func(l *Engine, x *Request) { l.attemptEnded(x, 0, decision.ConnectFailed, nil) }
	for name, order := range map[string][2]func(*Engine, *Request){"left, then broke": {left, broke}, "broke, then left": {broke, left}} {
		t.Run(name, func(t *testing.T) {
			l, x := out(t, 0)
			l.handle(func() { order[0](l, x) })
			sent := len(x.attempts)
			l.handle(func() { order[1](l, x) })
			if len(x.attempts) > sent {
				t.Error("an attempt began after the client had left")
			}
			for i, a := range x.attempts {
				if a.ctx.Err() == nil {
					t.Errorf("attempt %d goes on", i)
				}
			}
		})
	}
}

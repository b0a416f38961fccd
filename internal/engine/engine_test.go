package engine

import (
	"context"
	"errors"
	"math"
	"testing"
	"time"

	"lapisspread/decision"
)

// stuckUpstream is an upstream and a source. Attempts at its only backend, "a", end only when they time out or are
// cancelled, and the source never delivers a list.
type stuckUpstream struct{}

func (stuckUpstream) Update(EndpointList)        {}
func (stuckUpstream) Release(decision.BackendID) {}
func (stuckUpstream) Find(id decision.BackendID) Backend {
	if id == BackendID("a") {
		return stuckUpstream{}
	}
	return nil
}
func (stuckUpstream) Exchange(ctx context.Context, _ Attempt) (decision.Result, any) {
	<-ctx.Done()
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return decision.Timeout, nil
	}
	return decision.Cancelled, nil
}
func (stuckUpstream) CheckHealth(ctx context.Context) decision.Result {
	<-ctx.Done()
	return decision.Cancelled
}
func (stuckUpstream) Addr() string { return "nowhere" }
func (stuckUpstream) Close()       {}
func (stuckUpstream) Fetch(ctx context.Context) (EndpointList, error) {
	<-ctx.Done()
	return EndpointList{}, ctx.Err()
}
func (stuckUpstream) Watch(ctx context.Context, _ uint32, _ func(EndpointList)) error {
	<-ctx.Done()
	return ctx.Err()
}

// message is a request message whose body has not been consumed.
type message struct{}

func (message) Consumed() bool { return false }

// testConfig returns settings with two classes: class 0 is idempotent, class 1 is not.
func testConfig() decision.Config {
	class := decision.Class{LatencyObjective: 8 * time.Second, ClientTimeout: 20 * time.Second, PriorityWeight: 1}
	idempotent := class
	idempotent.Name = "fetch"
	idempotent.Idempotency = decision.Idempotent
	nonIdempotent := class
	nonIdempotent.Name = "hand-in"
	return decision.Config{
		Instances:        1,
		Tick:             5 * time.Millisecond,
		ObjectiveWeights: decision.ObjectiveWeights{Overall: 1},
		Classes:          []decision.Class{idempotent, nonIdempotent},
		Capabilities: decision.Capabilities{
			Cancel:                true,
			RetryAfter:            true,
			ConnectTimeout:        250 * time.Millisecond,
			ConnectionIdleTimeout: time.Minute,
			MaxAttempts:           6,
			MaxRetryAfter:         time.Second,
		},
	}
}

// testEndpoints returns a full list with the only backend of stuckUpstream.
func testEndpoints() EndpointList {
	return EndpointList{Full: true, Endpoints: []Endpoint{{ID: "a", Addr: "a:1", State: decision.Ready}}}
}

// testEngine returns an engine whose loop does not run: the test handles its events itself.
func testEngine(t *testing.T) *Engine {
	t.Helper()
	e, err := New(Options{Decision: testConfig(), Seed: 1, Upstream: stuckUpstream{}, Source: stuckUpstream{}})
	if err != nil {
		t.Fatalf("New failed: %v", err)
	}
	e.ctx = t.Context()
	e.decider.Start(e.clock.Now())
	return e
}

// testRequest returns a request of the class that is not idempotent.
func testRequest(e *Engine) *Request {
	r := &Request{Class: 1, Deadline: e.clock.Now() + time.Minute, Message: message{}}
	r.Init()
	return r
}

// receive returns a value from ch. If none arrives within 20 s, it fails the test with the text failure.
func receive[T any](t *testing.T, ch <-chan T, failure string) T {
	t.Helper()
	select {
	case v := <-ch:
		return v
	case <-time.After(20 * time.Second):
		t.Fatal(failure)
		panic("unreachable")
	}
}

// If the decision module does not end a request, the engine ends it after its deadline, with exactly one result.
func TestRequestEndsAfterDeadlineGrace(t *testing.T) {
	e := testEngine(t)
	r := testRequest(e)
	e.handle(func() {
		e.requests[1] = r
		r.id = 1
		e.expireRequest(r)
	})
	if got := receive(t, r.result, "expireRequest delivered no result"); got.Outcome != Failed {
		t.Errorf("outcome after expireRequest = %v, want %v", got.Outcome, Failed)
	}
	e.handle(func() {
		host{e}.Reject(1, 0)
		host{e}.Fail(1)
		e.expireRequest(r)
		e.ClientGone(r)
	})
	if len(r.result) != 0 || len(e.requests) != 0 {
		t.Errorf("after Reject, Fail and ClientGone of an ended request: %d further results, %d requests held, want none",
			len(r.result), len(e.requests))
	}
}

// An attempt that may not be made is not sent: its end as NotSent is queued as a deferred event.
func TestAttemptsThatMayNotBeSent(t *testing.T) {
	e := testEngine(t)
	for name, send := range map[string]func(*Request){
		"unknown backend":         func(*Request) { host{e}.Send(1, BackendID("b"), 0) },
		"attempt end in the past": func(*Request) { host{e}.Send(1, BackendID("a"), e.clock.Now()-1) },
		"request has ended": func(r *Request) {
			r.ended = true
			r.inFlight = 1
			host{e}.Send(1, BackendID("a"), 0)
		},
		"hedged request without the capability": func(r *Request) {
			r.inFlight = 1
			host{e}.Send(1, BackendID("a"), 0)
		},
	} {
		r := testRequest(e)
		r.id = 1
		e.requests[1] = r
		send(r)
		if len(e.deferred) != 1 {
			t.Errorf("%s: Send deferred %d events, want 1 with the attempt's end", name, len(e.deferred))
		}
		e.deferred = nil
		r.attempts[0].cancel()
	}
}

func TestPanicEndsOneEventOnly(t *testing.T) {
	e := testEngine(t)
	ran := false
	e.handle(func() { panic("decision module failed") })
	e.handle(func() { ran = true })
	if !ran {
		t.Error("the event after a panicking event was not handled")
	}
}

// A timer of the decision module fires again after its event has panicked. If the module has already set the timer
// again, the engine does not set it a second time.
func TestTimerSurvivesAPanic(t *testing.T) {
	e := testEngine(t)
	balancer := e.decider
	// fire fires all timers once.
	fire := func() {
		due := e.timers
		e.timers = nil
		for _, timer := range due {
			e.handle(timer.event)
		}
	}
	if fire(); len(e.timers) == 0 {
		t.Fatal("the decision module has set no timers after its start")
	}
	want := len(e.timers)
	e.decider = nil // every event of a timer panics
	for range 3 {
		if fire(); len(e.timers) != want {
			t.Fatalf("%d timers after their events have panicked, want %d", len(e.timers), want)
		}
	}
	e.decider = balancer
	before := e.timerSequence
	if fire(); e.timerSequence == before {
		t.Error("the decision module set no timer when its timers fired after the panics")
	}
}

// A request that has ended is released at once, even if its deadline is an hour away: the engine keeps neither the
// request, its message nor its expiry timer.
func TestEndedRequestsAreReleased(t *testing.T) {
	e := testEngine(t)
	r := testRequest(e)
	r.Deadline = e.clock.Now() + time.Hour
	timers := len(e.timers)
	e.Submit(r)
	host{e}.Reject(r.id, 0)
	e.ClientGone(r)
	if len(e.requests) != 0 || r.Message != nil || r.expiry.index >= 0 {
		t.Errorf("after the request's end: %d requests held, message %v, expiry timer's heap index %d, want 0, nil and -1",
			len(e.requests), r.Message, r.expiry.index)
	}
	for _, timer := range e.timers[min(timers, len(e.timers)):] {
		if timer.due > e.clock.Now()+time.Minute {
			t.Errorf("a timer of the ended request is due at %v, which is more than a minute away", timer.due)
		}
	}
}

func TestTimersFireInOrderAndNeverEarly(t *testing.T) {
	e := testEngine(t)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan bool)
	go func() {
		e.Run(ctx)
		close(ended)
	}()
	type firing struct{ due, firedAt time.Duration }
	fired := make(chan firing, 8)
	e.Post(func() {
		for _, ms := range []time.Duration{40, 10, 0, 25} {
			due := e.Clock().Now() + ms*time.Millisecond
			e.startTimerAt(due, func() { fired <- firing{due, e.clock.Now()} })
		}
	})
	last := time.Duration(0)
	for range 4 {
		f := receive(t, fired, "a timer did not fire within 20 s")
		if f.firedAt < f.due || f.due < last {
			t.Errorf("timer due at %v fired at %v, after one due at %v; want order of due times and none early",
				f.due, f.firedAt, last)
		}
		last = f.due
	}
	cancel()
	receive(t, ended, "Run did not return after its context ended")
}

// The clock counts from the Unix epoch and does not go back, and Time preserves intervals.
func TestClockCountsFromTheEpoch(t *testing.T) {
	c := NewClock()
	a := c.Now()
	b := c.Now()
	if b < a || a < time.Duration(time.Now().Add(-time.Hour).UnixNano()) {
		t.Errorf("Now() = %v, then %v, want the time since the Unix epoch, not decreasing", a, b)
	}
	if d := c.Time(a + time.Second).Sub(c.Time(a)); d != time.Second {
		t.Errorf("Time(now+1s) - Time(now) = %v, want 1s", d)
	}
}

// The version of an endpoint list wraps around at 32 bits: version 0 is newer than the highest version.
func TestEndpointListVersionWraps(t *testing.T) {
	for _, c := range []struct {
		current  uint32
		received uint32
		applied  bool
	}{
		{7, 8, true},
		{7, 7, true},
		{7, 6, false},
		{math.MaxUint32, 0, true},
		{math.MaxUint32, 3, true},
		{2, math.MaxUint32, false},
	} {
		e := testEngine(t)
		applied := false
		e.opts.OnEndpoints = func(EndpointList) { applied = true }
		e.listVersion = c.current
		draining := Endpoint{ID: "a", State: decision.Draining}
		e.endpointsReceived(EndpointList{Version: c.received, Endpoints: []Endpoint{draining}})
		if applied != c.applied {
			t.Errorf("delta with version %d applied to a list with version %d = %v, want %v",
				c.received, c.current, applied, c.applied)
		}
	}
}

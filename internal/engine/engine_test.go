package engine

import (
	"context"
	"errors"
	"math"
	"testing"
	"time"

	"lapisspread/decision"
)

// stuckUpstream is an upstream with one backend, "a", at which no attempt ends by itself, and a source that never
// delivers a list.
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

type message struct{}

func (message) Consumed() bool { return false }

func testConfig() decision.Config {
	class := decision.Class{LatencyObjective: 8 * time.Second, ClientTimeout: 20 * time.Second, PriorityWeight: 1}
	fetch := class
	fetch.Name = "fetch"
	fetch.Idempotency = decision.Idempotent
	handIn := class
	handIn.Name = "hand-in"
	return decision.Config{
		Instances:        1,
		Tick:             5 * time.Millisecond,
		ObjectiveWeights: decision.ObjectiveWeights{Overall: 1},
		Classes:          []decision.Class{fetch, handIn},
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

// testEndpoints is a full list with the one backend of stuckUpstream.
func testEndpoints() EndpointList {
	return EndpointList{Full: true, Endpoints: []Endpoint{{ID: "a", Addr: "a:1", State: decision.Ready}}}
}

// testEngine makes an engine that does not run: the test handles its events.
func testEngine(t *testing.T) *Engine {
	t.Helper()
	e, err := New(Options{Decision: testConfig(), Seed: 1, Upstream: stuckUpstream{}, Source: stuckUpstream{}})
	if err != nil {
		t.Fatal(err)
	}
	e.ctx = t.Context()
	e.decider.Start(e.clock.Now())
	return e
}

// testRequest makes a request of the class that is not idempotent.
func testRequest(e *Engine) *Request {
	r := &Request{Class: 1, Deadline: e.clock.Now() + time.Minute, Message: message{}}
	r.Init()
	return r
}

// within receives a value, and fails the test if none comes.
func within[T any](t *testing.T, from <-chan T, missing string) T {
	t.Helper()
	select {
	case v := <-from:
		return v
	case <-time.After(20 * time.Second):
		t.Fatal(missing)
		panic("unreachable")
	}
}

// A request that the decision module does not end is ended by the engine after its deadline, once.
func TestRequestEndsAfterDeadlineGrace(t *testing.T) {
	e := testEngine(t)
	r := testRequest(e)
	e.handle(func() {
		e.requests[1] = r
		r.id = 1
		e.expireRequest(r)
	})
	if a := within(t, r.result, "no answer"); a.Outcome != Failed {
		t.Errorf("ended as %v", a.Outcome)
	}
	e.handle(func() {
		host{e}.Reject(1, 0)
		host{e}.Fail(1)
		e.expireRequest(r)
		e.ClientGone(r)
	})
	if len(r.result) != 0 || len(e.requests) != 0 {
		t.Error("a second answer, or a request that was not released")
	}
}

// An attempt that may not be made ends as NotSent, in a later event, and nothing is sent.
func TestAttemptsThatMayNotBeSent(t *testing.T) {
	e := testEngine(t)
	for name, send := range map[string]func(*Request){
		"unknown backend": func(*Request) { host{e}.Send(1, BackendID("b"), 0) },
		"past time":       func(*Request) { host{e}.Send(1, BackendID("a"), e.clock.Now()-1) },
		"request over": func(r *Request) {
			r.ended = true
			r.inFlight = 1
			host{e}.Send(1, BackendID("a"), 0)
		},
		"hedged request": func(r *Request) {
			r.inFlight = 1
			host{e}.Send(1, BackendID("a"), 0)
		},
	} {
		r := testRequest(e)
		r.id = 1
		e.requests[1] = r
		send(r)
		if len(e.deferred) != 1 {
			t.Errorf("%s: %d events follow, want one", name, len(e.deferred))
		}
		e.deferred = nil
		r.attempts[0].cancel()
	}
}

func TestPanicEndsOneEventOnly(t *testing.T) {
	e := testEngine(t)
	ran := false
	e.handle(func() { panic("the decisions failed") })
	e.handle(func() { ran = true })
	if !ran {
		t.Error("no event was handled after a panic")
	}
}

// A timer of the decision module whose event fails fires again, and one that was set again does not fire twice.
func TestTimerSurvivesAPanic(t *testing.T) {
	e := testEngine(t)
	balancer := e.decider
	fire := func() (fired int) {
		due := e.timers
		e.timers = nil
		for _, timer := range due {
			fired++
			e.handle(timer.event)
		}
		return fired
	}
	if fire(); len(e.timers) == 0 {
		t.Fatal("the decision module sets no timers")
	}
	want := len(e.timers)
	e.decider = nil // each event fails
	for range 3 {
		if fire(); len(e.timers) != want {
			t.Fatalf("%d timers after a failure, want %d", len(e.timers), want)
		}
	}
	e.decider = balancer
	before := e.timerSequence
	if fire(); e.timerSequence == before {
		t.Error("the decision module's timers were not set again after the failures")
	}
}

// A request that has ended leaves nothing behind, whatever its deadline.
func TestEndedRequestsAreReleased(t *testing.T) {
	e := testEngine(t)
	r := testRequest(e)
	r.Deadline = e.clock.Now() + time.Hour
	timers := len(e.timers)
	e.Submit(r)
	host{e}.Reject(r.id, 0)
	e.ClientGone(r)
	if len(e.requests) != 0 || r.Message != nil || r.expiry.index >= 0 {
		t.Errorf("%d requests are held, message %v, expiry's index %d", len(e.requests), r.Message, r.expiry.index)
	}
	for _, timer := range e.timers[min(timers, len(e.timers)):] {
		if timer.due > e.clock.Now()+time.Minute {
			t.Error("a timer waits for the deadline of a request that has ended")
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
	type firing struct{ wanted, at time.Duration }
	fired := make(chan firing, 8)
	e.Post(func() {
		for _, ms := range []time.Duration{40, 10, 0, 25} {
			wanted := e.Clock().Now() + ms*time.Millisecond
			e.startTimerAt(wanted, func() { fired <- firing{wanted, e.clock.Now()} })
		}
	})
	last := time.Duration(0)
	for range 4 {
		f := within(t, fired, "a timer did not fire")
		if f.at < f.wanted || f.wanted < last {
			t.Errorf("wanted at %v after %v, fired at %v", f.wanted, last, f.at)
		}
		last = f.wanted
	}
	cancel()
	within(t, ended, "the loop did not end")
}

// The clock counts from the Unix epoch, never goes back, and Time keeps its distances.
func TestClockCountsFromTheEpoch(t *testing.T) {
	c := NewClock()
	a := c.Now()
	b := c.Now()
	if b < a || a < time.Duration(time.Now().Add(-time.Hour).UnixNano()) {
		t.Errorf("the clock shows %v, then %v", a, b)
	}
	if d := c.Time(a + time.Second).Sub(c.Time(a)); d != time.Second {
		t.Errorf("a second on the clock is %v", d)
	}
}

// A list's version wraps like any counter of 32 bits: the one after the highest is newer, not older.
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
			t.Errorf("changes of version %d to a list of version %d are applied: %v", c.received, c.current, applied)
		}
	}
}

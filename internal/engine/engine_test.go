package engine

import (
	"context"
	"errors"
	"math"
	"testing"
	"time"

	"lapisspread/decision"
)

// nowhere is an upstream with one server at which nothing ever ends, and a source that never tells.
type nowhere struct{}

func (nowhere) Update(EndpointList)        {}
func (nowhere) Release(decision.BackendID) {}
func (nowhere) Find(id decision.BackendID) Backend {
	if id == BackendID("a") {
		return nowhere{}
	}
	return nil
}
func (nowhere) Exchange(ctx context.Context, _ Attempt) (decision.Result, any) {
	<-ctx.Done()
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return decision.Timeout, nil
	}
	return decision.Cancelled, nil
}
func (nowhere) CheckHealth(ctx context.Context) decision.Result {
	<-ctx.Done()
	return decision.Cancelled
}
func (nowhere) Addr() string { return "nowhere" }
func (nowhere) Close()       {}
func (nowhere) Fetch(ctx context.Context) (EndpointList, error) {
	<-ctx.Done()
	return EndpointList{}, ctx.Err()
}
func (nowhere) Watch(ctx context.Context, _ uint32, _ func(EndpointList)) error {
	<-ctx.Done()
	return ctx.Err()
}

type message struct{}

func (message) Consumed() bool { return false }

func testConfig() decision.Config {
	return decision.Config{Instances: 1, Tick: 5 * time.Millisecond, ObjectiveWeights: decision.ObjectiveWeights{Overall: 1},
		Classes: []decision.Class{{Name: "fetch", LatencyObjective: 8 * time.Second, ClientTimeout: 20 * time.Second, Idempotency: decision.Idempotent, PriorityWeight: 1},
			{Name: "hand-in", LatencyObjective: 8 * time.Second, ClientTimeout: 20 * time.Second, PriorityWeight: 1}},
		Capabilities: decision.Capabilities{Cancel: true, RetryAfter: true, ConnectTimeout: 250 * time.Millisecond, ConnectionIdleTimeout: time.Minute, MaxAttempts: 6, MaxRetryAfter: time.Second}}
}

// testEngine is an engine that does not run: its events are handled by the test.
func testEngine(t *testing.T) *Engine {
	t.Helper()
	l, err := New(Options{Decision: testConfig(), Seed: 1, Upstream: nowhere{}, Source: nowhere{}})
	if err != nil {
		t.Fatal(err)
	}
	l.ctx = t.Context()
	l.decider.Start(l.clock.Now())
	return l
}

func testRequest(l *Engine) *Request {
	x := &Request{Class: 1, Deadline: l.clock.Now() + time.Minute, Message: message{}}
	x.Init()
	return x
}

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

// The module may fail to end a request; the loop ends it at its deadline.
func TestBackstop(t *testing.T) {
	l := testEngine(t)
	r := testRequest(l)
	l.handle(func() { l.requests[1] = r; r.id = 1; l.expireRequest(r) })
	if a := within(t, r.result, "no answer"); a.Outcome != Failed {
		t.Errorf("ended as %v", a.Outcome)
	}
	l.handle(func() { host{l}.Reject(1, 0); host{l}.Fail(1); l.expireRequest(r); l.ClientGone(r) })
	if len(r.result) != 0 || len(l.requests) != 0 {
		t.Error("a second answer, or a request that was not forgotten")
	}
}

// What may not be sent any more ends as Moot, in a later event, and nothing goes out.
func TestMootSends(t *testing.T) {
	l := testEngine(t)
	for name, send := range map[string]func(*Request){
		"unknown backend": func(r *Request) { host{l}.Send(1, BackendID("b"), 0) },
		"past time":       func(r *Request) { host{l}.Send(1, BackendID("a"), l.clock.Now()-1) },
		"request over":    func(r *Request) { r.ended, r.inFlight = true, 1; host{l}.Send(1, BackendID("a"), 0) },
		"second copy":     func(r *Request) { r.inFlight = 1; host{l}.Send(1, BackendID("a"), 0) },
	} {
		r := testRequest(l)
		r.id = 1
		l.requests[1] = r
		send(r)
		if len(l.deferred) != 1 {
			t.Errorf("%s: %d events follow, want one", name, len(l.deferred))
		}
		l.deferred = nil
		r.attempts[0].cancel()
	}
}

func TestPanicEndsOneEventOnly(t *testing.T) {
	l := testEngine(t)
	ran := false
	l.handle(func() { panic("the decisions failed") })
	l.handle(func() { ran = true })
	if !ran {
		t.Error("no event was handled after a panic")
	}
}

// A timer of the module's whose event fails comes again, and one that was set anew does not come twice.
func TestTimerSurvivesAPanic(t *testing.T) {
	l := testEngine(t)
	module := l.decider
	fire := func() (fired int) {
		due := l.timers
		l.timers = nil
		for _, timer := range due {
			fired++
			l.handle(timer.event)
		}
		return fired
	}
	if fire(); len(l.timers) == 0 {
		t.Fatal("the module sets no timers")
	}
	sets := len(l.timers)
	l.decider = nil // each event fails
	for range 3 {
		if fire(); len(l.timers) != sets {
			t.Fatalf("%d timers after a failure, want %d", len(l.timers), sets)
		}
	}
	l.decider = module
	before := l.timerSequence
	if fire(); l.timerSequence == before {
		t.Error("the module's timers were not set anew after the failures")
	}
}

// A request that has ended leaves nothing behind, whatever its deadline.
func TestEndedRequestsAreForgotten(t *testing.T) {
	l := testEngine(t)
	r := testRequest(l)
	r.Deadline = l.clock.Now() + time.Hour
	timers := len(l.timers)
	l.Submit(r)
	host{l}.Reject(r.id, 0)
	l.ClientGone(r)
	if len(l.requests) != 0 || r.Message != nil || r.expiry.index >= 0 {
		t.Errorf("%d requests are held, message %v, expiry's place %d", len(l.requests), r.Message, r.expiry.index)
	}
	for _, timer := range l.timers[min(timers, len(l.timers)):] {
		if timer.due > l.clock.Now()+time.Minute {
			t.Error("a timer waits for the deadline of a request that has ended")
		}
	}
}

func TestTimersComeInOrderAndNeverEarly(t *testing.T) {
	l := testEngine(t)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan bool)
	go func() { l.Run(ctx); close(ended) }()
	type firing struct{ wanted, at time.Duration }
	fired := make(chan firing, 8)
	l.Post(func() {
		for _, ms := range []time.Duration{40, 10, 0, 25} {
			wanted := l.Clock().Now() + ms*time.Millisecond
			l.startTimerAt(wanted, func() { fired <- firing{wanted, l.clock.Now()} })
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

func TestClock(t *testing.T) {
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

// A list's number wraps like any counter of 32 bits: what comes after the last one is newer, not older.
func TestAListAfterTheLastNumberCounts(t *testing.T) {
	for _, k := range []struct {
		held, told uint32
		counts     bool
	}{{7, 8, true}, {7, 7, true}, {7, 6, false}, {math.MaxUint32, 0, true}, {math.MaxUint32, 3, true}, {2, math.MaxUint32, false}} {
		l := testEngine(t)
		heard := false
		l.opts.OnEndpoints = func(EndpointList) { heard = true }
		l.listVersion = k.held
		l.endpointsReceived(EndpointList{Version: k.told, Endpoints: []Endpoint{{ID: "a", State: decision.Draining}}})
		if heard != k.counts {
			t.Errorf("holding list %d, changes with number %d count: %v", k.held, k.told, heard)
		}
	}
}

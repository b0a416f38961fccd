package engine

import (
	"context"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"lapisspread/decision"
)

// slow is servers whose connections come up when a test says so.
type slow struct {
	nowhere
	came chan *dialled
}

// dialled is an attempt that waits for its connection.
type dialled struct {
	a   Attempt
	up  chan decision.Result // has the connection come up, and the attempt end so if it goes out
	out chan bool            // whether it went out
	by  time.Time
}

func (s *slow) Find(decision.BackendID) Backend { return s }

func (s *slow) Exchange(_ context.Context, a Attempt) (decision.Result, any) {
	d := &dialled{a: a, up: make(chan decision.Result), out: make(chan bool, 1)}
	s.came <- d
	result := <-d.up
	by, ok := a.SendAllowed()
	d.by = by
	if d.out <- ok; !ok {
		return decision.NotSent, nil
	}
	return result, "answer"
}

// comesUp ends a connection's making and tells whether the attempt went out.
func (d *dialled) comesUp(result decision.Result) bool {
	d.up <- result
	return <-d.out
}

const shortWindow = 40 * time.Millisecond

// lateConnections runs an engine before two such servers, on a test's own clock, with one request of a class.
func lateConnections(t *testing.T, c decision.Class, copies bool, do func(t *testing.T, l *Engine, x *Request, came <-chan *dialled)) {
	synctest.Test(t, func(t *testing.T) {
		cfg := testConfig()
		c.Name, c.LatencyObjective, c.ClientTimeout, c.PriorityWeight, c.LateValueShare = "c", 400*time.Millisecond, 2*time.Second, 1, 0.5
		cfg.Classes, cfg.Capabilities.HedgedRequests, cfg.Capabilities.Cancel = []decision.Class{c}, copies, false
		s := &slow{came: make(chan *dialled)}
		known := EndpointList{Full: true, Endpoints: []Endpoint{{ID: "a", Addr: "a:1", State: decision.Ready}, {ID: "b", Addr: "b:1", State: decision.Ready}}}
		l, err := New(Options{Decision: cfg, Seed: 1, InitialEndpoints: known, Upstream: s, Source: nowhere{}})
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan bool)
		go func() { l.Run(ctx); close(ended) }()
		x := &Request{Message: message{}, Timeout: 2 * time.Second, Deadline: l.Clock().Now() + 2*time.Second}
		x.Init()
		l.Post(func() { l.Submit(x) })
		do(t, l, x, s.came)
		cancel()
		<-ended
	})
}

// A connection for a repeat comes up after the window for repeats has ended: the repeat does not go out, and the request is
// answered then.
func TestAConnectionThatComesUpAfterTheWindow(t *testing.T) {
	keyed := decision.Class{Idempotency: decision.IdempotentByKey, DeduplicationScope: decision.ScopeAll, DeduplicationWindow: shortWindow}
	for name, k := range map[string]struct {
		class decision.Class
		first decision.Result
		dial  time.Duration
		out   bool
		bound bool
	}{
		"before its end":                    {keyed, decision.Reset, shortWindow - time.Millisecond, true, true},
		"at its end":                        {keyed, decision.Reset, shortWindow, false, true},
		"long after":                        {keyed, decision.Error, time.Second, false, true},
		"long after one that never ran":     {keyed, decision.Rejected, time.Second, true, false},
		"long after one that was not begun": {keyed, decision.ConnectFailed, time.Second, true, false},
		"and the class is safe":             {decision.Class{Idempotency: decision.Idempotent}, decision.Reset, time.Second, true, false},
		"and the class is unsafe":           {decision.Class{}, decision.Rejected, time.Second, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			lateConnections(t, k.class, false, func(t *testing.T, l *Engine, x *Request, came <-chan *dialled) {
				first := <-came
				time.Sleep(30 * time.Millisecond) // the window counts from what goes out, not from the order
				if !first.comesUp(k.first) || !first.by.IsZero() {
					t.Fatalf("the first does not go out, or by %v", first.by)
				}
				began := l.Clock().Now()
				second := <-came
				time.Sleep(k.dial)
				out := second.comesUp(decision.OK)
				if out != k.out {
					t.Errorf("%v after the first the repeat goes out: %v", l.Clock().Now()-began, out)
				}
				if want := l.Clock().Time(began + shortWindow); out && second.by.IsZero() == k.bound || k.bound && out && !second.by.Equal(want) {
					t.Errorf("it may go out until %v, want %v", second.by, want)
				}
				before := time.Now()
				if r := <-x.Result(); out != (r.Outcome == Served) || time.Since(before) > 0 {
					t.Errorf("ended as %v, %v after the connection came up", r.Outcome, time.Since(before))
				}
			})
		})
	}
}

// The first attempt's own connection comes up late, and the copy beside it has begun: then the first is the repeat.
func TestAFirstAttemptThatComesUpAfterItsCopyHasBegun(t *testing.T) {
	for _, late := range []bool{false, true} {
		c := decision.Class{Idempotency: decision.IdempotentByKey, DeduplicationScope: decision.ScopeAll, DeduplicationWindow: time.Second}
		lateConnections(t, c, true, func(t *testing.T, l *Engine, x *Request, came <-chan *dialled) {
			first, second := <-came, <-came // a hedge
			if !second.comesUp(decision.Reset) {
				t.Fatal("the copy does not go out")
			}
			time.Sleep(time.Second - time.Millisecond)
			if late {
				time.Sleep(time.Millisecond)
			}
			if out := first.comesUp(decision.OK); out == late {
				t.Errorf("late: %v; the first goes out: %v", late, out)
			}
			if r := <-x.Result(); late == (r.Outcome == Served) {
				t.Errorf("late: %v; ended as %v", late, r.Outcome)
			}
		})
	}
}

// A connection comes up after the request's end, where attempts can't be called off: nothing goes out any more.
func TestAConnectionThatComesUpAfterTheEnd(t *testing.T) {
	for name, end := range map[string]func(t *testing.T, l *Engine, x *Request, came <-chan *dialled){
		"the client has left": func(t *testing.T, l *Engine, x *Request, _ <-chan *dialled) {
			l.Post(func() { l.ClientGone(x) })
		},
		"its copy was answered": func(t *testing.T, _ *Engine, _ *Request, came <-chan *dialled) {
			if d := <-came; !d.comesUp(decision.OK) {
				t.Error("the copy does not go out")
			}
		},
		"its time is over": func(t *testing.T, _ *Engine, _ *Request, came <-chan *dialled) {
			d := <-came
			time.Sleep(3 * time.Second)
			if d.comesUp(decision.OK) {
				t.Error("the copy goes out")
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			lateConnections(t, decision.Class{Idempotency: decision.Idempotent}, true, func(t *testing.T, l *Engine, x *Request, came <-chan *dialled) {
				first := <-came
				end(t, l, x, came)
				<-x.Result()
				if first.comesUp(decision.OK) {
					t.Error("it goes out")
				}
				synctest.Wait()
				select {
				case r := <-x.Result():
					t.Errorf("a second result: %v", r.Outcome)
				default:
				}
			})
		})
	}
}

// Whatever is ordered, of an unsafe request only one attempt goes out until it is proved that it did not run.
func TestAnUnsafeRequestGoesOutOnce(t *testing.T) {
	var s sendGuard
	if _, ok := s.begin(0, 1, retryWindow(decision.Class{})); !ok {
		t.Fatal("the first does not go out")
	}
	if _, ok := s.begin(0, 2, 0); !ok {
		t.Error("nor on another connection, when nothing had been written")
	}
	if _, ok := s.begin(1, 3, 0); ok {
		t.Error("a second goes out beside it")
	}
	s.attemptEnded(0, decision.Reset)
	if _, ok := s.begin(1, 4, 0); ok {
		t.Error("a second goes out after a reset")
	}
	s.attemptEnded(0, decision.ConnectFailed)
	if _, ok := s.begin(1, 5, 0); !ok {
		t.Error("a second does not go out though the first never ran")
	}
	if got := retryWindow(decision.Class{Idempotency: decision.Idempotent, DeduplicationWindow: time.Second}); got != math.MaxInt64 {
		t.Errorf("a safe class may be repeated for %v", got)
	}
}

// A request comes whose time is over, or ends in that moment: it is not sent, and gets its one answer at once.
func TestARequestWhoseTimeIsOver(t *testing.T) {
	for _, left := range []time.Duration{-time.Hour, -time.Second, 0} {
		l := testEngine(t)
		l.handle(func() {
			l.applyEndpoints(EndpointList{Full: true, Endpoints: []Endpoint{{ID: "a", Addr: "a:1", State: decision.Ready}}}, decision.UpdateFull)
		})
		x := &Request{Message: message{}, Deadline: l.clock.Now() + left}
		x.Init()
		l.handle(func() { l.Submit(x) })
		select {
		case r := <-x.Result():
			if r.Outcome != Failed || !r.TimedOut || r.MayHaveRun {
				t.Errorf("%v left: %+v", left, r)
			}
		default:
			t.Errorf("%v left: no answer", left)
		}
		if len(x.attempts) != 0 || len(l.requests) != 0 {
			t.Errorf("%v left: %d attempts, %d requests held", left, len(x.attempts), len(l.requests))
		}
	}
}

package engine

import (
	"context"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"lapisspread/decision"
)

// slowUpstream has backends whose connections come up when a test says so.
type slowUpstream struct {
	stuckUpstream
	dialed chan *dialedAttempt
}

// dialedAttempt is an attempt that waits for its connection.
type dialedAttempt struct {
	attempt Attempt
	up      chan decision.Result // the connection comes up; the attempt ends so if it is sent
	sent    chan bool
	by      time.Time // until when it may be sent
}

func (u *slowUpstream) Find(decision.BackendID) Backend { return u }

func (u *slowUpstream) Exchange(_ context.Context, a Attempt) (decision.Result, any) {
	d := &dialedAttempt{attempt: a, up: make(chan decision.Result), sent: make(chan bool, 1)}
	u.dialed <- d
	result := <-d.up
	by, ok := a.SendAllowed()
	d.by = by
	d.sent <- ok
	if !ok {
		return decision.NotSent, nil
	}
	return result, "response"
}

// connect has the connection come up and reports whether the attempt was sent.
func (d *dialedAttempt) connect(result decision.Result) bool {
	d.up <- result
	return <-d.sent
}

// shortWindow is the deduplication window of the tests' class.
const shortWindow = 40 * time.Millisecond

// lateConnectionTest is a test of one request whose connections come up late.
type lateConnectionTest func(t *testing.T, e *Engine, r *Request, dialed <-chan *dialedAttempt)

// lateConnections runs a test with an engine, two such backends and one request of a class, on a clock of its own.
func lateConnections(t *testing.T, class decision.Class, hedged bool, do lateConnectionTest) {
	synctest.Test(t, func(t *testing.T) {
		cfg := testConfig()
		class.Name = "c"
		class.LatencyObjective = 400 * time.Millisecond
		class.ClientTimeout = 2 * time.Second
		class.PriorityWeight = 1
		class.LateValueShare = 0.5
		cfg.Classes = []decision.Class{class}
		cfg.Capabilities.HedgedRequests = hedged
		cfg.Capabilities.Cancel = false
		upstream := &slowUpstream{dialed: make(chan *dialedAttempt)}
		known := testEndpoints()
		known.Endpoints = append(known.Endpoints, Endpoint{ID: "b", Addr: "b:1", State: decision.Ready})
		e, err := New(Options{
			Decision:         cfg,
			Seed:             1,
			InitialEndpoints: known,
			Upstream:         upstream,
			Source:           stuckUpstream{},
		})
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan bool)
		go func() {
			e.Run(ctx)
			close(ended)
		}()
		r := &Request{Message: message{}, Timeout: 2 * time.Second, Deadline: e.Clock().Now() + 2*time.Second}
		r.Init()
		e.Post(func() { e.Submit(r) })
		do(t, e, r, upstream.dialed)
		cancel()
		<-ended
	})
}

// A retry whose connection comes up after the retry window is not sent, and the request ends then.
func TestConnectionAfterRetryWindow(t *testing.T) {
	keyed := decision.Class{
		Idempotency:         decision.IdempotentByKey,
		DeduplicationScope:  decision.ScopeAll,
		DeduplicationWindow: shortWindow,
	}
	idempotent := decision.Class{Idempotency: decision.Idempotent}
	for name, c := range map[string]struct {
		class   decision.Class
		first   decision.Result
		dial    time.Duration
		sent    bool
		limited bool // the retry has a time until which it may be sent
	}{
		"before its end":                      {keyed, decision.Reset, shortWindow - time.Millisecond, true, true},
		"at its end":                          {keyed, decision.Reset, shortWindow, false, true},
		"long after":                          {keyed, decision.Error, time.Second, false, true},
		"long after one that never ran":       {keyed, decision.Rejected, time.Second, true, false},
		"long after one that did not connect": {keyed, decision.ConnectFailed, time.Second, true, false},
		"and the class is idempotent":         {idempotent, decision.Reset, time.Second, true, false},
		"and the class is not idempotent":     {decision.Class{}, decision.Rejected, time.Second, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			lateConnections(t, c.class, false, func(t *testing.T, e *Engine, r *Request, dialed <-chan *dialedAttempt) {
				first := <-dialed
				time.Sleep(30 * time.Millisecond) // the window counts from the send, not from the order
				if !first.connect(c.first) || !first.by.IsZero() {
					t.Fatalf("the first is not sent, or only until %v", first.by)
				}
				began := e.Clock().Now()
				second := <-dialed
				time.Sleep(c.dial)
				sent := second.connect(decision.OK)
				if sent != c.sent {
					t.Errorf("%v after the first the retry is sent: %v", e.Clock().Now()-began, sent)
				}
				want := e.Clock().Time(began + shortWindow)
				if sent && (second.by.IsZero() == c.limited || c.limited && !second.by.Equal(want)) {
					t.Errorf("it may be sent until %v, want %v", second.by, want)
				}
				before := time.Now()
				if result := <-r.Result(); sent != (result.Outcome == Served) || time.Since(before) > 0 {
					t.Errorf("ended as %v, %v after the connection came up", result.Outcome, time.Since(before))
				}
			})
		})
	}
}

// The first attempt connects after its hedge was sent: then the first is the retry.
func TestFirstAttemptConnectsAfterHedge(t *testing.T) {
	for _, late := range []bool{false, true} {
		class := decision.Class{
			Idempotency:         decision.IdempotentByKey,
			DeduplicationScope:  decision.ScopeAll,
			DeduplicationWindow: time.Second,
		}
		lateConnections(t, class, true, func(t *testing.T, _ *Engine, r *Request, dialed <-chan *dialedAttempt) {
			first := <-dialed
			second := <-dialed // the hedge
			if !second.connect(decision.Reset) {
				t.Fatal("the hedge is not sent")
			}
			time.Sleep(time.Second - time.Millisecond)
			if late {
				time.Sleep(time.Millisecond)
			}
			if sent := first.connect(decision.OK); sent == late {
				t.Errorf("late: %v; the first is sent: %v", late, sent)
			}
			if result := <-r.Result(); late == (result.Outcome == Served) {
				t.Errorf("late: %v; ended as %v", late, result.Outcome)
			}
		})
	}
}

// A connection comes up after the request's end, where attempts can't be cancelled: nothing is sent any more.
func TestConnectionAfterRequestEnd(t *testing.T) {
	for name, end := range map[string]lateConnectionTest{
		"the client has left": func(_ *testing.T, e *Engine, r *Request, _ <-chan *dialedAttempt) {
			e.Post(func() { e.ClientGone(r) })
		},
		"its hedge was served": func(t *testing.T, _ *Engine, _ *Request, dialed <-chan *dialedAttempt) {
			if d := <-dialed; !d.connect(decision.OK) {
				t.Error("the hedge is not sent")
			}
		},
		"its deadline is past": func(t *testing.T, _ *Engine, _ *Request, dialed <-chan *dialedAttempt) {
			d := <-dialed
			time.Sleep(3 * time.Second)
			if d.connect(decision.OK) {
				t.Error("the hedge is sent")
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			class := decision.Class{Idempotency: decision.Idempotent}
			lateConnections(t, class, true, func(t *testing.T, e *Engine, r *Request, dialed <-chan *dialedAttempt) {
				first := <-dialed
				end(t, e, r, dialed)
				<-r.Result()
				if first.connect(decision.OK) {
					t.Error("it is sent")
				}
				synctest.Wait()
				select {
				case result := <-r.Result():
					t.Errorf("a second result: %v", result.Outcome)
				default:
				}
			})
		})
	}
}

// Of a request that is not idempotent only one attempt is sent until that is proved not to have run.
func TestNonIdempotentRequestIsSentOnce(t *testing.T) {
	var g sendGuard
	if _, ok := g.begin(0, 1, retryWindow(decision.Class{})); !ok {
		t.Fatal("the first is not sent")
	}
	if _, ok := g.begin(0, 2, 0); !ok {
		t.Error("nor on another connection, when nothing had been written")
	}
	if _, ok := g.begin(1, 3, 0); ok {
		t.Error("a second is sent beside it")
	}
	g.attemptEnded(0, decision.Reset)
	if _, ok := g.begin(1, 4, 0); ok {
		t.Error("a second is sent after a reset")
	}
	g.attemptEnded(0, decision.ConnectFailed)
	if _, ok := g.begin(1, 5, 0); !ok {
		t.Error("a second is not sent though the first never ran")
	}
	idempotent := decision.Class{Idempotency: decision.Idempotent, DeduplicationWindow: time.Second}
	if got := retryWindow(idempotent); got != math.MaxInt64 {
		t.Errorf("an idempotent class may be retried for %v", got)
	}
}

// A request whose deadline is past, or is now, is not sent and gets its one result at once.
func TestRequestPastItsDeadline(t *testing.T) {
	for _, left := range []time.Duration{-time.Hour, -time.Second, 0} {
		e := testEngine(t)
		e.handle(func() { e.applyEndpoints(testEndpoints(), decision.UpdateFull) })
		r := &Request{Message: message{}, Deadline: e.clock.Now() + left}
		r.Init()
		e.handle(func() { e.Submit(r) })
		select {
		case result := <-r.Result():
			if result.Outcome != Failed || !result.TimedOut || result.MayHaveRun {
				t.Errorf("%v left: %+v", left, result)
			}
		default:
			t.Errorf("%v left: no result", left)
		}
		if len(r.attempts) != 0 || len(e.requests) != 0 {
			t.Errorf("%v left: %d attempts, %d requests held", left, len(r.attempts), len(e.requests))
		}
	}
}

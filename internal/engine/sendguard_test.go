package engine

import (
	"context"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"lapisspread/decision"
)

// slowUpstream is an upstream whose connections are established only when the test calls dialedAttempt.connect.
type slowUpstream struct {
	stuckUpstream
	dialed chan *dialedAttempt // attempts that have started to connect
}

// dialedAttempt is an attempt that waits for its connection.
type dialedAttempt struct {
	attempt   Attempt
	connected chan decision.Result // establishes the connection; if the attempt is sent, it ends with this result
	sent      chan bool            // reports whether the attempt was sent
	sendBy    time.Time            // the time until which the attempt may be sent; zero is no limit
}

func (u *slowUpstream) Find(decision.BackendID) Backend { return u }

func (u *slowUpstream) Exchange(_ context.Context, a Attempt) (decision.Result, any) {
	d := &dialedAttempt{attempt: a, connected: make(chan decision.Result), sent: make(chan bool, 1)}
	u.dialed <- d
	result := <-d.connected
	by, ok := a.SendAllowed()
	d.sendBy = by
	d.sent <- ok
	if !ok {
		return decision.NotSent, nil
	}
	return result, "response"
}

// connect establishes the connection and reports whether the attempt was sent. If so, the attempt ends with result.
func (d *dialedAttempt) connect(result decision.Result) bool {
	d.connected <- result
	return <-d.sent
}

// shortWindow is the deduplication window of the class in TestConnectionAfterRetryWindow.
const shortWindow = 40 * time.Millisecond

// lateConnectionTest is the body of a test with one request. The test receives the attempts from dialed and establishes
// their connections.
type lateConnectionTest func(t *testing.T, e *Engine, r *Request, dialed <-chan *dialedAttempt)

// runLateConnectionTest runs a test in a synctest bubble with an engine, two backends of a slowUpstream and one
// submitted request of a class.
func runLateConnectionTest(t *testing.T, class decision.Class, hedged bool, test lateConnectionTest) {
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
		endpoints := testEndpoints()
		endpoints.Endpoints = append(endpoints.Endpoints, Endpoint{ID: "b", Addr: "b:1", State: decision.Ready})
		e, err := New(Options{
			Decision:         cfg,
			Seed:             1,
			InitialEndpoints: endpoints,
			Upstream:         upstream,
			Source:           stuckUpstream{},
		})
		if err != nil {
			t.Fatalf("New failed: %v", err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan bool)
		go func() {
			e.Run(ctx)
			close(ended)
		}()
		r := &Request{Message: message{}, Timeout: 2 * time.Second, Deadline: e.Clock().Now() + 2*time.Second, Client: &scriptedClient{}}
		r.Init()
		e.Post(func() { e.Submit(r) })
		test(t, e, r, upstream.dialed)
		cancel()
		<-ended
	})
}

// A retry whose connection is established after the retry window has ended is not sent, and the request ends at once.
func TestConnectionAfterRetryWindow(t *testing.T) {
	keyed := decision.Class{
		Idempotency:         decision.IdempotentByKey,
		DeduplicationScope:  decision.ScopeAll,
		DeduplicationWindow: shortWindow,
	}
	idempotent := decision.Class{Idempotency: decision.Idempotent}
	for name, c := range map[string]struct {
		class   decision.Class
		first   decision.Result // result of the first attempt
		dial    time.Duration   // time that the retry takes to connect
		sent    bool            // whether the retry is sent
		limited bool            // whether there is a time until which the retry may be sent
	}{
		"connected before the window ends":            {keyed, decision.Reset, shortWindow - time.Millisecond, true, true},
		"connected when the window ends":              {keyed, decision.Reset, shortWindow, false, true},
		"connected long after the window":             {keyed, decision.Error, time.Second, false, true},
		"connected late, first attempt rejected":      {keyed, decision.Rejected, time.Second, true, false},
		"connected late, first attempt not connected": {keyed, decision.ConnectFailed, time.Second, true, false},
		"connected late, idempotent class":            {idempotent, decision.Reset, time.Second, true, false},
		"connected late, class not idempotent":        {decision.Class{}, decision.Rejected, time.Second, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			runLateConnectionTest(t, c.class, false, func(t *testing.T, e *Engine, r *Request, dialed <-chan *dialedAttempt) {
				first := <-dialed
				time.Sleep(30 * time.Millisecond) // the window starts when the attempt is sent, not when it is ordered
				if !first.connect(c.first) || !first.sendBy.IsZero() {
					t.Fatalf("first attempt was not sent, or may be sent only until %v; want it sent without a limit", first.sendBy)
				}
				firstSentAt := e.Clock().Now()
				second := <-dialed
				time.Sleep(c.dial)
				sent := second.connect(decision.OK)
				if sent != c.sent {
					t.Errorf("retry connected %v after the first attempt was sent: sent = %v, want %v",
						e.Clock().Now()-firstSentAt, sent, c.sent)
				}
				want := e.Clock().Time(firstSentAt + shortWindow)
				if sent && (second.sendBy.IsZero() == c.limited || c.limited && !second.sendBy.Equal(want)) {
					t.Errorf("retry may be sent until %v, want %v if limited = %v, else no limit", second.sendBy, want, c.limited)
				}
				connectedAt := time.Now()
				if result := <-r.Result(); sent != (result.Outcome == Served) || time.Since(connectedAt) > 0 {
					t.Errorf("retry sent = %v: outcome %v, %v after the connection; want served only if sent, and no delay",
						sent, result.Outcome, time.Since(connectedAt))
				}
			})
		})
	}
}

// The first attempt connects after its hedged request was sent. It then counts as the retry: it is sent only before the
// deduplication window of the hedged request has ended.
func TestFirstAttemptConnectsAfterHedge(t *testing.T) {
	for _, late := range []bool{false, true} {
		class := decision.Class{
			Idempotency:         decision.IdempotentByKey,
			DeduplicationScope:  decision.ScopeAll,
			DeduplicationWindow: time.Second,
		}
		runLateConnectionTest(t, class, true, func(t *testing.T, _ *Engine, r *Request, dialed <-chan *dialedAttempt) {
			first := <-dialed
			second := <-dialed // the hedged request
			if !second.connect(decision.Reset) {
				t.Fatal("the hedged request was not sent")
			}
			time.Sleep(time.Second - time.Millisecond)
			if late {
				time.Sleep(time.Millisecond)
			}
			if sent := first.connect(decision.OK); sent == late {
				t.Errorf("first attempt, connected after the end of the window: %v; sent = %v, want %v", late, sent, !late)
			}
			if result := <-r.Result(); late == (result.Outcome == Served) {
				t.Errorf("first attempt, connected after the end of the window: %v; outcome %v, want served only if false",
					late, result.Outcome)
			}
		})
	}
}

// If a connection is established after the request has ended, the attempt is not sent, even without the capability to
// cancel attempts.
func TestConnectionAfterRequestEnd(t *testing.T) {
	for name, end := range map[string]lateConnectionTest{
		"client has left": func(_ *testing.T, e *Engine, r *Request, _ <-chan *dialedAttempt) {
			e.Post(func() { e.ClientGone(r) })
		},
		"hedged request was served": func(t *testing.T, _ *Engine, _ *Request, dialed <-chan *dialedAttempt) {
			if d := <-dialed; !d.connect(decision.OK) {
				t.Error("the hedged request was not sent")
			}
		},
		"deadline has passed": func(t *testing.T, _ *Engine, _ *Request, dialed <-chan *dialedAttempt) {
			d := <-dialed
			time.Sleep(3 * time.Second)
			if d.connect(decision.OK) {
				t.Error("the hedged request was sent after the deadline")
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			class := decision.Class{Idempotency: decision.Idempotent}
			runLateConnectionTest(t, class, true, func(t *testing.T, e *Engine, r *Request, dialed <-chan *dialedAttempt) {
				first := <-dialed
				end(t, e, r, dialed)
				<-r.Result()
				if first.connect(decision.OK) {
					t.Error("the first attempt was sent after the request had ended")
				}
				synctest.Wait()
				select {
				case result := <-r.Result():
					t.Errorf("second result with outcome %v, want only one result", result.Outcome)
				default:
				}
			})
		})
	}
}

// For a request that is not idempotent, a second attempt is sent only after the first one is known not to have run.
func TestNonIdempotentRequestIsSentOnce(t *testing.T) {
	var g sendGuard
	if _, ok := g.startSend(0, 1, retryWindow(decision.Class{})); !ok {
		t.Fatal("startSend(attempt 0) = false, want true for the first attempt")
	}
	if _, ok := g.startSend(0, 2, 0); !ok {
		t.Error("startSend(attempt 0) = false on a second connection, want true for the same attempt")
	}
	if _, ok := g.startSend(1, 3, 0); ok {
		t.Error("startSend(attempt 1) = true while attempt 0 is in flight, want false")
	}
	g.attemptEnded(0, decision.Reset)
	if _, ok := g.startSend(1, 4, 0); ok {
		t.Error("startSend(attempt 1) = true after attempt 0 ended as Reset, want false")
	}
	g.attemptEnded(0, decision.ConnectFailed)
	if _, ok := g.startSend(1, 5, 0); !ok {
		t.Error("startSend(attempt 1) = false after attempt 0 ended as ConnectFailed, want true")
	}
	idempotent := decision.Class{Idempotency: decision.Idempotent, DeduplicationWindow: time.Second}
	if got := retryWindow(idempotent); got != math.MaxInt64 {
		t.Errorf("retryWindow of an idempotent class = %v, want %v (unlimited)", got, unlimitedRetryWindow)
	}
}

// A request whose deadline has passed when it is submitted is not sent and gets its only result at once.
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
				t.Errorf("submitted with %v to the deadline: outcome %v, TimedOut %v, MayHaveRun %v, want %v, true, false",
					left, result.Outcome, result.TimedOut, result.MayHaveRun, Failed)
			}
		default:
			t.Errorf("submitted with %v to the deadline: no result after Submit", left)
		}
		if len(r.attempts) != 0 || len(e.requests) != 0 {
			t.Errorf("submitted with %v to the deadline: %d attempts, %d requests held, want none",
				left, len(r.attempts), len(e.requests))
		}
	}
}

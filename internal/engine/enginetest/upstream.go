package enginetest

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"lapisspread/decision"
	"lapisspread/internal/engine"
)

// Behaviour selects how a test backend of the upstream's protocol responds.
type Behaviour uint8

// The behaviours.
const (
	Serves               Behaviour = iota // responds with "the answer"
	ReturnsErrors                         // responds with an error
	RejectsRequests                       // responds that it has not run the request
	RefusesConnections                    // accepts no connection
	ClosesBeforeResponse                  // reads a whole request and closes without a response
	ClosesDuringResponse                  // sends a part of its response and closes
	SendsGarbage                          // sends a response that cannot be read
	Stalls                                // reads a request and sends nothing
	ServesSlowly                          // responds after about 20 ms
	SendsTrailingBytes                    // sends extra bytes after its response that belong to no response
)

// Upstream is an upstream under test.
type Upstream struct {
	// Start runs one backend with a behaviour until the test ends. It returns an upstream and the endpoint list with
	// that backend, under the name "a".
	Start func(t *testing.T, b Behaviour) (engine.Upstream, engine.EndpointList)
	// Message returns a new message for an attempt.
	Message func() engine.Message
	// SharesConnections reports that many requests share a connection. After the connection has broken it may be down
	// for a while, and attempts fail to connect during that time.
	SharesConnections bool
	// Body returns the bytes of a response.
	Body func(response any) []byte
}

// Test runs all conformance tests of the upstream as subtests.
func (u Upstream) Test(t *testing.T) {
	for _, c := range []struct {
		name      string
		behaviour Behaviour
		want      []decision.Result
	}{
		{"serves", Serves, []decision.Result{decision.OK}},
		{"returns errors", ReturnsErrors, []decision.Result{decision.Error}},
		{"rejects requests", RejectsRequests, []decision.Result{decision.Rejected}},
		{"refuses connections", RefusesConnections, []decision.Result{decision.ConnectFailed}},
		{"closes before the response", ClosesBeforeResponse, []decision.Result{decision.Reset}},
		{"closes during the response", ClosesDuringResponse, []decision.Result{decision.Reset}},
		{"sends garbage", SendsGarbage, []decision.Result{decision.Reset, decision.Error}},
		{"sends trailing bytes", SendsTrailingBytes, []decision.Result{decision.OK}},
	} {
		t.Run(c.name, func(t *testing.T) { u.testResult(t, c.behaviour, c.want) })
	}
	t.Run("timeout differs from cancel", u.testTimeoutAndCancel)
	t.Run("cancels race responses", u.testCancelsRaceResponses)
	t.Run("draining or removed backend gets no new attempt", u.testDraining)
	t.Run("attempt that MaySend forbids is not sent", u.testMaySend)
	t.Run("release", u.testRelease)
}

// testResult makes three attempts, so that the later ones may reuse the connection of the first one.
func (u Upstream) testResult(t *testing.T, behaviour Behaviour, want []decision.Result) {
	up, list := u.Start(t, behaviour)
	up.Update(list)
	for n := range 3 {
		got, response := u.attempt(context.Background(), t, up)
		connectionDown := n > 0 && u.SharesConnections && got == decision.ConnectFailed
		if !slices.Contains(want, got) && !connectionDown {
			t.Fatalf("attempt %d: result %v, want one of %v", n, got, want)
		}
		if got == decision.OK && string(u.Body(response)) != "the answer" {
			t.Errorf("attempt %d: response body %q, want %q", n, u.Body(response), "the answer")
		}
	}
}

func (u Upstream) testTimeoutAndCancel(t *testing.T) {
	up, list := u.Start(t, Stalls)
	up.Update(list)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if got, _ := u.attempt(ctx, t, up); got != decision.Timeout {
		t.Errorf("attempt at a stalled backend, context timed out: result %v, want %v", got, decision.Timeout)
	}
	ctx, cancel = context.WithCancel(context.Background())
	time.AfterFunc(time.Second, cancel)
	if got, _ := u.attempt(ctx, t, up); got != decision.Cancelled {
		t.Errorf("attempt at a stalled backend, context cancelled: result %v, want %v", got, decision.Cancelled)
	}
}

func (u Upstream) testCancelsRaceResponses(t *testing.T) {
	up, list := u.Start(t, ServesSlowly)
	up.Update(list)
	var attempts sync.WaitGroup
	for i := range 40 {
		attempts.Go(func() {
			ctx, cancel := context.WithCancel(context.Background())
			time.AfterFunc(10*time.Millisecond+time.Duration(i)*time.Millisecond/2, cancel)
			got, response := u.attempt(ctx, t, up)
			if got != decision.Cancelled && got != decision.OK && !got.NeverRan() {
				t.Errorf("attempt %d, cancelled during the response: result %v, want %v, %v or one that never ran",
					i, got, decision.Cancelled, decision.OK)
			}
			if got == decision.OK && string(u.Body(response)) != "the answer" {
				t.Errorf("attempt %d, cancelled during the response: response body %q, want %q",
					i, u.Body(response), "the answer")
			}
		})
	}
	attempts.Wait()
}

func (u Upstream) testDraining(t *testing.T) {
	up, list := u.Start(t, Serves)
	up.Update(list)
	id := engine.BackendID("a")
	earlier := up.Find(id) // found before the backend drains
	if got, _ := u.attempt(context.Background(), t, up); got != decision.OK {
		t.Fatalf("attempt at the ready backend: result %v, want %v", got, decision.OK)
	}
	attempt := func() engine.Attempt { return engine.Attempt{Message: u.Message(), Timeout: time.Second} }
	draining := list.Endpoints[0]
	draining.State = decision.Draining
	up.Update(engine.EndpointList{Version: 2, Endpoints: []engine.Endpoint{draining}})
	for name, backend := range map[string]engine.Backend{
		"found after the update":  up.Find(id),
		"found before the update": earlier,
	} {
		if got, _ := backend.Exchange(context.Background(), attempt()); !got.NeverRan() {
			t.Errorf("attempt at a draining backend, %s: result %v, want one that never ran", name, got)
		}
	}
	up.Update(engine.EndpointList{Version: 3, Full: true})
	if up.Find(id) != nil {
		t.Error("Find returned a removed backend, want nil")
	}
	if got, _ := earlier.Exchange(context.Background(), attempt()); !got.NeverRan() {
		t.Errorf("attempt at a removed backend, found before: result %v, want one that never ran", got)
	}
}

func (u Upstream) testMaySend(t *testing.T) {
	up, list := u.Start(t, Serves)
	up.Update(list)
	for _, connection := range []string{"a new connection", "an existing connection"} {
		calls := 0
		attempt := engine.Attempt{
			Message: u.Message(),
			Timeout: stepTimeout,
			MaySend: func() (time.Time, bool) {
				calls++
				return time.Time{}, false
			},
		}
		ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
		got, _ := up.Find(engine.BackendID("a")).Exchange(ctx, attempt)
		cancel()
		if !got.NeverRan() || calls == 0 {
			t.Errorf("attempt on %s, forbidden by MaySend: result %v after %d calls of MaySend, "+
				"want one that never ran and at least 1 call", connection, got, calls)
		}
		if got, _ := u.attempt(context.Background(), t, up); got != decision.OK {
			t.Errorf("attempt after a forbidden one on %s: result %v, want %v", connection, got, decision.OK)
		}
	}
}

func (u Upstream) testRelease(t *testing.T) {
	up, list := u.Start(t, Serves)
	up.Update(list)
	up.Release(engine.BackendID("a"))
	up.Release(engine.BackendID("none"))
	if got, _ := u.attempt(context.Background(), t, up); got != decision.OK {
		t.Errorf("attempt after Release: result %v, want %v", got, decision.OK)
	}
}

// attempt makes one attempt at the backend "a" and blocks until it has ended.
func (u Upstream) attempt(ctx context.Context, t *testing.T, up engine.Upstream) (decision.Result, any) {
	t.Helper()
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	backend := up.Find(engine.BackendID("a"))
	if backend == nil {
		t.Error(`Find(BackendID("a")) = nil, want the backend`)
		return decision.NotSent, nil
	}
	return backend.Exchange(ctx, engine.Attempt{
		Message: u.Message(),
		Timeout: stepTimeout,
		StartStream: func(s engine.Stream) bool {
			s.End(engine.ErrAbandoned)
			return false
		},
	})
}

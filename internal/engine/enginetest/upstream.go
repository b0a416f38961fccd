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

// Behaviour is what a backend of the protocol under test does.
type Behaviour uint8

// The behaviours.
const (
	Serves               Behaviour = iota // responds with "the answer"
	ReturnsErrors                         // responds with an error
	RejectsRequests                       // says that it has not run the request
	RefusesConnections                    // accepts no connection
	ClosesBeforeResponse                  // reads a whole request and closes without a response
	ClosesDuringResponse                  // sends a part of its response and closes
	SendsGarbage                          // sends a response that cannot be read
	Stalls                                // reads a request and sends nothing
	ServesSlowly                          // responds after some 20 ms
	SendsTrailingBytes                    // sends bytes behind its response that belong to nobody
)

// Upstream is an upstream under test.
type Upstream struct {
	// Start runs one backend that behaves so until the test ends and returns an upstream with the list that names it,
	// as "a".
	Start func(t *testing.T, b Behaviour) (engine.Upstream, engine.EndpointList)
	// Message makes a message for an attempt.
	Message func() engine.Message
	// SharesConnections says that many requests share a connection: one that broke may be down for a while, and
	// attempts at it never run meanwhile.
	SharesConnections bool
	// Body returns the bytes of a response.
	Body func(response any) []byte
}

// Test runs the upstream through all that it must distinguish, as subtests.
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
	t.Run("a timeout is told from a cancel", u.testTimeoutAndCancel)
	t.Run("cancels race responses", u.testCancelsRaceResponses)
	t.Run("a backend that drains or is gone gets nothing new", u.testDraining)
	t.Run("an attempt that may not be made any more is not sent", u.testMaySend)
	t.Run("release", u.testRelease)
}

// testResult makes several attempts, so that the later ones find what is left of the first one's connection.
func (u Upstream) testResult(t *testing.T, behaviour Behaviour, want []decision.Result) {
	up, list := u.Start(t, behaviour)
	up.Update(list)
	for n := range 3 {
		got, response := u.attempt(context.Background(), t, up)
		down := n > 0 && u.SharesConnections && got == decision.ConnectFailed
		if !slices.Contains(want, got) && !down {
			t.Fatalf("attempt %d: %v, want one of %v", n, got, want)
		}
		if got == decision.OK && string(u.Body(response)) != "the answer" {
			t.Errorf("attempt %d: the response is %q", n, u.Body(response))
		}
	}
}

func (u Upstream) testTimeoutAndCancel(t *testing.T) {
	up, list := u.Start(t, Stalls)
	up.Update(list)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if got, _ := u.attempt(ctx, t, up); got != decision.Timeout {
		t.Errorf("timeout: %v", got)
	}
	ctx, cancel = context.WithCancel(context.Background())
	time.AfterFunc(time.Second, cancel)
	if got, _ := u.attempt(ctx, t, up); got != decision.Cancelled {
		t.Errorf("cancel: %v", got)
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
				t.Errorf("%v", got)
			}
			if got == decision.OK && string(u.Body(response)) != "the answer" {
				t.Errorf("the response is %q", u.Body(response))
			}
		})
	}
	attempts.Wait()
}

func (u Upstream) testDraining(t *testing.T) {
	up, list := u.Start(t, Serves)
	up.Update(list)
	id := engine.BackendID("a")
	held := up.Find(id)
	if got, _ := u.attempt(context.Background(), t, up); got != decision.OK {
		t.Fatalf("before: %v", got)
	}
	attempt := func() engine.Attempt { return engine.Attempt{Message: u.Message(), Timeout: time.Second} }
	draining := list.Endpoints[0]
	draining.State = decision.Draining
	up.Update(engine.EndpointList{Version: 2, Endpoints: []engine.Endpoint{draining}})
	for name, backend := range map[string]engine.Backend{"found again": up.Find(id), "held from before": held} {
		if got, _ := backend.Exchange(context.Background(), attempt()); !got.NeverRan() {
			t.Errorf("%s, of a draining backend: %v", name, got)
		}
	}
	up.Update(engine.EndpointList{Version: 3, Full: true})
	if up.Find(id) != nil {
		t.Error("a backend that is gone is still found")
	}
	if got, _ := held.Exchange(context.Background(), attempt()); !got.NeverRan() {
		t.Errorf("a backend that is gone: %v", got)
	}
}

func (u Upstream) testMaySend(t *testing.T) {
	up, list := u.Start(t, Serves)
	up.Update(list)
	for _, connection := range []string{"a new connection", "one that is there"} {
		asked := 0
		attempt := engine.Attempt{
			Message: u.Message(),
			Timeout: stepTimeout,
			MaySend: func() (time.Time, bool) {
				asked++
				return time.Time{}, false
			},
		}
		ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
		got, _ := up.Find(engine.BackendID("a")).Exchange(ctx, attempt)
		cancel()
		if !got.NeverRan() || asked == 0 {
			t.Errorf("%s: %v, asked %d times", connection, got, asked)
		}
		if got, _ := u.attempt(context.Background(), t, up); got != decision.OK {
			t.Errorf("%s: the next one ends as %v", connection, got)
		}
	}
}

func (u Upstream) testRelease(t *testing.T) {
	up, list := u.Start(t, Serves)
	up.Update(list)
	up.Release(engine.BackendID("a"))
	up.Release(engine.BackendID("none"))
	if got, _ := u.attempt(context.Background(), t, up); got != decision.OK {
		t.Errorf("afterwards: %v", got)
	}
}

// attempt makes one attempt at the backend "a" and blocks until it has ended.
func (u Upstream) attempt(ctx context.Context, t *testing.T, up engine.Upstream) (decision.Result, any) {
	t.Helper()
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	backend := up.Find(engine.BackendID("a"))
	if backend == nil {
		t.Error("the backend is not found")
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

package enginetest

import (
	"context"
	"sync"
	"testing"
	"time"

	"lapisspread/decision"
	"lapisspread/internal/engine"
)

// Behaviour is what a server of the protocol under test does.
type Behaviour uint8

// The behaviours.
const (
	Serves               Behaviour = iota // answers "the answer"
	ReturnsErrors                         // answers with an error
	RejectsRequests                       // says that it has not run the request
	RefusesConnections                    // takes no connection
	ClosesBeforeResponse                  // takes a request whole and closes without an answer
	ClosesDuringResponse                  // sends a part of its answer and closes
	SendsGarbage                          // answers what cannot be read
	Stalls                                // takes a request and says nothing
	ServesSlowly                          // answers after some 20 ms
	SendsTrailingBytes                    // sends bytes behind its answer that belong to nobody
)

// Upstream is an upstream under test.
type Upstream struct {
	// Start gives an upstream before one server that behaves so, until the test ends, with the list that names the
	// server, as member "a".
	Start func(t *testing.T, b Behaviour) (engine.Upstream, engine.EndpointList)
	// Message makes a message for an attempt.
	Message func() engine.Message
	// Shared says that many requests share a connection: one that broke may be away for a while, and what comes then never runs.
	SharesConnections bool
	// Body gives the bytes of an answer.
	Body func(answer any) []byte
}

// Test runs an upstream against all that it must tell apart.
func (u Upstream) Test(t *testing.T) {
	for _, k := range []struct {
		name string
		b    Behaviour
		want []decision.Result
	}{
		{"serves", Serves, []decision.Result{decision.OK}},
		{"errs", ReturnsErrors, []decision.Result{decision.Error}},
		{"turns away", RejectsRequests, []decision.Result{decision.Rejected}},
		{"refuses", RefusesConnections, []decision.Result{decision.ConnectFailed}},
		{"closes without an answer", ClosesBeforeResponse, []decision.Result{decision.Reset}},
		{"closes midway", ClosesDuringResponse, []decision.Result{decision.Reset}},
		{"spoils its answer", SendsGarbage, []decision.Result{decision.Reset, decision.Error}},
		{"says too much", SendsTrailingBytes, []decision.Result{decision.OK}},
	} {
		t.Run(k.name, func(t *testing.T) {
			up, list := u.Start(t, k.b)
			up.Update(list)
			for n := range 3 { // again on what is left of the first
				got, body := u.once(t, context.Background(), up)
				ok := false
				for _, w := range k.want {
					ok = ok || got == w
				}
				ok = ok || n > 0 && u.SharesConnections && got == decision.ConnectFailed
				if !ok {
					t.Fatalf("attempt %d: %v, want one of %v", n, got, k.want)
				}
				if got == decision.OK && string(u.Body(body)) != "the answer" {
					t.Errorf("attempt %d: answered %q", n, u.Body(body))
				}
			}
		})
	}
	t.Run("a time-out is told from a cancel", func(t *testing.T) {
		up, list := u.Start(t, Stalls)
		up.Update(list)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if got, _ := u.once(t, ctx, up); got != decision.Timeout {
			t.Errorf("time-out: %v", got)
		}
		ctx, cancel = context.WithCancel(context.Background())
		time.AfterFunc(time.Second, cancel)
		if got, _ := u.once(t, ctx, up); got != decision.Cancelled {
			t.Errorf("cancel: %v", got)
		}
	})
	t.Run("cancels race answers", func(t *testing.T) {
		up, list := u.Start(t, ServesSlowly)
		up.Update(list)
		var all sync.WaitGroup
		for i := range 40 {
			all.Go(func() {
				ctx, cancel := context.WithCancel(context.Background())
				time.AfterFunc(10*time.Millisecond+time.Duration(i)*time.Millisecond/2, cancel)
				got, body := u.once(t, ctx, up)
				if got != decision.Cancelled && got != decision.OK && !got.NeverRan() {
					t.Errorf("%v", got)
				}
				if got == decision.OK && string(u.Body(body)) != "the answer" {
					t.Errorf("answered %q", u.Body(body))
				}
			})
		}
		all.Wait()
	})
	t.Run("a server that drains or is gone gets nothing new", func(t *testing.T) {
		up, list := u.Start(t, Serves)
		up.Update(list)
		held := up.Find(engine.BackendID("a"))
		if got, _ := u.once(t, context.Background(), up); got != decision.OK {
			t.Fatalf("before: %v", got)
		}
		leaving := list.Endpoints[0]
		leaving.State = decision.Draining
		up.Update(engine.EndpointList{Version: 2, Endpoints: []engine.Endpoint{leaving}})
		for name, peer := range map[string]engine.Backend{"found anew": up.Find(engine.BackendID("a")), "held from before": held} {
			if got, _ := peer.Exchange(context.Background(), engine.Attempt{Message: u.Message(), Timeout: time.Second}); !got.NeverRan() {
				t.Errorf("%s, of a draining server: %v", name, got)
			}
		}
		up.Update(engine.EndpointList{Version: 3, Full: true})
		if up.Find(engine.BackendID("a")) != nil {
			t.Error("a server that is gone is still found")
		}
		if got, _ := held.Exchange(context.Background(), engine.Attempt{Message: u.Message(), Timeout: time.Second}); !got.NeverRan() {
			t.Errorf("a server that is gone: %v", got)
		}
	})
	t.Run("an attempt that may not be made any more is not sent", func(t *testing.T) {
		up, list := u.Start(t, Serves)
		up.Update(list)
		for _, conn := range []string{"a new connection", "one that is there"} {
			looks := 0
			may := func() (time.Time, bool) { looks++; return time.Time{}, false }
			ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
			got, _ := up.Find(engine.BackendID("a")).Exchange(ctx, engine.Attempt{Message: u.Message(), Timeout: stepTimeout, MaySend: may})
			if cancel(); !got.NeverRan() || looks == 0 {
				t.Errorf("%s: %v after %d looks", conn, got, looks)
			}
			if got, _ := u.once(t, context.Background(), up); got != decision.OK {
				t.Errorf("%s: the next one ends as %v", conn, got)
			}
		}
	})
	t.Run("release", func(t *testing.T) {
		up, list := u.Start(t, Serves)
		up.Update(list)
		up.Release(engine.BackendID("a"))
		up.Release(engine.BackendID("none"))
		if got, _ := u.once(t, context.Background(), up); got != decision.OK {
			t.Errorf("afterwards: %v", got)
		}
	})
}

func (u Upstream) once(t *testing.T, ctx context.Context, up engine.Upstream) (decision.Result, any) {
	t.Helper()
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	p := up.Find(engine.BackendID("a"))
	if p == nil {
		t.Error("the server is not found")
		return decision.NotSent, nil
	}
	return p.Exchange(ctx, engine.Attempt{Message: u.Message(), Timeout: stepTimeout, StartStream: func(s engine.Stream) bool {
		s.End(engine.ErrAbandoned)
		return false
	}})
}

// Package enginetest is a conformance kit for what stands beside an engine: any front end, and any upstream, can be
// run against it, as golang.org/x/net/nettest does for connections. It causes what they must bear: answers, cancels
// and deadlines that race, streams that break, outcomes that come after the end.
package enginetest

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"testing"
	"time"

	"lapisspread/decision"
	"lapisspread/internal/engine"
)

// stepTimeout is what no step of the kit takes on a machine that is merely busy.
const stepTimeout = 20 * time.Second

// Classes are those of the engines that the kit makes: one that may be repeated, one that must never run twice.
var Classes = []decision.Class{
	{Name: "safe", LatencyObjective: time.Second, ClientTimeout: 3 * time.Second, Idempotency: decision.Idempotent, PriorityWeight: 1, LateValueShare: 0.5},
	{Name: "unsafe", LatencyObjective: time.Second, ClientTimeout: 3 * time.Second, Idempotency: decision.NotIdempotent, PriorityWeight: 1, LateValueShare: 0.5},
}

// Config are the settings of the engines that the kit makes.
func Config() decision.Config {
	return decision.Config{Instances: 1, Tick: 2 * time.Millisecond, ObjectiveWeights: decision.ObjectiveWeights{Overall: 1}, Classes: Classes,
		Tenants: []decision.Tenant{{Name: "t", Share: 1, QuotaPerSecond: 1000}},
		Constraints: decision.Constraints{AnswerSlack: 20 * time.Millisecond, DrainGrace: 500 * time.Millisecond, OverloadWindow: time.Second,
			OverloadFactor: 3, InitialCapacity: 0.3, WarmUp: time.Second},
		Capabilities: decision.Capabilities{Cancel: true, RetryAfter: true, ConnectTimeout: 200 * time.Millisecond, ConnectionIdleTimeout: time.Minute, MaxAttempts: 3,
			MaxRetryAfter: time.Second, StreamsPerConnection: 1, MaxOpenRequests: 1000}}
}

// Step is what a scripted server does with one attempt.
type Step struct {
	Delay         time.Duration   // it waits so long first
	Result        decision.Result // and ends the attempt so
	Response      any             // decision.OK: with this
	Stream        func() engine.Stream
	IgnoresCancel bool // it goes on after ctx has ended, and ends the attempt then all the same
}

// Script is an upstream whose one server does what Next says. It is safe for concurrent use.
type Script struct {
	Next func(n int, a engine.Attempt) Step // n counts attempts from 0

	mu       sync.Mutex
	attempts int
}

// Attempts is how many attempts there were.
func (s *Script) Attempts() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.attempts
}

// List names the script's server.
func (s *Script) List() engine.EndpointList {
	return engine.EndpointList{Version: 1, Full: true, Endpoints: []engine.Endpoint{{ID: "a", Addr: "127.0.0.1:1", State: decision.Ready, Weight: 1},
		{ID: "b", Addr: "127.0.0.1:1", State: decision.Ready, Weight: 1}}}
}

func (s *Script) Update(engine.EndpointList)                  {}
func (s *Script) Release(decision.BackendID)                  {}
func (s *Script) Find(decision.BackendID) engine.Backend      { return s }
func (s *Script) CheckHealth(context.Context) decision.Result { return decision.OK }

func (s *Script) Exchange(ctx context.Context, a engine.Attempt) (decision.Result, any) {
	s.mu.Lock()
	n := s.attempts
	s.attempts++
	s.mu.Unlock()
	r := s.Next(n, a)
	timer := time.NewTimer(r.Delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		if r.IgnoresCancel {
			<-timer.C
			break
		}
		if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
			return decision.Timeout, nil
		}
		return decision.Cancelled, nil
	}
	if r.Stream != nil {
		a.StartStream(r.Stream())
		<-ctx.Done()
		return decision.OK, nil
	}
	return r.Result, r.Response
}

// silentSource is a source that tells nothing.
type silentSource struct{}

func (silentSource) Addr() string { return "quiet" }
func (silentSource) Close()       {}
func (silentSource) Fetch(ctx context.Context) (engine.EndpointList, error) {
	<-ctx.Done()
	return engine.EndpointList{}, ctx.Err()
}
func (silentSource) Watch(ctx context.Context, _ uint32, _ func(engine.EndpointList)) error {
	<-ctx.Done()
	return ctx.Err()
}

// Start runs an engine before an upstream until the test ends.
func Start(t *testing.T, up engine.Upstream, list engine.EndpointList) *engine.Engine {
	t.Helper()
	e, err := engine.New(engine.Options{Decision: Config(), Seed: 1, InitialEndpoints: list, Upstream: up, Source: silentSource{},
		Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { e.Run(ctx); close(ended) }()
	t.Cleanup(func() {
		cancel()
		select {
		case <-ended:
		case <-time.After(stepTimeout):
			t.Error("the engine does not end")
		}
	})
	return e
}

// Client asks through a front end: one request of a class, given up after timeout, its id unique. It returns how the
// request ended for it, with the answer's bytes if it was served. An error is a connection that ended without a
// whole answer. When ctx ends, it leaves.
type Client func(ctx context.Context, id, class string, timeout time.Duration) (engine.Outcome, []byte, error)

// Frontend is a front end under test.
type Frontend struct {
	// Start puts the front end before an engine until the test ends and gives a client for it.
	Start func(t *testing.T, e *engine.Engine) Client
	// Answer is what its upstream would give for a body, and Stream for a long one that breaks off if broken is set.
	Response func(body []byte) any
	Stream   func(body []byte, broken bool) engine.Stream
	// Most is the longest answer that its protocol can hold, in bytes; 0 is any.
	MaxResponseBytes int
}

// Test runs a front end against all that it must bear.
func (f Frontend) Test(t *testing.T) {
	ask := func(t *testing.T, timeout time.Duration, class string, next func(int, engine.Attempt) Step) (engine.Outcome, []byte, error) {
		t.Helper()
		s := &Script{Next: next}
		client := f.Start(t, Start(t, s, s.List()))
		return client(context.Background(), "one", class, timeout)
	}
	always := func(r Step) func(int, engine.Attempt) Step { return func(int, engine.Attempt) Step { return r } }
	t.Run("served", func(t *testing.T) {
		end, body, err := ask(t, 2*time.Second, "unsafe", always(Step{Response: f.Response([]byte("the answer"))}))
		if err != nil || end != engine.Served || string(body) != "the answer" {
			t.Errorf("%v %q %v", end, body, err)
		}
	})
	t.Run("refused", func(t *testing.T) {
		if end, _, err := ask(t, 2*time.Second, "unsafe", always(Step{Result: decision.Rejected})); err != nil || end != engine.Rejected {
			t.Errorf("%v %v", end, err)
		}
	})
	t.Run("failed", func(t *testing.T) {
		if end, _, err := ask(t, 2*time.Second, "unsafe", always(Step{Result: decision.Reset})); err != nil || end != engine.Failed {
			t.Errorf("%v %v", end, err)
		}
	})
	t.Run("a stalled server", func(t *testing.T) {
		began := time.Now()
		end, _, err := ask(t, 300*time.Millisecond, "unsafe", always(Step{Delay: time.Hour}))
		if took := time.Since(began); err != nil || end != engine.Failed || took > stepTimeout/2 {
			t.Errorf("%v %v after %v", end, err, took)
		}
	})
	t.Run("an outcome after the end", func(t *testing.T) {
		late := f.Response([]byte("late"))
		end, _, err := ask(t, 200*time.Millisecond, "unsafe", always(Step{Delay: 400 * time.Millisecond, IgnoresCancel: true, Response: late}))
		if err != nil || end != engine.Failed {
			t.Errorf("%v %v", end, err)
		}
	})
	t.Run("a long answer", func(t *testing.T) {
		n := 300 << 10
		if f.MaxResponseBytes > 0 {
			n = min(n, f.MaxResponseBytes)
		}
		long := make([]byte, n)
		for i := range long {
			long[i] = byte(i * 7)
		}
		end, body, err := ask(t, 2*time.Second, "safe", func(int, engine.Attempt) Step {
			return Step{Stream: func() engine.Stream { return f.Stream(long, false) }}
		})
		if err != nil || end != engine.Served || string(body) != string(long) {
			t.Errorf("%v, %d bytes, %v", end, len(body), err)
		}
	})
	t.Run("a long answer that breaks off", func(t *testing.T) {
		end, body, err := ask(t, 2*time.Second, "safe", func(int, engine.Attempt) Step {
			return Step{Stream: func() engine.Stream { return f.Stream(make([]byte, 300<<10), true) }}
		})
		if err == nil && end == engine.Served {
			t.Errorf("the client cannot tell that it is not whole: %v, %d bytes", end, len(body))
		}
	})
	t.Run("answers race the deadline", func(t *testing.T) {
		const timeout = 60 * time.Millisecond
		s := &Script{Next: func(n int, _ engine.Attempt) Step {
			return Step{Delay: timeout - 20*time.Millisecond + time.Duration(n%40)*time.Millisecond, IgnoresCancel: n%2 == 0, Response: f.Response([]byte("x"))}
		}}
		f.oneEach(t, s, 120, timeout, 0)
	})
	t.Run("clients leave as answers come", func(t *testing.T) {
		s := &Script{Next: func(n int, _ engine.Attempt) Step {
			return Step{Delay: time.Duration(n%20) * time.Millisecond, Response: f.Response([]byte("x"))}
		}}
		f.oneEach(t, s, 120, 2*time.Second, 10*time.Millisecond)
	})
}

// oneEach asks so many times at once; each must have just one end. Every second client leaves after leave, if that
// is above 0; the others must be answered.
func (f Frontend) oneEach(t *testing.T, s *Script, n int, timeout, leave time.Duration) {
	t.Helper()
	client := f.Start(t, Start(t, s, s.List()))
	var all sync.WaitGroup
	for i := range n {
		all.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
			defer cancel()
			leaves := leave > 0 && i%2 == 0
			if leaves {
				time.AfterFunc(leave+time.Duration(i%5)*time.Millisecond, cancel)
			}
			end, body, err := client(ctx, fmt.Sprintf("r%d", i), Classes[i%2].Name, timeout)
			switch {
			case err != nil && !leaves:
				t.Errorf("request %d has no answer: %v", i, err)
			case err == nil && end == engine.Served && string(body) != "x":
				t.Errorf("request %d was served %q", i, body)
			}
		})
	}
	all.Wait()
	if s.Attempts() > 3*n {
		t.Errorf("%d attempts for %d requests", s.Attempts(), n)
	}
	// The engine lives on.
	for try := 0; ; try++ {
		end, _, err := client(context.Background(), fmt.Sprintf("after%d", try), "safe", 2*time.Second)
		if err == nil && end == engine.Served {
			return
		}
		if try > 20 {
			t.Fatalf("afterwards: %v %v", end, err)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// BodyReader is a reader that gives a body and then an error, if it is to break off in the midst.
func BodyReader(body []byte, broken bool) io.Reader {
	if !broken {
		return &reader{rest: body, end: io.EOF}
	}
	return &reader{rest: body[:len(body)/2], end: errors.New("the server broke off")}
}

type reader struct {
	rest []byte
	end  error
}

func (r *reader) Read(p []byte) (int, error) {
	if len(r.rest) == 0 {
		return 0, r.end
	}
	n := copy(p, r.rest)
	r.rest = r.rest[n:]
	return n, nil
}

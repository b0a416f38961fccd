package enginetest

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"sync"
	"testing"
	"time"

	"lapisspread/decision"
	"lapisspread/internal/engine"
)

// stepTimeout is longer than any step of the kit takes on a machine that is merely busy.
const stepTimeout = 20 * time.Second

// Classes are the request classes of the engines that the kit makes: "safe" is idempotent, "unsafe" is not.
var Classes = []decision.Class{
	{
		Name: "safe", Idempotency: decision.Idempotent, PriorityWeight: 1, LateValueShare: 0.5,
		LatencyObjective: time.Second, ClientTimeout: 3 * time.Second,
	},
	{
		Name: "unsafe", Idempotency: decision.NotIdempotent, PriorityWeight: 1, LateValueShare: 0.5,
		LatencyObjective: time.Second, ClientTimeout: 3 * time.Second,
	},
}

// Config returns the settings of the engines that the kit makes.
func Config() decision.Config {
	return decision.Config{
		Instances:        1,
		Tick:             2 * time.Millisecond,
		ObjectiveWeights: decision.ObjectiveWeights{Overall: 1},
		Classes:          Classes,
		Tenants:          []decision.Tenant{{Name: "t", Share: 1, QuotaPerSecond: 1000}},
		Constraints: decision.Constraints{
			AnswerSlack:     20 * time.Millisecond,
			DrainGrace:      500 * time.Millisecond,
			OverloadWindow:  time.Second,
			OverloadFactor:  3,
			InitialCapacity: 0.3,
			WarmUp:          time.Second,
		},
		Capabilities: decision.Capabilities{
			Cancel:                true,
			RetryAfter:            true,
			ConnectTimeout:        200 * time.Millisecond,
			ConnectionIdleTimeout: time.Minute,
			MaxAttempts:           3,
			MaxRetryAfter:         time.Second,
			StreamsPerConnection:  1,
			MaxOpenRequests:       1000,
		},
	}
}

// Step is what a scripted backend does with one attempt.
type Step struct {
	Delay         time.Duration        // passes first
	Result        decision.Result      // ends the attempt
	Response      any                  // with decision.OK
	Stream        func() engine.Stream // begins a streamed response instead; nil is none
	IgnoresCancel bool                 // the attempt goes on after its context has ended
}

// Script is an upstream whose backends do what Next says. It is safe for concurrent use.
type Script struct {
	// Next returns what becomes of attempt n; attempts count from 0.
	Next func(n int, a engine.Attempt) Step

	mu       sync.Mutex
	attempts int
}

// Attempts returns how many attempts there were.
func (s *Script) Attempts() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.attempts
}

// List names the script's backends.
func (s *Script) List() engine.EndpointList {
	return engine.EndpointList{Version: 1, Full: true, Endpoints: []engine.Endpoint{
		{ID: "a", Addr: "127.0.0.1:1", State: decision.Ready, Weight: 1},
		{ID: "b", Addr: "127.0.0.1:1", State: decision.Ready, Weight: 1},
	}}
}

// Update implements engine.Upstream.
func (s *Script) Update(engine.EndpointList) {}

// Release implements engine.Upstream.
func (s *Script) Release(decision.BackendID) {}

// Find implements engine.Upstream.
func (s *Script) Find(decision.BackendID) engine.Backend { return s }

// CheckHealth implements engine.Backend: every check passes.
func (s *Script) CheckHealth(context.Context) decision.Result { return decision.OK }

// Exchange implements engine.Backend by the next step.
func (s *Script) Exchange(ctx context.Context, a engine.Attempt) (decision.Result, any) {
	s.mu.Lock()
	n := s.attempts
	s.attempts++
	s.mu.Unlock()
	step := s.Next(n, a)
	timer := time.NewTimer(step.Delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		if step.IgnoresCancel {
			<-timer.C
			break
		}
		return resultOfEnd(ctx), nil
	}
	if step.Stream != nil {
		return stream(ctx, a, step.Stream()), nil
	}
	return step.Result, step.Response
}

// stream passes a streamed response on until the attempt's context ends. A response that came too late is no success:
// the engine would take it for a complete one without a body.
func stream(ctx context.Context, a engine.Attempt, s engine.Stream) decision.Result {
	if !a.StartStream(s) {
		return decision.Cancelled
	}
	<-ctx.Done()
	if result := resultOfEnd(ctx); result == decision.Timeout {
		return result
	}
	return decision.OK
}

// resultOfEnd is the result of an attempt whose context has ended.
func resultOfEnd(ctx context.Context) decision.Result {
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return decision.Timeout
	}
	return decision.Cancelled
}

// silentSource is a source that never delivers a list.
type silentSource struct{}

// Addr implements engine.Source.
func (silentSource) Addr() string { return "quiet" }

// Close implements engine.Source.
func (silentSource) Close() {}

// Fetch implements engine.Source.
func (silentSource) Fetch(ctx context.Context) (engine.EndpointList, error) {
	<-ctx.Done()
	return engine.EndpointList{}, ctx.Err()
}

// Watch implements engine.Source.
func (silentSource) Watch(ctx context.Context, _ uint32, _ func(engine.EndpointList)) error {
	<-ctx.Done()
	return ctx.Err()
}

// Start runs an engine with an upstream until the test ends.
func Start(t *testing.T, up engine.Upstream, list engine.EndpointList) *engine.Engine {
	t.Helper()
	e, err := engine.New(engine.Options{
		Decision:         Config(),
		Seed:             1,
		InitialEndpoints: list,
		Upstream:         up,
		Source:           silentSource{},
		Log:              slog.New(slog.DiscardHandler),
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		e.Run(ctx)
		close(ended)
	}()
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

// errBrokeOff is how a body of BodyReader that breaks off ends.
var errBrokeOff = errors.New("the server broke off")

// BodyReader returns a reader of a body; if broken is set, it returns half of the body and then an error.
func BodyReader(body []byte, broken bool) io.Reader {
	if !broken {
		return &bodyReader{rest: body, end: io.EOF}
	}
	return &bodyReader{rest: body[:len(body)/2], end: errBrokeOff}
}

type bodyReader struct {
	rest []byte
	end  error
}

// Read implements io.Reader.
func (r *bodyReader) Read(p []byte) (int, error) {
	if len(r.rest) == 0 {
		return 0, r.end
	}
	n := copy(p, r.rest)
	r.rest = r.rest[n:]
	return n, nil
}

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

// stepTimeout is longer than any step of a test takes, even on a busy machine.
const stepTimeout = 20 * time.Second

// Classes are the request classes of the engines that this package creates: "safe" is idempotent, "unsafe" is not.
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

// Config returns the settings of the engines that this package creates.
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
	Delay         time.Duration        // time before the attempt ends or its stream starts
	Result        decision.Result      // result of the attempt
	Response      any                  // response, with the result decision.OK
	Stream        func() engine.Stream // if set, makes a streamed response, used in place of Result and Response
	IgnoresCancel bool                 // whether the attempt waits for Delay even after its context has ended
}

// Script is an upstream whose backends handle each attempt by the Step that Next returns. It is safe for concurrent
// use.
type Script struct {
	// Next returns the step for attempt n; attempts count from 0. It may be called concurrently.
	Next func(n int, a engine.Attempt) Step

	mu       sync.Mutex
	attempts int
}

// Attempts returns the number of attempts so far.
func (s *Script) Attempts() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.attempts
}

// List returns the full list of the script's backends.
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

// Exchange implements engine.Backend. It carries out the step that Next returns for the attempt.
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
		return endedContextResult(ctx), nil
	}
	if step.Stream != nil {
		return stream(ctx, a, step.Stream()), nil
	}
	return step.Result, step.Response
}

// stream passes a streamed response to the engine and blocks until the attempt's context ends. If the engine refuses
// the stream because it came too late, the result is not decision.OK: the engine would take that for a complete
// response without a body.
func stream(ctx context.Context, a engine.Attempt, s engine.Stream) decision.Result {
	if !a.StartStream(s) {
		return decision.Cancelled
	}
	<-ctx.Done()
	if result := endedContextResult(ctx); result == decision.Timeout {
		return result
	}
	return decision.OK
}

// endedContextResult returns the result of an attempt whose context has ended.
func endedContextResult(ctx context.Context) decision.Result {
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

// Start creates an engine with an upstream and an endpoint list, and runs it until the test ends.
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
		t.Fatalf("engine.New failed: %v", err)
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
			t.Errorf("Engine.Run did not return within %v after its context ended", stepTimeout)
		}
	})
	return e
}

// errBrokeOff is the error at the end of a broken body of BodyReader.
var errBrokeOff = errors.New("the server broke off")

// BodyReader returns a reader of a body. If broken is set, the reader returns the first half of the body and then an
// error.
func BodyReader(body []byte, broken bool) io.Reader {
	if !broken {
		return &bodyReader{rest: body, end: io.EOF}
	}
	return &bodyReader{rest: body[:len(body)/2], end: errBrokeOff}
}

// bodyReader returns rest and then the error end.
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

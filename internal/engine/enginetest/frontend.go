package enginetest

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"lapisspread/decision"
	"lapisspread/internal/engine"
)

const (
	// longBody is the length in bytes of a streamed response.
	longBody = 300 << 10
	// clientTimeout is the timeout of requests that are expected to end before it.
	clientTimeout = 2 * time.Second
	// racingRequests is the number of concurrent requests in the tests of races.
	racingRequests = 120
	// maxRecoveryTries is the maximum number of repeats until a request is served after a race.
	maxRecoveryTries = 20
)

// Client sends one request of a class to a front end, with a unique ID and a timeout, and blocks until the request has
// ended. It returns the outcome that the client sees and, if the request was served, the bytes of the response. It
// returns an error if the connection ended without a complete response. When ctx ends, the client leaves.
type Client func(ctx context.Context, id, class string, timeout time.Duration) (engine.Outcome, []byte, error)

// Frontend is a front end under test.
type Frontend struct {
	// Start runs the front end with an engine until the test ends. It returns a client of the front end.
	Start func(t *testing.T, e *engine.Engine) Client
	// Response returns a response with a body, in the form that the front end's upstream returns.
	Response func(body []byte) any
	// Stream returns a streamed response with a body; if broken is set, the response breaks off halfway.
	Stream func(body []byte, broken bool) engine.Stream
	// MaxResponseBytes is the maximum length of a response in the front end's protocol; 0 means no limit.
	MaxResponseBytes int
}

// Test runs all conformance tests of the front end as subtests.
func (f Frontend) Test(t *testing.T) {
	for _, c := range []struct {
		name string
		run  func(t *testing.T)
	}{
		{"served", f.testServed},
		{"rejected", f.testRejected},
		{"failed", f.testFailed},
		{"stalled backend", f.testStalledBackend},
		{"attempt ends after its request", f.testLateAttempt},
		{"streamed response", f.testStream},
		{"streamed response breaks off", f.testBrokenStream},
		{"responses race the deadline", f.testResponsesRaceDeadline},
		{"clients leave while responses arrive", f.testClientsLeave},
	} {
		t.Run(c.name, c.run)
	}
}

// sendOne starts the front end with an upstream that handles each attempt by step, and sends one request.
func (f Frontend) sendOne(
	t *testing.T, timeout time.Duration, class string, step Step,
) (engine.Outcome, []byte, error) {
	t.Helper()
	s := &Script{Next: func(int, engine.Attempt) Step { return step }}
	client := f.Start(t, Start(t, s, s.List()))
	return client(context.Background(), "one", class, timeout)
}

func (f Frontend) testServed(t *testing.T) {
	outcome, body, err := f.sendOne(t, clientTimeout, "unsafe", Step{Response: f.Response([]byte("the answer"))})
	if err != nil || outcome != engine.Served || string(body) != "the answer" {
		t.Errorf("request to a serving backend: outcome %v, body %q, error %v, want %v, %q and no error",
			outcome, body, err, engine.Served, "the answer")
	}
}

func (f Frontend) testRejected(t *testing.T) {
	outcome, _, err := f.sendOne(t, clientTimeout, "unsafe", Step{Result: decision.Rejected})
	if err != nil || outcome != engine.Rejected {
		t.Errorf("request to a rejecting backend: outcome %v, error %v, want %v and no error",
			outcome, err, engine.Rejected)
	}
}

func (f Frontend) testFailed(t *testing.T) {
	outcome, _, err := f.sendOne(t, clientTimeout, "unsafe", Step{Result: decision.Reset})
	if err != nil || outcome != engine.Failed {
		t.Errorf("request whose connection is reset: outcome %v, error %v, want %v and no error",
			outcome, err, engine.Failed)
	}
}

func (f Frontend) testStalledBackend(t *testing.T) {
	startedAt := time.Now()
	outcome, _, err := f.sendOne(t, 300*time.Millisecond, "unsafe", Step{Delay: time.Hour})
	if elapsed := time.Since(startedAt); err != nil || outcome != engine.Failed || elapsed > stepTimeout/2 {
		t.Errorf("request with a timeout of 300 ms to a stalled backend: outcome %v, error %v after %v, "+
			"want %v and no error within %v", outcome, err, elapsed, engine.Failed, stepTimeout/2)
	}
}

func (f Frontend) testLateAttempt(t *testing.T) {
	late := Step{Delay: 400 * time.Millisecond, IgnoresCancel: true, Response: f.Response([]byte("late"))}
	outcome, _, err := f.sendOne(t, 200*time.Millisecond, "unsafe", late)
	if err != nil || outcome != engine.Failed {
		t.Errorf("request whose attempt responds 200 ms after its timeout: outcome %v, error %v, want %v and no error",
			outcome, err, engine.Failed)
	}
}

func (f Frontend) testStream(t *testing.T) {
	length := longBody
	if f.MaxResponseBytes > 0 {
		length = min(length, f.MaxResponseBytes)
	}
	want := make([]byte, length)
	for i := range want {
		want[i] = byte(i * 7)
	}
	step := Step{Stream: func() engine.Stream { return f.Stream(want, false) }}
	outcome, body, err := f.sendOne(t, clientTimeout, "safe", step)
	if err != nil || outcome != engine.Served || string(body) != string(want) {
		t.Errorf("request with a streamed response: outcome %v, %d bytes, error %v, want %v and the %d bytes streamed",
			outcome, len(body), err, engine.Served, len(want))
	}
}

func (f Frontend) testBrokenStream(t *testing.T) {
	step := Step{Stream: func() engine.Stream { return f.Stream(make([]byte, longBody), true) }}
	outcome, body, err := f.sendOne(t, clientTimeout, "safe", step)
	if err == nil && outcome == engine.Served {
		t.Errorf("request whose streamed response breaks off: outcome %v, %d bytes, no error, "+
			"want an error or another outcome", outcome, len(body))
	}
}

func (f Frontend) testResponsesRaceDeadline(t *testing.T) {
	const timeout = 60 * time.Millisecond
	s := &Script{Next: func(n int, _ engine.Attempt) Step {
		return Step{
			Delay:         timeout - 20*time.Millisecond + time.Duration(n%40)*time.Millisecond,
			IgnoresCancel: n%2 == 0,
			Response:      f.Response([]byte("x")),
		}
	}}
	f.testSingleResult(t, s, timeout, 0)
}

func (f Frontend) testClientsLeave(t *testing.T) {
	s := &Script{Next: func(n int, _ engine.Attempt) Step {
		return Step{Delay: time.Duration(n%20) * time.Millisecond, Response: f.Response([]byte("x"))}
	}}
	f.testSingleResult(t, s, clientTimeout, 10*time.Millisecond)
}

// testSingleResult sends racingRequests requests at the same time. If leaveAfter is above 0, every second client leaves
// after about that time. All other clients must get a response, each response that is served must be "x", and there
// must be at most three attempts per request on average. After that the front end must still serve requests.
func (f Frontend) testSingleResult(t *testing.T, s *Script, timeout, leaveAfter time.Duration) {
	t.Helper()
	client := f.Start(t, Start(t, s, s.List()))
	var requests sync.WaitGroup
	for i := range racingRequests {
		requests.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
			defer cancel()
			leaves := leaveAfter > 0 && i%2 == 0
			if leaves {
				time.AfterFunc(leaveAfter+time.Duration(i%5)*time.Millisecond, cancel)
			}
			outcome, body, err := client(ctx, fmt.Sprintf("r%d", i), Classes[i%2].Name, timeout)
			switch {
			case err != nil && !leaves:
				t.Errorf("request %d: error %v, want a response, since its client does not leave", i, err)
			case err == nil && outcome == engine.Served && string(body) != "x":
				t.Errorf("request %d: served with body %q, want %q", i, body, "x")
			}
		})
	}
	requests.Wait()
	if s.Attempts() > 3*racingRequests {
		t.Errorf("%d attempts for %d requests, want at most %d", s.Attempts(), racingRequests, 3*racingRequests)
	}
	awaitServed(t, client)
}

// awaitServed sends requests one after another until one is served. It fails the test if none is served within
// maxRecoveryTries repeats.
func awaitServed(t *testing.T, client Client) {
	t.Helper()
	for try := 0; ; try++ {
		outcome, _, err := client(context.Background(), fmt.Sprintf("after%d", try), "safe", clientTimeout)
		if err == nil && outcome == engine.Served {
			return
		}
		if try > maxRecoveryTries {
			t.Fatalf("request after the race, repeated %d times: outcome %v, error %v, want %v",
				try, outcome, err, engine.Served)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

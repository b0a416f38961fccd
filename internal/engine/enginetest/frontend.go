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
	// clientTimeout is the timeout of requests that are to end before it.
	clientTimeout = 2 * time.Second
	// racingRequests is how many requests are made at once where ends race.
	racingRequests = 120
	// maxRecoveryTries bounds the requests until one is served after a race.
	maxRecoveryTries = 20
)

// Client sends one request of a class by a front end, with a unique ID and a timeout, and blocks until it has ended. It
// returns the outcome that the client sees and the bytes of the response if it was served. An error is a connection
// that ended without a complete response. When ctx ends, the client leaves.
type Client func(ctx context.Context, id, class string, timeout time.Duration) (engine.Outcome, []byte, error)

// Frontend is a front end under test.
type Frontend struct {
	// Start runs the front end with an engine until the test ends and returns a client of it.
	Start func(t *testing.T, e *engine.Engine) Client
	// Response is the response of its upstream for a body.
	Response func(body []byte) any
	// Stream is a streamed response for a body; it breaks off halfway if broken is set.
	Stream func(body []byte, broken bool) engine.Stream
	// MaxResponseBytes is the longest response that its protocol can hold; 0 is any.
	MaxResponseBytes int
}

// Test runs the front end through all that it must bear, as subtests.
func (f Frontend) Test(t *testing.T) {
	for _, c := range []struct {
		name string
		run  func(t *testing.T)
	}{
		{"served", f.testServed},
		{"rejected", f.testRejected},
		{"failed", f.testFailed},
		{"a stalled backend", f.testStalledBackend},
		{"an attempt that ends after its request", f.testLateAttempt},
		{"a streamed response", f.testStream},
		{"a streamed response that breaks off", f.testBrokenStream},
		{"responses race the deadline", f.testResponsesRaceDeadline},
		{"clients leave as responses come", f.testClientsLeave},
	} {
		t.Run(c.name, c.run)
	}
}

// ask starts the front end with a scripted upstream and sends one request.
func (f Frontend) ask(t *testing.T, timeout time.Duration, class string, step Step) (engine.Outcome, []byte, error) {
	t.Helper()
	s := &Script{Next: func(int, engine.Attempt) Step { return step }}
	client := f.Start(t, Start(t, s, s.List()))
	return client(context.Background(), "one", class, timeout)
}

func (f Frontend) testServed(t *testing.T) {
	outcome, body, err := f.ask(t, clientTimeout, "unsafe", Step{Response: f.Response([]byte("the answer"))})
	if err != nil || outcome != engine.Served || string(body) != "the answer" {
		t.Errorf("%v %q %v", outcome, body, err)
	}
}

func (f Frontend) testRejected(t *testing.T) {
	outcome, _, err := f.ask(t, clientTimeout, "unsafe", Step{Result: decision.Rejected})
	if err != nil || outcome != engine.Rejected {
		t.Errorf("%v %v", outcome, err)
	}
}

func (f Frontend) testFailed(t *testing.T) {
	outcome, _, err := f.ask(t, clientTimeout, "unsafe", Step{Result: decision.Reset})
	if err != nil || outcome != engine.Failed {
		t.Errorf("%v %v", outcome, err)
	}
}

func (f Frontend) testStalledBackend(t *testing.T) {
	began := time.Now()
	outcome, _, err := f.ask(t, 300*time.Millisecond, "unsafe", Step{Delay: time.Hour})
	if took := time.Since(began); err != nil || outcome != engine.Failed || took > stepTimeout/2 {
		t.Errorf("%v %v after %v", outcome, err, took)
	}
}

func (f Frontend) testLateAttempt(t *testing.T) {
	late := Step{Delay: 400 * time.Millisecond, IgnoresCancel: true, Response: f.Response([]byte("late"))}
	outcome, _, err := f.ask(t, 200*time.Millisecond, "unsafe", late)
	if err != nil || outcome != engine.Failed {
		t.Errorf("%v %v", outcome, err)
	}
}

func (f Frontend) testStream(t *testing.T) {
	length := longBody
	if f.MaxResponseBytes > 0 {
		length = min(length, f.MaxResponseBytes)
	}
	long := make([]byte, length)
	for i := range long {
		long[i] = byte(i * 7)
	}
	step := Step{Stream: func() engine.Stream { return f.Stream(long, false) }}
	outcome, body, err := f.ask(t, clientTimeout, "safe", step)
	if err != nil || outcome != engine.Served || string(body) != string(long) {
		t.Errorf("%v, %d bytes, %v", outcome, len(body), err)
	}
}

func (f Frontend) testBrokenStream(t *testing.T) {
	step := Step{Stream: func() engine.Stream { return f.Stream(make([]byte, longBody), true) }}
	outcome, body, err := f.ask(t, clientTimeout, "safe", step)
	if err == nil && outcome == engine.Served {
		t.Errorf("the client cannot see that the response is not complete: %v, %d bytes", outcome, len(body))
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
	f.testOneEndEach(t, s, timeout, 0)
}

func (f Frontend) testClientsLeave(t *testing.T) {
	s := &Script{Next: func(n int, _ engine.Attempt) Step {
		return Step{Delay: time.Duration(n%20) * time.Millisecond, Response: f.Response([]byte("x"))}
	}}
	f.testOneEndEach(t, s, clientTimeout, 10*time.Millisecond)
}

// testOneEndEach makes racingRequests at once; each must have just one end. Every second client leaves after leave, if
// that is above 0; the others must get a response. Then the engine must serve on.
func (f Frontend) testOneEndEach(t *testing.T, s *Script, timeout, leave time.Duration) {
	t.Helper()
	client := f.Start(t, Start(t, s, s.List()))
	var requests sync.WaitGroup
	for i := range racingRequests {
		requests.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
			defer cancel()
			leaves := leave > 0 && i%2 == 0
			if leaves {
				time.AfterFunc(leave+time.Duration(i%5)*time.Millisecond, cancel)
			}
			outcome, body, err := client(ctx, fmt.Sprintf("r%d", i), Classes[i%2].Name, timeout)
			switch {
			case err != nil && !leaves:
				t.Errorf("request %d has no response: %v", i, err)
			case err == nil && outcome == engine.Served && string(body) != "x":
				t.Errorf("request %d was served %q", i, body)
			}
		})
	}
	requests.Wait()
	if s.Attempts() > 3*racingRequests {
		t.Errorf("%d attempts for %d requests", s.Attempts(), racingRequests)
	}
	awaitServed(t, client)
}

// awaitServed fails the test unless a request is served soon.
func awaitServed(t *testing.T, client Client) {
	t.Helper()
	for try := 0; ; try++ {
		outcome, _, err := client(context.Background(), fmt.Sprintf("after%d", try), "safe", clientTimeout)
		if err == nil && outcome == engine.Served {
			return
		}
		if try > maxRecoveryTries {
			t.Fatalf("afterwards: %v %v", outcome, err)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

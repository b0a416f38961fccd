package engine

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"lapisspread/decision"
)

// scriptedUpload is an Upload whose client has written its last byte at writtenAt, and whose last byte the proxy reads
// only if the test says so.
type scriptedUpload struct {
	clock     Clock
	writtenAt time.Time
	complete  atomic.Bool
	cut       atomic.Bool
}

func (u *scriptedUpload) IncompleteAt() time.Duration {
	return min(u.clock.Now(), u.clock.At(u.writtenAt))
}

func (u *scriptedUpload) Cut() bool {
	u.cut.Store(!u.complete.Load())
	return u.cut.Load()
}

// deafUpstream is an upstream whose attempts do not end before release is closed, whatever their context says.
type deafUpstream struct {
	stuckUpstream
	release chan struct{}
}

func (u deafUpstream) Find(decision.BackendID) Backend { return u }

func (u deafUpstream) Exchange(context.Context, Attempt) (decision.Result, any) {
	<-u.release
	return decision.Cancelled, nil
}

// startDeafEngine runs an engine whose attempts do not end, until the returned function is called.
func startDeafEngine(t *testing.T) (e *Engine, stop func()) {
	t.Helper()
	upstream := deafUpstream{release: make(chan struct{})}
	e, err := New(Options{
		Decision: testConfig(), Seed: 1, Upstream: upstream, Source: stuckUpstream{}, InitialEndpoints: testEndpoints(),
	})
	if err != nil {
		t.Fatalf("New failed: %v", err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { e.Run(ctx); close(ended) }()
	return e, func() {
		cancel()
		close(upstream.release)
		<-ended
	}
}

// uploadResult submits a request whose client writes for a time and whose backend then never takes the rest, and
// returns its result and the time from the client's last byte to it. finished says that the proxy reads the last byte.
func uploadResult(t *testing.T, writing, timeout time.Duration, finished bool) (Result, time.Duration) {
	t.Helper()
	e, stop := startDeafEngine(t)
	u := &scriptedUpload{clock: e.Clock(), writtenAt: time.Now().Add(writing)}
	r := &Request{Class: 1, Timeout: timeout, Upload: u, Message: message{}}
	r.Init()
	e.Post(func() { e.Submit(r) })
	if finished {
		time.AfterFunc(writing, func() {
			u.complete.Store(true)
			e.Post(func() { e.BodyComplete(r) })
		})
	}
	result := <-r.Result()
	after := time.Since(u.writtenAt)
	stop()
	return result, after
}

// Guards against answers that come seconds after a client's time because its backend takes nothing more of a long body:
// the last bytes lie unread, and the deadline counts all the same from when the client can have written them. A client
// that still writes has its whole time.
func TestUploadEndsAtItsClientsDeadline(t *testing.T) {
	const timeout = 300 * time.Millisecond
	for name, c := range map[string]struct {
		writing  time.Duration
		finished bool
		want     Outcome
	}{
		"last byte written at once, not read":    {0, false, Rejected},
		"last byte written later, not read":      {7 * timeout, false, Rejected},
		"last byte written later, read and sent": {7 * timeout, true, Failed},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				result, after := uploadResult(t, c.writing, timeout, c.finished)
				if result.Outcome != c.want {
					t.Errorf("outcome = %v, want %v", result.Outcome, c.want)
				}
				// The bubble's clock moves only while everything waits, so that this is no measurement.
				if after < timeout || after > timeout+deadlineGrace {
					t.Errorf("result %v after the client's last byte, want %v and at most %v more", after, timeout, deadlineGrace)
				}
			})
		})
	}
}

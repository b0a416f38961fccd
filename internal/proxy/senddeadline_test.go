package proxy

import (
	"bufio"
	"context"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"lapisspread/decision"
	"lapisspread/internal/engine"
)

// A connection is established after its attempt is no longer allowed: no byte is sent, and the result is NotSent.
// The check is made after the dial.
func TestNothingIsSentOnLateConnection(t *testing.T) {
	received := make(chan int64, 1)
	addr := rawBackend(t, func(_ int, _ net.Conn, in *bufio.Reader) {
		n, _ := io.Copy(io.Discard, in)
		received <- n
	})
	p, _ := testPool(t, addr)
	dialed := false // set once the dial has returned
	dial := p.dialer
	p.dialer = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		dialed = true
		return c, err
	}
	for name, m := range map[string]*message{
		"short body": testMessage("POST", []byte("body")),
		"no body":    testMessage("GET", nil),
	} {
		dialed = false
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second) // bounds the test if the request is sent after all
		a := engine.Attempt{Message: m, Timeout: time.Second, MaySend: func() (time.Time, bool) {
			return time.Time{},
				!dialed
		}}
		if result, _ := p.Find(backendID("a")).Exchange(ctx, a); result != decision.NotSent {
			t.Errorf("%s: Exchange() = %s, want NotSent", name, resultName(result))
		}
		cancel()
		if n := within(t, received, "the backend connection was not closed"); n != 0 {
			t.Errorf("%s: backend got %d bytes, want 0", name, n)
		}
	}
	if n := p.attempts.Load(); n != 0 {
		t.Errorf("%d attempts counted as written, want 0", n)
	}
}

// An attempt that is no longer allowed on an idle connection is not tried on another connection.
func TestDisallowedAttemptIsNotSentElsewhere(t *testing.T) {
	requests := make(chan bool, 8)
	addr := rawBackend(t, func(_ int, c net.Conn, in *bufio.Reader) {
		for readRequest(in) {
			requests <- true
			writeText(c, served)
		}
	})
	p, b := testPool(t, addr)
	if result, _ := p.exchange(t.Context(), b, testMessage("GET", nil)); result != decision.OK {
		t.Fatalf("first exchange() = %s, want OK", resultName(result))
	}
	checks := 0
	a := engine.Attempt{Message: testMessage("GET", nil), Timeout: time.Second, MaySend: func() (time.Time,
		bool) {
		checks++
		return time.Time{}, false
	}}
	if result, _ := p.Find(backendID("a")).Exchange(t.Context(), a); result != decision.NotSent || checks != 1 {
		t.Errorf("Exchange() = %s after %d calls of MaySend, want NotSent after 1", resultName(result), checks)
	}
	if len(requests) != 1 {
		t.Errorf("%d requests reached the backend, want only the first", len(requests))
	}
}

// The deduplication window of a retry ends while the retry is being written to a backend that does not read. Its last
// byte is not sent after that, so the request can't have run.
func TestRetryIsNotWrittenPastItsDeadline(t *testing.T) {
	setSmallBuffer := func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF,
				4096)
		})
	}
	listener, err := (&net.ListenConfig{Control: setSmallBuffer}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listening with a small receive buffer: %v", err)
	}
	defer func() { _ = listener.Close() }()
	read, complete := make(chan bool), make(chan bool, 1)
	go serveRaw(listener, func(_ int, _ net.Conn, in *bufio.Reader) {
		<-read
		complete <- readRequest(in)
	})
	p, _ := testPool(t, listener.Addr().String())
	dial := p.dialer
	p.dialer = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err == nil {
			_ = c.(*net.TCPConn).SetWriteBuffer(4096)
		}
		return c, err
	}
	a := engine.Attempt{Message: testMessage("POST", make([]byte, maxBufferedBody)), Timeout: patience,
		MaySend: func() (time.Time, bool) { return time.Now().Add(30 * time.Millisecond), true }}
	ended := make(chan decision.Result, 1)
	go func() {
		result, _ := p.Find(backendID("a")).Exchange(t.Context(), a)
		ended <- result
	}()
	var result decision.Result
	select {
	case result = <-ended:
		close(read)
	case <-time.After(2 * time.Second): // the request is still being written
		close(read)
		result = within(t, ended, "Exchange() did not return")
	}
	if !result.NeverRan() {
		t.Errorf("Exchange() past the send deadline = %s, want a result that proves that the request did not run",
			resultName(result))
	}
	if within(t, complete, "the backend connection was not closed") {
		t.Error("the backend got the complete request after its send deadline")
	}
}

// The send deadline applies only to the request's bytes: the response may take longer.
func TestResponseMayComeAfterSendDeadline(t *testing.T) {
	expired := make(chan bool)
	addr := rawBackend(t, func(_ int, c net.Conn, in *bufio.Reader) {
		if readRequest(in) {
			<-expired
			writeText(c, served)
		}
	})
	p, _ := testPool(t, addr)
	maySend := func() (time.Time, bool) {
		deadline := time.Now().Add(time.Second)
		time.AfterFunc(time.Until(deadline)+10*time.Millisecond, func() { close(expired) })
		return deadline, true
	}
	a := engine.Attempt{Message: testMessage("POST", []byte("body")), Timeout: patience, MaySend: maySend}
	if result, body := p.Find(backendID("a")).Exchange(t.Context(), a); result != decision.OK ||
		string(body.([]byte)) != "fine" {
		t.Errorf("Exchange() with a response after the send deadline = %s, body %q; want OK, body \"fine\"",
			resultName(result), body)
	}
}

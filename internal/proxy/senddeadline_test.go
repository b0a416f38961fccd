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

// A connection comes up after its attempt is no longer allowed: not a byte is sent, and the result says so. The check
// comes after the dial.
func TestNothingIsSentOnLateConnection(t *testing.T) {
	heard := make(chan int64, 1)
	addr := rawBackend(t, func(_ int, _ net.Conn, in *bufio.Reader) {
		n, _ := io.Copy(io.Discard, in)
		heard <- n
	})
	p, _ := testPool(t, addr)
	late := false // set while the dial is held
	dial := p.dialer
	p.dialer = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		late = true
		return c, err
	}
	for name, m := range map[string]*message{
		"a short body": testMessage("POST", []byte("body")),
		"no body":      testMessage("GET", nil),
	} {
		late = false
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second) // should it go out
		a := engine.Attempt{Message: m, Timeout: time.Second, MaySend: func() (time.Time, bool) {
			return time.Time{},
				!late
		}}
		if result, _ := p.Find(backendID("a")).Exchange(ctx, a); result != decision.NotSent {
			t.Errorf("%s: ended as %v", name, result)
		}
		cancel()
		if n := within(t, heard, "the connection is not closed"); n != 0 {
			t.Errorf("%s: %d bytes went out", name, n)
		}
	}
	if n := p.attempts.Load(); n != 0 {
		t.Errorf("%d attempts count as written", n)
	}
}

// An attempt that is no longer allowed is not moved from an idle connection to another one.
func TestDisallowedAttemptIsNotSentElsewhere(t *testing.T) {
	asked := make(chan bool, 8)
	addr := rawBackend(t, func(_ int, c net.Conn, in *bufio.Reader) {
		for readRequest(in) {
			asked <- true
			writeText(c, served)
		}
	})
	p, b := testPool(t, addr)
	if result, _ := p.exchange(t.Context(), b, testMessage("GET", nil)); result != decision.OK {
		t.Fatalf("at first: %v", result)
	}
	looks := 0
	a := engine.Attempt{Message: testMessage("GET", nil), Timeout: time.Second, MaySend: func() (time.Time,
		bool) {
		looks++
		return time.Time{}, false
	}}
	if result, _ := p.Find(backendID("a")).Exchange(t.Context(), a); result != decision.NotSent || looks != 1 {
		t.Errorf("ended as %v after %d looks", result, looks)
	}
	if len(asked) != 1 {
		t.Errorf("%d requests reached the backend, want the first alone", len(asked))
	}
}

// The window of a retry ends while it is being written to a backend that does not read: its last byte is not sent after
// that, and the request never ran.
func TestRetryIsNotWrittenPastItsDeadline(t *testing.T) {
	small := func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF,
				4096)
		})
	}
	listener, err := (&net.ListenConfig{Control: small}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	read, whole := make(chan bool), make(chan bool, 1)
	go serveRaw(listener, func(_ int, _ net.Conn, in *bufio.Reader) {
		<-read
		whole <- readRequest(in)
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
	case <-time.After(2 * time.Second): // it is being written yet
		close(read)
		result = within(t, ended, "no end")
	}
	if !result.NeverRan() {
		t.Errorf("ended as %v", result)
	}
	if within(t, whole, "the backend does not see the end") {
		t.Error("the whole request went out after its window")
	}
}

// The deadline is for the request's bytes alone: the response may take longer.
func TestResponseMayComeAfterSendDeadline(t *testing.T) {
	over := make(chan bool)
	addr := rawBackend(t, func(_ int, c net.Conn, in *bufio.Reader) {
		if readRequest(in) {
			<-over
			writeText(c, served)
		}
	})
	p, _ := testPool(t, addr)
	may := func() (time.Time, bool) {
		by := time.Now().Add(time.Second)
		time.AfterFunc(time.Until(by)+10*time.Millisecond, func() { close(over) })
		return by, true
	}
	a := engine.Attempt{Message: testMessage("POST", []byte("body")), Timeout: patience, MaySend: may}
	if result, body := p.Find(backendID("a")).Exchange(t.Context(), a); result != decision.OK ||
		string(body.([]byte)) != "fine" {
		t.Errorf("ended as %v", result)
	}
}

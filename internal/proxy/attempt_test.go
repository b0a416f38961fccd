package proxy

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"lapisspread/decision"
)

// resultName returns the name of a result for failure texts.
func resultName(result decision.Result) string {
	names := map[decision.Result]string{decision.OK: "OK", decision.Error: "Error", decision.Rejected: "Rejected",
		decision.Timeout: "Timeout", decision.ConnectFailed: "ConnectFailed", decision.Reset: "Reset",
		decision.Cancelled: "Cancelled", decision.NotSent: "NotSent"}
	if name, known := names[result]; known {
		return name
	}
	return fmt.Sprintf("Result(%d)", result)
}

func TestAttemptResults(t *testing.T) {
	respond := func(text string) func(int, net.Conn, *bufio.Reader) {
		return func(_ int, c net.Conn, in *bufio.Reader) {
			if readRequest(in) {
				writeText(c, text)
			}
		}
	}
	for name, c := range map[string]struct {
		serve func(int, net.Conn, *bufio.Reader)
		want  decision.Result
	}{
		"served":     {respond(served), decision.OK},
		"status 500": {respond("HTTP/1.1 500 Oh\nContent-Length: 0\n\n"), decision.Error},
		"status 404": {respond("HTTP/1.1 404 No\nContent-Length: 0\n\n"), decision.Error},
		"503 rejected": {respond("HTTP/1.1 503 Full\nX-Not-Processed: 1\nContent-Length: 0\n\n"),
			decision.Rejected},
		"504 rejected": {respond("HTTP/1.1 504 Late\nX-Not-Processed: 1\nContent-Length: 0\n\n"),
			decision.Rejected},
		"503 without X-Not-Processed": {respond("HTTP/1.1 503 Full\nContent-Length: 0\n\n"), decision.Error},
		"connection closed after the request": {func(_ int, _ net.Conn, in *bufio.Reader) { readRequest(in) },
			decision.Reset},
		"connection reset after the request": {func(_ int, c net.Conn, in *bufio.Reader) {
			readRequest(in)
			_ = c.(*net.TCPConn).SetLinger(0)
		}, decision.Reset},
		"truncated body": {respond("HTTP/1.1 200 OK\nContent-Length: 9\n\nfine"), decision.Reset},
		"not HTTP":       {respond("what?\n\n"), decision.Reset},
		"long body without stream": {respond("HTTP/1.1 200 OK\nContent-Length: 65537\n\n" + strings.Repeat("x",
			maxBufferedBody+1)),
			decision.Reset},
		"duplicate Content-Length": {respond("HTTP/1.1 200 OK\nContent-Length: 4\nContent-Length: 4\n\nfine"),
			decision.Reset},
		"Content-Length and chunked": {respond("HTTP/1.1 200 OK\nContent-Length: 4\nTransfer-Encoding: chunked\n\n4\nfine\n" +
			"0\n\n"), decision.Reset},
		"negative Content-Length": {respond("HTTP/1.1 200 OK\nContent-Length: -4\n\nfine"), decision.Reset},
		"body delimited by close": {respond("HTTP/1.1 200 OK\n\nfine"), decision.OK},
		"chunked body":            {respond("HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n4\nfine\n0\n\n"), decision.OK},
		"1xx responses first":     {respond("HTTP/1.1 103 Hints\nLink: x\n\nHTTP/1.1 100 Go\n\n" + served), decision.OK},
		"endless 1xx responses": {func(_ int, c net.Conn, in *bufio.Reader) {
			for readRequest(in); ; {
				if _, err := io.WriteString(c, "HTTP/1.1 103 Hints\r\n\r\n"); err != nil {
					return
				}
			}
		}, decision.Reset},
		"endless header": {func(_ int, c net.Conn, in *bufio.Reader) {
			for readRequest(in); ; {
				if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nX: "+strings.Repeat("x", 512)); err != nil {
					return
				}
			}
		}, decision.Reset},
		// The backend keeps the connection open: the proxy must not wait for bytes that can't become a valid response.
		"Content-Length of 3 GB": {func(_ int, c net.Conn, in *bufio.Reader) {
			readRequest(in)
			writeText(c, "HTTP/1.1 200 OK\nContent-Length: 3000000000\n\nfine")
			readRequest(in)
		}, decision.Reset},
		"garbage on an open connection": {func(_ int, c net.Conn, in *bufio.Reader) {
			readRequest(in)
			writeText(c, "\x00\x01\n\n")
			readRequest(in)
		}, decision.Reset},
	} {
		t.Run(name, func(t *testing.T) {
			p, b := testPool(t, rawBackend(t, c.serve))
			m := testMessage("POST", []byte("work"))
			read := func() []byte { return nil }
			if name != "long body without stream" { // without startStream a long body can't be passed on
				read = readStreamed(m)
			}
			result, body := p.exchange(t.Context(), b, m)
			if streamed := read(); streamed != nil {
				body = streamed
			}
			if result != c.want {
				t.Errorf("exchange() = %v, want %v", resultName(result), resultName(c.want))
			}
			if result == decision.OK && string(body) != "fine" {
				t.Errorf("exchange() returned body %q, want %q", body, "fine")
			}
		})
	}
}

func TestRefusedConnectionIsConnectFailed(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("Listen() on a free port: %v", err)
	}
	_ = listener.Close()
	p, b := testPool(t, listener.Addr().String())
	if result, _ := p.exchange(t.Context(), b, testMessage("GET", nil)); result != decision.ConnectFailed {
		t.Errorf("exchange() with an address that refuses connections = %v, want ConnectFailed", resultName(result))
	}
	if p.open != 0 {
		t.Errorf("pool counts %d open connections after the refused connect, want 0", p.open)
	}
}

// Connecting to a host that drops all packets ends after connectTimeout, not only at the attempt's deadline.
func TestConnectTimeout(t *testing.T) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatalf("creating a socket: %v", err)
	}
	defer func() { _ = syscall.Close(fd) }()
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatalf("binding the socket: %v", err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatalf("listening on the socket: %v", err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatalf("reading the socket's address: %v", err)
	}
	addr := (&net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: name.(*syscall.SockaddrInet4).Port}).String()
	for range 16 { // fill the accept queue, so that further connects get no reply
		c, err := net.DialTimeout("tcp", addr, 300*time.Millisecond)
		if err != nil {
			break
		}
		defer func() { _ = c.Close() }()
	}
	p, b := testPool(t, addr)
	p.connectTimeout = 50 * time.Millisecond
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	if result, _ := p.exchange(ctx, b, testMessage("GET", nil)); result != decision.ConnectFailed {
		t.Errorf("exchange() with an address that drops packets = %v, want ConnectFailed", resultName(result))
	}
	if ctx.Err() != nil {
		t.Errorf("exchange() lasted until the attempt's deadline of %v, want the connect timeout of %v", patience,
			p.connectTimeout)
	}
}

// A request whose last byte was not sent can't have run, even if its first bytes were sent.
func TestConnectionBrokenBeforeLastByte(t *testing.T) {
	addr := rawBackend(t, func(_ int, c net.Conn, in *bufio.Reader) {
		_, _ = in.ReadByte()
		_ = c.(*net.TCPConn).SetLinger(0)
	})
	p, b := testPool(t, addr)
	dial := p.dialer
	p.dialer = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err == nil {
			err = c.(*net.TCPConn).SetWriteBuffer(4096)
		}
		return c, err
	}
	// The body exceeds all socket buffers on the path, so the write can't finish before the connection breaks.
	result, _ := p.exchange(t.Context(), b, testMessage("POST", bytes.Repeat([]byte("x"), 16<<20)))
	if result != decision.ConnectFailed {
		t.Errorf("exchange() with a connection broken before the request's last byte = %v, want ConnectFailed",
			resultName(result))
	}
}

func TestTimeoutAndCancelCloseTheConnection(t *testing.T) {
	for name, want := range map[string]decision.Result{"timeout": decision.Timeout, "cancel": decision.Cancelled} {
		t.Run(name, func(t *testing.T) {
			received, closed := make(chan bool, 1), make(chan bool, 1)
			p, b := testPool(t, rawBackend(t, func(_ int, _ net.Conn, in *bufio.Reader) {
				received <- readRequest(in)
				readRequest(in) // returns once the connection is closed
				closed <- true
			}))
			ctx, cancel := context.WithCancel(t.Context())
			if want == decision.Timeout {
				ctx, cancel = context.WithTimeout(t.Context(), 300*time.Millisecond)
			} else {
				go func() { <-received; cancel() }()
			}
			defer cancel()
			if result, _ := p.exchange(ctx, b, testMessage("GET", nil)); result != want {
				t.Errorf("exchange() = %v, want %v", resultName(result), resultName(want))
			}
			within(t, closed, "the backend connection stayed open after exchange() returned")
		})
	}
}

// An attempt that fails on a reused connection is not sent again. http.Transport would resend both of these requests.
func TestAttemptIsSentOnce(t *testing.T) {
	for _, method := range []string{"GET", "POST"} {
		var requests atomic.Int32
		p, b := testPool(t, rawBackend(t, func(_ int, c net.Conn, in *bufio.Reader) {
			for readRequest(in) && requests.Add(1)%2 == 1 {
				writeText(c, served)
			}
		}))
		m := testMessage(method, nil)
		m.header.Set("Idempotency-Key", "7")
		for _, want := range []decision.Result{decision.OK, decision.Reset} {
			if result, _ := p.exchange(t.Context(), b, m); result != want {
				t.Errorf("exchange() of a %s request = %v, want %v", method, resultName(result), resultName(want))
			}
		}
		if n := requests.Load(); n != 2 {
			t.Errorf("%s: the backend got %d requests for two attempts, want 2", method, n)
		}
	}
}

func TestHealthCheck(t *testing.T) {
	paths := make(chan string, 1)
	p, b := testPool(t, rawBackend(t, func(_ int, c net.Conn, in *bufio.Reader) {
		if req, err := http.ReadRequest(in); err == nil {
			paths <- req.Method + " " + req.URL.Path
			writeText(c, "HTTP/1.1 200 OK\nContent-Length: 0\n\n")
		}
	}))
	if result := p.checkHealth(t.Context(), b); result != decision.OK {
		t.Errorf("checkHealth() = %v, want OK", resultName(result))
	}
	if path := within(t, paths, "the backend got no health check"); path != "GET /ping" {
		t.Errorf("health check requested %s, want GET /ping", path)
	}
}

func TestHealthCheckOfSilentBackendTimesOut(t *testing.T) {
	p, b := testPool(t, rawBackend(t, func(_ int, _ net.Conn, in *bufio.Reader) {
		readRequest(in)
		readRequest(in)
	}))
	p.connectTimeout = 300 * time.Millisecond
	if result := p.checkHealth(t.Context(), b); result != decision.Timeout {
		t.Errorf("checkHealth() of a silent backend = %v, want Timeout", resultName(result))
	}
}

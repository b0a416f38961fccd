package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"lapisspread/decision"
)

// ways are those in which a client can be gone, with what it has sent behind its request by then.
var ways = map[string]struct {
	behind string
	leave  func(c *net.TCPConn)
}{
	"closes":                       {"", func(c *net.TCPConn) { _ = c.Close() }},
	"resets":                       {"", func(c *net.TCPConn) { _ = c.SetLinger(0); _ = c.Close() }},
	"ends its sending":             {"", func(c *net.TCPConn) { _ = c.CloseWrite() }},
	"closes, a byte behind":        {"G", func(c *net.TCPConn) { _ = c.Close() }},
	"closes, a request behind":     {hidden, func(c *net.TCPConn) { _ = c.Close() }},
	"closes, more than is held":    {strings.Repeat("x", 5*maxReadAheadBytes), func(c *net.TCPConn) { _ = c.Close() }},
	"resets, a request behind":     {hidden, func(c *net.TCPConn) { _ = c.SetLinger(0); _ = c.Close() }},
	"ends its sending, bytes left": {hidden, func(c *net.TCPConn) { _ = c.CloseWrite() }},
}

// leavingClient sends a request and the bytes behind it.
func leavingClient(t *testing.T, p *running, class, behind string) *net.TCPConn {
	t.Helper()
	c, err := net.Dial("tcp", p.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_, _ = fmt.Fprintf(c,
		"GET /api HTTP/1.1\r\nHost: s\r\nX-Request-ID: l%d\r\nX-Priority-Class: %s\r\nX-Timeout-Ms: 19000\r\n\r\n%s",
		lastAsked.Add(1), class, behind)
	return c.(*net.TCPConn)
}

// onlyPool returns the pool of a proxy with one service, once it serves.
func (p *running) onlyPool(t *testing.T) *pool {
	t.Helper()
	eventually(t, "it does not serve", p.proxy.ready.Load)
	return p.proxy.services.current.Load().only.pool
}

// inFlight waits until so many requests are in flight.
func (p *running) inFlight(t *testing.T, n int64) {
	t.Helper()
	eventually(t, fmt.Sprintf("%d requests in flight, want %d", p.proxy.counters.InFlight.Load(), n),
		func() bool { return p.proxy.counters.InFlight.Load() == n })
}

func eventually(t *testing.T, missing string, so func() bool) {
	t.Helper()
	for start := time.Now(); !so(); time.Sleep(time.Millisecond) {
		if time.Since(start) > patience {
			t.Fatal(missing)
		}
	}
}

// A client's close is noticed whatever unread bytes stand behind its request: its attempt is cancelled.
func TestClientCloseIsNoticed(t *testing.T) {
	for name, way := range ways {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			came, closed := make(chan bool, 1), make(chan bool, 1)
			addr := rawBackend(t, func(_ int, _ net.Conn, in *bufio.Reader) {
				came <- readRequest(in)
				readRequest(in)
				closed <- true
			})
			p := startProxy(t, listText(1, true, memberText("a", addr, "active")), newCatalog(t), nil)
			c := leavingClient(t, p, "hand-in", way.behind)
			within(t, came, "the backend got nothing")
			way.leave(c)
			within(t, closed, "the attempt went on after the client had left")
		})
	}
}

// A client leaves while its request is queued for lack of a backend: nothing is sent once a backend comes up. Clients
// that stayed are served.
func TestQueuedRequestOfClientThatLeftIsNotSent(t *testing.T) {
	for name, way := range ways {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			got := make(chan *http.Request, 8)
			catalog := newCatalog(t)
			p := startProxy(t, listText(1, true), catalog, nil)
			c := leavingClient(t, p, "fetch-work", way.behind)
			p.inFlight(t, 1)
			stays := leavingClient(t, p, "fetch-work", "")
			p.inFlight(t, 2)
			way.leave(c)
			p.inFlight(t, 1)
			catalog.lists <- listText(2, true, memberText("a", countingBackend(t, got), "active"))
			mustRespond(t, 200)(readFinalResponse(bufio.NewReader(stays)))
			if len(got) != 1 {
				t.Errorf("%d requests were sent on, want the one whose client stayed", len(got))
			}
		})
	}
}

// A client leaves while its attempt's connection is being made: nothing is sent once it comes up.
func TestLateConnectionDoesNotSendForClientThatLeft(t *testing.T) {
	for _, cancel := range []bool{true, false} {
		for n, state := range []string{"first", "further"} {
			t.Run(fmt.Sprintf("%s attempt, cancelling %v", state, cancel), func(t *testing.T) {
				t.Parallel()
				var mu sync.Mutex
				requests := 0
				addr := rawBackend(t, func(_ int, c net.Conn, in *bufio.Reader) {
					if _, err := in.Peek(1); err != nil {
						return
					}
					mu.Lock()
					requests++
					mu.Unlock()
					readRequest(in)
					writeText(c, "HTTP/1.1 503 Service Unavailable\nX-Not-Processed: 1\nContent-Length: 0\n"+
						"Connection: close\n\n")
				})
				p := startProxy(t, listText(1, true, memberText("a", addr, "active"), memberText("b", addr, "active")),
					newCatalog(t), func(c *Config) {
						c.Decision.Capabilities.Cancel = cancel
						c.Decision.Capabilities.ConnectTimeout = patience
					})
				pool := p.onlyPool(t)
				dial, dials := pool.dialer, 0
				dialling, comeUp, up := make(chan bool, 8), make(chan bool), make(chan net.Conn, 8)
				pool.dialer = func(_ context.Context, network, addr string) (net.Conn, error) {
					mu.Lock()
					dials++
					last := dials > n
					mu.Unlock()
					if !last {
						return dial(context.Background(), network, addr)
					}
					dialling <- true
					<-comeUp
					c, err := dial(context.Background(), network, addr)
					up <- c
					return c, err
				}
				c := leavingClient(t, p, "fetch-work", "G")
				within(t, dialling, "no connection is made")
				_ = c.Close()
				p.inFlight(t, 0)
				close(comeUp)
				within(t, up, "no connection came up")
				eventually(t, "the attempt does not end", func() bool {
					pool.mu.Lock()
					defer pool.mu.Unlock()
					idle := 0
					for _, b := range pool.backends {
						idle += len(b.idle)
					}
					return idle == pool.open
				})
				mu.Lock()
				defer mu.Unlock()
				if requests != n {
					t.Errorf("%d attempts were sent, want the %d from before the client left", requests, n)
				}
			})
		}
	}
}

// An attempt that was cancelled while its connection was being made is not sent.
func TestNothingIsSentAfterCancel(t *testing.T) {
	for name, x := range map[string]struct {
		give   func(cancel context.CancelCauseFunc, m *message)
		result decision.Result
	}{
		"cancelled": {func(cancel context.CancelCauseFunc, _ *message) { cancel(context.Canceled) },
			decision.Cancelled},
		"overdue": {func(cancel context.CancelCauseFunc, _ *message) { cancel(context.DeadlineExceeded) },
			decision.ConnectFailed},
		"not wanted": {func(_ context.CancelCauseFunc, m *message) {
			m.sendAllowed = func() (time.Time, bool) { return time.Time{}, false }
		}, decision.NotSent},
	} {
		t.Run(name, func(t *testing.T) {
			got := make(chan *http.Request, 64)
			p, b := testPool(t, countingBackend(t, got))
			dial := p.dialer
			for range 20 {
				ctx, cancel := context.WithCancelCause(t.Context())
				m := testMessage("GET", nil)
				p.dialer = func(_ context.Context, network, addr string) (net.Conn, error) {
					defer x.give(cancel, m)
					return dial(context.Background(), network, addr)
				}
				if result, _ := p.exchange(ctx, b, m); result != x.result {
					t.Errorf("result %v, want %v", result, x.result)
				}
				cancel(nil)
				p.Release(backendID("a"))
			}
			p.dialer = dial
			if result, _ := p.exchange(t.Context(), b, testMessage("GET", nil)); result != decision.OK {
				t.Errorf("afterwards: %v", result)
			}
			if len(got) != 1 {
				t.Errorf("%d requests came, want the last", len(got))
			}
		})
	}
}

// A client that has closed only its sending reads no response that no backend gave.
func TestHalfClosedClientReadsNoEmptyResponse(t *testing.T) {
	came := make(chan bool, 1)
	addr := rawBackend(t, func(_ int, _ net.Conn, in *bufio.Reader) {
		came <- readRequest(in)
		readRequest(in)
	})
	p := startProxy(t, listText(1, true, memberText("a", addr, "active")), newCatalog(t), nil)
	c := leavingClient(t, p, "hand-in", "")
	within(t, came, "the backend got nothing")
	_ = c.CloseWrite()
	_ = c.SetReadDeadline(time.Now().Add(patience))
	text, err := io.ReadAll(c)
	if strings.HasPrefix(string(text), "HTTP/1.1 200") || isTimeout(err) {
		t.Errorf("read %q, %v", text, err)
	}
}

// A client that has its response and sends a long next request at once has that served too, whole, though net/http has
// not finished the first one yet.
func TestLongPipelinedRequestIsServed(t *testing.T) {
	conns := newClientConns(4)
	client, c := clientPair(t, conns)
	defer func() { _ = c.Close() }()
	in := make([]byte, 4096)
	_, _ = io.WriteString(client, "GET / HTTP/1.1\r\n\r\n")
	if n, err := c.Read(in); err != nil || string(in[:n]) != "GET / HTTP/1.1\r\n\r\n" {
		t.Fatalf("read %q, %v", in[:n], err)
	}
	if _, err := io.WriteString(c, "HTTP/1.1 204 No Content\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	next := fmt.Sprintf("PUT / HTTP/1.1\r\nContent-Length: %d\r\n\r\n%s", 4*maxReadAheadBytes, strings.Repeat("x",
		4*maxReadAheadBytes))
	go func() { _, _ = io.WriteString(client, next) }()
	_ = c.SetReadDeadline(time.Now().Add(patience))
	if _, err := c.Read(in[:1]); err != nil { // the server's look for the client's end
		t.Fatal(err)
	}
	conns.state(c, http.StateIdle)
	var text []byte
	for len(text) < len(next) {
		n, err := c.Read(in)
		if err != nil {
			t.Fatalf("after %d of %d bytes: %v", len(text), len(next), err)
		}
		text = append(text, in[:n]...)
	}
	if string(text) != next {
		t.Error("the bytes are others")
	}
}

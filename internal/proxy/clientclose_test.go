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

// clientDepartures are the ways in which a client can end its connection while its request is in flight.
var clientDepartures = map[string]struct {
	pipelined string // sent after the request, before the client leaves
	leave     func(c *net.TCPConn)
}{
	"closes":                                          {"", closeBothSides},
	"resets":                                          {"", resetConn},
	"closes its write side":                           {"", closeWriteSide},
	"closes after one pipelined byte":                 {"G", closeBothSides},
	"closes after a pipelined request":                {smuggledRequest, closeBothSides},
	"closes after overrunning the buffer":             {strings.Repeat("x", 5*maxReadAheadBytes), closeBothSides},
	"resets after a pipelined request":                {smuggledRequest, resetConn},
	"closes its write side after a pipelined request": {smuggledRequest, closeWriteSide},
}

func closeBothSides(c *net.TCPConn) { _ = c.Close() }
func resetConn(c *net.TCPConn)      { _ = c.SetLinger(0); _ = c.Close() }
func closeWriteSide(c *net.TCPConn) { _ = c.CloseWrite() }

// leavingClient connects to the proxy and sends a request of the given class, followed by the pipelined bytes. It
// returns the connection, by which the test then lets the client leave.
func leavingClient(t *testing.T, p *running, class, pipelined string) *net.TCPConn {
	t.Helper()
	c, err := net.Dial("tcp", p.addr)
	if err != nil {
		t.Fatalf("connecting to the proxy: %v", err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_, _ = fmt.Fprintf(c,
		"GET /api HTTP/1.1\r\nHost: s\r\nX-Request-ID: l%d\r\nX-Priority-Class: %s\r\nX-Timeout-Ms: 19000\r\n\r\n%s",
		lastRequestID.Add(1), class, pipelined)
	return c.(*net.TCPConn)
}

// onlyPool waits until a proxy with one service serves, and returns the service's connection pool.
func (p *running) onlyPool(t *testing.T) *pool {
	t.Helper()
	eventually(t, "the proxy did not become ready", p.proxy.ready.Load)
	return p.proxy.services.current.Load().only.pool
}

// waitForInFlight waits until n requests are in flight.
func (p *running) waitForInFlight(t *testing.T, n int64) {
	t.Helper()
	eventually(t, fmt.Sprintf("counter InFlight did not become %d", n),
		func() bool { return p.proxy.counters.InFlight.Load() == n })
}

// eventually waits until the condition holds. After patience it fails the test with the text failure.
func eventually(t *testing.T, failure string, condition func() bool) {
	t.Helper()
	for start := time.Now(); !condition(); time.Sleep(time.Millisecond) {
		if time.Since(start) > patience {
			t.Fatalf("timed out after %v: %s", patience, failure)
		}
	}
}

// A client closes its connection while its request is in flight: the proxy detects it, also if unread bytes follow the
// request, and cancels the attempt at the backend.
func TestClientCloseIsNoticed(t *testing.T) {
	for name, departure := range clientDepartures {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			received, closed := make(chan bool, 1), make(chan bool, 1)
			addr := rawBackend(t, func(_ int, _ net.Conn, in *bufio.Reader) {
				received <- readRequest(in)
				readRequest(in)
				closed <- true
			})
			p := startProxy(t, listText(1, true, memberText("a", addr, "active")), newCatalog(t), nil)
			c := leavingClient(t, p, "hand-in", departure.pipelined)
			within(t, received, "the backend got no request")
			departure.leave(c)
			within(t, closed, "the attempt's connection stayed open after the client had left")
		})
	}
}

// A client leaves while its request is queued because no backend is known: the request must not be sent when a backend
// becomes known. Requests of clients that stayed are served.
func TestQueuedRequestOfClientThatLeftIsNotSent(t *testing.T) {
	for name, departure := range clientDepartures {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			got := make(chan *http.Request, 8)
			catalog := newCatalog(t)
			p := startProxy(t, listText(1, true), catalog, nil)
			c := leavingClient(t, p, "fetch-work", departure.pipelined)
			p.waitForInFlight(t, 1)
			remaining := leavingClient(t, p, "fetch-work", "")
			p.waitForInFlight(t, 2)
			departure.leave(c)
			p.waitForInFlight(t, 1)
			catalog.lists <- listText(2, true, memberText("a", countingBackend(t, got), "active"))
			mustRespond(t, 200)(readFinalResponse(bufio.NewReader(remaining)))
			if len(got) != 1 {
				t.Errorf("the backend got %d requests, want 1: that of the client that stayed connected", len(got))
			}
		})
	}
}

// A client leaves while a connection to a backend is being established for its attempt: nothing is sent on that
// connection once it is established.
func TestLateConnectionDoesNotSendForClientThatLeft(t *testing.T) {
	for _, cancel := range []bool{true, false} {
		for n, attempt := range []string{"first", "second"} {
			t.Run(fmt.Sprintf("%s attempt, Cancel %v", attempt, cancel), func(t *testing.T) {
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
				dialing, finishDial, dialed := make(chan bool, 8), make(chan bool), make(chan net.Conn, 8)
				pool.dialer = func(_ context.Context, network, addr string) (net.Conn, error) {
					mu.Lock()
					dials++
					last := dials > n
					mu.Unlock()
					if !last {
						return dial(context.Background(), network, addr)
					}
					dialing <- true
					<-finishDial
					c, err := dial(context.Background(), network, addr)
					dialed <- c
					return c, err
				}
				c := leavingClient(t, p, "fetch-work", "G")
				within(t, dialing, "the pool did not dial the backend")
				_ = c.Close()
				p.waitForInFlight(t, 0)
				close(finishDial)
				within(t, dialed, "the dial did not end")
				eventually(t, "not all open connections of the pool became idle", func() bool {
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
					t.Errorf("the backend got %d requests, want %d: none after the client left", requests, n)
				}
			})
		}
	}
}

// An attempt that is cancelled while its connection is being established is not sent.
func TestNothingIsSentAfterCancel(t *testing.T) {
	for name, tc := range map[string]struct {
		duringDial func(cancel context.CancelCauseFunc, m *message)
		result     decision.Result
	}{
		"cancelled": {func(cancel context.CancelCauseFunc, _ *message) { cancel(context.Canceled) },
			decision.Cancelled},
		"deadline exceeded": {func(cancel context.CancelCauseFunc, _ *message) { cancel(context.DeadlineExceeded) },
			decision.ConnectFailed},
		"sending not allowed": {func(_ context.CancelCauseFunc, m *message) {
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
					defer tc.duringDial(cancel, m)
					return dial(context.Background(), network, addr)
				}
				if result, _ := p.exchange(ctx, b, m); result != tc.result {
					t.Errorf("exchange cancelled during its dial = %v, want %v", result, tc.result)
				}
				cancel(nil)
				p.Release(backendID("a"))
			}
			p.dialer = dial
			if result, _ := p.exchange(t.Context(), b, testMessage("GET", nil)); result != decision.OK {
				t.Errorf("exchange after the cancelled ones = %v, want %v", result, decision.OK)
			}
			if len(got) != 1 {
				t.Errorf("the backend got %d requests, want 1: only the exchange that was not cancelled", len(got))
			}
		})
	}
}

// A client that has closed only its write side must not get an empty status 200, which no backend has sent.
func TestHalfClosedClientReadsNoEmptyResponse(t *testing.T) {
	received := make(chan bool, 1)
	addr := rawBackend(t, func(_ int, _ net.Conn, in *bufio.Reader) {
		received <- readRequest(in)
		readRequest(in)
	})
	p := startProxy(t, listText(1, true, memberText("a", addr, "active")), newCatalog(t), nil)
	c := leavingClient(t, p, "hand-in", "")
	within(t, received, "the backend got no request")
	_ = c.CloseWrite()
	_ = c.SetReadDeadline(time.Now().Add(patience))
	text, err := io.ReadAll(c)
	if strings.HasPrefix(string(text), "HTTP/1.1 200") || isTimeout(err) {
		t.Errorf("client that closed its write side read %q, error %v; want the connection's end without a status 200",
			text, err)
	}
}

// A client that has its response may send a long next request before net/http has finished the first one. All bytes of
// that request must be passed on.
func TestLongPipelinedRequestIsServed(t *testing.T) {
	conns := newClientConns(4)
	client, c := clientPair(t, conns)
	defer func() { _ = c.Close() }()
	in := make([]byte, 4096)
	_, _ = io.WriteString(client, "GET / HTTP/1.1\r\n\r\n")
	if n, err := c.Read(in); err != nil || string(in[:n]) != "GET / HTTP/1.1\r\n\r\n" {
		t.Fatalf("Read of the first request = %q, %v, want the whole request", in[:n], err)
	}
	if _, err := io.WriteString(c, "HTTP/1.1 204 No Content\r\n\r\n"); err != nil {
		t.Fatalf("writing the first response: %v", err)
	}
	next := fmt.Sprintf("PUT / HTTP/1.1\r\nContent-Length: %d\r\n\r\n%s", 4*maxReadAheadBytes, strings.Repeat("x",
		4*maxReadAheadBytes))
	go func() { _, _ = io.WriteString(client, next) }()
	_ = c.SetReadDeadline(time.Now().Add(patience))
	if _, err := c.Read(in[:1]); err != nil { // net/http's read that detects a close by the client
		t.Fatalf("Read while the first request is in flight = %v, want nil", err)
	}
	conns.state(c, http.StateIdle)
	var text []byte
	for len(text) < len(next) {
		n, err := c.Read(in)
		if err != nil {
			t.Fatalf("Read after %d of the %d bytes of the second request: %v", len(text), len(next), err)
		}
		text = append(text, in[:n]...)
	}
	if string(text) != next {
		t.Error("the bytes read of the second request differ from those sent by the client")
	}
}

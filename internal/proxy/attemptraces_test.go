package proxy

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"lapisspread/decision"
)

// Bytes that arrive on an idle connection after it was chosen and before the request's first byte is sent are not taken
// for a response, and a close at that time is no failed attempt: nothing was sent, so another connection is used, even
// for a request that is not idempotent.
func TestBytesArrivingAsConnectionIsTakenAreNoResponse(t *testing.T) {
	for name, act := range map[string]func(net.Conn){
		"second response":    func(c net.Conn) { writeText(c, "HTTP/1.1 200 OK\nContent-Length: 5\n\nwrong") },
		"error response":     func(c net.Conn) { writeText(c, "HTTP/1.1 500 Oh\nContent-Length: 0\n\n") },
		"half a status line": func(c net.Conn) { _, _ = io.WriteString(c, "HTTP/1.1 2") },
		"close":              func(c net.Conn) { _ = c.Close() },
		"reset":              func(c net.Conn) { _ = c.(*net.TCPConn).SetLinger(0); _ = c.Close() },
		"garbage and close":  func(c net.Conn) { _, _ = io.WriteString(c, "\x00\x01"); _ = c.Close() },
	} {
		for _, long := range []bool{false, true} {
			kind := map[bool]string{false: "short body", true: "long body"}[long]
			t.Run(name+", "+kind, func(t *testing.T) {
				trigger, reuse := make(chan bool, 1), false
				var requests [2]atomic.Int32
				addr := rawBackend(t, func(n int, c net.Conn, in *bufio.Reader) {
					for i := 0; readRequest(in); i++ {
						requests[min(n, 1)].Add(1)
						writeText(c, served)
						if n == 0 && i == 0 {
							<-trigger
							act(c)
						}
					}
				})
				p, b := hookedPool(t, addr, func(n int, c *hookedConn) {
					c.onChosen = func() {
						if n == 0 && reuse {
							trigger <- true
							waitForInput(t, c)
						}
					}
				})
				if result, _ := p.exchange(t.Context(), b, testMessage("POST", []byte("x"))); result != decision.OK {
					t.Fatalf("first exchange() = %v, want OK", resultName(result))
				}
				reuse = true
				m := testMessage("POST", []byte("x"))
				if long {
					m.body, m.upload = nil, testUpload()
				}
				if result, body := p.exchange(t.Context(), b, m); result != decision.OK || string(body) != "fine" {
					t.Errorf("second exchange() = %v, body %q; want OK, body \"fine\"", resultName(result), body)
				}
				if first, other := requests[0].Load(), requests[1].Load(); first != 1 || other != 1 {
					t.Errorf("backend got %d requests on the first connection, %d on later ones; want 1 and 1", first,
						other)
				}
				if p.open != 1 {
					t.Errorf("pool counts %d open connections after exchange(), want 1", p.open)
				}
			})
		}
	}
}

// Nothing is sent for a client that has left, neither on a connection established after it left nor on an idle
// connection that was chosen as it left.
func TestNothingIsSentForClientThatLeft(t *testing.T) {
	for _, idle := range []bool{false, true} {
		name := map[bool]string{false: "connection established after the client left", true: "idle connection"}[idle]
		t.Run(name, func(t *testing.T) {
			for range 20 { // if the proxy doesn't check that the client has left, most rounds fail
				got := make(chan string, 2)
				addr := rawBackend(t, func(_ int, c net.Conn, in *bufio.Reader) {
					for {
						req, err := http.ReadRequest(in)
						if err != nil {
							got <- "closed"
							return
						}
						got <- req.URL.Path
						writeText(c, served)
					}
				})
				ctx, leave := context.WithCancel(t.Context())
				leaveNext := !idle
				p, b := hookedPool(t, addr, func(_ int, c *hookedConn) {
					if leaveNext {
						leave() // once the connection is established
					}
					c.onChosen = func() {
						if idle && leaveNext {
							leave()
						}
					}
				})
				if idle {
					if result, _ := p.exchange(ctx, b, testMessage("GET", nil)); result != decision.OK {
						t.Fatalf("first exchange() = %v, want OK", resultName(result))
					}
					within(t, got, "the backend got no request")
					leaveNext = true
				}
				if result, _ := p.exchange(ctx, b, testMessage("GET", nil)); result != decision.Cancelled {
					t.Errorf("exchange() after the client left = %v, want Cancelled", resultName(result))
				}
				if path := within(t, got, "the backend connection stayed open"); path != "closed" {
					t.Fatalf("backend got a request for %s after the client left, want only the connection's close",
						path)
				}
				if p.open != 0 {
					t.Errorf("pool counts %d open connections after exchange(), want 0", p.open)
				}
			}
		})
	}
}

// A connection that is established after its client left is closed without a byte sent, and is no longer counted.
func TestLateConnectionIsNotUsed(t *testing.T) {
	got := make(chan int, 1)
	p, b := testPool(t, rawBackend(t, func(_ int, c net.Conn, _ *bufio.Reader) {
		n, _ := c.Read(make([]byte, 1))
		got <- n
	}))
	dialing, connect := make(chan bool), make(chan bool)
	p.dialer = func(_ context.Context, network, addr string) (net.Conn, error) {
		close(dialing)
		<-connect // the dial is not cancelled when the client leaves
		return net.Dial(network, addr)
	}
	ctx, leave := context.WithCancel(t.Context())
	done := make(chan decision.Result, 1)
	go func() {
		result, _ := p.exchange(ctx, b, testMessage("POST", []byte("x")))
		done <- result
	}()
	within(t, dialing, "the pool did not dial the backend")
	leave()
	close(connect)
	if result := within(t, done, "exchange() did not return"); result != decision.Cancelled {
		t.Errorf("exchange() whose client left during the dial = %v, want Cancelled", resultName(result))
	}
	if n := within(t, got, "the backend connection stayed open"); n != 0 {
		t.Errorf("backend got %d bytes on the connection established after the client left, want 0", n)
	}
	if p.open != 0 {
		t.Errorf("pool counts %d open connections after exchange(), want 0", p.open)
	}
}

// A change of the endpoint list takes effect if it arrives after an idle connection was chosen and before the request's
// first byte is sent.
func TestBackendChangeBetweenChoiceAndSend(t *testing.T) {
	for name, c := range map[string]struct {
		state decision.BackendState
		moved bool
		want  decision.Result
	}{
		"draining":    {decision.Draining, false, decision.ConnectFailed},
		"removed":     {decision.Removed, false, decision.ConnectFailed},
		"new address": {decision.Ready, true, decision.OK}, // served at the new address
	} {
		t.Run(name, func(t *testing.T) {
			var old, other atomic.Int32
			count := func(requests *atomic.Int32) string {
				return rawBackend(t, func(_ int, c net.Conn, in *bufio.Reader) {
					for readRequest(in) {
						requests.Add(1)
						writeText(c, served)
					}
				})
			}
			member := Member{ID: "a", Addr: count(&old), State: c.state}
			newAddr := count(&other)
			var p *pool
			reuse := false
			p, b := hookedPool(t, member.Addr, func(n int, h *hookedConn) {
				h.onChosen = func() {
					if n == 0 && reuse {
						p.Update(List{Endpoints: []Member{member}})
					}
				}
			})
			if result, _ := p.exchange(t.Context(), b, testMessage("POST", []byte("x"))); result != decision.OK {
				t.Fatalf("first exchange() = %v, want OK", resultName(result))
			}
			reuse = true
			if c.moved {
				member.Addr = newAddr
			}
			if result, _ := p.exchange(t.Context(), b, testMessage("POST", []byte("x"))); result != c.want {
				t.Errorf("exchange() after the change = %v, want %v", resultName(result), resultName(c.want))
			}
			if n := old.Load(); n != 1 {
				t.Errorf("old address got %d requests, want 1 (the one before the change)", n)
			}
			if moved := c.want == decision.OK; (other.Load() == 1) != moved {
				t.Errorf("new address got %d requests, want 1 if the backend moved (%v), else 0", other.Load(), moved)
			}
		})
	}
}

// An attempt that is cancelled as the response's last byte arrives may end as OK or as Cancelled, but its connection is
// not reused, because the cancellation has set a deadline on it.
func TestCancelAtLastByte(t *testing.T) {
	for name, long := range map[string]bool{"buffered": false, "streamed": true} {
		t.Run(name, func(t *testing.T) {
			text := served
			if long {
				text = "HTTP/1.1 200 OK\nContent-Length: 65537\n\n" + strings.Repeat("x", maxBufferedBody+1)
			}
			for range 20 { // the end of a streamed body and the cancellation arrive in any order
				addr := rawBackend(t, func(_ int, c net.Conn, in *bufio.Reader) {
					for readRequest(in) {
						writeText(c, text)
					}
				})
				ctx, cancel := context.WithCancel(t.Context())
				p, b := hookedPool(t, addr, func(_ int, c *hookedConn) {
					c.onRead = func(n int) {
						if n > 0 && !long {
							cancel()
						}
					}
				})
				m := testMessage("POST", []byte("x"))
				m.startStream = func(d *download) bool {
					_, err := io.ReadAll(d)
					cancel()
					d.End(err)
					return true
				}
				if result, _ := p.exchange(ctx, b, m); result != decision.OK && result != decision.Cancelled {
					t.Errorf("exchange() cancelled at the response's last byte = %v, want OK or Cancelled",
						resultName(result))
				}
				if p.open != 0 || len(b.idle) != 0 {
					t.Fatalf("pool counts %d open and %d idle connections after the cancellation, want 0 and 0",
						p.open, len(b.idle))
				}
			}
		})
	}
}

// A health check is cancelled before its response arrives. Its response, sent
// after the cancellation, is not taken for that of the next request.
func TestLateHealthCheckResponseIsDiscarded(t *testing.T) {
	received, sendLate := make(chan bool, 1), make(chan bool)
	p, b := testPool(t, rawBackend(t, func(_ int, c net.Conn, in *bufio.Reader) {
		for {
			req, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			if req.URL.Path == "/ping" {
				received <- true
				<-sendLate
				writeText(c, "HTTP/1.1 200 OK\nContent-Length: 5\n\nwrong")
				continue
			}
			_, _ = io.Copy(io.Discard, req.Body)
			writeText(c, served)
		}
	}))
	if result, _ := p.exchange(t.Context(), b, testMessage("POST", []byte("x"))); result != decision.OK {
		t.Fatalf("first exchange() = %v, want OK", resultName(result))
	}
	ctx, cancel := context.WithCancelCause(t.Context())
	checked := make(chan decision.Result, 1)
	go func() { checked <- p.checkHealth(ctx, b) }()
	within(t, received, "the backend got no health check")
	cancel(context.DeadlineExceeded)
	if result := within(t, checked, "checkHealth() did not return"); result != decision.Timeout {
		t.Fatalf("checkHealth() = %v, want Timeout", resultName(result))
	}
	close(sendLate)
	if result, body := p.exchange(t.Context(), b, testMessage("POST", []byte("x"))); result != decision.OK ||
		string(body) != "fine" {
		t.Errorf("exchange() after the health check = %v, body %q; want OK, body \"fine\"", resultName(result), body)
	}
	if p.open != 1 {
		t.Errorf("pool counts %d open connections after exchange(), want 1", p.open)
	}
}

// A backend that restarts at the same address resets its connections. No idle connection is reused, and a request that
// is not idempotent is sent once, to the new process. The attempt in flight ends as a reset.
func TestBackendRestartAtSameAddress(t *testing.T) {
	received, stop := make(chan bool), make(chan bool)
	var requests atomic.Int32
	p, b := testPool(t, rawBackend(t, func(n int, c net.Conn, in *bufio.Reader) {
		defer func() { _ = c.(*net.TCPConn).SetLinger(0) }()
		for i := 0; readRequest(in); i++ {
			requests.Add(1)
			if n == 1 || n == 2 {
				received <- true
				<-stop
				if n == 1 {
					return // while the attempt is in flight
				}
			}
			writeText(c, served)
			if n == 0 || n == 2 {
				<-stop // while the connection is idle
				return
			}
		}
	}))
	send := func() decision.Result {
		result, _ := p.exchange(t.Context(), b, testMessage("POST", []byte("x")))
		return result
	}
	if result := send(); result != decision.OK {
		t.Fatalf("first exchange() = %v, want OK", resultName(result))
	}
	p.mu.Lock()
	idle := b.idle[0]
	b.idle = nil // so that the next attempt opens another connection
	p.mu.Unlock()
	results := make(chan decision.Result, 1)
	go func() { results <- send() }()
	within(t, received, "the backend got no request")
	p.putIdle(b, idle)
	close(stop)
	if result := within(t, results, "exchange() did not return"); result != decision.Reset {
		t.Errorf("exchange() in flight during the restart = %v, want Reset", resultName(result))
	}
	waitForInput(t, idle.Conn)
	before := requests.Load()
	go func() { results <- send() }()
	within(t, received, "the restarted backend got no request")
	if result := within(t, results, "exchange() did not return"); result != decision.OK {
		t.Errorf("exchange() after the restart = %v, want OK", resultName(result))
	}
	if n := requests.Load() - before; n != 1 {
		t.Errorf("backend got %d requests after its restart, want 1", n)
	}
}

// A client leaves while its first attempt connects. The connection is established later: nothing is sent on it, and it
// is closed and no longer counted.
func TestClientLeavesDuringDial(t *testing.T) {
	got := make(chan int, 1)
	addr := rawBackend(t, func(_ int, c net.Conn, _ *bufio.Reader) {
		n, _ := c.Read(make([]byte, 1))
		got <- n
	})
	p := startProxy(t, listText(1, true, memberText("a", addr, "active")), newCatalog(t), func(c *Config) {
		c.Decision.Capabilities.ConnectTimeout = patience
	})
	resp, err := http.Get("http://" + p.addr + "/_health") // answered once the proxy serves
	if err != nil {
		t.Fatalf("GET /_health of the proxy: %v", err)
	}
	_ = resp.Body.Close()
	pool := p.proxy.services.current.Load().byName[""].pool
	dialing, cancelled := make(chan bool, 1), make(chan bool, 1)
	pool.mu.Lock()
	pool.dialer = func(ctx context.Context, network, addr string) (net.Conn, error) {
		dialing <- true
		<-ctx.Done()
		cancelled <- errors.Is(context.Cause(ctx), context.Canceled)
		return net.Dial(network, addr)
	}
	pool.mu.Unlock()
	c, err := net.Dial("tcp", p.addr)
	if err != nil {
		t.Fatalf("Dial(%s) of the proxy: %v", p.addr, err)
	}
	_, _ = io.WriteString(c,
		"POST /api HTTP/1.1\r\nHost: s\r\nX-Request-ID: leaves\r\nX-Priority-Class: hand-in\r\nX-Timeout-Ms: "+
			"60000\r\nContent-Length: 0\r\n\r\n")
	within(t, dialing, "the pool did not dial the backend")
	_ = c.Close()
	if !within(t, cancelled, "the dial's context was not cancelled") {
		t.Error("the dial's context ended by its timeout, want a cancellation because the client left")
	}
	if n := within(t, got, "the backend connection stayed open"); n != 0 {
		t.Errorf("backend got %d bytes on the connection established after the client left, want 0", n)
	}
	for start := time.Now(); ; time.Sleep(time.Millisecond) {
		pool.mu.Lock()
		open := pool.open
		pool.mu.Unlock()
		if open == 0 {
			break
		}
		if time.Since(start) > patience {
			t.Fatalf("pool counts %d open connections after the client left, want 0", open)
		}
	}
}

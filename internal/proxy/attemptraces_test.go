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

// Bytes that arrive on an idle connection between its choice and the request's first byte are no response, and its
// close is no failure: nothing was sent, so another connection is used even for a request that is not idempotent.
func TestBytesArrivingAsConnectionIsTakenAreNoResponse(t *testing.T) {
	for name, act := range map[string]func(net.Conn){
		"a second answer":   func(c net.Conn) { writeText(c, "HTTP/1.1 200 OK\nContent-Length: 5\n\nwrong") },
		"an error":          func(c net.Conn) { writeText(c, "HTTP/1.1 500 Oh\nContent-Length: 0\n\n") },
		"half a line":       func(c net.Conn) { _, _ = io.WriteString(c, "HTTP/1.1 2") },
		"the close":         func(c net.Conn) { _ = c.Close() },
		"a reset":           func(c net.Conn) { _ = c.(*net.TCPConn).SetLinger(0); _ = c.Close() },
		"noise and a close": func(c net.Conn) { _, _ = io.WriteString(c, "\x00\x01"); _ = c.Close() },
	} {
		for _, long := range []bool{false, true} {
			kind := map[bool]string{false: "short body", true: "long body"}[long]
			t.Run(name+", "+kind, func(t *testing.T) {
				cross, reuse := make(chan bool, 1), false
				var requests [2]atomic.Int32
				addr := rawBackend(t, func(n int, c net.Conn, in *bufio.Reader) {
					for i := 0; readRequest(in); i++ {
						requests[min(n, 1)].Add(1)
						writeText(c, served)
						if n == 0 && i == 0 {
							<-cross
							act(c)
						}
					}
				})
				p, b := hookedPool(t, addr, func(n int, c *hookedConn) {
					c.onChosen = func() {
						if n == 0 && reuse {
							cross <- true
							waitForInput(t, c)
						}
					}
				})
				if result, _ := p.exchange(t.Context(), b, testMessage("POST", []byte("x"))); result != decision.OK {
					t.Fatalf("first: result %v", result)
				}
				reuse = true
				m := testMessage("POST", []byte("x"))
				if long {
					m.body, m.upload = nil, testUpload()
				}
				if result, body := p.exchange(t.Context(), b, m); result != decision.OK || string(body) != "fine" {
					t.Errorf("result %v, body %q", result, body)
				}
				if a, z := requests[0].Load(), requests[1].Load(); a != 1 || z != 1 {
					t.Errorf("%d requests on the first connection, %d on others", a, z)
				}
				if p.open != 1 {
					t.Errorf("%d connections are open", p.open)
				}
			})
		}
	}
}

// Nothing is sent for a client that has left, neither on a connection that comes up late nor on an idle one taken just
// then.
func TestNothingIsSentForClientThatLeft(t *testing.T) {
	for _, idle := range []bool{false, true} {
		name := map[bool]string{false: "late connection", true: "idle connection"}[idle]
		t.Run(name, func(t *testing.T) {
			for range 20 { // without the look the request goes out in most
				got := make(chan string, 2)
				addr := rawBackend(t, func(_ int, c net.Conn, in *bufio.Reader) {
					for {
						req, err := http.ReadRequest(in)
						if err != nil {
							got <- "end"
							return
						}
						got <- req.URL.Path
						writeText(c, served)
					}
				})
				ctx, leave := context.WithCancel(t.Context())
				now := !idle
				p, b := hookedPool(t, addr, func(_ int, c *hookedConn) {
					if now {
						leave() // after it has come up
					}
					c.onChosen = func() {
						if idle && now {
							leave()
						}
					}
				})
				if idle {
					if result, _ := p.exchange(ctx, b, testMessage("GET", nil)); result != decision.OK {
						t.Fatalf("first: result %v", result)
					}
					within(t, got, "no request came")
					now = true
				}
				if result, _ := p.exchange(ctx, b, testMessage("GET", nil)); result != decision.Cancelled {
					t.Errorf("result %v, want Cancelled", result)
				}
				if path := within(t, got, "the connection stayed open"); path != "end" {
					t.Fatalf("%s was sent for a client that had left", path)
				}
				if p.open != 0 {
					t.Errorf("%d connections are still counted", p.open)
				}
			}
		})
	}
}

// A connection that comes up after its client left is closed without a byte, and is not counted any more.
func TestLateConnectionIsNotUsed(t *testing.T) {
	got := make(chan int, 1)
	p, b := testPool(t, rawBackend(t, func(_ int, c net.Conn, _ *bufio.Reader) {
		n, _ := c.Read(make([]byte, 1))
		got <- n
	}))
	dialing, up := make(chan bool), make(chan bool)
	p.dialer = func(_ context.Context, network, addr string) (net.Conn, error) {
		close(dialing)
		<-up // the dial ends in its own time, not with the client
		return net.Dial(network, addr)
	}
	ctx, leave := context.WithCancel(t.Context())
	done := make(chan decision.Result, 1)
	go func() {
		result, _ := p.exchange(ctx, b, testMessage("POST", []byte("x")))
		done <- result
	}()
	within(t, dialing, "nothing was dialled")
	leave()
	close(up)
	if result := within(t, done, "no end"); result != decision.Cancelled {
		t.Errorf("result %v, want Cancelled", result)
	}
	if n := within(t, got, "the connection stayed open"); n != 0 {
		t.Error("it was written to")
	}
	if p.open != 0 {
		t.Errorf("%d connections are still counted", p.open)
	}
}

// A change of the endpoint list between the choice of an idle connection and the request's first byte takes effect.
func TestBackendChangeBetweenChoiceAndSend(t *testing.T) {
	for name, c := range map[string]struct {
		state decision.BackendState
		moved bool
		want  decision.Result
	}{
		"drains": {decision.Draining, false, decision.ConnectFailed},
		"left":   {decision.Removed, false, decision.ConnectFailed},
		"moved":  {decision.Ready, true, decision.OK}, // there
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
			elsewhere := count(&other)
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
				t.Fatalf("first: result %v", result)
			}
			reuse = true
			if c.moved {
				member.Addr = elsewhere
			}
			if result, _ := p.exchange(t.Context(), b, testMessage("POST", []byte("x"))); result != c.want {
				t.Errorf("result %v, want %v", result, c.want)
			}
			if old.Load() != 1 {
				t.Error("a request went out after the change was told")
			}
			if moved := c.want == decision.OK; (other.Load() == 1) != moved {
				t.Errorf("%d requests at the new address", other.Load())
			}
		})
	}
}

// An attempt that is cancelled just as the response's last byte arrives ends in either way, but its connection, on
// which a deadline is set, is not reused.
func TestCancelAtLastByte(t *testing.T) {
	for name, long := range map[string]bool{"held whole": false, "passed on": true} {
		t.Run(name, func(t *testing.T) {
			text := served
			if long {
				text = "HTTP/1.1 200 OK\nContent-Length: 65537\n\n" + strings.Repeat("x", maxBufferedBody+1)
			}
			for range 20 { // a long one's two ends come out in any order
				addr := rawBackend(t, func(_ int, c net.Conn, in *bufio.Reader) {
					for readRequest(in) {
						writeText(c, text)
					}
				})
				ctx, giveUp := context.WithCancel(t.Context())
				p, b := hookedPool(t, addr, func(_ int, c *hookedConn) {
					c.onRead = func(n int) {
						if n > 0 && !long {
							giveUp()
						}
					}
				})
				m := testMessage("POST", []byte("x"))
				m.startStream = func(d *download) bool {
					_, err := io.ReadAll(d)
					giveUp()
					d.End(err)
					return true
				}
				if result, _ := p.exchange(ctx, b, m); result != decision.OK && result != decision.Cancelled {
					t.Errorf("result %v", result)
				}
				if p.open != 0 || len(b.idle) != 0 {
					t.Fatalf("%d connections are open, %d idle", p.open, len(b.idle))
				}
			}
		})
	}
}

// A cancelled health check with its response on the way does not affect the next request.
func TestLateHealthCheckResponseIsDiscarded(t *testing.T) {
	came, late := make(chan bool, 1), make(chan bool)
	p, b := testPool(t, rawBackend(t, func(_ int, c net.Conn, in *bufio.Reader) {
		for {
			req, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			if req.URL.Path == "/ping" {
				came <- true
				<-late
				writeText(c, "HTTP/1.1 200 OK\nContent-Length: 5\n\nwrong")
				continue
			}
			_, _ = io.Copy(io.Discard, req.Body)
			writeText(c, served)
		}
	}))
	if result, _ := p.exchange(t.Context(), b, testMessage("POST", []byte("x"))); result != decision.OK {
		t.Fatalf("first: result %v", result)
	}
	ctx, end := context.WithCancelCause(t.Context())
	probed := make(chan decision.Result, 1)
	go func() { probed <- p.checkHealth(ctx, b) }()
	within(t, came, "no probe came")
	end(context.DeadlineExceeded)
	if result := within(t, probed, "no end"); result != decision.Timeout {
		t.Fatalf("the probe: result %v", result)
	}
	close(late)
	if result, body := p.exchange(t.Context(), b, testMessage("POST", []byte("x"))); result != decision.OK ||
		string(body) != "fine" {
		t.Errorf("result %v, body %q", result, body)
	}
	if p.open != 1 {
		t.Errorf("%d connections are open", p.open)
	}
}

// A backend that restarts at its address resets its idle connections: none of them is reused, and a request that is not
// idempotent is sent once, to the new process. A request in flight ends as a reset.
func TestBackendRestartAtSameAddress(t *testing.T) {
	came, die := make(chan bool), make(chan bool)
	var requests atomic.Int32
	p, b := testPool(t, rawBackend(t, func(n int, c net.Conn, in *bufio.Reader) {
		defer func() { _ = c.(*net.TCPConn).SetLinger(0) }()
		for i := 0; readRequest(in); i++ {
			requests.Add(1)
			if n == 1 || n == 2 {
				came <- true
				<-die
				if n == 1 {
					return // with an attempt out
				}
			}
			writeText(c, served)
			if n == 0 || n == 2 {
				<-die // while it is idle
				return
			}
		}
	}))
	send := func() decision.Result {
		result, _ := p.exchange(t.Context(), b, testMessage("POST", []byte("x")))
		return result
	}
	if result := send(); result != decision.OK {
		t.Fatalf("first: result %v", result)
	}
	p.mu.Lock()
	idle := b.idle[0]
	b.idle = nil // so that the next one needs another
	p.mu.Unlock()
	out := make(chan decision.Result, 1)
	go func() { out <- send() }()
	within(t, came, "no request came")
	p.putIdle(b, idle)
	close(die)
	if result := within(t, out, "no end"); result != decision.Reset {
		t.Errorf("what was out: result %v, want Reset", result)
	}
	waitForInput(t, idle.Conn)
	before := requests.Load()
	go func() { out <- send() }()
	within(t, came, "no request came to the new life")
	if result := within(t, out, "no end"); result != decision.OK {
		t.Errorf("after the restart: result %v", result)
	}
	if n := requests.Load() - before; n != 1 {
		t.Errorf("%d requests after the restart, want 1", n)
	}
}

// A client leaves while its first attempt connects. The connection comes up late: nothing is sent on it, and nothing of
// it remains.
func TestClientLeavesDuringDial(t *testing.T) {
	got := make(chan int, 1)
	addr := rawBackend(t, func(_ int, c net.Conn, _ *bufio.Reader) {
		n, _ := c.Read(make([]byte, 1))
		got <- n
	})
	p := startProxy(t, listText(1, true, memberText("a", addr, "active")), newCatalog(t), func(c *Config) {
		c.Decision.Capabilities.ConnectTimeout = patience
	})
	resp, err := http.Get("http://" + p.addr + "/_health") // it serves
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	pool := p.proxy.services.current.Load().byName[""].pool
	dialing, given := make(chan bool, 1), make(chan bool, 1)
	pool.mu.Lock()
	pool.dialer = func(ctx context.Context, network, addr string) (net.Conn, error) {
		dialing <- true
		<-ctx.Done()
		given <- errors.Is(context.Cause(ctx), context.Canceled)
		return net.Dial(network, addr)
	}
	pool.mu.Unlock()
	c, err := net.Dial("tcp", p.addr)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(c,
		"POST /api HTTP/1.1\r\nHost: s\r\nX-Request-ID: leaves\r\nX-Priority-Class: hand-in\r\nX-Timeout-Ms: "+
			"60000\r\nContent-Length: 0\r\n\r\n")
	within(t, dialing, "nothing was dialled")
	_ = c.Close()
	if !within(t, given, "the attempt was not given up") {
		t.Error("it was given up for its time alone")
	}
	if n := within(t, got, "the connection stayed open"); n != 0 {
		t.Error("it was written to")
	}
	for start := time.Now(); ; time.Sleep(time.Millisecond) {
		pool.mu.Lock()
		open := pool.open
		pool.mu.Unlock()
		if open == 0 {
			break
		}
		if time.Since(start) > patience {
			t.Fatalf("%d connections are still counted", open)
		}
	}
}

package proxy

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"lapisspread/decision"
	"lapisspread/internal/proxy/rawsocket"
)

func TestConnectionsAreReused(t *testing.T) {
	var conns atomic.Int32
	p, b := testPool(t, rawBackend(t, func(_ int, c net.Conn, in *bufio.Reader) {
		conns.Add(1)
		for readRequest(in) {
			writeText(c, served)
		}
	}))
	send := func() {
		t.Helper()
		if result, _ := p.exchange(t.Context(), b, testMessage("POST", []byte("x"))); result != decision.OK {
			t.Fatalf("exchange() = %s, want OK", resultName(result))
		}
	}
	send()
	send()
	if n := conns.Load(); n != 1 {
		t.Fatalf("backend got %d connections for two consecutive requests, want 1", n)
	}
	p.closeExpired(time.Now().Add(p.idleTimeout)) // the connection has now been idle for too long
	if p.open != 0 {
		t.Errorf("pool counts %d open connections after closeExpired(), want 0", p.open)
	}
	send()
	if n := conns.Load(); n != 2 {
		t.Errorf("backend got %d connections, want 2: one before closeExpired() and one after", n)
	}
	p.Release(backendID("a"))
	if p.open != 0 {
		t.Errorf("pool counts %d open connections after Release(), want 0", p.open)
	}
}

// If the backend closes a connection while it is idle, the next attempt uses another connection.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	p, b := testPool(t, rawBackend(t, func(_ int, c net.Conn, in *bufio.Reader) {
		if readRequest(in) {
			writeText(c, served)
		}
	}))
	for i := range 3 {
		if result, _ := p.exchange(t.Context(), b, testMessage("GET", nil)); result != decision.OK {
			t.Fatalf("exchange() number %d (from 0) = %s, want OK", i, resultName(result))
		}
		for start := time.Now(); ; time.Sleep(time.Millisecond) { // until the close is visible on the socket
			p.mu.Lock()
			open := len(b.idle) > 0 && b.idle[0].isSilent()
			p.mu.Unlock()
			if !open {
				break
			}
			if time.Since(start) > patience {
				t.Fatalf("isSilent() of the closed idle connection is still true after %v", patience)
			}
		}
	}
}

// A backend closes idle connections early. After an idle connection broke on reuse, connections that were idle
// equally long are not reused, and the limit recovers after some time.
func TestReuseLimitFollowsBrokenConnections(t *testing.T) {
	var conns atomic.Int32
	p, b := testPool(t, rawBackend(t, func(n int, c net.Conn, in *bufio.Reader) {
		conns.Add(1)
		for i := 0; readRequest(in) && (n > 0 || i == 0); i++ {
			writeText(c, served)
		}
	}))
	send := func(idle time.Duration, want decision.Result, wantConns int32) {
		t.Helper()
		for _, c := range b.idle {
			c.idleSince = time.Now().Add(-idle)
		}
		if result, _ := p.exchange(t.Context(), b, testMessage("POST", []byte("x"))); result != want ||
			conns.Load() != wantConns {
			t.Fatalf("exchange() after an idle time of %v = %s with %d connections made, want %s with %d", idle,
				resultName(result), conns.Load(), resultName(want), wantConns)
		}
	}
	p.staleWindow = patience // long enough for a slow machine
	send(0, decision.OK, 1)
	send(10*time.Second, decision.Reset, 1)
	if p.reuseLimit > 6*time.Second {
		t.Errorf("reuseLimit = %v after a connection idle for 10 s broke, want at most 6 s", p.reuseLimit)
	}
	p.reuseLimitAt = time.Now().Add(time.Hour)
	send(6*time.Second, decision.OK, 2)
	send(time.Second, decision.OK, 2)
	p.noteBrokenIdleConn(0)
	p.reuseLimitAt = time.Now().Add(time.Hour)
	send(time.Second, decision.OK, 3)
	p.reuseLimitAt = time.Now().Add(-time.Hour)
	send(p.idleTimeout-patience/4, decision.OK, 3)
}

func TestBackendConnectionsAreLimited(t *testing.T) {
	received, respond := make(chan bool, 8), make(chan bool)
	p, b := testPool(t, rawBackend(t, func(_ int, c net.Conn, in *bufio.Reader) {
		for readRequest(in) {
			received <- true
			<-respond
			writeText(c, served)
		}
	}))
	p.maxOpen = 2
	results := make(chan decision.Result, 2)
	for range 2 {
		go func() {
			result, _ := p.exchange(t.Context(), b, testMessage("GET", nil))
			results <- result
		}()
		within(t, received, "the backend got no request")
	}
	// A lack of sockets must not count against the backend, for requests or health checks.
	if result, _ := p.exchange(t.Context(), b, testMessage("GET", nil)); result != decision.NotSent {
		t.Errorf("exchange() at the connection limit = %s, want NotSent", resultName(result))
	}
	if result := p.checkHealth(t.Context(), b); result != decision.NotSent {
		t.Errorf("checkHealth() at the connection limit = %s, want NotSent", resultName(result))
	}
	close(respond)
	for range 2 {
		if result := within(t, results, "exchange() did not return"); result != decision.OK {
			t.Errorf("exchange() on one of the two allowed connections = %s, want OK", resultName(result))
		}
	}
	// Both connections are idle now. One of them is closed to make room for a connection to another backend.
	p.Update(List{Endpoints: []Member{{ID: "b", State: decision.Ready, Addr: rawBackend(t, func(_ int, c net.Conn,
		in *bufio.Reader) {
		readRequest(in)
		writeText(c, served)
	})}}})
	if result, _ := p.exchange(t.Context(), p.lookup(backendID("b")), testMessage("GET", nil)); result != decision.OK {
		t.Errorf("exchange() with only idle connections to another backend = %s, want OK", resultName(result))
	}
}

// At the connection limit only the connection that was idle for longest is closed.
func TestLongestIdleIsEvicted(t *testing.T) {
	serveAll := func(_ int, c net.Conn, in *bufio.Reader) {
		for readRequest(in) {
			writeText(c, served)
		}
	}
	for _, idle := range []int{1, 2} {
		p, b := testPool(t, rawBackend(t, serveAll))
		p.maxOpen = idle
		var conns []*conn
		for range idle {
			c, err := p.dial(t.Context(), b)
			if err != nil {
				t.Fatalf("dial() of backend a: %v", err)
			}
			conns = append(conns, c)
		}
		for _, c := range conns {
			p.putIdle(b, c)
		}
		p.Update(List{Endpoints: []Member{{ID: "b", State: decision.Ready, Addr: rawBackend(t, serveAll)}}})
		if result, _ := p.exchange(t.Context(), p.lookup(backendID("b")), testMessage("GET",
			nil)); result != decision.OK {
			t.Errorf("exchange() with %d idle connections to another backend = %s, want OK", idle, resultName(result))
		}
		if rawsocket.Silent(conns[0].Conn) || idle > 1 && !rawsocket.Silent(conns[1].Conn) || p.open != idle ||
			len(b.idle) != idle-1 {
			t.Errorf("after one of %d idle connections was evicted: %d open, %d idle, want %d and %d, and only the "+
				"longest idle one closed", idle, p.open, len(b.idle), idle, idle-1)
		}
	}
}

// Bytes after a valid response are discarded, whether they arrive with it or while the connection is idle.
func TestBytesBehindResponseAreNotServed(t *testing.T) {
	const second = "HTTP/1.1 200 OK\nContent-Length: 5\n\nwrong"
	for name, late := range map[string]bool{"with the response": false, "while idle": true} {
		t.Run(name, func(t *testing.T) {
			sendSecond := make(chan bool, 1)
			var conns atomic.Int32
			p, b := testPool(t, rawBackend(t, func(n int, c net.Conn, in *bufio.Reader) {
				conns.Add(1)
				for readRequest(in) {
					if !late {
						writeText(c, served+second)
						continue
					}
					writeText(c, served)
					if n == 0 {
						<-sendSecond
						writeText(c, second)
					}
				}
			}))
			for i := range 2 {
				result, body := p.exchange(t.Context(), b, testMessage("POST", []byte("x")))
				if result != decision.OK || string(body) != "fine" {
					t.Fatalf("exchange() number %d (from 0) = %s, body %q; want OK, body \"fine\"", i,
						resultName(result), body)
				}
				if !late || i > 0 {
					continue
				}
				if len(b.idle) != 1 {
					t.Fatalf("%d idle connections after the first response, want 1", len(b.idle))
				}
				c := b.idle[0]
				sendSecond <- true
				for start := time.Now(); c.isSilent(); time.Sleep(time.Millisecond) {
					if time.Since(start) > patience {
						t.Fatalf("isSilent() is still true %v after the backend sent a second response", patience)
					}
				}
			}
			if n := conns.Load(); n != 2 {
				t.Errorf("pool made %d connections, want 2", n)
			}
		})
	}
}

// A new backend ID at the address of a removed backend reuses none of its connections, not even one that was in use
// during the removal.
func TestNewIDGetsNewConnections(t *testing.T) {
	var conns atomic.Int32
	received, respond := make(chan bool, 2), make(chan bool, 2)
	addr := rawBackend(t, func(_ int, c net.Conn, in *bufio.Reader) {
		conns.Add(1)
		for readRequest(in) {
			received <- true
			<-respond
			writeText(c, served)
		}
	})
	p, b := testPool(t, addr)
	done := make(chan decision.Result, 1)
	go func() {
		result, _ := p.exchange(t.Context(), b, testMessage("GET", nil))
		done <- result
	}()
	within(t, received, "the backend got no request")
	p.Update(List{Full: true, Endpoints: []Member{{ID: "new", Addr: addr, State: decision.Ready}}})
	respond <- true
	if result := within(t, done, "exchange() did not return"); result != decision.OK {
		t.Errorf("exchange() in flight during the update = %s, want OK", resultName(result))
	}
	respond <- true
	if result, _ := p.exchange(t.Context(), p.lookup(backendID("new")), testMessage("GET",
		nil)); result != decision.OK {
		t.Errorf("exchange() with the new backend = %s, want OK", resultName(result))
	}
	if n := conns.Load(); n != 2 {
		t.Errorf("pool made %d connections, want 2", n)
	}
}

// A backend that drains, is removed or moves while a connection to it is being established gets no request on that
// connection.
func TestDrainWhileConnecting(t *testing.T) {
	for name, change := range map[string]Member{
		"draining":    {ID: "a", State: decision.Draining},
		"removed":     {ID: "a", State: decision.Removed},
		"new address": {ID: "a", State: decision.Ready, Addr: "127.0.0.1:1"},
	} {
		t.Run(name, func(t *testing.T) {
			var requests atomic.Int32
			p, b := testPool(t, rawBackend(t, func(_ int, c net.Conn, in *bufio.Reader) {
				for readRequest(in) {
					requests.Add(1)
					writeText(c, served)
				}
			}))
			dial := p.dialer
			p.dialer = func(ctx context.Context, network, addr string) (net.Conn, error) {
				defer p.Update(List{Endpoints: []Member{change}})
				return dial(ctx, network, addr)
			}
			if result, _ := p.exchange(t.Context(), b, testMessage("GET", nil)); result != decision.ConnectFailed {
				t.Errorf("exchange() with a backend changed during the dial = %s, want ConnectFailed",
					resultName(result))
			}
			if n := requests.Load(); n != 0 {
				t.Errorf("the backend got %d requests after the change of the list, want 0", n)
			}
		})
	}
}

func TestDrainClosesIdleConnections(t *testing.T) {
	p, b := testPool(t, rawBackend(t, func(_ int, c net.Conn, in *bufio.Reader) {
		for readRequest(in) {
			writeText(c, served)
		}
	}))
	p.exchange(t.Context(), b, testMessage("GET", nil))
	p.Update(List{Endpoints: []Member{{ID: "a", State: decision.Draining}}})
	if p.open != 0 {
		t.Errorf("pool counts %d open connections to a draining backend, want 0", p.open)
	}
	if result, _ := p.exchange(t.Context(), b, testMessage("GET", nil)); result != decision.ConnectFailed {
		t.Errorf("exchange() with a draining backend = %s, want ConnectFailed", resultName(result))
	}
}

// For every configured idle timeout a connection is reused only within half of it. A connection that broke lowers the
// limit for a while, never permanently.
func TestReuseLimitsOfManySettings(t *testing.T) {
	for _, timeout := range []time.Duration{0, time.Millisecond, 100 * time.Millisecond, time.Second, 10 * time.Second,
		time.Hour} {
		t.Run(timeout.String(), func(t *testing.T) {
			p := newPool(16, patience, timeout)
			b := &backend{}
			p.backends[1] = b
			now := time.Now()
			reused := func(age time.Duration) bool {
				near, far := net.Pipe()
				defer func() { _ = far.Close() }()
				p.open++
				c := newConn(near, 0, p.releaseReservation)
				c.idleSince = time.Now().Add(-age)
				b.idle = []*conn{c}
				got, err := p.takeIdle(b)
				if err != nil || p.open != map[bool]int{true: 1, false: 0}[got != nil] {
					t.Errorf("takeIdle() of a connection idle for %v: error %v, connection taken: %v, %d open; want no error and "+
						"one open only if taken", age, err, got != nil, p.open)
				}
				if got != nil {
					_ = got.Close()
				}
				return got != nil
			}
			if reused(timeout / idleTimeoutDivisor) {
				t.Errorf("connection idle for %v was reused, want it rejected because the backend may close it",
					timeout/idleTimeoutDivisor)
			}
			if timeout >= 10*time.Second && !reused(timeout/idleTimeoutDivisor-timeout/10) {
				t.Errorf("connection idle for %v was not reused, want it reused", timeout/idleTimeoutDivisor-timeout/10)
			}
			for _, age := range []time.Duration{0, timeout / 4, timeout / 2, 2 * timeout} {
				p.noteBrokenIdleConn(age)
				if p.reuseLimit > timeout/idleTimeoutDivisor || age > minIdleLimit*idleLimitDivisor &&
					p.reuseLimit > max(age/idleLimitDivisor, minIdleLimit) {
					t.Errorf("reuseLimit = %v after a connection idle for %v broke, want at most %v, and at most %v for longer "+
						"idle times", p.reuseLimit, age, timeout/idleTimeoutDivisor,
						max(age/idleLimitDivisor, minIdleLimit))
				}
			}
			p.reuseLimitAt = now.Add(-64 * idleLimitDoubling)
			if timeout >= 10*time.Second && !reused(timeout/idleTimeoutDivisor-timeout/10) {
				t.Errorf("connection idle for %v was not reused after the limit's recovery time, want it reused",
					timeout/idleTimeoutDivisor-timeout/10)
			}
		})
	}
}

// Closing idle connections, because of their age, for lack of sockets or because the engine releases the backend, does
// not affect a connection that was just taken for a request. A connection on which bytes arrive while it is being
// closed is not reused.
func TestTakenConnectionIsNotClosed(t *testing.T) {
	for name, act := range map[string]func(*pool){
		"expire":  func(p *pool) { p.closeExpired(time.Now().Add(2 * p.idleTimeout)) },
		"release": func(p *pool) { p.Release(backendID("a")) },
		"evict": func(p *pool) {
			p.setMaxOpen(1)
			if p.reserve() {
				p.releaseReservation()
			}
		},
		"the same list": func(p *pool) {
			p.Update(List{Full: true, Endpoints: []Member{{ID: "a", State: decision.Ready}}})
		},
	} {
		t.Run(name, func(t *testing.T) {
			var conns atomic.Int32
			var p *pool
			reuse := false
			p, b := hookedPool(t, rawBackend(t, func(_ int, c net.Conn, in *bufio.Reader) {
				conns.Add(1)
				for readRequest(in) {
					writeText(c, served)
				}
			}), func(_ int, c *hookedConn) {
				c.onChosen = func() {
					if reuse {
						act(p)
					}
				}
			})
			for range 2 {
				if result, _ := p.exchange(t.Context(), b, testMessage("POST", []byte("x"))); result != decision.OK {
					t.Errorf("exchange() = %s, want OK", resultName(result))
				}
				reuse = true
			}
			if n := conns.Load(); n != 1 || p.open != 1 {
				t.Errorf("pool made %d connections, %d are open; want 1 and 1", n, p.open)
			}
			c := b.idle[0]
			act(p) // this time the connection is idle
			if left := len(b.idle); p.open != left || left == 0 && rawsocket.Silent(c.Conn) {
				t.Errorf("pool counts %d idle and %d open connections, want equal numbers, and the "+
					"socket closed if none is idle", left, p.open)
			}
		})
	}
}

// Guards against a client getting the answer to another request: a connection is reused only once it has been idle for
// idleSettleTime, in which a second copy of its last response is noticed.
func TestReusedConnectionHasSettled(t *testing.T) {
	p, b := testPool(t, rawBackend(t, func(_ int, c net.Conn, in *bufio.Reader) {
		for readRequest(in) {
			writeText(c, served)
		}
	}))
	idleSince := time.Time{}
	for i := range 20 {
		m := testMessage("GET", nil)
		m.sendAllowed = func() (time.Time, bool) { // called right before the write
			if idle := time.Since(idleSince); i > 0 && idle < idleSettleTime {
				t.Errorf("request %d was written to a connection that was idle for %v, want at least %v", i, idle, idleSettleTime)
			}
			return time.Time{}, true
		}
		if result, _ := p.exchange(t.Context(), b, m); result != decision.OK {
			t.Fatalf("exchange() number %d = %s, want OK", i, resultName(result))
		}
		if len(b.idle) != 1 {
			t.Fatalf("%d idle connections after exchange() number %d, want 1: it must be reused", len(b.idle), i)
		}
		idleSince = b.idle[0].idleSince
	}
}

// waitHookContext calls onWait when it is first waited for.
type waitHookContext struct {
	context.Context
	once   *sync.Once
	onWait func()
}

func (c waitHookContext) Done() <-chan struct{} {
	c.once.Do(c.onWait)
	return c.Context.Done()
}

// A second copy that comes while a connection settles is not taken for the next response: the request goes to another
// connection.
func TestCopyOnSettlingConnectionIsNotServed(t *testing.T) {
	var first net.Conn
	p, b := testPool(t, rawBackend(t, func(n int, c net.Conn, in *bufio.Reader) {
		if n == 0 {
			first = c
		}
		for readRequest(in) {
			writeText(c, fmt.Sprintf("HTTP/1.1 200 OK\nContent-Length: 1\n\n%d", n))
		}
	}))
	if result, body := p.exchange(t.Context(), b, testMessage("GET", nil)); result != decision.OK || string(body) != "0" {
		t.Fatalf("first exchange() = %s, body %q, want OK, body \"0\"", resultName(result), body)
	}
	idle := b.idle[0]
	idle.idleSince = time.Now().Add(time.Second) // so that the exchange waits
	ctx := waitHookContext{Context: t.Context(), once: &sync.Once{}, onWait: func() {
		writeText(first, "HTTP/1.1 200 OK\nContent-Length: 1\n\n0")
		waitForInput(t, idle.Conn)
	}}
	if result, body := p.exchange(ctx, b, testMessage("GET", nil)); result != decision.OK || string(body) != "1" {
		t.Errorf("exchange() after a second copy = %s, body %q, want OK, body \"1\" of another connection",
			resultName(result), body)
	}
}

// An attempt that ends while it waits for a connection to settle does not count against the backend, and keeps the
// connection.
func TestAttemptEndsWhileConnectionSettles(t *testing.T) {
	for name, c := range map[string]struct {
		cause error
		want  decision.Result
	}{
		"cancelled": {cause: context.Canceled, want: decision.Cancelled},
		"timed out": {cause: context.DeadlineExceeded, want: decision.NotSent},
	} {
		p, b := testPool(t, rawBackend(t, func(_ int, c net.Conn, in *bufio.Reader) {
			for readRequest(in) {
				writeText(c, served)
			}
		}))
		if result, _ := p.exchange(t.Context(), b, testMessage("GET", nil)); result != decision.OK {
			t.Fatalf("%s: first exchange() = %s, want OK", name, resultName(result))
		}
		b.idle[0].idleSince = time.Now().Add(time.Hour)
		ctx, cancel := context.WithCancelCause(t.Context())
		cancel(c.cause)
		if result, _ := p.exchange(ctx, b, testMessage("GET", nil)); result != c.want {
			t.Errorf("%s: exchange() = %s, want %s", name, resultName(result), resultName(c.want))
		}
		if len(b.idle) != 1 || p.open != 1 {
			t.Errorf("%s: %d idle of %d open connections, want 1 of 1", name, len(b.idle), p.open)
		}
	}
}

package proxy

import (
	"bufio"
	"context"
	"net"
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
			t.Fatalf("result %v", result)
		}
	}
	send()
	send()
	if n := conns.Load(); n != 1 {
		t.Fatalf("%d connections for two requests in turn", n)
	}
	p.closeExpired(time.Now().Add(p.idleTimeout)) // it has been idle for long
	if p.open != 0 {
		t.Errorf("%d connections after all were retired", p.open)
	}
	send()
	if n := conns.Load(); n != 2 {
		t.Errorf("%d connections, want a second one", n)
	}
	p.Release(backendID("a"))
	if p.open != 0 {
		t.Errorf("%d connections after the idle ones were released", p.open)
	}
}

// The backend closes a connection while it is idle: the next attempt takes another one.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	p, b := testPool(t, rawBackend(t, func(_ int, c net.Conn, in *bufio.Reader) {
		if readRequest(in) {
			writeText(c, served)
		}
	}))
	for i := range 3 {
		if result, _ := p.exchange(t.Context(), b, testMessage("GET", nil)); result != decision.OK {
			t.Fatalf("attempt %d: result %v", i, result)
		}
		for start := time.Now(); ; time.Sleep(time.Millisecond) { // until the close has been noticed
			p.mu.Lock()
			open := len(b.idle) > 0 && b.idle[0].isSilent()
			p.mu.Unlock()
			if !open {
				break
			}
			if time.Since(start) > patience {
				t.Fatal("the connection's end was not noticed")
			}
		}
	}
}

// A backend closes idle connections early: a connection that was idle as long as the one that broke is not reused, and
// the limit recovers after some time.
func TestReuseLimitFollowsBrokenConnections(t *testing.T) {
	var conns atomic.Int32
	p, b := testPool(t, rawBackend(t, func(n int, c net.Conn, in *bufio.Reader) {
		conns.Add(1)
		for i := 0; readRequest(in) && (n > 0 || i == 0); i++ {
			writeText(c, served)
		}
	}))
	send := func(idle time.Duration, want decision.Result, connsWant int32) {
		t.Helper()
		for _, c := range b.idle {
			c.idleSince = time.Now().Add(-idle)
		}
		if result, _ := p.exchange(t.Context(), b, testMessage("POST", []byte("x"))); result != want ||
			conns.Load() != connsWant {
			t.Fatalf("idle for %v: result %v on %d connections, want %v on %d", idle, result, conns.Load(), want,
				connsWant)
		}
	}
	p.staleWindow = patience // on a machine of any speed
	send(0, decision.OK, 1)
	send(10*time.Second, decision.Reset, 1)
	if p.reuseLimit > 6*time.Second {
		t.Errorf("after one that had been idle for 10 s broke, the limit is %v", p.reuseLimit)
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
	came, leave := make(chan bool, 8), make(chan bool)
	p, b := testPool(t, rawBackend(t, func(_ int, c net.Conn, in *bufio.Reader) {
		for readRequest(in) {
			came <- true
			<-leave
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
		within(t, came, "no request came")
	}
	// A lack of sockets must not count against the backend, for requests or health checks.
	if result, _ := p.exchange(t.Context(), b, testMessage("GET", nil)); result != decision.NotSent {
		t.Errorf("with no socket left: result %v, want Moot", result)
	}
	if result := p.checkHealth(t.Context(), b); result != decision.NotSent {
		t.Errorf("a probe with no socket left: result %v, want Moot", result)
	}
	close(leave)
	for range 2 {
		if result := within(t, results, "no answer"); result != decision.OK {
			t.Errorf("result %v", result)
		}
	}
	// Both are idle now, and make room for one to another backend.
	p.Update(List{Endpoints: []Member{{ID: "b", State: decision.Ready, Addr: rawBackend(t, func(_ int, c net.Conn,
		in *bufio.Reader) {
		readRequest(in)
		writeText(c, served)
	})}}})
	if result, _ := p.exchange(t.Context(), p.lookup(backendID("b")), testMessage("GET", nil)); result != decision.OK {
		t.Errorf("with idle connections elsewhere: result %v", result)
	}
}

// Without a free socket the connection that was idle for longest is closed, and no other.
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
				t.Fatal(err)
			}
			conns = append(conns, c)
		}
		for _, c := range conns {
			p.putIdle(b, c)
		}
		p.Update(List{Endpoints: []Member{{ID: "b", State: decision.Ready, Addr: rawBackend(t, serveAll)}}})
		if result, _ := p.exchange(t.Context(), p.lookup(backendID("b")), testMessage("GET",
			nil)); result != decision.OK {
			t.Errorf("%d idle: result %v", idle, result)
		}
		if rawsocket.Silent(conns[0].Conn) || idle > 1 && !rawsocket.Silent(conns[1].Conn) || p.open != idle ||
			len(b.idle) != idle-1 {
			t.Errorf("%d idle: %d open, %d left idle", idle, p.open, len(b.idle))
		}
	}
}

// Bytes behind a valid response are discarded, whether they come with it or while the connection is idle.
func TestBytesBehindResponseAreNotServed(t *testing.T) {
	const second = "HTTP/1.1 200 OK\nContent-Length: 5\n\nwrong"
	for name, late := range map[string]bool{"at once": false, "while idle": true} {
		t.Run(name, func(t *testing.T) {
			behind := make(chan bool, 1)
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
						<-behind
						writeText(c, second)
					}
				}
			}))
			for i := range 2 {
				result, body := p.exchange(t.Context(), b, testMessage("POST", []byte("x")))
				if result != decision.OK || string(body) != "fine" {
					t.Fatalf("request %d: result %v, body %q", i, result, body)
				}
				if !late || i > 0 {
					continue
				}
				if len(b.idle) != 1 {
					t.Fatal("the connection was not kept")
				}
				c := b.idle[0]
				behind <- true
				for start := time.Now(); c.isSilent(); time.Sleep(time.Millisecond) {
					if time.Since(start) > patience {
						t.Fatal("what came was not noticed")
					}
				}
			}
			if n := conns.Load(); n != 2 {
				t.Errorf("%d connections, want 2", n)
			}
		})
	}
}

// A new ID at the address of a removed backend gets none of that one's connections, not even one that was in use then.
func TestNewIDGetsNewConnections(t *testing.T) {
	var conns atomic.Int32
	came, leave := make(chan bool, 2), make(chan bool, 2)
	addr := rawBackend(t, func(_ int, c net.Conn, in *bufio.Reader) {
		conns.Add(1)
		for readRequest(in) {
			came <- true
			<-leave
			writeText(c, served)
		}
	})
	p, b := testPool(t, addr)
	done := make(chan decision.Result, 1)
	go func() {
		result, _ := p.exchange(t.Context(), b, testMessage("GET", nil))
		done <- result
	}()
	within(t, came, "no request came")
	p.Update(List{Full: true, Endpoints: []Member{{ID: "new", Addr: addr, State: decision.Ready}}})
	leave <- true
	if result := within(t, done, "no answer"); result != decision.OK {
		t.Errorf("the request in flight: result %v", result)
	}
	leave <- true
	if result, _ := p.exchange(t.Context(), p.lookup(backendID("new")), testMessage("GET",
		nil)); result != decision.OK {
		t.Errorf("result %v", result)
	}
	if n := conns.Load(); n != 2 {
		t.Errorf("%d connections, want 2", n)
	}
}

// A drain during a connect takes effect before anything is sent.
func TestDrainWhileConnecting(t *testing.T) {
	for name, change := range map[string]Member{
		"drains": {ID: "a", State: decision.Draining},
		"left":   {ID: "a", State: decision.Removed},
		"moved":  {ID: "a", State: decision.Ready, Addr: "127.0.0.1:1"},
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
				t.Errorf("result %v, want ConnectFailed", result)
			}
			if requests.Load() != 0 {
				t.Error("a request went out after the change was told")
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
		t.Errorf("%d connections to a draining backend", p.open)
	}
	if result, _ := p.exchange(t.Context(), b, testMessage("GET", nil)); result != decision.ConnectFailed {
		t.Errorf("result %v, want ConnectFailed", result)
	}
}

// For every configured idle timeout a connection is reused within half of it only, and one that broke lowers the limit
// for a while, never for good.
func TestReuseLimitsOfManySettings(t *testing.T) {
	for _, told := range []time.Duration{0, time.Millisecond, 100 * time.Millisecond, time.Second, 10 * time.Second,
		time.Hour} {
		t.Run(told.String(), func(t *testing.T) {
			p := newPool(16, patience, told)
			b := &backend{}
			p.backends[1] = b
			now := time.Now()
			taken := func(age time.Duration) bool {
				near, far := net.Pipe()
				defer func() { _ = far.Close() }()
				p.open++
				c := newConn(near, 0, p.releaseReservation)
				c.idleSince = time.Now().Add(-age)
				b.idle = []*conn{c}
				got, err := p.takeIdle(b)
				if err != nil || p.open != map[bool]int{true: 1, false: 0}[got != nil] {
					t.Errorf("age %v: %v with %d open", age, err, p.open)
				}
				if got != nil {
					_ = got.Close()
				}
				return got != nil
			}
			if taken(told / idleTimeoutDivisor) {
				t.Error("one was taken that the backend may be about to close")
			}
			if told >= 10*time.Second && !taken(told/idleTimeoutDivisor-told/10) {
				t.Error("one was not taken that is fresh enough")
			}
			for _, age := range []time.Duration{0, told / 4, told / 2, 2 * told} {
				p.noteBrokenIdleConn(age)
				if p.reuseLimit > told/idleTimeoutDivisor || age > minIdleLimit*idleLimitDivisor &&
					p.reuseLimit > max(age/idleLimitDivisor, minIdleLimit) {
					t.Errorf("one broke at the age of %v: the limit is %v", age, p.reuseLimit)
				}
			}
			p.reuseLimitAt = now.Add(-64 * idleLimitDoubling)
			if told >= 10*time.Second && !taken(told/idleTimeoutDivisor-told/10) {
				t.Error("the limit has not come back")
			}
		})
	}
}

// Closing idle connections, for their age, for lack of sockets or by the engine's order, does not affect one that was
// just taken; and one on which bytes arrive as it is closed is not reused.
func TestTakenConnectionIsNotClosed(t *testing.T) {
	for name, act := range map[string]func(*pool){
		"retire":  func(p *pool) { p.closeExpired(time.Now().Add(2 * p.idleTimeout)) },
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
					t.Errorf("result %v", result)
				}
				reuse = true
			}
			if n := conns.Load(); n != 1 || p.open != 1 {
				t.Errorf("%d connections, %d open", n, p.open)
			}
			c := b.idle[0]
			act(p) // now it is idle
			if left := len(b.idle); p.open != left || left == 0 && rawsocket.Silent(c.Conn) {
				t.Errorf("%d idle, %d open", left, p.open)
			}
		})
	}
}

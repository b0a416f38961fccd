package proxy

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"lapisspread/decision"
	"lapisspread/internal/proxy/rawsocket"
)

const patience = 20 * time.Second // for what must come about; no test takes near as long

// rawBackend serves connections by hand: serve gets each with its number, from 0.
func rawBackend(t *testing.T, serve func(n int, c net.Conn, in *bufio.Reader)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go serveRaw(listener, serve)
	return listener.Addr().String()
}

// serveRaw calls serve for each connection until the listener is closed.
func serveRaw(l net.Listener, serve func(n int, c net.Conn, in *bufio.Reader)) {
	for n := 0; ; n++ {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = c.Close() }()
			serve(n, c, bufio.NewReader(c))
		}()
	}
}

// readRequest reads a request with its body, and returns false at the connection's end.
func readRequest(in *bufio.Reader) bool {
	req, err := http.ReadRequest(in)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, req.Body)
	return err == nil
}

func writeText(c net.Conn, text string) {
	_, _ = io.WriteString(c, strings.ReplaceAll(text, "\n", "\r\n"))
}

const served = "HTTP/1.1 200 OK\nContent-Length: 4\n\nfine"

func testPool(t *testing.T, addr string) (*pool, *backend) {
	t.Helper()
	p := newPool(16, patience, 2*patience)
	p.Update(List{Endpoints: []Member{{ID: "a", Addr: addr, State: decision.Ready}}})
	t.Cleanup(func() { p.Update(List{Full: true}) })
	return p, p.lookup(backendID("a"))
}

func testMessage(method string, body []byte) *message {
	return &message{method: method, host: "service.internal", url: url.URL{Path: "/api", RawQuery: "key=k"},
		header: http.Header{"X-Request-Id": {"1"}}, body: body}
}

func TestAttemptResults(t *testing.T) {
	answer := func(text string) func(int, net.Conn, *bufio.Reader) {
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
		"served":    {answer(served), decision.OK},
		"error":     {answer("HTTP/1.1 500 Oh\nContent-Length: 0\n\n"), decision.Error},
		"not found": {answer("HTTP/1.1 404 No\nContent-Length: 0\n\n"), decision.Error},
		"503 turned away": {answer("HTTP/1.1 503 Full\nX-Not-Processed: 1\nContent-Length: 0\n\n"),
			decision.Rejected},
		"504 turned away": {answer("HTTP/1.1 504 Late\nX-Not-Processed: 1\nContent-Length: 0\n\n"),
			decision.Rejected},
		"503 and no word of it": {answer("HTTP/1.1 503 Full\nContent-Length: 0\n\n"), decision.Error},
		"broken after the last byte": {func(_ int, _ net.Conn, in *bufio.Reader) { readRequest(in) },
			decision.Reset},
		"reset after the last byte": {func(_ int, c net.Conn, in *bufio.Reader) {
			readRequest(in)
			_ = c.(*net.TCPConn).SetLinger(0)
		}, decision.Reset},
		"answer cut short": {answer("HTTP/1.1 200 OK\nContent-Length: 9\n\nfine"), decision.Reset},
		"no HTTP":          {answer("what?\n\n"), decision.Reset},
		"answer too long": {answer("HTTP/1.1 200 OK\nContent-Length: 65537\n\n" + strings.Repeat("x",
			maxBufferedBody+1)),
			decision.Reset},
		"two lengths": {answer("HTTP/1.1 200 OK\nContent-Length: 4\nContent-Length: 4\n\nfine"), decision.Reset},
		"length and chunks": {answer("HTTP/1.1 200 OK\nContent-Length: 4\nTransfer-Encoding: chunked\n\n4\nfine\n" +
			"0\n\n"), decision.Reset},
		"negative length": {answer("HTTP/1.1 200 OK\nContent-Length: -4\n\nfine"), decision.Reset},
		"ends by the end": {answer("HTTP/1.1 200 OK\n\nfine"), decision.OK},
		"chunks":          {answer("HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n4\nfine\n0\n\n"), decision.OK},
		"1xx ahead":       {answer("HTTP/1.1 103 Hints\nLink: x\n\nHTTP/1.1 100 Go\n\n" + served), decision.OK},
		"1xx for ever": {func(_ int, c net.Conn, in *bufio.Reader) {
			for readRequest(in); ; {
				if _, err := io.WriteString(c, "HTTP/1.1 103 Hints\r\n\r\n"); err != nil {
					return
				}
			}
		}, decision.Reset},
		"a head without end": {func(_ int, c net.Conn, in *bufio.Reader) {
			for readRequest(in); ; {
				if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nX: "+strings.Repeat("x", 512)); err != nil {
					return
				}
			}
		}, decision.Reset},
		// The connection stays open: the proxy must not wait for what can't become a response.
		"3 GB announced": {func(_ int, c net.Conn, in *bufio.Reader) {
			readRequest(in)
			writeText(c, "HTTP/1.1 200 OK\nContent-Length: 3000000000\n\nfine")
			readRequest(in)
		}, decision.Reset},
		"noise and an open connection": {func(_ int, c net.Conn, in *bufio.Reader) {
			readRequest(in)
			writeText(c, "\x00\x01\n\n")
			readRequest(in)
		}, decision.Reset},
	} {
		t.Run(name, func(t *testing.T) {
			p, b := testPool(t, rawBackend(t, c.serve))
			m := testMessage("POST", []byte("work"))
			read := func() []byte { return nil }
			if name != "answer too long" { // a HEAD response has no body
				read = readStreamed(m)
			}
			result, body := p.exchange(t.Context(), b, m)
			if long := read(); long != nil {
				body = long
			}
			if result != c.want {
				t.Errorf("result %v, want %v", result, c.want)
			}
			if result == decision.OK && string(body) != "fine" {
				t.Errorf("body %q", body)
			}
		})
	}
}

func TestRefusedConnectionIsConnectFailed(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = listener.Close()
	p, b := testPool(t, listener.Addr().String())
	if result, _ := p.exchange(t.Context(), b, testMessage("GET", nil)); result != decision.ConnectFailed {
		t.Errorf("result %v, want ConnectFailed", result)
	}
	if p.open != 0 {
		t.Errorf("%d sockets are still counted", p.open)
	}
}

// Connecting to a machine that drops all packets ends after the configured connect timeout, not after the attempt's.
func TestConnectTimeout(t *testing.T) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = syscall.Close(fd) }()
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	addr := (&net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: name.(*syscall.SockaddrInet4).Port}).String()
	for range 16 { // fill the queue that nobody accepts from
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
		t.Errorf("result %v, want ConnectFailed", result)
	}
	if ctx.Err() != nil {
		t.Error("it waited for as long as the attempt might take")
	}
}

// A request whose last byte was not sent has not run, even if its first ones were.
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
	// Longer than all the buffers on the way, so the write can't end before the break.
	result, _ := p.exchange(t.Context(), b, testMessage("POST", bytes.Repeat([]byte("x"), 16<<20)))
	if result != decision.ConnectFailed {
		t.Errorf("result %v, want ConnectFailed", result)
	}
}

func TestTimeoutAndCancelCloseTheConnection(t *testing.T) {
	for name, want := range map[string]decision.Result{"time-out": decision.Timeout, "cancel": decision.Cancelled} {
		t.Run(name, func(t *testing.T) {
			came, closed := make(chan bool, 1), make(chan bool, 1)
			p, b := testPool(t, rawBackend(t, func(_ int, _ net.Conn, in *bufio.Reader) {
				came <- readRequest(in)
				readRequest(in) // returns at the connection's end
				closed <- true
			}))
			ctx, cancel := context.WithCancel(t.Context())
			if want == decision.Timeout {
				ctx, cancel = context.WithTimeout(t.Context(), 300*time.Millisecond)
			} else {
				go func() { <-came; cancel() }()
			}
			defer cancel()
			if result, _ := p.exchange(ctx, b, testMessage("GET", nil)); result != want {
				t.Errorf("result %v, want %v", result, want)
			}
			within(t, closed, "the connection stayed open")
		})
	}
}

func within[T any](t *testing.T, c <-chan T, what string) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(patience):
		t.Fatal(what)
		panic("not reached")
	}
}

// http.Transport would send both of these again by itself on a stale connection.
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
				t.Errorf("%s: result %v, want %v", method, result, want)
			}
		}
		if n := requests.Load(); n != 2 {
			t.Errorf("%s: the backend got %d requests for two attempts", method, n)
		}
	}
}

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
		t.Errorf("what was in hand: result %v", result)
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

func TestHealthCheck(t *testing.T) {
	paths := make(chan string, 1)
	p, b := testPool(t, rawBackend(t, func(_ int, c net.Conn, in *bufio.Reader) {
		if req, err := http.ReadRequest(in); err == nil {
			paths <- req.Method + " " + req.URL.Path
			writeText(c, "HTTP/1.1 200 OK\nContent-Length: 0\n\n")
		}
	}))
	if result := p.checkHealth(t.Context(), b); result != decision.OK {
		t.Errorf("result %v", result)
	}
	if path := within(t, paths, "no probe came"); path != "GET /ping" {
		t.Errorf("probed by %s", path)
	}
}

func TestHealthCheckOfSilentBackendTimesOut(t *testing.T) {
	p, b := testPool(t, rawBackend(t, func(_ int, _ net.Conn, in *bufio.Reader) {
		readRequest(in)
		readRequest(in)
	}))
	p.connectTimeout = 300 * time.Millisecond
	if result := p.checkHealth(t.Context(), b); result != decision.Timeout {
		t.Errorf("result %v, want Timeout", result)
	}
}

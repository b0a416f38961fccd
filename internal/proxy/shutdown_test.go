package proxy

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"lapisspread/internal/proxy/rawsocket"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// stopAndAwaitDrain stops a proxy and waits until it drains.
func (p *running) stopAndAwaitDrain(t *testing.T) {
	t.Helper()
	p.stop()
	eventually(t, "it does not drain", p.proxy.conns.isDraining)
}

// awaitExit waits for the proxy's end.
func (p *running) awaitExit(t *testing.T) {
	t.Helper()
	if err := within(t, p.done, "the proxy did not end"); err != nil {
		t.Errorf("ended with %v", err)
	}
	p.done <- nil
}

// The process is told to end while a request is in each of its states: it gets its backend's whole response, which
// closes the connection.
func TestDrainCrossesRequest(t *testing.T) {
	const head = "POST /api HTTP/1.1\r\nHost: s\r\nX-Request-ID: e%d\r\nX-Priority-Class: fetch-work\r\n" +
		"X-Timeout-Ms: 19000\r\nContent-Length: 8\r\n\r\n"
	const short, long = 32 << 10, 16 << 20
	states := map[string]struct {
		list     bool // known from the start
		dials    int  // that come up by themselves; -1 is all
		cut      int  // bytes of the request that come before, if not 0
		full     bool // the first attempt is rejected, else
		hold     bool // its response waits
		length   int  // of the response, which is not read before
		inFlight bool
	}{
		"its head half read":                 {list: true, dials: -1, cut: 20},
		"its body half read":                 {list: true, dials: -1, cut: -4},
		"queued":                             {dials: -1, inFlight: true},
		"in its dial":                        {list: true, inFlight: true},
		"in its attempt":                     {list: true, dials: -1, hold: true, inFlight: true},
		"between two attempts":               {list: true, dials: 1, full: true, inFlight: true},
		"its answer half written":            {list: true, dials: -1, length: short, inFlight: true},
		"its long answer half written":       {list: true, dials: -1, length: long, inFlight: true},
		"queued, then in its second attempt": {dials: -1, full: true, hold: true, inFlight: true},
	}
	for name, s := range states {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			came, release, open := make(chan bool, 8), make(chan bool), make(chan bool)
			var attempts, dials atomic.Int32
			text := strings.Repeat("y", max(s.length, 1))
			addr := rawBackend(t, func(_ int, c net.Conn, in *bufio.Reader) {
				if !readRequest(in) {
					return
				}
				if attempts.Add(1) == 1 && s.full {
					writeText(c, "HTTP/1.1 503 Service Unavailable\nX-Not-Processed: 1\nContent-Length: 0\n"+
						"Connection: close\n\n")
					return
				}
				came <- true
				if s.hold {
					<-release
				}
				writeText(c, fmt.Sprintf("HTTP/1.1 200 OK\nContent-Length: %d\nConnection: close\n\n%s", len(text),
					text))
			})
			members := []string{memberText("a", addr, "active"), memberText("b", addr, "active")}
			catalog, known := newCatalog(t), listText(1, true)
			if s.list {
				known = listText(1, true, members...)
			}
			p := startProxy(t, known, catalog, func(c *Config) {
				if s.dials >= 0 {
					c.Decision.Capabilities.ConnectTimeout = patience
				}
			})
			pool := p.onlyPool(t)
			dial, dialling := pool.dialer, make(chan bool, 8)
			pool.dialer = func(ctx context.Context, network, addr string) (net.Conn, error) {
				if s.dials >= 0 && int(dials.Add(1)) > s.dials {
					dialling <- true
					<-open
				}
				return dial(ctx, network, addr)
			}
			c, err := net.Dial("tcp", p.addr)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			request := fmt.Sprintf(head, lastRequestID.Add(1)) + "homework"
			cut := s.cut
			if cut <= 0 {
				cut += len(request)
			}
			_, _ = io.WriteString(c, request[:cut])
			switch {
			case cut < len(request):
				eventually(t, "nothing is read", func() bool {
					for _, c := range p.proxy.conns.snapshot() {
						c.mu.Lock()
						begun := !c.unused
						c.mu.Unlock()
						return begun
					}
					return false
				})
			case s.dials >= 0:
				within(t, dialling, "no connection is made")
			case s.hold && s.list, s.length > 0:
				within(t, came, "the backend got nothing")
			}
			if s.inFlight && s.length == 0 {
				p.waitForInFlight(t, 1)
			}
			p.stopAndAwaitDrain(t)
			_, _ = io.WriteString(c, request[cut:])
			close(open)
			close(release)
			if !s.list {
				catalog.lists <- listText(2, true, members...)
			}
			_ = c.SetReadDeadline(time.Now().Add(patience))
			resp, body := mustRespond(t, 200)(readFinalResponse(bufio.NewReader(c)))
			if body != text {
				t.Errorf("%d bytes of %d came", len(body), len(text))
			}
			if !resp.Close && s.length == 0 { // one that was on its way may have been promised otherwise
				t.Error("the answer leaves its connection open")
			}
			p.awaitExit(t)
		})
	}
}

// newDrainingFrontend returns a front end that began to drain so long ago, before a backend that never responds and
// records the timeout that it is sent.
func newDrainingFrontend(t *testing.T, ago, most time.Duration, told chan<- string) *running {
	t.Helper()
	addr := rawBackend(t, func(_ int, _ net.Conn, in *bufio.Reader) {
		for {
			req, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			told <- req.Header.Get("X-Timeout-Ms")
		}
	})
	list, err := parseList([]byte(listText(1, true, memberText("a", addr, "active"))))
	if err != nil {
		t.Fatal(err)
	}
	svcs := testServices(t, list)
	ctx, cancel := context.WithCancel(t.Context())
	if err := svcs.start(ctx, &svcs.proxy.cfg); err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	conns := newClientConns(8)
	f := newFrontend(svcs, &svcs.proxy.cfg, slog.New(slog.DiscardHandler), conns)
	conns.setDraining(f.clock.Now()-ago, most)
	go func() { _ = f.serve(listener) }()
	t.Cleanup(func() { _ = f.server.Close(); cancel(); svcs.wait() })
	return &running{addr: listener.Addr().String()}
}

// A request that comes so late in a drain that its own deadline lies past the process's end is answered before that;
// one that comes later still is rejected at once and never sent.
func TestLateRequestInDrain(t *testing.T) {
	told := make(chan string, 64)
	const left = 300 * time.Millisecond
	p := newDrainingFrontend(t, drainAcceptPeriod+time.Second, drainAcceptPeriod+time.Second+left, told)
	resp, _, err := p.request(t, "hand-in", 59000, "homework")
	if err != nil || resp.StatusCode == 200 {
		t.Fatalf("answer %v, %v", resp, err)
	}
	for len(told) > 0 {
		if ms, err := strconv.Atoi(<-told); err != nil || ms > int(left.Milliseconds()) {
			t.Errorf("an attempt is waited for %d ms, %v: past the end", ms, err)
		}
	}
	p = newDrainingFrontend(t, time.Minute, drainMargin, told)
	if resp, _ := mustRespond(t, http.StatusServiceUnavailable)(p.request(t, "hand-in", 59000,
		"homework")); !resp.Close {
		t.Error("the refusal leaves its connection open")
	}
	if len(told) != 0 {
		t.Error("what came after the end was sent on")
	}
}

// At the end of a drain connections without a whole head are closed; a whole request in flight stays, and so does one
// that is not read yet.
func TestEndOfDrainKeepsRequests(t *testing.T) {
	conns := newClientConns(8)
	open := func(text string, read int) (net.Conn, *clientConn) {
		client, c := clientPair(t, conns)
		t.Cleanup(func() { _ = c.Close() })
		_, _ = io.WriteString(client, text)
		if read > 0 {
			if _, err := io.ReadFull(c, make([]byte, read)); err != nil {
				t.Fatal(err)
			}
		}
		if read < len(text) {
			eventually(t, "nothing comes", func() bool { return !rawsocket.Silent(c.Conn) })
		}
		return client, c
	}
	whole := "GET / HTTP/1.1\r\n\r\n"
	_, inHand := open(whole, len(whole))
	_, unread := open(whole, 0)
	_, body := open("PUT / HTTP/1.1\r\nContent-Length: 9\r\n\r\nhalf",
		len("PUT / HTTP/1.1\r\nContent-Length: 9\r\n\r\nhalf"))
	_, half := open("GET / HT", 8)
	_, silent := open("", 0)
	conns.closeWithoutRequest()
	for name, x := range map[string]struct {
		c     *clientConn
		stays bool
	}{"in flight": {inHand, true}, "unread": {unread, true}, "body half read": {body, true}, "half a head": {half,
		false}, "silent": {silent, false}} {
		conns.mu.Lock()
		if conns.open[x.c] != x.stays {
			t.Errorf("%s: stays %v, want %v", name, conns.open[x.c], x.stays)
		}
		conns.mu.Unlock()
	}
}

// At SIGTERM requests in flight are finished, and connections that still come are served.
func TestGracefulShutdown(t *testing.T) {
	came, leave := make(chan bool, 8), make(chan bool)
	addr := rawBackend(t, func(_ int, c net.Conn, in *bufio.Reader) {
		for readRequest(in) {
			came <- true
			<-leave
			writeText(c, served)
		}
	})
	p := startProxy(t, listText(1, true, memberText("a", addr, "active")), newCatalog(t), nil)
	idle, err := net.Dial("tcp", p.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = idle.Close() }()
	type result struct {
		resp *http.Response
		err  error
	}
	results := make(chan result, 2)
	ask := func() {
		resp, _, err := p.request(t, "hand-in", 15000, "homework")
		results <- result{resp, err}
	}
	go ask()
	within(t, came, "the first request did not come")
	p.stop()
	go ask() // comes while it ends
	within(t, came, "a request that came while the proxy ends was not taken")
	if _, err := idle.Read(make([]byte, 1)); !errors.Is(err, io.EOF) { // closed once no more connections come
		t.Errorf("the idle connection: %v, want its end", err)
	}
	close(leave)
	for range 2 {
		r := within(t, results, "no answer")
		if r.err != nil {
			t.Fatal(r.err)
		}
		if r.resp.StatusCode != 200 || !r.resp.Close {
			t.Errorf("status %d, connection closes: %v", r.resp.StatusCode, r.resp.Close)
		}
	}
	if err := within(t, p.done, "the proxy did not end"); err != nil {
		t.Errorf("ended with %v", err)
	}
	p.done <- nil
}

// Clients go on using their connections while the proxy shuts down: a request without a response was not sent to a
// backend, so the client may send it again.
func TestShutdownLosesNoRequest(t *testing.T) {
	const clients, requests = 8, 4000
	var seen sync.Map
	addr := rawBackend(t, func(_ int, c net.Conn, in *bufio.Reader) {
		for {
			req, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			seen.Store(req.Header.Get("X-Request-ID"), true)
			writeText(c, served)
		}
	})
	p := startProxy(t, listText(1, true, memberText("a", addr, "active")), newCatalog(t), nil)
	var running sync.WaitGroup
	for n := range clients {
		running.Go(func() {
			id, answered := "", 0
			for range 2 { // a client opens a new connection while it can
				c, err := net.Dial("tcp", p.addr)
				if err != nil {
					break
				}
				defer func() { _ = c.Close() }()
				in := bufio.NewReader(c)
				for i := range requests {
					id = fmt.Sprintf("%d-%d-%d", n, answered, i)
					_, _ = fmt.Fprintf(c,
						"GET /api HTTP/1.1\r\nHost: s\r\nX-Request-ID: %s\r\nX-Priority-Class: fetch-work\r\n"+
							"X-Timeout-Ms: 10000\r\n\r\n", id)
					resp, _, err := readFinalResponse(in)
					if err != nil {
						if _, sent := seen.Load(id); sent {
							t.Errorf("request %s went to a backend and got no answer: %v", id, err)
						}
						break
					}
					if answered++; answered == 1 && n == 0 {
						p.stop()
					}
					if resp.Close {
						break
					}
				}
			}
			if answered == 0 {
				t.Errorf("client %d got no answer at all", n)
			}
		})
	}
	running.Wait()
	if err := within(t, p.done, "the proxy did not end"); err != nil {
		t.Errorf("ended with %v", err)
	}
	p.done <- nil
}

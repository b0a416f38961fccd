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

// stopAndAwaitDrain stops the proxy as SIGTERM does and waits until it drains.
func (p *running) stopAndAwaitDrain(t *testing.T) {
	t.Helper()
	p.stop()
	eventually(t, "the proxy did not start to drain", p.proxy.conns.isDraining)
}

// awaitExit waits until a stopped proxy has ended.
func (p *running) awaitExit(t *testing.T) {
	t.Helper()
	if err := within(t, p.done, "the proxy did not end"); err != nil {
		t.Errorf("Proxy.serve = %v, want nil", err)
	}
	p.done <- nil
}

// The proxy is stopped while a request is in one of the states below: the client must still get the backend's complete
// response, and the response closes the connection.
func TestDrainCrossesRequest(t *testing.T) {
	const head = "POST /api HTTP/1.1\r\nHost: s\r\nX-Request-ID: e%d\r\nX-Priority-Class: fetch-work\r\n" +
		"X-Timeout-Ms: 19000\r\nContent-Length: 8\r\n\r\n"
	const short, long = 32 << 10, 16 << 20
	states := map[string]struct {
		listKnown      bool // the endpoint list is known from the start; else it comes after the stop
		unblockedDials int  // number of dials that don't wait for the stop; -1 is all
		sentBefore     int  // bytes of the request sent before the stop; negative counts from its end, 0 is all
		rejectFirst    bool // the backend rejects the first attempt
		holdResponse   bool // the backend responds only after the stop
		responseBytes  int  // length of a response whose sending begins before the stop; 0 is a body of 1 byte
		inFlight       bool // the request counts as in flight before the stop
	}{
		"head partly read":               {listKnown: true, unblockedDials: -1, sentBefore: 20},
		"body partly read":               {listKnown: true, unblockedDials: -1, sentBefore: -4},
		"queued without a backend":       {unblockedDials: -1, inFlight: true},
		"connecting to the backend":      {listKnown: true, inFlight: true},
		"waiting for the response":       {listKnown: true, unblockedDials: -1, holdResponse: true, inFlight: true},
		"connecting for second attempt":  {listKnown: true, unblockedDials: 1, rejectFirst: true, inFlight: true},
		"buffered response being sent":   {listKnown: true, unblockedDials: -1, responseBytes: short, inFlight: true},
		"streamed response being sent":   {listKnown: true, unblockedDials: -1, responseBytes: long, inFlight: true},
		"queued, first attempt rejected": {unblockedDials: -1, rejectFirst: true, holdResponse: true, inFlight: true},
	}
	for name, s := range states {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			received, release, allowDials := make(chan bool, 8), make(chan bool), make(chan bool)
			var attempts, dials atomic.Int32
			text := strings.Repeat("y", max(s.responseBytes, 1))
			addr := rawBackend(t, func(_ int, c net.Conn, in *bufio.Reader) {
				if !readRequest(in) {
					return
				}
				if attempts.Add(1) == 1 && s.rejectFirst {
					writeText(c, "HTTP/1.1 503 Service Unavailable\nX-Not-Processed: 1\nContent-Length: 0\n"+
						"Connection: close\n\n")
					return
				}
				received <- true
				if s.holdResponse {
					<-release
				}
				writeText(c, fmt.Sprintf("HTTP/1.1 200 OK\nContent-Length: %d\nConnection: close\n\n%s", len(text),
					text))
			})
			members := []string{memberText("a", addr, "active"), memberText("b", addr, "active")}
			catalog, known := newCatalog(t), listText(1, true)
			if s.listKnown {
				known = listText(1, true, members...)
			}
			p := startProxy(t, known, catalog, func(c *Config) {
				if s.unblockedDials >= 0 {
					c.Decision.Capabilities.ConnectTimeout = patience
				}
			})
			pool := p.onlyPool(t)
			dial, dialing := pool.dialer, make(chan bool, 8)
			pool.dialer = func(ctx context.Context, network, addr string) (net.Conn, error) {
				if s.unblockedDials >= 0 && int(dials.Add(1)) > s.unblockedDials {
					dialing <- true
					<-allowDials
				}
				return dial(ctx, network, addr)
			}
			c, err := net.Dial("tcp", p.addr)
			if err != nil {
				t.Fatalf("connecting to the proxy: %v", err)
			}
			defer func() { _ = c.Close() }()
			request := fmt.Sprintf(head, lastRequestID.Add(1)) + "homework"
			sent := s.sentBefore
			if sent <= 0 {
				sent += len(request)
			}
			_, _ = io.WriteString(c, request[:sent])
			switch {
			case sent < len(request):
				eventually(t, "the proxy did not read the start of the request", func() bool {
					for _, c := range p.proxy.conns.snapshot() {
						c.mu.Lock()
						started := !c.unused
						c.mu.Unlock()
						return started
					}
					return false
				})
			case s.unblockedDials >= 0:
				within(t, dialing, "the pool did not dial the backend")
			case s.holdResponse && s.listKnown, s.responseBytes > 0:
				within(t, received, "the backend got no request")
			}
			if s.inFlight && s.responseBytes == 0 {
				p.waitForInFlight(t, 1)
			}
			p.stopAndAwaitDrain(t)
			_, _ = io.WriteString(c, request[sent:])
			close(allowDials)
			close(release)
			if !s.listKnown {
				catalog.lists <- listText(2, true, members...)
			}
			_ = c.SetReadDeadline(time.Now().Add(patience))
			resp, body := mustRespond(t, 200)(readFinalResponse(bufio.NewReader(c)))
			if body != text {
				t.Errorf("the client got a body of %d bytes that differs from the backend's body of %d bytes", len(body), len(text))
			}
			if !resp.Close && s.responseBytes == 0 { // a response that started before the stop may have no Connection: close
				t.Error("the response after the stop has no Connection: close")
			}
			p.awaitExit(t)
		})
	}
}

// newHangingFrontend returns a front end and its connections. Its backend never responds and sends the X-Timeout-Ms of
// each request to timeouts, as soon as it has the request's head.
func newHangingFrontend(t *testing.T, timeouts chan<- string) (*running, *clientConns) {
	t.Helper()
	addr := rawBackend(t, func(_ int, _ net.Conn, in *bufio.Reader) {
		for {
			req, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			timeouts <- req.Header.Get("X-Timeout-Ms")
			_, _ = io.Copy(io.Discard, req.Body)
		}
	})
	list, err := parseList([]byte(listText(1, true, memberText("a", addr, "active"))))
	if err != nil {
		t.Fatalf("parseList: %v", err)
	}
	svcs := testServices(t, list)
	ctx, cancel := context.WithCancel(t.Context())
	if err := svcs.start(ctx, &svcs.proxy.cfg); err != nil {
		t.Fatalf("serviceSet.start: %v", err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listening: %v", err)
	}
	conns := svcs.proxy.conns
	f := newFrontend(svcs, &svcs.proxy.cfg, slog.New(slog.DiscardHandler), conns)
	go func() { _ = f.serve(listener) }()
	t.Cleanup(func() { _ = f.server.Close(); cancel(); svcs.wait() })
	return &running{addr: listener.Addr().String()}, conns
}

// newDrainingFrontend returns a front end of newHangingFrontend that began to drain the time elapsed ago and must have
// responded to late requests within timeout of that.
func newDrainingFrontend(t *testing.T, elapsed, timeout time.Duration, timeouts chan<- string) *running {
	t.Helper()
	p, conns := newHangingFrontend(t, timeouts)
	conns.setDraining(time.Now().Add(-elapsed), timeout)
	return p
}

// Guards against requests without an answer at the end of the process: a request whose long body was begun before the
// drain and whose last byte arrives late in it is answered by the end of the drain, as are those whose bodies are still
// on their way then. Each client's own time is 59 s.
func TestLongBodyAcrossDrainIsAnswered(t *testing.T) {
	const head = "POST /api HTTP/1.1\r\nHost: s\r\nX-Request-ID: long\r\nX-Priority-Class: hand-in\r\n" +
		"X-Timeout-Ms: 59000\r\nContent-Length: 100000\r\n\r\n"
	body := strings.Repeat("x", 100000)
	for name, c := range map[string]struct {
		late   int // bytes sent once the drain has begun
		status int
	}{
		"last byte arrives late in the drain": {10, http.StatusGatewayTimeout},
		"last byte does not arrive":           {9, http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			timeouts := make(chan string, 8)
			p, conns := newHangingFrontend(t, timeouts)
			client, err := net.Dial("tcp", p.addr)
			if err != nil {
				t.Fatalf("connecting: %v", err)
			}
			defer func() { _ = client.Close() }()
			_, _ = io.WriteString(client, head+body[10:])
			within(t, timeouts, "the backend did not get the request's head")
			elapsed := drainAcceptPeriod + time.Second
			conns.setDraining(time.Now().Add(-elapsed), elapsed+300*time.Millisecond)
			_, _ = io.WriteString(client, body[:c.late])
			_ = client.SetReadDeadline(time.Now().Add(patience))
			mustRespond(t, c.status)(readFinalResponse(bufio.NewReader(client)))
		})
	}
}

// A request that arrives late in a drain, with a deadline after the process's end, gets a response before that end.
// A request that arrives when no time is left is rejected at once and not sent to a backend.
func TestLateRequestInDrain(t *testing.T) {
	timeouts := make(chan string, 64)
	const timeLeft = 300 * time.Millisecond
	p := newDrainingFrontend(t, drainAcceptPeriod+time.Second, drainAcceptPeriod+time.Second+timeLeft, timeouts)
	resp, _, err := p.request(t, "hand-in", 59000, "homework")
	if err != nil || resp.StatusCode == 200 {
		t.Fatalf("request late in the drain: response %+v, error %v; want a response other than 200", resp, err)
	}
	for len(timeouts) > 0 {
		if ms, err := strconv.Atoi(<-timeouts); err != nil || ms > int(timeLeft.Milliseconds()) {
			t.Errorf("the backend got X-Timeout-Ms %d (parse error %v), want at most %d, the time left in the drain",
				ms, err, timeLeft.Milliseconds())
		}
	}
	p = newDrainingFrontend(t, time.Minute, drainMargin, timeouts)
	if resp, _ := mustRespond(t, http.StatusServiceUnavailable)(p.request(t, "hand-in", 59000,
		"homework")); !resp.Close {
		t.Error("the rejection of a request when no time is left in the drain has no Connection: close")
	}
	if len(timeouts) != 0 {
		t.Errorf("the backend got %d requests that arrived when no time was left, want 0", len(timeouts))
	}
}

// At the end of a drain, connections without a complete request head are closed. Those with a request in flight or
// with unread bytes stay open.
func TestEndOfDrainKeepsRequests(t *testing.T) {
	conns := newClientConns(8)
	open := func(text string, read int) (net.Conn, *clientConn) {
		client, c := clientPair(t, conns)
		t.Cleanup(func() { _ = c.Close() })
		_, _ = io.WriteString(client, text)
		if read > 0 {
			if _, err := io.ReadFull(c, make([]byte, read)); err != nil {
				t.Fatalf("reading the first %d bytes: %v", read, err)
			}
		}
		if read < len(text) {
			eventually(t, "the client's bytes did not arrive", func() bool { return !rawsocket.Silent(c.Conn) })
		}
		return client, c
	}
	request := "GET / HTTP/1.1\r\n\r\n"
	_, inFlight := open(request, len(request))
	_, unread := open(request, 0)
	_, partialBody := open("PUT / HTTP/1.1\r\nContent-Length: 9\r\n\r\nhalf",
		len("PUT / HTTP/1.1\r\nContent-Length: 9\r\n\r\nhalf"))
	_, partialHead := open("GET / HT", 8)
	_, silent := open("", 0)
	conns.closeWithoutRequest()
	for name, tc := range map[string]struct {
		c     *clientConn
		stays bool
	}{"request in flight": {inFlight, true}, "unread request": {unread, true}, "body partly read": {partialBody, true},
		"head partly read": {partialHead, false}, "nothing sent": {silent, false}} {
		conns.mu.Lock()
		if conns.open[tc.c] != tc.stays {
			t.Errorf("connection with %s after closeWithoutRequest: open %v, want %v", name, conns.open[tc.c], tc.stays)
		}
		conns.mu.Unlock()
	}
}

// When the proxy is stopped, requests in flight are finished, and connections that still arrive are served.
func TestGracefulShutdown(t *testing.T) {
	received, release := make(chan bool, 8), make(chan bool)
	addr := rawBackend(t, func(_ int, c net.Conn, in *bufio.Reader) {
		for readRequest(in) {
			received <- true
			<-release
			writeText(c, served)
		}
	})
	p := startProxy(t, listText(1, true, memberText("a", addr, "active")), newCatalog(t), nil)
	idle, err := net.Dial("tcp", p.addr)
	if err != nil {
		t.Fatalf("connecting the idle client: %v", err)
	}
	defer func() { _ = idle.Close() }()
	type result struct {
		resp *http.Response
		err  error
	}
	results := make(chan result, 2)
	sendRequest := func() {
		resp, _, err := p.request(t, "hand-in", 15000, "homework")
		results <- result{resp, err}
	}
	go sendRequest()
	within(t, received, "the backend did not get the first request")
	p.stop()
	go sendRequest() // arrives while the proxy drains
	within(t, received, "the backend did not get the request that arrived while the proxy drained")
	if _, err := idle.Read(make([]byte, 1)); !errors.Is(err, io.EOF) { // closed once no more connections are accepted
		t.Errorf("Read from the idle connection = %v, want io.EOF", err)
	}
	close(release)
	for range 2 {
		r := within(t, results, "a request got no result")
		if r.err != nil {
			t.Fatalf("request across the stop of the proxy = %v, want a response", r.err)
		}
		if r.resp.StatusCode != 200 || !r.resp.Close {
			t.Errorf("response during the drain: status %d, Connection: close %v; want 200, true",
				r.resp.StatusCode, r.resp.Close)
		}
	}
	if err := within(t, p.done, "the proxy did not end"); err != nil {
		t.Errorf("Proxy.serve = %v, want nil", err)
	}
	p.done <- nil
}

// Clients keep using their connections while the proxy shuts down: a request that gets no response must not have been
// sent to a backend, so that the client may send it again.
func TestShutdownLosesNoRequest(t *testing.T) {
	const clients, requests = 8, 4000
	var sentToBackend sync.Map // keys are request IDs
	addr := rawBackend(t, func(_ int, c net.Conn, in *bufio.Reader) {
		for {
			req, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			sentToBackend.Store(req.Header.Get("X-Request-ID"), true)
			writeText(c, served)
		}
	})
	p := startProxy(t, listText(1, true, memberText("a", addr, "active")), newCatalog(t), nil)
	var clientGroup sync.WaitGroup
	for n := range clients {
		clientGroup.Go(func() {
			id, responses := "", 0
			for range 2 { // each client reconnects once
				c, err := net.Dial("tcp", p.addr)
				if err != nil {
					break
				}
				defer func() { _ = c.Close() }()
				in := bufio.NewReader(c)
				for i := range requests {
					id = fmt.Sprintf("%d-%d-%d", n, responses, i)
					_, _ = fmt.Fprintf(c,
						"GET /api HTTP/1.1\r\nHost: s\r\nX-Request-ID: %s\r\nX-Priority-Class: fetch-work\r\n"+
							"X-Timeout-Ms: 10000\r\n\r\n", id)
					resp, _, err := readFinalResponse(in)
					if err != nil {
						if _, sent := sentToBackend.Load(id); sent {
							t.Errorf("request %s was sent to a backend but its client got no response: %v", id, err)
						}
						break
					}
					if responses++; responses == 1 && n == 0 {
						p.stop()
					}
					if resp.Close {
						break
					}
				}
			}
			if responses == 0 {
				t.Errorf("client %d got no response, want at least one", n)
			}
		})
	}
	clientGroup.Wait()
	if err := within(t, p.done, "the proxy did not end"); err != nil {
		t.Errorf("Proxy.serve = %v, want nil", err)
	}
	p.done <- nil
}

package proxy

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"lapisspread/internal/membudget"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"
)

// A client's request is forwarded to a backend, and the client gets the backend's response. Method, target, host,
// X-Request-ID and body are forwarded unchanged, X-Timeout-Ms is reduced, and no User-Agent is added. A health check of
// the proxy gets status 200.
func TestServed(t *testing.T) {
	got := make(chan *http.Request, 8)
	p := startProxy(t, listText(1, true, memberText("a", countingBackend(t, got), "active")), newCatalog(t), nil)
	_, body := mustRespond(t, 200)(p.request(t, "hand-in", 10000, "homework"))
	if body != "fine" {
		t.Errorf("response body %q, want \"fine\"", body)
	}
	req := within(t, got, "the backend got no request")
	if req.Method != "POST" || req.RequestURI != "/api?key=7f%33" || req.Host != "service.internal" ||
		!strings.HasPrefix(req.Header.Get("X-Request-ID"), "r") {
		t.Errorf("the backend got %s %s, host %s, header %v; want POST /api?key=7f%%33, "+
			"host service.internal, an X-Request-ID that starts with r",
			req.Method, req.RequestURI, req.Host, req.Header)
	}
	if text, _ := io.ReadAll(req.Body); string(text) != "homework" {
		t.Errorf("the backend got the body %q, want \"homework\"", text)
	}
	if ms, err := strconv.Atoi(req.Header.Get("X-Timeout-Ms")); err != nil || ms < 1 || ms >= 10000 {
		t.Errorf("the backend got X-Timeout-Ms %q, want 1 to 9999", req.Header.Get("X-Timeout-Ms"))
	}
	if v, found := req.Header["User-Agent"]; found {
		t.Errorf("the backend got User-Agent %q, want none: the client sent none", v)
	}
	resp, err := http.Get("http://" + p.addr + "/_health")
	if err != nil {
		t.Fatalf("GET /_health: %v", err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != 200 {
		t.Errorf("GET /_health: status %d, want 200", resp.StatusCode)
	}
}

// smuggledRequest is a complete request, which tests send inside or after another request.
const smuggledRequest = "GET /api HTTP/1.1\r\nHost: s\r\nX-Request-ID: hidden\r\nX-Priority-Class: fetch-work\r\n" +
	"X-Timeout-Ms: 9000\r\n\r\n"

// Malformed and oversized requests are rejected with their status, and nothing is sent to a backend.
func TestMalformedRequestsGetNoAttempt(t *testing.T) {
	got := make(chan *http.Request, 8)
	p := startProxy(t, listText(1, true, memberText("a", countingBackend(t, got), "active")), newCatalog(t), nil)
	validLines := []string{"X-Request-ID: r1", "X-Priority-Class: hand-in", "X-Timeout-Ms: 9000", "Content-Length: 2"}
	change := func(i int, line string) []string {
		lines := append([]string(nil), validLines...)
		lines[i] = line
		return lines
	}
	for name, c := range map[string]struct {
		lines  []string
		body   string
		status int
	}{
		"no id":                {change(0, "X-Other: 1"), "ok", 400},
		"unknown class":        {change(1, "X-Priority-Class: checkout"), "ok", 400},
		"no timeout":           {change(2, "X-Other: 1"), "ok", 400},
		"timeout not a number": {change(2, "X-Timeout-Ms: soon"), "ok", 400},
		"negative timeout":     {change(2, "X-Timeout-Ms: -5"), "ok", 400},
		"huge timeout":         {change(2, "X-Timeout-Ms: 99999999999999999999"), "ok", 400},
		"body too long": {change(3, fmt.Sprintf("Content-Length: %d", maxBodyBytes+1)), strings.Repeat("x",
			maxBufferedBody+1), 413},
		"invalid chunks":  {change(3, "Transfer-Encoding: chunked"), "2\r\nok\r\nzz\r\n\r\n", 400},
		"huge length":     {change(3, "Content-Length: 60000000"), "ok", 413},
		"negative length": {change(3, "Content-Length: -2"), "ok", 400},
		"two ids":         {change(0, "X-Request-ID: r1\r\nX-Request-ID: r2"), "ok", 400},
		"request smuggled in the body": {change(3, "Content-Length: 5\r\nTransfer-Encoding: chunked"),
			"0\r\n\r\n" + smuggledRequest, 400},
		"body shorter than its length": {change(3, "Content-Length: 9"), "ok", 408},
	} {
		t.Run(name, func(t *testing.T) {
			conn, err := net.Dial("tcp", p.addr)
			if err != nil {
				t.Fatalf("connecting to the proxy: %v", err)
			}
			defer func() { _ = conn.Close() }()
			_, _ = io.WriteString(conn, "POST /api HTTP/1.1\r\nHost: s\r\n"+strings.Join(c.lines,
				"\r\n")+"\r\n\r\n"+c.body)
			mustRespond(t, c.status)(readFinalResponse(bufio.NewReader(conn)))
		})
	}
	select {
	case req := <-got:
		t.Errorf("the backend got a request with header %v, want none", req.Header)
	default:
	}
}

// A request that is not idempotent and may have run is neither retried nor rejected as not processed.
func TestNonIdempotentRequestIsNotRetried(t *testing.T) {
	got := make(chan bool, 8)
	addr := rawBackend(t, func(_ int, _ net.Conn, in *bufio.Reader) { got <- readRequest(in) })
	p := startProxy(t, listText(1, true, memberText("a", addr, "active")), newCatalog(t), nil)
	mustRespond(t, http.StatusBadGateway)(p.request(t, "hand-in", 10000, "homework"))
	if n := len(got); n != 1 {
		t.Errorf("the backend got %d requests, want 1", n)
	}
}

// A request that is sent to no backend, because no backend is known, is rejected with status 503 and a Retry-After of
// at most 2 seconds.
func TestRejection(t *testing.T) {
	p := startProxy(t, listText(1, true), newCatalog(t), nil)
	resp, _ := mustRespond(t, http.StatusServiceUnavailable)(p.request(t, "hand-in", 600, "homework"))
	if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err != nil || s <= 0 || s > 2 {
		t.Errorf("Retry-After %q, want more than 0 and at most 2 seconds", resp.Header.Get("Retry-After"))
	}
}

// If the backend never responds, the client gets status 504 before its deadline, but not before a quarter of its
// timeout has passed.
func TestDeadline(t *testing.T) {
	addr := rawBackend(t, func(_ int, _ net.Conn, in *bufio.Reader) {
		for readRequest(in) {
		}
	})
	p := startProxy(t, listText(1, true, memberText("a", addr, "active")), newCatalog(t), nil)
	startedAt := time.Now()
	const timeout = 1500
	mustRespond(t, http.StatusGatewayTimeout)(p.request(t, "hand-in", timeout, "homework"))
	if took := time.Since(startedAt); took < timeout/4*time.Millisecond {
		t.Errorf("status 504 after %v with X-Timeout-Ms %d, want at least a quarter of the timeout", took, timeout)
	}
}

// When the client closes its connection while its request is in flight, the attempt at the backend is cancelled.
func TestClientGone(t *testing.T) {
	received, closed := make(chan bool, 1), make(chan bool, 1)
	addr := rawBackend(t, func(_ int, _ net.Conn, in *bufio.Reader) {
		received <- readRequest(in)
		readRequest(in)
		closed <- true
	})
	p := startProxy(t, listText(1, true, memberText("a", addr, "active")), newCatalog(t), nil)
	c, err := net.Dial("tcp", p.addr)
	if err != nil {
		t.Fatalf("connecting to the proxy: %v", err)
	}
	_, _ = fmt.Fprint(c,
		"POST /api HTTP/1.1\r\nHost: s\r\nX-Request-ID: r1\r\nX-Priority-Class: hand-in\r\nX-Timeout-Ms: 15000\r\n"+
			"Content-Length: 1\r\n\r\nx")
	within(t, received, "the backend got no request")
	_ = c.Close()
	within(t, closed, "the attempt's connection stayed open after the client had left")
}

// A request with the X-Request-ID of a request in flight is rejected with status 409, and the request in flight is not
// affected. Once that has ended, the ID can be used again.
func TestDuplicateRequestID(t *testing.T) {
	received, release := make(chan bool, 8), make(chan bool, 8)
	addr := rawBackend(t, func(_ int, c net.Conn, in *bufio.Reader) {
		for readRequest(in) {
			received <- true
			<-release
			writeText(c, served)
		}
	})
	p := startProxy(t, listText(1, true, memberText("a", addr, "active")), newCatalog(t), nil)
	request := strings.Replace(smuggledRequest, "hidden", "same", 1)
	conns := silentConns(t, p.addr, 3)
	_, _ = io.WriteString(conns[0], request)
	within(t, received, "the backend got no first request")
	_, _ = io.WriteString(conns[1], request)
	in := bufio.NewReader(conns[1])
	if resp, _ := mustRespond(t, 409)(readFinalResponse(in)); !resp.Close {
		t.Error("the rejection of the duplicate request has no Connection: close")
	}
	release <- true
	release <- true
	mustRespond(t, 200)(readFinalResponse(bufio.NewReader(conns[0])))
	for start := time.Now(); ; time.Sleep(time.Millisecond) { // the ID is released shortly after the response
		c := silentConns(t, p.addr, 1)[0]
		_, _ = io.WriteString(c, request)
		resp, _, err := readFinalResponse(bufio.NewReader(c))
		if err != nil {
			t.Fatalf("request with the X-Request-ID of a request that has ended: %v, want a response", err)
		}
		// On a busy machine the first response may be late, which lowers the only backend's concurrency limit. The
		// engine may then reject a request although its ID is free.
		if resp.StatusCode == 200 || resp.StatusCode == 503 {
			break
		}
		if resp.StatusCode != 409 || time.Since(start) > patience {
			t.Fatalf("request with the X-Request-ID of a request that has ended: status %d after %v, want 200 or 503",
				resp.StatusCode, time.Since(start))
		}
	}
}

// The memory for the bodies of requests in flight is limited: a request beyond the limit is rejected with status 503 at
// once, even if its body is never sent.
func TestBodyMemoryIsLimited(t *testing.T) {
	svcs := testServices(t, List{})
	f := newFrontend(svcs, &svcs.proxy.cfg, slog.New(slog.DiscardHandler), newClientConns(8))
	f.memory = membudget.New(100)
	memory, err := f.reserve("a", 60)
	if err != nil {
		t.Fatalf("reserve(60 bytes) of 100 = %v, want nil", err)
	}
	rejected := (*rejection)(nil)
	if _, err := f.reserve("b", 60); !errors.As(err, &rejected) || rejected.status != 503 {
		t.Errorf("reserve(60 bytes) with 40 of 100 left = %v, want a rejection with status 503", err)
	}
	f.release("a", memory)
	if _, err := f.reserve("b", 60); err != nil {
		t.Errorf("reserve(60 bytes) after the first reservation was released = %v, want nil", err)
	}
}

// Head and body of a request share one timeout, which counts from its first byte, or from the start of a new
// connection. A connection that doesn't send a whole request in that time is ended.
func TestSlowRequestsAreRejected(t *testing.T) {
	p := startProxy(t, listText(1, true), newCatalog(t), nil)
	for name, text := range map[string]string{
		"nothing sent": "",
		"partial head": "GET /api HTTP/1.1\r\nHost: s\r\n",
		"partial body": strings.Replace(smuggledRequest, "\r\n\r\n", "\r\nContent-Length: 20\r\n\r\nhalf", 1),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := silentConns(t, p.addr, 1)[0]
			_, _ = io.WriteString(c, text)
			_ = c.SetReadDeadline(time.Now().Add(patience)) // ends the test if the proxy keeps the connection
			if _, err := io.Copy(io.Discard, c); isTimeout(err) {
				t.Errorf("a connection without a complete request is open after %v, want it closed", patience)
			}
		})
	}
}

// bodyTimeout and the write limit do not run while a request waits for its backend, which may take longer. A request whose
// body does not arrive within bodyTimeout is rejected with status 408.
func TestServerTimeouts(t *testing.T) {
	const short = 100 * time.Millisecond
	addr := rawBackend(t, func(_ int, c net.Conn, in *bufio.Reader) {
		for readRequest(in) {
			time.Sleep(4 * short)
			writeText(c, served)
		}
	})
	list, err := parseList([]byte(listText(1, true, memberText("a", addr, "active"))))
	if err != nil {
		t.Fatalf("parseList: %v", err)
	}
	svcs := testServices(t, list)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan bool)
	if err := svcs.start(ctx, &svcs.proxy.cfg); err != nil {
		t.Fatalf("serviceSet.start: %v", err)
	}
	go func() { svcs.wait(); close(ended) }()
	defer func() { cancel(); <-ended }()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listening: %v", err)
	}
	conns := newClientConns(8)
	conns.writeLimit.Interval = short
	f := newFrontend(svcs, &svcs.proxy.cfg, slog.New(slog.DiscardHandler), conns)
	f.bodyTimeout = short
	go func() { _ = f.serve(listener) }()
	defer func() { _ = f.server.Close() }()
	p := &running{addr: listener.Addr().String()}
	for _, class := range []string{"hand-in", "fetch-work"} {
		mustRespond(t, 200)(p.request(t, class, 10000, ""))
	}
	c, err := net.Dial("tcp", p.addr)
	if err != nil {
		t.Fatalf("connecting to the proxy: %v", err)
	}
	defer func() { _ = c.Close() }()
	_, _ = io.WriteString(c,
		"POST /api HTTP/1.1\r\nHost: s\r\nX-Request-ID: r1\r\nX-Priority-Class: hand-in\r\nX-Timeout-Ms: 9000\r\n"+
			"Content-Length: 9\r\n\r\n")
	mustRespond(t, 408)(readFinalResponse(bufio.NewReader(c)))
}

package proxy

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"lapisspread/internal/membudget"
)

// manyFields returns n short header lines.
func manyFields(n int) string {
	var lines strings.Builder
	for i := range n {
		fmt.Fprintf(&lines, "f%d:\r\n", i)
	}
	return lines.String()
}

// Guards against a process that exceeds its memory because of clients that send heads: what is read of a head counts, is
// answered with 503 where there is no memory for it, and is given back at the end of the request and of the connection.
func TestHeadsCountAgainstMemory(t *testing.T) {
	conns := newClientConns(4)
	conns.memory = membudget.New(100 * headFieldMemory)
	open := func(fields int) (client net.Conn, c *clientConn, err error) {
		client, c = clientPair(t, conns)
		head := "GET / HTTP/1.1\r\n" + manyFields(fields)
		_, _ = io.WriteString(client, head)
		_, err = io.ReadFull(c, make([]byte, len(head)))
		return client, c, err
	}
	client, c, err := open(60)
	if err != nil || conns.memory.Used() < 60*headFieldMemory {
		t.Fatalf("reading a head of 60 fields: error %v, %d bytes counted", err, conns.memory.Used())
	}
	refusedClient, refused, err := open(60)
	if err == nil {
		t.Fatal("reading a second head without memory succeeded")
	}
	go func() { _ = refused.Close() }() // as net/http does after such an error
	mustRespond(t, http.StatusServiceUnavailable)(readFinalResponse(bufio.NewReader(refusedClient)))
	_, _ = io.WriteString(client, "\r\n")
	if _, err := io.ReadFull(c, make([]byte, 2)); err != nil {
		t.Fatalf("reading the head's end: %v", err)
	}
	_ = refusedClient.Close()
	eventually(t, "the refused head's connection was not closed", func() bool { return conns.count() == 1 })
	c.setIdle(true)
	if n := conns.memory.Used(); n != 0 {
		t.Errorf("%d bytes are counted after the request's end, want 0", n)
	}
	_, c, err = open(60)
	if _ = c.Close(); err != nil || conns.memory.Used() != 0 {
		t.Errorf("another head: error %v, %d bytes counted after the connection's end, want nil and 0", err, conns.memory.Used())
	}
}

// A head with more fields than allowed is rejected before its end, and a response with such a head is invalid.
func TestHeadsWithManyFieldsAreRejected(t *testing.T) {
	const others = 5 // fields of the request beside those of the test
	addr := rawBackend(t, func(_ int, c net.Conn, in *bufio.Reader) {
		for {
			req, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			fields := 0
			_, _ = fmt.Sscan(req.URL.Query().Get("fields"), &fields)
			writeText(c, "HTTP/1.1 200 OK\nContent-Length: 4\n")
			_, _ = io.WriteString(c, manyFields(fields)+"\r\nfine")
		}
	})
	p := startProxy(t, listText(1, true, memberText("a", addr, "active")), newCatalog(t), nil)
	for name, c := range map[string]struct{ requestFields, responseFields, status int }{
		"as many as allowed":   {maxHeaderFields - others, maxHeaderFields - 1, http.StatusOK},
		"request has one more": {maxHeaderFields - others + 1, 0, http.StatusRequestHeaderFieldsTooLarge},
		"response has more":    {0, maxHeaderFields, http.StatusBadGateway},
	} {
		conn, err := net.Dial("tcp", p.addr)
		if err != nil {
			t.Fatalf("connecting to the proxy: %v", err)
		}
		_, _ = fmt.Fprintf(conn, "POST /api?fields=%d HTTP/1.1\r\nHost: s\r\nX-Request-ID: many-%d\r\nX-Priority-Class: hand-in\r\n"+
			"X-Timeout-Ms: 9000\r\nContent-Length: 0\r\n%s\r\n", c.responseFields, lastRequestID.Add(1), manyFields(c.requestFields))
		_ = conn.SetReadDeadline(time.Now().Add(patience))
		resp, _, err := readFinalResponse(bufio.NewReader(conn))
		if err != nil || resp.StatusCode != c.status {
			t.Errorf("%s: response %+v, error %v, want status %d", name, resp, err, c.status)
		}
		_ = conn.Close()
	}
}

// Guards against a process that exceeds its memory because of responses: without memory for it, a response is passed on
// while it is read, and not held. Small ones are.
func TestResponsesCountAgainstMemory(t *testing.T) {
	for name, c := range map[string]struct {
		head     string
		body     int
		budget   int64
		streamed bool
	}{
		"with memory":                 {"Content-Length: 40000", 40000, 1 << 20, false},
		"without memory":              {"Content-Length: 40000", 40000, 0, true},
		"small, without memory":       {"Content-Length: 4000", 4000, 0, false},
		"unknown length":              {"Connection: close", 4000, 1 << 20, false},
		"unknown length, no memory":   {"Connection: close", 4000, 0, true},
		"too long, with memory":       {"Content-Length: 70000", 70000, 1 << 20, true},
		"length 0, without memory":    {"Content-Length: 0", 0, 0, false},
		"without memory, not content": {"Content-Length: 40000\nX-Other: 1", 40000, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			near, far := net.Pipe()
			defer func() { _ = near.Close() }()
			go func() {
				writeText(far, "HTTP/1.1 200 OK\n"+c.head+"\n\n"+strings.Repeat("x", c.body))
				_ = far.Close()
			}()
			budget := membudget.New(c.budget)
			memory := budget.Open()
			req, _ := http.NewRequest(http.MethodGet, "http://s/", nil)
			_, body, stream, err := newConn(near, 0, func() {}).readResponse(req, memory)
			if err != nil || (stream != nil) != c.streamed || stream == nil && len(body) != c.body {
				t.Fatalf("readResponse() = %d bytes, streamed %v, error %v, want streamed %v", len(body), stream != nil, err, c.streamed)
			}
			if stream != nil {
				if n, err := io.Copy(io.Discard, stream); n != int64(c.body) || err != nil {
					t.Errorf("streamed response: %d bytes, error %v, want %d", n, err, c.body)
				}
			}
			if memory.Close(); budget.Used() != 0 {
				t.Errorf("%d bytes are counted after the request, want 0", budget.Used())
			}
		})
	}
}

// A body of unknown length takes memory as it grows, and is rejected where there is none; a small one is served.
func TestChunkedBodiesCountAgainstMemory(t *testing.T) {
	svcs := testServices(t, List{})
	f := newFrontend(svcs, &svcs.proxy.cfg, svcs.proxy.log, newClientConns(8))
	f.memory = membudget.New(2 * smallBody)
	for _, c := range []struct {
		bytes int
		ok    bool
	}{{smallBody / 2, true}, {4 * smallBody, false}} {
		r, _ := http.NewRequest(http.MethodPost, "http://s/", io.MultiReader(strings.NewReader(strings.Repeat("x", c.bytes))))
		r.ContentLength = -1
		memory := f.memory.Open()
		memory.Take(initialBodyMemory(r.ContentLength))
		deadlines := http.NewResponseController(discardingWriter{})
		body, _, err := f.readPrefix(deadlines, r, memory, time.Now())
		rejected := (*rejection)(nil)
		if c.ok && (err != nil || len(body) != c.bytes) || !c.ok && (!errors.As(err, &rejected) || rejected.status != 503) {
			t.Errorf("reading a chunked body of %d bytes = %d bytes, error %v, want accepted %v", c.bytes, len(body), err, c.ok)
		}
		if memory.Close(); f.memory.Used() != 0 {
			t.Errorf("%d bytes are counted after the request, want 0", f.memory.Used())
		}
	}
}

// discardingWriter is a response writer for requests that are not answered.
type discardingWriter struct{}

func (discardingWriter) Header() http.Header             { return http.Header{} }
func (discardingWriter) Write(p []byte) (int, error)     { return len(p), nil }
func (discardingWriter) WriteHeader(int)                 {}
func (discardingWriter) SetReadDeadline(time.Time) error { return nil }

// Whatever becomes of requests, all memory that was counted for them is given back.
func TestMemoryIsGivenBack(t *testing.T) {
	addr := rawBackend(t, func(_ int, c net.Conn, in *bufio.Reader) {
		for {
			req, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			if req.URL.Query().Get("early") != "" {
				writeText(c, "HTTP/1.1 503 Full\nX-Not-Processed: 1\nContent-Length: 0\n\n")
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			length := 4
			_, _ = fmt.Sscan(req.URL.Query().Get("length"), &length)
			writeText(c, fmt.Sprintf("HTTP/1.1 200 OK\nContent-Length: %d\n\n%s", length, strings.Repeat("x", length)))
		}
	})
	p := startProxy(t, listText(1, true, memberText("a", addr, "active")), newCatalog(t), nil)
	long := strings.Repeat("x", 300_000)
	for name, c := range map[string]struct {
		query, body string
		leaves      bool
	}{
		"short":               {"", "Content-Length: 4\r\n\r\nwork", false},
		"chunked":             {"", "Transfer-Encoding: chunked\r\n\r\n4\r\nwork\r\n0\r\n\r\n", false},
		"long body":           {"", "Content-Length: 300000\r\n\r\n" + long, false},
		"long body, rejected": {"?early=1", "Content-Length: 300000\r\n\r\n" + long, false},
		"half a body":         {"", "Content-Length: 300000\r\n\r\n" + long[:150_000], true},
		"half a head":         {"", "Content-Le", true},
		"long answer":         {"?length=300000", "Content-Length: 0\r\n\r\n", false},
		"answer not read":     {"?length=30000000", "Content-Length: 0\r\n\r\n", true},
		"not a request":       {"", "Content-Length: x\r\n\r\n", false},
	} {
		conn, err := net.Dial("tcp", p.addr)
		if err != nil {
			t.Fatalf("%s: connecting to the proxy: %v", name, err)
		}
		_, _ = fmt.Fprintf(conn, "POST /api%s HTTP/1.1\r\nHost: s\r\nX-Request-ID: back-%d\r\nX-Priority-Class: hand-in\r\n"+
			"X-Timeout-Ms: 9000\r\n%s", c.query, lastRequestID.Add(1), c.body)
		if !c.leaves {
			_ = conn.SetReadDeadline(time.Now().Add(patience))
			if _, _, err := readFinalResponse(bufio.NewReader(conn)); err != nil {
				t.Errorf("%s: no response: %v", name, err)
			}
		}
		_ = conn.Close()
	}
	eventually(t, "memory is still counted after all requests have ended", func() bool { return p.proxy.memory.Used() == 0 })
}

// The limits on memory leave room for the program itself, however little there is.
func TestMemoryLimits(t *testing.T) {
	for _, megabytes := range []int{16, 32, 64, 192, 2048} {
		cfg := Config{MemoryMB: megabytes, Sockets: 1024}
		all := int64(megabytes) << 20
		heap, peers := cfg.HeapLimit(false), cfg.peerMemoryLimit(false)
		if heap > all*7/10 || megabytes >= 32 && heap > all-programMemory || peers > heap/4 || peers < 1<<20 {
			t.Errorf("%d MB: heap limit %d, peers' limit %d", megabytes, heap, peers)
		}
		if cfg.HeapLimit(true) != heap/2 || cfg.peerMemoryLimit(true) > peers/2 {
			t.Errorf("%d MB, two processes: heap limit %d, peers' limit %d, want half", megabytes, cfg.HeapLimit(true), cfg.peerMemoryLimit(true))
		}
		if n := maxClientConns(&cfg); n < maxOpenRequests(&cfg) {
			t.Errorf("%d MB: places for %d clients, want at least the %d open requests", megabytes, n, maxOpenRequests(&cfg))
		}
	}
}

// A connection whose client has its last response is evicted before those without a request, whose end may cost one.
func TestEvictionRank(t *testing.T) {
	pair := func(change func(c *clientConn)) *clientConn {
		_, c := clientPair(t, newClientConns(4))
		c.unused = false
		change(c)
		return c
	}
	unread := func(c *clientConn) { // the client has not taken all of its response
		c.lingering = true
		_ = c.SetWriteDeadline(time.Now().Add(50 * time.Millisecond))
		_, _ = c.Conn.Write(make([]byte, 64<<20))
	}
	for name, c := range map[string]struct {
		conn *clientConn
		want evictionRank
	}{
		"response delivered":      {pair(func(c *clientConn) { c.lingering = true }), delivered},
		"unused":                  {pair(func(c *clientConn) { c.unused = true }), withoutRequest},
		"response not taken yet":  {pair(unread), withoutRequest},
		"between requests":        {pair(func(c *clientConn) { c.idle = true }), betweenRequests},
		"request in flight":       {pair(func(*clientConn) {}), notEvictable},
		"closed between requests": {pair(func(c *clientConn) { c.idle, c.closed = true, true }), notEvictable},
	} {
		if got := c.conn.evictionRank(); got != c.want {
			t.Errorf("%s: evictionRank() = %d, want %d", name, got, c.want)
		}
	}
}

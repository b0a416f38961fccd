package proxy

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"

	"lapisspread/decision"
)

// patience is how long tests wait for an expected event. Passing tests need far less.
const patience = 20 * time.Second

// rawBackend starts a backend that calls serve for each connection with the connection's number, from 0. It returns the
// backend's address.
func rawBackend(t *testing.T, serve func(n int, c net.Conn, in *bufio.Reader)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listening for the backend: %v", err)
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

// writeText writes a text with its line ends replaced by CRLF.
func writeText(c net.Conn, text string) {
	_, _ = io.WriteString(c, strings.ReplaceAll(text, "\n", "\r\n"))
}

// served is a response with status 200.
const served = "HTTP/1.1 200 OK\nContent-Length: 4\n\nfine"

// testPool returns a pool with one backend, named a, at addr.
func testPool(t *testing.T, addr string) (*pool, *backend) {
	t.Helper()
	p := newPool(16, patience, 2*patience)
	p.Update(List{Endpoints: []Member{{ID: "a", Addr: addr, State: decision.Ready}}})
	t.Cleanup(func() { p.Update(List{Full: true}) })
	return p, p.lookup(backendID("a"))
}

// testMessage returns a message to send to a backend.
func testMessage(method string, body []byte) *message {
	return &message{method: method, host: "service.internal", url: url.URL{Path: "/api", RawQuery: "key=k"},
		header: http.Header{"X-Request-Id": {"1"}}, body: body}
}

// within returns the next value from c. After patience without one it fails the test with the text failure.
func within[T any](t *testing.T, c <-chan T, failure string) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(patience):
		t.Fatalf("timed out after %v: %s", patience, failure)
		panic("not reached")
	}
}

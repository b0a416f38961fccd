package proxy

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"lapisspread/decision"
)

// readStreamed makes m read a streamed response to its end: on a busy machine a response of unknown length may be
// streamed. The returned function returns the body after the exchange has ended.
func readStreamed(m *message) func() []byte {
	var text []byte
	m.startStream = func(d *download) bool {
		var err error
		text, err = io.ReadAll(d)
		d.End(err)
		return true
	}
	return func() []byte { return text }
}

// An invalid response is not passed on, and its connection is not reused. Most cases leave the connection
// open: the proxy must not wait for what can't become a valid response.
func TestInvalidResponses(t *testing.T) {
	const endless = "HTTP/1.1 %s\nTransfer-Encoding: chunked\n\n4\nfine\n"
	for name, c := range map[string]struct {
		method   string
		response string
		then     string // "close", "reset", or empty if the backend leaves the connection open
		want     decision.Result
	}{
		// Versions and status.
		"chunked in HTTP/1.0": {"POST", "HTTP/1.0 200 OK\nTransfer-Encoding: chunked\n\n4\nfine\n0\n\n",
			"close", decision.Reset},
		"HTTP/0.9":         {"POST", "HTTP/0.9 200 OK\nContent-Length: 4\n\nfine", "", decision.Reset},
		"HTTP/2.0":         {"POST", "HTTP/2.0 200 OK\nContent-Length: 4\n\nfine", "", decision.Reset},
		"no HTTP version":  {"POST", "ICY 200 OK\nContent-Length: 4\n\nfine", "", decision.Reset},
		"status 099 first": {"POST", "HTTP/1.1 099 Eh\n\n" + served, "", decision.Reset},
		"status 000 first": {"POST", "HTTP/1.1 000 Eh\n\n" + served, "", decision.Reset},
		"status 2000":      {"POST", "HTTP/1.1 2000 OK\nContent-Length: 4\n\nfine", "", decision.Reset},
		"status -20":       {"POST", "HTTP/1.1 -20 OK\nContent-Length: 4\n\nfine", "", decision.Reset},
		"protocol upgrade": {"POST", "HTTP/1.1 101 Go\nUpgrade: x\n\n" + served, "", decision.Reset},
		"empty line first": {"POST", "\n" + served, "", decision.Reset},
		"100 with a body": {"POST", "HTTP/1.1 100 Go\nContent-Length: 4\n\nfine" + served, "",
			decision.Reset},
		"nine 1xx responses first": {"POST", strings.Repeat("HTTP/1.1 103 Hints\n\n", 9) + served, "",
			decision.Reset},
		"eight 1xx responses first": {"POST", strings.Repeat("HTTP/1.1 103 Hints\n\n", 8) + served, "", decision.OK},
		"header line without colon": {"POST", "HTTP/1.1 200 OK\nwhat?\nContent-Length: 4\n\nfine", "",
			decision.Reset},
		"folded status line": {"POST", "HTTP/1.1 200 OK\n Content-Length: 4\n\nfine", "", decision.Reset},
		"Content-Length in a folded header": {"POST", "HTTP/1.1 200 OK\nX: y\n Content-Length: 9\nContent-Length: 4\n\nfine",
			"", decision.Reset},
		"space before Content-Length's colon": {"POST", "HTTP/1.1 200 OK\nContent-Length : 4\n\nfine", "", decision.Reset},
		"space before Transfer-Encoding's colon": {"POST", "HTTP/1.1 200 OK\nTransfer-Encoding : chunked\n\n4\nfine\n0\n\n",
			"close", decision.Reset},
		// Lengths.
		"empty Content-Length":              {"POST", "HTTP/1.1 200 OK\nContent-Length:\n\nfine", "", decision.Reset},
		"Content-Length with a sign":        {"POST", "HTTP/1.1 200 OK\nContent-Length: +4\n\nfine", "", decision.Reset},
		"two lengths in one Content-Length": {"POST", "HTTP/1.1 200 OK\nContent-Length: 4, 4\n\nfine", "", decision.Reset},
		"hexadecimal Content-Length":        {"POST", "HTTP/1.1 200 OK\nContent-Length: 0x4\n\nfine", "", decision.Reset},
		"Content-Length out of range": {"POST", "HTTP/1.1 200 OK\nContent-Length: 99999999999999999999\n\nfine", "",
			decision.Reset},
		"body shorter than Content-Length, closed": {"POST", "HTTP/1.1 200 OK\nContent-Length: 9\n\nfine",
			"close", decision.Reset},
		"body shorter than Content-Length, reset": {"POST", "HTTP/1.1 200 OK\nContent-Length: 9\n\nfine",
			"reset", decision.Reset},
		"rejected, truncated body": {"POST", "HTTP/1.1 503 Full\nX-Not-Processed: 1\nContent-Length: 9\n\nfine",
			"close", decision.Reset},
		"rejected, long body": {"POST", "HTTP/1.1 503 Full\nX-Not-Processed: 1\nContent-Length: 65537\n\nfine",
			"", decision.Error},
		"rejected, endless chunked body": {"POST", strings.Replace(endless, "%s", "503 Full\nX-Not-Processed: 1", 1), "",
			decision.Timeout},
		"rejected, body delimited by close, still open": {"POST", "HTTP/1.1 503 Full\nX-Not-Processed: 1\n\nfine",
			"", decision.Timeout},
		"rejected, body delimited by close, reset": {"POST", "HTTP/1.1 503 Full\nX-Not-Processed: 1\n\nfine",
			"reset", decision.Reset},
		"error, endless chunked body": {"POST", strings.Replace(endless, "%s", "500 Oh", 1),
			"", decision.Error},
		"error, body delimited by close, still open": {"POST", "HTTP/1.1 500 Oh\n\nfine", "", decision.Error},
		// Encodings.
		"identity encoding": {"POST", "HTTP/1.1 200 OK\nTransfer-Encoding: identity\n\nfine", "close",
			decision.Reset},
		"gzip encoding": {"POST", "HTTP/1.1 200 OK\nTransfer-Encoding: gzip, chunked\n\n4\nfine\n0\n\n",
			"", decision.Reset},
		"duplicate Transfer-Encoding": {"POST",
			"HTTP/1.1 200 OK\nTransfer-Encoding: chunked\nTransfer-Encoding: chunked\n\n4\nfine\n0\n\n", "", decision.Reset},
		"malformed chunk size": {"POST", "HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\nzz\nfine\n0\n\n", "",
			decision.Reset},
		"chunk size out of range": {"POST",
			"HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\nfffffffffffffffff\nfine\n0\n\n", "", decision.Reset},
		"chunk longer than its size": {"POST", "HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n4\nfinely\n0\n\n", "",
			decision.Reset},
		"no last chunk": {"POST", "HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n4\nfine\n", "close",
			decision.Reset},
		"no last chunk, reset": {"POST", "HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n4\nfine\n", "reset",
			decision.Reset},
		"truncated trailer": {"POST", "HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n4\nfine\n0\nX: ",
			"close", decision.Reset},
		// Bodies delimited by close: a reset is not the end of the body.
		"HTTP/1.1 body ends by a reset": {"POST", "HTTP/1.1 200 OK\n\nfine", "reset", decision.Reset},
		"HTTP/1.0 body ends by a reset": {"POST", "HTTP/1.0 200 OK\n\nfine", "reset", decision.Reset},
		"HTTP/1.1 body ends by a close": {"POST", "HTTP/1.1 200 OK\nConnection: close\n\nfine", "close", decision.OK},
		"HTTP/1.0 body ends by a close": {"POST", "HTTP/1.0 200 OK\n\nfine", "close", decision.OK},
		// Valid responses followed by further bytes.
		"body longer than Content-Length": {"POST", served + "r than that", "", decision.OK},
		"204 with a body":                 {"POST", "HTTP/1.1 204 None\nContent-Length: 4\n\nfine", "", decision.Error},
		"304 with a body":                 {"POST", "HTTP/1.1 304 Same\n\nfine", "", decision.Error},
		"body in the response to HEAD":    {"HEAD", served, "", decision.OK},
		"bytes after the last chunk": {"POST", "HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n4\nfine\n0\n\n0\n\n", "",
			decision.OK},
	} {
		t.Run(name, func(t *testing.T) {
			var conns atomic.Int32
			sent := make(chan bool, 1)
			p, b := testPool(t, rawBackend(t, func(n int, nc net.Conn, in *bufio.Reader) {
				conns.Add(1)
				for i := 0; readRequest(in); i++ {
					if n > 0 {
						writeText(nc, served)
						continue
					}
					writeText(nc, c.response)
					sent <- true
					if c.then == "reset" {
						_ = nc.(*net.TCPConn).SetLinger(0)
					}
					if c.then != "" {
						return
					}
				}
			}))
			p.connectTimeout = patience
			ctx, cancel := context.WithCancelCause(t.Context())
			defer cancel(nil)
			if c.want == decision.Timeout { // an endless response ends only by the attempt's deadline
				go func() {
					<-sent
					time.Sleep(4 * responseHoldback) // long enough for a response of unknown length to be streamed
					cancel(context.DeadlineExceeded)
				}()
			}
			m := testMessage(c.method, []byte("work"))
			read := readStreamed(m)
			result, body := p.exchange(ctx, b, m)
			if streamed := read(); result == decision.OK && streamed != nil {
				body = streamed
			}
			if result != c.want {
				t.Errorf("exchange() = %s, want %s; body %q", resultName(result), resultName(c.want), body)
			}
			if want := map[string]string{"POST": "fine"}[c.method]; result == decision.OK && string(body) != want {
				t.Errorf("exchange() returned body %q, want %q", body, want)
			}
			if strings.HasSuffix(c.response, served) && c.want == decision.OK && c.method != "HEAD" {
				return // the connection is reusable too
			}
			if result, body := p.exchange(t.Context(), b, testMessage("POST", nil)); result != decision.OK ||
				string(body) != "fine" {
				t.Errorf("next exchange() = %s, body %q; want OK, body \"fine\"", resultName(result), body)
			}
			if n := conns.Load(); n != 2 {
				t.Errorf("%d connections made, want 2: the connection of an invalid response must not be reused", n)
			}
		})
	}
}

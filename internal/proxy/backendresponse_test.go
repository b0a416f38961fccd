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

// readStreamed has a streamed response read to its end: on a busy machine a response of unknown length may be streamed.
// The returned function gives the body once the exchange is over.
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

// A response that is invalid at any place is not passed on, and its connection is not reused. Most cases leave the
// connection open: the proxy must not wait for what can't become a valid response.
func TestInvalidResponses(t *testing.T) {
	const endless = "HTTP/1.1 %s\nTransfer-Encoding: chunked\n\n4\nfine\n"
	for name, c := range map[string]struct {
		method string
		says   string
		then   string // "close", "reset", or it stays open
		want   decision.Result
	}{
		// Versions and status.
		"chunks before their time": {"POST", "HTTP/1.0 200 OK\nTransfer-Encoding: chunked\n\n4\nfine\n0\n\n",
			"close", decision.Reset},
		"a version without":   {"POST", "HTTP/0.9 200 OK\nContent-Length: 4\n\nfine", "", decision.Reset},
		"another protocol":    {"POST", "HTTP/2.0 200 OK\nContent-Length: 4\n\nfine", "", decision.Reset},
		"no version":          {"POST", "ICY 200 OK\nContent-Length: 4\n\nfine", "", decision.Reset},
		"status 99 ahead":     {"POST", "HTTP/1.1 099 Eh\n\n" + served, "", decision.Reset},
		"status 0 ahead":      {"POST", "HTTP/1.1 000 Eh\n\n" + served, "", decision.Reset},
		"status 2000":         {"POST", "HTTP/1.1 2000 OK\nContent-Length: 4\n\nfine", "", decision.Reset},
		"status -20":          {"POST", "HTTP/1.1 -20 OK\nContent-Length: 4\n\nfine", "", decision.Reset},
		"other protocols":     {"POST", "HTTP/1.1 101 Go\nUpgrade: x\n\n" + served, "", decision.Reset},
		"an empty line ahead": {"POST", "\n" + served, "", decision.Reset},
		"a body of what has none": {"POST", "HTTP/1.1 100 Go\nContent-Length: 4\n\nfine" + served, "",
			decision.Reset},
		"nine ahead": {"POST", strings.Repeat("HTTP/1.1 103 Hints\n\n", 9) + served, "",
			decision.Reset},
		"eight ahead": {"POST", strings.Repeat("HTTP/1.1 103 Hints\n\n", 8) + served, "", decision.OK},
		"a line that is no header": {"POST", "HTTP/1.1 200 OK\nwhat?\nContent-Length: 4\n\nfine", "",
			decision.Reset},
		"a first line that goes on": {"POST", "HTTP/1.1 200 OK\n Content-Length: 4\n\nfine", "", decision.Reset},
		"a length in another's line": {"POST", "HTTP/1.1 200 OK\nX: y\n Content-Length: 9\nContent-Length: 4\n\nfine",
			"", decision.Reset},
		"a space before the colon": {"POST", "HTTP/1.1 200 OK\nContent-Length : 4\n\nfine", "", decision.Reset},
		"a space before an encoding's": {"POST", "HTTP/1.1 200 OK\nTransfer-Encoding : chunked\n\n4\nfine\n0\n\n",
			"close", decision.Reset},
		// Lengths.
		"no length told":        {"POST", "HTTP/1.1 200 OK\nContent-Length:\n\nfine", "", decision.Reset},
		"a length with a sign":  {"POST", "HTTP/1.1 200 OK\nContent-Length: +4\n\nfine", "", decision.Reset},
		"two lengths in a line": {"POST", "HTTP/1.1 200 OK\nContent-Length: 4, 4\n\nfine", "", decision.Reset},
		"a length in sixteens":  {"POST", "HTTP/1.1 200 OK\nContent-Length: 0x4\n\nfine", "", decision.Reset},
		"a length past all": {"POST", "HTTP/1.1 200 OK\nContent-Length: 99999999999999999999\n\nfine", "",
			decision.Reset},
		"shorter than told":        {"POST", "HTTP/1.1 200 OK\nContent-Length: 9\n\nfine", "close", decision.Reset},
		"shorter than told, reset": {"POST", "HTTP/1.1 200 OK\nContent-Length: 9\n\nfine", "reset", decision.Reset},
		"rejected, cut": {"POST", "HTTP/1.1 503 Full\nX-Not-Processed: 1\nContent-Length: 9\n\nfine",
			"close", decision.Reset},
		"rejected at a length": {"POST", "HTTP/1.1 503 Full\nX-Not-Processed: 1\nContent-Length: 65537\n\nfine",
			"", decision.Error},
		"rejected without end": {"POST", strings.Replace(endless, "%s", "503 Full\nX-Not-Processed: 1", 1), "",
			decision.Timeout},
		"rejected, end not told": {"POST", "HTTP/1.1 503 Full\nX-Not-Processed: 1\n\nfine", "", decision.Timeout},
		"rejected, reset":        {"POST", "HTTP/1.1 503 Full\nX-Not-Processed: 1\n\nfine", "reset", decision.Reset},
		"an error without end":   {"POST", strings.Replace(endless, "%s", "500 Oh", 1), "", decision.Error},
		"an error, end not told": {"POST", "HTTP/1.1 500 Oh\n\nfine", "", decision.Error},
		// Encodings.
		"no encoding": {"POST", "HTTP/1.1 200 OK\nTransfer-Encoding: identity\n\nfine", "close",
			decision.Reset},
		"an encoding that is unknown": {"POST", "HTTP/1.1 200 OK\nTransfer-Encoding: gzip, chunked\n\n4\nfine\n0\n\n",
			"", decision.Reset},
		"two encodings": {"POST",
			"HTTP/1.1 200 OK\nTransfer-Encoding: chunked\nTransfer-Encoding: chunked\n\n4\nfine\n0\n\n", "", decision.Reset},
		"no size": {"POST", "HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\nzz\nfine\n0\n\n", "",
			decision.Reset},
		"a size past all": {"POST",
			"HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\nfffffffffffffffff\nfine\n0\n\n", "", decision.Reset},
		"a chunk that goes on": {"POST", "HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n4\nfinely\n0\n\n", "",
			decision.Reset},
		"no last chunk": {"POST", "HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n4\nfine\n", "close",
			decision.Reset},
		"no last chunk, reset": {"POST", "HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n4\nfine\n", "reset",
			decision.Reset},
		"half a trailer": {"POST", "HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n4\nfine\n0\nX: ",
			"close", decision.Reset},
		// Of unknown length: a reset is not the end of the body.
		"ends by a reset":      {"POST", "HTTP/1.1 200 OK\n\nfine", "reset", decision.Reset},
		"ends by a reset, old": {"POST", "HTTP/1.0 200 OK\n\nfine", "reset", decision.Reset},
		"ends by its end":      {"POST", "HTTP/1.1 200 OK\nConnection: close\n\nfine", "close", decision.OK},
		"ends by its end, old": {"POST", "HTTP/1.0 200 OK\n\nfine", "close", decision.OK},
		// Valid ones with bytes behind them.
		"longer than told":      {"POST", served + "r than that", "", decision.OK},
		"a body where none is":  {"POST", "HTTP/1.1 204 None\nContent-Length: 4\n\nfine", "", decision.Error},
		"a body of what stayed": {"POST", "HTTP/1.1 304 Same\n\nfine", "", decision.Error},
		"a body for HEAD":       {"HEAD", served, "", decision.OK},
		"more behind the last chunk": {"POST", "HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n4\nfine\n0\n\n0\n\n", "",
			decision.OK},
	} {
		t.Run(name, func(t *testing.T) {
			var conns atomic.Int32
			said := make(chan bool, 1)
			p, b := testPool(t, rawBackend(t, func(n int, nc net.Conn, in *bufio.Reader) {
				conns.Add(1)
				for i := 0; readRequest(in); i++ {
					if n > 0 {
						writeText(nc, served)
						continue
					}
					writeText(nc, c.says)
					said <- true
					if c.then == "reset" {
						_ = nc.(*net.TCPConn).SetLinger(0)
					}
					if c.then != "" {
						return
					}
				}
			}))
			p.connectTimeout = patience
			ctx, end := context.WithCancelCause(t.Context())
			defer end(nil)
			if c.want == decision.Timeout { // of what never ends, its time is all that ends it
				go func() {
					<-said
					time.Sleep(4 * responseHoldback) // less makes no difference
					end(context.DeadlineExceeded)
				}()
			}
			m := testMessage(c.method, []byte("work"))
			read := readStreamed(m)
			result, body := p.exchange(ctx, b, m)
			if long := read(); result == decision.OK && long != nil {
				body = long
			}
			if result != c.want {
				t.Errorf("result %v, want %v; body %q", result, c.want, body)
			}
			if whole := map[string]string{"POST": "fine"}[c.method]; result == decision.OK && string(body) != whole {
				t.Errorf("body %q", body)
			}
			if strings.HasSuffix(c.says, served) && c.want == decision.OK && c.method != "HEAD" {
				return // and its connection too
			}
			if result, body := p.exchange(t.Context(), b, testMessage("POST", nil)); result != decision.OK ||
				string(body) != "fine" {
				t.Errorf("the next: result %v, body %q", result, body)
			}
			if n := conns.Load(); n != 2 {
				t.Errorf("%d connections: that of an invalid response was used again", n)
			}
		})
	}
}

package proxy

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"lapisspread/decision"
)

// echoBackend responds to each request with its body, flushed in parts, and with the framing that the query requests:
// "chunks", "end" (the connection's close), or a Content-Length otherwise.
func echoBackend(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listening for the backend: %v", err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		switch {
		case r.URL.Query().Get("framing") == "chunks":
		case r.URL.Query().Get("framing") == "end":
			c, out, _ := http.NewResponseController(w).Hijack()
			defer func() { _ = c.Close() }()
			_, _ = fmt.Fprintf(out, "HTTP/1.1 200 OK\r\n\r\n%s", body)
			_ = out.Flush()
			return
		default:
			w.Header().Set("Content-Length", fmt.Sprint(len(body)))
		}
		for len(body) > 0 {
			n := min(len(body), 50_000)
			_, _ = w.Write(body[:n])
			body = body[n:]
			w.(http.Flusher).Flush()
		}
	})}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// Bodies of any length and framing pass through the proxy unchanged, several on one connection.
func TestLongBodiesAreStreamed(t *testing.T) {
	p := startProxy(t, listText(1, true, memberText("a", echoBackend(t), "active")), newCatalog(t), nil)
	text := strings.Repeat("0123456789abcde\n", 3<<20/16)
	for _, framing := range []string{"length", "chunks", "end"} {
		for _, sent := range []string{"length", "chunks"} {
			t.Run(sent+" to "+framing, func(t *testing.T) {
				c, err := net.Dial("tcp", p.addr)
				if err != nil {
					t.Fatalf("Dial(%s) of the proxy: %v", p.addr, err)
				}
				defer func() { _ = c.Close() }()
				_ = c.SetDeadline(time.Now().Add(patience))
				in := bufio.NewReader(c)
				for _, n := range []int{0, 5, maxBufferedBody - 1, maxBufferedBody, maxBufferedBody + 1, 3 << 20} {
					head := fmt.Sprintf("POST /api?framing=%s HTTP/1.1\r\nHost: s\r\nX-Request-ID: s%d\r\n"+
						"X-Priority-Class: hand-in\r\nX-Timeout-Ms: 10000\r\n",
						framing, lastRequestID.Add(1))
					wrote := make(chan error, 1)
					go func() {
						var err error
						if sent == "length" {
							_, err = fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", head, n, text[:n])
						} else {
							_, _ = fmt.Fprintf(c, "%sTransfer-Encoding: chunked\r\n\r\n", head)
							for at := 0; at < n; at += 70_000 {
								piece := text[at:min(n, at+70_000)]
								_, _ = fmt.Fprintf(c, "%x;ext=1\r\n%s\r\n", len(piece), piece)
							}
							_, err = io.WriteString(c, "0\r\nX-Sum: 1\r\n\r\n")
						}
						wrote <- err
					}()
					_, got := mustRespond(t, 200)(readFinalResponse(in))
					if got != text[:n] {
						t.Fatalf("body of %d bytes was returned as %d bytes that differ, want it unchanged", n, len(got))
					}
					if err := <-wrote; err != nil {
						t.Fatalf("sending a body of %d bytes: %v", n, err)
					}
				}
			})
		}
	}
}

// A long response is passed on as it arrives: its first bytes don't wait for its last.
func TestLongResponseIsNotHeldBack(t *testing.T) {
	for name, head := range map[string]string{
		"length": "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\nabc",
		"chunks": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			more := make(chan bool)
			addr := rawBackend(t, func(_ int, c net.Conn, in *bufio.Reader) {
				if readRequest(in) {
					_, _ = io.WriteString(c, head)
					<-more
				}
			})
			p := startProxy(t, listText(1, true, memberText("a", addr, "active")), newCatalog(t), nil)
			c, err := net.Dial("tcp", p.addr)
			if err != nil {
				t.Fatalf("Dial(%s) of the proxy: %v", p.addr, err)
			}
			defer func() { _ = c.Close() }()
			_ = c.SetDeadline(time.Now().Add(patience))
			_, _ = fmt.Fprintf(c,
				"GET /api HTTP/1.1\r\nHost: s\r\nX-Request-ID: s%d\r\nX-Priority-Class: fetch-work\r\n"+
					"X-Timeout-Ms: 9000\r\n\r\n", lastRequestID.Add(1))
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				t.Fatalf("reading the response's head: %v", err)
			}
			start := make([]byte, 3)
			if _, err := io.ReadFull(resp.Body, start); err != nil || string(start) != "abc" {
				t.Errorf("first bytes of the body are %q, error %v; want %q", start, err, "abc")
			}
			close(more) // the backend closes the connection early, and the client must be able to detect it
			if _, err := io.ReadAll(resp.Body); err == nil {
				t.Error("reading a truncated response succeeded, want an error")
			}
		})
	}
}

// A response of unknown length is interrupted after its first bytes were passed on. The backend's reset is not the end
// of the body, and the client can detect it, even with HTTP/1.0, where a close would be the end of the body.
func TestResetDuringResponseIsNoEnd(t *testing.T) {
	for _, version := range []string{"1.1", "1.0"} {
		for _, complete := range []bool{true, false} {
			t.Run(fmt.Sprintf("HTTP/%s, complete %v", version, complete), func(t *testing.T) {
				t.Parallel()
				finish := make(chan bool)
				addr := rawBackend(t, func(_ int, nc net.Conn, in *bufio.Reader) {
					if readRequest(in) {
						writeText(nc, "HTTP/1.1 200 OK\n\nabc")
						<-finish
						if !complete {
							_ = nc.(*net.TCPConn).SetLinger(0)
						}
					}
				})
				p := startProxy(t, listText(1, true, memberText("a", addr, "active")), newCatalog(t), nil)
				c, err := net.Dial("tcp", p.addr)
				if err != nil {
					t.Fatalf("Dial(%s) of the proxy: %v", p.addr, err)
				}
				defer func() { _ = c.Close() }()
				_ = c.SetDeadline(time.Now().Add(patience))
				_, _ = fmt.Fprintf(c,
					"GET /api HTTP/%s\r\nHost: s\r\nX-Request-ID: s%d\r\nX-Priority-Class: fetch-work\r\n"+
						"X-Timeout-Ms: 9000\r\n\r\n", version, lastRequestID.Add(1))
				resp, err := http.ReadResponse(bufio.NewReader(c), nil)
				if err != nil {
					t.Fatalf("reading the response's head: %v", err)
				}
				start := make([]byte, 3)
				if _, err := io.ReadFull(resp.Body, start); err != nil || string(start) != "abc" {
					t.Errorf("first bytes of the body are %q, error %v; want %q", start, err, "abc")
				}
				close(finish)
				if _, err := io.ReadAll(resp.Body); (err == nil) != complete {
					t.Errorf("reading the rest of the body: error %v; want none if the response is complete (%v), else one",
						err, complete)
				}
			})
		}
	}
}

// If the backend rejects a long body early, the client gets the response while it still sends the body.
func TestBodyRejectedEarlyGetsResponse(t *testing.T) {
	addr := rawBackend(t, func(_ int, c net.Conn, in *bufio.Reader) {
		if _, err := http.ReadRequest(in); err == nil {
			writeText(c, "HTTP/1.1 503 Full\nX-Not-Processed: 1\nContent-Length: 0\n\n")
			_, _ = io.Copy(io.Discard, in)
		}
	})
	p := startProxy(t, listText(1, true, memberText("a", addr, "active")), newCatalog(t), nil)
	c, err := net.Dial("tcp", p.addr)
	if err != nil {
		t.Fatalf("Dial(%s) of the proxy: %v", p.addr, err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(patience))
	_, _ = fmt.Fprintf(c, "POST /api HTTP/1.1\r\nHost: s\r\nX-Request-ID: s%d\r\nX-Priority-Class: hand-in\r\n"+
		"X-Timeout-Ms: 9000\r\nContent-Length: %d\r\n\r\n",
		lastRequestID.Add(1), 8<<20)
	go func() {
		piece := make([]byte, copyChunkBytes)
		for range 8 << 20 / copyChunkBytes {
			if _, err := c.Write(piece); err != nil {
				return
			}
		}
	}()
	if resp, _ := mustRespond(t, 503)(readFinalResponse(bufio.NewReader(c))); resp.Header.Get("Retry-After") == "" {
		t.Error("the 503 response has no Retry-After, want one")
	}
}

// A response sent as soon as the backend has the last byte of a long body does not count as early.
func TestResponseAfterLastByteIsNotEarly(t *testing.T) {
	last := make(chan bool)
	p, b := testPool(t, rawBackend(t, func(_ int, c net.Conn, in *bufio.Reader) {
		<-last
		writeText(c, served)
		_, _ = io.Copy(io.Discard, in)
	}))
	c, err := p.dial(t.Context(), b)
	if err != nil {
		t.Fatalf("dial() of the backend: %v", err)
	}
	defer func() { _ = c.Close() }()
	body := strings.NewReader("all of it")
	u := &upload{length: 9, remainder: io.MultiReader(body),
		setReadDeadline: func(time.Time) error { return nil },
		onComplete: func() { // the response arrives before the next read of the body
			close(last)
			for start := time.Now(); c.isSilent() && time.Since(start) < patience; {
				time.Sleep(time.Millisecond)
			}
		}, failed: make(chan error, 1)}
	req := testMessage("POST", nil).newRequest("a")
	if _, complete, err := c.writeStreamedRequest(req, u); !complete {
		t.Fatalf("writeStreamedRequest() = incomplete, error %v; want the request complete", err)
	}
}

// A drain waits for a long response that is being streamed, even past all clients' deadlines.
func TestDrainWaitsForLongResponse(t *testing.T) {
	first, rest := make(chan bool), make(chan bool)
	addr := rawBackend(t, func(_ int, c net.Conn, in *bufio.Reader) {
		if readRequest(in) {
			writeText(c, "HTTP/1.1 200 OK\nContent-Length: 100000\n\nabc")
			close(first)
			<-rest
			_, _ = io.WriteString(c, strings.Repeat("x", 100000-3))
		}
	})
	p := startProxy(t, listText(1, true, memberText("a", addr, "active")), newCatalog(t), func(c *Config) {
		for i := range c.Decision.Classes { // so that the last deadline passes soon
			c.Decision.Classes[i].ClientTimeout = 10 * time.Millisecond
		}
	})
	type result struct {
		body string
		err  error
	}
	got := make(chan result, 1)
	go func() {
		_, body, err := p.request(t, "fetch-work", 9000, "")
		got <- result{body, err}
	}()
	<-first
	p.stop()
	select {
	case err := <-p.done:
		t.Fatalf("the proxy ended with a response in flight: error %v, want it to wait", err)
	case <-time.After(drainAcceptPeriod + drainMargin + 500*time.Millisecond):
	}
	close(rest)
	if r := <-got; r.err != nil || len(r.body) != 100000 {
		t.Errorf("response streamed during the drain: %d bytes, error %v; want 100000 bytes", len(r.body), r.err)
	}
	p.done <- <-p.done
}

// readerFunc is a function that implements io.Reader.
type readerFunc func([]byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// A response that arrives while a long body is being sent is read. If it is incomplete, the attempt counts as one whose
// body was not sent completely, which can't have run.
func TestResponseBeforeBodyEnd(t *testing.T) {
	for name, c := range map[string]struct {
		response string
		want     decision.Result
	}{
		"rejected":           {"HTTP/1.1 503 Full\nX-Not-Processed: 1\nContent-Length: 0\n\n", decision.Rejected},
		"error":              {"HTTP/1.1 500 Oh\nContent-Length: 2\n\nno", decision.Error},
		"chunked error":      {"HTTP/1.1 413 Long\nTransfer-Encoding: chunked\n\n2\nno\n0\n\n", decision.Error},
		"OK":                 {served, decision.ConnectFailed}, // no success is accepted before the request's end
		"long OK":            {"HTTP/1.1 200 OK\nContent-Length: 100000\n\nabc", decision.ConnectFailed},
		"garbage":            {"\x00\x01\n\n", decision.ConnectFailed},
		"half a status line": {"HTTP/1.1 5", decision.ConnectFailed},
		"close":              {"", decision.ConnectFailed},
	} {
		t.Run(name, func(t *testing.T) {
			var to *hookedConn
			p, b := hookedPool(t, rawBackend(t, func(_ int, nc net.Conn, in *bufio.Reader) {
				if _, err := http.ReadRequest(in); err != nil {
					return
				}
				if writeText(nc, c.response); c.response == "" {
					_ = nc.(*net.TCPConn).CloseWrite()
				}
				_, _ = io.Copy(io.Discard, in)
			}), func(_ int, h *hookedConn) { to = h })
			u := testUpload()
			u.length, u.remainder = -1, readerFunc(func(_ []byte) (int, error) {
				waitForInput(t, to)
				return 1, nil
			})
			if name == "half a status line" {
				p.connectTimeout = 100 * time.Millisecond // bounds the wait for the rest of the line, which does not arrive
			}
			m := testMessage("POST", nil)
			m.upload = u
			m.startStream = func(d *download) bool {
				t.Error("the response was passed on before the request's end")
				d.End(nil)
				return true
			}
			if result, _ := p.exchange(t.Context(), b, m); result != c.want {
				t.Errorf("exchange() with a response before the request's end = %s, want %s",
					resultName(result), resultName(c.want))
			}
			if p.open != 0 {
				t.Errorf("pool counts %d open connections after exchange(), want 0", p.open)
			}
		})
	}
}

// A client that does not send its complete body, or leaves, does not count against the backend.
func TestFailedClientBodyDoesNotCountAgainstBackend(t *testing.T) {
	for name, readError := range map[string]func(*upload) error{
		"truncated body": func(*upload) error { return io.ErrUnexpectedEOF },
		"client left":    func(u *upload) error { go u.stop(); return os.ErrDeadlineExceeded },
	} {
		t.Run(name, func(t *testing.T) {
			p, b := testPool(t, rawBackend(t, func(_ int, _ net.Conn, in *bufio.Reader) {
				_, _ = io.Copy(io.Discard,
					in)
			}))
			u := testUpload()
			u.remainder = readerFunc(func([]byte) (int, error) { return 0, readError(u) })
			m := testMessage("POST", nil)
			m.upload = u
			if result, _ := p.exchange(t.Context(), b, m); result != decision.Cancelled {
				t.Errorf("exchange() whose client stalls or leaves = %s, want Cancelled", resultName(result))
			}
			if p.open != 0 {
				t.Errorf("pool counts %d open connections after exchange(), want 0", p.open)
			}
		})
	}
}

// An endless response is limited in its bytes, in the time without a byte, and in the total time of waiting for
// the backend. The time that a client takes to read it does not count.
func TestEndlessResponseIsBounded(t *testing.T) {
	read := func(pieceBytes int, interval, clientPause time.Duration) (n int64, took time.Duration, err error) {
		near, far := net.Pipe()
		done := make(chan bool)
		defer func() {
			_ = near.Close()
			<-done
		}()
		go func() {
			defer close(done)
			for sent := make([]byte, pieceBytes); ; time.Sleep(interval) {
				if _, err := far.Write(sent); err != nil {
					return
				}
			}
		}()
		reader := &boundedReader{source: near, conn: newConn(near, 0, func() {})}
		startedAt := time.Now()
		for p := make([]byte, copyChunkBytes); err == nil && time.Since(startedAt) < 2*time.Hour; time.Sleep(clientPause) {
			_, err = reader.Read(p)
		}
		return reader.readBytes, time.Since(startedAt), err
	}
	for name, c := range map[string]struct {
		pieceBytes            int
		interval, clientPause time.Duration
		maxDuration           time.Duration // until the read fails
		limitReached          bool          // the read fails at maxBodyBytes, and not by a timeout
	}{
		"no pauses":                  {copyChunkBytes, 0, 0, time.Second, true},
		"one byte per stall timeout": {1, readStallTimeout - time.Second, 0, 2 * readStallTimeout, false},
		"many small pieces":          {16, 100 * time.Millisecond, 0, 2 * readStallTimeout, false},
		// Guards against an answer being cut off that its backend is still writing, at 8 kB a second.
		"slow backend":             {400, 50 * time.Millisecond, 0, 2 * time.Hour, true},
		"stalled":                  {16, time.Hour, 0, 2 * readStallTimeout, false},
		"large pieces with pauses": {copyChunkBytes, time.Second, 0, time.Hour, true},
		"slow client":              {copyChunkBytes, 0, time.Second, time.Hour, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n, took, err := read(c.pieceBytes, c.interval, c.clientPause)
				if took > c.maxDuration || (n > maxBodyBytes) != c.limitReached ||
					c.limitReached != errors.Is(err, errInvalidResponse) || c.limitReached == isTimeout(err) {
					t.Errorf("reading ended after %d bytes and %v with error %v; want an end within %v, by the "+
						"limit of %d bytes (%v) or else by a timeout", n, took, err, c.maxDuration, int64(maxBodyBytes),
						c.limitReached)
				}
			})
		})
	}
}

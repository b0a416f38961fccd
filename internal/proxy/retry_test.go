package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"lapisspread/decision"
)

// A connection breaks after a request's last byte, before or within the response: an idempotent request is sent again,
// one with a deduplication window only within that, and any other fails. Each run is counted.
func TestFailedAttemptIsRetriedWhereAllowed(t *testing.T) {
	const window = 300 * time.Millisecond
	reset := func(nc net.Conn) { _ = nc.(*net.TCPConn).SetLinger(0) }
	for way, end := range map[string]func(net.Conn){
		"reset":              reset,
		"closed":             func(net.Conn) {},
		"reset in the head":  func(nc net.Conn) { writeText(nc, "HTTP/1.1 200 OK\nContent-Le"); reset(nc) },
		"closed in the body": func(nc net.Conn) { writeText(nc, "HTTP/1.1 200 OK\nContent-Length: 9\n\nfine") },
		"reset long after":   func(nc net.Conn) { time.Sleep(2 * window); reset(nc) }, // the window is over for sure
		"invalid": func(nc net.Conn) {
			writeText(nc,
				"HTTP/1.0 200 OK\nTransfer-Encoding: chunked\n\n4\nfine\n0\n\n")
		},
		"rejected, but invalid": func(nc net.Conn) {
			writeText(nc, "HTTP/1.1 503 Full\nX-Not-Processed: 1\nContent-Length: 65537\n\nfine")
		},
	} {
		for _, c := range []struct {
			name   string
			effect decision.Idempotency
			group  decision.DeduplicationScope
			window time.Duration
			status int
		}{
			{"unsafe", decision.NotIdempotent, decision.ScopeAll, time.Minute, 502},
			{"safe", decision.Idempotent, decision.ScopeAll, 0, 200},
			{"keyed, within its window", decision.IdempotentByKey, decision.ScopeZone, time.Minute, 200},
			// a client's repeat is harmless
			{"keyed, past its window", decision.IdempotentByKey, decision.ScopeAll, window, 503},
			{"keyed in a zone, past its window", decision.IdempotentByKey, decision.ScopeZone, window, 502},
		} {
			if c.window == window && way != "reset long after" {
				continue
			}
			t.Run(c.name+", "+way, func(t *testing.T) {
				t.Parallel()
				var mu sync.Mutex
				var ids []string
				serve := func(_ int, nc net.Conn, in *bufio.Reader) {
					for {
						req, err := http.ReadRequest(in)
						if err != nil {
							return
						}
						_, _ = io.Copy(io.Discard, req.Body)
						mu.Lock()
						ids = append(ids, req.Header.Get("X-Request-ID"))
						first := len(ids) == 1
						mu.Unlock()
						if first {
							end(nc)
							return
						}
						writeText(nc, served)
					}
				}
				p := startProxy(t, listText(1, true, memberText("a", rawBackend(t, serve), "active"), memberText("b",
					rawBackend(t, serve), "active")),
					newCatalog(t), func(cfg *Config) {
						class := &cfg.Decision.Classes[0]
						class.Idempotency = c.effect
						class.DeduplicationScope = c.group
						class.DeduplicationWindow = c.window
					})
				runs := 1
				if _, body := mustRespond(t, c.status)(p.request(t, "fetch-work", 9000,
					"")); c.status == http.StatusOK {
					if runs = 2; body != "fine" {
						t.Errorf("body %q", body)
					}
				}
				mu.Lock()
				defer mu.Unlock()
				if len(ids) != runs || ids[len(ids)-1] != ids[0] {
					t.Errorf("it ran as %v, want %d times with one id", fmt.Sprint(ids), runs)
				}
			})
		}
	}
}

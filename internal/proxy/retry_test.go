package proxy

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"lapisspread/decision"
)

// A connection breaks after the request's last byte was sent, before or during the response. An idempotent request is
// sent again, one with a deduplication window only within that window, and any other fails. The test counts the
// attempts that reach a backend.
func TestFailedAttemptIsRetriedWhereAllowed(t *testing.T) {
	const window = 300 * time.Millisecond
	reset := func(nc net.Conn) { _ = nc.(*net.TCPConn).SetLinger(0) }
	for failure, fail := range map[string]func(net.Conn){
		"reset":                  reset,
		"closed":                 func(net.Conn) {},
		"reset during the head":  func(nc net.Conn) { writeText(nc, "HTTP/1.1 200 OK\nContent-Le"); reset(nc) },
		"closed during the body": func(nc net.Conn) { writeText(nc, "HTTP/1.1 200 OK\nContent-Length: 9\n\nfine") },
		"reset after the window": func(nc net.Conn) { time.Sleep(2 * window); reset(nc) }, // the window has ended
		"invalid response": func(nc net.Conn) {
			writeText(nc,
				"HTTP/1.0 200 OK\nTransfer-Encoding: chunked\n\n4\nfine\n0\n\n")
		},
		"invalid rejection": func(nc net.Conn) {
			writeText(nc, "HTTP/1.1 503 Full\nX-Not-Processed: 1\nContent-Length: 65537\n\nfine")
		},
	} {
		for _, c := range []struct {
			name        string
			idempotency decision.Idempotency
			scope       decision.DeduplicationScope
			window      time.Duration
			wantStatus  int
		}{
			{"not idempotent", decision.NotIdempotent, decision.ScopeAll, time.Minute, 502},
			{"idempotent", decision.Idempotent, decision.ScopeAll, 0, 200},
			{"idempotency key, within the window", decision.IdempotentByKey, decision.ScopeZone, time.Minute, 200},
			// 503 and not 502: the scope covers all backends, so a client may safely repeat the request
			{"idempotency key, after the window", decision.IdempotentByKey, decision.ScopeAll, window, 503},
			{"idempotency key per zone, after the window", decision.IdempotentByKey, decision.ScopeZone, window, 502},
		} {
			if c.window == window && failure != "reset after the window" {
				continue
			}
			t.Run(c.name+", "+failure, func(t *testing.T) {
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
							fail(nc)
							return
						}
						writeText(nc, served)
					}
				}
				p := startProxy(t, listText(1, true, memberText("a", rawBackend(t, serve), "active"), memberText("b",
					rawBackend(t, serve), "active")),
					newCatalog(t), func(cfg *Config) {
						class := &cfg.Decision.Classes[0]
						class.Idempotency = c.idempotency
						class.DeduplicationScope = c.scope
						class.DeduplicationWindow = c.window
					})
				runs := 1
				if _, body := mustRespond(t, c.wantStatus)(p.request(t, "fetch-work", 9000,
					"")); c.wantStatus == http.StatusOK {
					if runs = 2; body != "fine" {
						t.Errorf("retried request returned body %q, want %q", body, "fine")
					}
				}
				mu.Lock()
				defer mu.Unlock()
				if len(ids) != runs || ids[len(ids)-1] != ids[0] {
					t.Errorf("backends got attempts with the request IDs %v, want %d with the same ID", ids, runs)
				}
			})
		}
	}
}

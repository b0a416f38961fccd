package baselineproxy

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"lapisspread/decision"
	"lapisspread/internal/proxy"
)

// before puts a plain proxy before backends that answer in turn.
func before(t *testing.T, policy string, handlers ...http.HandlerFunc) *Proxy {
	t.Helper()
	cfg := proxy.Config{}
	cfg.Decision.Classes = []decision.Class{{Name: "safe", Idempotency: decision.Idempotent}, {Name: "payout"}}
	cfg.Decision.Capabilities.ConnectTimeout = time.Second
	p := New(policy, cfg)
	for i, h := range handlers {
		s := httptest.NewServer(h)
		t.Cleanup(s.Close)
		id := fmt.Sprint(i)
		p.backends[id] = &backend{id: id, addr: strings.TrimPrefix(s.URL, "http://"), state: "active"}
	}
	return p
}

func status(p *Proxy, class, timeout string) int {
	r := httptest.NewRequest("POST", "/api", strings.NewReader("body"))
	r.Header.Set("X-Request-ID", "1")
	r.Header.Set("X-Priority-Class", class)
	r.Header.Set("X-Timeout-Ms", timeout)
	w := httptest.NewRecorder()
	p.ServeHTTP(w, r)
	return w.Code
}

func TestRepeatsOnlyWhereTheClassAllows(t *testing.T) {
	for _, k := range []struct {
		name, class, policy string
		fails               http.HandlerFunc
		want, calls         int
	}{
		{"error, unsafe", "payout", "round-robin", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(500) }, 500, 1},
		{"error, safe", "safe", "round-robin", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(500) }, 200, 2},
		{"turned away, unsafe", "payout", "round-robin", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Not-Processed", "1")
			w.WriteHeader(503)
		}, 200, 2},
		{"503 without proof, unsafe", "payout", "round-robin", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(503) }, 502, 1},
		{"turned away, no retries", "payout", "reverse-proxy", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Not-Processed", "1")
			w.WriteHeader(503)
		}, 503, 1},
	} {
		t.Run(k.name, func(t *testing.T) {
			calls := 0
			good := func(w http.ResponseWriter, _ *http.Request) { calls++; io.WriteString(w, "ok") }
			p := before(t, k.policy, good, func(w http.ResponseWriter, r *http.Request) { calls++; k.fails(w, r) })
			if got := status(p, k.class, "2000"); got != k.want || calls != k.calls {
				t.Errorf("status %d after %d calls, want %d after %d", got, calls, k.want, k.calls)
			}
		})
	}
}

func TestWhatCannotBeServed(t *testing.T) {
	p := before(t, "random")
	for _, k := range []struct {
		class, timeout string
		want           int
	}{{"none", "100", 400}, {"safe", "soon", 400}, {"safe", "-3", 400}, {"payout", "100", 503}} {
		if got := status(p, k.class, k.timeout); got != k.want {
			t.Errorf("%s, %s: status %d, want %d", k.class, k.timeout, got, k.want)
		}
	}
	stalled := make(chan struct{})
	defer close(stalled)
	p = before(t, "random", func(http.ResponseWriter, *http.Request) { <-stalled })
	if got := status(p, "payout", "50"); got != 502 {
		t.Errorf("a backend that says nothing: status %d", got)
	}
}

package proxy

import (
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// testServices returns a service set, not yet started, of a proxy whose initial endpoint list is known.
func testServices(t *testing.T, known List) *serviceSet {
	t.Helper()
	cfg, err := parseConfig(configText(listText(1, true)))
	if err != nil {
		t.Fatalf("parseConfig(): %v", err)
	}
	cfg.InitialEndpoints, cfg.Discovery = known, "127.0.0.1:1"
	return New(cfg, slog.New(slog.DiscardHandler)).services
}

// After discovery has reported a backend as draining and the watch was renewed, the backend gets no request.
func TestDrainIsKept(t *testing.T) {
	onA, onB := make(chan *http.Request, 64), make(chan *http.Request, 64)
	a, b := countingBackend(t, onA), countingBackend(t, onB)
	c := newCatalog(t)
	p := startProxy(t, listText(41, true, memberText("a", a, "active"), memberText("b", b, "active")), c, nil)
	if q := within(t, c.queries, "discovery got no watch"); !strings.HasPrefix(q, "from=41&") {
		t.Errorf("query of the first watch is %q, want the prefix %q", q, "from=41&")
	}
	c.lists <- listText(43, false, memberText("a", a, "leaving"))
	if q := within(t, c.queries, "discovery got no second watch"); !strings.HasPrefix(q, "from=43&") {
		t.Errorf("query of the second watch is %q, want the prefix %q", q, "from=43&")
	}
	// The list was passed to the engine's loop before the second call was made.
	for range 20 {
		mustRespond(t, 200)(p.request(t, "fetch-work", 10000, ""))
	}
	if len(onA) != 0 || len(onB) != 20 {
		t.Errorf("%d requests to the draining backend, %d to the other; want 0 and 20", len(onA), len(onB))
	}
}

// A watch without an answer is restarted. Before the restart, a call without a hold checks whether discovery answers.
func TestSilentWatchIsRestarted(t *testing.T) {
	got := make(chan *http.Request, 8)
	list := listText(43, true, memberText("a", countingBackend(t, got), "active"))
	queries, sendList := make(chan string), make(chan struct{})
	c := &catalog{Server: httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case queries <- r.URL.RawQuery:
		case <-r.Context().Done():
			return
		}
		select {
		case <-sendList:
			if strings.HasPrefix(r.URL.RawQuery, "from=41&") {
				_, _ = io.WriteString(w, list)
				return
			}
		default:
		}
		if strings.HasSuffix(r.URL.RawQuery, "&hold_ms=1") {
			_, _ = io.WriteString(w, listText(41, false))
			return
		}
		<-r.Context().Done() // no answer; the connection stays open
	}))}
	t.Cleanup(func() { c.CloseClientConnections(); c.Close() })
	p := startProxy(t, listText(41, true), c, func(cfg *Config) {
		cfg.timing = discoveryTiming{watchHold: 10 * time.Millisecond, slack: 10 * time.Millisecond,
			fetchTimeout: time.Minute}
	})
	for i := range 6 {
		want := "from=41&hold_ms=1"
		if i%2 == 1 {
			want = "from=41&hold_ms=10"
		}
		if q := within(t, queries, "discovery got no call after a silent watch"); q != want {
			t.Errorf("query of call %d is %q, want %q", i, q, want)
		}
	}
	close(sendList)
	for !strings.HasPrefix(within(t, queries, "discovery got no watch from version 43"), "from=43&") {
		continue
	}
	mustRespond(t, 200)(p.request(t, "fetch-work", 10000, ""))
}

// An invalid list counts as a failed call: the engine keeps its list and polls again.
func TestInvalidListIsFailedCall(t *testing.T) {
	got := make(chan *http.Request, 8)
	c := newCatalog(t)
	p := startProxy(t, listText(41, true, memberText("a", countingBackend(t, got), "active")), c, nil)
	within(t, c.queries, "discovery got no watch")
	c.lists <- `{"generation":43,"reset":true,"instances":[{"instanceId":"a","lifecycle":"odd"}]}`
	if q := within(t, c.queries, "discovery got no call after an invalid list"); !strings.HasPrefix(q, "from=41&") {
		t.Errorf("query after an invalid list is %q, want the prefix %q", q, "from=41&")
	}
	mustRespond(t, 200)(p.request(t, "fetch-work", 10000, ""))
	if !strings.Contains(p.logs.String(), "odd") {
		t.Errorf("log after a list with the lifecycle %q does not name it:\n%s", "odd", p.logs.String())
	}
}

// If discovery is not polled, the engine does not fetch lists; the proxy watches the endpoint list.
func TestPushedListsAreWatched(t *testing.T) {
	got := make(chan *http.Request, 8)
	c := newCatalog(t)
	p := startProxy(t, listText(1, true), c, func(cfg *Config) { cfg.Decision.PolledDiscovery = false })
	within(t, c.queries, "discovery got no watch")
	c.lists <- listText(2, true, memberText("a", countingBackend(t, got), "active"))
	within(t, c.queries, "discovery got no second call")
	mustRespond(t, 200)(p.request(t, "fetch-work", 10000, ""))
}

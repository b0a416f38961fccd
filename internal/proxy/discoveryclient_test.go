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

// testServices returns one service that does not run yet, with the endpoints of a list.
func testServices(t *testing.T, known List) *serviceSet {
	t.Helper()
	cfg, err := parseConfig(configText(listText(1, true)))
	if err != nil {
		t.Fatal(err)
	}
	cfg.InitialEndpoints, cfg.Discovery = known, "127.0.0.1:1"
	return New(cfg, slog.New(slog.DiscardHandler)).services
}

// After a drain was notified, and the watch was renewed, nothing is sent to that backend.
func TestDrainIsKept(t *testing.T) {
	onA, onB := make(chan *http.Request, 64), make(chan *http.Request, 64)
	a, b := countingBackend(t, onA), countingBackend(t, onB)
	c := newCatalog(t)
	p := startProxy(t, listText(41, true, memberText("a", a, "active"), memberText("b", b, "active")), c, nil)
	if q := within(t, c.queries, "no watch"); !strings.HasPrefix(q, "from=41&") {
		t.Errorf("the first watch asks for %q", q)
	}
	c.lists <- listText(43, false, memberText("a", a, "leaving"))
	if q := within(t, c.queries, "the watch was not armed again"); !strings.HasPrefix(q, "from=43&") {
		t.Errorf("the second watch asks for %q", q)
	}
	// The list was handed to the loop before the second call began.
	for range 20 {
		mustRespond(t, 200)(p.request(t, "fetch-work", 10000, ""))
	}
	if len(onA) != 0 || len(onB) != 20 {
		t.Errorf("%d requests to the draining backend, %d to the other", len(onA), len(onB))
	}
}

// A watch without an answer is restarted, first by a call without a hold that shows whether discovery answers.
func TestSilentWatchIsRestarted(t *testing.T) {
	got := make(chan *http.Request, 8)
	list := listText(43, true, memberText("a", countingBackend(t, got), "active"))
	queries, news := make(chan string), make(chan struct{})
	c := &catalog{Server: httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case queries <- r.URL.RawQuery:
		case <-r.Context().Done():
			return
		}
		select {
		case <-news:
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
		<-r.Context().Done() // nothing is closed
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
		if q := within(t, queries, "a silent watch is not begun anew"); q != want {
			t.Errorf("call %d asks for %q, want %q", i, q, want)
		}
	}
	close(news)
	for !strings.HasPrefix(within(t, queries, "the watch has ended"), "from=43&") {
		continue
	}
	mustRespond(t, 200)(p.request(t, "fetch-work", 10000, ""))
}

// An invalid list counts as a failed call, and the engine polls again; it keeps the list that it has.
func TestInvalidListIsFailedCall(t *testing.T) {
	got := make(chan *http.Request, 8)
	c := newCatalog(t)
	p := startProxy(t, listText(41, true, memberText("a", countingBackend(t, got), "active")), c, nil)
	within(t, c.queries, "no watch")
	c.lists <- `{"generation":43,"reset":true,"instances":[{"instanceId":"a","lifecycle":"odd"}]}`
	if q := within(t, c.queries, "discovery was not asked again"); !strings.HasPrefix(q, "from=41&") {
		t.Errorf("after a bad list it asks for %q", q)
	}
	mustRespond(t, 200)(p.request(t, "fetch-work", 10000, ""))
	if !strings.Contains(p.logs.String(), "odd") {
		t.Error("the log does not say what was wrong with the list")
	}
}

// Where discovery pushes lists the engine does not poll for them: the proxy watches by itself.
func TestPushedListsAreWatched(t *testing.T) {
	got := make(chan *http.Request, 8)
	c := newCatalog(t)
	p := startProxy(t, listText(1, true), c, func(cfg *Config) { cfg.Decision.PolledDiscovery = false })
	within(t, c.queries, "no watch")
	c.lists <- listText(2, true, memberText("a", countingBackend(t, got), "active"))
	within(t, c.queries, "no second call")
	mustRespond(t, 200)(p.request(t, "fetch-work", 10000, ""))
}

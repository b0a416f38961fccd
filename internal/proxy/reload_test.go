package proxy

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"time"

	"lapisspread/decision"
	"lapisspread/internal/engine"
)

// SIGHUP several times in a row, back to the old address or to one that can't be used yet: the list of the last address
// holds at last, whatever its version, and answers of others don't count.
func TestReloadsCross(t *testing.T) {
	for name, play := range map[string]func(p *running, to func(*faultyDiscovery), last, other *faultyDiscovery){
		"twice in a row": func(_ *running, to func(*faultyDiscovery), last,
			other *faultyDiscovery) {
			to(other)
			to(last)
		},
		"there and back": func(_ *running, to func(*faultyDiscovery), last, other *faultyDiscovery) {
			to(last)
			to(other)
			to(last)
		},
		"the same again": func(_ *running, to func(*faultyDiscovery), last, _ *faultyDiscovery) { to(last); to(last) },
		"refused at first": func(_ *running, to func(*faultyDiscovery), last, _ *faultyDiscovery) {
			last.setFault(refused)
			to(last)
			awaitSecondCall(last)
			last.setFault(noFault)
		},
		"hung at first": func(_ *running, to func(*faultyDiscovery), last, _ *faultyDiscovery) {
			last.setFault(hung)
			to(last)
			awaitSecondCall(last)
			last.setFault(noFault)
		},
		"garbled at first": func(_ *running, to func(*faultyDiscovery), last, _ *faultyDiscovery) {
			last.setFault(garbled)
			to(last)
			awaitSecondCall(last)
			last.setFault(noFault)
		},
		"the old one is cut": func(_ *running, to func(*faultyDiscovery), last,
			other *faultyDiscovery) {
			other.setFault(reset)
			to(last)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			other, known, onA, _ := startDraining(t) // which says nothing but that all are well, under higher numbers
			other.version = 900
			last := newFaultyDiscovery()
			last.addr, last.more, last.version, last.state = other.addr, other.more, 3, "leaving"
			addrs := map[*faultyDiscovery]string{other: other.listen(t), last: last.listen(t)}
			p := startProxy(t, strings.Replace(known, `"generation":7`, `"generation":900`, 1), newCatalog(t),
				func(cfg *Config) { pushed(cfg); cfg.Discovery = addrs[other] })
			mustRespond(t, 200)(p.request(t, "fetch-work", 10000, ""))
			play(p, func(r *faultyDiscovery) {
				cfg := p.proxy.cfg
				cfg.Discovery = addrs[r]
				p.proxy.Reload(cfg)
			}, last, other)
			p.expectAvoided(t, onA)
			// The old one answers with a higher version.
			other.mu.Lock()
			other.version = 950
			close(other.changed)
			other.changed = make(chan struct{})
			other.mu.Unlock()
			before, asked := len(onA), last.callCount()
			// it goes on to be watched
			for start := time.Now(); last.callCount() < asked+2; time.Sleep(20 * time.Millisecond) {
				if time.Since(start) > patience {
					t.Fatal("the new register is watched no more")
				}
				mustRespond(t, 200)(p.request(t, "fetch-work", 10000, ""))
			}
			if n := len(onA) - before; n != 0 {
				t.Errorf("%d requests to the draining server, which only the old register calls ready", n)
			}
		})
	}
}

// Two reloads at one moment, through different ways: the later one wins, whatever random times they draw.
func TestLastOfTwoReloadsWins(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			first, second, third := newFaultyDiscovery(), newFaultyDiscovery(), newFaultyDiscovery()
			a, b, c := first.listen(t), second.listen(t), third.listen(t)
			known, _ := parseList([]byte(listText(7, true, memberText("a", "127.0.0.1:1", "active"))))
			m := decision.Config{Instances: 1, Tick: time.Millisecond, Classes: []decision.Class{{Name: "c",
				LatencyObjective: time.Second, ClientTimeout: time.Second}},
				Constraints:  decision.Constraints{DrainGrace: 250 * time.Millisecond},
				Capabilities: decision.Capabilities{MaxAttempts: 1}}
			at := func(addr string) *discoveryClient {
				return newDiscoveryClient(addr, timingFor(&m), slog.New(slog.DiscardHandler))
			}
			e, err := engine.New(engine.Options{Decision: m, Seed: seed, InitialEndpoints: known,
				Upstream: &recordingUpstream{}, Source: at(a)})
			if err != nil {
				t.Fatal(err)
			}
			ctx, cancel := context.WithCancel(t.Context())
			ended := make(chan struct{})
			go func() { e.Run(ctx); close(ended) }()
			skipped := at(b)
			e.Post(func() { e.SwitchSource(skipped); e.SwitchSource(at(c)) })
			for start := time.Now(); third.callCount() == 0; time.Sleep(time.Millisecond) {
				if time.Since(start) > patience {
					t.Fatal("the last one is not asked")
				}
			}
			time.Sleep(600 * time.Millisecond) // a reload that was not cancelled would take effect in this time
			addr := make(chan string)
			e.Post(func() { addr <- e.Source().Addr() })
			if now, n := <-addr, second.callCount(); now != c || n != 0 || skipped.ctx.Err() == nil {
				t.Errorf("%s is asked, want %s; the one between was asked %d times, and is closed: %v", now, c, n,
					skipped.ctx.Err() != nil)
			}
			cancel()
			<-ended
		})
	}
}

// A new configuration names another discovery address. Answers of the old one don't count any more; the new one's list
// does, though its versions are lower, and the connections to the backends stay open.
func TestReload(t *testing.T) {
	onA, onB := make(chan *http.Request, 64), make(chan *http.Request, 64)
	a, b := countingBackend(t, onA), countingBackend(t, onB)
	before, after := newCatalog(t), newCatalog(t)
	p := startProxy(t, listText(41, true, memberText("a", a, "active")), before, nil)
	if q := within(t, before.queries, "no watch"); !strings.HasPrefix(q, "from=41&") {
		t.Errorf("the first watch asks for %q", q)
	}
	cfg := p.proxy.cfg
	cfg.Discovery = strings.TrimPrefix(after.URL, "http://")
	p.proxy.Reload(cfg)
	if q := within(t, after.queries, "the new discovery is not asked"); q != "" {
		t.Errorf("the new discovery is asked for %q, want the whole list", q)
	}
	before.lists <- listText(50, true) // late
	mustRespond(t, 200)(p.request(t, "hand-in", 10000, "homework"))
	after.lists <- listText(3, true, memberText("a", a, "leaving"), memberText("b", b, "active"))
	if q := within(t, after.queries, "no watch after the list"); !strings.HasPrefix(q, "from=3&") {
		t.Errorf("the new watch asks for %q", q)
	}
	for range 10 {
		mustRespond(t, 200)(p.request(t, "fetch-work", 10000, ""))
	}
	if len(onA) != 1 || len(onB) != 10 {
		t.Errorf("%d requests to the draining backend, %d to the other", len(onA), len(onB))
	}
	p.proxy.Reload(cfg) // the same again
	after.lists <- listText(4, false, memberText("b", b, "active"))
	if q := within(t, after.queries, "the watch has ended"); !strings.HasPrefix(q, "from=4&") {
		t.Errorf("after a reload that changes nothing it asks for %q", q)
	}
}

// The new discovery address fails at first: the whole list is fetched again.
func TestReloadIsRetried(t *testing.T) {
	got := make(chan *http.Request, 64)
	before, after := newCatalog(t), newCatalog(t)
	p := startProxy(t, listText(41, true), before, nil)
	within(t, before.queries, "no watch")
	cfg := p.proxy.cfg
	cfg.Discovery = strings.TrimPrefix(after.URL, "http://")
	p.proxy.Reload(cfg)
	after.lists <- "no list"
	within(t, after.queries, "the new discovery is not asked")
	if q := within(t, after.queries, "the new discovery is not asked again"); q != "" {
		t.Errorf("after a failed call it is asked for %q, want the whole list", q)
	}
	after.lists <- listText(3, true, memberText("a", countingBackend(t, got), "active"))
	within(t, after.queries, "no watch after the list")
	mustRespond(t, 200)(p.request(t, "fetch-work", 10000, ""))
}

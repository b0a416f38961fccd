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

// Reloads change the discovery address while an earlier change is in progress, also back to the old address or to an
// address that fails at first. In the end the endpoint list of the last address is used, even if its version is lower,
// and responses from other addresses are ignored.
func TestReloadsCross(t *testing.T) {
	// switchTo reloads the proxy with a discovery server. other is its server at the start, last the one used in the end.
	for name, reloads := range map[string]func(p *running, switchTo func(*faultyDiscovery), last, other *faultyDiscovery){
		"to the same address, then to another": func(_ *running, switchTo func(*faultyDiscovery), last,
			other *faultyDiscovery) {
			switchTo(other)
			switchTo(last)
		},
		"to another address, back, and to it again": func(_ *running, switchTo func(*faultyDiscovery), last,
			other *faultyDiscovery) {
			switchTo(last)
			switchTo(other)
			switchTo(last)
		},
		"to another address twice": func(_ *running, switchTo func(*faultyDiscovery), last,
			_ *faultyDiscovery) {
			switchTo(last)
			switchTo(last)
		},
		"to an address that refuses connections at first": func(_ *running, switchTo func(*faultyDiscovery), last,
			_ *faultyDiscovery) {
			last.setFault(refused)
			switchTo(last)
			awaitSecondCall(last)
			last.setFault(noFault)
		},
		"to an address that does not respond at first": func(_ *running, switchTo func(*faultyDiscovery), last,
			_ *faultyDiscovery) {
			last.setFault(hung)
			switchTo(last)
			awaitSecondCall(last)
			last.setFault(noFault)
		},
		"to an address that sends malformed lists at first": func(_ *running, switchTo func(*faultyDiscovery), last,
			_ *faultyDiscovery) {
			last.setFault(garbled)
			switchTo(last)
			awaitSecondCall(last)
			last.setFault(noFault)
		},
		"while the old address resets connections": func(_ *running, switchTo func(*faultyDiscovery), last,
			other *faultyDiscovery) {
			other.setFault(reset)
			switchTo(last)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			other, known, onA, _ := startDraining(t) // whose list has all backends ready, with higher versions
			other.version = 900
			last := newFaultyDiscovery()
			last.addr, last.more, last.version, last.state = other.addr, other.more, 3, "leaving"
			addrs := map[*faultyDiscovery]string{other: other.listen(t), last: last.listen(t)}
			p := startProxy(t, strings.Replace(known, `"generation":7`, `"generation":900`, 1), newCatalog(t),
				func(cfg *Config) { pushed(cfg); cfg.Discovery = addrs[other] })
			mustRespond(t, 200)(p.request(t, "fetch-work", 10000, ""))
			reloads(p, func(discovery *faultyDiscovery) {
				cfg := p.proxy.cfg
				cfg.Discovery = addrs[discovery]
				p.proxy.Reload(cfg)
			}, last, other)
			p.expectAvoided(t, onA)
			// The old discovery server sends a list with a higher version.
			other.mu.Lock()
			other.version = 950
			close(other.changed)
			other.changed = make(chan struct{})
			other.mu.Unlock()
			before, callsBefore := len(onA), last.callCount()
			// The new discovery server must still be watched.
			for start := time.Now(); last.callCount() < callsBefore+2; time.Sleep(20 * time.Millisecond) {
				if time.Since(start) > patience {
					t.Fatalf("the new discovery server got %d calls within %v after the old one's list, want 2",
						last.callCount()-callsBefore, patience)
				}
				mustRespond(t, 200)(p.request(t, "fetch-work", 10000, ""))
			}
			if n := len(onA) - before; n != 0 {
				t.Errorf("%d requests went to the draining backend, which only the old discovery server lists as ready; want 0",
					n)
			}
		})
	}
}

// If two reloads are applied in the same step of the engine, the discovery address of the later one is used, for every
// seed of the engine's random delays.
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
			clientFor := func(addr string) *discoveryClient {
				return newDiscoveryClient(addr, timingFor(&m), slog.New(slog.DiscardHandler))
			}
			e, err := engine.New(engine.Options{Decision: m, Seed: seed, InitialEndpoints: known,
				Upstream: &recordingUpstream{}, Source: clientFor(a)})
			if err != nil {
				t.Fatalf("engine.New: %v", err)
			}
			ctx, cancel := context.WithCancel(t.Context())
			ended := make(chan struct{})
			go func() { e.Run(ctx); close(ended) }()
			skipped := clientFor(b)
			e.Post(func() { e.SwitchSource(skipped); e.SwitchSource(clientFor(c)) })
			for start := time.Now(); third.callCount() == 0; time.Sleep(time.Millisecond) {
				if time.Since(start) > patience {
					t.Fatalf("the last discovery address got no call within %v", patience)
				}
			}
			time.Sleep(600 * time.Millisecond) // a reload that was not cancelled would take effect in this time
			addr := make(chan string)
			e.Post(func() { addr <- e.Source().Addr() })
			if current, n := <-addr, second.callCount(); current != c || n != 0 || skipped.ctx.Err() == nil {
				t.Errorf("current discovery address %s, want %s; the address of the earlier reload got %d calls, want 0; its "+
					"client is closed: %v, want true", current, c, n, skipped.ctx.Err() != nil)
			}
			cancel()
			<-ended
		})
	}
}

// After a reload with another discovery address, responses from the old address are ignored. The new address's list is
// used although its version is lower, and the connections to the backends stay open.
func TestReload(t *testing.T) {
	onA, onB := make(chan *http.Request, 64), make(chan *http.Request, 64)
	a, b := countingBackend(t, onA), countingBackend(t, onB)
	before, after := newCatalog(t), newCatalog(t)
	p := startProxy(t, listText(41, true, memberText("a", a, "active")), before, nil)
	if q := within(t, before.queries, "the old discovery server got no call"); !strings.HasPrefix(q, "from=41&") {
		t.Errorf("first query to the old discovery server %q, want one from version 41", q)
	}
	cfg := p.proxy.cfg
	cfg.Discovery = strings.TrimPrefix(after.URL, "http://")
	p.proxy.Reload(cfg)
	if q := within(t, after.queries, "the new discovery server got no call"); q != "" {
		t.Errorf("first query to the new discovery server %q, want an empty one, for the whole list", q)
	}
	before.lists <- listText(50, true) // a late response from the old server
	mustRespond(t, 200)(p.request(t, "hand-in", 10000, "homework"))
	after.lists <- listText(3, true, memberText("a", a, "leaving"), memberText("b", b, "active"))
	q := within(t, after.queries, "the new discovery server got no call after its first list")
	if !strings.HasPrefix(q, "from=3&") {
		t.Errorf("second query to the new discovery server %q, want one from version 3", q)
	}
	for range 10 {
		mustRespond(t, 200)(p.request(t, "fetch-work", 10000, ""))
	}
	if len(onA) != 1 || len(onB) != 10 {
		t.Errorf("%d requests went to backend a, want the 1 from before it drained; %d to backend b, want 10",
			len(onA), len(onB))
	}
	p.proxy.Reload(cfg) // without a change
	after.lists <- listText(4, false, memberText("b", b, "active"))
	q = within(t, after.queries, "the discovery server got no call after a reload without a change")
	if !strings.HasPrefix(q, "from=4&") {
		t.Errorf("query after a reload without a change %q, want one from version 4", q)
	}
}

// If the first call to a new discovery address fails, the whole list is requested again.
func TestReloadIsRetried(t *testing.T) {
	got := make(chan *http.Request, 64)
	before, after := newCatalog(t), newCatalog(t)
	p := startProxy(t, listText(41, true), before, nil)
	within(t, before.queries, "the old discovery server got no call")
	cfg := p.proxy.cfg
	cfg.Discovery = strings.TrimPrefix(after.URL, "http://")
	p.proxy.Reload(cfg)
	after.lists <- "no list"
	within(t, after.queries, "the new discovery server got no call")
	if q := within(t, after.queries, "the new discovery server got no second call"); q != "" {
		t.Errorf("query after a failed call %q, want an empty one, for the whole list", q)
	}
	after.lists <- listText(3, true, memberText("a", countingBackend(t, got), "active"))
	within(t, after.queries, "the new discovery server got no call after its list")
	mustRespond(t, 200)(p.request(t, "fetch-work", 10000, ""))
}

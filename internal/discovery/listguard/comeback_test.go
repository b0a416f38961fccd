package listguard

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lapisspread/decision"
	"lapisspread/internal/engine"
)

const second = time.Second

func guardSettings() GuardSettings {
	return GuardSettings{MaxMissingRatio: 0.3, MinMissing: 2, RetainFor: 30 * second}
}

// list is a list of servers by their names: "a" is ready, "a-" leaves, "a!" has left.
func list(version uint32, full bool, names ...string) engine.EndpointList {
	l := engine.EndpointList{Version: version, Full: full}
	for _, n := range names {
		m := engine.Endpoint{ID: strings.TrimRight(n, "-!"), State: decision.Ready}
		m.Addr = "at-" + m.ID
		switch {
		case strings.HasSuffix(n, "-"):
			m.State = decision.Draining
		case strings.HasSuffix(n, "!"):
			m.State = decision.Removed
		}
		l.Endpoints = append(l.Endpoints, m)
	}
	return l
}

func names(l engine.EndpointList) string {
	var out []string
	for _, m := range l.Endpoints {
		n := m.ID
		if m.State == decision.Draining {
			n += "-"
		}
		out = append(out, n)
	}
	slices.Sort(out)
	return strings.Join(out, " ")
}

func TestTheGuard(t *testing.T) {
	type told struct {
		at   time.Duration
		list engine.EndpointList
		want string // of all that is believed then
	}
	all := list(7, true, "a", "b", "c", "d", "e")
	for name, steps := range map[string][]told{
		"an empty store":                    {{0, list(1, true), "a b c d e"}, {5 * second, list(2, true, "a", "b", "c", "d", "e"), "a b c d e"}},
		"a partial store":                   {{0, list(1, true, "a"), "a b c d e"}, {5 * second, list(2, true, "a", "b"), "a b c d e"}},
		"a few are really gone":             {{0, list(8, true, "b", "c", "d", "e"), "b c d e"}},
		"told to leave, they leave at once": {{0, list(1, true, "a", "b-"), "a b- c d e"}, {second, list(2, false, "c!", "d-"), "a b- d- e"}},
		"who was leaving is not missed":     {{0, list(8, false, "a-", "b-"), "a- b- c d e"}, {second, list(9, true, "c", "d", "e"), "c d e"}},
		"after the hold they are gone":      {{0, list(1, true, "a"), "a b c d e"}, {29 * second, list(2, true, "a"), "a b c d e"}, {30 * second, list(3, true, "a"), "a"}},
		"the hold counts from the first":    {{0, list(1, true, "a"), "a b c d e"}, {20 * second, list(2, true, "a", "x"), "a b c d e x"}, {30 * second, list(3, true, "a", "x"), "a x"}},
		"another one at its address":        {{0, engine.EndpointList{Version: 1, Full: true, Endpoints: []engine.Endpoint{{ID: "new", Addr: "at-b", State: decision.Ready}}}, "a c d e new"}},
	} {
		g, err := NewGuard(guardSettings(), all)
		if err != nil {
			t.Fatal(err)
		}
		for i, s := range steps {
			got := g.Apply(s.at, s.list)
			if got.Version != s.list.Version || got.Full != s.list.Full {
				t.Errorf("%s, %d: version %d, whole %v", name, i, got.Version, got.Full)
			}
			if believed := names(g.snapshot()); believed != s.want {
				t.Errorf("%s, %d: believes %q, want %q", name, i, believed, s.want)
			}
		}
	}
}

func TestTheHoldElapses(t *testing.T) {
	g, _ := NewGuard(guardSettings(), list(7, true, "a", "b", "c"))
	if _, any := g.NextExpiry(); any {
		t.Error("something is due, and nothing is missing")
	}
	g.Apply(2*second, list(1, true))
	if at, any := g.NextExpiry(); !any || at != 32*second || g.Missing() != 3 {
		t.Errorf("due at %v, %v; %d are missing", at, any, g.Missing())
	}
	if _, changed := g.Expire(31 * second); changed {
		t.Error("too early")
	}
	l, changed := g.Expire(32 * second)
	if !changed || len(l.Endpoints) != 0 || !l.Full || g.Stats() != (GuardStats{SuspectLists: 1, Retained: 3, Dropped: 3}) {
		t.Errorf("%v %+v %+v", changed, l, g.Stats())
	}
}

// Whatever a register says: nobody is believed to be ready of whom it said last that he leaves or has left, nobody longer than
// the hold after the last list that named him, and all whom the last whole list names are believed as it names them.
func TestTheGuardBelievesNoMoreThanItMay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g, _ := NewGuard(guardSettings(), list(0, true, "a", "b", "c", "d", "e", "f"))
		last := map[string]decision.BackendState{} // what was said last of each
		for _, id := range strings.Fields("a b c d e f") {
			last[id] = decision.Ready
		}
		now := time.Duration(0)
		for i := range rapid.IntRange(1, 30).Draw(t, "lists") {
			now += time.Duration(rapid.IntRange(0, 20).Draw(t, "later")) * second
			full := rapid.Bool().Draw(t, "full")
			var say []string
			for _, id := range strings.Fields("a b c d e f g") {
				if word := rapid.SampledFrom([]string{"", "", "", "r", "-", "!"}).Draw(t, id); word != "" {
					say = append(say, id+strings.TrimPrefix(word, "r"))
				}
			}
			l := list(uint32(i), full, say...)
			believed := map[string]decision.BackendState{}
			g.Expire(now) // as its driver does when it is due
			g.Apply(now, l)
			for _, m := range g.snapshot().Endpoints {
				believed[m.ID] = m.State
			}
			for _, m := range l.Endpoints {
				last[m.ID] = m.State
				if got, known := believed[m.ID]; known != (m.State != decision.Removed) || known && got != m.State {
					t.Fatalf("%s is told as %v and believed %v (%v)", m.ID, m.State, got, known)
				}
			}
			for id, state := range believed {
				if state == decision.Ready && last[id] != decision.Ready {
					t.Fatalf("%s is believed to be ready, the last word was %v", id, last[id])
				}
				if _, any := g.NextExpiry(); state == decision.Ready && g.known[id].missing && (!any || now-g.known[id].since >= guardSettings().RetainFor) {
					t.Fatalf("%s is kept, missing since %v, at %v", id, g.known[id].since, now)
				}
			}
		}
	})
}

func callSettings(proxies int, seed uint64) PacingSettings {
	return PacingSettings{CallsPerSecond: 4, Proxies: proxies, MaxBackoff: 10 * second, WatchTimeout: 20 * second, Seed: seed}
}

// A register that takes four calls a second, and a fleet that starts in one moment, plays in virtual time.
func herd(t *testing.T, proxies int, after time.Duration) (calls, turnedAway []int, done time.Duration) {
	t.Helper()
	type proxy struct {
		c    *Pacer
		at   time.Duration
		done bool
	}
	var fleet []*proxy
	for i := range proxies {
		c, err := NewPacer(callSettings(proxies, uint64(i)))
		if err != nil {
			t.Fatal(err)
		}
		fleet = append(fleet, &proxy{c: c, at: c.Wait(0)})
	}
	tokens, last := 4.0, time.Duration(0)
	for {
		var next *proxy
		for _, p := range fleet {
			if !p.done && (next == nil || p.at < next.at) {
				next = p
			}
		}
		if next == nil {
			return calls, turnedAway, done
		}
		now := next.at
		if now > time.Hour {
			t.Fatalf("%d proxies: not all have a list after an hour", proxies)
		}
		for len(calls) <= int(now/second) {
			calls, turnedAway = append(calls, 0), append(turnedAway, 0)
		}
		calls[now/second]++
		tokens, last = min(4, tokens+4*(now-last).Seconds()), now
		if tokens >= 1 {
			tokens--
			next.done, done = true, now
			next.c.Succeeded()
			continue
		}
		turnedAway[now/second]++
		next.c.Failed(now, after)
		next.at = now + next.c.Wait(now)
	}
}

// A fleet that starts together asks about as often as the register takes, and all have a list in little more than the time
// that this takes by itself.
func TestAHerdIsSpread(t *testing.T) {
	for _, proxies := range []int{1, 12, 36} {
		for _, after := range []time.Duration{0, second} {
			calls, away, done := herd(t, proxies, after)
			need := time.Duration(float64(proxies) / 4 * float64(second))
			later := append(calls[1:], 0) // in the first second each calls once and learns that it is too much
			if most := slices.Max(later); calls[0] > 2*proxies || most > 12 || proxies == 1 && (done > 0 || len(calls) != 1) {
				t.Errorf("%d proxies, told to come back after %v: %v calls a second, all done after %v", proxies, after, calls, done)
			}
			if done > 6*need+2*second {
				t.Errorf("%d proxies, told to come back after %v: done after %v, %v would do; turned away %v", proxies, after, done, need, away)
			}
		}
	}
}

func TestCallsKeepToWhatTheyAreTold(t *testing.T) {
	c, _ := NewPacer(callSettings(12, 5))
	now := second + c.Wait(second)
	if now > second+maxInitialDelay {
		t.Errorf("the first call waits until %v", now)
	}
	for range 50 {
		c.Failed(now, 3*second)
		if w := c.Wait(now); w < 3*second || w > callSettings(12, 5).MaxBackoff+c.fleetRound() {
			t.Fatalf("told to come back after 3 s, it waits %v", w)
		}
		c.Failed(now, 0)
		if w := c.Wait(now); w < MinBackoff || w > 10*second {
			t.Fatalf("it waits %v", w)
		}
		if h := c.WatchTimeout(); h < 15*second || h > 20*second {
			t.Fatalf("a watch is held for %v", h)
		}
	}
	if c.ConsecutiveFailures() != 100 {
		t.Errorf("%d in a row", c.ConsecutiveFailures())
	}
	if c.Succeeded(); c.Wait(now) != 0 {
		t.Error("it waits after an answer")
	}
	for want, s := range map[string]PacingSettings{"rate: 0": {Proxies: 1, MaxBackoff: second}, "proxies: 0": {CallsPerSecond: 1, MaxBackoff: second}, "most: 0s": {CallsPerSecond: 1, Proxies: 1},
		"hold: 1h": {CallsPerSecond: 1, Proxies: 1, MaxBackoff: second, WatchTimeout: time.Hour}} {
		if _, err := NewPacer(s); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", want, err)
		}
	}
	for want, s := range map[string]GuardSettings{"shrink: 2": {MaxMissingRatio: 2, MinMissing: 1, RetainFor: second}, "least: 0": {RetainFor: second}, "hold: 1ms": {MinMissing: 1, RetainFor: time.Millisecond}} {
		if _, err := NewGuard(s, engine.EndpointList{}); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", want, fmt.Sprint(err))
		}
	}
}

package listguard

import (
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

func newGuard(t *testing.T, known engine.EndpointList) *Guard {
	t.Helper()
	g, err := NewGuard(guardSettings(), known)
	if err != nil {
		t.Fatal(err)
	}
	return g
}

// list makes a list of endpoints by their names: "a" is ready, "a-" is draining, "a!" is removed.
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

// names lists a list's endpoints the way that list takes them, sorted.
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

// Each step applies a list and compares which endpoints the guard believes in afterwards.
func TestGuardRetainsOnlyUnexpectedlyMissing(t *testing.T) {
	type step struct {
		at   time.Duration
		list engine.EndpointList
		want string // the names of the list to believe then
	}
	all := list(7, true, "a", "b", "c", "d", "e")
	for name, steps := range map[string][]step{
		"an empty store": {
			{0, list(1, true), "a b c d e"},
			{5 * second, list(2, true, "a", "b", "c", "d", "e"), "a b c d e"},
		},
		"a partial store": {
			{0, list(1, true, "a"), "a b c d e"},
			{5 * second, list(2, true, "a", "b"), "a b c d e"},
		},
		"a few are really gone": {
			{0, list(8, true, "b", "c", "d", "e"), "b c d e"},
		},
		"draining and removed are believed at once": {
			{0, list(1, true, "a", "b-"), "a b- c d e"},
			{second, list(2, false, "c!", "d-"), "a b- d- e"},
		},
		"draining ones are not missed": {
			{0, list(8, false, "a-", "b-"), "a- b- c d e"},
			{second, list(9, true, "c", "d", "e"), "c d e"},
		},
		"dropped after the retention": {
			{0, list(1, true, "a"), "a b c d e"},
			{29 * second, list(2, true, "a"), "a b c d e"},
			{30 * second, list(3, true, "a"), "a"},
		},
		"the retention counts from the first list": {
			{0, list(1, true, "a"), "a b c d e"},
			{20 * second, list(2, true, "a", "x"), "a b c d e x"},
			{30 * second, list(3, true, "a", "x"), "a x"},
		},
		"another endpoint at its address": {
			{0, engine.EndpointList{Version: 1, Full: true, Endpoints: []engine.Endpoint{
				{ID: "new", Addr: "at-b", State: decision.Ready},
			}}, "a c d e new"},
		},
	} {
		guard, err := NewGuard(guardSettings(), all)
		if err != nil {
			t.Fatal(err)
		}
		for i, s := range steps {
			got := guard.Apply(s.at, s.list)
			if got.Version != s.list.Version || got.Full != s.list.Full {
				t.Errorf("%s, %d: version %d, whole %v", name, i, got.Version, got.Full)
			}
			if believed := names(guard.snapshot()); believed != s.want {
				t.Errorf("%s, %d: believes %q, want %q", name, i, believed, s.want)
			}
		}
	}
}

func TestRetentionExpires(t *testing.T) {
	g := newGuard(t, list(7, true, "a", "b", "c"))
	if _, ok := g.NextExpiry(); ok {
		t.Error("something is due, and nothing is missing")
	}
	g.Apply(2*second, list(1, true))
	if at, ok := g.NextExpiry(); !ok || at != 32*second || g.Missing() != 3 {
		t.Errorf("due at %v, %v; %d are missing", at, ok, g.Missing())
	}
	if _, changed := g.Expire(31 * second); changed {
		t.Error("too early")
	}
	l, changed := g.Expire(32 * second)
	want := GuardStats{SuspectLists: 1, Retained: 3, Dropped: 3}
	if !changed || len(l.Endpoints) != 0 || !l.Full || g.Stats() != want {
		t.Errorf("once they have expired: changed %v, list %+v, counted %+v; want an empty full list and %+v",
			changed, l, g.Stats(), want)
	}
}

// Whatever lists come: no endpoint is believed to be ready that was last said to be draining or removed, none longer
// than RetainFor after the last list that named it, and all that the last full list names are believed as named.
func TestGuardInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g, err := NewGuard(guardSettings(), list(0, true, "a", "b", "c", "d", "e", "f"))
		if err != nil {
			t.Fatal(err)
		}
		last := map[string]decision.BackendState{} // the last state of each
		for _, id := range strings.Fields("a b c d e f") {
			last[id] = decision.Ready
		}
		now := time.Duration(0)
		for i := range rapid.IntRange(1, 30).Draw(t, "lists") {
			now += time.Duration(rapid.IntRange(0, 20).Draw(t, "later")) * second
			full := rapid.Bool().Draw(t, "full")
			var named []string
			for _, id := range strings.Fields("a b c d e f g") {
				if word := rapid.SampledFrom([]string{"", "", "", "r", "-", "!"}).Draw(t, id); word != "" {
					named = append(named, id+strings.TrimPrefix(word, "r"))
				}
			}
			l := list(uint32(i), full, named...)
			believed := map[string]decision.BackendState{}
			g.Expire(now) // as its user does when it is due
			g.Apply(now, l)
			for _, m := range g.snapshot().Endpoints {
				believed[m.ID] = m.State
			}
			for _, m := range l.Endpoints {
				last[m.ID] = m.State
				if got, known := believed[m.ID]; known != (m.State != decision.Removed) || known && got != m.State {
					t.Fatalf("%s is named as %v and believed %v (%v)", m.ID, m.State, got, known)
				}
			}
			for id, state := range believed {
				if state == decision.Ready && last[id] != decision.Ready {
					t.Fatalf("%s is believed to be ready, the last word was %v", id, last[id])
				}
				endpoint := g.known[id]
				_, due := g.NextExpiry()
				expired := !due || now-endpoint.since >= guardSettings().RetainFor
				if state == decision.Ready && endpoint.missing && expired {
					t.Fatalf("%s is retained, missing since %v, at %v", id, endpoint.since, now)
				}
			}
		}
	})
}

func TestGuardSettingsAreValidated(t *testing.T) {
	for want, s := range map[string]GuardSettings{
		"shrink: 2": {MaxMissingRatio: 2, MinMissing: 1, RetainFor: second},
		"least: 0":  {RetainFor: second},
		"hold: 1ms": {MinMissing: 1, RetainFor: time.Millisecond},
	} {
		if _, err := NewGuard(s, engine.EndpointList{}); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", want, err)
		}
	}
}

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

// newGuard returns a guard with guardSettings that starts with a known list.
func newGuard(t *testing.T, known engine.EndpointList) *Guard {
	t.Helper()
	g, err := NewGuard(guardSettings(), known)
	if err != nil {
		t.Fatalf("NewGuard: %v", err)
	}
	return g
}

// newList returns a list with an endpoint for each name: "a" is ready, "a-" is draining, "a!" is removed.
func newList(version uint32, full bool, names ...string) engine.EndpointList {
	l := engine.EndpointList{Version: version, Full: full}
	for _, name := range names {
		endpoint := engine.Endpoint{ID: strings.TrimRight(name, "-!"), State: decision.Ready}
		endpoint.Addr = "at-" + endpoint.ID
		switch {
		case strings.HasSuffix(name, "-"):
			endpoint.State = decision.Draining
		case strings.HasSuffix(name, "!"):
			endpoint.State = decision.Removed
		}
		l.Endpoints = append(l.Endpoints, endpoint)
	}
	return l
}

// formatList returns the sorted names of a list's endpoints in the notation of newList.
func formatList(l engine.EndpointList) string {
	var names []string
	for _, endpoint := range l.Endpoints {
		name := endpoint.ID
		if endpoint.State == decision.Draining {
			name += "-"
		}
		names = append(names, name)
	}
	slices.Sort(names)
	return strings.Join(names, " ")
}

// Each step applies a list and compares the guard's endpoints afterwards with the wanted ones.
func TestGuardRetainsOnlyUnexpectedlyMissing(t *testing.T) {
	type step struct {
		at   time.Duration
		list engine.EndpointList
		want string // the guard's endpoints after the step, in the notation of newList
	}
	all := newList(7, true, "a", "b", "c", "d", "e")
	for name, steps := range map[string][]step{
		"discovery restarts with an empty store": {
			{0, newList(1, true), "a b c d e"},
			{5 * second, newList(2, true, "a", "b", "c", "d", "e"), "a b c d e"},
		},
		"discovery restarts with a partial store": {
			{0, newList(1, true, "a"), "a b c d e"},
			{5 * second, newList(2, true, "a", "b"), "a b c d e"},
		},
		"one endpoint of five is missing": {
			{0, newList(8, true, "b", "c", "d", "e"), "b c d e"},
		},
		"draining and removed states apply at once": {
			{0, newList(1, true, "a", "b-"), "a b- c d e"},
			{second, newList(2, false, "c!", "d-"), "a b- d- e"},
		},
		"missing endpoints that were draining are removed": {
			{0, newList(8, false, "a-", "b-"), "a- b- c d e"},
			{second, newList(9, true, "c", "d", "e"), "c d e"},
		},
		"retained endpoints are dropped after RetainFor": {
			{0, newList(1, true, "a"), "a b c d e"},
			{29 * second, newList(2, true, "a"), "a b c d e"},
			{30 * second, newList(3, true, "a"), "a"},
		},
		"RetainFor counts from the first list that lacks the endpoint": {
			{0, newList(1, true, "a"), "a b c d e"},
			{20 * second, newList(2, true, "a", "x"), "a b c d e x"},
			{30 * second, newList(3, true, "a", "x"), "a x"},
		},
		"a new endpoint has the address of a missing one": {
			{0, engine.EndpointList{Version: 1, Full: true, Endpoints: []engine.Endpoint{
				{ID: "new", Addr: "at-b", State: decision.Ready},
			}}, "a c d e new"},
		},
	} {
		guard, err := NewGuard(guardSettings(), all)
		if err != nil {
			t.Fatalf("%s: NewGuard: %v", name, err)
		}
		for i, s := range steps {
			got := guard.Apply(s.at, s.list)
			if got.Version != s.list.Version || got.Full != s.list.Full {
				t.Errorf("%s, step %d: Apply returned a list with version %d, full %v; want version %d, full %v",
					name, i, got.Version, got.Full, s.list.Version, s.list.Full)
			}
			if used := formatList(guard.snapshot()); used != s.want {
				t.Errorf("%s, step %d: after Apply the guard has endpoints %q, want %q", name, i, used, s.want)
			}
		}
	}
}

// Endpoints that a suspect list lacks are dropped RetainFor (30s) after that list.
func TestRetentionExpires(t *testing.T) {
	g := newGuard(t, newList(7, true, "a", "b", "c"))
	if at, ok := g.NextExpiry(); ok {
		t.Errorf("NextExpiry with no missing endpoint = %v, true; want false", at)
	}
	g.Apply(2*second, newList(1, true))
	if at, ok := g.NextExpiry(); !ok || at != 32*second || g.Missing() != 3 {
		t.Errorf("after an empty list at 2s: NextExpiry = %v, %v and Missing = %d; want 32s, true and 3",
			at, ok, g.Missing())
	}
	if _, changed := g.Expire(31 * second); changed {
		t.Error("Expire(31s) dropped endpoints that expire at 32s")
	}
	l, changed := g.Expire(32 * second)
	want := GuardStats{SuspectLists: 1, Retained: 3, Dropped: 3}
	if !changed || len(l.Endpoints) != 0 || !l.Full || g.Stats() != want {
		t.Errorf("Expire(32s) = list %+v, changed %v, with stats %+v; want an empty full list, true and stats %+v",
			l, changed, g.Stats(), want)
	}
}

// For random lists: no endpoint is used as ready if its last listed state was draining or removed; none is retained for
// RetainFor or longer after the first list that lacks it; and each endpoint of the last list is used in its listed
// state.
func TestGuardInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g, err := NewGuard(guardSettings(), newList(0, true, "a", "b", "c", "d", "e", "f"))
		if err != nil {
			t.Fatalf("NewGuard: %v", err)
		}
		last := map[string]decision.BackendState{} // the last listed state of each endpoint
		for _, id := range strings.Fields("a b c d e f") {
			last[id] = decision.Ready
		}
		now := time.Duration(0)
		for i := range rapid.IntRange(1, 30).Draw(t, "lists") {
			now += time.Duration(rapid.IntRange(0, 20).Draw(t, "later")) * second
			full := rapid.Bool().Draw(t, "full")
			var names []string
			for _, id := range strings.Fields("a b c d e f g") {
				// "" leaves the endpoint out, "r" lists it as ready, and "-" and "!" are the suffixes of newList.
				if state := rapid.SampledFrom([]string{"", "", "", "r", "-", "!"}).Draw(t, id); state != "" {
					names = append(names, id+strings.TrimPrefix(state, "r"))
				}
			}
			l := newList(uint32(i), full, names...)
			used := map[string]decision.BackendState{}
			g.Expire(now) // guardedsource calls Expire at the time of NextExpiry
			g.Apply(now, l)
			for _, endpoint := range g.snapshot().Endpoints {
				used[endpoint.ID] = endpoint.State
			}
			for _, listed := range l.Endpoints {
				last[listed.ID] = listed.State
				got, present := used[listed.ID]
				if present != (listed.State != decision.Removed) || present && got != listed.State {
					t.Fatalf("endpoint %s was listed with state %v; in the guard's list: present %v, state %v; "+
						"want it present with the listed state, or absent if that is removed",
						listed.ID, listed.State, present, got)
				}
			}
			for id, state := range used {
				if state == decision.Ready && last[id] != decision.Ready {
					t.Fatalf("endpoint %s is used as ready, but its last listed state was %v", id, last[id])
				}
				endpoint := g.known[id]
				_, due := g.NextExpiry()
				expired := !due || now-endpoint.missingSince >= guardSettings().RetainFor
				if state == decision.Ready && endpoint.missing && expired {
					t.Fatalf("endpoint %s is still retained at %v, missing since %v; want it dropped after %v",
						id, now, endpoint.missingSince, guardSettings().RetainFor)
				}
			}
		}
	})
}

// NewGuard returns an error that names the key of an invalid setting.
func TestGuardSettingsAreValidated(t *testing.T) {
	for want, s := range map[string]GuardSettings{
		"shrink: 2": {MaxMissingRatio: 2, MinMissing: 1, RetainFor: second},
		"least: 0":  {RetainFor: second},
		"hold: 1ms": {MinMissing: 1, RetainFor: time.Millisecond},
	} {
		if _, err := NewGuard(s, engine.EndpointList{}); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("NewGuard(%+v) returned error %v, want one that contains %q", s, err, want)
		}
	}
}

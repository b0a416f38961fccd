package staleness

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"
)

const sec = time.Second

// TestMain sets a fixed seed for the property tests unless -rapid.seed is given, so that every run has the same result.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		if err := seed.Value.Set("24"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// must fails the test if the named call returned an error.
func must(t testing.TB, call string, err error) {
	t.Helper()
	if err != nil {
		t.Fatalf("%s = %v, want no error", call, err)
	}
}

// listAndPolicy returns the settings of most tests: a list of servers, and a policy on which every route depends.
func listAndPolicy() Settings {
	return Settings{Sources: []SourceSettings{
		{Name: "list", HeartbeatInterval: sec},
		{Name: "policy", HeartbeatInterval: sec, AffectsAllRoutes: true},
	}}
}

// followedView returns a view with ten servers on route r and a policy, received at 1 s, with heartbeats every second
// until the given time.
func followedView(t testing.TB, until time.Duration) *View {
	t.Helper()
	v, err := New(listAndPolicy())
	must(t, "New", err)
	must(t, "ApplyUpdate", v.ApplyUpdate(sec, "list", Update{Version: 1, Complete: true, Changes: servers(10)}))
	must(t, "ApplyUpdate", v.ApplyUpdate(sec, "policy", Update{Version: 7, Complete: true}))
	sendHeartbeats(t, v, 2*sec, until)
	return v
}

// servers returns n additions: s0, s1 and so on, all on route r.
func servers(n int) []Change {
	var all []Change
	for i := range n {
		all = append(all, Change{Entry: server(fmt.Sprint("s", i), 1)})
	}
	return all
}

func server(name string, incarnation uint64) Entry {
	return Entry{Name: name, Kind: "app", Route: "r", Incarnation: incarnation}
}

func sendHeartbeats(t testing.TB, v *View, from, to time.Duration) {
	t.Helper()
	for now := from; now <= to; now += sec {
		must(t, "RecordHeartbeat", v.RecordHeartbeat(now, "list"))
		must(t, "RecordHeartbeat", v.RecordHeartbeat(now, "policy"))
		v.Tick(now)
	}
}

package staleness

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"
)

const sec = time.Second

// TestMain has properties draw from a fixed seed unless another one is given, so that each run gives the same verdict.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		if err := seed.Value.Set("24"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func must(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// listAndPolicy are the sources of most tests: a list of servers, and a policy on which every route depends.
func listAndPolicy() Settings {
	return Settings{Sources: []SourceSettings{
		{Name: "list", HeartbeatInterval: sec},
		{Name: "policy", HeartbeatInterval: sec, AffectsAllRoutes: true},
	}}
}

// followedView has ten servers on route r and a policy, received at 1 s, with heartbeats until the given time.
func followedView(t testing.TB, until time.Duration) *View {
	t.Helper()
	v, err := New(listAndPolicy())
	must(t, err)
	must(t, v.ApplyUpdate(sec, "list", Update{Version: 1, Complete: true, Changes: servers(10)}))
	must(t, v.ApplyUpdate(sec, "policy", Update{Version: 7, Complete: true}))
	sendHeartbeats(t, v, 2*sec, until)
	return v
}

// servers lists s0, s1 and so on, all on route r.
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
		must(t, v.RecordHeartbeat(now, "list"))
		must(t, v.RecordHeartbeat(now, "policy"))
		v.Tick(now)
	}
}

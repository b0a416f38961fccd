package api_test

import (
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"lapisspread/internal/controlplane/api"
	"lapisspread/internal/strictconfig"
)

// The kept file has each key of the form with a value of its own.
func TestFrozenFileIsReadAsBefore(t *testing.T) {
	got, err := api.Load(filepath.Join("testdata", "all-keys.toml"))
	if err != nil {
		t.Fatal(err)
	}
	in := func(name string) string { return filepath.Join("testdata", name) }
	want := &api.File{Version: 1, Fleet: "north", Drift: .002, Longest: strictconfig.Span(12 * time.Second), State: "/var/lib/x",
		Stewards: []api.Steward{{Name: "s1", Number: 7, Address: "127.0.0.1:7401"}},
		Budgets: []api.Budget{{Name: "attempts", Of: api.Of{Counts: "attempts", Service: "desks", Class: "booking", Tenant: "t1"}, Whole: 1000, Burst: 100,
			Lease: strictconfig.Span(2 * time.Second), Floors: map[string]float64{"p1": 50},
			Members: map[string]api.Share{"p1": {Min: 1, Cap: 200, Weight: 3}}, Others: api.Share{Cap: 300, Weight: 2}}},
		TLS: &api.TLS{Certificate: in("c.pem"), Key: in("k.pem"), CA: in("ca.pem")},
		Policy: api.Policy{Routes: true, Step: strictconfig.Span(3 * time.Second), Watch: strictconfig.Span(50 * time.Second), Enough: 900,
			Silent: strictconfig.Span(9 * time.Second)},
		Charter: in("charter.toml"), Namespaces: []string{in("a.toml")},
		View: &api.View{Act: true, Beat: strictconfig.Span(20 * time.Second), Transit: strictconfig.Span(200 * time.Millisecond), Silence: .01, Lies: .001,
			Levels: api.Levels{Confirmed: .99, Fresh: .9, Ageing: .7, Doubtful: .3, Margin: .005, Rest: strictconfig.Span(3 * time.Second),
				Within: strictconfig.Span(11 * time.Second)},
			Kinds: map[string]api.Kind{"pay-1": {Changes: 2, In: strictconfig.Span(time.Hour)}}}}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("read\n%+v, want\n%+v", got, want)
	}
	if !reflect.DeepEqual(got.View, want.View) {
		t.Errorf("view: read\n%+v, want\n%+v", got.View, want.View)
	}
}

// The example in deploy means what it meant.
func TestFrozenExampleIsReadAsBefore(t *testing.T) {
	got, err := api.Load(example)
	if err != nil {
		t.Fatal(err)
	}
	at := filepath.Join(filepath.Dir(example), "fleet")
	want := &api.File{Version: 1, Fleet: "kigali", Drift: .001, Longest: strictconfig.Span(10 * time.Second), State: "/var/lib/lapisspread",
		Stewards: []api.Steward{{Name: "s1", Number: 1, Address: "127.0.0.1:7401"}, {Name: "s2", Number: 2, Address: "127.0.0.1:7402"},
			{Name: "s3", Number: 3, Address: "127.0.0.1:7403"}},
		Budgets: []api.Budget{
			{Name: "attempts", Of: api.Of{Counts: "attempts"}, Whole: 12000, Burst: 1200, Lease: strictconfig.Span(3 * time.Second)},
			{Name: "retries", Of: api.Of{Counts: "retries"}, Whole: 1200, Burst: 240, Lease: strictconfig.Span(3 * time.Second)}},
		Charter:    filepath.Join(at, "charter.toml"),
		Namespaces: []string{filepath.Join(at, "dispatch.toml"), filepath.Join(at, "settlement.toml"), filepath.Join(at, "booking-desks.toml")},
		View:       &api.View{Transit: strictconfig.Span(250 * time.Millisecond), Levels: api.Levels{Fresh: .95, Ageing: .8, Doubtful: .4}}}
	if !reflect.DeepEqual(got, want) || !reflect.DeepEqual(got.View, want.View) {
		t.Errorf("read\n%+v %+v, want\n%+v %+v", got, got.View, want, want.View)
	}
}

package api_test

import (
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"lapisspread/internal/controlplane/api"
	"lapisspread/internal/strictconfig"
)

// The stored file sets every key, each to a different value. Load must read each value into the same field as before.
func TestFrozenFileIsReadAsBefore(t *testing.T) {
	got, err := api.Load(filepath.Join("testdata", "all-keys.toml"))
	if err != nil {
		t.Fatalf("Load(all-keys.toml) = error %v, want nil", err)
	}
	testdataPath := func(name string) string { return filepath.Join("testdata", name) }
	want := &api.Config{
		Version:     1,
		Fleet:       "north",
		MaxDrift:    .002,
		MaxLifetime: strictconfig.Duration(12 * time.Second),
		StateDir:    "/var/lib/x",
		Servers:     []api.Server{{Name: "s1", ID: 7, Address: "127.0.0.1:7401"}},
		Quotas: []api.Quota{
			{
				Name: "attempts",
				Filter: api.AttemptFilter{
					Attempts: "attempts",
					Service:  "desks",
					Class:    "booking",
					Tenant:   "t1",
				},
				Limit:         1000,
				Burst:         100,
				LeaseDuration: strictconfig.Duration(2 * time.Second),
				Floors:        map[string]float64{"p1": 50},
				Members:       map[string]api.QuotaShare{"p1": {Min: 1, Cap: 200, Weight: 3}},
				DefaultShare:  api.QuotaShare{Cap: 300, Weight: 2},
			},
		},
		TLS: &api.TLSFiles{Certificate: testdataPath("c.pem"), Key: testdataPath("k.pem"), CA: testdataPath("ca.pem")},
		Policy: api.PolicySettings{
			RouteByPolicy:  true,
			StepDuration:   strictconfig.Duration(3 * time.Second),
			WatchDuration:  strictconfig.Duration(50 * time.Second),
			MinRequests:    900,
			SilenceTimeout: strictconfig.Duration(9 * time.Second),
		},
		OwnershipFile:  testdataPath("charter.toml"),
		NamespaceFiles: []string{testdataPath("a.toml")},
		Freshness: &api.FreshnessSettings{
			Enforce:         true,
			WatchInterval:   strictconfig.Duration(20 * time.Second),
			MaxTransit:      strictconfig.Duration(200 * time.Millisecond),
			SilentWatchRate: .01,
			StaleAnswerRate: .001,
			Levels: api.FreshnessLevels{
				Confirmed:       .99,
				Fresh:           .9,
				Ageing:          .7,
				Doubtful:        .3,
				Margin:          .005,
				RiseDelay:       strictconfig.Duration(3 * time.Second),
				ConfirmedWithin: strictconfig.Duration(11 * time.Second),
			},
			ServerKinds: map[string]api.ChangePrior{
				"pay-1": {Changes: 2, Exposure: strictconfig.Duration(time.Hour)},
			},
		},
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("Load(all-keys.toml) =\n%+v, want\n%+v", got, want)
	}
	if !reflect.DeepEqual(got.Freshness, want.Freshness) {
		t.Errorf("Load(all-keys.toml).Freshness =\n%+v, want\n%+v", got.Freshness, want.Freshness)
	}
}

// Load must read the example file in deploy into the same configuration as before.
func TestFrozenExampleIsReadAsBefore(t *testing.T) {
	got, err := api.Load(exampleFile)
	if err != nil {
		t.Fatalf("Load(%s) = error %v, want nil", exampleFile, err)
	}
	namespaceDir := filepath.Join(filepath.Dir(exampleFile), "fleet")
	want := &api.Config{
		Version:     1,
		Fleet:       "kigali",
		MaxDrift:    .001,
		MaxLifetime: strictconfig.Duration(10 * time.Second),
		StateDir:    "/var/lib/lapisspread",
		Servers: []api.Server{
			{Name: "s1", ID: 1, Address: "127.0.0.1:7401"},
			{Name: "s2", ID: 2, Address: "127.0.0.1:7402"},
			{Name: "s3", ID: 3, Address: "127.0.0.1:7403"},
		},
		Quotas: []api.Quota{
			{
				Name:          "attempts",
				Filter:        api.AttemptFilter{Attempts: "attempts"},
				Limit:         12000,
				Burst:         1200,
				LeaseDuration: strictconfig.Duration(3 * time.Second),
			},
			{
				Name:          "retries",
				Filter:        api.AttemptFilter{Attempts: "retries"},
				Limit:         1200,
				Burst:         240,
				LeaseDuration: strictconfig.Duration(3 * time.Second),
			},
		},
		OwnershipFile: filepath.Join(namespaceDir, "charter.toml"),
		NamespaceFiles: []string{
			filepath.Join(namespaceDir, "dispatch.toml"),
			filepath.Join(namespaceDir, "settlement.toml"),
			filepath.Join(namespaceDir, "booking-desks.toml"),
		},
		Freshness: &api.FreshnessSettings{
			MaxTransit: strictconfig.Duration(250 * time.Millisecond),
			Levels:     api.FreshnessLevels{Fresh: .95, Ageing: .8, Doubtful: .4},
		},
	}
	if !reflect.DeepEqual(got, want) || !reflect.DeepEqual(got.Freshness, want.Freshness) {
		t.Errorf("Load(%s) =\n%+v with Freshness %+v, want\n%+v with Freshness %+v",
			exampleFile, got, got.Freshness, want, want.Freshness)
	}
}

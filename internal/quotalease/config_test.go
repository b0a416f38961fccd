package quotalease

import (
	"math"
	"slices"
	"strings"
	"testing"
	"time"
)

// rateQuota returns the rate quota "b" of 100 units a second, with a burst of 20 units.
func rateQuota() *Quota {
	return &Quota{Name: "b", Kind: Rate, Limit: 100, Burst: 20, LeaseDuration: time.Second}
}

// validConfig returns a configuration with rateQuota and the in-flight quota "h", with a floor of holder a.
func validConfig() FleetConfig {
	return FleetConfig{FleetID: "f", MaxDrift: .001, MaxLifetime: 10 * time.Second, Quotas: []Quota{
		*rateQuota(),
		{
			Name: "h", Kind: InFlight, Limit: 8, LeaseDuration: time.Second, MaxHoldTime: 2 * time.Second,
			Floors: map[string]float64{"a": 2},
		},
	}}
}

func TestCheckNamesAllThatIsWrong(t *testing.T) {
	valid := validConfig()
	if err := valid.Check(); err != nil {
		t.Fatalf("Check() of the valid configuration = %v, want nil", err)
	}
	for _, tt := range []struct {
		name   string
		change func(*FleetConfig)
		want   []string // parts of the error
	}{
		{"fleet without a name, drift not a number", func(f *FleetConfig) {
			f.FleetID = ""
			f.MaxDrift = math.NaN()
		}, []string{"no name", "drift: NaN"}},
		{"two quotas with the same name", func(f *FleetConfig) {
			f.Quotas[1].Name = "b"
		}, []string{"b: two budgets have this name"}},
		{"negative limit, burst below one unit", func(f *FleetConfig) {
			f.Quotas[0].Limit = -1
			f.Quotas[0].Burst = .5
		}, []string{"b: whole: -1", "b: burst: 0.5"}},
		{"lease longer than the longest lifetime", func(f *FleetConfig) {
			f.Quotas[1].LeaseDuration = time.Hour
		}, []string{"h: lease 1h0m0s plus life 2s"}},
		{"no hold time of units in flight", func(f *FleetConfig) {
			f.Quotas[1].MaxHoldTime = 0
		}, []string{"h: life: 0s"}},
		{"fractional limit of units in flight", func(f *FleetConfig) {
			f.Quotas[1].Limit = 7.5
		}, []string{"h: whole: 7.5"}},
		{"floors plus minimums above the limit", func(f *FleetConfig) {
			f.Quotas[0].Floors = map[string]float64{"x": 60}
			f.Quotas[0].Members = map[string]Share{"y": {Min: 50}}
		}, []string{"b: floors (60) and minimums (50)"}},
		{"floor with a burst below one unit", func(f *FleetConfig) {
			f.Quotas[0].Floors = map[string]float64{"x": 1}
		}, []string{`floor of "x": its part of the burst`}},
		{"cap below the minimum, negative weight", func(f *FleetConfig) {
			f.Quotas[0].Members = map[string]Share{"y": {Min: 5, Cap: 4, Weight: -1}}
		}, []string{"member y: cap 4", "member y: weight -1"}},
		{"minimum in the default share", func(f *FleetConfig) {
			f.Quotas[0].DefaultShare.Min = 1
		}, []string{"others: a minimum"}},
	} {
		config := valid
		config.Quotas = slices.Clone(valid.Quotas)
		tt.change(&config)
		err := config.Check()
		for _, want := range tt.want {
			if err == nil || !strings.Contains(err.Error(), want) {
				t.Errorf("%s: Check() = %v, want an error that contains %q", tt.name, err, want)
			}
		}
	}
}

package quotalease

import (
	"math"
	"slices"
	"strings"
	"testing"
	"time"
)

func rateQuota() *Quota {
	return &Quota{Name: "b", Kind: Rate, Limit: 100, Burst: 20, LeaseDuration: time.Second}
}

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
		t.Fatal(err)
	}
	for _, tt := range []struct {
		name  string
		spoil func(*FleetConfig)
		want  []string
	}{
		{"fleet", func(f *FleetConfig) {
			f.FleetID = ""
			f.MaxDrift = math.NaN()
		}, []string{"no name", "drift: NaN"}},
		{"twice", func(f *FleetConfig) { f.Quotas[1].Name = "b" }, []string{"b: named twice"}},
		{"limit", func(f *FleetConfig) {
			f.Quotas[0].Limit = -1
			f.Quotas[0].Burst = .5
		}, []string{"b: whole: -1", "b: burst: 0.5"}},
		{"lease", func(f *FleetConfig) {
			f.Quotas[1].LeaseDuration = time.Hour
		}, []string{"h: lease 1h0m0s and life 2s"}},
		{"hold time", func(f *FleetConfig) { f.Quotas[1].MaxHoldTime = 0 }, []string{"h: life: 0s"}},
		{"parts of units", func(f *FleetConfig) { f.Quotas[1].Limit = 7.5 }, []string{"h: whole: 7.5"}},
		{"sum", func(f *FleetConfig) {
			f.Quotas[0].Floors = map[string]float64{"x": 60}
			f.Quotas[0].Members = map[string]Share{"y": {Min: 50}}
		}, []string{"b: floors (60) and minimums (50)"}},
		{"floor without a unit of burst", func(f *FleetConfig) {
			f.Quotas[0].Floors = map[string]float64{"x": 1}
		}, []string{`floor of "x": its part`}},
		{"member", func(f *FleetConfig) {
			f.Quotas[0].Members = map[string]Share{"y": {Min: 5, Cap: 4, Weight: -1}}
		}, []string{"member y: cap 4", "member y: weight -1"}},
		{"others", func(f *FleetConfig) { f.Quotas[0].DefaultShare.Min = 1 }, []string{"others: a minimum"}},
	} {
		config := valid
		config.Quotas = slices.Clone(valid.Quotas)
		tt.spoil(&config)
		err := config.Check()
		for _, want := range tt.want {
			if err == nil || !strings.Contains(err.Error(), want) {
				t.Errorf("%s: %v does not name %q", tt.name, err, want)
			}
		}
	}
}

package liverun

import (
	"math/rand/v2"
	"testing"
	"time"

	"lapisspread/internal/controlplane/api"
	"lapisspread/internal/faultlab/testbinary"
	"lapisspread/internal/strictconfig"
)

// Each fault that may be drawn ends, and breaks nothing.
func TestEveryDrawnFaultEnds(t *testing.T) {
	s := small()
	s.Duration, s.Proxies = 3*time.Minute, 3
	o := &FleetOptions{Longest: time.Second, Tokens: true, Budgets: []api.Quota{
		{Name: "attempts", Filter: api.AttemptFilter{Attempts: "attempts"}, Limit: 30, Burst: 15, LeaseDuration: strictconfig.Duration(time.Second)}}}
	res, err := Play(t.Context(), &s, Options{Binary: testbinary.Proxy(t), Fabric: true, Fleet: o, Script: func(f *Fleet) error {
		d := &drawn{Fleet: f, rng: rand.New(rand.NewPCG(1, 1)), lease: time.Second}
		for _, one := range drawnFaults {
			if err := one.do(d); err != nil {
				t.Errorf("%s: %v", one.name, err)
			}
		}
		return f.Service(10, f.All()...)
	}})
	if err != nil {
		t.Fatal(err)
	}
	if v := res.Spending; v.OverWhole > 0 || v.NoToken > 0 || len(res.Problems) > 0 {
		t.Errorf("%+v; problems %q", v, res.Problems)
	}
	if res.Late == "" && res.Verdict.RulesBroken > 0 {
		t.Errorf("%d breaches, first %+v", res.Verdict.RulesBroken, res.Verdict.Breaches[0])
	}
}

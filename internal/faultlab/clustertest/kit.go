// Package clustertest is for tests that start several processes of the program and put faults between them. A scenario is a small
// world and a script; what must never happen is asserted for all of them, what must come at last is the script's to await.
package clustertest

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"lapisspread/internal/faultlab/checker"
	"lapisspread/internal/faultlab/liverun"
	"lapisspread/internal/faultlab/model"
	"lapisspread/internal/faultlab/testbinary"
)

// Scenario is one test.
type Scenario struct {
	Name    string
	Proxies int     // 3 if left out
	Nodes   int     // 6 if left out
	Rate    float64 // first tries a second; 60 if left out
	Fabric  bool    // all ways lead through relays

	Fleet *liverun.FleetOptions // what the proxies share; it needs Fabric

	Comeback  string // the text of the proxies' file of coming back; none if empty
	FleetFile string // the text of a fleet's file without stewards; none if empty
	Change    func(*model.Spec)
	Play      func(f *liverun.Fleet) error
}

// longest bounds a scenario; a script ends its run long before.
const longest = 5 * time.Minute

// Run plays scenarios side by side. None may break a rule, leave a process to die by itself, or serve what no node made. The
// rules that hang on time are not asserted where this machine was seen to wake too late for them.
func Run(t *testing.T, scenarios []Scenario) {
	binary := testbinary.Proxy(t)
	for i, s := range scenarios {
		t.Run(s.Name, func(t *testing.T) {
			t.Parallel()
			spec := model.Default()
			spec.Seed, spec.Duration, spec.Proxies, spec.Nodes, spec.Load.Rate = uint64(i+1), longest, 3, 6, 60
			if s.Proxies > 0 {
				spec.Proxies = s.Proxies
			}
			if s.Nodes > 0 {
				spec.Nodes = s.Nodes
			}
			if s.Rate > 0 {
				spec.Load.Rate = s.Rate
			}
			if s.Change != nil {
				s.Change(&spec)
			}
			res, err := liverun.Play(t.Context(), &spec, liverun.Options{Binary: binary, Fabric: s.Fabric, Comeback: s.Comeback, Fleet: s.Fleet, FleetFile: s.FleetFile, Script: s.Play})
			if err != nil {
				t.Fatal(err)
			}
			v := res.Verdict
			t.Logf("%d of %d served, %d refused, %d failed, %d excused; rules broken %v; late: %q", v.OK, v.FirstTries, v.Refused, v.Failed, v.Excused, v.ByRule, res.Late)
			if res.Spending != nil {
				t.Logf("%+v", *res.Spending)
			}
			for _, c := range complaints(&res) {
				t.Error(c)
			}
		})
	}
}

// complaints are what must never happen and has.
func complaints(res *liverun.Result) []string {
	out := slices.Clone(res.Problems)
	for _, b := range res.Verdict.Breaches {
		if res.Late == "" || b.Rule == checker.Duplicate {
			out = append(out, fmt.Sprintf("%s: %s\n%s", b.Rule, b.What, strings.Join(b.Evidence, "\n")))
		}
	}
	if s := res.Spending; s != nil && s.OverWhole > 0 { // it allows for a late machine by itself
		out = append(out, fmt.Sprintf("%d attempts beyond the whole: %s", s.OverWhole, strings.Join(s.Evidence, "\n")))
	}
	if res.Spending != nil && res.Spending.NoToken > 0 {
		out = append(out, fmt.Sprintf("%d attempts without a token", res.Spending.NoToken))
	}
	if res.Verdict.OK == 0 {
		out = append(out, "nothing was served")
	}
	return out
}

package clustertest

import (
	"testing"

	"lapisspread/internal/faultlab/checker"
	"lapisspread/internal/faultlab/liverun"
)

// Each kind of wrong is told; on a machine that wakes too late only what hangs on no time is.
func TestWhatIsTold(t *testing.T) {
	breach := func(r checker.Rule) checker.Verdict {
		return checker.Verdict{OK: 5, Breaches: []checker.Breach{{Rule: r}}}
	}
	for name, k := range map[string]struct {
		res  liverun.Result
		want int
	}{
		"well":                    {liverun.Result{Verdict: checker.Verdict{OK: 5}}, 0},
		"lost":                    {liverun.Result{Verdict: breach(checker.Lost)}, 1},
		"lost on a late machine":  {liverun.Result{Verdict: breach(checker.Lost), Late: "by a second"}, 0},
		"twice on a late machine": {liverun.Result{Verdict: breach(checker.Duplicate), Late: "by a second"}, 1},
		"a process died":          {liverun.Result{Verdict: breach(checker.Drain), Problems: []string{"proxy 1 ended by itself"}}, 2},
		"over the whole":          {liverun.Result{Verdict: checker.Verdict{OK: 5}, Late: "by a second", Spending: &checker.SpendingVerdict{OverWhole: 1}}, 1},
		"without a token":         {liverun.Result{Verdict: checker.Verdict{OK: 5}, Spending: &checker.SpendingVerdict{NoToken: 2}}, 1},
		"nothing served":          {liverun.Result{}, 1},
	} {
		if got := complaints(&k.res); len(got) != k.want {
			t.Errorf("%s: %q", name, got)
		}
	}
}

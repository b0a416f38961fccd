package clustertest

import (
	"testing"

	"lapisspread/internal/faultlab/checker"
	"lapisspread/internal/lab/live"
)

// Each kind of wrong is told; on a machine that wakes too late only what hangs on no time is.
func TestWhatIsTold(t *testing.T) {
	breach := func(r checker.Rule) checker.Verdict {
		return checker.Verdict{OK: 5, Breaches: []checker.Breach{{Rule: r}}}
	}
	for name, k := range map[string]struct {
		res  live.Result
		want int
	}{
		"well":                    {live.Result{Verdict: checker.Verdict{OK: 5}}, 0},
		"lost":                    {live.Result{Verdict: breach(checker.Lost)}, 1},
		"lost on a late machine":  {live.Result{Verdict: breach(checker.Lost), Late: "by a second"}, 0},
		"twice on a late machine": {live.Result{Verdict: breach(checker.Duplicate), Late: "by a second"}, 1},
		"a process died":          {live.Result{Verdict: breach(checker.Drain), Problems: []string{"proxy 1 ended by itself"}}, 2},
		"over the whole":          {live.Result{Verdict: checker.Verdict{OK: 5}, Late: "by a second", Spending: &checker.SpendingVerdict{OverWhole: 1}}, 1},
		"without a token":         {live.Result{Verdict: checker.Verdict{OK: 5}, Spending: &checker.SpendingVerdict{NoToken: 2}}, 1},
		"nothing served":          {live.Result{}, 1},
	} {
		if got := complaints(&k.res); len(got) != k.want {
			t.Errorf("%s: %q", name, got)
		}
	}
}

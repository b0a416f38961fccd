package kit

import (
	"testing"

	"lapisspread/internal/lab/judge"
	"lapisspread/internal/lab/live"
)

// Each kind of wrong is told; on a machine that wakes too late only what hangs on no time is.
func TestWhatIsTold(t *testing.T) {
	breach := func(r judge.Rule) judge.Verdict { return judge.Verdict{OK: 5, Breaches: []judge.Breach{{Rule: r}}} }
	for name, k := range map[string]struct {
		res  live.Result
		want int
	}{
		"well":                    {live.Result{Verdict: judge.Verdict{OK: 5}}, 0},
		"lost":                    {live.Result{Verdict: breach(judge.Lost)}, 1},
		"lost on a late machine":  {live.Result{Verdict: breach(judge.Lost), Late: "by a second"}, 0},
		"twice on a late machine": {live.Result{Verdict: breach(judge.Duplicate), Late: "by a second"}, 1},
		"a process died":          {live.Result{Verdict: breach(judge.Drain), Problems: []string{"proxy 1 ended by itself"}}, 2},
		"nothing served":          {live.Result{}, 1},
	} {
		if got := complaints(&k.res); len(got) != k.want {
			t.Errorf("%s: %q", name, got)
		}
	}
}

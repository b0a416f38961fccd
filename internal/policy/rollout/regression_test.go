package rollout

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"lapisspread/internal/operatorerror"
)

// watchRollouts completes a rollout every 6 s for four minutes in a fleet of n proxies. From epoch harmfulFrom on, the
// share of bad requests is higher by harm; harmfulFrom 0 means never. It returns the regressions and the times at which
// they were reported.
func watchRollouts(
	seed uint64, n int, harm float64, harmfulFrom uint64,
) (regressions []RegressionError, reportedAt []time.Duration) {
	rng := rand.New(rand.NewPCG(seed, 11))
	watch := NewRegressionWatch(DefaultSettings())
	epoch := uint64(0)
	drift := 0.0 // deviation of the share of bad requests from its mean
	for now := time.Duration(0); now < 4*time.Minute; now += 100 * time.Millisecond {
		if now%(6*time.Second) == 0 && now > 0 {
			epoch++
			watch.RolloutCompleted(now, epoch)
		}
		if now%time.Second == 0 {
			drift = 0.9*drift + 0.0003*rng.NormFloat64() // depends on the previous second, as load does
			share := max(0, 0.01+drift)
			if harmfulFrom > 0 && epoch >= harmfulFrom {
				share += harm
			}
			total := int64(n * 160)
			bad := int64(float64(total)*share) + rng.Int64N(20)
			watch.Report(now, total-bad, bad)
		}
		if err := watch.Tick(now); err != nil {
			var regression RegressionError
			if !errors.As(err, &regression) || operatorerror.AdviceOf(err) == "" {
				panic(fmt.Sprintf("Tick(%v) = %v, want a RegressionError with advice", now, err))
			}
			regressions = append(regressions, regression)
			reportedAt = append(reportedAt, now)
		}
	}
	return regressions, reportedAt
}

// A regression that begins with epoch 20 is reported once, within a minute, and for an epoch at most one off. Random
// drift of the share of bad requests is not reported.
func TestRegressionIsReportedOnce(t *testing.T) {
	for seed := range uint64(40) {
		if reported, _ := watchRollouts(seed, 300, 0, 0); len(reported) > 0 {
			t.Errorf("seed %d: no version is harmful, but Tick reported %v, want no regression", seed, reported)
		}
		reported, reportedAt := watchRollouts(seed, 300, 0.01, 20)
		if len(reported) != 1 || reported[0].Epoch < 19 || reported[0].Epoch > 21 ||
			reported[0].After < reported[0].Before+0.005 {
			t.Errorf("seed %d: share of bad requests rises by 0.01 from epoch 20 on: Tick reported %v at %v; "+
				"want one regression, for epoch 19 to 21, that rises by at least 0.005", seed, reported, reportedAt)
			continue
		}
		if delay := reportedAt[0] - 20*6*time.Second; delay < 0 || delay > time.Minute {
			t.Errorf("seed %d: Tick reported the regression %v after the rollout of epoch 20, want 0s to 1m",
				seed, delay)
		}
	}
}

// A new leader has no figures from before the rollout, and without later reports there is nothing to compare. In both
// cases no regression is reported.
func TestNoRegressionWithoutEarlierRequests(t *testing.T) {
	watch := NewRegressionWatch(DefaultSettings())
	watch.RolloutCompleted(time.Second, 1)
	for now := time.Duration(0); now < 2*time.Minute; now += 100 * time.Millisecond {
		watch.Report(now, 100, 50)
		if err := watch.Tick(now); err != nil {
			t.Fatalf("rollout without earlier requests: Tick(%v) = %v, want nil", now, err)
		}
	}
	watch.RolloutCompleted(2*time.Minute, 2)
	for now := 2 * time.Minute; now < 4*time.Minute; now += 100 * time.Millisecond {
		if err := watch.Tick(now); err != nil {
			t.Fatalf("rollout without later requests: Tick(%v) = %v, want nil", now, err)
		}
	}
}

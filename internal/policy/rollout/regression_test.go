package rollout

import (
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"lapisspread/internal/operatorerror"
)

// watchRollouts completes a rollout every 6 s for four minutes. From one of the epochs on, more requests go bad. It
// returns the regressions, and when they were reported.
func watchRollouts(seed uint64, n int, harm float64, from uint64) (told []RegressionError, when []time.Duration) {
	rng := rand.New(rand.NewPCG(seed, 11))
	a := NewRegressionWatch(DefaultSettings())
	epoch, weather := uint64(0), 0.0
	for now := time.Duration(0); now < 4*time.Minute; now += 100 * time.Millisecond {
		if now%(6*time.Second) == 0 && now > 0 {
			epoch++
			a.RolloutCompleted(now, epoch)
		}
		if now%time.Second == 0 {
			weather = 0.9*weather + 0.0003*rng.NormFloat64() // failures without a cause come in waves
			share := max(0, 0.01+weather)
			if from > 0 && epoch >= from {
				share += harm
			}
			total := int64(n * 160)
			bad := int64(float64(total)*share) + rng.Int64N(20)
			a.Report(now, total-bad, bad)
		}
		if err := a.Tick(now); err != nil {
			var w RegressionError
			if !errors.As(err, &w) || operatorerror.AdviceOf(err) == "" {
				panic(err)
			}
			told, when = append(told, w), append(when, now)
		}
	}
	return told, when
}

func TestRegressionIsReportedOnce(t *testing.T) {
	for seed := range uint64(40) {
		if told, _ := watchRollouts(seed, 300, 0, 0); len(told) > 0 {
			t.Errorf("seed %d: no regression, but %v", seed, told)
		}
		told, when := watchRollouts(seed, 300, 0.01, 20)
		if len(told) != 1 || told[0].Epoch < 19 || told[0].Epoch > 21 || told[0].After < told[0].Before+0.005 {
			t.Errorf("seed %d: %v at %v", seed, told, when)
			continue
		}
		if late := when[0] - 20*6*time.Second; late < 0 || late > time.Minute {
			t.Errorf("seed %d: reported at %v", seed, when[0])
		}
	}
}

// A new leader knows nothing of the time before, and without reports there is no regression.
func TestNoRegressionWithoutEarlierRequests(t *testing.T) {
	a := NewRegressionWatch(DefaultSettings())
	a.RolloutCompleted(time.Second, 1)
	for now := time.Duration(0); now < 2*time.Minute; now += 100 * time.Millisecond {
		a.Report(now, 100, 50)
		if err := a.Tick(now); err != nil {
			t.Fatal(err)
		}
	}
	a.RolloutCompleted(2*time.Minute, 2)
	for now := 2 * time.Minute; now < 4*time.Minute; now += 100 * time.Millisecond {
		if err := a.Tick(now); err != nil {
			t.Fatal(err)
		}
	}
}

package simulation_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"lapisspread/decision"
	"lapisspread/internal/faultlab/baseline"
	"lapisspread/internal/faultlab/checker"
	"lapisspread/internal/faultlab/model"
	"lapisspread/internal/faultlab/simulation"
)

// coldWorld is one in which most servers start cold before many proxies.
type coldWorld struct {
	name    string
	nodes   int
	load    float64 // of what the mean fleet can serve
	heavy   float64 // times the usual work of a request: with few requests of much work, chance weighs most
	curve   []model.Point
	faults  []model.Fault
	crowded bool // it pushes a server over where each proxy takes itself for alone
}

const coldDay = 14 * time.Second

func (c coldWorld) spec(proxies int, seed uint64) model.Spec {
	s := model.Default()
	s.Seed, s.Duration, s.Proxies, s.Nodes = seed, coldDay, proxies, c.nodes
	for i := range s.Classes {
		k := &s.Classes[i]
		k.Work = model.Range{Lo: k.Work.Lo * c.heavy, Hi: k.Work.Hi * c.heavy}
		k.Aim, k.GiveUp = time.Duration(float64(k.Aim)*c.heavy), time.Duration(float64(k.GiveUp)*c.heavy)
	}
	s.Load.Rate, s.Load.Curve, s.Faults = c.load*s.Capacity(), c.curve, c.faults
	return s
}

// bursts are moments in which all proxies get requests, with next to none between.
func bursts(from, every time.Duration) []model.Point {
	const quiet, high, long = 0.05, 100, 60 * time.Millisecond
	var all []model.Point
	for at := from; at < coldDay; at += every {
		all = append(all, model.Point{At: at - time.Millisecond, Value: quiet}, model.Point{At: at, Value: high},
			model.Point{At: at + long, Value: high}, model.Point{At: at + long + time.Millisecond, Value: quiet})
	}
	return all
}

func coldWorlds() []coldWorld {
	release := []model.Fault{{Kind: model.RollingRestart, At: 2 * time.Second, Every: 300 * time.Millisecond, Share: 0.6}}
	storm := []model.Fault{{Kind: model.RestartStorm, At: 4 * time.Second, Every: 200 * time.Millisecond, Share: 0.6}}
	killed := append([]model.Fault{{Kind: model.KillProxy, At: 7500 * time.Millisecond, Share: 0.7}}, release...)
	return []coldWorld{
		{"most are replaced", 12, 0.5, 2, nil, release, false},
		{"under too much load", 6, 1, 2, nil, release, false},
		{"few requests of much work", 12, 0.6, 8, nil, release, false},
		{"they die and come back at the same address", 12, 0.6, 8, nil, storm, false},
		{"most proxies have just started", 12, 0.6, 8, nil, killed, false},
		{"a burst after a quiet time", 12, 0.5, 8, bursts(9*time.Second, time.Minute), release, true},
		{"a burst, few servers", 4, 0.5, 8, bursts(8*time.Second, time.Minute), release, true},
		{"bursts, few servers", 4, 0.3, 8, bursts(7500*time.Millisecond, time.Second), release, true},
	}
}

// fallen plays a world and gives what was pushed over by proxies that had been told of the start.
func fallen(t *testing.T, spec model.Spec, policy baseline.Factory) []checker.Breach {
	t.Helper()
	r, err := simulation.New(&spec, policy)
	if err != nil {
		t.Fatal(err)
	}
	res, err := r.Run(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	var cold []checker.Breach
	for _, b := range res.Verdict.Breaches {
		if b.Rule == checker.Cold {
			cold = append(cold, b)
		}
	}
	return cold
}

// A cold server falls under the sum of what all proxies send it: in no window may it be more than its budget of N requests of
// mean work and 2 x root of N + 2. A server of this world that gets more falls.
func TestTheSumOfAllProxiesKeepsColdServersUp(t *testing.T) {
	module, err := baseline.Named(baseline.Module)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range coldWorlds() {
		sizes := []struct{ proxies, seeds int }{{20, 1}}
		if c.crowded {
			sizes = append(sizes, struct{ proxies, seeds int }{30, 2})
		}
		if c.faults[0].Kind == model.RestartStorm {
			sizes = append(sizes, struct{ proxies, seeds int }{300, 1})
		}
		for _, n := range sizes {
			t.Run(fmt.Sprintf("%s, %d proxies", c.name, n.proxies), func(t *testing.T) {
				t.Parallel()
				for seed := range uint64(n.seeds) {
					if cold := fallen(t, c.spec(n.proxies, seed+1), module); len(cold) > 0 {
						t.Errorf("seed %d: %d servers pushed over, first %+v", seed+1, len(cold), cold[0])
					}
				}
			})
		}
	}
}

// The check is tried: proxies that each keep to the budget as if they were alone push servers over in a burst.
func TestProxiesThatTakeThemselvesForAlonePushColdServersOver(t *testing.T) {
	alone := func(cfg decision.Config, seed uint64, host decision.Host) (baseline.Policy, error) {
		cfg.Instances = 1
		return decision.New(cfg, seed, host)
	}
	for _, c := range coldWorlds() {
		if !c.crowded {
			continue
		}
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			found := 0
			for seed := uint64(0); seed < 4 && found == 0; seed++ {
				found += len(fallen(t, c.spec(30, seed+1), alone))
			}
			if found == 0 {
				t.Error("no server was pushed over")
			}
		})
	}
}

package simulation_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"runtime"
	"testing"
	"time"

	"lapisspread/experiments"
	"lapisspread/internal/faultlab/baseline"
	"lapisspread/internal/faultlab/experiment"
	"lapisspread/internal/faultlab/model"
	"lapisspread/internal/faultlab/simulation"
)

func play(t *testing.T, spec model.Spec, policy string) simulation.Result {
	t.Helper()
	factory, err := baseline.Named(policy)
	if err != nil {
		t.Fatal(err)
	}
	r, err := simulation.New(&spec, factory)
	if err != nil {
		t.Fatal(err)
	}
	res, err := r.Run(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	return res
}

func TestEqualSeedsGiveEqualBytesOnAnyNumberOfCores(t *testing.T) {
	f, err := experiments.Load("rain-evening")
	if err != nil {
		t.Fatal(err)
	}
	f.Stretch(6 * time.Second)
	spec := f.Spec(3, 1)
	spec.Proxies, spec.Nodes, spec.Load.Rate = 12, 60, 1500
	text := func(cores int) []byte {
		defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(cores))
		b, err := json.Marshal(play(t, spec, baseline.Module).Verdict)
		if err != nil {
			t.Fatal(err)
		}
		return b
	}
	one := text(1)
	if !bytes.Equal(one, text(4)) {
		t.Error("four cores give other bytes than one")
	}
	spec.Seed = 4
	if bytes.Equal(one, text(4)) {
		t.Error("another seed gives the same bytes")
	}
}

func TestTheModuleKeepsTheRulesInAllReadyExperiments(t *testing.T) {
	for _, name := range experiments.Names() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f, err := experiments.Load(name)
			if err != nil {
				t.Fatal(err)
			}
			for _, seed := range []uint64{1, 2, 3} {
				v := play(t, f.Spec(seed, 1), baseline.Module).Verdict
				if v.RulesBroken > 0 {
					t.Errorf("seed %d: %d breaches, first %+v", seed, v.RulesBroken, v.Breaches[0])
				}
				if v.Taken != v.OK+v.Refused+v.Failed+v.Departed+v.Excused || v.Unjudged != 0 {
					t.Errorf("seed %d: %d taken; %d + %d + %d + %d + %d ended, %d unjudged", seed, v.Taken, v.OK, v.Refused, v.Failed,
						v.Departed, v.Excused, v.Unjudged)
				}
			}
		})
	}
}

// The judge is tried: each flaw is convicted of its rule and no other.
func TestEachFlawIsConvictedOfItsRuleAlone(t *testing.T) {
	f, err := experiment.Parse("trial", []byte("name='trial'\nduration='20s'\n[world]\nload=0.45\n[[fault]]\nkind='rolling-restart'\nat='2s'\nevery='2500ms'\n"+
		"[[fault]]\nkind='silent-watch'\nat='1s'\nshare=1.0\n[[fault]]\nkind='restart-proxy'\nat='9s'\n"))
	if err != nil {
		t.Fatal(err)
	}
	for _, flaw := range baseline.Flaws {
		t.Run(flaw.Name, func(t *testing.T) {
			t.Parallel()
			v := play(t, f.Spec(1, 1), flaw.Name).Verdict
			if broken := v.Broken(); len(broken) != 1 || string(broken[0]) != flaw.Rule {
				t.Errorf("convicted of %v, it breaks %s; %+v", broken, flaw.Rule, v.Breaches[:min(2, len(v.Breaches))])
			}
		})
	}
	for _, right := range append([]string{baseline.Module}, baseline.Baselines...) {
		t.Run(right, func(t *testing.T) {
			t.Parallel()
			if v := play(t, f.Spec(1, 1), right).Verdict; v.RulesBroken > 0 {
				t.Errorf("convicted of %v: %+v", v.Broken(), v.Breaches[0])
			}
		})
	}
}

// A proxy that is killed with requests in hand loses them, and nothing else is lost with it.
func TestKilledProxies(t *testing.T) {
	f, err := experiment.Parse("kill", []byte("name='kill'\nduration='10s'\n[world]\nproxies=4\n[[fault]]\nkind='kill-proxy'\nat='2s'\nevery='2s'\nshare=0.75\n"))
	if err != nil {
		t.Fatal(err)
	}
	v := play(t, f.Spec(1, 1), baseline.Module).Verdict
	if v.RulesBroken > 0 {
		t.Errorf("%d breaches: %+v", v.RulesBroken, v.Breaches[0])
	}
	if v.Excused == 0 || v.OK < v.FirstTries*9/10 {
		t.Errorf("%d lost with their proxy, %d of %d served", v.Excused, v.OK, v.FirstTries)
	}
}

func TestBrokenOffRunsAreJudged(t *testing.T) {
	spec := model.Default()
	factory, _ := baseline.Named(baseline.Module)
	r, err := simulation.New(&spec, factory)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	r.Progress = func(now time.Duration) {
		if now > 3*time.Second {
			cancel()
		}
	}
	res, err := r.Run(ctx)
	if !errors.Is(err, context.Canceled) || res.Verdict.OK < 300 || res.Ended > 6*time.Second {
		t.Errorf("%v: %d served, ended at %v", err, res.Verdict.OK, res.Ended)
	}
}

func TestBadWorlds(t *testing.T) {
	spec := model.Default()
	spec.Nodes = 0
	if _, err := simulation.New(&spec, nil); err == nil {
		t.Error("a world without nodes was taken")
	}
	if _, err := baseline.Named("best"); err == nil {
		t.Error("a policy that is not there was taken")
	}
}

func BenchmarkSimulate(b *testing.B) {
	for _, size := range []struct {
		name           string
		proxies, nodes int
	}{{"2x10", 2, 10}, {"8x100", 8, 100}} {
		b.Run(size.name, func(b *testing.B) {
			spec := model.Default()
			spec.Duration, spec.Proxies, spec.Nodes = time.Second, size.proxies, size.nodes
			spec.Load.Rate = 0.4 * spec.Capacity()
			taken := 0
			for b.Loop() {
				factory, _ := baseline.Named(baseline.Module)
				r, err := simulation.New(&spec, factory)
				if err != nil {
					b.Fatal(err)
				}
				res, err := r.Run(context.Background())
				if err != nil {
					b.Fatal(err)
				}
				taken += res.Verdict.Taken
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(taken), "us/request")
		})
	}
}

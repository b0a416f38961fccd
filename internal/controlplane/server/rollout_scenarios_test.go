package server

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"lapisspread/internal/policy/store"
)

func TestHourOfChanges(t *testing.T) {
	sim := newRolloutSim(t, 1, 300, 24)
	sim.settle()
	sim.offerRegularly(time.Hour, 9*time.Second, 0)
	sim.check()
	if len(sim.store.Status().FailedChanges) > 0 || sim.stops > 0 {
		t.Errorf("%+v", sim.store.Status().FailedChanges)
	}
	all := sim.completionTimes()
	t.Logf(
		"%d changes in %d rollouts; offer to force: p50 %v, p99 %v, max %v", len(all), sim.rollouts, all[len(all)/2],
		all[len(all)*99/100], all[len(all)-1],
	)
}

// Each harmful change among harmless ones is reported, and none completes.
func TestHarmfulChangesAreRemoved(t *testing.T) {
	sim := newRolloutSim(t, 2, 300, 24)
	sim.settle()
	sim.offerRegularly(20*time.Minute, 9*time.Second, 10)
	sim.check()
	all := sim.completionTimes()
	t.Logf("%d changes in %d rollouts, %d stopped; %d of 300 had something harmful at most; "+
		"harmless ones, offer to force: p50 %v, p99 %v, max %v",
		len(sim.changes), sim.rollouts, sim.stops, sim.maxHarmed, all[len(all)/2], all[len(all)*99/100],
		all[len(all)-1])
	if sim.maxHarmed > 100 {
		t.Errorf("%d of 300 had something harmful", sim.maxHarmed)
	}
}

func TestOneHarmfulChangeInBatchOfTen(t *testing.T) {
	for bad := range 10 {
		sim := newRolloutSim(t, uint64(bad), 300, 24)
		sim.settle()
		sim.offer(20, 2, "/first", false)
		for i := range 10 {
			sim.offer(i, 2, fmt.Sprint("/n", i), i == bad)
		}
		sim.settle()
		sim.check()
		if f := sim.store.Status().FailedChanges; len(f) != 1 || f[0].Namespace != fmt.Sprint("t", bad) {
			t.Errorf("%+v", f)
		}
		all := sim.completionTimes()
		t.Logf(
			"the harmful one is %d: %d rollouts; all harmless ones in force after %v", bad, sim.rollouts,
			all[len(all)-1],
		)
	}
}

func TestLeaderLostDuringRollout(t *testing.T) {
	for seed := range uint64(6) {
		sim := newRolloutSim(t, seed, 300, 24)
		sim.settle()
		for i := range 12 {
			sim.offer(i, 2, fmt.Sprint("/n", i), false)
			sim.run(time.Duration(sim.rng.IntN(90)) * simStep)
			sim.leader, sim.uncommitted = nil, nil // its proposal is lost with it
			sim.run(time.Duration(5+sim.rng.IntN(30)) * simStep)
			sim.electLeader()
		}
		sim.settle()
		sim.check()
	}
}

// The leader is lost when a rollout completes and its proposal is not committed.
func TestLeaderLostBeforeCompletionIsCommitted(t *testing.T) {
	play := func(early bool) []string {
		sim := newRolloutSim(t, 3, 300, 24)
		sim.settle()
		sim.announceEarly = early
		sim.electLeader()
		sim.offer(1, 2, "/n", false)
		sim.logBlocked = true
		for range 600 {
			if sim.step(); sim.uncommitted != nil {
				break
			}
		}
		sim.run(2 * time.Second)
		sim.leader, sim.uncommitted, sim.logBlocked = nil, nil, false
		sim.run(time.Second)
		sim.electLeader()
		sim.settle()
		return sim.findViolations()
	}
	if wrong := play(false); len(wrong) > 0 {
		t.Error(wrong[0])
	}
	if len(play(true)) == 0 {
		t.Error("not detected: completion is announced before it is committed")
	}
}

func TestNamespaceTwiceInOneBatch(t *testing.T) {
	sim := newRolloutSim(t, 5, 300, 24)
	sim.settle()
	sim.offer(20, 2, "/first", false)
	sim.run(time.Second)
	sim.offer(1, 2, "/a", false)
	sim.offer(1, 3, "/b", false)
	sim.settle()
	sim.check()
	if text, _ := sim.store.Unchunked(sim.store.Status().Active); !strings.Contains(text, `"/b"`) ||
		strings.Contains(text, `"/a"`) {
		t.Error("the lower number is in force")
	}
	// Fixed while the harmful file rolls out: the fixed file gets into force.
	sim.offer(2, 4, "/worse", true)
	sim.run(time.Second)
	sim.offer(2, 5, "/mended", false)
	sim.settle()
	sim.check()
}

func TestConflictWithinOneBatch(t *testing.T) {
	sim := newRolloutSim(t, 6, 300, 24)
	sim.settle()
	sim.offer(20, 2, "/first", false)
	sim.run(time.Second)
	sim.offer(1, 2, "/same", false)
	sim.offer(2, 2, "/same", false)
	sim.offer(3, 2, "/other", false)
	sim.settle()
	sim.check()
	if h := sim.store.Status().WithheldFiles; len(h) != 1 || h[0].Namespace != "t2" {
		t.Errorf("%+v", h)
	}
}

func TestRollbackBeforeCompletion(t *testing.T) {
	sim := newRolloutSim(t, 7, 300, 24)
	sim.settle()
	sim.offer(1, 2, "/new", false)
	sim.run(3 * time.Second)
	sim.offer(1, 3, "/1", false)
	sim.settle()
	sim.check()
	// After a rollback by an operator no proxy keeps the version.
	base := sim.store.Status().Active
	sim.offer(1, 4, "/new", false)
	sim.run(4 * time.Second)
	sim.changes = sim.changes[:2]
	sim.apply(store.Command{Rollback: &store.Rollback{Epoch: base.Epoch, Author: "on call"}})
	sim.settle()
	sim.check()
	for _, c := range sim.proxies {
		if c.current.Epoch != base.Epoch || c.current.Generation != base.Generation+1 {
			t.Fatalf("%s has %+v", c.name, c.current)
		}
	}
}

func TestThirdOfProxiesIsNew(t *testing.T) {
	for seed := range uint64(5) {
		sim := newRolloutSim(t, seed, 200, 24)
		sim.settle()
		for i := range 20 {
			sim.offer(i, 2, fmt.Sprint("/n", i), i == 11)
			sim.run(time.Duration(sim.rng.IntN(60)) * simStep)
			if i == 10 {
				sim.join(100)
			}
			if i == 15 { // as many leave at one moment
				for _, c := range sim.proxies[:100] {
					c.unreachable = true
				}
				sim.leastKnown = false // the least epoch may be theirs
			}
		}
		sim.settle()
		sim.check()
	}
}

// A version that proxies cannot adopt does not block other changes for ever.
func TestVersionThatCannotBeAdopted(t *testing.T) {
	sim := newRolloutSim(t, 11, 300, 24)
	sim.settle()
	sim.offer(20, 2, "/first", false)
	sim.run(time.Second)
	sim.changes = append(sim.changes, &simChange{team: 3, number: 2, unadoptable: true}) // before its rollout starts
	for i := range 6 {
		sim.offer(i, 2, fmt.Sprint("/n", i), false)
		sim.run(time.Second)
	}
	sim.settle()
	sim.changes = slices.DeleteFunc(sim.changes, func(o *simChange) bool { return o.team == 3 })
	sim.check()
	faults := sim.store.Status().FailedChanges
	if len(faults) != 1 || faults[0].Namespace != "t3" || !strings.Contains(faults[0].Reason, "did not take it up") {
		t.Errorf("%+v", faults)
	}
}

// A zone is partitioned through twenty changes: the other proxies go on, past a harmful one too, and once it heals the
// zone has what they have.
func TestZonePartitionedThroughTwentyChanges(t *testing.T) {
	sim := newRolloutSim(t, 10, 300, 24)
	sim.settle()
	zone := sim.proxies[:14]
	cut := func(is bool) {
		for _, c := range zone {
			c.unreachable = is
		}
		sim.leastKnown = false
	}
	sim.offer(20, 2, "/first", false)
	sim.run(time.Second)
	cut(true)
	for i := range 20 {
		sim.offer(i, 2, fmt.Sprint("/n", i), i == 7)
		sim.run(9 * time.Second)
	}
	sim.settle()
	before := sim.store.Status().Active
	cut(false)
	sim.settle()
	sim.check()
	for _, c := range sim.proxies {
		if c.current != before {
			t.Fatalf("%s has %+v, the others %+v", c.name, c.current, before)
		}
	}
}

func TestBootstrappedAgain(t *testing.T) {
	sim := newRolloutSim(t, 9, 300, 24)
	sim.settle()
	sim.offer(1, 2, "/a", false)
	sim.run(3 * time.Second) // the servers' state is lost during its rollout
	sim.changes = nil
	sim.bootstrap(24)
	sim.settle()
	sim.offer(1, 2, "/b", false)
	sim.settle()
	sim.check()
	for _, c := range sim.proxies {
		if c.current != sim.store.Status().Active {
			t.Fatalf("%s has %+v, in force is %+v", c.name, c.current, sim.store.Status().Active)
		}
	}
}

// Random scenarios of changes, harm, conflicts, lost leaders, and proxies that join and leave.
func TestRandomRolloutScenarios(t *testing.T) {
	for seed := range uint64(12) {
		sim := newRolloutSim(t, seed, 60+40*int(seed), 24)
		sim.settle()
		number := 1
		for range 40 {
			switch sim.rng.IntN(8) {
			case 0:
				sim.leader, sim.uncommitted = nil, nil
				sim.run(time.Duration(sim.rng.IntN(40)) * simStep)
				sim.electLeader()
			case 1:
				sim.join(sim.rng.IntN(len(sim.proxies) / 4))
			case 2:
				for range sim.rng.IntN(10) {
					sim.proxies[sim.rng.IntN(len(sim.proxies))].unreachable = true
				}
				sim.leastKnown = false
			default:
				number++
				sim.offer(sim.rng.IntN(24), number, fmt.Sprint("/n", sim.rng.IntN(60)), sim.rng.IntN(12) == 0)
			}
			sim.run(time.Duration(sim.rng.IntN(100)) * simStep)
		}
		sim.settle()
		if wrong := sim.findViolations(); len(wrong) > 0 {
			t.Errorf("seed %d: %d: %s", seed, len(wrong), wrong[0])
		}
	}
}

// BenchmarkHour simulates an hour of changes, 9,500 a day, at regular or random times, and reports how long they took
// to reach all proxies.
func BenchmarkHour(b *testing.B) {
	for _, n := range []int{300, 1000, 2000, 4700} {
		for _, drawn := range []bool{false, true} {
			b.Run(fmt.Sprintf("%d/drawn=%v", n, drawn), func(b *testing.B) {
				for b.Loop() {
					sim := newRolloutSim(b, 1, n, 24)
					sim.settle()
					began := sim.rollouts
					for end, number := sim.now+time.Hour, 2; sim.now < end; number++ {
						sim.offer(sim.rng.IntN(24), number, fmt.Sprint("/n", number), false)
						if drawn {
							sim.run(time.Duration(9.1 * sim.rng.ExpFloat64() * float64(time.Second)))
						} else {
							sim.run(9 * time.Second)
						}
					}
					sim.settle()
					if wrong := sim.findViolations(); len(wrong) > 0 {
						b.Fatal(wrong[0])
					}
					all := sim.completionTimes()
					b.ReportMetric(float64(len(sim.changes)), "changes")
					b.ReportMetric(float64(sim.rollouts-began), "trains")
					b.ReportMetric(float64(sim.stops), "stopped")
					b.ReportMetric(all[len(all)/2].Seconds(), "p50-s")
					b.ReportMetric(all[len(all)*99/100].Seconds(), "p99-s")
					b.ReportMetric(all[len(all)-1].Seconds(), "max-s")
				}
			})
		}
	}
}

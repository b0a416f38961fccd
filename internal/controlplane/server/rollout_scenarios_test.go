package server

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"lapisspread/internal/policy/store"
)

// An hour of harmless changes: all get into force, and no rollout stops.
func TestHourOfChanges(t *testing.T) {
	sim := newRolloutSim(t, 1, 300, 24)
	sim.settle()
	sim.offerRegularly(time.Hour, 9*time.Second, 0)
	sim.check()
	if len(sim.store.Status().FailedChanges) > 0 || sim.stops > 0 {
		t.Errorf("after an hour of harmless changes: %d rollouts stopped, failed changes %+v, want none of either",
			sim.stops, sim.store.Status().FailedChanges)
	}
	all := sim.completionTimes()
	t.Logf(
		"%d changes in %d rollouts; time from submission to all proxies: p50 %v, p99 %v, max %v",
		len(all), sim.rollouts, all[len(all)/2], all[len(all)*99/100], all[len(all)-1],
	)
}

// Each harmful change among harmless ones is reported, no rollout with a harmful change completes, and at most a third
// of the proxies have a harmful version at the same time.
func TestHarmfulChangesAreRemoved(t *testing.T) {
	sim := newRolloutSim(t, 2, 300, 24)
	sim.settle()
	sim.offerRegularly(20*time.Minute, 9*time.Second, 10)
	sim.check()
	all := sim.completionTimes()
	t.Logf("%d changes in %d rollouts, %d stopped; at most %d of 300 proxies had a harmful version at once; "+
		"harmless changes, time from submission to all proxies: p50 %v, p99 %v, max %v",
		len(sim.changes), sim.rollouts, sim.stops, sim.maxHarmed, all[len(all)/2], all[len(all)*99/100],
		all[len(all)-1])
	if sim.maxHarmed > 100 {
		t.Errorf("%d of 300 proxies had a harmful version at the same time, want at most 100", sim.maxHarmed)
	}
}

// A rollout of ten changes with a harmful one stops. Only the harmful change is reported as failed, and the others get
// into force.
func TestOneHarmfulChangeInBatchOfTen(t *testing.T) {
	for harmful := range 10 {
		sim := newRolloutSim(t, uint64(harmful), 300, 24)
		sim.settle()
		sim.offer(20, 2, "/first", false)
		for i := range 10 {
			sim.offer(i, 2, fmt.Sprint("/n", i), i == harmful)
		}
		sim.settle()
		sim.check()
		if failed := sim.store.Status().FailedChanges; len(failed) != 1 ||
			failed[0].Namespace != fmt.Sprint("t", harmful) {
			t.Errorf("failed changes = %+v, want only that of namespace t%d", failed, harmful)
		}
		all := sim.completionTimes()
		t.Logf(
			"change of team %d is harmful: %d rollouts; all harmless changes in force after %v", harmful, sim.rollouts,
			all[len(all)-1],
		)
	}
}

// Changes get into force although the leader is lost at random times during their rollouts.
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

// The leader is lost after a rollout completes and before its result is committed. The next leader must still
// complete it.
func TestLeaderLostBeforeCompletionIsCommitted(t *testing.T) {
	runScenario := func(announceEarly bool) []string {
		sim := newRolloutSim(t, 3, 300, 24)
		sim.settle()
		sim.announceEarly = announceEarly
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
	if violations := runScenario(false); len(violations) > 0 {
		t.Errorf("simulation has %d violations, want none; the first: %s", len(violations), violations[0])
	}
	if len(runScenario(true)) == 0 {
		t.Error("announceEarly=true: simulation has no violations, want some, as completions are announced uncommitted")
	}
}

// Of two versions of a namespace in one batch, the one with the higher number gets into force.
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
		t.Errorf("active policy = %q, want the route /b of the higher number and not /a of the lower", text)
	}
	// A team submits a fixed file during the rollout of its harmful file. The fixed file gets into force.
	sim.offer(2, 4, "/worse", true)
	sim.run(time.Second)
	sim.offer(2, 5, "/mended", false)
	sim.settle()
	sim.check()
}

// Of two files of one batch with conflicting rules, one is withheld and the other changes get into force.
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
	if withheld := sim.store.Status().WithheldFiles; len(withheld) != 1 || withheld[0].Namespace != "t2" {
		t.Errorf("withheld files = %+v, want only that of namespace t2", withheld)
	}
}

// A team reverts its change, and an operator rolls back, before the rollout of the change completes.
func TestRollbackBeforeCompletion(t *testing.T) {
	sim := newRolloutSim(t, 7, 300, 24)
	sim.settle()
	sim.offer(1, 2, "/new", false)
	sim.run(3 * time.Second)
	sim.offer(1, 3, "/1", false)
	sim.settle()
	sim.check()
	// After a rollback by an operator no proxy keeps the version that was being rolled out.
	active := sim.store.Status().Active
	sim.offer(1, 4, "/new", false)
	sim.run(4 * time.Second)
	sim.changes = sim.changes[:2]
	sim.apply(store.Command{Rollback: &store.Rollback{Epoch: active.Epoch, Author: "on call"}})
	sim.settle()
	sim.check()
	for _, c := range sim.proxies {
		if c.current.Epoch != active.Epoch || c.current.Generation != active.Generation+1 {
			t.Fatalf("proxy %s has version %+v after the rollback, want epoch %d and generation %d",
				c.name, c.current, active.Epoch, active.Generation+1)
		}
	}
}

// Changes get into force, and a harmful change is reported, while 100 proxies join a fleet of 200 and 100 leave it.
func TestThirdOfProxiesIsNew(t *testing.T) {
	for seed := range uint64(5) {
		sim := newRolloutSim(t, seed, 200, 24)
		sim.settle()
		for i := range 20 {
			sim.offer(i, 2, fmt.Sprint("/n", i), i == 11)
			sim.run(time.Duration(sim.rng.IntN(60)) * simStep)
			if i == 10 {
				sim.addProxies(100)
			}
			if i == 15 { // the same number of proxies leaves at once
				for _, c := range sim.proxies[:100] {
					c.unreachable = true
				}
				sim.leastEpochValid = false // leastEpoch may have been that of a proxy that left
			}
		}
		sim.settle()
		sim.check()
	}
}

// A change that proxies cannot adopt is reported as failed and does not block other changes forever.
func TestVersionThatCannotBeAdopted(t *testing.T) {
	sim := newRolloutSim(t, 11, 300, 24)
	sim.settle()
	sim.offer(20, 2, "/first", false)
	sim.run(time.Second)
	// Recorded before the rollout starts, so that the epoch counts as unadoptable.
	sim.changes = append(sim.changes, &simChange{team: 3, number: 2, unadoptable: true})
	for i := range 6 {
		sim.offer(i, 2, fmt.Sprint("/n", i), false)
		sim.run(time.Second)
	}
	sim.settle()
	sim.changes = slices.DeleteFunc(sim.changes, func(c *simChange) bool { return c.team == 3 })
	sim.check()
	failed := sim.store.Status().FailedChanges
	if len(failed) != 1 || failed[0].Namespace != "t3" || !strings.Contains(failed[0].Reason, "did not take it up") {
		t.Errorf("failed changes = %+v, want only that of namespace t3 with the reason %q",
			failed, "did not take it up")
	}
}

// The proxies of a zone are unreachable during twenty changes. The other proxies continue with the changes, even after
// a harmful one, and once the zone is reachable again its proxies get the same version.
func TestZonePartitionedThroughTwentyChanges(t *testing.T) {
	sim := newRolloutSim(t, 10, 300, 24)
	sim.settle()
	zone := sim.proxies[:14]
	setUnreachable := func(unreachable bool) {
		for _, c := range zone {
			c.unreachable = unreachable
		}
		sim.leastEpochValid = false
	}
	sim.offer(20, 2, "/first", false)
	sim.run(time.Second)
	setUnreachable(true)
	for i := range 20 {
		sim.offer(i, 2, fmt.Sprint("/n", i), i == 7)
		sim.run(9 * time.Second)
	}
	sim.settle()
	active := sim.store.Status().Active
	setUnreachable(false)
	sim.settle()
	sim.check()
	for _, c := range sim.proxies {
		if c.current != active {
			t.Fatalf("proxy %s has version %+v after the partition healed, want the active version %+v",
				c.name, c.current, active)
		}
	}
}

// The servers lose their state and are bootstrapped again under a new epoch. The proxies adopt the new policy, although
// they have a version of the old epoch.
func TestBootstrappedAgain(t *testing.T) {
	sim := newRolloutSim(t, 9, 300, 24)
	sim.settle()
	sim.offer(1, 2, "/a", false)
	sim.run(3 * time.Second) // the servers' state is lost during the rollout of the change
	sim.changes = nil
	sim.bootstrap(24)
	sim.settle()
	sim.offer(1, 2, "/b", false)
	sim.settle()
	sim.check()
	for _, c := range sim.proxies {
		if c.current != sim.store.Status().Active {
			t.Fatalf("proxy %s has version %+v after the second bootstrap, want the active version %+v",
				c.name, c.current, sim.store.Status().Active)
		}
	}
}

// Random scenarios with harmless, harmful and conflicting changes, lost leaders, and proxies that join and leave.
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
				sim.addProxies(sim.rng.IntN(len(sim.proxies) / 4))
			case 2:
				for range sim.rng.IntN(10) {
					sim.proxies[sim.rng.IntN(len(sim.proxies))].unreachable = true
				}
				sim.leastEpochValid = false
			default:
				number++
				sim.offer(sim.rng.IntN(24), number, fmt.Sprint("/n", sim.rng.IntN(60)), sim.rng.IntN(12) == 0)
			}
			sim.run(time.Duration(sim.rng.IntN(100)) * simStep)
		}
		sim.settle()
		if violations := sim.findViolations(); len(violations) > 0 {
			t.Errorf("seed %d: simulation has %d violations, want none; the first: %s",
				seed, len(violations), violations[0])
		}
	}
}

// BenchmarkHour simulates an hour of changes at regular or random times, at a rate of 9,500 per day, and reports how
// long they took to reach all proxies.
func BenchmarkHour(b *testing.B) {
	for _, n := range []int{300, 1000, 2000, 4700} {
		for _, randomTimes := range []bool{false, true} {
			b.Run(fmt.Sprintf("%d/drawn=%v", n, randomTimes), func(b *testing.B) {
				for b.Loop() {
					sim := newRolloutSim(b, 1, n, 24)
					sim.settle()
					rolloutsBefore := sim.rollouts
					for end, number := sim.now+time.Hour, 2; sim.now < end; number++ {
						sim.offer(sim.rng.IntN(24), number, fmt.Sprint("/n", number), false)
						if randomTimes {
							sim.run(time.Duration(9.1 * sim.rng.ExpFloat64() * float64(time.Second)))
						} else {
							sim.run(9 * time.Second)
						}
					}
					sim.settle()
					if violations := sim.findViolations(); len(violations) > 0 {
						b.Fatalf("simulation has %d violations, want none; the first: %s",
							len(violations), violations[0])
					}
					all := sim.completionTimes()
					b.ReportMetric(float64(len(sim.changes)), "changes")
					b.ReportMetric(float64(sim.rollouts-rolloutsBefore), "trains")
					b.ReportMetric(float64(sim.stops), "stopped")
					b.ReportMetric(all[len(all)/2].Seconds(), "p50-s")
					b.ReportMetric(all[len(all)*99/100].Seconds(), "p99-s")
					b.ReportMetric(all[len(all)-1].Seconds(), "max-s")
				}
			})
		}
	}
}

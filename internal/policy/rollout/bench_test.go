package rollout

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// benchmarkFleetSizes are the numbers of proxies in the benchmarked fleets.
var benchmarkFleetSizes = []int{300, 1000, 4700, 9400}

// benchFleet returns a rollout of epoch 2 among n proxies, and their names. As there are no requests, its step does not
// end.
func benchFleet(b *testing.B, n int) (*Rollout, []string) {
	b.Helper()
	r, err := New(DefaultSettings(), Version{Epoch: 1, Hash: "a"})
	if err != nil {
		b.Fatalf("New(DefaultSettings()) failed: %v", err)
	}
	var names []string
	for i := range n {
		names = append(names, fmt.Sprintf("proxy-%05d", i))
	}
	slices.Sort(names)
	r.SetMembers(0, names)
	if err := r.Start(0, 2, "b", 2); err != nil {
		b.Fatalf("Start(epoch 2) failed: %v", err)
	}
	return r, names
}

// BenchmarkSecond measures one second at the leader during a step: each proxy reports once, and members are updated ten
// times.
func BenchmarkSecond(b *testing.B) {
	for _, n := range benchmarkFleetSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r, names := benchFleet(b, n)
			now := time.Duration(0)
			sequence := uint64(0)
			for b.Loop() {
				sequence++
				for i, name := range names {
					if i%(n/10) == 0 {
						now += 100 * time.Millisecond
						r.SetMembers(now, names)
						r.Tick(now)
					}
					_ = r.Target(name)
					report := Report{Proxy: name, Sequence: sequence, Current: Version{Epoch: 1, Hash: "a"}, Good: 0}
					r.Report(now, report)
				}
			}
			if state, _ := r.State(); state != InProgress {
				b.Fatalf("rollout without requests is %v, want %v", state, InProgress)
			}
		})
	}
}

// BenchmarkTurn measures a SetMembers call in which one proxy leaves and one joins during a step.
func BenchmarkTurn(b *testing.B) {
	for _, n := range benchmarkFleetSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r, names := benchFleet(b, n)
			i := 0
			for b.Loop() {
				names = append(names[1:], fmt.Sprintf("later-%09d", i)) // SetMembers takes names in any order
				i++
				r.SetMembers(0, names)
			}
		})
	}
}

// BenchmarkLook measures a look that does not stop the version ("harmless") and looks that do, which take all draws
// that the significance level needs: with cells ("harmful") and with proxies drawn one by one ("onebyone").
func BenchmarkLook(b *testing.B) {
	for _, n := range benchmarkFleetSizes {
		for _, testCase := range []struct {
			name      string
			harm      int64 // additional bad requests per report with the new version
			mutations mutation
		}{{"harmless", 0, 0}, {"harmful", 50, 0}, {"onebyone", 50, skipCells}} {
			b.Run(fmt.Sprintf("%s/%d", testCase.name, n), func(b *testing.B) {
				for b.Loop() {
					b.StopTimer()
					r, names := benchFleet(b, n)
					r.step, r.mutations = len(r.settings.Steps)-2, testCase.mutations
					r.startStep(0)
					for i, name := range names {
						target := r.Target(name)
						bad := int64(i % 23)
						if target.Epoch == 2 {
							bad += testCase.harm
						}
						r.Report(100*time.Millisecond, Report{name, 1, target, 1000 - bad, bad})
						r.Report(r.settings.StepDuration, Report{name, 2, target, 1000 - bad, bad})
					}
					b.StartTimer()
					r.Tick(r.settings.StepDuration)
					if state, _ := r.State(); (state == Stopped) != (testCase.harm > 0) {
						b.Fatalf("%s version: rollout is %v after the look, want stopped only if harmful",
							testCase.name, state)
					}
				}
			})
		}
	}
}

// BenchmarkTrains simulates rollouts. It reports their number ("trains"), how many were stopped ("stopped"), and the
// mean fraction of the fleet that had the version when they were stopped ("part"). In half of the harmless ones a tenth
// of the fleet fails.
func BenchmarkTrains(b *testing.B) {
	run := func(name string, rollouts, n int, harm float64) {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				stops := 0
				adoptedShare := 0.0
				for seed := range uint64(rollouts) {
					fleet := newFleetSim(b, seed+1000, n, 0)
					fleet.start(b, 2+seed)
					fleet.extraBadShare = func(p *simProxy) float64 {
						if p.current.Epoch != 1 {
							return harm
						}
						return 0
					}
					if harm == 0 && seed%2 == 0 {
						fleet.runUntilEnd(time.Duration(fleet.rng.IntN(40)) * 100 * time.Millisecond)
						for range n / 10 {
							fleet.proxies[fleet.rng.IntN(n)].nextReport = neverReports
						}
					}
					if fleet.runUntilEnd(time.Minute) == Stopped {
						stops++
						adoptedShare += float64(fleet.countAtEpoch(2+seed)) / float64(n)
					}
				}
				b.ReportMetric(float64(rollouts), "trains")
				b.ReportMetric(float64(stops), "stopped")
				b.ReportMetric(adoptedShare/float64(max(1, stops)), "part")
			}
		})
	}
	run("harmless/60", 10000, 60, 0)
	run("harmless/300", 5000, 300, 0)
	run("harmless/1000", 1000, 1000, 0)
	for _, n := range []int{60, 300, 1000, 4700} {
		for _, harm := range []float64{0.005, 0.01, 0.02, 0.05, 0.1} {
			run(fmt.Sprintf("harm/%d/%v", n, harm), 50, n, harm)
		}
	}
}

// BenchmarkDisplaced starts a rollout with steps of a minute every 9 s, so that each replaces the unfinished one before
// it. It reports how many were started ("begun") and how many completed ("through").
func BenchmarkDisplaced(b *testing.B) {
	for b.Loop() {
		fleet := newFleetSim(b, 1, 300, 0)
		var err error
		if fleet.rollout, err = New(minuteSteps(), Version{Epoch: 1, Hash: "1"}); err != nil {
			b.Fatalf("New(minuteSteps()) failed: %v", err)
		}
		for _, p := range fleet.proxies {
			fleet.rollout.Join(0, p.name)
		}
		completed := 0
		for epoch := uint64(2); epoch < 402; epoch++ {
			fleet.start(b, epoch)
			if fleet.runUntilEnd(9*time.Second) == Done {
				completed++
			}
		}
		b.ReportMetric(400, "begun")
		b.ReportMetric(float64(completed), "through")
	}
}

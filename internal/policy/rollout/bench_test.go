package rollout

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

var sizes = []int{300, 1000, 4700, 9400}

// benchFleet returns a rollout in a step without requests, which therefore does not end.
func benchFleet(b *testing.B, n int) (*Rollout, []string) {
	b.Helper()
	r, err := New(DefaultSettings(), Version{Epoch: 1, Hash: "a"})
	if err != nil {
		b.Fatal(err)
	}
	var names []string
	for i := range n {
		names = append(names, fmt.Sprintf("proxy-%05d", i))
	}
	slices.Sort(names)
	r.SetMembers(0, names)
	if err := r.Start(0, 2, "b", 2); err != nil {
		b.Fatal(err)
	}
	return r, names
}

// BenchmarkSecond measures one second at the leader during a step: each proxy reports once, and members are updated ten
// times.
func BenchmarkSecond(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r, names := benchFleet(b, n)
			now, number := time.Duration(0), uint64(0)
			for b.Loop() {
				number++
				for i, name := range names {
					if i%(n/10) == 0 {
						now += 100 * time.Millisecond
						r.SetMembers(now, names)
						r.Tick(now)
					}
					_ = r.Target(name)
					r.Report(now, Report{Proxy: name, Sequence: number, Current: Version{Epoch: 1, Hash: "a"}, Good: 0})
				}
			}
			if state, _ := r.State(); state != InProgress {
				b.Fatal(state)
			}
		})
	}
}

// BenchmarkTurn measures one proxy that leaves and one that joins during a step.
func BenchmarkTurn(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r, names := benchFleet(b, n)
			i := 0
			for b.Loop() {
				names = append(names[1:], fmt.Sprintf("later-%09d", i)) // members need not be in order
				i++
				r.SetMembers(0, names)
			}
		})
	}
}

// BenchmarkLook measures a look that stops a version, which takes all the draws that the level needs, with cells and
// without, and a look that does not.
func BenchmarkLook(b *testing.B) {
	for _, n := range sizes {
		for _, k := range []struct {
			name      string
			harm      int64
			mutations mutation
		}{{"harmless", 0, 0}, {"harmful", 50, 0}, {"onebyone", 50, skipCells}} {
			b.Run(fmt.Sprintf("%s/%d", k.name, n), func(b *testing.B) {
				for b.Loop() {
					b.StopTimer()
					r, names := benchFleet(b, n)
					r.step, r.mutations = len(r.settings.Steps)-2, k.mutations
					r.startStep(0)
					for i, name := range names {
						o, bad := r.Target(name), int64(i%23)
						if o.Epoch == 2 {
							bad += k.harm
						}
						r.Report(100*time.Millisecond, Report{name, 1, o, 1000 - bad, bad})
						r.Report(r.settings.StepDuration, Report{name, 2, o, 1000 - bad, bad})
					}
					b.StartTimer()
					r.Tick(r.settings.StepDuration)
					if state, _ := r.State(); (state == Stopped) != (k.harm > 0) {
						b.Fatal(state)
					}
				}
			})
		}
	}
}

// BenchmarkTrains reports how many rollouts were stopped, and the mean part of the fleet that had the version by then.
// In half of the harmless ones a tenth of the fleet dies.
func BenchmarkTrains(b *testing.B) {
	run := func(name string, plays, n int, harm float64) {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				stops, part := 0, 0.0
				for seed := range uint64(plays) {
					l := newFleetSim(b, seed+1000, n, 0)
					l.start(b, 2+seed)
					l.extraBadShare = func(m *simProxy) float64 {
						if m.current.Epoch != 1 {
							return harm
						}
						return 0
					}
					if harm == 0 && seed%2 == 0 {
						l.runUntilEnd(time.Duration(l.rng.IntN(40)) * 100 * time.Millisecond)
						for range n / 10 {
							l.proxies[l.rng.IntN(n)].nextReport = 1 << 60
						}
					}
					if l.runUntilEnd(time.Minute) == Stopped {
						stops++
						part += float64(l.countAtEpoch(2+seed)) / float64(n)
					}
				}
				b.ReportMetric(float64(plays), "trains")
				b.ReportMetric(float64(stops), "stopped")
				b.ReportMetric(part/float64(max(1, stops)), "part")
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

// BenchmarkDisplaced reports how many of 400 rollouts complete if each takes the place of the one before, with steps
// of a minute.
func BenchmarkDisplaced(b *testing.B) {
	for b.Loop() {
		l := newFleetSim(b, 1, 300, 0)
		var err error
		if l.rollout, err = New(minuteSteps(), Version{Epoch: 1, Hash: "1"}); err != nil {
			b.Fatal(err)
		}
		for _, m := range l.proxies {
			l.rollout.Join(0, m.name)
		}
		through := 0
		for epoch := uint64(2); epoch < 402; epoch++ {
			l.start(b, epoch)
			if l.runUntilEnd(9*time.Second) == Done {
				through++
			}
		}
		b.ReportMetric(400, "begun")
		b.ReportMetric(float64(through), "through")
	}
}

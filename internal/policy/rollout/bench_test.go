package rollout

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

var sizes = []int{300, 1000, 4700, 9400}

// benchFleet is a fleet amid a step that has no requests yet, so that it goes on.
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

// BenchmarkSecond is a second at the leader amid a step: each proxy reports once, members are told and the time goes on ten times.
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

// BenchmarkTurn is one proxy that goes and one that comes, amid a step.
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

// BenchmarkLook is the look that stops a policy in the second step, which takes all the draws that the level needs, also with proxies drawn
// one by one instead of in cells; and one that does not.
func BenchmarkLook(b *testing.B) {
	for _, n := range sizes {
		for _, k := range []struct {
			name  string
			harm  int64
			flaws mutation
		}{{"harmless", 0, 0}, {"harmful", 50, 0}, {"onebyone", 50, skipCells}} {
			b.Run(fmt.Sprintf("%s/%d", k.name, n), func(b *testing.B) {
				for b.Loop() {
					b.StopTimer()
					r, names := benchFleet(b, n)
					r.step, r.mutations = len(r.settings.Steps)-2, k.flaws
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

package modelcheck

import (
	"testing"
	"time"

	"lapisspread/internal/quotalease"
	"lapisspread/internal/quotalease/internal/mutation"
)

func rates() Settings {
	return Settings{Holders: 4, Stewards: 3, Kind: quotalease.Rate, Whole: 20, Burst: 8, Lease: time.Second, Drift: .05, Floor: 5}
}

func hands() Settings {
	return Settings{Holders: 4, Stewards: 3, Kind: quotalease.InHand, Whole: 12, Lease: time.Second, Life: 2 * time.Second, Drift: .05, Floor: 2}
}

// Never more than the whole, and all of it in the end; with usual faults, with four times as many, and in a larger fleet.
func TestDrawnRunsNeverSumToMore(t *testing.T) {
	often := map[string]int{}
	for kind, n := range usual {
		often[kind] = 4 * n
	}
	for name, s := range map[string]Settings{"rate": rates(), "in hand": hands()} {
		for seed := range uint64(6) {
			s.Holders, s.Stewards, s.Mix = 4, 3, nil
			switch {
			case seed == 0:
				s.Holders, s.Stewards = 8, 5
			case seed%2 == 1:
				s.Mix = often
			}
			run := Draw(s, seed, 1000)
			if run.Found != "" || run.Granted < .98 {
				t.Errorf("%s, seed %d: %v", name, seed, run)
			}
			t.Logf("%s, seed %d: %v", name, seed, run)
		}
	}
}

// With any one guard taken out, the check convicts; with all of them in, the same runs are sound.
func TestEachGuardIsNeeded(t *testing.T) {
	quick := rates()
	quick.Step, quick.Drift = quick.Lease/100, .1
	moves := map[string]int{"proxy cut off": 40, "demand moves": 100}
	links := map[string]int{"proxy cut off": 60, "demand moves": 60}
	deaths := map[string]int{"proxy cut off": 60, "proxy killed": 20, "proxy started": 60}
	stewards := map[string]int{"stewards cut": 60, "cuts mended": 80, "demand moves": 60}
	stores := map[string]int{"older store": 60, "demand moves": 60, "stewards cut": 30, "cuts mended": 60}
	for _, tt := range []struct {
		guard string
		world Settings
		mix   map[string]int
		out   mutation.Set
		from  uint64 // the first seed: those before were tried and don't meet it
	}{
		{"the lease's margin for drift", quick, deaths, mutation.Set{Margin: true}, 22},
		{"the lease counted from the ask", rates(), deaths, mutation.Set{Reply: true}, 0},
		{"the empty bucket", rates(), links, mutation.Set{Full: true}, 0},
		{"the order of tokens", quick, moves, mutation.Set{Order: true}, 49},
		{"commit before telling", rates(), stewards, mutation.Set{Commit: true}, 0},
		{"silence after a start", rates(), stores, mutation.Set{Silence: true}, 5},
		{"silence after a cut", rates(), stores, mutation.Set{Cut: true}, 31},
		{"the largest of all grants", rates(), links, mutation.Set{Max: true}, 0},
		{"only what is older than acked is dropped", rates(), links, mutation.Set{Ack: true}, 0},
		{"the sum in the log", rates(), links, mutation.Set{Sum: true}, 0},
		{"the life of work in hand", hands(), links, mutation.Set{Life: true}, 0},
	} {
		t.Run(tt.guard, func(t *testing.T) {
			t.Parallel()
			tt.world.Mix, tt.world.Holders = tt.mix, 3
			for seed := tt.from; seed < tt.from+60; seed++ {
				tt.world.flaws = tt.out
				flawed := Draw(tt.world, seed, 2000)
				if flawed.Found == "" {
					continue
				}
				t.Logf("seed %d, moment %d: %s", seed, flawed.Steps, flawed.Found)
				tt.world.flaws = mutation.Set{}
				if sound := Draw(tt.world, seed, 2000); sound.Found != "" {
					t.Errorf("with the guard: %v", sound)
				}
				return
			}
			t.Error("not convicted")
		})
	}
}

func small() Settings {
	return Settings{Holders: 2, Stewards: 3, Kind: quotalease.Rate, Whole: 2, Burst: 2, Lease: time.Second, Drift: .05}
}

const half = 500 * time.Millisecond // of a lease

func TestEveryStateOfASmallWorld(t *testing.T) {
	for _, b := range []Bounds{
		{Asks: 1, Ticks: 4, Tick: half},
		{Asks: 2, Tick: half},
	} {
		r := Explore(small(), b)
		if r.Found != "" || !r.Complete {
			t.Errorf("%+v: %+v", b, r)
		}
		t.Logf("%+v: %d states, %d steps, depth %d", b, r.States, r.Steps, r.Depth)
	}
}

// The exploration finds the shortest way in which a guard that is out breaks the sum.
func TestExplorationConvicts(t *testing.T) {
	t.Parallel()
	for _, tt := range []struct {
		guard  string
		out    mutation.Set
		bounds Bounds
	}{
		{"the lease's margin for drift", mutation.Set{Margin: true}, Bounds{Asks: 1, Ticks: 2, Tick: half}},
		{"the lease counted from the ask", mutation.Set{Reply: true}, Bounds{Asks: 1, Ticks: 3, Tick: half}},
		{"commit before telling", mutation.Set{Commit: true}, Bounds{Asks: 1, Elections: 1}},
		{"the sum in the log", mutation.Set{Sum: true}, Bounds{Asks: 1, Tick: half}},
	} {
		s := small()
		s.flaws = tt.out
		if r := Explore(s, tt.bounds); r.Found == "" {
			t.Errorf("%s: not convicted in %d states", tt.guard, r.States)
		} else {
			t.Logf("%s: %s: %q", tt.guard, r.Found, r.Trace)
		}
		s.flaws = mutation.Set{}
		if r := Explore(s, tt.bounds); r.Found != "" || !r.Complete {
			t.Errorf("%s, with it: %+v", tt.guard, r)
		}
	}
}

// Larger spaces than a test has time for, and the guards that need them.
func BenchmarkExplore(b *testing.B) {
	for _, tt := range []struct {
		name   string
		out    mutation.Set
		bounds Bounds
		broken bool
	}{
		{"sound/2 asks, 1 tick", mutation.Set{}, Bounds{Asks: 2, Ticks: 1, Tick: half}, false},
		{"sound/2 asks, 2 ticks", mutation.Set{}, Bounds{Asks: 2, Ticks: 2, Tick: half, Most: 200000}, false},
		{"sound/3 asks", mutation.Set{}, Bounds{Asks: 3, Tick: half}, false},
		{"sound/1 election, 1 restart", mutation.Set{}, Bounds{Asks: 1, Elections: 1, Restarts: 1}, false},
		{"sound/1 election, 1 tick", mutation.Set{}, Bounds{Asks: 1, Ticks: 1, Tick: half, Elections: 1, Most: 200000}, false},
		{"without the largest of all grants", mutation.Set{Max: true}, Bounds{Asks: 2, Tick: half}, true},
		{"without the order of tokens", mutation.Set{Order: true}, Bounds{Asks: 3, Tick: half}, true},
		{"without silence", mutation.Set{Silence: true}, Bounds{Asks: 1, Elections: 1, Restarts: 1}, true},
	} {
		b.Run(tt.name, func(b *testing.B) {
			for b.Loop() {
				s := small()
				s.flaws = tt.out
				r := Explore(s, tt.bounds)
				if (r.Found != "") != tt.broken {
					b.Fatalf("%+v", r)
				}
				complete := 0.0
				if r.Complete && !tt.broken {
					complete = 1
				}
				b.ReportMetric(float64(r.States), "states")
				b.ReportMetric(float64(r.Depth), "depth")
				b.ReportMetric(complete, "complete")
			}
		})
	}
}

// Long drawn runs of many worlds, one for each iteration: -benchtime 2000x plays 2,000.
func BenchmarkDraw(b *testing.B) {
	often := map[string]int{}
	for kind, n := range usual {
		often[kind] = 4 * n
	}
	seed, moments := uint64(1000), 0
	var healed time.Duration
	for b.Loop() {
		s := rates()
		if seed%2 == 1 {
			s = hands()
		}
		s.Holders, s.Stewards = 3+int(seed/2%10), 3+2*int(seed/2%2)
		switch seed % 12 / 2 {
		case 1, 4:
			s.Mix = often
		case 2:
			s.Step = s.Lease / 100
		case 3:
			s.Floor = 0
		}
		run := Draw(s, seed, 3000)
		if run.Found != "" || run.Granted < .98 {
			b.Errorf("%+v, seed %d: %v", s, seed, run)
		}
		seed, moments, healed = seed+1, moments+run.Steps, max(healed, run.Healed)
	}
	b.ReportMetric(float64(moments), "moments")
	b.ReportMetric(healed.Seconds(), "longest-healed-s")
}

package modelcheck

import (
	"testing"
	"time"

	"lapisspread/internal/quotalease"
	"lapisspread/internal/quotalease/internal/mutation"
)

func rateSettings() Settings {
	return Settings{Holders: 4, Servers: 3, Kind: quotalease.Rate, Limit: 20, Burst: 8, LeaseDuration: time.Second, MaxDrift: .05, Floor: 5}
}

func inFlightSettings() Settings {
	return Settings{Holders: 4, Servers: 3, Kind: quotalease.InFlight, Limit: 12, LeaseDuration: time.Second, MaxHoldTime: 2 * time.Second, MaxDrift: .05, Floor: 2}
}

// Never more than the whole, and all of it in the end; with usual faults, with four times as many, and in a larger fleet.
func TestDrawnRunsNeverSumToMore(t *testing.T) {
	often := map[string]int{}
	for kind, n := range defaultFaultRates {
		often[kind] = 4 * n
	}
	for name, s := range map[string]Settings{"rate": rateSettings(), "in hand": inFlightSettings()} {
		for seed := range uint64(6) {
			s.Holders, s.Servers, s.FaultRates = 4, 3, nil
			switch {
			case seed == 0:
				s.Holders, s.Servers = 8, 5
			case seed%2 == 1:
				s.FaultRates = often
			}
			run := RunRandom(s, seed, 1000)
			if run.Violation != "" || run.GrantedShare < .98 {
				t.Errorf("%s, seed %d: %v", name, seed, run)
			}
			t.Logf("%s, seed %d: %v", name, seed, run)
		}
	}
}

// With any one guard taken out, the check convicts; with all of them in, the same runs are sound.
func TestEachGuardIsNeeded(t *testing.T) {
	quick := rateSettings()
	quick.MaxMoment, quick.MaxDrift = quick.LeaseDuration/100, .1
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
		{"the lease's margin for drift", quick, deaths, mutation.Set{NoDriftMargin: true}, 22},
		{"the lease counted from the ask", rateSettings(), deaths, mutation.Set{LeaseFromReply: true}, 0},
		{"the empty bucket", rateSettings(), links, mutation.Set{FullBucketOnLease: true}, 0},
		{"the order of tokens", quick, moves, mutation.Set{AnyTokenOrder: true}, 49},
		{"commit before telling", rateSettings(), stewards, mutation.Set{ReplyBeforeCommit: true}, 0},
		{"silence after a start", rateSettings(), stores, mutation.Set{NoStartupSilence: true}, 5},
		{"silence after a cut", rateSettings(), stores, mutation.Set{NoSilenceAfterTruncation: true}, 31},
		{"the largest of all grants", rateSettings(), links, mutation.Set{CountNewestLeaseOnly: true}, 0},
		{"only what is older than acked is dropped", rateSettings(), links, mutation.Set{AckDropsNewest: true}, 0},
		{"the sum in the log", rateSettings(), links, mutation.Set{NoLimitCheck: true}, 0},
		{"the life of work in hand", inFlightSettings(), links, mutation.Set{ForgetInFlightAtLeaseEnd: true}, 0},
	} {
		t.Run(tt.guard, func(t *testing.T) {
			t.Parallel()
			tt.world.FaultRates, tt.world.Holders = tt.mix, 3
			for seed := tt.from; seed < tt.from+60; seed++ {
				tt.world.mutations = tt.out
				flawed := RunRandom(tt.world, seed, 2000)
				if flawed.Violation == "" {
					continue
				}
				t.Logf("seed %d, moment %d: %s", seed, flawed.Moments, flawed.Violation)
				tt.world.mutations = mutation.Set{}
				if sound := RunRandom(tt.world, seed, 2000); sound.Violation != "" {
					t.Errorf("with the guard: %v", sound)
				}
				return
			}
			t.Error("not convicted")
		})
	}
}

func smallSettings() Settings {
	return Settings{Holders: 2, Servers: 3, Kind: quotalease.Rate, Limit: 2, Burst: 2, LeaseDuration: time.Second, MaxDrift: .05}
}

const halfLease = 500 * time.Millisecond // of a lease

func TestEveryStateOfASmallWorld(t *testing.T) {
	for _, b := range []Bounds{
		{RequestsPerProxy: 1, Ticks: 4, Tick: halfLease},
		{RequestsPerProxy: 2, Tick: halfLease},
	} {
		r := Explore(smallSettings(), b)
		if r.Violation != "" || !r.Complete {
			t.Errorf("%+v: %+v", b, r)
		}
		t.Logf("%+v: %d states, %d steps, depth %d", b, r.States, r.Transitions, r.Depth)
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
		{"the lease's margin for drift", mutation.Set{NoDriftMargin: true}, Bounds{RequestsPerProxy: 1, Ticks: 2, Tick: halfLease}},
		{"the lease counted from the ask", mutation.Set{LeaseFromReply: true}, Bounds{RequestsPerProxy: 1, Ticks: 3, Tick: halfLease}},
		{"commit before telling", mutation.Set{ReplyBeforeCommit: true}, Bounds{RequestsPerProxy: 1, Elections: 1}},
		{"the sum in the log", mutation.Set{NoLimitCheck: true}, Bounds{RequestsPerProxy: 1, Tick: halfLease}},
	} {
		s := smallSettings()
		s.mutations = tt.out
		if r := Explore(s, tt.bounds); r.Violation == "" {
			t.Errorf("%s: not convicted in %d states", tt.guard, r.States)
		} else {
			t.Logf("%s: %s: %q", tt.guard, r.Violation, r.Trace)
		}
		s.mutations = mutation.Set{}
		if r := Explore(s, tt.bounds); r.Violation != "" || !r.Complete {
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
		{"sound/2 asks, 1 tick", mutation.Set{}, Bounds{RequestsPerProxy: 2, Ticks: 1, Tick: halfLease}, false},
		{"sound/2 asks, 2 ticks", mutation.Set{}, Bounds{RequestsPerProxy: 2, Ticks: 2, Tick: halfLease, MaxStates: 200000}, false},
		{"sound/3 asks", mutation.Set{}, Bounds{RequestsPerProxy: 3, Tick: halfLease}, false},
		{"sound/1 election, 1 restart", mutation.Set{}, Bounds{RequestsPerProxy: 1, Elections: 1, Restarts: 1}, false},
		{"sound/1 election, 1 tick", mutation.Set{}, Bounds{RequestsPerProxy: 1, Ticks: 1, Tick: halfLease, Elections: 1, MaxStates: 200000}, false},
		{"without the largest of all grants", mutation.Set{CountNewestLeaseOnly: true}, Bounds{RequestsPerProxy: 2, Tick: halfLease}, true},
		{"without the order of tokens", mutation.Set{AnyTokenOrder: true}, Bounds{RequestsPerProxy: 3, Tick: halfLease}, true},
		{"without silence", mutation.Set{NoStartupSilence: true}, Bounds{RequestsPerProxy: 1, Elections: 1, Restarts: 1}, true},
	} {
		b.Run(tt.name, func(b *testing.B) {
			for b.Loop() {
				s := smallSettings()
				s.mutations = tt.out
				r := Explore(s, tt.bounds)
				if (r.Violation != "") != tt.broken {
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
	for kind, n := range defaultFaultRates {
		often[kind] = 4 * n
	}
	seed, moments := uint64(1000), 0
	var healed time.Duration
	for b.Loop() {
		s := rateSettings()
		if seed%2 == 1 {
			s = inFlightSettings()
		}
		s.Holders, s.Servers = 3+int(seed/2%10), 3+2*int(seed/2%2)
		switch seed % 12 / 2 {
		case 1, 4:
			s.FaultRates = often
		case 2:
			s.MaxMoment = s.LeaseDuration / 100
		case 3:
			s.Floor = 0
		}
		run := RunRandom(s, seed, 3000)
		if run.Violation != "" || run.GrantedShare < .98 {
			b.Errorf("%+v, seed %d: %v", s, seed, run)
		}
		seed, moments, healed = seed+1, moments+run.Moments, max(healed, run.RecoveryTime)
	}
	b.ReportMetric(float64(moments), "moments")
	b.ReportMetric(healed.Seconds(), "longest-healed-s")
}

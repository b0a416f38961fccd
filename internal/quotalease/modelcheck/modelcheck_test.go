package modelcheck

import (
	"testing"
	"time"

	"lapisspread/internal/quotalease"
	"lapisspread/internal/quotalease/internal/mutation"
)

func rateSettings() Settings {
	return Settings{
		Holders: 4, Servers: 3, Kind: quotalease.Rate, Limit: 20, Burst: 8, LeaseDuration: time.Second, MaxDrift: .05,
		Floor: 5,
	}
}

func inFlightSettings() Settings {
	return Settings{
		Holders: 4, Servers: 3, Kind: quotalease.InFlight, Limit: 12, LeaseDuration: time.Second,
		MaxHoldTime: 2 * time.Second, MaxDrift: .05, Floor: 2,
	}
}

// fourfold returns four times the default rates of faults.
func fourfold() map[Fault]int {
	rates := map[Fault]int{}
	for fault, rate := range defaultFaultRates {
		rates[fault] = 4 * rate
	}
	return rates
}

// Never more than the limit, and all of it in the end; with the default rates of faults, with four times as many,
// and in a larger fleet.
func TestRandomRunsNeverExceedTheLimit(t *testing.T) {
	for name, s := range map[string]Settings{"rate": rateSettings(), "in flight": inFlightSettings()} {
		for seed := range uint64(6) {
			s.Holders = 4
			s.Servers = 3
			s.FaultRates = nil
			switch {
			case seed == 0:
				s.Holders = 8
				s.Servers = 5
			case seed%2 == 1:
				s.FaultRates = fourfold()
			}
			result := RunRandom(s, seed, 1000)
			if result.Violation != "" || result.GrantedShare < enoughGranted {
				t.Errorf("%s, seed %d: %v", name, seed, result)
			}
			t.Logf("%s, seed %d: %v", name, seed, result)
		}
	}
}

// Rates of faults that meet a safeguard soon.
var (
	demandShifts   = map[Fault]int{ProxyCutOff: 40, DemandShifted: 100}
	cutOffs        = map[Fault]int{ProxyCutOff: 60, DemandShifted: 60}
	proxyDeaths    = map[Fault]int{ProxyCutOff: 60, ProxyKilled: 20, ProxyReplaced: 60}
	serverCutOffs  = map[Fault]int{ServersCutOff: 60, LinksRepaired: 80, DemandShifted: 60}
	restoredStores = map[Fault]int{
		OlderStoreRestored: 60, DemandShifted: 60, ServersCutOff: 30, LinksRepaired: 60,
	}
)

// Without any one safeguard a run violates the invariant; with all of them the same run does not.
func TestEachSafeguardIsNeeded(t *testing.T) {
	quick := rateSettings()
	quick.MaxMoment = quick.LeaseDuration / 100
	quick.MaxDrift = .1
	for _, tt := range []struct {
		safeguard string
		settings  Settings
		faults    map[Fault]int
		mutations mutation.Set
		firstSeed uint64 // seeds below do not violate the invariant
	}{
		{"the drift margin of a lease", quick, proxyDeaths, mutation.Set{NoDriftMargin: true}, 22},
		{"the lease counted from the request", rateSettings(), proxyDeaths, mutation.Set{LeaseFromReply: true}, 0},
		{"the empty bucket", rateSettings(), cutOffs, mutation.Set{FullBucketOnLease: true}, 0},
		{"the order of tokens", quick, demandShifts, mutation.Set{AnyTokenOrder: true}, 49},
		{"commit before reply", rateSettings(), serverCutOffs, mutation.Set{ReplyBeforeCommit: true}, 0},
		{"silence after a start", rateSettings(), restoredStores, mutation.Set{NoStartupSilence: true}, 5},
		{
			"silence after a truncation", rateSettings(), restoredStores,
			mutation.Set{NoSilenceAfterTruncation: true}, 31,
		},
		{"the largest of all leases", rateSettings(), cutOffs, mutation.Set{CountNewestLeaseOnly: true}, 0},
		{"only older leases are dropped by an ack", rateSettings(), cutOffs, mutation.Set{AckDropsNewest: true}, 0},
		{"the limit in the state machine", rateSettings(), cutOffs, mutation.Set{NoLimitCheck: true}, 0},
		{
			"the hold time of units in flight", inFlightSettings(), cutOffs,
			mutation.Set{ForgetInFlightAtLeaseEnd: true}, 0,
		},
	} {
		t.Run(tt.safeguard, func(t *testing.T) {
			t.Parallel()
			tt.settings.FaultRates = tt.faults
			tt.settings.Holders = 3
			wantViolation(t, tt.settings, tt.mutations, tt.firstSeed)
		})
	}
}

// wantViolation finds a seed that violates the invariant with the mutations, and does not without them.
func wantViolation(t *testing.T, s Settings, mutations mutation.Set, firstSeed uint64) {
	t.Helper()
	for seed := firstSeed; seed < firstSeed+60; seed++ {
		s.mutations = mutations
		result := RunRandom(s, seed, 2000)
		if result.Violation == "" {
			continue
		}
		t.Logf("seed %d, moment %d: %s", seed, result.Moments, result.Violation)
		s.mutations = mutation.Set{}
		if sound := RunRandom(s, seed, 2000); sound.Violation != "" {
			t.Errorf("with the safeguard: %v", sound)
		}
		return
	}
	t.Error("no violation was found")
}

func smallSettings() Settings {
	return Settings{
		Holders: 2, Servers: 3, Kind: quotalease.Rate, Limit: 2, Burst: 2, LeaseDuration: time.Second, MaxDrift: .05,
	}
}

const halfLease = 500 * time.Millisecond

func TestEveryStateOfASmallSystem(t *testing.T) {
	for _, bounds := range []Bounds{
		{RequestsPerProxy: 1, Ticks: 4, Tick: halfLease},
		{RequestsPerProxy: 2, Tick: halfLease},
	} {
		result := Explore(smallSettings(), bounds)
		if result.Violation != "" || !result.Complete {
			t.Errorf("%+v: %+v", bounds, result)
		}
		t.Logf("%+v: %d states, %d transitions, depth %d", bounds, result.States, result.Transitions, result.Depth)
	}
}

// The exploration finds the shortest way in which a system without a safeguard violates the invariant.
func TestExplorationFindsMutations(t *testing.T) {
	t.Parallel()
	for _, tt := range []struct {
		safeguard string
		mutations mutation.Set
		bounds    Bounds
	}{
		{
			"the drift margin of a lease", mutation.Set{NoDriftMargin: true},
			Bounds{RequestsPerProxy: 1, Ticks: 2, Tick: halfLease},
		},
		{
			"the lease counted from the request", mutation.Set{LeaseFromReply: true},
			Bounds{RequestsPerProxy: 1, Ticks: 3, Tick: halfLease},
		},
		{"commit before reply", mutation.Set{ReplyBeforeCommit: true}, Bounds{RequestsPerProxy: 1, Elections: 1}},
		{
			"the limit in the state machine", mutation.Set{NoLimitCheck: true},
			Bounds{RequestsPerProxy: 1, Tick: halfLease},
		},
	} {
		s := smallSettings()
		s.mutations = tt.mutations
		result := Explore(s, tt.bounds)
		if result.Violation == "" {
			t.Errorf("%s: no violation in %d states", tt.safeguard, result.States)
		}
		t.Logf("%s: %s: %q", tt.safeguard, result.Violation, result.Trace)
		s.mutations = mutation.Set{}
		if sound := Explore(s, tt.bounds); sound.Violation != "" || !sound.Complete {
			t.Errorf("%s, with it: %+v", tt.safeguard, sound)
		}
	}
}

// Larger spaces than a test has time for, and the safeguards that need them.
func BenchmarkExplore(b *testing.B) {
	for _, tt := range []struct {
		name      string
		mutations mutation.Set
		bounds    Bounds
		broken    bool
	}{
		{
			"sound/2 asks, 1 tick", mutation.Set{},
			Bounds{RequestsPerProxy: 2, Ticks: 1, Tick: halfLease}, false,
		},
		{
			"sound/2 asks, 2 ticks", mutation.Set{},
			Bounds{RequestsPerProxy: 2, Ticks: 2, Tick: halfLease, MaxStates: 200000}, false,
		},
		{"sound/3 asks", mutation.Set{}, Bounds{RequestsPerProxy: 3, Tick: halfLease}, false},
		{
			"sound/1 election, 1 restart", mutation.Set{},
			Bounds{RequestsPerProxy: 1, Elections: 1, Restarts: 1}, false,
		},
		{
			"sound/1 election, 1 tick", mutation.Set{},
			Bounds{RequestsPerProxy: 1, Ticks: 1, Tick: halfLease, Elections: 1, MaxStates: 200000}, false,
		},
		{
			"without the largest of all grants", mutation.Set{CountNewestLeaseOnly: true},
			Bounds{RequestsPerProxy: 2, Tick: halfLease}, true,
		},
		{
			"without the order of tokens", mutation.Set{AnyTokenOrder: true},
			Bounds{RequestsPerProxy: 3, Tick: halfLease}, true,
		},
		{
			"without silence", mutation.Set{NoStartupSilence: true},
			Bounds{RequestsPerProxy: 1, Elections: 1, Restarts: 1}, true,
		},
	} {
		b.Run(tt.name, func(b *testing.B) {
			for b.Loop() {
				s := smallSettings()
				s.mutations = tt.mutations
				result := Explore(s, tt.bounds)
				if (result.Violation != "") != tt.broken {
					b.Fatalf("%+v", result)
				}
				complete := 0.0
				if result.Complete && !tt.broken {
					complete = 1
				}
				b.ReportMetric(float64(result.States), "states")
				b.ReportMetric(float64(result.Depth), "depth")
				b.ReportMetric(complete, "complete")
			}
		})
	}
}

// Long random runs of many systems, one for each iteration: -benchtime 2000x plays 2,000.
func BenchmarkRandomRuns(b *testing.B) {
	seed := uint64(1000)
	moments := 0
	var slowest time.Duration
	for b.Loop() {
		s := settingsOfSeed(seed)
		result := RunRandom(s, seed, 3000)
		if result.Violation != "" || result.GrantedShare < enoughGranted {
			b.Errorf("%+v, seed %d: %v", s, seed, result)
		}
		seed++
		moments += result.Moments
		slowest = max(slowest, result.RecoveryTime)
	}
	b.ReportMetric(float64(moments), "moments")
	b.ReportMetric(slowest.Seconds(), "longest-healed-s")
}

// settingsOfSeed varies the kind of quota, the size of the fleet and the faults.
func settingsOfSeed(seed uint64) Settings {
	s := rateSettings()
	if seed%2 == 1 {
		s = inFlightSettings()
	}
	s.Holders = 3 + int(seed/2%10)
	s.Servers = 3 + 2*int(seed/2%2)
	switch seed % 12 / 2 {
	case 1, 4:
		s.FaultRates = fourfold()
	case 2:
		s.MaxMoment = s.LeaseDuration / 100
	case 3:
		s.Floor = 0
	}
	return s
}

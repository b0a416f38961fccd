package modelcheck

import (
	"testing"
	"time"

	"lapisspread/internal/quotalease"
	"lapisspread/internal/quotalease/internal/mutation"
)

// rateSettings returns the settings of a fleet with a rate quota.
func rateSettings() Settings {
	return Settings{
		Holders: 4, Servers: 3, Kind: quotalease.Rate, Limit: 20, Burst: 8, LeaseDuration: time.Second, MaxDrift: .05,
		Floor: 5,
	}
}

// inFlightSettings returns the settings of a fleet with a quota of units in flight.
func inFlightSettings() Settings {
	return Settings{
		Holders: 4, Servers: 3, Kind: quotalease.InFlight, Limit: 12, LeaseDuration: time.Second,
		MaxHoldTime: 2 * time.Second, MaxDrift: .05, Floor: 2,
	}
}

// quadrupledFaultRates returns four times the default fault rates.
func quadrupledFaultRates() map[Fault]int {
	rates := map[Fault]int{}
	for fault, rate := range defaultFaultRates {
		rates[fault] = 4 * rate
	}
	return rates
}

// Random runs never exceed the limit, and once all faults are repaired the limit is granted again: with the default
// fault rates, with four times these rates, and in a larger fleet.
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
				s.FaultRates = quadrupledFaultRates()
			}
			result := RunRandom(s, seed, 1000)
			if result.Violation != "" || result.GrantedShare < enoughGranted {
				t.Errorf("RunRandom(%s, seed %d) = %v; want no violation and GrantedShare of at least %v",
					name, seed, result, enoughGranted)
			}
			t.Logf("%s, seed %d: %v", name, seed, result)
		}
	}
}

// Fault rates with which random runs without one of the safeguards violate the invariant within 60 seeds
// from the first seed of the case.
var (
	demandShifts      = map[Fault]int{ProxyCutOff: 40, DemandShifted: 100}
	cutOffs           = map[Fault]int{ProxyCutOff: 60, DemandShifted: 60}
	proxyReplacements = map[Fault]int{ProxyCutOff: 60, ProxyKilled: 20, ProxyReplaced: 60}
	serverCutOffs     = map[Fault]int{ServersCutOff: 60, LinksRepaired: 80, DemandShifted: 60}
	restoredStores    = map[Fault]int{
		OlderStoreRestored: 60, DemandShifted: 60, ServersCutOff: 30, LinksRepaired: 60,
	}
)

// Without one of the safeguards some run violates the invariant; with all safeguards the same run does not.
func TestEachSafeguardIsNeeded(t *testing.T) {
	shortSteps := rateSettings()
	shortSteps.MaxStepTime = shortSteps.LeaseDuration / 100
	shortSteps.MaxDrift = .1
	for _, tt := range []struct {
		safeguard string
		settings  Settings
		faults    map[Fault]int
		mutations mutation.Set
		firstSeed uint64 // lower seeds do not violate the invariant
	}{
		{"drift margin of a lease", shortSteps, proxyReplacements, mutation.Set{NoDriftMargin: true}, 22},
		{
			"lease duration counted from the request", rateSettings(), proxyReplacements,
			mutation.Set{LeaseFromReply: true}, 0,
		},
		{"token bucket empty on a new lease", rateSettings(), cutOffs, mutation.Set{FullBucketOnLease: true}, 0},
		{"leases refused in decreasing token order", shortSteps, demandShifts, mutation.Set{AnyTokenOrder: true}, 49},
		{"commit before the reply", rateSettings(), serverCutOffs, mutation.Set{ReplyBeforeCommit: true}, 0},
		{"silence after a server start", rateSettings(), restoredStores, mutation.Set{NoStartupSilence: true}, 5},
		{
			"silence after a truncation of the log", rateSettings(), restoredStores,
			mutation.Set{NoSilenceAfterTruncation: true}, 31,
		},
		{"largest of all leases counted", rateSettings(), cutOffs, mutation.Set{CountNewestLeaseOnly: true}, 0},
		{"acknowledgement drops only older leases", rateSettings(), cutOffs, mutation.Set{AckDropsNewest: true}, 0},
		{"limit check in the state machine", rateSettings(), cutOffs, mutation.Set{NoLimitCheck: true}, 0},
		{
			"hold time of units in flight", inFlightSettings(), cutOffs,
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

// wantViolation searches 60 seeds from firstSeed for a run that violates the invariant with the mutations. It checks
// that the same run without mutations does not.
func wantViolation(t *testing.T, s Settings, mutations mutation.Set, firstSeed uint64) {
	t.Helper()
	for seed := firstSeed; seed < firstSeed+60; seed++ {
		s.mutations = mutations
		result := RunRandom(s, seed, 2000)
		if result.Violation == "" {
			continue
		}
		t.Logf("violation with seed %d after %d steps: %s", seed, result.Steps, result.Violation)
		s.mutations = mutation.Set{}
		if unmutated := RunRandom(s, seed, 2000); unmutated.Violation != "" {
			t.Errorf("RunRandom(seed %d) with all safeguards = %v, want no violation", seed, unmutated)
		}
		return
	}
	t.Errorf("RunRandom() without the safeguard found no violation with seeds %d to %d, want one",
		firstSeed, firstSeed+59)
}

// smallSettings returns the settings of a fleet that is small enough for Explore.
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
			t.Errorf("Explore(bounds %+v) = %+v; want no violation and every state visited", bounds, result)
		}
		t.Logf("Explore(bounds %+v): %d states, %d transitions, depth %d",
			bounds, result.States, result.Transitions, result.Depth)
	}
}

// Explore finds a shortest sequence of transitions by which a system without a safeguard violates the invariant.
func TestExplorationFindsMutations(t *testing.T) {
	t.Parallel()
	for _, tt := range []struct {
		safeguard string
		mutations mutation.Set
		bounds    Bounds
	}{
		{
			"drift margin of a lease", mutation.Set{NoDriftMargin: true},
			Bounds{RequestsPerProxy: 1, Ticks: 2, Tick: halfLease},
		},
		{
			"lease duration counted from the request", mutation.Set{LeaseFromReply: true},
			Bounds{RequestsPerProxy: 1, Ticks: 3, Tick: halfLease},
		},
		{"commit before the reply", mutation.Set{ReplyBeforeCommit: true}, Bounds{RequestsPerProxy: 1, Elections: 1}},
		{
			"limit check in the state machine", mutation.Set{NoLimitCheck: true},
			Bounds{RequestsPerProxy: 1, Tick: halfLease},
		},
	} {
		s := smallSettings()
		s.mutations = tt.mutations
		result := Explore(s, tt.bounds)
		if result.Violation == "" {
			t.Errorf("Explore() without the safeguard %q found no violation in %d states, want one",
				tt.safeguard, result.States)
		}
		t.Logf("without the safeguard %q: violation %s, by the transitions %q",
			tt.safeguard, result.Violation, result.Trace)
		s.mutations = mutation.Set{}
		if unmutated := Explore(s, tt.bounds); unmutated.Violation != "" || !unmutated.Complete {
			t.Errorf("Explore() with the safeguard %q = %+v; want no violation and every state visited",
				tt.safeguard, unmutated)
		}
	}
}

// BenchmarkExplore explores state spaces that are too large for a test, and checks the safeguards whose violations
// are only found in spaces of that size.
func BenchmarkExplore(b *testing.B) {
	for _, tt := range []struct {
		name      string // "sound" means with all safeguards; an ask is a request of each proxy
		mutations mutation.Set
		bounds    Bounds
		violates  bool // the exploration must find a violation
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
				if (result.Violation != "") != tt.violates {
					b.Fatalf("Explore(bounds %+v) = %+v, want that it finds a violation: %v",
						tt.bounds, result, tt.violates)
				}
				complete := 0.0
				if result.Complete && !tt.violates {
					complete = 1
				}
				b.ReportMetric(float64(result.States), "states")
				b.ReportMetric(float64(result.Depth), "depth")
				b.ReportMetric(complete, "complete")
			}
		})
	}
}

// BenchmarkRandomRuns runs one long random run of a different system per iteration: -benchtime 2000x makes 2,000 runs.
func BenchmarkRandomRuns(b *testing.B) {
	seed := uint64(1000)
	steps := 0
	var slowest time.Duration
	for b.Loop() {
		s := settingsOfSeed(seed)
		result := RunRandom(s, seed, 3000)
		if result.Violation != "" || result.GrantedShare < enoughGranted {
			b.Errorf("RunRandom(settings %+v, seed %d) = %v; want no violation and GrantedShare of at least %v",
				s, seed, result, enoughGranted)
		}
		seed++
		steps += result.Steps
		slowest = max(slowest, result.RecoveryTime)
	}
	b.ReportMetric(float64(steps), "moments")
	b.ReportMetric(slowest.Seconds(), "longest-healed-s")
}

// settingsOfSeed returns settings that vary with the seed: kind of quota, size of the fleet, fault rates, and either
// short steps or no floor.
func settingsOfSeed(seed uint64) Settings {
	s := rateSettings()
	if seed%2 == 1 {
		s = inFlightSettings()
	}
	s.Holders = 3 + int(seed/2%10)
	s.Servers = 3 + 2*int(seed/2%2)
	switch seed % 12 / 2 {
	case 1, 4:
		s.FaultRates = quadrupledFaultRates()
	case 2:
		s.MaxStepTime = s.LeaseDuration / 100
	case 3:
		s.Floor = 0
	}
	return s
}

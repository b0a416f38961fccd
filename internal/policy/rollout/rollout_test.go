package rollout

import (
	"errors"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lapisspread/internal/operatorerror"
)

// TestMain gives rapid a fixed seed, so that every run tests the same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Set("rapid.seed", "24") != nil || flag.Set("rapid.nofailfile", "true") != nil {
		panic("package rapid does not define the flags rapid.seed and rapid.nofailfile")
	}
	os.Exit(m.Run())
}

// findViolations simulates rollouts in random fleets and returns descriptions of all violated rules. With mutations it
// stops at the first.
func findViolations(t *testing.T, mutations mutation) []string {
	violations := checkHarmlessVersions(t, mutations)
	if mutations != 0 && len(violations) > 0 {
		return violations
	}
	return append(violations, checkHarmfulVersions(t, mutations)...)
}

// checkHarmlessVersions checks that harmless versions reach all proxies, and that they are stopped no more often than
// the error rate allows, within three standard deviations.
func checkHarmlessVersions(t *testing.T, mutations mutation) (violations []string) {
	const errorRate = 0.02
	runs := 300
	if mutations&(skipTest|ignoreSilent|skipMinRequests) != 0 {
		runs = 20 // these mutations are detected with harmful versions
	}
	stops := 0
	completedRuns := 0
	for i := range runs {
		completedRuns++
		s := simulation{
			n:                 60,
			requestsPerReport: 100,
			reportInterval:    4 * time.Second,
			seed:              uint64(i),
			mutations:         mutations,
			leaving:           i % 2 * 6,
			margin:            0.002,
		}
		state, _, violation := s.run()
		if violation != "" {
			violations = append(violations, violation)
		}
		switch state {
		case Stopped:
			stops++
		case InProgress:
			violations = append(violations, fmt.Sprintf(
				"seed %d: rollout of a harmless version is still %v after 10m, want %v", i, state, Done))
		}
		if mutations != 0 && (len(violations) > 0 || stops > 13) {
			break // the mutation is detected
		}
	}
	t.Logf("mutations %d: harmless versions were stopped in %d of %d rollouts", mutations, stops, completedRuns)
	deviation := math.Sqrt(errorRate * (1 - errorRate) * float64(runs))
	maxStops := errorRate*float64(runs) + 3*deviation
	if float64(stops) > maxStops {
		violations = append(violations, fmt.Sprintf(
			"harmless versions were stopped in %d of %d rollouts, want at most %.1f", stops, completedRuns, maxStops))
	}
	return violations
}

// checkHarmfulVersions checks that harmful versions are stopped before many proxies have them.
func checkHarmfulVersions(t *testing.T, mutations mutation) (violations []string) {
	const runs = 20
	meanShares := map[string]float64{}
	defer func() {
		t.Logf("mutations %d: mean fraction of the fleet that had the version when it was stopped: %.3v",
			mutations, meanShares)
	}()
	for i := range runs {
		if mutations != 0 && len(violations) > 0 {
			return violations
		}
		for name, s := range map[string]simulation{
			"60 proxies, 10% more bad requests":     {n: 60, extraBadShare: 0.1, requestsPerReport: 100},
			"4 proxies, 50% more bad requests":      {n: 4, extraBadShare: 0.5, requestsPerReport: 400},
			"20 proxies, 10% more bad requests":     {n: 20, extraBadShare: 0.1, requestsPerReport: 400},
			"60 proxies, 70% fail with the version": {n: 60, failingShare: 0.7, requestsPerReport: 100},
			"300 proxies, 3% more bad requests":     {n: 300, extraBadShare: 0.03, requestsPerReport: 50},
		} {
			s.reportInterval = 4 * time.Second
			s.seed = uint64(i)
			s.mutations = mutations
			s.margin = 0.002
			state, maxUpdated, _ := s.run()
			meanShares[name] += float64(maxUpdated) / float64(s.n) / runs
			if state != Stopped || maxUpdated > s.n*2/5 {
				violations = append(violations, fmt.Sprintf(
					"%s, seed %d: rollout is %v and %d of %d proxies had the version; want %v and at most %d",
					name, i, state, maxUpdated, s.n, Stopped, s.n*2/5))
			}
		}
		idle := simulation{n: 60, reportInterval: 4 * time.Second, seed: uint64(i), mutations: mutations}
		if state, maxUpdated, _ := idle.run(); state != InProgress || maxUpdated > 10 {
			violations = append(violations, fmt.Sprintf(
				"60 proxies without requests, seed %d: rollout is %v and %d proxies had the version; "+
					"want %v and at most 10", i, state, maxUpdated, InProgress))
		}
	}
	return violations
}

func TestHarmlessVersionsCompleteAndHarmfulOnesStop(t *testing.T) {
	if violations := findViolations(t, 0); len(violations) > 0 {
		t.Errorf("findViolations without mutations found %d violations, want none; the first: %s",
			len(violations), violations[0])
	}
}

// For each mutation, which disables one safeguard, the checks of this package find a violated rule.
func TestMutationsAreDetected(t *testing.T) {
	for name, mutations := range map[string]mutation{
		"no test at a look":               skipTest,
		"whole error rate at each look":   fullErrorRatePerLook,
		"requests treated as independent": poolRequests,
		"silent proxies left out":         ignoreSilent,
		"looks without enough requests":   skipMinRequests,
	} {
		violations := findViolations(t, mutations)
		if len(violations) == 0 {
			t.Errorf("mutation %q: findViolations found no violation, want at least 1", name)
			continue
		}
		t.Logf("mutation %q was detected: %s", name, violations[0])
	}
	for name, mutations := range map[string]mutation{
		"older versions are adopted": acceptStaleVersion,
		"any content is adopted":     skipHashCheck,
	} {
		detected := ""
		for seed := uint64(0); seed < 200 && detected == ""; seed++ {
			detected = checkCurrentVersion(rand.New(rand.NewPCG(seed, 3)), mutations)
		}
		if detected == "" {
			t.Errorf("mutation %q: checkCurrentVersion found no violation with 200 seeds, want at least 1", name)
			continue
		}
		t.Logf("mutation %q was detected: %s", name, detected)
	}
}

// A harmful version is stopped, the next version goes first to the proxies that have it, and a rollback returns the
// fleet to the version before under a new generation.
func TestStopAndRollback(t *testing.T) {
	r, err := New(minuteSteps(), Version{Epoch: 4, Hash: "a"})
	if err != nil {
		t.Fatalf("New(minuteSteps(), epoch 4) failed: %v", err)
	}
	if r.Rollback() == nil {
		t.Error("Rollback() before the first rollout succeeded, want an error")
	}
	var names []string
	for i := range 40 {
		names = append(names, fmt.Sprint("p", i))
	}
	r.SetMembers(0, names)
	var stale StaleVersionError
	if err := r.Start(0, 4, "b", 1); !errors.As(err, &stale) {
		t.Errorf("Start(epoch 4, which the fleet has) = %v, want a StaleVersionError", err)
	}
	if err := r.Start(0, 6, "b", 1); err != nil {
		t.Fatalf("Start(epoch 6) failed: %v", err)
	}
	now, stopped := checkHarmfulStop(t, r, names)
	checkFixedVersion(t, r, now, names, stopped)

	if err := r.Rollback(); err != nil {
		t.Fatalf("Rollback() in the rollout of epoch 7 failed: %v", err)
	}
	current := NewCurrentVersion(Version{0, 7, "c"})
	target := r.Target(names[0])
	adoptErr := current.AdoptText(target, nil)
	if target != (Version{1, 4, "a"}) || errors.As(adoptErr, &stale) {
		t.Errorf("after Rollback(): Target = %+v, and a proxy with epoch 7 adopts it with error %v; "+
			"want %+v and no StaleVersionError", target, adoptErr, Version{1, 4, "a"})
	}
	if err := r.Start(now, 7, "d", 2); !errors.As(err, &stale) {
		t.Errorf("Start(epoch 7) after its rollback = %v, want a StaleVersionError", err)
	}
	if err := r.Start(now, 8, "d", 2); err != nil {
		t.Fatalf("Start(epoch 8) after the rollback failed: %v", err)
	}
	if got := r.Target(targetedAt(r, names, 8)[0]); got.Generation != 1 {
		t.Errorf("Start(epoch 8) after the rollback: Target of a drawn proxy = %+v, want generation 1", got)
	}
}

// targetedAt returns the names of the proxies whose target version has the epoch.
func targetedAt(r *Rollout, names []string, epoch uint64) (targeted []string) {
	for _, name := range names {
		if r.Target(name).Epoch == epoch {
			targeted = append(targeted, name)
		}
	}
	return targeted
}

// checkHarmfulStop simulates the rollout of epoch 6, with which a fifth of the requests is bad, until it stops. It
// returns the time and the proxies that have epoch 6.
func checkHarmfulStop(t *testing.T, r *Rollout, names []string) (now time.Duration, drawn []string) {
	t.Helper()
	drawn = targetedAt(r, names, 6)
	sequence := uint64(0)
	for range 60 {
		now += 4 * time.Second
		for _, name := range names {
			sequence++
			target := r.Target(name)
			bad := int64(0)
			if target.Epoch == 6 {
				bad = 200
			}
			r.Report(now, Report{name, sequence, target, 800, bad})
		}
		r.Tick(now)
	}
	state, err := r.State()
	var harm HarmDetectedError
	if state != Stopped || !errors.As(err, &harm) || operatorerror.AdviceOf(err) == "" {
		t.Fatalf("State() = %v, %v (advice %q); want %v with a HarmDetectedError that has advice",
			state, err, operatorerror.AdviceOf(err), Stopped)
	}
	const wantText = "20.00% of requests go bad"
	if !strings.Contains(err.Error(), wantText) {
		t.Fatalf("HarmDetectedError reads %q, want it to contain %q", err, wantText)
	}
	targeted := targetedAt(r, names, 6)
	if !slices.Equal(targeted, drawn) || len(drawn) >= 20 {
		t.Errorf("after the stop %v have epoch 6, at the start %v; want the same proxies, fewer than 20",
			targeted, drawn)
	}
	r.SetMembers(now, append(names, "late"))
	if got := r.Target("late"); got.Epoch != 4 {
		t.Errorf("Target(proxy that joins after the stop) = %+v, want epoch 4", got)
	}
	return now, drawn
}

// checkFixedVersion starts epoch 7. The proxies with the stopped version get it first, and the same number of other
// proxies, which are drawn: only the drawn ones are compared.
func checkFixedVersion(t *testing.T, r *Rollout, now time.Duration, names, stopped []string) {
	t.Helper()
	if err := r.Start(now, 7, "c", 2); err != nil {
		t.Fatalf("Start(epoch 7) failed: %v", err)
	}
	targeted := targetedAt(r, names, 7)
	for _, name := range stopped {
		if !slices.Contains(targeted, name) {
			t.Errorf("Start(epoch 7) gives it to %v, want also to %s, which has the stopped version", targeted, name)
		}
	}
	if len(targeted) != 2*len(stopped) {
		t.Errorf("Start(epoch 7) gives it to %d proxies, want %d, twice as many as have the stopped version",
			len(targeted), 2*len(stopped))
	}
}

// In any sequence of calls, the target of a proxy goes back only by a rollback.
func TestTargetsOnlyRise(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r, err := New(DefaultSettings(), Version{Epoch: 1, Hash: "1"})
		if err != nil {
			t.Fatalf("New(DefaultSettings(), epoch 1) failed: %v", err)
		}
		now := time.Duration(0)
		epoch := uint64(1)
		sequence := uint64(0)
		rollbacks := uint64(0)
		lastTargets := map[string]Version{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 20).Draw(t, "seconds")) * time.Second
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				epoch += rapid.Uint64Range(1, 3).Draw(t, "more")
				if err := r.Start(now, epoch, fmt.Sprint(epoch), epoch); err != nil {
					t.Fatalf("Start(epoch %d) failed: %v", epoch, err)
				}
			case 1:
				if r.Rollback() == nil {
					rollbacks++
				}
			case 2:
				var names []string
				for i := range 20 {
					if rapid.Bool().Draw(t, "there") {
						names = append(names, fmt.Sprint("p", i))
					}
				}
				r.SetMembers(now, names)
			default:
				for name, version := range lastTargets {
					sequence++
					bad := int64(rapid.IntRange(0, 500).Draw(t, "bad"))
					r.Report(now, Report{name, sequence, version, 1000, bad})
				}
				r.Tick(now)
			}
			for i := range 20 {
				name := fmt.Sprint("p", i)
				if r.proxies[name] == nil {
					delete(lastTargets, name)
					continue
				}
				target := r.Target(name)
				if previous, found := lastTargets[name]; found && previous.NewerThan(target) {
					t.Fatalf("Target(%s) = %+v, which is older than the previous target %+v", name, target, previous)
				}
				if target.Generation != rollbacks {
					t.Fatalf("Target(%s) has generation %d, want %d, the number of rollbacks",
						name, target.Generation, rollbacks)
				}
				lastTargets[name] = target
			}
		}
	})
}

// A rollout does not complete while only few of the fleet's proxies are members.
func TestFewMembersAreNotTheFleet(t *testing.T) {
	r, err := New(DefaultSettings(), Version{Epoch: 1, Hash: "a"})
	if err != nil {
		t.Fatalf("New(DefaultSettings(), epoch 1) failed: %v", err)
	}
	names := []string{"p0", "p1", "p2", "p3", "p4", "p5"}
	tick := func(now time.Duration, members []string) State {
		r.SetMembers(now, members)
		r.Tick(now)
		state, _ := r.State()
		return state
	}
	r.SetMembers(0, names)
	if err := r.Start(0, 2, "b", 1); err != nil {
		t.Fatalf("Start(epoch 2) failed: %v", err)
	}
	for i, members := range [][]string{names[:1], nil, names[5:], names} {
		if got := tick(time.Duration(i)*time.Hour, members); got != InProgress {
			t.Errorf("Tick with %d of 6 proxies as members: rollout is %v, want %v", len(members), got, InProgress)
		}
	}
	r, _ = New(DefaultSettings(), Version{Epoch: 1, Hash: "a"})
	r.SetMembers(0, names[:1])
	if err := r.Start(0, 2, "b", 1); err != nil {
		t.Fatalf("Start(epoch 2) in a fleet of 1 failed: %v", err)
	}
	state := tick(time.Second, names[:1])
	if target := r.Target("p0"); state != Done || target.Epoch != 2 {
		t.Errorf("Tick in a fleet of 1: rollout is %v and the target is %+v, want %v and epoch 2", state, target, Done)
	}
}

func TestSettingsAreValidated(t *testing.T) {
	for _, change := range []func(*Settings){
		func(s *Settings) { s.Steps = nil }, func(s *Settings) { s.Steps = []float64{0.5} },
		func(s *Settings) { s.Steps = []float64{0.5, 0.2, 1} },
		func(s *Settings) { s.WatchDuration = 0 }, func(s *Settings) { s.StepDuration = 0 },
		func(s *Settings) { s.SmallFleetErrorRate = 0 },
		func(s *Settings) { s.LooksPerStep = 0 }, func(s *Settings) { s.MinRequests = 0 },
		func(s *Settings) { s.Margin = -1 },
		func(s *Settings) { s.GrossMargin = 0 }, func(s *Settings) { s.ErrorRate = 0 },
		func(s *Settings) { s.SilenceTimeout = 0 },
	} {
		s := DefaultSettings()
		change(&s)
		if _, err := New(s, Version{}); err == nil {
			t.Errorf("New(%+v) succeeded, want an error", s)
		}
	}
	r, err := New(DefaultSettings(), Version{})
	if err != nil {
		t.Fatalf("New(DefaultSettings()) failed: %v", err)
	}
	for n, want := range map[int]bool{1: false, 4: false, 9: false, 10: true, 20: true, 300: true} {
		if got := r.CanDetect(n); got != want {
			t.Errorf("CanDetect(%d proxies) = %v, want %v", n, got, want)
		}
	}
}

// BenchmarkStops simulates rollouts. It reports how many were stopped ("stopped"), and the mean fraction of the fleet
// that had the version when they were stopped ("part").
func BenchmarkStops(b *testing.B) {
	run := func(name string, rollouts int, newSimulation func(i int) simulation) {
		b.Run(name, func(b *testing.B) {
			stops := 0
			updatedShare := 0.0
			for b.Loop() {
				stops = 0
				updatedShare = 0
				for i := range rollouts {
					s := newSimulation(i)
					s.reportInterval = 4 * time.Second
					if state, maxUpdated, _ := s.run(); state == Stopped {
						stops++
						updatedShare += float64(maxUpdated) / float64(s.n)
					}
				}
			}
			b.ReportMetric(float64(stops), "stopped")
			b.ReportMetric(updatedShare/float64(max(1, stops)), "part")
		})
	}
	for _, n := range []int{10, 60} {
		for name, mutations := range map[string]mutation{
			"rule":       0,
			"whole rate": fullErrorRatePerLook,
			"pooled":     poolRequests,
		} {
			for _, margin := range []float64{0.002, 0} {
				run(fmt.Sprintf("harmless/%d/%s/margin %v", n, name, margin), 2000, func(i int) simulation {
					return simulation{
						n:                 n,
						requestsPerReport: 100,
						seed:              uint64(i + 5000),
						mutations:         mutations,
						leaving:           i % 2 * n / 10,
						margin:            margin,
					}
				})
			}
		}
	}
	for _, n := range []int{10, 20, 60, 300, 1000} {
		for _, harm := range []float64{0.01, 0.02, 0.05, 0.1} {
			run(fmt.Sprintf("harm/%d/%v", n, harm), 50, func(i int) simulation {
				return simulation{
					n:                 n,
					requestsPerReport: 100,
					extraBadShare:     harm,
					seed:              uint64(i + 100),
					margin:            0.002,
				}
			})
		}
	}
}

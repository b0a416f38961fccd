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

// TestMain has rapid play the same cases in every run.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Set("rapid.seed", "24") != nil || flag.Set("rapid.nofailfile", "true") != nil {
		panic("rapid has no such flags")
	}
	os.Exit(m.Run())
}

// findViolations plays rollouts in random fleets and returns what is wrong.
func findViolations(t *testing.T, mutations mutation) []string {
	wrong := playHarmless(t, mutations)
	if mutations != 0 && len(wrong) > 0 {
		return wrong
	}
	return append(wrong, playHarmful(t, mutations)...)
}

// playHarmless checks that harmless versions reach all proxies, and are stopped no more often than the error rate says,
// within three standard deviations.
func playHarmless(t *testing.T, mutations mutation) (wrong []string) {
	const errorRate = 0.02
	plays := 300
	if mutations&(skipTest|ignoreSilent|skipMinRequests) != 0 {
		plays = 20 // these err towards harmful versions
	}
	stops, played := 0, 0
	for i := range plays {
		played++
		w := simulation{
			n:                 60,
			requestsPerReport: 100,
			reportInterval:    4 * time.Second,
			seed:              uint64(i),
			mutations:         mutations,
			leaving:           i % 2 * 6,
			margin:            0.002,
		}
		state, _, violation := w.play()
		if violation != "" {
			wrong = append(wrong, violation)
		}
		switch state {
		case Stopped:
			stops++
		case InProgress:
			wrong = append(wrong, "a harmless version never reaches all")
		}
		if mutations != 0 && (len(wrong) > 0 || stops > 13) {
			break // detected
		}
	}
	t.Logf("mutations %d: a harmless version was stopped in %d of %d", mutations, stops, played)
	deviation := math.Sqrt(errorRate * (1 - errorRate) * float64(plays))
	if float64(stops) > errorRate*float64(plays)+3*deviation {
		wrong = append(wrong, fmt.Sprintf("a harmless version was stopped in %d of %d", stops, played))
	}
	return wrong
}

// playHarmful checks that harmful versions are stopped before many proxies have them.
func playHarmful(t *testing.T, mutations mutation) (wrong []string) {
	const plays = 20
	share := map[string]float64{}
	defer func() {
		t.Logf("mutations %d: mean share that had the version when it was stopped: %.3v", mutations, share)
	}()
	for i := range plays {
		if mutations != 0 && len(wrong) > 0 {
			return wrong
		}
		for name, w := range map[string]simulation{
			"a tenth more goes bad":      {n: 60, extraBadShare: 0.1, requestsPerReport: 100},
			"half goes bad, small fleet": {n: 4, extraBadShare: 0.5, requestsPerReport: 400},
			"a tenth, fleet of twenty":   {n: 20, extraBadShare: 0.1, requestsPerReport: 400},
			"most that adopt it die":     {n: 60, dyingShare: 0.7, requestsPerReport: 100},
			"3 more of 100 go bad":       {n: 300, extraBadShare: 0.03, requestsPerReport: 50},
		} {
			w.reportInterval = 4 * time.Second
			w.seed = uint64(i)
			w.mutations = mutations
			w.margin = 0.002
			state, most, _ := w.play()
			share[name] += float64(most) / float64(w.n) / plays
			if state != Stopped || most > w.n*2/5 {
				wrong = append(wrong, fmt.Sprintf("%s: %v, and %d of %d had it", name, state, most, w.n))
			}
		}
		w := simulation{n: 60, reportInterval: 4 * time.Second, seed: uint64(i), mutations: mutations}
		if state, most, _ := w.play(); state != InProgress || most > 10 {
			wrong = append(wrong, fmt.Sprintf("with no requests: %v, and %d had it", state, most))
		}
	}
	return wrong
}

func TestHarmlessVersionsCompleteAndHarmfulOnesStop(t *testing.T) {
	if wrong := findViolations(t, 0); len(wrong) > 0 {
		t.Errorf("%d: %s", len(wrong), wrong[0])
	}
}

func TestMutationsAreDetected(t *testing.T) {
	for name, mutations := range map[string]mutation{
		"no test":                           skipTest,
		"the whole error rate at each look": fullErrorRatePerLook,
		"requests counted as independent":   poolRequests,
		"silent ones left out":              ignoreSilent,
		"looks without requests":            skipMinRequests,
	} {
		wrong := findViolations(t, mutations)
		if len(wrong) == 0 {
			t.Errorf("%s: not detected", name)
			continue
		}
		t.Logf("%s: %s", name, wrong[0])
	}
	for name, mutations := range map[string]mutation{
		"older epochs are adopted": acceptStaleVersion,
		"any content":              skipHashCheck,
	} {
		detected := ""
		for i := uint64(0); i < 200 && detected == ""; i++ {
			detected = playCurrentVersion(rand.New(rand.NewPCG(i, 3)), mutations)
		}
		t.Logf("%s: %s", name, detected)
		if detected == "" {
			t.Errorf("%s: not detected", name)
		}
	}
}

func TestStopAndRollback(t *testing.T) {
	r, err := New(minuteSteps(), Version{Epoch: 4, Hash: "a"})
	if err != nil {
		t.Fatal(err)
	}
	if r.Rollback() == nil {
		t.Error("rolled back without a version before")
	}
	var names []string
	for i := range 40 {
		names = append(names, fmt.Sprint("p", i))
	}
	r.SetMembers(0, names)
	var stale StaleVersionError
	if err := r.Start(0, 4, "b", 1); !errors.As(err, &stale) {
		t.Errorf("a used epoch: %v", err)
	}
	if err := r.Start(0, 6, "b", 1); err != nil {
		t.Fatal(err)
	}
	now, first := checkHarmfulStop(t, r, names)
	checkFixedVersion(t, r, now, names, first)

	if err := r.Rollback(); err != nil {
		t.Fatal(err)
	}
	current := NewCurrentVersion(Version{0, 7, "c"})
	target := r.Target(names[0])
	if target != (Version{1, 4, "a"}) || errors.As(current.AdoptText(target, nil), &stale) {
		t.Errorf("after a rollback: %+v", target)
	}
	if err := r.Start(now, 7, "d", 2); !errors.As(err, &stale) {
		t.Errorf("epoch 7 is accepted again: %v", err)
	}
	if err := r.Start(now, 8, "d", 2); err != nil || r.Target(targetedAt(r, names, 8)[0]).Generation != 1 {
		t.Errorf("after the rollback: %v", err)
	}
}

// targetedAt returns the proxies that are to have an epoch.
func targetedAt(r *Rollout, names []string, epoch uint64) (targeted []string) {
	for _, name := range names {
		if r.Target(name).Epoch == epoch {
			targeted = append(targeted, name)
		}
	}
	return targeted
}

// checkHarmfulStop plays epoch 6, under which a fifth of the requests is bad, until it stops. It returns the proxies
// that have it.
func checkHarmfulStop(t *testing.T, r *Rollout, names []string) (now time.Duration, first []string) {
	t.Helper()
	first = targetedAt(r, names, 6)
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
		t.Fatalf("%v %v", state, err)
	}
	if !strings.Contains(err.Error(), "20.00% of requests go bad") {
		t.Fatalf("%v %v", state, err)
	}
	targeted := targetedAt(r, names, 6)
	if !slices.Equal(targeted, first) || len(first) >= 20 {
		t.Errorf("stopped, and %d have it; %d had it first", len(targeted), len(first))
	}
	r.SetMembers(now, append(names, "late"))
	if got := r.Target("late"); got.Epoch != 4 {
		t.Errorf("a proxy that joins gets a stopped version: %+v", got)
	}
	return now, first
}

// checkFixedVersion starts epoch 7. It goes first to the proxies with the stopped version, and to as many others as a
// first step has, drawn from the rest: only these are compared.
func checkFixedVersion(t *testing.T, r *Rollout, now time.Duration, names, first []string) {
	t.Helper()
	if err := r.Start(now, 7, "c", 2); err != nil {
		t.Fatal(err)
	}
	targeted := targetedAt(r, names, 7)
	for _, name := range first {
		if !slices.Contains(targeted, name) {
			t.Errorf("the fixed version begins with %v, the stopped one was at %v", targeted, first)
		}
	}
	if len(targeted) != 2*len(first) {
		t.Errorf("the fixed version begins with %v: twice as many were wanted as %v", targeted, first)
	}
}

// Whatever happens, the target of a proxy goes back only by a rollback of an operator.
func TestTargetsOnlyRise(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r, err := New(DefaultSettings(), Version{Epoch: 1, Hash: "1"})
		if err != nil {
			t.Fatal(err)
		}
		now, epoch, number, backs := time.Duration(0), uint64(1), uint64(0), uint64(0)
		seen := map[string]Version{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 20).Draw(t, "seconds")) * time.Second
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				epoch += rapid.Uint64Range(1, 3).Draw(t, "more")
				if err := r.Start(now, epoch, fmt.Sprint(epoch), epoch); err != nil {
					t.Fatal(err)
				}
			case 1:
				if r.Rollback() == nil {
					backs++
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
				for name, o := range seen {
					number++
					r.Report(now, Report{name, number, o, 1000, int64(rapid.IntRange(0, 500).Draw(t, "bad"))})
				}
				r.Tick(now)
			}
			for i := range 20 {
				name := fmt.Sprint("p", i)
				if r.proxies[name] == nil {
					delete(seen, name)
					continue
				}
				o := r.Target(name)
				if was, there := seen[name]; there && was.NewerThan(o) {
					t.Fatalf("%s: %+v after %+v", name, o, was)
				}
				if o.Generation != backs {
					t.Fatalf("%s: order %d, %d rollbacks", name, o.Generation, backs)
				}
				seen[name] = o
			}
		}
	})
}

// A fleet of which few proxies are left for a moment does not complete a rollout.
func TestFewMembersAreNotTheFleet(t *testing.T) {
	r, err := New(DefaultSettings(), Version{Epoch: 1, Hash: "a"})
	if err != nil {
		t.Fatal(err)
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
		t.Fatal(err)
	}
	for i, members := range [][]string{names[:1], nil, names[5:], names} {
		if got := tick(time.Duration(i)*time.Hour, members); got != InProgress {
			t.Errorf("%d of 6 left: %v", len(members), got)
		}
	}
	r, _ = New(DefaultSettings(), Version{Epoch: 1, Hash: "a"})
	r.SetMembers(0, names[:1])
	if err := r.Start(0, 2, "b", 1); err != nil || tick(time.Second, names[:1]) != Done || r.Target("p0").Epoch != 2 {
		t.Errorf("a fleet of one: %v", err)
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
			t.Errorf("%+v is accepted", s)
		}
	}
	r, err := New(DefaultSettings(), Version{})
	if err != nil {
		t.Fatal(err)
	}
	for n, want := range map[int]bool{1: false, 4: false, 9: false, 10: true, 20: true, 300: true} {
		if got := r.CanDetect(n); got != want {
			t.Errorf("a fleet of %d: can detect: %v", n, got)
		}
	}
}

// BenchmarkStops reports how many rollouts were stopped, and the mean part of the fleet that had the version by then.
func BenchmarkStops(b *testing.B) {
	run := func(name string, plays int, w func(i int) simulation) {
		b.Run(name, func(b *testing.B) {
			stops, part := 0, 0.0
			for b.Loop() {
				stops, part = 0, 0
				for i := range plays {
					x := w(i)
					x.reportInterval = 4 * time.Second
					if state, most, _ := x.play(); state == Stopped {
						stops++
						part += float64(most) / float64(x.n)
					}
				}
			}
			b.ReportMetric(float64(stops), "stopped")
			b.ReportMetric(part/float64(max(1, stops)), "part")
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

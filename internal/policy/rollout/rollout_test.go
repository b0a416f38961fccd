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

// minuteSteps are settings with steps of a minute and a high error rate.
func minuteSteps() Settings {
	s := DefaultSettings()
	s.Steps, s.StepDuration, s.LooksPerStep, s.MinRequests, s.ErrorRate, s.SmallFleetErrorRate = []float64{0.03, 0.1,
		0.3, 1}, time.Minute, 4, 2000, 0.02, 0.02
	return s
}

// simulation plays one rollout in a fleet whose proxies differ in their share of bad requests.
type simulation struct {
	n                 int
	extraBadShare     float64 // with the new version
	dyingShare        float64 // of the proxies that adopt it
	requestsPerReport int64   // 0 is no traffic
	mutations         mutation
	seed              uint64
	reportInterval    time.Duration
	leaving           int // proxies that leave
	margin            float64
}

// play returns the state at the end, the most proxies that ever had the version, and what must never happen.
func (w *simulation) play() (State, int, string) {
	rng := rand.New(rand.NewPCG(w.seed, 1))
	set := minuteSteps()
	set.Margin = w.margin
	r, err := New(set, Version{Epoch: 1, Hash: "old"})
	if err != nil {
		panic(err)
	}
	r.mutations = w.mutations
	var names []string
	bad, dead, number := map[string]float64{}, map[string]bool{}, uint64(0)
	has := map[string]Version{}
	for i := range w.n {
		names = append(names, fmt.Sprint("p", i))
		// Most proxies see few bad requests, some many.
		bad[names[i]] = 0.01 * rng.ExpFloat64()
		has[names[i]] = Version{Epoch: 1, Hash: "old"}
	}
	r.SetMembers(0, names)
	if err := r.Start(0, 2, "new", w.seed); err != nil {
		panic(err)
	}
	most := 0
	for now := time.Duration(0); now < 10*time.Minute; now += w.reportInterval {
		if w.leaving > 0 && len(names) > w.n-w.leaving && rng.IntN(3) == 0 {
			gone := rng.IntN(len(names))
			names = slices.Delete(names, gone, gone+1)
			r.SetMembers(now, names)
		}
		have := 0
		for _, name := range names {
			o := r.Target(name)
			if o.Epoch < has[name].Epoch {
				return 0, 0, "a proxy goes back without a rollback"
			}
			if o != has[name] {
				has[name] = o
				dead[name] = rng.Float64() < w.dyingShare
			}
			if o.Epoch == 2 {
				have++
			}
			if dead[name] {
				continue
			}
			share := min(1, bad[name])
			if has[name].Epoch == 2 {
				share = min(1, share+w.extraBadShare)
			}
			number++
			lost := int64(0)
			for i := goodBeforeBad(rng, share); i < w.requestsPerReport; i += 1 + goodBeforeBad(rng, share) {
				lost++
			}
			t := Report{name, number, has[name], w.requestsPerReport - lost, lost}
			r.Report(now, t)
			r.Report(now, t) // a repeated report counts once
		}
		most = max(most, have)
		r.Tick(now)
		if state, _ := r.State(); state != InProgress {
			return state, most, ""
		}
	}
	state, _ := r.State()
	return state, most, ""
}

// goodBeforeBad returns how many requests succeed before the next bad one, from a geometric distribution.
func goodBeforeBad(rng *rand.Rand, share float64) int64 {
	if share <= 0 {
		return math.MaxInt32
	}
	return int64(min(math.MaxInt32, math.Log(1-rng.Float64())/math.Log1p(-min(share, 0.999))))
}

// findViolations plays rollouts in random fleets and returns what is wrong.
func findViolations(t *testing.T, mutations mutation) (wrong []string) {
	plays := 300
	if mutations&(skipTest|ignoreSilent|skipMinRequests) != 0 {
		plays = 20 // these err towards harmful versions
	}
	// A harmless version is stopped no more often than the error rate says, within three standard deviations.
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
		state, _, bad := w.play()
		if bad != "" {
			wrong = append(wrong, bad)
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
	if bound := 0.02*float64(plays) + 3*math.Sqrt(0.02*0.98*float64(plays)); float64(stops) > bound {
		wrong = append(wrong, fmt.Sprintf("a harmless version was stopped in %d of %d", stops, played))
	}
	if mutations != 0 && len(wrong) > 0 {
		return wrong
	}
	had := map[string]float64{}
	defer func() {
		t.Logf("mutations %d: mean share that had the version when it was stopped: %.3v", mutations, had)
	}()
	for i := range 20 {
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
			w.reportInterval, w.seed, w.mutations, w.margin = 4*time.Second, uint64(i), mutations, 0.002
			state, most, _ := w.play()
			had[name] += float64(most) / float64(w.n) / 20
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
	for name, mutations := range map[string]mutation{"no test": skipTest,
		"the whole error rate at each look": fullErrorRatePerLook, "requests counted as independent": poolRequests,
		"silent ones left out": ignoreSilent, "looks without requests": skipMinRequests} {
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
	set := minuteSteps()
	r, err := New(set, Version{Epoch: 4, Hash: "a"})
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
	var old StaleVersionError
	if err := r.Start(0, 4, "b", 1); !errors.As(err, &old) {
		t.Errorf("a used epoch: %v", err)
	}
	if err := r.Start(0, 6, "b", 1); err != nil {
		t.Fatal(err)
	}
	with := func(epoch uint64) (out []string) {
		for _, name := range names {
			if r.Target(name).Epoch == epoch {
				out = append(out, name)
			}
		}
		return out
	}
	first := with(6)
	now, number := time.Duration(0), uint64(0)
	for range 60 {
		now += 4 * time.Second
		for _, name := range names {
			number++
			o := r.Target(name)
			bad := int64(0)
			if o.Epoch == 6 {
				bad = 200
			}
			r.Report(now, Report{name, number, o, 800, bad})
		}
		r.Tick(now)
	}
	var stop HarmDetectedError
	if state, err := r.State(); state != Stopped || !errors.As(err, &stop) || !strings.Contains(
		err.Error(), "20.00% of requests go bad",
	) || operatorerror.Of(err) == "" {
		t.Fatalf("%v %v", state, err)
	}
	if !slices.Equal(with(6), first) || len(first) >= 20 {
		t.Errorf("stopped, and %d have it; %d had it first", len(with(6)), len(first))
	}
	r.SetMembers(now, append(names, "late"))
	if got := r.Target("late"); got.Epoch != 4 {
		t.Errorf("a proxy that joins gets a stopped version: %+v", got)
	}
	// A fixed version goes first to the proxies with the stopped one, and to as many others as a first step has, drawn
	// from the rest: only these are compared.
	if err := r.Start(now, 7, "c", 2); err != nil {
		t.Fatal(err)
	}
	got := with(7)
	for _, name := range first {
		if !slices.Contains(got, name) {
			t.Errorf("the fixed version begins with %v, the stopped one was at %v", got, first)
		}
	}
	if len(got) != 2*len(first) {
		t.Errorf(
			"the fixed version begins with %v, the stopped one was at %v: as many are drawn beside them", got, first,
		)
	}
	if err := r.Rollback(); err != nil {
		t.Fatal(err)
	}
	h := NewCurrentVersion(Version{0, 7, "c"})
	o := r.Target(names[0])
	if o != (Version{1, 4, "a"}) || errors.As(h.AdoptText(o, nil), &old) {
		t.Errorf("after a rollback: %+v", o)
	}
	if err := r.Start(now, 7, "d", 2); !errors.As(err, &old) {
		t.Errorf("epoch 7 is accepted again: %v", err)
	}
	if err := r.Start(now, 8, "d", 2); err != nil || r.Target(with(8)[0]).Generation != 1 {
		t.Errorf("after the rollback: %v", err)
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

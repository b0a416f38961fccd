package rollout

import (
	"errors"
	"testing"
	"time"

	"lapisspread/internal/operatorerror"
)

// A stop by chance does not repeat with the same proxies: the next version is compared on others.
func TestChanceStopDoesNotRepeat(t *testing.T) {
	again := func(mutations mutation) (stops int) {
		for seed := range uint64(20) {
			l := newFleetSim(t, seed, 300, mutations)
			l.start(t, 2+seed*10)
			first := map[string]bool{} // these fail for reasons that have nothing to do with the version
			for _, m := range l.proxies {
				first[m.name] = l.rollout.Target(m.name).Epoch != 1
			}
			l.extraBadShare = func(m *simProxy) float64 {
				if first[m.name] {
					return 0.1
				}
				return 0
			}
			if l.runUntilEnd(time.Minute) != Stopped {
				t.Fatal("failures of just those with the version do not stop it")
			}
			l.start(t, 3+seed*10)
			for name, was := range first {
				if was && l.rollout.Target(name).Epoch != 3+seed*10 {
					t.Fatal("a proxy with the stopped version does not get the next one first")
				}
			}
			if l.runUntilEnd(time.Minute) == Stopped {
				stops++
			}
		}
		return stops
	}
	if n := again(0); n > 0 {
		t.Errorf("%d of 20 were stopped again", n)
	}
	if n := again(compareTargeted); n == 0 {
		t.Error("not detected: the same proxies are compared again")
	}
}

// A third of the proxies join at one moment and are warming up: a harmless version completes, a harmful one is stopped.
func TestThirdOfFleetJoinsAtOnce(t *testing.T) {
	play := func(mutations mutation, seed uint64, harm float64) (State, int) {
		l := newFleetSim(t, seed, 200, mutations)
		l.start(t, 2)
		l.runUntilEnd(time.Second)
		l.join(100)
		l.extraBadShare = func(m *simProxy) float64 {
			share := 0.0
			if m.joinedAt > 0 && l.now-m.joinedAt < 30*time.Second {
				share = 0.2
			}
			if m.current.Epoch == 2 {
				share += harm
			}
			return share
		}
		state := l.runUntilEnd(time.Minute)
		return state, l.countAtEpoch(2)
	}
	missed := 0
	for seed := range uint64(15) {
		if state, _ := play(0, seed, 0); state != Done {
			t.Errorf("seed %d: a harmless version: %v", seed, state)
		}
		if state, had := play(0, seed, 0.06); state != Stopped || had > 100 {
			t.Errorf("seed %d: a harmful one: %v, and %d had it", seed, state, had)
		}
		if state, _ := play(compareLate, seed, 0.06); state != Stopped {
			missed++
		}
	}
	if missed == 0 {
		t.Error("not detected: late proxies are compared")
	}
}

// Where most of the fleet joins after the draw, it is made anew and the version still reaches all.
func TestMostOfFleetJoins(t *testing.T) {
	for _, n := range []int{0, 1, 3, 30} {
		l := newFleetSim(t, 1, n, 0)
		l.start(t, 2)
		l.runUntilEnd(time.Second)
		for range 10 {
			l.join(20)
			l.runUntilEnd(300 * time.Millisecond)
		}
		if state := l.runUntilEnd(time.Minute); state != Done {
			t.Errorf("%d, then 200 more: %v", n, state)
		}
	}
}

// A leader that gets no reports for a while takes that neither for success nor for harm.
func TestLeaderWithoutReportsWaits(t *testing.T) {
	play := func(mutations mutation, harm float64, from time.Duration) (State, int) {
		l := newFleetSim(t, 3, 300, mutations)
		l.start(t, 2)
		l.extraBadShare = func(m *simProxy) float64 {
			if m.current.Epoch == 2 {
				return harm
			}
			return 0
		}
		l.runUntilEnd(from)
		l.deaf = true
		l.runUntilEnd(20 * time.Second)
		l.deaf = false
		state := l.runUntilEnd(time.Minute)
		return state, l.countAtEpoch(2)
	}
	wrong := 0
	for from := 200 * time.Millisecond; from < 5*time.Second; from += 200 * time.Millisecond {
		if state, had := play(0, 0.3, from); state != Stopped || had > 80 {
			t.Errorf("a harmful version, deaf from %v: %v, and %d had it", from, state, had)
		}
		if state, _ := play(0, 0, from); state != Done {
			t.Errorf("a harmless version, deaf from %v: %v", from, state)
		}
		if state, _ := play(ignoreSilentControl, 0, from); state != Done {
			wrong++
		}
	}
	if wrong == 0 {
		t.Error("not detected: looks are taken without reports")
	}
}

// Reports that take longer than a step make a rollout slow; a harmless version completes and a harmful one is stopped.
func TestSlowReports(t *testing.T) {
	for _, part := range []int{10, 1} { // every so many
		for _, harm := range []float64{0, 0.1} {
			l := newFleetSim(t, 5, 300, 0)
			l.start(t, 2)
			l.extraBadShare = func(m *simProxy) float64 {
				if m.current.Epoch == 2 {
					return harm
				}
				return 0
			}
			for i, m := range l.proxies {
				if i%part == 0 {
					m.interval = 4 * time.Second
				}
			}
			state := l.runUntilEnd(5 * time.Minute)
			if state != Stopped && harm > 0 || state != Done && harm == 0 {
				t.Errorf("one in %d is slow, harm %v: %v", part, harm, state)
			}
		}
	}
}

// A leader that does not know which proxies have a stopped version learns it from reports, and replaces it there first.
func TestStoppedVersionsAreReplacedFirst(t *testing.T) {
	l := newFleetSim(t, 4, 300, 0)
	for _, m := range l.proxies[:10] {
		m.current = Version{Epoch: 2, Hash: "2"}
	}
	l.start(t, 3)
	l.runUntilEnd(2200 * time.Millisecond)
	for _, m := range l.proxies[:10] {
		if m.current.Epoch != 3 {
			t.Errorf("%s still has epoch %d", m.name, m.current.Epoch)
		}
	}
	if state := l.runUntilEnd(time.Minute); state != Done {
		t.Errorf("the replacing version ends as %v, want %v", state, Done)
	}
}

// A version of which most proxies die is stopped.
func TestProxiesDieOfVersion(t *testing.T) {
	for seed := range uint64(10) {
		l := newFleetSim(t, seed, 300, 0)
		l.start(t, 2)
		for range 100 {
			state := l.runUntilEnd(100 * time.Millisecond)
			for _, m := range l.proxies {
				if m.current.Epoch == 2 {
					m.nextReport = 1 << 60
				}
			}
			if state != InProgress {
				break
			}
		}
		state, reason := l.rollout.State()
		if state != Stopped || operatorerror.AdviceOf(reason) == "" || l.countAtEpoch(2) > 90 {
			t.Errorf("seed %d: %v, and %d had it", seed, state, l.countAtEpoch(2))
		}
	}
}

// Proxies that die on both sides for other reasons do not hide the harm to the rest.
func TestUnrelatedDeathsDoNotHideHarm(t *testing.T) {
	play := func(mutations mutation, seed uint64, harm float64) State {
		l := newFleetSim(t, seed, 300, mutations)
		l.start(t, 2)
		l.extraBadShare = func(m *simProxy) float64 {
			if m.current.Epoch == 2 {
				return harm
			}
			return 0
		}
		l.runUntilEnd(500 * time.Millisecond)
		for i, m := range l.proxies {
			if i%15 == 0 {
				m.nextReport = 1 << 60
			}
		}
		return l.runUntilEnd(time.Minute)
	}
	missed := 0
	for seed := range uint64(15) {
		if state := play(0, seed, 0.05); state != Stopped {
			t.Errorf("seed %d: a harmful one: %v", seed, state)
		}
		if state := play(0, seed, 0); state != Done {
			t.Errorf("seed %d: one that does no harm: %v", seed, state)
		}
		if play(skipReportingTest, seed, 0.05) != Stopped {
			missed++
		}
	}
	if missed == 0 {
		t.Error("not detected: silent proxies hide the harm")
	}
}

// Most of the few proxies of a first step may die together with others, as with a rack: that does not stop a rollout.
// In a small fleet of which all proxies with the version die, it does.
func TestRackFailure(t *testing.T) {
	stops := func(mutations mutation) (n int) {
		for seed := range uint64(400) {
			l := newFleetSim(t, seed, 60, mutations)
			l.start(t, 2+seed)
			l.runUntilEnd(time.Duration(l.rng.IntN(10)) * 100 * time.Millisecond)
			for range 6 {
				l.proxies[l.rng.IntN(60)].nextReport = 1 << 60
			}
			if l.runUntilEnd(time.Minute) == Stopped {
				n++
			}
		}
		return n
	}
	if n := stops(0); n > 0 {
		t.Errorf("%d of 400 were stopped", n)
	}
	if n := stops(skipGrossSignificance); n == 0 {
		t.Error("not detected: a few silent proxies stop a step")
	}
	l := newFleetSim(t, 1, 10, 0)
	l.proxies[3].nextReport = 1 << 60
	l.start(t, 2)
	for range 200 {
		state := l.runUntilEnd(100 * time.Millisecond)
		for _, m := range l.proxies {
			if m.current.Epoch == 2 {
				m.nextReport = 1 << 60
			}
		}
		if state != InProgress {
			break
		}
	}
	if state, _ := l.rollout.State(); state != Stopped {
		t.Errorf("all that have it die, and one besides: %v", state)
	}
}

// A version that most proxies cannot adopt is stopped with an error; where only a few cannot, the rollout goes on.
func TestVersionThatCannotBeAdopted(t *testing.T) {
	play := func(mutations mutation, each int) (State, error) {
		l := newFleetSim(t, 1, 300, mutations)
		n := map[string]int{}
		for i, m := range l.proxies {
			n[m.name] = i
		}
		l.adopts = func(m *simProxy) bool { return n[m.name]%each == 0 }
		l.start(t, 2)
		l.runUntilEnd(10 * time.Minute)
		return l.rollout.State()
	}
	var not NotAdoptedError
	if state, err := play(0, 5); state != Stopped || !errors.As(err, &not) || operatorerror.AdviceOf(err) == "" {
		t.Errorf("%v %v", state, err)
	}
	if state, err := play(0, 1); state != Done {
		t.Errorf("%v %v", state, err)
	}
	if state, _ := play(waitForever, 5); state != InProgress {
		t.Errorf("not detected: it waits for ever: %v", state)
	}
}

// Where the drawn proxies have too few requests and others have enough, more are drawn; without any requests the step
// waits.
func TestMostProxiesAreIdle(t *testing.T) {
	play := func(mutations mutation, busy int, harm float64) (State, int) {
		l := newFleetSim(t, 2, 300, mutations)
		n := map[string]int{}
		for i, m := range l.proxies {
			n[m.name] = i
		}
		l.idle = func(m *simProxy) bool { return n[m.name] >= busy }
		l.extraBadShare = func(m *simProxy) float64 {
			if m.current.Epoch == 2 {
				return harm
			}
			return 0
		}
		l.start(t, 2)
		state := l.runUntilEnd(20 * time.Minute)
		return state, l.countAtEpoch(2)
	}
	if state, _ := play(0, 12, 0); state != Done {
		t.Errorf("with 12 busy proxies of 300 a harmless version ends as %v, want %v", state, Done)
	}
	if state, had := play(0, 12, 0.5); state != Stopped || had > 150 {
		t.Errorf("%v, and %d had it", state, had)
	}
	if state, had := play(0, 0, 0); state != InProgress || had > 9 {
		t.Errorf("without requests: %v, and %d had it", state, had)
	}
	if state, _ := play(waitForever, 2, 0); state == Done {
		t.Error("not detected: it waits for ever")
	}
}

// The error rate of a small fleet is as low as its draws allow, and never above the configured one.
func TestSmallFleetErrorRate(t *testing.T) {
	set := DefaultSettings()
	before := 1.0
	for _, n := range []int{2, 6, 10, 14, 18, 22, 30, 32, 300, 9400} {
		r, err := New(set, Version{})
		if err != nil {
			t.Fatal(err)
		}
		_, errs := r.planLooks(n)
		if errs > set.SmallFleetErrorRate || errs < set.ErrorRate || errs > before {
			t.Errorf("%d proxies: %v", n, errs)
		}
		if n >= 32 && errs != set.ErrorRate {
			t.Errorf("%d proxies: %v", n, errs)
		}
		before = errs
	}
}

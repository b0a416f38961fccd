package rollout

import (
	"errors"
	"testing"
	"time"

	"lapisspread/internal/operatorerror"
)

// Some proxies fail for reasons other than the version, and a rollout that happens to draw them is stopped. The next
// version goes to these proxies too, but the comparison leaves them out: otherwise it would be stopped as well.
func TestChanceStopDoesNotRepeat(t *testing.T) {
	countRepeatedStops := func(mutations mutation) (stops int) {
		for seed := range uint64(20) {
			fleet := newFleetSim(t, seed, 300, mutations)
			fleet.start(t, 2+seed*10)
			drawnFirst := map[string]bool{} // their failures have nothing to do with the version
			for _, p := range fleet.proxies {
				drawnFirst[p.name] = fleet.rollout.Target(p.name).Epoch != 1
			}
			fleet.extraBadShare = func(p *simProxy) float64 {
				if drawnFirst[p.name] {
					return 0.1
				}
				return 0
			}
			if state := fleet.runUntilEnd(time.Minute); state != Stopped {
				t.Fatalf("seed %d: proxies with the first version see 10%% more bad requests: rollout is %v, want %v",
					seed, state, Stopped)
			}
			fleet.start(t, 3+seed*10)
			for name, wasDrawn := range drawnFirst {
				if got := fleet.rollout.Target(name).Epoch; wasDrawn && got != 3+seed*10 {
					t.Fatalf("seed %d: Target(%s), which has the stopped version, is epoch %d; want next epoch %d",
						seed, name, got, 3+seed*10)
				}
			}
			if fleet.runUntilEnd(time.Minute) == Stopped {
				stops++
			}
		}
		return stops
	}
	if n := countRepeatedStops(0); n > 0 {
		t.Errorf("%d of 20 second rollouts were stopped too, want 0", n)
	}
	if n := countRepeatedStops(compareTargeted); n == 0 {
		t.Error("with mutation compareTargeted (the same proxies are compared again) no second rollout was stopped, " +
			"want at least 1 of 20")
	}
}

// A hundred proxies join a fleet of 200 at one moment and see many bad requests while they warm up. A harmless version
// still completes and a harmful one is stopped.
func TestThirdOfFleetJoinsAtOnce(t *testing.T) {
	simulate := func(mutations mutation, seed uint64, harm float64) (end State, adopted int) {
		fleet := newFleetSim(t, seed, 200, mutations)
		fleet.start(t, 2)
		fleet.runUntilEnd(time.Second)
		fleet.join(100)
		fleet.extraBadShare = func(p *simProxy) float64 {
			share := 0.0
			if p.joinedAt > 0 && fleet.now-p.joinedAt < 30*time.Second {
				share = 0.2
			}
			if p.current.Epoch == 2 {
				share += harm
			}
			return share
		}
		state := fleet.runUntilEnd(time.Minute)
		return state, fleet.countAtEpoch(2)
	}
	missed := 0
	for seed := range uint64(15) {
		if state, _ := simulate(0, seed, 0); state != Done {
			t.Errorf("seed %d: harmless version: rollout is %v, want %v", seed, state, Done)
		}
		if state, adopted := simulate(0, seed, 0.06); state != Stopped || adopted > 100 {
			t.Errorf("seed %d: version with 6%% more bad requests: rollout is %v and %d proxies have it; "+
				"want %v and at most 100",
				seed, state, adopted, Stopped)
		}
		if state, _ := simulate(compareLate, seed, 0.06); state != Stopped {
			missed++
		}
	}
	if missed == 0 {
		t.Error("with mutation compareLate (late proxies are compared) every harmful version was stopped, " +
			"want at least 1 of 15 not stopped")
	}
}

// If most of the fleet joins after the draw, the draw is repeated and the version still reaches all proxies.
func TestMostOfFleetJoins(t *testing.T) {
	for _, n := range []int{0, 1, 3, 30} {
		fleet := newFleetSim(t, 1, n, 0)
		fleet.start(t, 2)
		fleet.runUntilEnd(time.Second)
		for range 10 {
			fleet.join(20)
			fleet.runUntilEnd(300 * time.Millisecond)
		}
		if state := fleet.runUntilEnd(time.Minute); state != Done {
			t.Errorf("%d proxies at the start, then 200 more join: rollout is %v, want %v", n, state, Done)
		}
	}
}

// A leader that receives no reports for a while waits: it takes the silence neither as success nor as harm.
func TestLeaderWithoutReportsWaits(t *testing.T) {
	simulate := func(mutations mutation, harm float64, lossStart time.Duration) (end State, adopted int) {
		fleet := newFleetSim(t, 3, 300, mutations)
		fleet.start(t, 2)
		fleet.extraBadShare = func(p *simProxy) float64 {
			if p.current.Epoch == 2 {
				return harm
			}
			return 0
		}
		fleet.runUntilEnd(lossStart)
		fleet.reportsLost = true
		fleet.runUntilEnd(20 * time.Second)
		fleet.reportsLost = false
		state := fleet.runUntilEnd(time.Minute)
		return state, fleet.countAtEpoch(2)
	}
	wrongStops := 0
	for lossStart := 200 * time.Millisecond; lossStart < 5*time.Second; lossStart += 200 * time.Millisecond {
		if state, adopted := simulate(0, 0.3, lossStart); state != Stopped || adopted > 80 {
			t.Errorf("harmful version, reports lost from %v for 20s: rollout is %v and %d proxies have it; "+
				"want %v and at most 80", lossStart, state, adopted, Stopped)
		}
		if state, _ := simulate(0, 0, lossStart); state != Done {
			t.Errorf("harmless version, reports lost from %v for 20s: rollout is %v, want %v",
				lossStart, state, Done)
		}
		if state, _ := simulate(ignoreSilentControl, 0, lossStart); state != Done {
			wrongStops++
		}
	}
	if wrongStops == 0 {
		t.Error("with mutation ignoreSilentControl (looks are taken without reports) every harmless version " +
			"completed, want at least 1 that does not")
	}
}

// Proxies that report less often than once per step make a rollout slow. A harmless version still completes and a
// harmful one is stopped.
func TestSlowReports(t *testing.T) {
	for _, slowEvery := range []int{10, 1} { // one of this many proxies is slow
		for _, harm := range []float64{0, 0.1} {
			fleet := newFleetSim(t, 5, 300, 0)
			fleet.start(t, 2)
			fleet.extraBadShare = func(p *simProxy) float64 {
				if p.current.Epoch == 2 {
					return harm
				}
				return 0
			}
			for i, p := range fleet.proxies {
				if i%slowEvery == 0 {
					p.interval = 4 * time.Second
				}
			}
			state := fleet.runUntilEnd(5 * time.Minute)
			want := Done
			if harm > 0 {
				want = Stopped
			}
			if state != want {
				t.Errorf("one of %d proxies reports every 4s, version adds a share of %v bad requests: "+
					"rollout is %v, want %v", slowEvery, harm, state, want)
			}
		}
	}
}

// A new leader does not know which proxies have a stopped version. It learns that from their reports and replaces the
// version there first.
func TestStoppedVersionsAreReplacedFirst(t *testing.T) {
	fleet := newFleetSim(t, 4, 300, 0)
	for _, p := range fleet.proxies[:10] {
		p.current = Version{Epoch: 2, Hash: "2"}
	}
	fleet.start(t, 3)
	fleet.runUntilEnd(2200 * time.Millisecond)
	for _, p := range fleet.proxies[:10] {
		if p.current.Epoch != 3 {
			t.Errorf("proxy %s with a stopped version has epoch %d after 2.2s, want 3", p.name, p.current.Epoch)
		}
	}
	if state := fleet.runUntilEnd(time.Minute); state != Done {
		t.Errorf("rollout of the version that replaces the stopped one is %v, want %v", state, Done)
	}
}

// A version that makes the proxies that adopt it fail is stopped, even though failed proxies report no bad requests.
func TestProxiesDieOfVersion(t *testing.T) {
	for seed := range uint64(10) {
		fleet := newFleetSim(t, seed, 300, 0)
		fleet.start(t, 2)
		for range 100 {
			state := fleet.runUntilEnd(100 * time.Millisecond)
			for _, p := range fleet.proxies {
				if p.current.Epoch == 2 {
					p.nextReport = neverReports
				}
			}
			if state != InProgress {
				break
			}
		}
		state, reason := fleet.rollout.State()
		if state != Stopped || operatorerror.AdviceOf(reason) == "" || fleet.countAtEpoch(2) > 90 {
			t.Errorf("seed %d: rollout of a version that kills proxies is %v with reason %v (advice %q), "+
				"and %d proxies have it; want %v with advice and at most 90",
				seed, state, reason, operatorerror.AdviceOf(reason), fleet.countAtEpoch(2), Stopped)
		}
	}
}

// Proxies that fail on both sides for other reasons do not hide the harm that the version does to the rest.
func TestUnrelatedDeathsDoNotHideHarm(t *testing.T) {
	simulate := func(mutations mutation, seed uint64, harm float64) State {
		fleet := newFleetSim(t, seed, 300, mutations)
		fleet.start(t, 2)
		fleet.extraBadShare = func(p *simProxy) float64 {
			if p.current.Epoch == 2 {
				return harm
			}
			return 0
		}
		fleet.runUntilEnd(500 * time.Millisecond)
		for i, p := range fleet.proxies {
			if i%15 == 0 {
				p.nextReport = neverReports
			}
		}
		return fleet.runUntilEnd(time.Minute)
	}
	missed := 0
	for seed := range uint64(15) {
		if state := simulate(0, seed, 0.05); state != Stopped {
			t.Errorf("seed %d: version with 5%% more bad requests: rollout is %v, want %v", seed, state, Stopped)
		}
		if state := simulate(0, seed, 0); state != Done {
			t.Errorf("seed %d: harmless version: rollout is %v, want %v", seed, state, Done)
		}
		if simulate(skipReportingTest, seed, 0.05) != Stopped {
			missed++
		}
	}
	if missed == 0 {
		t.Error("with mutation skipReportingTest (silent proxies hide the harm) every harmful version was stopped, " +
			"want at least 1 of 15 not stopped")
	}
}

// When a rack fails, most of the few proxies of a first step may fail together with others. That does not stop a
// rollout. In a small fleet where all proxies with the version fail, the rollout is stopped.
func TestRackFailure(t *testing.T) {
	countStops := func(mutations mutation) (n int) {
		for seed := range uint64(400) {
			fleet := newFleetSim(t, seed, 60, mutations)
			fleet.start(t, 2+seed)
			fleet.runUntilEnd(time.Duration(fleet.rng.IntN(10)) * 100 * time.Millisecond)
			for range 6 {
				fleet.proxies[fleet.rng.IntN(60)].nextReport = neverReports
			}
			if fleet.runUntilEnd(time.Minute) == Stopped {
				n++
			}
		}
		return n
	}
	if n := countStops(0); n > 0 {
		t.Errorf("%d of 400 rollouts were stopped because 6 of 60 proxies failed, want 0", n)
	}
	if n := countStops(skipGrossSignificance); n == 0 {
		t.Error("with mutation skipGrossSignificance (a few silent proxies stop a step) no rollout was stopped, " +
			"want at least 1 of 400")
	}
	fleet := newFleetSim(t, 1, 10, 0)
	fleet.proxies[3].nextReport = neverReports
	fleet.start(t, 2)
	for range 200 {
		state := fleet.runUntilEnd(100 * time.Millisecond)
		for _, p := range fleet.proxies {
			if p.current.Epoch == 2 {
				p.nextReport = neverReports
			}
		}
		if state != InProgress {
			break
		}
	}
	if state, _ := fleet.rollout.State(); state != Stopped {
		t.Errorf("all of 10 proxies that adopt the version fail, and one other: rollout is %v, want %v", state, Stopped)
	}
}

// The rollout of a version that most proxies cannot adopt is stopped with a NotAdoptedError. If all can adopt it, the
// rollout completes.
func TestVersionThatCannotBeAdopted(t *testing.T) {
	simulate := func(mutations mutation, adoptEvery int) (State, error) { // one of adoptEvery proxies can adopt
		fleet := newFleetSim(t, 1, 300, mutations)
		indexes := map[string]int{}
		for i, p := range fleet.proxies {
			indexes[p.name] = i
		}
		fleet.canAdopt = func(p *simProxy) bool { return indexes[p.name]%adoptEvery == 0 }
		fleet.start(t, 2)
		fleet.runUntilEnd(10 * time.Minute)
		return fleet.rollout.State()
	}
	var notAdopted NotAdoptedError
	state, err := simulate(0, 5)
	if state != Stopped || !errors.As(err, &notAdopted) || operatorerror.AdviceOf(err) == "" {
		t.Errorf("one of 5 proxies can adopt: rollout is %v with reason %v (advice %q); "+
			"want %v with a NotAdoptedError that has advice", state, err, operatorerror.AdviceOf(err), Stopped)
	}
	if state, err := simulate(0, 1); state != Done {
		t.Errorf("all proxies can adopt: rollout is %v with reason %v, want %v", state, err, Done)
	}
	if state, _ := simulate(waitForever, 5); state != InProgress {
		t.Errorf("with mutation waitForever, one of 5 proxies can adopt: rollout is %v, want %v", state, InProgress)
	}
}

// If the drawn proxies have too few requests and the others have enough, more proxies are drawn. Without any requests
// the step waits.
func TestMostProxiesAreIdle(t *testing.T) {
	simulate := func(mutations mutation, busyProxies int, harm float64) (end State, adopted int) {
		fleet := newFleetSim(t, 2, 300, mutations)
		indexes := map[string]int{}
		for i, p := range fleet.proxies {
			indexes[p.name] = i
		}
		fleet.isIdle = func(p *simProxy) bool { return indexes[p.name] >= busyProxies }
		fleet.extraBadShare = func(p *simProxy) float64 {
			if p.current.Epoch == 2 {
				return harm
			}
			return 0
		}
		fleet.start(t, 2)
		state := fleet.runUntilEnd(20 * time.Minute)
		return state, fleet.countAtEpoch(2)
	}
	if state, _ := simulate(0, 12, 0); state != Done {
		t.Errorf("12 busy proxies of 300, harmless version: rollout is %v, want %v", state, Done)
	}
	if state, adopted := simulate(0, 12, 0.5); state != Stopped || adopted > 150 {
		t.Errorf("12 busy proxies of 300, version with 50%% more bad requests: rollout is %v and %d proxies have it; "+
			"want %v and at most 150", state, adopted, Stopped)
	}
	if state, adopted := simulate(0, 0, 0); state != InProgress || adopted > 9 {
		t.Errorf("no proxy has requests: rollout is %v and %d proxies have the version; want %v and at most 9",
			state, adopted, InProgress)
	}
	if state, _ := simulate(waitForever, 2, 0); state == Done {
		t.Errorf("with mutation waitForever, 2 busy proxies of 300: rollout is %v, want any other state", state)
	}
}

// The error rate of a small fleet falls with its size. It lies between ErrorRate and SmallFleetErrorRate, and is
// ErrorRate from 32 proxies on.
func TestSmallFleetErrorRate(t *testing.T) {
	settings := DefaultSettings()
	previousRate := 1.0
	for _, n := range []int{2, 6, 10, 14, 18, 22, 30, 32, 300, 9400} {
		r, err := New(settings, Version{})
		if err != nil {
			t.Fatalf("New(DefaultSettings()) failed: %v", err)
		}
		_, rate := r.planLooks(n)
		if rate > settings.SmallFleetErrorRate || rate < settings.ErrorRate || rate > previousRate {
			t.Errorf("planLooks(%d proxies) has error rate %v, want between %v and %v, "+
				"and not above %v, that of a smaller fleet",
				n, rate, settings.ErrorRate, settings.SmallFleetErrorRate, previousRate)
		}
		if n >= 32 && rate != settings.ErrorRate {
			t.Errorf("planLooks(%d proxies) has error rate %v, want ErrorRate, %v", n, rate, settings.ErrorRate)
		}
		previousRate = rate
	}
}

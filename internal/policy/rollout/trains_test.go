package rollout

import (
	"cmp"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"lapisspread/internal/operatorerror"
)

// lane is a fleet whose proxies report once a second, each at a moment of its own, and take up at once what the answer offers.
type lane struct {
	r     *Rollout
	rng   *rand.Rand
	now   time.Duration
	all   []*member
	share func(m *member) float64 // of its requests that go bad, besides its own
	deaf  bool                    // no report comes through
	takes func(m *member) bool    // whether it takes up what it is offered; nil is all do
	idle  func(m *member) bool    // whether it has no requests; nil is none
	each  int64                   // requests in a second
}

type member struct {
	name   string
	at     time.Duration // of its next report
	has    Version
	own    float64
	came   time.Duration
	every  time.Duration // between its reports; 1s if left out
	number uint64
}

func newLane(t testing.TB, seed uint64, n int, flaws mutation) *lane {
	t.Helper()
	r, err := New(DefaultSettings(), Version{Epoch: 1, Hash: "1"})
	if err != nil {
		t.Fatal(err)
	}
	r.mutations = flaws
	l := &lane{r: r, rng: rand.New(rand.NewPCG(seed, 5)), share: func(*member) float64 { return 0 }, each: 160}
	l.join(n)
	return l
}

func (l *lane) join(n int) {
	for range n {
		m := &member{name: fmt.Sprint("p", len(l.all)), at: l.now + time.Duration(l.rng.IntN(1000))*time.Millisecond, has: l.r.base, own: 0.01 * l.rng.ExpFloat64(), came: l.now}
		l.all = append(l.all, m)
		l.r.Join(l.now, m.name)
	}
}

// begin sends an epoch out.
func (l *lane) begin(t testing.TB, epoch uint64) {
	t.Helper()
	if err := l.r.Start(l.now, epoch, fmt.Sprint(epoch), epoch); err != nil {
		t.Fatal(err)
	}
}

// until goes on until the roll-out ends or so much time has gone, and gives how it stands.
func (l *lane) until(most time.Duration) State {
	for end := l.now + most; l.now < end; l.now += 100 * time.Millisecond {
		for _, m := range l.all {
			if m.at > l.now {
				continue
			}
			m.at += cmp.Or(m.every, time.Second)
			if l.deaf {
				continue
			}
			m.number++
			bad := int64(0)
			for i := gap(l.rng, min(1, m.own+l.share(m))); i < l.each; i += 1 + gap(l.rng, min(1, m.own+l.share(m))) {
				bad++
			}
			good := l.each - bad
			if l.idle != nil && l.idle(m) {
				good, bad = 0, 0
			}
			l.r.Report(l.now, Report{m.name, m.number, m.has, good, bad})
			if o := l.r.Target(m.name); o.NewerThan(m.has) && (l.takes == nil || l.takes(m)) {
				m.has = o
			}
		}
		l.r.Tick(l.now)
		if state, _ := l.r.State(); state != InProgress {
			return state
		}
	}
	return InProgress
}

func (l *lane) have(epoch uint64) (n int) {
	for _, m := range l.all {
		if m.has.Epoch == epoch {
			n++
		}
	}
	return n
}

// A stop by chance does not come again with the same proxies: the next policy is judged by others.
func TestAStopByChanceDoesNotRepeat(t *testing.T) {
	again := func(flaws mutation) (stops int) {
		for seed := range uint64(20) {
			l := newLane(t, seed, 300, flaws)
			l.begin(t, 2+seed*10)
			first := map[string]bool{} // that something befalls which has nothing to do with the policy
			for _, m := range l.all {
				first[m.name] = l.r.Target(m.name).Epoch != 1
			}
			l.share = func(m *member) float64 {
				if first[m.name] {
					return 0.1
				}
				return 0
			}
			if l.until(time.Minute) != Stopped {
				t.Fatal("what befalls just those that have the policy does not stop it")
			}
			l.begin(t, 3+seed*10)
			for name, was := range first {
				if was && l.r.Target(name).Epoch != 3+seed*10 {
					t.Fatal("one that has the stopped policy does not get the next first")
				}
			}
			if l.until(time.Minute) == Stopped {
				stops++
			}
		}
		return stops
	}
	if n := again(0); n > 0 {
		t.Errorf("%d of 20 were stopped again", n)
	}
	if n := again(compareTargeted); n == 0 {
		t.Error("not convicted: the same proxies judge again")
	}
}

// A third of the proxies are new at one moment, and cold: a policy that does no harm goes on, one that does is found.
func TestAThirdIsNewAtOneMoment(t *testing.T) {
	play := func(flaws mutation, seed uint64, harm float64) (State, int) {
		l := newLane(t, seed, 200, flaws)
		l.begin(t, 2)
		l.until(time.Second)
		l.join(100)
		l.share = func(m *member) float64 {
			share := 0.0
			if m.came > 0 && l.now-m.came < 30*time.Second {
				share = 0.2
			}
			if m.has.Epoch == 2 {
				share += harm
			}
			return share
		}
		state := l.until(time.Minute)
		return state, l.have(2)
	}
	missed := 0
	for seed := range uint64(15) {
		if state, _ := play(0, seed, 0); state != Done {
			t.Errorf("seed %d: a policy that does no harm: %v", seed, state)
		}
		if state, had := play(0, seed, 0.06); state != Stopped || had > 100 {
			t.Errorf("seed %d: a harmful one: %v, and %d had it", seed, state, had)
		}
		if state, _ := play(compareLate, seed, 0.06); state != Stopped {
			missed++
		}
	}
	if missed == 0 {
		t.Error("not convicted: those that come late are compared")
	}
}

// Where most of the fleet is new, the draw is made anew and the policy still gets to all.
func TestMostOfTheFleetIsNew(t *testing.T) {
	for _, n := range []int{0, 1, 3, 30} {
		l := newLane(t, 1, n, 0)
		l.begin(t, 2)
		l.until(time.Second)
		for range 10 {
			l.join(20)
			l.until(300 * time.Millisecond)
		}
		if state := l.until(time.Minute); state != Done {
			t.Errorf("%d, then 200 more: %v", n, state)
		}
	}
}

// A leader that hears nobody for a while, or was itself not running, takes that neither for a good step nor for a bad one.
func TestADeafLeaderWaits(t *testing.T) {
	play := func(flaws mutation, harm float64, from time.Duration) (State, int) {
		l := newLane(t, 3, 300, flaws)
		l.begin(t, 2)
		l.share = func(m *member) float64 {
			if m.has.Epoch == 2 {
				return harm
			}
			return 0
		}
		l.until(from)
		l.deaf = true
		l.until(20 * time.Second)
		l.deaf = false
		state := l.until(time.Minute)
		return state, l.have(2)
	}
	wrong := 0
	for from := 200 * time.Millisecond; from < 5*time.Second; from += 200 * time.Millisecond {
		if state, had := play(0, 0.3, from); state != Stopped || had > 80 {
			t.Errorf("a harmful policy, deaf from %v: %v, and %d had it", from, state, had)
		}
		if state, _ := play(0, 0, from); state != Done {
			t.Errorf("a policy that does no harm, deaf from %v: %v", from, state)
		}
		if state, _ := play(ignoreSilentControl, 0, from); state != Done {
			wrong++
		}
	}
	if wrong == 0 {
		t.Error("not convicted: looks are taken by a leader who hears nobody")
	}
}

// Links so slow that a reply takes longer than a step make a train slow; it comes to its end, and a harmful one is stopped.
func TestSlowLinks(t *testing.T) {
	for _, part := range []int{10, 1} { // each so many
		for _, harm := range []float64{0, 0.1} {
			l := newLane(t, 5, 300, 0)
			l.begin(t, 2)
			l.share = func(m *member) float64 {
				if m.has.Epoch == 2 {
					return harm
				}
				return 0
			}
			for i, m := range l.all {
				if i%part == 0 {
					m.every = 4 * time.Second
				}
			}
			state := l.until(5 * time.Minute)
			if state != Stopped && harm > 0 || state != Done && harm == 0 {
				t.Errorf("one in %d is slow, harm %v: %v", part, harm, state)
			}
		}
	}
}

// A leader who does not know who has a stopped policy learns it by their reports, and rids them of it first.
func TestStoppedPoliciesAreFoundByReports(t *testing.T) {
	l := newLane(t, 4, 300, 0)
	for _, m := range l.all[:10] {
		m.has = Version{Epoch: 2, Hash: "2"}
	}
	l.begin(t, 3)
	l.until(2200 * time.Millisecond)
	for _, m := range l.all[:10] {
		if m.has.Epoch != 3 {
			t.Errorf("%s still has epoch %d", m.name, m.has.Epoch)
		}
	}
	if state := l.until(time.Minute); state != Done {
		t.Error(state)
	}
}

// One proxy in the first step that dies of the policy can't be told from chance; that most do, is.
func TestProxiesDieOfATrain(t *testing.T) {
	for seed := range uint64(10) {
		l := newLane(t, seed, 300, 0)
		l.begin(t, 2)
		for range 100 {
			state := l.until(100 * time.Millisecond)
			for _, m := range l.all {
				if m.has.Epoch == 2 {
					m.at = 1 << 60
				}
			}
			if state != InProgress {
				break
			}
		}
		if state, why := l.r.State(); state != Stopped || operatorerror.Of(why) == "" || l.have(2) > 90 {
			t.Errorf("seed %d: %v, and %d had it", seed, state, l.have(2))
		}
	}
}

// Proxies that go for reasons of their own, on both sides, don't hide what the policy does to the rest.
func TestOthersThatDieHideNoHarm(t *testing.T) {
	play := func(flaws mutation, seed uint64, harm float64) State {
		l := newLane(t, seed, 300, flaws)
		l.begin(t, 2)
		l.share = func(m *member) float64 {
			if m.has.Epoch == 2 {
				return harm
			}
			return 0
		}
		l.until(500 * time.Millisecond)
		for i, m := range l.all {
			if i%15 == 0 {
				m.at = 1 << 60
			}
		}
		return l.until(time.Minute)
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
		t.Error("not convicted: silent ones hide what the policy does")
	}
}

// Of the few in a first step most may go with others, as a rack does: that is not the policy. In a small fleet of which all that have it
// go, it is.
func TestARackThatGoes(t *testing.T) {
	stops := func(flaws mutation) (n int) {
		for seed := range uint64(400) {
			l := newLane(t, seed, 60, flaws)
			l.begin(t, 2+seed)
			l.until(time.Duration(l.rng.IntN(10)) * 100 * time.Millisecond)
			for range 6 {
				l.all[l.rng.IntN(60)].at = 1 << 60
			}
			if l.until(time.Minute) == Stopped {
				n++
			}
		}
		return n
	}
	if n := stops(0); n > 0 {
		t.Errorf("%d of 400 were stopped", n)
	}
	if n := stops(skipGrossSignificance); n == 0 {
		t.Error("not convicted: a few that are silent stop a step")
	}
	l := newLane(t, 1, 10, 0)
	l.all[3].at = 1 << 60
	l.begin(t, 2)
	for range 200 {
		state := l.until(100 * time.Millisecond)
		for _, m := range l.all {
			if m.has.Epoch == 2 {
				m.at = 1 << 60
			}
		}
		if state != InProgress {
			break
		}
	}
	if state, _ := l.r.State(); state != Stopped {
		t.Errorf("all that have it die, and one besides: %v", state)
	}
}

// A policy that most can't take up is stopped and told; where only a few can't, it goes on.
func TestAPolicyThatCannotBeTakenUp(t *testing.T) {
	play := func(flaws mutation, each int) (State, error) {
		l := newLane(t, 1, 300, flaws)
		n := map[string]int{}
		for i, m := range l.all {
			n[m.name] = i
		}
		l.takes = func(m *member) bool { return n[m.name]%each == 0 }
		l.begin(t, 2)
		l.until(10 * time.Minute)
		return l.r.State()
	}
	var not NotAdoptedError
	if state, err := play(0, 5); state != Stopped || !errors.As(err, &not) || operatorerror.Of(err) == "" {
		t.Errorf("%v %v", state, err)
	}
	if state, err := play(0, 1); state != Done {
		t.Errorf("%v %v", state, err)
	}
	if state, _ := play(waitForever, 5); state != InProgress {
		t.Errorf("not convicted: it waits for ever: %v", state)
	}
}

// Where those that were drawn have hardly any requests and others have, more are drawn; where nobody has, it waits as before.
func TestMostProxiesAreIdle(t *testing.T) {
	play := func(flaws mutation, busy int, harm float64) (State, int) {
		l := newLane(t, 2, 300, flaws)
		n := map[string]int{}
		for i, m := range l.all {
			n[m.name] = i
		}
		l.idle = func(m *member) bool { return n[m.name] >= busy }
		l.share = func(m *member) float64 {
			if m.has.Epoch == 2 {
				return harm
			}
			return 0
		}
		l.begin(t, 2)
		state := l.until(20 * time.Minute)
		return state, l.have(2)
	}
	if state, _ := play(0, 12, 0); state != Done {
		t.Error(state)
	}
	if state, had := play(0, 12, 0.5); state != Stopped || had > 150 {
		t.Errorf("%v, and %d had it", state, had)
	}
	if state, had := play(0, 0, 0); state != InProgress || had > 9 {
		t.Errorf("without requests: %v, and %d had it", state, had)
	}
	if state, _ := play(waitForever, 2, 0); state == Done {
		t.Error("not convicted: it waits for ever")
	}
}

// The error rate of fleets in which the unlikeliest draw is not unlikely enough is as low as it can be, and never over what is set.
func TestSmallFleetsHaveAHigherRate(t *testing.T) {
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

// BenchmarkTrains gives how many trains were stopped, and of those the mean part of the fleet that had the policy by then. Of harmless ones
// half meet a tenth of the fleet that goes.
func BenchmarkTrains(b *testing.B) {
	run := func(name string, plays, n int, harm float64) {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				stops, part := 0, 0.0
				for seed := range uint64(plays) {
					l := newLane(b, seed+1000, n, 0)
					l.begin(b, 2+seed)
					l.share = func(m *member) float64 {
						if m.has.Epoch != 1 {
							return harm
						}
						return 0
					}
					if harm == 0 && seed%2 == 0 {
						l.until(time.Duration(l.rng.IntN(40)) * 100 * time.Millisecond)
						for range n / 10 {
							l.all[l.rng.IntN(n)].at = 1 << 60
						}
					}
					if l.until(time.Minute) == Stopped {
						stops++
						part += float64(l.have(2+seed)) / float64(n)
					}
				}
				b.ReportMetric(float64(plays), "trains")
				b.ReportMetric(float64(stops), "stopped")
				b.ReportMetric(part/float64(max(1, stops)), "part")
			}
		})
	}
	run("harmless/60", 10000, 60, 0)
	run("harmless/300", 5000, 300, 0)
	run("harmless/1000", 1000, 1000, 0)
	for _, n := range []int{60, 300, 1000, 4700} {
		for _, harm := range []float64{0.005, 0.01, 0.02, 0.05, 0.1} {
			run(fmt.Sprintf("harm/%d/%v", n, harm), 50, n, harm)
		}
	}
}

// BenchmarkDisplaced is how it was: steps of a minute, and what begins takes the place of what is on its way. Of 400 begun one each 9 s it
// gives how many got through.
func BenchmarkDisplaced(b *testing.B) {
	for b.Loop() {
		l := newLane(b, 1, 300, 0)
		var err error
		if l.r, err = New(minutes(), Version{Epoch: 1, Hash: "1"}); err != nil {
			b.Fatal(err)
		}
		for _, m := range l.all {
			l.r.Join(0, m.name)
		}
		through := 0
		for epoch := uint64(2); epoch < 402; epoch++ {
			l.begin(b, epoch)
			if l.until(9*time.Second) == Done {
				through++
			}
		}
		b.ReportMetric(400, "begun")
		b.ReportMetric(float64(through), "through")
	}
}

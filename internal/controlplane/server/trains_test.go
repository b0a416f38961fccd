package server

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"lapisspread/internal/controlplane/api"
	"lapisspread/internal/operatorerror"
	"lapisspread/internal/policy/rollout"
	"lapisspread/internal/policy/store"
)

// yard is the book of three stewards that agree, whoever leads, and a fleet, over virtual time: all that is pure on the way of a change.
// Proxies report once a second, each at a moment of its own, and differ in how many of their requests go bad.
type yard struct {
	t      testing.TB
	rng    *rand.Rand
	book   *store.Book
	roll   *rolloutDriver // of whoever leads; nil is nobody
	set    rollout.Settings
	now    time.Duration
	all    []*cart
	slots  [slots][]*cart
	taking []*cart
	judge  *store.Judge // that is being committed

	changes []*offered
	harm    map[uint64]bool // epochs that have something harmful
	never   map[uint64]bool // epochs that proxies can't take up
	harmHad int             // proxies that had a harmful one at once, at most
	trains  int
	stops   int
	order   uint64
	wrong   []string
	stuck   bool // the log doesn't answer
	early   bool // a guard taken out, to see that the tests convict
	counted bool // how many have what, since it last changed
	least   uint64
}

const (
	slot  = 100 * time.Millisecond
	slots = int(time.Second / slot)
	worse = 0.05 // of the requests under what is harmful
)

// cart is a proxy.
type cart struct {
	name   string
	has    rollout.Version
	own    float64
	number uint64
	coming rollout.Version // that it is taking up
	gone   bool            // or cut off
}

// offered is a change.
type offered struct {
	team, number int
	at           time.Duration
	harm         bool
	never        bool          // proxies can't take it up
	epoch        uint64        // of the first that was through with it
	force        time.Duration // when all had it
}

func newYard(t testing.TB, seed uint64, n, teams int) *yard {
	t.Helper()
	f := &api.Config{}
	y := &yard{t: t, rng: rand.New(rand.NewPCG(seed, 21)), set: f.RolloutSettings(), harm: map[uint64]bool{}, never: map[uint64]bool{}}
	y.found(teams)
	y.join(n)
	return y
}

// found begins a book, with a charter and a file of each team.
func (y *yard) found(teams int) {
	y.t.Helper()
	y.order++
	y.book, y.roll, y.judge = store.New(y.order<<32), nil, nil
	y.do(store.Command{Charter: &store.Charter{Text: teamsText(teams), By: "admin"}})
	for i := range teams {
		y.do(store.Command{Offer: &store.Offer{Text: teamText(i, 1, fmt.Sprint("/", i)), By: "t"}})
	}
	y.lead()
}

func teamsText(n int) string {
	var c strings.Builder
	c.WriteString("version = 1\n")
	for i := range n {
		fmt.Fprintf(&c, "[[namespace]]\nname = \"t%d\"\nowner = \"o\"\nhosts = [\"x.org\"]\nsettings = [\"route\", \"service\"]\n", i)
	}
	return c.String()
}

func teamText(team, number int, path string) string {
	return rulesText(fmt.Sprint("t", team), number, path)
}

func (y *yard) do(c store.Command) {
	y.t.Helper()
	y.counted = false
	if err := y.book.Apply(c); err != nil {
		y.t.Fatalf("%v: %s", err, operatorerror.Of(err))
	}
}

// lead has another steward lead from now on, who knows the book alone.
func (y *yard) lead() {
	y.roll = &rolloutDriver{proxies: map[string]*proxyState{}, announceBeforeCommit: y.early}
}

func (y *yard) join(n int) {
	for range n {
		c := &cart{name: fmt.Sprintf("p%05d", len(y.all)), own: 0.01 * y.rng.ExpFloat64()}
		y.all = append(y.all, c)
		k := y.rng.IntN(slots)
		y.slots[k] = append(y.slots[k], c)
	}
	y.counted = false
}

// offer has a team offer a file.
func (y *yard) offer(team, number int, path string, harm bool) {
	y.t.Helper()
	before := y.book.Standing()
	y.do(store.Command{Offer: &store.Offer{Text: teamText(team, number, path), By: "t"}})
	y.changes = append(y.changes, &offered{team: team, number: number, at: y.now, harm: harm})
	y.departed(before, false)
}

// departed looks at what goes out after a command.
func (y *yard) departed(before store.Standing, judged bool) {
	s := y.book.Standing()
	if s.Next == before.Next || s.Next.Epoch == 0 {
		return
	}
	if before.Next.Epoch != 0 && before.Stopped == nil && !judged {
		y.wrong = append(y.wrong, fmt.Sprintf("epoch %d was displaced by %d", before.Next.Epoch, s.Next.Epoch))
	}
	y.trains++
	y.harm[s.Next.Epoch] = y.harm[s.Base.Epoch]
	for _, c := range s.Train {
		for _, o := range y.changes {
			if o.never && c.Namespace == fmt.Sprint("t", o.team) && c.Number == uint64(o.number) {
				y.never[s.Next.Epoch] = true
			}
		}
	}
	for _, c := range s.Train {
		for _, o := range y.changes {
			if o.harm && c.Namespace == fmt.Sprint("t", o.team) && c.Number == uint64(o.number) {
				y.harm[s.Next.Epoch] = true
			}
		}
	}
}

// step lets a tenth of a second go by.
func (y *yard) step() {
	y.now += slot
	st := y.book.Standing()
	if y.judge != nil && y.roll != nil && !y.stuck { // what was proposed a moment ago is committed now
		before := st
		if y.judge.Done {
			for _, c := range before.Train {
				for _, o := range y.changes {
					if o.epoch == 0 && c.Namespace == fmt.Sprint("t", o.team) && c.Number >= uint64(o.number) {
						o.epoch = before.Next.Epoch
					}
				}
			}
			if y.harm[before.Next.Epoch] {
				y.wrong = append(y.wrong, fmt.Sprintf("epoch %d is harmful and got through", before.Next.Epoch))
			}
		} else {
			y.stops++
		}
		y.do(store.Command{Judge: y.judge})
		y.judge = nil
		y.departed(before, true)
		st = y.book.Standing()
	}
	for _, c := range y.taking {
		if c.coming.NewerThan(c.has) {
			c.has = c.coming
		}
	}
	if len(y.taking) > 0 {
		y.taking, y.counted = y.taking[:0], false
	}
	for _, c := range y.slots[int(y.now/slot)%slots] {
		y.report(c, st)
	}
	if r := y.roll; r != nil { // the steward looks ten times a second
		r.syncWithLog(y.now, y.set, st)
		r.advance(y.now)
		state, why := r.rollout.State()
		if r.next == st.Next && r.next.Epoch != 0 && st.Stopped == nil && y.judge == nil && (state == rollout.Done || state == rollout.Stopped) {
			j := &store.Judge{Order: r.next.Generation, Epoch: r.next.Epoch, Done: state == rollout.Done, Proxies: len(r.proxies)}
			if why != nil {
				j.Why, j.Help = why.Error(), operatorerror.Of(why)
			}
			y.judge = j
		}
	}
	y.count(st)
	for _, o := range y.changes {
		if o.epoch != 0 && o.force == 0 && y.least >= o.epoch {
			o.force = y.now
		}
	}
}

// count sees which epoch all have at least, and how many have something harmful.
func (y *yard) count(st store.Standing) {
	if y.counted {
		return
	}
	had := 0
	y.counted, y.least = true, math.MaxUint64
	for _, c := range y.all {
		switch {
		case c.gone:
		case c.has.Generation != st.Base.Generation:
			y.least = 0
		default:
			y.least = min(y.least, c.has.Epoch)
			if y.harm[c.has.Epoch] {
				had++
			}
		}
	}
	y.harmHad = max(y.harmHad, had)
}

func (y *yard) report(c *cart, st store.Standing) {
	if c.gone || y.roll == nil {
		return
	}
	c.number++
	share := min(1, c.own)
	if y.harm[c.has.Epoch] {
		share = min(1, share+worse)
	}
	const each = 160 // requests a second
	bad := int64(math.Round(each*share + math.Sqrt(each*share*(1-share))*y.rng.NormFloat64()))
	bad = max(0, min(each, bad))
	o, err := y.roll.report(y.now, y.set, st, api.PolicyReport{Proxy: c.name, Sequence: c.number, Current: c.has, Good: each - bad, Bad: bad})
	if err != nil {
		y.t.Fatal(err)
	}
	if c.has.NewerThan(o) && o.Generation > c.has.Generation {
		y.wrong = append(y.wrong, "an offer goes back")
	}
	if o.NewerThan(c.has) && !y.never[o.Epoch] {
		c.coming = o
		y.taking = append(y.taking, c)
	}
}

func (y *yard) run(d time.Duration) {
	for end := y.now + d; y.now < end; {
		y.step()
	}
}

// settle goes on until nothing is on its way, and tells if it never is.
func (y *yard) settle() {
	y.t.Helper()
	for range 5 * 60 * slots {
		y.step()
		st := y.book.Standing()
		if st.Next.Epoch != 0 && st.Stopped == nil || len(st.Gathered) > 0 {
			continue
		}
		if y.least >= st.Base.Epoch {
			return
		}
	}
	y.wrong = append(y.wrong, fmt.Sprintf("it never comes to an end: %+v", y.book.Standing()))
}

// verdict is what must never happen and did: a change that is neither in force nor told of, one that is blamed and did no harm.
func (y *yard) verdict() []string {
	st := y.book.Standing()
	harmless := !slices.ContainsFunc(y.changes, func(o *offered) bool { return o.harm })
	for _, o := range y.changes {
		name := fmt.Sprint("t", o.team)
		at := slices.IndexFunc(st.Faults, func(f store.Fault) bool { return f.Namespace == name && f.Number == uint64(o.number) })
		held := slices.ContainsFunc(st.Held, func(h store.Held) bool {
			return h.Namespace == name && h.Offered == uint64(o.number) && h.Why != ""
		})
		newer := slices.ContainsFunc(y.changes, func(n *offered) bool { return n.team == o.team && n.number > o.number })
		switch {
		case at >= 0 && (st.Faults[at].Why == "" || st.Faults[at].Help == "" || st.Faults[at].By != "t"):
			y.wrong = append(y.wrong, fmt.Sprintf("%s %d is at fault without a reason", name, o.number))
		case at >= 0 && (!o.harm || harmless):
			y.wrong = append(y.wrong, fmt.Sprintf("%s %d is blamed and did no harm", name, o.number))
		case at < 0 && !held && !newer && o.force == 0:
			y.wrong = append(y.wrong, fmt.Sprintf("%s %d is neither in force nor told of", name, o.number))
		case at < 0 && !held && !newer && o.harm:
			y.wrong = append(y.wrong, fmt.Sprintf("%s %d is harmful and not told of", name, o.number))
		}
	}
	return y.wrong
}

func (y *yard) check() {
	y.t.Helper()
	if wrong := y.verdict(); len(wrong) > 0 {
		y.t.Errorf("%d: %s", len(wrong), wrong[0])
	}
}

// hour has one change each so often, of drawn teams; every so many does harm.
func (y *yard) hour(d, every time.Duration, harmful int) {
	number := 1
	for end := y.now + d; y.now < end; {
		number++
		y.offer(y.rng.IntN(24), number, fmt.Sprint("/n", number), harmful > 0 && number%harmful == 0)
		y.run(every)
	}
	y.settle()
}

// times are how long changes that do no harm took until all had them, sorted.
func (y *yard) times() (all []time.Duration) {
	for _, o := range y.changes {
		if o.force > 0 && !o.harm {
			all = append(all, o.force-o.at)
		}
	}
	slices.Sort(all)
	return all
}

func TestAnHourOfChanges(t *testing.T) {
	y := newYard(t, 1, 300, 24)
	y.settle()
	y.hour(time.Hour, 9*time.Second, 0)
	y.check()
	if len(y.book.Standing().Faults) > 0 || y.stops > 0 {
		t.Errorf("%+v", y.book.Standing().Faults)
	}
	all := y.times()
	t.Logf("%d changes in %d trains; offer to force: p50 %v, p99 %v, max %v", len(all), y.trains, all[len(all)/2], all[len(all)*99/100], all[len(all)-1])
}

// Harmful changes among blameless ones: each is told, and none gets through.
func TestHarmfulOnesInAnHour(t *testing.T) {
	y := newYard(t, 2, 300, 24)
	y.settle()
	y.hour(20*time.Minute, 9*time.Second, 10)
	y.check()
	all := y.times()
	t.Logf("%d changes in %d trains, %d stopped; %d of 300 had something harmful at most; blameless ones, offer to force: p50 %v, p99 %v, max %v",
		len(y.changes), y.trains, y.stops, y.harmHad, all[len(all)/2], all[len(all)*99/100], all[len(all)-1])
	if y.harmHad > 100 {
		t.Errorf("%d of 300 had something harmful", y.harmHad)
	}
}

func TestOneHarmfulInATrainOfTen(t *testing.T) {
	for bad := range 10 {
		y := newYard(t, uint64(bad), 300, 24)
		y.settle()
		y.offer(20, 2, "/first", false)
		for i := range 10 {
			y.offer(i, 2, fmt.Sprint("/n", i), i == bad)
		}
		y.settle()
		y.check()
		if f := y.book.Standing().Faults; len(f) != 1 || f[0].Namespace != fmt.Sprint("t", bad) {
			t.Errorf("%+v", f)
		}
		all := y.times()
		t.Logf("the harmful one is %d: %d trains; all blameless ones in force after %v", bad, y.trains, all[len(all)-1])
	}
}

func TestTheLeaderIsLostAmidATrain(t *testing.T) {
	for seed := range uint64(6) {
		y := newYard(t, seed, 300, 24)
		y.settle()
		for i := range 12 {
			y.offer(i, 2, fmt.Sprint("/n", i), false)
			y.run(time.Duration(y.rng.IntN(90)) * slot)
			y.roll, y.judge = nil, nil // what it had proposed is lost with it
			y.run(time.Duration(5+y.rng.IntN(30)) * slot)
			y.lead()
		}
		y.settle()
		y.check()
	}
}

// The leader is lost just as all would be told, with the log not answering.
func TestTheLeaderIsLostBeforeTheEndIsCommitted(t *testing.T) {
	play := func(early bool) []string {
		y := newYard(t, 3, 300, 24)
		y.settle()
		y.early = early
		y.lead()
		y.offer(1, 2, "/n", false)
		y.stuck = true
		for range 600 {
			if y.step(); y.judge != nil {
				break
			}
		}
		y.run(2 * time.Second)
		y.roll, y.judge, y.stuck = nil, nil, false
		y.run(time.Second)
		y.lead()
		y.settle()
		return y.verdict()
	}
	if wrong := play(false); len(wrong) > 0 {
		t.Error(wrong[0])
	}
	if len(play(true)) == 0 {
		t.Error("not convicted: all are told before it is committed")
	}
}

func TestOneNamespaceTwiceInATrain(t *testing.T) {
	y := newYard(t, 5, 300, 24)
	y.settle()
	y.offer(20, 2, "/first", false)
	y.run(time.Second)
	y.offer(1, 2, "/a", false)
	y.offer(1, 3, "/b", false)
	y.settle()
	y.check()
	if text, _ := y.book.Whole(y.book.Standing().Base); !strings.Contains(text, `"/b"`) || strings.Contains(text, `"/a"`) {
		t.Error("the lower number is in force")
	}
	// Mended while the harmful one is on its way: the mended one counts, and is in force.
	y.offer(2, 4, "/worse", true)
	y.run(time.Second)
	y.offer(2, 5, "/mended", false)
	y.settle()
	y.check()
}

func TestTwoInATrainConflict(t *testing.T) {
	y := newYard(t, 6, 300, 24)
	y.settle()
	y.offer(20, 2, "/first", false)
	y.run(time.Second)
	y.offer(1, 2, "/same", false)
	y.offer(2, 2, "/same", false)
	y.offer(3, 2, "/other", false)
	y.settle()
	y.check()
	if h := y.book.Standing().Held; len(h) != 1 || h[0].Namespace != "t2" {
		t.Errorf("%+v", h)
	}
}

func TestTakenBackBeforeItIsThrough(t *testing.T) {
	y := newYard(t, 7, 300, 24)
	y.settle()
	y.offer(1, 2, "/new", false)
	y.run(3 * time.Second)
	y.offer(1, 3, "/1", false)
	y.settle()
	y.check()
	// By an operator, who goes back: no proxy keeps it.
	base := y.book.Standing().Base
	y.offer(1, 4, "/new", false)
	y.run(4 * time.Second)
	y.changes = y.changes[:2]
	y.do(store.Command{Back: &store.Back{Epoch: base.Epoch, By: "on call"}})
	y.settle()
	y.check()
	for _, c := range y.all {
		if c.has.Epoch != base.Epoch || c.has.Generation != base.Generation+1 {
			t.Fatalf("%s has %+v", c.name, c.has)
		}
	}
}

func TestAThirdOfTheProxiesIsNew(t *testing.T) {
	for seed := range uint64(5) {
		y := newYard(t, seed, 200, 24)
		y.settle()
		for i := range 20 {
			y.offer(i, 2, fmt.Sprint("/n", i), i == 11)
			y.run(time.Duration(y.rng.IntN(60)) * slot)
			if i == 10 {
				y.join(100)
			}
			if i == 15 { // as many go at one moment
				for _, c := range y.all[:100] {
					c.gone = true
				}
				y.counted = false // what is least may be theirs
			}
		}
		y.settle()
		y.check()
	}
}

// One that proxies can't take up keeps nobody else waiting for ever.
func TestOneThatCannotBeTakenUp(t *testing.T) {
	y := newYard(t, 11, 300, 24)
	y.settle()
	y.offer(20, 2, "/first", false)
	y.run(time.Second)
	y.changes = append(y.changes, &offered{team: 3, number: 2, never: true}) // known before it departs
	for i := range 6 {
		y.offer(i, 2, fmt.Sprint("/n", i), false)
		y.run(time.Second)
	}
	y.settle()
	y.changes = slices.DeleteFunc(y.changes, func(o *offered) bool { return o.team == 3 })
	y.check()
	if f := y.book.Standing().Faults; len(f) != 1 || f[0].Namespace != "t3" || !strings.Contains(f[0].Why, "did not take it up") {
		t.Errorf("%+v", f)
	}
}

// A zone is cut off through twenty changes: the others go on, also past a harmful one, and joined again it has what they have.
func TestAZoneIsCutOffThroughTwentyChanges(t *testing.T) {
	y := newYard(t, 10, 300, 24)
	y.settle()
	zone := y.all[:14]
	cut := func(is bool) {
		for _, c := range zone {
			c.gone = is
		}
		y.counted = false
	}
	y.offer(20, 2, "/first", false)
	y.run(time.Second)
	cut(true)
	for i := range 20 {
		y.offer(i, 2, fmt.Sprint("/n", i), i == 7)
		y.run(9 * time.Second)
	}
	y.settle()
	before := y.book.Standing().Base
	cut(false)
	y.settle()
	y.check()
	for _, c := range y.all {
		if c.has != before {
			t.Fatalf("%s has %+v, the others %+v", c.name, c.has, before)
		}
	}
}

func TestFoundedAnew(t *testing.T) {
	y := newYard(t, 9, 300, 24)
	y.settle()
	y.offer(1, 2, "/a", false)
	y.run(3 * time.Second) // amid its train the stewards' folders are lost
	y.changes = nil
	y.found(24)
	y.settle()
	y.offer(1, 2, "/b", false)
	y.settle()
	y.check()
	for _, c := range y.all {
		if c.has != y.book.Standing().Base {
			t.Fatalf("%s has %+v, in force is %+v", c.name, c.has, y.book.Standing().Base)
		}
	}
}

// Drawn runs of all that: changes, harm, conflicts, leaders lost, proxies that come and go.
func TestDrawnYards(t *testing.T) {
	for seed := range uint64(12) {
		y := newYard(t, seed, 60+40*int(seed), 24)
		y.settle()
		number := 1
		for range 40 {
			switch y.rng.IntN(8) {
			case 0:
				y.roll, y.judge = nil, nil
				y.run(time.Duration(y.rng.IntN(40)) * slot)
				y.lead()
			case 1:
				y.join(y.rng.IntN(len(y.all) / 4))
			case 2:
				for range y.rng.IntN(10) {
					y.all[y.rng.IntN(len(y.all))].gone = true
				}
				y.counted = false
			default:
				number++
				y.offer(y.rng.IntN(24), number, fmt.Sprint("/n", y.rng.IntN(60)), y.rng.IntN(12) == 0)
			}
			y.run(time.Duration(y.rng.IntN(100)) * slot)
		}
		y.settle()
		if wrong := y.verdict(); len(wrong) > 0 {
			t.Errorf("seed %d: %d: %s", seed, len(wrong), wrong[0])
		}
	}
}

// BenchmarkHour is an hour of changes: one each 9 s, or at drawn moments, 9,500 a day. It gives how long they took until all had them.
func BenchmarkHour(b *testing.B) {
	for _, n := range []int{300, 1000, 2000, 4700} {
		for _, drawn := range []bool{false, true} {
			b.Run(fmt.Sprintf("%d/drawn=%v", n, drawn), func(b *testing.B) {
				for b.Loop() {
					y := newYard(b, 1, n, 24)
					y.settle()
					began := y.trains
					for end, number := y.now+time.Hour, 2; y.now < end; number++ {
						y.offer(y.rng.IntN(24), number, fmt.Sprint("/n", number), false)
						if drawn {
							y.run(time.Duration(9.1 * y.rng.ExpFloat64() * float64(time.Second)))
						} else {
							y.run(9 * time.Second)
						}
					}
					y.settle()
					if wrong := y.verdict(); len(wrong) > 0 {
						b.Fatal(wrong[0])
					}
					all := y.times()
					b.ReportMetric(float64(len(y.changes)), "changes")
					b.ReportMetric(float64(y.trains-began), "trains")
					b.ReportMetric(float64(y.stops), "stopped")
					b.ReportMetric(all[len(all)/2].Seconds(), "p50-s")
					b.ReportMetric(all[len(all)*99/100].Seconds(), "p99-s")
					b.ReportMetric(all[len(all)-1].Seconds(), "max-s")
				}
			})
		}
	}
}

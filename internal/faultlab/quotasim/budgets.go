// Package quotasim plays the rules of a fleet's budgets (internal/quotalease) in virtual time: many holders with many budgets, the
// steward that leads, the log that it agrees on with the others, and the servers that count. It measures what the talk costs,
// how soon the whole is divided anew, and how much of it is used; and it plays rivals, for the judge's own trial.
//
// What it leaves out: elections and lost messages (internal/quotalease/modelcheck and internal/consensus play these), and the time that
// a steward computes, unless Settings.Cost says how long that is; it is told beside.
package quotasim

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"lapisspread/internal/faultlab/checker"
	"lapisspread/internal/quotalease"
)

// Policies: who divides.
const (
	Grants = "grants" // the stewards
	Fixed  = "fixed"  // nobody: each holder has W/n

	FixedOver  = "fixed-over-whole"  // flawed: each has a tenth more
	AfterLease = "spends-past-lease" // flawed: goes on by a grant whose lease is over
)

// Settings of a run.
type Settings struct {
	Policy  string
	Holders int
	Budgets int
	Played  int // of the budgets, so many are drawn on by attempts; the others are asked for alike
	Seed    uint64
	Length  time.Duration
	Lease   time.Duration
	Rate    float64       // units a second of each whole, for each holder
	Falls   float64       // by which part of the way what is asked for falls at each ask, when less is tried; grant.Holder: a third
	Pace    time.Duration // holders ask at least so often; 0 is as often as grant.Holder says
	Cost    time.Duration // that a plan takes of the leading steward for each holder and budget; 0 is none
	Load    float64       // what is wanted of each whole
	Moves   time.Duration // after which another fifth of the holders wants six times what the others do; 0 is all alike, always
	Join    time.Duration // another holder comes then; 0 is none
	Death   time.Duration // a holder is gone then; 0 is none
	Cut     time.Duration // a third of the holders is cut off from the stewards from then on, for three leases; 0 is none
}

// Rates are per second.
type Rates struct {
	Calls, BytesIn, BytesOut float64 // of the steward that leads, with proxies: bodies alone
	Entries, LogBytes        float64 // of the log, to each other steward
}

// Result of a run.
type Result struct {
	Settings
	Rates
	Spending checker.SpendingVerdict
	Joined   time.Duration // until the new holder had nine tenths of an equal share of every budget; Never if it hadn't
	Healed   time.Duration // until all budgets were whole again after the death; Never if they weren't
	Used     float64       // from steadyAfter on
	Rounds   int
	Computed time.Duration // real time that the leading steward took for all its plans
}

// Never is what has not come about.
const Never = time.Duration(math.MaxInt64)

const (
	step  = 10 * time.Millisecond  // in which attempts are drawn
	way   = 500 * time.Microsecond // one way between processes, up to twice that
	write = 2 * time.Millisecond   // of the log, to disk
	zones = 5

	// steadyAfter is when the grants of the start have come round.
	steadyAfter = 10 * time.Second

	hot    = 6.0 // times what the others want
	rounds = 3   // plans for one batch of asks; as internal/controlplane/server does
)

type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// holder is a proxy.
type holder struct {
	*quotalease.Holder
	no     int
	alive  bool
	cut    bool
	fixed  []bucket
	beyond []bucket // of one that goes on
	tried  []int    // since the last ask
	wants  []float64
	asked  time.Duration
	turn   int
}

type bucket struct {
	level, rate, most float64
	at                time.Duration
}

func (b *bucket) take(now time.Duration) bool {
	b.level = min(b.most, b.level+b.rate*(now-b.at).Seconds())
	b.at = now
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

type run struct {
	set      Settings
	rng      *rand.Rand
	now      time.Duration
	queue    events
	seq      int
	names    []string
	fleet    quotalease.Fleet
	holders  []*holder
	book     *quotalease.Book
	keeper   *quotalease.Keeper
	index    uint64
	asks     []func() // answers that wait for the next round
	busy     bool
	res      Result
	spending *checker.Spending
	steady   *checker.Spending // from steadyAfter on
	begin    time.Duration
	request  uint64
	err      error
}

// Play carries out a run. The same settings give the same run, but for Computed.
func Play(set Settings) (Result, error) {
	if set.Holders < 1 || set.Budgets < 1 || set.Played < 0 || set.Played > set.Budgets || set.Lease < 10*step || set.Length < set.Lease || !(set.Rate > 0) || !(set.Falls > 0 && set.Falls <= 1) {
		return Result{}, fmt.Errorf("%d holders, %d budgets, %d played, lease %v, length %v, rate %v and falls %v make no run", set.Holders, set.Budgets, set.Played, set.Lease,
			set.Length, set.Rate, set.Falls)
	}
	r := &run{set: set, rng: rand.New(rand.NewPCG(set.Seed, 24)), book: quotalease.NewBook()}
	r.res = Result{Settings: set, Joined: Never, Healed: Never}
	r.fleet = quotalease.Fleet{ID: "virtual", Drift: .001, Longest: set.Lease}
	whole := set.Rate * float64(set.Holders)
	var judged []checker.FleetBudget
	for i := range set.Budgets {
		name := fmt.Sprintf("b%02d", i)
		r.names = append(r.names, name)
		r.fleet.Budgets = append(r.fleet.Budgets, quotalease.Budget{Name: name, Kind: quotalease.Rate, Whole: whole, Burst: whole, Lease: set.Lease})
		if i < set.Played {
			judged = append(judged, checker.FleetBudget{Name: name, Wholes: []checker.Whole{{Units: whole, Burst: whole}}})
		}
	}
	r.spending, r.steady = checker.NewSpending(2*way, judged), checker.NewSpending(2*way, judged)
	r.keeper = quotalease.NewKeeper(0, 0, r.book)
	r.apply(quotalease.Command{Found: &quotalease.Found{Fleet: r.fleet.ID, Epoch: 1, Drift: r.fleet.Drift, Longest: r.fleet.Longest}})
	r.now = quotalease.Silence(r.fleet.Longest, r.fleet.Drift) + time.Millisecond
	for _, c := range r.keeper.Plan(r.now) { // the time before the founding is over
		r.apply(c)
	}
	r.apply(quotalease.Command{SetBudgets: &quotalease.SetBudgets{Version: 1, Fleet: r.fleet}})
	r.begin = r.now
	for range set.Holders {
		r.born()
	}
	r.later(0, r.tick)
	if set.Join > 0 {
		r.later(set.Join, func() { r.born(); r.watch(&r.res.Joined, r.now, r.joined) })
	}
	if set.Death > 0 {
		r.later(set.Death, func() { r.holders[0].alive = false; r.watch(&r.res.Healed, r.now, r.whole) })
	}
	if set.Cut > 0 {
		r.later(set.Cut, func() { r.cut(true) })
		r.later(set.Cut+3*set.Lease, func() { r.cut(false) })
	}
	for r.err == nil && len(r.queue) > 0 && r.queue[0].at <= r.begin+set.Length {
		e := heap.Pop(&r.queue).(event)
		r.now = e.at
		e.do()
	}
	for _, x := range []*float64{&r.res.Calls, &r.res.BytesIn, &r.res.BytesOut, &r.res.Entries, &r.res.LogBytes} {
		*x /= set.Length.Seconds()
	}
	r.res.Spending, r.res.Used = r.spending.Verdict(), r.steady.Verdict().Used
	return r.res, r.err
}

func (r *run) later(after time.Duration, do func()) {
	r.seq++
	heap.Push(&r.queue, event{r.now + after, r.seq, do})
}

func (r *run) cut(cut bool) {
	for i, h := range r.holders {
		if i%3 == 0 {
			h.cut = cut
		}
	}
}

// born is a new holder, which asks from now on.
func (r *run) born() {
	no := len(r.holders)
	key := quotalease.Key{Holder: fmt.Sprintf("n%d", no), Incarnation: 1}
	h := &holder{no: no, alive: true, Holder: quotalease.NewHolder(quotalease.HolderSettings{Fleet: r.fleet.ID, Key: key, Drift: r.fleet.Drift})}
	r.holders = append(r.holders, h)
	share := r.set.Rate
	if r.set.Policy == FixedOver {
		share *= 1.1
	}
	h.tried, h.wants, h.asked = make([]int, r.set.Played), make([]float64, r.set.Played), r.now
	for range r.set.Budgets {
		h.fixed = append(h.fixed, bucket{rate: share, most: share, at: r.now})
		h.beyond = append(h.beyond, bucket{at: r.now})
	}
	if r.talks() {
		r.later(time.Duration(r.rng.Int64N(int64(r.set.Lease/3))), func() { r.ask(h) })
	}
}

// talks tells whether there are stewards.
func (r *run) talks() bool { return r.set.Policy == Grants || r.set.Policy == AfterLease }

func (r *run) delay() time.Duration { return way + time.Duration(r.rng.Int64N(int64(way))) }

// rate is what a holder wants of a budget, a second.
func (r *run) rate(h *holder) float64 {
	if r.set.Moves == 0 {
		return r.set.Rate * r.set.Load
	}
	cold := r.set.Rate * r.set.Load * zones / (hot + zones - 1)
	if h.no%zones == int(r.now/r.set.Moves)%zones {
		return cold * hot
	}
	return cold
}

// ask has a holder ask, and ask again.
func (r *run) ask(h *holder) {
	if !h.alive {
		return
	}
	for i, name := range r.names {
		if i >= r.set.Played {
			h.Want(name, r.rate(h))
			continue
		}
		h.measure(r.now, i, r.set.Falls)
		h.Want(name, h.wants[i])
	}
	h.asked = r.now
	if !h.cut {
		sent, request := r.now, h.Ask(r.now)
		r.res.Calls++
		r.res.BytesIn += r.size(request)
		r.later(r.delay(), func() {
			r.asks = append(r.asks, func() { r.answer(h, sent) })
			if err := r.keeper.Heard(r.now, request); err != nil {
				r.err = err
			}
			r.round(0)
		})
	}
	r.again(h)
}

// again has a holder ask when it is due, by what it holds now: a reply changes that.
func (r *run) again(h *holder) {
	h.turn++
	turn := h.turn
	every := h.Every()
	if r.set.Pace > 0 {
		every = min(every, r.set.Pace)
	}
	r.later(max(0, h.asked+every-r.now), func() {
		if h.turn == turn {
			r.ask(h)
		}
	})
}

// measure finds what is wanted of a budget by what was tried since the last ask: as grant.Holder does for a budget that it has
// been granted, which this one may not have been yet. It rises at once and falls by a part of the way.
func (h *holder) measure(now time.Duration, budget int, falls float64) {
	if now <= h.asked {
		return
	}
	seen := headroom * float64(h.tried[budget]) / (now - h.asked).Seconds()
	h.wants[budget] = max(seen, h.wants[budget]-(h.wants[budget]-seen)*falls)
	h.tried[budget] = 0
}

// headroom is by how much more is asked for than was tried.
const headroom = 1.2

func (r *run) answer(h *holder, sent time.Duration) {
	reply := r.book.Tell(quotalease.Key{Holder: fmt.Sprintf("n%d", h.no), Incarnation: 1})
	r.res.BytesOut += r.size(reply)
	r.later(r.delay(), func() {
		if h.alive && !h.cut {
			_ = h.Take(sent, r.now, reply) // what it refuses is told again
			r.again(h)
		}
	})
}

func (r *run) size(v any) float64 {
	text, err := cbor.Marshal(v)
	if err != nil {
		r.err = err
	}
	return float64(len(text))
}

// round is the leading steward's: plans until all is done that the asks so far are due, each committed before the next; then the
// answers. Asks that come meanwhile wait for the next round.
func (r *run) round(done int) {
	if done == 0 && r.busy {
		return
	}
	if done == 0 {
		r.res.Rounds++
	}
	r.busy = true
	var commands []quotalease.Command
	if done < rounds && r.keeper.Pending(r.now) {
		begun := time.Now()
		commands = r.keeper.Plan(r.now)
		r.res.Computed += time.Since(begun)
	}
	if len(commands) > 0 {
		batch := quotalease.Command{Batch: commands}
		text, err := json.Marshal(batch)
		if err != nil {
			r.err = err
		}
		r.res.Entries++
		r.res.LogBytes += float64(len(text))
		r.later(2*r.delay()+write+r.cost(), func() {
			begun := time.Now()
			r.apply(batch)
			r.res.Computed += time.Since(begun)
			r.round(done + 1)
		})
		return
	}
	answers := r.asks
	r.asks, r.busy = nil, false
	for _, answer := range answers {
		answer()
	}
}

func (r *run) cost() time.Duration {
	return r.set.Cost * time.Duration(len(r.holders)*r.set.Budgets)
}

func (r *run) apply(c quotalease.Command) {
	r.index++
	a, err := r.book.Apply(r.index, c)
	if err != nil {
		r.err = err
	}
	r.keeper.Note(r.now, a)
}

// tick draws the attempts of a step.
func (r *run) tick() {
	for _, h := range r.holders {
		if !h.alive {
			continue
		}
		mean := r.rate(h) * step.Seconds()
		for b := range r.set.Played {
			for n := r.poisson(mean); n > 0; n-- {
				r.request++
				allowed, arrives := r.allow(h, b), r.now+r.delay()
				for _, s := range r.judges() {
					s.Wanted(r.now, b, r.request)
					if allowed {
						s.Took(arrives, b, r.request, false)
					}
				}
			}
		}
	}
	r.later(step, r.tick)
}

// judges are those who count now.
func (r *run) judges() []*checker.Spending {
	if r.now < r.begin+steadyAfter {
		return []*checker.Spending{r.spending}
	}
	return []*checker.Spending{r.spending, r.steady}
}

// poisson draws by multiplication; means here are far below 1. (Knuth, TAOCP 2, 3.4.1.)
func (r *run) poisson(mean float64) (n int) {
	limit := math.Exp(-mean)
	for p := r.rng.Float64(); p > limit; p *= r.rng.Float64() {
		n++
	}
	return n
}

func (r *run) allow(h *holder, b int) bool {
	if !r.talks() {
		return h.fixed[b].take(r.now)
	}
	h.tried[b]++
	if _, err := h.Allow(r.now, r.names[b], 1); err == nil {
		return true
	}
	if r.set.Policy != AfterLease {
		return false
	}
	own := &h.beyond[b]
	if has := h.Has(r.now, r.names[b]); has.Amount > 0 {
		*own = bucket{rate: has.Amount.Units(), most: has.Amount.Units(), at: r.now}
		return false
	}
	return own.take(r.now)
}

// watch notes after how long something has come about.
func (r *run) watch(to *time.Duration, since time.Duration, is func() bool) {
	if is() {
		*to = r.now - since
		return
	}
	r.later(step, func() { r.watch(to, since, is) })
}

// joined tells whether the newest holder has nine tenths of an equal share of every budget.
func (r *run) joined() bool {
	h := r.holders[len(r.holders)-1]
	due := .9 * r.set.Rate * float64(r.set.Holders) / float64(len(r.holders))
	return !slices.ContainsFunc(r.names, func(name string) bool { return h.Has(r.now, name).Amount.Units() < due })
}

// whole tells whether those who live have all of every budget, but for a tenth of an equal share: of what the dead one had.
func (r *run) whole() bool {
	return !slices.ContainsFunc(r.names, func(name string) bool {
		sum := 0.0
		for _, h := range r.holders {
			if h.alive {
				sum += h.Has(r.now, name).Amount.Units()
			}
		}
		return sum < r.set.Rate*(float64(r.set.Holders)-.1)
	})
}

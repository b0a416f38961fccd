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
	Leases      = "grants" // the stewards
	FixedShares = "fixed"  // nobody: each holder has W/n

	FixedSharesOverLimit = "fixed-over-whole"  // flawed: each has a tenth more
	SpendsExpiredLease   = "spends-past-lease" // flawed: goes on by a grant whose lease is over
)

// Settings of a run.
type Settings struct {
	Policy              string
	Holders             int
	Quotas              int
	DrivenQuotas        int // of the budgets, so many are drawn on by attempts; the others are asked for alike
	Seed                uint64
	Length              time.Duration
	LeaseDuration       time.Duration
	UnitsPerHolder      float64       // units a second of each whole, for each holder
	DemandDecay         float64       // by which part of the way what is asked for falls at each ask, when less is tried; grant.Holder: a third
	MaxRequestInterval  time.Duration // holders ask at least so often; 0 is as often as grant.Holder says
	PlanCost            time.Duration // that a plan takes of the leading steward for each holder and budget; 0 is none
	Load                float64       // what is wanted of each whole
	DemandShiftInterval time.Duration // after which another fifth of the holders wants six times what the others do; 0 is all alike, always
	JoinAt              time.Duration // another holder comes then; 0 is none
	KillAt              time.Duration // a holder is gone then; 0 is none
	PartitionAt         time.Duration // a third of the holders is cut off from the stewards from then on, for three leases; 0 is none
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
	Spending     checker.SpendingVerdict
	JoinTime     time.Duration // until the new holder had nine tenths of an equal share of every budget; Never if it hadn't
	RecoveryTime time.Duration // until all budgets were whole again after the death; Never if they weren't
	Utilization  float64       // from steadyAfter on
	Rounds       int
	ComputeTime  time.Duration // real time that the leading steward took for all its plans
}

// Never is what has not come about.
const Never = time.Duration(math.MaxInt64)

const (
	tickInterval = 10 * time.Millisecond  // in which attempts are drawn
	minDelay     = 500 * time.Microsecond // one way between processes, up to twice that
	logWriteTime = 2 * time.Millisecond   // of the log, to disk
	zones        = 5

	// warmupTime is when the grants of the start have come round.
	warmupTime = 10 * time.Second

	hotFactor = 6.0 // times what the others want
	maxPlans  = 3   // plans for one batch of asks; as internal/controlplane/server does
)

type event struct {
	at  time.Duration
	seq int
	run func()
}

type eventQueue []event

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(x any)   { *e = append(*e, x.(event)) }
func (e *eventQueue) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// holder is a proxy.
type holder struct {
	*quotalease.Holder
	number            int
	alive             bool
	partitioned       bool
	fixedBuckets      []bucket
	overrunBuckets    []bucket // of one that goes on
	attempted         []int    // since the last ask
	wanted            []float64
	requestedAt       time.Duration
	requestGeneration int
}

type bucket struct {
	level, rate, burst float64
	filledAt           time.Duration
}

func (b *bucket) take(now time.Duration) bool {
	b.level = min(b.burst, b.level+b.rate*(now-b.filledAt).Seconds())
	b.filledAt = now
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

type simulation struct {
	settings       Settings
	rng            *rand.Rand
	now            time.Duration
	queue          eventQueue
	seq            int
	quotaNames     []string
	config         quotalease.FleetConfig
	holders        []*holder
	state          *quotalease.StateMachine
	allocator      *quotalease.Allocator
	index          uint64
	pendingReplies []func() // answers that wait for the next round
	planning       bool
	result         Result
	spending       *checker.Spending
	steady         *checker.Spending // from steadyAfter on
	startedAt      time.Duration
	requestCount   uint64
	err            error
}

// Run carries out a run. The same settings give the same run, but for Computed.
func Run(set Settings) (Result, error) {
	if set.Holders < 1 || set.Quotas < 1 || set.DrivenQuotas < 0 || set.DrivenQuotas > set.Quotas || set.LeaseDuration < 10*tickInterval || set.Length < set.LeaseDuration || !(set.UnitsPerHolder > 0) || !(set.DemandDecay > 0 && set.DemandDecay <= 1) {
		return Result{}, fmt.Errorf("%d holders, %d budgets, %d played, lease %v, length %v, rate %v and falls %v make no run", set.Holders, set.Quotas, set.DrivenQuotas, set.LeaseDuration,
			set.Length, set.UnitsPerHolder, set.DemandDecay)
	}
	r := &simulation{settings: set, rng: rand.New(rand.NewPCG(set.Seed, 24)), state: quotalease.NewStateMachine()}
	r.result = Result{Settings: set, JoinTime: Never, RecoveryTime: Never}
	r.config = quotalease.FleetConfig{FleetID: "virtual", MaxDrift: .001, MaxLifetime: set.LeaseDuration}
	whole := set.UnitsPerHolder * float64(set.Holders)
	var judged []checker.FleetBudget
	for i := range set.Quotas {
		name := fmt.Sprintf("b%02d", i)
		r.quotaNames = append(r.quotaNames, name)
		r.config.Quotas = append(r.config.Quotas, quotalease.Quota{Name: name, Kind: quotalease.Rate, Limit: whole, Burst: whole, LeaseDuration: set.LeaseDuration})
		if i < set.DrivenQuotas {
			judged = append(judged, checker.FleetBudget{Name: name, Wholes: []checker.Whole{{Units: whole, Burst: whole}}})
		}
	}
	r.spending, r.steady = checker.NewSpending(2*minDelay, judged), checker.NewSpending(2*minDelay, judged)
	r.allocator = quotalease.NewAllocator(0, 0, r.state)
	r.apply(quotalease.Command{Bootstrap: &quotalease.Bootstrap{FleetID: r.config.FleetID, Epoch: 1, MaxDrift: r.config.MaxDrift, MaxLifetime: r.config.MaxLifetime}})
	r.now = quotalease.StartupSilence(r.config.MaxLifetime, r.config.MaxDrift) + time.Millisecond
	for _, c := range r.allocator.Plan(r.now) { // the time before the founding is over
		r.apply(c)
	}
	r.apply(quotalease.Command{SetQuotas: &quotalease.SetQuotas{Version: 1, Config: r.config}})
	r.startedAt = r.now
	for range set.Holders {
		r.startHolder()
	}
	r.schedule(0, r.drawAttempts)
	if set.JoinAt > 0 {
		r.schedule(set.JoinAt, func() { r.startHolder(); r.recordWhen(&r.result.JoinTime, r.now, r.newestHasItsShare) })
	}
	if set.KillAt > 0 {
		r.schedule(set.KillAt, func() { r.holders[0].alive = false; r.recordWhen(&r.result.RecoveryTime, r.now, r.fullyLeased) })
	}
	if set.PartitionAt > 0 {
		r.schedule(set.PartitionAt, func() { r.setPartitioned(true) })
		r.schedule(set.PartitionAt+3*set.LeaseDuration, func() { r.setPartitioned(false) })
	}
	for r.err == nil && len(r.queue) > 0 && r.queue[0].at <= r.startedAt+set.Length {
		e := heap.Pop(&r.queue).(event)
		r.now = e.at
		e.run()
	}
	for _, x := range []*float64{&r.result.Calls, &r.result.BytesIn, &r.result.BytesOut, &r.result.Entries, &r.result.LogBytes} {
		*x /= set.Length.Seconds()
	}
	r.result.Spending, r.result.Utilization = r.spending.Verdict(), r.steady.Verdict().Used
	return r.result, r.err
}

func (r *simulation) schedule(after time.Duration, do func()) {
	r.seq++
	heap.Push(&r.queue, event{r.now + after, r.seq, do})
}

func (r *simulation) setPartitioned(cut bool) {
	for i, h := range r.holders {
		if i%3 == 0 {
			h.partitioned = cut
		}
	}
}

// startHolder is a new holder, which asks from now on.
func (r *simulation) startHolder() {
	no := len(r.holders)
	key := quotalease.HolderID{Holder: fmt.Sprintf("n%d", no), Incarnation: 1}
	h := &holder{number: no, alive: true, Holder: quotalease.NewHolder(quotalease.HolderSettings{FleetID: r.config.FleetID, HolderID: key, MaxDrift: r.config.MaxDrift})}
	r.holders = append(r.holders, h)
	share := r.settings.UnitsPerHolder
	if r.settings.Policy == FixedSharesOverLimit {
		share *= 1.1
	}
	h.attempted, h.wanted, h.requestedAt = make([]int, r.settings.DrivenQuotas), make([]float64, r.settings.DrivenQuotas), r.now
	for range r.settings.Quotas {
		h.fixedBuckets = append(h.fixedBuckets, bucket{rate: share, burst: share, filledAt: r.now})
		h.overrunBuckets = append(h.overrunBuckets, bucket{filledAt: r.now})
	}
	if r.usesLeases() {
		r.schedule(time.Duration(r.rng.Int64N(int64(r.settings.LeaseDuration/3))), func() { r.sendRequest(h) })
	}
}

// usesLeases tells whether there are stewards.
func (r *simulation) usesLeases() bool {
	return r.settings.Policy == Leases || r.settings.Policy == SpendsExpiredLease
}

func (r *simulation) delay() time.Duration {
	return minDelay + time.Duration(r.rng.Int64N(int64(minDelay)))
}

// demandOf is what a holder wants of a budget, a second.
func (r *simulation) demandOf(h *holder) float64 {
	if r.settings.DemandShiftInterval == 0 {
		return r.settings.UnitsPerHolder * r.settings.Load
	}
	cold := r.settings.UnitsPerHolder * r.settings.Load * zones / (hotFactor + zones - 1)
	if h.number%zones == int(r.now/r.settings.DemandShiftInterval)%zones {
		return cold * hotFactor
	}
	return cold
}

// sendRequest has a holder ask, and ask again.
func (r *simulation) sendRequest(h *holder) {
	if !h.alive {
		return
	}
	for i, name := range r.quotaNames {
		if i >= r.settings.DrivenQuotas {
			h.SetDemand(name, r.demandOf(h))
			continue
		}
		h.measureDemand(r.now, i, r.settings.DemandDecay)
		h.SetDemand(name, h.wanted[i])
	}
	h.requestedAt = r.now
	if !h.partitioned {
		sent, request := r.now, h.NextRequest(r.now)
		r.result.Calls++
		r.result.BytesIn += r.encodedSize(request)
		r.schedule(r.delay(), func() {
			r.pendingReplies = append(r.pendingReplies, func() { r.sendReply(h, sent) })
			if err := r.allocator.HandleRequest(r.now, request); err != nil {
				r.err = err
			}
			r.planRound(0)
		})
	}
	r.scheduleRequest(h)
}

// scheduleRequest has a holder ask when it is due, by what it holds now: a reply changes that.
func (r *simulation) scheduleRequest(h *holder) {
	h.requestGeneration++
	turn := h.requestGeneration
	every := h.RequestInterval()
	if r.settings.MaxRequestInterval > 0 {
		every = min(every, r.settings.MaxRequestInterval)
	}
	r.schedule(max(0, h.requestedAt+every-r.now), func() {
		if h.requestGeneration == turn {
			r.sendRequest(h)
		}
	})
}

// measureDemand finds what is wanted of a budget by what was tried since the last ask: as grant.Holder does for a budget that it has
// been granted, which this one may not have been yet. It rises at once and falls by a part of the way.
func (h *holder) measureDemand(now time.Duration, budget int, falls float64) {
	if now <= h.requestedAt {
		return
	}
	seen := demandHeadroom * float64(h.attempted[budget]) / (now - h.requestedAt).Seconds()
	h.wanted[budget] = max(seen, h.wanted[budget]-(h.wanted[budget]-seen)*falls)
	h.attempted[budget] = 0
}

// demandHeadroom is by how much more is asked for than was tried.
const demandHeadroom = 1.2

func (r *simulation) sendReply(h *holder, sent time.Duration) {
	reply := r.state.ReplyTo(quotalease.HolderID{Holder: fmt.Sprintf("n%d", h.number), Incarnation: 1})
	r.result.BytesOut += r.encodedSize(reply)
	r.schedule(r.delay(), func() {
		if h.alive && !h.partitioned {
			_ = h.HandleReply(sent, r.now, reply) // what it refuses is told again
			r.scheduleRequest(h)
		}
	})
}

func (r *simulation) encodedSize(v any) float64 {
	text, err := cbor.Marshal(v)
	if err != nil {
		r.err = err
	}
	return float64(len(text))
}

// planRound is the leading steward's: plans until all is done that the asks so far are due, each committed before the next; then the
// answers. Asks that come meanwhile wait for the next round.
func (r *simulation) planRound(done int) {
	if done == 0 && r.planning {
		return
	}
	if done == 0 {
		r.result.Rounds++
	}
	r.planning = true
	var commands []quotalease.Command
	if done < maxPlans && r.allocator.HasWork(r.now) {
		begun := time.Now()
		commands = r.allocator.Plan(r.now)
		r.result.ComputeTime += time.Since(begun)
	}
	if len(commands) > 0 {
		batch := quotalease.Command{Batch: commands}
		text, err := json.Marshal(batch)
		if err != nil {
			r.err = err
		}
		r.result.Entries++
		r.result.LogBytes += float64(len(text))
		r.schedule(2*r.delay()+logWriteTime+r.planCost(), func() {
			begun := time.Now()
			r.apply(batch)
			r.result.ComputeTime += time.Since(begun)
			r.planRound(done + 1)
		})
		return
	}
	answers := r.pendingReplies
	r.pendingReplies, r.planning = nil, false
	for _, answer := range answers {
		answer()
	}
}

func (r *simulation) planCost() time.Duration {
	return r.settings.PlanCost * time.Duration(len(r.holders)*r.settings.Quotas)
}

func (r *simulation) apply(c quotalease.Command) {
	r.index++
	a, err := r.state.Apply(r.index, c)
	if err != nil {
		r.err = err
	}
	r.allocator.ObserveApplied(r.now, a)
}

// drawAttempts draws the attempts of a step.
func (r *simulation) drawAttempts() {
	for _, h := range r.holders {
		if !h.alive {
			continue
		}
		mean := r.demandOf(h) * tickInterval.Seconds()
		for b := range r.settings.DrivenQuotas {
			for n := r.poisson(mean); n > 0; n-- {
				r.requestCount++
				allowed, arrives := r.acquire(h, b), r.now+r.delay()
				for _, s := range r.activeCheckers() {
					s.Wanted(r.now, b, r.requestCount)
					if allowed {
						s.Took(arrives, b, r.requestCount, false)
					}
				}
			}
		}
	}
	r.schedule(tickInterval, r.drawAttempts)
}

// activeCheckers are those who count now.
func (r *simulation) activeCheckers() []*checker.Spending {
	if r.now < r.startedAt+warmupTime {
		return []*checker.Spending{r.spending}
	}
	return []*checker.Spending{r.spending, r.steady}
}

// poisson draws by multiplication; means here are far below 1. (Knuth, TAOCP 2, 3.4.1.)
func (r *simulation) poisson(mean float64) (n int) {
	limit := math.Exp(-mean)
	for p := r.rng.Float64(); p > limit; p *= r.rng.Float64() {
		n++
	}
	return n
}

func (r *simulation) acquire(h *holder, b int) bool {
	if !r.usesLeases() {
		return h.fixedBuckets[b].take(r.now)
	}
	h.attempted[b]++
	if _, err := h.Acquire(r.now, r.quotaNames[b], 1); err == nil {
		return true
	}
	if r.settings.Policy != SpendsExpiredLease {
		return false
	}
	own := &h.overrunBuckets[b]
	if has := h.Status(r.now, r.quotaNames[b]); has.Amount > 0 {
		*own = bucket{rate: has.Amount.Units(), burst: has.Amount.Units(), filledAt: r.now}
		return false
	}
	return own.take(r.now)
}

// recordWhen notes after how long something has come about.
func (r *simulation) recordWhen(to *time.Duration, since time.Duration, is func() bool) {
	if is() {
		*to = r.now - since
		return
	}
	r.schedule(tickInterval, func() { r.recordWhen(to, since, is) })
}

// newestHasItsShare tells whether the newest holder has nine tenths of an equal share of every budget.
func (r *simulation) newestHasItsShare() bool {
	h := r.holders[len(r.holders)-1]
	due := .9 * r.settings.UnitsPerHolder * float64(r.settings.Holders) / float64(len(r.holders))
	return !slices.ContainsFunc(r.quotaNames, func(name string) bool { return h.Status(r.now, name).Amount.Units() < due })
}

// fullyLeased tells whether those who live have all of every budget, but for a tenth of an equal share: of what the dead one had.
func (r *simulation) fullyLeased() bool {
	return !slices.ContainsFunc(r.quotaNames, func(name string) bool {
		sum := 0.0
		for _, h := range r.holders {
			if h.alive {
				sum += h.Status(r.now, name).Amount.Units()
			}
		}
		return sum < r.settings.UnitsPerHolder*(float64(r.settings.Holders)-.1)
	})
}

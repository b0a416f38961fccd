package decision

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// What a timer is for: the first byte of its token.
const (
	timerSweep     = 1
	timerEndpoints = 2
	timerAttempt   = 3
	timerDispatch  = 4
)

// Balancer decides for one proxy. Make it with New and tell it of each event.
type Balancer struct {
	config                                  Config
	host                                    Host
	random                                  *rand.Rand
	now                                     time.Duration
	checkInterval                           time.Duration // between two probes of one target
	decaySpan                               time.Duration // over which what was measured fades
	targets                                 []*target     // one that left stays while something is out
	listed                                  []*target     // those listed ready, in this proxy's order
	active                                  []*target     // those of them in use
	targetsByID                             map[BackendID]*target
	detached                                map[BackendID]time.Duration // taken out by order, and since when
	requests                                map[RequestID]*request
	latencyByClass                          []linearFit      // delay over cost hint
	tailByClass                             []quantile       // of the delay of a request of mean cost, ms
	meanLatency                             float64          // delay of a request of any class, ms
	meanWork                                float64          // what it asks of a backend, ms
	medianRatio                             float64          // of the targets' delay ratios
	longestLatency                          float64          // delay of late, ms; 0 is none yet
	medianRatioByLocality                   [2]float64       // of those in the own zone, and of the others
	sharedLimit                             concurrencyLimit // of all backends
	totalTally, tallyByClass, tallyByTenant []tally          // all is of length 1
	trafficByTenant                         []decayingSum    // requests, by tenant
	queue                                   []*request
	dispatchScheduled                       bool    // a timer for what waits is out
	retryBudget, checkBudget                float64 // budgets of further attempts and of probes
	// failed calls for the list in a row; where probing goes on
	failedListCalls, checkCursor int
	meanSamples                  float64 // requests over which overall means are taken by now
	meanGain                     float64 // of requests as they come, times what all ask for
	// likewise of what they bring for each ms that they are open
	meanDensity  float64
	openRequests int     // requests without a final answer
	requestCount float64 // requests since the time in since
	countedSince time.Duration
	lastLogAt    time.Duration
	predecessor  *Snapshot // of one before it; nil is none
	candidates   []*target // for use within pick
	ratioBuffer  []float64 // for use within findMedian
}

// target is the checker's entry for one backend; it outlives list changes and restarts.
type target struct {
	Backend
	healthy, checkInFlight     bool
	detached                   bool   // taken out by order
	hashOrder                  uint64 // where it stands among those this proxy may use
	failedChecks, passedChecks int    // probes in a row
	nextCheck                  time.Duration
	inFlight                   []*attempt // oldest first
	// as registered, over the mean; 1 where that is not told
	relativeSize         float64
	limit                concurrencyLimit // with what is out there
	ratioSum, ratioCount decayingSum      // sum of delay ratios, and their number
	// of what is out: the sums of sent/expected and 1/expected
	sentOverExpected, inverseExpected float64
	consecutiveFailures               int // attempts in a row that got no answer
	lastSuccess                       time.Duration
	failingSince, checksFailingSince  time.Duration // the first of those in a row
	lossesByClass                     []decayingSum // unanswered attempts by class, halved by each answer
	lastStart, tokensUpdatedAt        time.Duration // coldSince: last known or suspected start; 0 is long ago
	// what a cold backend may be sent, in requests of mean work
	slowStartTokens        float64
	slowStartRate          float64     // ms of work a second
	servedWork, recentWork decayingSum // work
}

// concurrencyLimit is the concurrency limit: what is out at a backend, or at all of them, and how
// much may be.
type concurrencyLimit struct {
	inFlight int
	// load: heavy requests count for more; boost: what each answer in time adds
	load, limit, growthStep float64
	// unit: this proxy's part of one request at each; cut: what a late one leaves
	unit, backoffFactor  float64
	lastSent, averagedAt time.Duration
	averagingSpan        time.Duration // that the load is averaged over; 0 takes it as it is
	averageLoad          float64
}

func newConcurrencyLimit(unit, cut float64, over time.Duration) concurrencyLimit {
	c := concurrencyLimit{averagingSpan: over, unit: unit, backoffFactor: cut, growthStep: 1}
	c.limit = initialLimit * unit
	return c
}

// meanLoad is the load of late. It must be asked before the load changes.
func (c *concurrencyLimit) meanLoad(now time.Duration) float64 {
	if c.averagingSpan == 0 {
		return c.load
	}
	c.averageLoad += (c.load - c.averageLoad) * (1 -
		math.Exp(-float64(now-c.averagedAt)/float64(c.averagingSpan)))
	c.averagedAt = now
	return c.averageLoad
}

// reservation is an attempt's part in a limiter.
type reservation struct {
	*concurrencyLimit
	loadAtSend float64 // the load with this attempt
	lateAt     time.Duration
	late       bool
}

// isLate tells whether an attempt is late by now; one whose body is on its way is not.
func (a *attempt) isLate(u *reservation, now time.Duration) bool {
	return !a.uploading && now >= u.lateAt
}

type request struct {
	Request
	arrived, objectiveAt, waitUntil time.Duration
	attempts                        []*attempt
	ended, streaming                bool
	bodyComplete                    bool // its streamed body has gone by
	streamingAttempt                *attempt
	value, overQuota, rank          float64 // over: part of its tenant's traffic that is beyond its share
}

type attempt struct {
	request                                    *request
	number, zone, cell                         int
	target                                     *target
	sentAt, waitingSince                       time.Duration // sent: from when on an answer is waited for
	reservations                               []reservation
	expectedLatency, work, loadWeight          float64
	done, mayHaveRun, cancelled, retryReserved bool    // again: its end asks for another attempt
	uploading                                  bool    // its body is on its way: no answer is waited for yet
	fullWeight                                 float64 // its weight from then on
}

// hasInFlight tells whether an attempt is out.
func (r *request) hasInFlight() bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return !a.done })
}

func wasTried(r *request, t *target) bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.target == t })
}

// newTarget enters a backend that the list names for the first time.
func (b *Balancer) newTarget(e Backend) *target {
	t := &target{Backend: e, healthy: true, tokensUpdatedAt: b.now}
	t.lossesByClass = make([]decayingSum, len(b.config.Classes))
	t.hashOrder = hashKey(uint64(b.config.Rank)+1, e.ID)
	_, t.detached = b.detached[e.ID]
	b.targetsByID[e.ID] = t
	b.targets = append(b.targets, t)
	return t
}

// locality is 0 for a backend in the own zone, else 1.
func (b *Balancer) locality(t *target) int {
	if t.Zone == b.config.Zone {
		return 0
	}
	return 1
}

// begin enters an attempt in its request's and its backend's books.
func (a *attempt) begin() {
	r, t := a.request, a.target
	r.attempts = append(r.attempts, a)
	t.inFlight = append(t.inFlight, a)
	if a.uploading = r.StreamedBody; a.uploading {
		a.fullWeight, a.loadWeight = a.loadWeight, 0
		return
	}
	a.startWaiting(a.waitingSince)
}

// startWaiting notes that an answer is waited for from now on. A body that is still on its way says
// nothing of how
// fast the backend answers, and is no load there yet: the backend begins with its last byte.
func (a *attempt) startWaiting(now time.Duration) {
	t := a.target
	t.sentOverExpected += millis(now) / a.expectedLatency
	t.inverseExpected += 1 / a.expectedLatency
	if a.uploading {
		a.uploading, a.loadWeight = false, a.fullWeight
		for i := range a.reservations {
			u := &a.reservations[i]
			u.meanLoad(now)
			u.load += a.loadWeight
			u.lateAt, u.loadAtSend = u.lateAt+now-a.waitingSince, u.load
		}
	}
	a.waitingSince = now
}

// release takes an attempt off all books.
func (a *attempt) release(now time.Duration) {
	t := a.target
	a.done = true
	if i := slices.Index(t.inFlight, a); i >= 0 {
		t.inFlight = slices.Delete(t.inFlight, i, i+1)
	}
	for i := range a.reservations {
		c := a.reservations[i].concurrencyLimit
		if c.meanLoad(now); c.inFlight > 1 {
			c.inFlight, c.load = c.inFlight-1, c.load-a.loadWeight
		} else {
			c.inFlight, c.load = 0, 0
		}
	}
	if len(t.inFlight) == 0 {
		t.sentOverExpected, t.inverseExpected = 0, 0
	} else if !a.uploading {
		t.sentOverExpected -= millis(a.waitingSince) / a.expectedLatency
		t.inverseExpected -= 1 / a.expectedLatency
	}
}

// recordRatio remembers how long n answers took, as multiples of what was expected.
func (t *target) recordRatio(now, span time.Duration, ratio, n float64) {
	t.ratioSum.add(ratio, now, span)
	t.ratioCount.add(n, now, span)
}

// reserve notes that an attempt counts in a limiter, and is late there after so many ms.
func (c *concurrencyLimit) reserve(a *attempt, now time.Duration, late float64) {
	before := c.meanLoad(now)
	c.inFlight, c.load, c.lastSent = c.inFlight+1, c.load+a.loadWeight, now
	u := reservation{concurrencyLimit: c, loadAtSend: max(before, c.meanLoad(now))}
	u.lateAt = now + fromMillis(late)
	a.reservations = append(a.reservations, u)
}

// updateTallies enters worth in the tallies that a request belongs to.
func (b *Balancer) updateTallies(r *request, f func(*tally)) {
	f(&b.totalTally[0])
	f(&b.tallyByClass[r.Class])
	if r.Tenant >= 0 && r.Tenant < len(b.tallyByTenant) {
		f(&b.tallyByTenant[r.Tenant])
	}
}

// decayTallies lets all tallies fade to a part f.
func (b *Balancer) decayTallies(f float64) {
	for _, list := range [3][]tally{b.totalTally, b.tallyByClass, b.tallyByTenant} {
		for i := range list {
			list[i].offered, list[i].served = list[i].offered*f, list[i].served*f
		}
	}
}

// log prints a line now and then.
func (b *Balancer) log(line string) {
	if b.lastLogAt == 0 || b.now-b.lastLogAt >= logInterval {
		b.lastLogAt = b.now
		b.host.Log(line)
	}
}

// updateBaselines sets what is usual: each class's tail, and the medians: of all, and of the own zone's
// and the others'
// apart. Danger: in a short zone, one elsewhere that is taken to be as slow as those would get no
// request, and never
// be known.
func (b *Balancer) updateBaselines() {
	b.ratioBuffer = b.ratioBuffer[:0]
	for away := range b.medianRatioByLocality {
		from := len(b.ratioBuffer)
		for _, t := range b.active {
			sum, n := t.ratioSum.decay(b.now, b.decaySpan), t.ratioCount.decay(b.now, b.decaySpan)
			if t.healthy && n > priorAnswers && b.locality(t) == away {
				b.ratioBuffer = append(b.ratioBuffer, sum/n)
			}
		}
		b.medianRatioByLocality[away] = median(b.ratioBuffer[from:])
	}
	b.medianRatio = median(b.ratioBuffer)
	for i := range b.tailByClass {
		b.tailByClass[i].trackBaseline(tailMinSamples, tailBaselineRise)
	}
}

// overQuotaShare is the part of a tenant's traffic beyond its share, if all proxies see as much of it.
func (b *Balancer) overQuotaShare(i int) float64 {
	quota := b.config.Tenants[i].QuotaPerSecond / float64(b.config.Instances)
	b.trafficByTenant[i].add(1, b.now, b.config.Constraints.OverloadWindow)
	if rate := b.trafficByTenant[i].perSecond(b.now,
		b.config.Constraints.OverloadWindow); quota > 0 && rate > quota {
		return 1 - quota/rate
	}
	return 0
}

// rebuildListed brings those listed ready and not taken out into this proxy's order, each with its
// size over the mean.
func (b *Balancer) rebuildListed() {
	b.listed = b.listed[:0]
	sizes := 0.0
	for _, t := range b.targets {
		if t.State == Ready && !t.detached {
			b.listed = append(b.listed, t)
			sizes += t.Weight
		}
	}
	for _, t := range b.listed {
		if t.relativeSize = 1; b.config.Weights == WeightNominal && t.Weight > 0 {
			t.relativeSize = t.Weight * float64(len(b.listed)) / sizes
		}
	}
	slices.SortFunc(b.listed, func(x, y *target) int { return cmp.Compare(x.hashOrder, y.hashOrder) })
}

// similarServedRate is the work a second that warm backends of the same kind and zone serve, else
// all warm ones.
func (b *Balancer) similarServedRate(t *target) float64 {
	sum, n := 0.0, 0.0
	for i := 0; i < 2 && n == 0; i++ {
		for _, o := range b.active {
			if _, c := b.warmUpCapacity(o); !c && o.healthy && (i > 0 ||
				o.Kind == t.Kind && o.Zone == t.Zone) {
				sum, n = sum+o.servedWork.perSecond(b.now, servedWorkIntervals*b.checkInterval), n+1
			}
		}
	}
	return sum / max(n, 1)
}

func (b *Balancer) startHealthCheck(t *target) {
	t.checkInFlight, t.nextCheck = true, b.now+b.checkInterval
	b.host.CheckHealth(t.ID)
}

// workOf is what a request asks of a backend, in ms.
func (b *Balancer) workOf(r *request) float64 {
	if r.ExpectedWork > 0 {
		return millis(r.ExpectedWork)
	}
	return b.expectedLatency(r.Class, 0)
}

// expectedLatency is the delay in ms that class and hint lead one to expect of any backend.
func (b *Balancer) expectedLatency(class int, cost float64) float64 {
	c := &b.latencyByClass[class]
	if c.n < 1 {
		return millis(b.config.Classes[class].LatencyObjective) / 4
	}
	if cost <= 0 {
		return c.mean()
	}
	return max(c.mean()/4, c.predict(cost))
}

// valueRequest values a request and enters it in the tallies of what was asked for.
func (b *Balancer) valueRequest(r *request) {
	c := &b.config.Classes[r.Class]
	r.value = c.PriorityWeight
	if b.config.WeightByWork {
		r.value *= b.workOf(r)
	}
	if i := r.Tenant; i >= 0 && i < len(b.config.Tenants) {
		r.overQuota = b.overQuotaShare(i)
	}
	r.value *= 1 - r.overQuota*(1-b.config.OverQuotaWeight)
	if !r.MarkedRetry {
		b.updateTallies(r, func(t *tally) { t.offered += r.value })
	}
}

package decision

// Every decision of the proxy. Its interface (settings, events, actions) is in api.go, its records in
// state.go. The order: checker, candidates and delay estimate, admission, attempts, timers.

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// The checker. Spans are in connect time-outs, the sites' own measure of how soon a backend answers.
	checkIntervalConnectTimeouts = 2 // connect time-outs between two probes of a target in doubt
	// times longer between those of one that passes: attempts tell more, at no cost
	passingCheckFactor   = 4
	unhealthyThreshold   = 2   // failed probes in a row that mark a target: one may be chance
	healthyThreshold     = 2   // passed probes in a row that restore it
	sweepsPerInterval    = 10  // in a probe interval: how often time alone is looked at
	checkShareOfRequests = 0.1 // probes, as a share of the requests,
	minChecksPerSpan     = 2   // and in each rest span, or in this if that is less, as many
	minCheckSpan         = 2 * time.Second
	// this part of a probe interval goes by unanswered before a start is suspected
	restartSilenceDivisor = 2

	// The delay estimate.
	decayIntervals   = 4     // probe intervals over which what was measured fades
	decayAnswers     = 4     // or such a span that so many answers of each backend are remembered
	lossPenalty      = 1     // expected delays that a class's unanswered attempt counts for,
	lossDecayFactor  = 4     // fading over so many times the span that other measures fade over,
	lossFloor        = 0.1   // and no more once it has faded to this
	priorAnswers     = 0.5   // answers that the others' median counts for in an estimate
	minLatencyMillis = 0.1   // ms that an answer takes at least
	classDecay       = 0.998 // weight of a class's earlier delays as each new one comes: some 500 count
	meanRequests     = 256   // requests over which overall means are taken
	// Over at most so long the rate of requests is taken, and measures are kept.
	maxRateSpan = 5 * time.Minute
	// of a probe interval, in which requests come for as many backends as a proxy uses,
	activeShareOfInterval = 0.5
	minActiveTargets      = 3    // or so many: two to compare after one is lost
	localPreference       = 0.5  // how much worse the own zone's pick may be before one elsewhere is taken
	affinityWaitShare     = 0.15 // share of its aim for which a request waits for its key's own two

	// The cold budget.
	servedWorkIntervals = 8    // probe intervals over which the work that backends serve is taken
	slowStartSafety     = 0.8  // of what would make a cold backend fall, that it may be sent
	slowStartBurst      = 0.25 // of the window that a cold backend's budget may be saved up over

	// The limit on what is out at a backend.
	lateTailFactor    = 1.5  // times the usual tail of its class from which an attempt counts as late
	minLateShare      = 0.3  // and such shares of its aim at least
	maxLateShare      = 0.7  // and at most: at its aim it is lost
	tailExceedance    = 0.2  // that tail is what this part of a class's answers exceed
	initialTailFactor = 1.2  // times the mean that it is taken for at first
	tailStep          = 0.02 // by which one answer moves it
	tailMinSamples    = 50   // answers after which it is known
	// what is usual rises by one part of these a sweep: far slower than trouble comes
	tailBaselineRise    = 4000
	targetLimitBackoff  = 0.9  // a late one cuts the limit to this share
	sharedLimitBackoff  = 0.96 // one that holds for all backends
	increasesPerBackoff = 4    // so many in time make up for one late, so at rest one in five is
	targetLimitGrowth   = 0.3  // or, at one backend, adds this over the number of proxies: many push as one
	limitUtilization    = 0.6  // if so much of the limit was used
	limitHeadroom       = 1.5  // times what is out that the limit sinks to
	limitRecoveryFactor = 4    // times as slowly it rises to where it began
	initialLimit        = 8    // the limit of a backend that is new here, over the number of proxies
	minLimitScale       = 0.5  // a limit holds for requests of little gain at this part of it,
	maxLimitScale       = 5    // for those of the most at this; between, by the root of the gain
	maxLoadWeight       = 8    // one request counts for at most so many out

	// Admission and further attempts.
	worstTolerance    = 0.02 // classes served within this of each other are all the worst
	maxDispatchMisses = 20   // waiting requests that find no backend, after which no more are asked
	// of the requests that may be open, from which those that bring least are refused
	openRequestsThreshold   = 0.93
	queuedPerTarget         = 4   // requests that may wait for each ready backend
	hedgeLatencyFactor      = 3   // expected delays that an attempt may take before another is thought of
	defaultRetryBudgetRatio = 0.1 // further attempts, as a share of the requests
	brokenAttemptCost       = 0.4 // of one after an attempt that broke, most often early, out of that budget
	maxRetryBudget          = 10  // further attempts that may be saved up

	// Calls for the list that failed.
	// all that discovery has counts as told so long after it could be reached,
	listFreshnessBound = 6 * time.Second
	// and this part of it is rested at most: the next call may need time too
	listBackoffDivisor = 4
	drainGraceDivisor  = 4 // and this part of a drain's grace, where the list is pushed,
	minListBackoff     = 10 * time.Millisecond

	logInterval = 2 * time.Second // a line at most, for a tired reader
)

// New makes a Balancer. Settings that can't be served give a *SettingError.
func New(cfg Config, seed uint64, host Host) (*Balancer, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	cfg = cfg.Normalized()
	if cfg.RetryBudgetRatio == 0 {
		cfg.RetryBudgetRatio = defaultRetryBudgetRatio
	}
	classes, tenants, first := len(cfg.Classes), len(cfg.Tenants), [2]float64{1, 1}
	b := &Balancer{config: cfg, host: host, random: rand.New(rand.NewPCG(seed, 0)),
		retryBudget: maxRetryBudget,
		medianRatio: 1, medianRatioByLocality: first, targetsByID: map[BackendID]*target{},
		detached: map[BackendID]time.Duration{}, requests: map[RequestID]*request{},
		latencyByClass: make([]linearFit, classes), tailByClass: make([]quantile, classes),
		totalTally: make([]tally, 1), tallyByClass: make([]tally, classes),
		tallyByTenant: make([]tally, tenants), trafficByTenant: make([]decayingSum, tenants)}
	for _, c := range cfg.Classes { // until answers tell
		b.longestLatency = max(b.longestLatency, millis(c.LatencyObjective))
	}
	suspect := checkIntervalConnectTimeouts * cfg.Capabilities.ConnectTimeout
	b.checkInterval = max(suspect, 20*cfg.Tick, 100*time.Millisecond)
	return b, nil
}

// Start begins the timers, and the calls for the list where it must be asked for.
func (b *Balancer) Start(now time.Duration) {
	b.now, b.countedSince = now, now
	b.host.StartTimer(b.checkInterval/sweepsPerInterval, timerSweep<<56)
	if b.config.PolledDiscovery {
		b.host.StartTimer(jitter(b.random, min(b.checkInterval/2, b.config.MaxListBackoff())),
			timerEndpoints<<56)
	}
}

// ---- what one before it has learned ----

// Restore takes in what one before it has remembered, after Start and before the first list. It is a prior:
// its weight falls with its age, and what it says of a backend is void if that has started anew.
func (b *Balancer) Restore(now time.Duration, m Snapshot) {
	b.now = now
	age := now - m.TakenAt
	if age < 0 {
		return
	}
	b.predecessor = &m
	keep := math.Exp(-float64(age) / float64(maxRateSpan))
	// Danger: a proxy that has just started would use a few backends only, while all who waited for it come.
	// As if requests had come at that rate for an interval; what comes now soon says more.
	b.countedSince = now - b.checkInterval
	b.requestCount = m.RequestRate * keep * 2 * b.checkInterval.Seconds()
	for i, c := range b.config.Classes {
		for _, o := range m.Classes {
			if d := o.LatencySums; o.Name == c.Name {
				b.latencyByClass[i] = linearFit{d[0] * keep, d[1] * keep, d[2] * keep, d[3] * keep,
					d[4] * keep}
			}
		}
	}
}

// restoreTarget gives a backend that the list names for the first time what was learned in this
// same life of it.
// Danger: a suspected start is no life that the list knows of; the backend is cold though the proxy is new.
func (b *Balancer) restoreTarget(t *target) {
	if b.predecessor == nil {
		return
	}
	for _, o := range b.predecessor.Backends {
		if o.ID == t.ID && o.Started == t.Started {
			t.healthy, t.servedWork = o.Healthy, decayingSum{o.ServedWork, b.predecessor.TakenAt}
			b.recordStart(t, o.LastStart)
			if !t.healthy { // probes decide, and soon: it may be well by now
				t.nextCheck = b.now
			}
		}
	}
}

// restoredSharedLimit is what the limit for all backends was before, as far as they are the same
// in the same life.
// Danger: one that was learned on warm backends would let too much out at cold ones.
func (b *Balancer) restoredSharedLimit() float64 {
	m, same := b.predecessor, 0
	if m == nil {
		return 0
	}
	for _, o := range m.Backends {
		if t := b.targetsByID[o.ID]; t != nil && t.State == Ready && o.Started == t.Started {
			same++
		}
	}
	keep := math.Exp(-float64(b.now-m.TakenAt) / float64(maxRateSpan))
	return m.SharedLimit * keep * float64(same) / float64(max(1, len(m.Backends)))
}

// ---- checker ----

// UpdateEndpoints reconciles the targets in place: survivors keep their status.
func (b *Balancer) UpdateEndpoints(now time.Duration, m EndpointUpdate) {
	b.now = now
	if m.Kind == UpdateFailed {
		b.failedListCalls++
		backoff := min(b.checkInterval<<min(b.failedListCalls, 4), b.config.MaxListBackoff())
		b.host.StartTimer(backoff/2+jitter(b.random, backoff/2), timerEndpoints<<56)
		return
	}
	b.failedListCalls = 0
	if m.Kind != UpdateDelta {
		for _, t := range b.targets {
			if !slices.ContainsFunc(m.Backends, func(e Backend) bool { return e.ID == t.ID }) {
				t.State = Removed
			}
		}
	}
	for _, e := range m.Backends {
		t := b.targetsByID[e.ID]
		if t == nil {
			if e.State == Removed {
				continue
			}
			t = b.newTarget(e)
			t.nextCheck = now + jitter(b.random, passingCheckFactor*b.checkInterval)
			b.restoreTarget(t)
		} else if t.State == Removed && e.State != Removed { // it left and is back: a new target
			t.healthy, t.failedChecks, t.passedChecks = true, 0, 0
		}
		t.Backend = e
		b.recordStart(t, e.Started)
	}
	b.removeDeparted()
	b.rebuildListed()
	b.selectActive()
	if b.sharedLimit.limit == 0 { // the first list
		unit := float64(max(1, len(b.listed))) / float64(b.config.Instances)
		b.sharedLimit = newConcurrencyLimit(unit, sharedLimitBackoff, decayIntervals*b.checkInterval)
		b.sharedLimit.limit = max(b.sharedLimit.limit, b.restoredSharedLimit())
	}
}

// MaxListBackoff is the longest rest between two calls for the list once one has failed. An agent
// on this machine,
// which has pushed lists, costs nothing, and what it has counts as told at once: a drain's grace bears it.
// Danger: however seldom a register has to be asked while all is well, what it has counts as told in a fixed
// time from when it could be reached.
func (c *Config) MaxListBackoff() time.Duration {
	if !c.PolledDiscovery {
		return max(c.Constraints.DrainGrace/drainGraceDivisor, minListBackoff)
	}
	most := listFreshnessBound / listBackoffDivisor
	if asked := c.Constraints.MaxListAge; asked > 0 {
		return min(max(asked/2, minListBackoff), most)
	}
	return most
}

// Detach takes a backend out by an operator's order: it gets nothing new, neither requests nor probes,
// whatever the list says of it or whether the list knows it now. What is out there runs on.
func (b *Balancer) Detach(now time.Duration, id BackendID) {
	b.now = now
	if _, out := b.detached[id]; out {
		return
	}
	b.detached[id] = now
	if t := b.targetsByID[id]; t != nil {
		t.detached = true
		b.rebuildListed()
		b.selectActive()
		b.host.ReleaseIdleConnections(id)
	}
}

// Attach ends that. Danger: it may have been restarted meanwhile, and the list may not say so yet.
func (b *Balancer) Attach(now time.Duration, id BackendID) {
	b.now = now
	since, out := b.detached[id]
	if !out {
		return
	}
	delete(b.detached, id)
	if t := b.targetsByID[id]; t != nil {
		t.detached, t.nextCheck = false, now
		if t.Started <= since {
			b.recordStart(t, now)
		}
		b.rebuildListed()
		b.selectActive()
		b.dispatch()
	}
}

// CheckHealthNow probes at once the backends that the first requests would go to, before a pool gets any.
func (b *Balancer) CheckHealthNow(now time.Duration) {
	b.now = now
	for _, t := range b.active {
		if b.config.Capabilities.HealthChecks && !t.checkInFlight {
			b.startHealthCheck(t)
		}
	}
}

// CountBackends counts the backends in the list, and those of them that are avoided by order or
// for their health.
func (b *Balancer) CountBackends() (known, excluded int) {
	for _, t := range b.targets {
		if t.State == Removed {
			continue
		}
		known++
		if t.detached || t.State == Ready && !t.healthy {
			excluded++
		}
	}
	return known, excluded
}

// removeDeparted drops the targets that left the list, once nothing is out at them.
func (b *Balancer) removeDeparted() {
	b.targets = slices.DeleteFunc(b.targets, func(t *target) bool {
		leaves := t.State == Removed && len(t.inFlight) == 0 && !t.checkInFlight
		if leaves {
			delete(b.targetsByID, t.ID)
		}
		return leaves
	})
}

// selectActive sets which backends this proxy uses: all if keys choose, else as many as it has
// requests in a part
// of the probe interval, in its own zone and elsewhere, by an order that stays as others come and go.
// Danger: many proxies with connections to all fill the backends' tables and know none of them.
func (b *Balancer) selectActive() {
	// Danger: hours of silence in that mean would hide the rate of the morning from thousands of requests.
	for b.now-b.countedSince > maxRateSpan {
		b.decayRequestRate()
	}
	rate := b.requestRate()
	n := max(minActiveTargets, math.Ceil(rate*b.checkInterval.Seconds()*activeShareOfInterval))
	if b.config.KeyAffinity {
		n = float64(len(b.listed))
	}
	// Danger: a proxy that meets each only now and then forgets a slow one before it comes to it again.
	b.decaySpan = decayIntervals * b.checkInterval
	if rate > 0 {
		enough := min(1000*(decayAnswers*float64(len(b.active))/rate), millis(maxRateSpan))
		b.decaySpan = max(b.decaySpan, fromMillis(enough))
	}
	b.active = b.active[:0]
	left := [2]float64{n, n}
	for _, t := range b.listed {
		if left[b.locality(t)] >= 1 {
			b.active = append(b.active, t)
			t.limit.unit = max(1, float64(len(b.listed))/(2*n)) / float64(b.config.Instances)
			if t.limit.limit == 0 {
				t.limit = newConcurrencyLimit(t.limit.unit, targetLimitBackoff, 0)
			}
			if t.healthy {
				left[b.locality(t)]--
			}
		}
	}
}

// requestRate is how many requests come a second.
func (b *Balancer) requestRate() float64 {
	return b.requestCount / (b.now - b.countedSince + b.checkInterval).Seconds()
}

// decayRequestRate halves what the rate of requests is taken from, and the time that it is taken over.
func (b *Balancer) decayRequestRate() {
	b.requestCount, b.countedSince = b.requestCount/2, b.now-(b.now-b.countedSince)/2
}

// HealthChecked counts a probe's result towards the target's status.
func (b *Balancer) HealthChecked(now time.Duration, p HealthCheckResult) {
	b.now = now
	t := b.targetsByID[p.Backend]
	if t == nil || !t.checkInFlight {
		return
	}
	t.checkInFlight = false
	switch p.Result {
	case OK:
		t.failedChecks, t.passedChecks = 0, t.passedChecks+1
		if !t.healthy && t.passedChecks >= healthyThreshold {
			t.healthy = true
			b.log(fmt.Sprintf("backend %d passes its probes again", t.ID))
		}
	case Rejected, Cancelled, NotSent: // it says nothing of the backend's health
	default:
		t.passedChecks, t.failedChecks, t.nextCheck = 0, t.failedChecks+1, min(t.nextCheck,
			now+b.checkInterval)
		if t.failedChecks == 1 {
			t.checksFailingSince = now
		}
		if t.failedChecks >= unhealthyThreshold {
			// Danger: it may have died and come back before the list says so. Until it
			// passes again, its start counts as now, unless it has answered requests meanwhile.
			if t.lastSuccess < t.checksFailingSince {
				b.recordStart(t, now)
			}
			if t.healthy {
				t.healthy = false
				b.log(fmt.Sprintf("backend %d fails its probes", t.ID))
			}
		}
	}
}

// startDueHealthChecks probes the targets whose time has come, those in doubt first, as far as the
// budget goes.
// Danger: of many proxies with little traffic each, probes would cost the backends more than requests.
func (b *Balancer) startDueHealthChecks() {
	if !b.config.Capabilities.HealthChecks {
		return
	}
	rest := max(passingCheckFactor*b.checkInterval, minCheckSpan)
	least := float64(minChecksPerSpan*b.checkInterval) / sweepsPerInterval / float64(rest)
	b.checkBudget = min(b.checkBudget+least, float64(len(b.active)))
	b.checkCursor++
	for _, doubt := range [2]bool{true, false} {
		for i := 0; i < len(b.active) && b.checkBudget >= 1; i++ {
			t := b.active[(b.checkCursor+i)%len(b.active)]
			inDoubt := !t.healthy || t.failedChecks > 0 || t.consecutiveFailures > 0
			if t.checkInFlight || b.now < t.nextCheck || inDoubt != doubt {
				continue
			}
			b.checkBudget--
			b.startHealthCheck(t)
			if !doubt {
				t.nextCheck = b.now + passingCheckFactor*b.checkInterval
			}
		}
	}
}

// recordAttemptHealth takes an attempt's end as evidence beside the probes: one that got no answer
// asks for a probe.
func (b *Balancer) recordAttemptHealth(a *attempt, result Result) {
	t := a.target
	lost := &t.lossesByClass[a.request.Class]
	if result == OK {
		t.consecutiveFailures, t.lastSuccess, lost.sum = 0, b.now, lost.sum/2
		return
	}
	if result == Timeout || result == Error || result == Reset {
		lost.add(1, b.now, lossDecayFactor*b.decaySpan)
	}
	// Danger: in an overload all attempts time out; a backend that still answers others is only slow.
	if result == Rejected || result == Cancelled || result == NotSent || t.lastSuccess > a.waitingSince {
		return
	}
	// Danger: it may be up again before the list says that it died. But one that died answers nothing for a
	// while; where connections break here and there, two failures come close together by chance, and all
	// backends would be taken for cold, one after the other.
	silent := t.consecutiveFailures > 0 && b.now-t.failingSince >= b.checkInterval/restartSilenceDivisor
	if result == ConnectFailed && silent {
		b.recordStart(t, b.now)
	}
	if t.consecutiveFailures++; t.consecutiveFailures == 1 {
		t.nextCheck, t.failingSince = b.now, b.now
	} else if b.usesSharedLimit() {
		// Danger: many proxies that each try a backend that hangs now and then lose much together.
		t.limit.limit = t.limit.unit
	}
}

// ---- candidates and delay estimate ----

// latencyRatio is the smoothed latency of a backend, as a multiple of what classes and hints lead
// one to expect.
// What is out counts with its age, so silence shows at once; unmeasured, it is the others' median.
func (b *Balancer) latencyRatio(t *target) float64 {
	age := max(0, millis(b.now)*t.inverseExpected-t.sentOverExpected)
	sum, n := t.ratioSum.decay(b.now, b.decaySpan), t.ratioCount.decay(b.now, b.decaySpan)
	return (sum + age + priorAnswers*b.medianRatioByLocality[b.locality(t)]) / (n + priorAnswers)
}

// warmUpCapacity gives the share of its capacity that a backend surely has, and whether it is still cold.
func (b *Balancer) warmUpCapacity(t *target) (float64, bool) {
	o := b.config.Constraints
	if age := b.now - t.lastStart; t.lastStart > 0 && age < o.WarmUp {
		return o.InitialCapacity + (1-o.InitialCapacity)*max(0, float64(age)/float64(o.WarmUp)), true
	}
	return 1, false
}

// recordStart notes a start, known or suspected. Danger: what it served in its life before says nothing.
// Danger: each of many proxies that hear of it at once has a first request for it, and these alone can
// push it over. So a proxy's first waits a random part of the span in which it may have one.
// Danger: one that has just started knows no mean work yet; so tokens are in requests of it.
func (b *Balancer) recordStart(t *target, at time.Duration) {
	if at > t.lastStart {
		t.lastStart, t.recentWork, t.tokensUpdatedAt = at, decayingSum{}, b.now
		t.slowStartTokens = -b.random.Float64() * b.otherProxiesShare()
	}
}

// otherProxiesShare is the other proxies' part in all.
func (b *Balancer) otherProxiesShare() float64 { return 1 - 1/float64(b.config.Instances) }

// refillSlowStart sets what each cold backend may be sent a second: the share it surely has of what like ones
// serve of this proxy's requests, or some more than it serves itself. So all proxies stay within the budget.
func (b *Balancer) refillSlowStart() {
	fall := max(b.config.Constraints.OverloadWindow, time.Second).Seconds()
	for _, t := range b.active {
		share, cold := b.warmUpCapacity(t)
		if !cold {
			continue
		}
		least := b.meanWork / fall / float64(b.config.Instances) // a request a window teaches enough
		likely, own := b.similarServedRate(t)*share, t.recentWork.perSecond(b.now,
			b.config.Constraints.OverloadWindow)
		rate := max(likely, own)
		if b.usesSharedLimit() { // Danger: among many, chance makes the larger too large at each.
			rate = (likely + own) / 2
		}
		t.slowStartRate = max(rate*slowStartSafety*b.config.Constraints.OverloadFactor, least)
		more := t.slowStartRate * (b.now - t.tokensUpdatedAt).Seconds()
		most := t.slowStartRate * slowStartBurst * fall / b.meanRequestWork()
		t.slowStartTokens = min(t.slowStartTokens+more/b.meanRequestWork(), most)
		t.tokensUpdatedAt = b.now
	}
}

// slowStartAllows guards the slow start.
func (b *Balancer) slowStartAllows(t *target, work float64) bool {
	if _, cold := b.warmUpCapacity(t); !cold {
		return true
	}
	// Danger: answers that come fast, or a cancel, let one request at a time add up; it needs budget too.
	alone := len(t.inFlight) == 0 && t.slowStartTokens >= 0 && work <= 2*b.meanRequestWork()
	return t.slowStartTokens >= b.inMeanRequests(work) || alone
}

// meanRequestWork is the mean work of a request, ms; inMean how many such a request counts for.
// Danger: a budget
// lets light ones through, and handshakes are work too. None counts under the mean.
func (b *Balancer) meanRequestWork() float64            { return max(b.meanWork, minLatencyMillis) }
func (b *Balancer) inMeanRequests(work float64) float64 { return max(work/b.meanRequestWork(), 1) }

// mayReceive guards drains and operators' orders: only backends listed ready and not taken out get anything
// new.
func (b *Balancer) mayReceive(t *target, work float64) bool {
	return t.State == Ready && !t.detached && b.slowStartAllows(t, work)
}

// hasCapacity tells whether a backend may have one more out. A limit below one spaces attempts out.
func (b *Balancer) hasCapacity(t *target, part float64) bool {
	c := &t.limit
	limit := c.limit * part
	if limit < 1 {
		return c.inFlight == 0 && b.now >= c.lastSent+fromMillis(b.typicalLatency()/limit)
	}
	return c.inFlight == 0 || c.load+1 <= limit
}

// typicalLatency is the delay of a request by mean and median, in ms, at most the longest of late.
// Danger: right after
// all delays jump, the mean is learned anew already while the median counts in means of before; their product
// would be hundreds of times what anything takes, and one proxy of many would send next to nothing.
func (b *Balancer) typicalLatency() float64 {
	return min(b.meanLatency*b.medianRatio, b.longestLatency)
}

// limitScale scales limits for a request by its gain over the mean. Danger: a proxy with little
// traffic seldom
// has two waiting to choose from, and all classes would be refused alike, those worth most with the rest.
// It covers any cause of an overload. It may harm where worth is told wrongly.
func (b *Balancer) limitScale(r *request) float64 {
	if !b.usesSharedLimit() {
		return 1
	}
	gain := b.marginalGain(r) * b.totalTally[0].offered / max(b.meanGain, 1e-9)
	return min(max(math.Sqrt(gain), minLimitScale), maxLimitScale)
}

// sharedLimitReached tells whether the mean out reaches the limit for all.
// Danger: with one or two out, now none, now four.
func (b *Balancer) sharedLimitReached(part float64) bool {
	return b.usesSharedLimit() && b.sharedLimit.meanLoad(b.now) > b.sharedLimit.limit*part
}

// selectTarget finds the backend for an attempt, or nil. Only if none is fit are the others asked.
func (b *Balancer) selectTarget(r *request) *target {
	work, keyed := b.workOf(r), b.config.KeyAffinity && r.Key != 0
	part := b.limitScale(r)
	if b.sharedLimitReached(part) {
		return nil
	}
	for _, fit := range [2]bool{true, false} {
		b.candidates = b.candidates[:0]
		found, fresh := false, false
		for _, t := range b.active {
			if fit && !t.healthy || !b.mayAttempt(r, t) {
				continue
			}
			if found = true; b.mayReceive(t, work) {
				b.candidates, fresh = append(b.candidates, t), fresh || !wasTried(r, t)
			}
		}
		if fresh {
			b.candidates = slices.DeleteFunc(b.candidates, func(t *target) bool { return wasTried(r, t) })
		}
		noRoom := func(t *target) bool { return !b.hasCapacity(t, part) }
		// Danger: where all are at their limits, keys that go wherever there is room find nothing warm,
		// and their extra work keeps all at their limits. So a key waits for its own two.
		if !keyed || b.now >= r.arrived+fromMillis(affinityWaitShare*millis(r.objectiveAt-r.arrived)) {
			b.candidates = slices.DeleteFunc(b.candidates, noRoom)
		}
		if keyed {
			b.candidates = affinityTargets(b.candidates, r.Key)
		}
		b.candidates = slices.DeleteFunc(b.candidates, noRoom)
		if len(b.candidates) > 0 {
			return b.chooseByLocality(r, keyed)
		}
		if found {
			return nil
		}
	}
	return nil
}

// expectedDelay is the expected delay. Danger: a backend may lose one class's requests and serve
// the others as usual.
func (b *Balancer) expectedDelay(r *request, t *target) float64 {
	// Danger: one that is unmeasured is taken to be as its only neighbour. If a trace of old losses, which
	// never fades to nothing, broke the tie, it would get nothing and stay so, however slow the neighbour.
	lost := t.lossesByClass[r.Class].decay(b.now, lossDecayFactor*b.decaySpan)
	if lost < lossFloor {
		lost = 0
	}
	return (t.limit.load + 1) * b.latencyRatio(t) * (1 + lossPenalty*lost)
}

// chooseByLocality takes one of two from b.pool: the key's own two where keys stay warm, else two sampled.
func (b *Balancer) chooseByLocality(r *request, keyed bool) *target {
	best := b.betterOfTwo(r, b.candidates)
	if keyed {
		return best
	}
	near := slices.DeleteFunc(b.candidates, func(t *target) bool { return b.locality(t) > 0 })
	if len(near) == 0 {
		return best
	}
	if local := b.betterOfTwo(r, near); b.expectedDelay(r,
		best)*(1+localPreference) >= b.expectedDelay(r, local) {
		return local
	}
	return best
}

// betterOfTwo draws two and takes the one of lower expected delay.
func (b *Balancer) betterOfTwo(r *request, pool []*target) *target {
	i := b.random.IntN(len(pool))
	if len(pool) == 1 {
		return pool[i]
	}
	j := b.random.IntN(len(pool) - 1)
	if j >= i {
		j++
	}
	if b.expectedDelay(r, pool[j]) < b.expectedDelay(r, pool[i]) {
		return pool[j]
	}
	return pool[i]
}

// affinityTargets leaves the two backends that a key comes first to, in that order, the same at every proxy.
// One registered as twice as large comes first to twice as many keys.
func affinityTargets(pool []*target, key uint64) []*target {
	n, ranks := 0, [3]float64{}
	for _, t := range pool {
		i := n
		ranks[i] = -math.Log((float64(hashKey(key, t.ID))+1)/(1<<64)) / t.relativeSize
		for ; i > 0 && ranks[i] < ranks[i-1]; i-- {
			ranks[i], ranks[i-1] = ranks[i-1], ranks[i]
			pool[i] = pool[i-1]
		}
		pool[i] = t
		n = min(n+1, 2)
	}
	return pool[:n]
}

// ---- admission ----

// Request decides a request that the proxy has just taken.
func (b *Balancer) Request(now time.Duration, q Request) {
	b.now = now
	if _, held := b.requests[q.ID]; held {
		return
	}
	q.Class = min(max(q.Class, 0), len(b.config.Classes)-1)
	c := &b.config.Classes[q.Class]
	// Until answers tell, a hint is taken for the delay.
	if l := &b.latencyByClass[q.Class]; q.ExpectedWork > 0 && l.n == 0 {
		l.learn(0, 0, 1)
		l.learn(millis(c.LatencyObjective)/2, millis(c.LatencyObjective)/2, 1)
	}
	r := &request{Request: q, arrived: now}
	r.objectiveAt = min(now+c.LatencyObjective+fromMillis(c.ObjectivePerWork*millis(q.ExpectedWork)),
		q.Deadline)
	b.requests[q.ID] = r
	b.retryBudget = min(b.retryBudget+b.config.RetryBudgetRatio, maxRetryBudget)
	b.checkBudget += checkShareOfRequests
	// Danger: over so few that they come within an interval, the rate would seem a fraction of what it
	// is, and a proxy with much traffic would use too few backends.
	if b.requestCount++; b.requestCount > meanRequests &&
		now-b.countedSince > decayIntervals*b.checkInterval {
		b.decayRequestRate()
	}
	// Danger: over the whole span from the first on, that one would stand for hundreds, and a proxy that has
	// just started would refuse whatever brings less.
	b.meanSamples = min(b.meanSamples+1, meanRequests)
	b.meanWork = movingAverage(b.meanWork, b.workOf(r), b.meanSamples)
	b.meanLatency = movingAverage(b.meanLatency, b.expectedLatency(q.Class, millis(q.ExpectedWork)),
		b.meanSamples)
	b.valueRequest(r)
	b.meanGain = movingAverage(b.meanGain, b.marginalGain(r)*b.totalTally[0].offered, b.meanSamples)
	b.openRequests++
	if b.shouldShed(r) {
		b.rejectOrFail(r, b.checkInterval)
		return
	}
	b.enqueue(r)
	b.dispatch()
}

// enqueue lets a request that nothing is out for wait for the next dispatch, if it may still be sent.
func (b *Balancer) enqueue(r *request) {
	if b.hasNoTarget(r) {
		b.rejectOrFail(r, b.checkInterval)
		return
	}
	slack := b.lastUseful(r) - b.now - fromMillis(b.expectedLatency(r.Class,
		millis(r.ExpectedWork))*b.medianRatio)
	r.waitUntil = b.now + slack/2
	b.queue = append(b.queue, r)
}

// hasNoTarget tells whether a request that was sent may be sent nowhere any more.
func (b *Balancer) hasNoTarget(r *request) bool {
	may := func(t *target) bool { return b.mayAttempt(r, t) }
	return len(r.attempts) > 0 && !slices.ContainsFunc(b.active, may)
}

// marginalGain is what serving a request now adds to the goal for each unit of its work: its part
// of all worth, of
// its class's and tenant's if worst served, times the chance that the answer comes in time.
func (b *Balancer) marginalGain(r *request) float64 {
	g, c := &b.config.ObjectiveWeights, &b.config.Classes[r.Class]
	// Danger: a client's repeat counts in no tally. One that comes to a tally that has faded, unasked,
	// would be worth a thousand others, and the mean that all are held against would stay up for hours.
	part := func(t *tally, goal float64) float64 {
		return goal * r.value / max(t.offered, r.value, 1e-9)
	}
	v := part(&b.totalTally[0], g.Overall+g.WorstWindow)
	if t := &b.tallyByClass[r.Class]; isWorstServed(t, b.tallyByClass, worstTolerance) {
		v += part(t, g.WorstClass)
	}
	i := r.Tenant
	if i >= 0 && i < len(b.tallyByTenant) &&
		isWorstServed(&b.tallyByTenant[i], b.tallyByTenant, worstTolerance) {
		v += part(&b.tallyByTenant[i], g.WorstTenant) * (1 - r.overQuota)
	}
	mean := b.expectedLatency(r.Class, millis(r.ExpectedWork)) * b.medianRatio
	inTime := func(until time.Duration) float64 { return 1 - math.Exp(-max(0, millis(until-b.now))/mean) }
	chance := inTime(r.objectiveAt)
	chance += c.LateValueShare * (inTime(r.Deadline) - chance)
	return v * chance / b.workOf(r)
}

// shouldShed keeps the last of the requests that may be open for those that bring more than the mean for each
// ms that they are open. Danger: once all are open nobody else can come, and those that bring much in a
// short time are shut out with the others. It covers a limit on clients' connections, wherever it is met.
func (b *Balancer) shouldShed(r *request) bool {
	delay := b.expectedLatency(r.Class, millis(r.ExpectedWork)) * b.medianRatio
	density := b.marginalGain(r) * b.totalTally[0].offered * b.workOf(r) / delay
	b.meanDensity = movingAverage(b.meanDensity, density, b.meanSamples)
	most := b.config.Capabilities.MaxOpenRequests
	return most > 0 && float64(b.openRequests) > openRequestsThreshold*float64(most) &&
		density < b.meanDensity
}

// isWorstServed tells whether none of the others is served much less.
func isWorstServed(t *tally, others []tally, near float64) bool {
	return t.offered > 0 && !slices.ContainsFunc(others, func(o tally) bool {
		return o.servedShare() < t.servedShare()-near
	})
}

// dispatch sends what waits, the greatest gain first, while there is room. Danger: if deciding one request
// failed, all behind it would be forgotten; they go on waiting.
func (b *Balancer) dispatch() {
	waiting := slices.DeleteFunc(b.queue, func(r *request) bool { return r.ended })
	b.queue = nil
	rest := waiting
	defer func() { b.queue = append(b.queue, rest...) }()
	for _, r := range waiting {
		r.rank = b.marginalGain(r)
	}
	slices.SortStableFunc(waiting, func(x, y *request) int { return cmp.Compare(y.rank, x.rank) })
	misses, most := 0, queuedPerTarget*(len(b.active)+1)*min(initialLimit,
		b.config.Instances)/b.config.Instances
	for i, r := range waiting {
		rest = waiting[i+1:]
		if r.ended {
			continue
		}
		if misses < maxDispatchMisses {
			if t := b.selectTarget(r); t != nil && b.send(r, t) {
				continue
			}
			misses++
		}
		// Danger: a keyed one's window may end while it waits.
		if b.now >= r.waitUntil || len(b.queue) >= most || b.hasNoTarget(r) {
			b.rejectOrFail(r, b.checkInterval)
			continue
		}
		b.queue = append(b.queue, r)
	}
	if len(b.queue) > 0 && !b.dispatchScheduled {
		b.dispatchScheduled = true
		b.host.StartTimer(2*b.config.Tick+time.Millisecond, timerDispatch<<56)
	}
}

// lastUseful is the time after which an answer is worth nothing.
func (b *Balancer) lastUseful(r *request) time.Duration {
	if b.config.Classes[r.Class].LateValueShare > 0 {
		return r.Deadline
	}
	return r.objectiveAt
}

// mayReject guards refusals: a refusal promises the client that trying again is harmless.
func (b *Balancer) mayReject(r *request) bool {
	c := &b.config.Classes[r.Class]
	if c.Idempotency == Idempotent || c.Idempotency == IdempotentByKey && c.DeduplicationScope == ScopeAll {
		return true
	}
	return !slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.mayHaveRun })
}

// rejectOrFail gives the final answer and calls off what is still out.
func (b *Balancer) rejectOrFail(r *request, retryAfter time.Duration) {
	if r.ended || r.streaming {
		return
	}
	if b.mayReject(r) {
		if !b.config.Capabilities.RetryAfter {
			retryAfter = 0
		}
		b.host.Reject(r.ID, min(retryAfter, b.config.Capabilities.MaxRetryAfter))
	} else {
		b.host.Fail(r.ID)
	}
	b.complete(r, nil)
}

// complete marks the request as over and cancels its other attempts.
func (b *Balancer) complete(r *request, winner *attempt) {
	if !r.ended {
		r.ended = true
		b.openRequests--
	}
	b.cancelOthers(r, winner)
	if !r.hasInFlight() {
		delete(b.requests, r.ID)
	}
}

func (b *Balancer) cancelOthers(r *request, winner *attempt) {
	for _, a := range r.attempts {
		if a != winner && !a.done {
			b.cancel(a)
		}
	}
}

func (b *Balancer) cancel(a *attempt) {
	if b.config.Capabilities.Cancel && !a.cancelled {
		a.cancelled = true
		b.host.Cancel(a.request.ID, a.number)
	}
}

// ---- attempts ----

// mayAttempt guards further attempts: may this request be sent (again), and there?
func (b *Balancer) mayAttempt(r *request, t *target) bool {
	c := &b.config.Classes[r.Class]
	if r.ended || r.streaming || len(r.attempts) >= b.config.Capabilities.MaxAttempts || b.now >= r.Deadline {
		return false
	}
	if r.hasInFlight() && (!b.config.Capabilities.HedgedRequests || r.StreamedBody) {
		return false
	}
	first := time.Duration(-1)
	for _, a := range r.attempts {
		if !a.mayHaveRun || c.Idempotency == Idempotent {
			continue
		}
		if c.Idempotency == NotIdempotent || c.DeduplicationScope == ScopeZone && a.zone != t.Zone ||
			c.DeduplicationScope == ScopeCell && a.cell != t.Cell {
			return false
		}
		if first < 0 {
			first = a.sentAt
		}
	}
	return first < 0 || b.now < first+c.DeduplicationWindow-b.config.Tick
}

// send is the one place where requests leave; both guards are asked again here.
func (b *Balancer) send(r *request, t *target) bool {
	work := b.workOf(r)
	if !b.mayAttempt(r, t) || !b.mayReceive(t, work) {
		return false
	}
	e := b.expectedLatency(r.Class, millis(r.ExpectedWork))
	a := &attempt{request: r, number: len(r.attempts), target: t, zone: t.Zone, cell: t.Cell,
		sentAt: b.now, waitingSince: b.now, work: work, expectedLatency: e, mayHaveRun: true}
	a.loadWeight = min(max(e/b.meanLatency, 1.0/maxLoadWeight), maxLoadWeight)
	a.begin()
	t.slowStartTokens -= b.inMeanRequests(work)
	mean, aim := b.expectedLatency(r.Class, 0), millis(r.objectiveAt-r.arrived)
	usual := max(lateTailFactor*b.tailByClass[r.Class].baselineOr(initialTailFactor*mean), minLateShare*aim)
	late := max(1, e/mean) * min(usual, maxLateShare*aim) // one that is heavy by its hint may take longer
	t.limit.reserve(a, b.now, late)
	if b.usesSharedLimit() {
		// Danger: some slow machines would close a limit that holds for all of them.
		b.sharedLimit.reserve(a, b.now, late*max(1, b.latencyRatio(t)/b.medianRatio))
	}
	until := min(r.Deadline, max(b.lastUseful(r)-b.config.Tick, b.now+b.config.Tick))
	b.host.Send(r.ID, t.ID, until)
	wait := fromMillis(hedgeLatencyFactor * e * max(1, b.medianRatio))
	if b.now+wait < until {
		b.host.StartTimer(wait, timerAttempt<<56|uint64(a.number)<<32|uint64(r.ID))
	}
	return true
}

// Outcome takes the end of an attempt and decides what comes next.
func (b *Balancer) Outcome(now time.Duration, o Outcome) {
	b.now = now
	r := b.requests[o.ID]
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.attempts) {
		return
	}
	a := r.attempts[o.Attempt]
	if a == r.streamingAttempt { // it was off all books from its first byte on
		b.complete(r, a)
		return
	}
	if a.done {
		return
	}
	b.settle(a, o)
	defer b.dispatch()
	if r.ended || o.Final {
		b.complete(r, a)
		return
	}
	if r.hasInFlight() {
		return
	}
	// A connection that failed cost no work, and a timer's attempt is paid for: both are free.
	// Danger: where connections break here and there, the budget of an overload would be gone at once.
	price := 1.0
	switch {
	case o.Result == ConnectFailed || a.retryReserved:
		price = 0
	case o.Result == Reset || o.Result == Error:
		price = brokenAttemptCost
	}
	if o.BodyConsumed || b.now >= b.lastUseful(r)-b.config.Tick || b.retryBudget < price {
		b.rejectOrFail(r, b.checkInterval)
		return
	}
	b.retryBudget -= price
	b.enqueue(r)
}

// settle takes an attempt off its backend's books and learns from it.
func (b *Balancer) settle(a *attempt, o Outcome) {
	t, r := a.target, a.request
	a.mayHaveRun = !o.Result.NeverRan()
	a.release(b.now)
	b.recordAttemptHealth(a, o.Result)
	// Danger: where an answer comes at the very time of its send, an expected delay of nothing divides all.
	took := max(millis(b.now-a.waitingSince), minLatencyMillis)
	b.adjustLimits(a, o.Result)
	switch o.Result {
	case OK:
		if o.Final {
			v := r.value
			if b.now > r.objectiveAt {
				v *= b.config.Classes[r.Class].LateValueShare
			}
			b.updateTallies(r, func(t *tally) { t.served += v })
		}
		heavy := max(1, a.expectedLatency/b.expectedLatency(r.Class, 0))
		b.tailByClass[r.Class].learn(took/heavy, tailExceedance, tailStep)
		b.latencyByClass[r.Class].learn(millis(r.ExpectedWork), took, classDecay)
		t.recordRatio(b.now, b.decaySpan, took/a.expectedLatency, 1)
		b.longestLatency = max(b.longestLatency*(1-1.0/meanRequests), took)
		t.servedWork.add(a.work, b.now, servedWorkIntervals*b.checkInterval)
		t.recentWork.add(a.work, b.now, b.config.Constraints.OverloadWindow)
	case Cancelled, NotSent:
		// A loser's age is a lower bound of its delay.
		if took > a.expectedLatency {
			t.recordRatio(b.now, b.decaySpan, took/a.expectedLatency, 0.5)
		}
	default:
		// Danger: a failure comes fast. It counts as slow as the aim, or a broken backend draws all traffic;
		// but as no multiple of the median, which would feed itself while all fail.
		lost := max(took, millis(b.config.Classes[r.Class].LatencyObjective))
		t.recordRatio(b.now, b.decaySpan, max(lost/a.expectedLatency, b.medianRatio), 1)
		b.longestLatency = max(b.longestLatency*(1-1.0/meanRequests), lost)
	}
}

// adjustLimits learns how much may be out at a backend from whether its answers take their usual
// time. Danger:
// a crowded server answers all late, and may turn slow for long; so one counts as late while still out.
func (b *Balancer) adjustLimits(a *attempt, result Result) {
	for i := range a.reservations {
		u := &a.reservations[i]
		if !u.late && (a.isLate(u, b.now) || result == Rejected) {
			// The limit itself is cut, not what was out: one that was alone and late says little of a crowd.
			u.late, u.limit = true, max(u.unit, u.limit*u.backoffFactor)
			// Danger: a bank that starts under load would double its limits far past what tips a server.
			u.growthStep /= 2
		} else if result == OK && !u.late && u.loadAtSend > u.limit*limitUtilization*minLimitScale {
			grow := max(u.growthStep, u.limit*(1-u.backoffFactor)/increasesPerBackoff)
			if u.concurrencyLimit != &b.sharedLimit { // which would let every second one be late
				grow = max(grow, targetLimitGrowth*u.unit/min(1, u.limit))
			}
			u.limit += grow
		}
	}
}

// usesSharedLimit tells whether there is a limit for all backends beside each one's own. Danger: a
// proxy whose
// part of a first limit is under one request sees too little of each to learn in time that all are crowded.
func (b *Balancer) usesSharedLimit() bool { return b.config.Instances > initialLimit }

// relaxLimit lets a limit come down to what is used, and up again to where it began. Danger: far
// above, a burst
// tips servers before answers tell; far below, a backend gets nothing that could show that it is well.
func (b *Balancer) relaxLimit(c *concurrencyLimit) {
	first := initialLimit * c.unit
	if need := max(1, first, limitHeadroom/minLimitScale*c.meanLoad(b.now)); c.limit > need {
		c.limit += (need - c.limit) / (decayIntervals * sweepsPerInterval)
	} else if c.limit < first && b.usesSharedLimit() {
		c.limit += (first - c.limit) / (limitRecoveryFactor * decayIntervals * sweepsPerInterval)
	}
}

// FirstByte binds a streamed request to its attempt. What follows hangs on how fast the client reads: it says
// nothing of the backend, and counts as no load there.
func (b *Balancer) FirstByte(now time.Duration, f FirstByte) {
	b.now = now
	r := b.requests[f.ID]
	if r == nil || r.ended || r.streaming || f.Attempt < 0 || f.Attempt >= len(r.attempts) {
		return
	}
	a := r.attempts[f.Attempt]
	if a.done {
		return
	}
	r.streaming, r.streamingAttempt = true, a
	b.cancelOthers(r, a)
	b.settle(a, Outcome{ID: f.ID, Attempt: f.Attempt, Backend: f.Backend, Result: OK, Final: true})
	b.dispatch()
}

// BodyComplete says that the last byte of a streamed body has gone by: the request's time counts from here.
func (b *Balancer) BodyComplete(now time.Duration, id RequestID, deadline time.Duration) {
	b.now = now
	r := b.requests[id]
	if r == nil || r.ended || !r.StreamedBody || r.bodyComplete {
		return
	}
	c := &b.config.Classes[r.Class]
	r.bodyComplete, r.arrived, r.Deadline = true, now, deadline
	r.objectiveAt = min(now+c.LatencyObjective+fromMillis(c.ObjectivePerWork*millis(r.ExpectedWork)),
		deadline)
	for _, a := range r.attempts {
		if !a.done {
			a.startWaiting(now)
		}
	}
}

// ClientGone takes the client's leave: nothing is owed any more.
func (b *Balancer) ClientGone(now time.Duration, id RequestID) {
	b.now = now
	if r := b.requests[id]; r != nil && !r.ended {
		b.complete(r, nil)
	}
}

// PeerMessage takes a message from another proxy.
func (b *Balancer) PeerMessage(now time.Duration, m PeerMessage) { b.now = now }

// ---- timers ----

// Timer takes a time asked for by Host.After.
func (b *Balancer) Timer(now time.Duration, token uint64) {
	b.now = now
	switch token >> 56 {
	case timerAttempt:
		if r := b.requests[RequestID(token)]; r != nil && int(token>>32&0xff) < len(r.attempts) {
			b.hedgeOrReplace(r, r.attempts[token>>32&0xff])
		}
	case timerEndpoints:
		b.host.WatchEndpoints(true)
	case timerDispatch:
		b.dispatchScheduled = false
		b.dispatch()
	case timerSweep:
		b.sweep()
		b.host.StartTimer(b.checkInterval/sweepsPerInterval, timerSweep<<56)
	}
}

// sweep does what time alone brings about.
func (b *Balancer) sweep() {
	b.removeDeparted()
	b.selectActive()
	b.updateBaselines()
	b.refillSlowStart()
	b.startDueHealthChecks()
	for _, t := range b.active {
		for _, a := range t.inFlight {
			b.adjustLimits(a, Cancelled)
		}
		b.relaxLimit(&t.limit)
	}
	b.relaxLimit(&b.sharedLimit)
	forget := b.config.Constraints.WarmUp + b.checkInterval
	b.decayTallies(math.Exp(-float64(b.checkInterval/sweepsPerInterval) / float64(forget)))
}

// hedgeOrReplace thinks of another attempt beside, or in place of, one that takes longer than usual.
func (b *Balancer) hedgeOrReplace(r *request, a *attempt) {
	if r.ended || a.done || r.streaming || r.StreamedBody || b.retryBudget < 1 ||
		b.now+fromMillis(a.expectedLatency) > b.lastUseful(r) {
		return
	}
	if b.config.Capabilities.HedgedRequests {
		if t := b.selectTarget(r); t != nil && !wasTried(r, t) && b.send(r, t) {
			b.retryBudget--
		}
		return
	}
	silent := a.target.lastSuccess < a.waitingSince
	if b.config.Classes[r.Class].Idempotency == Idempotent && b.config.Capabilities.Cancel && silent {
		a.retryReserved = true
		b.retryBudget--
		b.cancel(a)
	}
}

package decision

import (
	"math"
	"slices"
	"time"
)

// The value of a request is the priority weight of its class, multiplied by its work if so configured, and
// reduced for traffic beyond its tenant's quota. Tallies record the offered and the served value: of all
// requests, by class and by tenant. Requests are served in the order of their marginal gain: by how much
// serving a request now raises the weighted shares of the offered value that are served, for each ms of its
// work.
const (
	// Classes or tenants whose served shares exceed the lowest by at most worstTolerance count as worst
	// served too.
	worstTolerance = 0.02

	// minOffered keeps a quotient finite while nothing is offered.
	minOffered = 1e-9
)

// tally is the offered value and the served value of some requests, both decaying.
type tally struct{ offered, served float64 }

// servedShare returns the share of the offered value that was served, 1 if none was offered.
func (t *tally) servedShare() float64 {
	if t.offered <= 0 {
		return 1
	}
	return t.served / t.offered
}

// decay multiplies both values by keep.
func (t *tally) decay(keep float64) {
	t.offered *= keep
	t.served *= keep
}

// valueRequest sets the value of a request and adds it to the offered values of its tallies. A request that
// the client marked as a retry is not counted as offered a second time.
func (b *Balancer) valueRequest(r *request) {
	r.value = b.config.Classes[r.Class].PriorityWeight
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

// overQuotaShare counts a request of a tenant and returns the share of the tenant's traffic that exceeds its
// quota. It assumes that all proxies get an equal share of that traffic.
func (b *Balancer) overQuotaShare(tenant int) float64 {
	quota := b.config.Tenants[tenant].QuotaPerSecond / float64(b.config.Instances)
	traffic, window := &b.trafficByTenant[tenant], b.config.Constraints.OverloadWindow
	traffic.add(1, b.now, window)
	if rate := traffic.perSecond(b.now, window); quota > 0 && rate > quota {
		return 1 - quota/rate
	}
	return 0
}

// recordServed adds the value of an answered request to the served values of its tallies.
func (b *Balancer) recordServed(r *request) {
	value := r.value
	if b.now > r.objectiveAt {
		value *= b.config.Classes[r.Class].LateValueShare
	}
	b.updateTallies(r, func(t *tally) { t.served += value })
}

// updateTallies applies a change to all tallies that a request belongs to.
func (b *Balancer) updateTallies(r *request, change func(*tally)) {
	change(&b.totalTally)
	change(&b.tallyByClass[r.Class])
	if t := b.tenantTally(r); t != nil {
		change(t)
	}
}

// tenantTally returns the tally of a request's tenant, or nil if it has none.
func (b *Balancer) tenantTally(r *request) *tally {
	if r.Tenant < 0 || r.Tenant >= len(b.tallyByTenant) {
		return nil
	}
	return &b.tallyByTenant[r.Tenant]
}

// decayTallies multiplies all tallies by keep.
func (b *Balancer) decayTallies(keep float64) {
	b.totalTally.decay(keep)
	for i := range b.tallyByClass {
		b.tallyByClass[i].decay(keep)
	}
	for i := range b.tallyByTenant {
		b.tallyByTenant[i].decay(keep)
	}
}

// marginalGain returns what serving a request now adds to the objective for each ms of its work: its share of
// all offered value, plus its share of its class's and its tenant's offered value if these are served worst,
// all multiplied by the share of its value that it is expected to earn.
func (b *Balancer) marginalGain(r *request) float64 {
	weights := &b.config.ObjectiveWeights
	gain := r.shareOf(&b.totalTally, weights.Overall+weights.WorstWindow)
	if t := &b.tallyByClass[r.Class]; isWorstServed(t, b.tallyByClass, worstTolerance) {
		gain += r.shareOf(t, weights.WorstClass)
	}
	if t := b.tenantTally(r); t != nil && isWorstServed(t, b.tallyByTenant, worstTolerance) {
		gain += r.shareOf(t, weights.WorstTenant) * (1 - r.overQuota)
	}
	return gain * b.expectedValueShare(r) / b.workOf(r)
}

// shareOf returns the share of a request's value in a tally's offered value, at most 1, times a weight. A
// marked retry counts in no tally. If the tally has decayed, the share of such a retry could be a thousand
// times that of other requests, and would raise the mean that all requests are compared with for hours.
func (r *request) shareOf(t *tally, weight float64) float64 {
	return weight * r.value / max(t.offered, r.value, minOffered)
}

// expectedValueShare returns the share of its value that a request is expected to earn if it is sent now. It
// assumes that latencies are exponentially distributed.
func (b *Balancer) expectedValueShare(r *request) float64 {
	mean := b.expectedFor(r) * b.medianRatio
	inTime := b.answerProbability(r.objectiveAt, mean)
	beforeDeadline := b.answerProbability(r.Deadline, mean)
	return inTime + b.config.Classes[r.Class].LateValueShare*(beforeDeadline-inTime)
}

// answerProbability returns the probability that an attempt sent now is answered by the time until; mean is
// its mean latency in ms.
func (b *Balancer) answerProbability(until time.Duration, mean float64) float64 {
	return 1 - math.Exp(-max(0, millis(until-b.now))/mean)
}

// isWorstServed reports whether no other tally has a served share that is lower by more than tolerance.
func isWorstServed(t *tally, others []tally, tolerance float64) bool {
	return t.offered > 0 && !slices.ContainsFunc(others, func(o tally) bool {
		return o.servedShare() < t.servedShare()-tolerance
	})
}

package decision

import (
	"math"
	"slices"
	"time"
)

// A request's value is its class's priority weight, counted by work if so configured, and less for what
// exceeds its tenant's quota. Tallies hold the value that is offered and the value that is served: over all
// requests, by class and by tenant. What to serve first follows from the marginal gain: by how much serving a
// request now raises the weighted shares of offered value that are served, for each ms of its work.
const (
	// Classes or tenants whose served shares differ by no more than worstTolerance are all the worst served.
	worstTolerance = 0.02

	// minOffered keeps a quotient finite while nothing is offered.
	minOffered = 1e-9
)

// tally is the value that is offered and the value that is served, both decaying.
type tally struct{ offered, served float64 }

func (t *tally) servedShare() float64 {
	if t.offered <= 0 {
		return 1
	}
	return t.served / t.offered
}

func (t *tally) decay(keep float64) {
	t.offered *= keep
	t.served *= keep
}

// valueRequest sets a request's value and adds it to the tallies of what is offered. A client's own retry is
// not offered anew.
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

// overQuotaShare counts a request of a tenant and returns the share of the tenant's traffic beyond its quota,
// if all proxies see as much of it.
func (b *Balancer) overQuotaShare(tenant int) float64 {
	quota := b.config.Tenants[tenant].QuotaPerSecond / float64(b.config.Instances)
	traffic, window := &b.trafficByTenant[tenant], b.config.Constraints.OverloadWindow
	traffic.add(1, b.now, window)
	if rate := traffic.perSecond(b.now, window); quota > 0 && rate > quota {
		return 1 - quota/rate
	}
	return 0
}

// recordServed enters a request that has its answer in the tallies of what is served.
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

// tenantTally is the tally of a request's tenant, nil if it has none.
func (b *Balancer) tenantTally(r *request) *tally {
	if r.Tenant < 0 || r.Tenant >= len(b.tallyByTenant) {
		return nil
	}
	return &b.tallyByTenant[r.Tenant]
}

func (b *Balancer) decayTallies(keep float64) {
	b.totalTally.decay(keep)
	for i := range b.tallyByClass {
		b.tallyByClass[i].decay(keep)
	}
	for i := range b.tallyByTenant {
		b.tallyByTenant[i].decay(keep)
	}
}

// marginalGain is what serving a request now adds to the objective for each ms of its work: its part of all
// offered value, and of its class's and its tenant's if these are served worst, times the share of it that it
// is expected to earn.
func (b *Balancer) marginalGain(r *request) float64 {
	weights := &b.config.ObjectiveWeights
	gain := r.partOf(&b.totalTally, weights.Overall+weights.WorstWindow)
	if t := &b.tallyByClass[r.Class]; isWorstServed(t, b.tallyByClass, worstTolerance) {
		gain += r.partOf(t, weights.WorstClass)
	}
	if t := b.tenantTally(r); t != nil && isWorstServed(t, b.tallyByTenant, worstTolerance) {
		gain += r.partOf(t, weights.WorstTenant) * (1 - r.overQuota)
	}
	return gain * b.chanceInTime(r) / b.workOf(r)
}

// partOf is a request's part of a tally, times a weight. A client's retry counts in no tally: one that
// comes to a tally that has decayed must not count for a thousand others, as the mean that all are compared
// with would stay up for hours.
func (r *request) partOf(t *tally, weight float64) float64 {
	return weight * r.value / max(t.offered, r.value, minOffered)
}

// chanceInTime is the share of its value that a request can be expected to earn if it is sent now.
// Latencies are taken to be exponentially distributed.
func (b *Balancer) chanceInTime(r *request) float64 {
	mean := b.expectedFor(r) * b.medianRatio
	chance := b.chanceUntil(r.objectiveAt, mean)
	late := b.chanceUntil(r.Deadline, mean)
	return chance + b.config.Classes[r.Class].LateValueShare*(late-chance)
}

func (b *Balancer) chanceUntil(until time.Duration, mean float64) float64 {
	return 1 - math.Exp(-max(0, millis(until-b.now))/mean)
}

// isWorstServed reports whether none of the others is served much less.
func isWorstServed(t *tally, others []tally, tolerance float64) bool {
	return t.offered > 0 && !slices.ContainsFunc(others, func(o tally) bool {
		return o.servedShare() < t.servedShare()-tolerance
	})
}

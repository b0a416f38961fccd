package client

import (
	"time"

	"lapisspread/internal/quotalease"
)

const (
	// demandHeadroom is the factor by which more is requested than was attempted: a demand that grows must be seen
	// to grow.
	demandHeadroom = 1.2
	// demandSurge is the factor over the requested demand at which a request does not wait for its time.
	demandSurge = 1.25
	// minSurgeDemand is the demand in units a second below which a surge is not told from chance.
	minSurgeDemand = 1
	// demandDecayDivisor sets how fast the requested demand falls: each request closes one part in so many of the gap
	// to a lower measured demand, because a short lull must not give the lease away.
	demandDecayDivisor = 3
	// negligibleDemand is requested as 0, in units a second.
	negligibleDemand = .01
	// initialDemandDivisor sets the part of a quota's limit, one in so many, that is requested before the demand is
	// known, so that the first requests find something.
	initialDemandDivisor = 50
)

// demandMeter measures the demand for each quota from what was attempted. Only its worker uses it.
type demandMeter struct {
	quotas     map[string]*quota
	requested  map[string]float64 // units a second
	measuredAt time.Duration
}

func newDemandMeter(now time.Duration, quotas map[string]*quota) demandMeter {
	requested := map[string]float64{}
	for name, q := range quotas {
		requested[name] = max(q.limit/initialDemandDivisor, float64(q.attempted.Load()))
	}
	return demandMeter{quotas: quotas, requested: requested, measuredAt: now}
}

// since is the time since the last measurement.
func (d *demandMeter) since(now time.Duration) time.Duration { return now - d.measuredAt }

// surged reports whether the demand has risen so much that the next request should not wait.
func (d *demandMeter) surged(now time.Duration) bool {
	since := d.since(now)
	if since < minRequestInterval {
		return false
	}
	for name, q := range d.quotas {
		attempted := float64(q.attempted.Load()) / since.Seconds()
		if attempted > demandSurge*max(d.requested[name], minSurgeDemand) {
			return true
		}
	}
	return false
}

// measure has the holder request what was attempted since the last measurement, with headroom. The demand rises at
// once and falls slowly.
func (d *demandMeter) measure(now time.Duration, holder *quotalease.Holder) {
	since := max(d.since(now), pollInterval)
	for name, q := range d.quotas {
		measured := demandHeadroom * float64(q.attempted.Swap(0)) / since.Seconds()
		before := d.requested[name]
		demand := max(measured, before-(before-measured)/demandDecayDivisor)
		if demand < negligibleDemand {
			demand = 0
		}
		d.requested[name] = demand
		holder.SetDemand(name, demand)
	}
	d.measuredAt = now
}

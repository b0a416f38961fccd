package client

import (
	"time"

	"lapisspread/internal/quotalease"
)

const (
	// demandHeadroom is the ratio of requested to measured demand. It is above 1 so that growing demand can be admitted
	// and thus measured.
	demandHeadroom = 1.2
	// demandSurge is the ratio of measured to requested demand above which leases are requested before the next request
	// is due.
	demandSurge = 1.25
	// minSurgeDemand, in units per second, is the demand below which a surge cannot be distinguished from random
	// variation.
	minSurgeDemand = 1
	// demandDecayDivisor sets how fast the requested demand falls: each request reduces the gap to a lower measured
	// demand by 1/demandDecayDivisor, so that a short lull does not give up the lease.
	demandDecayDivisor = 3
	// negligibleDemand, in units per second, is the demand below which 0 is requested.
	negligibleDemand = .01
	// initialDemandDivisor sets the demand that is requested before any is measured, limit/initialDemandDivisor, so
	// that the first attempts can be admitted.
	initialDemandDivisor = 50
)

// demandMeter measures the demand for each quota by the number of attempts. Only the goroutine of its worker uses it.
type demandMeter struct {
	quotas     map[string]*quota
	requested  map[string]float64 // the demand last requested for each quota, in units per second
	measuredAt time.Duration
}

// newDemandMeter returns a meter whose requested demand is a part of each quota's limit, or the number of attempts
// so far if that is higher.
func newDemandMeter(now time.Duration, quotas map[string]*quota) demandMeter {
	requested := map[string]float64{}
	for name, q := range quotas {
		requested[name] = max(q.limit/initialDemandDivisor, float64(q.attempted.Load()))
	}
	return demandMeter{quotas: quotas, requested: requested, measuredAt: now}
}

// elapsed returns the time since the last measurement.
func (d *demandMeter) elapsed(now time.Duration) time.Duration { return now - d.measuredAt }

// surged reports whether the demand for any quota has risen so much that leases should be requested at once.
func (d *demandMeter) surged(now time.Duration) bool {
	elapsed := d.elapsed(now)
	if elapsed < minRequestInterval {
		return false
	}
	for name, q := range d.quotas {
		attempted := float64(q.attempted.Load()) / elapsed.Seconds()
		if attempted > demandSurge*max(d.requested[name], minSurgeDemand) {
			return true
		}
	}
	return false
}

// measure sets the holder's demand from the attempts since the last measurement, with headroom. The demand rises
// immediately and falls slowly.
func (d *demandMeter) measure(now time.Duration, holder *quotalease.Holder) {
	elapsed := max(d.elapsed(now), pollInterval)
	for name, q := range d.quotas {
		measured := demandHeadroom * float64(q.attempted.Swap(0)) / elapsed.Seconds()
		previous := d.requested[name]
		demand := max(measured, previous-(previous-measured)/demandDecayDivisor)
		if demand < negligibleDemand {
			demand = 0
		}
		d.requested[name] = demand
		holder.SetDemand(name, demand)
	}
	d.measuredAt = now
}

package quotalease

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// demandHeadroom is the factor by which a holder requests more than was attempted. Without it, a holder whose
	// attempts are limited by its lease could not show that its demand grows.
	demandHeadroom = 1.2
	// demandDecay controls how fast the demand falls: each measurement lowers it by the difference to the measured
	// value divided by demandDecay. A higher measured value is used at once.
	demandDecay = 3
	// minDemandSpan is the minimum time over which demand is measured, so that one attempt within a millisecond does
	// not count as a demand of a thousand units a second.
	minDemandSpan = 20 * time.Millisecond
	// minDemand is the minimum demand, of units a second or units in flight. A lower demand counts as 0.
	minDemand = Unit / 100

	// requestsPerLease is the number of requests within the duration of the shortest lease. With 3, two successive
	// replies may be lost before a lease expires.
	requestsPerLease = 3
	// idleRequestInterval is the request interval while there is no active lease.
	idleRequestInterval = time.Second
)

// SetDemand sets the demand of the process for a quota, its floor included, in units a second or units in flight. It is
// for callers that can predict the demand better than the holder can measure it from attempts; from then on the holder
// does not measure it. It also creates the state of a quota that was never attempted, so that the next request includes
// it.
func (h *Holder) SetDemand(quotaName string, units float64) {
	quota := h.quotaState(quotaName, 0)
	quota.wanted = units * float64(Unit)
	quota.wantedFixed = true
}

// measureDemand updates the demand from the attempts in span, the time since the last measurement.
func (q *quotaState) measureDemand(span time.Duration) {
	if !q.wantedFixed {
		measured := float64(q.attempted) / span.Seconds()
		if q.kind == InFlight {
			// Rejected units count at most as much as the peak plus one unit.
			measured = float64(q.peakInFlight + min(q.rejected, q.peakInFlight+Unit))
		}
		measured *= demandHeadroom
		q.wanted = max(measured, q.wanted-(q.wanted-measured)/demandDecay)
		if q.wanted < float64(minDemand) {
			q.wanted = 0
		}
	}
	q.attempted = 0
	q.rejected = 0
	q.peakInFlight = q.inFlight + q.floorInFlight
}

// NextRequest returns the next request: what the process wants, and the tokens of the leases that it uses. The caller
// must send it at once, because the duration of a lease that answers it is counted from now. The caller calls
// NextRequest again after RequestInterval.
func (h *Holder) NextRequest(now time.Duration) Request {
	h.seq++
	h.sentRequests[h.seq%requestHistory] = sentRequest{seq: h.seq, sentAt: now}
	request := Request{
		FleetID: h.settings.FleetID, Epoch: h.epoch, HolderID: h.settings.HolderID, Seq: h.seq,
		SeenVersion: h.configVersion, Leaving: h.leaving,
	}
	span := now - h.measuredAt
	measure := span >= minDemandSpan
	withinFloors := true // the units in flight of each floor fit its current, possibly lowered amount
	for _, name := range slices.Sorted(maps.Keys(h.quotas)) {
		quota := h.quotas[name]
		quota.leaseActive(now)
		if measure {
			quota.measureDemand(span)
		}
		request.Quotas = append(request.Quotas, h.quotaRequest(name, quota))
		withinFloors = withinFloors && quota.floorInFlight <= quota.floor.Amount
	}
	if withinFloors {
		h.adoptedFloors = h.configVersion
	}
	if h.floorClaim {
		request.FloorsVersion = h.adoptedFloors
	}
	if measure {
		h.measuredAt = now
	}
	return request
}

// quotaRequest returns the part of a request for one quota.
func (h *Holder) quotaRequest(name string, quota *quotaState) QuotaRequest {
	request := QuotaRequest{Quota: name, Token: quota.highestToken, Ended: !quota.active, InFlight: quota.inFlight}
	if h.leaving {
		return request
	}
	request.Wanted = max(0, Amount(quota.wanted))
	if h.floorClaim {
		request.Wanted = max(0, request.Wanted-quota.floor.Amount)
	}
	return request
}

// RequestInterval returns the time to wait before the next request.
func (h *Holder) RequestInterval() time.Duration {
	var shortest time.Duration
	for _, quota := range h.quotas {
		interval := quota.lease.Duration / requestsPerLease
		if quota.active && (shortest == 0 || interval < shortest) {
			shortest = interval
		}
	}
	return cmp.Or(shortest, idleRequestInterval)
}

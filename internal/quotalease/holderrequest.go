package quotalease

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// demandHeadroom is by how much more is requested than was attempted: demand that grows must be seen to grow.
	demandHeadroom = 1.2
	// demandDecay is the divisor of the difference by which the measured demand falls at each measurement. It rises
	// at once.
	demandDecay = 3
	// minDemandSpan is the shortest time over which demand is measured: one attempt within a millisecond is not a
	// demand of a thousand a second.
	minDemandSpan = 20 * time.Millisecond
	// minDemand is the least that counts as a demand, in units a second or units in flight.
	minDemand = Unit / 100

	// requestsPerLease is how often a holder requests within the shortest lease: two replies may be lost and
	// nothing ends.
	requestsPerLease = 3
	// idleRequestInterval holds while there is no lease.
	idleRequestInterval = time.Second
)

// SetDemand sets what the process wants of a quota, its floor included, in units a second or units in flight, for callers
// that know better than what was attempted. From then on the demand is not measured. It also makes a quota known that
// was never attempted, so that the next request names it.
func (h *Holder) SetDemand(quotaName string, units float64) {
	quota := h.quotaState(quotaName, 0)
	quota.wanted = units * float64(Unit)
	quota.wantedIsSet = true
}

// measureDemand measures what was attempted in the time since the last measurement.
func (q *quotaState) measureDemand(span time.Duration) {
	if !q.wantedIsSet {
		seen := float64(q.attempted) / span.Seconds()
		if q.kind == InFlight {
			seen = float64(q.peakInFlight + min(q.rejected, q.peakInFlight+Unit))
		}
		seen *= demandHeadroom
		q.wanted = max(seen, q.wanted-(q.wanted-seen)/demandDecay)
		if q.wanted < float64(minDemand) {
			q.wanted = 0
		}
	}
	q.attempted = 0
	q.rejected = 0
	q.peakInFlight = q.inFlight + q.floorInFlight
}

// NextRequest returns the next request: what the process wants, and the tokens of the leases that it uses. The
// caller sends it at once, because a lease is counted from now. It calls NextRequest again after RequestInterval.
func (h *Holder) NextRequest(now time.Duration) Request {
	h.seq++
	h.sentRequests[h.seq%requestHistory] = sentRequest{seq: h.seq, sentAt: now}
	request := Request{
		FleetID: h.settings.FleetID, Epoch: h.epoch, HolderID: h.settings.HolderID, Seq: h.seq,
		SeenVersion: h.configVersion, Leaving: h.leaving,
	}
	span := now - h.measuredAt
	measure := span >= minDemandSpan
	floorsSettled := true // no more is in flight than each floor allows, even if it was lowered
	for _, name := range slices.Sorted(maps.Keys(h.quotas)) {
		quota := h.quotas[name]
		quota.leaseActive(now)
		if measure {
			quota.measureDemand(span)
		}
		request.Quotas = append(request.Quotas, h.quotaRequest(name, quota))
		floorsSettled = floorsSettled && quota.floorInFlight <= quota.floor.Amount
	}
	if floorsSettled {
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

// RequestInterval returns how often to request.
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

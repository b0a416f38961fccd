package quotalease

import (
	"errors"
	"maps"
	"slices"
	"time"
)

// HandleReply applies a reply that arrived at now to a request that was sent at sentAt, both by the holder's monotonic
// clock. It refuses the whole reply with FleetMismatchError, HolderMismatchError or StaleEpochError. Otherwise it
// returns the errors of the leases that it refuses, joined, and applies the rest. Late, repeated and reordered replies
// are safe.
func (h *Holder) HandleReply(sentAt, now time.Duration, reply Reply) error {
	if err := h.checkAddressee(reply.FleetID, reply.HolderID, reply.Epoch); err != nil {
		return err
	}
	if h.leaving {
		return nil
	}
	h.epoch = reply.Epoch
	var errs []error
	for i := range reply.Leases {
		if err := h.acceptLease(sentAt, now, &reply.Leases[i]); err != nil {
			errs = append(errs, err)
		}
	}
	if reply.ConfigVersion >= h.configVersion && reply.ConfigVersion > 0 {
		h.adoptFloors(now, reply)
	}
	return errors.Join(errs...)
}

// checkAddressee refuses a reply or lease that is for a different fleet or process, or of an earlier epoch.
func (h *Holder) checkAddressee(fleetID string, id HolderID, epoch uint64) error {
	switch {
	case fleetID != h.settings.FleetID:
		return FleetMismatchError{Ours: h.settings.FleetID, Theirs: fleetID}
	case id != h.settings.HolderID:
		return HolderMismatchError{Ours: h.settings.HolderID, Theirs: id}
	case epoch < h.epoch:
		return StaleEpochError{Got: epoch, Have: h.epoch}
	}
	return nil
}

// acceptLease makes a lease the current one, or refuses it with an error.
func (h *Holder) acceptLease(sentAt, now time.Duration, lease *Lease) error {
	if err := h.checkAddressee(lease.FleetID, lease.HolderID, lease.Epoch); err != nil {
		return err
	}
	quota := h.quotaState(lease.Quota, lease.Kind)
	order := lease.Token.Compare(quota.highestToken)
	if h.mutations.AnyTokenOrder && order < 0 {
		order = 1
	}
	switch {
	case order < 0:
		return StaleTokenError{Holder: lease.Holder, Quota: lease.Quota, Got: lease.Token, Have: quota.highestToken}
	case order == 0:
		return nil // an earlier reply had the same lease
	}
	expiresAt, err := h.expiryOf(sentAt, now, lease)
	if err != nil {
		return err
	}
	if !quota.leaseActive(now) {
		// The former content of the bucket may have been leased to others since, so it starts empty.
		quota.bucket = tokenBucket{filledAt: now}
	}
	quota.bucket.refill(now, quota.lease.Amount, quota.lease.Burst, h.slowdown())
	quota.bucket.limitTo(lease.Burst)
	if h.mutations.FullBucketOnLease {
		quota.bucket.level = float64(lease.Burst)
	}
	quota.kind = lease.Kind
	quota.lease = *lease
	quota.active = true
	quota.expiresAt = expiresAt
	quota.highestToken = lease.Token
	return nil
}

// expiryOf returns when a lease expires by the holder's clock, or LeaseExpiredError. The duration is counted from the
// request that the lease answers, not from the one that the reply answers: a server repeats the same lease in later
// replies, and its own timer started when it applied the lease.
func (h *Holder) expiryOf(sentAt, now time.Duration, lease *Lease) (time.Duration, error) {
	request := h.sentRequests[lease.RequestSeq%requestHistory]
	if request.seq != lease.RequestSeq || lease.RequestSeq == 0 {
		return 0, LeaseExpiredError{Quota: lease.Quota}
	}
	expiresAt := min(request.sentAt, sentAt) + lease.Duration
	if h.mutations.LeaseFromReply {
		expiresAt = now + lease.Duration
	}
	if now >= expiresAt {
		return 0, LeaseExpiredError{Quota: lease.Quota, Ago: now - expiresAt}
	}
	return expiresAt, nil
}

// adoptFloors replaces the floors by those of a reply. The token bucket of a floor that grew keeps its level, so the
// additional burst starts empty.
func (h *Holder) adoptFloors(now time.Duration, reply Reply) {
	h.configVersion = reply.ConfigVersion
	for _, name := range slices.Sorted(maps.Keys(reply.Floors)) {
		quota := h.quotaState(name, reply.Floors[name].Kind)
		if quota.floor.Amount == 0 {
			quota.floorBucket = tokenBucket{filledAt: now}
		}
	}
	for name, quota := range h.quotas {
		floor := reply.Floors[name]
		quota.floorBucket.refill(now, quota.floor.Amount, quota.floor.Burst, h.slowdown())
		quota.floorBucket.limitTo(floor.Burst)
		quota.floor = floor
	}
}

// Floors returns the floors and their configuration version. The caller must store them on disk before it sends the
// next request, for the next process with the same name (HolderSettings.ConfigVersion and Floors).
func (h *Holder) Floors() (version uint64, floors map[string]Floor) {
	floors = map[string]Floor{}
	for name, quota := range h.quotas {
		if quota.floor.Amount > 0 {
			floors[name] = quota.floor
		}
	}
	return h.configVersion, floors
}

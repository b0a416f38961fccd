package quotalease

import "time"

// HolderStatus is what a process may still spend of a quota at a moment.
type HolderStatus struct {
	// Token is that of the lease, zero if there is none.
	Token Token
	// Amount is that of the lease, 0 if there is none.
	Amount Amount
	// Floor is the amount of the floor, 0 if it may not be spent.
	Floor Amount
	// Level is that of both token buckets.
	Level Amount
	// InFlight is under leases, whether they have expired or not.
	InFlight      Amount
	FloorInFlight Amount
	// Remaining is the time until the lease expires.
	Remaining     time.Duration
	Epoch         uint64
	ConfigVersion uint64
}

// Status returns how a quota stands. It changes nothing that could be spent.
func (h *Holder) Status(now time.Duration, quotaName string) HolderStatus {
	status := HolderStatus{Epoch: h.epoch, ConfigVersion: h.configVersion}
	quota := h.quotas[quotaName]
	if quota == nil {
		return status
	}
	status.InFlight = quota.inFlight
	status.FloorInFlight = quota.floorInFlight
	if h.floorClaim && (quota.kind == Rate || h.floorSettled(now, &quota.floor)) {
		quota.floorBucket.refill(now, quota.floor.Amount, quota.floor.Burst, h.slowdown())
		status.Floor = quota.floor.Amount
		status.Level = Amount(quota.floorBucket.level)
	}
	if quota.leaseActive(now) {
		quota.bucket.refill(now, quota.lease.Amount, quota.lease.Burst, h.slowdown())
		status.Token = quota.highestToken
		status.Amount = quota.lease.Amount
		status.Remaining = quota.expiresAt - now
		status.Level += Amount(quota.bucket.level)
	}
	return status
}

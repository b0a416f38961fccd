package quotalease

import "time"

// HolderStatus is what a process may spend of a quota at a point in time.
type HolderStatus struct {
	// Token is the token of the active lease, the zero token if there is none.
	Token Token
	// Amount is the amount of the active lease, 0 if there is none.
	Amount Amount
	// Floor is the amount of the floor, 0 if the process may not use it.
	Floor Amount
	// Level is the sum of the levels of the token buckets of the floor and of the lease.
	Level Amount
	// InFlight is the units in flight that leases admitted, even if those have expired.
	InFlight Amount
	// FloorInFlight is the units in flight that the floor admitted.
	FloorInFlight Amount
	// Remaining is the time until the active lease expires, 0 if there is none.
	Remaining time.Duration
	// Epoch is the highest epoch that the process has received.
	Epoch uint64
	// ConfigVersion is the configuration version of the current floors.
	ConfigVersion uint64
}

// Status returns the status of a quota at now. It does not change what may be spent.
func (h *Holder) Status(now time.Duration, quotaName string) HolderStatus {
	status := HolderStatus{Epoch: h.epoch, ConfigVersion: h.configVersion}
	quota := h.quotas[quotaName]
	if quota == nil {
		return status
	}
	status.InFlight = quota.inFlight
	status.FloorInFlight = quota.floorInFlight
	if h.floorClaim && (quota.kind == Rate || h.floorAvailable(now, &quota.floor)) {
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

package quotalease

// grant counts a lease as outstanding and adds its expiry to result, or rejects it with an error.
func (m *StateMachine) grant(lease Lease, result *ApplyResult) error {
	quota := m.config.Quota(lease.Quota)
	if err := m.checkGrant(&lease, quota); err != nil {
		return err
	}
	ledger := m.ledgerOf(lease.Quota)
	entry := ledger.entries[lease.HolderID]
	if entry == nil {
		entry = &holderEntry{HolderID: lease.HolderID}
	}
	lease.ConfigVersion = m.configVersion
	lease.Token = m.nextToken()
	newest := entry.newestLease()
	// Each request is answered by at most one lease of a quota.
	answered := entry.LastGrant > 0 && lease.RequestSeq <= entry.LastGrant
	if answered || newest != nil && lease.Token.Compare(newest.Token) <= 0 {
		return StaleTokenError{Holder: lease.Holder, Quota: lease.Quota, Got: lease.Token, Have: newest.tokenOrZero()}
	}
	if err := m.checkLimit(quota, ledger, entry, lease); err != nil && !m.mutations.NoLimitCheck {
		return err
	}
	ledger.entries[lease.HolderID] = entry
	m.updateEntry(ledger, entry, func() {
		entry.Leases = append(entry.Leases, lease)
		entry.MaxHoldTime = max(entry.MaxHoldTime, lease.MaxHoldTime)
		entry.LastGrant = lease.RequestSeq
	})
	result.Started = append(result.Started, m.leaseExpiry(&lease))
	return nil
}

// checkGrant rejects a lease that does not match the fleet, the epoch or the quota. quota is nil if it is not
// configured.
func (m *StateMachine) checkGrant(lease *Lease, quota *Quota) error {
	switch {
	case lease.FleetID != m.fleetID:
		return FleetMismatchError{Ours: m.fleetID, Theirs: lease.FleetID}
	case lease.Epoch != m.epoch:
		return StaleEpochError{Got: lease.Epoch, Have: m.epoch}
	case m.waitingAfterBootstrap():
		return BootstrapPendingError{MaxLifetime: m.maxLifetime}
	case m.seenVersion > m.configVersion:
		return StaleConfigError{Have: m.configVersion, Seen: m.seenVersion}
	case quota == nil:
		return UnknownQuotaError{Quota: lease.Quota}
	case !quota.fits(lease):
		return invalidCommand("the grant of %s for %q does not match this budget's kind, lease or life",
			lease.Quota, lease.Holder)
	case lease.Amount < 0 || lease.Burst < 0:
		return invalidAmounts(lease)
	case lease.Kind == InFlight && (lease.Burst != 0 || lease.Amount%Unit != 0):
		return invalidAmounts(lease)
	}
	return nil
}

// fits reports whether a lease has the quota's kind and hold time, at most its lease duration, and a holder's name.
func (q *Quota) fits(lease *Lease) bool {
	return lease.Kind == q.Kind && lease.Duration > 0 && lease.Duration <= q.LeaseDuration &&
		lease.MaxHoldTime == q.MaxHoldTime && lease.Holder != ""
}

// invalidAmounts returns the error for an amount or burst that the kind of quota does not allow.
func invalidAmounts(lease *Lease) error {
	return invalidCommand("a grant of %s has an invalid amount (%d) or burst (%d), in millionths of a unit",
		lease.Quota, lease.Amount, lease.Burst)
}

// checkLimit rejects a lease with which more would be outstanding than the quota allows. After the limit was lowered,
// more than the limit may be outstanding: then the total must not grow, and the leases of the current configuration
// alone must fit the limit. So the lower limit takes full effect once the last older lease has expired.
func (m *StateMachine) checkLimit(quota *Quota, ledger *quotaLedger, entry *holderEntry, lease Lease) error {
	granted := usage{amount: lease.Amount, burst: lease.Burst}
	total, current := m.sumsWithGrant(ledger, entry, granted)
	limit := quota.unreservedUsage(ledger)
	totalExceeded := total.amount > max(limit.amount, ledger.total.amount)
	if totalExceeded || current.amount > limit.amount && granted.amount > 0 {
		return LimitExceededError{Quota: quota.Name, Dimension: "whole", Limit: FromUnits(quota.Limit),
			Outstanding: ledger.total.amount + ledger.reserved.amount, Requested: granted.amount}
	}
	totalExceeded = total.burst > max(limit.burst, ledger.total.burst)
	if totalExceeded || current.burst > limit.burst && granted.burst > 0 {
		return LimitExceededError{Quota: quota.Name, Dimension: "burst", Limit: FromUnits(quota.Burst),
			Outstanding: ledger.total.burst + ledger.reserved.burst, Requested: granted.burst}
	}
	return nil
}

// sumsWithGrant returns the ledger's total and current sums as they would be with an additional lease of granted for
// entry.
func (m *StateMachine) sumsWithGrant(ledger *quotaLedger, entry *holderEntry, granted usage) (total, current usage) {
	before := entry.maxUsage(m.mutations)
	currentBefore := entry.usageUnder(m.configVersion, m.mutations)
	after := before.maxWith(granted)
	currentAfter := currentBefore.maxWith(granted)
	if m.mutations.CountNewestLeaseOnly {
		after = granted
		currentAfter = granted
	}
	total = ledger.total
	total.sub(before)
	total.add(after)
	current = ledger.current
	current.sub(currentBefore)
	current.add(currentAfter)
	return total, current
}

// unreservedUsage returns the limit and the burst minus all floors that are counted.
func (q *Quota) unreservedUsage(ledger *quotaLedger) usage {
	limit := usage{amount: FromUnits(q.Limit), burst: FromUnits(q.Burst)}
	limit.sub(ledger.reserved)
	return limit
}

// grantBatch grants each lease of a batch with the quota's kind and durations. Rejected leases are added to
// result.Rejected.
func (m *StateMachine) grantBatch(batch *GrantBatch, result *ApplyResult) {
	for _, quotaGrant := range batch.Grants {
		lease := Lease{
			FleetID: batch.FleetID, Epoch: batch.Epoch, HolderID: batch.HolderID, RequestSeq: batch.RequestSeq,
			Quota: quotaGrant.Quota, Amount: quotaGrant.Amount, Burst: quotaGrant.Burst,
		}
		if quota := m.config.Quota(quotaGrant.Quota); quota != nil {
			lease.Kind = quota.Kind
			lease.Duration = quota.LeaseDuration
			lease.MaxHoldTime = quota.MaxHoldTime
		}
		if err := m.grant(lease, result); err != nil {
			result.Rejected = append(result.Rejected, err)
		}
	}
}

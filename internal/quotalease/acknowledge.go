package quotalease

// acknowledgement is an Ack or a Release.
type acknowledgement struct {
	Ack
	ended bool // the holder will not use the lease of Token again either
	all   bool // it will use no lease of this quota again
}

// ackBatch acknowledges each quota of a batch.
func (m *StateMachine) ackBatch(batch *AckBatch, result *ApplyResult) {
	for _, one := range batch.Acks {
		ack := acknowledgement{
			Ack: Ack{
				Epoch: batch.Epoch, HolderID: batch.HolderID, Quota: one.Quota, RequestSeq: batch.RequestSeq,
				Token: one.Token, InFlight: one.InFlight,
			},
			ended: one.Ended || batch.All,
			all:   batch.All,
		}
		if err := m.acknowledge(ack, result); err != nil {
			result.Rejected = append(result.Rejected, err)
		}
	}
}

// acknowledge drops the leases that a holder will never use again. Units in flight above the amount of the lease
// that it uses began under older leases; they stay counted as a residual for the longest hold time. The error is a
// StaleEpochError, or a StaleTokenError for an acknowledgement that is older than the last one.
func (m *StateMachine) acknowledge(ack acknowledgement, result *ApplyResult) error {
	if ack.Epoch > m.epoch {
		return StaleEpochError{Got: m.epoch, Have: ack.Epoch}
	}
	m.raiseTokens(ack.Token)
	entry := m.entryOf(ack.Quota, ack.HolderID)
	if entry == nil {
		return nil
	}
	// An older acknowledgement that arrives late must not replace the units in flight of a newer one.
	if ack.RequestSeq <= entry.LastAck {
		have := Token{Epoch: m.epoch, Index: entry.LastAck} // the index is a request's number here, not a log index
		return StaleTokenError{Holder: ack.Holder, Quota: ack.Quota, Got: ack.Token, Have: have}
	}
	remaining, used := m.leasesAfter(ack, entry)
	// Never count more in flight than the leases allowed: a residual must not raise the total.
	inFlight := min(ack.InFlight.roundUp(), entry.maxUsage(m.mutations).amount)
	if len(remaining) == len(entry.Leases) && inFlight >= entry.Residual {
		return nil
	}
	m.updateEntry(m.ledgers[ack.Quota], entry, func() {
		entry.LastAck = ack.RequestSeq
		entry.Leases = remaining
		entry.Residual = 0
		entry.ResidualToken = Token{}
		if inFlight > used && entry.MaxHoldTime > 0 && !m.mutations.ForgetInFlightAtLeaseEnd {
			entry.Residual = inFlight
			entry.ResidualToken = m.nextToken()
			result.Started = append(result.Started, entry.residualExpiry(ack.Quota))
		}
	})
	return nil
}

// raiseTokens keeps new tokens above one that a holder knows. If this log never gave that token, its store is an older
// copy, and the holder would refuse new leases as stale.
func (m *StateMachine) raiseTokens(holderToken Token) {
	if holderToken.Epoch == m.epoch && holderToken.Index > m.appliedIndex+m.tokenOffset {
		m.tokenOffset = holderToken.Index - m.appliedIndex
	}
}

// leasesAfter returns the leases that stay counted after an acknowledgement, and the amount of the one that the
// holder uses, 0 if that one is gone.
func (m *StateMachine) leasesAfter(ack acknowledgement, entry *holderEntry) (remaining []Lease, used Amount) {
	remaining = make([]Lease, 0, len(entry.Leases))
	for _, lease := range entry.Leases {
		order := lease.Token.Compare(ack.Token)
		if order < 0 || ack.ended && order == 0 || ack.all || m.mutations.AckDropsNewest {
			continue
		}
		// If older leases had a longer hold time, units of them may be among those in flight; then all count as
		// residual.
		if order == 0 && lease.MaxHoldTime == entry.MaxHoldTime {
			used = lease.Amount
		}
		remaining = append(remaining, lease)
	}
	return remaining, used
}

package quotalease

// acknowledgement is an Ack, or a Release if ended is set.
type acknowledgement struct {
	Ack
	ended bool // the holder will not use the lease of Token again
	all   bool // the holder will not use any lease of this quota again
}

// ackBatch applies each acknowledgement of a batch and adds the rejected ones to result.Rejected.
func (m *StateMachine) ackBatch(batch *AckBatch, result *ApplyResult) {
	for _, quotaAck := range batch.Acks {
		ack := acknowledgement{
			Ack: Ack{
				Epoch: batch.Epoch, HolderID: batch.HolderID, Quota: quotaAck.Quota, RequestSeq: batch.RequestSeq,
				Token: quotaAck.Token, InFlight: quotaAck.InFlight,
			},
			ended: quotaAck.Ended || batch.All,
			all:   batch.All,
		}
		if err := m.acknowledge(ack, result); err != nil {
			result.Rejected = append(result.Rejected, err)
		}
	}
}

// acknowledge drops the leases that a holder will never use again. Units in flight above the amount of its current
// lease were acquired under older leases; they stay counted as a residual for the longest hold time. It returns a
// StaleEpochError, or a StaleTokenError for an acknowledgement that is not newer than the last one.
func (m *StateMachine) acknowledge(ack acknowledgement, result *ApplyResult) error {
	if ack.Epoch > m.epoch {
		return StaleEpochError{Got: m.epoch, Have: ack.Epoch}
	}
	m.raiseTokens(ack.Token)
	entry := m.entryOf(ack.Quota, ack.HolderID)
	if entry == nil {
		return nil
	}
	// A late, older acknowledgement must not replace the units in flight of a newer one.
	if ack.RequestSeq <= entry.LastAck {
		have := Token{Epoch: m.epoch, Index: entry.LastAck} // the error shows a request number here, not a log index
		return StaleTokenError{Holder: ack.Holder, Quota: ack.Quota, Got: ack.Token, Have: have}
	}
	remaining, used := m.leasesAfter(ack, entry)
	// A residual must not raise the total, so never count more units in flight than the leases allowed.
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

// raiseTokens ensures that new tokens are above holderToken, a token that a holder has received. If this log never
// issued that token, its store was restored from an older copy, and the holder would refuse new leases with lower
// tokens as stale.
func (m *StateMachine) raiseTokens(holderToken Token) {
	if holderToken.Epoch == m.epoch && holderToken.Index > m.appliedIndex+m.tokenOffset {
		m.tokenOffset = holderToken.Index - m.appliedIndex
	}
}

// leasesAfter returns the leases that stay counted after an acknowledgement, and the amount of the lease that the
// holder currently uses, 0 if that lease is not counted.
func (m *StateMachine) leasesAfter(ack acknowledgement, entry *holderEntry) (remaining []Lease, used Amount) {
	remaining = make([]Lease, 0, len(entry.Leases))
	for _, lease := range entry.Leases {
		order := lease.Token.Compare(ack.Token)
		if order < 0 || ack.ended && order == 0 || ack.all || m.mutations.AckDropsNewest {
			continue
		}
		// If an older lease had a longer hold time, units in flight may have been acquired under it. Then used stays 0,
		// so all units in flight are counted as a residual for the longer hold time.
		if order == 0 && lease.MaxHoldTime == entry.MaxHoldTime {
			used = lease.Amount
		}
		remaining = append(remaining, lease)
	}
	return remaining, used
}

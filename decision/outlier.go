package decision

// Attempts are evidence of health beside the health checks. A target that leaves attempts unanswered is
// checked soon, gets less of the classes that it leaves unanswered, and may be taken to have restarted. It
// is never ejected by attempts alone: in an overload all attempts fail, and ejection would shift the load
// to the rest.
const (
	// lossPenalty is by how many expected delays an unanswered attempt of a class raises the target's delay.
	lossPenalty = 1

	// Losses decay over lossDecayFactor times the span of other measurements. Below lossFloor they count for
	// nothing.
	lossDecayFactor = 4
	lossFloor       = 0.1

	// A restart is suspected once nothing was answered for a check interval divided by
	// restartSilenceDivisor.
	restartSilenceDivisor = 2
)

// recordAttemptHealth takes the end of an attempt as evidence of its target's health.
func (b *Balancer) recordAttemptHealth(a *attempt, result Result) {
	t := a.target
	losses := &t.lossesByClass[a.request.Class]
	if result == OK {
		t.consecutiveFailures = 0
		t.lastSuccess = b.now
		losses.sum /= 2
		return
	}
	if result == Timeout || result == Error || result == Reset {
		losses.add(1, b.now, lossDecayFactor*b.decaySpan)
	}
	if result == Rejected || result == Cancelled || result == NotSent {
		return
	}
	if t.lastSuccess > a.waitingSince { // one that answers others meanwhile is only slow
		return
	}
	if result == ConnectFailed {
		b.suspectRestart(t)
	}
	if t.consecutiveFailures++; t.consecutiveFailures == 1 {
		t.nextCheck = b.now
		t.failingSince = b.now
	} else if b.usesSharedLimit() {
		// Many proxies that each try a backend that hangs now and then lose much together.
		t.limit.ceiling = t.limit.unit
	}
}

// suspectRestart takes a target to have just started when a connection fails after a time of silence: it
// may be up again before the list says so. Without the silence, two failures that come close together by
// chance would make all backends count as cold, one after the other.
func (b *Balancer) suspectRestart(t *target) {
	silent := b.now-t.failingSince >= b.checkInterval/restartSilenceDivisor
	if t.consecutiveFailures > 0 && silent {
		b.recordStart(t, b.now)
	}
}

// lossFactor is by how much a target's expected delay counts more for a class that it leaves unanswered,
// while it may serve the others as usual. A trace of old losses counts for nothing: it would break the tie
// with an unmeasured target's only neighbour, and the target would get no request and stay unmeasured,
// however slow the neighbour.
func (b *Balancer) lossFactor(t *target, class int) float64 {
	losses := t.lossesByClass[class].decay(b.now, lossDecayFactor*b.decaySpan)
	if losses < lossFloor {
		losses = 0
	}
	return 1 + lossPenalty*losses
}

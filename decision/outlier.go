package decision

// Attempts are evidence of a target's health, besides the health checks. A target that leaves attempts
// unanswered is checked soon and gets fewer requests of the unanswered classes, and a restart may be
// suspected. It is never ejected because of attempts alone: in an overload all attempts fail, and ejection
// would shift the load to the other targets.
const (
	// Each unanswered attempt of a class raises the expected delay for the class at the target by
	// lossPenalty times its usual value.
	lossPenalty = 1

	// Losses decay over lossDecayFactor times the span of other measurements. Below lossFloor they are
	// ignored.
	lossDecayFactor = 4
	lossFloor       = 0.1

	// A restart is suspected only after the target has answered nothing for a check interval divided by
	// restartSilenceDivisor.
	restartSilenceDivisor = 2
)

// recordAttemptHealth updates the evidence of a target's health with the result of an attempt.
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
	if t.lastSuccess > a.waitingSince { // a target that has answered other attempts since is only slow
		return
	}
	if result == ConnectFailed {
		b.suspectRestart(t)
	}
	if t.consecutiveFailures++; t.consecutiveFailures == 1 {
		t.nextCheck = b.now
		t.failingSince = b.now
	} else if b.usesSharedLimit() {
		// Many proxies that each try a hanging backend occasionally would together lose many requests.
		t.limit.ceiling = t.limit.requestShare
	}
}

// suspectRestart records a suspected start of a target when a connection fails after a time without answers:
// the target may be running again before the endpoint list shows the restart. Without the condition on that
// time, two failures that are close together by chance would make one backend after the other count as just
// started.
func (b *Balancer) suspectRestart(t *target) {
	unansweredLong := b.now-t.failingSince >= b.checkInterval/restartSilenceDivisor
	if t.consecutiveFailures > 0 && unansweredLong {
		b.recordStart(t, b.now)
	}
}

// lossFactor returns the factor of a target's expected delay for a class, above 1 if the target leaves
// attempts of the class unanswered. It may serve other classes as usual. A small remainder of old losses is
// ignored: it would break the tie between an unmeasured target and its only neighbour, and the target would
// get no request and stay unmeasured, however slow the neighbour is.
func (b *Balancer) lossFactor(t *target, class int) float64 {
	losses := t.lossesByClass[class].decay(b.now, lossDecayFactor*b.decaySpan)
	if losses < lossFloor {
		losses = 0
	}
	return 1 + lossPenalty*losses
}

package decision

import "time"

// The highest byte of a timer's token is the kind of the timer. The token of an attempt's timer also contains
// the number of the attempt in the byte from bit 32 on, and the request ID in the lowest 32 bits.
const (
	timerSweep     = 1
	timerEndpoints = 2
	timerAttempt   = 3
	timerDispatch  = 4

	timerKindShift    = 56
	timerAttemptShift = 32
	timerAttemptMask  = 0xff
)

// The tokens of timers that consist of their kind only.
const (
	sweepToken     uint64 = timerSweep << timerKindShift
	endpointsToken uint64 = timerEndpoints << timerKindShift
	dispatchToken  uint64 = timerDispatch << timerKindShift
)

// sweepsPerInterval is the number of sweeps in a check interval.
const sweepsPerInterval = 10

// attemptToken returns the token of the hedging timer of an attempt.
func attemptToken(id RequestID, number int) uint64 {
	return timerAttempt<<timerKindShift | uint64(number)<<timerAttemptShift | uint64(id)
}

// Timer reports that a timer of Host.StartTimer has expired. Unknown tokens are ignored.
func (b *Balancer) Timer(now time.Duration, token uint64) {
	b.now = now
	switch token >> timerKindShift {
	case timerAttempt:
		number := int(token >> timerAttemptShift & timerAttemptMask)
		if r := b.requests[RequestID(token)]; r != nil && number < len(r.attempts) {
			b.hedgeOrReplace(r.attempts[number])
		}
	case timerEndpoints:
		b.host.WatchEndpoints(true)
	case timerDispatch:
		b.dispatchScheduled = false
		b.dispatch()
	case timerSweep:
		b.sweep()
		b.scheduleSweep()
	}
}

// scheduleSweep starts the timer for the next sweep.
func (b *Balancer) scheduleSweep() {
	b.host.StartTimer(b.checkInterval/sweepsPerInterval, sweepToken)
}

// sweep does the periodic work, which does not depend on events.
func (b *Balancer) sweep() {
	b.removeDeparted()
	b.selectActive()
	b.updateBaselines()
	b.refillSlowStart()
	b.startDueHealthChecks()
	for _, t := range b.active {
		for _, a := range t.inFlight {
			b.adjustLimits(a, Cancelled)
		}
		b.relaxLimit(&t.limit)
	}
	b.relaxLimit(&b.sharedLimit)
	b.decayTallies(b.decayOverSweep(b.config.Constraints.WarmUp + b.checkInterval))
}

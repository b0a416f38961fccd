package decision

import "time"

// A timer's token says what it is for in its highest byte. That of an attempt holds the attempt's number in
// the byte from bit 32 on, and the request in its lowest 32 bits.
const (
	timerSweep     = 1
	timerEndpoints = 2
	timerAttempt   = 3
	timerDispatch  = 4

	timerKindShift    = 56
	timerAttemptShift = 32
	timerAttemptMask  = 0xff
)

// The tokens of timers that need nothing but their kind.
const (
	sweepToken     uint64 = timerSweep << timerKindShift
	endpointsToken uint64 = timerEndpoints << timerKindShift
	dispatchToken  uint64 = timerDispatch << timerKindShift
)

// sweepsPerInterval is how many sweeps there are in a check interval.
const sweepsPerInterval = 10

// attemptToken is the token of the timer of an attempt.
func attemptToken(id RequestID, number int) uint64 {
	return timerAttempt<<timerKindShift | uint64(number)<<timerAttemptShift | uint64(id)
}

// Timer reports the end of a timer that Host.StartTimer began. Unknown tokens are ignored.
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

func (b *Balancer) scheduleSweep() {
	b.host.StartTimer(b.checkInterval/sweepsPerInterval, sweepToken)
}

// sweep applies the rules that depend on time alone.
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

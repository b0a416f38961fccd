package proxy

import (
	"context"
	"time"
)

// operatorDrainInterval is the time between two searches for idle connections during an operator's drain.
const operatorDrainInterval = 20 * time.Millisecond

// closeIdle closes the connections that are between requests, and returns how many remain.
func (s *clientConns) closeIdle(now time.Time) int {
	for _, c := range s.snapshot() {
		c.closeIfIdle(now)
	}
	return s.count()
}

// closeWithoutRequest closes all connections except those with a whole request head or with unread bytes, and those
// whose client still has to take part of its last response.
func (s *clientConns) closeWithoutRequest() {
	for _, c := range s.snapshot() {
		if !c.isDelivering() {
			c.Evict()
		}
	}
}

// setDraining starts the drain at the end of the process: from then on responses close their connections, and responses
// to late requests must be sent within timeout. A request is late if it arrives more than drainAcceptPeriod after now,
// the time on the front end's clock.
func (s *clientConns) setDraining(now, timeout time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	s.lateAfter = now + drainAcceptPeriod
	s.drainEnd = now + timeout
}

// isLate reports whether a request received at receivedAt, on the front end's clock, arrived late in a drain.
func (s *clientConns) isLate(receivedAt time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining && receivedAt > s.lateAfter
}

// timeLeft returns the maximum time for a request that arrives at now, on the front end's clock, and whether it is late
// in a drain. The time has no meaning if the request is not late.
func (s *clientConns) timeLeft(now time.Duration) (left time.Duration, late bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.drainEnd - now, s.draining && now > s.lateAfter
}

// isDraining reports whether responses close their connections, because the process is ending or an operator drains it.
func (s *clientConns) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining || !s.operatorDrainSince.IsZero()
}

// setOperatorDrain starts or ends a drain requested by an operator. Unlike at the end of the process, new connections
// are accepted: health checks of the proxy need them, and clients must be able to return once the drain is over.
func (s *clientConns) setOperatorDrain(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case !on:
		s.operatorDrainSince = time.Time{}
	case s.operatorDrainSince.IsZero():
		s.operatorDrainSince = time.Now()
	}
}

// runOperatorDrain closes idle connections during an operator's drain. It starts drainAcceptPeriod after the drain did,
// when requests that were on their way have arrived. It blocks until ctx ends.
func (s *clientConns) runOperatorDrain(ctx context.Context) {
	tick := time.NewTicker(operatorDrainInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		s.mu.Lock()
		due := !s.operatorDrainSince.IsZero() && time.Since(s.operatorDrainSince) >= drainAcceptPeriod
		s.mu.Unlock()
		if due {
			s.closeIdle(time.Now())
		}
	}
}

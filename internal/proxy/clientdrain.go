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

// closeWithoutRequest closes all connections but those with a whole head or with bytes that are not read yet.
func (s *clientConns) closeWithoutRequest() {
	for _, c := range s.snapshot() {
		c.Evict()
	}
}

// setDraining begins the drain at the end of the process: responses close their connections from now on, and responses
// to late requests must be sent within timeout. A request is late if it arrives more than drainAcceptPeriod after now,
// which is the front end's clock.
func (s *clientConns) setDraining(now, timeout time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	s.lateAfter = now + drainAcceptPeriod
	s.drainEnd = now + timeout
}

// isLate reports whether a request that was received at that time, by the front end's clock, came late in a drain.
func (s *clientConns) isLate(receivedAt time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining && receivedAt > s.lateAfter
}

// timeLeft returns how much time a request that arrives now has at most, and whether it comes late in a drain. The time
// has no meaning otherwise.
func (s *clientConns) timeLeft(now time.Duration) (left time.Duration, late bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.drainEnd - now, s.draining && now > s.lateAfter
}

// isDraining reports whether responses close their connections, because the process ends or an operator drains it.
func (s *clientConns) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining || !s.operatorDrainSince.IsZero()
}

// setOperatorDrain begins or ends an operator's drain. Unlike at the end of the process, new connections are accepted:
// health checks of the proxy need them, and clients must be able to return once the drain is over.
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

// runOperatorDrain closes idle connections during an operator's drain, once requests that were on their way have
// arrived. It returns when ctx ends.
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

package proxy

import (
	"context"
	"time"
)

// operatorDrainInterval is how often idle connections are looked for while an operator has the clients sent away.
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

// setDraining begins the end of the process: responses close their connections from now on, and the ones to late
// requests must be out within timeout. now is the front end's clock.
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

// isDraining reports whether clients are sent away, because the process ends or an operator said so.
func (s *clientConns) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining || !s.operatorDrainSince.IsZero()
}

// setOperatorDrain has clients sent away, or taken again. Unlike at the end of the process new connections are
// accepted: health checks of the proxy come by them, and the way back must be open.
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

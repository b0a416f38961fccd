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
// to late requests must be sent within timeout of startedAt. A request is late if its last byte arrives more than
// drainAcceptPeriod after startedAt.
func (s *clientConns) setDraining(startedAt time.Time, timeout time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	s.lateAfter = startedAt.Add(drainAcceptPeriod)
	s.drainEnd = startedAt.Add(timeout)
}

// isLate reports whether a request received at receivedAt arrived late in a drain.
func (s *clientConns) isLate(receivedAt time.Time) bool {
	_, late := s.answerBy(receivedAt)
	return late
}

// answerBy returns the time by which a request received at receivedAt must have its response, if it arrived late in a
// drain: the process may be killed after that. It implements engine.Options.AnswerBy.
func (s *clientConns) answerBy(receivedAt time.Time) (by time.Time, late bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.drainEnd, s.draining && receivedAt.After(s.lateAfter)
}

// drainEnded reports whether the time for responses to late requests is over at now.
func (s *clientConns) drainEnded(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining && !now.Before(s.drainEnd)
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

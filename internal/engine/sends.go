package engine

import (
	"math"
	"sync"
	"time"

	"lapisspread/decision"
)

// sendGuard is what of a request's attempts has gone out, for the goroutines that carry them out.
type sendGuard struct {
	mu     sync.Mutex
	closed bool            // the request has ended, or its client has left: nothing more goes out
	sentAt []time.Duration // by attempt, when its first byte went out; 0 is not, or it is proved that it did not run
}

// retryWindow is how long after an attempt that may have run the next one of a class may go out.
func retryWindow(c decision.Class) time.Duration {
	switch c.Idempotency {
	case decision.Idempotent:
		return math.MaxInt64
	case decision.IdempotentByKey:
		return c.DeduplicationWindow
	}
	return 0
}

// begin tells whether attempt n may go out now, and until when; 0 is at any time. Danger: the module orders a repeat
// within its window, but a connection that comes up late would carry it out after that: it would run once more.
func (s *sendGuard) begin(n int, now, window time.Duration) (by time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return 0, false
	}
	if window < math.MaxInt64 {
		for i, at := range s.sentAt {
			if i != n && at != 0 && (by == 0 || at+window < by) {
				by = at + window
			}
		}
		if by != 0 && now >= by {
			return 0, false
		}
	}
	for len(s.sentAt) <= n {
		s.sentAt = append(s.sentAt, 0)
	}
	s.sentAt[n] = now
	return by, true
}

// attemptEnded notes how attempt n ended.
func (s *sendGuard) attemptEnded(n int, result decision.Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if result.NeverRan() && n < len(s.sentAt) {
		s.sentAt[n] = 0
	}
}

// close has nothing more go out.
func (s *sendGuard) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
}

func (s *sendGuard) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

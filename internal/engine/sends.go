package engine

import (
	"math"
	"sync"
	"time"

	"lapisspread/decision"
)

// sends is what of a request's attempts has gone out, for the goroutines that carry them out.
type sends struct {
	mu    sync.Mutex
	over  bool            // the request has ended, or its client has left: nothing more goes out
	began []time.Duration // by attempt, when its first byte went out; 0 is not, or it is proved that it did not run
}

// repeats is how long after an attempt that may have run the next one of a class may go out.
func repeats(c decision.Class) time.Duration {
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
func (s *sends) begin(n int, now, window time.Duration) (by time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.over {
		return 0, false
	}
	if window < math.MaxInt64 {
		for i, at := range s.began {
			if i != n && at != 0 && (by == 0 || at+window < by) {
				by = at + window
			}
		}
		if by != 0 && now >= by {
			return 0, false
		}
	}
	for len(s.began) <= n {
		s.began = append(s.began, 0)
	}
	s.began[n] = now
	return by, true
}

// ended notes how attempt n ended.
func (s *sends) ended(n int, result decision.Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if result.NeverRan() && n < len(s.began) {
		s.began[n] = 0
	}
}

// end has nothing more go out.
func (s *sends) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.over = true
}

func (s *sends) isOver() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.over
}

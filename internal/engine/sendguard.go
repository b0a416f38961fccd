package engine

import (
	"math"
	"sync"
	"time"

	"lapisspread/decision"
)

// unlimitedRetryWindow is the window of a class whose attempts may be sent at any time.
const unlimitedRetryWindow time.Duration = math.MaxInt64

// retryWindow is how long after an attempt that may have run the next one of a class may be sent; 0 is never.
func retryWindow(c decision.Class) time.Duration {
	switch c.Idempotency {
	case decision.Idempotent:
		return unlimitedRetryWindow
	case decision.IdempotentByKey:
		return c.DeduplicationWindow
	}
	return 0
}

// sendGuard keeps which attempts of a request have been sent, for the goroutines that carry them out. It is safe for
// concurrent use.
//
// It guards against an attempt that is sent too late: the decision module orders a retry within its window, but the
// connection may come up after it, or after the request's end.
type sendGuard struct {
	mu     sync.Mutex
	closed bool            // the request has ended or its client has left
	sentAt []time.Duration // by attempt, when its first byte was sent; 0 if it was not or is proved not to have run
}

// begin reports whether an attempt may be sent now, and notes that it is. Its last byte must be sent before by; 0 is
// no limit. window is the class's retryWindow.
func (g *sendGuard) begin(attempt int, now, window time.Duration) (by time.Duration, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return 0, false
	}
	if window < unlimitedRetryWindow {
		by = g.windowEnd(attempt, window)
		if by != 0 && now >= by {
			return 0, false
		}
	}
	for len(g.sentAt) <= attempt {
		g.sentAt = append(g.sentAt, 0)
	}
	g.sentAt[attempt] = now
	return by, true
}

// windowEnd is when the earliest window of the other attempts that may have run ends; 0 if there is none.
func (g *sendGuard) windowEnd(attempt int, window time.Duration) time.Duration {
	var end time.Duration
	for i, sentAt := range g.sentAt {
		if i == attempt || sentAt == 0 {
			continue
		}
		if end == 0 || sentAt+window < end {
			end = sentAt + window
		}
	}
	return end
}

// attemptEnded notes how an attempt ended: one that never ran sets no limit to the others.
func (g *sendGuard) attemptEnded(attempt int, result decision.Result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if result.NeverRan() && attempt < len(g.sentAt) {
		g.sentAt[attempt] = 0
	}
}

// close lets nothing more be sent.
func (g *sendGuard) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
}

func (g *sendGuard) isClosed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.closed
}

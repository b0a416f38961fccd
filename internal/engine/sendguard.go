package engine

import (
	"math"
	"sync"
	"time"

	"lapisspread/decision"
)

// unlimitedRetryWindow is the retry window of a class whose attempts may be sent at any time.
const unlimitedRetryWindow time.Duration = math.MaxInt64

// retryWindow returns how long a retry is allowed: the time, counted from when an attempt that may have run was sent,
// during which another attempt of the same request may be sent. 0 means that no other attempt may be sent.
func retryWindow(c decision.Class) time.Duration {
	switch c.Idempotency {
	case decision.Idempotent:
		return unlimitedRetryWindow
	case decision.IdempotentByKey:
		return c.DeduplicationWindow
	}
	return 0
}

// sendGuard records which attempts of a request have been sent, and decides whether another one may be sent. The
// goroutines that carry out the attempts share it. It is safe for concurrent use.
//
// It prevents an attempt from being sent too late: the decision module starts a retry within the retry window, but the
// connection may be established after the window or the request has ended.
type sendGuard struct {
	mu     sync.Mutex
	closed bool            // the request has ended or its client has left
	sentAt []time.Duration // by attempt: when its first byte was sent; 0 if it was not sent or did not run
}

// startSend reports whether an attempt may be sent now, and if so records it as sent. Its last byte must be sent before
// by; 0 means no limit. window is the retryWindow of the request's class.
func (g *sendGuard) startSend(attempt int, now, window time.Duration) (by time.Duration, ok bool) {
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

// windowEnd returns the earliest end of the retry windows of all other attempts that may have run, or 0 if there are no
// such attempts.
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

// attemptEnded records how an attempt ended. An attempt that never ran does not limit the other attempts.
func (g *sendGuard) attemptEnded(attempt int, result decision.Result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if result.NeverRan() && attempt < len(g.sentAt) {
		g.sentAt[attempt] = 0
	}
}

// close forbids all further sends.
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

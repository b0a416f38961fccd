// Package lograte writes log lines at a bounded rate, and never blocks on a slow reader of the log.
package lograte

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"time"
)

const (
	// maxLines is how many lines pass in each window; more are counted and dropped.
	maxLines = 100
	window   = 5 * time.Second
	// maxQueuedLines is how many lines wait for a slow reader; more are counted and dropped.
	maxQueuedLines = 256
	// closeTimeout is how long Close waits for the queued lines.
	closeTimeout = 100 * time.Millisecond
)

// Writer is an io.WriteCloser that passes lines on at a bounded rate and never blocks. When everything fails, logging
// each failure would cost more than the failures, and a log reader that stands still would stop the callers. It is
// safe for concurrent use.
type Writer struct {
	to    io.Writer
	queue chan []byte
	done  chan struct{} // closed when all queued lines are written

	mu          sync.Mutex
	windowStart time.Time
	lines       int // in the window
	dropped     int // not yet reported
	closed      bool
}

// New returns a Writer that writes to w, in a goroutine of its own, until it is closed.
func New(w io.Writer) *Writer {
	l := &Writer{to: w, queue: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go l.run()
	return l
}

// run writes the queued lines.
func (l *Writer) run() {
	defer close(l.done)
	for line := range l.queue {
		_, _ = l.to.Write(line) // there is no log to report the error to
	}
}

// Write queues one line, or drops it. It always reports success.
func (l *Writer) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); now.Sub(l.windowStart) >= window {
		if l.dropped > 0 && l.enqueue(fmt.Appendf(nil, "%d more lines were left out\n", l.dropped)) {
			l.dropped = 0
		}
		l.windowStart = now
		l.lines = 0
	}
	l.lines++
	if l.lines > maxLines || !l.enqueue(slices.Clone(line)) {
		l.dropped++
	}
	return len(line), nil
}

// enqueue queues a line, and reports whether there was room. The lock is held.
func (l *Writer) enqueue(line []byte) bool {
	if l.closed {
		return false
	}
	select {
	case l.queue <- line:
		return true
	default:
		return false
	}
}

// Close waits for the queued lines, 100 ms at most. Later lines are dropped.
func (l *Writer) Close() error {
	l.mu.Lock()
	if !l.closed {
		l.closed = true
		close(l.queue)
	}
	l.mu.Unlock()
	select {
	case <-l.done:
	case <-time.After(closeTimeout):
	}
	return nil
}

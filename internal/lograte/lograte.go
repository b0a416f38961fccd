// Package lograte writes log lines at a limited rate, and never blocks if the log's destination is slow.
package lograte

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"time"
)

const (
	// maxLines is the maximum number of lines per window. Further lines are dropped and counted.
	maxLines = 100
	// window is the period to which maxLines applies.
	window = 5 * time.Second
	// maxQueuedLines is the maximum number of lines that wait to be written. Further lines are dropped and counted.
	maxQueuedLines = 256
	// closeTimeout is how long Close waits for the queued lines to be written.
	closeTimeout = 100 * time.Millisecond
)

// Writer is an io.WriteCloser that writes lines at a limited rate and whose Write never blocks. Without the limit,
// logging each failure while all requests fail would cost more than the failures themselves. Without the queue, a
// process that reads the log and stops reading would block all callers. Writer is safe for concurrent use.
type Writer struct {
	destination io.Writer
	queue       chan []byte
	done        chan struct{} // closed when all queued lines are written

	mu          sync.Mutex
	windowStart time.Time
	lines       int // lines in the current window, including dropped ones
	dropped     int // dropped lines that have not been reported in the log
	closed      bool
}

// New returns a Writer that writes to w in its own goroutine. The caller must call Close to end the goroutine.
func New(w io.Writer) *Writer {
	l := &Writer{destination: w, queue: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go l.run()
	return l
}

// run writes the queued lines until the queue is closed.
func (l *Writer) run() {
	defer close(l.done)
	for line := range l.queue {
		_, _ = l.destination.Write(line) // the error cannot be logged, because this is the log
	}
}

// Write queues one line, or drops it if the rate or the queue is at its limit. It never blocks and returns no error.
// The first line of a window may be preceded by a line with the number of dropped lines.
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

// enqueue queues a line. It returns false if the queue is full or the Writer is closed. The caller holds l.mu.
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

// Close drops all later lines, and waits up to 100 ms until the queued lines are written. It returns no error.
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

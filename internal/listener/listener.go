package listener

import (
	"errors"
	"log/slog"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	// acceptRetryInterval is the pause between two accepts while no file descriptor is left.
	acceptRetryInterval = 5 * time.Millisecond
	// descriptorReleaseDelay is how long the kernel may take to release the descriptor of a closed connection.
	descriptorReleaseDelay = time.Millisecond
	// logInterval is the least time between two log lines about a shortage.
	logInterval = time.Second
)

// Listener goes on accepting while the process, or the machine, has no file descriptor left. It evicts an idle
// connection to make room. If there is none, it gives up a spare descriptor, accepts one connection with it and closes
// that at once, so that the client does not wait in the queue forever. It pauses in between, so that it does not spin.
type Listener struct {
	net.Listener
	log        *slog.Logger
	evictIdle  func() bool
	onRejected func()

	mu       sync.Mutex
	spare    *os.File // a descriptor to accept with during a shortage; nil if it could not be opened
	loggedAt time.Time
}

// NewListener wraps a listener, and counts the connections that it closes in DescriptorShortages. The limiter's own
// evictions do not help it. It holds one descriptor more until Close.
func (l *ConnLimiter) NewListener(inner net.Listener, log *slog.Logger) *Listener {
	noneIdle := func() bool { return false }
	return NewListener(inner, log, noneIdle, func() { l.descriptorShortages.Add(1) })
}

// NewListener wraps a listener. evictIdle closes an idle connection and reports whether there was one; onRejected is
// called for each connection that is closed at once. Accept calls both, and they must not block. It holds one
// descriptor more until Close.
func NewListener(inner net.Listener, log *slog.Logger, evictIdle func() bool, onRejected func()) *Listener {
	l := &Listener{Listener: inner, log: log, evictIdle: evictIdle, onRejected: onRejected}
	l.openSpare()
	return l
}

// openSpare opens the spare descriptor. Without one, clients wait in the queue during a shortage.
func (l *Listener) openSpare() {
	if l.spare == nil {
		l.spare, _ = os.Open(os.DevNull)
	}
}

// closeSpare releases the spare descriptor.
func (l *Listener) closeSpare() {
	if l.spare != nil {
		_ = l.spare.Close() // nothing was written to it
		l.spare = nil
	}
}

// Accept blocks until a connection arrives. It returns all errors but those of a descriptor shortage.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err == nil {
			return c, nil
		}
		if !errors.Is(err, syscall.EMFILE) && !errors.Is(err, syscall.ENFILE) {
			return nil, err
		}
		l.relieveShortage(err)
	}
}

// relieveShortage evicts an idle connection, or rejects the one that waits for longest.
func (l *Listener) relieveShortage(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Since(l.loggedAt) >= logInterval {
		l.loggedAt = time.Now()
		l.log.Error("no descriptor is left for clients", "err", err)
	}
	if l.evictIdle() {
		time.Sleep(descriptorReleaseDelay)
		return
	}
	if l.spare != nil {
		l.closeSpare()
		l.rejectOne()
	}
	time.Sleep(acceptRetryInterval)
	l.openSpare()
}

// rejectOne accepts a connection with the spare's descriptor and closes it. The deadline is for a client that has left
// meanwhile.
func (l *Listener) rejectOne() {
	d, ok := l.Listener.(interface{ SetDeadline(time.Time) error })
	if !ok {
		return
	}
	if err := d.SetDeadline(time.Now().Add(acceptRetryInterval)); err != nil {
		return // it is closed
	}
	if c, err := l.Listener.Accept(); err == nil {
		_ = c.Close() // it is rejected either way
		l.onRejected()
	}
	_ = d.SetDeadline(time.Time{}) // it fails on a closed listener only
}

// Close closes the listener and releases its spare descriptor.
func (l *Listener) Close() error {
	err := l.Listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closeSpare()
	return err
}

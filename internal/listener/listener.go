package listener

import (
	"errors"
	"log/slog"
	"net"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	// acceptRetryInterval is the pause between two calls of accept after one has failed.
	acceptRetryInterval = 5 * time.Millisecond
	// shortageGrace is how long accept must fail before that counts as a shortage although a descriptor can be opened.
	shortageGrace = 25 * time.Millisecond
	// descriptorReleaseDelay is the time given to the kernel to release the descriptor of a closed connection.
	descriptorReleaseDelay = time.Millisecond
	// logInterval is the minimum time between two log lines about failed calls of accept.
	logInterval = time.Second
)

// Listener keeps accepting connections after an accept has failed for a reason that may pass. While the process, or the
// machine, has no file descriptor left, it evicts an idle connection to free a descriptor. If no connection is idle, it
// releases a spare descriptor, uses it to accept one connection, and closes that connection at once, so that the client
// does not wait in the accept queue forever. It pauses between attempts to avoid a busy loop.
//
// An accept may also fail for a moment although there are descriptors. A connection that was closed then could lose the
// request that is on its way.
type Listener struct {
	net.Listener
	log        *slog.Logger
	evictIdle  func() bool
	onRejected func()

	mu       sync.Mutex
	spare    *os.File // a descriptor to accept with during a shortage; nil if it could not be opened
	loggedAt time.Time

	failingSince time.Time // when accept began to fail for lack of a descriptor; zero after a success
}

// NewListener wraps a listener for client connections. Connections that it closes because of a descriptor
// shortage are counted in DescriptorShortages. It does not evict the limiter's connections to free descriptors. It
// holds one spare descriptor until Close.
func (l *ConnLimiter) NewListener(inner net.Listener, log *slog.Logger) *Listener {
	neverEvict := func() bool { return false }
	return NewListener(inner, log, neverEvict, func() { l.descriptorShortages.Add(1) })
}

// NewListener wraps a listener. evictIdle closes an idle connection and reports whether there was one. onRejected is
// called for each connection that is closed at once because of a descriptor shortage. Accept calls both functions,
// which must not block. The Listener holds one spare descriptor until Close.
func NewListener(inner net.Listener, log *slog.Logger, evictIdle func() bool, onRejected func()) *Listener {
	l := &Listener{Listener: inner, log: log, evictIdle: evictIdle, onRejected: onRejected}
	l.openSpare()
	return l
}

// openSpare opens the spare descriptor if it is not open. If this fails, clients wait in the accept queue during a
// shortage.
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

// Errors of accept that concern the process's or the machine's resources, or the connection that arrived, and not the
// listening socket: see accept(2).
var (
	shortageErrors  = []error{syscall.EMFILE, syscall.ENFILE}
	transientErrors = []error{
		syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.ECONNRESET, syscall.EPERM, syscall.EPROTO,
		syscall.ENOPROTOOPT, syscall.EOPNOTSUPP, syscall.ENETDOWN, syscall.ENETUNREACH, syscall.EHOSTDOWN,
		syscall.EHOSTUNREACH, syscall.ENONET,
	}
)

// isOneOf reports whether err is one of the given errors.
func isOneOf(err error, errs []error) bool {
	return slices.ContainsFunc(errs, func(target error) bool { return errors.Is(err, target) })
}

// Accept blocks until a connection arrives. It handles a descriptor shortage and other errors that may pass itself, and
// returns those of the listening socket.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		switch {
		case err == nil:
			l.accepted()
			return c, nil
		case isOneOf(err, shortageErrors):
			l.logError("no descriptor is left for clients", err)
			l.relieveShortage()
		case isOneOf(err, transientErrors):
			l.logError("accepting a connection failed", err)
			time.Sleep(acceptRetryInterval)
		default:
			return nil, err
		}
	}
}

// logError logs an error of accept, at most once in logInterval.
func (l *Listener) logError(message string, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Since(l.loggedAt) >= logInterval {
		l.loggedAt = time.Now()
		l.log.Error(message, "err", err)
	}
}

// accepted records that accept does not fail.
func (l *Listener) accepted() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failingSince = time.Time{}
}

// isShort reports whether a failed accept shows a shortage: no descriptor can be opened either, or accept has failed for
// shortageGrace. The lock must be held.
func (l *Listener) isShort() bool {
	now := time.Now()
	if l.failingSince.IsZero() {
		l.failingSince = now
	}
	probe, err := os.Open(os.DevNull)
	if err != nil {
		return true
	}
	_ = probe.Close() // nothing was written to it
	return now.Sub(l.failingSince) >= shortageGrace
}

// relieveShortage evicts an idle connection, or rejects the oldest connection in the accept queue. If there is no shortage,
// it only pauses.
func (l *Listener) relieveShortage() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.isShort() {
		time.Sleep(acceptRetryInterval)
		return
	}
	if l.evictIdle() {
		time.Sleep(descriptorReleaseDelay)
		return
	}
	if l.spare != nil {
		l.closeSpare()
		l.rejectWaiting()
	}
	time.Sleep(acceptRetryInterval)
	l.openSpare()
}

// rejectWaiting accepts the oldest connection in the accept queue with the descriptor that closeSpare released, and
// closes the connection. The deadline keeps Accept from blocking if the client has disconnected in the meantime.
func (l *Listener) rejectWaiting() {
	withDeadline, ok := l.Listener.(interface{ SetDeadline(time.Time) error })
	if !ok {
		return
	}
	if err := withDeadline.SetDeadline(time.Now().Add(acceptRetryInterval)); err != nil {
		return // the listener is closed
	}
	if c, err := l.Listener.Accept(); err == nil {
		_ = c.Close() // an error does not matter: the connection is rejected either way
		l.onRejected()
	}
	_ = withDeadline.SetDeadline(time.Time{}) // fails only if the listener is closed
}

// Close closes the listener and releases its spare descriptor.
func (l *Listener) Close() error {
	err := l.Listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closeSpare()
	return err
}

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
	acceptRetryInterval    = 5 * time.Millisecond // between two accepts while no descriptor is left
	descriptorReleaseDelay = time.Millisecond     // and once one was closed, whose descriptor comes back a moment later
	logInterval            = time.Second          // a line in the log about it
)

// Listener goes on accepting when the process, or the machine, has no descriptor left: whoever is idle makes place. Where
// nobody is, it gives up a descriptor that it holds for that, takes the connection and closes it at once, so that it does
// not stand in the queue for good. It rests a little, so that nothing spins. Requests in hand go on meanwhile.
type Listener struct {
	net.Listener
	log        *slog.Logger
	evictIdle  func() bool // closes a connection that is idle, if there is one
	onRejected func()      // one was closed for want of descriptors

	mu       sync.Mutex
	spare    *os.File
	loggedAt time.Time
}

// NewListener wraps a listener. It holds one descriptor more.
func (d *ConnLimiter) NewListener(l net.Listener, log *slog.Logger) *Listener {
	return NewListener(l, log, func() bool { return false }, func() { d.descriptorShortages.Add(1) })
}

// NewListener wraps a listener where there is no door: free closes a connection that is idle, or tells that none is, and
// count is called for each that is turned away.
func NewListener(l net.Listener, log *slog.Logger, free func() bool, count func()) *Listener {
	out := &Listener{Listener: l, log: log, evictIdle: free, onRejected: count}
	out.openSpare()
	return out
}

func (l *Listener) openSpare() {
	if l.spare == nil {
		l.spare, _ = os.Open(os.DevNull) // without it, whoever comes stands in the queue
	}
}

// Accept waits for a connection.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err == nil {
			return c, nil
		}
		if !errors.Is(err, syscall.EMFILE) && !errors.Is(err, syscall.ENFILE) {
			return nil, err
		}
		l.rejectOne(err)
	}
}

// rejectOne takes one connection off the queue by the spare descriptor.
func (l *Listener) rejectOne(why error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Since(l.loggedAt) >= logInterval {
		l.loggedAt = time.Now()
		l.log.Error("no descriptor is left for clients", "err", why)
	}
	if l.evictIdle() {
		time.Sleep(descriptorReleaseDelay)
		return
	}
	if l.spare != nil {
		l.spare.Close()
		l.spare = nil
		if t, ok := l.Listener.(interface{ SetDeadline(time.Time) error }); ok {
			t.SetDeadline(time.Now().Add(acceptRetryInterval)) // whoever stood there may have left
			if c, err := l.Listener.Accept(); err == nil {
				c.Close()
				l.onRejected()
			}
			t.SetDeadline(time.Time{})
		}
	}
	time.Sleep(acceptRetryInterval)
	l.openSpare()
}

// Close ends the listener and gives its descriptor back.
func (l *Listener) Close() error {
	err := l.Listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.spare != nil {
		l.spare.Close()
		l.spare = nil
	}
	return err
}

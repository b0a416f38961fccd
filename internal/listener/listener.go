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
	shortRest = 5 * time.Millisecond // between two accepts while no descriptor is left
	freedRest = time.Millisecond     // and once one was closed, whose descriptor comes back a moment later
	sayEvery  = time.Second          // a line in the log about it
)

// Listener goes on accepting when the process, or the machine, has no descriptor left: whoever is idle makes place. Where
// nobody is, it gives up a descriptor that it holds for that, takes the connection and closes it at once, so that it does
// not stand in the queue for good. It rests a little, so that nothing spins. Requests in hand go on meanwhile.
type Listener struct {
	net.Listener
	log   *slog.Logger
	free  func() bool // closes a connection that is idle, if there is one
	count func()      // one was closed for want of descriptors

	mu    sync.Mutex
	spare *os.File
	said  time.Time
}

// NewListener wraps a listener. It holds one descriptor more.
func (d *Door) NewListener(l net.Listener, log *slog.Logger) *Listener {
	return NewListener(l, log, func() bool { return false }, func() { d.short.Add(1) })
}

// NewListener wraps a listener where there is no door: free closes a connection that is idle, or tells that none is, and
// count is called for each that is turned away.
func NewListener(l net.Listener, log *slog.Logger, free func() bool, count func()) *Listener {
	out := &Listener{Listener: l, log: log, free: free, count: count}
	out.hold()
	return out
}

func (l *Listener) hold() {
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
		l.relieve(err)
	}
}

// relieve takes one connection off the queue by the spare descriptor.
func (l *Listener) relieve(why error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Since(l.said) >= sayEvery {
		l.said = time.Now()
		l.log.Error("no descriptor is left for clients", "err", why)
	}
	if l.free() {
		time.Sleep(freedRest)
		return
	}
	if l.spare != nil {
		l.spare.Close()
		l.spare = nil
		if t, ok := l.Listener.(interface{ SetDeadline(time.Time) error }); ok {
			t.SetDeadline(time.Now().Add(shortRest)) // whoever stood there may have left
			if c, err := l.Listener.Accept(); err == nil {
				c.Close()
				l.count()
			}
			t.SetDeadline(time.Time{})
		}
	}
	time.Sleep(shortRest)
	l.hold()
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

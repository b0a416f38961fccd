// Package slowpeer bounds how slowly a peer may take what is written to it, without mistaking a slow peer for one that
// has stalled.
//
// The duration of one write does not show whether the peer takes anything. Once the send buffer of a TCP socket is
// full, the system reports the socket as writable again only after about a third of the buffer has been acknowledged,
// and the buffer grows to several megabytes. A write to a peer that reads 80 kB a second without a pause can block for
// 18 s. Write therefore measures the bytes that the peer acknowledges, not the duration of a write.
package slowpeer

import (
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"lapisspread/internal/proxy/rawsocket"
)

// checksPerInterval is how often a blocked write is checked within Limit.Interval.
const checksPerInterval = 20

// Limit is the least that a peer must take. Both fields must be positive.
type Limit struct {
	Interval time.Duration // a write fails after an interval in which the peer took less than Bytes
	Bytes    int
}

// Conn is a connection that Write can write to.
type Conn interface {
	Write(p []byte) (int, error)
	SetWriteDeadline(deadline time.Time) error
	// Unacknowledged returns the number of written bytes that the peer has not acknowledged yet. If that is not
	// supported, written bytes count as acknowledged.
	Unacknowledged() (bytes int, supported bool)
}

// Socket makes a Conn of a net.Conn. It supports Unacknowledged if the net.Conn has a TCP socket.
type Socket struct{ net.Conn }

// Unacknowledged returns the number of bytes in the socket's send buffer.
func (s Socket) Unacknowledged() (bytes int, supported bool) { return rawsocket.Unacknowledged(s.Conn) }

// StalledError is the error of a write to a peer that took less than the limit. It unwraps to os.ErrDeadlineExceeded.
type StalledError struct {
	Limit        Limit
	Acknowledged int // bytes that the peer took in the last interval
}

// Error returns the limit and what the peer acknowledged instead.
func (e *StalledError) Error() string {
	return fmt.Sprintf("the peer stalled: it acknowledged %d bytes in %v, want at least %d",
		e.Acknowledged, e.Limit.Interval, e.Limit.Bytes)
}

// Unwrap returns os.ErrDeadlineExceeded.
func (e *StalledError) Unwrap() error { return os.ErrDeadlineExceeded }

// Write writes p and blocks until the connection has accepted all of it, or until the peer has taken less than the
// limit: then the error is a StalledError. It returns the number of bytes that the connection accepted, and an error
// if that is less than len(p). It sets the connection's write deadline, which has no meaning afterwards.
func Write(conn Conn, p []byte, limit Limit) (written int, err error) {
	interval := limit.Interval / checksPerInterval
	w := window{limit: limit}
	for {
		if err := conn.SetWriteDeadline(time.Now().Add(interval)); err != nil {
			return written, err
		}
		n, err := conn.Write(p[written:])
		written += n
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return written, err
		}
		if written == len(p) {
			return written, nil
		}
		unacknowledged, _ := conn.Unacknowledged()
		if !w.advance(time.Now(), written-unacknowledged) {
			return written, &StalledError{Limit: limit, Acknowledged: w.acknowledged}
		}
	}
}

// AwaitAcknowledged blocks until the peer has acknowledged all that was written to the connection, or until it has
// taken less than the limit: then the error is a StalledError. It returns at once if Unacknowledged is not supported,
// for example because the connection was closed.
func AwaitAcknowledged(conn Conn, limit Limit) error {
	w := window{limit: limit}
	for {
		unacknowledged, supported := conn.Unacknowledged()
		if !supported || unacknowledged == 0 {
			return nil
		}
		if !w.advance(time.Now(), -unacknowledged) {
			return &StalledError{Limit: limit, Acknowledged: w.acknowledged}
		}
		time.Sleep(limit.Interval / checksPerInterval)
	}
}

// window tracks what a peer acknowledged since it was last known to meet the limit.
type window struct {
	limit        Limit
	start        time.Time // zero before the first check
	checkedAt    time.Time
	base         int // written bytes less unacknowledged ones, at the start
	acknowledged int // since the start
}

// advance takes a measurement: total is the number of written bytes less the unacknowledged ones. It reports whether
// the peer is within the limit.
func (w *window) advance(now time.Time, total int) bool {
	w.acknowledged = total - w.base
	if w.start.IsZero() || w.acknowledged >= w.limit.Bytes {
		w.restart(now, total)
	}
	w.checkedAt = now
	return now.Sub(w.start) < w.limit.Interval
}

// restart begins a new window at the earliest time at which the peer can have taken its last bytes: the previous check.
// A check that is late, because the process was held up, does not shorten the window by more than one check.
func (w *window) restart(now time.Time, total int) {
	w.start = now.Add(-w.limit.Interval / checksPerInterval)
	if w.start.Before(w.checkedAt) {
		w.start = w.checkedAt
	}
	w.base = total
	w.acknowledged = 0
}

// LimitedConn is a connection whose writes are limited as by Write. Deadlines set for its writes have no effect.
// Below a TLS connection it makes the limit hold for a TLS peer: a deadline of the TLS connection itself breaks it.
type LimitedConn struct {
	net.Conn
	limit Limit
}

// NewConn returns a connection that limits the writes to conn.
func NewConn(conn net.Conn, limit Limit) *LimitedConn { return &LimitedConn{Conn: conn, limit: limit} }

// Write writes p as the function Write does.
func (c *LimitedConn) Write(p []byte) (int, error) { return Write(Socket{c.Conn}, p, c.limit) }

// Listener limits the writes to the connections that it accepts.
type Listener struct {
	net.Listener
	Limit Limit
}

// Accept waits for the next connection.
func (l Listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return NewConn(conn, l.Limit), nil
}

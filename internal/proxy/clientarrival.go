package proxy

import (
	"time"

	"lapisspread/internal/proxy/rawsocket"
)

// sendCatchUp is the time in which a client's system sends what it still holds, once this system has room for it again.
const sendCatchUp = 10 * time.Millisecond

// arrivalTracker tells how long a client is known not to have written the end of its request. An empty socket shows
// that, unless the receive buffer was full shortly before: then the client's system may still hold the rest. It is not
// safe for concurrent use.
type arrivalTracker struct {
	empty        bool      // the last read found nothing
	fullAt       time.Time // when a read last got as much as it asked for, so that more may be waiting
	incompleteAt time.Time // end of the last time for which the socket was empty; zero if there was none
}

// foundEmpty records that a read found nothing at the time now.
func (a *arrivalTracker) foundEmpty(now time.Time) {
	a.advance(now)
	a.empty = true
}

// foundBytes records that a read got n of the bytes that it asked for.
func (a *arrivalTracker) foundBytes(now time.Time, n, asked int) {
	if a.empty {
		a.advance(now)
	}
	a.empty = false
	if n == asked {
		a.fullAt = now
	}
}

// advance records that the socket was empty until now.
func (a *arrivalTracker) advance(now time.Time) {
	if now.Sub(a.fullAt) >= sendCatchUp {
		a.incompleteAt = now
	}
}

// lastIncomplete returns the latest time up to now at which the end of the request had not been written.
func (a *arrivalTracker) lastIncomplete(now time.Time) time.Time {
	if a.empty {
		a.advance(now)
	}
	return a.incompleteAt
}

// incompleteAt implements clientState.
func (c *clientConn) incompleteAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	// The wait for the first byte of the request may have been none at all.
	at := c.arrival.lastIncomplete(time.Now())
	if at.Before(c.stateSince) {
		return c.stateSince
	}
	return at
}

// unread implements clientState.
func (c *clientConn) unread() int64 { return int64(rawsocket.Unread(c.Conn)) }

// hasWholeRequest implements clientState.
func (c *clientConn) hasWholeRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requestInFlight
}

// foundNothing implements clientState.
func (c *clientConn) foundNothing() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.arrival.advance(time.Now())
}

// Left implements engine.Client: it reports whether the client has closed or reset the connection, also behind bytes that
// were not read. A client that has closed only its write side counts as one that has left.
func (c *clientConn) Left() bool { return rawsocket.HungUp(c.Conn) }

package admission

import (
	"container/list"
	"time"
)

// state is the state of a connection.
type state uint8

const (
	stateUnproven state = iota // no request on it has been served yet
	stateIdle                  // a request on it was served, and no request is in flight
	stateBusy                  // a whole request is in flight, or part of a request was received on a proven connection
)

// conn is the state of one open connection in a ConnLimiter.
type conn struct {
	id    ID
	state state
	// graceStartedAt is the start of the grace period of an unproven connection: when it last became unproven, ended a
	// request that was not served, or refused an eviction (EvictionRefused). In other states it has no effect.
	graceStartedAt  time.Duration
	known           bool  // counted as a connection of a known client
	proven          bool  // a request on it was served
	bodyBytes       int64 // body bytes of its request in flight
	groups          [tierCount]*group
	unprovenInGroup [tierCount]*list.Element // in group.unproven, while it is unproven
	unprovenInAll   *list.Element            // in ConnLimiter.unproven, while it is unproven
	idleElement     *list.Element            // in ConnLimiter.idle, while it is idle
}

// idleList returns the index in ConnLimiter.idle of the list for this connection.
func (c *conn) idleList() int {
	if c.known {
		return idleKnown
	}
	return idleUnknown
}

// RequestStarted records that the first byte of a request was received. An unproven connection stays unproven, because
// a first byte does not show that the client is legitimate.
func (l *ConnLimiter) RequestStarted(now time.Duration, id ID) {
	if c := l.conns[id]; c != nil && c.state == stateIdle {
		l.setState(now, c, stateBusy)
	}
}

// RequestReceived records that the whole head of a request was received. The connection is not evicted before
// RequestDone.
func (l *ConnLimiter) RequestReceived(now time.Duration, id ID) {
	if c := l.conns[id]; c != nil {
		l.setState(now, c, stateBusy)
	}
}

// AcquireBody reserves memory, in bytes, for the body of the request in flight on a connection, until RequestDone or
// Remove. It reports whether the client's address may hold the bytes; if not, nothing is reserved.
func (l *ConnLimiter) AcquireBody(now time.Duration, id ID, bytes int64) bool {
	c := l.conns[id]
	if c == nil || bytes <= 0 {
		return true
	}
	if l.bodyLimited(c, bytes) {
		for i, g := range c.groups {
			t := l.tiers[i]
			share := l.settings.MaxBodyPart * float64(l.settings.MaxBodyBytes) * t.factor
			if float64(g.bodyBytes+bytes) > share+BytesPerServedRequest*t.served(now, g) {
				l.counts.BodyRejections++
				return false
			}
		}
	}
	l.addBody(c, bytes)
	return true
}

// bodyLimited reports whether the body bytes of a connection's address are limited: body bytes are scarce (see
// Settings.ScarceBelow), and the address already holds some. An address that holds none may always hold one body of any
// length; otherwise a long body could never be accepted.
func (l *ConnLimiter) bodyLimited(c *conn, bytes int64) bool {
	host := c.groups[hostTier]
	if host.inKnownPrefixes || host.bodyBytes == 0 || l.settings.MaxBodyBytes == 0 {
		return false
	}
	total := float64(l.settings.MaxBodyBytes)
	return total-float64(l.bodyBytes+bytes) < l.settings.ScarceBelow*total
}

// addBody adds body bytes to the counts of a connection, its groups and the limiter; a negative number releases bytes.
func (l *ConnLimiter) addBody(c *conn, bytes int64) {
	l.bodyBytes += bytes
	c.bodyBytes += bytes
	for _, g := range c.groups {
		g.bodyBytes += bytes
	}
}

// RequestDone records the end of a request and releases its body bytes. Only a request that was served earns credit for
// the address and proves the connection.
func (l *ConnLimiter) RequestDone(now time.Duration, id ID, served bool) {
	c := l.conns[id]
	if c == nil {
		return
	}
	l.addBody(c, -c.bodyBytes)
	if served {
		c.proven = true
		for i, g := range c.groups {
			l.tiers[i].addServed(now, g)
		}
		host := c.groups[hostTier]
		if !c.known && (host.inKnownPrefixes || l.tiers[hostTier].served(now, host) >= KnownThreshold) {
			l.removeFromIdle(c)
			c.known = true
			l.known++
		}
	}
	if c.proven {
		l.setState(now, c, stateIdle)
	} else {
		l.setState(now, c, stateUnproven)
	}
}

// setState changes the state of a connection, and moves it to the eviction lists of that state.
func (l *ConnLimiter) setState(now time.Duration, c *conn, s state) {
	c.graceStartedAt = now
	if c.state == s {
		if s == stateIdle && c.idleElement == nil { // RequestDone removed it from idle[idleUnknown]: it became known
			c.idleElement = l.idle[c.idleList()].PushBack(c)
		}
		return
	}
	l.removeFromLists(now, c)
	c.state = s
	switch s {
	case stateUnproven:
		c.unprovenInAll = l.unproven.PushBack(c)
		for i, g := range c.groups {
			c.unprovenInGroup[i] = g.unproven.PushBack(c)
			l.tiers[i].update(now, g)
		}
	case stateIdle:
		c.idleElement = l.idle[c.idleList()].PushBack(c)
	}
}

// removeFromIdle removes a connection from its list of idle connections, if it is in one.
func (l *ConnLimiter) removeFromIdle(c *conn) {
	if c.idleElement != nil {
		l.idle[c.idleList()].Remove(c.idleElement)
		c.idleElement = nil
	}
}

// removeFromLists removes a connection from all lists of eviction candidates.
func (l *ConnLimiter) removeFromLists(now time.Duration, c *conn) {
	l.removeFromIdle(c)
	if c.unprovenInAll != nil {
		l.unproven.Remove(c.unprovenInAll)
		c.unprovenInAll = nil
	}
	for i, e := range c.unprovenInGroup {
		if e != nil {
			c.groups[i].unproven.Remove(e)
			c.unprovenInGroup[i] = nil
			l.tiers[i].update(now, c.groups[i])
		}
	}
}

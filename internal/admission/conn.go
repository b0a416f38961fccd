package admission

import (
	"container/list"
	"time"
)

// state is what a connection does.
type state uint8

const (
	stateUnproven state = iota // no request of it was served yet
	stateIdle                  // it was served, and is between two requests
	stateBusy                  // a whole request is in flight, or a request has begun on one that was served
)

// conn is a connection that a ConnLimiter holds.
type conn struct {
	id              ID
	state           state
	since           time.Duration // when it entered its state, ended a request in it, or was last spared
	known           bool          // it is held as a known client
	proven          bool          // a request of it was served
	bodyBytes       int64         // of its request
	groups          [tierCount]*group
	unprovenInGroup [tierCount]*list.Element // in group.unproven, while it is unproven
	unprovenInAll   *list.Element            // in ConnLimiter.unproven, while it is unproven
	idleElement     *list.Element            // in ConnLimiter.idle, while it is idle
}

// idleList returns the index of its list of idle connections.
func (c *conn) idleList() int {
	if c.known {
		return idleKnown
	}
	return idleUnknown
}

// RequestStarted records the first byte of a request. An unproven connection stays unproven: it proves nothing.
func (l *ConnLimiter) RequestStarted(now time.Duration, id ID) {
	if c := l.conns[id]; c != nil && c.state == stateIdle {
		l.setState(now, c, stateBusy)
	}
}

// RequestReceived records the whole head of a request. The connection is not evicted before RequestDone.
func (l *ConnLimiter) RequestReceived(now time.Duration, id ID) {
	if c := l.conns[id]; c != nil {
		l.setState(now, c, stateBusy)
	}
}

// AcquireBody counts bytes of the body of a connection's request, until RequestDone or Remove. It reports whether the
// address may hold them; if not, nothing is counted.
func (l *ConnLimiter) AcquireBody(now time.Duration, id ID, bytes int64) bool {
	c := l.conns[id]
	if c == nil || bytes <= 0 {
		return true
	}
	if l.bodyLimited(c, bytes) {
		for i, g := range c.groups {
			t := l.tiers[i]
			part := l.settings.MaxBodyPart * float64(l.settings.MaxBodyBytes) * t.factor
			if float64(g.bodyBytes+bytes) > part+BytesPerServedRequest*t.served(now, g) {
				l.counts.BodyRejections++
				return false
			}
		}
	}
	l.addBody(c, bytes)
	return true
}

// bodyLimited reports whether the bytes of an address are limited: they are scarce, and the address holds some. An
// address that holds none may always have one body, however long; otherwise a long one could never pass.
func (l *ConnLimiter) bodyLimited(c *conn, bytes int64) bool {
	host := c.groups[hostTier]
	if host.listed || host.bodyBytes == 0 || l.settings.MaxBodyBytes == 0 {
		return false
	}
	total := float64(l.settings.MaxBodyBytes)
	return total-float64(l.bodyBytes+bytes) < l.settings.ScarceBelow*total
}

// addBody changes how many bytes a connection holds.
func (l *ConnLimiter) addBody(c *conn, bytes int64) {
	l.bodyBytes += bytes
	c.bodyBytes += bytes
	for _, g := range c.groups {
		g.bodyBytes += bytes
	}
}

// RequestDone records the end of a request. Only one that was served earns credit and proves the connection.
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
		if !c.known && (host.listed || l.tiers[hostTier].served(now, host) >= KnownThreshold) {
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

// setState moves a connection to a state, and into the lists of that state.
func (l *ConnLimiter) setState(now time.Duration, c *conn, s state) {
	c.since = now
	if c.state == s {
		if s == stateIdle && c.idleElement == nil { // it has become a known client's
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

// removeFromIdle takes a connection out of its list of idle ones.
func (l *ConnLimiter) removeFromIdle(c *conn) {
	if c.idleElement != nil {
		l.idle[c.idleList()].Remove(c.idleElement)
		c.idleElement = nil
	}
}

// removeFromLists takes a connection out of all lists of candidates for eviction.
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

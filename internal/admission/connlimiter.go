package admission

import (
	"container/list"
	"fmt"
	"net/netip"
	"slices"
	"time"
)

type state uint8

const (
	stateUnproven state = iota // nothing of its was served yet
	stateIdle                  // between two requests
	stateBusy                  // a request has begun, and one was served before; or a whole one is in hand
)

// conn is a connection that a Door holds.
type conn struct {
	id              ID
	addr            netip.Addr
	state           state
	known           bool // holds a place as a known client
	proven          bool
	bytes           int64         // of its request's body
	since           time.Duration // it is in its state
	groups          [2]*group
	unprovenInGroup [2]*list.Element // among the groups' unproven ones
	unprovenInAll   *list.Element    // among all unproven ones
	idleElement     *list.Element    // among those that wait
}

// ConnLimiter is one set of places.
type ConnLimiter struct {
	settings    Settings
	tiers       [2]*tier // by address, by net
	rates       *sketch
	conns       map[ID]*conn
	lastID      ID
	bytes       int64        // of the bodies of requests in hand
	known       int          // connections that hold a place as known clients
	idle        [2]list.List // of *conn that wait, the longest idle in front: strangers', known clients'
	unproven    list.List    // of *conn that have shown nothing yet, the one that came first in front
	blocks      map[netip.Prefix]time.Duration
	refreshedAt time.Duration // when all groups were looked at last
	busiest     busiestAddresses
	counts      Counts
}

// Counts are what a Door has done, from 0 on.
type Counts struct {
	Arrived, Admitted int64
	Rejected          [reasons]int64 // by reason; Room counts those closed for others
	BodyRejections    int64          // requests that an address had no bytes for
	Spared            int64          // were to be closed, and something stood to be read
}

// New makes a door. An error names the setting.
func New(s Settings) (*ConnLimiter, error) {
	d := &ConnLimiter{conns: map[ID]*conn{}, blocks: map[netip.Prefix]time.Duration{}, rates: newSketch(s.Seed)}
	d.tiers = [2]*tier{newTier(32, 64, 1), newTier(24, 48, NetworkFactor)}
	if err := d.Reconfigure(0, s); err != nil {
		return nil, err
	}
	return d, nil
}

// Reconfigure sets other settings, but for the seed. Whom it holds it goes on holding: where there are fewer places now, it takes
// nobody until there is one. A bad change changes nothing.
func (d *ConnLimiter) Reconfigure(now time.Duration, s Settings) error {
	if err := s.Validate(); err != nil {
		return fmt.Errorf("admission: %w", err)
	}
	s.KnownPrefixes = slices.Clone(s.KnownPrefixes)
	d.settings = s
	for _, t := range d.tiers {
		t.halfLife, t.maxCredit, t.maxResting = s.HalfLife, float64(s.MaxCredit)*t.factor, s.MaxTracked
		for _, g := range t.groups {
			g.listed = t == d.tiers[0] && slices.ContainsFunc(s.KnownPrefixes, g.prefix.Overlaps)
		}
		t.refresh(now)
	}
	return nil
}

func (d *ConnLimiter) isListed(a netip.Addr) bool {
	a = a.Unmap()
	return slices.ContainsFunc(d.settings.KnownPrefixes, func(p netip.Prefix) bool { return p.Contains(a) })
}

// Usage is how many connections it holds, and how many of them as known clients.
func (d *ConnLimiter) Usage() (all, known int) { return len(d.conns), d.known }

// refreshEvery is how often all groups are looked at: what fades in between is little.
const refreshEvery = time.Second

// Arrive decides on a connection from an address. Where another must be closed first, it names that and counts nothing;
// the caller asks again.
func (d *ConnLimiter) Arrive(now time.Duration, a netip.Addr, again bool) Verdict {
	if now-d.refreshedAt >= refreshEvery {
		d.refreshedAt = now
		for _, t := range d.tiers {
			t.refresh(now)
		}
	}
	host, net := d.tiers[0].prefix(a), d.tiers[1].prefix(a)
	if !again {
		d.counts.Arrived++
	}
	if d.Blocked(now, a) {
		return d.reject(host, Blocked)
	}
	free := d.settings.MaxConns - len(d.conns)
	if !again {
		hostCount, netCount := d.rates.add(now, d.rates.key(host)), d.rates.add(now, d.rates.key(net))
		d.busiest.record(now, host, hostCount)
		if float64(free-d.reservedFree()) < d.settings.ScarceBelow*float64(d.settings.MaxConns) && !d.isListed(a) && d.tooFast(now, host, net, hostCount, netCount) {
			return d.reject(host, RateExceeded)
		}
	}
	known := d.isKnown(now, host, a)
	if free > 0 && (known || free > d.reservedFree()) {
		return Verdict{Admitted: d.admit(now, a, host, net, known)}
	}
	if victim := d.victim(now, known); victim != nil {
		return Verdict{Evict: victim.id, Reason: Evicted}
	}
	return d.reject(host, NoCapacity)
}

func (d *ConnLimiter) reject(host netip.Prefix, why Reason) Verdict {
	d.counts.Rejected[why]++
	d.busiest.reject(host)
	return Verdict{Reason: why}
}

// connRatePerServedRequest is how many new connections a second an address may bring for each request served of late: behind the address of
// many good clients a flooder must not use up their rate at once.
const connRatePerServedRequest = 10

// tooFast tells whether an address or its net brings more a second than it may. What the sketch may be wrong by, and
// what the address has earned, is added to the bound.
func (d *ConnLimiter) tooFast(now time.Duration, host, net netip.Prefix, hostCount, netCount float64) bool {
	wrong := d.rates.error()
	for i, count := range [2]float64{hostCount, netCount} {
		t := d.tiers[i]
		bound := d.settings.MaxConnRate * t.factor
		if g := t.groups[[2]netip.Prefix{host, net}[i]]; g != nil {
			bound += connRatePerServedRequest * t.served(now, g)
		}
		if d.rates.rate(count-wrong) > bound {
			return true
		}
	}
	return false
}

// isKnown tells whether one more connection from an address counts as a known client's: it has earned, beyond its
// connections that have shown nothing yet. Danger: else an address that was good once could flood the reserve.
func (d *ConnLimiter) isKnown(now time.Duration, host netip.Prefix, a netip.Addr) bool {
	g := d.tiers[0].groups[host]
	if g == nil {
		return d.isListed(a)
	}
	has := d.tiers[0].credit(now, g)
	return (g.listed || d.tiers[0].served(now, g) >= KnownThreshold) && has > float64(g.unproven.Len())
}

// reservedFree is how many of the free places are kept for known clients.
func (d *ConnLimiter) reservedFree() int {
	return max(0, int(d.settings.KnownReserve*float64(d.settings.MaxConns))-d.known)
}

func (d *ConnLimiter) admit(now time.Duration, a netip.Addr, host, net netip.Prefix, known bool) ID {
	d.lastID++
	c := &conn{id: d.lastID, addr: a, since: now, known: known}
	d.conns[c.id] = c
	for i, p := range [2]netip.Prefix{host, net} {
		g := d.tiers[i].group(p)
		g.listed = i == 0 && d.isListed(a)
		c.groups[i] = g
		c.unprovenInGroup[i] = d.tiers[i].addConn(now, g, c)
	}
	c.unprovenInAll = d.unproven.PushBack(c)
	if known {
		d.known++
	}
	d.counts.Admitted++
	return c.id
}

// graceExcess is beyond how many connections more than it has earned an address has no grace. Danger: a flood so fast
// that all of its connections are within the grace would hold the door.
const graceExcess = 8

// unprovenDivisor is the part of the places that those who have only just come have before they push each other out; strangers' idle
// connections make way for them.
const unprovenDivisor = 8

// victim is who is closed for a newcomer, or nil.
func (d *ConnLimiter) victim(now time.Duration, known bool) *conn {
	var worst *group
	for _, t := range d.tiers {
		if g := t.worst(); g != nil && g.excess > 0 && (worst == nil || g.excess > worst.excess) {
			worst = g
		}
	}
	if worst != nil {
		c := worst.unproven.Front().Value.(*conn)
		if now-c.since >= d.settings.GracePeriod || worst.excess > graceExcess {
			return c
		}
		// Of the worst all have only just come: who came first of anybody, then. Danger: if those who have come to wait between
		// two requests have nearly all places, those who come push each other out before they can show anything.
		if first := d.unproven.Front().Value.(*conn); now-first.since >= d.settings.GracePeriod || d.unproven.Len() >= d.settings.MaxConns/unprovenDivisor || d.idle[0].Len() == 0 {
			return first
		}
	}
	if e := d.idle[0].Front(); e != nil {
		return e.Value.(*conn)
	}
	if !known {
		return nil
	}
	if g := d.tiers[0].worst(); g != nil {
		if c := g.unproven.Front().Value.(*conn); now-c.since >= d.settings.GracePeriod {
			return c
		}
	}
	if e := d.idle[1].Front(); e != nil {
		return e.Value.(*conn)
	}
	return nil
}

// EvictionRefused notes that a connection which was to be closed must not be: something of it stands to be read.
func (d *ConnLimiter) EvictionRefused(now time.Duration, id ID) {
	c := d.conns[id]
	if c == nil {
		return
	}
	d.counts.Spared++
	c.since = now
	for i, e := range c.unprovenInGroup {
		if e != nil {
			c.groups[i].unproven.MoveToBack(e)
			d.tiers[i].update(now, c.groups[i])
		}
	}
	if c.unprovenInAll != nil {
		d.unproven.MoveToBack(c.unprovenInAll)
	}
	if c.idleElement != nil {
		d.idle[c.idleList()].MoveToBack(c.idleElement)
	}
}

func (c *conn) idleList() int {
	if c.known {
		return 1
	}
	return 0
}

// RequestStarted notes the first byte of a request. One that has shown nothing yet has shown nothing by that.
func (d *ConnLimiter) RequestStarted(now time.Duration, id ID) {
	if c := d.conns[id]; c != nil && c.state == stateIdle {
		d.setState(now, c, stateBusy)
	}
}

// RequestReceived notes a whole request's head: it is owed its answer, so the connection stays.
func (d *ConnLimiter) RequestReceived(now time.Duration, id ID) {
	if c := d.conns[id]; c != nil {
		d.setState(now, c, stateBusy)
	}
}

// AcquireBody counts bytes of the body of a connection's request, until it is answered or the connection gone. It tells whether its
// address may hold them: where it may not, nothing is counted.
func (d *ConnLimiter) AcquireBody(now time.Duration, id ID, bytes int64) bool {
	c := d.conns[id]
	if c == nil || bytes <= 0 {
		return true
	}
	// Danger: who holds nothing may always have one, however long, and whatever its neighbours hold; else a long body could
	// never pass.
	bounded := !c.groups[0].listed && c.groups[0].bytes > 0
	if most := float64(d.settings.MaxBodyBytes); bounded && most > 0 && most-float64(d.bytes+bytes) < d.settings.ScarceBelow*most {
		for i, g := range c.groups {
			t := d.tiers[i]
			if float64(g.bytes+bytes) > d.settings.MaxBodyPart*most*t.factor+BytesPerServedRequest*t.served(now, g) {
				d.counts.BodyRejections++
				return false
			}
		}
	}
	d.addBody(c, bytes)
	return true
}

// addBody moves what a connection holds.
func (d *ConnLimiter) addBody(c *conn, bytes int64) {
	d.bytes += bytes
	c.bytes += bytes
	for _, g := range c.groups {
		g.bytes += bytes
	}
}

// RequestDone notes a request's end, and whether it was served: only that proves anything.
func (d *ConnLimiter) RequestDone(now time.Duration, id ID, served bool) {
	c := d.conns[id]
	if c == nil {
		return
	}
	d.addBody(c, -c.bytes)
	if served {
		c.proven = true
		for i, g := range c.groups {
			d.tiers[i].addServed(now, g)
		}
		if !c.known && (c.groups[0].listed || d.tiers[0].served(now, c.groups[0]) >= KnownThreshold) {
			d.removeFromIdle(c)
			c.known = true
			d.known++
		}
	}
	if c.proven {
		d.setState(now, c, stateIdle)
	} else {
		d.setState(now, c, stateUnproven)
	}
}

// setState brings a connection to a state, and into the lists of it.
func (d *ConnLimiter) setState(now time.Duration, c *conn, s state) {
	c.since = now
	if c.state == s {
		if s == stateIdle && c.idleElement == nil {
			c.idleElement = d.idle[c.idleList()].PushBack(c)
		}
		return
	}
	d.removeFromLists(now, c)
	c.state = s
	switch s {
	case stateUnproven:
		c.unprovenInAll = d.unproven.PushBack(c)
		for i, g := range c.groups {
			c.unprovenInGroup[i] = g.unproven.PushBack(c)
			d.tiers[i].update(now, g)
		}
	case stateIdle:
		c.idleElement = d.idle[c.idleList()].PushBack(c)
	}
}

func (d *ConnLimiter) removeFromIdle(c *conn) {
	if c.idleElement != nil {
		d.idle[c.idleList()].Remove(c.idleElement)
		c.idleElement = nil
	}
}

// removeFromLists takes a connection off all lists from which it could be closed.
func (d *ConnLimiter) removeFromLists(now time.Duration, c *conn) {
	d.removeFromIdle(c)
	if c.unprovenInAll != nil {
		d.unproven.Remove(c.unprovenInAll)
		c.unprovenInAll = nil
	}
	for i, e := range c.unprovenInGroup {
		if e != nil {
			c.groups[i].unproven.Remove(e)
			c.unprovenInGroup[i] = nil
			d.tiers[i].update(now, c.groups[i])
		}
	}
}

// Remove notes that a connection is closed, by whomever; closed says that it was to make room. Its place is free.
func (d *ConnLimiter) Remove(now time.Duration, id ID, closed bool) {
	c := d.conns[id]
	if c == nil {
		return
	}
	if closed {
		d.counts.Rejected[Evicted]++
		d.busiest.reject(c.groups[0].prefix)
	}
	d.removeFromLists(now, c)
	d.addBody(c, -c.bytes)
	delete(d.conns, id)
	if c.known {
		d.known--
	}
	for i, g := range c.groups {
		d.tiers[i].removeConn(now, g)
	}
}

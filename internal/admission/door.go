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
	unproven state = iota // nothing of its was served yet
	waiting               // between two requests
	busy                  // a request has begun, and one was served before; or a whole one is in hand
)

// conn is a connection that a Door holds.
type conn struct {
	id     ID
	addr   netip.Addr
	state  state
	known  bool // holds a place as a known client
	proven bool
	bytes  int64         // of its request's body
	since  time.Duration // it is in its state
	groups [2]*group
	in     [2]*list.Element // among the groups' unproven ones
	inAll  *list.Element    // among all unproven ones
	idle   *list.Element    // among those that wait
}

// Door is one set of places.
type Door struct {
	set    Settings
	tiers  [2]*tier // by address, by net
	rates  *sketch
	conns  map[ID]*conn
	last   ID
	bytes  int64        // of the bodies of requests in hand
	known  int          // connections that hold a place as known clients
	idle   [2]list.List // of *conn that wait, the longest idle in front: strangers', known clients'
	silent list.List    // of *conn that have shown nothing yet, the one that came first in front
	blocks map[netip.Prefix]time.Duration
	fresh  time.Duration // when all groups were looked at last
	seen   top
	count  Counts
}

// Counts are what a Door has done, from 0 on.
type Counts struct {
	Arrived, Taken int64
	Refused        [reasons]int64 // by reason; Room counts those closed for others
	Crowded        int64          // requests that an address had no bytes for
	Spared         int64          // were to be closed, and something stood to be read
}

// New makes a door. An error names the setting.
func New(s Settings) (*Door, error) {
	d := &Door{conns: map[ID]*conn{}, blocks: map[netip.Prefix]time.Duration{}, rates: newSketch(s.Seed)}
	d.tiers = [2]*tier{newTier(32, 64, 1), newTier(24, 48, NetTimes)}
	if err := d.Change(0, s); err != nil {
		return nil, err
	}
	return d, nil
}

// Change sets other settings, but for the seed. Whom it holds it goes on holding: where there are fewer places now, it takes
// nobody until there is one. A bad change changes nothing.
func (d *Door) Change(now time.Duration, s Settings) error {
	if err := s.Check(); err != nil {
		return fmt.Errorf("admission: %w", err)
	}
	s.Listed = slices.Clone(s.Listed)
	d.set = s
	for _, t := range d.tiers {
		t.half, t.most, t.tracked = s.HalfLife, float64(s.Earned)*t.times, s.Tracked
		for _, g := range t.groups {
			g.listed = t == d.tiers[0] && slices.ContainsFunc(s.Listed, g.prefix.Overlaps)
		}
		t.refresh(now)
	}
	return nil
}

func (d *Door) listed(a netip.Addr) bool {
	a = a.Unmap()
	return slices.ContainsFunc(d.set.Listed, func(p netip.Prefix) bool { return p.Contains(a) })
}

// Open is how many connections it holds, and how many of them as known clients.
func (d *Door) Open() (all, known int) { return len(d.conns), d.known }

// refreshEvery is how often all groups are looked at: what fades in between is little.
const refreshEvery = time.Second

// Arrive decides on a connection from an address. Where another must be closed first, it names that and counts nothing;
// the caller asks again.
func (d *Door) Arrive(now time.Duration, a netip.Addr, again bool) Verdict {
	if now-d.fresh >= refreshEvery {
		d.fresh = now
		for _, t := range d.tiers {
			t.refresh(now)
		}
	}
	host, net := d.tiers[0].prefix(a), d.tiers[1].prefix(a)
	if !again {
		d.count.Arrived++
	}
	if d.Blocked(now, a) {
		return d.refuse(host, Blocked)
	}
	free := d.set.Places - len(d.conns)
	if !again {
		hostCount, netCount := d.rates.add(now, d.rates.key(host)), d.rates.add(now, d.rates.key(net))
		d.seen.note(now, host, hostCount)
		if float64(free-d.owed()) < d.set.Short*float64(d.set.Places) && !d.listed(a) && d.tooFast(now, host, net, hostCount, netCount) {
			return d.refuse(host, Rate)
		}
	}
	known := d.isKnown(now, host, a)
	if free > 0 && (known || free > d.owed()) {
		return Verdict{Taken: d.take(now, a, host, net, known)}
	}
	if victim := d.victim(now, known); victim != nil {
		return Verdict{Closes: victim.id, Why: Room}
	}
	return d.refuse(host, Full)
}

func (d *Door) refuse(host netip.Prefix, why Reason) Verdict {
	d.count.Refused[why]++
	d.seen.refused(host)
	return Verdict{Why: why}
}

// earnedRate is how many new connections a second an address may bring for each request served of late: behind the address of
// many good clients a flooder must not use up their rate at once.
const earnedRate = 10

// tooFast tells whether an address or its net brings more a second than it may. What the sketch may be wrong by, and
// what the address has earned, is added to the bound.
func (d *Door) tooFast(now time.Duration, host, net netip.Prefix, hostCount, netCount float64) bool {
	wrong := d.rates.error()
	for i, count := range [2]float64{hostCount, netCount} {
		t := d.tiers[i]
		bound := d.set.Rate * t.times
		if g := t.groups[[2]netip.Prefix{host, net}[i]]; g != nil {
			bound += earnedRate * t.served(now, g)
		}
		if d.rates.rate(count-wrong) > bound {
			return true
		}
	}
	return false
}

// isKnown tells whether one more connection from an address counts as a known client's: it has earned, beyond its
// connections that have shown nothing yet. Danger: else an address that was good once could flood the reserve.
func (d *Door) isKnown(now time.Duration, host netip.Prefix, a netip.Addr) bool {
	g := d.tiers[0].groups[host]
	if g == nil {
		return d.listed(a)
	}
	has := d.tiers[0].has(now, g)
	return (g.listed || d.tiers[0].served(now, g) >= KnownFrom) && has > float64(g.unproven.Len())
}

// owed is how many of the free places are kept for known clients.
func (d *Door) owed() int {
	return max(0, int(d.set.Reserve*float64(d.set.Places))-d.known)
}

func (d *Door) take(now time.Duration, a netip.Addr, host, net netip.Prefix, known bool) ID {
	d.last++
	c := &conn{id: d.last, addr: a, since: now, known: known}
	d.conns[c.id] = c
	for i, p := range [2]netip.Prefix{host, net} {
		g := d.tiers[i].group(p)
		g.listed = i == 0 && d.listed(a)
		c.groups[i] = g
		c.in[i] = d.tiers[i].join(now, g, c)
	}
	c.inAll = d.silent.PushBack(c)
	if known {
		d.known++
	}
	d.count.Taken++
	return c.id
}

// graceOver is beyond how many connections more than it has earned an address has no grace. Danger: a flood so fast
// that all of its connections are within the grace would hold the door.
const graceOver = 8

// newPart is the part of the places that those who have only just come have before they push each other out; strangers' idle
// connections make way for them.
const newPart = 8

// victim is who is closed for a newcomer, or nil.
func (d *Door) victim(now time.Duration, known bool) *conn {
	var worst *group
	for _, t := range d.tiers {
		if g := t.top(); g != nil && g.over > 0 && (worst == nil || g.over > worst.over) {
			worst = g
		}
	}
	if worst != nil {
		c := worst.unproven.Front().Value.(*conn)
		if now-c.since >= d.set.Grace || worst.over > graceOver {
			return c
		}
		// Of the worst all have only just come: who came first of anybody, then. Danger: if those who have come to wait between
		// two requests have nearly all places, those who come push each other out before they can show anything.
		if first := d.silent.Front().Value.(*conn); now-first.since >= d.set.Grace || d.silent.Len() >= d.set.Places/newPart || d.idle[0].Len() == 0 {
			return first
		}
	}
	if e := d.idle[0].Front(); e != nil {
		return e.Value.(*conn)
	}
	if !known {
		return nil
	}
	if g := d.tiers[0].top(); g != nil {
		if c := g.unproven.Front().Value.(*conn); now-c.since >= d.set.Grace {
			return c
		}
	}
	if e := d.idle[1].Front(); e != nil {
		return e.Value.(*conn)
	}
	return nil
}

// Spare notes that a connection which was to be closed must not be: something of it stands to be read.
func (d *Door) Spare(now time.Duration, id ID) {
	c := d.conns[id]
	if c == nil {
		return
	}
	d.count.Spared++
	c.since = now
	for i, e := range c.in {
		if e != nil {
			c.groups[i].unproven.MoveToBack(e)
			d.tiers[i].look(now, c.groups[i])
		}
	}
	if c.inAll != nil {
		d.silent.MoveToBack(c.inAll)
	}
	if c.idle != nil {
		d.idle[c.side()].MoveToBack(c.idle)
	}
}

func (c *conn) side() int {
	if c.known {
		return 1
	}
	return 0
}

// Begin notes the first byte of a request. One that has shown nothing yet has shown nothing by that.
func (d *Door) Begin(now time.Duration, id ID) {
	if c := d.conns[id]; c != nil && c.state == waiting {
		d.to(now, c, busy)
	}
}

// Request notes a whole request's head: it is owed its answer, so the connection stays.
func (d *Door) Request(now time.Duration, id ID) {
	if c := d.conns[id]; c != nil {
		d.to(now, c, busy)
	}
}

// Hold counts bytes of the body of a connection's request, until it is answered or the connection gone. It tells whether its
// address may hold them: where it may not, nothing is counted.
func (d *Door) Hold(now time.Duration, id ID, bytes int64) bool {
	c := d.conns[id]
	if c == nil || bytes <= 0 {
		return true
	}
	// Danger: who holds nothing may always have one, however long, and whatever its neighbours hold; else a long body could
	// never pass.
	bounded := !c.groups[0].listed && c.groups[0].bytes > 0
	if most := float64(d.set.Bytes); bounded && most > 0 && most-float64(d.bytes+bytes) < d.set.Short*most {
		for i, g := range c.groups {
			t := d.tiers[i]
			if float64(g.bytes+bytes) > d.set.BytesPart*most*t.times+EarnedBytes*t.served(now, g) {
				d.count.Crowded++
				return false
			}
		}
	}
	d.carry(c, bytes)
	return true
}

// carry moves what a connection holds.
func (d *Door) carry(c *conn, bytes int64) {
	d.bytes += bytes
	c.bytes += bytes
	for _, g := range c.groups {
		g.bytes += bytes
	}
}

// Answered notes a request's end, and whether it was served: only that proves anything.
func (d *Door) Answered(now time.Duration, id ID, served bool) {
	c := d.conns[id]
	if c == nil {
		return
	}
	d.carry(c, -c.bytes)
	if served {
		c.proven = true
		for i, g := range c.groups {
			d.tiers[i].earn(now, g)
		}
		if !c.known && (c.groups[0].listed || d.tiers[0].served(now, c.groups[0]) >= KnownFrom) {
			d.leaveIdle(c)
			c.known = true
			d.known++
		}
	}
	if c.proven {
		d.to(now, c, waiting)
	} else {
		d.to(now, c, unproven)
	}
}

// to brings a connection to a state, and into the lists of it.
func (d *Door) to(now time.Duration, c *conn, s state) {
	c.since = now
	if c.state == s {
		if s == waiting && c.idle == nil {
			c.idle = d.idle[c.side()].PushBack(c)
		}
		return
	}
	d.unlist(now, c)
	c.state = s
	switch s {
	case unproven:
		c.inAll = d.silent.PushBack(c)
		for i, g := range c.groups {
			c.in[i] = g.unproven.PushBack(c)
			d.tiers[i].look(now, g)
		}
	case waiting:
		c.idle = d.idle[c.side()].PushBack(c)
	}
}

func (d *Door) leaveIdle(c *conn) {
	if c.idle != nil {
		d.idle[c.side()].Remove(c.idle)
		c.idle = nil
	}
}

// unlist takes a connection off all lists from which it could be closed.
func (d *Door) unlist(now time.Duration, c *conn) {
	d.leaveIdle(c)
	if c.inAll != nil {
		d.silent.Remove(c.inAll)
		c.inAll = nil
	}
	for i, e := range c.in {
		if e != nil {
			c.groups[i].unproven.Remove(e)
			c.in[i] = nil
			d.tiers[i].look(now, c.groups[i])
		}
	}
}

// Gone notes that a connection is closed, by whomever; closed says that it was to make room. Its place is free.
func (d *Door) Gone(now time.Duration, id ID, closed bool) {
	c := d.conns[id]
	if c == nil {
		return
	}
	if closed {
		d.count.Refused[Room]++
		d.seen.refused(c.groups[0].prefix)
	}
	d.unlist(now, c)
	d.carry(c, -c.bytes)
	delete(d.conns, id)
	if c.known {
		d.known--
	}
	for i, g := range c.groups {
		d.tiers[i].leave(now, g)
	}
}

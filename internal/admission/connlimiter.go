package admission

import (
	"container/list"
	"fmt"
	"net/netip"
	"slices"
	"time"
)

// Indexes of ConnLimiter.tiers.
const (
	hostTier    = iota // single addresses: IPv4 /32 or IPv6 /64
	networkTier        // networks: IPv4 /24 or IPv6 /48
	tierCount
)

// Indexes of the lists of idle connections.
const (
	idleUnknown = iota // connections of clients that are not known
	idleKnown          // connections of known clients
	idleListCount
)

// Prefix lengths in bits: an address (host) and its network, for IPv4 and IPv6.
const (
	hostBits4    = 32
	hostBits6    = 64
	networkBits4 = 24
	networkBits6 = 48
)

const (
	// refreshInterval is the minimum time between two recomputations of the excess of all groups. Credit decays even
	// when no event recomputes it.
	refreshInterval = time.Second
	// connRatePerServedRequest is the rate of new connections, per second, that an address may open for each recently
	// served request, in addition to Settings.MaxConnRate: many legitimate clients may share an address with a flooder.
	connRatePerServedRequest = 10
)

// ConnLimiter decides which connections a process admits and evicts. It is not safe for concurrent use.
type ConnLimiter struct {
	settings    Settings
	tiers       [tierCount]*tier
	rates       *sketch // decaying counts of new connections, by prefix
	conns       map[ID]*conn
	lastID      ID
	bodyBytes   int64                          // body bytes of all requests in flight
	known       int                            // open connections counted as those of known clients
	idle        [idleListCount]list.List       // of *conn, the longest idle first
	unproven    list.List                      // of *conn, the longest unproven first
	blocks      map[netip.Prefix]time.Duration // the time at which each block ends
	refreshedAt time.Duration
	busiest     busiestAddresses
	counts      Counts
}

// Counts holds the number of events of each kind since a ConnLimiter was created.
type Counts struct {
	Arrived        int64
	Admitted       int64
	Rejected       [reasonCount]int64 // by reason; the entry of Evicted counts evictions
	BodyRejections int64              // AcquireBody calls rejected because the address may hold no more bytes
	Spared         int64              // calls of EvictionRefused: the connection to evict had unread bytes
}

// New returns a limiter without connections. The error names each invalid setting by its key.
func New(s Settings) (*ConnLimiter, error) {
	l := &ConnLimiter{
		tiers: [tierCount]*tier{
			hostTier:    newTier(hostBits4, hostBits6, 1),
			networkTier: newTier(networkBits4, networkBits6, NetworkFactor),
		},
		rates:  newSketch(s.Seed),
		conns:  map[ID]*conn{},
		blocks: map[netip.Prefix]time.Duration{},
	}
	if err := l.Reconfigure(0, s); err != nil {
		return nil, err
	}
	return l, nil
}

// Reconfigure replaces the settings, except that the seed of New stays in use. Open connections stay open; if there are
// more than the new MaxConns, no connection is admitted until enough are removed. On an error nothing changes; the
// error names each invalid setting by its key.
func (l *ConnLimiter) Reconfigure(now time.Duration, s Settings) error {
	if err := s.Validate(); err != nil {
		return fmt.Errorf("admission: %w", err)
	}
	s.KnownPrefixes = slices.Clone(s.KnownPrefixes)
	l.settings = s
	for i, t := range l.tiers {
		t.halfLife = s.HalfLife
		t.maxCredit = float64(s.MaxCredit) * t.factor
		t.maxUnconnected = s.MaxTracked
		for _, g := range t.groups {
			g.inKnownPrefixes = i == hostTier && slices.ContainsFunc(s.KnownPrefixes, g.prefix.Overlaps)
		}
		t.refresh(now)
	}
	return nil
}

// inKnownPrefixes reports whether an address is in Settings.KnownPrefixes.
func (l *ConnLimiter) inKnownPrefixes(address netip.Addr) bool {
	address = address.Unmap()
	return slices.ContainsFunc(l.settings.KnownPrefixes, func(p netip.Prefix) bool { return p.Contains(address) })
}

// Usage returns the number of open connections, and the number of those that are counted as known clients'.
func (l *ConnLimiter) Usage() (all, known int) { return len(l.conns), l.known }

// Arrive decides on a new connection from an address. If the verdict names a connection to evict, the new connection
// is not admitted yet: the caller tries to close the named connection, reports the result by Remove or
// EvictionRefused, and calls Arrive with repeated set. A repeated call does not count as another arrival, neither in
// Counts nor for the rate.
func (l *ConnLimiter) Arrive(now time.Duration, address netip.Addr, repeated bool) Verdict {
	if now-l.refreshedAt >= refreshInterval {
		l.refreshedAt = now
		for _, t := range l.tiers {
			t.refresh(now)
		}
	}
	prefixes := l.prefixes(address)
	if !repeated {
		l.counts.Arrived++
	}
	if l.Blocked(now, address) {
		return l.reject(prefixes, Blocked)
	}
	free := l.settings.MaxConns - len(l.conns)
	reserved := l.reservedFree()
	if !repeated {
		rates := l.countArrival(now, prefixes)
		scarce := float64(free-reserved) < l.settings.ScarceBelow*float64(l.settings.MaxConns)
		if scarce && !l.inKnownPrefixes(address) && l.exceedsRate(now, prefixes, rates) {
			return l.reject(prefixes, RateExceeded)
		}
	}
	known := l.isKnown(now, address)
	if free > 0 && (known || free > reserved) {
		return Verdict{Admitted: l.admit(now, address, prefixes, known)}
	}
	if victim := l.victim(now, known); victim != nil {
		return Verdict{Evict: victim.id, Reason: Evicted}
	}
	return l.reject(prefixes, NoCapacity)
}

// prefixes returns the prefixes of an address and its network, indexed by tier.
func (l *ConnLimiter) prefixes(address netip.Addr) [tierCount]netip.Prefix {
	var p [tierCount]netip.Prefix
	for i, t := range l.tiers {
		p[i] = t.prefix(address)
	}
	return p
}

// countArrival counts a new connection, and returns the updated counts of its address and network, indexed by tier.
func (l *ConnLimiter) countArrival(now time.Duration, prefixes [tierCount]netip.Prefix) [tierCount]float64 {
	var counts [tierCount]float64
	for i, p := range prefixes {
		counts[i] = l.rates.add(now, l.rates.key(p))
	}
	l.busiest.record(now, prefixes[hostTier], counts[hostTier])
	return counts
}

// reject counts a rejected connection and returns the verdict for it.
func (l *ConnLimiter) reject(prefixes [tierCount]netip.Prefix, reason Reason) Verdict {
	l.counts.Rejected[reason]++
	l.busiest.reject(prefixes[hostTier])
	return Verdict{Reason: reason}
}

// exceedsRate reports whether an address or its network opens more connections per second than permitted. The counts
// are estimates that may be too high, so their error bound is subtracted.
func (l *ConnLimiter) exceedsRate(
	now time.Duration, prefixes [tierCount]netip.Prefix, counts [tierCount]float64,
) bool {
	errorBound := l.rates.errorBound()
	for i, count := range counts {
		t := l.tiers[i]
		maxRate := l.settings.MaxConnRate * t.factor
		if g := t.groups[prefixes[i]]; g != nil {
			maxRate += connRatePerServedRequest * t.served(now, g)
		}
		if l.rates.rate(count-errorBound) > maxRate {
			return true
		}
	}
	return false
}

// isKnown reports whether a new connection from an address counts as a known client's. The address must also have more
// credit than unproven connections: otherwise an address that once earned credit could fill the reserve with a flood.
func (l *ConnLimiter) isKnown(now time.Duration, address netip.Addr) bool {
	t := l.tiers[hostTier]
	g := t.groups[t.prefix(address)]
	if g == nil {
		return l.inKnownPrefixes(address)
	}
	credit := t.credit(now, g)
	return (g.inKnownPrefixes || t.served(now, g) >= KnownThreshold) && credit > float64(g.unproven.Len())
}

// reservedFree returns the number of connections that are reserved for known clients and not yet held by them.
func (l *ConnLimiter) reservedFree() int {
	return max(0, int(l.settings.KnownReserve*float64(l.settings.MaxConns))-l.known)
}

// admit adds a new connection in the unproven state, and returns its ID.
func (l *ConnLimiter) admit(
	now time.Duration, address netip.Addr, prefixes [tierCount]netip.Prefix, known bool,
) ID {
	l.lastID++
	c := &conn{id: l.lastID, graceStartedAt: now, known: known}
	l.conns[c.id] = c
	for i, p := range prefixes {
		g := l.tiers[i].group(p)
		g.inKnownPrefixes = i == hostTier && l.inKnownPrefixes(address)
		c.groups[i] = g
		c.unprovenInGroup[i] = l.tiers[i].addConn(now, g, c)
	}
	c.unprovenInAll = l.unproven.PushBack(c)
	if known {
		l.known++
	}
	l.counts.Admitted++
	return c.id
}

// Remove removes a connection that was closed, for any reason; evicted says that it was closed because a verdict named
// it for eviction. An unknown ID is ignored.
func (l *ConnLimiter) Remove(now time.Duration, id ID, evicted bool) {
	c := l.conns[id]
	if c == nil {
		return
	}
	if evicted {
		l.counts.Rejected[Evicted]++
		l.busiest.reject(c.groups[hostTier].prefix)
	}
	l.removeFromLists(now, c)
	l.addBody(c, -c.bodyBytes)
	delete(l.conns, id)
	if c.known {
		l.known--
	}
	for i, g := range c.groups {
		l.tiers[i].removeConn(now, g)
	}
}

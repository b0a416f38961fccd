package admission

import (
	"container/list"
	"fmt"
	"net/netip"
	"slices"
	"time"
)

// Indexes of the tiers of addresses.
const (
	hostTier = iota
	networkTier
	tierCount
)

// Indexes of the lists of idle connections.
const (
	idleUnknown = iota // of clients that are not known
	idleKnown
	idleListCount
)

// Prefix lengths, in bits, of an address and of its network.
const (
	hostBits4    = 32
	hostBits6    = 64
	networkBits4 = 24
	networkBits6 = 48
)

const (
	// refreshInterval is how often the excess of all groups is recomputed, because credit decays without an event.
	refreshInterval = time.Second
	// connRatePerServedRequest is how many new connections per second an address may open for each request served of
	// late, beside Settings.MaxConnRate: many good clients may share one address with a flooder.
	connRatePerServedRequest = 10
)

// ConnLimiter decides which connections a process holds. It is not safe for concurrent use.
type ConnLimiter struct {
	settings    Settings
	tiers       [tierCount]*tier
	rates       *sketch // new connections, by prefix
	conns       map[ID]*conn
	lastID      ID
	bodyBytes   int64                          // of all requests in flight
	known       int                            // connections that are held as known clients
	idle        [idleListCount]list.List       // of *conn, ordered by when they became idle
	unproven    list.List                      // of *conn, in the order in which they became unproven
	blocks      map[netip.Prefix]time.Duration // when each block ends
	refreshedAt time.Duration
	busiest     busiestAddresses
	counts      Counts
}

// Counts are the events of a ConnLimiter since it was created.
type Counts struct {
	Arrived        int64
	Admitted       int64
	Rejected       [reasonCount]int64 // by reason; Evicted counts evictions
	BodyRejections int64              // requests whose address may hold no more bytes
	Spared         int64              // connections that were to be evicted and had bytes to be read
}

// New returns a limiter without connections. Its error names each invalid setting.
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

// Reconfigure sets other settings, but for the seed. It keeps the connections that it holds; with more than MaxConns
// it admits none until enough were removed. On an error, which names each invalid setting, nothing changes.
func (l *ConnLimiter) Reconfigure(now time.Duration, s Settings) error {
	if err := s.Validate(); err != nil {
		return fmt.Errorf("admission: %w", err)
	}
	s.KnownPrefixes = slices.Clone(s.KnownPrefixes)
	l.settings = s
	for i, t := range l.tiers {
		t.halfLife = s.HalfLife
		t.maxCredit = float64(s.MaxCredit) * t.factor
		t.maxResting = s.MaxTracked
		for _, g := range t.groups {
			g.listed = i == hostTier && slices.ContainsFunc(s.KnownPrefixes, g.prefix.Overlaps)
		}
		t.refresh(now)
	}
	return nil
}

// isListed reports whether an address is in Settings.KnownPrefixes.
func (l *ConnLimiter) isListed(address netip.Addr) bool {
	address = address.Unmap()
	return slices.ContainsFunc(l.settings.KnownPrefixes, func(p netip.Prefix) bool { return p.Contains(address) })
}

// Usage returns how many connections are held, and how many of them as known clients.
func (l *ConnLimiter) Usage() (all, known int) { return len(l.conns), l.known }

// Arrive decides on a connection from an address. If the verdict names a connection to evict, nothing is held yet: the
// caller closes that connection, reports it by Remove or EvictionRefused, and calls Arrive with again set. Such a
// further call is not counted as another arrival, neither in Counts nor for the rate.
func (l *ConnLimiter) Arrive(now time.Duration, address netip.Addr, again bool) Verdict {
	if now-l.refreshedAt >= refreshInterval {
		l.refreshedAt = now
		for _, t := range l.tiers {
			t.refresh(now)
		}
	}
	prefixes := l.prefixes(address)
	if !again {
		l.counts.Arrived++
	}
	if l.Blocked(now, address) {
		return l.reject(prefixes, Blocked)
	}
	free := l.settings.MaxConns - len(l.conns)
	reserved := l.reservedFree()
	if !again {
		rates := l.countArrival(now, prefixes)
		scarce := float64(free-reserved) < l.settings.ScarceBelow*float64(l.settings.MaxConns)
		if scarce && !l.isListed(address) && l.exceedsRate(now, prefixes, rates) {
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

// prefixes returns an address and its network, by tier.
func (l *ConnLimiter) prefixes(address netip.Addr) [tierCount]netip.Prefix {
	var p [tierCount]netip.Prefix
	for i, t := range l.tiers {
		p[i] = t.prefix(address)
	}
	return p
}

// countArrival counts a new connection, and returns the counts of its address and network with it.
func (l *ConnLimiter) countArrival(now time.Duration, prefixes [tierCount]netip.Prefix) [tierCount]float64 {
	var counts [tierCount]float64
	for i, p := range prefixes {
		counts[i] = l.rates.add(now, l.rates.key(p))
	}
	l.busiest.record(now, prefixes[hostTier], counts[hostTier])
	return counts
}

// reject counts a rejection.
func (l *ConnLimiter) reject(prefixes [tierCount]netip.Prefix, why Reason) Verdict {
	l.counts.Rejected[why]++
	l.busiest.reject(prefixes[hostTier])
	return Verdict{Reason: why}
}

// exceedsRate reports whether an address or its network opens more connections per second than it may. The error
// bound of the estimate is in the client's favor.
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

// isKnown reports whether one more connection from an address counts as a known client's: the address must have more
// credit than unproven connections. Otherwise an address that was good once could flood the reserve.
func (l *ConnLimiter) isKnown(now time.Duration, address netip.Addr) bool {
	t := l.tiers[hostTier]
	g := t.groups[t.prefix(address)]
	if g == nil {
		return l.isListed(address)
	}
	credit := t.credit(now, g)
	return (g.listed || t.served(now, g) >= KnownThreshold) && credit > float64(g.unproven.Len())
}

// reservedFree returns how many of the free connections are reserved for known clients.
func (l *ConnLimiter) reservedFree() int {
	return max(0, int(l.settings.KnownReserve*float64(l.settings.MaxConns))-l.known)
}

// admit holds a new connection, as unproven.
func (l *ConnLimiter) admit(
	now time.Duration, address netip.Addr, prefixes [tierCount]netip.Prefix, known bool,
) ID {
	l.lastID++
	c := &conn{id: l.lastID, since: now, known: known}
	l.conns[c.id] = c
	for i, p := range prefixes {
		g := l.tiers[i].group(p)
		g.listed = i == hostTier && l.isListed(address)
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

// Remove ends a connection that is closed, for whatever reason; evicted says that it made room for another.
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

package admission

import "time"

const (
	// graceExcess is how many unproven connections beyond its credit deny an address the grace period. Otherwise a
	// flood so fast that all of its connections are within the grace period would hold all connections.
	graceExcess = 8
	// unprovenDivisor sets the part of all connections, one in so many, that unproven connections have before they
	// evict each other; below it they evict idle connections of unknown clients.
	unprovenDivisor = 8
)

// victim returns the connection to evict for one that arrives, or nil. In this order it is:
//
//  1. an unproven connection of the group with the most of them beyond its credit, or the oldest of all while that
//     group's are within the grace period,
//  2. the unknown client's connection that is idle for longest,
//  3. only for a known client: an unproven connection that is past the grace period, then the known client's
//     connection that is idle for longest.
func (l *ConnLimiter) victim(now time.Duration, known bool) *conn {
	if worst := l.worstGroup(); worst != nil {
		oldest := worst.oldestUnproven()
		if l.pastGrace(now, oldest) || worst.excess > graceExcess {
			return oldest
		}
		// Otherwise idle connections could hold nearly everything while new ones evict each other before they can
		// be served.
		first := l.unproven.Front().Value.(*conn)
		unprovenHaveShare := l.unproven.Len() >= l.settings.MaxConns/unprovenDivisor
		if l.pastGrace(now, first) || unprovenHaveShare || l.idle[idleUnknown].Len() == 0 {
			return first
		}
	}
	if e := l.idle[idleUnknown].Front(); e != nil {
		return e.Value.(*conn)
	}
	if !known {
		return nil
	}
	if g := l.tiers[hostTier].worst(); g != nil {
		if oldest := g.oldestUnproven(); l.pastGrace(now, oldest) {
			return oldest
		}
	}
	if e := l.idle[idleKnown].Front(); e != nil {
		return e.Value.(*conn)
	}
	return nil
}

// worstGroup returns the address or network with the most unproven connections beyond its credit; nil if none has any.
func (l *ConnLimiter) worstGroup() *group {
	var worst *group
	for _, t := range l.tiers {
		if g := t.worst(); g != nil && g.excess > 0 && (worst == nil || g.excess > worst.excess) {
			worst = g
		}
	}
	return worst
}

// pastGrace reports whether an unproven connection may be evicted while another is older.
func (l *ConnLimiter) pastGrace(now time.Duration, c *conn) bool {
	return now-c.since >= l.settings.GracePeriod
}

// EvictionRefused records that the connection of a verdict's Evict was not closed, because it has bytes to be read. It
// becomes the last candidate of its lists.
func (l *ConnLimiter) EvictionRefused(now time.Duration, id ID) {
	c := l.conns[id]
	if c == nil {
		return
	}
	l.counts.Spared++
	c.since = now
	for i, e := range c.unprovenInGroup {
		if e != nil {
			c.groups[i].unproven.MoveToBack(e)
			l.tiers[i].update(now, c.groups[i])
		}
	}
	if c.unprovenInAll != nil {
		l.unproven.MoveToBack(c.unprovenInAll)
	}
	if c.idleElement != nil {
		l.idle[c.idleList()].MoveToBack(c.idleElement)
	}
}

package admission

import "time"

const (
	// graceExcess is the value of group.excess above which the unproven connections of an address or network lose the
	// grace period. Otherwise a flood so fast that all of its connections are within the grace period would hold all
	// connections.
	graceExcess = 8
	// unprovenDivisor defines the share of unproven connections: MaxConns/unprovenDivisor. While there are fewer, all
	// within their grace period, a new connection evicts an idle connection of an unknown client instead of an unproven
	// one.
	unprovenDivisor = 8
)

// victim returns the connection to evict for a new connection, or nil if none may be evicted; known says whether the
// new connection is a known client's. The victim is the first of:
//
//  1. the oldest unproven connection of the group with the most unproven connections beyond its credit; while the
//     connections of that group are within the grace period, the oldest unproven connection of all,
//  2. the connection of an unknown client that has been idle for longest,
//  3. only for a known client: an unproven connection past its grace period, then the connection of a known client that
//     has been idle for longest.
func (l *ConnLimiter) victim(now time.Duration, known bool) *conn {
	if g := l.maxExcessGroup(); g != nil {
		oldest := g.oldestUnproven()
		if l.pastGrace(now, oldest) || g.excess > graceExcess {
			return oldest
		}
		// While unproven connections hold less than their share, an idle connection is evicted instead. Otherwise idle
		// connections could occupy nearly all capacity while new ones evict each other before they can be served.
		oldestOfAll := l.unproven.Front().Value.(*conn)
		unprovenShareReached := l.unproven.Len() >= l.settings.MaxConns/unprovenDivisor
		if l.pastGrace(now, oldestOfAll) || unprovenShareReached || l.idle[idleUnknown].Len() == 0 {
			return oldestOfAll
		}
	}
	if e := l.idle[idleUnknown].Front(); e != nil {
		return e.Value.(*conn)
	}
	if !known {
		return nil
	}
	if g := l.tiers[hostTier].maxExcessGroup(); g != nil {
		if oldest := g.oldestUnproven(); l.pastGrace(now, oldest) {
			return oldest
		}
	}
	if e := l.idle[idleKnown].Front(); e != nil {
		return e.Value.(*conn)
	}
	return nil
}

// maxExcessGroup returns the address or network with the greatest excess above 0, or nil if there is none.
func (l *ConnLimiter) maxExcessGroup() *group {
	var greatest *group
	for _, t := range l.tiers {
		if g := t.maxExcessGroup(); g != nil && g.excess > 0 && (greatest == nil || g.excess > greatest.excess) {
			greatest = g
		}
	}
	return greatest
}

// pastGrace reports whether the grace period of an unproven connection has ended.
func (l *ConnLimiter) pastGrace(now time.Duration, c *conn) bool {
	return now-c.graceStartedAt >= l.settings.GracePeriod
}

// EvictionRefused records that the connection named by Verdict.Evict was not closed because it has unread bytes. It
// moves to the end of its eviction lists.
func (l *ConnLimiter) EvictionRefused(now time.Duration, id ID) {
	c := l.conns[id]
	if c == nil {
		return
	}
	l.counts.Spared++
	c.graceStartedAt = now
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

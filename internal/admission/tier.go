package admission

import (
	"container/heap"
	"container/list"
	"math"
	"net/netip"
	"time"
)

// minRememberedCredit is how many served requests, after decay, keep a group without connections remembered.
const minRememberedCredit = 0.5

// group is an address, or a network, that has connections or credit.
type group struct {
	prefix    netip.Prefix
	listed    bool      // in Settings.KnownPrefixes
	unproven  list.List // of *conn, in the order in which they became unproven
	open      int       // connections
	bodyBytes int64     // of requests in flight

	servedRequests float64 // after decay, as of servedAt
	servedAt       time.Duration

	// heapIndex is its place in tier.byExcess; -1 without unproven connections.
	heapIndex int
	// excess is how many unproven connections it has beyond its credit, divided by tier.factor, as of the last update.
	excess float64
	// restingElement is its place in tier.resting; nil while it has connections.
	restingElement *list.Element
}

// oldestUnproven returns the first connection of g.unproven, the next to evict; there must be one.
func (g *group) oldestUnproven() *conn { return g.unproven.Front().Value.(*conn) }

// tier holds the groups of one length of prefix.
type tier struct {
	bits4      int     // length of prefixes of IPv4
	bits6      int     // length of prefixes of IPv6
	factor     float64 // how many times as much as an address a group may do
	halfLife   time.Duration
	maxCredit  float64
	maxResting int
	groups     map[netip.Prefix]*group
	byExcess   excessHeap // the groups with unproven connections
	resting    list.List  // of *group without connections that have credit; the longest unused in front
}

// newTier returns a tier without groups. ConnLimiter.Reconfigure sets the rest.
func newTier(bits4, bits6 int, factor float64) *tier {
	return &tier{bits4: bits4, bits6: bits6, factor: factor, groups: map[netip.Prefix]*group{}}
}

// prefix returns an address's prefix. All invalid addresses have the same.
func (t *tier) prefix(address netip.Addr) netip.Prefix {
	address = address.Unmap().WithZone("")
	bits := t.bits4
	if address.Is6() {
		bits = t.bits6
	}
	p, err := address.Prefix(bits)
	if err != nil {
		return netip.Prefix{}
	}
	return p
}

// group returns the group of a prefix, a new one if there is none.
func (t *tier) group(p netip.Prefix) *group {
	g := t.groups[p]
	if g == nil {
		g = &group{prefix: p, heapIndex: -1}
		t.groups[p] = g
	}
	return g
}

// served returns how many requests of a group were served, after decay.
func (t *tier) served(now time.Duration, g *group) float64 {
	if elapsed := now - g.servedAt; elapsed > 0 {
		g.servedRequests *= math.Exp2(-float64(elapsed) / float64(t.halfLife))
		g.servedAt = now
	}
	return g.servedRequests
}

// credit returns how many unproven connections a group may have before they are in excess.
func (t *tier) credit(now time.Duration, g *group) float64 {
	served := t.served(now, g)
	if g.listed {
		return t.maxCredit
	}
	return min(served, t.maxCredit)
}

// excess returns how many unproven connections a group has beyond its credit, divided by the tier's factor.
func (t *tier) excess(now time.Duration, g *group) float64 {
	return (float64(g.unproven.Len()) - t.credit(now, g)) / t.factor
}

// update recomputes a group's excess and its place in the heap.
func (t *tier) update(now time.Duration, g *group) {
	if g.unproven.Len() == 0 {
		if g.heapIndex >= 0 {
			heap.Remove(&t.byExcess, g.heapIndex)
		}
		return
	}
	g.excess = t.excess(now, g)
	if g.heapIndex < 0 {
		heap.Push(&t.byExcess, g)
	} else {
		heap.Fix(&t.byExcess, g.heapIndex)
	}
}

// refresh recomputes the excess of all groups.
func (t *tier) refresh(now time.Duration) {
	for _, g := range t.byExcess {
		g.excess = t.excess(now, g)
	}
	heap.Init(&t.byExcess)
}

// addConn adds a connection to a group, as unproven.
func (t *tier) addConn(now time.Duration, g *group, c *conn) *list.Element {
	if g.restingElement != nil {
		t.resting.Remove(g.restingElement)
		g.restingElement = nil
	}
	g.open++
	e := g.unproven.PushBack(c)
	t.update(now, g)
	return e
}

// removeConn removes a connection from a group; removeFromLists must have run for it. A group without connections is
// forgotten, or is kept in resting while it has credit.
func (t *tier) removeConn(now time.Duration, g *group) {
	g.open--
	t.update(now, g)
	if g.open > 0 {
		return
	}
	if t.served(now, g) < minRememberedCredit {
		delete(t.groups, g.prefix)
		return
	}
	g.restingElement = t.resting.PushBack(g)
	for t.resting.Len() > t.maxResting {
		oldest := t.resting.Remove(t.resting.Front()).(*group)
		delete(t.groups, oldest.prefix)
	}
}

// addServed counts a request that was served.
func (t *tier) addServed(now time.Duration, g *group) {
	g.servedRequests = t.served(now, g) + 1
	t.update(now, g)
}

// worst returns the group with the greatest excess; nil if there are no unproven connections.
func (t *tier) worst() *group {
	if len(t.byExcess) == 0 {
		return nil
	}
	return t.byExcess[0]
}

// excessHeap is a heap.Interface with the greatest excess in front; among equals, the group whose first unproven
// connection is the oldest.
type excessHeap []*group

// Len implements heap.Interface.
func (h excessHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h excessHeap) Less(i, j int) bool {
	if h[i].excess != h[j].excess {
		return h[i].excess > h[j].excess
	}
	return h[i].oldestUnprovenSince() < h[j].oldestUnprovenSince()
}

// oldestUnprovenSince returns the time conn.since of the first connection of g.unproven; without one, a time after all
// others.
func (g *group) oldestUnprovenSince() time.Duration {
	if e := g.unproven.Front(); e != nil {
		return e.Value.(*conn).since
	}
	return math.MaxInt64
}

// Swap implements heap.Interface.
func (h excessHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

// Push implements heap.Interface.
func (h *excessHeap) Push(x any) {
	g := x.(*group)
	g.heapIndex = len(*h)
	*h = append(*h, g)
}

// Pop implements heap.Interface.
func (h *excessHeap) Pop() any {
	last := len(*h) - 1
	g := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	g.heapIndex = -1
	return g
}

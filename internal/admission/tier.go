package admission

import (
	"container/heap"
	"container/list"
	"math"
	"net/netip"
	"time"
)

// minRememberedCredit is the minimum number of served requests, after decay, for which a group without connections is
// kept.
const minRememberedCredit = 0.5

// group holds the counts of an address or network that has open connections or credit.
type group struct {
	prefix          netip.Prefix
	inKnownPrefixes bool      // whether the group is an address in Settings.KnownPrefixes
	unproven        list.List // of *conn, in the order in which they are evicted
	open            int       // open connections
	bodyBytes       int64     // body bytes of requests in flight

	servedRequests float64       // number of served requests, decayed until servedAt
	servedAt       time.Duration // when servedRequests was last updated

	// heapIndex is the index of the group in tier.byExcess; -1 without unproven connections.
	heapIndex int
	// excess is the number of unproven connections beyond the credit, divided by tier.factor, as of the last update.
	excess float64
	// unconnectedElement is the element of the group in tier.unconnected; nil while it has connections.
	unconnectedElement *list.Element
}

// oldestUnproven returns the first connection of g.unproven, which is evicted first. The list must not be empty.
func (g *group) oldestUnproven() *conn { return g.unproven.Front().Value.(*conn) }

// tier holds the groups of one prefix length: all addresses, or all networks.
type tier struct {
	bits4          int     // prefix length of IPv4
	bits6          int     // prefix length of IPv6
	factor         float64 // ratio of the limits of a group to those of one address
	halfLife       time.Duration
	maxCredit      float64 // of one group, in unproven connections
	maxUnconnected int     // maximum length of unconnected
	groups         map[netip.Prefix]*group
	byExcess       excessHeap // the groups with unproven connections
	// unconnected has the groups (*group) with credit but no connections; first the one whose last connection closed
	// earliest.
	unconnected list.List
}

// newTier returns a tier without groups. ConnLimiter.Reconfigure sets the half-life and the maximums.
func newTier(bits4, bits6 int, factor float64) *tier {
	return &tier{bits4: bits4, bits6: bits6, factor: factor, groups: map[netip.Prefix]*group{}}
}

// prefix returns the prefix of an address in this tier. All invalid addresses have the same prefix.
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

// group returns the group of a prefix, and creates it if it does not exist.
func (t *tier) group(p netip.Prefix) *group {
	g := t.groups[p]
	if g == nil {
		g = &group{prefix: p, heapIndex: -1}
		t.groups[p] = g
	}
	return g
}

// served returns the number of served requests of a group, decayed until now.
func (t *tier) served(now time.Duration, g *group) float64 {
	if elapsed := now - g.servedAt; elapsed > 0 {
		g.servedRequests *= math.Exp2(-float64(elapsed) / float64(t.halfLife))
		g.servedAt = now
	}
	return g.servedRequests
}

// credit returns the number of unproven connections that a group may have without excess.
func (t *tier) credit(now time.Duration, g *group) float64 {
	served := t.served(now, g)
	if g.inKnownPrefixes {
		return t.maxCredit
	}
	return min(served, t.maxCredit)
}

// excess returns the number of unproven connections beyond a group's credit, divided by the tier's factor.
func (t *tier) excess(now time.Duration, g *group) float64 {
	return (float64(g.unproven.Len()) - t.credit(now, g)) / t.factor
}

// update recomputes a group's excess and its position in the heap.
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

// addConn adds an unproven connection to a group, and returns its element in group.unproven.
func (t *tier) addConn(now time.Duration, g *group, c *conn) *list.Element {
	if g.unconnectedElement != nil {
		t.unconnected.Remove(g.unconnectedElement)
		g.unconnectedElement = nil
	}
	g.open++
	e := g.unproven.PushBack(c)
	t.update(now, g)
	return e
}

// removeConn removes a connection from a group; ConnLimiter.removeFromLists must have been called for it. A group whose
// last connection is removed is deleted, or moved to t.unconnected if it has credit.
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
	g.unconnectedElement = t.unconnected.PushBack(g)
	for t.unconnected.Len() > t.maxUnconnected {
		oldest := t.unconnected.Remove(t.unconnected.Front()).(*group)
		delete(t.groups, oldest.prefix)
	}
}

// addServed counts a served request of a group.
func (t *tier) addServed(now time.Duration, g *group) {
	g.servedRequests = t.served(now, g) + 1
	t.update(now, g)
}

// maxExcessGroup returns the group with the greatest excess, or nil if there are no unproven connections.
func (t *tier) maxExcessGroup() *group {
	if len(t.byExcess) == 0 {
		return nil
	}
	return t.byExcess[0]
}

// excessHeap implements heap.Interface. The group with the greatest excess is first; among groups of equal excess, the
// group whose first unproven connection started its grace period earliest.
type excessHeap []*group

// Len implements heap.Interface.
func (h excessHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h excessHeap) Less(i, j int) bool {
	if h[i].excess != h[j].excess {
		return h[i].excess > h[j].excess
	}
	return h[i].oldestGraceStart() < h[j].oldestGraceStart()
}

// oldestGraceStart returns conn.graceStartedAt of the first connection of g.unproven, or the maximum duration if g has
// no unproven connection.
func (g *group) oldestGraceStart() time.Duration {
	if e := g.unproven.Front(); e != nil {
		return e.Value.(*conn).graceStartedAt
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

package admission

import (
	"container/heap"
	"container/list"
	"math"
	"net/netip"
	"time"
)

// group is an address, or a net, that holds connections or has earned something.
type group struct {
	prefix   netip.Prefix
	listed   bool
	unproven list.List // of *conn, the one that came first in front
	open     int
	bytes    int64   // of bodies in hand
	served   float64 // requests served, fading, as of at
	servedAt time.Duration

	heapIndex      int     // in the heap of those with unproven connections, -1 outside
	excess         float64 // what the heap goes by: unproven beyond what was earned, as of the last look
	restingElement *list.Element
}

// tier holds the groups of one width of prefix.
type tier struct {
	bits4, bits6 int
	factor       float64 // how many times as much as an address a group may do
	halfLife     time.Duration
	maxCredit    float64 // earned at most
	maxResting   int
	groups       map[netip.Prefix]*group
	byExcess     excessHeap
	resting      list.List // of *group: that hold nothing and have earned something; the longest unused in front
}

func newTier(bits4, bits6 int, times float64) *tier {
	return &tier{bits4: bits4, bits6: bits6, factor: times, groups: map[netip.Prefix]*group{}}
}

func (t *tier) prefix(a netip.Addr) netip.Prefix {
	a = a.Unmap().WithZone("")
	bits := t.bits4
	if a.Is6() {
		bits = t.bits6
	}
	p, err := a.Prefix(bits)
	if err != nil { // an address that is none: all such are one
		return netip.Prefix{}
	}
	return p
}

// group gives an address's group, new if need be.
func (t *tier) group(p netip.Prefix) *group {
	g := t.groups[p]
	if g == nil {
		g = &group{prefix: p, heapIndex: -1}
		t.groups[p] = g
	}
	return g
}

// served is how many requests of a group were served of late.
func (t *tier) served(now time.Duration, g *group) float64 {
	if span := now - g.servedAt; span > 0 {
		g.served *= math.Exp2(-float64(span) / float64(t.halfLife))
		g.servedAt = now
	}
	return g.served
}

// credit is how many connections that have shown nothing a group has earned by that.
func (t *tier) credit(now time.Duration, g *group) float64 {
	earned := t.served(now, g)
	if g.listed {
		return t.maxCredit
	}
	return min(earned, t.maxCredit)
}

// update brings a group's place in the heap up to date.
func (t *tier) update(now time.Duration, g *group) {
	n := g.unproven.Len()
	if n == 0 {
		if g.heapIndex >= 0 {
			heap.Remove(&t.byExcess, g.heapIndex)
		}
		return
	}
	g.excess = (float64(n) - t.credit(now, g)) / t.factor
	if g.heapIndex < 0 {
		heap.Push(&t.byExcess, g)
	} else {
		heap.Fix(&t.byExcess, g.heapIndex)
	}
}

// refresh looks at all: earnings fade without an event.
func (t *tier) refresh(now time.Duration) {
	for _, g := range t.byExcess {
		g.excess = (float64(g.unproven.Len()) - t.credit(now, g)) / t.factor
	}
	heap.Init(&t.byExcess)
}

// addConn enters a connection, as unproven.
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

// removeConn takes a connection off. A group that holds none is forgotten, or rests while it has earned something.
func (t *tier) removeConn(now time.Duration, g *group) {
	g.open--
	t.update(now, g)
	if g.open > 0 {
		return
	}
	if t.served(now, g) < 0.5 {
		delete(t.groups, g.prefix)
		return
	}
	g.restingElement = t.resting.PushBack(g)
	for t.resting.Len() > t.maxResting {
		old := t.resting.Remove(t.resting.Front()).(*group)
		delete(t.groups, old.prefix)
	}
}

// addServed counts a request that was served.
func (t *tier) addServed(now time.Duration, g *group) {
	g.served = t.served(now, g) + 1
	t.update(now, g)
}

// worst is the group with the most unproven connections beyond what it has earned, or nil.
func (t *tier) worst() *group {
	if len(t.byExcess) == 0 {
		return nil
	}
	return t.byExcess[0]
}

// excessHeap has the group that is over by most in front; of equals the one whose first connection came first.
type excessHeap []*group

func (h excessHeap) Len() int { return len(h) }
func (h excessHeap) Less(i, j int) bool {
	if h[i].excess != h[j].excess {
		return h[i].excess > h[j].excess
	}
	return firstArrival(h[i]) < firstArrival(h[j])
}

func firstArrival(g *group) time.Duration {
	if e := g.unproven.Front(); e != nil {
		return e.Value.(*conn).since
	}
	return math.MaxInt64
}

func (h excessHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

func (h *excessHeap) Push(x any) {
	g := x.(*group)
	g.heapIndex = len(*h)
	*h = append(*h, g)
}

func (h *excessHeap) Pop() any {
	old := *h
	g := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	g.heapIndex = -1
	return g
}

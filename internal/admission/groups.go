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
	earned   float64 // requests served, fading, as of at
	at       time.Duration

	place int     // in the heap of those with unproven connections, -1 outside
	over  float64 // what the heap goes by: unproven beyond what was earned, as of the last look
	kept  *list.Element
}

// tier holds the groups of one width of prefix.
type tier struct {
	bits4, bits6 int
	times        float64 // how many times as much as an address a group may do
	half         time.Duration
	most         float64 // earned at most
	tracked      int
	groups       map[netip.Prefix]*group
	byOver       overHeap
	resting      list.List // of *group: that hold nothing and have earned something; the longest unused in front
}

func newTier(bits4, bits6 int, times float64) *tier {
	return &tier{bits4: bits4, bits6: bits6, times: times, groups: map[netip.Prefix]*group{}}
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
		g = &group{prefix: p, place: -1}
		t.groups[p] = g
	}
	return g
}

// served is how many requests of a group were served of late.
func (t *tier) served(now time.Duration, g *group) float64 {
	if span := now - g.at; span > 0 {
		g.earned *= math.Exp2(-float64(span) / float64(t.half))
		g.at = now
	}
	return g.earned
}

// has is how many connections that have shown nothing a group has earned by that.
func (t *tier) has(now time.Duration, g *group) float64 {
	earned := t.served(now, g)
	if g.listed {
		return t.most
	}
	return min(earned, t.most)
}

// look brings a group's place in the heap up to date.
func (t *tier) look(now time.Duration, g *group) {
	n := g.unproven.Len()
	if n == 0 {
		if g.place >= 0 {
			heap.Remove(&t.byOver, g.place)
		}
		return
	}
	g.over = (float64(n) - t.has(now, g)) / t.times
	if g.place < 0 {
		heap.Push(&t.byOver, g)
	} else {
		heap.Fix(&t.byOver, g.place)
	}
}

// refresh looks at all: earnings fade without an event.
func (t *tier) refresh(now time.Duration) {
	for _, g := range t.byOver {
		g.over = (float64(g.unproven.Len()) - t.has(now, g)) / t.times
	}
	heap.Init(&t.byOver)
}

// join enters a connection, as unproven.
func (t *tier) join(now time.Duration, g *group, c *conn) *list.Element {
	if g.kept != nil {
		t.resting.Remove(g.kept)
		g.kept = nil
	}
	g.open++
	e := g.unproven.PushBack(c)
	t.look(now, g)
	return e
}

// leave takes a connection off. A group that holds none is forgotten, or rests while it has earned something.
func (t *tier) leave(now time.Duration, g *group) {
	g.open--
	t.look(now, g)
	if g.open > 0 {
		return
	}
	if t.served(now, g) < 0.5 {
		delete(t.groups, g.prefix)
		return
	}
	g.kept = t.resting.PushBack(g)
	for t.resting.Len() > t.tracked {
		old := t.resting.Remove(t.resting.Front()).(*group)
		delete(t.groups, old.prefix)
	}
}

// earn counts a request that was served.
func (t *tier) earn(now time.Duration, g *group) {
	g.earned = t.served(now, g) + 1
	t.look(now, g)
}

// top is the group with the most unproven connections beyond what it has earned, or nil.
func (t *tier) top() *group {
	if len(t.byOver) == 0 {
		return nil
	}
	return t.byOver[0]
}

// overHeap has the group that is over by most in front; of equals the one whose first connection came first.
type overHeap []*group

func (h overHeap) Len() int { return len(h) }
func (h overHeap) Less(i, j int) bool {
	if h[i].over != h[j].over {
		return h[i].over > h[j].over
	}
	return first(h[i]) < first(h[j])
}

func first(g *group) time.Duration {
	if e := g.unproven.Front(); e != nil {
		return e.Value.(*conn).since
	}
	return math.MaxInt64
}

func (h overHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].place, h[j].place = i, j
}

func (h *overHeap) Push(x any) {
	g := x.(*group)
	g.place = len(*h)
	*h = append(*h, g)
}

func (h *overHeap) Pop() any {
	old := *h
	g := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	g.place = -1
	return g
}

package model

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// Listing is what the register says of a node.
type Listing uint8

// The listings.
const (
	Left Listing = iota // no process there
	Active
	Leaving // it drains
)

// What a watch that fell silent misses counts as told so long after it did, or after the wait that its call asked for is over,
// if that is later; arrived or not.
const (
	SilenceTold = 6 * time.Second
	WaitTold    = 2 * time.Second
)

// Missed tells when what a watch misses counts as told, if it fell silent at a time and its call's wait would have been over at
// another.
func Missed(silent, waitOver time.Duration) time.Duration {
	return max(silent+SilenceTold, waitOver+WaitTold)
}

// News is one change on its way to one proxy.
type News struct {
	At      time.Duration
	Proxy   int
	Node    int
	Listing Listing
	Started time.Duration // of the node; 0 is long ago
	seq     int
}

// Registry knows which processes run, late, and tells each proxy later still. News of one node keeps its order;
// news of different nodes may overtake each other.
type Registry struct {
	spec    *Register
	proxies int
	rng     *rand.Rand
	pending newsHeap
	held    []News // while it is stale
	stale   bool
	seq     int
	void    map[int]int              // by node: news up to this number that is overtaken and never told
	last    map[[2]int]time.Duration // by proxy and node: the newest that is on its way
}

// NewRegistry makes the register of a world.
func NewRegistry(s *Spec) *Registry {
	return &Registry{spec: &s.Register, proxies: s.Proxies, rng: s.Stream(3), void: map[int]int{}, last: map[[2]int]time.Duration{}}
}

// Change takes what has become of a node. Silent says that its machine can tell nobody.
func (r *Registry) Change(now time.Duration, node int, l Listing, started time.Duration, silent bool) {
	wait := r.spec.Start
	if l == Left {
		wait = r.spec.Death
	}
	if silent {
		wait = r.spec.Silent
	}
	// A register that looks now and then never sees a death that a start has followed at once.
	if l == Active {
		r.void[node] = r.seq
		for p := range r.proxies {
			r.last[[2]int{p, node}] = 0
		}
	}
	at := now + wait.DrawMs(r.rng)
	for p := range r.proxies {
		key := [2]int{p, node}
		due := max(at+Ms(r.spec.Spread.Draw(r.rng)-r.spec.Spread.Lo), r.last[key]+1)
		r.last[key] = due
		r.seq++
		heap.Push(&r.pending, News{due, p, node, l, started, r.seq})
	}
}

// Step tells the register what a step of the time line has done to a node that last started at a time.
func (r *Registry) Step(now time.Duration, s Step, started time.Duration) {
	switch s.Op {
	case OpDrain:
		r.Change(now, s.Node, Leaving, 0, false)
	case OpKill:
		r.Change(now, s.Node, Left, 0, false)
	case OpStart, OpUncut:
		r.Change(now, s.Node, Active, started, false)
	case OpCut:
		r.Change(now, s.Node, Left, 0, true)
	}
}

// Stale has the register say nothing, or speak again and tell what it has kept back.
func (r *Registry) Stale(now time.Duration, stale bool) {
	r.stale = stale
	if stale {
		return
	}
	for _, n := range r.held {
		n.At = now
		heap.Push(&r.pending, n)
	}
	r.held = nil
}

// Next is when the next news is due.
func (r *Registry) Next() time.Duration {
	if len(r.pending) == 0 {
		return Never
	}
	return r.pending[0].At
}

// Due takes the news that is due by now, in order.
func (r *Registry) Due(now time.Duration) []News {
	var out []News
	for len(r.pending) > 0 && r.pending[0].At <= now {
		n := heap.Pop(&r.pending).(News)
		if n.seq <= r.void[n.Node] {
			continue
		}
		if r.stale {
			r.held = append(r.held, n)
			continue
		}
		out = append(out, n)
	}
	return out
}

type newsHeap []News

func (h newsHeap) Len() int { return len(h) }
func (h newsHeap) Less(i, j int) bool {
	if h[i].At != h[j].At {
		return h[i].At < h[j].At
	}
	return h[i].seq < h[j].seq
}
func (h newsHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *newsHeap) Push(x any)   { *h = append(*h, x.(News)) }
func (h *newsHeap) Pop() any {
	old := *h
	n := old[len(old)-1]
	*h = old[:len(old)-1]
	return n
}

func (l Listing) String() string { return [...]string{"left", "active", "leaving"}[l] }

package modelcheck

import (
	"fmt"
	"slices"
	"time"

	"github.com/zeebo/xxh3"
)

// Bounds say which small world is explored. All that can happen within them is.
type Bounds struct {
	Asks      int           // of each proxy
	Ticks     int           // of time
	Tick      time.Duration // how long one is
	Elections int
	Restarts  int // of stewards: with their store, with its first half, or with none
	Most      int // states at which it stops; 0 is no bound
}

// Result is what an exploration came to.
type Result struct {
	States   int
	Steps    int // transitions that were tried
	Depth    int
	Complete bool     // every state within the bounds was seen
	Found    string   // what broke, "" if nothing did
	Trace    []string // the shortest way to it
}

// node is a state, with what is used up of the bounds.
type node struct {
	*World
	asks                       []int
	ticks, elections, restarts int
	parent                     int
	by                         string
	depth                      int
}

// Explore explores a world breadth first. Messages stay on the network for good: each may come at any time, any number of
// times, in any order, or never. Clocks are as bad as they may be: stewards' fast, proxies' slow.
func Explore(s Settings, b Bounds) Result {
	first := &node{World: newWorld(s, func(i int) float64 {
		if i < s.Stewards {
			return 1
		}
		return -1
	}), asks: make([]int, s.Holders), parent: -1}
	first.demand = s.Whole
	var buf []byte
	seen := map[xxh3.Uint128]bool{}
	all := []*node{first} // those not visited yet keep their world
	type step struct {
		parent int
		by     string
	}
	steps := []step{{-1, ""}}
	r := Result{Complete: true}
	_, key := first.mark(buf)
	seen[key] = true
	for at := 0; at < len(all) && r.Found == ""; at++ {
		n := all[at]
		r.Depth = n.depth
		n.each(b, func(by string, next *node) bool {
			r.Steps++
			var key xxh3.Uint128
			found := next.check() // before the key: a look ends what is over
			if buf, key = next.mark(buf); seen[key] {
				return true
			}
			if b.Most > 0 && len(seen) >= b.Most {
				r.Complete = false
				return true
			}
			seen[key] = true
			next.depth = n.depth + 1
			all = append(all, next)
			steps = append(steps, step{at, by})
			if found != "" {
				r.Found = found
				for i := len(steps) - 1; i > 0; i = steps[i].parent {
					r.Trace = append(r.Trace, steps[i].by)
				}
				slices.Reverse(r.Trace)
			}
			return found == ""
		})
		all[at] = nil
	}
	r.States = len(seen)
	return r
}

// mark is the key of a state with what is left of its bounds.
func (n *node) mark(buf []byte) ([]byte, xxh3.Uint128) {
	buf, _ = n.key(buf)
	for _, a := range n.asks {
		buf = append(buf, byte(a))
	}
	buf = append(buf, byte(n.ticks), byte(n.elections), byte(n.restarts))
	return buf, xxh3.Hash128(buf)
}

// each gives every state that can be next, until the caller has enough.
func (n *node) each(b Bounds, to func(by string, next *node) bool) {
	more := true
	try := func(do func(*node) bool, format string, args ...any) {
		if !more {
			return
		}
		next := *n
		next.World = n.World.clone()
		next.asks = slices.Clone(n.asks)
		if do(&next) {
			// Whatever can be told is on the network at once: as it may come late or never, nothing is lost by that.
			for _, s := range next.stewards {
				for _, p := range next.procs {
					if r := s.heard[p.Key]; r != nil {
						next.tell(s, r)
					}
				}
			}
			more = to(fmt.Sprintf(format, args...), &next)
		}
	}
	for i := range n.procs {
		if n.asks[i] < b.Asks {
			try(func(c *node) bool { c.asks[i]++; c.ask(i); return true }, "%s asks", name(i))
		}
	}
	for i, s := range n.stewards {
		if !s.up {
			continue
		}
		if s.leader {
			for j, r := range n.requests {
				if had := s.heard[r.Key]; had == nil || had.Seq < r.Seq {
					try(func(c *node) bool { return c.hear(c.stewards[i], c.requests[j]) }, "%d hears ask %d of %s", i, r.Seq, name(r.from))
				}
			}
			if len(s.log)-s.commit < 2 && s.keeper.Pending(s.at(n.now)) { // what is not committed is proposed again and again
				try(func(c *node) bool { return c.propose(c.stewards[i]) }, "%d proposes", i)
			}
			for f := range n.stewards {
				if s.match[f] == len(s.log) && n.stewards[f].commit == s.commit && n.stewards[f].sure == len(s.log) {
					continue // no news
				}
				if f > 1 && b.Elections == 0 && b.Restarts == 0 {
					continue // nobody else will lead: it's enough that one follows
				}
				try(func(c *node) bool { return c.replicate(c.stewards[i], c.stewards[f]) }, "%d to %d", i, f)
			}
		}
		if n.elections < b.Elections {
			try(func(c *node) bool { c.elections++; return c.elect(c.stewards[i]) }, "%d is elected", i)
		}
		if n.restarts < b.Restarts {
			keeps := []int{len(s.log), len(s.log) / 2, 0}
			for _, keep := range slices.Compact(keeps) {
				try(func(c *node) bool {
					c.restarts++
					c.restart(c.stewards[i], keep)
					return true
				}, "%d starts anew with %d of %d entries", i, keep, len(s.log))
			}
		}
	}
	for j, r := range n.replies {
		if len(r.Grants) > 0 && r.Grants[0].Token.Compare(n.procs[r.to].Has(n.procs[r.to].at(n.now), budget).Token) != 0 {
			try(func(c *node) bool { c.take(c.replies[j]); return true }, "%s takes token %v", name(r.to), r.Grants[0].Token)
		}
	}
	if n.ticks < b.Ticks {
		try(func(c *node) bool {
			c.ticks++
			c.now += b.Tick
			c.quorum()
			return true
		}, "time goes by")
	}
}

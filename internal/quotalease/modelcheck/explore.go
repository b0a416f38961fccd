package modelcheck

import (
	"fmt"
	"slices"
	"time"

	"github.com/zeebo/xxh3"
)

// Bounds say which small world is explored. All that can happen within them is.
type Bounds struct {
	RequestsPerProxy int           // of each proxy
	Ticks            int           // of time
	Tick             time.Duration // how long one is
	Elections        int
	Restarts         int // of stewards: with their store, with its first half, or with none
	MaxStates        int // states at which it stops; 0 is no bound
}

// Result is what an exploration came to.
type Result struct {
	States      int
	Transitions int // transitions that were tried
	Depth       int
	Complete    bool     // every state within the bounds was seen
	Violation   string   // what broke, "" if nothing did
	Trace       []string // the shortest way to it
}

// searchNode is a state, with what is used up of the bounds.
type searchNode struct {
	*cluster
	requestsSent               []int
	ticks, elections, restarts int
	parent                     int
	transition                 string
	depth                      int
}

// Explore explores a world breadth first. Messages stay on the network for good: each may come at any time, any number of
// times, in any order, or never. Clocks are as bad as they may be: stewards' fast, proxies' slow.
func Explore(s Settings, b Bounds) Result {
	first := &searchNode{cluster: newCluster(s, func(i int) float64 {
		if i < s.Servers {
			return 1
		}
		return -1
	}), requestsSent: make([]int, s.Holders), parent: -1}
	first.demandUnits = s.Limit
	var buf []byte
	seen := map[xxh3.Uint128]bool{}
	all := []*searchNode{first} // those not visited yet keep their world
	type step struct {
		parent int
		by     string
	}
	steps := []step{{-1, ""}}
	r := Result{Complete: true}
	_, key := first.boundedHash(buf)
	seen[key] = true
	for at := 0; at < len(all) && r.Violation == ""; at++ {
		n := all[at]
		r.Depth = n.depth
		n.successors(b, func(by string, next *searchNode) bool {
			r.Transitions++
			var key xxh3.Uint128
			found := next.checkInvariant() // before the key: a look ends what is over
			if buf, key = next.boundedHash(buf); seen[key] {
				return true
			}
			if b.MaxStates > 0 && len(seen) >= b.MaxStates {
				r.Complete = false
				return true
			}
			seen[key] = true
			next.depth = n.depth + 1
			all = append(all, next)
			steps = append(steps, step{at, by})
			if found != "" {
				r.Violation = found
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

// boundedHash is the key of a state with what is left of its bounds.
func (n *searchNode) boundedHash(buf []byte) ([]byte, xxh3.Uint128) {
	buf, _ = n.stateHash(buf)
	for _, a := range n.requestsSent {
		buf = append(buf, byte(a))
	}
	buf = append(buf, byte(n.ticks), byte(n.elections), byte(n.restarts))
	return buf, xxh3.Hash128(buf)
}

// successors gives every state that can be next, until the caller has enough.
func (n *searchNode) successors(b Bounds, to func(by string, next *searchNode) bool) {
	more := true
	try := func(do func(*searchNode) bool, format string, args ...any) {
		if !more {
			return
		}
		next := *n
		next.cluster = n.cluster.clone()
		next.requestsSent = slices.Clone(n.requestsSent)
		if do(&next) {
			// Whatever can be told is on the network at once: as it may come late or never, nothing is lost by that.
			for _, s := range next.servers {
				for _, p := range next.proxies {
					if r := s.requests[p.HolderID]; r != nil {
						next.sendReply(s, r)
					}
				}
			}
			more = to(fmt.Sprintf(format, args...), &next)
		}
	}
	for i := range n.proxies {
		if n.requestsSent[i] < b.RequestsPerProxy {
			try(func(c *searchNode) bool { c.requestsSent[i]++; c.sendRequest(i); return true }, "%s asks", holderName(i))
		}
	}
	for i, s := range n.servers {
		if !s.up {
			continue
		}
		if s.leader {
			for j, r := range n.requests {
				if had := s.requests[r.HolderID]; had == nil || had.Seq < r.Seq {
					try(func(c *searchNode) bool { return c.deliverRequest(c.servers[i], c.requests[j]) }, "%d hears ask %d of %s", i, r.Seq, holderName(r.from))
				}
			}
			if len(s.log)-s.commit < 2 && s.allocator.HasWork(s.at(n.now)) { // what is not committed is proposed again and again
				try(func(c *searchNode) bool { return c.proposePlan(c.servers[i]) }, "%d proposes", i)
			}
			for f := range n.servers {
				if s.match[f] == len(s.log) && n.servers[f].commit == s.commit && n.servers[f].confirmed == len(s.log) {
					continue // no news
				}
				if f > 1 && b.Elections == 0 && b.Restarts == 0 {
					continue // nobody else will lead: it's enough that one follows
				}
				try(func(c *searchNode) bool { return c.replicate(c.servers[i], c.servers[f]) }, "%d to %d", i, f)
			}
		}
		if n.elections < b.Elections {
			try(func(c *searchNode) bool { c.elections++; return c.electLeader(c.servers[i]) }, "%d is elected", i)
		}
		if n.restarts < b.Restarts {
			keeps := []int{len(s.log), len(s.log) / 2, 0}
			for _, keep := range slices.Compact(keeps) {
				try(func(c *searchNode) bool {
					c.restarts++
					c.restartServer(c.servers[i], keep)
					return true
				}, "%d starts anew with %d of %d entries", i, keep, len(s.log))
			}
		}
	}
	for j, r := range n.replies {
		if len(r.Leases) > 0 && r.Leases[0].Token.Compare(n.proxies[r.to].Status(n.proxies[r.to].at(n.now), quotaName).Token) != 0 {
			try(func(c *searchNode) bool { c.deliverReply(c.replies[j]); return true }, "%s takes token %v", holderName(r.to), r.Leases[0].Token)
		}
	}
	if n.ticks < b.Ticks {
		try(func(c *searchNode) bool {
			c.ticks++
			c.now += b.Tick
			c.stepDownWithoutQuorum()
			return true
		}, "time goes by")
	}
}

package modelcheck

import (
	"fmt"
	"slices"
	"time"

	"github.com/zeebo/xxh3"
)

// Bounds say which small system is explored. All that can happen within them is.
type Bounds struct {
	RequestsPerProxy int
	Ticks            int           // of time
	Tick             time.Duration // how long one is
	Elections        int
	Restarts         int // of servers: with their store, with its first half, or with none
	MaxStates        int // at which it stops; 0 is no bound
}

// Result is what an exploration came to.
type Result struct {
	States      int
	Transitions int // that were tried
	Depth       int
	Complete    bool     // every state within the bounds was seen
	Violation   string   // what broke, "" if nothing did
	Trace       []string // the shortest way to it
}

// searchNode is a state, with what is used up of the bounds.
type searchNode struct {
	*cluster
	requestsSent []int
	ticks        int
	elections    int
	restarts     int
	depth        int
}

// transition is how a state was reached.
type transition struct {
	parent int // index of the state before
	by     string
}

// search is a breadth-first search.
type search struct {
	bounds Bounds
	seen   map[xxh3.Uint128]bool
	nodes  []*searchNode // in the order of their discovery; nil once visited
	steps  []transition  // how each node was reached
	buffer []byte
	result Result
}

// Explore visits all states of a system within bounds, breadth first. Messages stay on the network for good: each
// may come at any time, any number of times, in any order, or never. Clocks are as bad as they may be: those of
// servers fast, those of proxies slow.
func Explore(s Settings, bounds Bounds) Result {
	first := &searchNode{
		cluster:      newCluster(s, func(i int) float64 { return worstClock(i < s.Servers) }),
		requestsSent: make([]int, s.Holders),
	}
	first.demandUnits = s.Limit
	e := &search{bounds: bounds, seen: map[xxh3.Uint128]bool{}, result: Result{Complete: true}}
	e.add(first, transition{parent: -1})
	for at := 0; at < len(e.nodes) && e.result.Violation == ""; at++ {
		node := e.nodes[at]
		e.result.Depth = node.depth
		node.successors(bounds, func(by string, next *searchNode) bool {
			return e.visit(next, transition{parent: at, by: by})
		})
		e.nodes[at] = nil // so that its memory is freed
	}
	e.result.States = len(e.seen)
	return e.result
}

// worstClock returns the rate of a clock as a part of the drift.
func worstClock(ofServer bool) float64 {
	if ofServer {
		return 1
	}
	return -1
}

// add notes a state unless it was seen or there are too many. It reports whether the state is new.
func (e *search) add(node *searchNode, step transition) bool {
	var hash xxh3.Uint128
	e.buffer, hash = node.hash(e.buffer)
	if e.seen[hash] {
		return false
	}
	if e.bounds.MaxStates > 0 && len(e.seen) >= e.bounds.MaxStates {
		e.result.Complete = false
		return false
	}
	e.seen[hash] = true
	e.nodes = append(e.nodes, node)
	e.steps = append(e.steps, step)
	return true
}

// visit checks a state and adds it. It reports whether the search goes on.
func (e *search) visit(next *searchNode, step transition) bool {
	e.result.Transitions++
	violation := next.checkInvariant() // before the hash, because it ends leases that have expired
	if !e.add(next, step) || violation == "" {
		return true
	}
	e.result.Violation = violation
	for i := len(e.steps) - 1; i > 0; i = e.steps[i].parent {
		e.result.Trace = append(e.result.Trace, e.steps[i].by)
	}
	slices.Reverse(e.result.Trace)
	return false
}

// expansion tries all transitions from a state until the caller has enough.
type expansion struct {
	from   *searchNode
	bounds Bounds
	yield  func(by string, next *searchNode) bool
	done   bool
}

// successors yields every state that can be next, until yield returns false.
func (n *searchNode) successors(bounds Bounds, yield func(by string, next *searchNode) bool) {
	x := &expansion{from: n, bounds: bounds, yield: yield}
	for i := range n.proxies {
		if n.requestsSent[i] < bounds.RequestsPerProxy {
			x.try(func(next *searchNode) bool {
				next.requestsSent[i]++
				next.sendRequest(i)
				return true
			}, "%s sends a request", holderName(i))
		}
	}
	for i, s := range n.servers {
		if s.up {
			x.tryServer(i, s)
		}
	}
	for j, r := range n.replies {
		p := n.proxies[r.to]
		if len(r.Leases) > 0 && r.Leases[0].Token != p.Status(p.at(n.now), quotaName).Token {
			x.try(func(next *searchNode) bool {
				next.deliverReply(next.replies[j])
				return true
			}, "%s takes token %v", holderName(r.to), r.Leases[0].Token)
		}
	}
	if n.ticks < bounds.Ticks {
		x.try(func(next *searchNode) bool {
			next.ticks++
			next.now += bounds.Tick
			next.stepDownWithoutQuorum()
			return true
		}, "time passes")
	}
}

// try yields the state after a transition, unless that does nothing.
func (x *expansion) try(do func(next *searchNode) bool, format string, args ...any) {
	if x.done {
		return
	}
	next := *x.from
	next.cluster = x.from.clone()
	next.requestsSent = slices.Clone(x.from.requestsSent)
	next.depth++
	if !do(&next) {
		return
	}
	// Whatever can be replied is on the network at once: as it may come late or never, no behavior is lost by that.
	for _, s := range next.servers {
		for _, p := range next.proxies {
			if r := s.requests[p.HolderID]; r != nil {
				next.sendReply(s, r)
			}
		}
	}
	x.done = !x.yield(fmt.Sprintf(format, args...), &next)
}

// tryServer tries what a server can do.
func (x *expansion) tryServer(i int, s *server) {
	if s.leader {
		x.tryLeader(i, s)
	}
	if x.from.elections < x.bounds.Elections {
		x.try(func(next *searchNode) bool {
			next.elections++
			return next.electLeader(next.servers[i])
		}, "%d is elected", i)
	}
	if x.from.restarts >= x.bounds.Restarts {
		return
	}
	for _, entries := range slices.Compact([]int{len(s.log), len(s.log) / 2, 0}) {
		x.try(func(next *searchNode) bool {
			next.restarts++
			next.restartServer(next.servers[i], entries)
			return true
		}, "%d restarts with %d of %d entries", i, entries, len(s.log))
	}
}

// tryLeader tries what a leader can do: take a request, propose its plan, replicate its log.
func (x *expansion) tryLeader(i int, s *server) {
	for j, r := range x.from.requests {
		if had := s.requests[r.HolderID]; had == nil || had.Seq < r.Seq {
			x.try(func(next *searchNode) bool {
				return next.deliverRequest(next.servers[i], next.requests[j])
			}, "%d takes request %d of %s", i, r.Seq, holderName(r.from))
		}
	}
	// What is not committed would be proposed again and again without a bound.
	if len(s.log)-s.commit < 2 && s.allocator.HasWork(s.at(x.from.now)) {
		x.try(func(next *searchNode) bool { return next.proposePlan(next.servers[i]) }, "%d proposes", i)
	}
	for f, follower := range x.from.servers {
		upToDate := s.match[f] == len(s.log) && follower.commit == s.commit && follower.confirmed == len(s.log)
		if upToDate {
			continue
		}
		if f > 1 && x.bounds.Elections == 0 && x.bounds.Restarts == 0 {
			continue // no other server will lead, so it is enough that one follows
		}
		x.try(func(next *searchNode) bool {
			return next.replicate(next.servers[i], next.servers[f])
		}, "%d replicates to %d", i, f)
	}
}

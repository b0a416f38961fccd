package modelcheck

import (
	"fmt"
	"slices"
	"time"

	"github.com/zeebo/xxh3"
)

// Bounds limit the events of an exploration. Explore visits every state that is reachable within them.
type Bounds struct {
	RequestsPerProxy int           // maximum number of requests that each proxy sends
	Ticks            int           // maximum number of times that the clock advances
	Tick             time.Duration // how far the clock advances each time
	Elections        int           // maximum number of leader elections
	Restarts         int           // maximum number of server restarts, with the full log, half of it or none
	MaxStates        int           // maximum number of states; 0 means no maximum
}

// Result is the result of Explore.
type Result struct {
	States      int
	Transitions int      // number of transitions taken, also to states that were visited before
	Depth       int      // number of transitions from the first state to the last one expanded
	Complete    bool     // MaxStates was not reached, so every state within the bounds was visited
	Violation   string   // description of the violation, "" if there was none
	Trace       []string // a shortest sequence of transitions that leads to the violation
}

// searchNode is a state with the number of events that led to it, as limited by Bounds.
type searchNode struct {
	*cluster
	requestsSent []int
	ticks        int
	elections    int
	restarts     int
	depth        int
}

// transition describes how a state was reached.
type transition struct {
	parent int    // index of the previous state in search.nodes; -1 for the first state
	event  string // description of the event
}

// search is the working state of a breadth-first search.
type search struct {
	bounds Bounds
	seen   map[xxh3.Uint128]bool
	nodes  []*searchNode // in the order of their discovery; nil once expanded
	steps  []transition  // how each node was reached
	buffer []byte
	result Result
}

// Explore visits all states of a system within bounds, breadth first, and stops at the first violation. Messages stay
// on the network forever: each may arrive at any time, any number of times, in any order, or never. Clocks have the
// worst drift that is allowed: those of servers are fast, those of proxies slow.
func Explore(s Settings, bounds Bounds) Result {
	first := &searchNode{
		cluster:      newCluster(s, func(i int) float64 { return worstDrift(i < s.Servers) }),
		requestsSent: make([]int, s.Holders),
	}
	first.demandUnits = s.Limit
	e := &search{bounds: bounds, seen: map[xxh3.Uint128]bool{}, result: Result{Complete: true}}
	e.add(first, transition{parent: -1})
	for index := 0; index < len(e.nodes) && e.result.Violation == ""; index++ {
		node := e.nodes[index]
		e.result.Depth = node.depth
		node.successors(bounds, func(event string, next *searchNode) bool {
			return e.visit(next, transition{parent: index, event: event})
		})
		e.nodes[index] = nil // frees the memory of the state
	}
	e.result.States = len(e.seen)
	return e.result
}

// worstDrift returns the worst error of a clock as a fraction of the maximum drift: fast for servers, slow for
// proxies.
func worstDrift(isServer bool) float64 {
	if isServer {
		return 1
	}
	return -1
}

// add adds a state unless it was visited before or MaxStates is reached. It reports whether the state was added.
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

// visit checks the invariant in a state and adds the state. It reports whether the search must continue.
func (e *search) visit(next *searchNode, step transition) bool {
	e.result.Transitions++
	violation := next.checkInvariant() // before the state is hashed, because it marks expired leases as inactive
	if !e.add(next, step) || violation == "" {
		return true
	}
	e.result.Violation = violation
	for i := len(e.steps) - 1; i > 0; i = e.steps[i].parent {
		e.result.Trace = append(e.result.Trace, e.steps[i].event)
	}
	slices.Reverse(e.result.Trace)
	return false
}

// expansion generates the successors of a state until yield returns false.
type expansion struct {
	node   *searchNode
	bounds Bounds
	yield  func(event string, next *searchNode) bool
	done   bool // yield has returned false
}

// successors calls yield for every state that one event can lead to, until yield returns false.
func (n *searchNode) successors(bounds Bounds, yield func(event string, next *searchNode) bool) {
	x := &expansion{node: n, bounds: bounds, yield: yield}
	for i := range n.proxies {
		if n.requestsSent[i] < bounds.RequestsPerProxy {
			x.try(func(next *searchNode) bool {
				next.requestsSent[i]++
				next.sendRequest(i)
				return true
			}, "holder %s sends a request", holderName(i))
		}
	}
	for i, s := range n.servers {
		if s.running {
			x.tryServer(i, s)
		}
	}
	for j, r := range n.replies {
		p := n.proxies[r.proxyIndex]
		if len(r.Leases) > 0 && r.Leases[0].Token != p.Status(p.clockTime(n.now), quotaName).Token {
			x.try(func(next *searchNode) bool {
				next.deliverReply(next.replies[j])
				return true
			}, "holder %s receives a reply with the lease of token %v", holderName(r.proxyIndex), r.Leases[0].Token)
		}
	}
	if n.ticks < bounds.Ticks {
		x.try(func(next *searchNode) bool {
			next.ticks++
			next.now += bounds.Tick
			next.stepDownWithoutQuorum()
			return true
		}, "the clock advances by %v", bounds.Tick)
	}
}

// try applies an event to a copy of the state and yields the copy, unless applyEvent returns false because the event
// changes nothing. format and args describe the event.
func (x *expansion) try(applyEvent func(next *searchNode) bool, format string, args ...any) {
	if x.done {
		return
	}
	next := *x.node
	next.cluster = x.node.clone()
	next.requestsSent = slices.Clone(x.node.requestsSent)
	next.depth++
	if !applyEvent(&next) {
		return
	}
	// Every possible reply is put on the network at once. A reply may arrive late or never, so no behavior is missed.
	for _, s := range next.servers {
		for _, p := range next.proxies {
			if r := s.requests[p.HolderID]; r != nil {
				next.sendReply(s, r)
			}
		}
	}
	x.done = !x.yield(fmt.Sprintf(format, args...), &next)
}

// tryServer tries the events of a server: those of a leader, an election and a restart.
func (x *expansion) tryServer(i int, s *server) {
	if s.leader {
		x.tryLeader(i, s)
	}
	if x.node.elections < x.bounds.Elections {
		x.try(func(next *searchNode) bool {
			next.elections++
			return next.electLeader(next.servers[i])
		}, "server %d is elected", i)
	}
	if x.node.restarts >= x.bounds.Restarts {
		return
	}
	for _, entries := range slices.Compact([]int{len(s.log), len(s.log) / 2, 0}) {
		x.try(func(next *searchNode) bool {
			next.restarts++
			next.restartServer(next.servers[i], entries)
			return true
		}, "server %d restarts with %d of %d log entries", i, entries, len(s.log))
	}
}

// tryLeader tries the events of a leader: it receives a request, proposes its plan, or replicates its log.
func (x *expansion) tryLeader(i int, s *server) {
	for j, r := range x.node.requests {
		if last := s.requests[r.HolderID]; last == nil || last.Seq < r.Seq {
			x.try(func(next *searchNode) bool {
				return next.deliverRequest(next.servers[i], next.requests[j])
			}, "server %d receives request %d of holder %s", i, r.Seq, holderName(r.proxyIndex))
		}
	}
	// A plan is proposed again until it is committed, so the uncommitted entries must be bounded.
	if len(s.log)-s.commit < 2 && s.allocator.HasWork(s.clockTime(x.node.now)) {
		x.try(func(next *searchNode) bool { return next.proposePlan(next.servers[i]) }, "server %d proposes a plan", i)
	}
	for f, follower := range x.node.servers {
		upToDate := s.matchLengths[f] == len(s.log) && follower.commit == s.commit && follower.confirmed == len(s.log)
		if upToDate {
			continue
		}
		if f > 1 && x.bounds.Elections == 0 && x.bounds.Restarts == 0 {
			continue // no other server becomes the leader, so one follower is sufficient for a majority
		}
		x.try(func(next *searchNode) bool {
			return next.replicate(next.servers[i], next.servers[f])
		}, "server %d replicates to server %d", i, f)
	}
}

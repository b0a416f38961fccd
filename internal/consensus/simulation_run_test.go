package consensus

import (
	"slices"
	"testing"
	"testing/cryptotest"
)

// runSimulation runs a simulation with faults for faultTicks, then without, when commands must be acknowledged again.
// With partitionWitnesses it runs runRollbackWhilePartitioned instead. The result's violation says what went wrong.
func runSimulation(t *testing.T, seed uint64, m mutations) *simulation {
	cryptotest.SetGlobalRandom(t, seed)
	s := newSimulation(seed, m)
	if m.partitionWitnesses {
		s.runRollbackWhilePartitioned(s.rng.IntN(4), s.rng.IntN(2) == 0)
		return s
	}
	for s.now < faultTicks && s.violation == nil {
		s.runTick()
	}
	s.endFaults()
	s.awaitRecovery()
	s.checkHistory()
	for _, n := range s.nodes {
		if n.core != nil {
			s.truncations += n.core.Status().Truncations
		}
	}
	return s
}

func (s *simulation) endFaults() {
	s.faultsDisabled = true
	s.lossRate = 0
	clear(s.cutUntil)
	for _, n := range s.nodes {
		n.pausedUntil = 0
	}
}

// awaitRecovery runs until no node is silent and new commands are acknowledged.
func (s *simulation) awaitRecovery() {
	operationsBefore := len(s.operations)
	for i := 0; (i%8 > 0 || !s.recovered(operationsBefore)) && s.violation == nil; i++ {
		if i > 4*silenceTicks {
			s.recordViolation("no recovery within %d ticks after the faults ended: %v", i, s.describeNodes())
		}
		s.runTick()
	}
}

// recovered reports whether all nodes run, none of them is silent or far behind, and more than 3 commands were
// acknowledged since there were operationsBefore operations. Nodes that failed for good don't count.
func (s *simulation) recovered(operationsBefore int) bool {
	for _, n := range s.nodes {
		if n.core == nil {
			return false
		}
		behind := len(n.core.Status().UnconfirmedPeers) > 0 || len(n.machine.numbers) < operationsBefore/8
		if !n.failed() && behind {
			return false
		}
	}
	acknowledged := 0
	for _, o := range s.operations[operationsBefore:] {
		if o.endTick > 0 && !o.read {
			acknowledged++
		}
	}
	return acknowledged > 3
}

// runRollbackWhilePartitioned rolls back the store of a node while the nodes that remember its newer version are
// isolated for longer than the silence. A node that detects a log conflict may fail. The histories of grants that are
// in force at the same time must not diverge (recordGrant). The nodes that still run must agree, and must acknowledge
// commands if they are a majority.
//
// Before they are isolated, leadership is transferred the given number of times (terms) among the nodes to be isolated
// and the one to be rolled back. With hideCommits, messages carry no commit index while those nodes are isolated, so
// that no node learns that an entry it acknowledged is committed.
func (s *simulation) runRollbackWhilePartitioned(terms int, hideCommits bool) {
	s.faultsDisabled = true
	s.awaitLeader()
	s.runTicks(10)
	order := s.rng.Perm(len(s.nodes)) // the node whose store is rolled back, the isolated minority, and the rest
	rolledBack := s.nodes[order[0]]
	isolated := order[1 : 1+len(s.nodes)/2]
	copied := rolledBack.disk
	s.cutOff(s.idSet(append([]int{order[0]}, isolated...)), foreverTicks)
	s.advanceTerms(terms, append(slices.Clone(isolated), order[0]))
	s.runTicks(50 + s.rng.IntN(30))
	s.isolateAndPause(isolated)
	s.rolledBack = rolledBack.id
	rolledBack.disk = copied
	s.start(rolledBack)
	s.hideCommits = hideCommits
	s.runTicks(silenceTicks + 20 + s.rng.IntN(80))
	s.hideCommits = false
	leader := slices.IndexFunc(s.nodes, func(n *simulatedNode) bool {
		return n.isLeader() && !slices.Contains(isolated, int(n.id-1))
	})
	s.reconnect(isolated)
	if hideCommits && leader >= 0 {
		s.cutOff(s.idSet([]int{leader}), s.now+silenceTicks/2)
	} else if s.rng.IntN(2) == 0 { // else a version reply may make the rolled-back node fail at once
		s.cutOff(s.idSet(order[:1]), s.now+s.rng.IntN(silenceTicks))
	}
	s.runTicks(silenceTicks / 2)
	clear(s.cutUntil)
	grantsBefore := len(s.grants)
	s.runTicks(2*silenceTicks + silenceTicks/2)
	s.checkSurvivors(grantsBefore)
}

// idSet returns the set of the IDs of the nodes at the given positions of s.nodes.
func (s *simulation) idSet(positions []int) map[uint64]bool {
	ids := map[uint64]bool{}
	for _, i := range positions {
		ids[s.nodes[i].id] = true
	}
	return ids
}

// advanceTerms transfers leadership the given number of times to a random one of the nodes at positions to.
func (s *simulation) advanceTerms(terms int, to []int) {
	for range terms {
		s.runTicks(40)
		for _, n := range s.nodes {
			if n.isLeader() {
				n.core.raft.TransferLeader(s.nodes[to[s.rng.IntN(len(to))]].id)
			}
		}
	}
}

// isolateAndPause cuts off and pauses the nodes at the given positions, and restores all other links.
func (s *simulation) isolateAndPause(isolated []int) {
	clear(s.cutUntil)
	s.cutOff(s.idSet(isolated), foreverTicks)
	for _, i := range isolated {
		s.nodes[i].pausedUntil = foreverTicks
	}
}

// reconnect resumes the nodes at the given positions and restores all links.
func (s *simulation) reconnect(isolated []int) {
	for _, i := range isolated {
		s.nodes[i].pausedUntil = 0
	}
	clear(s.cutUntil)
}

// checkSurvivors checks that the nodes that have not failed have applied prefixes of the same list and, if they are a
// majority, have acknowledged at least 4 commands since there were grantsBefore grants.
func (s *simulation) checkSurvivors(grantsBefore int) {
	running := 0
	for _, n := range s.nodes {
		s.truncations += n.core.Status().Truncations
		if !n.failed() {
			running++
		}
	}
	if running <= len(s.nodes)/2 {
		return // a minority can't commit anything
	}
	var first *simulatedNode
	for _, n := range s.nodes {
		if n.failed() {
			continue
		}
		if first == nil {
			first = n
		}
		commonLength := min(len(n.machine.numbers), len(first.machine.numbers))
		if !slices.Equal(n.machine.numbers[:commonLength], first.machine.numbers[:commonLength]) {
			s.recordViolation("node %d has applied %v and node %d %v, want one to be a prefix of the other",
				n.id, n.machine.numbers, first.id, first.machine.numbers)
		}
	}
	if len(s.grants) < grantsBefore+4 {
		s.recordViolation("%d nodes run, a majority, but acknowledged only %d commands after the partition, "+
			"want at least 4: %v", running, len(s.grants)-grantsBefore, s.describeNodes())
	}
}

// awaitLeader runs until a node leads and has applied a command, and returns that node. It panics if there is none by
// tick 500.
func (s *simulation) awaitLeader() *simulatedNode {
	for s.now < 500 {
		s.runTick()
		for _, n := range s.nodes {
			if n.isLeader() && len(n.machine.numbers) > 0 {
				return n
			}
		}
	}
	panic("simulation: no leader has applied a command by tick 500")
}

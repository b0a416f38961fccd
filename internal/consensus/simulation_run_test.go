package consensus

import (
	"slices"
	"testing"
	"testing/cryptotest"
)

// runSimulation runs a simulation: faults for a time, then none, and commands must come through again.
func runSimulation(t *testing.T, seed uint64, m mutations) *simulation {
	cryptotest.SetGlobalRandom(t, seed)
	s := newSimulation(seed, m)
	if m.partitionWitnesses {
		s.runRollbackWhilePartitioned(s.rng.IntN(4), s.rng.IntN(2) == 0)
		return s
	}
	for s.now < faultTicks && s.violation == nil {
		s.step()
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
	s.calm = true
	s.loss = 0
	clear(s.cutUntil)
	for _, n := range s.nodes {
		n.pausedUntil = 0
	}
}

// awaitRecovery runs until no node is silent and new commands are acknowledged.
func (s *simulation) awaitRecovery() {
	before := len(s.operations)
	for i := 0; (i%8 > 0 || !s.recovered(before)) && s.violation == nil; i++ {
		if i > 4*silenceTicks {
			s.fail("nothing comes through though there are no faults: %v", s.describeNodes())
		}
		s.step()
	}
}

// recovered reports whether commands of the operations after a number of them were acknowledged.
func (s *simulation) recovered(before int) bool {
	for _, n := range s.nodes {
		if n.core == nil {
			return false
		}
		behind := len(n.core.Status().UnconfirmedPeers) > 0 || len(n.machine.numbers) < before/8
		if !n.failed() && behind {
			return false
		}
	}
	acknowledged := 0
	for _, o := range s.operations[before:] {
		if o.end > 0 && !o.read {
			acknowledged++
		}
	}
	return acknowledged > 3
}

// runRollbackWhilePartitioned has a store put back while the nodes that know so are away for longer than the
// silence. A node that finds a contradiction may fail; two grants that are in force must know each other, and the
// nodes that are left must agree, and go on if they are a majority.
//
// The nodes that are away come to so many more terms before, and with hideCommits nobody hears meanwhile that what
// it acknowledged is committed.
func (s *simulation) runRollbackWhilePartitioned(terms int, hideCommits bool) {
	s.calm = true
	s.leader()
	s.steps(10)
	order := s.rng.Perm(len(s.nodes)) // the node whose store is rolled back, a minority that is away, and the rest
	rolledBack := s.nodes[order[0]]
	away := order[1 : 1+len(s.nodes)/2]
	copied := rolledBack.disk
	s.cutOff(s.ids(append([]int{order[0]}, away...)), foreverTicks)
	s.advanceTerms(terms, append(slices.Clone(away), order[0]))
	s.steps(50 + s.rng.IntN(30))
	s.partitionAway(away)
	s.rolledBack = rolledBack.id
	rolledBack.disk = copied
	s.start(rolledBack)
	s.hideCommits = hideCommits
	s.steps(silenceTicks + 20 + s.rng.IntN(80))
	s.hideCommits = false
	leader := slices.IndexFunc(s.nodes, func(n *simulatedNode) bool {
		return n.isLeader() && !slices.Contains(away, int(n.id-1))
	})
	s.returnAway(away)
	if hideCommits && leader >= 0 {
		s.cutOff(s.ids([]int{leader}), s.now+silenceTicks/2)
	} else if s.rng.IntN(2) == 0 { // an answer would have the node fail at once
		s.cutOff(s.ids(order[:1]), s.now+s.rng.IntN(silenceTicks))
	}
	s.steps(silenceTicks / 2)
	clear(s.cutUntil)
	grantsBefore := len(s.grants)
	s.steps(2*silenceTicks + silenceTicks/2)
	s.checkSurvivors(grantsBefore)
}

// ids are those of the nodes at some positions.
func (s *simulation) ids(positions []int) map[uint64]bool {
	ids := map[uint64]bool{}
	for _, i := range positions {
		ids[s.nodes[i].id] = true
	}
	return ids
}

// advanceTerms has leadership go to some of the nodes so many times.
func (s *simulation) advanceTerms(terms int, to []int) {
	for range terms {
		s.steps(40)
		for _, n := range s.nodes {
			if n.isLeader() {
				n.core.raft.TransferLeader(s.nodes[to[s.rng.IntN(len(to))]].id)
			}
		}
	}
}

// partitionAway cuts off and pauses some nodes, and ends all other cuts.
func (s *simulation) partitionAway(away []int) {
	clear(s.cutUntil)
	s.cutOff(s.ids(away), foreverTicks)
	for _, i := range away {
		s.nodes[i].pausedUntil = foreverTicks
	}
}

func (s *simulation) returnAway(away []int) {
	for _, i := range away {
		s.nodes[i].pausedUntil = 0
	}
	clear(s.cutUntil)
}

// checkSurvivors checks that the nodes that are left have applied beginnings of one list, and that a majority of
// them has acknowledged commands since there were so many grants.
func (s *simulation) checkSurvivors(grantsBefore int) {
	running := 0
	for _, n := range s.nodes {
		s.truncations += n.core.Status().Truncations
		if !n.failed() {
			running++
		}
	}
	if running <= len(s.nodes)/2 {
		return // a minority decides nothing
	}
	var first *simulatedNode
	for _, n := range s.nodes {
		if n.failed() {
			continue
		}
		if first == nil {
			first = n
		}
		both := min(len(n.machine.numbers), len(first.machine.numbers))
		if !slices.Equal(n.machine.numbers[:both], first.machine.numbers[:both]) {
			s.fail("node %d has applied %v, %d has %v", n.id, n.machine.numbers, first.id, first.machine.numbers)
		}
	}
	if len(s.grants) < grantsBefore+4 {
		s.fail("%d are left, and nothing comes through: %v", running, s.describeNodes())
	}
}

// leader runs until a node leads and has applied a command.
func (s *simulation) leader() *simulatedNode {
	for s.now < 500 {
		s.step()
		for _, n := range s.nodes {
			if n.isLeader() && len(n.machine.numbers) > 0 {
				return n
			}
		}
	}
	panic("no leader")
}

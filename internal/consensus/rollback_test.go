package consensus

import (
	"bytes"
	"errors"
	"slices"
	"testing"
	"testing/cryptotest"

	pb "go.etcd.io/raft/v3/raftpb"
)

// calmSimulation runs three nodes without faults until one of them leads.
func calmSimulation(t *testing.T, m mutations) (s *simulation, leader, follower, other *simulatedNode) {
	t.Helper()
	cryptotest.SetGlobalRandom(t, 1)
	s = newSimulation(0, m)
	s.calm = true
	leader = s.leader()
	return s, leader, s.nodes[leader.id%3], s.nodes[(leader.id+1)%3]
}

func carriesEntries(m Message) bool {
	return m.Kind == MessageRaft && (m.Raft.GetType() == pb.MsgApp || m.Raft.GetType() == pb.MsgAppResp)
}

func (n *simulatedNode) hasOnDisk(command []byte) bool {
	return slices.ContainsFunc(n.disk.Entries, func(e *pb.Entry) bool { return bytes.HasSuffix(e.GetData(), command) })
}

// A follower acknowledges an entry, its message is late, and its store is rolled back. No other node has
// seen the message, so that all confirm the store. Then it arrives, and must not count: nobody but the leader holds
// the entry.
func TestLateReplyOfFormerIncarnationIsIgnored(t *testing.T) {
	for _, c := range []struct {
		name      string
		mutations mutations
		wrong     bool
	}{{"guarded", mutations{}, false}, {"mutated", mutations{acceptFormerIncarnations: true}, true}} {
		t.Run(c.name, func(t *testing.T) {
			s, leader, follower, other := calmSimulation(t, c.mutations)
			before := follower.disk
			command := []byte("12345678")
			if err := leader.core.Propose(1<<40, command); err != nil {
				t.Fatal(err)
			}
			// Entries reach nobody but the follower, and its messages are held up.
			var late []Message
			holdUp := func(p packet) bool {
				fromFollower := p.message.From == follower.id && p.message.Kind == MessageRaft
				if fromFollower && p.message.To == leader.id {
					late = append(late, p.message)
				}
				return fromFollower || carriesEntries(p.message) && p.message.To != follower.id
			}
			bound := s.now + 500
			for s.now < bound && (!follower.hasOnDisk(command) || follower.writing != nil) {
				s.step()
				s.inTransit = slices.DeleteFunc(s.inTransit, holdUp)
			}
			follower.disk = before
			s.start(follower)
			for s.now < bound && len(follower.core.Status().UnconfirmedPeers) > 0 {
				s.step()
				s.inTransit = slices.DeleteFunc(s.inTransit, func(p packet) bool { return carriesEntries(p.message) })
			}
			applied := len(leader.machine.numbers)
			for _, m := range late {
				if err := leader.core.Step(m); err != nil {
					t.Fatal(err)
				}
			}
			s.runReady(leader)
			for leader.writing != nil {
				s.now++
				s.runReady(leader)
			}
			if len(late) == 0 || follower.hasOnDisk(command) || other.hasOnDisk(command) {
				t.Fatalf("the case is not the one meant: %d late", len(late))
			}
			if wrong := len(leader.machine.numbers) > applied; wrong != c.wrong {
				t.Errorf("the leader has applied what it alone holds: %v, want %v", wrong, c.wrong)
			}
		})
	}
}

// A leader that has replied to a command has the version of the follower whose acknowledgement that rests on on
// disk: if the follower's store is rolled back while the leader is down, the leader still shows it.
func TestWitnessPersistsVersionBeforeReplying(t *testing.T) {
	for _, c := range []struct {
		name      string
		mutations mutations
		wrong     bool
	}{{"guarded", mutations{}, false}, {"mutated", mutations{deferWitnessWrites: true}, true}} {
		t.Run(c.name, func(t *testing.T) {
			s, leader, follower, other := calmSimulation(t, c.mutations)
			s.idle = true
			s.steps(60) // all is known to all
			for _, n := range []*simulatedNode{leader, follower} {
				s.cutUntil[[2]uint64{n.id, other.id}] = foreverTicks
				s.cutUntil[[2]uint64{other.id, n.id}] = foreverTicks
			}
			before := follower.disk
			if err := leader.core.Propose(1<<40, zeroCommand); err != nil {
				t.Fatal(err)
			}
			for bound := s.now + 500; s.now < bound && !slices.Contains(leader.machine.numbers, 0); {
				s.step()
			}
			if !slices.Contains(leader.machine.numbers, 0) {
				t.Fatal("the command was not carried out")
			}
			clear(s.cutUntil)
			s.inTransit = nil
			leader.core = nil // what it has not on disk is forgotten
			leader.startAt = s.now + 1
			follower.disk = before
			s.start(follower)
			s.rolledBack = follower.id
			for range 60 {
				s.step()
			}
			if wrong := !follower.failed(); wrong != c.wrong {
				t.Errorf("a store that was put back passes: %v, want %v", wrong, c.wrong)
			}
		})
	}
}

// A leader of a higher term is away; or commits are known to the nodes that the leader comes back to; or there are
// leaders of one term on both sides: each with the guard that is for it, and without.
func TestDivergentHistoryReturns(t *testing.T) {
	for _, c := range []struct {
		name        string
		seed        uint64
		terms       int
		hideCommits bool
		mutations   mutations
		truncations int
		conflict    bool // a node finds a LogConflictError
		violation   bool
	}{
		{"acknowledged entries are truncated", 22, 2, true, mutations{}, 1, false, false},
		{"and the truncated node is not silent", 22, 2, true, mutations{skipTruncationSilence: true}, 1, false, true},
		{"committed entries would be truncated", 9, 2, false, mutations{}, 0, true, false},
		{"and count as acknowledged", 9, 2, false, mutations{skipDigestChecks: true}, 0, false, true},
		{"two leaders of one term", 6, 0, false, mutations{}, 0, true, false},
		{"and no digests are compared", 6, 0, false, mutations{skipDigestChecks: true}, 0, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			cryptotest.SetGlobalRandom(t, c.seed)
			c.mutations.partitionWitnesses = true
			s := newSimulation(c.seed, c.mutations)
			s.runRollbackWhilePartitioned(c.terms, c.hideCommits)
			conflict := slices.ContainsFunc(s.nodes, func(n *simulatedNode) bool {
				return errors.As(n.core.Err(), &LogConflictError{})
			})
			if s.truncations != c.truncations || conflict != c.conflict || (s.violation != nil) != c.violation {
				t.Errorf("%d logs truncated, conflict %v, and %v", s.truncations, conflict, s.violation)
			}
		})
	}
}

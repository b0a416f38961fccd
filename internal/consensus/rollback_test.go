package consensus

import (
	"bytes"
	"errors"
	"slices"
	"testing"
	"testing/cryptotest"

	pb "go.etcd.io/raft/v3/raftpb"
)

// newFaultFreeSimulation runs three nodes without faults until one of them leads and has applied a command.
func newFaultFreeSimulation(t *testing.T, m mutations) (s *simulation, leader, follower, other *simulatedNode) {
	t.Helper()
	cryptotest.SetGlobalRandom(t, 1)
	s = newSimulation(0, m)
	s.faultsDisabled = true
	leader = s.awaitLeader()
	return s, leader, s.nodes[leader.id%3], s.nodes[(leader.id+1)%3]
}

// isAppend reports whether a message contains entries from a leader or answers such a message.
func isAppend(m Message) bool {
	return m.Kind == MessageRaft && (m.Raft.GetType() == pb.MsgApp || m.Raft.GetType() == pb.MsgAppResp)
}

// hasOnDisk reports whether an entry with the command is on the node's disk.
func (n *simulatedNode) hasOnDisk(command []byte) bool {
	return slices.ContainsFunc(n.disk.Entries, func(e *pb.Entry) bool { return bytes.HasSuffix(e.GetData(), command) })
}

// A follower acknowledges an entry, the acknowledgement is delayed, and the follower's store is rolled back. No other
// node has seen the acknowledgement, so all of them confirm the store. When it then arrives at the leader it must be
// ignored, because the leader alone holds the entry.
func TestLateReplyOfFormerIncarnationIsIgnored(t *testing.T) {
	for _, c := range []struct {
		name        string
		mutations   mutations
		wantApplied bool
	}{
		{"late message ignored", mutations{}, false},
		{"guard disabled", mutations{acceptFormerIncarnations: true}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, leader, follower, other := newFaultFreeSimulation(t, c.mutations)
			oldDisk := follower.disk
			command := []byte("12345678")
			if err := leader.core.Propose(1<<40, command); err != nil {
				t.Fatalf("Propose at the leader = %v, want nil", err)
			}
			// Entries reach only the follower, and its messages to the leader are kept back.
			var delayed []Message
			intercept := func(p packet) bool {
				fromFollower := p.message.From == follower.id && p.message.Kind == MessageRaft
				if fromFollower && p.message.To == leader.id {
					delayed = append(delayed, p.message)
				}
				return fromFollower || isAppend(p.message) && p.message.To != follower.id
			}
			deadline := s.now + 500
			for s.now < deadline && (!follower.hasOnDisk(command) || follower.writing != nil) {
				s.runTick()
				s.inTransit = slices.DeleteFunc(s.inTransit, intercept)
			}
			follower.disk = oldDisk
			s.start(follower)
			for s.now < deadline && len(follower.core.Status().UnconfirmedPeers) > 0 {
				s.runTick()
				s.inTransit = slices.DeleteFunc(s.inTransit, func(p packet) bool { return isAppend(p.message) })
			}
			appliedBefore := len(leader.machine.numbers)
			for _, m := range delayed {
				if err := leader.core.Step(m); err != nil {
					t.Fatalf("Step(delayed message of the follower) = %v, want nil", err)
				}
			}
			s.runReady(leader)
			for leader.writing != nil {
				s.now++
				s.runReady(leader)
			}
			if len(delayed) == 0 || follower.hasOnDisk(command) || other.hasOnDisk(command) {
				t.Fatalf("the scenario was not set up: %d delayed messages, want some; command on the disk of the "+
					"follower %v, of the third node %v, want neither", len(delayed), follower.hasOnDisk(command),
					other.hasOnDisk(command))
			}
			if applied := len(leader.machine.numbers) > appliedBefore; applied != c.wantApplied {
				t.Errorf("the leader applied an entry that it alone holds: %v, want %v", applied, c.wantApplied)
			}
		})
	}
}

// Before a leader replies to a command, the store version of the follower whose acknowledgement committed it is on
// the leader's disk. If the follower's store is rolled back while the leader is down, the restarted leader reports
// the newer version, and the follower fails.
func TestWitnessPersistsVersionBeforeReplying(t *testing.T) {
	for _, c := range []struct {
		name         string
		mutations    mutations
		wantAccepted bool // the rolled-back store is not detected
	}{
		{"version persisted first", mutations{}, false},
		{"guard disabled", mutations{deferWitnessWrites: true}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, leader, follower, other := newFaultFreeSimulation(t, c.mutations)
			s.clientsDisabled = true
			s.runTicks(60) // until every node has replicated and applied everything
			for _, n := range []*simulatedNode{leader, follower} {
				s.cutUntil[[2]uint64{n.id, other.id}] = foreverTicks
				s.cutUntil[[2]uint64{other.id, n.id}] = foreverTicks
			}
			oldDisk := follower.disk
			if err := leader.core.Propose(1<<40, zeroCommand); err != nil {
				t.Fatalf("Propose at the leader = %v, want nil", err)
			}
			for deadline := s.now + 500; s.now < deadline && !slices.Contains(leader.machine.numbers, 0); {
				s.runTick()
			}
			if !slices.Contains(leader.machine.numbers, 0) {
				t.Fatal("the leader has not applied the proposed command after 500 ticks")
			}
			clear(s.cutUntil)
			s.inTransit = nil
			leader.core = nil // a crash: whatever is not on disk is lost
			leader.startAt = s.now + 1
			follower.disk = oldDisk
			s.start(follower)
			s.rolledBack = follower.id
			for range 60 {
				s.runTick()
			}
			if accepted := !follower.failed(); accepted != c.wantAccepted {
				t.Errorf("the follower runs on its rolled-back store: %v, want %v", accepted, c.wantAccepted)
			}
		})
	}
}

// After a store was rolled back, nodes with a divergent log reconnect, in three scenarios: the reconnected nodes have a
// leader of a higher term; the other nodes know that their entries are committed; or both sides have a leader of the
// same term. Each runs with the guard against it and without.
func TestDivergentHistoryReturns(t *testing.T) {
	for _, c := range []struct {
		name        string
		seed        uint64
		terms       int  // argument of runRollbackWhilePartitioned
		hideCommits bool // argument of runRollbackWhilePartitioned
		mutations   mutations
		truncations int  // wanted number of truncated logs
		conflict    bool // whether a node must fail with a LogConflictError
		violation   bool // whether the simulation must find a violation
	}{
		{"acknowledged entries are truncated", 22, 2, true, mutations{}, 1, false, false},
		{"truncation without silence", 22, 2, true, mutations{skipTruncationSilence: true}, 1, false, true},
		{"committed entries would be truncated", 9, 2, false, mutations{}, 0, true, false},
		{"committed entries, no digest checks", 9, 2, false, mutations{skipDigestChecks: true}, 0, false, true},
		{"two leaders of the same term", 6, 0, false, mutations{}, 0, true, false},
		{"two leaders of the same term, no digest checks", 6, 0, false, mutations{skipDigestChecks: true}, 0, false, true},
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
				t.Errorf("the simulation had %d truncated logs, log conflict %v, violation \"%v\"; "+
					"want %d truncated logs, log conflict %v, a violation: %v",
					s.truncations, conflict, s.violation, c.truncations, c.conflict, c.violation)
			}
		})
	}
}

package consensus

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

const (
	faultTicks   = 220 // faults are injected until this tick
	silenceTicks = 200 // Config.SilenceTicks of all nodes, and the length of a lease
	// foreverTicks is a tick after the end of every simulation.
	foreverTicks = 1 << 30
	// maxInTransit bounds the messages in transit, since disabled guards can cause message storms.
	maxInTransit = 500
	// maxInbox is the inbox length from which on half of the messages to a node are dropped.
	maxInbox = 200
)

// mutations disable guards, so that the checks must find a violation, or add a fault that the nodes must survive.
// Fields without a comment set the field of Config that has the same name.
type mutations struct {
	sendBeforeSync           bool // messages and replies are sent before the batch is on disk
	skipStoreChecks          bool
	acceptFormerIncarnations bool
	deferWitnessWrites       bool
	skipTruncationSilence    bool
	skipDigestChecks         bool
	restoreOldStore          bool // a fault: a crash may roll back a store
	partitionWitnesses       bool // runs runRollbackWhilePartitioned in place of random faults
}

// config returns the Config of a node with these mutations.
func (m mutations) config(id, nonce uint64) Config {
	return Config{
		Fleet:                    "f",
		Epoch:                    1,
		ID:                       id,
		Nonce:                    nonce,
		SilenceTicks:             silenceTicks,
		CompactionBytes:          200,
		MaxMessageBytes:          300,
		MaxInflightMessages:      4,
		MaxPendingRequests:       8,
		skipStoreChecks:          m.skipStoreChecks,
		acceptFormerIncarnations: m.acceptFormerIncarnations,
		deferWitnessWrites:       m.deferWitnessWrites,
		skipTruncationSilence:    m.skipTruncationSilence,
		skipDigestChecks:         m.skipDigestChecks,
	}
}

// simulatedNode is a server of the simulation. Its times are in ticks.
type simulatedNode struct {
	id            uint64
	core          *Core // nil while the node is down
	machine       *numberList
	comparedCount int // applied commands at the last comparison with the other nodes
	disk          State
	diskCopies    []State // older contents of disk, which a crash may restore
	writing       *Ready  // the round in progress, nil between rounds
	writtenAt     int     // when the batch of writing is on disk
	pausedUntil   int
	outputSent    bool // the messages and replies of writing were sent
	startAt       int  // when a node that is down starts again
	inbox         []Message
	inflight      map[uint64]int // indexes in simulation.operations of those without a reply, by request ID
}

func (n *simulatedNode) isLeader() bool {
	return n.core != nil && n.core.Status().Role == "StateLeader"
}

func (n *simulatedNode) failed() bool { return n.core != nil && n.core.Err() != nil }

// packet is a message in transit.
type packet struct {
	arrivesAt int // tick
	message   Message
}

// simulation runs 3 or 5 nodes in simulated time, with clients, a network, disks and faults. One seed determines all of
// it.
type simulation struct {
	rng             *rand.Rand
	now             int // ticks
	nodes           []*simulatedNode
	inTransit       []packet
	cutUntil        map[[2]uint64]int // tick at which the link is restored, by sender and receiver
	lossRate        float64           // fraction of the messages that is lost
	operations      []*operation
	mutations       mutations
	rolledBack      uint64   // ID of the node whose store was rolled back; 0 is none
	longestApplied  []uint64 // the longest list that a node has applied
	grants          []liveGrant
	hideCommits     bool // messages carry no commit index
	truncations     int  // logs truncated below the acknowledged index, on all nodes
	faultsDisabled  bool
	clientsDisabled bool
	violation       error // the first one; nil is none
}

func newSimulation(seed uint64, m mutations) *simulation {
	s := &simulation{rng: rand.New(rand.NewPCG(seed, 24)), cutUntil: map[[2]uint64]int{}, mutations: m}
	members := []uint64{1, 2, 3}
	if seed%4 == 3 {
		members = append(members, 4, 5)
	}
	for _, id := range members {
		n := &simulatedNode{id: id, disk: bootstrappedState(members, s.rng.Uint64())}
		s.nodes = append(s.nodes, n)
		s.start(n)
	}
	return s
}

// start starts a node with what its disk holds.
func (s *simulation) start(n *simulatedNode) {
	n.disk.Version.Incarnation++ // as storage.Open does, before the node does anything else
	n.disk.Version.Nonce = s.rng.Uint64()
	n.machine = &numberList{}
	n.writing = nil
	n.startAt = 0
	n.inbox = nil
	n.inflight = map[uint64]int{}
	state := n.disk
	state.Entries = slices.Clone(state.Entries)
	var err error
	if n.core, err = New(s.mutations.config(n.id, n.disk.Version.Nonce), state, n.machine); err != nil {
		s.recordViolation("New at the start of node %d returned %v, want a Core", n.id, err)
	}
}

// recordViolation records the first violation; later ones are ignored.
func (s *simulation) recordViolation(format string, args ...any) {
	if s.violation == nil {
		s.violation = fmt.Errorf("at tick %d: %s", s.now, fmt.Sprintf(format, args...))
	}
}

// coreFailed handles an error that a method of Core returned. It is a violation if the core has stopped taking part and
// no injected fault explains that.
func (s *simulation) coreFailed(n *simulatedNode, err error) {
	if errors.As(err, &StoreRolledBackError{}) && n.id == s.rolledBack {
		return
	}
	if errors.As(err, &LogConflictError{}) && s.mutations.partitionWitnesses {
		return
	}
	if n.core.Err() != nil {
		s.recordViolation("node %d stopped taking part without a fault that explains it: %v", n.id, err)
	}
}

// runTick runs one tick of all nodes.
func (s *simulation) runTick() {
	s.now++
	if !s.faultsDisabled {
		s.injectFaults()
	}
	s.deliver()
	for _, n := range s.nodes {
		if n.core == nil {
			if s.now >= n.startAt {
				s.start(n)
			}
			continue
		}
		if n.pausedUntil > s.now {
			continue
		}
		s.handleInbox(n)
		if s.rng.IntN(20) > 0 { // skipped in one of 20 ticks: clocks drift
			if err := n.core.Tick(); err != nil {
				s.coreFailed(n, err)
			}
		}
		s.runClient(n)
		s.runReady(n)
	}
}

// runTicks runs the given number of ticks, but stops at a violation.
func (s *simulation) runTicks(ticks int) {
	for end := s.now + ticks; s.now < end && s.violation == nil; {
		s.runTick()
	}
}

// deliver moves the messages that are due into the inboxes. Those to a node that is down are dropped.
func (s *simulation) deliver() {
	due, later := s.inTransit, s.inTransit[:0]
	for _, p := range due {
		if p.arrivesAt > s.now {
			later = append(later, p)
		} else if n := s.nodes[p.message.To-1]; n.core != nil && (len(n.inbox) < maxInbox || s.rng.IntN(2) == 0) {
			n.inbox = append(n.inbox, p.message)
		}
	}
	s.inTransit = later
}

func (s *simulation) handleInbox(n *simulatedNode) {
	for _, m := range n.inbox {
		if err := n.core.Step(m); err != nil {
			s.coreFailed(n, err)
		}
	}
	n.inbox = n.inbox[:0]
}

// send puts a message in transit and reports whether it was not lost. Some messages are duplicated or delayed.
func (s *simulation) send(m Message) bool {
	if len(s.inTransit) > maxInTransit {
		return false
	}
	if s.cutUntil[[2]uint64{m.From, m.To}] > s.now || s.rng.Float64() < s.lossRate {
		return false
	}
	if s.hideCommits && m.Raft.GetCommit() > 0 {
		m.Raft = proto.Clone(m.Raft).(*pb.Message)
		m.Raft.Commit = new(uint64(0))
	}
	copies := 1
	if s.rng.IntN(30) == 0 {
		copies = 2
	}
	for range copies {
		delay := 1 + s.rng.IntN(3)
		if s.rng.IntN(25) == 0 && !s.faultsDisabled {
			delay += s.rng.IntN(90)
		}
		s.inTransit = append(s.inTransit, packet{s.now + delay, m})
		if copies > 1 && m.Raft != nil {
			m.Raft = proto.Clone(m.Raft).(*pb.Message)
		}
	}
	return true
}

// runReady runs up to 3 rounds of a node: it writes the batch, which takes up to two ticks, and then sends the round's
// messages and replies.
func (s *simulation) runReady(n *simulatedNode) {
	for range 3 {
		if n.writing == nil {
			ready, ok := n.core.Ready()
			if !ok {
				return
			}
			n.writing = ready
			n.writtenAt = s.now + s.rng.IntN(3)
			n.outputSent = false
		}
		if s.mutations.sendBeforeSync && !n.outputSent {
			n.outputSent = true
			s.sendOutbound(n)
		}
		if n.writtenAt > s.now {
			return
		}
		n.persistBatch()
		if !n.outputSent {
			s.sendOutbound(n)
		}
		n.writing = nil
	}
}

func (n *simulatedNode) persistBatch() {
	if !n.writing.Batch.Empty() {
		n.disk = applyBatch(n.disk, n.writing.Batch)
	}
}

// sendOutbound calls Advance for the round in progress, sends its messages and handles its replies.
func (s *simulation) sendOutbound(n *simulatedNode) {
	outbound, err := n.core.Advance(n.writing)
	if err != nil {
		s.coreFailed(n, err)
	}
	for _, m := range outbound.Messages {
		if ok := s.send(m); m.Raft.GetType() == pb.MsgSnap {
			n.core.ReportSnapshot(m.To, ok)
		}
	}
	for _, reply := range outbound.Replies {
		s.handleReply(n, reply)
	}
	if !s.mutations.partitionWitnesses { // with it, commands whose grants have expired may be lost
		s.compareApplied(n)
	}
}

func (s *simulation) handleReply(n *simulatedNode, reply Reply) {
	if reply.Err != nil {
		return
	}
	o := s.operations[n.inflight[reply.RequestID]]
	o.endTick = s.now
	if o.read {
		o.result = uint64(len(n.machine.numbers))
		return
	}
	o.result = binary.BigEndian.Uint64(reply.Data)
	s.recordGrant(liveGrant{s.now, o.callTick + silenceTicks, slices.Clone(n.machine.numbers[:o.result])})
}

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
	faultTicks   = 220 // for which faults are injected
	silenceTicks = 200
	// foreverTicks is later than any simulation ends.
	foreverTicks = 1 << 30
	// maxInTransit bounds the messages under way: where guards are taken out there are storms.
	maxInTransit = 500
	// maxInbox is the length at which messages to a node begin to be dropped.
	maxInbox = 200
)

// mutations take guards out, so that the checks must find a violation, or add a hard fault that they must survive.
type mutations struct {
	sendBeforeSync           bool // messages and replies go out before the batch is on disk
	skipStoreChecks          bool
	acceptFormerIncarnations bool
	deferWitnessWrites       bool
	skipTruncationSilence    bool
	skipDigestChecks         bool
	restoreOldStore          bool // a fault: a store is rolled back
	partitionWitnesses       bool // a fault: the nodes that know a newer store are away for longer than the silence
}

// config is the Config of a node with these mutations.
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

type simulatedNode struct {
	id          uint64
	core        *Core // nil while it is down
	machine     *numberList
	compared    int // commands applied when they were last compared with the other nodes'
	disk        State
	copies      []State // of disk, that may be restored
	writing     *Ready
	writtenAt   int
	pausedUntil int
	sent        bool // what the Ready under way gives has gone out
	startAt     int  // of a node that is down
	inbox       []Message
	inflight    map[uint64]int // operations without a reply, by request ID
}

func (n *simulatedNode) isLeader() bool {
	return n.core != nil && n.core.Status().Role == "StateLeader"
}

func (n *simulatedNode) failed() bool { return n.core != nil && n.core.Err() != nil }

type packet struct {
	arrivesAt int
	message   Message
}

// simulation runs a few nodes in simulated time, with clients, a network, disks and faults that all follow from one
// seed.
type simulation struct {
	rng         *rand.Rand
	now         int // ticks
	nodes       []*simulatedNode
	inTransit   []packet
	cutUntil    map[[2]uint64]int // by the link's two ends
	loss        float64           // the part of the messages that is lost
	operations  []*operation
	mutations   mutations
	rolledBack  uint64   // the node whose store was rolled back
	longest     []uint64 // the longest list that a node has applied
	grants      []liveGrant
	hideCommits bool // nobody hears what is committed
	truncations int  // of logs, below what was acknowledged
	calm        bool // no faults
	idle        bool // no clients
	violation   error
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

// start starts a node on its disk.
func (s *simulation) start(n *simulatedNode) {
	n.disk.Version.Incarnation++ // on disk before all else
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
		s.fail("start of %d: %v", n.id, err)
	}
}

// fail records the first violation.
func (s *simulation) fail(format string, args ...any) {
	if s.violation == nil {
		s.violation = fmt.Errorf("at %d: %s", s.now, fmt.Sprintf(format, args...))
	}
}

// coreFailed takes an error of a core. It is a violation if the core stops taking part without a fault that
// calls for it.
func (s *simulation) coreFailed(n *simulatedNode, err error) {
	if errors.As(err, &StoreRolledBackError{}) && n.id == s.rolledBack {
		return
	}
	if errors.As(err, &LogConflictError{}) && s.mutations.partitionWitnesses {
		return
	}
	if n.core.Err() != nil {
		s.fail("%d: %v", n.id, err)
	}
}

// step runs one tick of all nodes.
func (s *simulation) step() {
	s.now++
	if !s.calm {
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
		if s.rng.IntN(20) > 0 { // clocks drift
			if err := n.core.Tick(); err != nil {
				s.coreFailed(n, err)
			}
		}
		s.runClient(n)
		s.runReady(n)
	}
}

// steps runs so many ticks, or until there is a violation.
func (s *simulation) steps(ticks int) {
	for end := s.now + ticks; s.now < end && s.violation == nil; {
		s.step()
	}
}

// deliver moves the messages that have arrived into the inboxes.
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

// send reports whether a message goes on its way. Some go twice, and some late.
func (s *simulation) send(m Message) bool {
	if len(s.inTransit) > maxInTransit {
		return false
	}
	if s.cutUntil[[2]uint64{m.From, m.To}] > s.now || s.rng.Float64() < s.loss {
		return false
	}
	if s.hideCommits && m.Raft.GetCommit() > 0 {
		m.Raft = proto.Clone(m.Raft).(*pb.Message)
		m.Raft.Commit = new(uint64(0))
	}
	times := 1
	if s.rng.IntN(30) == 0 {
		times = 2
	}
	for range times {
		delay := 1 + s.rng.IntN(3)
		if s.rng.IntN(25) == 0 && !s.calm {
			delay += s.rng.IntN(90)
		}
		s.inTransit = append(s.inTransit, packet{s.now + delay, m})
		if times > 1 && m.Raft != nil {
			m.Raft = proto.Clone(m.Raft).(*pb.Message)
		}
	}
	return true
}

// runReady writes what a node has ready, which takes up to two ticks, and sends what comes of it.
func (s *simulation) runReady(n *simulatedNode) {
	for range 3 {
		if n.writing == nil {
			ready, ok := n.core.Ready()
			if !ok {
				return
			}
			n.writing = ready
			n.writtenAt = s.now + s.rng.IntN(3)
			n.sent = false
		}
		if s.mutations.sendBeforeSync && !n.sent {
			n.sent = true
			s.sendOutbound(n)
		}
		if n.writtenAt > s.now {
			return
		}
		n.persistBatch()
		if !n.sent {
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

// sendOutbound advances a node's round, sends its messages and takes its replies.
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
	if !s.mutations.partitionWitnesses { // else what is no longer granted may be lost
		s.compareApplied(n)
	}
}

func (s *simulation) handleReply(n *simulatedNode, reply Reply) {
	if reply.Err != nil {
		return
	}
	o := s.operations[n.inflight[reply.RequestID]]
	o.end = s.now
	if o.read {
		o.result = uint64(len(n.machine.numbers))
		return
	}
	o.result = binary.BigEndian.Uint64(reply.Data)
	s.recordGrant(liveGrant{s.now, o.call + silenceTicks, slices.Clone(n.machine.numbers[:o.result])})
}

// Package consensus is the log that the stewards of a fleet agree on: commands go in at the steward that leads, and come out at
// each in one order, to a Machine. The agreement itself is that of go.etcd.io/raft (Ongaro, "Consensus: bridging theory and
// practice", 2014; pre-vote is its 9.6, check-quorum its 6.2); this package bounds it, ties it to a Machine and keeps a
// steward out whose store is not the latest.
//
// Core is pure: no I/O, no goroutine, no clock. What goes on disk and what goes to others comes out of it; package store keeps the
// one, package node carries the other.
//
// The election's spread comes from crypto/rand within the library: a run that must repeat itself seeds that (testing/cryptotest).
package consensus

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// Machine is what is replicated. Apply must be deterministic; it is called in the log's order, once for each entry.
type Machine interface {
	Apply(index uint64, command []byte) (reply []byte)
	Snapshot() ([]byte, error)
	Restore(snapshot []byte) error
}

// Config of a Core. What is 0 takes the default beside it.
type Config struct {
	Fleet string // of which it is
	Epoch uint64 // of the fleet's founding
	ID    uint64 // of this steward, above 0
	Nonce uint64 // of this start: drawn anew by chance for each

	ElectionTicks       int // without word of a leader before an election; 10
	HeartbeatTicks      int // between a leader's beats; 1
	SilenceTicks        int // after the start for which it waits for all others to confirm its store, and after a cut in any case; 0 is for ever
	MaxCommandBytes     int // bytes of a command; 64 KiB
	MaxMessageBytes     int // bytes of entries in a message; 256 KiB. One entry always goes
	MaxInflightMessages int // messages on the way to a peer; 64
	MaxPendingRequests  int // commands and reads that wait; 1024
	MaxUncommittedBytes int // bytes of entries that wait for a majority; 4 MiB
	CompactionBytes     int // of entries applied since the last snapshot, before the next; 1 MiB

	skipStoreChecks          bool // tests only: no silence, no look at stamps
	acceptFormerIncarnations bool // tests only: takes messages of former starts
	deferWitnessWrites       bool // tests only: a witness's memory may wait for the next write
	skipTruncationSilence    bool // tests only: no silence after a cut
	skipDigestChecks         bool // tests only: no look at digests
}

func (s *Config) applyDefaults() error {
	def := func(v *int, d int) {
		if *v == 0 {
			*v = d
		}
	}
	def(&s.ElectionTicks, 10)
	def(&s.HeartbeatTicks, 1)
	def(&s.MaxCommandBytes, 64<<10)
	def(&s.MaxMessageBytes, 256<<10)
	def(&s.MaxInflightMessages, 64)
	def(&s.MaxPendingRequests, 1024)
	def(&s.MaxUncommittedBytes, 4<<20)
	def(&s.CompactionBytes, 1<<20)
	var errs []error
	bad := func(wrong bool, format string, args ...any) {
		if wrong {
			errs = append(errs, fmt.Errorf(format, args...))
		}
	}
	bad(s.ID == 0 || s.ID > math.MaxInt64, "id: %d is no steward's number", s.ID)
	bad(s.HeartbeatTicks < 1 || s.ElectionTicks <= s.HeartbeatTicks, "ticks: an election after %d, beats every %d",
		s.ElectionTicks, s.HeartbeatTicks)
	bad(s.SilenceTicks < 0, "silence: %d ticks", s.SilenceTicks)
	bad(min(s.MaxCommandBytes, s.MaxMessageBytes, s.MaxInflightMessages, s.MaxPendingRequests, s.MaxUncommittedBytes, s.CompactionBytes) < 0, "a limit is negative")
	return errors.Join(errs...)
}

// StoreVersion is how far a steward's store has come. Each message bears its sender's; who gets it remembers it on disk before anything
// that rests on the message goes out.
type StoreVersion struct {
	StoreID     uint64 `cbor:"Store"` // drawn by chance when the store was made
	Incarnation uint64 `cbor:"Start"` // how often a process has begun on it
	Nonce       uint64 `cbor:"Nonce"` // drawn by chance at that start
	WriteSeq    uint64 `cbor:"Seq"`   // writes of entries, votes and terms that are on disk
}

// isBehind tells whether a store that is at s lacks what known shows that it once held.
func (s StoreVersion) isBehind(known StoreVersion) bool {
	switch {
	case known == StoreVersion{}:
		return false
	case s.StoreID != known.StoreID, s.Incarnation < known.Incarnation, s.WriteSeq < known.WriteSeq:
		return true
	}
	// Two starts of one number: the count was put back in between.
	return s.Incarnation == known.Incarnation && s.Nonce != known.Nonce
}

// MessageKind of a message.
type MessageKind uint8

// The kinds. A claim asks what the receiver remembers of the sender; an answer says it. A difference says that the receiver has
// acknowledged an entry that is not the leader's.
const (
	MessageRaft MessageKind = iota + 1
	MessageVersionQuery
	MessageVersionReply
	MessageDigestMismatch
)

// Message goes from steward to steward. It may be lost, late, repeated and out of order.
type Message struct {
	Fleet               string
	Epoch               uint64
	From, To            uint64
	SenderVersion       StoreVersion
	Kind                MessageKind
	Raft                *pb.Message  // of KindRaft
	KnownVersion        StoreVersion // of KindAnswer: what the sender remembers of the receiver
	QueryNonce          uint64       // of KindAnswer: the nonce of the claim that it answers
	DigestIndex, Digest uint64       // an entry that the message rests on, and the sender's digest over the log up to it
}

// State is what a store holds.
type State struct {
	Version           StoreVersion
	HardState         *pb.HardState
	Snapshot          *pb.Snapshot // the log's begin; with the members as of then
	Entries           []*pb.Entry  // after the snapshot
	PeerVersions      map[uint64]StoreVersion
	TruncationSilence bool   // the silence after a cut is not over
	AcknowledgedIndex uint64 // up to here the steward has confirmed the log, at least
}

// Batch is what must be on disk, whole or not at all, before anything else of an Output.
type Batch struct {
	WriteSeq          uint64
	HardState         *pb.HardState // nil is as before
	Snapshot          *pb.Snapshot  // nil is as before; entries up to its index go, and all of them if Reset
	ReplaceLog        bool          // the snapshot came from another steward: nothing of the old log stays
	Entries           []*pb.Entry   // what is there of their index or a higher one goes
	PeerVersions      map[uint64]StoreVersion
	TruncationSilence *bool  // nil is as before
	AcknowledgedIndex uint64 // 0 is as before
	Sync              bool   // it must outlive a power failure before the Output goes on
}

// Empty tells whether there is nothing to write.
func (b *Batch) Empty() bool {
	return b.HardState == nil && b.Snapshot == nil && len(b.Entries) == 0 && len(b.PeerVersions) == 0 && b.TruncationSilence == nil && b.AcknowledgedIndex == 0
}

// Reply is how a command or a read that waited has ended.
type Reply struct {
	RequestID uint64
	Index     uint64 // of the entry
	Data      []byte // of Machine.Apply
	Err       error
}

// Ready is one round: write the batch, then call Done, which gives what may go out.
type Ready struct {
	Batch     Batch
	raftReady *raft.Ready
	messages  []Message
}

// Outbound are what goes out once an Output's batch is on disk.
type Outbound struct {
	Messages []Message
	Replies  []Reply
}

// Status of a steward.
type Status struct {
	ID, Leader, Term, Commit, Applied, FirstIndex, LastIndex uint64
	Role                                                     string
	UnconfirmedPeers                                         []uint64          // who has not confirmed the store, while it keeps silent
	TruncationSilence                                        bool              // it keeps silent since its log was cut
	Truncations                                              int               // times that it was, since the start
	Match                                                    map[uint64]uint64 // at the leader: what each is known to hold
	ActiveVoters                                             int               // at the leader: voters that answered within an election's time, itself included
	Voters, Learners                                         []uint64
	PendingRequests                                          int
	Err                                                      error // why it takes no part any more
}

// Core is one steward's part in the log. One caller at a time.
type Core struct {
	config    Config
	machine   Machine
	raft      *raft.RawNode
	storage   *raft.MemoryStorage
	confState *pb.ConfState

	version      StoreVersion
	peerVersions map[uint64]StoreVersion
	dirtyPeers   map[uint64]bool // peers whose stamp is not on disk
	syncNeeded   bool            // one of them must be before the next effects
	outbox       []Message       // claims and answers that wait for the next Output

	silent       bool
	confirmedBy  map[uint64]bool
	elapsedTicks int

	digests                  digestChain // of the log as of the last round
	commitIndex              uint64      // committed, as of the last round
	acknowledgedIndex        uint64      // up to here it has confirmed: acknowledged to a leader, or knows as committed
	savedAcknowledgedIndex   uint64      // of sure, on disk
	truncationSilence        bool        // its log was cut below that: it is silent until
	silenceEnd               int         // this tick
	truncations              int
	unsavedTruncationSilence *bool // of cut, not on disk yet

	appliedIndex       uint64
	bytesSinceSnapshot int    // applied since the last snapshot
	snapshotIndex      uint64 // the last snapshot's index
	unsavedSnapshot    *pb.Snapshot
	pendingRequests    map[uint64]bool
	readsByIndex       map[uint64][]uint64 // by index that must be applied
	unindexedReads     map[uint64]bool     // reads whose index is not known yet
	replies            []Reply
	readyOutstanding   bool // an Output is out
	failure            error
}

// New makes a Core of what a store holds. The store must already hold the start's stamp.
func New(set Config, state State, m Machine) (c *Core, err error) {
	if err := set.applyDefaults(); err != nil {
		return nil, fmt.Errorf("consensus: %w", err)
	}
	c = &Core{
		config: set, machine: m, storage: raft.NewMemoryStorage(), version: state.Version, peerVersions: map[uint64]StoreVersion{}, dirtyPeers: map[uint64]bool{},
		confirmedBy: map[uint64]bool{}, pendingRequests: map[uint64]bool{}, readsByIndex: map[uint64][]uint64{}, unindexedReads: map[uint64]bool{},
	}
	defer c.recoverPanic(&err)
	c.version.Nonce = set.Nonce
	maps.Copy(c.peerVersions, state.PeerVersions)
	c.digests = newDigestChain(0, 0, 0, nil)
	if snap := state.Snapshot; !raft.IsEmptySnap(snap) {
		if err := c.storage.ApplySnapshot(snap); err != nil {
			return nil, err
		}
		c.confState = snap.GetMetadata().GetConfState()
		c.appliedIndex = snap.GetMetadata().GetIndex()
		c.snapshotIndex = c.appliedIndex
		var data []byte
		if c.digests, data, err = decodeSnapshot(snap); err != nil {
			return nil, err
		}
		if len(snap.GetData()) > 0 {
			if err := m.Restore(data); err != nil {
				return nil, fmt.Errorf("consensus: restoring the snapshot of entry %d: %w", c.appliedIndex, err)
			}
		}
	}
	if err := c.storage.Append(state.Entries); err != nil {
		return nil, err
	}
	c.digests.replaceFrom(state.Entries)
	c.acknowledgedIndex = max(state.AcknowledgedIndex, state.HardState.GetCommit())
	if state.HardState != nil {
		if err := c.storage.SetHardState(state.HardState); err != nil {
			return nil, err
		}
	}
	c.raft, err = raft.NewRawNode(&raft.Config{
		ID: set.ID, ElectionTick: set.ElectionTicks, HeartbeatTick: set.HeartbeatTicks, Storage: c.storage, Applied: c.appliedIndex,
		MaxSizePerMsg: uint64(set.MaxMessageBytes), MaxInflightMsgs: set.MaxInflightMessages, MaxUncommittedEntriesSize: uint64(set.MaxUncommittedBytes),
		CheckQuorum: true, PreVote: true, ReadOnlyOption: raft.ReadOnlySafe, DisableProposalForwarding: true, StepDownOnRemoval: true,
		Logger: discardLogger{},
	})
	if err != nil {
		return nil, err
	}
	c.silent = !set.skipStoreChecks
	if c.truncationSilence = state.TruncationSilence && !set.skipStoreChecks && !set.skipTruncationSilence; c.truncationSilence {
		c.silenceEnd = set.SilenceTicks
	}
	if c.silent {
		c.queryVersions()
		c.endSilenceIfDue()
	}
	return c, nil
}

// recoverPanic turns a panic of the library, which finds that the log can't be true, into an error that stays.
func (c *Core) recoverPanic(err *error) {
	if r := recover(); r != nil {
		c.failWith(LogConflictError{fmt.Sprint(r)})
		*err = c.failure
	}
}

func (c *Core) failWith(err error) {
	if c.failure != nil {
		return
	}
	c.failure = err
	for _, id := range slices.Sorted(maps.Keys(c.pendingRequests)) {
		c.completeRequest(Reply{RequestID: id, Err: err})
	}
}

// Fail puts the steward out, as its store does that can't be written.
func (c *Core) Fail(err error) { c.failWith(err) }

// Err is why the steward takes no part any more; nil is that it does.
func (c *Core) Err() error { return c.failure }

// otherVoters are the voters besides itself.
func (c *Core) otherVoters() []uint64 {
	ids := c.raft.Status().Config.Voters.IDs()
	delete(ids, c.config.ID)
	return slices.Sorted(maps.Keys(ids))
}

func (c *Core) unconfirmedPeers() []uint64 {
	return slices.DeleteFunc(c.otherVoters(), func(id uint64) bool { return c.confirmedBy[id] })
}

// endSilenceIfDue ends the silence if it may end.
func (c *Core) endSilenceIfDue() {
	if c.truncationSilence {
		// That others confirm the store says nothing here.
		if c.config.SilenceTicks == 0 || c.elapsedTicks < c.silenceEnd {
			return
		}
		c.truncationSilence, c.unsavedTruncationSilence = false, new(false)
	}
	if c.silent && (len(c.unconfirmedPeers()) == 0 || c.config.SilenceTicks > 0 && c.elapsedTicks >= c.config.SilenceTicks) {
		c.silent = false
	}
}

// queryVersions asks all that have not confirmed what they remember.
func (c *Core) queryVersions() {
	for _, id := range c.unconfirmedPeers() {
		c.send(Message{To: id, Kind: MessageVersionQuery})
	}
}

func (c *Core) send(m Message) {
	m.Fleet, m.Epoch, m.From = c.config.Fleet, c.config.Epoch, c.config.ID
	c.outbox = append(c.outbox, m)
}

// Tick is that a tick of time has gone by.
func (c *Core) Tick() (err error) {
	if c.failure != nil {
		return c.failure
	}
	defer c.recoverPanic(&err)
	c.elapsedTicks++
	if !c.config.skipStoreChecks && c.elapsedTicks%c.config.ElectionTicks == 0 {
		c.queryVersions() // after the silence too: who comes up late may still prove that the store is old
	}
	if c.silent {
		c.endSilenceIfDue()
	}
	if !c.silent {
		c.raft.Tick()
	}
	return nil
}

// Step takes a message of another steward. An error says why it was dropped; after one that Err gives too the steward is out.
func (c *Core) Step(m Message) (err error) {
	switch {
	case c.failure != nil:
		return c.failure
	case m.Fleet != c.config.Fleet || m.Epoch != c.config.Epoch:
		return FleetMismatchError{m.Fleet, m.Epoch}
	case m.To != c.config.ID || m.From == 0 || m.From == c.config.ID:
		return fmt.Errorf("consensus: a message from %d to %d came to %d", m.From, m.To, c.config.ID)
	}
	defer c.recoverPanic(&err)
	if !c.config.skipStoreChecks && !c.observeVersion(m) {
		return nil
	}
	switch m.Kind {
	case MessageVersionQuery:
		c.send(Message{To: m.From, Kind: MessageVersionReply, KnownVersion: c.peerVersions[m.From], QueryNonce: m.SenderVersion.Nonce})
	case MessageVersionReply:
		// An answer to a former start says nothing of this one.
		if m.QueryNonce != c.version.Nonce {
			return nil
		}
		if c.version.isBehind(m.KnownVersion) {
			c.failWith(StoreRolledBackError{Witness: m.From, Held: c.version, Seen: m.KnownVersion})
			return c.failure
		}
		c.confirmedBy[m.From] = true
		c.endSilenceIfDue()
	case MessageRaft:
		return c.stepRaft(m)
	case MessageDigestMismatch:
		if _, sum, ok := c.digests.lookup(m.DigestIndex); ok && sum != m.Digest && m.DigestIndex <= c.commitIndex && !c.config.skipDigestChecks {
			c.failWith(LogConflictError{fmt.Sprintf("entry %d is committed here, and steward %d leads with another", m.DigestIndex, m.From)})
			return c.failure
		}
	default:
		return fmt.Errorf("consensus: a message of kind %d", m.Kind)
	}
	return nil
}

// maxPeerVersions bounds of how many stewards, those that were replaced included, a store remembers stamps. A member that this one's log does
// not name yet may lead already, so that the members' list is no bound.
const maxPeerVersions = 256

// observeVersion remembers how far the sender's store has come, and tells whether its message counts.
func (c *Core) observeVersion(m Message) bool {
	known, met := c.peerVersions[m.From]
	if !met && len(c.peerVersions) >= maxPeerVersions {
		return false
	}
	same := m.SenderVersion.StoreID == known.StoreID && m.SenderVersion.Incarnation == known.Incarnation && m.SenderVersion.Nonce == known.Nonce
	switch {
	case same || c.config.acceptFormerIncarnations && m.SenderVersion.StoreID == known.StoreID && m.SenderVersion.Incarnation <= known.Incarnation:
		if m.SenderVersion.WriteSeq > known.WriteSeq {
			known.WriteSeq = m.SenderVersion.WriteSeq
			c.peerVersions[m.From], c.dirtyPeers[m.From] = known, true
		}
		// Danger: what rests on an answer must not go out before it is on disk what the sender has promised with it: else both could
		// forget it.
		t := m.Raft.GetType()
		rests := !c.config.deferWitnessWrites && m.Kind == MessageRaft && !m.Raft.GetReject() && (t == pb.MsgAppResp || t == pb.MsgVoteResp)
		c.syncNeeded = c.syncNeeded || rests && c.dirtyPeers[m.From]
		return true
	case m.SenderVersion.isBehind(known):
		// A late message of a former start, or a store that was put back: it counts for nothing, and the sender is told.
		if m.Kind != MessageVersionReply {
			c.send(Message{To: m.From, Kind: MessageVersionReply, KnownVersion: known, QueryNonce: m.SenderVersion.Nonce})
		}
		return false
	default: // a new start; nothing that an older one has sent counts from now on
		c.syncNeeded = true
	}
	c.peerVersions[m.From] = m.SenderVersion
	c.dirtyPeers[m.From] = true
	return true
}

func (c *Core) stepRaft(m Message) error {
	r := m.Raft
	if r == nil || r.GetFrom() != m.From || r.GetTo() != m.To {
		return errors.New("consensus: a message whose cover says otherwise")
	}
	if c.silent {
		return SilentError{c.unconfirmedPeers(), c.truncationSilence}
	}
	switch r.GetType() {
	case pb.MsgVote, pb.MsgPreVote:
		// A store that has never held the fleet's members has no voice.
		if len(c.confState.GetVoters()) == 0 {
			return nil
		}
	case pb.MsgProp, pb.MsgReadIndex, pb.MsgReadIndexResp, pb.MsgTransferLeader:
		return fmt.Errorf("consensus: a %v from another steward", r.GetType())
	}
	if err := c.checkDigests(m); err != nil {
		return err
	}
	if err := c.raft.Step(r); err != nil && !errors.Is(err, raft.ErrStepPeerNotFound) && !errors.Is(err, raft.ErrProposalDropped) {
		return err
	}
	return nil
}

// checkDigests holds what a message says of the sender's log against the log here. The library does not: it takes entries of one index and
// term for the same, and a follower's committed entries for the leader's.
func (c *Core) checkDigests(m Message) error {
	r, st := m.Raft, c.raft.BasicStatus()
	if c.config.skipDigestChecks {
		return nil
	}
	switch r.GetType() {
	case pb.MsgApp, pb.MsgSnap:
		if r.GetTerm() < st.GetTerm() || m.DigestIndex == 0 {
			return nil // of a former leader, or it did not know
		}
		index, term, sum := r.GetIndex(), r.GetLogTerm(), m.Digest
		if r.GetType() == pb.MsgSnap {
			index, term = r.GetSnapshot().GetMetadata().GetIndex(), r.GetSnapshot().GetMetadata().GetTerm()
		}
		for i := 0; ; i++ {
			have, own, ok := c.digests.lookup(index)
			if ok && own != sum && (have == term || index <= c.commitIndex) {
				c.failWith(LogConflictError{fmt.Sprintf("entry %d of term %d is not that of steward %d, of term %d", index, have, m.From, term)})
				return c.failure
			}
			if i == len(r.GetEntries()) {
				return nil
			}
			sum = chainDigest(sum, r.GetEntries()[i])
			index, term = r.GetEntries()[i].GetIndex(), r.GetEntries()[i].GetTerm()
		}
	case pb.MsgHeartbeat:
		// It says that what this steward has acknowledged is committed: perhaps it acknowledged that before its store was put back.
		if _, own, ok := c.digests.lookup(m.DigestIndex); m.DigestIndex > 0 && ok && own != m.Digest && r.GetTerm() >= st.GetTerm() {
			c.failWith(LogConflictError{fmt.Sprintf("entry %d is not the one that steward %d has committed", m.DigestIndex, m.From)})
			return c.failure
		}
	case pb.MsgAppResp:
		if _, own, ok := c.digests.lookup(m.DigestIndex); !r.GetReject() && m.DigestIndex > 0 && ok && own != m.Digest && r.GetTerm() == st.GetTerm() {
			// Danger: it would count as an acknowledgement of an entry that the sender does not hold.
			c.send(Message{To: m.From, Kind: MessageDigestMismatch, DigestIndex: m.DigestIndex, Digest: own})
			return fmt.Errorf("consensus: steward %d has acknowledged another entry %d", m.From, m.DigestIndex)
		}
	}
	return nil
}

// withDigest gives a message to another the digest of what it rests on.
func (c *Core) withDigest(r *pb.Message) Message {
	m := Message{To: r.GetTo(), Kind: MessageRaft, Raft: r}
	index, term := r.GetIndex(), r.GetLogTerm()
	switch r.GetType() {
	case pb.MsgApp:
	case pb.MsgHeartbeat:
		index = r.GetCommit()
		term, _, _ = c.digests.lookup(index)
	case pb.MsgSnap:
		index, term = r.GetSnapshot().GetMetadata().GetIndex(), r.GetSnapshot().GetMetadata().GetTerm()
	case pb.MsgAppResp:
		if r.GetReject() {
			return m
		}
		term, _, _ = c.digests.lookup(index)
	default:
		return m
	}
	if have, sum, ok := c.digests.lookup(index); ok && have == term {
		m.DigestIndex, m.Digest = index, sum
	}
	return m
}

// recordDigests takes what goes on disk into the chain, and tells whether it cuts the log below what this steward has confirmed.
//
// Danger: raft cuts without asking, which is right while stores keep what was confirmed. Once one was put back, a leader may come that
// lacks what was confirmed, and committed with that. Whoever has lost an entry that it has confirmed must not confirm another in its
// place while what was granted by the first is alive. (docs/fleet-budgets-design.md, 7.)
func (c *Core) recordDigests(rd *raft.Ready) (cut bool, err error) {
	_, sum, ok := c.digests.lookup(c.acknowledgedIndex)
	if snap := rd.Snapshot; !raft.IsEmptySnap(snap) {
		next, _, err := decodeSnapshot(snap)
		if err != nil {
			return false, err
		}
		// The leader has no digest any more of so old an entry, if it ever had one.
		cut = !containsLastRun(next.runs, c.digests.runsUpTo(c.acknowledgedIndex))
		c.digests = next
		c.digests.replaceFrom(rd.Entries)
		return cut, nil
	}
	c.digests.replaceFrom(rd.Entries)
	_, now, held := c.digests.lookup(c.acknowledgedIndex)
	return ok && (!held || now != sum), nil
}

// checkAccepting tells whether commands are taken.
func (c *Core) checkAccepting() error {
	if c.failure != nil {
		return c.failure
	}
	if c.silent {
		return SilentError{c.unconfirmedPeers(), c.truncationSilence}
	}
	if st := c.raft.BasicStatus(); st.RaftState != raft.StateLeader {
		return NotLeaderError{st.Lead}
	}
	if len(c.pendingRequests) >= c.config.MaxPendingRequests {
		return QueueFullError{c.config.MaxPendingRequests}
	}
	return nil
}

// Propose takes a command under a number of the caller's that is not in use. A Reply will end it, unless Forget does.
func (c *Core) Propose(id uint64, command []byte) (err error) {
	if err := c.checkAccepting(); err != nil {
		return err
	}
	if len(command) > c.config.MaxCommandBytes {
		return CommandTooLargeError{len(command), c.config.MaxCommandBytes}
	}
	defer c.recoverPanic(&err)
	data := binary.BigEndian.AppendUint64(make([]byte, 0, 16+len(command)), c.version.Nonce)
	data = append(binary.BigEndian.AppendUint64(data, id), command...)
	if err := c.raft.Propose(data); errors.Is(err, raft.ErrProposalDropped) {
		return QueueFullError{len(c.pendingRequests)}
	} else if err != nil {
		return err
	}
	c.pendingRequests[id] = true
	return nil
}

// ReadIndex has a Reply come once this steward has applied all that was committed at any when it was called, and still led then.
func (c *Core) ReadIndex(id uint64) (err error) {
	if err := c.checkAccepting(); err != nil {
		return err
	}
	defer c.recoverPanic(&err)
	c.raft.ReadIndex(binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, c.version.Nonce), id))
	c.pendingRequests[id], c.unindexedReads[id] = true, true
	return nil
}

// Forget drops a number whose caller waits no more. Its command may yet be carried out.
func (c *Core) Forget(id uint64) { delete(c.pendingRequests, id); delete(c.unindexedReads, id) }

// ProposeConfChange proposes another membership: adding a learner, promoting it (add as a voter), removing a member. At the leader only; it is
// seen in Status once it is applied. One at a time.
func (c *Core) ProposeConfChange(kind pb.ConfChangeType, id uint64) (err error) {
	if err := c.checkAccepting(); err != nil {
		return err
	}
	defer c.recoverPanic(&err)
	return c.raft.ProposeConfChange(&pb.ConfChange{Type: kind.Enum(), NodeId: new(id)})
}

// ReportUnreachable is that a message to a peer has not gone out.
func (c *Core) ReportUnreachable(peer uint64) {
	if c.failure == nil {
		c.raft.ReportUnreachable(peer)
	}
}

// ReportSnapshot is how the sending of a snapshot to a peer has ended.
func (c *Core) ReportSnapshot(peer uint64, ok bool) {
	if c.failure != nil {
		return
	}
	status := raft.SnapshotFinish
	if !ok {
		status = raft.SnapshotFailure
	}
	c.raft.ReportSnapshot(peer, status)
}

// Ready gives the next round, if there is one and the one before is done. Other calls may come before Done.
func (c *Core) Ready() (o *Ready, ok bool) {
	if c.readyOutstanding {
		return nil, false
	}
	o = &Ready{}
	var cut bool
	if c.failure == nil {
		var err error
		func() {
			defer c.recoverPanic(&err)
			if c.raft.HasReady() {
				rd := c.raft.Ready()
				o.raftReady = &rd
				if cut, err = c.recordDigests(&rd); err != nil {
					c.failWith(err)
				}
			}
		}()
	}
	if c.failure != nil { // nothing goes on disk any more
		o.raftReady, o.Batch.WriteSeq, c.readyOutstanding = nil, c.version.WriteSeq, len(c.replies) > 0
		return o, c.readyOutstanding
	}
	if o.raftReady == nil && len(c.outbox) == 0 && !c.syncNeeded && c.unsavedSnapshot == nil && len(c.replies) == 0 {
		return nil, false
	}
	b := &o.Batch
	if rd := o.raftReady; rd != nil {
		b.Entries = rd.Entries
		if !raft.IsEmptyHardState(rd.HardState) {
			b.HardState = rd.HardState
		}
		if !raft.IsEmptySnap(rd.Snapshot) {
			b.Snapshot, b.ReplaceLog = rd.Snapshot, true
		}
		b.Sync = rd.MustSync || b.Snapshot != nil
		if b.Sync {
			c.version.WriteSeq++
		}
		c.collectMessages(rd, cut)
	}
	b.TruncationSilence, c.unsavedTruncationSilence = c.unsavedTruncationSilence, nil
	if b.Snapshot == nil && c.unsavedSnapshot != nil {
		b.Snapshot = c.unsavedSnapshot
	}
	c.unsavedSnapshot = nil
	b.Sync = b.Sync || c.syncNeeded
	if b.Sync && c.acknowledgedIndex != c.savedAcknowledgedIndex {
		b.AcknowledgedIndex, c.savedAcknowledgedIndex = c.acknowledgedIndex, c.acknowledgedIndex
	}
	b.WriteSeq = c.version.WriteSeq
	if len(c.dirtyPeers) > 0 && (b.Sync || len(b.Entries) > 0 || b.Snapshot != nil) {
		b.PeerVersions = map[uint64]StoreVersion{}
		for id := range c.dirtyPeers {
			b.PeerVersions[id] = c.peerVersions[id]
		}
		clear(c.dirtyPeers)
	}
	c.syncNeeded = false
	for i := range c.outbox {
		c.outbox[i].SenderVersion = c.version
	}
	o.messages, c.outbox, c.readyOutstanding = c.outbox, nil, true
	return o, true
}

// collectMessages takes raft's messages of a round, unless its log was cut: then the silence begins before any of them is out.
func (c *Core) collectMessages(rd *raft.Ready, cut bool) {
	st := c.raft.BasicStatus()
	if cut {
		c.truncations++
		c.acknowledgedIndex = 0
		if !c.config.skipStoreChecks && !c.config.skipTruncationSilence {
			c.silent, c.truncationSilence, c.silenceEnd, c.unsavedTruncationSilence = true, true, c.elapsedTicks+c.config.SilenceTicks, new(true)
		}
	}
	for _, m := range rd.Messages {
		// What was acknowledged under a former term may have been cut since, before it was ever on disk: it is as if it were lost.
		if m.GetTo() == c.config.ID || c.truncationSilence || m.GetTerm() > 0 && m.GetTerm() < st.GetTerm() {
			continue
		}
		if m.GetType() == pb.MsgAppResp && !m.GetReject() && m.GetIndex() > c.acknowledgedIndex {
			c.acknowledgedIndex, c.syncNeeded = m.GetIndex(), true
		}
		c.send(c.withDigest(m))
	}
	// Danger: that an entry was confirmed must be on disk before another is told so, and what a leader has committed before it is told
	// of. Both mostly go with a flush that is due anyway: of the entries, and of what is remembered of those who acknowledged.
	c.syncNeeded = c.syncNeeded || !c.config.deferWitnessWrites && st.GetCommit() > c.commitIndex && st.RaftState == raft.StateLeader
	c.commitIndex = st.GetCommit()
	c.acknowledgedIndex = max(c.acknowledgedIndex, c.commitIndex)
}

// Advance takes up a round whose batch is on disk: entries that a majority holds are applied. What it gives may go out.
func (c *Core) Advance(o *Ready) (e Outbound, err error) {
	c.readyOutstanding = false
	if rd := o.raftReady; rd != nil && c.failure == nil {
		func() {
			defer c.recoverPanic(&err)
			err = c.applyReady(rd)
		}()
		if err != nil {
			c.failWith(err)
		}
	}
	if c.failure == nil {
		e.Messages = o.messages
	}
	e.Replies, c.replies = c.replies, nil
	return e, err
}

func (c *Core) applyReady(rd *raft.Ready) error {
	if !raft.IsEmptySnap(rd.Snapshot) {
		if err := c.storage.ApplySnapshot(rd.Snapshot); err != nil {
			return err
		}
		_, data, err := decodeSnapshot(rd.Snapshot)
		if err != nil {
			return err
		}
		if err := c.machine.Restore(data); err != nil {
			return fmt.Errorf("consensus: restoring a snapshot that was sent: %w", err)
		}
		c.confState, c.appliedIndex, c.bytesSinceSnapshot = rd.Snapshot.GetMetadata().GetConfState(), rd.Snapshot.GetMetadata().GetIndex(), 0
		c.snapshotIndex = c.appliedIndex
	}
	if err := c.storage.Append(rd.Entries); err != nil {
		return err
	}
	if !raft.IsEmptyHardState(rd.HardState) {
		if err := c.storage.SetHardState(rd.HardState); err != nil {
			return err
		}
	}
	for _, e := range rd.CommittedEntries {
		if err := c.applyEntry(e); err != nil {
			return err
		}
	}
	for _, r := range rd.ReadStates {
		if len(r.RequestCtx) == 16 && binary.BigEndian.Uint64(r.RequestCtx) == c.version.Nonce {
			id := binary.BigEndian.Uint64(r.RequestCtx[8:])
			delete(c.unindexedReads, id)
			c.readsByIndex[r.Index] = append(c.readsByIndex[r.Index], id)
		}
	}
	for _, index := range slices.Sorted(maps.Keys(c.readsByIndex)) {
		if index <= c.appliedIndex {
			for _, id := range c.readsByIndex[index] {
				c.completeRequest(Reply{RequestID: id, Index: index})
			}
			delete(c.readsByIndex, index)
		}
	}
	c.raft.Advance(*rd)
	if rd.SoftState != nil && rd.SoftState.RaftState != raft.StateLeader {
		for _, id := range slices.Sorted(maps.Keys(c.pendingRequests)) {
			c.completeRequest(Reply{RequestID: id, Err: UndecidedError{rd.SoftState.Lead}})
		}
		clear(c.readsByIndex)
	}
	return c.compactIfDue()
}

func (c *Core) completeRequest(r Reply) {
	if c.pendingRequests[r.RequestID] {
		delete(c.pendingRequests, r.RequestID)
		delete(c.unindexedReads, r.RequestID)
		c.replies = append(c.replies, r)
	}
}

func (c *Core) applyEntry(e *pb.Entry) error {
	if e.GetIndex() != c.appliedIndex+1 {
		return LogConflictError{fmt.Sprintf("entry %d follows %d", e.GetIndex(), c.appliedIndex)}
	}
	c.appliedIndex = e.GetIndex()
	c.bytesSinceSnapshot += proto.Size(e)
	data := e.GetData()
	switch {
	case e.GetType() == pb.EntryConfChange:
		var cc pb.ConfChange
		if err := proto.Unmarshal(data, &cc); err != nil {
			return LogConflictError{fmt.Sprintf("entry %d: %v", c.appliedIndex, err)}
		}
		c.confState = c.raft.ApplyConfChange(&cc)
		c.bytesSinceSnapshot = max(c.bytesSinceSnapshot, c.config.CompactionBytes) // a new member takes no snapshot that does not know it
	case e.GetType() != pb.EntryNormal:
		return LogConflictError{fmt.Sprintf("entry %d is of type %v", c.appliedIndex, e.GetType())}
	case len(data) >= 16:
		reply := c.machine.Apply(c.appliedIndex, bytes.Clone(data[16:]))
		if binary.BigEndian.Uint64(data) == c.version.Nonce {
			c.completeRequest(Reply{RequestID: binary.BigEndian.Uint64(data[8:]), Index: c.appliedIndex, Data: reply})
		}
	}
	return nil
}

// compactIfDue takes a snapshot once enough was applied since the last. In memory the entries since the last one stay, for those that lag.
func (c *Core) compactIfDue() error {
	if c.bytesSinceSnapshot < c.config.CompactionBytes {
		return nil
	}
	data, err := c.machine.Snapshot()
	if err != nil {
		return fmt.Errorf("consensus: taking a snapshot: %w", err)
	}
	_, sum, _ := c.digests.lookup(c.appliedIndex)
	if data, err = cbor.Marshal(snapshotEnvelope{Digest: sum, Runs: c.digests.runsUpTo(c.appliedIndex), Data: data}); err != nil {
		return err
	}
	snap, err := c.storage.CreateSnapshot(c.appliedIndex, c.confState, data)
	if err != nil {
		return err
	}
	c.unsavedSnapshot, c.bytesSinceSnapshot = snap, 0
	last := c.snapshotIndex
	c.snapshotIndex = c.appliedIndex
	if first, err := c.storage.FirstIndex(); err != nil || last < first {
		return err
	}
	c.digests.compactTo(last)
	return c.storage.Compact(last)
}

// Status tells how the steward stands.
func (c *Core) Status() Status {
	st := c.raft.Status()
	s := Status{
		ID: c.config.ID, Leader: st.Lead, Term: st.GetTerm(), Commit: st.GetCommit(), Applied: c.appliedIndex, Role: st.RaftState.String(),
		PendingRequests: len(c.pendingRequests), Err: c.failure, ActiveVoters: 1, Voters: slices.Sorted(maps.Keys(st.Config.Voters.IDs())),
		Learners: slices.Sorted(maps.Keys(st.Config.Learners)),
	}
	s.FirstIndex, _ = c.storage.FirstIndex()
	s.LastIndex, _ = c.storage.LastIndex()
	s.TruncationSilence, s.Truncations = c.truncationSilence, c.truncations
	if c.silent {
		s.UnconfirmedPeers, s.Role = c.unconfirmedPeers(), "StateSilent"
	}
	if st.RaftState == raft.StateLeader {
		s.Match = map[uint64]uint64{}
		for id, p := range st.Progress {
			s.Match[id] = p.Match
			if id != c.config.ID && !p.IsLearner && p.RecentActive {
				s.ActiveVoters++
			}
		}
	}
	return s
}

// discardLogger drops the library's log: what matters is in Status and in errors. Its panics stay.
type discardLogger struct{}

func (discardLogger) Debug(...any)            {}
func (discardLogger) Debugf(string, ...any)   {}
func (discardLogger) Error(...any)            {}
func (discardLogger) Errorf(string, ...any)   {}
func (discardLogger) Info(...any)             {}
func (discardLogger) Infof(string, ...any)    {}
func (discardLogger) Warning(...any)          {}
func (discardLogger) Warningf(string, ...any) {}

func (discardLogger) Fatal(v ...any)            { panic(fmt.Sprint(v...)) }
func (discardLogger) Fatalf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }
func (discardLogger) Panic(v ...any)            { panic(fmt.Sprint(v...)) }
func (discardLogger) Panicf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }

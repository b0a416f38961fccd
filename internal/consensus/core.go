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

// Settings of a Core. What is 0 takes the default beside it.
type Settings struct {
	Fleet string // of which it is
	Epoch uint64 // of the fleet's founding
	ID    uint64 // of this steward, above 0
	Nonce uint64 // of this start: drawn anew by chance for each

	ElectionTicks  int // without word of a leader before an election; 10
	HeartbeatTicks int // between a leader's beats; 1
	SilenceTicks   int // after the start for which it waits for all others to confirm its store, and after a cut in any case; 0 is for ever
	MaxCommand     int // bytes of a command; 64 KiB
	MaxMessage     int // bytes of entries in a message; 256 KiB. One entry always goes
	MaxInflight    int // messages on the way to a peer; 64
	MaxWaiting     int // commands and reads that wait; 1024
	MaxUncommitted int // bytes of entries that wait for a majority; 4 MiB
	CompactBytes   int // of entries applied since the last snapshot, before the next; 1 MiB

	unguarded bool // tests only: no silence, no look at stamps
	anyStart  bool // tests only: takes messages of former starts
	lazy      bool // tests only: a witness's memory may wait for the next write
	uncut     bool // tests only: no silence after a cut
	unchained bool // tests only: no look at digests
}

func (s *Settings) fill() error {
	def := func(v *int, d int) {
		if *v == 0 {
			*v = d
		}
	}
	def(&s.ElectionTicks, 10)
	def(&s.HeartbeatTicks, 1)
	def(&s.MaxCommand, 64<<10)
	def(&s.MaxMessage, 256<<10)
	def(&s.MaxInflight, 64)
	def(&s.MaxWaiting, 1024)
	def(&s.MaxUncommitted, 4<<20)
	def(&s.CompactBytes, 1<<20)
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
	bad(min(s.MaxCommand, s.MaxMessage, s.MaxInflight, s.MaxWaiting, s.MaxUncommitted, s.CompactBytes) < 0, "a limit is negative")
	return errors.Join(errs...)
}

// Stamp is how far a steward's store has come. Each message bears its sender's; who gets it remembers it on disk before anything
// that rests on the message goes out.
type Stamp struct {
	Store uint64 `cbor:"Store"` // drawn by chance when the store was made
	Start uint64 `cbor:"Start"` // how often a process has begun on it
	Nonce uint64 `cbor:"Nonce"` // drawn by chance at that start
	Seq   uint64 `cbor:"Seq"`   // writes of entries, votes and terms that are on disk
}

// lacks tells whether a store that is at s lacks what known shows that it once held.
func (s Stamp) lacks(known Stamp) bool {
	switch {
	case known == Stamp{}:
		return false
	case s.Store != known.Store, s.Start < known.Start, s.Seq < known.Seq:
		return true
	}
	// Two starts of one number: the count was put back in between.
	return s.Start == known.Start && s.Nonce != known.Nonce
}

// Kind of a message.
type Kind uint8

// The kinds. A claim asks what the receiver remembers of the sender; an answer says it. A difference says that the receiver has
// acknowledged an entry that is not the leader's.
const (
	KindRaft Kind = iota + 1
	KindClaim
	KindAnswer
	KindDifference
)

// Message goes from steward to steward. It may be lost, late, repeated and out of order.
type Message struct {
	Fleet    string
	Epoch    uint64
	From, To uint64
	Stamp    Stamp
	Kind     Kind
	Raft     *pb.Message // of KindRaft
	Known    Stamp       // of KindAnswer: what the sender remembers of the receiver
	Claim    uint64      // of KindAnswer: the nonce of the claim that it answers
	At, Sum  uint64      // an entry that the message rests on, and the sender's digest over the log up to it
}

// State is what a store holds.
type State struct {
	Stamp    Stamp
	Hard     *pb.HardState
	Snapshot *pb.Snapshot // the log's begin; with the members as of then
	Entries  []*pb.Entry  // after the snapshot
	Peers    map[uint64]Stamp
	Cut      bool   // the silence after a cut is not over
	Sure     uint64 // up to here the steward has confirmed the log, at least
}

// Batch is what must be on disk, whole or not at all, before anything else of an Output.
type Batch struct {
	Seq      uint64
	Hard     *pb.HardState // nil is as before
	Snapshot *pb.Snapshot  // nil is as before; entries up to its index go, and all of them if Reset
	Reset    bool          // the snapshot came from another steward: nothing of the old log stays
	Entries  []*pb.Entry   // what is there of their index or a higher one goes
	Peers    map[uint64]Stamp
	Cut      *bool  // nil is as before
	Sure     uint64 // 0 is as before
	Sync     bool   // it must outlive a power failure before the Output goes on
}

// Empty tells whether there is nothing to write.
func (b *Batch) Empty() bool {
	return b.Hard == nil && b.Snapshot == nil && len(b.Entries) == 0 && len(b.Peers) == 0 && b.Cut == nil && b.Sure == 0
}

// Reply is how a command or a read that waited has ended.
type Reply struct {
	ID    uint64
	Index uint64 // of the entry
	Data  []byte // of Machine.Apply
	Err   error
}

// Output is one round: write the batch, then call Done, which gives what may go out.
type Output struct {
	Batch    Batch
	ready    *raft.Ready
	messages []Message
}

// Effects are what goes out once an Output's batch is on disk.
type Effects struct {
	Messages []Message
	Replies  []Reply
}

// Status of a steward.
type Status struct {
	ID, Leader, Term, Commit, Applied, First, Last uint64
	Role                                           string
	Silent                                         []uint64          // who has not confirmed the store, while it keeps silent
	Cut                                            bool              // it keeps silent since its log was cut
	Cuts                                           int               // times that it was, since the start
	Match                                          map[uint64]uint64 // at the leader: what each is known to hold
	Heard                                          int               // at the leader: voters that answered within an election's time, itself included
	Voters, Learners                               []uint64
	Waiting                                        int
	Err                                            error // why it takes no part any more
}

// Core is one steward's part in the log. One caller at a time.
type Core struct {
	set     Settings
	machine Machine
	raft    *raft.RawNode
	mem     *raft.MemoryStorage
	conf    *pb.ConfState

	stamp   Stamp
	peers   map[uint64]Stamp
	changed map[uint64]bool // peers whose stamp is not on disk
	sync    bool            // one of them must be before the next effects
	out     []Message       // claims and answers that wait for the next Output

	silent    bool
	confirmed map[uint64]bool
	ticks     int

	chain chain  // of the log as of the last round
	known uint64 // committed, as of the last round
	sure  uint64 // up to here it has confirmed: acknowledged to a leader, or knows as committed
	saved uint64 // of sure, on disk
	cut   bool   // its log was cut below that: it is silent until
	until int    // this tick
	cuts  int
	tell  *bool // of cut, not on disk yet

	applied  uint64
	bytes    int    // applied since the last snapshot
	last     uint64 // the last snapshot's index
	snapshot *pb.Snapshot
	waiting  map[uint64]bool
	reads    map[uint64][]uint64 // by index that must be applied
	pending  map[uint64]bool     // reads whose index is not known yet
	replies  []Reply
	busy     bool // an Output is out
	failed   error
}

// New makes a Core of what a store holds. The store must already hold the start's stamp.
func New(set Settings, state State, m Machine) (c *Core, err error) {
	if err := set.fill(); err != nil {
		return nil, fmt.Errorf("consensus: %w", err)
	}
	c = &Core{
		set: set, machine: m, mem: raft.NewMemoryStorage(), stamp: state.Stamp, peers: map[uint64]Stamp{}, changed: map[uint64]bool{},
		confirmed: map[uint64]bool{}, waiting: map[uint64]bool{}, reads: map[uint64][]uint64{}, pending: map[uint64]bool{},
	}
	defer c.guard(&err)
	c.stamp.Nonce = set.Nonce
	maps.Copy(c.peers, state.Peers)
	c.chain = newChain(0, 0, 0, nil)
	if snap := state.Snapshot; !raft.IsEmptySnap(snap) {
		if err := c.mem.ApplySnapshot(snap); err != nil {
			return nil, err
		}
		c.conf = snap.GetMetadata().GetConfState()
		c.applied = snap.GetMetadata().GetIndex()
		c.last = c.applied
		var data []byte
		if c.chain, data, err = uncover(snap); err != nil {
			return nil, err
		}
		if len(snap.GetData()) > 0 {
			if err := m.Restore(data); err != nil {
				return nil, fmt.Errorf("consensus: restoring the snapshot of entry %d: %w", c.applied, err)
			}
		}
	}
	if err := c.mem.Append(state.Entries); err != nil {
		return nil, err
	}
	c.chain.put(state.Entries)
	c.sure = max(state.Sure, state.Hard.GetCommit())
	if state.Hard != nil {
		if err := c.mem.SetHardState(state.Hard); err != nil {
			return nil, err
		}
	}
	c.raft, err = raft.NewRawNode(&raft.Config{
		ID: set.ID, ElectionTick: set.ElectionTicks, HeartbeatTick: set.HeartbeatTicks, Storage: c.mem, Applied: c.applied,
		MaxSizePerMsg: uint64(set.MaxMessage), MaxInflightMsgs: set.MaxInflight, MaxUncommittedEntriesSize: uint64(set.MaxUncommitted),
		CheckQuorum: true, PreVote: true, ReadOnlyOption: raft.ReadOnlySafe, DisableProposalForwarding: true, StepDownOnRemoval: true,
		Logger: quiet{},
	})
	if err != nil {
		return nil, err
	}
	c.silent = !set.unguarded
	if c.cut = state.Cut && !set.unguarded && !set.uncut; c.cut {
		c.until = set.SilenceTicks
	}
	if c.silent {
		c.claim()
		c.speak()
	}
	return c, nil
}

// guard turns a panic of the library, which finds that the log can't be true, into an error that stays.
func (c *Core) guard(err *error) {
	if r := recover(); r != nil {
		c.fail(LogContradicts{fmt.Sprint(r)})
		*err = c.failed
	}
}

func (c *Core) fail(err error) {
	if c.failed != nil {
		return
	}
	c.failed = err
	for _, id := range slices.Sorted(maps.Keys(c.waiting)) {
		c.end(Reply{ID: id, Err: err})
	}
}

// Fail puts the steward out, as its store does that can't be written.
func (c *Core) Fail(err error) { c.fail(err) }

// Err is why the steward takes no part any more; nil is that it does.
func (c *Core) Err() error { return c.failed }

// others are the voters besides itself.
func (c *Core) others() []uint64 {
	ids := c.raft.Status().Config.Voters.IDs()
	delete(ids, c.set.ID)
	return slices.Sorted(maps.Keys(ids))
}

func (c *Core) missing() []uint64 {
	return slices.DeleteFunc(c.others(), func(id uint64) bool { return c.confirmed[id] })
}

// speak ends the silence if it may end.
func (c *Core) speak() {
	if c.cut {
		// That others confirm the store says nothing here.
		if c.set.SilenceTicks == 0 || c.ticks < c.until {
			return
		}
		c.cut, c.tell = false, new(false)
	}
	if c.silent && (len(c.missing()) == 0 || c.set.SilenceTicks > 0 && c.ticks >= c.set.SilenceTicks) {
		c.silent = false
	}
}

// claim asks all that have not confirmed what they remember.
func (c *Core) claim() {
	for _, id := range c.missing() {
		c.send(Message{To: id, Kind: KindClaim})
	}
}

func (c *Core) send(m Message) {
	m.Fleet, m.Epoch, m.From = c.set.Fleet, c.set.Epoch, c.set.ID
	c.out = append(c.out, m)
}

// Tick is that a tick of time has gone by.
func (c *Core) Tick() (err error) {
	if c.failed != nil {
		return c.failed
	}
	defer c.guard(&err)
	c.ticks++
	if !c.set.unguarded && c.ticks%c.set.ElectionTicks == 0 {
		c.claim() // after the silence too: who comes up late may still prove that the store is old
	}
	if c.silent {
		c.speak()
	}
	if !c.silent {
		c.raft.Tick()
	}
	return nil
}

// Step takes a message of another steward. An error says why it was dropped; after one that Err gives too the steward is out.
func (c *Core) Step(m Message) (err error) {
	switch {
	case c.failed != nil:
		return c.failed
	case m.Fleet != c.set.Fleet || m.Epoch != c.set.Epoch:
		return OtherFleet{m.Fleet, m.Epoch}
	case m.To != c.set.ID || m.From == 0 || m.From == c.set.ID:
		return fmt.Errorf("consensus: a message from %d to %d came to %d", m.From, m.To, c.set.ID)
	}
	defer c.guard(&err)
	if !c.set.unguarded && !c.witness(m) {
		return nil
	}
	switch m.Kind {
	case KindClaim:
		c.send(Message{To: m.From, Kind: KindAnswer, Known: c.peers[m.From], Claim: m.Stamp.Nonce})
	case KindAnswer:
		// An answer to a former start says nothing of this one.
		if m.Claim != c.stamp.Nonce {
			return nil
		}
		if c.stamp.lacks(m.Known) {
			c.fail(StoreRolledBack{Witness: m.From, Held: c.stamp, Seen: m.Known})
			return c.failed
		}
		c.confirmed[m.From] = true
		c.speak()
	case KindRaft:
		return c.stepRaft(m)
	case KindDifference:
		if _, sum, ok := c.chain.at(m.At); ok && sum != m.Sum && m.At <= c.known && !c.set.unchained {
			c.fail(LogContradicts{fmt.Sprintf("entry %d is committed here, and steward %d leads with another", m.At, m.From)})
			return c.failed
		}
	default:
		return fmt.Errorf("consensus: a message of kind %d", m.Kind)
	}
	return nil
}

// mostPeers bounds of how many stewards, those that were replaced included, a store remembers stamps. A member that this one's log does
// not name yet may lead already, so that the members' list is no bound.
const mostPeers = 256

// witness remembers how far the sender's store has come, and tells whether its message counts.
func (c *Core) witness(m Message) bool {
	known, met := c.peers[m.From]
	if !met && len(c.peers) >= mostPeers {
		return false
	}
	same := m.Stamp.Store == known.Store && m.Stamp.Start == known.Start && m.Stamp.Nonce == known.Nonce
	switch {
	case same || c.set.anyStart && m.Stamp.Store == known.Store && m.Stamp.Start <= known.Start:
		if m.Stamp.Seq > known.Seq {
			known.Seq = m.Stamp.Seq
			c.peers[m.From], c.changed[m.From] = known, true
		}
		// Danger: what rests on an answer must not go out before it is on disk what the sender has promised with it: else both could
		// forget it.
		t := m.Raft.GetType()
		rests := !c.set.lazy && m.Kind == KindRaft && !m.Raft.GetReject() && (t == pb.MsgAppResp || t == pb.MsgVoteResp)
		c.sync = c.sync || rests && c.changed[m.From]
		return true
	case m.Stamp.lacks(known):
		// A late message of a former start, or a store that was put back: it counts for nothing, and the sender is told.
		if m.Kind != KindAnswer {
			c.send(Message{To: m.From, Kind: KindAnswer, Known: known, Claim: m.Stamp.Nonce})
		}
		return false
	default: // a new start; nothing that an older one has sent counts from now on
		c.sync = true
	}
	c.peers[m.From] = m.Stamp
	c.changed[m.From] = true
	return true
}

func (c *Core) stepRaft(m Message) error {
	r := m.Raft
	if r == nil || r.GetFrom() != m.From || r.GetTo() != m.To {
		return errors.New("consensus: a message whose cover says otherwise")
	}
	if c.silent {
		return Silent{c.missing(), c.cut}
	}
	switch r.GetType() {
	case pb.MsgVote, pb.MsgPreVote:
		// A store that has never held the fleet's members has no voice.
		if len(c.conf.GetVoters()) == 0 {
			return nil
		}
	case pb.MsgProp, pb.MsgReadIndex, pb.MsgReadIndexResp, pb.MsgTransferLeader:
		return fmt.Errorf("consensus: a %v from another steward", r.GetType())
	}
	if err := c.compare(m); err != nil {
		return err
	}
	if err := c.raft.Step(r); err != nil && !errors.Is(err, raft.ErrStepPeerNotFound) && !errors.Is(err, raft.ErrProposalDropped) {
		return err
	}
	return nil
}

// compare holds what a message says of the sender's log against the log here. The library does not: it takes entries of one index and
// term for the same, and a follower's committed entries for the leader's.
func (c *Core) compare(m Message) error {
	r, st := m.Raft, c.raft.BasicStatus()
	if c.set.unchained {
		return nil
	}
	switch r.GetType() {
	case pb.MsgApp, pb.MsgSnap:
		if r.GetTerm() < st.GetTerm() || m.At == 0 {
			return nil // of a former leader, or it did not know
		}
		index, term, sum := r.GetIndex(), r.GetLogTerm(), m.Sum
		if r.GetType() == pb.MsgSnap {
			index, term = r.GetSnapshot().GetMetadata().GetIndex(), r.GetSnapshot().GetMetadata().GetTerm()
		}
		for i := 0; ; i++ {
			have, own, ok := c.chain.at(index)
			if ok && own != sum && (have == term || index <= c.known) {
				c.fail(LogContradicts{fmt.Sprintf("entry %d of term %d is not that of steward %d, of term %d", index, have, m.From, term)})
				return c.failed
			}
			if i == len(r.GetEntries()) {
				return nil
			}
			sum = link(sum, r.GetEntries()[i])
			index, term = r.GetEntries()[i].GetIndex(), r.GetEntries()[i].GetTerm()
		}
	case pb.MsgHeartbeat:
		// It says that what this steward has acknowledged is committed: perhaps it acknowledged that before its store was put back.
		if _, own, ok := c.chain.at(m.At); m.At > 0 && ok && own != m.Sum && r.GetTerm() >= st.GetTerm() {
			c.fail(LogContradicts{fmt.Sprintf("entry %d is not the one that steward %d has committed", m.At, m.From)})
			return c.failed
		}
	case pb.MsgAppResp:
		if _, own, ok := c.chain.at(m.At); !r.GetReject() && m.At > 0 && ok && own != m.Sum && r.GetTerm() == st.GetTerm() {
			// Danger: it would count as an acknowledgement of an entry that the sender does not hold.
			c.send(Message{To: m.From, Kind: KindDifference, At: m.At, Sum: own})
			return fmt.Errorf("consensus: steward %d has acknowledged another entry %d", m.From, m.At)
		}
	}
	return nil
}

// digest gives a message to another the digest of what it rests on.
func (c *Core) digest(r *pb.Message) Message {
	m := Message{To: r.GetTo(), Kind: KindRaft, Raft: r}
	index, term := r.GetIndex(), r.GetLogTerm()
	switch r.GetType() {
	case pb.MsgApp:
	case pb.MsgHeartbeat:
		index = r.GetCommit()
		term, _, _ = c.chain.at(index)
	case pb.MsgSnap:
		index, term = r.GetSnapshot().GetMetadata().GetIndex(), r.GetSnapshot().GetMetadata().GetTerm()
	case pb.MsgAppResp:
		if r.GetReject() {
			return m
		}
		term, _, _ = c.chain.at(index)
	default:
		return m
	}
	if have, sum, ok := c.chain.at(index); ok && have == term {
		m.At, m.Sum = index, sum
	}
	return m
}

// record takes what goes on disk into the chain, and tells whether it cuts the log below what this steward has confirmed.
//
// Danger: raft cuts without asking, which is right while stores keep what was confirmed. Once one was put back, a leader may come that
// lacks what was confirmed, and committed with that. Whoever has lost an entry that it has confirmed must not confirm another in its
// place while what was granted by the first is alive. (docs/fleet-budgets-design.md, 7.)
func (c *Core) record(rd *raft.Ready) (cut bool, err error) {
	_, sum, ok := c.chain.at(c.sure)
	if snap := rd.Snapshot; !raft.IsEmptySnap(snap) {
		next, _, err := uncover(snap)
		if err != nil {
			return false, err
		}
		// The leader has no digest any more of so old an entry, if it ever had one.
		cut = !hold(next.runs, c.chain.runsTo(c.sure))
		c.chain = next
		c.chain.put(rd.Entries)
		return cut, nil
	}
	c.chain.put(rd.Entries)
	_, now, held := c.chain.at(c.sure)
	return ok && (!held || now != sum), nil
}

// ready tells whether commands are taken.
func (c *Core) ready() error {
	if c.failed != nil {
		return c.failed
	}
	if c.silent {
		return Silent{c.missing(), c.cut}
	}
	if st := c.raft.BasicStatus(); st.RaftState != raft.StateLeader {
		return NotLeader{st.Lead}
	}
	if len(c.waiting) >= c.set.MaxWaiting {
		return QueueFull{c.set.MaxWaiting}
	}
	return nil
}

// Propose takes a command under a number of the caller's that is not in use. A Reply will end it, unless Forget does.
func (c *Core) Propose(id uint64, command []byte) (err error) {
	if err := c.ready(); err != nil {
		return err
	}
	if len(command) > c.set.MaxCommand {
		return TooLarge{len(command), c.set.MaxCommand}
	}
	defer c.guard(&err)
	data := binary.BigEndian.AppendUint64(make([]byte, 0, 16+len(command)), c.stamp.Nonce)
	data = append(binary.BigEndian.AppendUint64(data, id), command...)
	if err := c.raft.Propose(data); errors.Is(err, raft.ErrProposalDropped) {
		return QueueFull{len(c.waiting)}
	} else if err != nil {
		return err
	}
	c.waiting[id] = true
	return nil
}

// Read has a Reply come once this steward has applied all that was committed at any when it was called, and still led then.
func (c *Core) Read(id uint64) (err error) {
	if err := c.ready(); err != nil {
		return err
	}
	defer c.guard(&err)
	c.raft.ReadIndex(binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, c.stamp.Nonce), id))
	c.waiting[id], c.pending[id] = true, true
	return nil
}

// Forget drops a number whose caller waits no more. Its command may yet be carried out.
func (c *Core) Forget(id uint64) { delete(c.waiting, id); delete(c.pending, id) }

// Change proposes another membership: adding a learner, promoting it (add as a voter), removing a member. At the leader only; it is
// seen in Status once it is applied. One at a time.
func (c *Core) Change(kind pb.ConfChangeType, id uint64) (err error) {
	if err := c.ready(); err != nil {
		return err
	}
	defer c.guard(&err)
	return c.raft.ProposeConfChange(&pb.ConfChange{Type: kind.Enum(), NodeId: new(id)})
}

// Unreachable is that a message to a peer has not gone out.
func (c *Core) Unreachable(peer uint64) {
	if c.failed == nil {
		c.raft.ReportUnreachable(peer)
	}
}

// SnapshotSent is how the sending of a snapshot to a peer has ended.
func (c *Core) SnapshotSent(peer uint64, ok bool) {
	if c.failed != nil {
		return
	}
	status := raft.SnapshotFinish
	if !ok {
		status = raft.SnapshotFailure
	}
	c.raft.ReportSnapshot(peer, status)
}

// Ready gives the next round, if there is one and the one before is done. Other calls may come before Done.
func (c *Core) Ready() (o *Output, ok bool) {
	if c.busy {
		return nil, false
	}
	o = &Output{}
	var cut bool
	if c.failed == nil {
		var err error
		func() {
			defer c.guard(&err)
			if c.raft.HasReady() {
				rd := c.raft.Ready()
				o.ready = &rd
				if cut, err = c.record(&rd); err != nil {
					c.fail(err)
				}
			}
		}()
	}
	if c.failed != nil { // nothing goes on disk any more
		o.ready, o.Batch.Seq, c.busy = nil, c.stamp.Seq, len(c.replies) > 0
		return o, c.busy
	}
	if o.ready == nil && len(c.out) == 0 && !c.sync && c.snapshot == nil && len(c.replies) == 0 {
		return nil, false
	}
	b := &o.Batch
	if rd := o.ready; rd != nil {
		b.Entries = rd.Entries
		if !raft.IsEmptyHardState(rd.HardState) {
			b.Hard = rd.HardState
		}
		if !raft.IsEmptySnap(rd.Snapshot) {
			b.Snapshot, b.Reset = rd.Snapshot, true
		}
		b.Sync = rd.MustSync || b.Snapshot != nil
		if b.Sync {
			c.stamp.Seq++
		}
		c.outgoing(rd, cut)
	}
	b.Cut, c.tell = c.tell, nil
	if b.Snapshot == nil && c.snapshot != nil {
		b.Snapshot = c.snapshot
	}
	c.snapshot = nil
	b.Sync = b.Sync || c.sync
	if b.Sync && c.sure != c.saved {
		b.Sure, c.saved = c.sure, c.sure
	}
	b.Seq = c.stamp.Seq
	if len(c.changed) > 0 && (b.Sync || len(b.Entries) > 0 || b.Snapshot != nil) {
		b.Peers = map[uint64]Stamp{}
		for id := range c.changed {
			b.Peers[id] = c.peers[id]
		}
		clear(c.changed)
	}
	c.sync = false
	for i := range c.out {
		c.out[i].Stamp = c.stamp
	}
	o.messages, c.out, c.busy = c.out, nil, true
	return o, true
}

// outgoing takes raft's messages of a round, unless its log was cut: then the silence begins before any of them is out.
func (c *Core) outgoing(rd *raft.Ready, cut bool) {
	st := c.raft.BasicStatus()
	if cut {
		c.cuts++
		c.sure = 0
		if !c.set.unguarded && !c.set.uncut {
			c.silent, c.cut, c.until, c.tell = true, true, c.ticks+c.set.SilenceTicks, new(true)
		}
	}
	for _, m := range rd.Messages {
		// What was acknowledged under a former term may have been cut since, before it was ever on disk: it is as if it were lost.
		if m.GetTo() == c.set.ID || c.cut || m.GetTerm() > 0 && m.GetTerm() < st.GetTerm() {
			continue
		}
		if m.GetType() == pb.MsgAppResp && !m.GetReject() && m.GetIndex() > c.sure {
			c.sure, c.sync = m.GetIndex(), true
		}
		c.send(c.digest(m))
	}
	// Danger: that an entry was confirmed must be on disk before another is told so, and what a leader has committed before it is told
	// of. Both mostly go with a flush that is due anyway: of the entries, and of what is remembered of those who acknowledged.
	c.sync = c.sync || !c.set.lazy && st.GetCommit() > c.known && st.RaftState == raft.StateLeader
	c.known = st.GetCommit()
	c.sure = max(c.sure, c.known)
}

// Done takes up a round whose batch is on disk: entries that a majority holds are applied. What it gives may go out.
func (c *Core) Done(o *Output) (e Effects, err error) {
	c.busy = false
	if rd := o.ready; rd != nil && c.failed == nil {
		func() {
			defer c.guard(&err)
			err = c.take(rd)
		}()
		if err != nil {
			c.fail(err)
		}
	}
	if c.failed == nil {
		e.Messages = o.messages
	}
	e.Replies, c.replies = c.replies, nil
	return e, err
}

func (c *Core) take(rd *raft.Ready) error {
	if !raft.IsEmptySnap(rd.Snapshot) {
		if err := c.mem.ApplySnapshot(rd.Snapshot); err != nil {
			return err
		}
		_, data, err := uncover(rd.Snapshot)
		if err != nil {
			return err
		}
		if err := c.machine.Restore(data); err != nil {
			return fmt.Errorf("consensus: restoring a snapshot that was sent: %w", err)
		}
		c.conf, c.applied, c.bytes = rd.Snapshot.GetMetadata().GetConfState(), rd.Snapshot.GetMetadata().GetIndex(), 0
		c.last = c.applied
	}
	if err := c.mem.Append(rd.Entries); err != nil {
		return err
	}
	if !raft.IsEmptyHardState(rd.HardState) {
		if err := c.mem.SetHardState(rd.HardState); err != nil {
			return err
		}
	}
	for _, e := range rd.CommittedEntries {
		if err := c.apply(e); err != nil {
			return err
		}
	}
	for _, r := range rd.ReadStates {
		if len(r.RequestCtx) == 16 && binary.BigEndian.Uint64(r.RequestCtx) == c.stamp.Nonce {
			id := binary.BigEndian.Uint64(r.RequestCtx[8:])
			delete(c.pending, id)
			c.reads[r.Index] = append(c.reads[r.Index], id)
		}
	}
	for _, index := range slices.Sorted(maps.Keys(c.reads)) {
		if index <= c.applied {
			for _, id := range c.reads[index] {
				c.end(Reply{ID: id, Index: index})
			}
			delete(c.reads, index)
		}
	}
	c.raft.Advance(*rd)
	if rd.SoftState != nil && rd.SoftState.RaftState != raft.StateLeader {
		for _, id := range slices.Sorted(maps.Keys(c.waiting)) {
			c.end(Reply{ID: id, Err: Undecided{rd.SoftState.Lead}})
		}
		clear(c.reads)
	}
	return c.compact()
}

func (c *Core) end(r Reply) {
	if c.waiting[r.ID] {
		delete(c.waiting, r.ID)
		delete(c.pending, r.ID)
		c.replies = append(c.replies, r)
	}
}

func (c *Core) apply(e *pb.Entry) error {
	if e.GetIndex() != c.applied+1 {
		return LogContradicts{fmt.Sprintf("entry %d follows %d", e.GetIndex(), c.applied)}
	}
	c.applied = e.GetIndex()
	c.bytes += proto.Size(e)
	data := e.GetData()
	switch {
	case e.GetType() == pb.EntryConfChange:
		var cc pb.ConfChange
		if err := proto.Unmarshal(data, &cc); err != nil {
			return LogContradicts{fmt.Sprintf("entry %d: %v", c.applied, err)}
		}
		c.conf = c.raft.ApplyConfChange(&cc)
		c.bytes = max(c.bytes, c.set.CompactBytes) // a new member takes no snapshot that does not know it
	case e.GetType() != pb.EntryNormal:
		return LogContradicts{fmt.Sprintf("entry %d is of type %v", c.applied, e.GetType())}
	case len(data) >= 16:
		reply := c.machine.Apply(c.applied, bytes.Clone(data[16:]))
		if binary.BigEndian.Uint64(data) == c.stamp.Nonce {
			c.end(Reply{ID: binary.BigEndian.Uint64(data[8:]), Index: c.applied, Data: reply})
		}
	}
	return nil
}

// compact takes a snapshot once enough was applied since the last. In memory the entries since the last one stay, for those that lag.
func (c *Core) compact() error {
	if c.bytes < c.set.CompactBytes {
		return nil
	}
	data, err := c.machine.Snapshot()
	if err != nil {
		return fmt.Errorf("consensus: taking a snapshot: %w", err)
	}
	_, sum, _ := c.chain.at(c.applied)
	if data, err = cbor.Marshal(cover{Sum: sum, Runs: c.chain.runsTo(c.applied), Data: data}); err != nil {
		return err
	}
	snap, err := c.mem.CreateSnapshot(c.applied, c.conf, data)
	if err != nil {
		return err
	}
	c.snapshot, c.bytes = snap, 0
	last := c.last
	c.last = c.applied
	if first, err := c.mem.FirstIndex(); err != nil || last < first {
		return err
	}
	c.chain.compact(last)
	return c.mem.Compact(last)
}

// Status tells how the steward stands.
func (c *Core) Status() Status {
	st := c.raft.Status()
	s := Status{
		ID: c.set.ID, Leader: st.Lead, Term: st.GetTerm(), Commit: st.GetCommit(), Applied: c.applied, Role: st.RaftState.String(),
		Waiting: len(c.waiting), Err: c.failed, Heard: 1, Voters: slices.Sorted(maps.Keys(st.Config.Voters.IDs())),
		Learners: slices.Sorted(maps.Keys(st.Config.Learners)),
	}
	s.First, _ = c.mem.FirstIndex()
	s.Last, _ = c.mem.LastIndex()
	s.Cut, s.Cuts = c.cut, c.cuts
	if c.silent {
		s.Silent, s.Role = c.missing(), "StateSilent"
	}
	if st.RaftState == raft.StateLeader {
		s.Match = map[uint64]uint64{}
		for id, p := range st.Progress {
			s.Match[id] = p.Match
			if id != c.set.ID && !p.IsLearner && p.RecentActive {
				s.Heard++
			}
		}
	}
	return s
}

// quiet drops the library's log: what matters is in Status and in errors. Its panics stay.
type quiet struct{}

func (quiet) Debug(...any)            {}
func (quiet) Debugf(string, ...any)   {}
func (quiet) Error(...any)            {}
func (quiet) Errorf(string, ...any)   {}
func (quiet) Info(...any)             {}
func (quiet) Infof(string, ...any)    {}
func (quiet) Warning(...any)          {}
func (quiet) Warningf(string, ...any) {}

func (quiet) Fatal(v ...any)            { panic(fmt.Sprint(v...)) }
func (quiet) Fatalf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }
func (quiet) Panic(v ...any)            { panic(fmt.Sprint(v...)) }
func (quiet) Panicf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }

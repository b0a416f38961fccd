package consensus

import (
	"encoding/binary"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/cryptotest"
	"time"

	"github.com/anishathalye/porcupine"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// numberList is a Machine: it appends each command's number, and replies with how many there are.
type numberList struct{ all []uint64 }

func (l *numberList) Apply(_ uint64, command []byte) []byte {
	l.all = append(l.all, binary.BigEndian.Uint64(command))
	return binary.BigEndian.AppendUint64(nil, uint64(len(l.all)))
}

func (l *numberList) Snapshot() ([]byte, error) {
	var b []byte
	for _, n := range l.all {
		b = binary.BigEndian.AppendUint64(b, n)
	}
	return b, nil
}

func (l *numberList) Restore(b []byte) error {
	l.all = nil
	for ; len(b) >= 8; b = b[8:] {
		l.all = append(l.all, binary.BigEndian.Uint64(b))
	}
	return nil
}

// bootstrappedState is the store of a member of a new fleet.
func bootstrappedState(members []uint64, store uint64) State {
	return State{Version: StoreVersion{StoreID: store}, HardState: &pb.HardState{Term: new(uint64(1)), Commit: new(uint64(1)), Vote: new(uint64(0))},
		Snapshot: &pb.Snapshot{Metadata: &pb.SnapshotMetadata{ConfState: pb.EnsureConfState(&pb.ConfState{Voters: members}),
			Index: new(uint64(1)), Term: new(uint64(1))}}}
}

// applyBatch is what a store does with a batch; the old state stays as it was.
func applyBatch(s State, b Batch) State {
	s.Version.WriteSeq = b.WriteSeq
	if b.HardState != nil {
		s.HardState = b.HardState
	}
	s.Entries = slices.Clone(s.Entries)
	if b.Snapshot != nil {
		s.Snapshot = b.Snapshot
		s.Entries = slices.DeleteFunc(s.Entries, func(e *pb.Entry) bool { return b.ReplaceLog || e.GetIndex() <= b.Snapshot.GetMetadata().GetIndex() })
	}
	if len(b.Entries) > 0 {
		from := b.Entries[0].GetIndex()
		s.Entries = slices.DeleteFunc(s.Entries, func(e *pb.Entry) bool { return e.GetIndex() >= from })
		s.Entries = append(s.Entries, b.Entries...)
	}
	s.PeerVersions = maps.Clone(s.PeerVersions)
	if s.PeerVersions == nil {
		s.PeerVersions = map[uint64]StoreVersion{}
	}
	maps.Copy(s.PeerVersions, b.PeerVersions)
	if b.TruncationSilence != nil {
		s.TruncationSilence = *b.TruncationSilence
	}
	if b.AcknowledgedIndex > 0 {
		s.AcknowledgedIndex = b.AcknowledgedIndex
	}
	return s
}

// mutations of a world that a check must convict.
type mutations struct {
	sendBeforeSync           bool // what goes out does not wait for the disk
	skipStoreChecks          bool // no silence after a start, no look at stamps
	acceptFormerIncarnations bool // late messages of former starts count
	deferWitnessWrites       bool // what is remembered of others may be forgotten
	restoreOldStore          bool // no flaw of the code: an older store is put back
	skipTruncationSilence    bool // no silence after a cut
	skipDigestChecks         bool // no look at digests
	partitionWitnesses       bool // no flaw of the code: who knows that a store is old is away for longer than the silence
}

type simulatedNode struct {
	id       uint64
	core     *Core
	machine  *numberList
	seen     int // applied when it was last held against the others
	disk     State
	copies   []State
	writing  *Ready
	done     int // when it is on disk
	sent     bool
	pausedTo int
	backAt   int // when it starts again; 0 is that it runs
	inbox    []Message
	inflight map[uint64]int // its ops that wait, by number
	err      error
}

type packet struct {
	at int
	m  Message
}

type operation struct {
	read      bool
	value     uint64
	call, end int // end 0: nobody knows
	result    uint64
}

// liveGrant is an acknowledged command as a grant: it is alive until a lease after it was asked for.
type liveGrant struct {
	from, until int
	history     []uint64 // up to it
}

type simulation struct {
	rng             *rand.Rand
	now             int
	nodes           []*simulatedNode
	inTransit       []packet
	cut             map[[2]uint64]int // until
	loss            float64
	operations      []*operation
	mutations       mutations
	rolledBack      uint64
	longest         []uint64
	grants          []liveGrant
	hadLeader       bool // somebody has
	hideCommits     bool
	leaderlessTicks int // ticks without a leader since then
	truncations     int // of logs, below what was confirmed
	calm            bool
	idle            bool // no clients
	violation       error
}

const (
	faultTicks   = 220 // ticks of faults
	silenceTicks = 200
)

func newSimulation(seed uint64, f mutations) *simulation {
	w := &simulation{rng: rand.New(rand.NewPCG(seed, 24)), cut: map[[2]uint64]int{}, mutations: f}
	n := uint64(3)
	if seed%4 == 3 {
		n = 5
	}
	var ids []uint64
	for id := range n {
		ids = append(ids, id+1)
	}
	for _, id := range ids {
		v := &simulatedNode{id: id, disk: bootstrappedState(ids, w.rng.Uint64())}
		w.nodes = append(w.nodes, v)
		w.start(v)
	}
	return w
}

func (w *simulation) start(v *simulatedNode) {
	v.disk.Version.Incarnation++ // on disk before all else
	v.disk.Version.Nonce = w.rng.Uint64()
	v.machine, v.writing, v.backAt, v.inbox, v.inflight, v.err = &numberList{}, nil, 0, nil, map[uint64]int{}, nil
	set := Config{Fleet: "f", Epoch: 1, ID: v.id, Nonce: v.disk.Version.Nonce, SilenceTicks: silenceTicks, CompactionBytes: 200, MaxMessageBytes: 300,
		MaxInflightMessages: 4, MaxPendingRequests: 8, skipStoreChecks: w.mutations.skipStoreChecks, acceptFormerIncarnations: w.mutations.acceptFormerIncarnations, deferWitnessWrites: w.mutations.deferWitnessWrites,
		skipTruncationSilence: w.mutations.skipTruncationSilence, skipDigestChecks: w.mutations.skipDigestChecks}
	state := v.disk
	state.Entries = slices.Clone(state.Entries)
	if v.core, v.err = New(set, state, v.machine); v.err != nil {
		w.fail("start of %d: %v", v.id, v.err)
	}
}

func (w *simulation) fail(format string, args ...any) {
	if w.violation == nil {
		w.violation = fmt.Errorf("at %d: %s", w.now, fmt.Sprintf(format, args...))
	}
}

// coreFailed takes an error of a core: one that is out by right is out, any other is a conviction.
func (w *simulation) coreFailed(v *simulatedNode, err error) {
	if errors.As(err, &StoreRolledBackError{}) && v.id == w.rolledBack || errors.As(err, &LogConflictError{}) && w.mutations.partitionWitnesses {
		return
	}
	if v.core.Err() != nil {
		w.fail("%d: %v", v.id, err)
	}
}

func (w *simulation) crash(v *simulatedNode) {
	w.truncations += v.core.Status().Truncations
	if v.writing != nil && w.rng.IntN(2) == 0 {
		w.persistBatch(v)
	}
	if w.mutations.restoreOldStore && w.rolledBack == 0 && len(v.copies) > 0 && w.rng.IntN(2) == 0 && w.now > faultTicks/6 {
		w.rolledBack = v.id
		v.disk = v.copies[w.rng.IntN(len(v.copies))]
	}
	v.core, v.writing = nil, nil
	v.backAt = w.now + 3 + w.rng.IntN(30)
}

func (w *simulation) persistBatch(v *simulatedNode) {
	if !v.writing.Batch.Empty() {
		v.disk = applyBatch(v.disk, v.writing.Batch)
	}
}

func (w *simulation) injectFaults() {
	pick := func() *simulatedNode { return w.nodes[w.rng.IntN(len(w.nodes))] }
	up := 0
	for _, v := range w.nodes {
		if v.core != nil && v.core.Err() == nil {
			up++
		}
	}
	span := w.now + 15 + w.rng.IntN(45)
	switch r := w.rng.IntN(600); {
	case r < 6: // crash; at times the whole fleet
		if v := pick(); v.core != nil && (up > len(w.nodes)/2+1 || w.rng.IntN(4) == 0) {
			w.crash(v)
		}
	case r < 10: // a side that is cut off
		side := map[uint64]bool{}
		for range 1 + w.rng.IntN(len(w.nodes)/2) {
			side[pick().id] = true
		}
		for _, a := range w.nodes {
			for _, b := range w.nodes {
				if side[a.id] != side[b.id] {
					w.cut[[2]uint64{a.id, b.id}] = span
				}
			}
		}
	case r < 16: // one way
		w.cut[[2]uint64{pick().id, pick().id}] = span
	case r < 20: // stopped, preferably who leads
		v := pick()
		for _, l := range w.nodes {
			if l.core != nil && l.core.Status().Role == "StateLeader" {
				v = l
			}
		}
		v.pausedTo = span
	case r < 24:
		w.loss = []float64{0, .05, .3}[w.rng.IntN(3)]
	case r < 60: // a copy is made
		if v := pick(); len(v.copies) < 40 {
			v.copies = append(v.copies, v.disk)
		}
	}
}

// send tells whether a message goes on its way.
func (w *simulation) send(m Message) bool {
	if len(w.inTransit) > 500 { // where nothing is guarded there are storms
		return false
	}
	if w.cut[[2]uint64{m.From, m.To}] > w.now || w.rng.Float64() < w.loss {
		return false
	}
	if w.hideCommits && m.Raft.GetCommit() > 0 {
		m.Raft = proto.Clone(m.Raft).(*pb.Message)
		m.Raft.Commit = new(uint64(0))
	}
	times := 1
	if w.rng.IntN(30) == 0 {
		times = 2
	}
	for range times {
		late := 1 + w.rng.IntN(3)
		if w.rng.IntN(25) == 0 && !w.calm {
			late += w.rng.IntN(90)
		}
		w.inTransit = append(w.inTransit, packet{w.now + late, m})
		if times > 1 && m.Raft != nil {
			m.Raft = proto.Clone(m.Raft).(*pb.Message)
		}
	}
	return true
}

func (w *simulation) step() {
	w.now++
	if !w.calm {
		w.injectFaults()
	}
	leads := slices.ContainsFunc(w.nodes, func(v *simulatedNode) bool {
		return v.core != nil && v.core.Err() == nil && v.core.Status().Role == "StateLeader"
	})
	if w.hadLeader = w.hadLeader || leads; w.hadLeader && !leads {
		w.leaderlessTicks++
	}
	due, rest := w.inTransit, w.inTransit[:0]
	for _, p := range due {
		if p.at > w.now {
			rest = append(rest, p)
		} else if v := w.nodes[p.m.To-1]; v.core != nil && (len(v.inbox) < 200 || w.rng.IntN(2) == 0) {
			v.inbox = append(v.inbox, p.m)
		}
	}
	w.inTransit = rest
	for _, v := range w.nodes {
		switch {
		case v.core == nil:
			if w.now >= v.backAt {
				w.start(v)
			}
			continue
		case v.pausedTo > w.now:
			continue
		}
		for _, m := range v.inbox {
			if err := v.core.Step(m); err != nil {
				w.coreFailed(v, err)
			}
		}
		v.inbox = v.inbox[:0]
		if w.rng.IntN(20) > 0 { // clocks drift
			if err := v.core.Tick(); err != nil {
				w.coreFailed(v, err)
			}
		}
		w.runClient(v)
		w.runReady(v)
	}
}

func (w *simulation) runReady(v *simulatedNode) {
	for range 3 {
		if v.writing == nil {
			o, ok := v.core.Ready()
			if !ok {
				return
			}
			v.writing, v.done, v.sent = o, w.now+w.rng.IntN(3), false
		}
		if w.mutations.sendBeforeSync && !v.sent {
			v.sent = true
			w.sendOutbound(v)
		}
		if v.done > w.now {
			return
		}
		w.persistBatch(v)
		if !v.sent {
			w.sendOutbound(v)
		}
		v.writing = nil
	}
}

func (w *simulation) sendOutbound(v *simulatedNode) {
	e, err := v.core.Advance(v.writing)
	if err != nil {
		w.coreFailed(v, err)
	}
	for _, m := range e.Messages {
		if ok := w.send(m); m.Raft.GetType() == pb.MsgSnap {
			v.core.ReportSnapshot(m.To, ok)
		}
	}
	for _, r := range e.Replies {
		o := w.operations[v.inflight[r.RequestID]]
		switch {
		case r.Err != nil:
		case o.read:
			o.end, o.result = w.now, uint64(len(v.machine.all))
		default:
			o.end, o.result = w.now, binary.BigEndian.Uint64(r.Data)
			w.recordGrant(liveGrant{w.now, o.call + silenceTicks, slices.Clone(v.machine.all[:o.result])})
		}
	}
	if w.mutations.partitionWitnesses {
		return // what is over may be lost
	}
	// All must have applied beginnings of one sequence.
	short := min(len(v.machine.all), len(w.longest))
	if applied := len(v.machine.all); applied == v.seen {
		return
	} else if v.seen = applied; !slices.Equal(v.machine.all[:short], w.longest[:short]) {
		w.fail("steward %d has applied %v, another %v", v.id, v.machine.all, w.longest)
	}
	if len(v.machine.all) > len(w.longest) {
		w.longest = slices.Clone(v.machine.all)
	}
}

// recordGrant holds a grant against those that are alive with it: of each two, one must know the other.
func (w *simulation) recordGrant(g liveGrant) {
	for _, o := range w.grants {
		if n := min(len(g.history), len(o.history)); o.until > g.from && o.from < g.until && !slices.Equal(g.history[:n], o.history[:n]) {
			w.fail("of two grants that are alive neither knows the other: %v, %v", o.history, g.history)
		}
	}
	w.grants = append(w.grants, g)
}

func (w *simulation) runClient(v *simulatedNode) {
	if w.idle || w.rng.IntN(8) > 0 {
		return
	}
	id := uint64(len(w.operations) + 1)
	o := &operation{read: w.rng.IntN(3) == 0, value: id, call: w.now}
	var err error
	if o.read {
		err = v.core.ReadIndex(id)
	} else {
		err = v.core.Propose(id, binary.BigEndian.AppendUint64(nil, id))
	}
	if err == nil {
		v.inflight[id] = len(w.operations)
		w.operations = append(w.operations, o)
	}
}

// model is the list, as how many it holds: what an append got says where it belongs.
var model = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		if input.(bool) {
			return output == state, state
		}
		return output == state.(uint64)+1, output
	},
}

// check holds the history against the list: nothing that was acknowledged is lost, and what came after came after.
func (w *simulation) check() {
	at := map[uint64]uint64{}
	for i, n := range w.longest {
		if at[n] > 0 {
			w.fail("command %d was applied twice", n)
		}
		at[n] = uint64(i + 1)
	}
	var history []porcupine.Operation
	for i, o := range w.operations {
		if o.end > 0 && !o.read && at[o.value] != o.result {
			w.fail("command %d was acknowledged as number %d, and is number %d", o.value, o.result, at[o.value])
		}
		h := porcupine.Operation{ClientId: i, Input: o.read, Call: int64(o.call), Output: o.result, Return: int64(o.end)}
		switch {
		case o.end > 0:
		case o.read || at[o.value] == 0:
			continue
		default: // nobody was told, but it was applied
			h.Output, h.Return = at[o.value], int64(w.now+1)
		}
		history = append(history, h)
	}
	if porcupine.CheckOperationsTimeout(model, history, 5*time.Second) != porcupine.Ok {
		w.fail("the history of %d operations is not linearizable", len(history))
	}
}

// runSimulation runs a world: a spell of faults, then all is whole, and commands must come through again.
func runSimulation(t *testing.T, seed uint64, f mutations) *simulation {
	cryptotest.SetGlobalRandom(t, seed)
	w := newSimulation(seed, f)
	if f.partitionWitnesses {
		w.runRollbackWhilePartitioned(w.rng.IntN(4), w.rng.IntN(2) == 0)
		return w
	}
	for w.now < faultTicks && w.violation == nil {
		w.step()
	}
	w.calm, w.loss = true, 0
	clear(w.cut)
	for _, v := range w.nodes {
		v.pausedTo = 0
	}
	begun := len(w.operations)
	settled := func() bool {
		for _, v := range w.nodes {
			if v.core == nil || v.core.Err() == nil && (len(v.core.Status().UnconfirmedPeers) > 0 || len(v.machine.all) < begun/8) {
				return false
			}
		}
		ended := 0
		for _, o := range w.operations[begun:] {
			if o.end > 0 && !o.read {
				ended++
			}
		}
		return ended > 3
	}
	for i := 0; (i%8 > 0 || !settled()) && w.violation == nil; i++ {
		if i > 4*silenceTicks {
			w.fail("nothing comes through though all is whole: %v", w.describeNodes())
		}
		w.step()
	}
	w.check()
	for _, v := range w.nodes {
		if v.core != nil {
			w.truncations += v.core.Status().Truncations
		}
	}
	return w
}

// runRollbackWhilePartitioned has a store put back while those that would know it are away for longer than the silence, with a leader of any term on either
// side. Who finds that all can't be true may go out; two grants that are alive must know each other, and those that are left
// must agree, and go on if they are a majority.
//
// Those that are away come to so many terms more before; and hushed is that nobody hears meanwhile that what it acknowledged is committed.
func (w *simulation) runRollbackWhilePartitioned(terms int, hushed bool) {
	steps := func(n int) {
		for end := w.now + n; w.now < end && w.violation == nil; {
			w.step()
		}
	}
	w.calm = true
	w.leader()
	steps(10)
	order := w.rng.Perm(len(w.nodes)) // one whose store is put back, a minority away, and the rest
	old, away := w.nodes[order[0]], order[1:1+len(w.nodes)/2]
	copied := old.disk
	apart := func(ids []int, until int) { // all others are cut off from those
		for i, a := range w.nodes {
			for j, b := range w.nodes {
				if slices.Contains(ids, i) != slices.Contains(ids, j) {
					w.cut[[2]uint64{a.id, b.id}] = until
				}
			}
		}
	}
	apart(append([]int{order[0]}, away...), 1<<30)
	for range terms { // each lead is one
		steps(40)
		for _, v := range w.nodes {
			if v.core.Status().Role == "StateLeader" {
				v.core.raft.TransferLeader(w.nodes[append(away, order[0])[w.rng.IntN(len(away)+1)]].id)
			}
		}
	}
	steps(50 + w.rng.IntN(30))
	clear(w.cut)
	apart(away, 1<<30)
	for _, i := range away {
		w.nodes[i].pausedTo = 1 << 30
	}
	w.rolledBack, old.disk = old.id, copied
	w.start(old)
	w.hideCommits = hushed
	steps(silenceTicks + 20 + w.rng.IntN(80))
	w.hideCommits = false
	lead := slices.IndexFunc(w.nodes, func(v *simulatedNode) bool {
		return v.core.Status().Role == "StateLeader" && !slices.Contains(away, int(v.id-1))
	})
	for _, i := range away {
		w.nodes[i].pausedTo = 0
		for _, v := range w.nodes {
			for _, link := range [][2]uint64{{v.id, w.nodes[i].id}, {w.nodes[i].id, v.id}} {
				w.cut[link] = 0
			}
		}
	}
	if hushed && lead >= 0 {
		apart([]int{lead}, w.now+silenceTicks/2)
	} else if w.rng.IntN(2) == 0 { // an answer would put it out at once
		apart(order[:1], w.now+w.rng.IntN(silenceTicks))
	}
	steps(silenceTicks / 2)
	clear(w.cut)
	begun, up := len(w.grants), 0
	steps(2*silenceTicks + silenceTicks/2)
	for _, v := range w.nodes {
		if v.core.Err() == nil {
			up++
		}
	}
	var left *simulatedNode
	for _, v := range w.nodes {
		w.truncations += v.core.Status().Truncations
		if v.core.Err() != nil || up <= len(w.nodes)/2 {
			continue // a minority decides nothing
		}
		if left == nil {
			left = v
		}
		if n := min(len(v.machine.all), len(left.machine.all)); !slices.Equal(v.machine.all[:n], left.machine.all[:n]) {
			w.fail("steward %d has applied %v, %d has %v", v.id, v.machine.all, left.id, left.machine.all)
		}
	}
	if up > len(w.nodes)/2 && len(w.grants) < begun+4 {
		w.fail("%d are left, and nothing comes through: %v", up, w.describeNodes())
	}
}

func (w *simulation) describeNodes() string {
	var b strings.Builder
	for _, v := range w.nodes {
		if v.core != nil {
			fmt.Fprintf(&b, "%+v; ", v.core.Status())
		}
	}
	return b.String()
}

// leader steps until one leads and has applied a command.
func (w *simulation) leader() *simulatedNode {
	for w.now < 500 {
		w.step()
		for _, v := range w.nodes {
			if v.core.Status().Role == "StateLeader" && len(v.machine.all) > 0 {
				return v
			}
		}
	}
	panic("no leader")
}

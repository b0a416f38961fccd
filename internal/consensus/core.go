package consensus

import (
	"fmt"
	"maps"
	"slices"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
)

// Machine is the replicated state machine. Core calls it from within New and Advance only.
type Machine interface {
	// Apply carries out a committed command and returns the reply to its proposer. It must be deterministic: every
	// server calls it once for each entry, in the order of the log.
	Apply(index uint64, command []byte) (reply []byte)
	// Snapshot returns the state after the last Apply.
	Snapshot() ([]byte, error)
	// Restore replaces the state by a snapshot.
	Restore(snapshot []byte) error
}

// Core runs one server's part of the Raft protocol. It is not safe for concurrent use, and none of its methods blocks.
type Core struct {
	config    Config
	machine   Machine
	raft      *raft.RawNode
	storage   *raft.MemoryStorage
	confState *pb.ConfState

	version      StoreVersion
	peerVersions map[uint64]StoreVersion
	dirtyPeers   map[uint64]bool // peers whose version in peerVersions is not yet on disk
	syncNeeded   bool            // the next batch must be flushed before its round's messages are sent
	outbox       []Message       // for the next Ready; their SenderVersion is set there

	silent       bool
	confirmedBy  map[uint64]bool // peers that confirmed that they remember no newer version of the store
	elapsedTicks int             // since the start

	truncationSilence        bool // silent because of a truncation, until silenceEnd
	silenceEnd               int  // in elapsedTicks
	truncations              int
	unsavedTruncationSilence *bool // for the next batch

	digests                digestChain // of the log as of the last Ready
	commitIndex            uint64      // as of the last Ready
	acknowledgedIndex      uint64      // the last entry that was acknowledged to a leader, or is known to be committed
	savedAcknowledgedIndex uint64      // acknowledgedIndex as it is on disk

	appliedIndex       uint64
	bytesSinceSnapshot int // of the entries applied since snapshotIndex
	snapshotIndex      uint64
	unsavedSnapshot    *pb.Snapshot // for the next batch

	pendingRequests  map[uint64]bool     // commands and reads without a reply, by request ID
	readsByIndex     map[uint64][]uint64 // reads by the index that must be applied first
	replies          []Reply             // for the next Outbound
	readyOutstanding bool                // Advance must be called before the next Ready
	failure          error
}

// New makes a Core from the contents of a store. The store must already have counted this start, as storage.Open does.
// The error is an invalid Config, an error of Machine.Restore, or a LogConflictError.
func New(config Config, state State, machine Machine) (c *Core, err error) {
	config.applyDefaults()
	if err := config.validate(); err != nil {
		return nil, fmt.Errorf("consensus: %w", err)
	}
	c = &Core{
		config:          config,
		machine:         machine,
		storage:         raft.NewMemoryStorage(),
		version:         state.Version,
		peerVersions:    map[uint64]StoreVersion{},
		dirtyPeers:      map[uint64]bool{},
		confirmedBy:     map[uint64]bool{},
		pendingRequests: map[uint64]bool{},
		readsByIndex:    map[uint64][]uint64{},
	}
	defer c.recoverPanic(&err)
	c.version.Nonce = config.Nonce
	maps.Copy(c.peerVersions, state.PeerVersions)
	if err := c.loadLog(state); err != nil {
		return nil, err
	}
	if c.raft, err = raft.NewRawNode(c.raftConfig()); err != nil {
		return nil, err
	}
	c.beginSilence(state.TruncationSilence)
	return c, nil
}

// loadLog restores the Machine from the snapshot and loads the entries after it.
func (c *Core) loadLog(state State) error {
	c.digests = newDigestChain(0, 0, 0, nil)
	if !raft.IsEmptySnap(state.Snapshot) {
		if err := c.loadSnapshot(state.Snapshot); err != nil {
			return err
		}
	}
	if err := c.storage.Append(state.Entries); err != nil {
		return err
	}
	c.digests.replaceFrom(state.Entries)
	c.acknowledgedIndex = max(state.AcknowledgedIndex, state.HardState.GetCommit())
	if state.HardState == nil {
		return nil
	}
	return c.storage.SetHardState(state.HardState)
}

func (c *Core) loadSnapshot(snapshot *pb.Snapshot) error {
	if err := c.storage.ApplySnapshot(snapshot); err != nil {
		return err
	}
	c.confState = snapshot.GetMetadata().GetConfState()
	c.appliedIndex = snapshot.GetMetadata().GetIndex()
	c.snapshotIndex = c.appliedIndex
	digests, data, err := decodeSnapshot(snapshot)
	if err != nil {
		return err
	}
	c.digests = digests
	if len(snapshot.GetData()) == 0 { // the snapshot of storage.Bootstrap, which has no state
		return nil
	}
	if err := c.machine.Restore(data); err != nil {
		return fmt.Errorf("consensus: restoring the snapshot of entry %d: %w", c.appliedIndex, err)
	}
	return nil
}

func (c *Core) raftConfig() *raft.Config {
	return &raft.Config{
		ID:                        c.config.ID,
		ElectionTick:              c.config.ElectionTicks,
		HeartbeatTick:             c.config.HeartbeatTicks,
		Storage:                   c.storage,
		Applied:                   c.appliedIndex,
		MaxSizePerMsg:             uint64(c.config.MaxMessageBytes),
		MaxInflightMsgs:           c.config.MaxInflightMessages,
		MaxUncommittedEntriesSize: uint64(c.config.MaxUncommittedBytes),
		CheckQuorum:               true,
		PreVote:                   true,
		ReadOnlyOption:            raft.ReadOnlySafe,
		DisableProposalForwarding: true,
		StepDownOnRemoval:         true,
		Logger:                    discardLogger{},
	}
}

// recoverPanic turns a panic into a lasting failure. The Raft library panics when it finds that the log is
// inconsistent.
func (c *Core) recoverPanic(err *error) {
	if r := recover(); r != nil {
		c.Fail(LogConflictError{fmt.Sprint(r)})
		*err = c.failure
	}
}

// Fail makes the server stop taking part for good, for example because its store can't be written. All pending requests
// end with the error. Calls after the first have no effect.
func (c *Core) Fail(err error) {
	if c.failure != nil {
		return
	}
	c.failure = err
	for _, id := range slices.Sorted(maps.Keys(c.pendingRequests)) {
		c.completeRequest(Reply{RequestID: id, Err: err})
	}
}

// Err returns why the server has stopped taking part; nil while it takes part.
func (c *Core) Err() error { return c.failure }

// Tick advances the time by one tick, the unit of election timeouts and heartbeat intervals. The caller calls it at a
// fixed interval. The error is that of Err.
func (c *Core) Tick() (err error) {
	if c.failure != nil {
		return c.failure
	}
	defer c.recoverPanic(&err)
	c.elapsedTicks++
	if !c.config.skipStoreChecks && c.elapsedTicks%c.config.ElectionTicks == 0 {
		// Also after the silence: a peer that starts late may still report that the store was rolled back.
		c.queryVersions()
	}
	if c.silent {
		c.endSilenceIfDue()
	}
	if !c.silent {
		c.raft.Tick()
	}
	return nil
}

// ReportUnreachable reports that a message to a peer was not delivered.
func (c *Core) ReportUnreachable(peer uint64) {
	if c.failure == nil {
		c.raft.ReportUnreachable(peer)
	}
}

// ReportSnapshot reports whether a snapshot was delivered to a peer. It must be called for each message with a
// snapshot, because the Raft library pauses replication to the peer until then.
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

package consensus

import (
	"bytes"
	"fmt"
	"maps"
	"slices"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// Outbound holds the messages and replies that may be sent once a round's Batch is on disk.
type Outbound struct {
	Messages []Message
	Replies  []Reply
}

// Advance ends a round whose Batch is on disk: it applies the committed entries, and returns the messages and replies
// to send. An error is lasting: Err returns it from then on. The replies must be delivered even if there is an error.
func (c *Core) Advance(ready *Ready) (outbound Outbound, err error) {
	c.readyOutstanding = false
	if ready.raftReady != nil && c.failure == nil {
		err = c.applyReady(ready.raftReady)
	}
	if c.failure == nil {
		outbound.Messages = ready.messages
	}
	outbound.Replies = c.replies
	c.replies = nil
	return outbound, err
}

// applyReady applies a round of the Raft library to the log in memory and to the Machine. An error is lasting (see
// Fail).
func (c *Core) applyReady(ready *raft.Ready) (err error) {
	defer func() {
		if err != nil {
			c.Fail(err)
		}
	}()
	defer c.recoverPanic(&err)
	if err := c.storeReady(ready); err != nil {
		return err
	}
	for _, entry := range ready.CommittedEntries {
		if err := c.applyEntry(entry); err != nil {
			return err
		}
	}
	c.completeReads(ready.ReadStates)
	c.raft.Advance(*ready)
	if ready.SoftState != nil && ready.RaftState != raft.StateLeader {
		c.abandonRequests(ready.Lead)
	}
	return c.compactIfDue()
}

// storeReady adds a round's snapshot, entries and hard state to the log in memory.
func (c *Core) storeReady(ready *raft.Ready) error {
	if !raft.IsEmptySnap(ready.Snapshot) {
		if err := c.installSnapshot(ready.Snapshot); err != nil {
			return err
		}
	}
	if err := c.storage.Append(ready.Entries); err != nil {
		return err
	}
	if raft.IsEmptyHardState(ready.HardState) {
		return nil
	}
	return c.storage.SetHardState(ready.HardState)
}

// installSnapshot replaces the log and the Machine's state by a snapshot received from the leader.
func (c *Core) installSnapshot(snapshot *pb.Snapshot) error {
	if err := c.storage.ApplySnapshot(snapshot); err != nil {
		return err
	}
	_, data, err := decodeSnapshot(snapshot)
	if err != nil {
		return err
	}
	if err := c.machine.Restore(data); err != nil {
		return fmt.Errorf("consensus: restoring a snapshot that was sent: %w", err)
	}
	c.confState = snapshot.GetMetadata().GetConfState()
	c.appliedIndex = snapshot.GetMetadata().GetIndex()
	c.snapshotIndex = c.appliedIndex
	c.bytesSinceSnapshot = 0
	return nil
}

func (c *Core) applyEntry(entry *pb.Entry) error {
	if entry.GetIndex() != c.appliedIndex+1 {
		return LogConflictError{fmt.Sprintf("entry %d follows %d", entry.GetIndex(), c.appliedIndex)}
	}
	c.appliedIndex = entry.GetIndex()
	c.bytesSinceSnapshot += proto.Size(entry)
	switch entry.GetType() {
	case pb.EntryConfChange:
		return c.applyConfChange(entry.GetData())
	case pb.EntryNormal:
		c.applyCommand(entry.GetData())
		return nil
	default:
		return LogConflictError{fmt.Sprintf("entry %d is of type %v", c.appliedIndex, entry.GetType())}
	}
}

func (c *Core) applyConfChange(data []byte) error {
	var change pb.ConfChange
	if err := proto.Unmarshal(data, &change); err != nil {
		return LogConflictError{fmt.Sprintf("entry %d: %v", c.appliedIndex, err)}
	}
	c.confState = c.raft.ApplyConfChange(&change)
	// Make a snapshot due: a new member ignores a snapshot whose members do not include it.
	c.bytesSinceSnapshot = max(c.bytesSinceSnapshot, c.config.CompactionBytes)
	return nil
}

// applyCommand applies a command to the Machine, and completes its request if this server has proposed it since its
// start.
func (c *Core) applyCommand(data []byte) {
	nonce, requestID, command, ok := decodeProposal(data)
	if !ok {
		return // a new leader's empty entry
	}
	reply := c.machine.Apply(c.appliedIndex, bytes.Clone(command))
	if nonce == c.version.Nonce {
		c.completeRequest(Reply{RequestID: requestID, Index: c.appliedIndex, Data: reply})
	}
}

// completeReads registers the reads for which the Raft library has a read index, and completes those whose read index
// is applied.
func (c *Core) completeReads(states []raft.ReadState) {
	for _, state := range states {
		nonce, requestID, _, ok := decodeProposal(state.RequestCtx)
		if ok && len(state.RequestCtx) == requestHeaderBytes && nonce == c.version.Nonce {
			c.readsByIndex[state.Index] = append(c.readsByIndex[state.Index], requestID)
		}
	}
	for _, index := range slices.Sorted(maps.Keys(c.readsByIndex)) {
		if index > c.appliedIndex {
			break
		}
		for _, requestID := range c.readsByIndex[index] {
			c.completeRequest(Reply{RequestID: requestID, Index: index})
		}
		delete(c.readsByIndex, index)
	}
}

// abandonRequests completes all pending requests with an UndecidedError, because this server no longer leads and cannot
// learn their outcome.
func (c *Core) abandonRequests(leader uint64) {
	for _, id := range slices.Sorted(maps.Keys(c.pendingRequests)) {
		c.completeRequest(Reply{RequestID: id, Err: UndecidedError{leader}})
	}
	clear(c.readsByIndex)
}

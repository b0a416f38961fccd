package consensus

import (
	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
)

// Ready is one round of output. Its Batch must be on disk before Advance is called with it.
type Ready struct {
	Batch     Batch
	raftReady *raft.Ready // nil if the library had nothing
	messages  []Message
}

// Ready gives the next round, if there is anything to write, send or answer and the round before was advanced. All
// methods but Ready may be called between it and Advance.
func (c *Core) Ready() (*Ready, bool) {
	if c.readyOutstanding {
		return nil, false
	}
	ready := &Ready{}
	truncated := false
	if c.failure == nil {
		ready.raftReady, truncated = c.takeRaftReady()
	}
	if c.failure != nil { // nothing is written any more; pending requests are still answered
		ready.raftReady = nil
		ready.Batch.WriteSeq = c.version.WriteSeq
		c.readyOutstanding = len(c.replies) > 0
		return ready, c.readyOutstanding
	}
	if ready.raftReady == nil && !c.hasOutput() {
		return nil, false
	}
	if ready.raftReady != nil {
		c.addRaftOutput(ready, truncated)
	}
	c.addOwnOutput(ready)
	c.readyOutstanding = true
	return ready, true
}

// hasOutput reports whether there is anything for a round besides what the library has.
func (c *Core) hasOutput() bool {
	return len(c.outbox) > 0 || c.syncNeeded || c.unsavedSnapshot != nil || len(c.replies) > 0
}

// takeRaftReady takes what the library has ready, and reports whether it truncates the log below what was
// acknowledged.
func (c *Core) takeRaftReady() (raftReady *raft.Ready, truncated bool) {
	var err error
	defer c.recoverPanic(&err) // the error is Err's too
	if !c.raft.HasReady() {
		return nil, false
	}
	ready := c.raft.Ready()
	if truncated, err = c.recordDigests(&ready); err != nil {
		c.Fail(err)
	}
	return &ready, truncated
}

// addRaftOutput adds the library's part of a round.
func (c *Core) addRaftOutput(ready *Ready, truncated bool) {
	raftReady := ready.raftReady
	batch := &ready.Batch
	batch.Entries = raftReady.Entries
	if !raft.IsEmptyHardState(raftReady.HardState) {
		batch.HardState = raftReady.HardState
	}
	if !raft.IsEmptySnap(raftReady.Snapshot) {
		batch.Snapshot = raftReady.Snapshot
		batch.ReplaceLog = true
	}
	batch.Sync = raftReady.MustSync || batch.Snapshot != nil
	if batch.Sync {
		c.version.WriteSeq++
	}
	if truncated {
		c.truncations++
		c.acknowledgedIndex = 0 // of the new log nothing is acknowledged yet; observeCommit raises it to what is committed
		c.beginTruncationSilence()
	}
	c.collectMessages(raftReady.Messages)
	c.observeCommit()
}

// collectMessages takes the library's messages, unless a truncation silences the server.
func (c *Core) collectMessages(messages []*pb.Message) {
	term := c.raft.BasicStatus().GetTerm()
	for _, m := range messages {
		// What was acknowledged under a former term may have been truncated before it was ever on disk: such a
		// message is dropped as if the network had lost it.
		ofFormerTerm := m.GetTerm() > 0 && m.GetTerm() < term
		if m.GetTo() == c.config.ID || c.truncationSilence || ofFormerTerm {
			continue
		}
		if m.GetType() == pb.MsgAppResp && !m.GetReject() && m.GetIndex() > c.acknowledgedIndex {
			// That an entry was acknowledged must be on disk before the leader hears so.
			c.acknowledgedIndex = m.GetIndex()
			c.syncNeeded = true
		}
		c.send(c.withDigest(m))
	}
}

// observeCommit takes the commit index of a round.
func (c *Core) observeCommit() {
	status := c.raft.BasicStatus()
	// What a leader has committed must be on disk before anyone is told of it, with the peers' versions that it
	// rests on.
	if status.GetCommit() > c.commitIndex && status.RaftState == raft.StateLeader && !c.config.deferWitnessWrites {
		c.syncNeeded = true
	}
	c.commitIndex = status.GetCommit()
	c.acknowledgedIndex = max(c.acknowledgedIndex, c.commitIndex)
}

// addOwnOutput adds what this package has for a round.
func (c *Core) addOwnOutput(ready *Ready) {
	batch := &ready.Batch
	batch.TruncationSilence = c.unsavedTruncationSilence
	c.unsavedTruncationSilence = nil
	if batch.Snapshot == nil {
		batch.Snapshot = c.unsavedSnapshot
	}
	c.unsavedSnapshot = nil
	batch.Sync = batch.Sync || c.syncNeeded
	c.syncNeeded = false
	if batch.Sync && c.acknowledgedIndex != c.savedAcknowledgedIndex {
		batch.AcknowledgedIndex = c.acknowledgedIndex
		c.savedAcknowledgedIndex = c.acknowledgedIndex
	}
	batch.WriteSeq = c.version.WriteSeq
	if len(c.dirtyPeers) > 0 && (batch.Sync || len(batch.Entries) > 0 || batch.Snapshot != nil) {
		batch.PeerVersions = map[uint64]StoreVersion{}
		for id := range c.dirtyPeers {
			batch.PeerVersions[id] = c.peerVersions[id]
		}
		clear(c.dirtyPeers)
	}
	for i := range c.outbox {
		c.outbox[i].SenderVersion = c.version
	}
	ready.messages = c.outbox
	c.outbox = nil
}

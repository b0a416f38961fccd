package consensus

import (
	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
)

// Ready is one round of output. Its Batch must be on disk before Advance is called with it.
type Ready struct {
	Batch     Batch
	raftReady *raft.Ready // nil if the Raft library had no output
	messages  []Message
}

// Ready returns the next round. It returns false if there is nothing to write, send or answer, or if Advance was not
// yet called for the previous round. All other methods may be called between Ready and Advance.
func (c *Core) Ready() (*Ready, bool) {
	if c.readyOutstanding {
		return nil, false
	}
	ready := &Ready{}
	truncated := false
	if c.failure == nil {
		ready.raftReady, truncated = c.takeRaftReady()
	}
	if c.failure != nil { // nothing more is written, but pending requests still get a reply
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

// hasOutput reports whether there is any output for a round besides that of the Raft library.
func (c *Core) hasOutput() bool {
	return len(c.outbox) > 0 || c.syncNeeded || c.unsavedSnapshot != nil || len(c.replies) > 0
}

// takeRaftReady returns the Raft library's output, nil if there is none, and whether it truncates the log below
// acknowledgedIndex. A failure is reported through Err.
func (c *Core) takeRaftReady() (raftReady *raft.Ready, truncated bool) {
	var err error
	defer c.recoverPanic(&err) // which also sets the error of Err
	if !c.raft.HasReady() {
		return nil, false
	}
	ready := c.raft.Ready()
	if truncated, err = c.recordDigests(&ready); err != nil {
		c.Fail(err)
	}
	return &ready, truncated
}

// addRaftOutput adds the Raft library's output to a round.
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
		c.acknowledgedIndex = 0 // nothing of the new log is acknowledged; observeCommit raises it to the commit index
		c.beginTruncationSilence()
	}
	c.collectMessages(raftReady.Messages)
	c.observeCommit()
}

// collectMessages puts the Raft library's messages into the outbox, or drops them while the server is silent after a
// truncation.
func (c *Core) collectMessages(messages []*pb.Message) {
	term := c.raft.BasicStatus().GetTerm()
	for _, m := range messages {
		// A message of a former term may acknowledge entries that were truncated before they were on disk. It is
		// dropped as if the network had lost it.
		fromFormerTerm := m.GetTerm() > 0 && m.GetTerm() < term
		if m.GetTo() == c.config.ID || c.truncationSilence || fromFormerTerm {
			continue
		}
		if m.GetType() == pb.MsgAppResp && !m.GetReject() && m.GetIndex() > c.acknowledgedIndex {
			// The acknowledged index must be on disk before the leader receives the acknowledgement.
			c.acknowledgedIndex = m.GetIndex()
			c.syncNeeded = true
		}
		c.send(c.withDigest(m))
	}
}

// observeCommit takes the Raft library's commit index into commitIndex and acknowledgedIndex.
func (c *Core) observeCommit() {
	status := c.raft.BasicStatus()
	// A leader must have its new commit index on disk before it sends it, together with the store versions of the
	// peers whose acknowledgements it depends on.
	if status.GetCommit() > c.commitIndex && status.RaftState == raft.StateLeader && !c.config.deferWitnessWrites {
		c.syncNeeded = true
	}
	c.commitIndex = status.GetCommit()
	c.acknowledgedIndex = max(c.acknowledgedIndex, c.commitIndex)
}

// addOwnOutput adds the output of this package to a round: the outbox, snapshots, peers' versions and silence.
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

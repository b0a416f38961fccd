package consensus

import (
	"fmt"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
)

// checkDigests compares the digests in a message with those of the own log. The Raft library has no such check: it
// assumes that entries of equal index and term are the same, and that a follower's committed entries are the leader's.
// An error means that the message must be dropped.
func (c *Core) checkDigests(m Message) error {
	if c.config.skipDigestChecks {
		return nil
	}
	term := c.raft.BasicStatus().GetTerm()
	switch m.Raft.GetType() {
	case pb.MsgApp, pb.MsgSnap:
		if m.Raft.GetTerm() < term || m.DigestIndex == 0 {
			return nil // from a former leader, or from one that did not have the digest
		}
		return c.checkEntries(m)
	case pb.MsgHeartbeat:
		// A heartbeat reports that entries which this server has acknowledged are committed. If its store was rolled
		// back since, it may hold a different entry at that index.
		if m.Raft.GetTerm() >= term && c.differsAt(m) {
			return c.failWithConflict("entry %d is not the one that steward %d has committed", m.DigestIndex, m.From)
		}
	case pb.MsgAppResp:
		// If the digests differ, the leader would count an acknowledgement of an entry that the sender does not hold.
		if m.Raft.GetTerm() == term && !m.Raft.GetReject() && c.differsAt(m) {
			_, own, _ := c.digests.lookup(m.DigestIndex)
			c.send(Message{To: m.From, Kind: MessageDigestMismatch, DigestIndex: m.DigestIndex, Digest: own})
			return fmt.Errorf("consensus: server %d has acknowledged an entry %d that differs from the one of this leader",
				m.From, m.DigestIndex)
		}
	}
	return nil
}

// differsAt reports whether both servers have a digest at the message's DigestIndex, and the two differ.
func (c *Core) differsAt(m Message) bool {
	_, own, ok := c.digests.lookup(m.DigestIndex)
	return m.DigestIndex > 0 && ok && own != m.Digest
}

// checkEntries makes the server fail if an entry of a leader's message, or the entry before its first, differs from the
// own entry at that index and the own one has the same term or is committed.
func (c *Core) checkEntries(m Message) error {
	index, term := precedingEntry(m.Raft)
	digest := m.Digest
	entries := m.Raft.GetEntries()
	for i := 0; ; i++ {
		ownTerm, own, ok := c.digests.lookup(index)
		if ok && own != digest && (ownTerm == term || index <= c.commitIndex) {
			return c.failWithConflict("entry %d of term %d is not that of steward %d, of term %d",
				index, ownTerm, m.From, term)
		}
		if i == len(entries) {
			return nil
		}
		digest = chainDigest(digest, entries[i])
		index = entries[i].GetIndex()
		term = entries[i].GetTerm()
	}
}

// failWithConflict makes the server stop taking part with a LogConflictError, and returns Err.
func (c *Core) failWithConflict(format string, args ...any) error {
	c.Fail(LogConflictError{fmt.Sprintf(format, args...)})
	return c.failure
}

// precedingEntry returns the index and term of the entry before the first one of a leader's message, or of the last one
// in its snapshot.
func precedingEntry(r *pb.Message) (index, term uint64) {
	if r.GetType() == pb.MsgSnap {
		metadata := r.GetSnapshot().GetMetadata()
		return metadata.GetIndex(), metadata.GetTerm()
	}
	return r.GetIndex(), r.GetLogTerm()
}

// handleDigestMismatch handles a leader's report that an entry which this server has acknowledged differs from the
// leader's. That is a log conflict if the entry is committed here.
func (c *Core) handleDigestMismatch(m Message) error {
	_, own, ok := c.digests.lookup(m.DigestIndex)
	if ok && own != m.Digest && m.DigestIndex <= c.commitIndex && !c.config.skipDigestChecks {
		return c.failWithConflict("entry %d is committed here, and steward %d leads with another",
			m.DigestIndex, m.From)
	}
	return nil
}

// withDigest wraps a message of the Raft library and adds the digest at the entry that the message refers to, if the
// chain holds that entry.
func (c *Core) withDigest(r *pb.Message) Message {
	m := Message{To: r.GetTo(), Kind: MessageRaft, Raft: r}
	var index, term uint64
	switch r.GetType() {
	case pb.MsgApp, pb.MsgSnap:
		index, term = precedingEntry(r)
	case pb.MsgHeartbeat:
		index = r.GetCommit()
		term, _, _ = c.digests.lookup(index)
	case pb.MsgAppResp:
		if r.GetReject() {
			return m
		}
		index = r.GetIndex()
		term, _, _ = c.digests.lookup(index)
	default:
		return m
	}
	if ownTerm, digest, ok := c.digests.lookup(index); ok && ownTerm == term {
		m.DigestIndex = index
		m.Digest = digest
	}
	return m
}

// recordDigests adds the entries that are about to be written to the chain, and reports whether they truncate the log
// below the index up to which this server has acknowledged it.
//
// Raft truncates without a check, which is correct as long as no store is rolled back. After a rollback, a leader may
// be elected that lacks acknowledged entries, though a majority may have committed them with that acknowledgement. A
// server that has lost an acknowledged entry must not acknowledge another one at its index while a lease that the
// lost one granted is in force (docs/fleet-budgets-design.md, section 7).
func (c *Core) recordDigests(ready *raft.Ready) (truncated bool, err error) {
	if !raft.IsEmptySnap(ready.Snapshot) {
		next, _, err := decodeSnapshot(ready.Snapshot)
		if err != nil {
			return false, err
		}
		// The leader may no longer have the digest of an entry before its snapshot, so only the runs are compared.
		truncated = !containsLastRun(next.runs, c.digests.runsUpTo(c.acknowledgedIndex))
		c.digests = next
		c.digests.replaceFrom(ready.Entries)
		return truncated, nil
	}
	_, before, known := c.digests.lookup(c.acknowledgedIndex)
	c.digests.replaceFrom(ready.Entries)
	_, after, held := c.digests.lookup(c.acknowledgedIndex)
	return known && (!held || after != before), nil
}

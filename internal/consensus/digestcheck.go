package consensus

import (
	"fmt"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
)

// checkDigests compares what a message tells of its sender's log with the log here. The Raft library does not: it
// takes entries of equal index and term for the same entry, and a follower's committed entries for the leader's.
func (c *Core) checkDigests(m Message) error {
	if c.config.skipDigestChecks {
		return nil
	}
	term := c.raft.BasicStatus().GetTerm()
	switch m.Raft.GetType() {
	case pb.MsgApp, pb.MsgSnap:
		if m.Raft.GetTerm() < term || m.DigestIndex == 0 {
			return nil // of a former leader, or of one that did not know the digest
		}
		return c.checkEntries(m)
	case pb.MsgHeartbeat:
		// A heartbeat reports that what this server has acknowledged is committed. If its store was rolled back
		// since, it may hold another entry there.
		if m.Raft.GetTerm() >= term && c.differsAt(m) {
			return c.failWithConflict("entry %d is not the one that steward %d has committed", m.DigestIndex, m.From)
		}
	case pb.MsgAppResp:
		// It would count as an acknowledgement of an entry that the sender does not hold.
		if m.Raft.GetTerm() == term && !m.Raft.GetReject() && c.differsAt(m) {
			_, own, _ := c.digests.lookup(m.DigestIndex)
			c.send(Message{To: m.From, Kind: MessageDigestMismatch, DigestIndex: m.DigestIndex, Digest: own})
			return fmt.Errorf("consensus: steward %d has acknowledged another entry %d", m.From, m.DigestIndex)
		}
	}
	return nil
}

// differsAt reports whether both servers know the digest at the message's index, and the two differ.
func (c *Core) differsAt(m Message) bool {
	_, own, ok := c.digests.lookup(m.DigestIndex)
	return m.DigestIndex > 0 && ok && own != m.Digest
}

// checkEntries fails if an entry of a leader's message, or the one before its first, contradicts an entry here that
// has the same term or is committed.
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

// failWithConflict has the server stop taking part.
func (c *Core) failWithConflict(format string, args ...any) error {
	c.Fail(LogConflictError{fmt.Sprintf(format, args...)})
	return c.failure
}

// precedingEntry is the entry that a leader's message builds on.
func precedingEntry(r *pb.Message) (index, term uint64) {
	if r.GetType() == pb.MsgSnap {
		metadata := r.GetSnapshot().GetMetadata()
		return metadata.GetIndex(), metadata.GetTerm()
	}
	return r.GetIndex(), r.GetLogTerm()
}

// handleDigestMismatch takes a leader's word that an entry which this server has acknowledged is another one there.
func (c *Core) handleDigestMismatch(m Message) error {
	_, own, ok := c.digests.lookup(m.DigestIndex)
	if ok && own != m.Digest && m.DigestIndex <= c.commitIndex && !c.config.skipDigestChecks {
		return c.failWithConflict("entry %d is committed here, and steward %d leads with another",
			m.DigestIndex, m.From)
	}
	return nil
}

// withDigest wraps a message of the Raft library and adds the digest of the entry that it rests on, where that is
// known.
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

// recordDigests takes the entries that are about to be written into the chain, and reports whether they truncate the
// log below what this server has acknowledged.
//
// Raft truncates without asking, which is right as long as no store is rolled back. Once one was, a leader may be
// elected that lacks acknowledged entries, and a majority may have committed with that acknowledgement. A server
// that has lost one must not acknowledge another in its place while a lease that the first one granted is in force
// (docs/fleet-budgets-design.md, 7).
func (c *Core) recordDigests(ready *raft.Ready) (truncated bool, err error) {
	if !raft.IsEmptySnap(ready.Snapshot) {
		next, _, err := decodeSnapshot(ready.Snapshot)
		if err != nil {
			return false, err
		}
		// The leader may have no digest of an entry that is so old: only the runs of terms are compared.
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

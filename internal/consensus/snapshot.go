package consensus

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
	pb "go.etcd.io/raft/v3/raftpb"
)

// snapshotEnvelope is the data of a stored or sent snapshot: the Machine's state, and a summary of the log that the
// snapshot replaces.
type snapshotEnvelope struct {
	_ struct{} `cbor:",toarray"`
	// Digest is the digest of the log up to and including the snapshot's entry.
	Digest uint64
	// Runs are the runs of that part of the log.
	Runs []termRun
	// Data is the result of Machine.Snapshot.
	Data []byte
}

// decodeSnapshot returns the digest chain that begins at a snapshot, and the Machine's state. The snapshot of
// storage.Bootstrap has no state.
func decodeSnapshot(snapshot *pb.Snapshot) (digests digestChain, data []byte, err error) {
	index := snapshot.GetMetadata().GetIndex()
	term := snapshot.GetMetadata().GetTerm()
	var envelope snapshotEnvelope
	if len(snapshot.GetData()) > 0 {
		if err := cbor.Unmarshal(snapshot.GetData(), &envelope); err != nil {
			return digestChain{}, nil, fmt.Errorf("consensus: the snapshot of entry %d: %w", index, err)
		}
	}
	return newDigestChain(index, term, envelope.Digest, envelope.Runs), envelope.Data, nil
}

// compactIfDue takes a snapshot once CompactionBytes of entries were applied since the previous one. The entries
// after the previous snapshot stay in memory, so that peers that lag need no snapshot.
func (c *Core) compactIfDue() error {
	if c.bytesSinceSnapshot < c.config.CompactionBytes {
		return nil
	}
	state, err := c.machine.Snapshot()
	if err != nil {
		return fmt.Errorf("consensus: taking a snapshot: %w", err)
	}
	_, digest, _ := c.digests.lookup(c.appliedIndex)
	data, err := cbor.Marshal(snapshotEnvelope{Digest: digest, Runs: c.digests.runsUpTo(c.appliedIndex), Data: state})
	if err != nil {
		return err
	}
	snapshot, err := c.storage.CreateSnapshot(c.appliedIndex, c.confState, data)
	if err != nil {
		return err
	}
	previous := c.snapshotIndex
	c.unsavedSnapshot = snapshot
	c.bytesSinceSnapshot = 0
	c.snapshotIndex = c.appliedIndex
	first, err := c.storage.FirstIndex()
	if err != nil || previous < first {
		return err
	}
	c.digests.compactTo(previous)
	return c.storage.Compact(previous)
}

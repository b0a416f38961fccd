package consensus

import pb "go.etcd.io/raft/v3/raftpb"

// StoreVersion tells apart older and newer states of a server's store. Each message carries its sender's version, and
// the receiver writes it to disk before it sends anything that depends on the message.
type StoreVersion struct {
	// StoreID is a random number, drawn when the store was created.
	StoreID uint64 `cbor:"Store"`
	// Incarnation counts the starts of a process on the store.
	Incarnation uint64 `cbor:"Start"`
	// Nonce is a random number, drawn at the last of these starts.
	Nonce uint64 `cbor:"Nonce"`
	// WriteSeq counts the writes of entries, votes and terms that are on disk.
	WriteSeq uint64 `cbor:"Seq"`
}

// isBehind reports whether a store of this version is older than the version known to a peer, or is another store. It
// is false if known is the zero value.
func (v StoreVersion) isBehind(known StoreVersion) bool {
	if known == (StoreVersion{}) {
		return false
	}
	if v.StoreID != known.StoreID || v.Incarnation < known.Incarnation || v.WriteSeq < known.WriteSeq {
		return true
	}
	// Two starts have the same number, so the store was rolled back between them.
	return v.Incarnation == known.Incarnation && v.Nonce != known.Nonce
}

// sameIncarnation reports whether both are versions of the same start of the same store.
func (v StoreVersion) sameIncarnation(o StoreVersion) bool {
	return v.StoreID == o.StoreID && v.Incarnation == o.Incarnation && v.Nonce == o.Nonce
}

// State is the contents of a store when it is opened.
type State struct {
	Version StoreVersion
	// HardState is nil in a store without one.
	HardState *pb.HardState
	// Snapshot replaces the beginning of the log, and names the members at that point. It is nil in a store without
	// one.
	Snapshot *pb.Snapshot
	// Entries are the log after the snapshot.
	Entries []*pb.Entry
	// PeerVersions are the highest versions seen of other servers' stores, by server ID.
	PeerVersions map[uint64]StoreVersion
	// TruncationSilence reports whether the silence after a truncation had not ended.
	TruncationSilence bool
	// AcknowledgedIndex is an index up to which the server has acknowledged the log to a leader. It may have
	// acknowledged later entries too.
	AcknowledgedIndex uint64
}

// Batch is a set of changes to a store that are written atomically. They must be on disk before Core.Advance is called.
type Batch struct {
	// WriteSeq becomes the WriteSeq of the store's version.
	WriteSeq uint64
	// HardState replaces the stored one; nil keeps it.
	HardState *pb.HardState
	// Snapshot replaces the stored one and removes the entries up to its index; nil keeps both.
	Snapshot *pb.Snapshot
	// ReplaceLog reports whether the snapshot came from another server: it removes all entries.
	ReplaceLog bool
	// Entries replace the stored ones from the first one's index on.
	Entries []*pb.Entry
	// PeerVersions replace the stored ones of the same peers.
	PeerVersions map[uint64]StoreVersion
	// TruncationSilence replaces the stored one; nil keeps it.
	TruncationSilence *bool
	// AcknowledgedIndex replaces the stored one; 0 keeps it.
	AcknowledgedIndex uint64
	// Sync reports whether the batch must be flushed to disk, so that it survives a power failure, before Core.Advance
	// is called.
	Sync bool
}

// Empty reports whether there is nothing to write.
func (b *Batch) Empty() bool {
	return b.HardState == nil && b.Snapshot == nil && len(b.Entries) == 0 && len(b.PeerVersions) == 0 &&
		b.TruncationSilence == nil && b.AcknowledgedIndex == 0
}

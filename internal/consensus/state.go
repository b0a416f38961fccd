package consensus

import pb "go.etcd.io/raft/v3/raftpb"

// StoreVersion is how far a server's store has come. Each message carries its sender's version, and the receiver
// has it on disk before anything that rests on the message goes out.
type StoreVersion struct {
	// StoreID is a random number, drawn when the store was made.
	StoreID uint64 `cbor:"Store"`
	// Incarnation counts the starts of a process on the store.
	Incarnation uint64 `cbor:"Start"`
	// Nonce is a random number, drawn at the last of these starts.
	Nonce uint64 `cbor:"Nonce"`
	// WriteSeq counts the writes of entries, votes and terms that are on disk.
	WriteSeq uint64 `cbor:"Seq"`
}

// isBehind reports whether a store of this version lacks what a peer that knows the other version has seen of it.
func (v StoreVersion) isBehind(known StoreVersion) bool {
	if known == (StoreVersion{}) {
		return false
	}
	if v.StoreID != known.StoreID || v.Incarnation < known.Incarnation || v.WriteSeq < known.WriteSeq {
		return true
	}
	// Two starts with one number: the count was set back between them.
	return v.Incarnation == known.Incarnation && v.Nonce != known.Nonce
}

// sameIncarnation reports whether both are versions of one start of one store.
func (v StoreVersion) sameIncarnation(o StoreVersion) bool {
	return v.StoreID == o.StoreID && v.Incarnation == o.Incarnation && v.Nonce == o.Nonce
}

// State is what a store holds when it is opened.
type State struct {
	Version   StoreVersion
	HardState *pb.HardState
	// Snapshot is the beginning of the log, with the members as of then.
	Snapshot *pb.Snapshot
	// Entries follow the snapshot.
	Entries      []*pb.Entry
	PeerVersions map[uint64]StoreVersion
	// TruncationSilence reports whether the silence after a truncation had not ended.
	TruncationSilence bool
	// AcknowledgedIndex is an entry up to which the server has at least acknowledged the log.
	AcknowledgedIndex uint64
}

// Batch is what must be on disk, all of it or nothing, before Core.Advance is called.
type Batch struct {
	// WriteSeq becomes the WriteSeq of the store's version.
	WriteSeq uint64
	// HardState replaces the stored one; nil leaves it.
	HardState *pb.HardState
	// Snapshot replaces the stored one and removes the entries up to its index; nil leaves both.
	Snapshot *pb.Snapshot
	// ReplaceLog reports whether the snapshot came from another server: it removes all entries.
	ReplaceLog bool
	// Entries replace the stored ones from the first one's index on.
	Entries []*pb.Entry
	// PeerVersions replace the stored ones of the same peers.
	PeerVersions map[uint64]StoreVersion
	// TruncationSilence replaces the stored one; nil leaves it.
	TruncationSilence *bool
	// AcknowledgedIndex replaces the stored one; 0 leaves it.
	AcknowledgedIndex uint64
	// Sync reports whether the batch must outlive a power failure before Core.Advance is called.
	Sync bool
}

// Empty reports whether there is nothing to write.
func (b *Batch) Empty() bool {
	return b.HardState == nil && b.Snapshot == nil && len(b.Entries) == 0 && len(b.PeerVersions) == 0 &&
		b.TruncationSilence == nil && b.AcknowledgedIndex == 0
}

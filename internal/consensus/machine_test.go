package consensus

import (
	"encoding/binary"
	"maps"
	"slices"

	pb "go.etcd.io/raft/v3/raftpb"
)

// numberList is a Machine whose commands are 8-byte numbers. Apply appends the number and replies with the length of
// the list.
type numberList struct{ numbers []uint64 }

func (l *numberList) Apply(_ uint64, command []byte) []byte {
	l.numbers = append(l.numbers, binary.BigEndian.Uint64(command))
	return binary.BigEndian.AppendUint64(nil, uint64(len(l.numbers)))
}

func (l *numberList) Snapshot() ([]byte, error) {
	var snapshot []byte
	for _, n := range l.numbers {
		snapshot = binary.BigEndian.AppendUint64(snapshot, n)
	}
	return snapshot, nil
}

func (l *numberList) Restore(snapshot []byte) error {
	l.numbers = nil
	for ; len(snapshot) >= 8; snapshot = snapshot[8:] {
		l.numbers = append(l.numbers, binary.BigEndian.Uint64(snapshot))
	}
	return nil
}

// zeroCommand is the numberList command that appends 0.
var zeroCommand = make([]byte, 8)

// bootstrappedState returns the contents of the store of a member of a new fleet.
func bootstrappedState(members []uint64, storeID uint64) State {
	return State{
		Version:   StoreVersion{StoreID: storeID},
		HardState: &pb.HardState{Term: new(uint64(1)), Commit: new(uint64(1)), Vote: new(uint64(0))},
		Snapshot: &pb.Snapshot{Metadata: &pb.SnapshotMetadata{
			ConfState: pb.EnsureConfState(&pb.ConfState{Voters: members}),
			Index:     new(uint64(1)),
			Term:      new(uint64(1)),
		}},
	}
}

// applyBatch returns the state of a store after it has written a batch. It does not modify the state passed in.
func applyBatch(s State, b Batch) State {
	s.Version.WriteSeq = b.WriteSeq
	if b.HardState != nil {
		s.HardState = b.HardState
	}
	s.Entries = slices.Clone(s.Entries)
	if b.Snapshot != nil {
		s.Snapshot = b.Snapshot
		s.Entries = slices.DeleteFunc(s.Entries, func(e *pb.Entry) bool {
			return b.ReplaceLog || e.GetIndex() <= b.Snapshot.GetMetadata().GetIndex()
		})
	}
	if len(b.Entries) > 0 {
		first := b.Entries[0].GetIndex()
		s.Entries = slices.DeleteFunc(s.Entries, func(e *pb.Entry) bool { return e.GetIndex() >= first })
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

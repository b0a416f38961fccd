package consensus

import (
	"bytes"
	"testing"

	"github.com/fxamacker/cbor/v2"
	pb "go.etcd.io/raft/v3/raftpb"
)

// Without a command there are no runs; the list is stored as an empty one.
func TestFrozenEmptyRuns(t *testing.T) {
	c := newDigestChain(1, 1, 0, nil)
	encoded, err := cbor.Marshal(snapshotEnvelope{Runs: c.runsUpTo(1), Data: []byte("state")})
	if want := []byte("\x83\x00\x80Estate"); err != nil || !bytes.Equal(encoded, want) {
		t.Errorf("a snapshot's data is %q, %v; want %q", encoded, err, want)
	}
}

// The digests of the code of commit c8fad44: servers compare them, and snapshots keep them.
func TestFrozenDigests(t *testing.T) {
	entry := func(index uint64, kind pb.EntryType, data string) *pb.Entry {
		return &pb.Entry{Index: new(index), Term: new(uint64(3)), Type: kind.Enum(), Data: []byte(data)}
	}
	c := newDigestChain(4, 2, 77, []termRun{{Term: 2, Nonce: 5, LastIndex: 4}})
	c.replaceFrom([]*pb.Entry{
		entry(5, pb.EntryNormal, ""),
		entry(6, pb.EntryNormal, "nonce678number78command"),
		entry(7, pb.EntryConfChange, "change"),
	})
	for i, want := range []uint64{77, 0x7d506f9b16785d38, 0xc5c68223c7d0912c, 0x21612bd6be29ff9d} {
		if _, sum, ok := c.lookup(uint64(4 + i)); !ok || sum != want {
			t.Errorf("the digest at entry %d is %#x, want %#x", 4+i, sum, want)
		}
	}
	encoded, err := cbor.Marshal(snapshotEnvelope{Digest: 9, Runs: c.runsUpTo(7), Data: []byte("state")})
	want := []byte("\x83\t\x82\x83\x02\x05\x04\x83\x03\x1bnonce678\x06Estate")
	if err != nil || !bytes.Equal(encoded, want) {
		t.Errorf("a snapshot's data is %q, %v; want %q", encoded, err, want)
	}
	metadata := &pb.SnapshotMetadata{Index: new(uint64(7)), Term: new(uint64(3))}
	next, data, err := decodeSnapshot(&pb.Snapshot{Data: encoded, Metadata: metadata})
	if err != nil || string(data) != "state" {
		t.Errorf("%q, %v", data, err)
	}
	if next.base != 7 || next.links[0].digest != 9 || len(next.runs) != 2 ||
		next.runs[1] != (termRun{Term: 3, Nonce: 0x6e6f6e6365363738, LastIndex: 6}) {
		t.Errorf("%+v", next)
	}
}

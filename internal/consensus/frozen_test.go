package consensus

import (
	"bytes"
	"testing"

	"github.com/fxamacker/cbor/v2"
	pb "go.etcd.io/raft/v3/raftpb"
)

// A snapshot of a log without commands has no runs. Its encoding holds an empty list, not null.
func TestFrozenEmptyRuns(t *testing.T) {
	c := newDigestChain(1, 1, 0, nil)
	encoded, err := cbor.Marshal(snapshotEnvelope{Runs: c.runsUpTo(1), Data: []byte("state")})
	if want := []byte("\x83\x00\x80Estate"); err != nil || !bytes.Equal(encoded, want) {
		t.Errorf("Marshal(snapshotEnvelope without runs) = %q, error %v; want %q", encoded, err, want)
	}
}

// The digests must stay those that the code of commit c8fad44 computed: servers of different versions compare them, and
// snapshots store them.
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
		if _, digest, ok := c.lookup(uint64(4 + i)); !ok || digest != want {
			t.Errorf("lookup(%d) = digest %#x, ok %v; want digest %#x, ok true", 4+i, digest, ok, want)
		}
	}
	encoded, err := cbor.Marshal(snapshotEnvelope{Digest: 9, Runs: c.runsUpTo(7), Data: []byte("state")})
	want := []byte("\x83\t\x82\x83\x02\x05\x04\x83\x03\x1bnonce678\x06Estate")
	if err != nil || !bytes.Equal(encoded, want) {
		t.Errorf("Marshal(snapshotEnvelope up to entry 7) = %q, error %v; want %q", encoded, err, want)
	}
	metadata := &pb.SnapshotMetadata{Index: new(uint64(7)), Term: new(uint64(3))}
	next, data, err := decodeSnapshot(&pb.Snapshot{Data: encoded, Metadata: metadata})
	if err != nil || string(data) != "state" {
		t.Errorf("decodeSnapshot returned data %q and error %v, want data \"state\" and no error", data, err)
	}
	if next.base != 7 || next.links[0].digest != 9 || len(next.runs) != 2 ||
		next.runs[1] != (termRun{Term: 3, Nonce: 0x6e6f6e6365363738, LastIndex: 6}) {
		t.Errorf("decodeSnapshot returned the chain %+v, want base 7, digest 9 there, and 2 runs, the second of term 3 "+
			"with nonce 0x6e6f6e6365363738 and last entry 6", next)
	}
}

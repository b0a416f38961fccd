package storage_test

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/xxh3"
	"go.etcd.io/bbolt"
	pb "go.etcd.io/raft/v3/raftpb"

	"lapisspread/internal/consensus"
	"lapisspread/internal/consensus/storage"
	"lapisspread/internal/operatorerror"
)

func entry(index, term uint64, data string) *pb.Entry {
	return &pb.Entry{Index: new(index), Term: new(term), Type: pb.EntryNormal.Enum(), Data: []byte(data)}
}

func made(t *testing.T) string {
	path := filepath.Join(t.TempDir(), "log")
	if err := storage.Bootstrap(path, "f", 1, 2, []uint64{1, 2, 3}); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestWhatWasWrittenIsThere(t *testing.T) {
	path := made(t)
	s, st, err := storage.Open(path, "f", 1, 2)
	if err != nil || st.Version.Incarnation != 1 || len(st.Snapshot.GetMetadata().GetConfState().GetVoters()) != 3 {
		t.Fatal(st, err)
	}
	for _, b := range []consensus.Batch{
		{WriteSeq: 1, HardState: &pb.HardState{Term: new(uint64(2)), Vote: new(uint64(2)), Commit: new(uint64(1))},
			Entries: []*pb.Entry{entry(2, 2, "a"), entry(3, 2, "b"), entry(4, 2, "c")}, Sync: true},
		{WriteSeq: 2, Entries: []*pb.Entry{entry(3, 3, "B")}, PeerVersions: map[uint64]consensus.StoreVersion{3: {StoreID: 7, Incarnation: 1, Nonce: 2, WriteSeq: 9}}, Sync: true,
			TruncationSilence: new(true), AcknowledgedIndex: 3},
		{WriteSeq: 2, Snapshot: &pb.Snapshot{Data: []byte("s"), Metadata: &pb.SnapshotMetadata{Index: new(uint64(2)), Term: new(uint64(2)), ConfState: &pb.ConfState{}}}},
		{WriteSeq: 2, HardState: &pb.HardState{Term: new(uint64(3)), Vote: new(uint64(2)), Commit: new(uint64(3))}, // may wait, for Close at last
			PeerVersions: map[uint64]consensus.StoreVersion{1: {StoreID: 5, Incarnation: 1, Nonce: 2, WriteSeq: 4}}},
	} {
		if err := s.Write(&b); err != nil {
			t.Fatal(err)
		}
	}
	if _, _, err := storage.Open(path, "f", 1, 2); !errors.As(err, &storage.LockedError{}) {
		t.Errorf("held: %v", err)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	s, got, err := storage.Open(path, "f", 1, 2)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	if got.Version.Incarnation != 2 || got.Version.WriteSeq != 2 || got.Version.StoreID != st.Version.StoreID || got.HardState.GetVote() != 2 || len(got.Entries) != 1 ||
		string(got.Entries[0].GetData()) != "B" || string(got.Snapshot.GetData()) != "s" || got.PeerVersions[3].WriteSeq != 9 ||
		got.PeerVersions[1].WriteSeq != 4 || !got.TruncationSilence || got.AcknowledgedIndex != 3 || got.HardState.GetCommit() != 3 {
		t.Errorf("got %+v", got)
	}
	if err := s.Write(&consensus.Batch{WriteSeq: 3, ReplaceLog: true, Sync: true,
		Snapshot: &pb.Snapshot{Metadata: &pb.SnapshotMetadata{Index: new(uint64(9)), Term: new(uint64(3)), ConfState: &pb.ConfState{}}}}); err != nil {
		t.Fatal(err)
	}
}

// newer makes a store that a later version has written: its identity says so, with a sum that is right.
func newer(path string) error {
	db, err := bbolt.Open(path, 0o600, nil)
	if err != nil {
		return err
	}
	err = db.Update(func(tx *bbolt.Tx) error {
		k := []byte("identity")
		v, err := cbor.Marshal(storage.Identity{Format: 99, Fleet: "f", Epoch: 1, ID: 2, StoreID: 1})
		if err != nil {
			return err
		}
		sum := xxh3.Hash(append(bytes.Clone(k), v...))
		return tx.Bucket([]byte("meta")).Put(k, append(binary.BigEndian.AppendUint64(nil, sum), v...))
	})
	return errors.Join(err, db.Close())
}

func TestAStoreThatCannotBeUsedIsATypedError(t *testing.T) {
	flip := func(b []byte) { // each byte of the records, where they are found
		for i := range b[8192:] {
			b[8192+i] ^= 0x55
		}
	}
	for _, c := range []struct {
		name  string
		spoil func(path string) error
		fleet string
		epoch uint64
		id    uint64
		want  any
	}{
		{"another fleet", nil, "g", 1, 2, &storage.FleetMismatchError{}},
		{"another epoch", nil, "f", 2, 2, &storage.FleetMismatchError{}},
		{"another steward", nil, "f", 1, 3, &storage.NodeMismatchError{}},
		{"of a newer version", newer, "f", 1, 2, &storage.NewerFormatError{}},
		{"gone", os.Remove, "f", 1, 2, &storage.MissingError{}},
		{"cut short", func(p string) error { return os.Truncate(p, 5000) }, "f", 1, 2, &storage.DamagedError{}},
		{"empty", func(p string) error { return os.Truncate(p, 0) }, "f", 1, 2, &storage.DamagedError{}},
		{"spoilt", func(p string) error {
			b, err := os.ReadFile(p)
			if err == nil {
				flip(b)
				err = os.WriteFile(p, b, 0o600)
			}
			return err
		}, "f", 1, 2, &storage.DamagedError{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			path := made(t)
			if c.spoil != nil {
				if err := c.spoil(path); err != nil {
					t.Fatal(err)
				}
			}
			_, _, err := storage.Open(path, c.fleet, c.epoch, c.id)
			if !errors.As(err, c.want) || operatorerror.Of(err) == "" {
				t.Errorf("got %v, want a %T", err, c.want)
			}
		})
	}
}

// Any one byte of the file that is spoilt gives an error of damage or the whole state, and never another state.
func TestNoSpoiltByteIsTakenForTruth(t *testing.T) {
	path := made(t)
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	found := 0
	for at := 0; at < len(whole); at += 61 {
		b := append([]byte{}, whole...)
		b[at] ^= 0xff
		if err := os.WriteFile(path, b, 0o600); err != nil {
			t.Fatal(err)
		}
		s, st, err := storage.Open(path, "f", 1, 2)
		if err != nil {
			if !errors.As(err, &storage.DamagedError{}) {
				t.Fatalf("byte %d: %v", at, err)
			}
			found++
			continue
		}
		if len(st.Snapshot.GetMetadata().GetConfState().GetVoters()) != 3 || st.HardState.GetTerm() != 1 || st.Version.Incarnation != 1 {
			t.Fatalf("byte %d: %+v", at, st)
		}
		if err := s.Close(); err != nil {
			t.Fatal(err)
		}
	}
	t.Logf("%d of %d spoilt bytes were found", found, len(whole)/61+1)
}

// A child of the test has the kernel refuse to let any file grow past a bound, which is all that a disk that is full does.
func TestAFullDiskIsATypedError(t *testing.T) {
	if path := os.Getenv("FULL_DISK_STORE"); path != "" {
		signal.Ignore(syscall.SIGXFSZ)
		s, _, err := storage.Open(path, "f", 1, 2)
		if err != nil {
			t.Fatal(err)
		}
		if err := syscall.Setrlimit(syscall.RLIMIT_FSIZE, &syscall.Rlimit{Cur: 100_000, Max: 100_000}); err != nil {
			t.Fatal(err)
		}
		for i := range uint64(20) {
			b := consensus.Batch{WriteSeq: i + 1, Sync: true, Entries: []*pb.Entry{entry(i+2, 1, strings.Repeat("x", 20_000))}}
			if err := s.Write(&b); err != nil {
				if !errors.As(err, &storage.DiskFullError{}) || operatorerror.Of(err) == "" {
					t.Errorf("got %v", err)
				}
				fmt.Println("refused after", i)
				return
			}
		}
		t.Fatal("no write was refused")
	}
	path := made(t)
	child := exec.Command(os.Args[0], "-test.run=TestAFullDiskIsATypedError", "-test.v")
	child.Env = append(os.Environ(), "FULL_DISK_STORE="+path)
	said, err := child.CombinedOutput()
	if err != nil || !bytes.Contains(said, []byte("refused after")) {
		t.Fatalf("%v: %s", err, said)
	}
	var n int
	if _, err := fmt.Sscanf(string(said[bytes.Index(said, []byte("refused after")):]), "refused after %d", &n); err != nil {
		t.Fatal(err)
	}
	s, st, err := storage.Open(path, "f", 1, 2)
	if err != nil || len(st.Entries) != n || n == 0 {
		t.Fatalf("after it: %d entries of %d, %v", len(st.Entries), n, err)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
}

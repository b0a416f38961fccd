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

func snapshot(index, term uint64, data []byte) *pb.Snapshot {
	return &pb.Snapshot{Data: data, Metadata: &pb.SnapshotMetadata{
		Index:     new(index),
		Term:      new(term),
		ConfState: &pb.ConfState{},
	}}
}

// bootstrapped makes the store of member 2 of 3.
func bootstrapped(t *testing.T) (path string) {
	t.Helper()
	path = filepath.Join(t.TempDir(), "log")
	if err := storage.Bootstrap(path, "f", 1, 2, []uint64{1, 2, 3}); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestWrittenBatchesAreLoaded(t *testing.T) {
	path := bootstrapped(t)
	s, first, err := storage.Open(path, "f", 1, 2)
	voters := first.Snapshot.GetMetadata().GetConfState().GetVoters()
	if err != nil || first.Version.Incarnation != 1 || len(voters) != 3 {
		t.Fatal(first, err)
	}
	peer1 := consensus.StoreVersion{StoreID: 5, Incarnation: 1, Nonce: 2, WriteSeq: 4}
	peer3 := consensus.StoreVersion{StoreID: 7, Incarnation: 1, Nonce: 2, WriteSeq: 9}
	for _, batch := range []consensus.Batch{
		{
			WriteSeq:  1,
			HardState: &pb.HardState{Term: new(uint64(2)), Vote: new(uint64(2)), Commit: new(uint64(1))},
			Entries:   []*pb.Entry{entry(2, 2, "a"), entry(3, 2, "b"), entry(4, 2, "c")},
			Sync:      true,
		},
		{
			WriteSeq:          2,
			Entries:           []*pb.Entry{entry(3, 3, "B")},
			PeerVersions:      map[uint64]consensus.StoreVersion{3: peer3},
			Sync:              true,
			TruncationSilence: new(true),
			AcknowledgedIndex: 3,
		},
		{WriteSeq: 2, Snapshot: snapshot(2, 2, []byte("s"))},
		{ // may wait until Close
			WriteSeq:     2,
			HardState:    &pb.HardState{Term: new(uint64(3)), Vote: new(uint64(2)), Commit: new(uint64(3))},
			PeerVersions: map[uint64]consensus.StoreVersion{1: peer1},
		},
	} {
		if err := s.Write(&batch); err != nil {
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
	defer closeStore(t, s)
	if got.Version.Incarnation != 2 || got.Version.WriteSeq != 2 || got.Version.StoreID != first.Version.StoreID {
		t.Errorf("version %+v", got.Version)
	}
	if len(got.Entries) != 1 || string(got.Entries[0].GetData()) != "B" || string(got.Snapshot.GetData()) != "s" {
		t.Errorf("log %+v after %+v", got.Entries, got.Snapshot)
	}
	if got.HardState.GetVote() != 2 || got.HardState.GetCommit() != 3 {
		t.Errorf("hard state %+v", got.HardState)
	}
	if !got.TruncationSilence || got.AcknowledgedIndex != 3 {
		t.Errorf("state %+v", got)
	}
	if got.PeerVersions[3].WriteSeq != 9 || got.PeerVersions[1].WriteSeq != 4 {
		t.Errorf("peers %+v", got.PeerVersions)
	}
	replacement := consensus.Batch{WriteSeq: 3, ReplaceLog: true, Sync: true, Snapshot: snapshot(9, 3, nil)}
	if err := s.Write(&replacement); err != nil {
		t.Fatal(err)
	}
}

func closeStore(t *testing.T, s *storage.Store) {
	t.Helper()
	if err := s.Close(); err != nil {
		t.Error(err)
	}
}

// writeNewerIdentity makes a store that a later version has written: its identity says so, with a checksum that is
// right.
func writeNewerIdentity(path string) error {
	db, err := bbolt.Open(path, 0o600, nil)
	if err != nil {
		return err
	}
	err = db.Update(func(tx *bbolt.Tx) error {
		key := []byte("identity")
		value, err := cbor.Marshal(storage.Identity{Format: 99, Fleet: "f", Epoch: 1, ID: 2, StoreID: 1})
		if err != nil {
			return err
		}
		checksum := xxh3.Hash(append(bytes.Clone(key), value...))
		return tx.Bucket([]byte("meta")).Put(key, append(binary.BigEndian.AppendUint64(nil, checksum), value...))
	})
	return errors.Join(err, db.Close())
}

// damageRecords changes each byte of the records, where they are found.
func damageRecords(path string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	for i := range data[8192:] {
		data[8192+i] ^= 0x55
	}
	return os.WriteFile(path, data, 0o600)
}

func TestUnusableStoreIsTypedError(t *testing.T) {
	truncate := func(size int64) func(path string) error {
		return func(path string) error { return os.Truncate(path, size) }
	}
	for _, c := range []struct {
		name   string
		damage func(path string) error
		fleet  string
		epoch  uint64
		id     uint64
		want   any
	}{
		{"another fleet", nil, "g", 1, 2, &storage.FleetMismatchError{}},
		{"another epoch", nil, "f", 2, 2, &storage.FleetMismatchError{}},
		{"another server", nil, "f", 1, 3, &storage.NodeMismatchError{}},
		{"of a newer version", writeNewerIdentity, "f", 1, 2, &storage.NewerFormatError{}},
		{"gone", os.Remove, "f", 1, 2, &storage.MissingError{}},
		{"cut short", truncate(5000), "f", 1, 2, &storage.DamagedError{}},
		{"empty", truncate(0), "f", 1, 2, &storage.DamagedError{}},
		{"damaged", damageRecords, "f", 1, 2, &storage.DamagedError{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			path := bootstrapped(t)
			if c.damage != nil {
				if err := c.damage(path); err != nil {
					t.Fatal(err)
				}
			}
			_, _, err := storage.Open(path, c.fleet, c.epoch, c.id)
			if !errors.As(err, c.want) || operatorerror.AdviceOf(err) == "" {
				t.Errorf("got %v, want a %T", err, c.want)
			}
		})
	}
}

// Any one byte of the file that is damaged gives a DamagedError or the whole state, and never another state.
func TestDamagedByteIsNeverLoaded(t *testing.T) {
	path := bootstrapped(t)
	intact, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	found := 0
	for at := 0; at < len(intact); at += 61 {
		data := bytes.Clone(intact)
		data[at] ^= 0xff
		if err := os.WriteFile(path, data, 0o600); err != nil {
			t.Fatal(err)
		}
		s, state, err := storage.Open(path, "f", 1, 2)
		if err != nil {
			if !errors.As(err, &storage.DamagedError{}) {
				t.Fatalf("byte %d: %v", at, err)
			}
			found++
			continue
		}
		voters := state.Snapshot.GetMetadata().GetConfState().GetVoters()
		if len(voters) != 3 || state.HardState.GetTerm() != 1 || state.Version.Incarnation != 1 {
			t.Fatalf("byte %d: %+v", at, state)
		}
		if err := s.Close(); err != nil {
			t.Fatal(err)
		}
	}
	t.Logf("%d of %d damaged bytes were found", found, len(intact)/61+1)
}

// A child of the test has the kernel refuse to let any file grow past a bound, which is all that a disk that is
// full does.
func TestFullDiskIsTypedError(t *testing.T) {
	if path := os.Getenv("FULL_DISK_STORE"); path != "" {
		writeUntilDiskIsFull(t, path)
		return
	}
	path := bootstrapped(t)
	child := exec.Command(os.Args[0], "-test.run=TestFullDiskIsTypedError", "-test.v")
	child.Env = append(os.Environ(), "FULL_DISK_STORE="+path)
	output, err := child.CombinedOutput()
	_, after, refused := strings.Cut(string(output), "refused after ")
	if err != nil || !refused {
		t.Fatalf("%v: %s", err, output)
	}
	var written int
	if _, err := fmt.Sscan(after, &written); err != nil {
		t.Fatal(err)
	}
	s, state, err := storage.Open(path, "f", 1, 2)
	if err != nil || len(state.Entries) != written || written == 0 {
		t.Fatalf("after it: %d entries of %d, %v", len(state.Entries), written, err)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
}

// writeUntilDiskIsFull prints how many writes there were before one was refused.
func writeUntilDiskIsFull(t *testing.T, path string) {
	signal.Ignore(syscall.SIGXFSZ)
	s, _, err := storage.Open(path, "f", 1, 2)
	if err != nil {
		t.Fatal(err)
	}
	if err := syscall.Setrlimit(syscall.RLIMIT_FSIZE, &syscall.Rlimit{Cur: 100_000, Max: 100_000}); err != nil {
		t.Fatal(err)
	}
	for i := range uint64(20) {
		large := entry(i+2, 1, strings.Repeat("x", 20_000))
		batch := consensus.Batch{WriteSeq: i + 1, Sync: true, Entries: []*pb.Entry{large}}
		if err := s.Write(&batch); err != nil {
			if !errors.As(err, &storage.DiskFullError{}) || operatorerror.AdviceOf(err) == "" {
				t.Errorf("got %v", err)
			}
			fmt.Println("refused after", i)
			return
		}
	}
	t.Fatal("no write was refused")
}

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

// bootstrapped makes the store of server 2 of a new fleet "f" with 3 members, in epoch 1.
func bootstrapped(t *testing.T) (path string) {
	t.Helper()
	path = filepath.Join(t.TempDir(), "log")
	if err := storage.Bootstrap(path, "f", 1, 2, []uint64{1, 2, 3}); err != nil {
		t.Fatalf("Bootstrap = %v, want nil", err)
	}
	return path
}

func TestWrittenBatchesAreLoaded(t *testing.T) {
	path := bootstrapped(t)
	s, first, err := storage.Open(path, "f", 1, 2)
	voters := first.Snapshot.GetMetadata().GetConfState().GetVoters()
	if err != nil || first.Version.Incarnation != 1 || len(voters) != 3 {
		t.Fatalf("Open of a new store returned incarnation %d, voters %v and error %v; want incarnation 1, 3 voters "+
			"and no error", first.Version.Incarnation, voters, err)
	}
	peer1 := consensus.StoreVersion{StoreID: 5, Incarnation: 1, Nonce: 2, WriteSeq: 4}
	peer3 := consensus.StoreVersion{StoreID: 7, Incarnation: 1, Nonce: 2, WriteSeq: 9}
	for i, batch := range []consensus.Batch{
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
		{ // without Sync: Write defers it until Close
			WriteSeq:     2,
			HardState:    &pb.HardState{Term: new(uint64(3)), Vote: new(uint64(2)), Commit: new(uint64(3))},
			PeerVersions: map[uint64]consensus.StoreVersion{1: peer1},
		},
	} {
		if err := s.Write(&batch); err != nil {
			t.Fatalf("Write(batch %d of the table) = %v, want nil", i, err)
		}
	}
	if _, _, err := storage.Open(path, "f", 1, 2); !errors.As(err, &storage.LockedError{}) {
		t.Errorf("Open of a store that is already open returned %v, want a LockedError", err)
	}
	if err := s.Close(); err != nil {
		t.Fatalf("Close = %v, want nil", err)
	}
	s, got, err := storage.Open(path, "f", 1, 2)
	if err != nil {
		t.Fatalf("Open of a closed store returned %v, want no error", err)
	}
	defer closeStore(t, s)
	if got.Version.Incarnation != 2 || got.Version.WriteSeq != 2 || got.Version.StoreID != first.Version.StoreID {
		t.Errorf("reopened store: version %+v, want incarnation 2, WriteSeq 2 and store ID %d", got.Version,
			first.Version.StoreID)
	}
	if len(got.Entries) != 1 || string(got.Entries[0].GetData()) != "B" || string(got.Snapshot.GetData()) != "s" {
		t.Errorf("reopened store: entries %v after snapshot %v, want one entry with data B after a snapshot with data s",
			got.Entries, got.Snapshot)
	}
	if got.HardState.GetVote() != 2 || got.HardState.GetCommit() != 3 {
		t.Errorf("reopened store: hard state %v, want vote 2 and commit 3", got.HardState)
	}
	if !got.TruncationSilence || got.AcknowledgedIndex != 3 {
		t.Errorf("reopened store: truncation silence %v and acknowledged index %d, want true and 3",
			got.TruncationSilence, got.AcknowledgedIndex)
	}
	if got.PeerVersions[3].WriteSeq != 9 || got.PeerVersions[1].WriteSeq != 4 {
		t.Errorf("reopened store: peer versions %+v, want WriteSeq 4 of peer 1 and 9 of peer 3", got.PeerVersions)
	}
	replacement := consensus.Batch{WriteSeq: 3, ReplaceLog: true, Sync: true, Snapshot: snapshot(9, 3, nil)}
	if err := s.Write(&replacement); err != nil {
		t.Fatalf("Write(snapshot that replaces the log) = %v, want nil", err)
	}
}

func closeStore(t *testing.T, s *storage.Store) {
	t.Helper()
	if err := s.Close(); err != nil {
		t.Errorf("Close = %v, want nil", err)
	}
}

// writeNewerIdentity gives a store the identity record of a later format version, with a correct checksum.
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

// damageRecords changes each byte after the first 8192, which hold bbolt's two meta pages.
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
		{"newer format version", writeNewerIdentity, "f", 1, 2, &storage.NewerFormatError{}},
		{"missing file", os.Remove, "f", 1, 2, &storage.MissingError{}},
		{"truncated file", truncate(5000), "f", 1, 2, &storage.DamagedError{}},
		{"empty file", truncate(0), "f", 1, 2, &storage.DamagedError{}},
		{"damaged records", damageRecords, "f", 1, 2, &storage.DamagedError{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			path := bootstrapped(t)
			if c.damage != nil {
				if err := c.damage(path); err != nil {
					t.Fatalf("preparing the store of the case: %v", err)
				}
			}
			_, _, err := storage.Open(path, c.fleet, c.epoch, c.id)
			if !errors.As(err, c.want) || operatorerror.AdviceOf(err) == "" {
				t.Errorf("Open(fleet %s, epoch %d, server %d) returned %v, want a %T with advice", c.fleet, c.epoch,
					c.id, err, c.want)
			}
		})
	}
}

// If any one byte of the file is damaged, Open returns a DamagedError or the undamaged state, never a different state.
func TestDamagedByteIsNeverLoaded(t *testing.T) {
	path := bootstrapped(t)
	intact, err := os.ReadFile(path)
	if err != nil {
		t.Fatalf("reading the store: %v", err)
	}
	detected := 0
	for offset := 0; offset < len(intact); offset += 61 {
		data := bytes.Clone(intact)
		data[offset] ^= 0xff
		if err := os.WriteFile(path, data, 0o600); err != nil {
			t.Fatalf("writing the store with byte %d damaged: %v", offset, err)
		}
		s, state, err := storage.Open(path, "f", 1, 2)
		if err != nil {
			if !errors.As(err, &storage.DamagedError{}) {
				t.Fatalf("Open with byte %d damaged returned %v, want a DamagedError or no error", offset, err)
			}
			detected++
			continue
		}
		voters := state.Snapshot.GetMetadata().GetConfState().GetVoters()
		if len(voters) != 3 || state.HardState.GetTerm() != 1 || state.Version.Incarnation != 1 {
			t.Fatalf("Open with byte %d damaged returned voters %v, term %d, incarnation %d; want 3 voters, term 1, "+
				"incarnation 1, or a DamagedError", offset, voters, state.HardState.GetTerm(), state.Version.Incarnation)
		}
		if err := s.Close(); err != nil {
			t.Fatalf("Close with byte %d damaged = %v, want nil", offset, err)
		}
	}
	t.Logf("%d of %d damaged bytes were detected", detected, len(intact)/61+1)
}

// A full disk is simulated in a child process by a limit on the size of its files, which makes writes beyond it fail.
func TestFullDiskIsTypedError(t *testing.T) {
	if path := os.Getenv("FULL_DISK_STORE"); path != "" {
		writeUntilDiskIsFull(t, path)
		return
	}
	path := bootstrapped(t)
	child := exec.Command(os.Args[0], "-test.run=TestFullDiskIsTypedError", "-test.v")
	child.Env = append(os.Environ(), "FULL_DISK_STORE="+path)
	output, err := child.CombinedOutput()
	_, after, failed := strings.Cut(string(output), writesBeforeFailure)
	if err != nil || !failed {
		t.Fatalf("the child process ended with error %v and output %q, want no error and a line %q", err, output,
			writesBeforeFailure+"N")
	}
	var written int
	if _, err := fmt.Sscan(after, &written); err != nil {
		t.Fatalf("reading the number of successful writes from the child's output %q: %v", after, err)
	}
	s, state, err := storage.Open(path, "f", 1, 2)
	if err != nil || len(state.Entries) != written || written == 0 {
		t.Fatalf("Open after the disk was full returned %d entries and error %v, want the %d (above 0) written before "+
			"and no error", len(state.Entries), err, written)
	}
	if err := s.Close(); err != nil {
		t.Fatalf("Close = %v, want nil", err)
	}
}

// writesBeforeFailure precedes, in the child's output, the number of writes that succeeded before one failed.
const writesBeforeFailure = "writes before the failed one: "

// writeUntilDiskIsFull writes until a write fails, and prints how many succeeded before.
func writeUntilDiskIsFull(t *testing.T, path string) {
	signal.Ignore(syscall.SIGXFSZ)
	s, _, err := storage.Open(path, "f", 1, 2)
	if err != nil {
		t.Fatalf("Open in the child process returned %v, want no error", err)
	}
	if err := syscall.Setrlimit(syscall.RLIMIT_FSIZE, &syscall.Rlimit{Cur: 100_000, Max: 100_000}); err != nil {
		t.Fatalf("limiting the size of files: %v", err)
	}
	for i := range uint64(20) {
		large := entry(i+2, 1, strings.Repeat("x", 20_000))
		batch := consensus.Batch{WriteSeq: i + 1, Sync: true, Entries: []*pb.Entry{large}}
		if err := s.Write(&batch); err != nil {
			if !errors.As(err, &storage.DiskFullError{}) || operatorerror.AdviceOf(err) == "" {
				t.Errorf("Write to a full disk = %v, want a DiskFullError with advice", err)
			}
			fmt.Printf("%s%d\n", writesBeforeFailure, i)
			return
		}
	}
	t.Fatal("20 writes of 20000 bytes with a file size limit of 100000 bytes all succeeded, want a DiskFullError")
}

package storage_test

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/bbolt"
	pb "go.etcd.io/raft/v3/raftpb"

	"lapisspread/internal/consensus"
	"lapisspread/internal/consensus/storage"
)

// The frozen store was written by the code of commit c8fad44 with
//
//	FREEZE_STORE=1 go test ./internal/consensus/storage -run TestFrozenRecords
//
// It must never be regenerated, since it represents the stores of running servers, which newer code must be able to
// open. The file frozenRecords lists its records.
const (
	frozenStore   = "testdata/c8fad44.store"
	frozenRecords = "testdata/c8fad44.records"
)

// joinedText is a Machine that concatenates its commands and replies with the length of the text.
type joinedText struct{ text []byte }

func (m *joinedText) Apply(_ uint64, command []byte) []byte {
	m.text = append(m.text, command...)
	return fmt.Append(nil, len(m.text))
}
func (m *joinedText) Snapshot() ([]byte, error)     { return bytes.Clone(m.text), nil }
func (m *joinedText) Restore(snapshot []byte) error { m.text = bytes.Clone(snapshot); return nil }

// runSingle runs a fleet whose only member uses the store, proposes the commands one after another, and closes the
// store.
func runSingle(t *testing.T, s *storage.Store, state consensus.State, commands ...string) *joinedText {
	t.Helper()
	machine := &joinedText{}
	config := consensus.Config{
		Fleet:           "north",
		Epoch:           7,
		ID:              2,
		Nonce:           state.Version.Nonce,
		SilenceTicks:    1,
		CompactionBytes: 150,
	}
	core, err := consensus.New(config, state, machine)
	if err != nil {
		t.Fatalf("consensus.New returned %v, want a Core", err)
	}
	proposed, replied := 0, 0
	for ticks := 0; replied < len(commands); ticks++ {
		if ticks > 1000 {
			t.Fatalf("after 1000 ticks %d of %d commands have a reply, want all; status %+v", replied, len(commands),
				core.Status())
		}
		if err := core.Tick(); err != nil {
			t.Fatalf("Tick = %v, want nil", err)
		}
		if core.Status().Role == "StateLeader" && proposed == replied {
			if err := core.Propose(uint64(proposed+1), []byte(commands[proposed])); err == nil {
				proposed++
			}
		}
		for ready, ok := core.Ready(); ok; ready, ok = core.Ready() {
			if err := s.Write(&ready.Batch); err != nil {
				t.Fatalf("Write(batch of a round) = %v, want nil", err)
			}
			outbound, err := core.Advance(ready)
			if err != nil {
				t.Fatalf("Advance returned %v, want no error", err)
			}
			replied += len(outbound.Replies)
		}
	}
	if err := s.Close(); err != nil {
		t.Fatalf("Close after the commands = %v, want nil", err)
	}
	return machine
}

// frozenCommands returns the commands that were proposed on the frozen store.
func frozenCommands() (commands []string) {
	for i := range 12 {
		commands = append(commands, fmt.Sprintf("<command %02d>", i))
	}
	return commands
}

// dumpRecords lists the records of a store's file, each as its bucket, key and value (checksum included).
func dumpRecords(t *testing.T, path string) (lines []string) {
	t.Helper()
	db, err := bbolt.Open(path, 0o600, nil)
	if err != nil {
		t.Fatalf("opening the file %s with bbolt: %v", path, err)
	}
	defer func() { _ = db.Close() }() // it was only read
	err = db.View(func(tx *bbolt.Tx) error {
		return tx.ForEach(func(bucket []byte, b *bbolt.Bucket) error {
			return b.ForEach(func(k, v []byte) error {
				lines = append(lines, fmt.Sprintf("%s %x %x", bucket, k, v))
				return nil
			})
		})
	})
	if err != nil {
		t.Fatalf("reading the records of %s: %v", path, err)
	}
	return lines
}

func writeFrozenStore(t *testing.T) {
	t.Helper()
	if err := os.MkdirAll("testdata", 0o700); err != nil {
		t.Fatalf("making directory testdata: %v", err)
	}
	if err := storage.Bootstrap(frozenStore, "north", 7, 2, []uint64{2}); err != nil {
		t.Fatalf("Bootstrap(%s) = %v, want nil", frozenStore, err)
	}
	s, state, err := storage.Open(frozenStore, "north", 7, 2)
	if err != nil {
		t.Fatalf("first Open(%s) returned %v, want no error", frozenStore, err)
	}
	runSingle(t, s, state, frozenCommands()...)
	if s, state, err = storage.Open(frozenStore, "north", 7, 2); err != nil {
		t.Fatalf("second Open(%s) returned %v, want no error", frozenStore, err)
	}
	b := consensus.Batch{
		WriteSeq:          state.Version.WriteSeq + 1,
		Sync:              true,
		TruncationSilence: new(true),
		AcknowledgedIndex: state.HardState.GetCommit(),
		PeerVersions:      map[uint64]consensus.StoreVersion{1: frozenPeer1, 300: frozenPeer300},
	}
	if err := s.Write(&b); err != nil {
		t.Fatalf("Write(batch with peer versions and truncation silence) = %v, want nil", err)
	}
	if err := s.Close(); err != nil {
		t.Fatalf("Close(%s) = %v, want nil", frozenStore, err)
	}
	dump := strings.Join(dumpRecords(t, frozenStore), "\n") + "\n"
	if err := os.WriteFile(frozenRecords, []byte(dump), 0o600); err != nil {
		t.Fatalf("writing %s: %v", frozenRecords, err)
	}
}

// frozenCopy copies the frozen store into a temporary directory, since opening a store changes it.
func frozenCopy(t *testing.T) string {
	t.Helper()
	data, err := os.ReadFile(frozenStore)
	if err != nil {
		t.Fatalf("reading %s: %v", frozenStore, err)
	}
	path := filepath.Join(t.TempDir(), "store")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatalf("writing a copy of %s: %v", frozenStore, err)
	}
	return path
}

// The records of the frozen store are read unchanged, and encoding their values again gives the same bytes.
func TestFrozenRecords(t *testing.T) {
	if os.Getenv("FREEZE_STORE") != "" {
		writeFrozenStore(t)
	}
	data, err := os.ReadFile(frozenRecords)
	if err != nil {
		t.Fatalf("reading %s: %v", frozenRecords, err)
	}
	want := strings.Split(strings.TrimSuffix(string(data), "\n"), "\n")
	if got := dumpRecords(t, frozenCopy(t)); !slices.Equal(got, want) {
		t.Errorf("the records of %s are\n%s\nwant, as in %s,\n%s", frozenStore, strings.Join(got, "\n"), frozenRecords,
			strings.Join(want, "\n"))
	}
	// Each CBOR value is encoded again as the same bytes. A checksum of 8 bytes precedes it.
	for _, r := range []struct {
		key     string
		value   any
		decoded any
	}{
		{"meta identity", frozenIdentity, &storage.Identity{}},
		{"meta stamp", frozenVersion, &consensus.StoreVersion{}},
		{"peers 0000000000000001", frozenPeer1, &consensus.StoreVersion{}},
		{"peers 000000000000012c", frozenPeer300, &consensus.StoreVersion{}},
		{"meta cut", true, new(bool)},
		{"meta sure", uint64(14), new(uint64)},
	} {
		bucket, key, _ := strings.Cut(r.key, " ")
		if bucket == "meta" {
			key = hex.EncodeToString([]byte(key))
		}
		position := slices.IndexFunc(want, func(line string) bool { return strings.HasPrefix(line, bucket+" "+key+" ") })
		if position < 0 {
			t.Fatalf("%s has no record %q, want one", frozenRecords, r.key)
		}
		record := strings.Fields(want[position])[2]
		stored, err := hex.DecodeString(record[16:])
		if err != nil {
			t.Fatalf("decoding the hexadecimal value of record %q: %v", r.key, err)
		}
		if err := cbor.Unmarshal(stored, r.decoded); err != nil {
			t.Errorf("decoding the CBOR value of record %q: %v", r.key, err)
		}
		if got := reflect.ValueOf(r.decoded).Elem().Interface(); !reflect.DeepEqual(got, r.value) {
			t.Errorf("record %q is decoded as %+v, want %+v", r.key, got, r.value)
		}
		if encoded, err := cbor.Marshal(r.value); err != nil || !bytes.Equal(encoded, stored) {
			t.Errorf("the value of record %q is encoded as %x, error %v; want %x", r.key, encoded, err, stored)
		}
	}
}

// checkFrozenState compares a loaded state with the contents of the frozen store, except for the store's version, which
// each start changes.
func checkFrozenState(t *testing.T, state consensus.State) {
	t.Helper()
	if state.HardState.GetTerm() != 2 || state.HardState.GetVote() != 2 || state.HardState.GetCommit() != 14 {
		t.Errorf("loaded hard state %v, want term 2, vote 2, commit 14", state.HardState)
	}
	meta := state.Snapshot.GetMetadata()
	members := meta.GetConfState()
	if meta.GetIndex() != frozenSnapshotIndex || meta.GetTerm() != 2 ||
		!slices.Equal(members.GetVoters(), []uint64{2}) || len(members.GetLearners()) > 0 {
		t.Errorf("loaded snapshot has metadata %v, want index %d, term 2, voter 2 and no learners", meta,
			frozenSnapshotIndex)
	}
	var envelope struct {
		_    struct{} `cbor:",toarray"`
		Sum  uint64
		Runs [][3]uint64 // term, nonce, last entry
		Data []byte
	}
	if err := cbor.Unmarshal(state.Snapshot.GetData(), &envelope); err != nil || envelope.Sum != 0x4c26da7f99401f35 ||
		!reflect.DeepEqual(envelope.Runs, [][3]uint64{{2, frozenFirstNonce, frozenSnapshotIndex}}) ||
		string(envelope.Data) != strings.Join(frozenCommands()[:frozenSnapshotIndex-2], "") {
		t.Errorf("loaded snapshot holds %+v, error %v; want digest 0x4c26da7f99401f35, one run (term 2, nonce %#x, "+
			"last entry %d) and the commands up to that entry", envelope, err, uint64(frozenFirstNonce), frozenSnapshotIndex)
	}
	if len(state.Entries) != 14-frozenSnapshotIndex {
		t.Fatalf("loaded %d entries after the snapshot, want %d", len(state.Entries), 14-frozenSnapshotIndex)
	}
	for i, e := range state.Entries {
		index := uint64(frozenSnapshotIndex + 1 + i)
		data := binary.BigEndian.AppendUint64(nil, frozenFirstNonce)
		data = binary.BigEndian.AppendUint64(data, index-2)
		data = append(data, frozenCommands()[index-3]...)
		if e.GetIndex() != index || e.GetTerm() != 2 || e.GetType() != pb.EntryNormal ||
			!bytes.Equal(e.GetData(), data) {
			t.Errorf("loaded entry %d is %v, want index %d, term 2, type EntryNormal and data %q", i, e, index, data)
		}
	}
	peers := map[uint64]consensus.StoreVersion{1: frozenPeer1, 300: frozenPeer300}
	if !reflect.DeepEqual(state.PeerVersions, peers) || !state.TruncationSilence || state.AcknowledgedIndex != 14 {
		t.Errorf("loaded peer versions %+v, truncation silence %v, acknowledged index %d; want %+v, true, 14",
			state.PeerVersions, state.TruncationSilence, state.AcknowledgedIndex, peers)
	}
}

// A server opens a store that an earlier release wrote, and continues from its contents.
func TestServerContinuesFromFrozenStore(t *testing.T) {
	path := frozenCopy(t)
	s, state, err := storage.Open(path, "north", 7, 2)
	if err != nil {
		t.Fatalf("Open(copy of the frozen store) returned %v, want no error", err)
	}
	if s.Identity() != frozenIdentity {
		t.Errorf("Identity() = %+v, want %+v", s.Identity(), frozenIdentity)
	}
	want := frozenVersion
	want.Incarnation = 3
	want.Nonce = state.Version.Nonce
	if state.Version != want {
		t.Errorf("Open returned version %+v, want %+v", state.Version, want)
	}
	checkFrozenState(t, state)
	state.TruncationSilence = false // else the server would be silent first
	more := []string{"<one more>", strings.Repeat("x", 300)}
	machine := runSingle(t, s, state, more...)
	if want := strings.Join(append(frozenCommands(), more...), ""); string(machine.text) != want {
		t.Errorf("after %d further commands the machine holds %q, want %q", len(more), machine.text, want)
	}
	s, after, err := storage.Open(path, "north", 7, 2)
	if err != nil {
		t.Fatalf("Open after the further commands returned %v, want no error", err)
	}
	defer closeStore(t, s)
	if after.Version.Incarnation != 4 || after.Version.WriteSeq <= frozenWriteSeq {
		t.Errorf("reopened store: version %+v, want incarnation 4 and a WriteSeq above %d", after.Version, frozenWriteSeq)
	}
	if after.HardState.GetTerm() != 3 || after.Snapshot.GetMetadata().GetIndex() != 17 ||
		!reflect.DeepEqual(after.PeerVersions, state.PeerVersions) {
		t.Errorf("reopened store: term %d, snapshot index %d, peer versions %+v; want 3, 17, %+v",
			after.HardState.GetTerm(), after.Snapshot.GetMetadata().GetIndex(), after.PeerVersions, state.PeerVersions)
	}
}

// Random numbers drawn when the frozen store was written, and the counts that resulted from that run.
const (
	frozenStoreID       = 0x0400b9aca50e2a61
	frozenFirstNonce    = 0x5e9514f5210ea6c7 // nonce of the start that proposed the commands
	frozenNonce         = 0x9c969c36a36ebd95 // nonce of the last start
	frozenWriteSeq      = 15
	frozenSnapshotIndex = 12
)

// Contents of the frozen store.
var (
	frozenIdentity = storage.Identity{Format: 1, Fleet: "north", Epoch: 7, ID: 2, StoreID: frozenStoreID}
	frozenVersion  = consensus.StoreVersion{
		StoreID:     frozenStoreID,
		Incarnation: 2,
		Nonce:       frozenNonce,
		WriteSeq:    frozenWriteSeq,
	}
	frozenPeer1   = consensus.StoreVersion{StoreID: 11, Incarnation: 12, Nonce: 13, WriteSeq: 14}
	frozenPeer300 = consensus.StoreVersion{StoreID: 21, Incarnation: 22, Nonce: 1 << 63, WriteSeq: 24}
)

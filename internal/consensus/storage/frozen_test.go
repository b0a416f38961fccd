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
// It must never be written again: it stands for the stores of running servers. frozenRecords lists its records.
const (
	frozenStore   = "testdata/c8fad44.store"
	frozenRecords = "testdata/c8fad44.records"
)

// joinedText is a Machine that appends the commands.
type joinedText struct{ text []byte }

func (m *joinedText) Apply(_ uint64, command []byte) []byte {
	m.text = append(m.text, command...)
	return fmt.Append(nil, len(m.text))
}
func (m *joinedText) Snapshot() ([]byte, error)     { return bytes.Clone(m.text), nil }
func (m *joinedText) Restore(snapshot []byte) error { m.text = bytes.Clone(snapshot); return nil }

// runSingle has a fleet of one member propose commands on a store, and closes the store.
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
		t.Fatal(err)
	}
	proposed, replied := 0, 0
	for ticks := 0; replied < len(commands); ticks++ {
		if ticks > 1000 {
			t.Fatalf("%d of %d commands are replied to, status %+v", replied, len(commands), core.Status())
		}
		if err := core.Tick(); err != nil {
			t.Fatal(err)
		}
		if core.Status().Role == "StateLeader" && proposed == replied {
			if err := core.Propose(uint64(proposed+1), []byte(commands[proposed])); err == nil {
				proposed++
			}
		}
		for output, ok := core.Ready(); ok; output, ok = core.Ready() {
			if err := s.Write(&output.Batch); err != nil {
				t.Fatal(err)
			}
			effects, err := core.Advance(output)
			if err != nil {
				t.Fatal(err)
			}
			replied += len(effects.Replies)
		}
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	return machine
}

func frozenCommands() (commands []string) {
	for i := range 12 {
		commands = append(commands, fmt.Sprintf("<command %02d>", i))
	}
	return commands
}

// records lists what a store's file holds, sums included.
func records(t *testing.T, path string) (all []string) {
	t.Helper()
	db, err := bbolt.Open(path, 0o600, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = db.Close() }() // it was only read
	err = db.View(func(tx *bbolt.Tx) error {
		return tx.ForEach(func(bucket []byte, b *bbolt.Bucket) error {
			return b.ForEach(func(k, v []byte) error {
				all = append(all, fmt.Sprintf("%s %x %x", bucket, k, v))
				return nil
			})
		})
	})
	if err != nil {
		t.Fatal(err)
	}
	return all
}

func writeFrozenStore(t *testing.T) {
	t.Helper()
	if err := os.MkdirAll("testdata", 0o700); err != nil {
		t.Fatal(err)
	}
	if err := storage.Bootstrap(frozenStore, "north", 7, 2, []uint64{2}); err != nil {
		t.Fatal(err)
	}
	s, state, err := storage.Open(frozenStore, "north", 7, 2)
	if err != nil {
		t.Fatal(err)
	}
	runSingle(t, s, state, frozenCommands()...)
	if s, state, err = storage.Open(frozenStore, "north", 7, 2); err != nil {
		t.Fatal(err)
	}
	b := consensus.Batch{
		WriteSeq:          state.Version.WriteSeq + 1,
		Sync:              true,
		TruncationSilence: new(true),
		AcknowledgedIndex: state.HardState.GetCommit(),
		PeerVersions:      map[uint64]consensus.StoreVersion{1: frozenPeer1, 300: frozenPeer300},
	}
	if err := s.Write(&b); err != nil {
		t.Fatal(err)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(frozenRecords, []byte(strings.Join(records(t, frozenStore), "\n")+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
}

func frozenCopy(t *testing.T) string {
	t.Helper()
	data, err := os.ReadFile(frozenStore)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "store")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestFrozenRecords(t *testing.T) {
	if os.Getenv("FREEZE_STORE") != "" {
		writeFrozenStore(t)
	}
	data, err := os.ReadFile(frozenRecords)
	if err != nil {
		t.Fatal(err)
	}
	all := strings.Split(strings.TrimSuffix(string(data), "\n"), "\n")
	if got := records(t, frozenCopy(t)); !slices.Equal(got, all) {
		t.Errorf("the records are\n%s", strings.Join(got, "\n"))
	}
	// Each value that is CBOR is written again as the same bytes, after its sum of 8 bytes.
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
		at := slices.IndexFunc(all, func(line string) bool { return strings.HasPrefix(line, bucket+" "+key+" ") })
		if at < 0 {
			t.Fatalf("there is no %s", r.key)
		}
		text := strings.Fields(all[at])[2]
		stored, err := hex.DecodeString(text[16:])
		if err != nil {
			t.Fatal(err)
		}
		if err := cbor.Unmarshal(stored, r.decoded); err != nil {
			t.Errorf("%s: %v", r.key, err)
		}
		if got := reflect.ValueOf(r.decoded).Elem().Interface(); !reflect.DeepEqual(got, r.value) {
			t.Errorf("%s: %+v, want %+v", r.key, got, r.value)
		}
		if again, err := cbor.Marshal(r.value); err != nil || !bytes.Equal(again, stored) {
			t.Errorf("%s is encoded as %x, %v; want %x", r.key, again, err, stored)
		}
	}
}

// checkFrozenState compares all that the frozen store holds but for the stamp of the start.
func checkFrozenState(t *testing.T, state consensus.State) {
	t.Helper()
	if state.HardState.GetTerm() != 2 || state.HardState.GetVote() != 2 || state.HardState.GetCommit() != 14 {
		t.Errorf("hard state %v", state.HardState)
	}
	meta := state.Snapshot.GetMetadata()
	members := meta.GetConfState()
	if meta.GetIndex() != frozenSnapshotIndex || meta.GetTerm() != 2 ||
		!slices.Equal(members.GetVoters(), []uint64{2}) || len(members.GetLearners()) > 0 {
		t.Errorf("snapshot of %v", meta)
	}
	var cover struct {
		_    struct{} `cbor:",toarray"`
		Sum  uint64
		Runs [][3]uint64 // term, nonce, last entry
		Data []byte
	}
	if err := cbor.Unmarshal(state.Snapshot.GetData(), &cover); err != nil || cover.Sum != 0x4c26da7f99401f35 ||
		!reflect.DeepEqual(cover.Runs, [][3]uint64{{2, frozenFirstNonce, frozenSnapshotIndex}}) ||
		string(cover.Data) != strings.Join(frozenCommands()[:frozenSnapshotIndex-2], "") {
		t.Errorf("snapshot %+v, %v", cover, err)
	}
	if len(state.Entries) != 14-frozenSnapshotIndex {
		t.Fatalf("%d entries", len(state.Entries))
	}
	for i, e := range state.Entries {
		index := uint64(frozenSnapshotIndex + 1 + i)
		data := binary.BigEndian.AppendUint64(nil, frozenFirstNonce)
		data = binary.BigEndian.AppendUint64(data, index-2)
		data = append(data, frozenCommands()[index-3]...)
		if e.GetIndex() != index || e.GetTerm() != 2 || e.GetType() != pb.EntryNormal ||
			!bytes.Equal(e.GetData(), data) {
			t.Errorf("entry %v, want %q", e, data)
		}
	}
	peers := map[uint64]consensus.StoreVersion{1: frozenPeer1, 300: frozenPeer300}
	if !reflect.DeepEqual(state.PeerVersions, peers) || !state.TruncationSilence || state.AcknowledgedIndex != 14 {
		t.Errorf("peers %+v, cut %v, sure %d", state.PeerVersions, state.TruncationSilence, state.AcknowledgedIndex)
	}
}

// A server opens a store that an earlier release has written, and continues from it.
func TestServerContinuesFromFrozenStore(t *testing.T) {
	path := frozenCopy(t)
	s, state, err := storage.Open(path, "north", 7, 2)
	if err != nil {
		t.Fatal(err)
	}
	if s.Identity() != frozenIdentity {
		t.Errorf("identity %+v", s.Identity())
	}
	want := frozenVersion
	want.Incarnation = 3
	want.Nonce = state.Version.Nonce
	if state.Version != want {
		t.Errorf("version %+v, want %+v", state.Version, want)
	}
	checkFrozenState(t, state)
	state.TruncationSilence = false // else it waits
	more := []string{"<one more>", strings.Repeat("x", 300)}
	machine := runSingle(t, s, state, more...)
	if want := strings.Join(append(frozenCommands(), more...), ""); string(machine.text) != want {
		t.Errorf("the machine holds %q", machine.text)
	}
	s, after, err := storage.Open(path, "north", 7, 2)
	if err != nil {
		t.Fatal(err)
	}
	defer closeStore(t, s)
	if after.Version.Incarnation != 4 || after.Version.WriteSeq <= frozenSeq {
		t.Errorf("reopened: version %+v", after.Version)
	}
	if after.HardState.GetTerm() != 3 || after.Snapshot.GetMetadata().GetIndex() != 17 ||
		!reflect.DeepEqual(after.PeerVersions, state.PeerVersions) {
		t.Errorf("reopened: %+v", after)
	}
}

// Numbers that were random when the frozen store was written, and what came of them.
const (
	frozenStoreID       = 0x0400b9aca50e2a61
	frozenFirstNonce    = 0x5e9514f5210ea6c7 // of the start that proposed the commands
	frozenNonce         = 0x9c969c36a36ebd95 // of the last start
	frozenSeq           = 15
	frozenSnapshotIndex = 12
)

// What the frozen store holds.
var (
	frozenIdentity = storage.Identity{Format: 1, Fleet: "north", Epoch: 7, ID: 2, StoreID: frozenStoreID}
	frozenVersion  = consensus.StoreVersion{
		StoreID:     frozenStoreID,
		Incarnation: 2,
		Nonce:       frozenNonce,
		WriteSeq:    frozenSeq,
	}
	frozenPeer1   = consensus.StoreVersion{StoreID: 11, Incarnation: 12, Nonce: 13, WriteSeq: 14}
	frozenPeer300 = consensus.StoreVersion{StoreID: 21, Incarnation: 22, Nonce: 1 << 63, WriteSeq: 24}
)

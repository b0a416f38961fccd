package server

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	"lapisspread/internal/policy/rollout"
	"lapisspread/internal/policy/store"
	"lapisspread/internal/quotalease"
)

// The release built from commit c8fad44 wrote the golden files of this test, in the package's former directory, by
// UPDATE_FROZEN=1 go test ./internal/steward -run Frozen
const (
	frozenCommands = "testdata/commands.txt" // one per line, in hexadecimal
	frozenSnapshot = "testdata/snapshot.bin"
	frozenReplies  = "testdata/replies.txt" // to the commands, one per line, in hexadecimal
)

func frozenNow() time.Duration { return 0 }

var frozenHolderID = quotalease.HolderID{Holder: "p1", Incarnation: 7}

// frozenEntries returns log entries of each kind: quotas, leases, policies, and rejected commands.
func frozenEntries(t *testing.T) [][]byte {
	t.Helper()
	const maxLifetime = 600 * time.Millisecond
	var entries [][]byte
	add := func(prefix string, command any) {
		text, err := json.Marshal(command)
		if err != nil {
			t.Fatalf("encoding a %T as JSON: %v", command, err)
		}
		entries = append(entries, append([]byte(prefix), text...))
	}
	addQuota := func(command quotalease.Command) { add("", command) }
	addPolicy := func(command store.Command) { add(string(rune(policyEntryMarker)), command) }

	addQuota(quotalease.Command{Bootstrap: &quotalease.Bootstrap{
		FleetID:     "north",
		Epoch:       1,
		MaxDrift:    .001,
		MaxLifetime: maxLifetime,
	}})
	addQuota(quotalease.Command{Expire: &quotalease.Expire{Token: quotalease.Token{Epoch: 1, Index: 1}}})
	addQuota(quotalease.Command{SetQuotas: &quotalease.SetQuotas{
		Version: 1,
		Config: quotalease.FleetConfig{
			FleetID:     "north",
			MaxDrift:    .001,
			MaxLifetime: maxLifetime,
			Quotas: []quotalease.Quota{{
				Name:          "attempts",
				Kind:          quotalease.Rate,
				Limit:         1000,
				Burst:         100,
				LeaseDuration: maxLifetime,
				Floors:        map[string]float64{"p1": 50},
			}},
		},
	}})
	addQuota(quotalease.Command{Batch: []quotalease.Command{{Grant: &quotalease.Lease{
		FleetID:       "north",
		Epoch:         1,
		HolderID:      frozenHolderID,
		Quota:         "attempts",
		Kind:          quotalease.Rate,
		Amount:        quotalease.FromUnits(200),
		Burst:         quotalease.FromUnits(20),
		Duration:      maxLifetime,
		RequestSeq:    3,
		ConfigVersion: 1,
	}}}})
	addQuota(quotalease.Command{})
	addPolicy(store.Command{SetDeclaration: &store.SetDeclaration{Text: ownershipText("x.org"), Author: "op"}})
	addPolicy(offerCommand("alpha", 1, "/a"))
	completed := &store.RolloutResult{Generation: 1 << 32, Epoch: 1, Completed: true, ProxyCount: 3}
	addPolicy(store.Command{RolloutResult: completed})
	addPolicy(offerCommand("beta", 1, "/a"))
	addPolicy(store.Command{Rollback: &store.Rollback{Epoch: 99}})
	return entries
}

// hexLines returns each entry in hexadecimal on a line of its own.
func hexLines(entries [][]byte) []byte {
	var b strings.Builder
	for _, text := range entries {
		b.WriteString(hex.EncodeToString(text) + "\n")
	}
	return []byte(b.String())
}

// A server continues from a log and a snapshot that the release built from commit c8fad44 wrote, and returns the same
// bytes for each entry.
func TestFrozenLogAndSnapshot(t *testing.T) {
	machine := newStateMachine(frozenNow, 1)
	entries := frozenEntries(t)
	var replies [][]byte
	for i, entry := range entries {
		replies = append(replies, machine.Apply(uint64(i+1), entry))
	}
	snapshot, err := machine.Snapshot()
	if err != nil {
		t.Fatalf("Snapshot after all entries: %v", err)
	}
	for _, f := range []struct {
		path string
		text []byte
	}{{frozenCommands, hexLines(entries)}, {frozenReplies, hexLines(replies)}, {frozenSnapshot, snapshot}} {
		if os.Getenv("UPDATE_FROZEN") != "" {
			if err := os.WriteFile(f.path, f.text, 0o644); err != nil {
				t.Fatalf("updating the golden file: %v", err)
			}
		}
		golden, err := os.ReadFile(f.path)
		if err != nil {
			t.Fatalf("reading the golden file: %v", err)
		}
		if !bytes.Equal(golden, f.text) {
			t.Errorf("encoded data differs from the golden file %s:\ngot  %q\nwant %q", f.path, f.text, golden)
		}
	}
	golden, err := os.ReadFile(frozenSnapshot)
	if err != nil {
		t.Fatalf("reading the golden snapshot: %v", err)
	}
	restored := newStateMachine(frozenNow, 9)
	if err := restored.Restore(golden); err != nil {
		t.Fatalf("Restore of the golden snapshot: %v", err)
	}
	checkFrozenState(t, restored)
	rollback := append([]byte{policyEntryMarker}, []byte(`{"back":{"epoch":1,"by":"op"}}`)...)
	if got, want := restored.Apply(20, rollback), machine.Apply(20, rollback); !bytes.Equal(got, want) {
		t.Errorf("Apply of a rollback to the restored state = %x, want %x as for the original state", got, want)
	}
	got, _ := restored.Snapshot()
	want, _ := machine.Snapshot()
	if !bytes.Equal(got, want) {
		t.Errorf("snapshot after a rollback: restored state\n%q, want that of the original state\n%q", got, want)
	}
}

func checkFrozenState(t *testing.T, machine *stateMachine) {
	t.Helper()
	version := func(epoch uint64, hash string) rollout.Version {
		return rollout.Version{Generation: 1 << 32, Epoch: epoch, Hash: hash}
	}
	candidate := version(2, "0895e6c8479c0d58273bbe49f0365868a718a55d872fcd8c94a0143f26710389")
	got := machine.policyStatus()
	if len(got.WithheldFiles) != 1 {
		t.Fatalf("policyStatus after Restore has %d withheld files, want 1: %+v", len(got.WithheldFiles), got)
	}
	withheld := got.WithheldFiles[0]
	if withheld.Namespace != "beta" || withheld.Submitted != 1 || withheld.Active != 0 || withheld.Author != "beta" {
		t.Errorf("withheld file after Restore = %+v, want namespace beta by beta, submitted 1, active 0", withheld)
	}
	want := store.Status{
		Active:         version(1, "8a10529ffc3691e232af7149e3151bf480492604b19e6b0281d70bdc53a370ae"),
		Candidate:      candidate,
		Head:           candidate,
		Batch:          []store.Change{{Namespace: "alpha", Number: 1, Author: "alpha"}},
		WithheldFiles:  got.WithheldFiles,
		Conflicts:      got.Conflicts,
		RetainedEpochs: []uint64{1, 2},
		ProxyCount:     3,
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("policyStatus after Restore =\n%+v, want\n%+v", got, want)
	}
	reply := quotalease.Reply{
		FleetID:       "north",
		Epoch:         1,
		HolderID:      frozenHolderID,
		ConfigVersion: 1,
		Leases: []quotalease.Lease{{
			FleetID:       "north",
			Epoch:         1,
			HolderID:      frozenHolderID,
			Quota:         "attempts",
			Kind:          quotalease.Rate,
			Amount:        quotalease.FromUnits(200),
			Burst:         quotalease.FromUnits(20),
			Duration:      600 * time.Millisecond,
			RequestSeq:    3,
			ConfigVersion: 1,
			Token:         quotalease.Token{Epoch: 1, Index: 4},
		}},
		Floors: map[string]quotalease.Floor{
			"attempts": {Kind: quotalease.Rate, Amount: quotalease.FromUnits(50), Burst: quotalease.FromUnits(5)},
		},
	}
	if got := machine.quotas.ReplyTo(frozenHolderID); !reflect.DeepEqual(got, reply) {
		t.Errorf("ReplyTo(%+v) after Restore =\n%+v, want\n%+v", frozenHolderID, got, reply)
	}
	if _, epoch, err := machine.quotas.Bootstrapped(); err != nil || epoch != 1 {
		t.Errorf("Bootstrapped after Restore = epoch %d, error %v, want epoch 1 and no error", epoch, err)
	}
}

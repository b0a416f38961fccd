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

// The files of this test were written by the program of c8fad44, by
// UPDATE_FROZEN=1 go test ./internal/steward -run Frozen
const (
	frozenCommands = "testdata/commands.txt" // one a line, in hexadecimal
	frozenSnapshot = "testdata/snapshot.bin"
	frozenReplies  = "testdata/replies.txt" // to the commands, in hexadecimal
)

func frozenNow() time.Duration { return 0 }

var frozenKey = quotalease.HolderID{Holder: "p1", Incarnation: 7}

// frozenEntries returns log entries of each kind: quotas, leases, policies, and rejected commands.
func frozenEntries(t *testing.T) [][]byte {
	t.Helper()
	const maxLifetime = 600 * time.Millisecond
	var entries [][]byte
	add := func(prefix string, command any) {
		text, err := json.Marshal(command)
		if err != nil {
			t.Fatal(err)
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
		HolderID:      frozenKey,
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

func hexLines(all [][]byte) []byte {
	var b strings.Builder
	for _, text := range all {
		b.WriteString(hex.EncodeToString(text) + "\n")
	}
	return []byte(b.String())
}

// A server goes on from a log and a snapshot of the program of c8fad44, and returns the same bytes for each entry.
func TestFrozenLogAndSnapshot(t *testing.T) {
	m := newStateMachine(frozenNow, 1)
	entries := frozenEntries(t)
	var replies [][]byte
	for i, entry := range entries {
		replies = append(replies, m.Apply(uint64(i+1), entry))
	}
	snapshot, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range []struct {
		path string
		text []byte
	}{{frozenCommands, hexLines(entries)}, {frozenReplies, hexLines(replies)}, {frozenSnapshot, snapshot}} {
		if os.Getenv("UPDATE_FROZEN") != "" {
			if err := os.WriteFile(f.path, f.text, 0o644); err != nil {
				t.Fatal(err)
			}
		}
		kept, err := os.ReadFile(f.path)
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(kept, f.text) {
			t.Errorf("%s: it is written otherwise", f.path)
		}
	}
	kept, err := os.ReadFile(frozenSnapshot)
	if err != nil {
		t.Fatal(err)
	}
	restored := newStateMachine(frozenNow, 9)
	if err := restored.Restore(kept); err != nil {
		t.Fatal(err)
	}
	checkFrozenState(t, restored)
	next := append([]byte{policyEntryMarker}, []byte(`{"back":{"epoch":1,"by":"op"}}`)...)
	if got, want := restored.Apply(20, next), m.Apply(20, next); !bytes.Equal(got, want) {
		t.Errorf("answers %x, want %x", got, want)
	}
	got, _ := restored.Snapshot()
	want, _ := m.Snapshot()
	if !bytes.Equal(got, want) {
		t.Error("a restored state goes on otherwise")
	}
}

func checkFrozenState(t *testing.T, m *stateMachine) {
	t.Helper()
	version := func(epoch uint64, hash string) rollout.Version {
		return rollout.Version{Generation: 1 << 32, Epoch: epoch, Hash: hash}
	}
	candidate := version(2, "0895e6c8479c0d58273bbe49f0365868a718a55d872fcd8c94a0143f26710389")
	got := m.policyStatus()
	if len(got.WithheldFiles) != 1 {
		t.Fatalf("policies: read %+v", got)
	}
	withheld := got.WithheldFiles[0]
	if withheld.Namespace != "beta" || withheld.Submitted != 1 || withheld.Active != 0 || withheld.Author != "beta" {
		t.Errorf("withheld: read %+v", withheld)
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
		t.Errorf("policies: read\n%+v, want\n%+v", got, want)
	}
	reply := quotalease.Reply{
		FleetID:       "north",
		Epoch:         1,
		HolderID:      frozenKey,
		ConfigVersion: 1,
		Leases: []quotalease.Lease{{
			FleetID:       "north",
			Epoch:         1,
			HolderID:      frozenKey,
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
	if got := m.quotas.ReplyTo(frozenKey); !reflect.DeepEqual(got, reply) {
		t.Errorf("leases: read\n%+v, want\n%+v", got, reply)
	}
	if _, epoch, err := m.quotas.Bootstrapped(); err != nil || epoch != 1 {
		t.Errorf("bootstrapped: read %d, %v", epoch, err)
	}
}

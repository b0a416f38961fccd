package store

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"

	"lapisspread/internal/policy/rollout"
)

// A snapshot of a release without batches and chunks goes on under the same epochs. In it alpha's second file is being
// rolled out and beta's is withheld.
func TestRestoreLegacySnapshot(t *testing.T) {
	legacy, err := os.ReadFile("testdata/form1.json")
	if err != nil {
		t.Fatal(err)
	}
	m := New(0)
	if err := m.Restore(legacy); err != nil {
		t.Fatal(err)
	}
	s := m.Status()
	if s.Active.Epoch != 3 || s.Candidate.Epoch != 5 || s.Head != s.Candidate || len(s.WithheldFiles) != 1 {
		t.Fatalf("%+v", s)
	}
	if !slices.Equal(changeNames(s.Batch), []string{"alpha2", "gamma1"}) || len(s.Queued) != 0 {
		t.Fatalf("%+v", s)
	}
	if got := routesOf(t, m, s.Active); got != "alpha/r/a beta/r/b" {
		t.Errorf("routes of the active policy: %s", got)
	}
	snapshot := snapshotOf(t, m)
	restored := New(0)
	if err := restored.Restore(snapshot); err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(snapshot, snapshotOf(t, restored)) {
		t.Error("a restored snapshot is written differently")
	}
	checkLegacyBisection(t, restored)
	for _, damage := range []string{"s-beta", `"form":1`, "/c"} {
		damaged := bytes.ReplaceAll(legacy, []byte(damage), []byte("x"+damage[1:]))
		if err := New(0).Restore(damaged); !errors.As(err, new(InvalidCommandError)) {
			t.Errorf("damaged at %s: %v", damage, err)
		}
	}
}

// checkLegacyBisection stops the rollout: its two changes are tried apart, and the withheld file is accepted.
func checkLegacyBisection(t *testing.T, m *StateMachine) {
	t.Helper()
	endRollout(t, m, false)
	for s := m.Status(); s.Candidate.Epoch != 0 && s.Stopped == nil; s = m.Status() {
		endRollout(t, m, !strings.Contains(routesOf(t, m, s.Candidate), "alpha/r/c"))
	}
	got := routesOf(t, m, m.Status().Active)
	if got != "alpha/r/a beta/r/c gamma/r/g" || !slices.Equal(failedChangeNames(m), []string{"alpha2"}) {
		t.Errorf("%s: %+v", got, m.Status())
	}
}

// Log entries of releases in which each submission displaced the candidate give the policy and the epoch that they
// gave then, and a repeated result changes nothing.
func TestApplyLegacyEntries(t *testing.T) {
	m := New(0)
	apply(t, m,
		declareCommand(declarationText("x.org")),
		submitCommand(policyFile("alpha", 1, "x.org", "/a")),
		submitCommand(policyFile("beta", 1, "x.org", "/b")),
		resultCommand(RolloutResult{Epoch: 3, Completed: true}),
	)
	s := m.Status()
	if s.Active.Epoch != 3 || s.Candidate.Epoch != 0 || s.Head != s.Active {
		t.Fatalf("%+v", s)
	}
	if got := routesOf(t, m, s.Active); got != "alpha/r/a beta/r/b" {
		t.Fatalf("%s: %+v", got, s)
	}
	apply(t, m,
		submitCommand(policyFile("alpha", 2, "x.org", "/a2")),
		submitCommand(policyFile("beta", 2, "x.org", "/b2")),
		resultCommand(RolloutResult{Epoch: 5, Reason: "w", Advice: "h"}),
	)
	s = m.Status()
	if s.Active.Epoch != 3 || s.Candidate.Epoch != 6 || !slices.Equal(changeNames(s.Batch), []string{"alpha2"}) {
		t.Fatalf("%+v", s)
	}
	before := snapshotOf(t, m)
	for epoch := range uint64(6) {
		for _, completed := range []bool{true, false} {
			result := RolloutResult{Epoch: epoch, Completed: completed, Reason: "w", Advice: "h"}
			apply(t, m, resultCommand(result))
		}
	}
	if !bytes.Equal(before, snapshotOf(t, m)) {
		t.Errorf("late results changed something: %+v, %+v", s, m.Status())
	}
}

func TestParseCacheDoesNotChangeState(t *testing.T) {
	cached := newWithTwoTeams(t, 0)
	uncached := newWithTwoTeams(t, skipParseCache)
	for _, c := range []Command{
		submitCommand(policyFile("alpha", 2, "x.org", "/c")),
		submitCommand(policyFile("beta", 2, "x.org", "/c")),
		declareCommand(declarationText("y.org")),
	} {
		apply(t, cached, c)
		apply(t, uncached, c)
		if !bytes.Equal(snapshotOf(t, cached), snapshotOf(t, uncached)) {
			t.Error("the states differ")
		}
	}
}

// Proxies that take no chunks get the encoding, as long as it fits.
func TestUnchunked(t *testing.T) {
	m := newWithTwoTeams(t, 0)
	active := m.Status().Active
	text, ok := m.Unchunked(active)
	if !ok || text != string(policyOf(t, m, active).Encode()) {
		t.Errorf("%v %s", ok, text)
	}
	if _, ok := m.Unchunked(rollout.Version{Generation: 9, Epoch: active.Epoch, Hash: active.Hash}); ok {
		t.Error("a version that is not retained was returned")
	}
	if tree, ok := m.TreeByRoot(active.Hash); !ok || tree.Root().String() != active.Hash {
		t.Error("the tree is not found by its root")
	}
	if _, ok := m.TreeByRoot("none"); ok {
		t.Error("a root that is not retained was found")
	}
	for i, name := range []string{"alpha", "beta", "gamma"} { // two long files fit, three do not
		host := []string{"x.org", "x.org", "g.org"}[i]
		text := policyFile(name, 2, host, "/"+name) + "tenants = [\"" + tenantList() + "end\"]\n"
		apply(t, m, submitCommand(text))
		completeRollouts(t, m)
		if _, ok := m.Unchunked(m.Status().Active); ok != (i < 2) {
			t.Errorf("%d long files fit: %v", i+1, ok)
		}
	}
}

// tenantList is 2,000 tenants, some 190 KB, for the inside of a list.
func tenantList() string {
	var list strings.Builder
	for i := range 2000 {
		fmt.Fprintf(&list, "%s%d\", \"", strings.Repeat("t", 85), i)
	}
	return list.String()
}

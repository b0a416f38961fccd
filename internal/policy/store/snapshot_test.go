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

// A snapshot of a release without batches and chunks is restored with its epochs. In this one, alpha's second file is
// being rolled out and beta's second file is withheld.
func TestRestoreLegacySnapshot(t *testing.T) {
	legacy, err := os.ReadFile("testdata/form1.json")
	if err != nil {
		t.Fatalf("reading the legacy snapshot: %v", err)
	}
	m := New(0)
	if err := m.Restore(legacy); err != nil {
		t.Fatalf("Restore of testdata/form1.json failed: %v", err)
	}
	s := m.Status()
	if s.Active.Epoch != 3 || s.Candidate.Epoch != 5 || s.Head != s.Candidate || len(s.WithheldFiles) != 1 {
		t.Fatalf("status restored from the legacy snapshot is %+v, want active epoch 3, the head as candidate "+
			"with epoch 5, and 1 withheld file", s)
	}
	if !slices.Equal(changeNames(s.Batch), []string{"alpha2", "gamma1"}) || len(s.Queued) != 0 {
		t.Fatalf("status restored from the legacy snapshot is %+v, want a batch of file 2 of alpha "+
			"and file 1 of gamma, and nothing queued", s)
	}
	if got, want := routesOf(t, m, s.Active), "alpha/r/a beta/r/b"; got != want {
		t.Errorf("active routes restored from the legacy snapshot are %q, want %q", got, want)
	}
	snapshot := snapshotOf(t, m)
	restored := New(0)
	if err := restored.Restore(snapshot); err != nil {
		t.Fatalf("restoring a new snapshot of the state from the legacy snapshot: %v", err)
	}
	if !bytes.Equal(snapshot, snapshotOf(t, restored)) {
		t.Error("Snapshot() of a restored state differs from the snapshot that it was restored from")
	}
	checkLegacyBisection(t, restored)
	for _, damage := range []string{"s-beta", `"form":1`, "/c"} {
		damaged := bytes.ReplaceAll(legacy, []byte(damage), []byte("x"+damage[1:]))
		if err := New(0).Restore(damaged); !errors.As(err, new(InvalidCommandError)) {
			t.Errorf("Restore of a legacy snapshot with the first byte of each %q damaged returned %v, "+
				"want an InvalidCommandError", damage, err)
		}
	}
}

// checkLegacyBisection stops the rollout that the legacy snapshot contains, and then each rollout with alpha's second
// file. The two changes of the batch must be rolled out separately, and beta's withheld file must be accepted, since
// alpha's second file, which conflicts with it, fails.
func checkLegacyBisection(t *testing.T, m *StateMachine) {
	t.Helper()
	endRollout(t, m, false)
	for s := m.Status(); s.Candidate.Epoch != 0 && s.Stopped == nil; s = m.Status() {
		endRollout(t, m, !strings.Contains(routesOf(t, m, s.Candidate), "alpha/r/c"))
	}
	got := routesOf(t, m, m.Status().Active)
	if got != "alpha/r/a beta/r/c gamma/r/g" || !slices.Equal(failedChangeNames(m), []string{"alpha2"}) {
		t.Errorf("after the bisection: active routes %q and status %+v, want routes alpha/r/a beta/r/c gamma/r/g "+
			"and only file 2 of alpha failed", got, m.Status())
	}
}

// In earlier releases each submission replaced the candidate. Their log entries still give the policy and the epoch
// that they gave then, and late or repeated results change nothing.
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
		t.Fatalf("status after a result for the head's epoch 3 is %+v, want the head active with epoch 3 "+
			"and no candidate", s)
	}
	if got, want := routesOf(t, m, s.Active), "alpha/r/a beta/r/b"; got != want {
		t.Fatalf("active routes after a result for the head's epoch 3 are %q, want %q (status %+v)", got, want, s)
	}
	apply(t, m,
		submitCommand(policyFile("alpha", 2, "x.org", "/a2")),
		submitCommand(policyFile("beta", 2, "x.org", "/b2")),
		resultCommand(RolloutResult{Epoch: 5, Reason: "w", Advice: "h"}),
	)
	s = m.Status()
	if s.Active.Epoch != 3 || s.Candidate.Epoch != 6 || !slices.Equal(changeNames(s.Batch), []string{"alpha2"}) {
		t.Fatalf("status after epoch 5 was stopped is %+v, want active epoch 3, candidate epoch 6 "+
			"and only file 2 of alpha in the batch", s)
	}
	before := snapshotOf(t, m)
	for epoch := range uint64(6) {
		for _, completed := range []bool{true, false} {
			result := RolloutResult{Epoch: epoch, Completed: completed, Reason: "w", Advice: "h"}
			apply(t, m, resultCommand(result))
		}
	}
	if !bytes.Equal(before, snapshotOf(t, m)) {
		t.Errorf("late results changed the state: status before %+v, after %+v", s, m.Status())
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
			t.Errorf("after Apply(%s) the snapshots with and without the parse cache differ, want equal ones",
				commandText(c))
		}
	}
}

// Unchunked returns the whole encoding of a retained policy, for proxies that do not support chunks, unless it is
// longer than MaxUnchunkedBytes. TreeByRoot finds only retained policies.
func TestUnchunked(t *testing.T) {
	m := newWithTwoTeams(t, 0)
	active := m.Status().Active
	text, ok := m.Unchunked(active)
	if want := string(policyOf(t, m, active).Encode()); !ok || text != want {
		t.Errorf("Unchunked(%+v) = %q, %v, want %q, true", active, text, ok, want)
	}
	if _, ok := m.Unchunked(rollout.Version{Generation: 9, Epoch: active.Epoch, Hash: active.Hash}); ok {
		t.Error("Unchunked of a version with generation 9, which is not retained, returned true, want false")
	}
	if tree, ok := m.TreeByRoot(active.Hash); !ok || tree.Root().String() != active.Hash {
		t.Errorf("TreeByRoot(%s), the active policy's root, did not return a tree with that root", active.Hash)
	}
	if _, ok := m.TreeByRoot("none"); ok {
		t.Error(`TreeByRoot("none") returned true, want false`)
	}
	for i, name := range []string{"alpha", "beta", "gamma"} { // two files with long lists fit, three do not
		host := []string{"x.org", "x.org", "g.org"}[i]
		text := policyFile(name, 2, host, "/"+name) + "tenants = [\"" + tenantList() + "end\"]\n"
		apply(t, m, submitCommand(text))
		completeRollouts(t, m)
		if _, ok := m.Unchunked(m.Status().Active); ok != (i < 2) {
			t.Errorf("Unchunked of a policy with %d files of about 190 KB returned %v, want %v", i+1, ok, i < 2)
		}
	}
}

// tenantList returns 2,000 tenants, about 190 KB, as the start of a TOML list that has its opening quote already. The
// caller adds the last element and the closing quote.
func tenantList() string {
	var list strings.Builder
	for i := range 2000 {
		fmt.Fprintf(&list, "%s%d\", \"", strings.Repeat("t", 85), i)
	}
	return list.String()
}

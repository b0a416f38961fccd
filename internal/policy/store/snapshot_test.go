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

// A snapshot of before trains and pieces (written by the release of then: alpha's second file goes out, beta's is held) goes on under
// the same epochs.
func TestRestoreLegacySnapshot(t *testing.T) {
	old, err := os.ReadFile("testdata/form1.json")
	if err != nil {
		t.Fatal(err)
	}
	b := New(0)
	if err := b.Restore(old); err != nil {
		t.Fatal(err)
	}
	s := b.Status()
	if s.Active.Epoch != 3 || s.Candidate.Epoch != 5 || s.Head != s.Candidate || len(s.WithheldFiles) != 1 || !slices.Equal(changeNames(s.Batch), []string{"alpha2", "gamma1"}) || len(s.Queued) != 0 {
		t.Fatalf("%+v", s)
	}
	if got := routesOf(t, b, s.Active); got != "alpha/r/a beta/r/b" {
		t.Error(got)
	}
	x, err := b.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	c := New(0)
	if err := c.Restore(x); err != nil {
		t.Fatal(err)
	}
	if y, _ := c.Snapshot(); !bytes.Equal(x, y) {
		t.Error("it comes back as another")
	}
	// Its train stops: the two are tried apart, and what was held comes in.
	endRollout(t, c, false)
	for s := c.Status(); s.Candidate.Epoch != 0 && s.Stopped == nil; s = c.Status() {
		endRollout(t, c, !strings.Contains(routesOf(t, c, s.Candidate), "alpha/r/c"))
	}
	if s := c.Status(); routesOf(t, c, s.Active) != "alpha/r/a beta/r/c gamma/r/g" || !slices.Equal(failedChangeNames(c), []string{"alpha2"}) {
		t.Errorf("%s: %+v", routesOf(t, c, s.Active), s)
	}
	for _, damage := range []string{"s-beta", `"form":1`, "/c"} {
		if err := New(0).Restore(bytes.ReplaceAll(old, []byte(damage), []byte("x"+damage[1:]))); !errors.As(err, new(InvalidCommandError)) {
			t.Errorf("damaged at %s: %v", damage, err)
		}
	}
}

// Entries of before trains, when each offer took the place of the one on its way, come to the policy that they came to then, under its epoch;
// and a judgement that is told again changes nothing.
func TestApplyLegacyEntries(t *testing.T) {
	b := New(0)
	apply(t, b, Command{SetDeclaration: &SetDeclaration{Text: declarationText("x.org")}}, submitCommand(policyFile("alpha", 1, "x.org", "/a")), submitCommand(policyFile("beta", 1, "x.org", "/b")),
		Command{RolloutResult: &RolloutResult{Epoch: 3, Completed: true}})
	if s := b.Status(); s.Active.Epoch != 3 || s.Candidate.Epoch != 0 || s.Head != s.Active || routesOf(t, b, s.Active) != "alpha/r/a beta/r/b" {
		t.Fatalf("%+v", s)
	}
	apply(t, b, submitCommand(policyFile("alpha", 2, "x.org", "/a2")), submitCommand(policyFile("beta", 2, "x.org", "/b2")), Command{RolloutResult: &RolloutResult{Epoch: 5, Reason: "w", Advice: "h"}})
	s := b.Status()
	if s.Active.Epoch != 3 || s.Candidate.Epoch != 6 || !slices.Equal(changeNames(s.Batch), []string{"alpha2"}) {
		t.Fatalf("%+v", s)
	}
	before, _ := b.Snapshot()
	for epoch := range uint64(6) {
		for _, done := range []bool{true, false} {
			apply(t, b, Command{RolloutResult: &RolloutResult{Epoch: epoch, Completed: done, Reason: "w", Advice: "h"}})
		}
	}
	if after, _ := b.Snapshot(); !bytes.Equal(before, after) {
		t.Errorf("late judgements changed something: %+v, %+v", s, b.Status())
	}
}

// What is at hand of files that were read is no part of the state.
func TestParseCacheDoesNotChangeState(t *testing.T) {
	a, b := newWithTwoTeams(t, 0), newWithTwoTeams(t, skipParseCache)
	for _, c := range []Command{submitCommand(policyFile("alpha", 2, "x.org", "/c")), submitCommand(policyFile("beta", 2, "x.org", "/c")), {SetDeclaration: &SetDeclaration{Text: declarationText("y.org")}}} {
		apply(t, a, c)
		apply(t, b, c)
		x, _ := a.Snapshot()
		y, _ := b.Snapshot()
		if !bytes.Equal(x, y) {
			t.Error("they differ")
		}
	}
}

// Policies share what is the same, also after a snapshot was read; an old proxy gets the text, while it fits.
func TestUnchunked(t *testing.T) {
	b := newWithTwoTeams(t, 0)
	s := b.Status()
	text, ok := b.Unchunked(s.Active)
	if !ok || text != string(policyOf(t, b, s.Active).Encode()) {
		t.Errorf("%v %s", ok, text)
	}
	if _, ok := b.Unchunked(rollout.Version{Generation: 9, Epoch: s.Active.Epoch, Hash: s.Active.Hash}); ok {
		t.Error("one that is not kept was given")
	}
	if tree, ok := b.TreeByRoot(s.Active.Hash); !ok || tree.Root().String() != s.Active.Hash {
		t.Error("it is not found by its root")
	}
	if _, ok := b.TreeByRoot("none"); ok {
		t.Error("what is not kept was found")
	}
	for i, name := range []string{"alpha", "beta", "gamma"} { // two fit, three don't
		host := []string{"x.org", "x.org", "g.org"}[i]
		apply(t, b, submitCommand(policyFile(name, 2, host, "/"+name)+"tenants = [\""+tenantList()+"end\"]\n"))
		completeRollouts(t, b)
		if _, ok := b.Unchunked(b.Status().Active); ok != (i < 2) {
			t.Errorf("%d long files: whole: %v", i+1, ok)
		}
	}
}

// tenantList is 2,000 tenants, some 190 KB, for the inside of a list.
func tenantList() string {
	var b strings.Builder
	for i := range 2000 {
		fmt.Fprintf(&b, "%s%d\", \"", strings.Repeat("t", 85), i)
	}
	return b.String()
}

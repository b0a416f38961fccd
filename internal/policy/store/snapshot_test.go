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
func TestSnapshotsOfBefore(t *testing.T) {
	old, err := os.ReadFile("testdata/form1.json")
	if err != nil {
		t.Fatal(err)
	}
	b := New(0)
	if err := b.Restore(old); err != nil {
		t.Fatal(err)
	}
	s := b.Standing()
	if s.Base.Epoch != 3 || s.Next.Epoch != 5 || s.Head != s.Next || len(s.Held) != 1 || !slices.Equal(names(s.Train), []string{"alpha2", "gamma1"}) || len(s.Gathered) != 0 {
		t.Fatalf("%+v", s)
	}
	if got := routesOf(t, b, s.Base); got != "alpha/r/a beta/r/b" {
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
	judge(t, c, false)
	for s := c.Standing(); s.Next.Epoch != 0 && s.Stopped == nil; s = c.Standing() {
		judge(t, c, !strings.Contains(routesOf(t, c, s.Next), "alpha/r/c"))
	}
	if s := c.Standing(); routesOf(t, c, s.Base) != "alpha/r/a beta/r/c gamma/r/g" || !slices.Equal(faults(c), []string{"alpha2"}) {
		t.Errorf("%s: %+v", routesOf(t, c, s.Base), s)
	}
	for _, damage := range []string{"s-beta", `"form":1`, "/c"} {
		if err := New(0).Restore(bytes.ReplaceAll(old, []byte(damage), []byte("x"+damage[1:]))); !errors.As(err, new(BadCommand)) {
			t.Errorf("damaged at %s: %v", damage, err)
		}
	}
}

// Entries of before trains, when each offer took the place of the one on its way, come to the policy that they came to then, under its epoch;
// and a judgement that is told again changes nothing.
func TestEntriesOfBefore(t *testing.T) {
	b := New(0)
	apply(t, b, Command{Charter: &Charter{Text: charter("x.org")}}, word(rules("alpha", 1, "x.org", "/a")), word(rules("beta", 1, "x.org", "/b")),
		Command{Judge: &Judge{Epoch: 3, Done: true}})
	if s := b.Standing(); s.Base.Epoch != 3 || s.Next.Epoch != 0 || s.Head != s.Base || routesOf(t, b, s.Base) != "alpha/r/a beta/r/b" {
		t.Fatalf("%+v", s)
	}
	apply(t, b, word(rules("alpha", 2, "x.org", "/a2")), word(rules("beta", 2, "x.org", "/b2")), Command{Judge: &Judge{Epoch: 5, Why: "w", Help: "h"}})
	s := b.Standing()
	if s.Base.Epoch != 3 || s.Next.Epoch != 6 || !slices.Equal(names(s.Train), []string{"alpha2"}) {
		t.Fatalf("%+v", s)
	}
	before, _ := b.Snapshot()
	for epoch := range uint64(6) {
		for _, done := range []bool{true, false} {
			apply(t, b, Command{Judge: &Judge{Epoch: epoch, Done: done, Why: "w", Help: "h"}})
		}
	}
	if after, _ := b.Snapshot(); !bytes.Equal(before, after) {
		t.Errorf("late judgements changed something: %+v, %+v", s, b.Standing())
	}
}

// What is at hand of files that were read is no part of the state.
func TestReadAnewGivesTheSame(t *testing.T) {
	a, b := begun(t, 0), begun(t, noCache)
	for _, c := range []Command{word(rules("alpha", 2, "x.org", "/c")), word(rules("beta", 2, "x.org", "/c")), {Charter: &Charter{Text: charter("y.org")}}} {
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
func TestWhole(t *testing.T) {
	b := begun(t, 0)
	s := b.Standing()
	text, ok := b.Whole(s.Base)
	if !ok || text != string(policyOf(t, b, s.Base).Encode()) {
		t.Errorf("%v %s", ok, text)
	}
	if _, ok := b.Whole(rollout.Version{Generation: 9, Epoch: s.Base.Epoch, Hash: s.Base.Hash}); ok {
		t.Error("one that is not kept was given")
	}
	if tree, ok := b.TreeOf(s.Base.Hash); !ok || tree.Root().String() != s.Base.Hash {
		t.Error("it is not found by its root")
	}
	if _, ok := b.TreeOf("none"); ok {
		t.Error("what is not kept was found")
	}
	for i, name := range []string{"alpha", "beta", "gamma"} { // two fit, three don't
		host := []string{"x.org", "x.org", "g.org"}[i]
		apply(t, b, word(rules(name, 2, host, "/"+name)+"tenants = [\""+tenantList()+"end\"]\n"))
		through(t, b)
		if _, ok := b.Whole(b.Standing().Base); ok != (i < 2) {
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

package namespace

import (
	"bytes"
	"errors"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"testing"

	"lapisspread/internal/operatorerror"
	"lapisspread/internal/policy/merkle"
	"lapisspread/internal/route"
)

func treeOf(tb testing.TB, p *Policy) *merkle.Tree {
	tb.Helper()
	t, err := p.Tree()
	if err != nil {
		tb.Fatal(err)
	}
	return t
}

// A policy's items give back the policy, and the changes of items those of the policy, whatever the teams write.
func TestItemsOfDrawnPolicies(t *testing.T) {
	changed, gone := 0, 0
	for i := range drawnSets {
		c, set := drawSet(i)
		d := drawer{rand.New(rand.NewPCG(uint64(i), 30))}
		first := Merge(c, nil, set)
		was := first.Policy
		for range 3 {
			tree := treeOf(t, was)
			again, err := FromTree(tree)
			if err != nil || !bytes.Equal(again.Encode(), was.Encode()) {
				t.Fatalf("set %d: %v: %s\nis no longer\n%s", i, err, again.Encode(), was.Encode())
			}
			out := Merge(c, first.Accepted, d.change(c, first.Accepted))
			next := treeOf(t, out.Policy)
			before := again.Encode()
			got, diff, err := again.With(merkle.Changes(tree, next))
			if err != nil || !bytes.Equal(got.Encode(), out.Policy.Encode()) || treeOf(t, got).Root() != next.Root() {
				t.Fatalf("set %d: %v: %s\ninstead of\n%s", i, err, got.Encode(), out.Policy.Encode())
			}
			if !bytes.Equal(again.Encode(), before) {
				t.Fatalf("set %d: the policy before was changed", i)
			}
			checkDiff(t, was, out.Policy, diff)
			checkTable(t, got)
			changed, gone = changed+len(diff.Routes), gone+len(diff.RemovedRoutes)
			first, was = out, out.Policy
		}
	}
	t.Logf("%d routes changed, %d gone", changed, gone)
	if changed < 100 || gone < 100 {
		t.Error("the draw is too tame")
	}
}

// checkDiff wants a diff to name just those routes that say something else.
func checkDiff(t *testing.T, from, to *Policy, d *Diff) {
	t.Helper()
	find := func(p *Policy, name string) *PolicyRoute {
		i := slices.IndexFunc(p.Routes, func(r PolicyRoute) bool { return r.Name == name })
		if i < 0 {
			return nil
		}
		return &p.Routes[i]
	}
	want := &Diff{}
	for _, r := range to.Routes {
		if old := find(from, r.Name); old == nil || !reflect.DeepEqual(old.Route, r.Route) || old.Source.Rule != r.Source.Rule {
			want.Routes = append(want.Routes, r)
		}
	}
	for _, r := range from.Routes {
		if find(to, r.Name) == nil {
			want.RemovedRoutes = append(want.RemovedRoutes, r.Name)
		}
	}
	want.BlocksChanged = !slices.EqualFunc(from.Blocks, to.Blocks, func(a, b PolicyBlock) bool { return reflect.DeepEqual(a.Block, b.Block) })
	if !reflect.DeepEqual(d, want) {
		t.Fatalf("the diff is %+v, not %+v", d, want)
	}
}

// checkTable wants the table that a policy came with to be that of its routes.
func checkTable(t *testing.T, p *Policy) {
	t.Helper()
	want, err := route.Compile(p.Rules(), "")
	if err != nil {
		t.Fatal(err)
	}
	got, err := p.Table()
	if err != nil || got.RuleCount() != want.RuleCount() || !slices.Equal(got.Services(), want.Services()) {
		t.Fatalf("%v: a table of %d rules to %v, not of %d to %v", err, got.RuleCount(), got.Services(), want.RuleCount(), want.Services())
	}
	for i := range p.Routes {
		for _, spare := range []unnamedLabel{"x", "y"} {
			q := spare.exampleRequest(&p.Routes[i].Match)
			x, v := got.Lookup(&q)
			y, w := want.Lookup(&q)
			if v != w || (x == nil) != (y == nil) || x != nil && (x.Name != y.Name || !slices.Equal(x.To, y.To)) {
				t.Fatalf("%+v: %v %v, compiled %v %v", q, x, v, y, w)
			}
		}
	}
}

// A new version of a file costs what it says otherwise, not all its rules.
func TestANewVersionOfAFileIsFewItems(t *testing.T) {
	c, all, next := fleet(t, 20, 40, 1, false)
	next[0].Routes = next[0].Routes[:len(next[0].Routes)-1] // it would be held
	next[0].Routes[3].To[0].Weight = new(float64)
	*next[0].Routes[3].To[0].Weight = 2
	first := Merge(c, nil, all)
	out := Merge(c, first.Accepted, next)
	if len(out.Withheld) > 0 {
		t.Fatal(out.Withheld)
	}
	set, removed := merkle.Changes(treeOf(t, first.Policy), treeOf(t, out.Policy))
	if len(set) != 2 || len(removed) > 0 {
		t.Errorf("%d set, %d removed", len(set), len(removed))
	}
}

func TestItemsThatAreWrongAreRefused(t *testing.T) {
	c, all, _ := fleet(t, 3, 12, 0, false)
	p := Merge(c, nil, all).Policy
	tree := treeOf(t, p)
	value := func(key string) string {
		v, there := tree.Get(key)
		if !there {
			t.Fatal(key)
		}
		return string(v)
	}
	route := value("team-0/route r0")
	for _, k := range []struct {
		set  merkle.Item
		gone string
		want string
	}{
		{set: merkle.Item{Key: "team-0/route r1", Value: []byte(route)}, want: "it holds the rule of"},
		{set: merkle.Item{Key: "team-0/route r0", Value: []byte(" " + route)}, want: "the one encoding"},
		{set: merkle.Item{Key: "team-0/route r0", Value: []byte(route + " ")}, want: "the one encoding"},
		{set: merkle.Item{Key: "team-0/route r0", Value: []byte(strings.Replace(route, `"name"`, `"Name"`, 1))}, want: "the one encoding"},
		{set: merkle.Item{Key: "team-0/route r0", Value: []byte(strings.Replace(route, `{`, `{"other":1,`, 1))}, want: "other"},
		{set: merkle.Item{Key: "team-0/route r0", Value: []byte(strings.Replace(route, `"namespace":"team-0"`, `"namespace":"team-0","number":1`, 1))}, want: "wrong place"},
		{set: merkle.Item{Key: "team-0/route r0", Value: []byte(strings.Replace(route, `"namespace":"team-0"`, `"namespace":"nobody"`, 1))}, want: "nowhere"},
		{set: merkle.Item{Key: "team-0/route r0", Value: []byte(strings.Replace(route, `"weight":1`, `"weight":null`, 1))}, want: "no weight"},
		{set: merkle.Item{Key: "team-0/route zz", Value: []byte(strings.Replace(route, `team-0/r0`, `team-0/zz`, 1))}, want: "ties with"},
		{set: merkle.Item{Key: "what else", Value: []byte(`1`)}, want: "no such rule"},
		{set: merkle.Item{Key: "route", Value: []byte(route)}, want: "it holds the rule of"},
		{set: merkle.Item{Key: "route team-0/r0", Value: []byte(route)}, want: "it holds the rule of"},
		{set: merkle.Item{Key: "team-0/form", Value: []byte(`1`)}, want: "no such rule"},
		{set: merkle.Item{Key: "number team-0", Value: []byte(`1`)}, want: "no such rule"},
		{set: merkle.Item{Key: "number", Value: []byte(`1`)}, want: "no such rule"},
		{set: merkle.Item{Key: "form", Value: []byte(`2`)}, want: "form 2"},
		{set: merkle.Item{Key: "form x", Value: []byte(`1`)}, want: "no such rule"},
		{set: merkle.Item{Key: "team-0/number", Value: []byte(`0`)}, want: "no number"},
		{set: merkle.Item{Key: "team-0/number", Value: []byte(`01`)}, want: "no number"},
		{set: merkle.Item{Key: "nobody/number", Value: []byte(`1`)}, want: "no rule comes from"},
		{gone: "team-0/number", want: "it is missing"},
		{gone: "form", want: "missing"},
	} {
		var set []merkle.Item
		var removed []string
		if k.gone != "" {
			removed = []string{k.gone}
		} else {
			set = []merkle.Item{k.set}
		}
		_, _, err := p.With(set, removed)
		if err == nil || !strings.Contains(err.Error(), k.want) {
			t.Errorf("%s%s %s: %v, want %q", k.set.Key, k.gone, k.set.Value, err, k.want)
		}
		bad, err := tree.With(set, removed)
		if err != nil {
			t.Fatal(err)
		}
		_, err = FromTree(bad)
		if err == nil {
			t.Errorf("%s%s: read whole, there was nothing wrong", k.set.Key, k.gone)
		}
		if wrong := (InvalidItemError{}); errors.As(err, &wrong) && operatorerror.AdviceOf(err) == "" {
			t.Errorf("%v says nothing", err)
		}
	}
}

// A name that is too long for a key has its place too.
func TestLongNames(t *testing.T) {
	long := strings.Repeat("ä", merkle.MaxKeyBytes)
	aim := &Value[float64]{1, []Source{{"a", 1, "class x"}}}
	p := &Policy{Format: 1, Classes: []PolicyClass{{Name: "x", PriorityWeight: aim}, {Name: long, PriorityWeight: aim}}}
	tree := treeOf(t, p)
	got, err := FromTree(tree)
	if err != nil || !bytes.Equal(got.Encode(), p.Encode()) {
		t.Fatal(err)
	}
	less := &Policy{Format: 1, Classes: p.Classes[:1]}
	got, _, err = p.With(merkle.Changes(tree, treeOf(t, less)))
	if err != nil || !bytes.Equal(got.Encode(), less.Encode()) {
		t.Fatalf("%v: %.300s", err, got.Encode())
	}
}

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

func mustTree(t testing.TB, p *Policy) *merkle.Tree {
	t.Helper()
	tree, err := p.Tree()
	if err != nil {
		t.Fatal(err)
	}
	return tree
}

// The items of a policy give it back, and changed items give the changed policy, whatever the teams write.
func TestItemsOfRandomPolicies(t *testing.T) {
	changed := 0
	removed := 0
	for i := range randomSetCount {
		d, set := randomSet(i)
		r := randomRules{rand.New(rand.NewPCG(uint64(i), 30))}
		outcome := Merge(d, nil, set)
		for range 3 {
			next := Merge(d, outcome.Accepted, r.change(d, outcome.Accepted))
			diff := checkItems(t, i, outcome.Policy, next.Policy)
			changed += len(diff.Routes)
			removed += len(diff.RemovedRoutes)
			outcome = next
		}
	}
	t.Logf("%d routes changed, %d removed", changed, removed)
	if changed < 100 || removed < 100 {
		t.Error("the random changes are too tame")
	}
}

// checkItems checks that a policy from items equals the policy, also after the items change.
func checkItems(t *testing.T, set int, from, to *Policy) *Diff {
	t.Helper()
	tree := mustTree(t, from)
	policy, err := FromTree(tree)
	if err != nil || !bytes.Equal(policy.Encode(), from.Encode()) {
		t.Fatalf("set %d: %v: %s\nis no longer\n%s", set, err, policy.Encode(), from.Encode())
	}
	nextTree := mustTree(t, to)
	before := policy.Encode()
	next, diff, err := policy.With(merkle.Changes(tree, nextTree))
	if err != nil || !bytes.Equal(next.Encode(), to.Encode()) || mustTree(t, next).Root() != nextTree.Root() {
		t.Fatalf("set %d: %v: %s\ninstead of\n%s", set, err, next.Encode(), to.Encode())
	}
	if !bytes.Equal(policy.Encode(), before) {
		t.Fatalf("set %d: the policy itself was changed", set)
	}
	checkDiff(t, from, to, diff)
	checkTable(t, next)
	return diff
}

func findRoute(p *Policy, name string) *PolicyRoute {
	i := slices.IndexFunc(p.Routes, func(r PolicyRoute) bool { return r.Name == name })
	if i < 0 {
		return nil
	}
	return &p.Routes[i]
}

// checkDiff checks that a diff has just the routes that say something else.
func checkDiff(t *testing.T, from, to *Policy, d *Diff) {
	t.Helper()
	want := &Diff{}
	for _, r := range to.Routes {
		old := findRoute(from, r.Name)
		if old == nil || !reflect.DeepEqual(old.Route, r.Route) || old.Source.Rule != r.Source.Rule {
			want.Routes = append(want.Routes, r)
		}
	}
	for _, r := range from.Routes {
		if findRoute(to, r.Name) == nil {
			want.RemovedRoutes = append(want.RemovedRoutes, r.Name)
		}
	}
	sameBlock := func(a, b PolicyBlock) bool { return reflect.DeepEqual(a.Block, b.Block) }
	want.BlocksChanged = !slices.EqualFunc(from.Blocks, to.Blocks, sameBlock)
	if !reflect.DeepEqual(d, want) {
		t.Fatalf("the diff is %+v, not %+v", d, want)
	}
}

// checkTable checks that the table of a policy is that of its routes.
func checkTable(t *testing.T, p *Policy) {
	t.Helper()
	want, err := route.Compile(p.Rules(), "")
	if err != nil {
		t.Fatal(err)
	}
	got, err := p.Table()
	if err != nil || got.RuleCount() != want.RuleCount() || !slices.Equal(got.Services(), want.Services()) {
		t.Fatalf("%v: a table of %d rules to %v, not of %d to %v",
			err, got.RuleCount(), got.Services(), want.RuleCount(), want.Services())
	}
	for i := range p.Routes {
		for _, label := range []unnamedLabel{"x", "y"} {
			request := label.exampleRequest(&p.Routes[i].Match)
			gotRule, gotVerdict := got.Lookup(&request)
			wantRule, wantVerdict := want.Lookup(&request)
			if gotVerdict != wantVerdict || (gotRule == nil) != (wantRule == nil) {
				t.Fatalf("%+v: %v %v, compiled %v %v", request, gotRule, gotVerdict, wantRule, wantVerdict)
			}
			if gotRule != nil && (gotRule.Name != wantRule.Name || !slices.Equal(gotRule.To, wantRule.To)) {
				t.Fatalf("%+v: %v %v, compiled %v %v", request, gotRule, gotVerdict, wantRule, wantVerdict)
			}
		}
	}
}

// A new version of a file costs what it says differently, not all its rules.
func TestNewFileVersionChangesFewItems(t *testing.T) {
	fleet := newBenchmarkFleet(t, 20, 40, 1, false)
	changed := fleet.changed[0]
	changed.Routes = changed.Routes[:len(changed.Routes)-1] // the last one would be withheld
	weight := 2.0
	changed.Routes[3].To[0].Weight = &weight
	first := Merge(fleet.declaration, nil, fleet.files)
	out := Merge(fleet.declaration, first.Accepted, fleet.changed)
	if len(out.Withheld) > 0 {
		t.Fatal(out.Withheld)
	}
	set, removed := merkle.Changes(mustTree(t, first.Policy), mustTree(t, out.Policy))
	if len(set) != 2 || len(removed) > 0 {
		t.Errorf("%d set, %d removed", len(set), len(removed))
	}
}

func TestInvalidItemsAreRejected(t *testing.T) {
	fleet := newBenchmarkFleet(t, 3, 12, 0, false)
	policy := Merge(fleet.declaration, nil, fleet.files).Policy
	tree := mustTree(t, policy)
	const key = "team-0/route r0"
	value, ok := tree.Get(key)
	if !ok {
		t.Fatal(key)
	}
	routeText := string(value)
	replaced := func(old, replacement string) string { return replaceEach(t, routeText, old, replacement) }
	for _, test := range []struct{ key, value, want string }{
		{"team-0/route r1", routeText, "it holds the rule of"},
		{key, " " + routeText, "the one encoding"},
		{key, routeText + " ", "the one encoding"},
		{key, replaced(`"name"`, `"Name"`), "the one encoding"},
		{key, replaced(`{`, `{"other":1,`), "other"},
		{key, replaced(`"namespace":"team-0"`, `"namespace":"team-0","number":1`), "wrong place"},
		{key, replaced(`"namespace":"team-0"`, `"namespace":"nobody"`), "nowhere"},
		{key, replaced(`"weight":1`, `"weight":null`), "no weight"},
		{"team-0/route zz", replaced(`team-0/r0`, `team-0/zz`), "ties with"},
		{"what else", `1`, "no such rule"},
		{"route", routeText, "it holds the rule of"},
		{"route team-0/r0", routeText, "it holds the rule of"},
		{"team-0/form", `1`, "no such rule"},
		{"number team-0", `1`, "no such rule"},
		{"number", `1`, "no such rule"},
		{"form", `2`, "form 2"},
		{"form x", `1`, "no such rule"},
		{"team-0/number", `0`, "no number"},
		{"team-0/number", `01`, "no number"},
		{"nobody/number", `1`, "no rule comes from"},
	} {
		checkInvalidItems(t, policy, []merkle.Item{{Key: test.key, Value: []byte(test.value)}}, nil, test.want)
	}
	checkInvalidItems(t, policy, nil, []string{"team-0/number"}, "it is missing")
	checkInvalidItems(t, policy, nil, []string{"form"}, "missing")
}

// checkInvalidItems checks that changed items are rejected, both as a change and as a whole policy.
func checkInvalidItems(t *testing.T, policy *Policy, set []merkle.Item, removed []string, want string) {
	t.Helper()
	_, _, err := policy.With(set, removed)
	if err == nil || !strings.Contains(err.Error(), want) {
		t.Errorf("%s %s: %v, want %q", set, removed, err, want)
	}
	tree, err := mustTree(t, policy).With(set, removed)
	if err != nil {
		t.Fatal(err)
	}
	_, err = FromTree(tree)
	if err == nil {
		t.Errorf("%s %s: accepted as a whole policy", set, removed)
	}
	if errors.As(err, new(InvalidItemError)) && operatorerror.AdviceOf(err) == "" {
		t.Errorf("%v has no advice", err)
	}
}

// A name that is too long for a key has an item, too.
func TestLongNames(t *testing.T) {
	name := strings.Repeat("ä", merkle.MaxKeyBytes)
	weight := &Value[float64]{1, []Source{{"a", 1, "class x"}}}
	policy := &Policy{Format: policyFormat, Classes: []PolicyClass{
		{Name: "x", PriorityWeight: weight}, {Name: name, PriorityWeight: weight},
	}}
	tree := mustTree(t, policy)
	got, err := FromTree(tree)
	if err != nil || !bytes.Equal(got.Encode(), policy.Encode()) {
		t.Fatal(err)
	}
	without := &Policy{Format: policyFormat, Classes: policy.Classes[:1]}
	got, _, err = policy.With(merkle.Changes(tree, mustTree(t, without)))
	if err != nil || !bytes.Equal(got.Encode(), without.Encode()) {
		t.Fatalf("%v: %.300s", err, got.Encode())
	}
}

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

// mustTree returns the tree of a policy.
func mustTree(t testing.TB, p *Policy) *merkle.Tree {
	t.Helper()
	tree, err := p.Tree()
	if err != nil {
		t.Fatalf("Policy.Tree: %v", err)
	}
	return tree
}

// For random policies, FromTree(p.Tree()) gives p again, and p.With gives the next policy from the changed items alone.
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
	t.Logf("the random changes set %d routes and removed %d", changed, removed)
	if changed < 100 || removed < 100 {
		t.Errorf("the random changes set %d routes and removed %d, want at least 100 of each", changed, removed)
	}
}

// checkItems checks that FromTree, given the tree of the policy "from", returns an equal policy, and that With, given
// the items that differ between the trees, returns a policy equal to "to". It returns the diff that With returns.
func checkItems(t *testing.T, set int, from, to *Policy) *Diff {
	t.Helper()
	tree := mustTree(t, from)
	policy, err := FromTree(tree)
	if err != nil || !bytes.Equal(policy.Encode(), from.Encode()) {
		t.Fatalf("random set %d: FromTree = error %v, policy\n%s\nwant the policy that the tree was built from:\n%s",
			set, err, policy.Encode(), from.Encode())
	}
	nextTree := mustTree(t, to)
	encodedBefore := policy.Encode()
	next, diff, err := policy.With(merkle.Changes(tree, nextTree))
	if err != nil || !bytes.Equal(next.Encode(), to.Encode()) || mustTree(t, next).Root() != nextTree.Root() {
		t.Fatalf("random set %d: With(the changed items) = error %v, policy\n%s\nwant this policy and its root:\n%s",
			set, err, next.Encode(), to.Encode())
	}
	if !bytes.Equal(policy.Encode(), encodedBefore) {
		t.Fatalf("random set %d: With changed the policy that it was called on, want it unchanged", set)
	}
	checkDiff(t, from, to, diff)
	checkTable(t, next)
	return diff
}

// findRoute returns the route of a policy with a name (namespace/name), or nil.
func findRoute(p *Policy, name string) *PolicyRoute {
	i := slices.IndexFunc(p.Routes, func(r PolicyRoute) bool { return r.Name == name })
	if i < 0 {
		return nil
	}
	return &p.Routes[i]
}

// checkDiff checks that a diff lists exactly the routes that were added, changed or removed. A route whose source has
// only another file number is not changed.
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
		t.Fatalf("Policy.With(the changed items) = diff %+v, want %+v", *d, *want)
	}
}

// checkTable checks that the table of a policy looks requests up as a table that is compiled from all its routes does.
func checkTable(t *testing.T, p *Policy) {
	t.Helper()
	want, err := route.Compile(p.Rules(), "")
	if err != nil {
		t.Fatalf("route.Compile of the policy's routes: %v", err)
	}
	got, err := p.Table()
	if err != nil || got.RuleCount() != want.RuleCount() || !slices.Equal(got.Services(), want.Services()) {
		t.Fatalf("Table() = error %v, %d rules to services %v, want %d rules to services %v",
			err, got.RuleCount(), got.Services(), want.RuleCount(), want.Services())
	}
	for i := range p.Routes {
		for _, label := range []unnamedLabel{"x", "y"} {
			request := label.exampleRequest(&p.Routes[i].Match)
			gotRule, gotVerdict := got.Lookup(&request)
			wantRule, wantVerdict := want.Lookup(&request)
			if gotVerdict != wantVerdict || (gotRule == nil) != (wantRule == nil) {
				t.Fatalf("Table().Lookup(%+v) = rule %+v, verdict %v; want rule %+v, verdict %v, as from route.Compile",
					request, gotRule, gotVerdict, wantRule, wantVerdict)
			}
			if gotRule != nil && (gotRule.Name != wantRule.Name || !slices.Equal(gotRule.To, wantRule.To)) {
				t.Fatalf("Table().Lookup(%+v) = rule %+v, verdict %v; want rule %+v, verdict %v, as from route.Compile",
					request, gotRule, gotVerdict, wantRule, wantVerdict)
			}
		}
	}
}

// A new version of a file that changes one route changes two items: that route and the number of the file.
func TestNewFileVersionChangesFewItems(t *testing.T) {
	fleet := newBenchmarkFleet(t, 20, 40, 1, false)
	changed := fleet.changed[0]
	changed.Routes = changed.Routes[:len(changed.Routes)-1] // with the last route, the file would be withheld
	weight := 2.0
	changed.Routes[3].To[0].Weight = &weight
	first := Merge(fleet.declaration, nil, fleet.files)
	out := Merge(fleet.declaration, first.Accepted, fleet.changed)
	if len(out.Withheld) > 0 {
		t.Fatalf("Merge of the changed file withholds %v, want nothing withheld", out.Withheld)
	}
	set, removed := merkle.Changes(mustTree(t, first.Policy), mustTree(t, out.Policy))
	if len(set) != 2 || len(removed) > 0 {
		t.Errorf("merkle.Changes = %d items set, %d removed; want 2 set (the route, the file's number), 0 removed",
			len(set), len(removed))
	}
}

func TestInvalidItemsAreRejected(t *testing.T) {
	fleet := newBenchmarkFleet(t, 3, 12, 0, false)
	policy := Merge(fleet.declaration, nil, fleet.files).Policy
	tree := mustTree(t, policy)
	const key = "team-0/route r0"
	value, ok := tree.Get(key)
	if !ok {
		t.Fatalf("the policy's tree has no item %q", key)
	}
	routeText := string(value)
	replaced := func(old, replacement string) string { return replaceEach(t, routeText, old, replacement) }
	for _, test := range []struct{ key, value, wantError string }{
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
		checkInvalidItems(t, policy, []merkle.Item{{Key: test.key, Value: []byte(test.value)}}, nil, test.wantError)
	}
	checkInvalidItems(t, policy, nil, []string{"team-0/number"}, "it is missing")
	checkInvalidItems(t, policy, nil, []string{"form"}, "missing")
}

// checkInvalidItems checks that an invalid change of a policy's items is rejected, both by With and, once the change is
// made to the policy's tree, by FromTree.
func checkInvalidItems(t *testing.T, policy *Policy, set []merkle.Item, removed []string, wantError string) {
	t.Helper()
	_, _, err := policy.With(set, removed)
	if err == nil || !strings.Contains(err.Error(), wantError) {
		t.Errorf("With(set %s, removed %q) = error %v, want an error that contains %q", set, removed, err, wantError)
	}
	tree, err := mustTree(t, policy).With(set, removed)
	if err != nil {
		t.Fatalf("merkle.Tree.With(set %s, removed %q): %v", set, removed, err)
	}
	_, err = FromTree(tree)
	if err == nil {
		t.Errorf("FromTree of the tree with set %s, removed %q = no error, want an error", set, removed)
	}
	if errors.As(err, new(InvalidItemError)) && operatorerror.AdviceOf(err) == "" {
		t.Errorf("FromTree of the tree with set %s, removed %q = error %v without advice, want advice",
			set, removed, err)
	}
}

// A rule whose name is too long for a key still has an item: FromTree reads it, and With removes it.
func TestLongNames(t *testing.T) {
	name := strings.Repeat("ä", merkle.MaxKeyBytes)
	weight := &Value[float64]{1, []Source{{"a", 1, "class x"}}}
	policy := &Policy{Format: policyFormat, Classes: []PolicyClass{
		{Name: "x", PriorityWeight: weight}, {Name: name, PriorityWeight: weight},
	}}
	tree := mustTree(t, policy)
	got, err := FromTree(tree)
	if err != nil || !bytes.Equal(got.Encode(), policy.Encode()) {
		t.Fatalf("FromTree(tree with a long rule name) = error %v, policy %.300s; want %.300s",
			err, got.Encode(), policy.Encode())
	}
	without := &Policy{Format: policyFormat, Classes: policy.Classes[:1]}
	got, _, err = policy.With(merkle.Changes(tree, mustTree(t, without)))
	if err != nil || !bytes.Equal(got.Encode(), without.Encode()) {
		t.Fatalf("With(the class with the long name removed) = error %v, policy %.300s; want %.300s",
			err, got.Encode(), without.Encode())
	}
}

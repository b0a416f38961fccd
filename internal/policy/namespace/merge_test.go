package namespace

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"lapisspread/internal/operatorerror"
	"lapisspread/internal/route"
)

// quotedList is a TOML list of some values.
func quotedList(count int) string {
	var values []string
	for i := range count {
		values = append(values, fmt.Sprintf("%q", fmt.Sprint("v", i)))
	}
	return "[" + strings.Join(values, ", ") + "]"
}

// Files that are small enough by themselves can be too much together. Then the one that grew is withheld.
func TestTooManyCombinations(t *testing.T) {
	example := newExampleFleet(t)
	const (
		methods = 40
		tenants = 50
	)
	lists := "\nmethods = " + quotedList(methods) + "\ntenants = " + quotedList(tenants) + "\n"
	dispatchHost := `host = "dispatch.kigali.example.org"`
	classes := "classes = " + quotedList(maxCombinations*6/10/(methods*tenants))
	dispatch := example.renumbered("dispatch", "8", dispatchHost, dispatchHost+lists+classes)
	payHost := `host = "pay.kigali.example.org"`
	small := example.renumbered("settlement", "13", payHost, payHost+lists)
	grown := strings.Replace(lists, "methods = ", "methods = "+quotedList(maxCombinations/200)+" # ", 1)
	large := example.renumbered("settlement", "14", payHost, payHost+grown)

	out := Merge(example.declaration, nil, []*File{dispatch, small})
	if len(out.Withheld) != 0 {
		t.Fatal(out.Withheld)
	}
	out = Merge(example.declaration, out.Accepted, []*File{large})
	if len(out.Withheld) != 1 || out.Withheld[0].Namespace != "settlement" || out.Withheld[0].Active != 13 {
		t.Errorf("withheld %v", out.Withheld)
	}
	if out.Conflicts[0].Kind != TooManyCombinations {
		t.Errorf("conflicts %v", out.Conflicts)
	}
	if _, err := out.Policy.Table(); err != nil {
		t.Error(err)
	}
	// If both were accepted, as after a declaration granted a domain again, the last by precedence loses its routes.
	out = Merge(example.declaration, []*File{dispatch, large}, nil)
	if len(out.Withheld) != 1 || out.Withheld[0].Namespace != "settlement" {
		t.Fatalf("withheld %v", out.Withheld)
	}
	if !slices.Equal(out.Withheld[0].RemovedRules, []string{"route payouts"}) {
		t.Errorf("withheld %v", out.Withheld)
	}
}

// withholdTest submits files over those of the example.
type withholdTest struct {
	name      string
	submitted []*File
	withheld  string // namespace:active number; empty is none
	cause     any    // the type of the cause
	kind      ConflictKind
	active    map[string]uint64 // numbers of files that are accepted
	routes    int               // of the policy
}

func withholdTests(t *testing.T, example *exampleFleet) []withholdTest {
	t.Helper()
	const exampleRoutes = 4
	files := func(f ...*File) []*File { return f }
	unreadable := UnreadableFile("settlement", FileError{Path: "s.toml", Line: 3, Err: errors.New("no TOML")})
	// The delegator's route is for requests that the delegate's is for, too.
	across := []string{"[[route]]\nname = \"desks\"", "[[route]]\nname = \"grab\"\n" +
		"host = \"*.desks.kigali.example.org\"\npath_prefix = \"/book/vip\"\n" +
		"to = [{ service = \"dispatch\" }]\n[[route]]\nname = \"desks\""}
	narrowed := []string{`path_prefix = "/book"`, `path_prefix = "/book/vip/x"`}
	toDispatch := "to = [{ service = \"dispatch\" }]"
	toDesks := "to = [{ service = \"desks\" }]"
	allRoute := "name = \"all\"\nhost = \"dispatch.kigali.example.org\"\n"
	removed := []string{
		"[[service]]\nname = \"dispatch\"", "[[service]]\nname = \"dispatch\"\nremoved = true",
		allRoute + toDispatch, allRoute + toDesks,
		toDispatch, toDesks,
	}
	tests := []withholdTest{
		{name: "nothing new", submitted: example.files(),
			active: map[string]uint64{"dispatch": 7, "settlement": 12, "booking-desks": 3}},
		{name: "the delegator reaches over the delegate's",
			submitted: files(example.renumbered("dispatch", "8", across...), example.renumbered("settlement", "13")),
			withheld:  "dispatch:7", cause: new(ConflictError), kind: Contradiction,
			active: map[string]uint64{"dispatch": 7, "settlement": 13}},
		{name: "both changed, one alone is the cause",
			submitted: files(example.renumbered("dispatch", "8", across...),
				example.renumbered("booking-desks", "4", `weight = 9.0`, `weight = 8.0`)),
			withheld: "dispatch:7", cause: new(ConflictError), kind: Contradiction,
			active: map[string]uint64{"dispatch": 7, "booking-desks": 4}},
		{name: "both changed, and conflict only as both are new",
			submitted: files(example.renumbered("dispatch", "8", "cap = 3000", "cap = 1250"),
				example.renumbered("booking-desks", "4", "min = 1200", "min = 1300")),
			withheld: "booking-desks:3", cause: new(ConflictError), kind: CapBelowMinimum,
			active: map[string]uint64{"dispatch": 8, "booking-desks": 3}},
		{name: "both changed, and do not conflict",
			submitted: files(example.renumbered("dispatch", "8", across...),
				example.renumbered("booking-desks", "4", narrowed...)),
			active: map[string]uint64{"dispatch": 8, "booking-desks": 4}, routes: exampleRoutes + 1},
		{name: "outside its domain",
			submitted: files(
				example.renumbered("settlement", "13",
					`host = "pay.kigali.example.org"`, `host = "*.kigali.example.org"`),
				example.renumbered("dispatch", "9")),
			withheld: "settlement:12", cause: new(OutsideDomainError),
			active: map[string]uint64{"dispatch": 9, "settlement": 12}},
		{name: "too high a minimum",
			submitted: files(example.renumbered("settlement", "13", "min = 2400", "min = 5400"),
				example.renumbered("booking-desks", "4", "min = 1200", "min = 1000")),
			withheld: "settlement:12", cause: new(MinimumsExceedLimitError), kind: MinimumsExceedLimit,
			active: map[string]uint64{"booking-desks": 4, "settlement": 12}},
		{name: "a cap below a minimum",
			submitted: files(example.renumbered("dispatch", "8", "cap = 3000", "cap = 1000")),
			withheld:  "dispatch:7", cause: new(ConflictError), kind: CapBelowMinimum,
			active: map[string]uint64{"dispatch": 7}},
		{name: "a service is removed that a route leads to",
			submitted: files(example.renumbered("dispatch", "8", removed...)),
			withheld:  "dispatch:7", cause: new(ConflictError), kind: ServiceRemoved,
			active: map[string]uint64{"dispatch": 7}},
		{name: "a route to no service",
			submitted: files(example.renumbered("settlement", "13",
				`to = [{ service = "settlement" }]`, `to = [{ service = "setlement" }]`)),
			withheld: "settlement:12", cause: new(ConflictError), kind: ServiceRemoved,
			active: map[string]uint64{"settlement": 12}},
		{name: "a service of another namespace",
			submitted: files(example.renumbered("settlement", "13",
				"[[route]]", "[[service]]\nname = \"desks\"\nkinds = [\"x\"]\n[[route]]")),
			withheld: "settlement:12", cause: new(ConflictError), kind: InconsistentDefinition,
			active: map[string]uint64{"settlement": 12}},
		{name: "a number used before",
			submitted: files(example.renumbered("settlement", "12", "cap = 6000", "cap = 5000")),
			withheld:  "settlement:12", cause: new(VersionTakenError), active: map[string]uint64{"settlement": 12}},
		{name: "an older number",
			submitted: files(example.renumbered("settlement", "11", "cap = 6000", "cap = 5000")),
			withheld:  "settlement:12", cause: new(VersionTakenError), active: map[string]uint64{"settlement": 12}},
		{name: "one number, two contents",
			submitted: files(example.renumbered("settlement", "13", "cap = 6000", "cap = 5000"),
				example.renumbered("settlement", "13")),
			withheld: "settlement:12", cause: new(VersionTakenError), active: map[string]uint64{"settlement": 12}},
		{name: "a file that cannot be read",
			submitted: files(unreadable, example.renumbered("dispatch", "8")),
			withheld:  "settlement:12", cause: new(FileError),
			active: map[string]uint64{"settlement": 12, "dispatch": 8}},
		{name: "an unknown namespace",
			submitted: files(
				example.file("settlement", `namespace = "settlement"`, `namespace = "nobody"`),
				example.renumbered("dispatch", "8")),
			withheld: "nobody:0", cause: new(UnknownNamespaceError),
			active: map[string]uint64{"settlement": 12, "dispatch": 8}},
	}
	for i := range tests {
		if tests[i].routes == 0 {
			tests[i].routes = exampleRoutes
		}
	}
	return tests
}

// Each test changes the example, and states what is withheld, why, and what goes on.
func TestWithheldFiles(t *testing.T) {
	example := newExampleFleet(t)
	accepted := Merge(example.declaration, nil, example.files()).Accepted
	for _, test := range withholdTests(t, example) {
		t.Run(test.name, func(t *testing.T) {
			out := Merge(example.declaration, accepted, test.submitted)
			test.check(t, out)
			for _, c := range Check(example.declaration, out.Accepted, out.Accepted) {
				if c.Kind.Withholds() {
					t.Errorf("what goes on conflicts: %v", c)
				}
			}
		})
	}
}

func (test *withholdTest) check(t *testing.T, out Outcome) {
	t.Helper()
	var withheld []string
	for _, w := range out.Withheld {
		withheld = append(withheld, fmt.Sprintf("%s:%d", w.Namespace, w.Active))
		if test.cause != nil && (!errors.As(error(w), test.cause) || operatorerror.AdviceOf(w) == "") {
			t.Errorf("%v is no %T", w, test.cause)
		}
	}
	if got := strings.Join(withheld, " "); got != test.withheld {
		t.Errorf("withheld %q, want %q: %v", got, test.withheld, out.Withheld)
	}
	for _, f := range out.Accepted {
		if want, ok := test.active[f.Name]; ok && f.Number != want {
			t.Errorf("%s goes on with %d, want %d", f.Name, f.Number, want)
		}
	}
	if len(out.Policy.Routes) != test.routes {
		t.Errorf("%d routes, want %d", len(out.Policy.Routes), test.routes)
	}
	if test.kind == "" {
		return
	}
	if len(out.Conflicts) == 0 || out.Conflicts[0].Kind != test.kind || out.Conflicts[0].Withheld == "" {
		t.Fatalf("conflicts %v, want %s", out.Conflicts, test.kind)
	}
	if test.kind == Contradiction {
		wantPrefix(t, out.Conflicts[0].Request, "/book/vip")
	}
}

// wantWithheld checks that one namespace has something withheld, with a cause of a type if that is not nil.
func wantWithheld(t *testing.T, out Outcome, namespace string, cause any) {
	t.Helper()
	if len(out.Withheld) != 1 || out.Withheld[0].Namespace != namespace {
		t.Fatalf("withheld %v", out.Withheld)
	}
	if cause != nil && !errors.As(error(out.Withheld[0]), cause) {
		t.Errorf("%v is no %T", out.Withheld[0], cause)
	}
}

// A declaration that withdraws a part of a domain removes the rules in it, and no others; granted again, they return.
func TestDeclarationWithdrawsDomain(t *testing.T) {
	example := newExampleFleet(t)
	base := Merge(example.declaration, nil, example.files())
	narrowed := example.declarationWith(`path_prefixes = ["/book"]`, `path_prefixes = ["/books"]`)
	out := Merge(narrowed, base.Accepted, nil)
	wantWithheld(t, out, "booking-desks", new(OutsideDomainError))
	if !slices.Equal(out.Withheld[0].RemovedRules, []string{"route book"}) {
		t.Errorf("withheld %v", out.Withheld)
	}
	request := route.Request{Host: "n.desks.kigali.example.org", Path: "/book", Class: "booking"}
	if e, _ := out.Policy.Explain(&request); e.Route == nil || e.Route.Name != "dispatch/desks" {
		t.Errorf("the delegator's rule is not in force: %+v", e.Route)
	}
	if again := Merge(example.declaration, out.Accepted, nil); again.Hash != base.Hash || len(again.Withheld) != 0 {
		t.Errorf("granted again: withheld %v", again.Withheld)
	}
	// A file that is submitted at the same time is outside the domain as well.
	out = Merge(narrowed, base.Accepted, []*File{example.renumbered("booking-desks", "4")})
	wantWithheld(t, out, "booking-desks", nil)
	if out.Withheld[0].Submitted != 4 || out.Withheld[0].Active != 3 {
		t.Errorf("withheld %v", out.Withheld)
	}
}

// A declaration that lowers a limit removes the minimum of the last namespace by precedence.
func TestDeclarationLowersLimit(t *testing.T) {
	example := newExampleFleet(t)
	accepted := Merge(example.declaration, nil, example.files()).Accepted
	lowered := example.declarationWith("whole = 12000", "whole = 9000")
	wantWithheld(t, Merge(lowered, accepted, nil), "booking-desks", new(MinimumsExceedLimitError))
}

// If a declaration drops a namespace, routes of others to its services are removed.
func TestDeclarationDropsNamespace(t *testing.T) {
	example := newExampleFleet(t)
	accepted := Merge(example.declaration, nil, example.files()).Accepted
	renamed := strings.ReplaceAll(example.texts[exampleDeclaration], `"dispatch"`, `"despatch"`)
	out := Merge(mustParseDeclaration(t, renamed), accepted, nil)
	var names []string
	for _, w := range out.Withheld {
		names = append(names, w.Namespace)
	}
	if !slices.Equal(names, []string{"booking-desks", "dispatch"}) {
		t.Fatalf("withheld %v", out.Withheld)
	}
	if !slices.Equal(out.Withheld[0].RemovedRules, []string{"route book"}) {
		t.Errorf("withheld %v", out.Withheld)
	}
}

func TestOrderAndDuplicatesDoNotMatter(t *testing.T) {
	example := newExampleFleet(t)
	dispatch := example.file("dispatch")
	settlement := example.file("settlement")
	desks := example.file("booking-desks")
	want := Merge(example.declaration, nil, []*File{dispatch, settlement, desks})
	for _, set := range [][]*File{
		{desks, settlement, dispatch},
		{settlement, settlement, desks, dispatch, dispatch},
		{settlement, desks, example.file("dispatch"), dispatch},
	} {
		if got := Merge(example.declaration, nil, set); got.Hash != want.Hash || len(got.Withheld) > 0 {
			t.Errorf("another policy: %v", got.Withheld)
		}
	}
	// What has no conflict may be submitted in any parts.
	rng := rand.New(rand.NewPCG(1, 2))
	for range 20 {
		order := rng.Perm(3)
		if slices.Index(order, 2) < slices.Index(order, 0) {
			continue // the desks lead to a service of dispatch, and are withheld until it is there
		}
		var accepted []*File
		for _, i := range order {
			submitted := []*File{dispatch, settlement, desks}[i]
			accepted = Merge(example.declaration, accepted, []*File{submitted}).Accepted
		}
		if got := Merge(example.declaration, accepted, nil); got.Hash != want.Hash {
			t.Errorf("another policy: %v", got.Withheld)
		}
	}
}

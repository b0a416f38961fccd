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

// quotedList returns a TOML list of count different strings.
func quotedList(count int) string {
	var values []string
	for i := range count {
		values = append(values, fmt.Sprintf("%q", fmt.Sprint("v", i)))
	}
	return "[" + strings.Join(values, ", ") + "]"
}

// Files whose routes are each within maxCombinations can exceed it together. Then the file that grew is withheld.
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
		t.Fatalf("Merge of files within the limit withholds %v, want nothing withheld", out.Withheld)
	}
	out = Merge(example.declaration, out.Accepted, []*File{large})
	if len(out.Withheld) != 1 || out.Withheld[0].Namespace != "settlement" || out.Withheld[0].Active != 13 {
		t.Errorf("Merge of the larger file withholds %v, want settlement withheld and its version 13 active",
			out.Withheld)
	}
	if out.Conflicts[0].Kind != TooManyCombinations {
		t.Errorf("Merge of the larger file reports the conflicts %v, want first one of kind %s",
			out.Conflicts, TooManyCombinations)
	}
	if _, err := out.Policy.Table(); err != nil {
		t.Errorf("Policy.Table after the larger file was withheld = error %v, want none", err)
	}
	// If both files are accepted already (a changed declaration can return a domain to its namespace), the namespace
	// that is last by precedence loses its routes.
	out = Merge(example.declaration, []*File{dispatch, large}, nil)
	if len(out.Withheld) != 1 || out.Withheld[0].Namespace != "settlement" {
		t.Fatalf("Merge of two accepted files that exceed the limit withholds %v, want only settlement", out.Withheld)
	}
	if !slices.Equal(out.Withheld[0].RemovedRules, []string{"route payouts"}) {
		t.Errorf("Merge of two accepted files that exceed the limit withholds %v, want \"route payouts\" removed",
			out.Withheld)
	}
}

// withholdTest merges submitted files while the unchanged files of the example are the accepted ones. A nil wantCause,
// an empty wantKind and namespaces that are not in wantActive are not checked. WantWithheld is separated by spaces; it
// is empty if nothing is withheld.
type withholdTest struct {
	name         string
	submitted    []*File
	wantWithheld string            // withheld namespaces as namespace:number of the active file
	wantCause    any               // pointer to the type of the error that is the cause
	wantKind     ConflictKind      // kind of the first reported conflict
	wantActive   map[string]uint64 // numbers of the accepted files, by namespace
	wantRoutes   int               // number of routes in the policy; 0 means that of the example
}

// withholdTests returns the cases of TestWithheldFiles.
func withholdTests(t *testing.T, example *exampleFleet) []withholdTest {
	t.Helper()
	const exampleRoutes = 4
	files := func(f ...*File) []*File { return f }
	unreadableFile := UnreadableFile("settlement", FileError{Path: "s.toml", Line: 3, Err: errors.New("no TOML")})
	// Adds a route of the delegator (dispatch) for a part of the requests that the delegate's (booking-desks) matches.
	overlappingRouteEdits := []string{"[[route]]\nname = \"desks\"", "[[route]]\nname = \"vip\"\n" +
		"host = \"*.desks.kigali.example.org\"\npath_prefix = \"/book/vip\"\n" +
		"to = [{ service = \"dispatch\" }]\n[[route]]\nname = \"desks\""}
	// Narrows the delegate's route, so that it has precedence over the delegator's.
	narrowedRouteEdits := []string{`path_prefix = "/book"`, `path_prefix = "/book/vip/x"`}
	toDispatch := "to = [{ service = \"dispatch\" }]"
	toDesks := "to = [{ service = \"desks\" }]"
	allRoute := "name = \"all\"\nhost = \"dispatch.kigali.example.org\"\n"
	// Removes the service dispatch and leads the routes of its own file elsewhere.
	removedServiceEdits := []string{
		"[[service]]\nname = \"dispatch\"", "[[service]]\nname = \"dispatch\"\nremoved = true",
		allRoute + toDispatch, allRoute + toDesks,
		toDispatch, toDesks,
	}
	tests := []withholdTest{
		{name: "the accepted files again", submitted: example.files(),
			wantActive: map[string]uint64{"dispatch": 7, "settlement": 12, "booking-desks": 3}},
		{name: "a delegator's route matches requests of its delegate's route",
			submitted: files(example.renumbered("dispatch", "8", overlappingRouteEdits...),
				example.renumbered("settlement", "13")),
			wantWithheld: "dispatch:7", wantCause: new(ConflictError), wantKind: Contradiction,
			wantActive: map[string]uint64{"dispatch": 7, "settlement": 13}},
		{name: "two files changed, only one causes the conflict",
			submitted: files(example.renumbered("dispatch", "8", overlappingRouteEdits...),
				example.renumbered("booking-desks", "4", `weight = 9.0`, `weight = 8.0`)),
			wantWithheld: "dispatch:7", wantCause: new(ConflictError), wantKind: Contradiction,
			wantActive: map[string]uint64{"dispatch": 7, "booking-desks": 4}},
		{name: "two changed files conflict only with each other",
			submitted: files(example.renumbered("dispatch", "8", "cap = 3000", "cap = 1250"),
				example.renumbered("booking-desks", "4", "min = 1200", "min = 1300")),
			wantWithheld: "booking-desks:3", wantCause: new(ConflictError), wantKind: CapBelowMinimum,
			wantActive: map[string]uint64{"dispatch": 8, "booking-desks": 3}},
		{name: "two changed files do not conflict",
			submitted: files(example.renumbered("dispatch", "8", overlappingRouteEdits...),
				example.renumbered("booking-desks", "4", narrowedRouteEdits...)),
			wantActive: map[string]uint64{"dispatch": 8, "booking-desks": 4}, wantRoutes: exampleRoutes + 1},
		{name: "a route outside its namespace's domain",
			submitted: files(
				example.renumbered("settlement", "13",
					`host = "pay.kigali.example.org"`, `host = "*.kigali.example.org"`),
				example.renumbered("dispatch", "9")),
			wantWithheld: "settlement:12", wantCause: new(OutsideDomainError),
			wantActive: map[string]uint64{"dispatch": 9, "settlement": 12}},
		{name: "minimums exceed the quota's limit",
			submitted: files(example.renumbered("settlement", "13", "min = 2400", "min = 5400"),
				example.renumbered("booking-desks", "4", "min = 1200", "min = 1000")),
			wantWithheld: "settlement:12", wantCause: new(MinimumsExceedLimitError), wantKind: MinimumsExceedLimit,
			wantActive: map[string]uint64{"booking-desks": 4, "settlement": 12}},
		{name: "a delegator's cap below its delegate's minimum",
			submitted:    files(example.renumbered("dispatch", "8", "cap = 3000", "cap = 1000")),
			wantWithheld: "dispatch:7", wantCause: new(ConflictError), wantKind: CapBelowMinimum,
			wantActive: map[string]uint64{"dispatch": 7}},
		{name: "a removed service that another namespace's route leads to",
			submitted:    files(example.renumbered("dispatch", "8", removedServiceEdits...)),
			wantWithheld: "dispatch:7", wantCause: new(ConflictError), wantKind: ServiceRemoved,
			wantActive: map[string]uint64{"dispatch": 7}},
		{name: "a route to an undefined service",
			submitted: files(example.renumbered("settlement", "13",
				`to = [{ service = "settlement" }]`, `to = [{ service = "setlement" }]`)),
			wantWithheld: "settlement:12", wantCause: new(ConflictError), wantKind: ServiceRemoved,
			wantActive: map[string]uint64{"settlement": 12}},
		{name: "a service that another namespace defines differently",
			submitted: files(example.renumbered("settlement", "13",
				"[[route]]", "[[service]]\nname = \"desks\"\nkinds = [\"x\"]\n[[route]]")),
			wantWithheld: "settlement:12", wantCause: new(ConflictError), wantKind: InconsistentDefinition,
			wantActive: map[string]uint64{"settlement": 12}},
		{name: "the accepted file's number with other content",
			submitted:    files(example.renumbered("settlement", "12", "cap = 6000", "cap = 5000")),
			wantWithheld: "settlement:12", wantCause: new(VersionTakenError),
			wantActive: map[string]uint64{"settlement": 12}},
		{name: "a number below the accepted file's",
			submitted:    files(example.renumbered("settlement", "11", "cap = 6000", "cap = 5000")),
			wantWithheld: "settlement:12", wantCause: new(VersionTakenError),
			wantActive: map[string]uint64{"settlement": 12}},
		{name: "two submitted files with the same number and different content",
			submitted: files(example.renumbered("settlement", "13", "cap = 6000", "cap = 5000"),
				example.renumbered("settlement", "13")),
			wantWithheld: "settlement:12", wantCause: new(VersionTakenError),
			wantActive: map[string]uint64{"settlement": 12}},
		{name: "an unreadable file",
			submitted:    files(unreadableFile, example.renumbered("dispatch", "8")),
			wantWithheld: "settlement:12", wantCause: new(FileError),
			wantActive: map[string]uint64{"settlement": 12, "dispatch": 8}},
		{name: "a namespace that the declaration does not have",
			submitted: files(
				example.file("settlement", `namespace = "settlement"`, `namespace = "nobody"`),
				example.renumbered("dispatch", "8")),
			wantWithheld: "nobody:0", wantCause: new(UnknownNamespaceError),
			wantActive: map[string]uint64{"settlement": 12, "dispatch": 8}},
	}
	for i := range tests {
		if tests[i].wantRoutes == 0 {
			tests[i].wantRoutes = exampleRoutes
		}
	}
	return tests
}

// Each case submits changed files of the example, and checks which are withheld, why, and which files stay active.
func TestWithheldFiles(t *testing.T) {
	example := newExampleFleet(t)
	accepted := Merge(example.declaration, nil, example.files()).Accepted
	for _, test := range withholdTests(t, example) {
		t.Run(test.name, func(t *testing.T) {
			out := Merge(example.declaration, accepted, test.submitted)
			test.check(t, out)
			for _, c := range Check(example.declaration, out.Accepted, out.Accepted) {
				if c.Kind.Withholds() {
					t.Errorf("Check of the accepted files finds %v, want no conflict that withholds a file", c)
				}
			}
		})
	}
}

// check compares the outcome of the merge with what the test wants.
func (test *withholdTest) check(t *testing.T, out Outcome) {
	t.Helper()
	var withheld []string
	for _, w := range out.Withheld {
		withheld = append(withheld, fmt.Sprintf("%s:%d", w.Namespace, w.Active))
		if test.wantCause != nil && (!errors.As(error(w), test.wantCause) || operatorerror.AdviceOf(w) == "") {
			t.Errorf("Merge withholds %v, want an error with advice that wraps a %T", w, test.wantCause)
		}
	}
	if got := strings.Join(withheld, " "); got != test.wantWithheld {
		t.Errorf("Merge withholds (namespace:active number) %q, want %q; errors: %v",
			got, test.wantWithheld, out.Withheld)
	}
	for _, f := range out.Accepted {
		if want, ok := test.wantActive[f.Name]; ok && f.Number != want {
			t.Errorf("Merge accepts for namespace %s the file with number %d, want %d", f.Name, f.Number, want)
		}
	}
	if len(out.Policy.Routes) != test.wantRoutes {
		t.Errorf("Merge returns a policy with %d routes, want %d", len(out.Policy.Routes), test.wantRoutes)
	}
	if test.wantKind == "" {
		return
	}
	if len(out.Conflicts) == 0 || out.Conflicts[0].Kind != test.wantKind || out.Conflicts[0].Withheld == "" {
		t.Fatalf("Merge reports the conflicts %v, want first one of kind %s that names the withheld namespace",
			out.Conflicts, test.wantKind)
	}
	if test.wantKind == Contradiction {
		checkPathPrefix(t, out.Conflicts[0].Request, "/book/vip")
	}
}

// checkOnlyWithheld checks that one namespace alone has something withheld, and that the cause has the type that
// wantCause points to, unless wantCause is nil.
func checkOnlyWithheld(t *testing.T, out Outcome, namespace string, wantCause any) {
	t.Helper()
	if len(out.Withheld) != 1 || out.Withheld[0].Namespace != namespace {
		t.Fatalf("Merge withholds %v, want only something of namespace %s withheld", out.Withheld, namespace)
	}
	if wantCause != nil && !errors.As(error(out.Withheld[0]), wantCause) {
		t.Errorf("Merge withholds %v, want an error that wraps a %T", out.Withheld[0], wantCause)
	}
}

// A declaration that takes a part of a domain from a namespace removes its rules about that part, and no others. They
// return when the declaration gives the part back.
func TestDeclarationWithdrawsDomain(t *testing.T) {
	example := newExampleFleet(t)
	base := Merge(example.declaration, nil, example.files())
	narrowed := example.declarationWith(`path_prefixes = ["/book"]`, `path_prefixes = ["/books"]`)
	out := Merge(narrowed, base.Accepted, nil)
	checkOnlyWithheld(t, out, "booking-desks", new(OutsideDomainError))
	if !slices.Equal(out.Withheld[0].RemovedRules, []string{"route book"}) {
		t.Errorf("Merge with the narrowed declaration withholds %v, want \"route book\" removed", out.Withheld)
	}
	request := route.Request{Host: "n.desks.kigali.example.org", Path: "/book", Class: "booking"}
	if e, _ := out.Policy.Explain(&request); e.Route == nil || e.Route.Name != "dispatch/desks" {
		t.Errorf("Explain(%+v) with the narrowed declaration gives route %+v, want the delegator's, dispatch/desks",
			request, e.Route)
	}
	if again := Merge(example.declaration, out.Accepted, nil); again.Hash != base.Hash || len(again.Withheld) != 0 {
		t.Errorf("Merge with the first declaration again = policy %s, withheld %v; want policy %s, nothing withheld",
			again.Hash, again.Withheld, base.Hash)
	}
	// A file that is submitted together with the narrowed declaration is outside the domain as well.
	out = Merge(narrowed, base.Accepted, []*File{example.renumbered("booking-desks", "4")})
	checkOnlyWithheld(t, out, "booking-desks", nil)
	if out.Withheld[0].Submitted != 4 || out.Withheld[0].Active != 3 {
		t.Errorf("Merge of version 4 with the narrowed declaration withholds %v, want 4 withheld and 3 active",
			out.Withheld)
	}
}

// A declaration that lowers a limit removes the minimum of the last namespace by precedence.
func TestDeclarationLowersLimit(t *testing.T) {
	example := newExampleFleet(t)
	accepted := Merge(example.declaration, nil, example.files()).Accepted
	lowered := example.declarationWith("whole = 12000", "whole = 9000")
	checkOnlyWithheld(t, Merge(lowered, accepted, nil), "booking-desks", new(MinimumsExceedLimitError))
}

// If a declaration no longer has a namespace, routes of others to its services are removed.
func TestDeclarationDropsNamespace(t *testing.T) {
	example := newExampleFleet(t)
	accepted := Merge(example.declaration, nil, example.files()).Accepted
	renamedNamespace := strings.ReplaceAll(example.texts[exampleDeclaration], `"dispatch"`, `"despatch"`)
	out := Merge(mustParseDeclaration(t, renamedNamespace), accepted, nil)
	var names []string
	for _, w := range out.Withheld {
		names = append(names, w.Namespace)
	}
	if !slices.Equal(names, []string{"booking-desks", "dispatch"}) {
		t.Fatalf("Merge without the namespace dispatch withholds %v, want booking-desks and dispatch", out.Withheld)
	}
	if !slices.Equal(out.Withheld[0].RemovedRules, []string{"route book"}) {
		t.Errorf("Merge without the namespace dispatch withholds %v, want \"route book\" of booking-desks removed",
			out.Withheld)
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
			t.Errorf("Merge(%s) = policy %s, withheld %v; want policy %s, nothing withheld",
				fileNames(set), got.Hash, got.Withheld, want.Hash)
		}
	}
	// Files without a conflict give the same policy if they are merged one after the other.
	rng := rand.New(rand.NewPCG(1, 2))
	for range 20 {
		order := rng.Perm(3)
		if slices.Index(order, 2) < slices.Index(order, 0) {
			continue // booking-desks has a route to a service of dispatch, and is withheld until that is defined
		}
		var accepted []*File
		for _, i := range order {
			submitted := []*File{dispatch, settlement, desks}[i]
			accepted = Merge(example.declaration, accepted, []*File{submitted}).Accepted
		}
		if got := Merge(example.declaration, accepted, nil); got.Hash != want.Hash {
			t.Errorf("Merge of dispatch, settlement, booking-desks in the order %v = policy %s, withheld %v; want %s",
				order, got.Hash, got.Withheld, want.Hash)
		}
	}
}

// fileNames returns the namespaces of files, in their order.
func fileNames(files []*File) string {
	var names []string
	for _, f := range files {
		names = append(names, f.Name)
	}
	return strings.Join(names, ", ")
}

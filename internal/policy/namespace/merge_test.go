package namespace

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"lapisspread/internal/operatorerror"
	"lapisspread/internal/processquota"
	"lapisspread/internal/route"
)

// shipped reads the example; change replaces text in one of its files.
func shipped(t testing.TB, change ...string) (*Declaration, map[string]string) {
	t.Helper()
	texts := map[string]string{}
	for _, name := range []string{"charter", "dispatch", "settlement", "booking-desks"} {
		text, err := os.ReadFile(filepath.Join("..", "..", "..", "deploy", "fleet", name+".toml"))
		if err != nil {
			t.Fatal(err)
		}
		texts[name] = string(text)
	}
	c, err := ParseDeclaration("charter.toml", []byte(texts["charter"]))
	if err != nil {
		t.Fatal(err)
	}
	return c, texts
}

func parse(t testing.TB, text string, change ...string) *File {
	t.Helper()
	for i := 0; i < len(change); i += 2 {
		if !strings.Contains(text, change[i]) {
			t.Fatalf("%q is not in the text", change[i])
		}
		text = strings.Replace(text, change[i], change[i+1], 1)
	}
	n, err := Parse("f.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return n
}

func TestTheShippedFilesAreGood(t *testing.T) {
	c, texts := shipped(t)
	set := []*File{parse(t, texts["dispatch"]), parse(t, texts["settlement"]), parse(t, texts["booking-desks"])}
	out := Merge(c, nil, set)
	if len(out.Withheld) != 0 || len(out.Conflicts) != 0 {
		t.Fatalf("held %v, conflicts %v", out.Withheld, out.Conflicts)
	}
	for _, k := range []struct {
		q           route.Request
		route, give string
		bears       string
		blocks      int
	}{
		{route.Request{Host: "N1.desks.kigali.example.org:80", Path: "/book/7", Class: "booking"}, "booking-desks/book", "4s", "ageing", 0},
		{route.Request{Host: "n1.desks.kigali.example.org", Path: "/book/7", Class: "list"}, "dispatch/desks", "", "", 0},
		{route.Request{Host: "dispatch.kigali.example.org", Path: "/v0/x"}, "dispatch/all", "", "doubtful", 1},
		{route.Request{Host: "pay.kigali.example.org", Path: "/", Class: "driver-payout"}, "settlement/payouts", "2s", "fresh", 0},
	} {
		e, err := out.Policy.Explain(&k.q)
		if err != nil || e.Route == nil || e.Route.Name != k.route || len(e.Blocks) != k.blocks || e.Reasons[0].Rule.Name != k.route {
			t.Errorf("%+v: %+v %v", k.q, e, err)
			continue
		}
		if k.give != "" && e.Class.Deadline.Value.String() != k.give {
			t.Errorf("%+v: gives up after %v", k.q, e.Class.Deadline)
		}
		if (e.Staleness != nil) != (k.bears != "") || e.Staleness != nil && e.Staleness.MaxLevel.Value != k.bears {
			t.Errorf("%+v: bears %+v", k.q, e.Staleness)
		}
	}
	if e, _ := out.Policy.Explain(&route.Request{Host: "else.org", Path: "/"}); e.Verdict != route.UnknownHost || e.Route != nil {
		t.Errorf("a host of nobody: %+v", e)
	}
}

func TestEachSettingJoinsInItsWay(t *testing.T) {
	c, texts := shipped(t)
	set := []*File{parse(t, texts["booking-desks"], `effect = "unsafe"`, `effect = "safe"`),
		parse(t, texts["dispatch"], `give_up = "4s"`, "give_up = \"4s\"\naim = \"800ms\"\neffect = \"unsafe\"\nlate = 0.5",
			"name = \"all\"\n", "name = \"all\"\nsticky = \"key\"\n")}
	out := Merge(c, nil, set)
	if len(out.Withheld) != 0 {
		t.Fatal(out.Withheld)
	}
	b := out.Policy.Classes[0]
	own, given := Source{"booking-desks", 3, "class booking"}, Source{"dispatch", 7, "class booking"}
	for name, k := range map[string]struct{ got, want any }{
		"aim: both say it":       {b.LatencyObjective, &Value[time.Duration]{800 * time.Millisecond, []Source{own, given}}},
		"give_up: the strictest": {b.Deadline, &Value[time.Duration]{4 * time.Second, []Source{given}}},
		"effect: never twice":    {b.Effect, &Value[string]{"unsafe", []Source{given}}},
		"worth: the owner":       {b.PriorityWeight, &Value[float64]{4, []Source{own}}},
		"late: who says it":      {b.LateFraction, &Value[float64]{0.5, []Source{given}}},
		"share": {out.Policy.Shares[0], PolicyShare{"attempts", 12000, "booking-desks", &Value[int64]{1200, []Source{{"booking-desks", 3, "budget attempts"}}},
			&Value[int64]{3000, []Source{{"dispatch", 7, "budget attempts booking-desks"}}}, &Value[float64]{1, []Source{{"booking-desks", 3, "budget attempts"}}}}},
	} {
		if !reflect.DeepEqual(k.got, k.want) {
			t.Errorf("%s: %+v, want %+v", name, k.got, k.want)
		}
	}
}

func TestSharesAreABudgetsOwn(t *testing.T) {
	c, texts := shipped(t)
	p := Merge(c, nil, []*File{parse(t, texts["dispatch"]), parse(t, texts["settlement"]), parse(t, texts["booking-desks"])}).Policy
	pool, err := processquota.NewPool(processquota.PoolSettings{Total: 12000, Recall: time.Second, Lend: 0.5}, p.QuotaShares("attempts"))
	if err != nil {
		t.Fatal(err)
	}
	want := map[string]processquota.Share{"dispatch": {Min: 6000, Weight: 3}, "settlement": {Min: 2400, Cap: 6000, Weight: 1}, "booking-desks": {Min: 1200, Cap: 3000, Weight: 1}}
	for name, use := range pool.Usage(0) {
		if use.Share != want[name] {
			t.Errorf("%s: %+v, want %+v", name, use.Share, want[name])
		}
	}
}

// Files that are small enough one by one can be too much for one table: then the one that grew is held.
func TestTooManyRoutesTogether(t *testing.T) {
	c, texts := shipped(t)
	list := func(n int) string {
		var names []string
		for i := range n {
			names = append(names, fmt.Sprintf("%q", fmt.Sprint("v", i)))
		}
		return "[" + strings.Join(names, ", ") + "]"
	}
	many := "\nmethods = " + list(40) + "\ntenants = " + list(50) + "\n"
	d := parse(t, texts["dispatch"], "number = 7", "number = 8", `host = "dispatch.kigali.example.org"`, `host = "dispatch.kigali.example.org"`+many+"classes = "+list(maxCombinations*6/10/(40*50)))
	s := parse(t, texts["settlement"], "number = 12", "number = 13", `host = "pay.kigali.example.org"`, `host = "pay.kigali.example.org"`+many)
	more := parse(t, texts["settlement"], "number = 12", "number = 14", `host = "pay.kigali.example.org"`, `host = "pay.kigali.example.org"`+strings.Replace(many, "methods = ", "methods = "+list(maxCombinations/200)+" # ", 1))
	out := Merge(c, nil, []*File{d, s})
	if len(out.Withheld) != 0 {
		t.Fatal(out.Withheld)
	}
	out = Merge(c, out.Accepted, []*File{more})
	if len(out.Withheld) != 1 || out.Withheld[0].Namespace != "settlement" || out.Withheld[0].Active != 13 || out.Conflicts[0].Kind != TooManyCombinations {
		t.Errorf("held %v", out.Withheld)
	}
	if _, err := out.Policy.Table(); err != nil {
		t.Error(err)
	}
	// Both last good, as after a charter gave a domain back: the last by the order loses its routes.
	out = Merge(c, []*File{d, more}, nil)
	if len(out.Withheld) != 1 || out.Withheld[0].Namespace != "settlement" || !slices.Equal(out.Withheld[0].RemovedRules, []string{"route payouts"}) {
		t.Errorf("held %v", out.Withheld)
	}
}

func TestPoliciesHaveOneEncoding(t *testing.T) {
	c, texts := shipped(t)
	set := []*File{parse(t, texts["dispatch"]), parse(t, texts["settlement"]), parse(t, texts["booking-desks"])}
	p := Merge(c, nil, set).Policy
	text := p.Encode()
	back, err := Decode(text)
	if err != nil || !bytes.Equal(back.Encode(), text) || back.Hash() != p.Hash() {
		t.Fatalf("read back: %v", err)
	}
	for _, bad := range []string{"", "{}", string(text) + " ", " " + string(text), strings.Replace(string(text), `"form":1`, `"form":2`, 1),
		strings.Replace(string(text), `"form":1`, `"form":1,"x":1`, 1), strings.Replace(string(text), `"weight":9`, `"weight":9.0`, 1),
		strings.Replace(string(text), `"path_prefix":"/book"`, `"path_prefix":"book"`, 1), strings.Replace(string(text), `"weight":9`, `"weight":null`, 1)} {
		if _, err := Decode([]byte(bad)); err == nil {
			t.Errorf("%.80s was read", bad)
		}
	}
}

func TestBadFilesNameFileLineAndKey(t *testing.T) {
	_, texts := shipped(t)
	for _, k := range []struct{ from, to, want string }{
		{"version = 1", "version = 3", "f.toml:2: version: 3"},
		{"number = 7", "", "f.toml: number: left out"},
		{`min = 6000`, `mins = 6000`, `unknown key "budget.mins"`},
		{`bears = "doubtful"`, `bears = "old"`, `f.toml:13: route[0].bears: "old" is none of confirmed, fresh, ageing, doubtful, blind`},
		{`host = "dispatch.kigali.example.org"`, `host = "Dispatch"`, `f.toml:9: route[0]: host`},
		{`to = [{ service = "dispatch" }]`, `to = []`, "f.toml:12: route[0].to: no service"},
		{`name = "desks"`, `name = "all"`, "f.toml:15: route[1]: route all is there twice"},
		{`host = "*.desks.kigali.example.org"`, `host = "dispatch.kigali.example.org"`, `f.toml:15: route[1]: ties with route[0] "all"`},
		{`effect = "safe"`, `effect = "maybe"`, "class[1].effect"},
		{`aim = "300ms"`, `aim = "3s"`, "class[1].aim: aim 3s and give_up 1s"},
		{`cap = 3000`, `min = 3000`, "for another namespace only a cap"},
		{`do = "detach"`, `do = "stop"`, `order[0].do: "stop" is neither`},
		{`until = 2026-12-01T08:00:00Z`, `until = 2026-12-01T05:00:00Z`, "order[0].until: it is not after from"},
		{`from = 2026-12-01T06:00:00Z`, `from = 2026-12-01T06:00:00`, "order[0].from: a time needs its offset"},
		{`[[order]]`, "[[order]]\nname = \"x\"\nserver = \"d-17\"\nzone = \"2\"\ndo = \"attach\"\n[[order]]", `order[1]: contradicts order[0] "x"`},
		{`path_prefix = "/v0"`, `path_prefix = "v0"`, "block[0]: path_prefix"},
	} {
		text := strings.Replace(texts["dispatch"], k.from, k.to, 1)
		_, err := Parse("f.toml", []byte(text))
		var file FileError
		if err == nil || !strings.Contains(err.Error(), k.want) || !errors.As(err, &file) || operatorerror.AdviceOf(err) == "" {
			t.Errorf("%s: %v, want %q", k.to, err, k.want)
		}
	}
}

// Each row changes the example. What it holds back, what goes on, and why are stated.
func TestWhoIsHeld(t *testing.T) {
	c, texts := shipped(t)
	base := Merge(c, nil, []*File{parse(t, texts["dispatch"]), parse(t, texts["settlement"]), parse(t, texts["booking-desks"])}).Accepted
	up := func(name, to string, change ...string) *File {
		from := map[string]string{"dispatch": "number = 7", "settlement": "number = 12", "booking-desks": "number = 3"}[name]
		return parse(t, texts[name], append([]string{from, "number = " + to}, change...)...)
	}
	across := []string{"[[route]]\nname = \"desks\"", "[[route]]\nname = \"grab\"\nhost = \"*.desks.kigali.example.org\"\npath_prefix = \"/book/vip\"\nto = [{ service = \"dispatch\" }]\n[[route]]\nname = \"desks\""}
	vip := []string{`path_prefix = "/book"`, `path_prefix = "/book/vip/x"`}
	for _, k := range []struct {
		name  string
		offer []*File
		held  string // namespace:number that holds
		why   any
		kind  ConflictKind
		on    map[string]uint64
	}{
		{"nothing new", base, "", nil, "", map[string]uint64{"dispatch": 7, "settlement": 12, "booking-desks": 3}},
		{"the giver reaches over the delegate's", []*File{up("dispatch", "8", across...), up("settlement", "13")}, "dispatch:7", new(ConflictError), Contradiction,
			map[string]uint64{"dispatch": 7, "settlement": 13}},
		{"both changed, one alone is the cause", []*File{up("dispatch", "8", across...), up("booking-desks", "4", `weight = 9.0`, `weight = 8.0`)}, "dispatch:7", new(ConflictError), Contradiction,
			map[string]uint64{"dispatch": 7, "booking-desks": 4}},
		{"both changed, and meet only as both are new", []*File{up("dispatch", "8", "cap = 3000", "cap = 1250"), up("booking-desks", "4", "min = 1200", "min = 1300")}, "booking-desks:3",
			new(ConflictError), CapBelowMinimum, map[string]uint64{"dispatch": 8, "booking-desks": 3}},
		{"both changed, and don't meet", []*File{up("dispatch", "8", across...), up("booking-desks", "4", vip...)}, "", nil, "",
			map[string]uint64{"dispatch": 8, "booking-desks": 4}},
		{"out of its domain", []*File{up("settlement", "13", `host = "pay.kigali.example.org"`, `host = "*.kigali.example.org"`), up("dispatch", "9")}, "settlement:12",
			new(OutsideDomainError), "", map[string]uint64{"dispatch": 9, "settlement": 12}},
		{"too high a minimum", []*File{up("settlement", "13", "min = 2400", "min = 5400"), up("booking-desks", "4", "min = 1200", "min = 1000")}, "settlement:12", new(MinimumsExceedLimitError), MinimumsExceedLimit,
			map[string]uint64{"booking-desks": 4, "settlement": 12}},
		{"a cap under a minimum", []*File{up("dispatch", "8", "cap = 3000", "cap = 1000")}, "dispatch:7", new(ConflictError), CapBelowMinimum, map[string]uint64{"dispatch": 7}},
		{"a service that is led to goes", []*File{up("dispatch", "8", "[[service]]\nname = \"dispatch\"", "[[service]]\nname = \"dispatch\"\nremoved = true",
			"name = \"all\"\nhost = \"dispatch.kigali.example.org\"\nto = [{ service = \"dispatch\" }]", "name = \"all\"\nhost = \"dispatch.kigali.example.org\"\nto = [{ service = \"desks\" }]",
			"to = [{ service = \"dispatch\" }]", "to = [{ service = \"desks\" }]")}, "dispatch:7", new(ConflictError), ServiceRemoved, map[string]uint64{"dispatch": 7}},
		{"a route to nowhere", []*File{up("settlement", "13", `to = [{ service = "settlement" }]`, `to = [{ service = "setlement" }]`)}, "settlement:12", new(ConflictError), ServiceRemoved,
			map[string]uint64{"settlement": 12}},
		{"a service of another", []*File{up("settlement", "13", "[[route]]", "[[service]]\nname = \"desks\"\nkinds = [\"x\"]\n[[route]]")}, "settlement:12", new(ConflictError), InconsistentDefinition,
			map[string]uint64{"settlement": 12}},
		{"a number used before", []*File{up("settlement", "12", "cap = 6000", "cap = 5000")}, "settlement:12", new(VersionTakenError), "", map[string]uint64{"settlement": 12}},
		{"an older number", []*File{up("settlement", "11", "cap = 6000", "cap = 5000")}, "settlement:12", new(VersionTakenError), "", map[string]uint64{"settlement": 12}},
		{"one number, two contents", []*File{up("settlement", "13", "cap = 6000", "cap = 5000"), up("settlement", "13")}, "settlement:12", new(VersionTakenError), "",
			map[string]uint64{"settlement": 12}},
		{"a file that can't be read", []*File{UnreadableFile("settlement", FileError{Path: "s.toml", Line: 3, Err: errors.New("no TOML")}), up("dispatch", "8")}, "settlement:12",
			new(FileError), "", map[string]uint64{"settlement": 12, "dispatch": 8}},
		{"a namespace of nobody", []*File{parse(t, strings.Replace(texts["settlement"], `namespace = "settlement"`, `namespace = "nobody"`, 1)), up("dispatch", "8")}, "nobody:0",
			new(UnknownNamespaceError), "", map[string]uint64{"settlement": 12, "dispatch": 8}},
	} {
		out := Merge(c, base, k.offer)
		var held []string
		for _, h := range out.Withheld {
			held = append(held, h.Namespace+":"+string(rune('0'+h.Active/10))+string(rune('0'+h.Active%10)))
			if k.why != nil && (!errors.As(error(h), k.why) || operatorerror.AdviceOf(h) == "") {
				t.Errorf("%s: %v is no %T", k.name, h, k.why)
			}
		}
		got := strings.ReplaceAll(strings.Join(held, " "), ":0", ":")
		if got != k.held {
			t.Errorf("%s: held %q, want %q: %v", k.name, got, k.held, out.Withheld)
		}
		for _, n := range out.Accepted {
			if want, there := k.on[n.Name]; there && n.Number != want {
				t.Errorf("%s: %s goes on with %d, want %d", k.name, n.Name, n.Number, want)
			}
		}
		if k.kind != "" && (len(out.Conflicts) == 0 || out.Conflicts[0].Kind != k.kind || out.Conflicts[0].Withheld == "") {
			t.Errorf("%s: conflicts %v, want %s", k.name, out.Conflicts, k.kind)
		}
		if k.kind == Contradiction {
			q := out.Conflicts[0].Request
			if q == nil || !strings.HasPrefix(q.Path, "/book/vip") {
				t.Errorf("%s: the request is %+v", k.name, q)
			}
		}
		if left := Check(c, out.Accepted, out.Accepted); slices.ContainsFunc(left, func(x Conflict) bool { return x.Kind.Withholds() }) {
			t.Errorf("%s: what goes on conflicts: %v", k.name, left)
		}
		if len(out.Policy.Routes) != 4 && k.name != "both changed, and don't meet" {
			t.Errorf("%s: %d routes", k.name, len(out.Policy.Routes))
		}
	}
}

// A charter that takes a part of a domain back takes the rules in it, and no other; given again, they hold again.
func TestACharterTakesBack(t *testing.T) {
	c, texts := shipped(t)
	set := []*File{parse(t, texts["dispatch"]), parse(t, texts["settlement"]), parse(t, texts["booking-desks"])}
	base := Merge(c, nil, set)
	narrow, err := ParseDeclaration("c", []byte(strings.Replace(texts["charter"], `path_prefixes = ["/book"]`, `path_prefixes = ["/books"]`, 1)))
	if err != nil {
		t.Fatal(err)
	}
	out := Merge(narrow, base.Accepted, nil)
	if len(out.Withheld) != 1 || out.Withheld[0].Namespace != "booking-desks" || !slices.Equal(out.Withheld[0].RemovedRules, []string{"route book"}) || !errors.As(error(out.Withheld[0]), new(OutsideDomainError)) {
		t.Errorf("held %v", out.Withheld)
	}
	if e, _ := out.Policy.Explain(&route.Request{Host: "n.desks.kigali.example.org", Path: "/book", Class: "booking"}); e.Route == nil || e.Route.Name != "dispatch/desks" {
		t.Errorf("the giver's rule does not hold again: %+v", e.Route)
	}
	if again := Merge(c, out.Accepted, nil); again.Hash != base.Hash || len(again.Withheld) != 0 {
		t.Errorf("given again: held %v", again.Withheld)
	}
	// Taken from a namespace that offers a new file in the same moment: the new one is outside as well.
	out = Merge(narrow, base.Accepted, []*File{parse(t, texts["booking-desks"], "number = 3", "number = 4")})
	if len(out.Withheld) != 1 || out.Withheld[0].Submitted != 4 || out.Withheld[0].Active != 3 {
		t.Errorf("held %v", out.Withheld)
	}
	// A charter that lowers a whole cuts the minimum of the last by the order.
	low, err := ParseDeclaration("c", []byte(strings.Replace(texts["charter"], "whole = 12000", "whole = 9000", 1)))
	if err != nil {
		t.Fatal(err)
	}
	out = Merge(low, base.Accepted, nil)
	if len(out.Withheld) != 1 || out.Withheld[0].Namespace != "booking-desks" || !errors.As(error(out.Withheld[0]), new(MinimumsExceedLimitError)) {
		t.Errorf("held %v", out.Withheld)
	}
	// A namespace that the charter no longer has: routes of others to its service are cut, not left to lead nowhere.
	gone := strings.ReplaceAll(texts["charter"], `"dispatch"`, `"despatch"`)
	c2, err := ParseDeclaration("c", []byte(gone))
	if err != nil {
		t.Fatal(err)
	}
	out = Merge(c2, base.Accepted, nil)
	if len(out.Withheld) != 2 || out.Withheld[0].Namespace != "booking-desks" || out.Withheld[1].Namespace != "dispatch" || !slices.Equal(out.Withheld[0].RemovedRules, []string{"route book"}) {
		t.Errorf("held %v", out.Withheld)
	}
}

func TestOrderAndRepeatsChangeNothing(t *testing.T) {
	c, texts := shipped(t)
	d, s, b := parse(t, texts["dispatch"]), parse(t, texts["settlement"]), parse(t, texts["booking-desks"])
	want := Merge(c, nil, []*File{d, s, b})
	for _, set := range [][]*File{{b, s, d}, {s, s, b, d, d}, {s, b, parse(t, texts["dispatch"]), d}} {
		if got := Merge(c, nil, set); got.Hash != want.Hash || len(got.Withheld) > 0 {
			t.Errorf("another policy: %v", got.Withheld)
		}
	}
	// In groups: what has no conflict may come in any parts.
	rng := rand.New(rand.NewPCG(1, 2))
	for range 20 {
		var good []*File
		order := rng.Perm(3)
		if slices.Index(order, 2) < slices.Index(order, 0) {
			continue // the desks lead to a service of dispatch, and are rightly held until it is there
		}
		for _, i := range order {
			good = Merge(c, good, []*File{[]*File{d, s, b}[i]}).Accepted
		}
		if got := Merge(c, good, nil); got.Hash != want.Hash {
			t.Errorf("another policy: %v", got.Withheld)
		}
	}
}

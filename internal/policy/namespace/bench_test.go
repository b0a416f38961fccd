package namespace

import (
	"fmt"
	"slices"
	"strings"
	"testing"
)

// benchmarkFleet is a declaration of many teams with many rules, and their files.
type benchmarkFleet struct {
	declaration *Declaration
	files       []*File
	changed     []*File // new files of the first teams
}

// mostSettings is all settings but the class, as a TOML list.
const mostSettings = `["route", "block", "budget", "order", "service", "staleness"]`

// newBenchmarkFleet makes a fleet in which operations has rules for everything, and each team has a host of its own and
// a part of a host that all share, by tenant. Every tenth team delegates to the next. Changed teams also write a route
// that their delegator or their delegate has differently; with noService, one that leads to no service, too.
func newBenchmarkFleet(t testing.TB, teams, rules, changed int, noService bool) *benchmarkFleet {
	t.Helper()
	fleet := &benchmarkFleet{declaration: mustParseDeclaration(t, benchmarkDeclaration(teams))}
	fleet.files = append(fleet.files, benchmarkFile(t, "operations", 1, `[[service]]
name = "s"
[[route]]
name = "all"
to = [{ service = "s" }]
[[route]]
name = "health"
path = "/health"
to = [{ service = "s" }]
`))
	for team := range teams {
		name := fmt.Sprint("team-", team)
		body := benchmarkRules(team, rules)
		fleet.files = append(fleet.files, benchmarkFile(t, name, 1, body))
		if team >= changed {
			continue
		}
		if noService {
			body += benchmarkRoute("nowhere", fmt.Sprintf("team-%d.org", team), `path = "/nowhere"`, "none")
		}
		body += benchmarkRoute("new", fmt.Sprintf("team-%d.org", team), `path = "/lent/x"`, fmt.Sprint("s", team))
		fleet.changed = append(fleet.changed, benchmarkFile(t, name, 2, body))
	}
	return fleet
}

func benchmarkFile(t testing.TB, name string, number int, body string) *File {
	t.Helper()
	return mustParse(t, fmt.Sprintf("version = 1\nnamespace = %q\nnumber = %d\n%s", name, number, body))
}

func benchmarkRoute(name, host, match, service string) string {
	return fmt.Sprintf("[[route]]\nname = %q\nhost = %q\n%s\nto = [{ service = %q }]\n", name, host, match, service)
}

func benchmarkDeclaration(teams int) string {
	var text strings.Builder
	fmt.Fprintf(&text, `version = 1
[[budget]]
name = "attempts"
whole = %d
[[namespace]]
name = "operations"
owner = "o"
budgets = ["*"]
zones = ["*"]
settings = %s
`, teams*100, mostSettings)
	for i := range teams {
		fmt.Fprintf(&text, `[[namespace]]
name = "team-%[1]d"
owner = "t"
classes = ["class-%[1]d"]
settings = ["class"]
[[delegation]]
from = "operations"
to = "team-%[1]d"
hosts = ["team-%[1]d.org", "*.team-%[1]d.org"]
budgets = ["attempts"]
zones = ["z%[1]d"]
settings = %[2]s
[[delegation]]
from = "operations"
to = "team-%[1]d"
hosts = ["shared.org"]
tenants = ["tenant-%[1]d"]
settings = ["route"]
`, i, mostSettings)
		if i%10 == 0 {
			fmt.Fprintf(&text, `[[delegation]]
from = "team-%[1]d"
to = "team-%[2]d"
hosts = ["team-%[1]d.org"]
path_prefixes = ["/lent"]
settings = ["route"]
`, i, i+1)
		}
	}
	return text.String()
}

// benchmarkRules is the rules of a team: one of each other kind, and routes.
func benchmarkRules(team, rules int) string {
	const otherRules = 6
	var text strings.Builder
	fmt.Fprintf(&text, `[[service]]
name = "s%[1]d"
[[class]]
name = "class-%[1]d"
aim = "1s"
[[budget]]
name = "attempts"
min = 50
[[block]]
name = "b"
host = "team-%[1]d.org"
path_prefix = "/old"
[[order]]
name = "o"
server = "d-%[1]d"
zone = "z%[1]d"
do = "detach"
`, team)
	service := fmt.Sprint("s", team)
	if team%10 == 1 {
		text.WriteString(benchmarkRoute("lent", fmt.Sprintf("team-%d.org", team-1), `path_prefix = "/lent"`, service))
	}
	for i := range rules - otherRules {
		host := fmt.Sprintf("team-%d.org", team)
		match := fmt.Sprintf("path_prefix = \"/api/v%d/p%d\"", i%7, i/4*4)
		switch i % 4 {
		case 1:
			host = "*." + host
		case 2:
			host = "shared.org"
			match += fmt.Sprintf("\ntenants = [\"tenant-%d\"]", team)
		case 3:
			match += "\nmethods = [\"POST\", \"PUT\"]\nclasses = [\"c\", \"d\"]"
		}
		text.WriteString(benchmarkRoute(fmt.Sprint("r", i), host, match, service))
	}
	return text.String()
}

// The fleet of the benchmarks merges without a conflict, and its changed files as they should.
func TestBenchmarkFleet(t *testing.T) {
	fleet := newBenchmarkFleet(t, 20, 40, 20, false)
	first := Merge(fleet.declaration, nil, fleet.files)
	if len(first.Withheld) > 0 || len(first.Conflicts) > 0 {
		t.Fatalf("withheld %v, conflicts %v", first.Withheld, first.Conflicts)
	}
	out := Merge(fleet.declaration, first.Accepted, fleet.changed)
	if len(out.Withheld) != 2 || out.Withheld[0].Namespace != "team-0" || out.Withheld[1].Namespace != "team-10" {
		t.Errorf("withheld %v", out.Withheld)
	}
}

func BenchmarkMerge(b *testing.B) {
	for _, bench := range []struct {
		name      string
		changed   int
		noService bool
	}{
		{"first", 0, false},
		{"one changed", 1, false},
		{"all changed, 10 withheld", 100, false},
		{"all changed, all withheld", 100, true},
	} {
		b.Run(bench.name, func(b *testing.B) {
			fleet := newBenchmarkFleet(b, 100, 100, bench.changed, bench.noService)
			accepted := fleet.files
			submitted := fleet.changed
			if bench.changed == 0 {
				accepted = nil
				submitted = fleet.files
			}
			rules := 0
			for _, f := range fleet.files {
				rules += f.Rules()
			}
			withheld := 0
			for b.Loop() {
				withheld = len(Merge(fleet.declaration, accepted, submitted).Withheld)
			}
			b.ReportMetric(float64(rules), "rules")
			b.ReportMetric(float64(withheld), "withheld")
		})
	}
}

// contradictoryTeams is two teams whose domains overlap by a fault of the declaration. One has routes by path, the
// other by tenant, and each of one meets each of the other.
func contradictoryTeams(t testing.TB, routes int) (*Declaration, []*File) {
	t.Helper()
	d := mustParseDeclaration(t, `version = 1
[[namespace]]
name = "a"
owner = "a"
settings = ["route", "service"]
[[namespace]]
name = "b"
owner = "b"
settings = ["route", "service"]
`)
	a := &File{Version: FileVersion, Name: "a", Number: 1, Services: []Service{{Name: "s"}}}
	b := &File{Version: FileVersion, Name: "b", Number: 1, Services: []Service{{Name: "r"}}}
	for i := range routes {
		name := fmt.Sprint("r", i)
		byPath := Match{Path: fmt.Sprint("/x/", i)}
		byTenant := Match{Host: "*.org", Tenants: []string{fmt.Sprint("t", i)}}
		a.Routes = append(a.Routes, Route{Name: name, Match: byPath, To: []Target{{Service: "s"}}})
		b.Routes = append(b.Routes, Route{Name: name, Match: byTenant, To: []Target{{Service: "r"}}})
	}
	for _, f := range []*File{a, b} {
		if err := f.check(); err != nil {
			t.Fatal(err)
		}
	}
	return d, []*File{a, b}
}

// Two teams whose routes contradict each other in many pairs stop nobody and fill no memory.
func TestManyContradictionsAreBounded(t *testing.T) {
	const routes = 100
	d, set := contradictoryTeams(t, routes)
	out := Merge(d, set[:1], set[1:])
	wantWithheld(t, out, "b", nil)
	if len(out.Policy.Routes) != routes {
		t.Errorf("%d routes", len(out.Policy.Routes))
	}
	hasMore := slices.ContainsFunc(out.Conflicts, func(c Conflict) bool { return c.More })
	if n := len(out.Conflicts); n > (routes+1)*maxConflictsPerRoute || !hasMore {
		t.Errorf("%d conflicts listed", n)
	}
	// With neither changed, as after a fault of the declaration, the last by precedence loses its routes.
	out = Merge(d, set, nil)
	wantWithheld(t, out, "b", nil)
	if len(out.Policy.Routes) != routes || len(out.Accepted) != 2 {
		t.Errorf("%d routes, %d files accepted", len(out.Policy.Routes), len(out.Accepted))
	}
}

func BenchmarkManyContradictions(b *testing.B) {
	d, set := contradictoryTeams(b, 5000)
	for b.Loop() {
		if out := Merge(d, set, nil); len(out.Withheld) != 1 {
			b.Fatal(out.Withheld)
		}
	}
}

func BenchmarkParse(b *testing.B) {
	var text strings.Builder
	text.WriteString("version = 1\nnamespace = \"x\"\nnumber = 1\n")
	for i := range 10_000 {
		text.WriteString(benchmarkRoute(fmt.Sprint("r", i), fmt.Sprintf("h%d.org", i), `path_prefix = "/api"`, "s"))
	}
	for b.Loop() {
		if _, err := Parse("x", []byte(text.String())); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkHash(b *testing.B) {
	fleet := newBenchmarkFleet(b, 100, 100, 0, false)
	policy := Merge(fleet.declaration, nil, fleet.files).Policy
	b.SetBytes(int64(len(policy.Encode())))
	for b.Loop() {
		policy.Hash()
	}
}

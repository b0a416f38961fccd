package namespace

import (
	"fmt"
	"slices"
	"strings"
	"testing"
)

// benchmarkFleet is a declaration with many teams, and their policy files with many rules.
type benchmarkFleet struct {
	declaration *Declaration
	files       []*File
	changed     []*File // version 2 of the first teams' files, to be merged after version 1
}

// settingsWithoutClass is a TOML list of all settings except SettingClass.
const settingsWithoutClass = `["route", "block", "budget", "order", "service", "staleness"]`

// newBenchmarkFleet returns a fleet in which the namespace operations has routes for all hosts, and each team has its
// own host and, by tenant, a part of a host that all teams share. Every tenth team delegates the path prefix /lent of
// its host to the next team. The first "changed" teams have a version 2 of their file with one more route under /lent;
// it contradicts the delegate's route if the team delegates that prefix. With noService, version 2 also has a route to
// an undefined service.
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

// benchmarkFile parses a policy file with the given rules in TOML.
func benchmarkFile(t testing.TB, name string, number int, body string) *File {
	t.Helper()
	return mustParse(t, fmt.Sprintf("version = 1\nnamespace = %q\nnumber = %d\n%s", name, number, body))
}

// benchmarkRoute returns a route in TOML. Match has the TOML lines for the path and lists of the match.
func benchmarkRoute(name, host, match, service string) string {
	return fmt.Sprintf("[[route]]\nname = %q\nhost = %q\n%s\nto = [{ service = %q }]\n", name, host, match, service)
}

// benchmarkDeclaration returns the declaration of newBenchmarkFleet in TOML.
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
`, teams*100, settingsWithoutClass)
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
`, i, settingsWithoutClass)
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

// benchmarkRules returns the rules of a team's file in TOML: one service, class, quota share, block and override, and
// routes up to the given number of rules.
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

// The files of the benchmarks merge without a conflict. Of the changed files, exactly those of the teams that delegate
// (team-0 and team-10) are withheld.
func TestBenchmarkFleet(t *testing.T) {
	fleet := newBenchmarkFleet(t, 20, 40, 20, false)
	first := Merge(fleet.declaration, nil, fleet.files)
	if len(first.Withheld) > 0 || len(first.Conflicts) > 0 {
		t.Fatalf("Merge of the benchmark files = withheld %v, conflicts %v; want none of either",
			first.Withheld, first.Conflicts)
	}
	out := Merge(fleet.declaration, first.Accepted, fleet.changed)
	if len(out.Withheld) != 2 || out.Withheld[0].Namespace != "team-0" || out.Withheld[1].Namespace != "team-10" {
		t.Errorf("Merge of the changed benchmark files withholds %v, want the files of team-0 and team-10",
			out.Withheld)
	}
}

func BenchmarkMerge(b *testing.B) {
	for _, benchmark := range []struct {
		name      string
		changed   int
		noService bool
	}{
		{"first", 0, false},
		{"one changed", 1, false},
		{"all changed, 10 withheld", 100, false},
		{"all changed, all withheld", 100, true},
	} {
		b.Run(benchmark.name, func(b *testing.B) {
			fleet := newBenchmarkFleet(b, 100, 100, benchmark.changed, benchmark.noService)
			accepted := fleet.files
			submitted := fleet.changed
			if benchmark.changed == 0 {
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

// contradictoryTeams returns a declaration that gives two teams the same domain by mistake, and their files. Team a has
// routes by path and team b by tenant, so that each route of one contradicts each route of the other.
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
			t.Fatalf("File.check of the file of team %s: %v", f.Name, err)
		}
	}
	return d, []*File{a, b}
}

// If the routes of two teams contradict each other in many pairs, Merge withholds one team's file or routes, and lists
// only a bounded number of conflicts, which bounds its memory.
func TestManyContradictionsAreBounded(t *testing.T) {
	const routes = 100
	d, set := contradictoryTeams(t, routes)
	out := Merge(d, set[:1], set[1:])
	checkOnlyWithheld(t, out, "b", nil)
	if len(out.Policy.Routes) != routes {
		t.Errorf("Merge that withholds b's file returns a policy with %d routes, want the %d routes of a",
			len(out.Policy.Routes), routes)
	}
	hasMore := slices.ContainsFunc(out.Conflicts, func(c Conflict) bool { return c.More })
	const maxConflicts = (routes + 1) * maxConflictsPerRoute
	if listed := len(out.Conflicts); listed > maxConflicts || !hasMore {
		t.Errorf("Merge lists %d conflicts, one has More set: %t; want at most %d conflicts, and true",
			listed, hasMore, maxConflicts)
	}
	// If both files are accepted already and only the declaration is wrong, the last team by precedence loses its
	// routes.
	out = Merge(d, set, nil)
	checkOnlyWithheld(t, out, "b", nil)
	if len(out.Policy.Routes) != routes || len(out.Accepted) != 2 {
		t.Errorf("Merge of the two accepted files = %d routes, %d files accepted; want %d routes and both files",
			len(out.Policy.Routes), len(out.Accepted), routes)
	}
}

func BenchmarkManyContradictions(b *testing.B) {
	d, set := contradictoryTeams(b, 5000)
	for b.Loop() {
		if out := Merge(d, set, nil); len(out.Withheld) != 1 {
			b.Fatalf("Merge withholds %v, want one namespace withheld", out.Withheld)
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
			b.Fatalf("Parse of the benchmark file: %v", err)
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

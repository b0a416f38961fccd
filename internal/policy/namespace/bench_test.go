package namespace

import (
	"fmt"
	"slices"
	"strings"
	"testing"
)

// fleet is a charter of so many teams with so many rules each, and their files. Operations has a rule over everything; each
// team has a host of its own, and a part of a host that all share, by tenant; every tenth one delegates to the next.
// Changed teams also write a route that their giver or their delegate has in another way.
func fleet(tb testing.TB, teams, rules, changed int, nowhere bool) (*Declaration, []*File, []*File) {
	var text strings.Builder
	fmt.Fprintf(&text, "version = 1\n[[budget]]\nname = \"attempts\"\nwhole = %d\n[[namespace]]\nname = \"operations\"\nowner = \"o\"\nbudgets = [\"*\"]\nzones = [\"*\"]\n"+
		"settings = [\"route\", \"block\", \"budget\", \"order\", \"service\", \"staleness\"]\n", teams*100)
	for i := range teams {
		fmt.Fprintf(&text, "[[namespace]]\nname = \"team-%d\"\nowner = \"t\"\nclasses = [\"class-%d\"]\nsettings = [\"class\"]\n", i, i)
		fmt.Fprintf(&text, "[[delegation]]\nfrom = \"operations\"\nto = \"team-%d\"\nhosts = [\"team-%d.org\", \"*.team-%d.org\"]\nbudgets = [\"attempts\"]\nzones = [\"z%d\"]\n"+
			"settings = [\"route\", \"block\", \"budget\", \"order\", \"service\", \"staleness\"]\n", i, i, i, i)
		fmt.Fprintf(&text, "[[delegation]]\nfrom = \"operations\"\nto = \"team-%d\"\nhosts = [\"shared.org\"]\ntenants = [\"tenant-%d\"]\nsettings = [\"route\"]\n", i, i)
		if i%10 == 0 {
			fmt.Fprintf(&text, "[[delegation]]\nfrom = \"team-%d\"\nto = \"team-%d\"\nhosts = [\"team-%d.org\"]\npath_prefixes = [\"/lent\"]\nsettings = [\"route\"]\n", i, i+1, i)
		}
	}
	c, err := ParseDeclaration("charter.toml", []byte(text.String()))
	if err != nil {
		tb.Fatal(err)
	}
	file := func(name string, number int, body string) *File {
		n, err := Parse(name, []byte(fmt.Sprintf("version = 1\nnamespace = %q\nnumber = %d\n%s", name, number, body)))
		if err != nil {
			tb.Fatal(err)
		}
		return n
	}
	all := []*File{file("operations", 1, "[[service]]\nname = \"s\"\n[[route]]\nname = \"all\"\nto = [{ service = \"s\" }]\n[[route]]\nname = \"health\"\npath = \"/health\"\nto = [{ service = \"s\" }]\n")}
	var next []*File
	for i := range teams {
		var b strings.Builder
		fmt.Fprintf(&b, "[[service]]\nname = \"s%d\"\n[[class]]\nname = \"class-%d\"\naim = \"1s\"\n[[budget]]\nname = \"attempts\"\nmin = 50\n", i, i)
		fmt.Fprintf(&b, "[[block]]\nname = \"b\"\nhost = \"team-%d.org\"\npath_prefix = \"/old\"\n[[order]]\nname = \"o\"\nserver = \"d-%d\"\nzone = \"z%d\"\ndo = \"detach\"\n", i, i, i)
		if i%10 == 1 {
			fmt.Fprintf(&b, "[[route]]\nname = \"lent\"\nhost = \"team-%d.org\"\npath_prefix = \"/lent\"\nto = [{ service = \"s%d\" }]\n", i-1, i)
		}
		for k := range rules - 6 {
			host, more := fmt.Sprintf("team-%d.org", i), ""
			switch k % 4 {
			case 1:
				host = fmt.Sprintf("*.team-%d.org", i)
			case 2:
				host, more = "shared.org", fmt.Sprintf("tenants = [\"tenant-%d\"]\n", i)
			case 3:
				more = "methods = [\"POST\", \"PUT\"]\nclasses = [\"c\", \"d\"]\n"
			}
			fmt.Fprintf(&b, "[[route]]\nname = \"r%d\"\nhost = %q\npath_prefix = \"/api/v%d/p%d\"\n%sto = [{ service = \"s%d\" }]\n", k, host, k%7, k/4*4, more, i)
		}
		all = append(all, file(fmt.Sprintf("team-%d", i), 1, b.String()))
		if i < changed && nowhere {
			fmt.Fprintf(&b, "[[route]]\nname = \"nowhere\"\nhost = \"team-%d.org\"\npath = \"/nowhere\"\nto = [{ service = \"none\" }]\n", i)
		}
		if i < changed {
			fmt.Fprintf(&b, "[[route]]\nname = \"new\"\nhost = \"team-%d.org\"\npath = \"/lent/x\"\nto = [{ service = \"s%d\" }]\n", i, i)
			next = append(next, file(fmt.Sprintf("team-%d", i), 2, b.String()))
		}
	}
	return c, all, next
}

// What the benchmarks merge must be what they say it is.
func TestTheBenchedFleet(t *testing.T) {
	c, all, next := fleet(t, 20, 40, 20, false)
	first := Merge(c, nil, all)
	if len(first.Withheld) > 0 || len(first.Conflicts) > 0 {
		t.Fatalf("held %v, conflicts %v", first.Withheld, first.Conflicts)
	}
	out := Merge(c, first.Accepted, next)
	if len(out.Withheld) != 2 || out.Withheld[0].Namespace != "team-0" || out.Withheld[1].Namespace != "team-10" {
		t.Errorf("held %v", out.Withheld)
	}
}

func BenchmarkMerge(b *testing.B) {
	for _, k := range []struct {
		name    string
		changed int
		nowhere bool
	}{{"first", 0, false}, {"one changed", 1, false}, {"all changed, 10 held", 100, false}, {"all changed, all held", 100, true}} {
		b.Run(k.name, func(b *testing.B) {
			c, all, next := fleet(b, 100, 100, k.changed, k.nowhere)
			good, offered := all, next
			if k.changed == 0 {
				good, offered = nil, all
			}
			total := 0
			for _, n := range all {
				total += n.Rules()
			}
			held := 0
			for b.Loop() {
				held = len(Merge(c, good, offered).Withheld)
			}
			b.ReportMetric(float64(total), "rules")
			b.ReportMetric(float64(held), "held")
		})
	}
}

// across is two teams whose domains overlap by the charter's mistake, one with routes by path, the other by tenant: each
// of one meets each of the other.
func across(tb testing.TB, n int) (*Declaration, []*File) {
	c, err := ParseDeclaration("c", []byte("version = 1\n[[namespace]]\nname = \"a\"\nowner = \"a\"\nsettings = [\"route\", \"service\"]\n[[namespace]]\nname = \"b\"\nowner = \"b\"\nsettings = [\"route\", \"service\"]\n"))
	if err != nil {
		tb.Fatal(err)
	}
	a := &File{Version: 1, Name: "a", Number: 1, Services: []Service{{Name: "s"}}}
	b := &File{Version: 1, Name: "b", Number: 1, Services: []Service{{Name: "r"}}}
	for i := range n {
		a.Routes = append(a.Routes, Route{Name: fmt.Sprint("r", i), Match: Match{Path: fmt.Sprint("/x/", i)}, To: []Target{{Service: "s"}}})
		b.Routes = append(b.Routes, Route{Name: fmt.Sprint("r", i), Match: Match{Host: "*.org", Tenants: []string{fmt.Sprint("t", i)}}, To: []Target{{Service: "r"}}})
	}
	for _, x := range []*File{a, b} {
		if err := x.check(); err != nil {
			tb.Fatal(err)
		}
	}
	return c, []*File{a, b}
}

// Two teams that conflict in millions of pairs stop nobody and fill no memory.
func TestTeamsAcrossEachOther(t *testing.T) {
	c, set := across(t, 100)
	third := Merge(c, set[:1], set[1:])
	if len(third.Withheld) != 1 || third.Withheld[0].Namespace != "b" || len(third.Policy.Routes) != 100 {
		t.Errorf("%d held, %d routes", len(third.Withheld), len(third.Policy.Routes))
	}
	if n := len(third.Conflicts); n > 101*maxConflictsPerRoute || !slices.ContainsFunc(third.Conflicts, func(x Conflict) bool { return x.More }) {
		t.Errorf("%d conflicts listed", n)
	}
	// With neither changed, as after a slip of the charter, the last by the order loses its routes.
	both := Merge(c, set, nil)
	if len(both.Withheld) != 1 || both.Withheld[0].Namespace != "b" || len(both.Policy.Routes) != 100 || len(both.Accepted) != 2 {
		t.Errorf("%v held, %d routes", len(both.Withheld), len(both.Policy.Routes))
	}
}

func BenchmarkAcross(b *testing.B) {
	c, set := across(b, 5000)
	for b.Loop() {
		if out := Merge(c, set, nil); len(out.Withheld) != 1 {
			b.Fatal(out.Withheld)
		}
	}
}

func BenchmarkParse(b *testing.B) {
	var text strings.Builder
	text.WriteString("version = 1\nnamespace = \"x\"\nnumber = 1\n")
	for i := range 10_000 {
		fmt.Fprintf(&text, "[[route]]\nname = \"r%d\"\nhost = \"h%d.org\"\npath_prefix = \"/api\"\nto = [{ service = \"s\" }]\n", i, i)
	}
	for b.Loop() {
		if _, err := Parse("x", []byte(text.String())); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkHash(b *testing.B) {
	c, all, _ := fleet(b, 100, 100, 0, false)
	p := Merge(c, nil, all).Policy
	b.SetBytes(int64(len(p.Encode())))
	for b.Loop() {
		p.Hash()
	}
}

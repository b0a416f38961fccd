package route

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
)

// ruleGenerator generates random rules from a small set of values, so that several rules match the same request.
type ruleGenerator struct{ *rand.Rand }

// randomValues returns each of criterionValues with a probability of one in five.
func (g ruleGenerator) randomValues() (out []string) {
	for _, value := range criterionValues {
		if g.IntN(5) == 0 {
			out = append(out, value)
		}
	}
	return out
}

// randomRule returns a random valid rule with the given name.
func (g ruleGenerator) randomRule(name string) Rule {
	r := Rule{
		Name:    name,
		Host:    ruleHosts[g.IntN(4)],
		To:      singleTarget(fmt.Sprint("s", g.IntN(4))),
		Methods: g.randomValues(),
		Classes: g.randomValues(),
		Tenants: g.randomValues(),
	}
	path := paths[g.IntN(3)]
	switch g.IntN(3) {
	case 0:
		r.Path = path
	case 1:
		r.PathPrefix = path
	}
	return r
}

// changedRules is the reference implementation of WithChanges for a list of rules: changed rules keep their positions,
// and new rules are appended, followed by those without a unique name.
func changedRules(rules, set []Rule, removed []string) []Rule {
	setByName := map[string]*Rule{}
	var unnamed []Rule
	for i, r := range set {
		if r.Name == "" || setByName[r.Name] != nil {
			unnamed = append(unnamed, r)
		} else {
			setByName[r.Name] = &set[i]
		}
	}
	var out []Rule
	replaced := map[string]bool{}
	for _, r := range rules {
		switch changed := setByName[r.Name]; {
		case changed != nil:
			out = append(out, *changed)
			replaced[r.Name] = true
		case !slices.Contains(removed, r.Name):
			out = append(out, r)
		}
	}
	for i := range set {
		if r := &set[i]; setByName[r.Name] == r && !replaced[r.Name] {
			out = append(out, *r)
		}
	}
	return append(out, unnamed...)
}

// tableDifference describes the first difference of two tables in their lookups, numbers of rules, services or
// combinations; it is empty if they do not differ.
func tableDifference(a, b *Table) string {
	for _, host := range requestHosts {
		for _, path := range paths {
			for i := range 27 {
				q := Request{
					Host: host, Path: path,
					Method: criterionValues[i%3], Class: criterionValues[i/3%3], Tenant: criterionValues[i/9],
				}
				ruleA, verdictA := a.Lookup(&q)
				ruleB, verdictB := b.Lookup(&q)
				same := verdictA == verdictB && (ruleA == nil) == (ruleB == nil)
				if same && ruleA != nil {
					same = ruleA.Name == ruleB.Name && ruleA.To[0].Service == ruleB.To[0].Service
				}
				if !same {
					return fmt.Sprintf("Lookup(%+v) = rule %+v, verdict %q in the first table, "+
						"rule %+v, verdict %q in the second", q, ruleA, verdictA, ruleB, verdictB)
				}
			}
		}
	}
	if a.RuleCount() != b.RuleCount() || !slices.Equal(a.Services(), b.Services()) || a.combinations != b.combinations {
		return fmt.Sprintf("the first table has %d rules, services %v and %d combinations of criteria, "+
			"the second %d, %v and %d", a.RuleCount(), a.Services(), a.combinations,
			b.RuleCount(), b.Services(), b.combinations)
	}
	return ""
}

// WithChanges returns the same lookups and the same errors as Compile of the changed rules, and does not change its
// receiver.
func TestWithChangesAgreesWithCompile(t *testing.T) {
	rejected, accepted := 0, 0
	for seed := range uint64(100) {
		g := ruleGenerator{rand.New(rand.NewPCG(seed, 31))}
		fallback := []string{"", "rest"}[g.IntN(2)]
		var rules []Rule
		table, err := Compile(rules, fallback)
		if err != nil {
			t.Fatalf("seed %d: Compile without rules, fallback %q: %v", seed, fallback, err)
		}
		for step := range 8 {
			var set []Rule
			var removed []string
			for range g.IntN(7) {
				r := g.randomRule(fmt.Sprint(g.IntN(25)))
				switch g.IntN(60) {
				case 0:
					r.To = nil
				case 1:
					r.Name = ""
				}
				if g.IntN(20) > 0 && slices.ContainsFunc(set, func(s Rule) bool { return s.Name == r.Name }) {
					continue
				}
				set = append(set, r)
			}
			for range g.IntN(4) {
				removed = append(removed, fmt.Sprint(g.IntN(30))) // a rule that is also in set is not removed
			}
			original, err := Compile(rules, fallback)
			if err != nil {
				t.Fatalf("seed %d, step %d: Compile of the rules before the change: %v", seed, step, err)
			}
			nextRules := changedRules(rules, set, removed)
			want, wantErr := Compile(nextRules, fallback)
			got, err := table.WithChanges(set, removed)
			if difference := tableDifference(table, original); difference != "" {
				t.Fatalf("seed %d, step %d: WithChanges changed its receiver (first table, original second): %s",
					seed, step, difference)
			}
			if wantErr != nil || err != nil {
				if fmt.Sprint(err) != fmt.Sprint(wantErr) {
					t.Fatalf("seed %d, step %d: WithChanges returned error %v, want that of Compile: %v",
						seed, step, err, wantErr)
				}
				rejected++
				continue
			}
			if difference := tableDifference(got, want); difference != "" {
				t.Fatalf("seed %d, step %d: WithChanges (first table) differs from Compile (second table): %s",
					seed, step, difference)
			}
			rules, table = nextRules, got
			accepted++
		}
	}
	t.Logf("WithChanges accepted %d and rejected %d changes", accepted, rejected)
	if accepted < 300 || rejected < 50 {
		t.Errorf("WithChanges accepted %d and rejected %d random changes, want at least 300 and 50 to test both cases",
			accepted, rejected)
	}
}

// Lookups in a large table are correct after WithChanges, and the previous table is unchanged. The table has thousands
// of tenants of one path, thousands of hosts, and thousands of paths of one host.
func TestWithChangesOfLargeTables(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 30))
	// newRule returns rule i in the given version, which is part of the name of its service.
	newRule := func(i, version int) Rule {
		r := Rule{Name: fmt.Sprint(i), To: singleTarget(fmt.Sprint("s", version))}
		switch i % 3 {
		case 0:
			r.Host, r.Path = "shared.org", "/v1"
			for k := range 4 {
				r.Tenants = append(r.Tenants, fmt.Sprint("t", i, "-", k))
			}
		case 1:
			r.Host = fmt.Sprintf("h%d.org", i)
		default:
			r.Host, r.PathPrefix = "paths.org", fmt.Sprint("/p", i)
		}
		return r
	}
	// requestFor returns a request that only rule i matches.
	requestFor := func(i int) *Request {
		switch i % 3 {
		case 0:
			return &Request{Host: "shared.org", Path: "/v1", Tenant: fmt.Sprint("t", i, "-", 3)}
		case 1:
			return &Request{Host: fmt.Sprintf("h%d.org", i), Path: "/"}
		}
		return &Request{Host: "paths.org", Path: fmt.Sprint("/p", i, "/x")}
	}
	table, err := Compile(nil, "")
	if err != nil {
		t.Fatalf("Compile without rules: %v", err)
	}
	versions := map[int]int{} // by rule: its current version, 0 if it is not in the table
	for step := range 60 {
		var set []Rule
		var removed []string
		previousTable := table
		previousVersions := map[int]int{} // of the rules that change
		for range 200 {
			i := rng.IntN(6000)
			if _, changed := previousVersions[i]; changed {
				continue
			}
			previousVersions[i] = versions[i]
			if versions[i] = 0; rng.IntN(4) == 0 {
				removed = append(removed, fmt.Sprint(i))
				continue
			}
			versions[i] = step + 1
			set = append(set, newRule(i, step+1))
		}
		if table, err = table.WithChanges(set, removed); err != nil {
			t.Fatalf("step %d: WithChanges(%d rules set, %d removed): %v", step, len(set), len(removed), err)
		}
		checkVersion := func(name string, table *Table, i, version int) {
			t.Helper()
			r, verdict := table.Lookup(requestFor(i))
			same := (verdict == Found) == (version > 0)
			if same && version > 0 {
				same = r.Name == fmt.Sprint(i) && r.To[0].Service == fmt.Sprint("s", version)
			}
			if !same {
				t.Fatalf("step %d: Lookup for rule %d in the %s table = rule %+v, verdict %q, want service s%d "+
					"(s0: no rule)", step, i, name, r, verdict, version)
			}
		}
		for i, version := range versions {
			checkVersion("changed", table, i, version)
		}
		for i, version := range previousVersions {
			checkVersion("previous", previousTable, i, version)
		}
	}
	if len(table.hosts.parts) == 1 {
		t.Error("the map of hosts has 1 part, want several so that the test covers the sharing of parts")
	}
}

func TestWithChangesKeepsTheBounds(t *testing.T) {
	values := []string{"x", "y", "z"}
	a := Rule{Name: "a", Host: "a.org", Methods: values, Tenants: values, To: singleTarget("a")}
	table, err := Compile([]Rule{a}, "")
	if err != nil {
		t.Fatalf("Compile with 1 rule of 9 combinations: %v", err)
	}
	full := *table
	full.combinations = maxCombinations // as if the table had more rules
	b := Rule{Name: "b", Host: "b.org", Methods: values, Tenants: values, To: singleTarget("a")}
	if _, err := full.WithChanges([]Rule{b}, []string{"a"}); err != nil {
		t.Errorf("WithChanges of a full table, replacing a rule by one with as many combinations: %v", err)
	}
	manyValues := make([]string, 1500)
	for i := range manyValues {
		manyValues[i] = fmt.Sprint(i)
	}
	b.Methods, b.Tenants = manyValues, manyValues
	if _, err := table.WithChanges([]Rule{b}, nil); err == nil || !strings.Contains(err.Error(), "combinations") {
		t.Errorf("WithChanges with a rule of 1500*1500 combinations: error %v, want one that contains %q",
			err, "combinations")
	}
	rules := make([]Rule, MaxRules)
	for i := range rules {
		rules[i] = Rule{Name: fmt.Sprint("r", i), Host: fmt.Sprintf("h%d.org", i), To: singleTarget("a")}
	}
	_, err = table.WithChanges(rules, nil)
	if err == nil || !strings.Contains(err.Error(), "rules exceed the maximum") {
		t.Errorf("WithChanges to MaxRules+1 rules: error %v, want one that contains \"rules exceed the maximum\"", err)
	}
	if table, err = table.WithChanges(rules, []string{"a"}); err != nil {
		t.Errorf("WithChanges to MaxRules rules: %v", err)
	} else if table.RuleCount() != MaxRules {
		t.Errorf("RuleCount() after WithChanges = %d, want MaxRules, %d", table.RuleCount(), MaxRules)
	}
}

func BenchmarkWithChanges(b *testing.B) {
	for _, n := range []int{1000, 4000, 13_000, 26_000} {
		table := tableWithRules(n)
		r := *table.rules[n/2]
		r.To = singleTarget("other")
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := table.WithChanges([]Rule{r}, nil); err != nil {
					b.Fatalf("WithChanges of 1 of %d rules: %v", n, err)
				}
			}
		})
	}
}

func BenchmarkCompile(b *testing.B) {
	for _, n := range []int{1000, 4000, 13_000, 26_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				tableWithRules(n)
			}
		})
	}
}

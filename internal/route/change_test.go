package route

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
)

// drawer draws rules from few values, so that they match the same requests.
type drawer struct{ *rand.Rand }

func (d drawer) some() (out []string) {
	for _, w := range words {
		if d.IntN(5) == 0 {
			out = append(out, w)
		}
	}
	return out
}

func (d drawer) rule(name string) Rule {
	r := Rule{
		Name:    name,
		Host:    hosts[d.IntN(4)],
		To:      targetOf(fmt.Sprint("s", d.IntN(4))),
		Methods: d.some(),
		Classes: d.some(),
		Tenants: d.some(),
	}
	path := paths[d.IntN(3)]
	switch d.IntN(3) {
	case 0:
		r.Path = path
	case 1:
		r.PathPrefix = path
	}
	return r
}

// changedRules returns what WithChanges makes of rules: changed ones keep their place, new ones go to the end, and so
// do those without a name of their own.
func changedRules(rules, set []Rule, removed []string) []Rule {
	own := map[string]*Rule{}
	var rest []Rule
	for i, r := range set {
		if r.Name == "" || own[r.Name] != nil {
			rest = append(rest, r)
		} else {
			own[r.Name] = &set[i]
		}
	}
	var out []Rule
	done := map[string]bool{}
	for _, r := range rules {
		switch changed := own[r.Name]; {
		case changed != nil:
			out = append(out, *changed)
			done[r.Name] = true
		case !slices.Contains(removed, r.Name):
			out = append(out, r)
		}
	}
	for i := range set {
		if r := &set[i]; own[r.Name] == r && !done[r.Name] {
			out = append(out, *r)
		}
	}
	return append(out, rest...)
}

// difference returns in which request two tables differ; empty if they do not.
func difference(a, b *Table) string {
	for _, host := range requestHosts {
		for _, path := range paths {
			for i := range 27 {
				q := Request{Host: host, Path: path, Method: words[i%3], Class: words[i/3%3], Tenant: words[i/9]}
				x, v := a.Lookup(&q)
				y, w := b.Lookup(&q)
				same := v == w && (x == nil) == (y == nil)
				if same && x != nil {
					same = x.Name == y.Name && x.To[0].Service == y.To[0].Service
				}
				if !same {
					return fmt.Sprintf("%+v: %v %v, and %v %v", q, x, v, y, w)
				}
			}
		}
	}
	if a.RuleCount() != b.RuleCount() || !slices.Equal(a.Services(), b.Services()) || a.expanded != b.expanded {
		return fmt.Sprintf("%d rules to %v and %d to %v", a.RuleCount(), a.Services(), b.RuleCount(), b.Services())
	}
	return ""
}

// A table with changes equals the compiled changed rules, in verdicts and in errors, and the earlier table stays as it
// was.
func TestWithChangesAgreesWithCompile(t *testing.T) {
	rejected, accepted := 0, 0
	for seed := range uint64(100) {
		d := drawer{rand.New(rand.NewPCG(seed, 31))}
		fallback := []string{"", "rest"}[d.IntN(2)]
		var rules []Rule
		now, err := Compile(rules, fallback)
		if err != nil {
			t.Fatal(err)
		}
		for step := range 8 {
			var set []Rule
			var removed []string
			for range d.IntN(7) {
				r := d.rule(fmt.Sprint(d.IntN(25)))
				switch d.IntN(60) {
				case 0:
					r.To = nil
				case 1:
					r.Name = ""
				}
				if d.IntN(20) > 0 && slices.ContainsFunc(set, func(s Rule) bool { return s.Name == r.Name }) {
					continue
				}
				set = append(set, r)
			}
			for range d.IntN(4) {
				removed = append(removed, fmt.Sprint(d.IntN(30))) // what is set as well stays
			}
			was, err := Compile(rules, fallback)
			if err != nil {
				t.Fatal(err)
			}
			next := changedRules(rules, set, removed)
			want, wantErr := Compile(next, fallback)
			got, err := now.WithChanges(set, removed)
			if wrong := difference(now, was); wrong != "" {
				t.Fatalf("seed %d, step %d: the table before was changed: %s", seed, step, wrong)
			}
			if wantErr != nil || err != nil {
				if fmt.Sprint(err) != fmt.Sprint(wantErr) {
					t.Fatalf("seed %d, step %d: %v, and of Compile %v", seed, step, err, wantErr)
				}
				rejected++
				continue
			}
			if wrong := difference(got, want); wrong != "" {
				t.Fatalf("seed %d, step %d: %s", seed, step, wrong)
			}
			rules, now = next, got
			accepted++
		}
	}
	t.Logf("%d accepted, %d rejected", accepted, rejected)
	if accepted < 300 || rejected < 50 {
		t.Error("the drawn changes are too alike")
	}
}

// Tables of any size share what did not change: thousands of tenants of one path, of hosts, and of paths of one host.
func TestWithChangesOfLargeTables(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 30))
	made := func(i, number int) Rule {
		r := Rule{Name: fmt.Sprint(i), To: targetOf(fmt.Sprint("s", number))}
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
	ask := func(i int) *Request {
		switch i % 3 {
		case 0:
			return &Request{Host: "shared.org", Path: "/v1", Tenant: fmt.Sprint("t", i, "-", 3)}
		case 1:
			return &Request{Host: fmt.Sprintf("h%d.org", i), Path: "/"}
		}
		return &Request{Host: "paths.org", Path: fmt.Sprint("/p", i, "/x")}
	}
	now, err := Compile(nil, "")
	if err != nil {
		t.Fatal(err)
	}
	has := map[int]int{}
	for step := range 60 {
		var set []Rule
		var removed []string
		last := now
		before := map[int]int{}
		for range 200 {
			i := rng.IntN(6000)
			if _, seen := before[i]; seen {
				continue
			}
			before[i] = has[i]
			if has[i] = 0; rng.IntN(4) == 0 {
				removed = append(removed, fmt.Sprint(i))
				continue
			}
			has[i] = step + 1
			set = append(set, made(i, step+1))
		}
		if now, err = now.WithChanges(set, removed); err != nil {
			t.Fatal(err)
		}
		check := func(table *Table, i, number int) {
			t.Helper()
			r, v := table.Lookup(ask(i))
			same := (v == Found) == (number > 0)
			if same && number > 0 {
				same = r.Name == fmt.Sprint(i) && r.To[0].Service == fmt.Sprint("s", number)
			}
			if !same {
				t.Fatalf("step %d, rule %d: %v %v, want number %d", step, i, r, v, number)
			}
		}
		for i, number := range has {
			check(now, i, number)
		}
		for i, number := range before {
			check(last, i, number)
		}
	}
	if len(now.hosts.parts) == 1 {
		t.Error("the table is too small for what it tries")
	}
}

func TestWithChangesKeepsTheBounds(t *testing.T) {
	words := []string{"x", "y", "z"}
	now, err := Compile([]Rule{{Name: "a", Host: "a.org", Methods: words, Tenants: words, To: targetOf("a")}}, "")
	if err != nil {
		t.Fatal(err)
	}
	full := *now
	full.expanded = maxExpanded // as if it had more rules
	b := Rule{Name: "b", Host: "b.org", Methods: words, Tenants: words, To: targetOf("a")}
	if _, err := full.WithChanges([]Rule{b}, []string{"a"}); err != nil {
		t.Errorf("in place of the other: %v", err)
	}
	many := make([]string, 1500)
	for i := range many {
		many[i] = fmt.Sprint(i)
	}
	b.Methods, b.Tenants = many, many
	if _, err := now.WithChanges([]Rule{b}, nil); err == nil || !strings.Contains(err.Error(), "combinations") {
		t.Errorf("too many combinations: %v", err)
	}
	rules := make([]Rule, MaxRules)
	for i := range rules {
		rules[i] = Rule{Name: fmt.Sprint("r", i), Host: fmt.Sprintf("h%d.org", i), To: targetOf("a")}
	}
	if _, err := now.WithChanges(rules, nil); err == nil || !strings.Contains(err.Error(), "are the most") {
		t.Errorf("too many rules: %v", err)
	}
	if now, err = now.WithChanges(rules, []string{"a"}); err != nil || now.RuleCount() != MaxRules {
		t.Errorf("as many as may be: %v", err)
	}
}

func BenchmarkWithChanges(b *testing.B) {
	for _, n := range []int{1000, 4000, 13_000, 26_000} {
		table := manyRules(n)
		r := *table.rules[n/2]
		r.To = targetOf("other")
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := table.WithChanges([]Rule{r}, nil); err != nil {
					b.Fatal(err)
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
				manyRules(n)
			}
		})
	}
}

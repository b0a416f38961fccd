package route

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// singleTarget returns a list of targets with one service.
func singleTarget(service string) []Target { return []Target{{service, 1}} }

func TestPrecedence(t *testing.T) {
	table, err := Compile([]Rule{
		{Name: "any", To: singleTarget("a")},
		{Name: "host", Host: "pay.example.org", To: singleTarget("b")},
		{Name: "suffix", Host: "*.example.org", To: singleTarget("c")},
		{Name: "longer suffix", Host: "*.kigali.example.org", To: singleTarget("d")},
		{Name: "prefix", PathPrefix: "/v1", To: singleTarget("e")},
		{Name: "longer prefix", PathPrefix: "/v1/pay", To: singleTarget("f")},
		{Name: "path", Path: "/v1/pay", To: singleTarget("g")},
		{Name: "class", PathPrefix: "/v1", Classes: []string{"payout", "close"}, To: singleTarget("h")},
		{Name: "tenant", PathPrefix: "/v1", Tenants: []string{"moto"}, To: singleTarget("i")},
		{
			Name: "tenant and method", PathPrefix: "/v1",
			Tenants: []string{"moto"}, Methods: []string{"POST"}, To: singleTarget("j"),
		},
		{Name: "host and path", Host: "pay.example.org", Path: "/x", To: singleTarget("k")},
	}, "")
	if err != nil {
		t.Fatalf("Compile of the test's rules: %v", err)
	}
	for _, test := range []struct {
		request Request
		want    string // name of the rule
	}{
		{Request{Path: "/"}, "any"},
		{Request{Host: "PAY.example.org:8080", Path: "/"}, "host"},
		{Request{Host: "pay.example.org.", Path: "/v1"}, "host"}, // the host has precedence over the path
		{Request{Host: "a.example.org", Path: "/v1"}, "suffix"},
		{Request{Host: "a.b.kigali.example.org", Path: "/"}, "longer suffix"},
		{Request{Host: "example.org", Path: "/"}, "any"}, // *.example.org does not match example.org itself
		{Request{Host: "[::1]:80", Path: "/v1/x"}, "prefix"},
		{Request{Path: "/v1/pay"}, "path"},
		{Request{Path: "/v1/pay/"}, "longer prefix"},
		{Request{Path: "/v1/pay/2"}, "longer prefix"},
		{Request{Path: "/v1/payroll"}, "prefix"},
		{Request{Path: "/v12"}, "any"},
		{Request{Path: "/v1", Class: "close"}, "class"},
		{Request{Path: "/v1", Class: "close", Tenant: "moto"}, "tenant"},
		{Request{Path: "/v1", Class: "close", Tenant: "moto", Method: "POST"}, "tenant and method"},
		{Request{Host: "pay.example.org", Path: "/x"}, "host and path"},
	} {
		r, verdict := table.Lookup(&test.request)
		if verdict != Found || r.Name != test.want {
			t.Errorf("Lookup(%+v) = rule %+v, verdict %q, want rule %q", test.request, r, verdict, test.want)
		}
		if got := table.Explain(&test.request); got[0].Rule.Name != test.want {
			t.Errorf("Explain(%+v) lists rule %q first, want %q", test.request, got[0].Rule.Name, test.want)
		}
	}
}

func TestLookupVerdicts(t *testing.T) {
	rules := []Rule{{Name: "a", Host: "a.org", PathPrefix: "/x", To: singleTarget("a")}}
	table, err := Compile(rules, "")
	if err != nil {
		t.Fatalf("Compile of one rule without a fallback: %v", err)
	}
	for _, test := range []struct {
		host, path string
		want       Verdict
	}{
		{"a.org", "/x/y", Found}, {"a.org", "/y", NoRoute}, {"b.org", "/x", UnknownHost}, {"", "/x", UnknownHost},
		{"a.org", "/x/../y", AmbiguousPath}, {"a.org", "//x", AmbiguousPath}, {"a.org", "/x/./y", AmbiguousPath},
		{"a.org", "*", AmbiguousPath}, {"a.org", "", AmbiguousPath},
		{strings.Repeat("a", 300) + ".org", "/x", UnknownHost},
	} {
		if _, verdict := table.Lookup(&Request{Host: test.host, Path: test.path}); verdict != test.want {
			t.Errorf("Lookup(host %q, path %q): verdict %q, want %q", test.host, test.path, verdict, test.want)
		}
	}
	table, err = Compile(rules, "rest")
	if err != nil {
		t.Fatalf("Compile of one rule with the fallback rest: %v", err)
	}
	if r, verdict := table.Lookup(&Request{Host: "b.org", Path: "/"}); verdict != Found || r.Pick(1) != "rest" {
		t.Errorf("Lookup(host b.org, path /) = rule %+v, verdict %q, want the fallback, service rest", r, verdict)
	}
}

func TestErrorsNameTheRule(t *testing.T) {
	for _, test := range []struct {
		rule Rule
		want string
	}{
		{Rule{Name: "x", Host: "Pay.org", To: singleTarget("a")}, `route[1] "x": host: "Pay.org"`},
		{Rule{Name: "x", Host: "*.", To: singleTarget("a")}, `host: "*."`},
		{Rule{Name: "x", Host: "a..b", To: singleTarget("a")}, `host: "a..b"`},
		{Rule{Name: "x", Path: "/a", PathPrefix: "/b", To: singleTarget("a")}, "both given"},
		{Rule{Name: "x", Path: "a", To: singleTarget("a")}, `path: "a"`},
		{Rule{Name: "x", PathPrefix: "/a/", To: singleTarget("a")}, `path_prefix: "/a/"`},
		{Rule{Name: "x"}, "to: no service"},
		{Rule{Name: "x", To: []Target{{"a", 0}}}, "all weights are 0"},
		{Rule{Name: "x", To: []Target{{"a", -1}}}, "weight -1"},
		{Rule{Name: "x", To: []Target{{"a", 1}, {"a", 1}}}, "listed twice"},
		{Rule{Name: "x", Classes: []string{"c", "c"}, To: singleTarget("a")}, "classes"},
		{Rule{Name: "first", PathPrefix: "/other", To: singleTarget("a")}, "route[0] has the same name"},
		{
			Rule{Name: "x", Classes: []string{"b", "c"}, To: singleTarget("a")},
			`route[1] "x": ties with route[0] "first"`,
		},
	} {
		_, err := Compile([]Rule{{Name: "first", Classes: []string{"a", "b"}, To: singleTarget("s")}, test.rule}, "")
		var ruleErr RuleError
		if !errors.As(err, &ruleErr) || ruleErr.Index != 1 || !strings.Contains(err.Error(), test.want) {
			t.Errorf("Compile(rule \"first\", %+v): error %v, want a RuleError of index 1 that contains %q",
				test.rule, err, test.want)
		}
	}
}

// Random rules and requests take their values from these short lists, so that many of them match.
var (
	ruleHosts       = []string{"", "a.org", "*.org", "*.a.org", "b.a.org", "*.b.a.org", "c.b.a.org"}
	paths           = []string{"/", "/a", "/a/b", "/a/b/c", "/ab", "/a/", "/b"}
	criterionValues = []string{"x", "y", "z"}
	requestHosts    = []string{"", "org", "a.org", "b.a.org", "c.b.a.org", "C.B.A.ORG:1", "d.org", "x.y.a.org."}
)

// drawRule returns a random valid rule whose name and service are the number i.
func drawRule(t *rapid.T, i int) Rule {
	r := Rule{Name: fmt.Sprint(i), Host: rapid.SampledFrom(ruleHosts).Draw(t, "host"), To: singleTarget(fmt.Sprint(i))}
	path := rapid.SampledFrom(paths).Draw(t, "path")
	switch rapid.IntRange(0, 2).Draw(t, "kind") {
	case 0:
		r.Path = path
	case 1:
		if path != "/a/" {
			r.PathPrefix = path
		}
	}
	values := rapid.SliceOfNDistinct(rapid.SampledFrom(criterionValues), 0, 2, rapid.ID[string])
	r.Methods, r.Classes, r.Tenants = values.Draw(t, "methods"), values.Draw(t, "classes"), values.Draw(t, "tenants")
	return r
}

// Lookup returns the same rule as a comparison of all rules: the matching rule of the highest rank, of which there is
// at most one.
func TestLookupAgreesWithComparingAllRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var rules []Rule
		for i := range rapid.IntRange(0, 25).Draw(t, "rules") {
			r := drawRule(t, i)
			if _, err := Compile(append(rules, r), ""); err == nil { // a rule that conflicts is left out
				rules = append(rules, r)
			}
		}
		table, err := Compile(rules, "")
		if err != nil {
			t.Fatalf("Compile of %d rules that compiled one by one: %v", len(rules), err)
		}
		for range 20 {
			q := Request{
				Host:   rapid.SampledFrom(requestHosts).Draw(t, "host"),
				Path:   rapid.SampledFrom(paths).Draw(t, "path"),
				Method: rapid.SampledFrom(criterionValues).Draw(t, "method"),
				Class:  rapid.SampledFrom(criterionValues).Draw(t, "class"),
				Tenant: rapid.SampledFrom(criterionValues).Draw(t, "tenant"),
			}
			var want *Rule
			tied := false
			for i := range rules {
				if r := &rules[i]; r.mismatchReason(&q) == "" {
					if want == nil || comparePrecedence(r, want) > 0 {
						want, tied = r, false
					} else if comparePrecedence(r, want) == 0 {
						tied = true
					}
				}
			}
			if tied {
				t.Fatalf("Compile accepted two rules of equal precedence that both match %+v, want an error", q)
			}
			got, verdict := table.Lookup(&q)
			if (want == nil) != (verdict != Found) || want != nil && got.Name != want.Name {
				t.Fatalf("Lookup(%+v) = rule %+v, verdict %q, want rule %+v, which a comparison of all rules finds",
					q, got, verdict, want)
			}
		}
	})
}

// When the weight of a service grows, keys move only to that service, and its share of the keys follows its weight.
func TestWeightsMoveKeysOneWay(t *testing.T) {
	const keyCount = 20000
	rng := rand.New(rand.NewPCG(1, 1))
	keys := make([]uint64, keyCount)
	for i := range keys {
		keys[i] = rng.Uint64()
	}
	previous := make([]string, keyCount) // by key: its service at the previous weight
	for _, weight := range []float64{0, 0.1, 0.5, 1, 4} {
		r := Rule{To: []Target{{"old", 1}, {"new", weight}, {"other", 1}}}
		countByService := map[string]int{}
		for i, key := range keys {
			service := r.Pick(key)
			countByService[service]++
			if previous[i] != "" && service != previous[i] && service != "new" {
				t.Fatalf("Pick(%#x) = %s with weight %v of service new, and %s with a lower weight: "+
					"want the same service or new", key, service, weight, previous[i])
			}
			previous[i] = service
		}
		share, want := float64(countByService["new"])/keyCount, weight/(2+weight)
		if share < want-0.015 || share > want+0.015 {
			t.Errorf("Pick returned service new, of weight %v, for a share of %.3f of the keys, want %.3f +- 0.015",
				weight, share, want)
		}
	}
}

// tableWithRules returns a table of n rules: n/5+1 hosts with about five path prefixes each.
func tableWithRules(n int) *Table {
	rules := make([]Rule, n)
	for i := range rules {
		rules[i] = Rule{
			Name:       fmt.Sprint(i),
			Host:       fmt.Sprintf("h%d.example.org", i%(n/5+1)),
			PathPrefix: fmt.Sprintf("/v%d/pay", i/(n/5+1)),
			To:         singleTarget("s"),
		}
	}
	t, err := Compile(rules, "rest")
	if err != nil {
		panic(fmt.Sprintf("Compile of %d rules: %v", n, err))
	}
	return t
}

func TestLookupAllocatesNothing(t *testing.T) {
	table := tableWithRules(1000)
	q := Request{Host: "H7.example.org:8443", Path: "/v0/pay/x/y", Method: "POST", Class: "c", Tenant: "t"}
	if n := testing.AllocsPerRun(100, func() { r, _ := table.Lookup(&q); r.Pick(1) }); n != 0 {
		t.Errorf("Lookup(%+v) and Pick: %v allocations, want 0", q, n)
	}
}

// Lookups by several criteria allocate nothing either, also with a class and a tenant of 100 bytes together.
func TestLookupBySeveralCriteriaAllocatesNothing(t *testing.T) {
	values := []string{"a", "b"}
	table, err := Compile([]Rule{
		{Name: "all", Methods: values, Classes: values, Tenants: values, To: singleTarget("s")},
		{Name: "two", Classes: values, Tenants: values, To: singleTarget("s")},
		{Name: "one", Tenants: values, To: singleTarget("s")},
	}, "rest")
	if err != nil {
		t.Fatalf("Compile of rules with one to three criteria: %v", err)
	}
	for _, q := range []Request{
		{Path: "/", Method: "b", Class: "a", Tenant: "b"},
		{Path: "/", Method: "PUT", Class: "b", Tenant: "a"},
		{Path: "/", Method: "PUT", Class: "c", Tenant: "a"},
		{Path: "/", Method: "PUT", Class: strings.Repeat("c", 40), Tenant: strings.Repeat("t", 60)},
	} {
		if n := testing.AllocsPerRun(100, func() { table.Lookup(&q) }); n != 0 {
			t.Errorf("Lookup(%+v): %v allocations, want 0", q, n)
		}
	}
}

func BenchmarkLookup(b *testing.B) {
	for _, n := range []int{10, 1000, 100_000} {
		table := tableWithRules(n)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			q := Request{Host: "h1.example.org", Path: "/v0/pay/x", Method: "POST", Class: "c", Tenant: "t"}
			for b.Loop() {
				table.Lookup(&q)
			}
		})
	}
}

// BenchmarkLookupByTenant looks up among thousands of rules of one host and path, by tenant and class.
func BenchmarkLookupByTenant(b *testing.B) {
	for _, n := range []int{10, 1000, 13_000} {
		rules := make([]Rule, n)
		for i := range rules {
			rules[i] = Rule{
				Name:       fmt.Sprint(i),
				Host:       "h.example.org",
				PathPrefix: "/v1",
				Tenants:    []string{fmt.Sprintf("tenant-%07d", i)},
				To:         singleTarget("s"),
			}
			if i%2 == 0 {
				rules[i].Classes = []string{"c"}
			}
		}
		table, err := Compile(rules, "rest")
		if err != nil {
			b.Fatalf("Compile of %d rules of different tenants: %v", n, err)
		}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			requests := make([]Request, 64)
			for i := range requests {
				tenant := fmt.Sprintf("tenant-%07d", i*n/64)
				requests[i] = Request{Host: "h.example.org", Path: "/v1/x", Method: "POST", Class: "c", Tenant: tenant}
			}
			i := 0
			for b.Loop() {
				i++
				table.Lookup(&requests[i%64])
			}
		})
	}
}

package route

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func targetOf(s string) []Target { return []Target{{s, 1}} }

func TestPrecedence(t *testing.T) {
	table, err := Compile([]Rule{
		{Name: "any", To: targetOf("a")},
		{Name: "host", Host: "pay.example.org", To: targetOf("b")},
		{Name: "suffix", Host: "*.example.org", To: targetOf("c")},
		{Name: "longer suffix", Host: "*.kigali.example.org", To: targetOf("d")},
		{Name: "prefix", PathPrefix: "/v1", To: targetOf("e")},
		{Name: "longer prefix", PathPrefix: "/v1/pay", To: targetOf("f")},
		{Name: "path", Path: "/v1/pay", To: targetOf("g")},
		{Name: "class", PathPrefix: "/v1", Classes: []string{"payout", "close"}, To: targetOf("h")},
		{Name: "tenant", PathPrefix: "/v1", Tenants: []string{"moto"}, To: targetOf("i")},
		{
			Name: "tenant and method", PathPrefix: "/v1",
			Tenants: []string{"moto"}, Methods: []string{"POST"}, To: targetOf("j"),
		},
		{Name: "host and path", Host: "pay.example.org", Path: "/x", To: targetOf("k")},
	}, "")
	if err != nil {
		t.Fatal(err)
	}
	for _, k := range []struct {
		q    Request
		want string
	}{
		{Request{Path: "/"}, "any"},
		{Request{Host: "PAY.example.org:8080", Path: "/"}, "host"},
		{Request{Host: "pay.example.org.", Path: "/v1"}, "host"}, // the host goes before the path
		{Request{Host: "a.example.org", Path: "/v1"}, "suffix"},
		{Request{Host: "a.b.kigali.example.org", Path: "/"}, "longer suffix"},
		{Request{Host: "example.org", Path: "/"}, "any"}, // a suffix does not match its own name
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
		r, v := table.Lookup(&k.q)
		if v != Found || r.Name != k.want {
			t.Errorf("%+v: %v %v, want %s", k.q, r, v, k.want)
		}
		if got := table.Explain(&k.q); got[0].Rule.Name != k.want {
			t.Errorf("%+v: explained as %s", k.q, got[0].Rule.Name)
		}
	}
}

func TestLookupVerdicts(t *testing.T) {
	rules := []Rule{{Name: "a", Host: "a.org", PathPrefix: "/x", To: targetOf("a")}}
	table, err := Compile(rules, "")
	if err != nil {
		t.Fatal(err)
	}
	for _, k := range []struct {
		host, path string
		want       Verdict
	}{
		{"a.org", "/x/y", Found}, {"a.org", "/y", NoRoute}, {"b.org", "/x", UnknownHost}, {"", "/x", UnknownHost},
		{"a.org", "/x/../y", AmbiguousPath}, {"a.org", "//x", AmbiguousPath}, {"a.org", "/x/./y", AmbiguousPath},
		{"a.org", "*", AmbiguousPath}, {"a.org", "", AmbiguousPath},
		{strings.Repeat("a", 300) + ".org", "/x", UnknownHost},
	} {
		if _, v := table.Lookup(&Request{Host: k.host, Path: k.path}); v != k.want {
			t.Errorf("%s %s: %v, want %v", k.host, k.path, v, k.want)
		}
	}
	table, err = Compile(rules, "rest")
	if err != nil {
		t.Fatal(err)
	}
	if r, v := table.Lookup(&Request{Host: "b.org", Path: "/"}); v != Found || r.Pick(1) != "rest" {
		t.Errorf("fallback: %v %v", r, v)
	}
}

func TestErrorsNameTheRule(t *testing.T) {
	for _, k := range []struct {
		rule Rule
		want string
	}{
		{Rule{Name: "x", Host: "Pay.org", To: targetOf("a")}, `route[1] "x": host: "Pay.org"`},
		{Rule{Name: "x", Host: "*.", To: targetOf("a")}, `host: "*."`},
		{Rule{Name: "x", Host: "a..b", To: targetOf("a")}, `host: "a..b"`},
		{Rule{Name: "x", Path: "/a", PathPrefix: "/b", To: targetOf("a")}, "both given"},
		{Rule{Name: "x", Path: "a", To: targetOf("a")}, `path: "a"`},
		{Rule{Name: "x", PathPrefix: "/a/", To: targetOf("a")}, `path_prefix: "/a/"`},
		{Rule{Name: "x"}, "to: no service"},
		{Rule{Name: "x", To: []Target{{"a", 0}}}, "all weights are 0"},
		{Rule{Name: "x", To: []Target{{"a", -1}}}, "weight -1"},
		{Rule{Name: "x", To: []Target{{"a", 1}, {"a", 1}}}, "there twice"},
		{Rule{Name: "x", Classes: []string{"c", "c"}, To: targetOf("a")}, "classes"},
		{Rule{Name: "first", PathPrefix: "/other", To: targetOf("a")}, "route[0] has it too"},
		{Rule{Name: "x", Classes: []string{"b", "c"}, To: targetOf("a")}, `route[1] "x": ties with route[0] "first"`},
	} {
		_, err := Compile([]Rule{{Name: "first", Classes: []string{"a", "b"}, To: targetOf("s")}, k.rule}, "")
		var ruleErr RuleError
		if !errors.As(err, &ruleErr) || ruleErr.Index != 1 || !strings.Contains(err.Error(), k.want) {
			t.Errorf("%+v: %v, want %q", k.rule, err, k.want)
		}
	}
}

// Rules and requests are drawn from few values, so that they match each other.
var (
	hosts        = []string{"", "a.org", "*.org", "*.a.org", "b.a.org", "*.b.a.org", "c.b.a.org"}
	paths        = []string{"/", "/a", "/a/b", "/a/b/c", "/ab", "/a/", "/b"}
	words        = []string{"x", "y", "z"}
	requestHosts = []string{"", "org", "a.org", "b.a.org", "c.b.a.org", "C.B.A.ORG:1", "d.org", "x.y.a.org."}
)

func drawRule(t *rapid.T, i int) Rule {
	r := Rule{Name: fmt.Sprint(i), Host: rapid.SampledFrom(hosts).Draw(t, "host"), To: targetOf(fmt.Sprint(i))}
	path := rapid.SampledFrom(paths).Draw(t, "path")
	switch rapid.IntRange(0, 2).Draw(t, "kind") {
	case 0:
		r.Path = path
	case 1:
		if path != "/a/" {
			r.PathPrefix = path
		}
	}
	some := rapid.SliceOfNDistinct(rapid.SampledFrom(words), 0, 2, rapid.ID[string])
	r.Methods, r.Classes, r.Tenants = some.Draw(t, "methods"), some.Draw(t, "classes"), some.Draw(t, "tenants")
	return r
}

// Lookup returns what a comparison of all rules finds: the only one of the highest rank that matches.
func TestLookupAgreesWithComparingAllRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var rules []Rule
		for i := range rapid.IntRange(0, 25).Draw(t, "rules") {
			r := drawRule(t, i)
			if _, err := Compile(append(rules, r), ""); err == nil { // one that ties is left out
				rules = append(rules, r)
			}
		}
		table, err := Compile(rules, "")
		if err != nil {
			t.Fatal(err)
		}
		for range 20 {
			q := Request{
				Host:   rapid.SampledFrom(requestHosts).Draw(t, "host"),
				Path:   rapid.SampledFrom(paths).Draw(t, "path"),
				Method: rapid.SampledFrom(words).Draw(t, "method"),
				Class:  rapid.SampledFrom(words).Draw(t, "class"),
				Tenant: rapid.SampledFrom(words).Draw(t, "tenant"),
			}
			var want *Rule
			tied := false
			for i := range rules {
				if r := &rules[i]; r.mismatch(&q) == "" {
					if want == nil || compare(r, want) > 0 {
						want, tied = r, false
					} else if compare(r, want) == 0 {
						tied = true
					}
				}
			}
			if tied {
				t.Fatalf("%+v: two rules of one rank match, and they were compiled", q)
			}
			got, v := table.Lookup(&q)
			if (want == nil) != (v != Found) || want != nil && got.Name != want.Name {
				t.Fatalf("%+v: %v %v, want %v", q, got, v, want)
			}
		}
	})
}

// As a weight grows, keys move to that service only; their shares follow the weights.
func TestWeightsMoveKeysOneWay(t *testing.T) {
	const n = 20000
	rng := rand.New(rand.NewPCG(1, 1))
	keys := make([]uint64, n)
	for i := range keys {
		keys[i] = rng.Uint64()
	}
	last := make([]string, n)
	for _, w := range []float64{0, 0.1, 0.5, 1, 4} {
		r := Rule{To: []Target{{"old", 1}, {"new", w}, {"other", 1}}}
		got := map[string]int{}
		for i, k := range keys {
			s := r.Pick(k)
			got[s]++
			if last[i] != "" && s != last[i] && s != "new" {
				t.Fatalf("at weight %v a key moved from %s to %s", w, last[i], s)
			}
			last[i] = s
		}
		if share, want := float64(got["new"])/n, w/(2+w); share < want-0.015 || share > want+0.015 {
			t.Errorf("weight %v: share %.3f, want %.3f", w, share, want)
		}
	}
}

// manyRules returns a table of n rules, five hosts to a path.
func manyRules(n int) *Table {
	rules := make([]Rule, n)
	for i := range rules {
		rules[i] = Rule{
			Name:       fmt.Sprint(i),
			Host:       fmt.Sprintf("h%d.example.org", i%(n/5+1)),
			PathPrefix: fmt.Sprintf("/v%d/pay", i/(n/5+1)),
			To:         targetOf("s"),
		}
	}
	t, err := Compile(rules, "rest")
	if err != nil {
		panic(err)
	}
	return t
}

func TestLookupAllocatesNothing(t *testing.T) {
	table := manyRules(1000)
	q := Request{Host: "H7.example.org:8443", Path: "/v0/pay/x/y", Method: "POST", Class: "c", Tenant: "t"}
	if n := testing.AllocsPerRun(100, func() { r, _ := table.Lookup(&q); r.Pick(1) }); n != 0 {
		t.Errorf("%v allocations", n)
	}
}

// Lookups by several criteria allocate nothing either, whatever the length of the values.
func TestLookupBySeveralCriteriaAllocatesNothing(t *testing.T) {
	some := []string{"a", "b"}
	table, err := Compile([]Rule{
		{Name: "all", Methods: some, Classes: some, Tenants: some, To: targetOf("s")},
		{Name: "two", Classes: some, Tenants: some, To: targetOf("s")},
		{Name: "one", Tenants: some, To: targetOf("s")},
	}, "rest")
	if err != nil {
		t.Fatal(err)
	}
	for _, q := range []Request{
		{Path: "/", Method: "b", Class: "a", Tenant: "b"},
		{Path: "/", Method: "PUT", Class: "b", Tenant: "a"},
		{Path: "/", Method: "PUT", Class: "c", Tenant: "a"},
		{Path: "/", Method: "PUT", Class: strings.Repeat("c", 40), Tenant: strings.Repeat("t", 60)},
	} {
		if n := testing.AllocsPerRun(100, func() { table.Lookup(&q) }); n != 0 {
			t.Errorf("%+v: %v allocations", q, n)
		}
	}
}

func BenchmarkLookup(b *testing.B) {
	for _, n := range []int{10, 1000, 100_000} {
		table := manyRules(n)
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
				To:         targetOf("s"),
			}
			if i%2 == 0 {
				rules[i].Classes = []string{"c"}
			}
		}
		table, err := Compile(rules, "rest")
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			qs := make([]Request, 64)
			for i := range qs {
				tenant := fmt.Sprintf("tenant-%07d", i*n/64)
				qs[i] = Request{Host: "h.example.org", Path: "/v1/x", Method: "POST", Class: "c", Tenant: tenant}
			}
			i := 0
			for b.Loop() {
				i++
				table.Lookup(&qs[i%64])
			}
		})
	}
}

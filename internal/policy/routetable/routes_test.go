package routetable

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"lapisspread/internal/operatorerror"
	"lapisspread/internal/policy/merkle"
	"lapisspread/internal/policy/namespace"
	"lapisspread/internal/route"
)

// generator returns random policies of one team, of few routes and blocks.
type generator struct{ *rand.Rand }

var services = []string{"s0", "s1", "s2", "s3"}

func (d generator) policy() *namespace.Policy {
	p := &namespace.Policy{Format: 1}
	number := uint64(1 + d.IntN(2))
	weight := 1.0
	for i := range 8 {
		name := fmt.Sprint("r", i)
		if d.IntN(3) == 0 {
			continue
		}
		r := namespace.PolicyRoute{Source: namespace.Source{Namespace: "a", Number: number, Rule: "route " + name}}
		r.Name, r.Path = "a/"+name, fmt.Sprint("/", i)
		r.Sticky = []string{"", "tenant", "request"}[d.IntN(3)]
		for k, s := range services {
			if k == i%len(services) || d.IntN(5) == 0 {
				r.To = append(r.To, namespace.Target{Service: s, Weight: &weight})
			}
		}
		p.Routes = append(p.Routes, r)
	}
	for i := range 3 {
		if d.IntN(3) == 0 {
			continue
		}
		b := namespace.PolicyBlock{
			Source: namespace.Source{Namespace: "a", Number: number, Rule: fmt.Sprint("block b", i)},
		}
		b.Name, b.Path = fmt.Sprint("a/b", i), fmt.Sprint("/", d.IntN(4)+4*i)
		p.Blocks = append(p.Blocks, b)
	}
	return p
}

// difference describes how two route tables differ; empty if they do not.
func difference(a, b *Routes) string {
	if !maps.Equal(a.StickyBy, b.StickyBy) {
		return fmt.Sprintf("sticky %v and %v", a.StickyBy, b.StickyBy)
	}
	for i := range 13 {
		q := route.Request{Path: fmt.Sprint("/", i)}
		x, v := a.Table.Lookup(&q)
		y, w := b.Table.Lookup(&q)
		if v != w || v == route.Found && (x.Name != y.Name || !slices.Equal(x.To, y.To)) {
			return fmt.Sprintf("%s: %v %v and %v %v", q.Path, x, v, y, w)
		}
		if x, y := blocked(a, &q), blocked(b, &q); x != y {
			return fmt.Sprintf("%s: blocked by %q and %q", q.Path, x, y)
		}
	}
	return ""
}

func blocked(r *Routes, q *route.Request) string {
	if r.Blocks == nil {
		return ""
	}
	if rule, v := r.Blocks.Lookup(q); v == route.Found {
		return rule.Name
	}
	return ""
}

func tree(t *testing.T, p *namespace.Policy) *merkle.Tree {
	t.Helper()
	out, err := p.Tree()
	if err != nil {
		t.Fatal(err)
	}
	return out
}

// Update gives the routes and the errors that Build gives, and leaves the earlier routes as they were.
func TestUpdateAgreesWithBuild(t *testing.T) {
	built, rejected := 0, 0
	for seed := range uint64(100) {
		d := generator{rand.New(rand.NewPCG(seed, 32))}
		fallback := []string{"", "s0"}[d.IntN(2)]
		lacks := ""
		if seed%2 == 0 {
			lacks = "s3"
		}
		has := func(s string) bool { return s != lacks }
		was := &namespace.Policy{Format: 1}
		now, err := Build(was, fallback, has)
		if err != nil {
			t.Fatal(err)
		}
		for step := range 12 {
			next := d.policy()
			p, diff, err := was.With(merkle.Changes(tree(t, was), tree(t, next)))
			if err != nil {
				t.Fatal(err)
			}
			want, wantErr := Build(next, fallback, has)
			got, err := now.Update(p, diff, has)
			before, beforeErr := Build(was, fallback, has)
			if beforeErr != nil {
				t.Fatal(beforeErr)
			}
			if wrong := difference(now, before); wrong != "" {
				t.Fatalf("seed %d, step %d: the earlier routes have changed: %s", seed, step, wrong)
			}
			if err != nil || wantErr != nil {
				if fmt.Sprint(err) != fmt.Sprint(wantErr) || !errors.As(
					err, new(MissingServicesError),
				) || operatorerror.AdviceOf(err) == "" {
					t.Fatalf("seed %d, step %d: %v, Build: %v", seed, step, err, wantErr)
				}
				rejected++
				continue
			}
			if wrong := difference(got, want); wrong != "" {
				t.Fatalf("seed %d, step %d: %s", seed, step, wrong)
			}
			was, now = p, got
			built++
		}
	}
	t.Logf("%d built, %d rejected", built, rejected)
	if built < 300 || rejected < 300 {
		t.Error("too few of one outcome")
	}
}

func TestTiedBlocksAreRejected(t *testing.T) {
	p := &namespace.Policy{Format: 1}
	now, err := Build(p, "", func(string) bool { return true })
	if err != nil {
		t.Fatal(err)
	}
	for i := range 2 {
		b := namespace.PolicyBlock{Source: namespace.Source{Namespace: "a", Number: 1, Rule: fmt.Sprint("block b", i)}}
		b.Name, b.Path = fmt.Sprint("a/b", i), "/x"
		p.Blocks = append(p.Blocks, b)
	}
	_, err = Build(p, "", func(string) bool { return true })
	_, again := now.Update(p, &namespace.Diff{BlocksChanged: true}, func(string) bool { return true })
	for _, err := range []error{err, again} {
		if bad := (InvalidRulesError{}); !errors.As(err, &bad) || bad.Kind != "blocks" ||
			!strings.Contains(err.Error(), "ties") || operatorerror.AdviceOf(err) == "" {
			t.Errorf("%v", err)
		}
	}
}

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

// policyGenerator generates random policies of one team with up to 8 routes and 3 blocks.
type policyGenerator struct{ *rand.Rand }

var services = []string{"s0", "s1", "s2", "s3"}

// policy returns the next random policy.
func (g policyGenerator) policy() *namespace.Policy {
	p := &namespace.Policy{Format: 1}
	number := uint64(1 + g.IntN(2))
	weight := 1.0
	for i := range 8 {
		name := fmt.Sprint("r", i)
		if g.IntN(3) == 0 {
			continue
		}
		r := namespace.PolicyRoute{Source: namespace.Source{Namespace: "a", Number: number, Rule: "route " + name}}
		r.Name = "a/" + name
		r.Path = fmt.Sprint("/", i)
		r.Sticky = []string{"", "tenant", "request"}[g.IntN(3)]
		for serviceIndex, service := range services {
			if serviceIndex == i%len(services) || g.IntN(5) == 0 {
				r.To = append(r.To, namespace.Target{Service: service, Weight: &weight})
			}
		}
		p.Routes = append(p.Routes, r)
	}
	for i := range 3 {
		if g.IntN(3) == 0 {
			continue
		}
		b := namespace.PolicyBlock{
			Source: namespace.Source{Namespace: "a", Number: number, Rule: fmt.Sprint("block b", i)},
		}
		b.Name, b.Path = fmt.Sprint("a/b", i), fmt.Sprint("/", g.IntN(4)+4*i)
		p.Blocks = append(p.Blocks, b)
	}
	return p
}

// difference describes how the routes got differ from want. It returns "" if they are equal.
func difference(got, want *Routes) string {
	if !maps.Equal(got.StickyBy, want.StickyBy) {
		return fmt.Sprintf("StickyBy is %v, want %v", got.StickyBy, want.StickyBy)
	}
	for i := range 13 {
		request := route.Request{Path: fmt.Sprint("/", i)}
		gotRule, gotResult := got.Table.Lookup(&request)
		wantRule, wantResult := want.Table.Lookup(&request)
		if gotResult != wantResult ||
			gotResult == route.Found && (gotRule.Name != wantRule.Name || !slices.Equal(gotRule.To, wantRule.To)) {
			return fmt.Sprintf("Table.Lookup(path %s) = rule %+v, result %v; want rule %+v, result %v",
				request.Path, gotRule, gotResult, wantRule, wantResult)
		}
		gotBlock := blockingRule(got, &request)
		wantBlock := blockingRule(want, &request)
		if gotBlock != wantBlock {
			return fmt.Sprintf("path %s is blocked by rule %q, want %q", request.Path, gotBlock, wantBlock)
		}
	}
	return ""
}

// blockingRule returns the name of the rule that blocks the request, or "" if none does.
func blockingRule(r *Routes, request *route.Request) string {
	if r.Blocks == nil {
		return ""
	}
	if rule, result := r.Blocks.Lookup(request); result == route.Found {
		return rule.Name
	}
	return ""
}

// policyTree returns the Merkle tree of a policy.
func policyTree(t *testing.T, p *namespace.Policy) *merkle.Tree {
	t.Helper()
	tree, err := p.Tree()
	if err != nil {
		t.Fatalf("Policy.Tree() failed: %v", err)
	}
	return tree
}

// Update returns the same routes and errors as Build, and does not modify the routes that it is called on.
func TestUpdateAgreesWithBuild(t *testing.T) {
	built, rejected := 0, 0
	for seed := range uint64(100) {
		g := policyGenerator{rand.New(rand.NewPCG(seed, 32))}
		fallback := []string{"", "s0"}[g.IntN(2)]
		missingService := ""
		if seed%2 == 0 {
			missingService = "s3"
		}
		hasService := func(name string) bool { return name != missingService }
		policy := &namespace.Policy{Format: 1}
		routes, err := Build(policy, fallback, hasService)
		if err != nil {
			t.Fatalf("seed %d: Build(empty policy) failed: %v", seed, err)
		}
		for step := range 12 {
			nextPolicy := g.policy()
			updated, diff, err := policy.With(merkle.Changes(policyTree(t, policy), policyTree(t, nextPolicy)))
			if err != nil {
				t.Fatalf("seed %d, step %d: Policy.With(changes to the next policy) failed: %v", seed, step, err)
			}
			want, wantErr := Build(nextPolicy, fallback, hasService)
			got, err := routes.Update(updated, diff, hasService)
			rebuilt, rebuiltErr := Build(policy, fallback, hasService)
			if rebuiltErr != nil {
				t.Fatalf("seed %d, step %d: Build(previous policy) failed: %v", seed, step, rebuiltErr)
			}
			if wrong := difference(routes, rebuilt); wrong != "" {
				t.Fatalf("seed %d, step %d: Update modified the routes that it was called on: %s", seed, step, wrong)
			}
			if err != nil || wantErr != nil {
				if fmt.Sprint(err) != fmt.Sprint(wantErr) || !errors.As(
					err, new(MissingServicesError),
				) || operatorerror.AdviceOf(err) == "" {
					t.Fatalf("seed %d, step %d: Update returned error %v (advice %q), Build returned %v; "+
						"want the same MissingServicesError with advice",
						seed, step, err, operatorerror.AdviceOf(err), wantErr)
				}
				rejected++
				continue
			}
			if wrong := difference(got, want); wrong != "" {
				t.Fatalf("seed %d, step %d: the result of Update differs from that of Build: %s", seed, step, wrong)
			}
			policy = updated
			routes = got
			built++
		}
	}
	t.Logf("%d policies were built, %d rejected", built, rejected)
	if built < 300 || rejected < 300 {
		t.Errorf("%d policies were built and %d rejected, want at least 300 of each", built, rejected)
	}
}

// Two blocks that match the same requests with equal precedence make both Build and Update fail.
func TestTiedBlocksAreRejected(t *testing.T) {
	p := &namespace.Policy{Format: 1}
	routes, err := Build(p, "", func(string) bool { return true })
	if err != nil {
		t.Fatalf("Build(empty policy) failed: %v", err)
	}
	for i := range 2 {
		b := namespace.PolicyBlock{Source: namespace.Source{Namespace: "a", Number: 1, Rule: fmt.Sprint("block b", i)}}
		b.Name, b.Path = fmt.Sprint("a/b", i), "/x"
		p.Blocks = append(p.Blocks, b)
	}
	_, buildErr := Build(p, "", func(string) bool { return true })
	_, updateErr := routes.Update(p, &namespace.Diff{BlocksChanged: true}, func(string) bool { return true })
	for call, err := range map[string]error{"Build": buildErr, "Update": updateErr} {
		if invalid := (InvalidRulesError{}); !errors.As(err, &invalid) || invalid.Kind != "blocks" ||
			!strings.Contains(err.Error(), "ties") || operatorerror.AdviceOf(err) == "" {
			t.Errorf("%s(policy with two tied blocks) returned error %v (advice %q), "+
				"want an InvalidRulesError of kind blocks that mentions ties and has advice",
				call, err, operatorerror.AdviceOf(err))
		}
	}
}

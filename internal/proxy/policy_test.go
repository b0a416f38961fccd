package proxy

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"lapisspread/internal/controlplane/api"
	"lapisspread/internal/controlplane/client"
	"lapisspread/internal/policy/merkle"
	"lapisspread/internal/policy/namespace"
	"lapisspread/internal/policy/rollout"
	"lapisspread/internal/policy/routetable"
	"lapisspread/internal/policy/store"
	"lapisspread/internal/route"
)

const policyCharter = `version = 1
[[namespace]]
name = "alpha"
owner = "a"
hosts = ["*.example.org"]
settings = ["route", "service", "block"]
`

// policyRules leads a host to a service, with a block of a path.
func policyRules(number int, service, more string) string {
	return fmt.Sprintf("version = 1\nnamespace = \"alpha\"\nnumber = %d\n[[service]]\nname = %q\n[[route]]\nname "+
		"= \"r\"\nhost = \"p.example.org\"\nto = [{ service = %q }]\n%s",
		number, service, service, more)
}

// A policy leads requests once it is taken up, its blocks hold, attempts carry its epoch, and one whose services are
// not there changes nothing; the file of services goes on until then, and a reload keeps the policy.
func TestRequestsAreRoutedByPolicy(t *testing.T) {
	path, _ := startControlPlane(t, 1000, 100)
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	text = append(text,
		"[policy]\nroutes = true\nstep = \"100ms\"\nwatch = \"100ms\"\nenough = 1\nsilent = \"500ms\"\n"...)
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	f, err := api.Load(path)
	if err != nil {
		t.Fatal(err)
	}
	s := newProxyFixture(t, twoServices, func(c *Config) { c.Fleet = path })
	httpClient := &http.Client{Transport: &http.Transport{}}
	defer httpClient.CloseIdleConnections()
	order := func(c store.Command) {
		t.Helper()
		if err := f.SendPolicyCommand(context.Background(), httpClient, c); err != nil {
			t.Fatal(err)
		}
	}
	report := func() client.Status {
		r, err := adminBackend{s.proxy}.QuotaLeases()
		if err != nil {
			t.Fatal(err)
		}
		return r.(client.Status)
	}
	until := func(what string, is func() bool) {
		t.Helper()
		for by := time.Now().Add(30 * time.Second); !is(); time.Sleep(10 * time.Millisecond) {
			if time.Now().After(by) {
				t.Fatalf("in vain: %s: %+v", what, report().Policy)
			}
		}
	}
	// 503 is the quota, which is not leased before there is demand
	asked := func(path string) (status int, body string) {
		for range 300 {
			if status, body = s.request(httpClient, "p.example.org", path, "fetch-work",
				5000); status != http.StatusServiceUnavailable {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		return status, body
	}
	before, _ := asked("/x")
	order(store.Command{SetDeclaration: &store.SetDeclaration{Text: policyCharter}})
	order(store.Command{SubmitFile: &store.SubmitFile{Text: policyRules(1, "settlement",
		"[[block]]\nname = \"no\"\nhost = \"p.example.org\"\npath_prefix = \"/no\"\n")}})
	until("the policy holds", func() bool { p := report().Policy; return p.Epoch == 2 && len(p.Hash) == 64 })
	if status, body := asked("/x"); status != 200 || body != "slow-5" {
		t.Errorf("%d %q under the policy, %d before", status, body, before)
	}
	if status, body := asked("/no/x"); status != http.StatusForbidden || !strings.Contains(body, "alpha/no") {
		t.Errorf("a block: %d %q", status, body)
	}
	if !s.reload(twoServices) {
		t.Error("a reload was refused")
	}
	if status, body := asked("/x"); status != 200 || body != "slow-5" {
		t.Errorf("after a reload: %d %q", status, body)
	}
	if s.reload(strings.Replace(strings.ReplaceAll(twoServices, "\"settlement\"", "\"other\""), "other-5", "slow-5",
		1)) {
		t.Error("a file without a service that the policy leads to was taken in")
	}
	order(store.Command{SubmitFile: &store.SubmitFile{Text: policyRules(2, "nowhere", "")}})
	until("it is told that a service is missing", func() bool {
		for _, tr := range report().Policy.Faults {
			if strings.Contains(tr.Error, "nowhere") && tr.Advice != "" {
				return true
			}
		}
		return false
	})
	if status, body := asked("/x"); status != 200 || body != "slow-5" || report().Policy.Epoch != 2 {
		t.Errorf("after a policy that could not be taken up: %d %q", status, body)
	}
}

func TestAttemptsCarryPolicyEpoch(t *testing.T) {
	path, _ := startControlPlane(t, 1000, 100)
	got := make(chan *http.Request, 4096)
	p := startProxy(t, listText(1, true, memberText("a", countingBackend(t, got), "active")), newCatalog(t),
		func(c *Config) { c.Fleet = path })
	f, err := api.Load(path)
	if err != nil {
		t.Fatal(err)
	}
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	if err := f.SendPolicyCommand(context.Background(), client,
		store.Command{SetDeclaration: &store.SetDeclaration{Text: policyCharter}}); err != nil {
		t.Fatal(err)
	}
	for by := time.Now().Add(60 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		if _, _, err := p.request(t, "hand-in", 10000, "homework"); err != nil {
			t.Fatal(err)
		}
		epoch := ""
		for range len(got) {
			epoch = (<-got).Header.Get("X-Fleet-Epoch")
		}
		if epoch == "1" {
			return
		}
		if epoch != "" || time.Now().After(by) {
			t.Fatalf("epoch %q", epoch)
		}
	}
}

// Routes that did not change since the previous policy are taken over; with other services, or after another policy,
// all are built again.
func TestPolicyUpdateIsIncremental(t *testing.T) {
	weight := 1.0
	policy := func(number uint64, path, service string) *namespace.Policy {
		p := &namespace.Policy{Format: 1}
		for _, name := range []string{"a", "b"} {
			r := namespace.PolicyRoute{Source: namespace.Source{Namespace: "n", Number: number, Rule: "route " + name}}
			r.Name, r.Path, r.To = "n/"+name, "/"+name, []namespace.Target{{Service: "one", Weight: &weight}}
			if name == "b" {
				r.Path, r.To = path, []namespace.Target{{Service: service, Weight: &weight}}
			}
			p.Routes = append(p.Routes, r)
		}
		b := namespace.PolicyBlock{Source: namespace.Source{Namespace: "n", Number: number, Rule: "block c"}}
		b.Name, b.Path = "n/c", "/c"
		p.Blocks = append(p.Blocks, b)
		return p
	}
	taken := func(was *client.InstalledPolicy, p *namespace.Policy) *client.InstalledPolicy {
		to, err := p.Tree()
		if err != nil {
			t.Fatal(err)
		}
		next := &client.InstalledPolicy{Offer: rollout.Version{Generation: 1, Epoch: p.Routes[0].Source.Number,
			Hash: to.Root().String()}, Policy: p}
		if was != nil {
			from, err := was.Policy.Tree()
			if err != nil {
				t.Fatal(err)
			}
			if next.Policy, next.Diff, err = was.Policy.With(merkle.Changes(from, to)); err != nil {
				t.Fatal(err)
			}
			next.Base = was.Offer
		}
		return next
	}
	services := map[string]*service{"one": {}, "two": {}}
	first := taken(nil, policy(1, "/b", "one"))
	n := routingState{byName: services}
	if err := n.applyPolicy(first, true); err != nil {
		t.Fatal(err)
	}
	next := n
	if err := next.applyPolicy(taken(first, policy(2, "/x", "two")), true); err != nil {
		t.Fatal(err)
	}
	if next.blocks != n.blocks {
		t.Error("blocks that did not change were built again")
	}
	finds := func(n *routingState, path string) string {
		if r, v := n.table.Lookup(&route.Request{Path: path}); v == route.Found {
			return r.To[0].Service
		}
		return ""
	}
	if finds(&next, "/x") != "two" || finds(&next, "/b") != "" || finds(&next, "/a") != "one" || finds(&n,
		"/b") != "one" {
		t.Error("the routes are not those of the policy")
	}
	missing := routetable.MissingServicesError{}
	again := n
	if err := again.applyPolicy(taken(first, policy(2, "/x", "three")), true); !errors.As(err, &missing) ||
		missing.Names[0] != "three" {
		t.Errorf("a route to a service that is not there: %v", err)
	}
	reloaded := routingState{byName: map[string]*service{"two": {}}, policy: nil}
	if err := reloaded.applyPolicy(next.policy, true); !errors.As(err, &missing) || missing.Names[0] != "one" {
		t.Errorf("a route that did not change, to a service that is no longer there: %v", err)
	}
	// A diff against another policy than the one that holds is none.
	strange := n
	odd := taken(first, policy(2, "/x", "two"))
	odd.Base.Epoch = 7
	if err := strange.applyPolicy(odd, true); err != nil || strange.blocks == n.blocks || finds(&strange,
		"/x") != "two" {
		t.Errorf("%v: built on what it does not follow on", err)
	}
}

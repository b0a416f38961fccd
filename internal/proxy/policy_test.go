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

// policyDeclaration declares that namespace alpha may route and block hosts under example.org.
const policyDeclaration = `version = 1
[[namespace]]
name = "alpha"
owner = "a"
hosts = ["*.example.org"]
settings = ["route", "service", "block"]
`

// policyRules returns a policy file of the given number that routes p.example.org to a service, followed by extra.
func policyRules(number int, service, extra string) string {
	return fmt.Sprintf("version = 1\nnamespace = \"alpha\"\nnumber = %d\n[[service]]\nname = %q\n[[route]]\nname "+
		"= \"r\"\nhost = \"p.example.org\"\nto = [{ service = %q }]\n%s",
		number, service, service, extra)
}

// Requests are routed by a policy once it is installed, and its blocks reject requests. A reload of the services file
// keeps the policy; a policy or services file that would leave a route without its service is rejected.
func TestRequestsAreRoutedByPolicy(t *testing.T) {
	path, _ := startControlPlane(t, 1000, 100)
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatalf("reading the control-plane file: %v", err)
	}
	text = append(text,
		"[policy]\nroutes = true\nstep = \"100ms\"\nwatch = \"100ms\"\nenough = 1\nsilent = \"500ms\"\n"...)
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatalf("writing the control-plane file: %v", err)
	}
	f, err := api.Load(path)
	if err != nil {
		t.Fatalf("api.Load(%s): %v", path, err)
	}
	s := newProxyFixture(t, twoServices, func(c *Config) { c.Fleet = path })
	httpClient := &http.Client{Transport: &http.Transport{}}
	defer httpClient.CloseIdleConnections()
	submit := func(c store.Command) {
		t.Helper()
		if err := f.SendPolicyCommand(context.Background(), httpClient, c); err != nil {
			t.Fatalf("SendPolicyCommand: %v", err)
		}
	}
	quotaStatus := func() client.Status {
		r, err := adminBackend{s.proxy}.QuotaLeases()
		if err != nil {
			t.Fatalf("QuotaLeases() = %v, want a report", err)
		}
		return r.(client.Status)
	}
	waitUntil := func(event string, condition func() bool) {
		t.Helper()
		for deadline := time.Now().Add(30 * time.Second); !condition(); time.Sleep(10 * time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("timed out after 30s waiting until %s; policy status %+v", event, quotaStatus().Policy)
			}
		}
	}
	// request repeats a request while it gets status 503: the proxy leases a quota only once there is demand.
	request := func(path string) (status int, body string) {
		for range 300 {
			if status, body = s.request(httpClient, "p.example.org", path, "fetch-work",
				5000); status != http.StatusServiceUnavailable {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		return status, body
	}
	before, _ := request("/x")
	submit(store.Command{SetDeclaration: &store.SetDeclaration{Text: policyDeclaration}})
	submit(store.Command{SubmitFile: &store.SubmitFile{Text: policyRules(1, "settlement",
		"[[block]]\nname = \"no\"\nhost = \"p.example.org\"\npath_prefix = \"/no\"\n")}})
	waitUntil("the policy is installed", func() bool {
		p := quotaStatus().Policy
		return p.Epoch == 2 && len(p.Hash) == 64
	})
	if status, body := request("/x"); status != 200 || body != "slow-5" {
		t.Errorf("/x under the policy = status %d, body %q, want 200 \"slow-5\"; status before the policy: %d",
			status, body, before)
	}
	if status, body := request("/no/x"); status != http.StatusForbidden || !strings.Contains(body, "alpha/no") {
		t.Errorf("/no/x, which the policy blocks = status %d, body %q, want 403 that names alpha/no", status, body)
	}
	if !s.reload(twoServices) {
		t.Error("reload of the same services file was rejected, want it applied")
	}
	if status, body := request("/x"); status != 200 || body != "slow-5" {
		t.Errorf("/x after a reload of the services file = status %d, body %q, want 200 \"slow-5\"", status, body)
	}
	if s.reload(strings.Replace(strings.ReplaceAll(twoServices, "\"settlement\"", "\"other\""), "other-5", "slow-5",
		1)) {
		t.Error("a services file without a service that the policy routes to was applied, want it rejected")
	}
	submit(store.Command{SubmitFile: &store.SubmitFile{Text: policyRules(2, "nowhere", "")}})
	waitUntil("the policy status reports the missing service nowhere", func() bool {
		for _, fault := range quotaStatus().Policy.Faults {
			if strings.Contains(fault.Error, "nowhere") && fault.Advice != "" {
				return true
			}
		}
		return false
	})
	if status, body := request("/x"); status != 200 || body != "slow-5" || quotaStatus().Policy.Epoch != 2 {
		t.Errorf("/x after a policy with a missing service = status %d, body %q at epoch %d, want 200 \"slow-5\" at 2",
			status, body, quotaStatus().Policy.Epoch)
	}
}

// Attempts carry the epoch of the policy that their request was routed by in X-Fleet-Epoch.
func TestAttemptsCarryPolicyEpoch(t *testing.T) {
	path, _ := startControlPlane(t, 1000, 100)
	got := make(chan *http.Request, 4096)
	p := startProxy(t, listText(1, true, memberText("a", countingBackend(t, got), "active")), newCatalog(t),
		func(c *Config) { c.Fleet = path })
	f, err := api.Load(path)
	if err != nil {
		t.Fatalf("api.Load(%s): %v", path, err)
	}
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	if err := f.SendPolicyCommand(context.Background(), client,
		store.Command{SetDeclaration: &store.SetDeclaration{Text: policyDeclaration}}); err != nil {
		t.Fatalf("SendPolicyCommand of the declaration: %v", err)
	}
	for deadline := time.Now().Add(60 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		if _, _, err := p.request(t, "hand-in", 10000, "homework"); err != nil {
			t.Fatalf("request while waiting for the policy: %v", err)
		}
		epoch := ""
		for range len(got) {
			epoch = (<-got).Header.Get("X-Fleet-Epoch")
		}
		if epoch == "1" {
			return
		}
		if epoch != "" || time.Now().After(deadline) {
			t.Fatalf("the backend got X-Fleet-Epoch %q, want 1 within 60s", epoch)
		}
	}
}

// When a policy is installed, routes and blocks that did not change since the previous policy are reused. All are built
// again if the services changed, or if the new policy's diff does not start from the installed policy.
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
	install := func(previous *client.InstalledPolicy, p *namespace.Policy) *client.InstalledPolicy {
		to, err := p.Tree()
		if err != nil {
			t.Fatalf("Tree() of the new policy: %v", err)
		}
		next := &client.InstalledPolicy{Offer: rollout.Version{Generation: 1, Epoch: p.Routes[0].Source.Number,
			Hash: to.Root().String()}, Policy: p}
		if previous != nil {
			from, err := previous.Policy.Tree()
			if err != nil {
				t.Fatalf("Tree() of the previous policy: %v", err)
			}
			if next.Policy, next.Diff, err = previous.Policy.With(merkle.Changes(from, to)); err != nil {
				t.Fatalf("With() the changes of the new policy: %v", err)
			}
			next.Base = previous.Offer
		}
		return next
	}
	services := map[string]*service{"one": {}, "two": {}}
	first := install(nil, policy(1, "/b", "one"))
	original := routingState{byName: services}
	if err := original.applyPolicy(first, true); err != nil {
		t.Fatalf("applyPolicy with the first policy: %v", err)
	}
	updated := original
	if err := updated.applyPolicy(install(first, policy(2, "/x", "two")), true); err != nil {
		t.Fatalf("applyPolicy with the second policy: %v", err)
	}
	if updated.blocks != original.blocks {
		t.Error("applyPolicy built the blocks again, want the unchanged blocks reused")
	}
	serviceFor := func(n *routingState, path string) string {
		if r, v := n.table.Lookup(&route.Request{Path: path}); v == route.Found {
			return r.To[0].Service
		}
		return ""
	}
	if serviceFor(&updated, "/x") != "two" || serviceFor(&updated, "/b") != "" ||
		serviceFor(&updated, "/a") != "one" || serviceFor(&original, "/b") != "one" {
		t.Errorf("services of /x, /b, /a under the second policy = %q, %q, %q, want two, none, one; "+
			"of /b under the first = %q, want one",
			serviceFor(&updated, "/x"), serviceFor(&updated, "/b"), serviceFor(&updated, "/a"),
			serviceFor(&original, "/b"))
	}
	missing := routetable.MissingServicesError{}
	incomplete := original
	if err := incomplete.applyPolicy(install(first, policy(2, "/x", "three")), true); !errors.As(err, &missing) ||
		missing.Names[0] != "three" {
		t.Errorf("applyPolicy with a changed route to the missing service three = %v, want a MissingServicesError", err)
	}
	reloaded := routingState{byName: map[string]*service{"two": {}}, policy: nil}
	if err := reloaded.applyPolicy(updated.policy, true); !errors.As(err, &missing) || missing.Names[0] != "one" {
		t.Errorf("applyPolicy after a reload without the service one = %v, want a MissingServicesError", err)
	}
	// A diff against another policy than the installed one must not be used.
	rebuilt := original
	otherBase := install(first, policy(2, "/x", "two"))
	otherBase.Base.Epoch = 7
	if err := rebuilt.applyPolicy(otherBase, true); err != nil || rebuilt.blocks == original.blocks ||
		serviceFor(&rebuilt, "/x") != "two" {
		t.Errorf("applyPolicy with a diff against another policy = %v, blocks reused %v, service of /x %q; "+
			"want nil, false, two", err, rebuilt.blocks == original.blocks, serviceFor(&rebuilt, "/x"))
	}
}

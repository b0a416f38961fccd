package client

import (
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"lapisspread/internal/controlplane/api"
	"lapisspread/internal/policy/distribution"
	"lapisspread/internal/policy/merkle"
	"lapisspread/internal/policy/namespace"
	"lapisspread/internal/policy/rollout"
)

// routePolicy is a policy of so many routes of one team, each with a path.
func routePolicy(routes int, number uint64, path func(i int) string) *namespace.Policy {
	weight := 1.0
	p := &namespace.Policy{Format: 1, Services: []namespace.PolicyService{{
		Service: namespace.Service{Name: "s"},
		Sources: []namespace.Source{{Namespace: "a", Number: number, Rule: "service s"}},
	}}}
	for i := range routes {
		name := fmt.Sprintf("r%05d", i)
		p.Routes = append(p.Routes, namespace.PolicyRoute{
			Route: namespace.Route{
				Name:  "a/" + name,
				Match: namespace.Match{Host: "x.org", PathPrefix: path(i)},
				To:    []namespace.Target{{Service: "s", Weight: &weight}},
			},
			Source: namespace.Source{Namespace: "a", Number: number, Rule: "route " + name},
		})
	}
	return p
}

// policyVersion is a policy of so many routes, of which one changes with each version.
func policyVersion(routes int, version uint64) *namespace.Policy {
	return routePolicy(routes, version, func(i int) string {
		if uint64(i) >= version-1 {
			return fmt.Sprintf("/%d", i)
		}
		return fmt.Sprintf("/%d/changed", i)
	})
}

func treeOf(t testing.TB, p *namespace.Policy) *merkle.Tree {
	t.Helper()
	tree, err := p.Tree()
	if err != nil {
		t.Fatal(err)
	}
	return tree
}

// testServer stands for all servers, without a network. It answers in the caller's goroutine.
type testServer struct {
	t     testing.TB
	begin time.Time
	delay func(path string, bytes int) time.Duration // of a reply; nil is none
	alter func(r *http.Request, reply any)           // changes a reply on its way; nil leaves it

	mu          sync.Mutex
	distributor *distribution.Distributor
	down        bool
	textOnly    bool // it is of an earlier release, which knows no chunks
	offer       rollout.Version
	text        []byte
	offered     map[string]bool // hashes that were ever offered
	reports     []time.Time
	replyBytes  int
}

func newTestServer(t testing.TB) *testServer {
	return &testServer{
		t:           t,
		begin:       time.Now(),
		distributor: distribution.New(distribution.DefaultSettings()),
		offered:     map[string]bool{},
	}
}

// offerPolicy offers a policy from now on.
func (s *testServer) offerPolicy(generation, epoch uint64, p *namespace.Policy) rollout.Version {
	s.t.Helper()
	tree := treeOf(s.t, p)
	s.currentDistributor().Retain([]*merkle.Tree{tree})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.offer = rollout.Version{Generation: generation, Epoch: epoch, Hash: tree.Root().String()}
	if s.textOnly {
		s.text = p.Encode()
		s.offer.Hash = p.Hash()
	}
	s.offered[s.offer.Hash] = true
	return s.offer
}

// forgetTrees removes all trees from the server.
func (s *testServer) forgetTrees() {
	s.locked(func() { s.distributor = distribution.New(distribution.DefaultSettings()) })
}

func (s *testServer) currentDistributor() *distribution.Distributor {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.distributor
}

func (s *testServer) locked(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

func (s *testServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var reply any
	switch r.URL.Path {
	case api.PathPolicyReport:
		reply = s.replyToReport(r)
	case api.PathPolicyChunks:
		reply = s.replyWithChunks(r)
	}
	if s.alter != nil {
		s.alter(r, reply)
	}
	api.WriteReply(w, http.StatusOK, reply)
}

func (s *testServer) replyToReport(r *http.Request) *api.PolicyReply {
	var report api.PolicyReport
	if err := api.DecodeBody(r.Body, &report); err != nil || !report.AcceptsChunks {
		s.t.Errorf("a report that does not accept chunks: %v", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reports = append(s.reports, time.Now())
	reply := &api.PolicyReply{Fleet: "north", Target: s.offer, Chunked: !s.textOnly}
	if !s.offer.NewerThan(report.Current) || s.offer == report.Rejected {
		return reply
	}
	if s.textOnly {
		reply.Text = s.text
		return reply
	}
	maxBytes := report.MaxChunkBytes
	if maxBytes == 0 {
		maxBytes = api.MaxChunkBytes
	}
	reply.Chunks = s.distributor.ChunksBetween(report.Current.Hash, s.offer.Hash, maxBytes)
	return reply
}

func (s *testServer) replyWithChunks(r *http.Request) *api.ChunksReply {
	var request api.ChunksRequest
	if err := api.DecodeBody(r.Body, &request); err != nil || len(request.Names) > api.MaxChunkNames {
		s.t.Errorf("a request for %d chunks: %v", len(request.Names), err)
	}
	chunks, missing, retryAfter := s.currentDistributor().ChunksByName(
		time.Since(s.begin), request.Proxy, request.Root, request.Names)
	return &api.ChunksReply{Chunks: chunks, Missing: missing, RetryAfterNanos: int64(retryAfter)}
}

// RoundTrip answers after the delay.
func (s *testServer) RoundTrip(r *http.Request) (*http.Response, error) {
	s.mu.Lock()
	down := s.down
	s.mu.Unlock()
	if down {
		return nil, errors.New("cut off")
	}
	w := httptest.NewRecorder()
	s.ServeHTTP(w, r)
	s.locked(func() { s.replyBytes += w.Body.Len() })
	if s.delay != nil {
		select {
		case <-time.After(s.delay(r.URL.Path, w.Body.Len())):
		case <-r.Context().Done():
			return nil, r.Context().Err()
		}
	}
	return w.Result(), nil
}

// testProxy is a proxy that follows a testServer. It checks what it installs: only what was offered, complete, and
// nothing older.
type testProxy struct {
	*PolicyClient
	server     *testServer
	installed  atomic.Int64
	diffs      atomic.Int64    // policies that were made of the one before
	restored   rollout.Version // what the process before had kept
	last       rollout.Version
	violations []string
	stop       func() // ends the process; what it has kept remains
}

// newProxy starts a proxy, which change may alter first.
func (s *testServer) newProxy(stateDir string, change func(*PolicyClient)) *testProxy {
	p := &testProxy{server: s}
	config := Config{
		File:      testFile(stateDir, "s1.test:1", "s2.test:1", "s3.test:1"),
		ProxyName: "p1",
		Transport: s,
		Clock:     func() time.Duration { return time.Since(s.begin) },
	}
	p.PolicyClient = NewPolicyClient(config, p.checkAndInstall)
	if change != nil {
		change(p.PolicyClient)
	}
	p.Restore()
	p.restored = p.Current().Offer
	p.stop = runInBackground(p.Run)
	return p
}

func (p *testProxy) checkAndInstall(policy *InstalledPolicy) error {
	check := func(ok bool, format string, args ...any) {
		if !ok {
			p.violations = append(p.violations, fmt.Sprintf(format, args...))
		}
	}
	p.installed.Add(1)
	if policy.Diff != nil {
		p.diffs.Add(1)
	}
	root := ""
	if tree, err := policy.Policy.Tree(); err == nil {
		root = tree.Root().String()
	}
	offer := policy.Offer
	var offered bool
	p.server.locked(func() { offered = p.server.offered[offer.Hash] })
	check(offered, "%+v was never offered", offer)
	hasContent := root == offer.Hash || policy.Policy.Hash() == offer.Hash
	check(hasContent, "%+v was installed with the content %.12s", offer, root)
	check(offer.NewerThan(p.last), "%+v was installed after %+v", offer, p.last)
	p.last = offer
	return nil
}

func (p *testProxy) checkViolations(t *testing.T) {
	t.Helper()
	for _, violation := range p.violations {
		t.Error(violation)
	}
}

// awaitOffer waits until the proxy has installed a version.
func (p *testProxy) awaitOffer(t *testing.T, what string, offer rollout.Version) {
	t.Helper()
	for end := time.Now().Add(10 * time.Minute); p.Current().Offer != offer; time.Sleep(100 * time.Millisecond) {
		if time.Now().After(end) {
			p.stop()
			t.Fatalf("in vain: %s: %+v", what, p.PolicyStatus())
		}
	}
}

// stopAndCheck ends the process.
func (p *testProxy) stopAndCheck(t *testing.T) {
	t.Helper()
	p.stop()
	p.checkViolations(t)
}

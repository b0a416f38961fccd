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

// routePolicy returns a policy with the given number of routes, all of namespace "a" in version number. path returns
// the path prefix of route i.
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

// policyVersion returns a policy with the given number of routes. Each version changes one route of the previous
// version.
func policyVersion(routes int, version uint64) *namespace.Policy {
	return routePolicy(routes, version, func(i int) string {
		if uint64(i) >= version-1 {
			return fmt.Sprintf("/%d", i)
		}
		return fmt.Sprintf("/%d/changed", i)
	})
}

// buildTree returns the Merkle tree of a policy.
func buildTree(t testing.TB, p *namespace.Policy) *merkle.Tree {
	t.Helper()
	tree, err := p.Tree()
	if err != nil {
		t.Fatalf("building the Merkle tree of a policy: Policy.Tree() = error %v, want nil", err)
	}
	return tree
}

// testServer simulates all control-plane servers without a network. It is the client's http.RoundTripper and answers
// in the caller's goroutine.
type testServer struct {
	t         testing.TB
	startedAt time.Time
	delay     func(path string, bytes int) time.Duration // returns how long a reply is delayed; nil means no delay
	alter     func(r *http.Request, reply any)           // modifies a reply before it is sent; nil leaves it unchanged

	mu          sync.Mutex
	distributor *distribution.Distributor
	down        bool
	textOnly    bool // simulates an earlier release, which sends a policy as one text instead of chunks
	offer       rollout.Version
	text        []byte          // the offered policy, if textOnly
	offered     map[string]bool // hashes of all versions offered so far
	reports     []time.Time     // arrival times of the reports
	replyBytes  int             // total size of all reply bodies
}

func newTestServer(t testing.TB) *testServer {
	return &testServer{
		t:           t,
		startedAt:   time.Now(),
		distributor: distribution.New(distribution.DefaultSettings()),
		offered:     map[string]bool{},
	}
}

// offerPolicy makes the server offer a policy in its replies from this call on, and returns the offered version.
func (s *testServer) offerPolicy(generation, epoch uint64, p *namespace.Policy) rollout.Version {
	s.t.Helper()
	tree := buildTree(s.t, p)
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

// forgetTrees removes all Merkle trees from the server, as if it had restarted without its earlier policies.
func (s *testServer) forgetTrees() {
	s.withLock(func() { s.distributor = distribution.New(distribution.DefaultSettings()) })
}

func (s *testServer) currentDistributor() *distribution.Distributor {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.distributor
}

// withLock calls f while holding the server's mutex.
func (s *testServer) withLock(f func()) {
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
		s.t.Errorf("report received: AcceptsChunks = %v, decoding error %v; want true and no error",
			report.AcceptsChunks, err)
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
		s.t.Errorf("chunk request received: %d names, decoding error %v; want at most %d names and no error",
			len(request.Names), err, api.MaxChunkNames)
	}
	chunks, missing, retryAfter := s.currentDistributor().ChunksByName(
		time.Since(s.startedAt), request.Proxy, request.Root, request.Names)
	return &api.ChunksReply{Chunks: chunks, Missing: missing, RetryAfterNanos: int64(retryAfter)}
}

// RoundTrip implements http.RoundTripper. It answers after the delay, or fails while the server is down.
func (s *testServer) RoundTrip(r *http.Request) (*http.Response, error) {
	s.mu.Lock()
	down := s.down
	s.mu.Unlock()
	if down {
		return nil, errors.New("test server is down")
	}
	recorder := httptest.NewRecorder()
	s.ServeHTTP(recorder, r)
	s.withLock(func() { s.replyBytes += recorder.Body.Len() })
	if s.delay != nil {
		select {
		case <-time.After(s.delay(r.URL.Path, recorder.Body.Len())):
		case <-r.Context().Done():
			return nil, r.Context().Err()
		}
	}
	return recorder.Result(), nil
}

// testProxy is a PolicyClient that follows a testServer. It checks each policy that it installs: the version must have
// been offered, the content must be complete, and the version must be newer than the previous one.
type testProxy struct {
	*PolicyClient
	server     *testServer
	installed  atomic.Int64
	diffs      atomic.Int64    // installed policies that were built from the previous policy and a diff
	restored   rollout.Version // the version that Restore installed from the state directory
	last       rollout.Version // the version installed last
	violations []string
	stop       func() // stops the client; its state directory remains
}

// newProxy starts a proxy. configure, if not nil, modifies the client before it starts.
func (s *testServer) newProxy(stateDir string, configure func(*PolicyClient)) *testProxy {
	p := &testProxy{server: s}
	config := Config{
		File:      testFile(stateDir, "s1.test:1", "s2.test:1", "s3.test:1"),
		ProxyName: "p1",
		Transport: s,
		Clock:     func() time.Duration { return time.Since(s.startedAt) },
	}
	p.PolicyClient = NewPolicyClient(config, p.checkAndInstall)
	if configure != nil {
		configure(p.PolicyClient)
	}
	p.Restore()
	p.restored = p.Current().Offer
	p.stop = runInBackground(p.Run)
	return p
}

// checkAndInstall is the proxy's install function. It records violations instead of returning errors.
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
	p.server.withLock(func() { offered = p.server.offered[offer.Hash] })
	check(offered, "proxy installed version %+v, which was never offered", offer)
	hasContent := root == offer.Hash || policy.Policy.Hash() == offer.Hash
	check(hasContent, "proxy installed version %+v with content whose root is %.12s, want the version's hash",
		offer, root)
	check(offer.NewerThan(p.last), "proxy installed version %+v after version %+v, want only newer versions",
		offer, p.last)
	p.last = offer
	return nil
}

// checkViolations fails the test with each violation that checkAndInstall recorded.
func (p *testProxy) checkViolations(t *testing.T) {
	t.Helper()
	for _, violation := range p.violations {
		t.Error(violation)
	}
}

// awaitOffer waits until the proxy has installed a version, and fails the test after 10 minutes. description says
// which version it is.
func (p *testProxy) awaitOffer(t *testing.T, description string, offer rollout.Version) {
	t.Helper()
	for end := time.Now().Add(10 * time.Minute); p.Current().Offer != offer; time.Sleep(100 * time.Millisecond) {
		if time.Now().After(end) {
			p.stop()
			t.Fatalf("waiting 10m for the proxy to install %s, version %+v: timed out with status %+v",
				description, offer, p.PolicyStatus())
		}
	}
}

// stopAndCheck stops the client and fails the test if it has recorded violations.
func (p *testProxy) stopAndCheck(t *testing.T) {
	t.Helper()
	p.stop()
	p.checkViolations(t)
}

package server

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"lapisspread/internal/controlplane/api"
	"lapisspread/internal/controlplane/client"
	"lapisspread/internal/policy/merkle"
	"lapisspread/internal/policy/namespace"
	"lapisspread/internal/policy/rollout"
	"lapisspread/internal/policy/store"
	"lapisspread/internal/strictconfig"
)

// policyWithRoutes returns the tree of a policy with two services and the given number of routes. Each version has one
// more route that leads to the second service.
func policyWithRoutes(tb testing.TB, routes int, version uint64) *merkle.Tree {
	tb.Helper()
	weight := 1.0
	p := &namespace.Policy{Format: 1}
	for _, name := range []string{"one", "two"} {
		p.Services = append(p.Services, namespace.PolicyService{Service: namespace.Service{Name: name},
			Sources: []namespace.Source{{Namespace: "a", Number: version, Rule: "service " + name}}})
	}
	for i := range routes {
		service := "one"
		if uint64(i)+1 < version {
			service = "two"
		}
		name := fmt.Sprintf("r%05d", i)
		p.Routes = append(p.Routes, namespace.PolicyRoute{
			Route: namespace.Route{Name: "a/" + name, Match: namespace.Match{Host: "x.org",
				PathPrefix: fmt.Sprintf("/v1/things/%d", i), Tenants: []string{
					fmt.Sprintf("tenant-%06d", 11*i), fmt.Sprintf("tenant-%06d", 11*i+1), fmt.Sprintf("tenant-%06d",
						11*i+2)}}, To: []namespace.Target{{Service: service, Weight: &weight}}},
			Source: namespace.Source{Namespace: "a", Number: version, Rule: "route " + name}})
	}
	tree, err := p.Tree()
	if err != nil {
		tb.Fatalf("building the tree of a policy with %d routes: %v", routes, err)
	}
	return tree
}

// publishTrees makes a server retain the trees and publish the last one as its active policy, without a merge.
func (s *runningServer) publishTrees(trees ...*merkle.Tree) rollout.Version {
	return s.publishTreesAt(uint64(len(trees)), trees...)
}

// byteCounter counts the bytes of all connections in both directions.
type byteCounter struct{ atomic.Int64 }

type countingConn struct {
	net.Conn
	counter *byteCounter
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter.Add(int64(n))
	return n, err
}

// transport returns a transport whose connections are counted.
func (c *byteCounter) transport() *http.Transport {
	return &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return countingConn{conn, c}, err
	}}
}

// BenchmarkChange measures the bytes, in both directions, that one proxy's connections carry for one changed route.
// B/report is for a report without a change, B/fetch for the entire policy.
func BenchmarkChange(b *testing.B) {
	for _, routes := range []int{1000, 4000, 13000, 26000} {
		b.Run(fmt.Sprint(routes), func(b *testing.B) {
			cluster := newCluster(b)
			cluster.bootstrap()
			leader := cluster.servers[cluster.leader()]
			trees := []*merkle.Tree{policyWithRoutes(b, routes, 1)}
			first := leader.publishTrees(trees...)
			config := *cluster.config
			config.Policy.SilenceTimeout = strictconfig.Duration(250 * time.Millisecond) // 20 reports per second
			config.Servers = []api.Server{leader.self}
			var counter byteCounter
			transport := counter.transport()
			defer transport.CloseIdleConnections()
			proxy := client.NewPolicyClient(
				client.Config{File: &config, ProxyName: "p1", Transport: transport},
				func(*client.InstalledPolicy) error { return nil },
			)
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{})
			go func() { defer close(done); proxy.Run(ctx) }()
			defer func() { cancel(); <-done }()
			waitForVersion := func(version rollout.Version) {
				for end := time.Now().Add(time.Minute); proxy.Current().Offer != version; time.Sleep(time.Millisecond) {
					if time.Now().After(end) {
						b.Fatalf("proxy did not install %+v within 1m; its status: %+v", version, proxy.PolicyStatus())
					}
				}
			}
			waitForVersion(first)
			fetch, size := counter.Load(), trees[0].Size()
			// bytesPerReport waits for the replies to that many reports and returns the mean bytes of each.
			bytesPerReport := func(reports int64) float64 {
				answered, bytes := proxy.PolicyStatus().Answered, counter.Load()
				for proxy.PolicyStatus().Answered < answered+reports {
					time.Sleep(time.Millisecond)
				}
				return float64(counter.Load()-bytes) / float64(proxy.PolicyStatus().Answered-answered)
			}
			report := bytesPerReport(20)
			sum, chunks, changes := 0.0, proxy.PolicyStatus().ChunksAccepted, 0
			for b.Loop() {
				trees = append(trees, policyWithRoutes(b, routes, uint64(changes+2)))
				if len(trees) > 4 {
					trees = trees[1:]
				}
				bytesPerReport(1)
				answered, bytes := proxy.PolicyStatus().Answered, counter.Load()
				waitForVersion(leader.publishTreesAt(uint64(changes+2), trees...))
				bytesPerReport(1)
				sum += float64(counter.Load()-bytes) - report*float64(proxy.PolicyStatus().Answered-answered)
				changes++
			}
			b.ReportMetric(float64(fetch), "B/fetch")
			b.ReportMetric(float64(size), "B/policy")
			b.ReportMetric(report, "B/report")
			b.ReportMetric(sum/float64(changes), "B/change")
			b.ReportMetric(float64(proxy.PolicyStatus().ChunksAccepted-chunks)/float64(changes), "pieces/change")
		})
	}
}

// publishTreesAt is like publishTrees, but also takes the epoch of the last tree.
func (s *runningServer) publishTreesAt(epoch uint64, trees ...*merkle.Tree) rollout.Version {
	state := s.replica.Load().state
	view := &policyView{}
	for i := range trees {
		view.versions = append(
			view.versions,
			rollout.Version{Generation: 1, Epoch: epoch - uint64(i), Hash: trees[len(trees)-1-i].Root().String()},
		)
	}
	view.status.Active = view.versions[0]
	state.chunks.Retain(trees)
	state.published.Store(view)
	return view.versions[0]
}

// BenchmarkReported measures one report over HTTP to the leader from a proxy that already has the current version.
func BenchmarkReported(b *testing.B) {
	for _, n := range []int{300, 1000, 4700, 9400} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			cluster := newCluster(b)
			cluster.bootstrap()
			leader := cluster.servers[cluster.leader()]
			version := leader.publishTrees(policyWithRoutes(b, 1000, 1))
			handler := leader.Handler()
			var bodies [][]byte
			for i := range n {
				text, err := cbor.Marshal(api.PolicyReport{
					Fleet:         "north",
					Proxy:         fmt.Sprintf("proxy-%05d", i),
					Sequence:      1,
					Current:       version,
					Good:          160,
					Bad:           1,
					AcceptsChunks: true,
				})
				cluster.noError("encoding a report", err)
				bodies = append(bodies, text)
			}
			sent := 0
			b.ReportAllocs()
			for b.Loop() {
				r := httptest.NewRequest(http.MethodPost, api.PathPolicyReport, bytes.NewReader(bodies[sent%n]))
				w := httptest.NewRecorder()
				handler.ServeHTTP(w, r)
				if w.Code != http.StatusOK {
					b.Fatalf("report returned status %d, want 200; body: %s", w.Code, w.Body.String())
				}
				sent++
			}
		})
	}
}

// BenchmarkFetch measures all requests that one proxy sends to fetch an entire policy.
func BenchmarkFetch(b *testing.B) {
	for _, routes := range []int{1000, 13000} {
		b.Run(fmt.Sprint(routes), func(b *testing.B) {
			cluster := newCluster(b)
			cluster.bootstrap()
			leader := cluster.servers[cluster.leader()]
			tree := policyWithRoutes(b, routes, 1)
			leader.publishTrees(tree)
			handler := leader.Handler()
			var names [][]byte
			for name := range tree.Chunks() {
				names = append(names, bytes.Clone(name[:]))
			}
			b.ReportAllocs()
			sent := 0
			for b.Loop() {
				for remaining := names; len(remaining) > 0; {
					batch := remaining[:min(len(remaining), api.MaxChunkNames)]
					text, err := cbor.Marshal(api.ChunksRequest{
						Fleet: "north",
						Proxy: "p1",
						Root:  tree.Root().String(),
						Names: batch,
					})
					cluster.noError("encoding a chunks request", err)
					w := httptest.NewRecorder()
					handler.ServeHTTP(
						w, httptest.NewRequest(http.MethodPost, api.PathPolicyChunks, bytes.NewReader(text)),
					)
					sent += w.Body.Len()
					var out api.ChunksReply
					cluster.noError("decoding the chunks reply", api.DecodeBody(w.Body, &out))
					if len(out.Chunks) == 0 {
						b.Fatalf("request for %d chunks returned no chunks: %+v", len(batch), out)
					}
					remaining = remaining[len(out.Chunks):]
				}
			}
			b.ReportMetric(float64(len(names)), "pieces")
			b.ReportMetric(float64(sent)/float64(b.N), "B-sent/op")
		})
	}
}

// Every server returns chunks. A proxy of an older release, which does not accept chunks, gets the policy as a text if
// it is short enough, and an error otherwise. Malformed requests are rejected.
func TestRepliesInChunksAndAsText(t *testing.T) {
	small, large := policyWithRoutes(t, 300, 1), policyWithRoutes(t, 13000, 1)
	cluster := newCluster(t)
	cluster.bootstrap()
	cluster.sendPolicyCommand(store.Command{SetDeclaration: &store.SetDeclaration{Text: ownershipText("x.org")}})
	proxies := newProxyFleet(cluster, 4)
	cluster.sendPolicyCommand(offerCommand("alpha", 1, "/a"))
	cluster.until("the rollout of the policy is committed as completed", func() bool {
		proxies.reportAll()
		return cluster.policyStatus(cluster.leader()).Active.Epoch == cluster.leaderNewestEpoch()
	})
	proxies.waitUntilAll("after the completed rollout", cluster.leaderNewestEpoch())
	leader := cluster.leader()
	active := cluster.policyStatus(leader).Active
	checkTextReplies(t, cluster, leader, active)
	cluster.servers[leader].publishTreesAt(9, small, large)
	checkReplyOfLongPolicy(t, cluster, large.Root().String())
	checkChunksOfEveryServer(t, cluster, leader, active, proxies.trees["p00"].Root())
	if _, err := cluster.config.PolicyStatus(context.Background(), cluster.client); err != nil {
		t.Errorf("PolicyStatus with the long policy published: %v", err)
	}
}

// report sends one report of proxy p1 to the leader and returns its reply.
func (cluster *testCluster) report(in api.PolicyReport) (out api.PolicyReply, err error) {
	in.Fleet, in.Proxy = "north", "p1"
	leader := cluster.config.Servers[cluster.leader()].Address
	err = cluster.call(leader, api.PathPolicyReport, in, &out)
	return out, err
}

// checkTextReplies checks that a proxy which identifies the active version by the hash of its text gets no update, and
// that a proxy without a version gets the text.
func checkTextReplies(t *testing.T, cluster *testCluster, leader int, active rollout.Version) {
	encoded, ok := cluster.servers[leader].replica.Load().state.policyEncoding(active)
	if !ok {
		t.Fatalf("policyEncoding(%+v) of a small policy reported false, want a text", active)
	}
	current := rollout.Version{Generation: active.Generation, Epoch: active.Epoch, Hash: encoded.hash}
	for _, acceptsChunks := range []bool{false, true} {
		out, err := cluster.report(api.PolicyReport{Sequence: 1, Current: current, AcceptsChunks: acceptsChunks})
		if err != nil || len(out.Text) > 0 || len(out.Chunks) > 0 || out.Target.NewerThan(current) {
			t.Errorf("report of the active version by its text's hash, AcceptsChunks=%v: got target %+v, "+
				"%d bytes of text, %d chunks, error %v, want no newer target, no text, no chunks, no error",
				acceptsChunks, out.Target, len(out.Text), len(out.Chunks), err)
		}
	}
	out, err := cluster.report(api.PolicyReport{Sequence: 2})
	if err != nil || string(out.Text) != encoded.text || out.Target.Hash != encoded.hash {
		t.Errorf("report without a version, AcceptsChunks=false: got target %+v, text %q, error %v, "+
			"want hash %s and text %q",
			out.Target, out.Text, err, encoded.hash, encoded.text)
	}
}

// checkReplyOfLongPolicy checks the replies to reports while the active policy is too long to be sent as a text.
func checkReplyOfLongPolicy(t *testing.T, cluster *testCluster, root string) {
	_, err := cluster.report(api.PolicyReport{Sequence: 3, Current: rollout.Version{}})
	if remote := api.RemoteErrorOf(err); remote.Code != "steward.NeedsPieces" || remote.Help == "" {
		t.Errorf("report with AcceptsChunks=false and a long policy: got error %v, code %q, advice %q, "+
			"want code steward.NeedsPieces and advice", err, remote.Code, remote.Help)
	}
	out, err := cluster.report(api.PolicyReport{Sequence: 4, AcceptsChunks: true})
	if err != nil || !out.Chunked || out.Target.Hash != root {
		t.Errorf("report with AcceptsChunks=true and a long policy: got target %+v, Chunked=%v, error %v, "+
			"want Chunked=true and hash %s", out.Target, out.Chunked, err, root)
	}
}

// checkChunksOfEveryServer fetches a chunk by name from each server, once it has applied the active version, and checks
// that each server rejects malformed requests.
func checkChunksOfEveryServer(
	t *testing.T, cluster *testCluster, leader int, active rollout.Version, name merkle.Hash,
) {
	root := active.Hash
	for i, server := range cluster.config.Servers {
		cluster.until("a follower has applied the active version", func() bool {
			return cluster.policyStatus(i).Active == active || i == leader
		})
		var out api.ChunksReply
		request := api.ChunksRequest{Fleet: "north", Proxy: "p9", Root: root, Names: [][]byte{name[:], {1, 2}}}
		err := cluster.call(server.Address, api.PathPolicyChunks, request, &out)
		if err != nil || len(out.Chunks) != 1 || out.Missing != 1 || merkle.HashOf(out.Chunks[0]) != name {
			t.Errorf("server %s: request for one known and one unknown chunk: got %d chunks, %d missing, error %v, "+
				"want the known chunk and 1 missing", server.Name, len(out.Chunks), out.Missing, err)
		}
		for what, in := range map[string]api.ChunksRequest{
			"of another fleet": {Fleet: "south", Proxy: "p9", Root: root},
			"for too many chunks": {
				Fleet: "north", Proxy: "p9", Root: root, Names: make([][]byte, api.MaxChunkNames+1),
			},
			"with too long a proxy name": {
				Fleet: "north", Proxy: string(make([]byte, maxProxyNameBytes+1)), Root: root,
			},
		} {
			err := cluster.call(server.Address, api.PathPolicyChunks, in, &out)
			if api.RemoteErrorOf(err).Help == "" {
				t.Errorf("server %s: chunks request %s returned error %v, want an error with advice",
					server.Name, what, err)
			}
		}
	}
}

// A new leader starts a rollout when at least 90% of the proxies recorded at the last rollout have reported, and not
// earlier. If no number of proxies is recorded, it waits for the silence timeout.
func TestNewLeaderStartsWithNineInTenProxies(t *testing.T) {
	settings := rollout.DefaultSettings()
	for _, c := range []struct {
		known, reporting int
		started          bool
	}{{100, 89, false}, {100, 90, true}, {0, 100, false}, {100, 140, true}} {
		driver := &rolloutDriver{}
		status := store.Status{
			Active:     rollout.Version{Generation: 1, Epoch: 1, Hash: "a"},
			Candidate:  rollout.Version{Generation: 1, Epoch: 2, Hash: "b"},
			ProxyCount: c.known,
		}
		for i := range c.reporting {
			report := api.PolicyReport{Proxy: fmt.Sprint("p", i), Sequence: 1, Current: status.Active}
			if _, err := driver.report(time.Duration(i)*time.Millisecond, settings, status, report); err != nil {
				t.Fatalf("report of proxy %s: %v", report.Proxy, err)
			}
		}
		if state, _ := driver.rollout.State(); (state == rollout.InProgress) != c.started {
			t.Errorf("rollout state after reports of %d proxies, %d recorded: %v, want in progress = %v",
				c.reporting, c.known, state, c.started)
		}
		driver.syncWithLog(settings.SilenceTimeout+time.Second, settings, status)
		if state, _ := driver.rollout.State(); state != rollout.InProgress {
			t.Errorf("rollout state after the silence timeout, %d proxies reported, %d recorded: %v, want in progress",
				c.reporting, c.known, state)
		}
	}
}

// The number of known proxies is bounded. A report of a proxy beyond the bound is rejected, and the proxy is not
// recorded.
func TestProxiesAreBounded(t *testing.T) {
	settings, driver := rollout.DefaultSettings(), &rolloutDriver{}
	status := store.Status{Active: rollout.Version{Generation: 1, Epoch: 1, Hash: "a"}}
	for i := range maxProxies {
		report := api.PolicyReport{Proxy: fmt.Sprint("p", i), Sequence: 1, Current: status.Active}
		if _, err := driver.report(0, settings, status, report); err != nil {
			t.Fatalf("report of proxy %d was rejected with %v, want %d proxies accepted", i, err, maxProxies)
		}
	}
	_, err := driver.report(0, settings, status, api.PolicyReport{Proxy: "one more", Sequence: 1})
	if api.RemoteErrorOf(err).Help == "" || len(driver.proxies) != maxProxies {
		t.Errorf("report of a proxy beyond the bound: got error %v and %d proxies recorded, "+
			"want an error with advice and %d",
			err, len(driver.proxies), maxProxies)
	}
	if maxProxies < 2*4700 {
		t.Errorf("maxProxies = %d, want at least twice a fleet of 4700 proxies", maxProxies)
	}
}

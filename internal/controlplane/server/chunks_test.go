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

// policyWithRoutes returns a policy of which one more route changes with each version.
func policyWithRoutes(tb testing.TB, routes int, version uint64) *merkle.Tree {
	tb.Helper()
	weight := 1.0
	p := &namespace.Policy{Format: 1}
	for _, name := range []string{"one", "two"} {
		p.Services = append(p.Services, namespace.PolicyService{Service: namespace.Service{Name: name},
			Sources: []namespace.Source{{Namespace: "a", Number: version, Rule: "service " + name}}})
	}
	for i := range routes {
		to := "one"
		if uint64(i)+1 < version {
			to = "two"
		}
		name := fmt.Sprintf("r%05d", i)
		p.Routes = append(p.Routes, namespace.PolicyRoute{
			Route: namespace.Route{Name: "a/" + name, Match: namespace.Match{Host: "x.org",
				PathPrefix: fmt.Sprintf("/v1/things/%d", i), Tenants: []string{
					fmt.Sprintf("tenant-%06d", 11*i), fmt.Sprintf("tenant-%06d", 11*i+1), fmt.Sprintf("tenant-%06d",
						11*i+2)}}, To: []namespace.Target{{Service: to, Weight: &weight}}},
			Source: namespace.Source{Namespace: "a", Number: version, Rule: "route " + name}})
	}
	tree, err := p.Tree()
	if err != nil {
		tb.Fatal(err)
	}
	return tree
}

// publishTrees has a server retain trees and take the last one for its base, without a merge.
func (p *runningServer) publishTrees(trees ...*merkle.Tree) rollout.Version {
	return p.publishTreesAt(uint64(len(trees)), trees...)
}

// byteCounter counts the bytes of all connections in both directions.
type byteCounter struct{ atomic.Int64 }

type countingConn struct {
	net.Conn
	n *byteCounter
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.n.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.n.Add(int64(n))
	return n, err
}

func (c *byteCounter) transport() *http.Transport {
	return &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return countingConn{conn, c}, err
	}}
}

// BenchmarkChange measures the bytes on the socket, in both directions, that one changed route costs one proxy.
// B/report is a report without a change, B/fetch the whole policy.
func BenchmarkChange(b *testing.B) {
	for _, routes := range []int{1000, 4000, 13000, 26000} {
		b.Run(fmt.Sprint(routes), func(b *testing.B) {
			cluster := newCluster(b)
			cluster.bootstrap()
			lead := cluster.servers[cluster.leader()]
			trees := []*merkle.Tree{policyWithRoutes(b, routes, 1)}
			first := lead.publishTrees(trees...)
			file := *cluster.config
			file.Policy.SilenceTimeout = strictconfig.Duration(250 * time.Millisecond) // 20 reports per second
			file.Servers = []api.Server{lead.self}
			var n byteCounter
			via := n.transport()
			defer via.CloseIdleConnections()
			p := client.NewPolicyClient(
				client.Config{File: &file, ProxyName: "p1", Transport: via},
				func(*client.InstalledPolicy) error { return nil },
			)
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{})
			go func() { defer close(done); p.Run(ctx) }()
			defer func() { cancel(); <-done }()
			await := func(o rollout.Version) {
				for end := time.Now().Add(time.Minute); p.Current().Offer != o; time.Sleep(time.Millisecond) {
					if time.Now().After(end) {
						b.Fatalf("timed out: %+v", p.PolicyStatus())
					}
				}
			}
			await(first)
			fetch, size := n.Load(), trees[0].Size()
			rest := func(reports int64) (bytes float64) {
				from, to := p.PolicyStatus().Answered, n.Load()
				for p.PolicyStatus().Answered < from+reports {
					time.Sleep(time.Millisecond)
				}
				return float64(n.Load()-to) / float64(p.PolicyStatus().Answered-from)
			}
			report := rest(20)
			sum, pieces, changes := 0.0, p.PolicyStatus().ChunksAccepted, 0
			for b.Loop() {
				trees = append(trees, policyWithRoutes(b, routes, uint64(changes+2)))
				if len(trees) > 4 {
					trees = trees[1:]
				}
				rest(1)
				answered, bytes := p.PolicyStatus().Answered, n.Load()
				await(lead.publishTreesAt(uint64(changes+2), trees...))
				rest(1)
				sum += float64(n.Load()-bytes) - report*float64(p.PolicyStatus().Answered-answered)
				changes++
			}
			b.ReportMetric(float64(fetch), "B/fetch")
			b.ReportMetric(float64(size), "B/policy")
			b.ReportMetric(report, "B/report")
			b.ReportMetric(sum/float64(changes), "B/change")
			b.ReportMetric(float64(p.PolicyStatus().ChunksAccepted-pieces)/float64(changes), "pieces/change")
		})
	}
}

// publishTreesAt is publishTrees with the epoch of the last tree.
func (p *runningServer) publishTreesAt(epoch uint64, trees ...*merkle.Tree) rollout.Version {
	m := p.replica.Load().state
	v := &policyView{}
	for i := range trees {
		v.versions = append(
			v.versions,
			rollout.Version{Generation: 1, Epoch: epoch - uint64(i), Hash: trees[len(trees)-1-i].Root().String()},
		)
	}
	v.status.Active = v.versions[0]
	m.chunks.Retain(trees)
	m.published.Store(v)
	return v.versions[0]
}

// BenchmarkReported measures one HTTP report at the leader, without a change to deliver.
func BenchmarkReported(b *testing.B) {
	for _, n := range []int{300, 1000, 4700, 9400} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			cluster := newCluster(b)
			cluster.bootstrap()
			lead := cluster.servers[cluster.leader()]
			offer := lead.publishTrees(policyWithRoutes(b, 1000, 1))
			handler := lead.Handler()
			var bodies [][]byte
			for i := range n {
				text, err := cbor.Marshal(api.PolicyReport{
					Fleet:         "north",
					Proxy:         fmt.Sprintf("proxy-%05d", i),
					Sequence:      1,
					Current:       offer,
					Good:          160,
					Bad:           1,
					AcceptsChunks: true,
				})
				cluster.noError(err)
				bodies = append(bodies, text)
			}
			at := 0
			b.ReportAllocs()
			for b.Loop() {
				r := httptest.NewRequest(http.MethodPost, api.PathPolicyReport, bytes.NewReader(bodies[at%n]))
				w := httptest.NewRecorder()
				handler.ServeHTTP(w, r)
				if w.Code != http.StatusOK {
					b.Fatal(w.Body.String())
				}
				at++
			}
		})
	}
}

// BenchmarkFetch measures all requests of one proxy that fetches a whole policy.
func BenchmarkFetch(b *testing.B) {
	for _, routes := range []int{1000, 13000} {
		b.Run(fmt.Sprint(routes), func(b *testing.B) {
			cluster := newCluster(b)
			cluster.bootstrap()
			lead := cluster.servers[cluster.leader()]
			tree := policyWithRoutes(b, routes, 1)
			lead.publishTrees(tree)
			handler := lead.Handler()
			var names [][]byte
			for n := range tree.Chunks() {
				names = append(names, bytes.Clone(n[:]))
			}
			b.ReportAllocs()
			sent := 0
			for b.Loop() {
				for rest := names; len(rest) > 0; {
					some := rest[:min(len(rest), api.MaxChunkNames)]
					text, err := cbor.Marshal(api.ChunksRequest{
						Fleet: "north",
						Proxy: "p1",
						Root:  tree.Root().String(),
						Names: some,
					})
					cluster.noError(err)
					w := httptest.NewRecorder()
					handler.ServeHTTP(
						w, httptest.NewRequest(http.MethodPost, api.PathPolicyChunks, bytes.NewReader(text)),
					)
					sent += w.Body.Len()
					var out api.ChunksReply
					cluster.noError(api.DecodeBody(w.Body, &out))
					if len(out.Chunks) == 0 {
						b.Fatalf("%+v", out)
					}
					rest = rest[len(out.Chunks):]
				}
			}
			b.ReportMetric(float64(len(names)), "pieces")
			b.ReportMetric(float64(sent)/float64(b.N), "B-sent/op")
		})
	}
}

// Any server returns chunks; a proxy of an older release gets a text while it fits, and an error otherwise; malformed
// requests are rejected.
func TestRepliesInChunksAndAsText(t *testing.T) {
	small, large := policyWithRoutes(t, 300, 1), policyWithRoutes(t, 13000, 1)
	cluster := newCluster(t)
	cluster.bootstrap()
	cluster.sendPolicyCommand(store.Command{SetDeclaration: &store.SetDeclaration{Text: ownershipText("x.org")}})
	proxies := newProxyFleet(cluster, 4)
	cluster.sendPolicyCommand(offerCommand("alpha", 1, "/a"))
	cluster.until("it is in force", func() bool {
		proxies.reportAll()
		return cluster.policyStatus(cluster.leader()).Active.Epoch == cluster.leaderNewestEpoch()
	})
	proxies.waitUntilAll("all have it", cluster.leaderNewestEpoch())
	lead := cluster.leader()
	base := cluster.policyStatus(lead).Active
	checkTextReplies(t, cluster, lead, base)
	cluster.servers[lead].publishTreesAt(9, small, large)
	checkReplyOfLongPolicy(t, cluster, large.Root().String())
	checkChunksOfEveryServer(t, cluster, lead, base, proxies.trees["p00"].Root())
	if _, err := cluster.config.PolicyStatus(context.Background(), cluster.client); err != nil {
		t.Error(err)
	}
}

// report sends one report of p1 to the leader.
func (cluster *testCluster) report(in api.PolicyReport) (out api.PolicyReply, err error) {
	in.Fleet, in.Proxy = "north", "p1"
	leader := cluster.config.Servers[cluster.leader()].Address
	err = cluster.call(leader, api.PathPolicyReport, in, &out)
	return out, err
}

// checkTextReplies reports a version by the hash of its text, which is the same as by its root.
func checkTextReplies(t *testing.T, cluster *testCluster, lead int, base rollout.Version) {
	encoded, ok := cluster.servers[lead].replica.Load().state.policyEncoding(base)
	if !ok {
		t.Fatal("a small policy is not sent as a text")
	}
	current := rollout.Version{Generation: base.Generation, Epoch: base.Epoch, Hash: encoded.hash}
	for _, acceptsChunks := range []bool{false, true} {
		out, err := cluster.report(api.PolicyReport{Sequence: 1, Current: current, AcceptsChunks: acceptsChunks})
		if err != nil || len(out.Text) > 0 || len(out.Chunks) > 0 || out.Target.NewerThan(current) {
			t.Errorf("one that has it as a text, accepts chunks %v: %+v, %v", acceptsChunks, out.Target, err)
		}
	}
	out, err := cluster.report(api.PolicyReport{Sequence: 2})
	if err != nil || string(out.Text) != encoded.text || out.Target.Hash != encoded.hash {
		t.Errorf("one that takes a text gets %+v, %v", out.Target, err)
	}
}

// checkReplyOfLongPolicy expects a base that is too long to be sent as a text.
func checkReplyOfLongPolicy(t *testing.T, cluster *testCluster, root string) {
	_, err := cluster.report(api.PolicyReport{Sequence: 3, Current: rollout.Version{}})
	if remote := api.RemoteErrorOf(err); remote.Code != "steward.NeedsPieces" || remote.Help == "" {
		t.Errorf("of one that is too long: %v", err)
	}
	out, err := cluster.report(api.PolicyReport{Sequence: 4, AcceptsChunks: true})
	if err != nil || !out.Chunked || out.Target.Hash != root {
		t.Errorf("one that accepts chunks gets %+v, %v", out.Target, err)
	}
}

// checkChunksOfEveryServer fetches a chunk by name from each server; followers have what they have applied.
func checkChunksOfEveryServer(t *testing.T, cluster *testCluster, lead int, base rollout.Version, name merkle.Hash) {
	root := base.Hash
	for i, o := range cluster.config.Servers {
		cluster.until("a follower has it", func() bool { return cluster.policyStatus(i).Active == base || i == lead })
		var out api.ChunksReply
		request := api.ChunksRequest{Fleet: "north", Proxy: "p9", Root: root, Names: [][]byte{name[:], {1, 2}}}
		err := cluster.call(o.Address, api.PathPolicyChunks, request, &out)
		if err != nil || len(out.Chunks) != 1 || out.Missing != 1 || merkle.HashOf(out.Chunks[0]) != name {
			t.Errorf("server %s: %d chunks, %v", o.Name, len(out.Chunks), err)
		}
		for what, in := range map[string]api.ChunksRequest{
			"another fleet's": {Fleet: "south", Proxy: "p9", Root: root},
			"too many":        {Fleet: "north", Proxy: "p9", Root: root, Names: make([][]byte, api.MaxChunkNames+1)},
			"a name too long": {Fleet: "north", Proxy: string(make([]byte, maxProxyNameBytes+1)), Root: root},
		} {
			err := cluster.call(o.Address, api.PathPolicyChunks, in, &out)
			if api.RemoteErrorOf(err).Help == "" {
				t.Errorf("%s: %v", what, err)
			}
		}
	}
}

// A new leader starts a rollout once nine in ten of the proxies that the last rollout knew have reported, and no
// sooner. One that does not know how many there were waits for the silence timeout.
func TestNewLeaderStartsWithNineInTenProxies(t *testing.T) {
	set := rollout.DefaultSettings()
	for _, k := range []struct {
		known, report int
		begun         bool
	}{{100, 89, false}, {100, 90, true}, {0, 100, false}, {100, 140, true}} {
		r := &rolloutDriver{}
		st := store.Status{
			Active:     rollout.Version{Generation: 1, Epoch: 1, Hash: "a"},
			Candidate:  rollout.Version{Generation: 1, Epoch: 2, Hash: "b"},
			ProxyCount: k.known,
		}
		for i := range k.report {
			report := api.PolicyReport{Proxy: fmt.Sprint("p", i), Sequence: 1, Current: st.Active}
			if _, err := r.report(time.Duration(i)*time.Millisecond, set, st, report); err != nil {
				t.Fatal(err)
			}
		}
		if state, _ := r.rollout.State(); (state == rollout.InProgress) != k.begun {
			t.Errorf("%d of %d known have reported: %v", k.report, k.known, state)
		}
		r.syncWithLog(set.SilenceTimeout+time.Second, set, st)
		if state, _ := r.rollout.State(); state != rollout.InProgress {
			t.Errorf("%d of %d known have reported, and it never begins", k.report, k.known)
		}
	}
}

// The number of known proxies is bounded, and one more is rejected without being recorded.
func TestProxiesAreBounded(t *testing.T) {
	set, r := rollout.DefaultSettings(), &rolloutDriver{}
	st := store.Status{Active: rollout.Version{Generation: 1, Epoch: 1, Hash: "a"}}
	for i := range maxProxies {
		report := api.PolicyReport{Proxy: fmt.Sprint("p", i), Sequence: 1, Current: st.Active}
		if _, err := r.report(0, set, st, report); err != nil {
			t.Fatalf("proxy %d of %d is rejected: %v", i, maxProxies, err)
		}
	}
	_, err := r.report(0, set, st, api.PolicyReport{Proxy: "one more", Sequence: 1})
	if api.RemoteErrorOf(err).Help == "" || len(r.proxies) != maxProxies {
		t.Errorf("a proxy beyond the bound: error %v, %d proxies known, want advice and %d", err, len(r.proxies), maxProxies)
	}
	if maxProxies < 2*4700 {
		t.Errorf("maxProxies is %d, less than twice a fleet of 4700", maxProxies)
	}
}

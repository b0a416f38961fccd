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

// policyOf is a policy of so many routes, one of which leads elsewhere with each version.
func policyOf(tb testing.TB, routes int, version uint64) *merkle.Tree {
	tb.Helper()
	weight := 1.0
	p := &namespace.Policy{Form: 1}
	for _, name := range []string{"one", "two"} {
		p.Services = append(p.Services, namespace.PolicyService{Service: namespace.Service{Name: name},
			From: []namespace.Source{{Namespace: "a", Number: version, Rule: "service " + name}}})
	}
	for i := range routes {
		to := "one"
		if uint64(i)+1 < version {
			to = "two"
		}
		name := fmt.Sprintf("r%05d", i)
		p.Routes = append(p.Routes, namespace.PolicyRoute{
			Route: namespace.Route{Name: "a/" + name, Match: namespace.Match{Host: "x.org", PathPrefix: fmt.Sprintf("/v1/things/%d", i), Tenants: []string{
				fmt.Sprintf("tenant-%06d", 11*i), fmt.Sprintf("tenant-%06d", 11*i+1), fmt.Sprintf("tenant-%06d", 11*i+2)}}, To: []namespace.Target{{Service: to, Weight: &weight}}},
			From: namespace.Source{Namespace: "a", Number: version, Rule: "route " + name}})
	}
	tree, err := p.Tree()
	if err != nil {
		tb.Fatal(err)
	}
	return tree
}

// inForce has a steward tell that trees are kept, the last of which is in force, without a merge.
func (p *process) inForce(trees ...*merkle.Tree) rollout.Version {
	return p.inForceAt(uint64(len(trees)), trees...)
}

// counted are the bytes of all connections, both ways, with all heads.
type counted struct{ atomic.Int64 }

type countedConn struct {
	net.Conn
	n *counted
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.n.Add(int64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.n.Add(int64(n))
	return n, err
}

func (c *counted) transport() *http.Transport {
	return &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return countedConn{conn, c}, err
	}}
}

// BenchmarkChange is what one changed route costs one proxy at the socket, with all heads and both ways: of its link's real code, before a
// real steward. B/report is a report without news. B/fetch is the whole policy, from nothing.
func BenchmarkChange(b *testing.B) {
	for _, routes := range []int{1000, 4000, 13000, 26000} {
		b.Run(fmt.Sprint(routes), func(b *testing.B) {
			s := newSite(b)
			s.found()
			lead := s.run[s.leader()]
			trees := []*merkle.Tree{policyOf(b, routes, 1)}
			first := lead.inForce(trees...)
			file := *s.file
			file.Policy.SilenceTimeout = strictconfig.Span(250 * time.Millisecond) // it reports 20 times a second
			file.Servers = []api.Server{lead.self}
			var n counted
			via := n.transport()
			defer via.CloseIdleConnections()
			p := client.NewPolicyClient(client.Config{File: &file, ProxyName: "p1", Transport: via}, func(*client.InstalledPolicy) error { return nil })
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{})
			go func() { defer close(done); p.Run(ctx) }()
			defer func() { cancel(); <-done }()
			await := func(o rollout.Version) {
				for end := time.Now().Add(time.Minute); p.Current().Offer != o; time.Sleep(time.Millisecond) {
					if time.Now().After(end) {
						b.Fatalf("in vain: %+v", p.PolicyStatus())
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
				trees = append(trees, policyOf(b, routes, uint64(changes+2)))
				if len(trees) > 4 {
					trees = trees[1:]
				}
				rest(1)
				answered, bytes := p.PolicyStatus().Answered, n.Load()
				await(lead.inForceAt(uint64(changes+2), trees...))
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

// inForceAt is inForce with an epoch of the last.
func (p *process) inForceAt(epoch uint64, trees ...*merkle.Tree) rollout.Version {
	m := p.replica.Load().state
	v := &policyView{}
	for i := range trees {
		v.versions = append(v.versions, rollout.Version{Generation: 1, Epoch: epoch - uint64(i), Hash: trees[len(trees)-1-i].Root().String()})
	}
	v.status.Base = v.versions[0]
	m.chunks.Retain(trees)
	m.published.Store(v)
	return v.versions[0]
}

// BenchmarkReported is one report at the leader with reading and writing it, of fleets that report once a second each; nothing is new to them.
func BenchmarkReported(b *testing.B) {
	for _, n := range []int{300, 1000, 4700, 9400} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := newSite(b)
			s.found()
			lead := s.run[s.leader()]
			offer := lead.inForce(policyOf(b, 1000, 1))
			handler := lead.Handler()
			var bodies [][]byte
			for i := range n {
				text, err := cbor.Marshal(api.PolicyReport{Fleet: "north", Proxy: fmt.Sprintf("proxy-%05d", i), Sequence: 1, Current: offer, Good: 160, Bad: 1, AcceptsChunks: true})
				s.must(err)
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

// BenchmarkFetch is a whole policy at the steward: all answers that one proxy gets.
func BenchmarkFetch(b *testing.B) {
	for _, routes := range []int{1000, 13000} {
		b.Run(fmt.Sprint(routes), func(b *testing.B) {
			s := newSite(b)
			s.found()
			lead := s.run[s.leader()]
			tree := policyOf(b, routes, 1)
			lead.inForce(tree)
			handler := lead.Handler()
			var names [][]byte
			for n := range tree.Pieces() {
				names = append(names, bytes.Clone(n[:]))
			}
			b.ReportAllocs()
			sent := 0
			for b.Loop() {
				for rest := names; len(rest) > 0; {
					some := rest[:min(len(rest), api.MaxChunkNames)]
					text, err := cbor.Marshal(api.ChunksRequest{Fleet: "north", Proxy: "p1", Root: tree.Root().String(), Names: some})
					s.must(err)
					w := httptest.NewRecorder()
					handler.ServeHTTP(w, httptest.NewRequest(http.MethodPost, api.PathPolicyChunks, bytes.NewReader(text)))
					sent += w.Body.Len()
					var out api.ChunksReply
					s.must(api.DecodeBody(w.Body, &out))
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

// Pieces are given by any steward; a proxy of an older release gets a whole text while it fits, and is told when not; what is asked wrong
// is refused.
func TestWhoTakesWholeTextsAndWhoPieces(t *testing.T) {
	s := newSite(t)
	s.found()
	lead := s.leader()
	small, large := policyOf(t, 300, 1), policyOf(t, 13000, 1)
	ctx := context.Background()
	report := func(in api.PolicyReport) (out api.PolicyReply, err error) {
		in.Fleet, in.Proxy = "north", "p1"
		err = api.CallWithTimeout(ctx, s.client, s.file.Servers[s.leader()].Address, api.PathPolicyReport, in, &out)
		return out, err
	}
	s.order(store.Command{Charter: &store.Charter{Text: charterText("x.org")}})
	p := newProxies(s, 4)
	s.order(offerOf("alpha", 1, "/a"))
	s.until("it is in force", func() bool { p.turn(); return s.standing(s.leader()).Base.Epoch == s.newest() })
	p.untilAll("all have it", s.newest())

	// The same policy, told by both names, is one.
	base := s.standing(s.leader()).Base
	w, ok := s.run[lead].replica.Load().state.policyEncoding(base)
	if !ok {
		t.Fatal("a small policy is not given whole")
	}
	has := rollout.Version{Generation: base.Generation, Epoch: base.Epoch, Hash: w.hash}
	for _, takes := range []bool{false, true} {
		out, err := report(api.PolicyReport{Sequence: 1, Current: has, AcceptsChunks: takes})
		if err != nil || len(out.Text) > 0 || len(out.Chunks) > 0 || out.Target.NewerThan(has) {
			t.Errorf("one that has it as a text, takes pieces %v: %+v, %v", takes, out.Target, err)
		}
	}
	out, err := report(api.PolicyReport{Sequence: 2})
	if err != nil || string(out.Text) != w.text || out.Target.Hash != w.hash {
		t.Errorf("one that takes whole texts is told %+v, %v", out.Target, err)
	}

	s.run[lead].inForceAt(9, small, large)
	if _, err := report(api.PolicyReport{Sequence: 3, Current: rollout.Version{}}); api.RemoteErrorOf(err).Code != "steward.NeedsPieces" || api.RemoteErrorOf(err).Help == "" {
		t.Errorf("of one that is too long: %v", err)
	}
	out, err = report(api.PolicyReport{Sequence: 4, AcceptsChunks: true})
	if err != nil || !out.Chunked || out.Target.Hash != large.Root().String() {
		t.Errorf("one that takes pieces is told %+v, %v", out.Target, err)
	}

	// Followers have what the log has told them.
	root := base.Hash
	tree := p.trees["p00"]
	for i, o := range s.file.Servers {
		s.until("a follower has it", func() bool { return s.standing(i).Base == base || i == lead })
		var out api.ChunksReply
		name := tree.Root()
		err := api.CallWithTimeout(ctx, s.client, o.Address, api.PathPolicyChunks, api.ChunksRequest{Fleet: "north", Proxy: "p9", Root: root, Names: [][]byte{name[:], {1, 2}}}, &out)
		if err != nil || len(out.Chunks) != 1 || out.Missing != 1 || merkle.NameOf(out.Chunks[0]) != name {
			t.Errorf("steward %s: %d pieces, %v", o.Name, len(out.Chunks), err)
		}
		for what, in := range map[string]api.ChunksRequest{
			"another fleet's": {Fleet: "south", Proxy: "p9", Root: root},
			"too many":        {Fleet: "north", Proxy: "p9", Root: root, Names: make([][]byte, api.MaxChunkNames+1)},
			"a name too long": {Fleet: "north", Proxy: string(make([]byte, maxProxyNameBytes+1)), Root: root},
		} {
			if err := api.CallWithTimeout(ctx, s.client, o.Address, api.PathPolicyChunks, in, &out); api.RemoteErrorOf(err).Help == "" {
				t.Errorf("%s: %v", what, err)
			}
		}
	}
	if _, err := s.file.PolicyStatus(ctx, s.client); err != nil {
		t.Error(err)
	}
}

// A leader that has just begun goes on as soon as nine in ten of those that were there at the last judgement have reported, and no sooner; one
// that does not know how many there were waits for the silence.
func TestANewLeaderBeginsWithNineInTen(t *testing.T) {
	set := rollout.DefaultSettings()
	for _, k := range []struct {
		known, report int
		begun         bool
	}{{100, 89, false}, {100, 90, true}, {0, 100, false}, {100, 140, true}} {
		r := &rolloutDriver{}
		st := store.Standing{Base: rollout.Version{Generation: 1, Epoch: 1, Hash: "a"}, Next: rollout.Version{Generation: 1, Epoch: 2, Hash: "b"}, Proxies: k.known}
		for i := range k.report {
			if _, err := r.report(time.Duration(i)*time.Millisecond, set, st, api.PolicyReport{Proxy: fmt.Sprint("p", i), Sequence: 1, Current: st.Base}); err != nil {
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

// As many proxies as the bound says are kept, and one more is refused without a trace.
func TestProxiesAreBounded(t *testing.T) {
	set, r := rollout.DefaultSettings(), &rolloutDriver{}
	st := store.Standing{Base: rollout.Version{Generation: 1, Epoch: 1, Hash: "a"}}
	for i := range maxProxies {
		if _, err := r.report(0, set, st, api.PolicyReport{Proxy: fmt.Sprint("p", i), Sequence: 1, Current: st.Base}); err != nil {
			t.Fatal(i, err)
		}
	}
	if _, err := r.report(0, set, st, api.PolicyReport{Proxy: "one more", Sequence: 1}); api.RemoteErrorOf(err).Help == "" || len(r.proxies) != maxProxies {
		t.Error(err)
	}
	if maxProxies < 2*4700 {
		t.Error("not twice the fleet")
	}
}

package server

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"lapisspread/internal/controlplane/api"
	"lapisspread/internal/policy/merkle"
	"lapisspread/internal/policy/rollout"
	"lapisspread/internal/policy/store"
)

func ownershipText(beta string) string {
	text := "version = 1\n"
	for _, n := range [][2]string{{"alpha", "x.org"}, {"beta", beta}} {
		text += fmt.Sprintf(
			"[[namespace]]\nname = %q\nowner = \"o\"\nhosts = [%q]\nsettings = [\"route\", \"service\"]\n", n[0],
			n[1],
		)
	}
	return text
}

func namespaceText(name string, number int, path string) string {
	return fmt.Sprintf("version = 1\nnamespace = %q\nnumber = %d\n[[service]]\nname = \"s-%s\"\n"+
		"[[route]]\nname = \"r\"\nhost = \"x.org\"\npath_prefix = %q\nto = [{ service = \"s-%s\" }]\n",
		name, number, name, path, name)
}

func offerCommand(name string, number int, path string) store.Command {
	return store.Command{SubmitFile: &store.SubmitFile{Text: namespaceText(name, number, path), Author: name}}
}

// proxyFleet is proxies that report to the leader, 100 requests each. Every other one is of an older release, which
// does not accept chunks.
type proxyFleet struct {
	*testCluster
	names         []string
	versions      map[string]*rollout.CurrentVersion
	trees         map[string]*merkle.Tree // of proxies that accept chunks
	sequence      uint64
	chunkRequests int
	badRequests   func(epoch uint64) int64 // of 100, under an epoch
}

func newProxyFleet(cluster *testCluster, n int) *proxyFleet {
	p := &proxyFleet{testCluster: cluster, versions: map[string]*rollout.CurrentVersion{},
		trees: map[string]*merkle.Tree{}, badRequests: func(uint64) int64 { return 0 }}
	for i := range n {
		name := fmt.Sprintf("p%02d", i)
		p.names, p.versions[name] = append(p.names, name), rollout.NewCurrentVersion(rollout.Version{})
	}
	return p
}

// reportAll has each proxy report once and adopt its target, and checks that no proxy goes back within a generation.
func (p *proxyFleet) reportAll() {
	p.t.Helper()
	for i, name := range p.names {
		current := p.versions[name]
		p.sequence++
		bad := p.badRequests(current.Version().Epoch)
		in := api.PolicyReport{
			Fleet:         "north",
			Proxy:         name,
			Sequence:      p.sequence,
			Current:       current.Version(),
			Good:          100 - bad,
			Bad:           bad,
			AcceptsChunks: i%2 == 0,
		}
		for _, server := range p.config.Servers {
			var reply api.PolicyReply
			if p.call(server.Address, api.PathPolicyReport, in, &reply) != nil {
				continue
			}
			before := current.Version()
			if reply.Chunked != in.AcceptsChunks || len(reply.Text) > 0 && in.AcceptsChunks ||
				len(reply.Chunks) > 0 && !in.AcceptsChunks {
				p.t.Fatalf(
					"%s, which accepts chunks: %v, gets %d bytes and %d chunks", name, in.AcceptsChunks,
					len(reply.Text), len(reply.Chunks),
				)
			}
			if in.AcceptsChunks {
				p.fetchChunks(name, reply)
			} else {
				_ = current.AdoptText(reply.Target, reply.Text)
			}
			if current.Version() != before && !current.Version().NewerThan(before) {
				p.t.Fatalf("%s went from %+v to %+v", name, before, current.Version())
			}
			break
		}
	}
}

// fetchChunks has a proxy fetch its target from any server.
func (p *proxyFleet) fetchChunks(name string, reply api.PolicyReply) {
	p.t.Helper()
	if !reply.Target.NewerThan(p.versions[name].Version()) {
		return
	}
	root, err := merkle.ParseHash(reply.Target.Hash)
	p.noError(err)
	assembly := merkle.NewAssembly(root, p.trees[name])
	for _, chunk := range reply.Chunks {
		p.noError(assembly.Add(chunk))
	}
	for range 100 {
		names := assembly.Missing(api.MaxChunkNames)
		if len(names) == 0 {
			break
		}
		in := api.ChunksRequest{Fleet: "north", Proxy: name, Root: reply.Target.Hash}
		for _, n := range names {
			in.Names = append(in.Names, n[:])
		}
		p.chunkRequests++
		var out api.ChunksReply
		address := p.config.Servers[p.chunkRequests%3].Address
		if p.call(address, api.PathPolicyChunks, in, &out) != nil {
			continue
		}
		for _, chunk := range out.Chunks {
			p.noError(assembly.Add(chunk))
		}
	}
	tree, err := assembly.Tree()
	if err != nil {
		return // continued with the next report
	}
	p.noError(p.versions[name].Adopt(reply.Target, tree.Root().String()))
	p.trees[name] = tree
}

func (p *proxyFleet) countAtEpoch(epoch uint64) (n int) {
	for _, h := range p.versions {
		if h.Version().Epoch == epoch {
			n++
		}
	}
	return n
}

func (p *proxyFleet) waitUntilAll(what string, epoch uint64) {
	p.t.Helper()
	p.until(what, func() bool { p.reportAll(); return p.countAtEpoch(epoch) == len(p.names) })
}

// sendPolicyCommand sends a command until it is accepted.
func (cluster *testCluster) sendPolicyCommand(c store.Command) {
	cluster.t.Helper()
	cluster.until(
		"a policy command is accepted",
		func() bool { return cluster.config.SendPolicyCommand(context.Background(), cluster.client, c) == nil },
	)
}

func (cluster *testCluster) policyStatus(i int) store.Status {
	t := cluster.servers[i].replica.Load()
	return t.state.policyStatus()
}

func newClusterWithPolicies(t *testing.T) *testCluster {
	cluster := newCluster(t)
	cluster.bootstrap()
	cluster.sendPolicyCommand(store.Command{SetDeclaration: &store.SetDeclaration{Text: ownershipText("x.org")}})
	return cluster
}

// leaderNewestEpoch returns the newest merged epoch. It asks the leader, because a follower may be behind.
func (cluster *testCluster) leaderNewestEpoch() (epoch uint64) {
	cluster.t.Helper()
	cluster.until("the leader's policy status", func() bool {
		p, err := cluster.config.PolicyStatus(context.Background(), cluster.client)
		epoch = p.Policy.Head.Epoch
		return err == nil && p.IsLeader
	})
	return epoch
}

// Two teams change overlapping rules on two sides of a partition: after it heals, all servers hold back the same one.
// An ownership declaration that withdraws a domain removes the rules outside it.
func TestConflictingRulesAcrossPartition(t *testing.T) {
	cluster := newClusterWithPolicies(t)
	cluster.sendPolicyCommand(offerCommand("alpha", 1, "/a"))
	cluster.sendPolicyCommand(offerCommand("beta", 1, "/b"))
	offerOnBothSides(t, cluster)
	cluster.sendPolicyCommand(offerCommand("alpha", 2, "/c"))
	cluster.until("all servers have the same policy", func() bool {
		a := cluster.policyStatus(0)
		for i := range 3 {
			if st := cluster.policyStatus(i); len(st.WithheldFiles) != 1 || fmt.Sprint(st) != fmt.Sprint(a) {
				return false
			}
		}
		return true
	})
	withheld := cluster.policyStatus(0).WithheldFiles[0]
	if !strings.Contains(withheld.Reason, "x.org") || withheld.Advice == "" || withheld.Active != 1 {
		t.Errorf("the request is not written out: %+v", withheld)
	}
	var texts [3][]byte
	for i := range 3 {
		m := cluster.servers[i].replica.Load().state
		m.policyMu.Lock()
		texts[i], _ = m.policies.Snapshot()
		m.policyMu.Unlock()
	}
	if !bytes.Equal(texts[0], texts[1]) || !bytes.Equal(texts[0], texts[2]) {
		t.Error("the servers' policy stores differ")
	}

	cluster.sendPolicyCommand(store.Command{SetDeclaration: &store.SetDeclaration{Text: ownershipText("y.org")}})
	cluster.until("nobody uses a domain that was taken back", func() bool {
		for i := range 3 {
			st := cluster.policyStatus(i)
			w, ok := cluster.servers[i].replica.Load().state.policyEncoding(st.Head)
			if !ok || strings.Contains(w.text, "beta/r") || !strings.Contains(w.text, "alpha/r") {
				return false
			}
		}
		return true
	})
}

// offerOnBothSides cuts the leader off, and offers alpha's file there and beta's on the other side.
func offerOnBothSides(t *testing.T, cluster *testCluster) {
	lead := cluster.leader()
	cluster.partitioned.Store(int64(lead + 1))
	lone := *cluster.config
	lone.Servers = cluster.config.Servers[lead : lead+1]
	one := make(chan error, 1)
	go func() {
		one <- lone.SendPolicyCommand(context.Background(), cluster.client, offerCommand("alpha", 2, "/c"))
	}()
	cluster.until("the other side takes beta's", func() bool {
		for i, o := range cluster.config.Servers {
			if i == lead {
				continue
			}
			if cluster.call(o.Address, api.PathPolicyCommand, offerCommand("beta", 2, "/c"), nil) == nil {
				return true
			}
		}
		return false
	})
	if err := <-one; err == nil {
		t.Error("a minority accepted a command")
	}
	cluster.partitioned.Store(0)
}

// A rollout that loses its leader resumes under the next one. One that does harm stops, stays stopped under the next
// leader, and goes back only on command.
func TestRolloutResumesStopsAndRollsBack(t *testing.T) {
	cluster := newClusterWithPolicies(t)
	p := newProxyFleet(cluster, 24)
	cluster.sendPolicyCommand(offerCommand("alpha", 1, "/a"))
	first := cluster.leaderNewestEpoch()
	p.waitUntilAll("the first policy", first)
	cluster.until("that is committed", func() bool {
		return cluster.policyStatus(cluster.leader()).Active.Epoch == first
	})

	cluster.sendPolicyCommand(offerCommand("alpha", 2, "/c"))
	second := cluster.leaderNewestEpoch()
	cluster.until("some have it", func() bool { p.reportAll(); return p.countAtEpoch(second) > 0 })
	if p.countAtEpoch(second) == len(p.names) {
		t.Error("all had it at once")
	}
	lead := cluster.leader()
	cluster.stop(lead)
	p.waitUntilAll("the second policy under another leader", second)
	cluster.start(lead)
	cluster.until("that is committed", func() bool {
		return cluster.policyStatus(cluster.leader()).Active.Epoch == second
	})

	cluster.sendPolicyCommand(offerCommand("alpha", 3, "/worse"))
	third := cluster.leaderNewestEpoch()
	p.badRequests = func(epoch uint64) int64 {
		if epoch == third {
			return 40
		}
		return 1
	}
	cluster.until(
		"it stops", func() bool { p.reportAll(); return cluster.policyStatus(cluster.leader()).Stopped != nil },
	)
	had := p.countAtEpoch(third)
	if had == 0 || had > len(p.names)/2 {
		t.Errorf("%d of %d had the worse policy", had, len(p.names))
	}
	cluster.stop(cluster.leader())
	cluster.leader()
	for range 20 {
		p.reportAll()
	}
	if n := p.countAtEpoch(third); n != had {
		t.Errorf("%d have the stopped policy after another leader came, %d before", n, had)
	}
	for i := range 3 {
		if cluster.servers[i] == nil {
			cluster.start(i)
		}
	}
	cluster.sendPolicyCommand(store.Command{Rollback: &store.Rollback{Epoch: second, Author: "on call"}})
	p.waitUntilAll("back", second)
	verdict := store.Command{RolloutResult: &store.RolloutResult{}}
	if err := cluster.config.SendPolicyCommand(context.Background(), cluster.client, verdict); err == nil {
		t.Error("an operator ended a rollout")
	}
}

// Snapshots from before there were policies stay readable, and a snapshot with policies restores quotas and policies.
func TestEntriesWithoutPoliciesStayReadable(t *testing.T) {
	clock := func() time.Duration { return 0 }
	m := newStateMachine(clock, 1)
	m.Apply(1, []byte(`{}`))
	old, err := m.Snapshot()
	if err != nil || old[0] == policyEntryMarker {
		t.Fatal(err, "a fleet without policies has another format")
	}
	m.Apply(
		2,
		append([]byte{policyEntryMarker}, []byte(fmt.Sprintf(`{"charter":{"text":%q}}`, ownershipText("x.org")))...),
	)
	if m.policies.Empty() {
		t.Fatal("the ownership declaration was not accepted")
	}
	both, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	for _, text := range [][]byte{old, both} {
		n := newStateMachine(clock, 1)
		if err := n.Restore(text); err != nil {
			t.Fatal(err)
		}
		again, _ := n.Snapshot()
		if !bytes.Equal(again, text) {
			t.Errorf("%q came back as %q", text, again)
		}
	}
	err = newStateMachine(clock, 1).Restore([]byte{policyEntryMarker, 'x'})
	if api.RemoteErrorOf(err).Help == "" {
		t.Error(err)
	}
}

// The completion of a rollout is committed before it is announced: otherwise a leader that dies in between leaves the
// next one without proxies to compare with.
func TestCompletionIsCommittedBeforeItIsAnnounced(t *testing.T) {
	set := rollout.DefaultSettings()
	set.StepDuration, set.SilenceTimeout, set.MinRequests = 100*time.Millisecond, 50*time.Millisecond, 100
	run := func(early bool) (ended bool) {
		book := store.New(1 << 32)
		for _, c := range []store.Command{
			{SetDeclaration: &store.SetDeclaration{Text: ownershipText("x.org")}}, offerCommand("alpha", 1, "/a"),
		} {
			if err := book.Apply(c); err != nil {
				t.Fatal(err)
			}
		}
		has, now, number := map[string]rollout.Version{}, time.Duration(0), uint64(0)
		// lead runs one leader until its rollout completes, and two rounds more, without committing anything.
		lead := func() (done bool) {
			r := &rolloutDriver{announceBeforeCommit: early, proxies: map[string]*proxyState{}}
			for turn, after := 0, 0; turn < 1000 && after < 3; turn++ {
				now += 10 * time.Millisecond
				for i := range 20 {
					name := fmt.Sprint("p", i)
					if r.proxies[name] == nil {
						r.proxies[name] = &proxyState{}
					}
					r.proxies[name].lastReport = now
				}
				st := book.Status()
				r.syncWithLog(now, set, st)
				for i := range 20 {
					name := fmt.Sprint("p", i)
					number++
					had := has[name]
					if had.Epoch == 0 {
						had = activeVersion(st)
					}
					r.rollout.Report(now, rollout.Report{Proxy: name, Sequence: number, Current: had, Good: 100})
					if o := r.target(name, st); o.NewerThan(has[name]) {
						has[name] = o
					}
				}
				r.advance(now)
				if state, _ := r.rollout.State(); state == rollout.Done {
					done = true
					after++
				}
			}
			return done
		}
		if !lead() {
			t.Fatal("the first leader did not complete the rollout")
		}
		return lead()
	}
	if !run(false) {
		t.Error("the second leader never ends the rollout")
	}
	if run(true) {
		t.Error("not detected without the safeguard")
	}
}

// A new leader does not take the first proxies that report for the whole fleet.
func TestFirstProxyToReportIsNotTheFleet(t *testing.T) {
	set := rollout.DefaultSettings()
	set.SilenceTimeout = time.Second
	for _, hasty := range []bool{false, true} {
		r := &rolloutDriver{startBeforeQuorum: hasty, proxies: map[string]*proxyState{}}
		st := store.Status{
			Active:    rollout.Version{Generation: 1, Epoch: 1, Hash: "a"},
			Candidate: rollout.Version{Generation: 1, Epoch: 2, Hash: "b"},
		}
		done := false
		for i := range 20 { // one more proxy every 100 ms
			now := time.Duration(i) * 100 * time.Millisecond
			for k := range i + 1 {
				r.proxies[fmt.Sprint("p", k)] = &proxyState{lastReport: now}
			}
			r.syncWithLog(now, set, st)
			r.advance(now)
			state, _ := r.rollout.State()
			done = done || state == rollout.Done
		}
		if done != hasty {
			t.Errorf("without the safeguard %v: all got it at once: %v", hasty, done)
		}
	}
}

// BenchmarkReport measures one report at the leader during a rollout, without HTTP.
func BenchmarkReport(b *testing.B) {
	for _, n := range []int{30, 300, 1000, 4700, 9400} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			set, r, number := rollout.DefaultSettings(), &rolloutDriver{}, uint64(0)
			st := store.Status{
				Active:    rollout.Version{Generation: 1, Epoch: 1, Hash: "a"},
				Candidate: rollout.Version{Generation: 1, Epoch: 2, Hash: "b"},
			}
			var names []string
			for i := range n {
				names = append(names, fmt.Sprint("p", i))
			}
			b.ReportAllocs()
			for b.Loop() {
				number++
				in := api.PolicyReport{Proxy: names[number%uint64(n)], Sequence: number, Current: st.Active, Good: 100}
				if _, err := r.report(time.Duration(number)*time.Second/time.Duration(n), set, st, in); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

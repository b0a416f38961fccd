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

// ownershipText returns an ownership declaration that gives x.org to alpha and betaHost to beta.
func ownershipText(betaHost string) string {
	text := "version = 1\n"
	for _, namespace := range [][2]string{{"alpha", "x.org"}, {"beta", betaHost}} {
		text += fmt.Sprintf(
			"[[namespace]]\nname = %q\nowner = \"o\"\nhosts = [%q]\nsettings = [\"route\", \"service\"]\n",
			namespace[0], namespace[1],
		)
	}
	return text
}

// namespaceText returns a namespace file with one route of the path prefix to one service.
func namespaceText(name string, number int, path string) string {
	return fmt.Sprintf("version = 1\nnamespace = %q\nnumber = %d\n[[service]]\nname = \"s-%s\"\n"+
		"[[route]]\nname = \"r\"\nhost = \"x.org\"\npath_prefix = %q\nto = [{ service = \"s-%s\" }]\n",
		name, number, name, path, name)
}

// offerCommand returns the command that submits a namespace file.
func offerCommand(name string, number int, path string) store.Command {
	return store.Command{SubmitFile: &store.SubmitFile{Text: namespaceText(name, number, path), Author: name}}
}

// proxyFleet simulates proxies that report 100 requests each to the leader. Every second proxy runs an older release,
// which does not accept chunks.
type proxyFleet struct {
	*testCluster
	names         []string
	versions      map[string]*rollout.CurrentVersion
	trees         map[string]*merkle.Tree // of proxies that accept chunks
	sequence      uint64
	chunkRequests int
	badRequests   func(epoch uint64) int64 // failed requests of 100 under an epoch
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

// reportAll makes each proxy report once and adopt its target. It checks that no proxy returns to an older version
// within a generation.
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
					"proxy %s with AcceptsChunks=%v got Chunked=%v, a text of %d bytes and %d chunks, "+
						"want chunks only if accepted, and a text only otherwise",
					name, in.AcceptsChunks, reply.Chunked, len(reply.Text), len(reply.Chunks),
				)
			}
			if in.AcceptsChunks {
				p.fetchChunks(name, reply)
			} else {
				_ = current.AdoptText(reply.Target, reply.Text)
			}
			if current.Version() != before && !current.Version().NewerThan(before) {
				p.t.Fatalf("proxy %s changed from version %+v to %+v, want a newer version",
					name, before, current.Version())
			}
			break
		}
	}
}

// fetchChunks makes a proxy fetch its target from the servers in turn and adopt it.
func (p *proxyFleet) fetchChunks(name string, reply api.PolicyReply) {
	p.t.Helper()
	if !reply.Target.NewerThan(p.versions[name].Version()) {
		return
	}
	root, err := merkle.ParseHash(reply.Target.Hash)
	p.noError("parsing the target's hash", err)
	assembly := merkle.NewAssembly(root, p.trees[name])
	for _, chunk := range reply.Chunks {
		p.noError("adding a chunk of the report's reply", assembly.Add(chunk))
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
			p.noError("adding a requested chunk", assembly.Add(chunk))
		}
	}
	tree, err := assembly.Tree()
	if err != nil {
		return // the next report continues the fetch
	}
	p.noError("adopting the target", p.versions[name].Adopt(reply.Target, tree.Root().String()))
	p.trees[name] = tree
}

// countAtEpoch returns how many proxies run a version of the epoch.
func (p *proxyFleet) countAtEpoch(epoch uint64) (n int) {
	for _, current := range p.versions {
		if current.Version().Epoch == epoch {
			n++
		}
	}
	return n
}

// waitUntilAll makes the proxies report until all of them run a version of the epoch.
func (p *proxyFleet) waitUntilAll(what string, epoch uint64) {
	p.t.Helper()
	what = fmt.Sprintf("%s: all %d proxies run policy epoch %d", what, len(p.names), epoch)
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

// policyStatus returns the policy status that server i, counted from 0, has applied.
func (cluster *testCluster) policyStatus(i int) store.Status {
	return cluster.servers[i].replica.Load().state.policyStatus()
}

// newClusterWithPolicies returns a bootstrapped cluster with an ownership declaration for alpha and beta.
func newClusterWithPolicies(t *testing.T) *testCluster {
	cluster := newCluster(t)
	cluster.bootstrap()
	cluster.sendPolicyCommand(store.Command{SetDeclaration: &store.SetDeclaration{Text: ownershipText("x.org")}})
	return cluster
}

// leaderNewestEpoch returns the newest merged epoch. It requests the status from the leader, because a follower
// may be behind.
func (cluster *testCluster) leaderNewestEpoch() (epoch uint64) {
	cluster.t.Helper()
	cluster.until("the leader returns the policy status", func() bool {
		status, err := cluster.config.PolicyStatus(context.Background(), cluster.client)
		epoch = status.Policy.Head.Epoch
		return err == nil && status.IsLeader
	})
	return epoch
}

// Two teams submit overlapping rules on the two sides of a partition. After it heals, all servers withhold the same
// file. An ownership declaration that withdraws a domain from a namespace removes its rules for that domain.
func TestConflictingRulesAcrossPartition(t *testing.T) {
	cluster := newClusterWithPolicies(t)
	cluster.sendPolicyCommand(offerCommand("alpha", 1, "/a"))
	cluster.sendPolicyCommand(offerCommand("beta", 1, "/b"))
	offerOnBothSides(t, cluster)
	cluster.sendPolicyCommand(offerCommand("alpha", 2, "/c"))
	cluster.until("all servers have the same policy status with one withheld file", func() bool {
		first := cluster.policyStatus(0)
		for i := range 3 {
			status := cluster.policyStatus(i)
			if len(status.WithheldFiles) != 1 || fmt.Sprint(status) != fmt.Sprint(first) {
				return false
			}
		}
		return true
	})
	withheld := cluster.policyStatus(0).WithheldFiles[0]
	if !strings.Contains(withheld.Reason, "x.org") || withheld.Advice == "" || withheld.Active != 1 {
		t.Errorf("withheld file = %+v, want a reason that names x.org, advice, and version 1 active", withheld)
	}
	var texts [3][]byte
	for i := range 3 {
		state := cluster.servers[i].replica.Load().state
		state.policyMu.Lock()
		texts[i], _ = state.policies.Snapshot()
		state.policyMu.Unlock()
	}
	if !bytes.Equal(texts[0], texts[1]) || !bytes.Equal(texts[0], texts[2]) {
		t.Errorf("snapshots of the servers' policy stores differ: %q", texts)
	}

	cluster.sendPolicyCommand(store.Command{SetDeclaration: &store.SetDeclaration{Text: ownershipText("y.org")}})
	cluster.until("no server's policy has beta's route, whose domain was withdrawn, and all have alpha's", func() bool {
		for i := range 3 {
			status := cluster.policyStatus(i)
			encoded, ok := cluster.servers[i].replica.Load().state.policyEncoding(status.Head)
			if !ok || strings.Contains(encoded.text, "beta/r") || !strings.Contains(encoded.text, "alpha/r") {
				return false
			}
		}
		return true
	})
}

// offerOnBothSides partitions the leader from the other servers. It submits alpha's file to the leader and beta's to
// the others.
func offerOnBothSides(t *testing.T, cluster *testCluster) {
	leader := cluster.leader()
	cluster.partitioned.Store(int64(leader + 1))
	leaderOnly := *cluster.config
	leaderOnly.Servers = cluster.config.Servers[leader : leader+1]
	minorityResult := make(chan error, 1)
	go func() {
		command := offerCommand("alpha", 2, "/c")
		minorityResult <- leaderOnly.SendPolicyCommand(context.Background(), cluster.client, command)
	}()
	cluster.until("the majority accepts beta's file", func() bool {
		for i, server := range cluster.config.Servers {
			if i == leader {
				continue
			}
			if cluster.call(server.Address, api.PathPolicyCommand, offerCommand("beta", 2, "/c"), nil) == nil {
				return true
			}
		}
		return false
	})
	if err := <-minorityResult; err == nil {
		t.Error("SendPolicyCommand to the partitioned leader returned no error, want one: it has no quorum")
	}
	cluster.partitioned.Store(0)
}

// A rollout that loses its leader resumes under the next leader. A harmful rollout stops and stays stopped under the
// next leader, and the proxies return to an earlier version only after an operator's rollback command.
func TestRolloutResumesStopsAndRollsBack(t *testing.T) {
	cluster := newClusterWithPolicies(t)
	proxies := newProxyFleet(cluster, 24)
	cluster.sendPolicyCommand(offerCommand("alpha", 1, "/a"))
	first := cluster.leaderNewestEpoch()
	proxies.waitUntilAll("rollout of the first policy", first)
	cluster.until("the leader has committed the completed rollout", func() bool {
		return cluster.policyStatus(cluster.leader()).Active.Epoch == first
	})

	cluster.sendPolicyCommand(offerCommand("alpha", 2, "/c"))
	second := cluster.leaderNewestEpoch()
	cluster.until("some proxies have the second policy", func() bool {
		proxies.reportAll()
		return proxies.countAtEpoch(second) > 0
	})
	if n := proxies.countAtEpoch(second); n == len(proxies.names) {
		t.Errorf("%d of %d proxies had the second policy when the first one had it, want fewer", n, len(proxies.names))
	}
	leader := cluster.leader()
	cluster.stop(leader)
	proxies.waitUntilAll("rollout of the second policy under another leader", second)
	cluster.start(leader)
	cluster.until("the leader has committed the completed rollout", func() bool {
		return cluster.policyStatus(cluster.leader()).Active.Epoch == second
	})

	cluster.sendPolicyCommand(offerCommand("alpha", 3, "/worse"))
	third := cluster.leaderNewestEpoch()
	proxies.badRequests = func(epoch uint64) int64 {
		if epoch == third {
			return 40
		}
		return 1
	}
	cluster.until("the harmful rollout stops", func() bool {
		proxies.reportAll()
		return cluster.policyStatus(cluster.leader()).Stopped != nil
	})
	updated := proxies.countAtEpoch(third)
	if updated == 0 || updated > len(proxies.names)/2 {
		t.Errorf("%d of %d proxies have the harmful policy when its rollout stops, want at least 1 and at most half",
			updated, len(proxies.names))
	}
	cluster.stop(cluster.leader())
	cluster.leader()
	for range 20 {
		proxies.reportAll()
	}
	if n := proxies.countAtEpoch(third); n != updated {
		t.Errorf("%d proxies have the stopped policy under the next leader, want %d as before", n, updated)
	}
	for i := range 3 {
		if cluster.servers[i] == nil {
			cluster.start(i)
		}
	}
	cluster.sendPolicyCommand(store.Command{Rollback: &store.Rollback{Epoch: second, Author: "on call"}})
	proxies.waitUntilAll("after the rollback", second)
	result := store.Command{RolloutResult: &store.RolloutResult{}}
	if err := cluster.config.SendPolicyCommand(context.Background(), cluster.client, result); err == nil {
		t.Error("SendPolicyCommand with a rollout result returned no error, want one: only the leader ends a rollout")
	}
}

// Snapshots of releases that had no policies stay readable, and a snapshot with policies restores quotas and policies.
func TestEntriesWithoutPoliciesStayReadable(t *testing.T) {
	clock := func() time.Duration { return 0 }
	machine := newStateMachine(clock, 1)
	machine.Apply(1, []byte(`{}`))
	old, err := machine.Snapshot()
	if err != nil || old[0] == policyEntryMarker {
		t.Fatalf("Snapshot without policies returned error %v, data %q, want no error and no policy marker", err, old)
	}
	machine.Apply(
		2,
		append([]byte{policyEntryMarker}, []byte(fmt.Sprintf(`{"charter":{"text":%q}}`, ownershipText("x.org")))...),
	)
	if machine.policies.Empty() {
		t.Fatal("the policy store is empty after Apply of an ownership declaration, want the declaration stored")
	}
	combined, err := machine.Snapshot()
	if err != nil {
		t.Fatalf("Snapshot with quotas and policies: %v", err)
	}
	for _, text := range [][]byte{old, combined} {
		restored := newStateMachine(clock, 1)
		if err := restored.Restore(text); err != nil {
			t.Fatalf("Restore(%q): %v", text, err)
		}
		again, _ := restored.Snapshot()
		if !bytes.Equal(again, text) {
			t.Errorf("Snapshot after Restore = %q, want the restored snapshot %q", again, text)
		}
	}
	err = newStateMachine(clock, 1).Restore([]byte{policyEntryMarker, 'x'})
	if api.RemoteErrorOf(err).Help == "" {
		t.Errorf("Restore of a malformed snapshot returned %v, want an error with advice", err)
	}
}

// The completion of a rollout is committed before it is announced to all proxies. Otherwise, if the leader crashes in
// between, the next leader finds no proxies without the version to compare with, and the rollout never ends.
func TestCompletionIsCommittedBeforeItIsAnnounced(t *testing.T) {
	settings := rollout.DefaultSettings()
	settings.StepDuration, settings.SilenceTimeout = 100*time.Millisecond, 50*time.Millisecond
	settings.MinRequests = 100
	secondLeaderCompletes := func(announceBeforeCommit bool) bool {
		policies := store.New(1 << 32)
		for _, c := range []store.Command{
			{SetDeclaration: &store.SetDeclaration{Text: ownershipText("x.org")}}, offerCommand("alpha", 1, "/a"),
		} {
			if err := policies.Apply(c); err != nil {
				t.Fatalf("applying policy command %+v: %v", c, err)
			}
		}
		versions, now, sequence := map[string]rollout.Version{}, time.Duration(0), uint64(0)
		// runLeader runs a new leader, for two rounds after its rollout completes, without committing anything. It
		// reports whether the rollout completed.
		runLeader := func() (done bool) {
			driver := &rolloutDriver{announceBeforeCommit: announceBeforeCommit, proxies: map[string]*proxyState{}}
			for round, roundsDone := 0, 0; round < 1000 && roundsDone < 3; round++ {
				now += 10 * time.Millisecond
				for i := range 20 {
					name := fmt.Sprint("p", i)
					if driver.proxies[name] == nil {
						driver.proxies[name] = &proxyState{}
					}
					driver.proxies[name].lastReport = now
				}
				status := policies.Status()
				driver.syncWithLog(now, settings, status)
				for i := range 20 {
					name := fmt.Sprint("p", i)
					sequence++
					current := versions[name]
					if current.Epoch == 0 {
						current = activeVersion(status)
					}
					report := rollout.Report{Proxy: name, Sequence: sequence, Current: current, Good: 100}
					driver.rollout.Report(now, report)
					if target := driver.target(name, status); target.NewerThan(versions[name]) {
						versions[name] = target
					}
				}
				driver.advance(now)
				if state, _ := driver.rollout.State(); state == rollout.Done {
					done = true
					roundsDone++
				}
			}
			return done
		}
		if !runLeader() {
			t.Fatalf("announceBeforeCommit=%v: the first leader did not complete the rollout in 1000 rounds",
				announceBeforeCommit)
		}
		return runLeader()
	}
	if !secondLeaderCompletes(false) {
		t.Error("the second leader did not complete the rollout in 1000 rounds")
	}
	if secondLeaderCompletes(true) {
		t.Error("announceBeforeCommit=true: the second leader completed the rollout, want this mutation to prevent it")
	}
}

// A new leader does not treat the first proxies that report as the entire fleet. Otherwise it would give the version to
// all of them at once.
func TestFirstProxyToReportIsNotTheFleet(t *testing.T) {
	settings := rollout.DefaultSettings()
	settings.SilenceTimeout = time.Second
	for _, startBeforeQuorum := range []bool{false, true} {
		driver := &rolloutDriver{startBeforeQuorum: startBeforeQuorum, proxies: map[string]*proxyState{}}
		status := store.Status{
			Active:    rollout.Version{Generation: 1, Epoch: 1, Hash: "a"},
			Candidate: rollout.Version{Generation: 1, Epoch: 2, Hash: "b"},
		}
		done := false
		for i := range 20 { // one more proxy reports every 100 ms
			now := time.Duration(i) * 100 * time.Millisecond
			for proxy := range i + 1 {
				driver.proxies[fmt.Sprint("p", proxy)] = &proxyState{lastReport: now}
			}
			driver.syncWithLog(now, settings, status)
			driver.advance(now)
			state, _ := driver.rollout.State()
			done = done || state == rollout.Done
		}
		if done != startBeforeQuorum {
			t.Errorf("startBeforeQuorum=%v: rollout was done within 2 s = %v, want %v",
				startBeforeQuorum, done, startBeforeQuorum)
		}
	}
}

// BenchmarkReport measures one report at the leader during a rollout, without HTTP.
func BenchmarkReport(b *testing.B) {
	for _, n := range []int{30, 300, 1000, 4700, 9400} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			settings, driver, sequence := rollout.DefaultSettings(), &rolloutDriver{}, uint64(0)
			status := store.Status{
				Active:    rollout.Version{Generation: 1, Epoch: 1, Hash: "a"},
				Candidate: rollout.Version{Generation: 1, Epoch: 2, Hash: "b"},
			}
			var names []string
			for i := range n {
				names = append(names, fmt.Sprint("p", i))
			}
			b.ReportAllocs()
			for b.Loop() {
				sequence++
				in := api.PolicyReport{
					Proxy: names[sequence%uint64(n)], Sequence: sequence, Current: status.Active, Good: 100,
				}
				now := time.Duration(sequence) * time.Second / time.Duration(n)
				if _, err := driver.report(now, settings, status, in); err != nil {
					b.Fatalf("report %d of %s: %v", sequence, in.Proxy, err)
				}
			}
		})
	}
}

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

func charterText(beta string) string {
	text := "version = 1\n"
	for _, n := range [][2]string{{"alpha", "x.org"}, {"beta", beta}} {
		text += fmt.Sprintf("[[namespace]]\nname = %q\nowner = \"o\"\nhosts = [%q]\nsettings = [\"route\", \"service\"]\n", n[0], n[1])
	}
	return text
}

func rulesText(name string, number int, path string) string {
	return fmt.Sprintf("version = 1\nnamespace = %q\nnumber = %d\n[[service]]\nname = \"s-%s\"\n[[route]]\nname = \"r\"\nhost = \"x.org\"\npath_prefix = %q\nto = [{ service = \"s-%s\" }]\n",
		name, number, name, path, name)
}

func offerOf(name string, number int, path string) store.Command {
	return store.Command{Offer: &store.Offer{Text: rulesText(name, number, path), By: name}}
}

// proxies report to whoever leads; bad of a hundred requests fail under an epoch. Each other one is of an older release, and takes whole
// texts alone.
type proxies struct {
	*site
	names   []string
	holders map[string]*rollout.CurrentVersion
	trees   map[string]*merkle.Tree // of those that take pieces
	number  uint64
	asked   int // calls for pieces
	bad     func(epoch uint64) int64
}

func newProxies(s *site, n int) *proxies {
	p := &proxies{site: s, holders: map[string]*rollout.CurrentVersion{}, trees: map[string]*merkle.Tree{}, bad: func(uint64) int64 { return 0 }}
	for i := range n {
		name := fmt.Sprintf("p%02d", i)
		p.names, p.holders[name] = append(p.names, name), rollout.NewCurrentVersion(rollout.Version{})
	}
	return p
}

// turn has each report once, and take up what it shall have. An older policy never comes but by a higher order.
func (p *proxies) turn() {
	p.t.Helper()
	for i, name := range p.names {
		h := p.holders[name]
		p.number++
		bad := p.bad(h.Version().Epoch)
		in := api.PolicyReport{Fleet: "north", Proxy: name, Sequence: p.number, Current: h.Version(), Good: 100 - bad, Bad: bad, AcceptsChunks: i%2 == 0}
		for _, o := range p.file.Servers {
			var reply api.PolicyReply
			if api.CallWithTimeout(context.Background(), p.client, o.Address, api.PathPolicyReport, in, &reply) != nil {
				continue
			}
			before := h.Version()
			if reply.Chunked != in.AcceptsChunks || len(reply.Text) > 0 && in.AcceptsChunks || len(reply.Chunks) > 0 && !in.AcceptsChunks {
				p.t.Fatalf("%s, which takes pieces: %v, is told %d bytes and %d pieces", name, in.AcceptsChunks, len(reply.Text), len(reply.Chunks))
			}
			if in.AcceptsChunks {
				p.assemble(name, reply)
			} else {
				_ = h.AdoptText(reply.Target, reply.Text)
			}
			if h.Version() != before && !h.Version().NewerThan(before) {
				p.t.Fatalf("%s went from %+v to %+v", name, before, h.Version())
			}
			break
		}
	}
}

// assemble has one fetch what it is offered, of any steward.
func (p *proxies) assemble(name string, reply api.PolicyReply) {
	p.t.Helper()
	if !reply.Target.NewerThan(p.holders[name].Version()) {
		return
	}
	root, err := merkle.ParseName(reply.Target.Hash)
	p.must(err)
	a := merkle.Assemble(root, p.trees[name])
	for _, piece := range reply.Chunks {
		p.must(a.Add(piece))
	}
	for range 100 {
		names := a.Wants(api.MaxChunkNames)
		if len(names) == 0 {
			break
		}
		in := api.ChunksRequest{Fleet: "north", Proxy: name, Root: reply.Target.Hash}
		for _, n := range names {
			in.Names = append(in.Names, n[:])
		}
		p.asked++
		var out api.ChunksReply
		if api.CallWithTimeout(context.Background(), p.client, p.file.Servers[p.asked%3].Address, api.PathPolicyChunks, in, &out) != nil {
			continue
		}
		for _, piece := range out.Chunks {
			p.must(a.Add(piece))
		}
	}
	tree, err := a.Tree()
	if err != nil {
		return // it goes on with the next report
	}
	p.must(p.holders[name].Adopt(reply.Target, tree.Root().String()))
	p.trees[name] = tree
}

func (p *proxies) have(epoch uint64) (n int) {
	for _, h := range p.holders {
		if h.Version().Epoch == epoch {
			n++
		}
	}
	return n
}

func (p *proxies) untilAll(what string, epoch uint64) {
	p.t.Helper()
	p.until(what, func() bool { p.turn(); return p.have(epoch) == len(p.names) })
}

// order gives a word until somebody takes it.
func (s *site) order(c store.Command) {
	s.t.Helper()
	s.until("a word is taken", func() bool { return s.file.SendPolicyCommand(context.Background(), s.client, c) == nil })
}

func (s *site) standing(i int) store.Standing {
	t := s.run[i].replica.Load()
	return t.state.policyStatus()
}

func policySite(t *testing.T) *site {
	s := newSite(t)
	s.found()
	s.order(store.Command{Charter: &store.Charter{Text: charterText("x.org")}})
	return s
}

// newest is the leader's word: a follower may be behind.
func (s *site) newest() (epoch uint64) {
	s.t.Helper()
	s.until("the leader's word", func() bool {
		p, err := s.file.PolicyStatus(context.Background(), s.client)
		epoch = p.Policy.Head.Epoch
		return err == nil && p.IsLeader
	})
	return epoch
}

// Two teams change rules that overlap on two sides of a partition: one is held, the same one at all stewards after the healing. And a
// charter that takes a domain back cuts what is outside it.
func TestTwoTeamsOnTwoSides(t *testing.T) {
	s := policySite(t)
	s.order(offerOf("alpha", 1, "/a"))
	s.order(offerOf("beta", 1, "/b"))
	lead := s.leader()
	s.cut.Store(int64(lead + 1))
	lone := *s.file
	lone.Servers = s.file.Servers[lead : lead+1]
	one := make(chan error, 1)
	go func() { one <- lone.SendPolicyCommand(context.Background(), s.client, offerOf("alpha", 2, "/c")) }()
	s.until("the other side takes beta's", func() bool {
		for i, o := range s.file.Servers {
			if i != lead && api.CallWithTimeout(context.Background(), s.client, o.Address, api.PathPolicyCommand, offerOf("beta", 2, "/c"), nil) == nil {
				return true
			}
		}
		return false
	})
	if err := <-one; err == nil {
		t.Error("a minority took a word")
	}
	s.cut.Store(0)
	s.order(offerOf("alpha", 2, "/c"))
	s.until("all stewards know the same", func() bool {
		a := s.standing(0)
		for i := range 3 {
			if st := s.standing(i); len(st.Held) != 1 || fmt.Sprint(st) != fmt.Sprint(a) {
				return false
			}
		}
		return true
	})
	if h := s.standing(0).Held[0]; !strings.Contains(h.Why, "x.org") || h.Help == "" || h.Holds != 1 {
		t.Errorf("the request is not written out: %+v", h)
	}
	var texts [3][]byte
	for i := range 3 {
		m := s.run[i].replica.Load().state
		m.policyMu.Lock()
		texts[i], _ = m.policies.Snapshot()
		m.policyMu.Unlock()
	}
	if !bytes.Equal(texts[0], texts[1]) || !bytes.Equal(texts[0], texts[2]) {
		t.Error("the stewards' books differ")
	}

	s.order(store.Command{Charter: &store.Charter{Text: charterText("y.org")}})
	s.until("nobody uses a domain that was taken back", func() bool {
		for i := range 3 {
			st := s.standing(i)
			w, ok := s.run[i].replica.Load().state.policyEncoding(st.Head)
			if !ok || strings.Contains(w.text, "beta/r") || !strings.Contains(w.text, "alpha/r") {
				return false
			}
		}
		return true
	})
}

// A roll-out that loses its leader half way resumes under the next; one that does worse stops by itself, also for the leader after,
// and goes back only when told.
func TestARolloutIsCutStoppedAndTakenBack(t *testing.T) {
	s := policySite(t)
	p := newProxies(s, 24)
	s.order(offerOf("alpha", 1, "/a"))
	first := s.newest()
	p.untilAll("the first policy", first)
	s.until("that is kept", func() bool { return s.standing(s.leader()).Base.Epoch == first })

	s.order(offerOf("alpha", 2, "/c"))
	second := s.newest()
	s.until("some have it", func() bool { p.turn(); return p.have(second) > 0 })
	if p.have(second) == len(p.names) {
		t.Error("all had it at once")
	}
	lead := s.leader()
	s.stop(lead)
	p.untilAll("the second policy under another leader", second)
	s.start(lead)
	s.until("that is kept", func() bool { return s.standing(s.leader()).Base.Epoch == second })

	s.order(offerOf("alpha", 3, "/worse"))
	third := s.newest()
	p.bad = func(epoch uint64) int64 {
		if epoch == third {
			return 40
		}
		return 1
	}
	s.until("it stops", func() bool { p.turn(); return s.standing(s.leader()).Stopped != nil })
	had := p.have(third)
	if had == 0 || had > len(p.names)/2 {
		t.Errorf("%d of %d had the worse policy", had, len(p.names))
	}
	s.stop(s.leader())
	s.leader()
	for range 20 {
		p.turn()
	}
	if n := p.have(third); n != had {
		t.Errorf("%d have the stopped policy after another leader came, %d before", n, had)
	}
	for i := range 3 {
		if s.run[i] == nil {
			s.start(i)
		}
	}
	s.order(store.Command{Back: &store.Back{Epoch: second, By: "on call"}})
	p.untilAll("back", second)
	if err := s.file.SendPolicyCommand(context.Background(), s.client, store.Command{Judge: &store.Judge{}}); err == nil {
		t.Error("an operator judged")
	}
}

// Entries and snapshots of before there were policies stay readable, and a snapshot with both gives both back.
func TestOldEntriesStayReadable(t *testing.T) {
	clock := func() time.Duration { return 0 }
	m := newStateMachine(clock, 1)
	m.Apply(1, []byte(`{}`))
	old, err := m.Snapshot()
	if err != nil || old[0] == policyEntryMarker {
		t.Fatal(err, "a fleet without policies has another form")
	}
	m.Apply(2, append([]byte{policyEntryMarker}, []byte(fmt.Sprintf(`{"charter":{"text":%q}}`, charterText("x.org")))...))
	if m.policies.Empty() {
		t.Fatal("the charter was not taken in")
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
	if err := newStateMachine(clock, 1).Restore(append([]byte{policyEntryMarker}, 'x')); api.RemoteErrorOf(err).Help == "" {
		t.Error(err)
	}
}

// That a roll-out is through is committed before all are told: a leader that dies in between leaves one behind that can still end it.
func TestTheEndIsCommittedBeforeItIsTold(t *testing.T) {
	set := rollout.DefaultSettings()
	set.StepDuration, set.SilenceTimeout, set.MinRequests = 100*time.Millisecond, 50*time.Millisecond, 100
	run := func(early bool) (ended bool) {
		book := store.New(1 << 32)
		for _, c := range []store.Command{{Charter: &store.Charter{Text: charterText("x.org")}}, offerOf("alpha", 1, "/a")} {
			if err := book.Apply(c); err != nil {
				t.Fatal(err)
			}
		}
		has, now, number := map[string]rollout.Version{}, time.Duration(0), uint64(0)
		// lead has one leader go on until its rule is through, and two rounds more, in which the log doesn't answer.
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
				st := book.Standing()
				r.syncWithLog(now, set, st)
				for i := range 20 {
					name := fmt.Sprint("p", i)
					number++
					had := has[name]
					if had.Epoch == 0 {
						had = baseVersion(st)
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
			t.Fatal("the first leader did not come to the end")
		}
		return lead()
	}
	if !run(false) {
		t.Error("the second leader never ends the roll-out")
	}
	if run(true) {
		t.Error("not convicted without the guard")
	}
}

// A leader that has just begun does not take the first proxy that reports for the whole fleet.
func TestTheFirstToReportIsNotTheFleet(t *testing.T) {
	set := rollout.DefaultSettings()
	set.SilenceTimeout = time.Second
	for _, hasty := range []bool{false, true} {
		r := &rolloutDriver{startBeforeQuorum: hasty, proxies: map[string]*proxyState{}}
		st := store.Standing{Base: rollout.Version{Generation: 1, Epoch: 1, Hash: "a"}, Next: rollout.Version{Generation: 1, Epoch: 2, Hash: "b"}}
		done := false
		for i := range 20 { // one more each 100 ms
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
			t.Errorf("without the guard: %v; all were to have it at once: %v", hasty, done)
		}
	}
}

// BenchmarkReport is one report at the leader during a roll-out, of fleets that report once a second each; time goes on with them.
func BenchmarkReport(b *testing.B) {
	for _, n := range []int{30, 300, 1000, 4700, 9400} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			set, r, number := rollout.DefaultSettings(), &rolloutDriver{}, uint64(0)
			st := store.Standing{Base: rollout.Version{Generation: 1, Epoch: 1, Hash: "a"}, Next: rollout.Version{Generation: 1, Epoch: 2, Hash: "b"}}
			var names []string
			for i := range n {
				names = append(names, fmt.Sprint("p", i))
			}
			b.ReportAllocs()
			for b.Loop() {
				number++
				in := api.PolicyReport{Proxy: names[number%uint64(n)], Sequence: number, Current: st.Base, Good: 100}
				if _, err := r.report(time.Duration(number)*time.Second/time.Duration(n), set, st, in); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

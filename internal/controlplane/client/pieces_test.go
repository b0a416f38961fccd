package client

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"lapisspread/internal/controlplane/api"
	"lapisspread/internal/operatorerror"
	"lapisspread/internal/policy/distribution"
	"lapisspread/internal/policy/merkle"
	"lapisspread/internal/policy/namespace"
	"lapisspread/internal/policy/rollout"
)

// routes is a policy of so many routes of one team, each with a path.
func routes(n int, number uint64, path func(i int) string) *namespace.Policy {
	weight := 1.0
	p := &namespace.Policy{Form: 1, Services: []namespace.PolicyService{{Service: namespace.Service{Name: "s"},
		From: []namespace.Source{{Namespace: "a", Number: number, Rule: "service s"}}}}}
	for i := range n {
		name := fmt.Sprintf("r%05d", i)
		p.Routes = append(p.Routes, namespace.PolicyRoute{
			Route: namespace.Route{Name: "a/" + name, Match: namespace.Match{Host: "x.org", PathPrefix: path(i)}, To: []namespace.Target{{Service: "s", Weight: &weight}}},
			From:  namespace.Source{Namespace: "a", Number: number, Rule: "route " + name}})
	}
	return p
}

// version is a policy of n routes, of which one changes with each version.
func version(n int, v uint64) *namespace.Policy {
	return routes(n, v, func(i int) string {
		if uint64(i) >= v-1 {
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

// testServer stands for the stewards, without a network: it tells and gives what its shelf has.
type testServer struct {
	t     testing.TB
	begun time.Time
	shelf *distribution.Distributor
	delay func(path string, bytes int) time.Duration // of an answer; nil is none
	bend  func(r *http.Request, reply any)           // changes an answer on its way

	mu      sync.Mutex
	down    bool
	older   bool // it knows whole texts alone
	offer   rollout.Version
	text    []byte
	trees   map[string]bool // roots that were ever offered
	reports []time.Time
	bytes   int // of answers
}

func newTestServer(t testing.TB) *testServer {
	return &testServer{t: t, begun: time.Now(), shelf: distribution.New(distribution.DefaultSettings()), trees: map[string]bool{}}
}

// offers has all shall have a policy from now on.
func (h *testServer) offers(order, epoch uint64, p *namespace.Policy) rollout.Version {
	h.t.Helper()
	tree := treeOf(h.t, p)
	h.has().Retain([]*merkle.Tree{tree})
	h.mu.Lock()
	defer h.mu.Unlock()
	h.offer = rollout.Version{Generation: order, Epoch: epoch, Hash: tree.Root().String()}
	if h.older {
		h.text = p.Encode()
		h.offer.Hash = p.Hash()
	}
	h.trees[h.offer.Hash] = true
	return h.offer
}

func (h *testServer) forget() {
	h.set(func() { h.shelf = distribution.New(distribution.DefaultSettings()) })
}

func (h *testServer) has() *distribution.Distributor {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.shelf
}

func (h *testServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var reply any
	switch r.URL.Path {
	case api.PathPolicyReport:
		var in api.PolicyReport
		if err := api.DecodeBody(r.Body, &in); err != nil || !in.AcceptsChunks {
			h.t.Errorf("a report that does not take pieces: %v", err)
		}
		h.mu.Lock()
		h.reports = append(h.reports, time.Now())
		out := api.PolicyReply{Fleet: "north", Target: h.offer}
		wants := out.Target.NewerThan(in.Current) && out.Target != in.Rejected
		if h.older && wants {
			out.Text = h.text
		}
		out.Chunked = !h.older
		h.mu.Unlock()
		if out.Chunked && wants {
			most := in.MaxChunkBytes
			if most == 0 {
				most = api.MaxChunkBytes
			}
			out.Chunks = h.has().ChunksBetween(in.Current.Hash, out.Target.Hash, most)
		}
		reply = &out
	case api.PathPolicyChunks:
		var in api.ChunksRequest
		if err := api.DecodeBody(r.Body, &in); err != nil || len(in.Names) > api.MaxChunkNames {
			h.t.Errorf("a request for %d pieces: %v", len(in.Names), err)
		}
		var out api.ChunksReply
		var later time.Duration
		out.Chunks, out.Missing, later = h.has().ChunksByName(time.Since(h.begun), in.Proxy, in.Root, in.Names)
		out.RetryAfterNanos = int64(later)
		reply = &out
	}
	if h.bend != nil {
		h.bend(r, reply)
	}
	api.WriteReply(w, http.StatusOK, reply)
}

// RoundTrip has a call answered in the caller's goroutine, after the delay.
func (h *testServer) RoundTrip(r *http.Request) (*http.Response, error) {
	h.mu.Lock()
	down := h.down
	h.mu.Unlock()
	if down {
		return nil, errors.New("cut off")
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	h.mu.Lock()
	h.bytes += w.Body.Len()
	h.mu.Unlock()
	if h.delay != nil {
		select {
		case <-time.After(h.delay(r.URL.Path, w.Body.Len())):
		case <-r.Context().Done():
			return nil, r.Context().Err()
		}
	}
	return w.Result(), nil
}

func (h *testServer) set(f func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f()
}

// testProxy is a proxy that follows a hub, and a judge of what it takes up: only what was offered, whole, and nothing older.
type testProxy struct {
	*PolicyClient
	h         *testServer
	installed int
	diffs     int
	last      rollout.Version
	first     rollout.Version // that was kept
	crimes    []string
	cancel    func()
	done      chan struct{}
}

func (h *testServer) edge(state string, change func(*PolicyClient)) *testProxy {
	e := &testProxy{h: h, done: make(chan struct{})}
	f := file(state, "s1.test:1", "s2.test:1", "s3.test:1")
	e.PolicyClient = NewPolicyClient(Config{File: f, ProxyName: "p1", Transport: h, Clock: func() time.Duration { return time.Since(h.begun) }}, e.judge)
	if change != nil {
		change(e.PolicyClient)
	}
	e.Restore()
	e.first = e.Current().Offer
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	go func() { defer close(e.done); e.Run(ctx) }()
	return e
}

func (e *testProxy) judge(t *InstalledPolicy) error {
	say := func(wrong bool, format string, args ...any) {
		if wrong {
			e.crimes = append(e.crimes, fmt.Sprintf(format, args...))
		}
	}
	e.installed++
	if t.Diff != nil {
		e.diffs++
	}
	again, err := t.Policy.Tree()
	root := ""
	if err == nil {
		root = again.Root().String()
	}
	text := t.Policy.Hash()
	e.h.mu.Lock()
	known := e.h.trees[t.Offer.Hash]
	e.h.mu.Unlock()
	say(!known, "%+v was never offered", t.Offer)
	say(root != t.Offer.Hash && text != t.Offer.Hash, "%+v was taken up with the content %.12s", t.Offer, root)
	say(!t.Offer.NewerThan(e.last), "%+v was taken up after %+v", t.Offer, e.last)
	e.last = t.Offer
	return nil
}

// end ends the process; what it has kept stays.
func (e *testProxy) end() {
	e.cancel()
	<-e.done
}

func (e *testProxy) fair(t *testing.T) {
	t.Helper()
	for _, c := range e.crimes {
		t.Error(c)
	}
}

// has waits for what must come at last.
func (e *testProxy) has(t *testing.T, what string, o rollout.Version) {
	t.Helper()
	for end := time.Now().Add(10 * time.Minute); e.Current().Offer != o; time.Sleep(100 * time.Millisecond) {
		if time.Now().After(end) {
			e.end()
			t.Fatalf("in vain: %s: %+v", what, e.PolicyStatus())
		}
	}
}

// A change costs what changed, also to one that was away for many, or whose kept copy is of a root that nobody has any more.
func TestOnlyWhatChangedIsFetched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, dir := newTestServer(t), t.TempDir()
		e := h.edge(dir, nil)
		v := uint64(1)
		offer := func() rollout.Version { v++; return h.offers(1, v, version(1000, v)) }
		e.has(t, "the first, whole", offer())
		whole := e.chunksAccepted.Load()
		for range 5 {
			before, sent := e.chunksAccepted.Load(), 0
			h.set(func() { sent = h.bytes })
			e.has(t, "a change", offer())
			if n := e.chunksAccepted.Load() - before; n == 0 || n > 8 {
				t.Errorf("a changed route took %d pieces; all are %d", n, whole)
			}
			h.set(func() { sent = h.bytes - sent })
			if sent > 16<<10 {
				t.Errorf("a changed route took %d bytes", sent)
			}
		}
		if e.diffs != 5 {
			t.Errorf("%d of 5 changes were made of what was there", e.diffs)
		}
		before := e.chunksAccepted.Load()
		h.set(func() { h.down = true })
		for range 20 {
			offer()
		}
		last := offer()
		h.set(func() { h.down = false })
		e.has(t, "the last of 21 changes", last)
		if n := e.chunksAccepted.Load() - before; n > whole/2 {
			t.Errorf("21 changes took %d pieces; all are %d", n, whole)
		}
		e.end()
		for range 3 {
			last = offer()
		}
		h.forget()
		last = offer()
		next := h.edge(dir, nil)
		if next.first.Epoch == 0 {
			t.Error("nothing was kept")
		}
		next.has(t, "what is offered now", last)
		if n := next.chunksAccepted.Load(); n > whole/4 || next.diffs != 1 {
			t.Errorf("what is kept of a root that nobody knows was no base: %d pieces; all are %d", n, whole)
		}
		next.end()
		e.fair(t)
		next.fair(t)
	})
}

// Pieces that are damaged on their way are refused and fetched again, and answers that are cut change nothing.
func TestADamagedPieceIsFetchedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newTestServer(t)
		rng := rand.New(rand.NewPCG(1, 2))
		h.bend = func(_ *http.Request, reply any) {
			var all *[][]byte
			switch r := reply.(type) {
			case *api.PolicyReply:
				all = &r.Chunks
			case *api.ChunksReply:
				all = &r.Chunks
			}
			if len(*all) == 0 || rng.IntN(2) == 0 {
				return
			}
			*all = slices.Clone(*all)
			at := rng.IntN(len(*all))
			switch rng.IntN(4) {
			case 0:
				(*all)[at] = bytes.Clone((*all)[at])
				(*all)[at][rng.IntN(len((*all)[at]))] ^= 1 << rng.IntN(8)
			case 1:
				(*all)[at] = (*all)[at][:len((*all)[at])-1]
			case 2:
				*all = (*all)[:at]
			case 3:
				(*all)[at] = make([]byte, merkle.MostPiece+1)
			}
		}
		e := h.edge(t.TempDir(), nil)
		e.has(t, "the first", h.offers(1, 1, version(300, 1)))
		for v := uint64(2); v < 12; v++ {
			e.has(t, "a change", h.offers(1, v, version(300, v)))
		}
		if e.PolicyStatus().ChunksRejected == 0 {
			t.Error("nothing was damaged: it proves nothing")
		}
		e.end()
		e.fair(t)
	})
}

// Over a link on which an answer takes longer than there is between two changes, what came for one serves the next, and reports go on.
func TestSlowLinks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newTestServer(t)
		h.delay = func(_ string, n int) time.Duration {
			return 300*time.Millisecond + time.Duration(n)*time.Second/(20<<10)
		} // 20 KB a second
		e := h.edge("", nil)
		v := uint64(1)
		end := time.Now().Add(2 * time.Minute)
		for ; time.Now().Before(end); v++ {
			h.offers(1, v, version(1000, v))
			time.Sleep(5 * time.Second)
		}
		if e.installed == 0 {
			t.Errorf("nothing got through while it changed: %d pieces", e.chunksAccepted.Load())
		}
		e.has(t, "the last", h.offers(1, v, version(1000, v)))
		e.end()
		e.fair(t)
		for i := 1; i < len(h.reports); i++ {
			if gap := h.reports[i].Sub(h.reports[i-1]); gap > rollout.DefaultSettings().SilenceTimeout {
				t.Errorf("no report for %v", gap)
			}
		}
	})
}

// One that is told to come back later does, not before, and goes on reporting.
func TestComesBackWhenTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newTestServer(t)
		until, early, told := map[string]time.Time{}, 0, 0
		h.bend = func(q *http.Request, reply any) {
			r, ok := reply.(*api.ChunksReply)
			if !ok || told >= 12 {
				return
			}
			if time.Now().Before(until[q.URL.Host]) {
				early++
			}
			told++
			*r = api.ChunksReply{RetryAfterNanos: int64(3 * time.Second)}
			until[q.URL.Host] = time.Now().Add(3 * time.Second)
		}
		e := h.edge("", nil)
		e.has(t, "the first", h.offers(1, 1, version(300, 1)))
		e.end()
		e.fair(t)
		if early > 0 || told < 12 {
			t.Errorf("it came back %d times too early, told %d times", early, told)
		}
		if n := len(h.reports); n < 8 {
			t.Errorf("%d reports meanwhile", n)
		}
	})
}

// What the stewards offer that is no policy, or that names itself wrong, is refused without being fetched again and again; the next is taken.
func TestWhatCantBeReadIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newTestServer(t)
		e := h.edge(t.TempDir(), nil)
		first := h.offers(1, 1, version(300, 1))
		e.has(t, "the first", first)
		bad, err := e.Current().Tree.With([]merkle.Item{{Key: "route a/r00001", Value: []byte("{}")}}, nil)
		if err != nil {
			t.Fatal(err)
		}
		h.has().Retain([]*merkle.Tree{bad})
		h.set(func() { h.offer = rollout.Version{Generation: 1, Epoch: 2, Hash: bad.Root().String()} })
		before := e.chunksAccepted.Load()
		time.Sleep(time.Minute)
		if e.Current().Offer != first {
			t.Fatalf("%+v was taken up", e.Current().Offer)
		}
		if n := e.chunksAccepted.Load() - before; n == 0 || n > 40 {
			t.Errorf("%d pieces came in a minute", n)
		}
		if r := e.PolicyStatus(); len(r.Faults) == 0 || r.Faults[0].Advice == "" {
			t.Errorf("nobody is told: %+v", r)
		}
		h.set(func() { h.offer = rollout.Version{Generation: 1, Epoch: 3, Hash: "no root"} })
		time.Sleep(10 * time.Second)
		e.has(t, "the next", h.offers(1, 4, version(300, 4)))
		e.end()
		e.fair(t)
	})
}

// A proxy takes whole texts from an older steward and pieces from a newer one, in whatever order they come to lead; a founding anew goes
// before all that is held.
func TestMixedStewards(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, dir := newTestServer(t), t.TempDir()
		e := h.edge(dir, nil)
		for v := uint64(1); v <= 8; v++ {
			h.set(func() { h.older = v%4 >= 2 })
			e.has(t, "a change", h.offers(1, v, version(200, v)))
		}
		h.set(func() { h.older = true })
		last := h.offers(1, 9, version(200, 9))
		e.has(t, "a text", last)
		e.end()
		next := h.edge(dir, nil)
		if next.first != last {
			t.Errorf("the next process begins with %+v", next.first)
		}
		h.set(func() { h.older = false })
		next.has(t, "of a founding anew", h.offers(1<<32, 1, version(200, 3)))
		next.has(t, "a change after", h.offers(1<<32, 2, version(200, 4)))
		next.end()
		e.fair(t)
		next.fair(t)
	})
}

// What a release before pieces has kept is taken up, and is the base of what comes.
func TestTheTextThatWasKeptIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, dir := newTestServer(t), t.TempDir()
		p := version(1000, 3)
		old := newPolicyStore(dir, "p1").textFile
		had := rollout.Version{Generation: 1, Epoch: 3, Hash: p.Hash()}
		if err := old.Save(textRecord{had, p.Encode()}); err != nil {
			t.Fatal(err)
		}
		h.trees[had.Hash] = true
		e := h.edge(dir, nil)
		if e.first != had {
			t.Fatalf("it begins with %+v", e.first)
		}
		e.has(t, "the next", h.offers(1, 4, version(1000, 4)))
		if n := e.chunksAccepted.Load(); n > 100 {
			t.Errorf("%d pieces: what was kept was no base", n)
		}
		e.end()
		e.fair(t)
		next := h.edge(dir, nil)
		if next.first.Epoch != 4 {
			t.Errorf("the next process begins with %+v", next.first)
		}
		next.end()
	})
}

// The journal costs what changed, in the mean; cut or damaged anywhere it gives what was held once, or pieces that need not be fetched again.
func TestWhatIsKept(t *testing.T) {
	h, dir := newTestServer(t), t.TempDir()
	k := newPolicyStore(dir, "p1")
	var last policyContent
	size, written := int64(0), int64(0)
	for v := uint64(1); v <= 400; v++ {
		p := version(400, v)
		tree := treeOf(t, p)
		last = policyContent{rollout.Version{Generation: 1, Epoch: v, Hash: tree.Root().String()}, tree.Root().String(), tree}
		h.trees[last.hash] = true
		if err := k.save(last); err != nil {
			t.Fatal(err)
		}
		now := k.journal.Size()
		if now > size {
			written += now - size
		} else {
			written += now
		}
		size = now
		if size > int64(2*tree.Size()+journalSlack+16<<10) {
			t.Fatalf("%d bytes for %d", size, tree.Size())
		}
	}
	if mean := written / 400; mean > int64(last.tree.Size()/10) {
		t.Errorf("%d bytes were written for each change, of %d", mean, last.tree.Size())
	}
	if err := k.save(last); err != nil || k.journal.Size() != size {
		t.Errorf("what is kept was written again: %v", err)
	}
	other := newPolicyStore(dir, "p1") // another process of this name, as at an upgrade
	if c, _, err := other.load(); err != nil || c.offer != last.offer {
		t.Fatal(c.offer, err)
	}
	next := last
	next.offer.Epoch++
	if err := other.save(next); err != nil {
		t.Fatal(err)
	}
	if err := k.save(policyContent{rollout.Version{Generation: 1, Epoch: 400, Hash: "x"}, "x", last.tree}); err != nil {
		t.Fatal(err)
	}
	if c, _, err := newPolicyStore(dir, "p1").load(); err != nil || c.offer != next.offer {
		t.Errorf("an older one took the place of a newer: %+v, %v", c.offer, err)
	}
	whole, err := os.ReadFile(k.journal.Path)
	if err != nil {
		t.Fatal(err)
	}
	rng := rand.New(rand.NewPCG(3, 4))
	for range 60 {
		text := bytes.Clone(whole)
		if rng.IntN(2) == 0 {
			text = text[:rng.IntN(len(text))]
		} else {
			text[rng.IntN(len(text))] ^= 1 << rng.IntN(8)
		}
		if err := os.WriteFile(k.journal.Path, text, 0o600); err != nil {
			t.Fatal(err)
		}
		c, loose, err := newPolicyStore(dir, "p1").load()
		if c.tree != nil && (c.tree.Root().String() != c.hash || !h.trees[c.hash]) {
			t.Fatalf("%+v came of damage", c.offer)
		}
		if c.tree == nil && err == nil {
			t.Error("there is nothing, and nobody is told")
		}
		if len(text) == len(whole) && c.tree == nil && bytes.Count(text[:64], []byte("\n")) > 0 && bytes.HasPrefix(text, []byte("lapisspread-pieces 1\n")) && len(loose) < 100 {
			t.Errorf("one flipped bit cost all but %d pieces", len(loose))
		}
	}
}

// countingAssembly takes whatever piece comes, and gives what there is before all is there: a receiver without its guards.
type countingAssembly struct {
	treeAssembly
	has *merkle.Tree
	n   int
}

func (a *countingAssembly) Tree() (*merkle.Tree, error) {
	if t, err := a.treeAssembly.Tree(); err == nil && a.n%2 == 0 {
		return t, nil
	}
	return a.has, nil
}

func (a *countingAssembly) Wants(most int) []merkle.Name {
	if a.n++; a.has != nil && a.n > 1 {
		return nil // half of it will do
	}
	return a.treeAssembly.Wants(most)
}

// Drawn runs: the offer changes, goes back, is founded anew; links are cut, slow, damage pieces and answer late; the process is killed and
// begins anew on what it has kept. Never is anything taken up that was not offered, and nothing old but by a higher order; at last it has
// the newest. Without the root's check, and without the order's, the judge convicts.
func TestDrawnRunsOfTheLink(t *testing.T) {
	run := func(seed uint64, out policyMutations, early bool) (crimes []string, got bool) {
		synctest.Test(t, func(t *testing.T) {
			h, dir := newTestServer(t), t.TempDir()
			rng, links := rand.New(rand.NewPCG(seed, 7)), rand.New(rand.NewPCG(seed, 8))
			var stale []api.PolicyReply
			calm := false
			h.delay = func(string, int) time.Duration {
				h.mu.Lock()
				defer h.mu.Unlock()
				if calm {
					return 0
				}
				return time.Duration(links.IntN(700)) * time.Millisecond
			}
			h.bend = func(_ *http.Request, reply any) {
				h.mu.Lock()
				defer h.mu.Unlock()
				if calm {
					return
				}
				switch r := reply.(type) {
				case *api.PolicyReply:
					stale = append(stale, *r)
					if links.IntN(4) == 0 {
						*r = stale[links.IntN(len(stale))] // late, or of a steward that was asleep
					}
					if links.IntN(3) == 0 {
						r.Chunks = r.Chunks[:links.IntN(len(r.Chunks)+1)]
					}
				case *api.ChunksReply:
					if n := len(r.Chunks); n > 0 && links.IntN(3) == 0 {
						r.Chunks = slices.Clone(r.Chunks)
						r.Chunks[links.IntN(n)] = []byte("damaged")
					}
				}
			}
			change := func(p *PolicyClient) {
				p.policyMutations = out
				if early {
					p.newAssembly = func(root merkle.Name, has *merkle.Tree) treeAssembly {
						return &countingAssembly{merkle.Assemble(root, has), has, 0}
					}
				}
			}
			order, epoch := uint64(1), uint64(1)
			e := h.edge(dir, change)
			offer := func() rollout.Version { return h.offers(order, epoch, version(40, 1+rng.Uint64N(30))) }
			offer()
			for range 60 {
				time.Sleep(time.Duration(rng.IntN(2500)) * time.Millisecond)
				switch rng.IntN(8) {
				case 0, 1, 2:
					epoch++
					offer()
				case 3:
					order, epoch = order+1, 1+rng.Uint64N(epoch)
					offer()
				case 4:
					h.set(func() { h.down = true })
				case 5:
					h.set(func() { h.down = false })
				case 6:
					h.forget()
					h.has().Retain([]*merkle.Tree{})
					epoch++
					offer()
				case 7:
					e.end()
					crimes = append(crimes, e.crimes...)
					last := e.last
					e = h.edge(dir, change)
					if out == (policyMutations{}) && !early && last != e.first {
						crimes = append(crimes, fmt.Sprintf("the next process begins with %+v, the one before had %+v", e.first, last))
					}
				}
			}
			h.set(func() { h.down, calm = false, true })
			epoch++
			last := offer()
			for end := time.Now().Add(time.Minute); e.Current().Offer != last && time.Now().Before(end); {
				time.Sleep(time.Second)
			}
			got = e.Current().Offer == last
			e.end()
			crimes = append(crimes, e.crimes...)
		})
		return crimes, got
	}
	root, order := 0, 0
	for seed := range uint64(12) {
		if crimes, got := run(seed, policyMutations{}, false); len(crimes) > 0 || !got {
			t.Errorf("seed %d: %v; it has the last: %v", seed, crimes, got)
		}
		if crimes, _ := run(seed, policyMutations{}, true); len(crimes) > 0 {
			t.Errorf("seed %d: content that is not whole got past the root's check: %v", seed, crimes)
		}
		if crimes, _ := run(seed, policyMutations{skipRootCheck: true}, true); len(crimes) > 0 {
			root++
		}
		if crimes, _ := run(seed, policyMutations{skipOrderCheck: true}, false); len(crimes) > 0 {
			order++
		}
	}
	if root == 0 || order == 0 {
		t.Errorf("not convicted: %d runs without the root's check, %d without the order's", root, order)
	}
}

// Errors on the way tell what can be done.
func TestErrorsOfTheWayHaveAdvice(t *testing.T) {
	for _, err := range []error{PolicyNotInstalledError{1, merkle.WrongPiece{}}, merkle.Malformed{}, merkle.Incomplete{}} {
		if operatorerror.Of(err) == "" || strings.TrimSpace(err.Error()) == "" {
			t.Errorf("%T", err)
		}
	}
}

// BenchmarkTakeUp is one changed route at a proxy: the pieces that came along are put together, taken up and kept. What the process then
// routes by is not in it.
func BenchmarkTakeUp(b *testing.B) {
	for _, n := range []int{1000, 4000, 13000, 26000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p := NewPolicyClient(Config{File: file(b.TempDir(), "127.0.0.1:1"), ProxyName: "p1"}, func(*InstalledPolicy) error { return nil })
			f := newFetcher(p)
			trees := []*merkle.Tree{treeOf(b, version(n, 2)), treeOf(b, version(n, 3))}
			var lacks [2][][]byte // of each, one who has the other
			for i := range 2 {
				for _, piece := range trees[i].Lacks(trees[1-i]) {
					lacks[i] = append(lacks[i], piece)
				}
			}
			epoch := uint64(1)
			offer := func(i int) rollout.Version {
				return rollout.Version{Generation: 1, Epoch: epoch, Hash: trees[i].Root().String()}
			}
			if err := p.installContent(policyContent{offer(0), trees[0].Root().String(), trees[0]}, yes); err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				epoch++
				i := int(epoch+1) % 2
				r := api.PolicyReply{Fleet: "north", Target: offer(i), Chunked: true, Chunks: lacks[i]}
				if err := p.handleOffer(b.Context(), f, r, yes); err != nil || p.Current().Offer != r.Target || p.Current().Diff == nil {
					b.Fatalf("%+v: %v", p.Current().Offer, err)
				}
			}
		})
	}
}

// BenchmarkRecall is a start on what the process before has kept.
func BenchmarkRecall(b *testing.B) {
	for _, n := range []int{1000, 13000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			dir, tree := b.TempDir(), treeOf(b, version(n, 2))
			if err := newPolicyStore(dir, "p1").save(policyContent{rollout.Version{Generation: 1, Epoch: 1, Hash: tree.Root().String()}, tree.Root().String(), tree}); err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				p := NewPolicyClient(Config{File: file(dir, "127.0.0.1:1"), ProxyName: "p1"}, func(*InstalledPolicy) error { return nil })
				if p.Restore(); p.Current().Offer.Epoch != 1 {
					b.Fatal("nothing was kept")
				}
			}
		})
	}
}

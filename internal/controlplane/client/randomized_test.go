package client

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"lapisspread/internal/controlplane/api"
	"lapisspread/internal/policy/merkle"
	"lapisspread/internal/policy/rollout"
)

// incompleteAssembly is a faulty treeAssembly. If it has a base, it reports from the second call of Missing on that no
// chunks are missing, and returns the base as the complete tree. The client's check of the tree's root must reject it.
type incompleteAssembly struct {
	treeAssembly
	base  *merkle.Tree
	calls int // calls of Missing
}

func (a *incompleteAssembly) Tree() (*merkle.Tree, error) {
	if tree, err := a.treeAssembly.Tree(); err == nil && a.calls%2 == 0 {
		return tree, nil
	}
	return a.base, nil
}

func (a *incompleteAssembly) Missing(limit int) []merkle.Hash {
	a.calls++
	if a.base != nil && a.calls > 1 {
		return nil
	}
	return a.treeAssembly.Missing(limit)
}

// randomizedRun is a run whose events follow from one seed. The offer changes, returns to an earlier policy or starts a
// new generation. Links fail, are slow, damage chunks and deliver replies late. The proxy is restarted from its state
// directory.
type randomizedRun struct {
	server     *testServer
	stateDir   string
	events     *rand.Rand        // draws the events
	links      *rand.Rand        // draws the link faults; guarded by the server's mutex
	linksOK    bool              // no link faults any more; guarded by the server's mutex
	sent       []api.PolicyReply // replies to reports so far, which may be delivered again
	mutations  policyMutations
	incomplete bool   // the proxy uses incompleteAssembly
	generation uint64 // of the current offer
	epoch      uint64 // of the current offer
	proxy      *testProxy
	violations []string
}

// configure sets the mutations of a proxy before it starts.
func (r *randomizedRun) configure(c *PolicyClient) {
	c.mutations = r.mutations
	if r.incomplete {
		c.newAssembly = func(root merkle.Hash, base *merkle.Tree) treeAssembly {
			return &incompleteAssembly{treeAssembly: merkle.NewAssembly(root, base), base: base}
		}
	}
}

// delay returns a random time below 700 ms, or 0 once links have no faults any more.
func (r *randomizedRun) delay(string, int) time.Duration {
	r.server.mu.Lock()
	defer r.server.mu.Unlock()
	if r.linksOK {
		return 0
	}
	return time.Duration(r.links.IntN(700)) * time.Millisecond
}

// alterReply replaces some replies by earlier ones, and truncates or damages the chunks of others.
func (r *randomizedRun) alterReply(_ *http.Request, reply any) {
	r.server.mu.Lock()
	defer r.server.mu.Unlock()
	if r.linksOK {
		return
	}
	switch reply := reply.(type) {
	case *api.PolicyReply:
		r.sent = append(r.sent, *reply)
		if r.links.IntN(4) == 0 {
			*reply = r.sent[r.links.IntN(len(r.sent))] // as after a delay on the link or a suspension of the server
		}
		if r.links.IntN(3) == 0 {
			reply.Chunks = reply.Chunks[:r.links.IntN(len(reply.Chunks)+1)]
		}
	case *api.ChunksReply:
		if n := len(reply.Chunks); n > 0 && r.links.IntN(3) == 0 {
			reply.Chunks = slices.Clone(reply.Chunks)
			reply.Chunks[r.links.IntN(n)] = []byte("damaged")
		}
	}
}

// offerNext makes the server offer a random policy as the run's current generation and epoch.
func (r *randomizedRun) offerNext() rollout.Version {
	return r.server.offerPolicy(r.generation, r.epoch, policyVersion(40, 1+r.events.Uint64N(30)))
}

// step waits for a random time below 2.5 s and then runs a random event.
func (r *randomizedRun) step() {
	time.Sleep(time.Duration(r.events.IntN(2500)) * time.Millisecond)
	switch r.events.IntN(8) {
	case 0, 1, 2:
		r.epoch++
		r.offerNext()
	case 3:
		r.generation++
		r.epoch = 1 + r.events.Uint64N(r.epoch)
		r.offerNext()
	case 4:
		r.server.withLock(func() { r.server.down = true })
	case 5:
		r.server.withLock(func() { r.server.down = false })
	case 6:
		r.server.forgetTrees()
		r.server.currentDistributor().Retain([]*merkle.Tree{})
		r.epoch++
		r.offerNext()
	case 7:
		r.restart()
	}
}

// restart stops the proxy and starts another one on the same state directory. Without mutations it must restore the
// version that the stopped proxy had installed last.
func (r *randomizedRun) restart() {
	r.endProxy()
	last := r.proxy.last
	r.proxy = r.server.newProxy(r.stateDir, r.configure)
	guarded := r.mutations == (policyMutations{}) && !r.incomplete
	if guarded && last != r.proxy.restored {
		r.violations = append(r.violations,
			fmt.Sprintf("proxy restored version %+v after a restart, want the last installed %+v",
				r.proxy.restored, last))
	}
}

// endProxy stops the proxy and collects its violations.
func (r *randomizedRun) endProxy() {
	r.proxy.stop()
	r.violations = append(r.violations, r.proxy.violations...)
}

// run runs 60 random events and then ends all faults. It records violations, and reports whether the proxy installs the
// last version within a minute.
func (r *randomizedRun) run() (hasLast bool) {
	r.server.delay = r.delay
	r.server.alter = r.alterReply
	r.proxy = r.server.newProxy(r.stateDir, r.configure)
	r.offerNext()
	for range 60 {
		r.step()
	}
	r.server.withLock(func() {
		r.server.down = false
		r.linksOK = true
	})
	r.epoch++
	last := r.offerNext()
	for end := time.Now().Add(time.Minute); r.proxy.Current().Offer != last && time.Now().Before(end); {
		time.Sleep(time.Second)
	}
	hasLast = r.proxy.Current().Offer == last
	r.endProxy()
	return hasLast
}

// runRandomized runs a randomizedRun of a seed in a synctest bubble. incomplete makes the proxy use incompleteAssembly.
func runRandomized(t *testing.T, seed uint64, m policyMutations, incomplete bool) (violations []string, hasLast bool) {
	synctest.Test(t, func(t *testing.T) {
		r := &randomizedRun{
			server:     newTestServer(t),
			stateDir:   t.TempDir(),
			events:     rand.New(rand.NewPCG(seed, 7)),
			links:      rand.New(rand.NewPCG(seed, 8)),
			mutations:  m,
			incomplete: incomplete,
			generation: 1,
			epoch:      1,
		}
		hasLast = r.run()
		violations = r.violations
	})
	return violations, hasLast
}

// A proxy installs only offered versions, never a version older than its own, and in the end the newest one. Runs
// without the check of the tree's root must show violations, otherwise this test would not detect a missing check. For
// the check of the versions' order see TestOutdatedReplyIsRejected.
func TestRandomizedRuns(t *testing.T) {
	withoutRootCheck := 0
	for seed := range uint64(12) {
		if violations, hasLast := runRandomized(t, seed, policyMutations{}, false); len(violations) > 0 || !hasLast {
			t.Errorf("seed %d: violations %v, last version installed: %v; want none and true",
				seed, violations, hasLast)
		}
		if violations, _ := runRandomized(t, seed, policyMutations{}, true); len(violations) > 0 {
			t.Errorf("seed %d with incomplete trees: violations %v, want none: the root check rejects these trees",
				seed, violations)
		}
		if violations, _ := runRandomized(t, seed, policyMutations{skipRootCheck: true}, true); len(violations) > 0 {
			withoutRootCheck++
		}
	}
	if withoutRootCheck == 0 {
		t.Error("no run without the root check has violations, want at least 1")
	}
}

// runOutdatedReply delivers replies with a first version for a minute after a second version is installed, and returns
// the violations. The first version's content is complete: sent as text, or as chunks that the server still has.
func runOutdatedReply(t *testing.T, m policyMutations, textOnly bool) (violations []string) {
	synctest.Test(t, func(t *testing.T) {
		server := newTestServer(t)
		server.textOnly = textOnly
		outdated := (*api.PolicyReply)(nil) // replaces all replies to reports once it is set
		server.alter = func(_ *http.Request, reply any) {
			server.mu.Lock()
			defer server.mu.Unlock()
			if r, ok := reply.(*api.PolicyReply); ok && outdated != nil {
				*r = *outdated
			}
		}
		firstPolicy, secondPolicy := policyVersion(3, 1), policyVersion(3, 2)
		first := server.offerPolicy(1, 1, firstPolicy)
		text := server.text
		proxy := server.newProxy(t.TempDir(), func(c *PolicyClient) { c.mutations = m })
		proxy.awaitOffer(t, "the first version", first)
		proxy.awaitOffer(t, "the second version", server.offerPolicy(1, 2, secondPolicy))
		server.currentDistributor().Retain([]*merkle.Tree{buildTree(t, firstPolicy), buildTree(t, secondPolicy)})
		server.withLock(func() {
			outdated = &api.PolicyReply{Fleet: "north", Target: first, Chunked: !textOnly, Text: text}
		})
		time.Sleep(time.Minute)
		proxy.stop()
		violations = proxy.violations
	})
	return violations
}

// A reply with an older version is not installed over a newer one. Without the check of the versions' order it must be,
// otherwise this test would not detect that the check is missing.
func TestOutdatedReplyIsRejected(t *testing.T) {
	for _, textOnly := range []bool{false, true} {
		if violations := runOutdatedReply(t, policyMutations{}, textOnly); len(violations) > 0 {
			t.Errorf("policies as text %v: violations %v, want none", textOnly, violations)
		}
		if violations := runOutdatedReply(t, policyMutations{skipOrderCheck: true}, textOnly); len(violations) == 0 {
			t.Errorf("policies as text %v: no violations without the order check, want at least 1", textOnly)
		}
	}
}

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

// incompleteAssembly gives the base as the tree before all chunks are there: an assembly without its guards.
type incompleteAssembly struct {
	treeAssembly
	base  *merkle.Tree
	calls int // of Wants
}

func (a *incompleteAssembly) Tree() (*merkle.Tree, error) {
	if tree, err := a.treeAssembly.Tree(); err == nil && a.calls%2 == 0 {
		return tree, nil
	}
	return a.base, nil
}

func (a *incompleteAssembly) Missing(most int) []merkle.Hash {
	a.calls++
	if a.base != nil && a.calls > 1 {
		return nil
	}
	return a.treeAssembly.Missing(most)
}

// randomizedRun follows from one seed: the offer changes, goes back and comes of a new bootstrap; links are cut,
// slow, damage chunks and deliver replies late; the process is killed and begins anew on what it has kept.
type randomizedRun struct {
	server     *testServer
	stateDir   string
	events     *rand.Rand
	links      *rand.Rand
	calm       bool // no faults of links; guarded by the server's mutex
	sent       []api.PolicyReply
	mutations  policyMutations
	incomplete bool // with an incompleteAssembly
	generation uint64
	epoch      uint64
	proxy      *testProxy
	violations []string
}

// change alters a proxy before it starts.
func (r *randomizedRun) change(c *PolicyClient) {
	c.mutations = r.mutations
	if r.incomplete {
		c.newAssembly = func(root merkle.Hash, base *merkle.Tree) treeAssembly {
			return &incompleteAssembly{treeAssembly: merkle.NewAssembly(root, base), base: base}
		}
	}
}

func (r *randomizedRun) delay(string, int) time.Duration {
	r.server.mu.Lock()
	defer r.server.mu.Unlock()
	if r.calm {
		return 0
	}
	return time.Duration(r.links.IntN(700)) * time.Millisecond
}

// alterReply has some replies be late, cut or damaged.
func (r *randomizedRun) alterReply(_ *http.Request, reply any) {
	r.server.mu.Lock()
	defer r.server.mu.Unlock()
	if r.calm {
		return
	}
	switch reply := reply.(type) {
	case *api.PolicyReply:
		r.sent = append(r.sent, *reply)
		if r.links.IntN(4) == 0 {
			*reply = r.sent[r.links.IntN(len(r.sent))] // late, or of a server that was stopped
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

func (r *randomizedRun) offerNext() rollout.Version {
	return r.server.offerPolicy(r.generation, r.epoch, policyVersion(40, 1+r.events.Uint64N(30)))
}

// step draws one event.
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
		r.server.locked(func() { r.server.down = true })
	case 5:
		r.server.locked(func() { r.server.down = false })
	case 6:
		r.server.forgetTrees()
		r.server.currentDistributor().Retain([]*merkle.Tree{})
		r.epoch++
		r.offerNext()
	case 7:
		r.restart()
	}
}

// restart ends the process. The next one must begin with what it had.
func (r *randomizedRun) restart() {
	r.endProxy()
	last := r.proxy.last
	r.proxy = r.server.newProxy(r.stateDir, r.change)
	guarded := r.mutations == (policyMutations{}) && !r.incomplete
	if guarded && last != r.proxy.restored {
		r.violations = append(r.violations,
			fmt.Sprintf("the next process begins with %+v, the one before had %+v", r.proxy.restored, last))
	}
}

func (r *randomizedRun) endProxy() {
	r.proxy.stop()
	r.violations = append(r.violations, r.proxy.violations...)
}

// run returns the violations, and whether the proxy has the last version a minute after all faults have ended.
func (r *randomizedRun) run() (hasLast bool) {
	r.server.delay = r.delay
	r.server.alter = r.alterReply
	r.proxy = r.server.newProxy(r.stateDir, r.change)
	r.offerNext()
	for range 60 {
		r.step()
	}
	r.server.locked(func() {
		r.server.down = false
		r.calm = true
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

// Nothing is installed that was not offered, and nothing older but of a higher generation; at last the proxy has
// the newest. Without the check of the root, and without that of the order, there are violations.
func TestRandomizedRuns(t *testing.T) {
	withoutRootCheck, withoutOrderCheck := 0, 0
	for seed := range uint64(12) {
		if violations, hasLast := runRandomized(t, seed, policyMutations{}, false); len(violations) > 0 || !hasLast {
			t.Errorf("seed %d: %v; it has the last: %v", seed, violations, hasLast)
		}
		if violations, _ := runRandomized(t, seed, policyMutations{}, true); len(violations) > 0 {
			t.Errorf("seed %d: incomplete content got past the check of the root: %v", seed, violations)
		}
		if violations, _ := runRandomized(t, seed, policyMutations{skipRootCheck: true}, true); len(violations) > 0 {
			withoutRootCheck++
		}
		if violations, _ := runRandomized(t, seed, policyMutations{skipOrderCheck: true}, false); len(violations) > 0 {
			withoutOrderCheck++
		}
	}
	if withoutRootCheck == 0 || withoutOrderCheck == 0 {
		t.Errorf("violations in %d runs without the root's check, and in %d without the order's",
			withoutRootCheck, withoutOrderCheck)
	}
}

package client

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"lapisspread/internal/controlplane/api"
	"lapisspread/internal/policy/merkle"
	"lapisspread/internal/policy/namespace"
	"lapisspread/internal/policy/rollout"
	"lapisspread/internal/supervisor"
)

const (
	minReportInterval = 50 * time.Millisecond // between two reports
	maxReportInterval = time.Second
	reportTimeout     = 2 * time.Second // for one call

	unreadableRetryInterval = 30 * time.Second // until content that can't be read is fetched again
)

// InstalledPolicy is a policy that was taken up whole. It never changes but for its counts.
type InstalledPolicy struct {
	Offer  rollout.Version
	Policy *namespace.Policy // nil of none
	Epoch  string            // as attempts carry it; empty of none
	Tree   *merkle.Tree      // its content; nil of none

	Base rollout.Version // that it was made of by Diff
	Diff *namespace.Diff // what is not as in Before; nil where it was not made of it

	good, bad atomic.Int64
}

// CountRequest counts a request that was decided under it. Of none it counts too: the stewards compare.
func (t *InstalledPolicy) CountRequest(good bool) {
	switch {
	case t == nil:
	case good:
		t.good.Add(1)
	default:
		t.bad.Add(1)
	}
}

// PolicyClient is a proxy's side of the policy: one more duty beside the grants', watched in the same way. It reports to the stewards
// and takes up what they offer, whole or not at all.
type PolicyClient struct {
	*QuotaClient // of no budgets: it watches the duty
	install      func(*InstalledPolicy) error
	store        *policyStore // nil without a folder

	current          atomic.Pointer[InstalledPolicy]
	installing       sync.Mutex // a duty that is stuck in there holds up the next one, and no request
	holder           *rollout.CurrentVersion
	lastReportNumber atomic.Uint64
	rejected         atomic.Pointer[rejectedPolicy]
	cache            chunkCache
	chunksAccepted   atomic.Int64 // pieces that were taken
	chunksRejected   atomic.Int64 // pieces that were not what they should be
	newAssembly      func(root merkle.Name, has *merkle.Tree) treeAssembly
	policyMutations  policyMutations
}

// policyMutations are those taken out, to see that the tests convict.
type policyMutations struct {
	skipRootCheck  bool // content is taken whatever it comes to
	skipOrderCheck bool // and whatever is held
}

// rejectedPolicy is a policy that came and can't be taken up yet: it need not come again. It is tried again by itself.
type rejectedPolicy struct {
	policyContent               // without a tree it can't be read at all
	reason        error         // of one without a tree
	retryAt       time.Duration // for which one without a tree is not fetched again
}

// NewPolicyClient makes one. Install is handed each policy that is to be taken up, and has the process decide by it, or changes nothing
// and says why.
func NewPolicyClient(set Config, install func(*InstalledPolicy) error) *PolicyClient {
	file := *set.File
	dir := file.StateDir
	file.StateDir, file.Quotas = "", nil
	set.File = &file
	p := &PolicyClient{QuotaClient: NewQuotaClient(set), install: install, holder: rollout.NewCurrentVersion(rollout.Version{}),
		newAssembly: func(root merkle.Name, has *merkle.Tree) treeAssembly { return merkle.Assemble(root, has) }}
	p.lastReportNumber.Store(uint64(time.Now().UnixNano())) // rises over restarts too
	p.current.Store(&InstalledPolicy{})
	if dir != "" {
		_ = os.MkdirAll(dir, 0o700) // if it can't be, keeping says so
		p.store = newPolicyStore(dir, set.ProxyName)
	}
	p.worker.Work = p.runReports
	return p
}

// Current is what requests are decided under.
func (p *PolicyClient) Current() *InstalledPolicy { return p.current.Load() }

// Restore takes up what the process before has kept. Without it the stewards tell it anew, and what could be read is not fetched again.
func (p *PolicyClient) Restore() {
	if p.store == nil {
		return
	}
	c, loose, err := p.store.load()
	for _, piece := range loose {
		p.cache.put(piece)
	}
	if c.tree != nil {
		if wrong := p.installContent(c, func() bool { return true }); wrong != nil {
			err = wrong
			for _, piece := range c.tree.Pieces() {
				p.cache.put(piece)
			}
		}
	}
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		p.reportFault(PolicyNotInstalledError{c.offer.Epoch, err})
	}
}

// installContent takes a policy up, if may says so yet.
func (p *PolicyClient) installContent(c policyContent, may func() bool) error {
	p.installing.Lock()
	defer p.installing.Unlock()
	if !may() {
		return nil
	}
	before := p.holder.Version()
	if c.offer == before {
		return nil
	}
	next := rollout.NewCurrentVersion(before) // so that one that can't be installed is not had
	if p.policyMutations.skipRootCheck {
		c.hash = c.offer.Hash
	}
	if p.policyMutations.skipOrderCheck {
		next = rollout.NewCurrentVersion(rollout.Version{})
	}
	if err := next.Adopt(c.offer, c.hash); err != nil {
		return err
	}
	was := p.current.Load()
	t := &InstalledPolicy{Offer: c.offer, Epoch: strconv.FormatUint(c.offer.Epoch, 10), Tree: c.tree}
	if was.Policy != nil {
		if policy, diff, err := was.Policy.With(merkle.Changes(was.Tree, c.tree)); err == nil {
			t.Policy, t.Diff, t.Base = policy, diff, was.Offer
		}
	}
	if t.Policy == nil { // there is none before, or it can't be made of it: it is read anew, whole
		policy, err := namespace.FromTree(c.tree)
		if err != nil {
			return unreadableError{err}
		}
		t.Policy = policy
	}
	if err := p.install(t); err != nil {
		return err
	}
	p.holder = next
	p.current.Store(t)
	p.config.Logger.Info("a policy was taken up", "epoch", c.offer.Epoch, "hash", c.offer.Hash)
	return nil
}

// unreadableError is content that is whole and no policy.
type unreadableError struct{ error }

func (e unreadableError) Unwrap() error { return e.error }

func (p *PolicyClient) runReports(ctx context.Context, generation uint64) {
	current := func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return ctx.Err() == nil && p.generation == generation
	}
	every := min(maxReportInterval, max(minReportInterval, p.config.File.RolloutSettings().SilenceTimeout/5))
	stewards := p.config.File.Servers
	at := rand.IntN(len(stewards))
	address := stewards[at].Address
	f := newFetcher(p)
	var waits *api.PolicyReport // it goes again until it is answered: twice it counts once
	for ctx.Err() == nil {
		p.worker.Heartbeat()
		if waits == nil {
			t := p.current.Load()
			waits = &api.PolicyReport{Fleet: p.config.File.Fleet, Proxy: p.config.ProxyName, Sequence: p.lastReportNumber.Add(1), Current: t.Offer, Good: t.good.Swap(0), Bad: t.bad.Swap(0), AcceptsChunks: true}
			if not := p.rejected.Load(); not != nil {
				waits.Rejected = not.offer
			}
		}
		waits.MaxChunkBytes = f.reportBytes
		begun := p.clock()
		var reply api.PolicyReply
		p.counters.requests.Add(1)
		inner, cancel := context.WithTimeout(ctx, reportTimeout)
		err := api.Call(inner, p.httpClient, address, api.PathPolicyReport, waits, &reply)
		slow := inner.Err() != nil
		cancel()
		var problem api.RemoteError
		switch {
		case ctx.Err() != nil:
			return
		case err == nil:
			p.counters.answered.Add(1)
			p.mu.Lock()
			p.server = address
			p.mu.Unlock()
			waits = nil
			f.adjustReportBytes(false)
			if err := p.handleOffer(ctx, f, reply, current); err != nil {
				p.reportFault(PolicyNotInstalledError{reply.Target.Epoch, err})
			}
		case errors.As(err, &problem) && problem.LeaderAddress != "" && problem.LeaderAddress != address:
			p.counters.failed.Add(1)
			address = problem.LeaderAddress
		default:
			p.counters.failed.Add(1)
			p.reportFault(err)
			f.adjustReportBytes(slow)
			at++
			address = stewards[at%len(stewards)].Address
		}
		// A fleet must not report in step. Over a slow link the time of the call is part of it, else the proxy would look silent; and while
		// it fetches a report is due between two turns, no more.
		rest := time.Duration(float64(every)*(.8+.4*rand.Float64())) - (p.clock() - begun)
		if err == nil && f.canFetch() {
			rest = 0
		}
		supervisor.Sleep(ctx, max(rest, every/8))
	}
}

// handleOffer takes up what a steward offers, once all of it is there.
func (p *PolicyClient) handleOffer(ctx context.Context, f *fetcher, r api.PolicyReply, current func() bool) error {
	if r.Fleet != p.config.File.Fleet {
		return fmt.Errorf("a steward answers for fleet %q", r.Fleet)
	}
	if !r.Target.NewerThan(p.current.Load().Offer) && !p.policyMutations.skipOrderCheck {
		return nil // a steward that has just begun to lead offers the one before
	}
	var c policyContent
	var err error
	if not := p.rejected.Load(); not != nil && not.offer == r.Target && (not.tree != nil || p.clock() < not.retryAt) {
		if not.tree == nil {
			return not.reason
		}
		c = not.policyContent
	} else if r.Chunked {
		c.offer = r.Target
		c.tree, err = f.fetch(ctx, r)
		if c.tree != nil {
			c.hash = c.tree.Root().String()
		}
	} else {
		c, err = contentFromText(r.Target, r.Text)
	}
	if err == nil && c.tree == nil {
		return nil // it is on its way
	}
	if err == nil {
		err = p.installContent(c, current)
	}
	var malformed merkle.Malformed
	var no unreadableError
	switch {
	case errors.As(err, &malformed) || errors.As(err, &no): // of the root that was offered: what the stewards have is so
		p.rejected.Store(&rejectedPolicy{policyContent{offer: r.Target}, err, p.clock() + unreadableRetryInterval})
		f.reset()
		return err
	case err != nil && c.tree != nil && c.hash == c.offer.Hash:
		p.rejected.Store(&rejectedPolicy{policyContent: c})
		return err
	case err != nil:
		return err
	}
	p.rejected.Store(nil)
	if p.current.Load().Offer != r.Target {
		return nil // another duty has taken over: nothing that does not hold is kept
	}
	f.reset()
	if p.store == nil {
		return nil
	}
	if err := p.store.save(c); err != nil {
		return fmt.Errorf("it holds, but is not kept for the next process: %w", err)
	}
	return nil
}

// PolicyStatus is what the console shows.
type PolicyStatus struct {
	Epoch          uint64  `json:"epoch"` // 0 is none
	Order          uint64  `json:"order"`
	Hash           string  `json:"hash"`
	Server         string  `json:"steward"` // that answered last
	Reports        int64   `json:"reports"`
	Answered       int64   `json:"answered"`
	Failed         int64   `json:"failed"`
	WorkersCrashed int64   `json:"duties_died"`
	WorkersStalled int64   `json:"duties_stuck"`
	ChunksAccepted int64   `json:"pieces"`       // that came and were wanted
	ChunksRejected int64   `json:"pieces_wrong"` // that came and were not what they should be
	Faults         []Fault `json:"troubles,omitempty"`
}

// PolicyStatus tells how it stands. It waits for nobody.
func (p *PolicyClient) PolicyStatus() PolicyStatus {
	r, o := p.QuotaClient.Status(), p.current.Load().Offer
	return PolicyStatus{o.Epoch, o.Generation, o.Hash, r.Server, r.Requests, r.Answered, r.Failed, r.WorkersCrashed, r.WorkersStalled, p.chunksAccepted.Load(), p.chunksRejected.Load(), r.Faults}
}

// PolicyNotInstalledError is a policy that this proxy was offered and could not take up: it goes on with the one before.
type PolicyNotInstalledError struct {
	Epoch uint64
	Err   error
}

func (e PolicyNotInstalledError) Error() string {
	return fmt.Sprintf("the policy of epoch %d was not taken up: %v", e.Epoch, e.Err)
}
func (e PolicyNotInstalledError) Unwrap() error { return e.Err }

// Advice is what an operator can do.
func (PolicyNotInstalledError) Advice() string {
	return "The proxy goes on as before. If services are missing, enter them in its file of services and have it read again; it tries " +
		"by itself each time that it reports. The roll-out waits meanwhile."
}

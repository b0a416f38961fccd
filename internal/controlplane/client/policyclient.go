package client

import (
	"context"
	"errors"
	"io/fs"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"lapisspread/internal/policy/merkle"
	"lapisspread/internal/policy/namespace"
	"lapisspread/internal/policy/rollout"
)

// InstalledPolicy is a policy that the proxy decides by. It never changes but for its counts.
type InstalledPolicy struct {
	// Offer is the version that the servers offered.
	Offer rollout.Version
	// Policy and Tree are the content; both are nil before the first policy.
	Policy *namespace.Policy
	Tree   *merkle.Tree
	// Epoch is that of the version as attempts carry it; empty before the first policy.
	Epoch string

	// Base is the version before, and Diff what differs from it. Diff is nil if the policy was not made from the
	// one before.
	Base rollout.Version
	Diff *namespace.Diff

	goodRequests atomic.Int64
	badRequests  atomic.Int64
}

// CountRequest counts a request that was decided under the policy. Requests before the first policy count too: the
// servers compare.
func (p *InstalledPolicy) CountRequest(good bool) {
	switch {
	case p == nil:
	case good:
		p.goodRequests.Add(1)
	default:
		p.badRequests.Add(1)
	}
}

// PolicyClient keeps the proxy's policy up to date: it reports to the servers, and has the proxy install what they
// offer, all of it or nothing. It is safe for concurrent use.
type PolicyClient struct {
	connection
	install func(*InstalledPolicy) error
	store   *policyStore // nil without a state directory

	current          atomic.Pointer[InstalledPolicy]
	installing       sync.Mutex // a worker that is stuck in install holds up the next one, and no request
	version          *rollout.CurrentVersion
	lastReportNumber atomic.Uint64
	rejected         atomic.Pointer[rejectedPolicy]

	cache          chunkCache
	chunksAccepted atomic.Int64
	chunksRejected atomic.Int64
	newAssembly    func(root merkle.Hash, base *merkle.Tree) treeAssembly

	mutations policyMutations
}

// policyMutations take a guard out, so that tests can show that it is needed.
type policyMutations struct {
	skipRootCheck  bool // content is installed whatever its hash is
	skipOrderCheck bool // older versions are installed over newer ones
}

// rejectedPolicy is a version that was offered and can't be installed yet.
type rejectedPolicy struct {
	policyContent               // to be tried again; without a tree the content can't be read at all
	reason        error         // why it can't be read
	retryAt       time.Duration // when content that can't be read is fetched again
}

// NewPolicyClient makes a client without a policy. It calls install from its worker, one call at a time, with each
// policy that the proxy is to decide by from then on; install does so and returns nil, or changes nothing and
// returns why.
func NewPolicyClient(config Config, install func(*InstalledPolicy) error) *PolicyClient {
	c := &PolicyClient{
		install: install,
		version: rollout.NewCurrentVersion(rollout.Version{}),
		newAssembly: func(root merkle.Hash, base *merkle.Tree) treeAssembly {
			return merkle.NewAssembly(root, base)
		},
	}
	c.initialize(config, c.runWorker)
	c.lastReportNumber.Store(uint64(time.Now().UnixNano())) // so that it rises over restarts too
	c.current.Store(&InstalledPolicy{})
	if dir := config.File.StateDir; dir != "" {
		_ = os.MkdirAll(dir, 0o700) // if it can't be made, saving says so
		c.store = newPolicyStore(dir, config.ProxyName)
	}
	return c
}

// Run reports and installs policies until ctx ends. It is called once.
func (c *PolicyClient) Run(ctx context.Context) {
	c.worker.Run(ctx)
	c.beginGeneration() // no worker installs any more
	c.httpClient.CloseIdleConnections()
}

// Current returns the policy that requests are decided under. It does not block.
func (c *PolicyClient) Current() *InstalledPolicy { return c.current.Load() }

// Restore installs what the process before has kept. It is called before Run. Chunks of a policy that can't be
// restored are not fetched again.
func (c *PolicyClient) Restore() {
	if c.store == nil {
		return
	}
	content, chunks, err := c.store.load()
	for _, chunk := range chunks {
		c.cache.put(chunk)
	}
	if content.tree != nil {
		if installErr := c.installContent(content, func() bool { return true }); installErr != nil {
			err = installErr
			for _, chunk := range content.tree.Chunks() {
				c.cache.put(chunk)
			}
		}
	}
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		c.reportFault(PolicyNotInstalledError{content.offer.Epoch, err})
	}
}

// installContent installs a policy, if mayInstall still says so. The errors are those of package rollout for a
// version that is older or whose hash is another, unreadableError, and that of install.
func (c *PolicyClient) installContent(content policyContent, mayInstall func() bool) error {
	c.installing.Lock()
	defer c.installing.Unlock()
	if !mayInstall() {
		return nil
	}
	before := c.version.Version()
	if content.offer == before {
		return nil
	}
	adopted, err := c.adopt(before, content)
	if err != nil {
		return err
	}
	policy, err := newInstalledPolicy(c.current.Load(), content)
	if err != nil {
		return err
	}
	if err := c.install(policy); err != nil {
		return err
	}
	c.version = adopted
	c.current.Store(policy)
	c.config.Logger.Info("policy installed", "epoch", content.offer.Epoch, "hash", content.offer.Hash)
	return nil
}

// adopt checks that a version goes before the one before, and that the content is its. It changes nothing, so that
// a version that can't be installed does not count as had.
func (c *PolicyClient) adopt(before rollout.Version, content policyContent) (*rollout.CurrentVersion, error) {
	if c.mutations.skipRootCheck {
		content.hash = content.offer.Hash
	}
	if c.mutations.skipOrderCheck {
		before = rollout.Version{}
	}
	version := rollout.NewCurrentVersion(before)
	if err := version.Adopt(content.offer, content.hash); err != nil {
		return nil, err
	}
	return version, nil
}

// newInstalledPolicy makes a policy of the one before and what differs, which costs what changed, or else reads it
// whole.
func newInstalledPolicy(before *InstalledPolicy, content policyContent) (*InstalledPolicy, error) {
	installed := &InstalledPolicy{
		Offer: content.offer,
		Tree:  content.tree,
		Epoch: strconv.FormatUint(content.offer.Epoch, 10),
	}
	if before.Policy != nil {
		policy, diff, err := before.Policy.With(merkle.Changes(before.Tree, content.tree))
		if err == nil {
			installed.Policy = policy
			installed.Diff = diff
			installed.Base = before.Offer
			return installed, nil
		}
	}
	policy, err := namespace.FromTree(content.tree)
	if err != nil {
		return nil, unreadableError{err}
	}
	installed.Policy = policy
	return installed, nil
}

// unreadableError reports that content has the offered hash and is no policy.
type unreadableError struct{ error }

// Unwrap returns the cause.
func (e unreadableError) Unwrap() error { return e.error }

// PolicyStatus tells how a PolicyClient stands, for the admin protocol. Counts are since the start.
type PolicyStatus struct {
	// Epoch is 0 before the first policy.
	Epoch uint64 `json:"epoch"`
	Order uint64 `json:"order"`
	Hash  string `json:"hash"`
	// Server is the address of the server that answered last.
	Server   string `json:"steward"`
	Reports  int64  `json:"reports"`
	Answered int64  `json:"answered"`
	Failed   int64  `json:"failed"`
	// WorkersCrashed and WorkersStalled count workers that were replaced.
	WorkersCrashed int64 `json:"duties_died"`
	WorkersStalled int64 `json:"duties_stuck"`
	// ChunksAccepted counts chunks that were wanted, ChunksRejected chunks that were not what they should be.
	ChunksAccepted int64   `json:"pieces"`
	ChunksRejected int64   `json:"pieces_wrong"`
	Faults         []Fault `json:"troubles,omitempty"`
}

// PolicyStatus tells how the client stands. It does not wait for the worker.
func (c *PolicyClient) PolicyStatus() PolicyStatus {
	offer := c.current.Load().Offer
	c.mu.Lock()
	defer c.mu.Unlock()
	return PolicyStatus{
		Epoch:          offer.Epoch,
		Order:          offer.Generation,
		Hash:           offer.Hash,
		Server:         c.server,
		Reports:        c.counters.requests.Load(),
		Answered:       c.counters.answered.Load(),
		Failed:         c.counters.failed.Load(),
		WorkersCrashed: c.counters.crashes.Load(),
		WorkersStalled: c.counters.stalls.Load(),
		ChunksAccepted: c.chunksAccepted.Load(),
		ChunksRejected: c.chunksRejected.Load(),
		Faults:         c.listFaults(),
	}
}

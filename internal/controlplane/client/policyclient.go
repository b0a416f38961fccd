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

// InstalledPolicy is a policy that the proxy runs. It is immutable except for its request counts.
type InstalledPolicy struct {
	// Offer is the version that the servers offered.
	Offer rollout.Version
	// Policy and Tree are the content. Both are nil before the first policy is installed.
	Policy *namespace.Policy
	Tree   *merkle.Tree
	// Epoch is the version's epoch in decimal, as sent with attempts. It is empty before the first policy.
	Epoch string

	// Base is the previous version, and Diff the differences from it. Diff is nil if the policy was not built from
	// the previous one.
	Base rollout.Version
	Diff *namespace.Diff

	goodRequests atomic.Int64
	badRequests  atomic.Int64
}

// CountRequest counts a request that was handled under the policy, for the next report. Requests before the first
// policy count too, because the servers compare them with later ones. A nil policy counts nothing.
func (p *InstalledPolicy) CountRequest(good bool) {
	switch {
	case p == nil:
	case good:
		p.goodRequests.Add(1)
	default:
		p.badRequests.Add(1)
	}
}

// PolicyClient keeps the proxy's policy up to date. It reports to the control-plane servers and has the proxy install
// the policy that they offer, completely or not at all. It is safe for concurrent use.
type PolicyClient struct {
	connection
	install func(*InstalledPolicy) error
	store   *policyStore // nil without a state directory

	current          atomic.Pointer[InstalledPolicy]
	installMu        sync.Mutex // held during install: a worker stuck there blocks the next worker, but no request
	version          *rollout.CurrentVersion
	lastReportNumber atomic.Uint64
	rejected         atomic.Pointer[rejectedPolicy] // nil if the last offer was not rejected

	cache          chunkCache
	chunksAccepted atomic.Int64
	chunksRejected atomic.Int64
	newAssembly    func(root merkle.Hash, base *merkle.Tree) treeAssembly

	mutations policyMutations
}

// policyMutations disable checks, so that tests can show that each check is needed. Production code sets none.
type policyMutations struct {
	skipRootCheck  bool // content is installed whatever its hash is
	skipOrderCheck bool // older versions are installed over newer ones
}

// rejectedPolicy is an offered version that cannot be installed yet.
type rejectedPolicy struct {
	policyContent               // its installation is retried; the tree is nil if the content is unreadable
	reason        error         // why the content is unreadable
	retryAt       time.Duration // when unreadable content may be fetched again
}

// NewPolicyClient returns a client without a policy. Restore and the worker call install, one call at a time, with each
// policy that the proxy must run from then on. install must switch the proxy to the policy and return nil, or change
// nothing and return an error.
func NewPolicyClient(config Config, install func(*InstalledPolicy) error) *PolicyClient {
	c := &PolicyClient{
		install: install,
		version: rollout.NewCurrentVersion(rollout.Version{}),
		newAssembly: func(root merkle.Hash, base *merkle.Tree) treeAssembly {
			return merkle.NewAssembly(root, base)
		},
	}
	c.initialize(config, c.runWorker)
	c.lastReportNumber.Store(uint64(time.Now().UnixNano())) // so that numbers also increase across restarts
	c.current.Store(&InstalledPolicy{})
	if dir := config.File.StateDir; dir != "" {
		_ = os.MkdirAll(dir, 0o700) // if this fails, saving the policy reports an error
		c.store = newPolicyStore(dir, config.ProxyName)
	}
	return c
}

// Run sends reports and installs offered policies until ctx ends. It blocks; call it once.
func (c *PolicyClient) Run(ctx context.Context) {
	c.worker.Run(ctx)
	c.beginGeneration() // a worker that is still running can no longer install
	c.httpClient.CloseIdleConnections()
}

// Current returns the policy that the proxy runs, never nil. It does not block.
func (c *PolicyClient) Current() *InstalledPolicy { return c.current.Load() }

// Restore installs the policy that the previous process stored in the state directory, if any. Call it before Run. If
// the policy cannot be restored, its chunks are cached so that they are not fetched again.
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

// installContent installs a policy. It does nothing if mayInstall returns false or the version is installed already.
// Errors are those of package rollout for an older version or a wrong hash, unreadableError, and the error of install.
func (c *PolicyClient) installContent(content policyContent, mayInstall func() bool) error {
	c.installMu.Lock()
	defer c.installMu.Unlock()
	if !mayInstall() {
		return nil
	}
	current := c.version.Version()
	if content.offer == current {
		return nil
	}
	adopted, err := c.adopt(current, content)
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

// adopt checks that a version supersedes the current one and that the content has the version's hash. It returns the
// new current version and leaves the client's unchanged, so that a version that cannot be installed never becomes
// current.
func (c *PolicyClient) adopt(current rollout.Version, content policyContent) (*rollout.CurrentVersion, error) {
	if c.mutations.skipRootCheck {
		content.hash = content.offer.Hash
	}
	if c.mutations.skipOrderCheck {
		current = rollout.Version{}
	}
	version := rollout.NewCurrentVersion(current)
	if err := version.Adopt(content.offer, content.hash); err != nil {
		return nil, err
	}
	return version, nil
}

// newInstalledPolicy builds a policy from the previous one and their differences, which takes time proportional to the
// change. If that fails, it decodes the whole content.
func newInstalledPolicy(previous *InstalledPolicy, content policyContent) (*InstalledPolicy, error) {
	installed := &InstalledPolicy{
		Offer: content.offer,
		Tree:  content.tree,
		Epoch: strconv.FormatUint(content.offer.Epoch, 10),
	}
	if previous.Policy != nil {
		policy, diff, err := previous.Policy.With(merkle.Changes(previous.Tree, content.tree))
		if err == nil {
			installed.Policy = policy
			installed.Diff = diff
			installed.Base = previous.Offer
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

// unreadableError means that the content has the offered hash but cannot be decoded as a policy.
type unreadableError struct{ error }

// Unwrap returns the cause.
func (e unreadableError) Unwrap() error { return e.error }

// PolicyStatus describes the state of a PolicyClient, for the admin protocol. Counts are since the start.
type PolicyStatus struct {
	// Epoch is that of the installed policy; 0 before the first policy.
	Epoch uint64 `json:"epoch"`
	// Order is the generation of the installed policy.
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
	// ChunksAccepted counts received chunks that were added to a policy, ChunksRejected those that were not part of it
	// or were damaged.
	ChunksAccepted int64   `json:"pieces"`
	ChunksRejected int64   `json:"pieces_wrong"`
	Faults         []Fault `json:"troubles,omitempty"`
}

// PolicyStatus returns the client's current state. It does not wait for the worker.
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

package server

import (
	"encoding/json"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"lapisspread/internal/controlplane/api"
	"lapisspread/internal/policy/distribution"
	"lapisspread/internal/policy/merkle"
	"lapisspread/internal/policy/rollout"
	"lapisspread/internal/policy/store"
	"lapisspread/internal/quotalease"
)

// generationBits is how many bits the number of rollbacks has in a policy's generation. The epoch of the fleet is above
// them, so a new epoch begins above all generations of earlier ones.
const generationBits = 32

// policyEntryMarker is the first byte of log entries and snapshots that concern policies. Entries and snapshots that
// concern quotas only are JSON and begin with a brace.
const policyEntryMarker = 0x01

// stateMachine applies the replicated log. The log's goroutine calls Apply, Snapshot and Restore; other goroutines read
// the result under the locks or from the published view.
type stateMachine struct {
	clock func() time.Duration

	quotaMu   sync.Mutex
	quotas    *quotalease.StateMachine
	allocator *quotalease.Allocator // of this server alone: it is not replicated

	policyMu  sync.Mutex // apart from quotaMu: merging policies takes longer than a lease request may wait
	policies  *store.StateMachine
	published atomic.Pointer[policyView] // for readers that must not wait for a merge
	chunks    *distribution.Distributor

	encodingMu sync.Mutex
	encodings  map[string]encodedPolicy // by root; cached
}

// policyView is the state of the policies after an entry. It is immutable.
type policyView struct {
	status   store.Status
	versions []rollout.Version // of all policies that are retained, the newest first
}

// combinedSnapshot follows policyEntryMarker in a snapshot that has policies.
type combinedSnapshot struct {
	Quotas   []byte `json:"Grants"`
	Policies []byte `json:"Policies"`
}

// applyOutcome is the result of an entry, as Apply returns it to the proposer.
type applyOutcome struct {
	Rejected      api.RemoteError `json:"Refused"` // of the command itself; zero if it was carried out
	RejectedParts int             `json:"Parts"`   // commands of a batch that were rejected
	LeasesStarted int             `json:"Born"`
}

// newStateMachine returns the state of an epoch before its first entry. The allocator gets no startup silence: the Raft
// node keeps it, and ends it early once the other servers confirm that the log is complete.
func newStateMachine(clock func() time.Duration, epoch uint64) *stateMachine {
	quotas := quotalease.NewStateMachine()
	m := &stateMachine{
		clock:     clock,
		quotas:    quotas,
		allocator: quotalease.NewAllocator(clock(), 0, quotas),
		policies:  store.New(epoch << generationBits),
		chunks:    distribution.New(distribution.DefaultSettings()),
		encodings: map[string]encodedPolicy{},
	}
	m.publishPolicies()
	return m
}

// Apply implements consensus.Machine. It returns an encoded applyOutcome.
func (m *stateMachine) Apply(index uint64, entry []byte) []byte {
	var outcome applyOutcome
	if len(entry) > 0 && entry[0] == policyEntryMarker {
		outcome = m.applyPolicyCommand(entry[1:])
	} else {
		outcome = m.applyQuotaCommand(index, entry)
	}
	reply, _ := cbor.Marshal(outcome) // strings and numbers always encode
	return reply
}

// applyQuotaCommand applies a log entry about quotas, in JSON, and tells this server's allocator. It takes quotaMu.
func (m *stateMachine) applyQuotaCommand(index uint64, text []byte) applyOutcome {
	var command quotalease.Command
	if json.Unmarshal(text, &command) != nil {
		command = quotalease.Command{} // counted as an entry, and rejected as empty
	}
	m.quotaMu.Lock()
	defer m.quotaMu.Unlock()
	result, err := m.quotas.Apply(index, command)
	m.allocator.ObserveApplied(m.clock(), result)
	return applyOutcome{
		Rejected:      api.RemoteErrorOf(err),
		RejectedParts: len(result.Rejected),
		LeasesStarted: len(result.Started),
	}
}

// applyPolicyCommand applies a log entry about policies, in JSON, and publishes the result. It takes policyMu.
func (m *stateMachine) applyPolicyCommand(text []byte) applyOutcome {
	var command store.Command
	if json.Unmarshal(text, &command) != nil {
		command = store.Command{} // rejected as empty
	}
	m.policyMu.Lock()
	defer m.policyMu.Unlock()
	err := m.policies.Apply(command)
	m.publishPolicies()
	return applyOutcome{Rejected: api.RemoteErrorOf(err)}
}

// publishPolicies makes the current policies visible to readers. The caller holds policyMu.
func (m *stateMachine) publishPolicies() {
	view := &policyView{status: m.policies.Status()}
	var trees []*merkle.Tree
	for version, tree := range m.policies.Policies() {
		view.versions = append(view.versions, version)
		trees = append(trees, tree)
	}
	slices.Reverse(trees)
	m.chunks.Retain(trees)
	m.published.Store(view)
}

// policyStatus returns the status after the last entry that was published. It takes no lock.
func (m *stateMachine) policyStatus() store.Status { return m.published.Load().status }

// Snapshot implements consensus.Machine. Without policies a snapshot is that of the quotas alone, which releases from
// before there were policies can read.
func (m *stateMachine) Snapshot() ([]byte, error) {
	quotas, err := m.snapshotQuotas()
	if err != nil {
		return nil, err
	}
	m.policyMu.Lock()
	defer m.policyMu.Unlock()
	if m.policies.Empty() {
		return quotas, nil
	}
	policies, err := m.policies.Snapshot()
	if err != nil {
		return nil, err
	}
	text, err := cbor.Marshal(combinedSnapshot{Quotas: quotas, Policies: policies})
	return append([]byte{policyEntryMarker}, text...), err
}

func (m *stateMachine) snapshotQuotas() ([]byte, error) {
	m.quotaMu.Lock()
	defer m.quotaMu.Unlock()
	return m.quotas.Snapshot()
}

// Restore implements consensus.Machine.
func (m *stateMachine) Restore(snapshot []byte) error {
	parts := combinedSnapshot{Quotas: snapshot}
	if len(snapshot) > 0 && snapshot[0] == policyEntryMarker {
		parts = combinedSnapshot{}
		if err := cbor.Unmarshal(snapshot[1:], &parts); err != nil {
			return api.MalformedMessageError{Reason: err.Error()}
		}
	}
	if parts.Policies != nil {
		if err := m.restorePolicies(parts.Policies); err != nil {
			return err
		}
	}
	m.quotaMu.Lock()
	defer m.quotaMu.Unlock()
	if err := m.quotas.Restore(parts.Quotas); err != nil {
		return err
	}
	m.allocator.RestartTimers(m.clock())
	return nil
}

func (m *stateMachine) restorePolicies(snapshot []byte) error {
	m.policyMu.Lock()
	defer m.policyMu.Unlock()
	if err := m.policies.Restore(snapshot); err != nil {
		return err
	}
	m.publishPolicies()
	return nil
}

// awaitingExpiry reports whether leases of an earlier epoch may still be valid. The caller holds quotaMu.
func (m *stateMachine) awaitingExpiry() bool {
	for _, expiry := range m.quotas.PendingExpiries() {
		if expiry.Quota == "" {
			return true
		}
	}
	return false
}

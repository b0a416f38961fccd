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

// generationBits is the number of low bits of a policy's generation that count rollbacks. The bits above hold the epoch
// of the fleet, so the first generation of a new epoch is above all generations of earlier epochs.
const generationBits = 32

// policyEntryMarker is the first byte of log entries about policies and of snapshots with policies. Entries about
// quotas and snapshots with only quotas are JSON and start with a brace.
const policyEntryMarker = 0x01

// stateMachine applies the replicated log. The Raft node's goroutine calls Apply, Snapshot and Restore. Other
// goroutines read the state under the locks or from the published view.
type stateMachine struct {
	clock func() time.Duration

	quotaMu   sync.Mutex
	quotas    *quotalease.StateMachine
	allocator *quotalease.Allocator // local to this server, not replicated

	policyMu  sync.Mutex // separate from quotaMu: merging policies takes longer than a lease request may wait
	policies  *store.StateMachine
	published atomic.Pointer[policyView] // for readers that must not wait for a merge
	chunks    *distribution.Distributor

	encodingMu sync.Mutex
	encodings  map[string]encodedPolicy // cache by the root of the policy's tree
}

// policyView is the state of the policies after the last applied entry about policies. It is immutable.
type policyView struct {
	status   store.Status
	versions []rollout.Version // of all retained policies, the newest first
}

// combinedSnapshot is encoded after policyEntryMarker in a snapshot with policies.
type combinedSnapshot struct {
	Quotas   []byte `json:"Grants"`
	Policies []byte `json:"Policies"`
}

// applyOutcome is the result of an entry, as Apply returns it to the proposer.
type applyOutcome struct {
	Rejected      api.RemoteError `json:"Refused"` // why the command was rejected; zero if it was applied
	RejectedParts int             `json:"Parts"`   // number of rejected commands of a batch
	LeasesStarted int             `json:"Born"`    // number of leases that started
}

// newStateMachine returns the state machine of an epoch before its first entry. The allocator gets no startup silence:
// the Raft node observes it, and ends it early once the other servers confirm that the log is complete.
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

// applyQuotaCommand applies a log entry about quotas, in JSON, and passes the result to this server's allocator. It
// locks quotaMu.
func (m *stateMachine) applyQuotaCommand(index uint64, text []byte) applyOutcome {
	var command quotalease.Command
	if json.Unmarshal(text, &command) != nil {
		command = quotalease.Command{} // an empty command, which still counts as an entry and is rejected
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

// applyPolicyCommand applies a log entry about policies, in JSON, and publishes the result. It locks
// policyMu.
func (m *stateMachine) applyPolicyCommand(text []byte) applyOutcome {
	var command store.Command
	if json.Unmarshal(text, &command) != nil {
		command = store.Command{} // an empty command, which is rejected
	}
	m.policyMu.Lock()
	defer m.policyMu.Unlock()
	err := m.policies.Apply(command)
	m.publishPolicies()
	return applyOutcome{Rejected: api.RemoteErrorOf(err)}
}

// publishPolicies makes the current policies visible to readers. The caller must hold policyMu.
func (m *stateMachine) publishPolicies() {
	view := &policyView{status: m.policies.Status()}
	var trees []*merkle.Tree
	for version, tree := range m.policies.Policies() {
		view.versions = append(view.versions, version)
		trees = append(trees, tree)
	}
	slices.Reverse(trees) // Retain takes the oldest first
	m.chunks.Retain(trees)
	m.published.Store(view)
}

// policyStatus returns the policy status as last published. It takes no lock.
func (m *stateMachine) policyStatus() store.Status { return m.published.Load().status }

// Snapshot implements consensus.Machine. Without policies it returns the snapshot of the quotas only, which releases
// that have no policies can read.
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

// snapshotQuotas returns a snapshot of the quotas. It locks quotaMu.
func (m *stateMachine) snapshotQuotas() ([]byte, error) {
	m.quotaMu.Lock()
	defer m.quotaMu.Unlock()
	return m.quotas.Snapshot()
}

// Restore implements consensus.Machine. It accepts snapshots with and without policies, and fails if one is malformed.
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

// restorePolicies restores the policies from their snapshot and publishes them. It locks policyMu.
func (m *stateMachine) restorePolicies(snapshot []byte) error {
	m.policyMu.Lock()
	defer m.policyMu.Unlock()
	if err := m.policies.Restore(snapshot); err != nil {
		return err
	}
	m.publishPolicies()
	return nil
}

// awaitingExpiry reports whether leases of an earlier epoch may still be valid. The caller must hold
// quotaMu.
func (m *stateMachine) awaitingExpiry() bool {
	for _, expiry := range m.quotas.PendingExpiries() {
		if expiry.Quota == "" {
			return true
		}
	}
	return false
}

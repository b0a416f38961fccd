package server

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"maps"
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

// stateMachine is the book behind the log, and the keeper beside it. The log's goroutine applies, the plans' plans.
type stateMachine struct {
	clock func() time.Duration

	quotaMu   sync.Mutex
	quotas    *quotalease.StateMachine
	allocator *quotalease.Allocator

	policyMu  sync.Mutex // apart from the grants: a merge takes longer than a plan may wait
	policies  *store.Book
	published atomic.Pointer[policyView] // of the policies: whoever reads waits for no merge
	chunks    *distribution.Distributor

	encodingMu sync.Mutex
	encodings  map[string]encodedPolicy // by root
}

// policyView is how the policies stand after an entry. Nobody writes to it.
type policyView struct {
	status   store.Standing
	versions []rollout.Version // that are kept, and Head, the newest first
}

// encodedPolicy is a policy for proxies that take no pieces.
type encodedPolicy struct {
	text string
	hash string // SHA-256 in hexadecimal; empty if the text is too long
}

// policyEntryMarker begins the commands and snapshots that have to do with policies. Those of before are JSON, and begin with a brace.
const policyEntryMarker = 0x01

// combinedSnapshot is a snapshot of both books, after the mark.
type combinedSnapshot struct {
	Quotas   []byte `json:"Grants"`
	Policies []byte `json:"Policies"`
}

// newStateMachine has no silence of its own: the log keeps it, and knows by the other stewards when it may end sooner.
func newStateMachine(clock func() time.Duration, epoch uint64) *stateMachine {
	book := quotalease.NewStateMachine()
	m := &stateMachine{clock: clock, quotas: book, allocator: quotalease.NewAllocator(clock(), 0, book), policies: store.New(epoch << 32),
		chunks: distribution.New(distribution.DefaultSettings()), encodings: map[string]encodedPolicy{}}
	m.publishPolicies()
	return m
}

// publishPolicies shows what an entry came to. It is called under the lock.
func (m *stateMachine) publishPolicies() {
	v := &policyView{status: m.policies.Standing()}
	var trees []*merkle.Tree
	for o, t := range m.policies.Policies() {
		v.versions = append(v.versions, o)
		trees = append(trees, t)
	}
	slices.Reverse(trees)
	m.chunks.Retain(trees)
	m.published.Store(v)
}

// applyOutcome is what a command came to.
type applyOutcome struct {
	Rejected      api.RemoteError `json:"Refused"` // of the command itself; empty if it was carried out
	RejectedParts int             `json:"Parts"`   // of a batch, what was refused of it
	LeasesStarted int             `json:"Born"`
}

// Apply implements consensus.Machine.
func (m *stateMachine) Apply(index uint64, command []byte) []byte {
	if len(command) > 0 && command[0] == policyEntryMarker {
		return m.applyPolicy(command[1:])
	}
	var c quotalease.Command
	var out applyOutcome
	if err := json.Unmarshal(command, &c); err != nil {
		c = quotalease.Command{} // the book counts the entry, and refuses it as empty
	}
	m.quotaMu.Lock()
	a, err := m.quotas.Apply(index, c)
	m.allocator.ObserveApplied(m.clock(), a)
	m.quotaMu.Unlock()
	out.Rejected, out.RejectedParts, out.LeasesStarted = api.RemoteErrorOf(err), len(a.Rejected), len(a.Started)
	text, _ := cbor.Marshal(out) // strings and numbers
	return text
}

func (m *stateMachine) applyPolicy(text []byte) []byte {
	var c store.Command
	if err := json.Unmarshal(text, &c); err != nil {
		c = store.Command{} // refused as empty
	}
	m.policyMu.Lock()
	err := m.policies.Apply(c)
	m.publishPolicies()
	m.policyMu.Unlock()
	reply, _ := cbor.Marshal(applyOutcome{Rejected: api.RemoteErrorOf(err)})
	return reply
}

func (m *stateMachine) policyStatus() store.Standing { return m.published.Load().status }

// policyEncoding is the whole of a policy with its hash; not ok if it isn't kept, or is too long for one answer.
func (m *stateMachine) policyEncoding(o rollout.Version) (encodedPolicy, bool) {
	m.encodingMu.Lock()
	defer m.encodingMu.Unlock()
	w, known := m.encodings[o.Hash]
	if !known {
		if !slices.Contains(m.published.Load().versions, o) {
			return w, false
		}
		m.policyMu.Lock()
		text, ok := m.policies.Whole(o)
		m.policyMu.Unlock()
		if w.text = text; ok {
			sum := sha256.Sum256([]byte(text))
			w.hash = hex.EncodeToString(sum[:])
		}
		kept := m.published.Load().versions
		maps.DeleteFunc(m.encodings, func(root string, _ encodedPolicy) bool {
			return !slices.ContainsFunc(kept, func(o rollout.Version) bool { return o.Hash == root })
		})
		m.encodings[o.Hash] = w
	}
	return w, w.hash != ""
}

// resolveRoot is an offer by its root, where a proxy tells one by the hash of its whole text.
func (m *stateMachine) resolveRoot(o rollout.Version) rollout.Version {
	if o.Epoch == 0 {
		return o
	}
	for _, k := range m.published.Load().versions {
		if k.Generation != o.Generation || k.Epoch != o.Epoch || k.Hash == o.Hash {
			continue
		}
		if w, ok := m.policyEncoding(k); ok && w.hash == o.Hash {
			return k
		}
	}
	return o
}

// Snapshot implements consensus.Machine. A fleet without policies keeps the form of before.
func (m *stateMachine) Snapshot() ([]byte, error) {
	m.quotaMu.Lock()
	grants, err := m.quotas.Snapshot()
	m.quotaMu.Unlock()
	if err != nil {
		return nil, err
	}
	m.policyMu.Lock()
	defer m.policyMu.Unlock()
	if m.policies.Empty() {
		return grants, nil
	}
	policies, err := m.policies.Snapshot()
	if err != nil {
		return nil, err
	}
	text, err := cbor.Marshal(combinedSnapshot{grants, policies})
	return append([]byte{policyEntryMarker}, text...), err
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
	m.policyMu.Lock()
	if parts.Policies != nil {
		if err := m.policies.Restore(parts.Policies); err != nil {
			m.policyMu.Unlock()
			return err
		}
		m.publishPolicies()
	}
	m.policyMu.Unlock()
	m.quotaMu.Lock()
	defer m.quotaMu.Unlock()
	if err := m.quotas.Restore(parts.Quotas); err != nil {
		return err
	}
	m.allocator.RestartTimers(m.clock())
	return nil
}

// awaitingExpiry tells whether the time before the founding is not over.
func (m *stateMachine) awaitingExpiry() bool {
	for _, i := range m.quotas.PendingExpiries() {
		if i.Quota == "" {
			return true
		}
	}
	return false
}

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

// machine is the book behind the log, and the keeper beside it. The log's goroutine applies, the plans' plans.
type machine struct {
	clock func() time.Duration

	mu     sync.Mutex
	book   *quotalease.StateMachine
	keeper *quotalease.Allocator

	policies sync.Mutex // apart from the grants: a merge takes longer than a plan may wait
	policy   *store.Book
	view     atomic.Pointer[view] // of the policies: whoever reads waits for no merge
	shelf    *distribution.Shelf

	texts sync.Mutex
	whole map[string]whole // by root
}

// view is how the policies stand after an entry. Nobody writes to it.
type view struct {
	standing store.Standing
	offers   []rollout.Offer // that are kept, and Head, the newest first
}

// whole is a policy for proxies that take no pieces.
type whole struct {
	text string
	hash string // SHA-256 in hexadecimal; empty if the text is too long
}

// policyMark begins the commands and snapshots that have to do with policies. Those of before are JSON, and begin with a brace.
const policyMark = 0x01

// both is a snapshot of both books, after the mark.
type both struct {
	Grants   []byte `json:"Grants"`
	Policies []byte `json:"Policies"`
}

// newMachine has no silence of its own: the log keeps it, and knows by the other stewards when it may end sooner.
func newMachine(clock func() time.Duration, epoch uint64) *machine {
	book := quotalease.NewStateMachine()
	m := &machine{clock: clock, book: book, keeper: quotalease.NewAllocator(clock(), 0, book), policy: store.New(epoch << 32),
		shelf: distribution.New(distribution.Defaults()), whole: map[string]whole{}}
	m.publish()
	return m
}

// publish shows what an entry came to. It is called under the lock.
func (m *machine) publish() {
	v := &view{standing: m.policy.Standing()}
	var trees []*merkle.Tree
	for o, t := range m.policy.Policies() {
		v.offers = append(v.offers, o)
		trees = append(trees, t)
	}
	slices.Reverse(trees)
	m.shelf.Keep(trees)
	m.view.Store(v)
}

// outcome is what a command came to.
type outcome struct {
	Refused api.Problem `json:"Refused"` // of the command itself; empty if it was carried out
	Parts   int         `json:"Parts"`   // of a batch, what was refused of it
	Born    int         `json:"Born"`
}

// Apply implements consensus.Machine.
func (m *machine) Apply(index uint64, command []byte) []byte {
	if len(command) > 0 && command[0] == policyMark {
		return m.applyPolicy(command[1:])
	}
	var c quotalease.Command
	var out outcome
	if err := json.Unmarshal(command, &c); err != nil {
		c = quotalease.Command{} // the book counts the entry, and refuses it as empty
	}
	m.mu.Lock()
	a, err := m.book.Apply(index, c)
	m.keeper.ObserveApplied(m.clock(), a)
	m.mu.Unlock()
	out.Refused, out.Parts, out.Born = api.ProblemOf(err), len(a.Rejected), len(a.Started)
	text, _ := cbor.Marshal(out) // strings and numbers
	return text
}

func (m *machine) applyPolicy(text []byte) []byte {
	var c store.Command
	if err := json.Unmarshal(text, &c); err != nil {
		c = store.Command{} // refused as empty
	}
	m.policies.Lock()
	err := m.policy.Apply(c)
	m.publish()
	m.policies.Unlock()
	reply, _ := cbor.Marshal(outcome{Refused: api.ProblemOf(err)})
	return reply
}

func (m *machine) standing() store.Standing { return m.view.Load().standing }

// policyText is the whole of a policy with its hash; not ok if it isn't kept, or is too long for one answer.
func (m *machine) policyText(o rollout.Offer) (whole, bool) {
	m.texts.Lock()
	defer m.texts.Unlock()
	w, known := m.whole[o.Hash]
	if !known {
		if !slices.Contains(m.view.Load().offers, o) {
			return w, false
		}
		m.policies.Lock()
		text, ok := m.policy.Whole(o)
		m.policies.Unlock()
		if w.text = text; ok {
			sum := sha256.Sum256([]byte(text))
			w.hash = hex.EncodeToString(sum[:])
		}
		kept := m.view.Load().offers
		maps.DeleteFunc(m.whole, func(root string, _ whole) bool {
			return !slices.ContainsFunc(kept, func(o rollout.Offer) bool { return o.Hash == root })
		})
		m.whole[o.Hash] = w
	}
	return w, w.hash != ""
}

// rooted is an offer by its root, where a proxy tells one by the hash of its whole text.
func (m *machine) rooted(o rollout.Offer) rollout.Offer {
	if o.Epoch == 0 {
		return o
	}
	for _, k := range m.view.Load().offers {
		if k.Order != o.Order || k.Epoch != o.Epoch || k.Hash == o.Hash {
			continue
		}
		if w, ok := m.policyText(k); ok && w.hash == o.Hash {
			return k
		}
	}
	return o
}

// Snapshot implements consensus.Machine. A fleet without policies keeps the form of before.
func (m *machine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	grants, err := m.book.Snapshot()
	m.mu.Unlock()
	if err != nil {
		return nil, err
	}
	m.policies.Lock()
	defer m.policies.Unlock()
	if m.policy.Empty() {
		return grants, nil
	}
	policies, err := m.policy.Snapshot()
	if err != nil {
		return nil, err
	}
	text, err := cbor.Marshal(both{grants, policies})
	return append([]byte{policyMark}, text...), err
}

// Restore implements consensus.Machine.
func (m *machine) Restore(snapshot []byte) error {
	parts := both{Grants: snapshot}
	if len(snapshot) > 0 && snapshot[0] == policyMark {
		parts = both{}
		if err := cbor.Unmarshal(snapshot[1:], &parts); err != nil {
			return api.BadMessage{Why: err.Error()}
		}
	}
	m.policies.Lock()
	if parts.Policies != nil {
		if err := m.policy.Restore(parts.Policies); err != nil {
			m.policies.Unlock()
			return err
		}
		m.publish()
	}
	m.policies.Unlock()
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.book.Restore(parts.Grants); err != nil {
		return err
	}
	m.keeper.RestartTimers(m.clock())
	return nil
}

// past tells whether the time before the founding is not over.
func (m *machine) past() bool {
	for _, i := range m.book.PendingExpiries() {
		if i.Quota == "" {
			return true
		}
	}
	return false
}

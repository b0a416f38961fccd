package store

import (
	"iter"
	"slices"

	"lapisspread/internal/policy/merkle"
	"lapisspread/internal/policy/namespace"
	"lapisspread/internal/policy/rollout"
)

// encodeTreeFactor limits which policies Unchunked encodes to find out whether they fit in MaxUnchunkedBytes. The
// chunks of a policy that fits never have more than this multiple of MaxUnchunkedBytes.
const encodeTreeFactor = 4

// Status reports the active policy, the rollout of the candidate, and the changes that are queued, failed or withheld.
// Callers must not modify its lists.
type Status struct {
	Active    rollout.Version `json:"Base"` // version in force; zero if there is none
	Candidate rollout.Version `json:"Next"` // version being rolled out; zero if there is none
	// Head is the newest merged policy. It is rolled out under this epoch, or under a higher one if parts of a
	// stopped batch are rolled out first.
	Head    rollout.Version `json:"Head"`
	Stopped *RolloutResult  `json:"Stopped"`  // result of Candidate's rollout if it was stopped, else nil
	Batch   []Change        `json:"Train"`    // changes from Active to Candidate
	Queued  []Change        `json:"Gathered"` // changes in Head that wait for the next batch
	// FailedChanges are the changes that were excluded, the newest last. A failed file is listed until a file of the
	// same namespace with a higher number is active.
	FailedChanges  []FailedChange `json:"Faults"`
	WithheldFiles  []WithheldFile `json:"Held"` // ordered by namespace
	Conflicts      []string       `json:"Told"` // at most maxConflicts descriptions
	RetainedEpochs []uint64       `json:"Kept"` // epochs that the fleet can be rolled back to
	// ProxyCount is the number of proxies that the leader had seen at the last rollout result; 0 if unknown.
	ProxyCount int `json:"Proxies"`
}

// Status returns the current status. It is cached until the next command.
func (m *StateMachine) Status() Status {
	if m.cachedStatus != nil {
		return *m.cachedStatus
	}
	s := &m.state
	latest := s.active()
	status := Status{
		Active:         latest.version,
		Head:           s.head.version,
		FailedChanges:  slices.Clone(s.failedChanges),
		WithheldFiles:  slices.Clone(s.withheldFiles),
		Conflicts:      slices.Clone(s.conflicts),
		RetainedEpochs: s.retainedEpochs(),
		ProxyCount:     s.proxyCount,
	}
	if candidate := s.candidate(); candidate != nil {
		status.Candidate = candidate.version
		status.Batch = publicChanges(changesBetween(latest, candidate))
		if s.stopped == nil {
			latest = candidate
		}
	}
	status.Queued = publicChanges(changesBetween(latest, &s.head))
	if s.stopped != nil {
		result := *s.stopped
		status.Stopped = &result
	}
	m.cachedStatus = &status
	return status
}

// Tree returns the tree of a version, and false if the version is neither retained nor the head.
func (m *StateMachine) Tree(version rollout.Version) (*merkle.Tree, bool) {
	for p := range m.state.newestFirst() {
		if p.version == version {
			return p.tree, true
		}
	}
	return nil, false
}

// TreeByRoot returns the tree with a root, given in hexadecimal, if any retained policy or the head has it.
func (m *StateMachine) TreeByRoot(root string) (*merkle.Tree, bool) {
	for p := range m.state.newestFirst() {
		if p.version.Hash == root {
			return p.tree, true
		}
	}
	return nil, false
}

// Policies yields the head and all retained policies, the newest first.
func (m *StateMachine) Policies() iter.Seq2[rollout.Version, *merkle.Tree] {
	return func(yield func(rollout.Version, *merkle.Tree) bool) {
		for p := range m.state.newestFirst() {
			if !yield(p.version, p.tree) {
				return
			}
		}
	}
}

// Unchunked returns the encoding of a policy in one text, for proxies that do not support chunks. It returns false if
// the version is neither retained nor the head, or its encoding is longer than MaxUnchunkedBytes.
func (m *StateMachine) Unchunked(version rollout.Version) (string, bool) {
	tree, ok := m.Tree(version)
	if !ok {
		return "", false
	}
	text, cached := m.unchunked[version.Hash]
	if !cached {
		text = encodeUnchunked(tree)
		if m.unchunked == nil {
			m.unchunked = map[string]string{}
		}
		m.unchunked[version.Hash] = text
	}
	return text, text != ""
}

// encodeUnchunked returns the encoding of a tree's policy, or an empty text if it is longer than MaxUnchunkedBytes.
func encodeUnchunked(tree *merkle.Tree) string {
	if tree.Size() > encodeTreeFactor*MaxUnchunkedBytes {
		return ""
	}
	policy, err := namespace.FromTree(tree)
	if err != nil {
		return ""
	}
	encoded := policy.Encode()
	if len(encoded) > MaxUnchunkedBytes {
		return ""
	}
	return string(encoded)
}

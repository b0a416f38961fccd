package store

import (
	"iter"
	"slices"

	"lapisspread/internal/policy/merkle"
	"lapisspread/internal/policy/namespace"
	"lapisspread/internal/policy/rollout"
)

// encodeTreeFactor bounds which policies are encoded at all to see whether they fit MaxUnchunkedBytes: chunks of one
// that fits never come to more than this multiple of it.
const encodeTreeFactor = 4

// Status is what is in force, what is being rolled out, and what waits. Callers do not write to its lists.
type Status struct {
	Active    rollout.Version `json:"Base"` // in force; zero if none is
	Candidate rollout.Version `json:"Next"` // being rolled out; zero if none is
	// Head is the newest merged policy. It is rolled out under this epoch, or under a higher one if parts of a
	// stopped batch are rolled out first.
	Head    rollout.Version `json:"Head"`
	Stopped *RolloutResult  `json:"Stopped"`  // why the rollout of Candidate stopped; nil if it goes on
	Batch   []Change        `json:"Train"`    // changes from Active to Candidate
	Queued  []Change        `json:"Gathered"` // changes in Head that wait for the next batch
	// FailedChanges are the changes that were excluded, the newest last. One of a namespace stays until a higher
	// number of that namespace is in force.
	FailedChanges  []FailedChange `json:"Faults"`
	WithheldFiles  []WithheldFile `json:"Held"` // by namespace
	Conflicts      []string       `json:"Told"`
	RetainedEpochs []uint64       `json:"Kept"`    // epochs that the fleet can be rolled back to
	ProxyCount     int            `json:"Proxies"` // that the leader knew at the last result; 0 is unknown
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

// Tree returns the tree of a version that is retained or the head.
func (m *StateMachine) Tree(version rollout.Version) (*merkle.Tree, bool) {
	for p := range m.state.newestFirst() {
		if p.version == version {
			return p.tree, true
		}
	}
	return nil, false
}

// TreeByRoot returns the tree with a root, in hexadecimal, that is retained under any epoch.
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

// Unchunked returns the encoding of a retained policy, for proxies that take no chunks. It returns false if the
// version is not retained, or its encoding is longer than MaxUnchunkedBytes.
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

// encodeUnchunked returns an empty text for a policy that does not fit.
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

package store

import (
	"iter"
	"maps"
	"slices"

	"lapisspread/internal/policy/merkle"
	"lapisspread/internal/policy/rollout"
)

// noPolicy is the value of an index into the retained policies that refers to none.
const noPolicy = -1

// submittedFile is a declaration or a namespace's file, as it was submitted.
type submittedFile struct {
	text        string
	author      string
	number      uint64 // number of a namespace's file; 0 for a declaration
	mergeNumber uint64 // number of the merge that accepted it
}

// retainedPolicy is a merged policy with the declaration and files that it was merged from. The hash of its version is
// the root of its tree.
type retainedPolicy struct {
	version     rollout.Version
	declaration submittedFile
	files       map[string]submittedFile // accepted files by namespace
	tree        *merkle.Tree             // nil if nothing has been merged yet
}

// contains reports whether a change is among the declaration and files that the policy was merged from.
func (p *retainedPolicy) contains(c trackedChange) bool {
	if c.isDeclaration() {
		return p.declaration.mergeNumber == c.MergeNumber
	}
	return p.files[c.Namespace].number == c.Number
}

// state is the replicated state. cloneState copies it shallowly: maps and slices that a clone shares with the original
// are never modified.
type state struct {
	declaration submittedFile
	// accepted has the files that the head was merged from, and those of namespaces that are no longer declared.
	accepted       map[string]submittedFile // by namespace
	pending        map[string]submittedFile // by namespace; withheld until a later merge in which they do not conflict
	highestNumbers map[string]uint64        // highest file number that each namespace has used
	withheldFiles  []WithheldFile
	conflicts      []string
	generation     uint64
	lastEpoch      uint64
	mergeCount     uint64
	head           retainedPolicy
	retained       []retainedPolicy  // oldest first
	activeIndex    int               // index of the active policy in retained, or noPolicy
	candidateIndex int               // index of the candidate in retained, or noPolicy
	bisection      [][]trackedChange // parts of stopped batches; each is rolled out separately, before the head
	stopped        *RolloutResult    // result of the candidate's rollout if it was stopped, else nil
	failedChanges  []FailedChange    // oldest first
	proxyCount     int               // proxies that the leader had seen at the last rollout result; 0 if unknown
}

// cloneState returns a copy of the state that can be changed, and then committed or discarded.
func (m *StateMachine) cloneState() *state {
	s := m.state
	s.accepted = maps.Clone(s.accepted)
	s.pending = maps.Clone(s.pending)
	s.highestNumbers = maps.Clone(s.highestNumbers)
	s.retained = slices.Clone(s.retained)
	s.bisection = slices.Clone(s.bisection)
	s.failedChanges = slices.Clone(s.failedChanges)
	return &s
}

// active returns the active policy, or an empty one if none is active.
func (s *state) active() *retainedPolicy {
	if s.activeIndex == noPolicy {
		return &retainedPolicy{}
	}
	return &s.retained[s.activeIndex]
}

// candidate returns the policy that is being rolled out, or nil.
func (s *state) candidate() *retainedPolicy {
	if s.candidateIndex == noPolicy {
		return nil
	}
	return &s.retained[s.candidateIndex]
}

// rolledOut reports whether the rollout of an epoch or of a later one has been started.
func (s *state) rolledOut(epoch uint64) bool {
	return slices.ContainsFunc(s.retained, func(p retainedPolicy) bool { return p.version.Epoch >= epoch })
}

// retainedEpochs returns the epochs that the fleet can be rolled back to.
func (s *state) retainedEpochs() []uint64 {
	var epochs []uint64
	for _, p := range s.retained {
		epochs = append(epochs, p.version.Epoch)
	}
	return epochs
}

// newestFirst yields the head, unless nothing was merged yet, and then all retained policies, the newest first.
func (s *state) newestFirst() iter.Seq[*retainedPolicy] {
	return func(yield func(*retainedPolicy) bool) {
		if s.head.tree != nil && !yield(&s.head) {
			return
		}
		for i := range s.retained {
			if !yield(&s.retained[len(s.retained)-1-i]) {
				return
			}
		}
	}
}

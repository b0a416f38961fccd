package store

import (
	"maps"
	"slices"

	"lapisspread/internal/policy/rollout"
)

// failedChangeAdvice is the next step for the author of a failed change. It is stored in snapshots.
const failedChangeAdvice = "It was taken out, and what else was under way goes on without it. " +
	"Mend it and offer it under a higher number. The few proxies that have it get the next policy first; " +
	"until there is one, going back to an epoch that is kept takes them along."

// mergeSubset merges some changes into the active policy. It returns the policy, without an epoch, and the changes that
// were accepted. A change may be rejected because it conflicts with rules that a change outside the subset removes. The
// result is empty if the merge fails or its outcome equals the active policy.
func (m *StateMachine) mergeSubset(s *state, subset []trackedChange) (retainedPolicy, []trackedChange) {
	active := s.active()
	declaration := active.declaration
	if s.activeIndex == noPolicy {
		declaration = s.declaration
	}
	submitted := map[string]submittedFile{}
	for _, c := range subset {
		switch {
		case !s.head.contains(c): // replaced by a newer submission
		case c.isDeclaration():
			declaration = s.head.declaration
		default:
			submitted[c.Namespace] = s.head.files[c.Namespace]
		}
	}
	outcome, tree, err := m.mergeFiles(declaration, active.files, submitted, active.tree)
	if err != nil || tree.Root().String() == active.version.Hash {
		return retainedPolicy{}, nil
	}
	policy := retainedPolicy{
		version:     rollout.Version{Hash: tree.Root().String()},
		declaration: declaration,
		files:       map[string]submittedFile{},
		tree:        tree,
	}
	for _, n := range outcome.Accepted {
		policy.files[n.Name] = active.files[n.Name]
		if f, ok := submitted[n.Name]; ok && f.number == n.Number {
			policy.files[n.Name] = f
		}
	}
	var accepted []trackedChange
	for _, c := range subset {
		if s.head.contains(c) && policy.contains(c) {
			accepted = append(accepted, c)
		}
	}
	return policy, accepted
}

// bisect narrows down which change of a stopped batch has failed. In a batch of one change, that change has failed. If
// teams have replaced some of the changes since, the others are rolled out again without them. Otherwise the batch is
// split into two parts that are rolled out one after the other. If the changes can only be merged together, all of them
// are reported as failed.
func (m *StateMachine) bisect(s *state) {
	batch := changesBetween(s.active(), s.candidate())
	if len(batch) <= 1 || m.mutated(skipBisection) {
		m.excludeChanges(s, batch)
		return
	}
	if s.activeIndex == noPolicy {
		// No file can be merged without the fleet's first declaration, so it is part of every subset.
		batch = slices.DeleteFunc(batch, trackedChange.isDeclaration)
	}
	replaced := func(c trackedChange) bool { return !s.head.contains(c) }
	current := slices.DeleteFunc(slices.Clone(batch), replaced)
	if len(current) < len(batch) {
		if len(current) > 0 {
			s.bisection = slices.Insert(s.bisection, 0, current)
		}
		return
	}
	for _, subset := range splitCandidates(batch) {
		_, accepted := m.mergeSubset(s, subset)
		if len(accepted) == 0 || len(accepted) == len(batch) {
			continue
		}
		wasAccepted := func(c trackedChange) bool { return slices.Contains(accepted, c) }
		rest := slices.DeleteFunc(slices.Clone(batch), wasAccepted)
		s.bisection = slices.Insert(s.bisection, 0, accepted, rest)
		return
	}
	m.excludeChanges(s, batch)
}

// splitCandidates returns the subsets of a batch to try as the first part of a split, the preferred ones first: the
// first half, longer and then shorter prefixes, and each change but the first by itself. Single changes are tried
// because an earlier change may be mergeable only with a later one that can be merged without it: then it can happen
// that no prefix splits the batch.
func splitCandidates(batch []trackedChange) [][]trackedChange {
	var subsets [][]trackedChange
	half := len(batch) / 2
	for i := range batch[1:] {
		length := half + i
		if length >= len(batch) {
			length = len(batch) - 1 - i
		}
		subsets = append(subsets, batch[:length])
	}
	for i := range batch[1:] {
		subsets = append(subsets, batch[i+1:i+2])
	}
	return subsets
}

// excludeChanges removes failed changes from the head and reports them. Files that their teams have submitted since are
// kept, and withheld files are merged again. If no change is given, all changes since the active policy are dropped.
func (m *StateMachine) excludeChanges(s *state, failed []trackedChange) {
	active := s.active()
	accepted, submitted := s.splitByActive()
	for i, c := range failed {
		if i == 0 || !m.mutated(reportOnlyFirst) {
			s.recordFailure(FailedChange{c.Change, c.MergeNumber, s.stopped.Reason, failedChangeAdvice})
		}
		switch {
		case !s.head.contains(c): // replaced by a newer submission
		case !c.isDeclaration():
			delete(submitted, c.Namespace)
		case s.activeIndex != noPolicy:
			s.declaration = active.declaration
		}
	}
	if m.mutated(keepFailedChanges) {
		return
	}
	if len(failed) == 0 {
		s.declaration = active.declaration
		submitted = map[string]submittedFile{}
	}
	pending := s.pending
	s.accepted = accepted
	s.pending = submitted
	if len(submitted) > 0 && len(pending) > 0 {
		// Files that had been accepted are merged before withheld ones. So they keep precedence: in a conflict, the
		// withheld file remains withheld.
		if m.updateHead(s, false) != nil {
			s.pending = map[string]submittedFile{}
		}
	}
	maps.Copy(s.pending, pending)
	if m.updateHead(s, false) != nil {
		s.head = *active
		s.accepted = maps.Clone(active.files)
		s.pending = map[string]submittedFile{}
	}
}

// splitByActive separates the accepted files from the head's files that are not active yet. It returns those as newer.
// In accepted, each of them is replaced by the active file of the same namespace, or removed if there is none.
func (s *state) splitByActive() (accepted, newer map[string]submittedFile) {
	active := s.active()
	accepted = maps.Clone(s.accepted)
	newer = map[string]submittedFile{}
	for name, f := range s.head.files {
		if active.files[name].text == f.text {
			continue
		}
		newer[name] = f
		delete(accepted, name)
		if previous, ok := active.files[name]; ok {
			accepted[name] = previous
		}
	}
	return accepted, newer
}

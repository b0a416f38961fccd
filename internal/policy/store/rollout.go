package store

import "slices"

// startNextRollout starts a rollout if none is under way: first of the parts of stopped batches, then of the head.
func (m *StateMachine) startNextRollout(s *state) {
	if m.mutated(displaceCandidate) && s.candidate() != nil && s.head.version.Hash != s.candidate().version.Hash {
		s.startRollout(s.head)
		return
	}
	for s.candidate() == nil || s.stopped != nil {
		if len(s.bisection) > 0 {
			m.startPart(s)
			continue
		}
		if !s.startHead() {
			return
		}
	}
}

// startPart starts the rollout of the first part of a stopped batch, unless merging it changes nothing.
func (m *StateMachine) startPart(s *state) {
	part := s.bisection[0]
	s.bisection = s.bisection[1:]
	policy, accepted := m.mergeSubset(s, part)
	if len(accepted) == 0 {
		return
	}
	s.lastEpoch++
	policy.version.Generation = s.generation
	policy.version.Epoch = s.lastEpoch
	s.startRollout(policy)
}

// startHead starts the rollout of the head. It reports false if there is nothing to roll out: the head is empty, was
// stopped, or equals the active policy.
func (s *state) startHead() bool {
	switch hash := s.head.version.Hash; {
	case hash == "":
		return false
	case s.stopped != nil && hash == s.candidate().version.Hash:
		return false
	case hash == s.active().version.Hash:
		// Other files may merge to the same policy: they are in force without a rollout.
		active := s.active()
		active.declaration = s.head.declaration
		active.files = s.head.files
		s.clearSuperseded()
		return false
	}
	if s.head.version.Generation != s.generation || s.rolledOut(s.head.version.Epoch) {
		s.lastEpoch++ // proxies accept only rising epochs
		s.head.version.Generation = s.generation
		s.head.version.Epoch = s.lastEpoch
	}
	s.startRollout(s.head)
	return true
}

// startRollout makes a policy the candidate. The active policy stays so until the rollout completes. The oldest
// retained policies other than the active one are dropped.
func (s *state) startRollout(p retainedPolicy) {
	s.retained = append(s.retained, p)
	s.candidateIndex = len(s.retained) - 1
	s.stopped = nil
	for len(s.retained) > MaxRetainedPolicies {
		oldest := 0
		if oldest == s.activeIndex {
			oldest = 1
		}
		s.retained = slices.Delete(s.retained, oldest, oldest+1)
		s.candidateIndex--
		if s.activeIndex > oldest {
			s.activeIndex--
		}
	}
}

// clearSuperseded drops the reports of failed changes that something newer in force has replaced. A fleet's first
// declaration is never excluded, so its report is dropped once it is in force.
func (s *state) clearSuperseded() {
	active := s.active()
	s.failedChanges = slices.DeleteFunc(s.failedChanges, func(f FailedChange) bool {
		if f.Number == 0 {
			return active.declaration.mergeNumber >= f.MergeNumber
		}
		return active.files[f.Namespace].number > f.Number
	})
}

// recordFailure reports a failed change, in place of an earlier report of the same namespace.
func (s *state) recordFailure(f FailedChange) {
	s.failedChanges = slices.DeleteFunc(s.failedChanges, func(o FailedChange) bool { return o.sameKind(&f) })
	s.failedChanges = append(s.failedChanges, f)
	s.failedChanges = s.failedChanges[max(0, len(s.failedChanges)-maxFailedChanges):]
}

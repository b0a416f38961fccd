package store

import "slices"

// startNextRollout starts the next rollout if none is under way. Parts of stopped batches are rolled out before the
// head.
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

// startPart removes the first part of a stopped batch from s.bisection, and starts its rollout unless its changes can
// no longer be merged or make no difference to the active policy.
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

// startHead starts the rollout of the head. It returns false if there is nothing to roll out: the head is empty, its
// rollout was stopped, or it equals the active policy.
func (s *state) startHead() bool {
	switch hash := s.head.version.Hash; {
	case hash == "":
		return false
	case s.stopped != nil && hash == s.candidate().version.Hash:
		return false
	case hash == s.active().version.Hash:
		// Other files were merged to the same policy. They become active without a rollout.
		active := s.active()
		active.declaration = s.head.declaration
		active.files = s.head.files
		s.clearSuperseded()
		return false
	}
	if s.head.version.Generation != s.generation || s.rolledOut(s.head.version.Epoch) {
		s.lastEpoch++ // proxies accept only increasing epochs
		s.head.version.Generation = s.generation
		s.head.version.Epoch = s.lastEpoch
	}
	s.startRollout(s.head)
	return true
}

// startRollout makes a policy the candidate and retains it. The active policy stays active until the rollout completes.
// If more than MaxRetainedPolicies are retained, the oldest ones are dropped, except the active policy.
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

// clearSuperseded drops the report of each failed change for which a newer file or declaration is active. A fleet's
// first declaration is never excluded, so its report is dropped once that declaration itself is active.
func (s *state) clearSuperseded() {
	active := s.active()
	s.failedChanges = slices.DeleteFunc(s.failedChanges, func(f FailedChange) bool {
		if f.Number == 0 {
			return active.declaration.mergeNumber >= f.MergeNumber
		}
		return active.files[f.Namespace].number > f.Number
	})
}

// recordFailure adds a failed change to the reports, in place of an earlier one of the same namespace or of the
// declaration. At most maxFailedChanges reports are kept.
func (s *state) recordFailure(f FailedChange) {
	s.failedChanges = slices.DeleteFunc(s.failedChanges, func(other FailedChange) bool { return other.sameSource(&f) })
	s.failedChanges = append(s.failedChanges, f)
	s.failedChanges = s.failedChanges[max(0, len(s.failedChanges)-maxFailedChanges):]
}

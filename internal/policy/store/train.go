package store

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"lapisspread/internal/policy/rollout"
)

// DeclarationName stands for the charter among changes: a change of the charter has it as its Namespace, and no Number.
const DeclarationName = "charter"

// Change is a new file of a namespace, or a new charter.
type Change struct {
	Namespace string `json:"namespace"`        // CharterName with Number 0 is the charter
	Number    uint64 `json:"number,omitempty"` // of the file
	Author    string `json:"by,omitempty"`
}

// FailedChange is a change that made a train stop. It was taken out; its number stays used.
type FailedChange struct {
	Change
	MergeNumber uint64 `json:"at"` // of a charter: the merge that it came with
	Reason      string `json:"why"`
	Advice      string `json:"help"`
}

// trackedChange is one with what tells it from others of its namespace.
type trackedChange struct {
	Change
	MergeNumber uint64 `json:"at"` // of a charter: the merge that it came with
}

func (c trackedChange) isDeclaration() bool { return c.Number == 0 }

func publicChanges(all []trackedChange) (out []Change) {
	for _, c := range all {
		out = append(out, c.Change)
	}
	return out
}

// active is what is in force; with none, what has nothing in it.
func (s *state) active() *retainedPolicy {
	if s.activeIndex < 0 {
		return &retainedPolicy{}
	}
	return &s.retained[s.activeIndex]
}

// changesBetween are what one policy came of that another did not, in the order in which they came; a charter goes first, for files may
// need it. Files that a charter leaves out are no changes of their own.
func changesBetween(from, to *retainedPolicy) (out []trackedChange) {
	if from.declaration.text != to.declaration.text {
		out = append(out, trackedChange{Change{DeclarationName, 0, to.declaration.author}, to.declaration.mergeNumber})
	}
	at := len(out)
	for name, f := range to.files {
		if from.files[name].text != f.text {
			out = append(out, trackedChange{Change{name, f.number, f.author}, f.mergeNumber})
		}
	}
	slices.SortFunc(out[at:], func(a, b trackedChange) int {
		return cmp.Or(cmp.Compare(a.MergeNumber, b.MergeNumber), strings.Compare(a.Namespace, b.Namespace))
	})
	return out
}

// contains tells whether a policy came of a change.
func (k *retainedPolicy) contains(c trackedChange) bool {
	if c.isDeclaration() {
		return k.declaration.mergeNumber == c.MergeNumber
	}
	return k.files[c.Namespace].number == c.Number
}

// startNextRollout sends a train out if none is on its way: first the parts of one that was stopped, then all that has gathered in Head.
func (b *StateMachine) startNextRollout(s *state) {
	if b.mutations&displaceCandidate != 0 && s.candidateIndex >= 0 && s.head.version.Hash != s.retained[s.candidateIndex].version.Hash {
		s.startRollout(s.head)
		return
	}
	for s.candidateIndex < 0 || s.stopped != nil {
		if len(s.bisection) > 0 {
			trial := s.bisection[0]
			s.bisection = s.bisection[1:]
			if k, came := b.mergeSubset(s, trial); len(came) > 0 {
				s.lastEpoch++
				k.version.Generation, k.version.Epoch = s.generation, s.lastEpoch
				s.startRollout(k)
			}
			continue
		}
		switch hash := s.head.version.Hash; {
		case hash == "" || s.stopped != nil && hash == s.retained[s.candidateIndex].version.Hash:
			return // that one was stopped
		case hash == s.active().version.Hash:
			// The files may be others that come to the same: then they are in force.
			s.retained[s.activeIndex].declaration, s.retained[s.activeIndex].files = s.head.declaration, s.head.files
			s.clearSuperseded()
			return
		}
		if s.head.version.Generation != s.generation || s.rolledOut(s.head.version.Epoch) {
			s.lastEpoch++ // others went out after it was merged
			s.head.version.Generation, s.head.version.Epoch = s.generation, s.lastEpoch
		}
		s.startRollout(s.head)
	}
}

// rolledOut tells whether an epoch, or one after it, has gone out.
func (s *state) rolledOut(epoch uint64) bool {
	return slices.ContainsFunc(s.retained, func(k retainedPolicy) bool { return k.version.Epoch >= epoch })
}

// startRollout has a policy go out. What all have stays until it is through.
func (s *state) startRollout(k retainedPolicy) {
	s.retained = append(s.retained, k)
	s.candidateIndex, s.stopped = len(s.retained)-1, nil
	for len(s.retained) > MaxRetainedPolicies {
		drop := 0
		if drop == s.activeIndex {
			drop = 1
		}
		s.retained = slices.Delete(s.retained, drop, drop+1)
		s.candidateIndex--
		if s.activeIndex > drop {
			s.activeIndex--
		}
	}
}

// clearSuperseded forgets the faults of which something newer is in force. A fleet's first charter is not taken out: it is in force after all.
func (s *state) clearSuperseded() {
	base := s.active()
	s.failedChanges = slices.DeleteFunc(s.failedChanges, func(f FailedChange) bool {
		return f.Number == 0 && base.declaration.mergeNumber >= f.MergeNumber || f.Number > 0 && base.files[f.Namespace].number > f.Number
	})
}

// mergeSubset is what a part of the changes comes to over what is in force, and which of them came in: one may conflict with what another
// one would have taken away. None came in if it comes to what is in force.
func (b *StateMachine) mergeSubset(s *state, part []trackedChange) (retainedPolicy, []trackedChange) {
	base := s.active()
	charter, offered := base.declaration, map[string]submittedFile{}
	if s.activeIndex < 0 {
		charter = s.declaration
	}
	for _, c := range part {
		switch {
		case !s.head.contains(c): // its team has offered another since
		case c.isDeclaration():
			charter = s.head.declaration
		default:
			offered[c.Namespace] = s.head.files[c.Namespace]
		}
	}
	out, tree, err := b.mergeFiles(charter, base.files, offered, base.tree)
	if err != nil || tree.Root().String() == base.version.Hash {
		return retainedPolicy{}, nil
	}
	k := retainedPolicy{version: rollout.Version{Hash: tree.Root().String()}, declaration: charter, files: map[string]submittedFile{}, tree: tree}
	for _, n := range out.Good {
		k.files[n.Name] = base.files[n.Name]
		if f, ok := offered[n.Name]; ok && f.number == n.Number {
			k.files[n.Name] = f
		}
	}
	var came []trackedChange
	for _, c := range part {
		if s.head.contains(c) && k.contains(c) {
			came = append(came, c)
		}
	}
	return k, came
}

// bisect finds what a train was stopped for. A single change is at fault. Of several, those that their teams have not replaced since are
// halved: one half goes out, then the rest. Where one can't go without the other, all of them are at fault.
func (b *StateMachine) bisect(s *state) {
	all := changesBetween(s.active(), &s.retained[s.candidateIndex])
	if len(all) <= 1 || b.mutations&skipBisection != 0 {
		b.excludeChanges(s, all)
		return
	}
	if s.activeIndex < 0 {
		all = slices.DeleteFunc(all, trackedChange.isDeclaration) // without one nothing goes
	}
	still := slices.DeleteFunc(slices.Clone(all), func(c trackedChange) bool { return !s.head.contains(c) })
	if len(still) < len(all) {
		if len(still) > 0 {
			s.bisection = slices.Insert(s.bisection, 0, still)
		}
		return
	}
	half := len(all) / 2
	var parts [][]trackedChange
	for i := range all[1:] {
		n := half + i // a half or more, then less
		if n >= len(all) {
			n = len(all) - 1 - i
		}
		parts = append(parts, all[:n])
	}
	for i := range all[1:] { // one may need another that came in with it, and not the other way round
		parts = append(parts, all[i+1:i+2])
	}
	for _, p := range parts {
		if _, came := b.mergeSubset(s, p); len(came) > 0 && len(came) < len(all) {
			rest := slices.DeleteFunc(slices.Clone(all), func(c trackedChange) bool { return slices.Contains(came, c) })
			s.bisection = slices.Insert(s.bisection, 0, came, rest)
			return
		}
	}
	b.excludeChanges(s, all)
}

// failedChangeAdvice is what whoever gave a change that was at fault can do.
const failedChangeAdvice = "It was taken out, and what else was under way goes on without it. Mend it and offer it under a higher number. The few proxies that " +
	"have it get the next policy first; until there is one, going back to an epoch that is kept takes them along."

// excludeChanges takes changes out of Head, and tells why. What their teams have offered since stays. What was held is looked at anew.
func (b *StateMachine) excludeChanges(s *state, all []trackedChange) {
	base, why := s.active(), s.stopped
	last, offered := maps.Clone(s.accepted), map[string]submittedFile{}
	for name, f := range s.head.files {
		if base.files[name].text == f.text {
			continue
		}
		offered[name] = f
		delete(last, name)
		if was, ok := base.files[name]; ok {
			last[name] = was
		}
	}
	for i, c := range all {
		if b.mutations&reportOnlyFirst == 0 || i == 0 {
			s.recordFailure(FailedChange{c.Change, c.MergeNumber, why.Reason, failedChangeAdvice})
		}
		switch {
		case !s.head.contains(c):
		case !c.isDeclaration():
			delete(offered, c.Namespace)
		case s.activeIndex >= 0:
			s.declaration = base.declaration
		}
	}
	if b.mutations&keepFailedChanges != 0 {
		return
	}
	if len(all) == 0 { // nobody's: then nothing of it goes
		s.declaration, offered = base.declaration, map[string]submittedFile{}
	}
	waiting := s.pending
	s.accepted, s.pending = last, offered
	if len(offered) > 0 && len(waiting) > 0 {
		if b.updateHead(s, false) != nil { // those that were in go before those that were held
			s.pending = map[string]submittedFile{}
		}
	}
	for name, f := range waiting {
		s.pending[name] = f
	}
	if b.updateHead(s, false) != nil {
		s.head, s.accepted, s.pending = *base, maps.Clone(base.files), map[string]submittedFile{}
	}
}

// recordFailure tells of one, in place of what was told of that namespace before.
func (s *state) recordFailure(f FailedChange) {
	s.failedChanges = slices.DeleteFunc(s.failedChanges, func(o FailedChange) bool { return o.Namespace == f.Namespace && (o.Number == 0) == (f.Number == 0) })
	s.failedChanges = append(s.failedChanges, f)
	s.failedChanges = s.failedChanges[max(0, len(s.failedChanges)-maxFailedChanges):]
}

package store

import (
	"fmt"
	"slices"

	"lapisspread/internal/policy/namespace"
)

// StateMachine applies the commands of a replicated log. Create it with New. Callers serialize all calls.
type StateMachine struct {
	state     state
	mutations mutation

	// The caches below are not part of the state: equal commands give equal results with and without them.
	cachedStatus *Status                    // nil if the state has changed since the last call of Status
	parsedFiles  map[string]*namespace.File // parsed files by their texts
	unchunked    map[string]string          // encoded policies by root hash; an empty text if the encoding is too long
}

// New returns an empty state machine with a first generation. A fleet that is bootstrapped again numbers its epochs
// from 1 again, so its first generation must be higher than that of any version that its proxies have received.
func New(generation uint64) *StateMachine {
	return &StateMachine{state: state{
		generation:     generation,
		accepted:       map[string]submittedFile{},
		pending:        map[string]submittedFile{},
		highestNumbers: map[string]uint64{},
		activeIndex:    noPolicy,
		candidateIndex: noPolicy,
	}}
}

// Empty reports whether the fleet has no ownership declaration yet.
func (m *StateMachine) Empty() bool { return m.state.declaration.text == "" }

// Apply executes a command. On an error the state is unchanged. The error is a NoDeclarationError, TooLargeError,
// InvalidCommandError or EpochNotRetainedError, or an error of package namespace if a file or declaration is invalid, a
// file's namespace is not declared, or its number was used before. A valid file that is withheld because of a conflict
// is not an error: see WithheldFile.
func (m *StateMachine) Apply(c Command) error {
	if count := c.setFieldCount(); count != 1 {
		return InvalidCommandError{fmt.Sprintf("it says %d things", count)}
	}
	m.cachedStatus = nil
	defer m.pruneCaches()
	switch {
	case c.SetDeclaration != nil:
		return m.setDeclaration(*c.SetDeclaration)
	case c.SubmitFile != nil:
		return m.submitFile(*c.SubmitFile)
	case c.Rollback != nil:
		return m.rollBack(*c.Rollback)
	default:
		m.finishRollout(*c.RolloutResult)
		return nil
	}
}

// setDeclaration replaces the declaration and merges all files under it.
func (m *StateMachine) setDeclaration(c SetDeclaration) error {
	if err := checkSizes("the charter", c.Text, c.Author); err != nil {
		return err
	}
	if _, err := namespace.ParseDeclaration("charter", []byte(c.Text)); err != nil {
		return err
	}
	next := m.cloneState()
	if c.Text != next.declaration.text {
		next.declaration = submittedFile{text: c.Text, author: c.Author, mergeNumber: next.mergeCount + 1}
	}
	return m.mergeAndCommit(next)
}

// submitFile makes a namespace's file pending, in place of any pending one, and merges all files.
func (m *StateMachine) submitFile(c SubmitFile) error {
	if m.Empty() {
		return NoDeclarationError{}
	}
	if err := checkSizes("a namespace's file", c.Text, c.Author); err != nil {
		return err
	}
	parsed, err := namespace.Parse("offered", []byte(c.Text))
	if err != nil {
		return err
	}
	name := parsed.Name
	declaration, err := namespace.ParseDeclaration("charter", []byte(m.state.declaration.text))
	if err != nil {
		return err
	}
	hasName := func(n namespace.DeclaredNamespace) bool { return n.Name == name }
	if !slices.ContainsFunc(declaration.Namespaces, hasName) {
		return namespace.UnknownNamespaceError{Namespace: name}
	}
	if m.state.accepted[name].text == c.Text || m.state.pending[name].text == c.Text {
		return nil // a repeated submission
	}
	highest := m.state.highestNumbers[name]
	if parsed.Number <= highest && !m.mutated(allowReusedNumbers) {
		return namespace.VersionTakenError{Namespace: name, Submitted: parsed.Number, Active: highest}
	}
	next := m.cloneState()
	next.highestNumbers[name] = max(parsed.Number, highest)
	next.pending[name] = submittedFile{text: c.Text, author: c.Author, number: parsed.Number}
	if m.mutated(allowReusedNumbers) && next.accepted[name].text != "" {
		delete(next.accepted, name)
	}
	return m.mergeAndCommit(next)
}

// mergeAndCommit merges a state whose declaration or files have changed, starts a rollout if none is under way, and
// commits the state.
func (m *StateMachine) mergeAndCommit(s *state) error {
	if err := m.updateHead(s, true); err != nil {
		return err
	}
	m.startNextRollout(s)
	m.state = *s
	return nil
}

// rollBack restores the files of a retained epoch and makes its policy active without a rollout. Pending files are
// dropped, because they were written to be merged with other files. A declaration that is not active yet is dropped
// too.
func (m *StateMachine) rollBack(c Rollback) error {
	if err := checkAuthor(c.Author); err != nil {
		return err
	}
	index := slices.IndexFunc(m.state.retained, func(p retainedPolicy) bool { return p.version.Epoch == c.Epoch })
	if index < 0 {
		return EpochNotRetainedError{c.Epoch, m.state.retainedEpochs()}
	}
	if index == m.state.activeIndex && m.state.candidateIndex == noPolicy {
		return nil // a repeated command
	}
	s := m.cloneState()
	if !m.mutated(keepGeneration) {
		s.generation++
	}
	if s.activeIndex != noPolicy {
		s.declaration = s.active().declaration
	}
	s.retained[index].version.Generation = s.generation
	s.activeIndex = index
	s.candidateIndex = noPolicy
	s.stopped = nil
	s.withheldFiles = nil
	s.conflicts = nil
	s.bisection = nil
	s.pending = map[string]submittedFile{}
	s.head = s.retained[index]
	previous := s.accepted
	s.accepted = map[string]submittedFile{}
	for name, f := range s.head.files {
		if previous[name].text != f.text {
			f.author = c.Author
		}
		s.accepted[name] = f
	}
	m.state = *s
	return nil
}

// finishRollout applies the result of the candidate's rollout. A result for another version, or a second result for the
// candidate, is stale and changes nothing.
func (m *StateMachine) finishRollout(result RolloutResult) {
	m.adoptLegacyCandidate(result)
	candidate := m.state.candidate()
	if candidate == nil || m.state.stopped != nil {
		return
	}
	if candidate.version.Epoch != result.Epoch || candidate.version.Generation != result.Generation {
		return
	}
	s := m.cloneState()
	if result.ProxyCount > 0 {
		s.proxyCount = result.ProxyCount
	}
	if result.Completed {
		s.activeIndex = s.candidateIndex
		s.candidateIndex = noPolicy
		s.clearSuperseded()
	} else {
		result.Reason = truncate(result.Reason)
		result.Advice = truncate(result.Advice)
		s.stopped = &result
		m.bisect(s)
	}
	m.startNextRollout(s)
	m.state = *s
}

// adoptLegacyCandidate makes the head the candidate if a result is about the head and the head was never rolled out.
// Logs of releases without batches contain these results, because each submission replaced the candidate there.
func (m *StateMachine) adoptLegacyCandidate(result RolloutResult) {
	head := m.state.head.version
	if head.Epoch != result.Epoch || head.Generation != result.Generation || head.Hash == "" {
		return
	}
	if m.state.rolledOut(head.Epoch) {
		return
	}
	s := m.cloneState()
	s.bisection = nil
	s.startRollout(s.head)
	m.state = *s
}

// truncate cuts a reason or an advice off after maxReasonBytes.
func truncate(text string) string {
	return text[:min(len(text), maxReasonBytes)]
}

package store

import (
	"maps"
	"slices"

	"lapisspread/internal/operatorerror"
	"lapisspread/internal/policy/merkle"
	"lapisspread/internal/policy/namespace"
	"lapisspread/internal/policy/rollout"
)

// parsedFilesSlack is how many parsed files the cache may hold in addition to twice the number of files in the state.
const parsedFilesSlack = 64

// WithheldFile reports that a namespace's file, or a part of it, is withheld. The reason is a text and not an error, so
// that the encoded state is the same on every server.
type WithheldFile struct {
	Namespace    string   `json:"namespace"`
	Submitted    uint64   `json:"offered"` // number of the file that is withheld
	Active       uint64   `json:"holds"`   // number of the file that stays in force; 0 if none does
	Author       string   `json:"by,omitempty"`
	RemovedRules []string `json:"cut,omitempty"` // rules removed from the file that stays in force
	Reason       string   `json:"why"`           // has an example request if two rules conflict about requests
	Advice       string   `json:"help"`          // the next step of the namespace's team
}

// mergeFiles merges accepted files and submitted ones, which replace or add to them, under a declaration. The tree
// shares unchanged parts with previous, which may be nil. It returns an error if a text does not parse or the tree of
// the policy cannot be built.
func (m *StateMachine) mergeFiles(
	declaration submittedFile, accepted, submitted map[string]submittedFile, previous *merkle.Tree,
) (namespace.Outcome, *merkle.Tree, error) {
	parsedDeclaration, err := namespace.ParseDeclaration("charter", []byte(declaration.text))
	if err != nil {
		return namespace.Outcome{}, nil, err
	}
	parsedAccepted, err := m.parseFiles(accepted)
	if err != nil {
		return namespace.Outcome{}, nil, err
	}
	parsedSubmitted, err := m.parseFiles(submitted)
	if err != nil {
		return namespace.Outcome{}, nil, err
	}
	outcome := namespace.Merge(parsedDeclaration, parsedAccepted, parsedSubmitted)
	tree, err := outcome.Policy.Tree()
	if err != nil || previous == nil {
		return outcome, tree, err
	}
	tree, err = previous.With(merkle.Changes(previous, tree))
	return outcome, tree, err
}

// parseFiles parses files in the order of their namespaces' names, and caches the results by text.
func (m *StateMachine) parseFiles(files map[string]submittedFile) ([]*namespace.File, error) {
	var all []*namespace.File
	for _, name := range slices.Sorted(maps.Keys(files)) {
		text := files[name].text
		parsed := m.parsedFiles[text]
		if parsed == nil || m.mutated(skipParseCache) {
			var err error
			if parsed, err = namespace.Parse(name, []byte(text)); err != nil {
				return nil, err
			}
			if m.parsedFiles == nil {
				m.parsedFiles = map[string]*namespace.File{}
			}
			m.parsedFiles[text] = parsed
		}
		all = append(all, parsed)
	}
	return all, nil
}

// pruneCaches drops cached policies that are no longer retained, and cached files that are no longer in the state once
// there are too many of them.
func (m *StateMachine) pruneCaches() {
	if len(m.parsedFiles) > 2*(len(m.state.accepted)+len(m.state.pending))+parsedFilesSlack {
		m.pruneParsedFiles()
	}
	for root := range m.unchunked {
		if _, ok := m.TreeByRoot(root); !ok {
			delete(m.unchunked, root)
		}
	}
}

// pruneParsedFiles drops parsed files that are neither accepted nor pending nor part of the active policy.
func (m *StateMachine) pruneParsedFiles() {
	needed := map[string]*namespace.File{}
	for _, files := range []map[string]submittedFile{m.state.accepted, m.state.pending, m.state.active().files} {
		for _, f := range files {
			if parsed := m.parsedFiles[f.text]; parsed != nil {
				needed[f.text] = parsed
			}
		}
	}
	m.parsedFiles = needed
}

// updateHead merges the declaration and files of a state and makes the outcome its head, with a new epoch if the policy
// changed. It returns an error if a text does not parse, or a TooLargeError if enforceLimits is set and a limit is
// exceeded. On an error s is unchanged.
func (m *StateMachine) updateHead(s *state, enforceLimits bool) error {
	if total := totalBytes(s.accepted) + totalBytes(s.pending); enforceLimits && total > MaxTotalFileBytes {
		return TooLargeError{"all namespaces' files", total, MaxTotalFileBytes}
	}
	outcome, tree, err := m.mergeFiles(s.declaration, s.accepted, s.pending, s.head.tree)
	if err != nil {
		return err
	}
	if enforceLimits && tree.Size() > MaxPolicyBytes {
		return TooLargeError{"the merged policy", tree.Size(), MaxPolicyBytes}
	}
	if m.mutated(withholdEverything) && len(outcome.Withheld) > 0 {
		pending := s.pending
		*s = *m.cloneState()
		s.pending = pending
		return nil
	}
	s.mergeCount++
	s.reportConflicts(&outcome)
	s.acceptFiles(outcome.Accepted, tree)
	return nil
}

// totalBytes returns the sum of the lengths of the files' texts.
func totalBytes(files map[string]submittedFile) int {
	total := 0
	for _, f := range files {
		total += len(f.text)
	}
	return total
}

// reportConflicts replaces the reports of withheld files and conflicts by those of a merge's outcome.
func (s *state) reportConflicts(outcome *namespace.Outcome) {
	s.withheldFiles = nil
	for _, withheld := range outcome.Withheld {
		author := s.accepted[withheld.Namespace].author
		if pending, ok := s.pending[withheld.Namespace]; ok && withheld.Submitted == pending.number {
			author = pending.author
		}
		s.withheldFiles = append(s.withheldFiles, WithheldFile{
			Namespace:    withheld.Namespace,
			Submitted:    withheld.Submitted,
			Active:       withheld.Active,
			Author:       author,
			RemovedRules: withheld.RemovedRules,
			Reason:       truncate(withheld.Error()),
			Advice:       operatorerror.AdviceOf(withheld),
		})
	}
	s.conflicts = nil
	for _, conflict := range outcome.Conflicts[:min(maxConflicts, len(outcome.Conflicts))] {
		s.conflicts = append(s.conflicts, truncate(conflict.String()))
	}
}

// acceptFiles moves the pending files that a merge accepted to the accepted ones, and makes the merged policy the head.
func (s *state) acceptFiles(accepted []*namespace.File, tree *merkle.Tree) {
	merged := retainedPolicy{
		version:     s.head.version,
		declaration: s.declaration,
		files:       map[string]submittedFile{},
		tree:        tree,
	}
	for _, n := range accepted {
		if f, ok := s.pending[n.Name]; ok && n.Number == f.number {
			f.mergeNumber = s.mergeCount
			s.accepted[n.Name] = f
			delete(s.pending, n.Name)
		}
		merged.files[n.Name] = s.accepted[n.Name]
	}
	if root := tree.Root().String(); root != s.head.version.Hash {
		s.lastEpoch++
		merged.version = rollout.Version{Generation: s.generation, Epoch: s.lastEpoch, Hash: root}
	}
	s.head = merged
}

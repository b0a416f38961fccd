package store

import (
	"maps"
	"slices"

	"lapisspread/internal/operatorerror"
	"lapisspread/internal/policy/merkle"
	"lapisspread/internal/policy/namespace"
	"lapisspread/internal/policy/rollout"
)

// parsedFilesSlack is how many parsed files the cache may hold beyond twice those of the state.
const parsedFilesSlack = 64

// WithheldFile reports a namespace's file that is withheld, all or in part. Reasons are texts and not errors, so
// that the state has the same bytes on every server.
type WithheldFile struct {
	Namespace    string   `json:"namespace"`
	Submitted    uint64   `json:"offered"` // number of the file that is withheld
	Active       uint64   `json:"holds"`   // number of the file that stays in force; 0 is none
	Author       string   `json:"by,omitempty"`
	RemovedRules []string `json:"cut,omitempty"`
	Reason       string   `json:"why"` // with an example request, where a conflict is about requests
	Advice       string   `json:"help"`
}

// mergeFiles merges submitted files over accepted ones under a declaration. The tree shares with previous what is
// the same in both; previous may be nil.
func (m *StateMachine) mergeFiles(
	declaration submittedFile, accepted, submitted map[string]submittedFile, previous *merkle.Tree,
) (namespace.Outcome, *merkle.Tree, error) {
	parsed, err := namespace.ParseDeclaration("charter", []byte(declaration.text))
	if err != nil {
		return namespace.Outcome{}, nil, err
	}
	last, err := m.parseFiles(accepted)
	if err != nil {
		return namespace.Outcome{}, nil, err
	}
	next, err := m.parseFiles(submitted)
	if err != nil {
		return namespace.Outcome{}, nil, err
	}
	outcome := namespace.Merge(parsed, last, next)
	tree, err := outcome.Policy.Tree()
	if err != nil || previous == nil {
		return outcome, tree, err
	}
	tree, err = previous.With(merkle.Changes(previous, tree))
	return outcome, tree, err
}

// parseFiles parses files in the order of their namespaces, and caches the results by text.
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

// pruneCaches drops cached files and encoded policies that nothing refers to any more.
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

// updateHead merges what a state holds and makes the outcome its head, under a new epoch if the policy changed. It
// returns a TooLargeError if enforceLimits is set and a bound is exceeded. On an error s is unchanged.
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

func totalBytes(files map[string]submittedFile) int {
	total := 0
	for _, f := range files {
		total += len(f.text)
	}
	return total
}

// reportConflicts replaces the reports of withheld files and of conflicts by those of a merge.
func (s *state) reportConflicts(outcome *namespace.Outcome) {
	s.withheldFiles = nil
	for _, held := range outcome.Withheld {
		author := s.accepted[held.Namespace].author
		if pending, ok := s.pending[held.Namespace]; ok && held.Submitted == pending.number {
			author = pending.author
		}
		s.withheldFiles = append(s.withheldFiles, WithheldFile{
			Namespace:    held.Namespace,
			Submitted:    held.Submitted,
			Active:       held.Active,
			Author:       author,
			RemovedRules: held.RemovedRules,
			Reason:       truncate(held.Error()),
			Advice:       operatorerror.AdviceOf(held),
		})
	}
	s.conflicts = nil
	for _, conflict := range outcome.Conflicts[:min(maxConflicts, len(outcome.Conflicts))] {
		s.conflicts = append(s.conflicts, truncate(conflict.String()))
	}
}

// acceptFiles moves pending files that a merge accepted to the accepted ones, and makes the merged policy the head.
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

package namespace

import (
	"cmp"
	"maps"
	"slices"
	"strings"
)

// Outcome is the result of a merge.
type Outcome struct {
	Policy    *Policy
	Hash      string          // hash of the policy
	Withheld  []WithheldError // withheld files and removed rules, sorted by namespace
	Conflicts []Conflict      // all conflicts, sorted; those that withheld a file name its namespace
	Accepted  []*File         // the accepted files to pass to the next merge, sorted by namespace
}

// Merge merges the submitted files with the last accepted ones into a policy. A submitted file that is invalid or
// causes a conflict is withheld: its namespace's last accepted file stays in force, and the files of other namespaces
// are not delayed. A namespace that submits no file keeps its last accepted one. The outcome depends on the files
// alone, not on the order in which they are given:
//
//   - For each conflict, one submitted file is withheld. It is one that added, changed or removed one of the
//     conflicting rules, and whose namespace's last accepted file would not have the conflict. If that holds for
//     several files, it is the one whose namespace is last by precedence. Namespaces with fewer delegations between
//     them and a root have precedence; namespaces at the same depth are ordered by name.
//   - If there is no such file, for example after a change of the declaration, the conflicting rule of the namespace
//     that is last by precedence is removed from the policy. Its file stays accepted, and the rule returns in the
//     first merge in which it has no conflict.
//   - So the policy has no conflict that withholds a file. Outcome.Conflicts also has the conflicts that are only
//     reported.
func Merge(d *Declaration, accepted, submitted []*File) Outcome {
	return merge(d, accepted, submitted, 0)
}

// merge is like Merge, but with the given mutations: faults that tests inject to show that their checks detect them.
func merge(d *Declaration, accepted, submitted []*File, mutations mutation) Outcome {
	m := newMerger(d, mutations)
	m.addAccepted(accepted)
	submissions := m.addSubmitted(submitted)
	m.rank(accepted, submitted)
	inForce := m.chooseFiles(submissions)
	f := newFinder(d, inForce)
	for found := f.withholding(m.activeFiles()); len(found) > 0; found = f.withholding(m.activeFiles()) {
		sortConflicts(found)
		m.report(found)
		if m.hasMutation(acceptAll) {
			break
		}
		m.settle(found)
	}
	if !m.hasMutation(noReinstatement) {
		m.reinstate(f)
	}
	m.report(f.reported(m.activeFiles()))
	return m.outcome()
}

// merger is the state of one merge.
type merger struct {
	declaration       *Declaration
	mutations         mutation // faults injected by tests; 0 in production
	participants      map[string]*participant
	unknown           map[string]*WithheldError // errors for the files of undeclared namespaces, by namespace
	namesByPrecedence []string                  // names of the participants, the highest precedence first
	ranks             map[string]int            // index of each namespace in namesByPrecedence
	conflicts         []Conflict
	reported          map[string]bool // texts of the conflicts that are already in the field conflicts
}

// participant is a namespace in a merge. Files that do not exist are nil.
type participant struct {
	name         string
	lastAccepted *File           // the last accepted file, as it was submitted
	withinDomain *File           // lastAccepted without the rules outside the current domain
	submitted    *File           // the submitted file, until it is withheld
	withheldFile *File           // the submitted file, after it was withheld for a conflict
	active       *File           // the file, or part of it, that is merged into the policy
	removedRules map[string]bool // IDs of rules that were removed from the active file
	withheld     *WithheldError  // the error for a withheld file or removed rules; nil if there are none
}

// newMerger returns a merger with a participant for each declared namespace, but without files.
func newMerger(d *Declaration, mutations mutation) *merger {
	m := &merger{
		declaration:  d,
		mutations:    mutations,
		participants: map[string]*participant{},
		unknown:      map[string]*WithheldError{},
		ranks:        map[string]int{},
		reported:     map[string]bool{},
	}
	for _, n := range d.Namespaces {
		m.participants[n.Name] = &participant{name: n.Name, removedRules: map[string]bool{}}
	}
	return m
}

// addAccepted sets the last accepted file of each namespace.
func (m *merger) addAccepted(files []*File) {
	for _, f := range files {
		p := m.participants[f.Name]
		if p == nil {
			m.unknown[f.Name] = unknownNamespace(f)
			continue
		}
		if p.lastAccepted == nil || f.newerThan(p.lastAccepted) {
			p.lastAccepted = f
		}
	}
}

// newerThan orders files of one namespace by number. Files with the same number are ordered by their texts, so that the
// order in which they are given has no influence.
func (f *File) newerThan(other *File) bool {
	return f.Number > other.Number || f.Number == other.Number && f.rulesText() < other.rulesText()
}

// unknownNamespace returns the error for a file of a namespace that the declaration does not have.
func unknownNamespace(f *File) *WithheldError {
	return &WithheldError{Namespace: f.Name, Submitted: f.Number, Cause: UnknownNamespaceError{f.Name}}
}

// addSubmitted returns the submitted files by namespace. Files of undeclared namespaces are only added to unknown.
func (m *merger) addSubmitted(files []*File) map[string][]*File {
	submissions := map[string][]*File{}
	for _, f := range files {
		if m.participants[f.Name] != nil {
			submissions[f.Name] = append(submissions[f.Name], f)
			continue
		}
		if withheld := m.unknown[f.Name]; withheld == nil || f.Number > withheld.Submitted {
			m.unknown[f.Name] = unknownNamespace(f)
		}
	}
	return submissions
}

// rank sets namesByPrecedence and ranks: namespaces with a smaller delegation depth come first, and those at the same
// depth are ordered by name.
func (m *merger) rank(accepted, submitted []*File) {
	depth := m.declaration.depth
	m.namesByPrecedence = slices.SortedFunc(maps.Keys(m.participants), func(a, b string) int {
		return cmp.Or(cmp.Compare(depth[a], depth[b]), strings.Compare(a, b))
	})
	if m.hasMutation(arrivalOrder) {
		m.namesByPrecedence = nil
		for _, f := range append(slices.Clone(submitted), accepted...) {
			if m.participants[f.Name] != nil && !slices.Contains(m.namesByPrecedence, f.Name) {
				m.namesByPrecedence = append(m.namesByPrecedence, f.Name)
			}
		}
	}
	for i, name := range m.namesByPrecedence {
		m.ranks[name] = i
	}
}

// chooseFiles sets the active file of each namespace before conflicts are considered. It returns the files that are in
// force if no submitted file is accepted.
func (m *merger) chooseFiles(submissions map[string][]*File) []*File {
	var inForce []*File
	for _, name := range m.namesByPrecedence {
		p := m.participants[name]
		if p.lastAccepted != nil {
			p.removeRulesOutsideDomain(m.declaration)
			inForce = append(inForce, p.withinDomain)
		}
		p.active = p.withinDomain
		p.chooseSubmitted(m.declaration, submissions[name])
		if p.submitted != nil {
			p.active = p.submitted
		}
	}
	return inForce
}

// removeRulesOutsideDomain removes the rules of the last accepted file that are outside the domain of a changed
// declaration.
func (p *participant) removeRulesOutsideDomain(d *Declaration) {
	p.withinDomain = p.lastAccepted
	outside := d.rulesOutsideDomain(p.lastAccepted)
	if len(outside) == 0 {
		return
	}
	for id := range outside {
		p.removedRules[id] = true
	}
	p.withhold(p.lastAccepted.Number, p.lastAccepted.domainErrors(outside))
	p.withinDomain = p.lastAccepted.without(p.removedRules)
}

// chooseSubmitted sets submitted to the file with the highest number, or withholds that file: if another file has the
// same number with other rules, if the number is not above that of the last accepted file, or if a rule is outside the
// domain. The last accepted file may be submitted again.
func (p *participant) chooseSubmitted(d *Declaration, files []*File) {
	unreadable := p.withholdUnreadable(files)
	highest, ambiguous := highestNumber(files)
	switch {
	case highest == nil:
		return
	case ambiguous:
		p.withhold(highest.Number, VersionTakenError{p.name, highest.Number, highest.Number})
		return
	case p.lastAccepted != nil && highest.Number <= p.lastAccepted.Number:
		if highest.Number < p.lastAccepted.Number || !highest.sameRules(p.lastAccepted) {
			p.withhold(highest.Number, VersionTakenError{p.name, highest.Number, p.lastAccepted.Number})
		}
		return
	}
	if outside := d.rulesOutsideDomain(highest); len(outside) > 0 {
		p.withhold(highest.Number, highest.domainErrors(outside))
		return
	}
	p.submitted = highest
	p.removedRules = map[string]bool{}
	if !unreadable {
		p.withheld = nil // the rules that were outside the domain are no longer in the file
	}
}

// withholdUnreadable withholds unreadable files, and reports whether there are any. Of several errors it keeps the
// first in string order, so that the order of the files has no influence.
func (p *participant) withholdUnreadable(files []*File) bool {
	var errs []string
	for _, f := range files {
		if f.readError == nil {
			continue
		}
		errs = append(errs, f.readError.Error())
		if p.withheld == nil || f.readError.Error() == slices.Min(errs) {
			p.withhold(0, f.readError)
		}
	}
	return len(errs) > 0
}

// highestNumber returns the readable file with the highest number, and whether another file has the same number but
// other rules.
func highestNumber(files []*File) (*File, bool) {
	var highest *File
	ambiguous := false
	for _, f := range files {
		switch {
		case f.readError != nil:
		case highest == nil || f.Number > highest.Number:
			highest = f
			ambiguous = false
		case f.Number == highest.Number && !f.sameRules(highest):
			ambiguous = true
		}
	}
	return highest, ambiguous
}

// withhold records that the file with a number is withheld, and why.
func (p *participant) withhold(number uint64, cause error) {
	p.withheld = &WithheldError{Namespace: p.name, Submitted: number, Cause: cause}
}

// activeFiles returns the active files of all namespaces, the highest precedence first.
func (m *merger) activeFiles() []*File {
	var files []*File
	for _, name := range m.namesByPrecedence {
		if active := m.participants[name].active; active != nil {
			files = append(files, active)
		}
	}
	return files
}

// report adds conflicts to those of the outcome. Conflicts with the same text are added once.
func (m *merger) report(conflicts []Conflict) {
	for _, c := range conflicts {
		text := c.String()
		if !m.reported[text] {
			m.reported[text] = true
			m.conflicts = append(m.conflicts, c)
		}
	}
}

// outcome returns the results, sorted so that they do not depend on the order of the given files.
func (m *merger) outcome() Outcome {
	policy := assemble(m.declaration, m.activeFiles())
	m.setWithheldNamespaces()
	out := Outcome{Policy: policy, Hash: policy.Hash(), Conflicts: m.conflicts}
	for _, name := range m.namesByPrecedence {
		p := m.participants[name]
		switch {
		case p.submitted != nil:
			out.Accepted = append(out.Accepted, p.submitted)
		case p.lastAccepted != nil:
			out.Accepted = append(out.Accepted, p.lastAccepted)
		}
		if p.withheld != nil {
			out.Withheld = append(out.Withheld, p.withheldError())
		}
	}
	for _, name := range slices.Sorted(maps.Keys(m.unknown)) {
		out.Withheld = append(out.Withheld, *m.unknown[name])
	}
	slices.SortFunc(out.Withheld, func(a, b WithheldError) int { return strings.Compare(a.Namespace, b.Namespace) })
	slices.SortFunc(out.Accepted, func(a, b *File) int { return strings.Compare(a.Name, b.Name) })
	sortConflicts(out.Conflicts)
	return out
}

// withheldError returns the error for a namespace that has a file or rules withheld.
func (p *participant) withheldError() WithheldError {
	withheld := *p.withheld
	withheld.RemovedRules = slices.Sorted(maps.Keys(p.removedRules))
	withheld.Active = 0
	if p.active != nil {
		withheld.Active = p.active.Number
	}
	return withheld
}

// setWithheldNamespaces sets Conflict.Withheld of each conflict for which a file was withheld. If several namespaces of
// a conflict have something withheld, it is the last by precedence.
func (m *merger) setWithheldNamespaces() {
	for i := range m.conflicts {
		c := &m.conflicts[i]
		if !c.Kind.Withholds() {
			continue
		}
		for _, r := range c.Rules {
			p := m.participants[r.Namespace]
			if p == nil || p.withheld == nil {
				continue
			}
			if c.Withheld == "" || m.ranks[p.name] > m.ranks[c.Withheld] {
				c.Withheld = p.name
			}
		}
	}
}

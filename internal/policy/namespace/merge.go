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
	Hash      string          // of the policy
	Withheld  []WithheldError // by namespace
	Conflicts []Conflict
	Accepted  []*File // by namespace: what the next merge takes as accepted
}

// Merge merges submitted files over the last accepted ones. A file that is invalid or that brings a conflict is
// withheld, and its namespace goes on with its last accepted file; nobody else waits. The outcome depends on the files
// alone, not on the order in which they are given:
//
//   - Of the namespaces in a conflict, one is withheld that added or changed a rule of it and whose last accepted file
//     would not have the conflict. If that holds for several, it is the last by precedence: those nearer to the root of
//     the delegations come first, then it is by name.
//   - If none did (the declaration has changed), the rule of the last one by precedence is removed from its accepted
//     file. It returns with the first merge in which it conflicts with nothing.
//   - So the policy has no conflict that withholds a file. The others are in Outcome.Conflicts.
//
// A namespace that submits nothing goes on with its last accepted file.
func Merge(d *Declaration, accepted, submitted []*File) Outcome {
	return merge(d, accepted, submitted, 0)
}

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
	mutations         mutation
	participants      map[string]*participant
	unknown           map[string]*WithheldError // files of namespaces that the declaration does not have
	namesByPrecedence []string                  // of participants, by precedence
	ranks             map[string]int            // in names
	conflicts         []Conflict
	reported          map[string]bool // conflicts, by their texts
}

// participant is a namespace in a merge. A file is nil where there is none.
type participant struct {
	name         string
	lastAccepted *File           // as it was submitted
	withinDomain *File           // lastAccepted without the rules that are outside the domain now
	submitted    *File           // what may be accepted
	withheldFile *File           // what was submitted and withheld for a conflict
	active       *File           // what takes part in the policy
	removedRules map[string]bool // IDs of rules of lastAccepted that do not
	withheld     *WithheldError
}

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

// addAccepted notes the last accepted file of each namespace.
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

// newerThan orders files of one namespace. Of two with one number the texts decide, so that their order does not.
func (f *File) newerThan(other *File) bool {
	return f.Number > other.Number || f.Number == other.Number && f.rulesText() < other.rulesText()
}

func unknownNamespace(f *File) *WithheldError {
	return &WithheldError{Namespace: f.Name, Submitted: f.Number, Cause: UnknownNamespaceError{f.Name}}
}

// addSubmitted returns the submitted files by namespace.
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

// rank orders the namespaces by precedence.
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

// chooseFiles chooses the active file of each namespace, before conflicts are looked at. It returns the files that are
// in force without the submitted ones.
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

// chooseSubmitted takes the submitted file with the highest number, if it may be accepted.
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
		p.withheld = nil // what was outside the domain is replaced
	}
}

// withholdUnreadable reports the unreadable file whose error is the least, so that their order does not matter.
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

// highestNumber returns the readable file with the highest number, and whether another one has that number and other
// rules.
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

func (p *participant) withhold(number uint64, cause error) {
	p.withheld = &WithheldError{Namespace: p.name, Submitted: number, Cause: cause}
}

// activeFiles returns the files that take part in the policy, by precedence.
func (m *merger) activeFiles() []*File {
	var files []*File
	for _, name := range m.namesByPrecedence {
		if active := m.participants[name].active; active != nil {
			files = append(files, active)
		}
	}
	return files
}

// report adds conflicts to the outcome, each once.
func (m *merger) report(conflicts []Conflict) {
	for _, c := range conflicts {
		text := c.String()
		if !m.reported[text] {
			m.reported[text] = true
			m.conflicts = append(m.conflicts, c)
		}
	}
}

// outcome collects the results, in an order that does not depend on that of the files.
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

// withheldError is what is reported of a namespace of which something was withheld.
func (p *participant) withheldError() WithheldError {
	withheld := *p.withheld
	withheld.RemovedRules = slices.Sorted(maps.Keys(p.removedRules))
	withheld.Active = 0
	if p.active != nil {
		withheld.Active = p.active.Number
	}
	return withheld
}

// setWithheldNamespaces names the namespace that was withheld for each conflict: of several, the last by precedence.
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

package namespace

import (
	"slices"
	"strings"
)

// settle withholds one submitted file that is responsible for a conflict, or, if there is none, removes rules. If
// several files are responsible, it withholds that of the first namespace by precedence. The others are considered
// again after that, because they may conflict only with the file that was just withheld.
func (m *merger) settle(conflicts []Conflict) {
	if responsible, conflict := m.firstResponsible(conflicts); responsible != nil {
		if m.hasMutation(withholdAll) {
			m.withholdOtherFiles(responsible, conflict)
		}
		responsible.withholdSubmitted(conflict)
		return
	}
	m.removeRules(conflicts)
}

// firstResponsible returns the first namespace by precedence whose submitted file is responsible for one of the
// conflicts, and that conflict. Of the files that caused a conflict, the one of the last namespace by precedence is
// responsible.
func (m *merger) firstResponsible(conflicts []Conflict) (*participant, *Conflict) {
	var first *participant
	var conflict *Conflict
	for i := range conflicts {
		c := &conflicts[i]
		responsible, _ := m.lastEligible(c, func(p *participant, id string) bool {
			return p.caused(c.Kind, id) || m.hasMutation(withholdUnchanged) && p.submitted != nil
		})
		if responsible != nil && (first == nil || m.ranks[responsible.name] < m.ranks[first.name]) {
			first = responsible
			conflict = c
		}
	}
	return first, conflict
}

// lastEligible returns, of the namespaces that have an eligible rule in a conflict, the last one by precedence, with
// the ID of the rule. It returns nil if no rule is eligible.
func (m *merger) lastEligible(c *Conflict, eligible func(p *participant, id string) bool) (*participant, string) {
	var last *participant
	var id string
	for _, r := range c.Rules {
		p := m.participants[r.Namespace]
		if p == nil || !eligible(p, r.Rule) {
			continue
		}
		if last == nil || m.ranks[p.name] > m.ranks[last.name] {
			last = p
			id = r.Rule
		}
	}
	return last, id
}

// caused reports whether the submitted file added, changed or removed the rule with an ID in a conflict. For conflicts
// about minimums or combinations, it reports whether the file raised the minimum or the number of combinations.
func (p *participant) caused(kind ConflictKind, id string) bool {
	if p.submitted == nil || p.removedRules[id] {
		return false
	}
	if p.lastAccepted == nil {
		return true
	}
	switch kind {
	case TooManyCombinations:
		return p.active.countCombinations() > p.lastAccepted.countCombinations()
	case MinimumsExceedLimit:
		return p.active.minimum(id) > p.lastAccepted.minimum(id)
	}
	return p.active.ruleTexts[id] != p.lastAccepted.ruleTexts[id]
}

// withholdSubmitted withholds the submitted file for a conflict and makes the last accepted file active again.
func (p *participant) withholdSubmitted(c *Conflict) {
	p.withhold(p.submitted.Number, c.Err())
	p.withheldFile = p.submitted
	p.submitted = nil
	p.active = p.withinDomain
	p.removedRules = map[string]bool{}
	if p.lastAccepted == nil {
		return
	}
	for id := range p.lastAccepted.ruleTexts {
		if _, ok := p.withinDomain.ruleTexts[id]; !ok {
			p.removedRules[id] = true
		}
	}
}

// withholdOtherFiles implements the mutation withholdAll: it withholds all other submitted files in a conflict.
func (m *merger) withholdOtherFiles(responsible *participant, c *Conflict) {
	for _, r := range c.Rules {
		p := m.participants[r.Namespace]
		if p == responsible || p.submitted == nil {
			continue
		}
		p.withhold(p.submitted.Number, c.Err())
		p.submitted = nil
		p.active = p.withinDomain
	}
}

// ruleRef identifies a rule of a namespace.
type ruleRef struct{ namespace, id string }

// removeRules removes one rule for each conflict, of the last namespace by precedence. A conflict is skipped if one of
// its rules was just removed for another conflict: either that resolves it, or the next search finds it again.
func (m *merger) removeRules(conflicts []Conflict) {
	removed := map[ruleRef]bool{}
	affected := map[string]bool{}
	for i := range conflicts {
		c := &conflicts[i]
		isRemoved := func(r Source) bool { return removed[ruleRef{r.Namespace, r.Rule}] }
		if slices.ContainsFunc(c.Rules, isRemoved) {
			continue
		}
		p, id := m.lastEligible(c, func(p *participant, id string) bool { return p.mayRemove(c.Kind, id) })
		removed[ruleRef{p.name, id}] = true
		affected[p.name] = true
		if c.Kind == TooManyCombinations || c.More {
			p.removeAllRoutes() // the conflict does not name all conflicting routes, so all routes are removed
		} else {
			p.removedRules[id] = true
		}
		if p.withheld == nil {
			p.withhold(p.active.Number, c.Err())
		}
	}
	for name := range affected {
		p := m.participants[name]
		p.active = p.active.without(p.removedRules)
	}
}

// mayRemove reports whether removing a rule may resolve a conflict. For a removed service, only removing the route to
// it does.
func (p *participant) mayRemove(kind ConflictKind, id string) bool {
	if p.active == nil || p.active.ruleTexts[id] == "" && kind != TooManyCombinations {
		return false
	}
	return kind != ServiceRemoved || strings.HasPrefix(id, routeIDPrefix)
}

// removeAllRoutes adds all routes of the active file to removedRules.
func (p *participant) removeAllRoutes() {
	for i := range p.active.Routes {
		p.removedRules[p.active.Routes[i].id()] = true
	}
}

// reinstate accepts withheld files that no longer cause a conflict, because the file that they conflicted with was
// itself withheld later. When it returns, each file that is still withheld would cause a conflict if it were accepted.
func (m *merger) reinstate(f *finder) {
	for changed := true; changed; {
		changed = false
		for _, name := range m.namesByPrecedence {
			p := m.participants[name]
			if p.withheldFile == nil {
				continue
			}
			before := *p
			p.active = p.withheldFile
			p.submitted = p.withheldFile
			p.withheldFile = nil
			p.withheld = nil
			p.removedRules = map[string]bool{}
			if len(f.withholding(m.activeFiles())) > 0 {
				*p = before
				continue
			}
			changed = true
		}
	}
}

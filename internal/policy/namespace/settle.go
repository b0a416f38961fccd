package namespace

import (
	"slices"
	"strings"
)

// settle withholds one file, of the first namespace by precedence among those that lose a conflict: others may have
// lost only to that file, and are looked at again. If nobody loses one, it removes rules.
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

// firstResponsible returns the first namespace by precedence that loses one of the conflicts, with that conflict.
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

// lastEligible returns the last namespace by precedence of which a rule in a conflict is eligible, and the ID of that
// rule.
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

// caused reports whether the submitted file added, changed or removed a rule; of minimums and of combinations, whether
// it raised them.
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

// withholdSubmitted returns to the last accepted file.
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

// withholdOtherFiles is a mutation: it withholds all other submitted files in a conflict.
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

// ruleRef names a rule of a namespace.
type ruleRef struct{ namespace, id string }

// removeRules removes one rule for each conflict, of the last namespace by precedence. A conflict of which a rule is
// already removed is settled, or is found again.
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
			p.removeAllRoutes() // the routes that are not listed cannot be removed one by one
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

// mayRemove reports whether removing a rule settles a conflict. Of a removed service that is the route to it.
func (p *participant) mayRemove(kind ConflictKind, id string) bool {
	if p.active == nil || p.active.ruleTexts[id] == "" && kind != TooManyCombinations {
		return false
	}
	return kind != ServiceRemoved || strings.HasPrefix(id, routeIDPrefix)
}

func (p *participant) removeAllRoutes() {
	for i := range p.active.Routes {
		p.removedRules[p.active.Routes[i].id()] = true
	}
}

// reinstate accepts files that were withheld for a conflict with a file that was itself withheld later. In the end each
// withheld file would bring a conflict.
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

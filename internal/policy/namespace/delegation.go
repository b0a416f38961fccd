package namespace

import (
	"fmt"
	"slices"
)

// domainPart is one part of a namespace's domain, with the namespaces whose delegations it came through; none for its
// own.
type domainPart struct {
	domain     *Domain
	delegators []string
}

// resolveDelegations gives each namespace the parts that are delegated to it. A delegation is resolved once all
// delegations to its delegator are, because they decide what the delegator has.
func (d *Declaration) resolveDelegations(errs *keyErrors) {
	resolved := make([]bool, len(d.Delegations))
	for left := len(resolved); left > 0; {
		waiting := d.unresolvedDelegates(resolved)
		before := left
		for i := range d.Delegations {
			if resolved[i] || waiting[d.Delegations[i].From] {
				continue
			}
			resolved[i] = true
			left--
			d.resolveDelegation(i, errs)
		}
		if left == before {
			d.addCycle(resolved, waiting, errs)
			return
		}
	}
}

// unresolvedDelegates returns the namespaces to which some delegation is not resolved.
func (d *Declaration) unresolvedDelegates(resolved []bool) map[string]bool {
	waiting := map[string]bool{}
	for i, delegation := range d.Delegations {
		if !resolved[i] {
			waiting[delegation.To] = true
		}
	}
	return waiting
}

// resolveDelegation adds a delegation to its delegate's parts, once for each of the delegator's parts that contains it.
func (d *Declaration) resolveDelegation(index int, errs *keyErrors) {
	delegation := &d.Delegations[index]
	from := delegation.From
	to := delegation.To
	excess := "it has nothing"
	contained := false
	for _, part := range d.parts[from] {
		if over := delegation.excessOver(part.domain); over != "" {
			excess = over
			continue
		}
		contained = true
		delegators := append(slices.Clone(part.delegators), from)
		d.parts[to] = append(d.parts[to], domainPart{&delegation.Domain, delegators})
		d.depth[to] = max(d.depth[to], d.depth[from]+1)
	}
	if !contained {
		errs.add(fmt.Sprintf("delegation[%d]", index), DelegationTooWideError{from, to, excess})
	}
}

// addCycle adds the fault that delegations wait for each other.
func (d *Declaration) addCycle(resolved []bool, waiting map[string]bool, errs *keyErrors) {
	var through []string
	first := -1
	for i, delegation := range d.Delegations {
		if resolved[i] || !waiting[delegation.From] {
			continue
		}
		through = append(through, delegation.From)
		if first < 0 {
			first = i
		}
	}
	slices.Sort(through)
	errs.add(fmt.Sprintf("delegation[%d]", first), DelegationCycleError{slices.Compact(through)})
}

// delegatorsOf returns all namespaces that a namespace has a part of its domain from.
func (d *Declaration) delegatorsOf(name string) []string {
	var all []string
	for _, part := range d.parts[name] {
		all = append(all, part.delegators...)
	}
	return all
}

// delegated reports whether a rule of a namespace is within what another one delegated to it, directly or through
// others: each delegation on the way has the setting and contains the rule. It ends, because delegations have no cycle.
func (d *Declaration) delegated(to, from, setting string, rule *Match) bool {
	for _, delegation := range d.delegationsTo[to] {
		if !slices.Contains(delegation.Settings, setting) || delegation.excess(rule) != "" {
			continue
		}
		if delegation.From == from || d.delegated(delegation.From, from, setting, rule) {
			return true
		}
	}
	return false
}

// routesMayIntersect reports whether routes of two namespaces can be for one request at all.
func (d *Declaration) routesMayIntersect(a, b string) bool {
	for _, x := range d.parts[a] {
		for _, y := range d.parts[b] {
			if !slices.Contains(x.domain.Settings, SettingRoute) || !slices.Contains(y.domain.Settings, SettingRoute) {
				continue
			}
			if _, ok := x.domain.intersectRequests(y.domain); ok {
				return true
			}
		}
	}
	return false
}

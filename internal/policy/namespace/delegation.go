package namespace

import (
	"fmt"
	"slices"
)

// domainPart is one part of a namespace's domain. Delegators lists the namespaces that delegated it, from the root to
// the direct delegator; it is empty for the namespace's own domain.
type domainPart struct {
	domain     *Domain
	delegators []string
}

// resolveDelegations adds the delegated parts to each namespace's parts. A delegation is resolved after all delegations
// to its delegator, because these decide which parts the delegator has. It reports a cycle if none of the remaining
// delegations can be resolved.
func (d *Declaration) resolveDelegations(errs *keyErrors) {
	resolved := make([]bool, len(d.Delegations))
	for remaining := len(resolved); remaining > 0; {
		unresolved := d.unresolvedDelegates(resolved)
		remainingBefore := remaining
		for i := range d.Delegations {
			if resolved[i] || unresolved[d.Delegations[i].From] {
				continue
			}
			resolved[i] = true
			remaining--
			d.resolveDelegation(i, errs)
		}
		if remaining == remainingBefore {
			d.addCycle(resolved, unresolved, errs)
			return
		}
	}
}

// unresolvedDelegates returns the namespaces to which some delegation is not resolved yet.
func (d *Declaration) unresolvedDelegates(resolved []bool) map[string]bool {
	unresolved := map[string]bool{}
	for i, delegation := range d.Delegations {
		if !resolved[i] {
			unresolved[delegation.To] = true
		}
	}
	return unresolved
}

// resolveDelegation adds a delegation to its delegate's parts, once for each of the delegator's parts that contains it.
// If none does, it adds a DelegationTooWideError.
func (d *Declaration) resolveDelegation(index int, errs *keyErrors) {
	delegation := &d.Delegations[index]
	from := delegation.From
	to := delegation.To
	excess := "it has nothing" // the reason in the error if the delegator has no parts
	contained := false
	for _, part := range d.parts[from] {
		if outsidePart := delegation.excessOver(part.domain); outsidePart != "" {
			excess = outsidePart
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

// addCycle adds a DelegationCycleError for the delegations that cannot be resolved, at the key of the first one.
func (d *Declaration) addCycle(resolved []bool, unresolved map[string]bool, errs *keyErrors) {
	var delegators []string
	first := -1
	for i, delegation := range d.Delegations {
		if resolved[i] || !unresolved[delegation.From] {
			continue
		}
		delegators = append(delegators, delegation.From)
		if first < 0 {
			first = i
		}
	}
	slices.Sort(delegators)
	errs.add(fmt.Sprintf("delegation[%d]", first), DelegationCycleError{slices.Compact(delegators)})
}

// delegatorsOf returns the namespaces that delegated a part of their domain to a namespace, directly or through others.
func (d *Declaration) delegatorsOf(name string) []string {
	var all []string
	for _, part := range d.parts[name] {
		all = append(all, part.delegators...)
	}
	return all
}

// delegated reports whether a rule is within what namespace "from" delegated to namespace "to", directly or through
// others: each delegation on the path must include the setting and contain the rule's requests. The recursion ends
// because the delegations of a checked declaration have no cycle.
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

// routesMayIntersect reports whether a request exists that routes of both namespaces may match, according to their
// domains.
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

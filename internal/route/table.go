package route

import (
	"errors"
	"fmt"
	"slices"
)

// Bounds of a table, so that a mistake in the rules is an error instead of exhausting the memory.
const (
	// MaxRules is the most rules of a table.
	MaxRules = 200_000
	// maxExpanded is the most combinations of methods, classes and tenants of all rules.
	maxExpanded = 2_000_000
)

// fallbackName is the name of the rule that stands for the fallback.
const fallbackName = "default"

// Table is an index of rules. It never changes, and is safe for concurrent use.
type Table struct {
	rules    []*Rule
	hosts    sharedMap[*hostRules]
	suffixes sharedMap[*hostRules] // by what follows the wildcard
	any      *hostRules
	fallback *Rule // for requests that no rule matches; nil is none
	expanded int   // combinations of methods, classes and tenants
}

// Compile returns a table of rules. fallback names the service for requests that no rule matches; empty is none. The
// error joins a RuleError for each rule that is invalid or in conflict with an earlier one.
func Compile(rules []Rule, fallback string) (*Table, error) {
	if len(rules) > MaxRules {
		return nil, fmt.Errorf("%d rules; %d are the most", len(rules), MaxRules)
	}
	t := &Table{rules: make([]*Rule, len(rules)), any: &hostRules{}}
	rev := &revision{}
	var errs []error
	indexByName := map[string]int{}
	indexes := make(map[*Rule]int, len(rules))
	for i := range rules {
		r := new(Rule)
		*r = rules[i]
		t.rules[i] = r
		indexes[r] = i
		fail := func(err error) { errs = append(errs, RuleError{Index: i, Name: r.Name, Err: err}) }
		if first, exists := indexByName[r.Name]; exists && r.Name != "" {
			fail(fmt.Errorf("name: route[%d] has it too", first))
		}
		indexByName[r.Name] = i
		if err := r.validate(); err != nil {
			fail(err)
			continue
		}
		t.expanded += r.combinations()
		if t.expanded > maxExpanded {
			return nil, RuleError{Index: i, Name: r.Name, Err: fmt.Errorf(
				"the rules come to more than %d combinations of methods, classes and tenants", maxExpanded)}
		}
		if other := t.add(rev, r); other != nil {
			fail(TieError{OtherIndex: indexes[other], OtherName: other.Name})
		}
	}
	if len(errs) > 0 {
		return nil, errors.Join(errs...)
	}
	return t.WithFallback(fallback), nil
}

// WithFallback returns the same table with another service for requests that no rule matches; empty is none.
func (t *Table) WithFallback(fallback string) *Table {
	next := *t
	next.fallback = nil
	if fallback != "" {
		next.fallback = &Rule{Name: fallbackName, To: []Target{{fallback, 1}}}
	}
	return &next
}

// Services returns the names of all services that rules send to, sorted.
func (t *Table) Services() []string {
	var names []string
	all := t.rules
	if t.fallback != nil {
		all = append(slices.Clip(all), t.fallback)
	}
	for _, r := range all {
		for _, to := range r.To {
			names = append(names, to.Service)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// RuleCount returns how many rules the table has, without the fallback.
func (t *Table) RuleCount() int { return len(t.rules) }

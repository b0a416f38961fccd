package route

import (
	"errors"
	"fmt"
	"slices"
)

// Limits on the size of a table: a mistake in the rules causes an error instead of exhausting the memory.
const (
	// MaxRules is the maximum number of rules in a table.
	MaxRules = 200_000
	// maxCombinations is the maximum number of combinations of methods, classes and tenants, summed over all rules.
	maxCombinations = 2_000_000
)

// fallbackName is the name of the rule that represents the fallback.
const fallbackName = "default"

// Table is an immutable index of rules. It is safe for concurrent use.
type Table struct {
	rules        []*Rule
	hosts        sharedMap[*hostRules] // by exact host
	suffixes     sharedMap[*hostRules] // by the part of the host after the wildcard
	anyHost      *hostRules            // the rules without a host; never nil
	fallback     *Rule                 // for requests that no rule matches; nil if there is none
	combinations int                   // number of combinations of methods, classes and tenants of all rules
}

// Compile returns a table of rules. fallback names the service for requests that no rule matches; empty means none. The
// error joins a RuleError for each rule that is invalid or conflicts with an earlier rule. If there are more than
// MaxRules rules, or too many combinations of methods, classes and tenants, Compile returns only that error.
func Compile(rules []Rule, fallback string) (*Table, error) {
	if len(rules) > MaxRules {
		return nil, fmt.Errorf("%d rules exceed the maximum of %d", len(rules), MaxRules)
	}
	t := &Table{rules: make([]*Rule, len(rules)), anyHost: &hostRules{}}
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
			fail(fmt.Errorf("name: route[%d] has the same name", first))
		}
		indexByName[r.Name] = i
		if err := r.validate(); err != nil {
			fail(err)
			continue
		}
		t.combinations += r.combinationCount()
		if t.combinations > maxCombinations {
			return nil, RuleError{Index: i, Name: r.Name, Err: fmt.Errorf(
				"the rules have more than %d combinations of methods, classes and tenants", maxCombinations)}
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

// WithFallback returns a copy of the table with another fallback, the service for requests that no rule matches; empty
// means none.
func (t *Table) WithFallback(fallback string) *Table {
	next := *t
	next.fallback = nil
	if fallback != "" {
		next.fallback = &Rule{Name: fallbackName, To: []Target{{fallback, 1}}}
	}
	return &next
}

// Services returns the names of all services that are targets of rules or the fallback, sorted.
func (t *Table) Services() []string {
	var names []string
	rules := t.rules
	if t.fallback != nil {
		rules = append(slices.Clip(rules), t.fallback)
	}
	for _, r := range rules {
		for _, to := range r.To {
			names = append(names, to.Service)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// RuleCount returns the number of rules in the table, without the fallback.
func (t *Table) RuleCount() int { return len(t.rules) }

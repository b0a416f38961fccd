package namespace

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"lapisspread/internal/policy/merkle"
)

// ruleList converts one of a policy's lists of rules to items, and applies changes of items to it.
type ruleList interface {
	// ruleKind returns the kind of the rules. It is part of the key of each rule's item in the policy's tree.
	ruleKind() string
	// eachSource calls f with each source of all rules. F must not change the source.
	eachSource(p *Policy, f func(*Source))
	// addItems calls add with the key and the value of each rule's item.
	addItems(p *Policy, add func(key string, v any) error) error
	// apply sets the policy's list to one with the changes applied. The old list, which other policies may share, is
	// not changed.
	apply(p *Policy, c *itemChanges) error
}

// typedRules is the ruleList for the rules of type T. The lists are sorted by name.
type typedRules[T any] struct {
	// kind is the kind of the rules. It is part of the key of each rule's item in the policy's tree (see ruleKey).
	kind string
	list func(*Policy) *[]T   // returns the list of a policy
	name func(rule *T) string // returns the name of a rule
	// sources calls f with each source of a rule. With copySources, the rule gets copies of its sources first, so that
	// f may change them.
	sources func(rule *T, copySources bool, f func(*Source))
	// record adds a change to a diff. It is nil for kinds of rules that Diff does not list. Changed is nil for a
	// removed rule.
	record func(d *Diff, changed *T, name string)
}

func (l *typedRules[T]) ruleKind() string { return l.kind }

// key returns the key of a rule's item.
func (l *typedRules[T]) key(rule *T) string { return ruleKey(l.kind, l.name(rule)) }

func (l *typedRules[T]) eachSource(p *Policy, f func(*Source)) {
	rules := *l.list(p)
	for i := range rules {
		l.sources(&rules[i], false, f)
	}
}

func (l *typedRules[T]) addItems(p *Policy, add func(string, any) error) error {
	rules := *l.list(p)
	for i := range rules {
		if i > 0 && l.name(&rules[i-1]) >= l.name(&rules[i]) {
			// The text means: the list has two rules with this name, or is not sorted by name.
			return InvalidItemError{l.key(&rules[i]), errors.New("it is there twice, or out of order")}
		}
		rule := rules[i]
		l.sources(&rule, true, func(s *Source) { s.Number = 0 })
		if err := add(l.key(&rule), &rule); err != nil {
			return err
		}
	}
	return nil
}

// ruleChange says that a rule is set, or, if rule is nil, that the rule with the name is removed.
type ruleChange[T any] struct {
	name string
	rule *T
}

func (l *typedRules[T]) apply(p *Policy, c *itemChanges) error {
	rules := *l.list(p)
	changes, err := l.changes(rules, c)
	if err != nil {
		return err
	}
	owned := len(changes) > 0
	if owned {
		if rules, err = l.merge(rules, changes, c); err != nil {
			return err
		}
	}
	*l.list(p) = l.renumber(rules, owned, c)
	return nil
}

// changes returns the changes of the list, sorted by rule name. Removals of rules that do not exist are left out.
func (l *typedRules[T]) changes(rules []T, c *itemChanges) ([]ruleChange[T], error) {
	var changes []ruleChange[T]
	for _, item := range c.set[l.kind] {
		rule, err := l.decode(item, c)
		if err != nil {
			return nil, err
		}
		changes = append(changes, ruleChange[T]{l.name(rule), rule})
	}
	for _, key := range c.removed[l.kind] {
		if i := l.find(rules, key); i >= 0 {
			changes = append(changes, ruleChange[T]{name: l.name(&rules[i])})
		}
	}
	slices.SortFunc(changes, func(a, b ruleChange[T]) int { return strings.Compare(a.name, b.name) })
	return changes, nil
}

// decode decodes the rule of an item and sets the file numbers of its sources, which items do not have.
func (l *typedRules[T]) decode(item merkle.Item, c *itemChanges) (*T, error) {
	rule := new(T)
	if err := decodeJSON(item.Value, rule); err != nil {
		return nil, InvalidItemError{item.Key, err}
	}
	if key := l.key(rule); key != item.Key {
		// The text means: the value is a rule that belongs under another key.
		return nil, InvalidItemError{item.Key, fmt.Errorf("it holds the rule of %.100q", key)}
	}
	var err error
	l.sources(rule, false, func(s *Source) {
		number := c.files[s.Namespace].number
		if s.Number != 0 || number == 0 {
			// The text means: the source has a file number, which belongs only in the number item, or there is no
			// number item.
			err = InvalidItemError{item.Key, fmt.Errorf(
				"the number of the file of %q stands in the wrong place or nowhere", s.Namespace)}
		}
		s.Number = number
		c.countSource(s.Namespace, 1)
	})
	return rule, err
}

// search returns the index of the rule with a name and true, or the index at which it would be inserted and false.
func (l *typedRules[T]) search(rules []T, name string) (int, bool) {
	return slices.BinarySearchFunc(rules, name, func(rule T, name string) int {
		return strings.Compare(l.name(&rule), name)
	})
}

// find returns the index of the rule with a key, or -1. If the key has only a part of a long name, it compares the key
// with those of all rules.
func (l *typedRules[T]) find(rules []T, key string) int {
	_, name := splitKey(key)
	if i, found := l.search(rules, name); found {
		return i
	}
	return slices.IndexFunc(rules, func(rule T) bool { return l.key(&rule) == key })
}

// merge returns a new list with the changes made, and records them in the diff.
func (l *typedRules[T]) merge(rules []T, changes []ruleChange[T], c *itemChanges) ([]T, error) {
	merged := make([]T, 0, len(rules)+len(changes))
	for i, change := range changes {
		if i > 0 && changes[i-1].name == change.name {
			// The text means: the changes have two rules with this name.
			return nil, InvalidItemError{l.kind + " " + change.name, errors.New("it is there twice")}
		}
		index, found := l.search(rules, change.name)
		merged = append(merged, rules[:index]...)
		rules = rules[index:]
		if found {
			l.sources(&rules[0], false, func(s *Source) { c.countSource(s.Namespace, -1) })
			rules = rules[1:]
		}
		if change.rule != nil {
			merged = append(merged, *change.rule)
		}
		if l.record != nil {
			l.record(c.diff, change.rule, change.name)
		}
	}
	merged = append(merged, rules...)
	if len(merged) == 0 {
		return nil, nil // an empty list must always be nil, because nil and an empty slice have different encodings
	}
	return merged, nil
}

// renumber sets the new numbers of sources whose file was renumbered. Before it changes the list, it copies it, unless
// the list is owned, that is, not shared with another policy.
func (l *typedRules[T]) renumber(rules []T, owned bool, c *itemChanges) []T {
	if len(c.renumbered) == 0 {
		return rules
	}
	for i := range rules {
		stale := false
		l.sources(&rules[i], false, func(s *Source) { stale = stale || c.hasOldNumber(s) })
		if !stale {
			continue
		}
		if !owned {
			rules = slices.Clone(rules)
			owned = true
		}
		l.sources(&rules[i], true, func(s *Source) { s.Number = c.files[s.Namespace].number })
	}
	return rules
}

// valueSources calls f with each source of a value. It does nothing if the value is nil.
func valueSources[T comparable](v **Value[T], copySources bool, f func(*Source)) {
	if *v == nil {
		return
	}
	if copySources {
		*v = &Value[T]{(*v).Value, slices.Clone((*v).Sources)}
	}
	for i := range (*v).Sources {
		f(&(*v).Sources[i])
	}
}

// ruleLists are all lists of a policy, in the order of its encoding.
var ruleLists = []ruleList{
	&typedRules[PolicyService]{
		kind:    "service",
		list:    func(p *Policy) *[]PolicyService { return &p.Services },
		name:    func(s *PolicyService) string { return s.Name },
		sources: serviceSources,
	},
	&typedRules[PolicyRoute]{
		kind:    "route",
		list:    func(p *Policy) *[]PolicyRoute { return &p.Routes },
		name:    func(r *PolicyRoute) string { return r.Name },
		sources: func(r *PolicyRoute, _ bool, f func(*Source)) { f(&r.Source) },
		record:  recordRoute,
	},
	&typedRules[PolicyClass]{
		kind:    "class",
		list:    func(p *Policy) *[]PolicyClass { return &p.Classes },
		name:    func(c *PolicyClass) string { return c.Name },
		sources: classSources,
	},
	&typedRules[PolicyShare]{
		kind:    "share",
		list:    func(p *Policy) *[]PolicyShare { return &p.Shares },
		name:    func(s *PolicyShare) string { return s.Quota + " " + s.Namespace },
		sources: shareSources,
	},
	&typedRules[PolicyBlock]{
		kind:    "block",
		list:    func(p *Policy) *[]PolicyBlock { return &p.Blocks },
		name:    func(b *PolicyBlock) string { return b.Name },
		sources: func(b *PolicyBlock, _ bool, f func(*Source)) { f(&b.Source) },
		record:  func(d *Diff, _ *PolicyBlock, _ string) { d.BlocksChanged = true },
	},
	&typedRules[PolicyOverride]{
		kind:    "order",
		list:    func(p *Policy) *[]PolicyOverride { return &p.Overrides },
		name:    func(o *PolicyOverride) string { return o.Name },
		sources: func(o *PolicyOverride, _ bool, f func(*Source)) { f(&o.Source) },
	},
	&typedRules[PolicyStalenessBound]{
		kind: "staleness",
		list: func(p *Policy) *[]PolicyStalenessBound { return &p.StalenessBounds },
		name: func(b *PolicyStalenessBound) string { return b.Route },
		sources: func(b *PolicyStalenessBound, copySources bool, f func(*Source)) {
			valueSources(&b.MaxLevel, copySources, f)
		},
	},
}

// serviceSources is typedRules.sources for services.
func serviceSources(s *PolicyService, copySources bool, f func(*Source)) {
	if copySources {
		s.Sources = slices.Clone(s.Sources)
	}
	for i := range s.Sources {
		f(&s.Sources[i])
	}
}

// classSources is typedRules.sources for classes.
func classSources(c *PolicyClass, copySources bool, f func(*Source)) {
	valueSources(&c.LatencyObjective, copySources, f)
	valueSources(&c.Deadline, copySources, f)
	valueSources(&c.Effect, copySources, f)
	valueSources(&c.PriorityWeight, copySources, f)
	valueSources(&c.LateFraction, copySources, f)
}

// shareSources is typedRules.sources for quota shares.
func shareSources(s *PolicyShare, copySources bool, f func(*Source)) {
	valueSources(&s.Min, copySources, f)
	valueSources(&s.Cap, copySources, f)
	valueSources(&s.Weight, copySources, f)
}

// recordRoute is typedRules.record for routes.
func recordRoute(d *Diff, changed *PolicyRoute, name string) {
	if changed == nil {
		d.RemovedRoutes = append(d.RemovedRoutes, name)
		return
	}
	d.Routes = append(d.Routes, *changed)
}

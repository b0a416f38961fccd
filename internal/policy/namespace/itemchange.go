package namespace

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"

	"lapisspread/internal/policy/merkle"
	"lapisspread/internal/route"
)

// Diff is how a change affects the rules that route requests. A rule that only comes from another version of its file
// is not in it.
type Diff struct {
	Routes        []PolicyRoute // new and changed ones, as they are now
	RemovedRoutes []string      // by name
	BlocksChanged bool          // a block was changed, added or removed
}

// With returns the policy with items set and keys removed, as FromTree gives it for the outcome, and the difference. It
// costs what changes, and a copy of each list that does. The policy itself is not changed.
func (p *Policy) With(set []merkle.Item, removed []string) (*Policy, *Diff, error) {
	next, diff, err := p.withItems(set, removed)
	if err != nil {
		return nil, nil, err
	}
	table, err := p.Table()
	if err != nil {
		return nil, nil, fmt.Errorf("policy: %w", err)
	}
	if len(diff.Routes) > 0 || len(diff.RemovedRoutes) > 0 {
		rules := make([]route.Rule, len(diff.Routes))
		for i := range diff.Routes {
			rules[i] = diff.Routes[i].rule()
		}
		if table, err = table.WithChanges(rules, diff.RemovedRoutes); err != nil {
			return nil, nil, fmt.Errorf("policy: %w", err)
		}
	}
	next.table = table
	return next, diff, nil
}

// withItems returns the policy without its table, and checks all but that the routes compile.
func (p *Policy) withItems(set []merkle.Item, removed []string) (*Policy, *Diff, error) {
	origins, err := p.origins()
	if err != nil {
		return nil, nil, err
	}
	c := &itemChanges{
		set:          map[string][]merkle.Item{},
		removed:      map[string][]string{},
		files:        maps.Clone(origins),
		changedFiles: map[string]bool{},
		diff:         &Diff{},
	}
	for _, key := range removed {
		if err := c.remove(key); err != nil {
			return nil, nil, err
		}
	}
	for _, item := range set {
		if err := c.add(item, p.Format); err != nil {
			return nil, nil, err
		}
	}
	next := *p
	next.table = nil
	next.files = c.files
	for _, list := range ruleLists {
		if err := list.apply(&next, c); err != nil {
			return nil, nil, err
		}
	}
	if err := c.checkFiles(); err != nil {
		return nil, nil, err
	}
	for i := range c.diff.Routes {
		if err := checkWeights(&c.diff.Routes[i].Route); err != nil {
			return nil, nil, err
		}
	}
	return &next, c.diff, nil
}

// itemChanges is a change of a policy's items.
type itemChanges struct {
	set          map[string][]merkle.Item // by kind
	removed      map[string][]string      // keys, by kind
	files        map[string]fileOrigin    // by namespace, after the change
	renumbered   []string                 // namespaces that have rules, and whose file has another number
	changedFiles map[string]bool          // namespaces of which a source or the number changed
	diff         *Diff
}

// remove enters a key that is removed.
func (c *itemChanges) remove(key string) error {
	kind, name := splitKey(key)
	switch kind {
	case formatKey:
		return InvalidItemError{key, errors.New("it is missing")}
	case numberKind:
		c.setNumber(name, 0)
	default:
		c.removed[kind] = append(c.removed[kind], key)
	}
	return nil
}

// add enters an item that is set.
func (c *itemChanges) add(item merkle.Item, format int) error {
	kind, name := splitKey(item.Key)
	switch {
	case kind == formatKey && item.Key == formatKey:
		if string(item.Value) != strconv.Itoa(format) {
			return InvalidItemError{item.Key, fmt.Errorf("form %.20s; this program reads %d", item.Value, format)}
		}
	case kind == numberKind && item.Key == numberKey(name):
		number, err := strconv.ParseUint(string(item.Value), 10, 64)
		if err != nil || number == 0 || strconv.FormatUint(number, 10) != string(item.Value) {
			return InvalidItemError{item.Key, fmt.Errorf("%.40q is no number of a file", item.Value)}
		}
		c.setNumber(name, number)
	case isRuleKind(kind):
		c.set[kind] = append(c.set[kind], item)
	default:
		return InvalidItemError{item.Key, errors.New("this program knows no such rule")}
	}
	return nil
}

// isRuleKind reports whether some list has rules of a kind.
func isRuleKind(kind string) bool {
	return slices.ContainsFunc(ruleLists, func(list ruleList) bool { return list.ruleKind() == kind })
}

func (c *itemChanges) setNumber(namespace string, number uint64) {
	f := c.files[namespace]
	if f.number != number && f.sources > 0 {
		c.renumbered = append(c.renumbered, namespace)
	}
	c.files[namespace] = fileOrigin{number, f.sources}
	c.changedFiles[namespace] = true
}

// countSource notes that one more source names a namespace's file, or one less.
func (c *itemChanges) countSource(namespace string, delta int) {
	f := c.files[namespace]
	f.sources += delta
	c.files[namespace] = f
	c.changedFiles[namespace] = true
}

// hasOldNumber reports whether a source has a number that its file no longer has.
func (c *itemChanges) hasOldNumber(s *Source) bool {
	return slices.Contains(c.renumbered, s.Namespace) && s.Number != c.files[s.Namespace].number
}

// checkFiles checks that a file has a number if, and only if, rules come from it.
func (c *itemChanges) checkFiles() error {
	for _, namespace := range slices.Sorted(maps.Keys(c.changedFiles)) {
		switch f := c.files[namespace]; {
		case f.number == 0 && f.sources == 0:
			delete(c.files, namespace)
		case f.number == 0:
			return InvalidItemError{
				numberKey(namespace), errors.New("it is missing, and rules come from the file"),
			}
		case f.sources == 0:
			return InvalidItemError{numberKey(namespace), errors.New("no rule comes from the file")}
		}
	}
	return nil
}

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

// Diff lists the routes and blocks that a change of a policy affects. A rule of which only the file number in the
// source changed is not included.
type Diff struct {
	Routes        []PolicyRoute // added and changed routes, as they are after the change
	RemovedRoutes []string      // names of removed routes
	BlocksChanged bool          // whether a block was added, changed or removed
}

// With returns the policy after some items are set and some keys are removed, and the difference. The new policy equals
// the one that FromTree returns for the changed items. The cost is that of the changed items and of a copy of each list
// that has a change. The receiver is not changed. It returns an InvalidItemError for invalid items, and wraps an error
// of package route if the routes do not compile.
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

// withItems is like With, but it neither compiles the routes nor checks that they compile.
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

// itemChanges collects the changes of a policy's items while they are applied.
type itemChanges struct {
	set          map[string][]merkle.Item // items of rules to set, by kind
	removed      map[string][]string      // keys of rules to remove, by kind
	files        map[string]fileOrigin    // files after the change, by namespace
	renumbered   []string                 // namespaces that have rules and whose file has a new number
	changedFiles map[string]bool          // namespaces whose number of sources or file number changed
	diff         *Diff
}

// remove adds the removal of a key to the changes.
func (c *itemChanges) remove(key string) error {
	kind, name := splitKey(key)
	switch kind {
	case formatKey:
		// The text means: the policy would lack its format item, which must not be removed.
		return InvalidItemError{key, errors.New("it is missing")}
	case numberKind:
		c.setNumber(name, 0)
	default:
		c.removed[kind] = append(c.removed[kind], key)
	}
	return nil
}

// add adds the setting of an item to the changes. Format is the policy's format, which the format item must not change.
func (c *itemChanges) add(item merkle.Item, format int) error {
	kind, name := splitKey(item.Key)
	switch {
	case kind == formatKey && item.Key == formatKey:
		if string(item.Value) != strconv.Itoa(format) {
			// The text means: the item's value is a format version that this program does not read.
			return InvalidItemError{item.Key, fmt.Errorf("form %.20s; this program reads %d", item.Value, format)}
		}
	case kind == numberKind && item.Key == numberKey(name):
		number, err := strconv.ParseUint(string(item.Value), 10, 64)
		if err != nil || number == 0 || strconv.FormatUint(number, 10) != string(item.Value) {
			// The text means: the value is not a positive decimal integer without leading zeros.
			return InvalidItemError{item.Key, fmt.Errorf("%.40q is no number of a file", item.Value)}
		}
		c.setNumber(name, number)
	case isRuleKind(kind):
		c.set[kind] = append(c.set[kind], item)
	default:
		// The text means: the key does not start with a kind of rule that this version of the program reads.
		return InvalidItemError{item.Key, errors.New("this program knows no such rule")}
	}
	return nil
}

// isRuleKind reports whether a policy has a list of rules of a kind.
func isRuleKind(kind string) bool {
	return slices.ContainsFunc(ruleLists, func(list ruleList) bool { return list.ruleKind() == kind })
}

// setNumber sets the number of a namespace's file; 0 removes it.
func (c *itemChanges) setNumber(namespace string, number uint64) {
	f := c.files[namespace]
	if f.number != number && f.sources > 0 {
		c.renumbered = append(c.renumbered, namespace)
	}
	c.files[namespace] = fileOrigin{number, f.sources}
	c.changedFiles[namespace] = true
}

// countSource adds delta (1 or -1) to the number of sources that name a namespace's file.
func (c *itemChanges) countSource(namespace string, delta int) {
	f := c.files[namespace]
	f.sources += delta
	c.files[namespace] = f
	c.changedFiles[namespace] = true
}

// hasOldNumber reports whether a source has the number that its file had before the change.
func (c *itemChanges) hasOldNumber(s *Source) bool {
	return slices.Contains(c.renumbered, s.Namespace) && s.Number != c.files[s.Namespace].number
}

// checkFiles checks that each changed file has a number if and only if rules come from it. It deletes files with
// neither from c.files.
func (c *itemChanges) checkFiles() error {
	for _, namespace := range slices.Sorted(maps.Keys(c.changedFiles)) {
		switch f := c.files[namespace]; {
		case f.number == 0 && f.sources == 0:
			delete(c.files, namespace)
		case f.number == 0:
			// The text means: the item with the file's number is missing, but rules name the file as their source.
			return InvalidItemError{
				numberKey(namespace), errors.New("it is missing, and rules come from the file"),
			}
		case f.sources == 0:
			// The text means: the policy has an item with the number of this namespace's file, but no rule names the
			// file as its source. It is an error because a policy only has numbers of files that rules come from.
			return InvalidItemError{numberKey(namespace), errors.New("no rule comes from the file")}
		}
	}
	return nil
}

package route

// ruleChange is what WithChanges does to the rule of one name.
type ruleChange struct {
	rule *Rule // that replaces it; nil removes it
	done bool
}

// WithChanges returns the table with some rules set, by their names, and without those in removed. A rule that exists
// keeps its place; a new one goes to the end. The result, and the error, is that of Compile of the changed rules, but
// it costs only what changes. The table itself stays as it is.
func (t *Table) WithChanges(set []Rule, removed []string) (*Table, error) {
	changes, unnamed := changesByName(set, removed)
	next := &Table{
		rules:    make([]*Rule, 0, len(t.rules)+len(set)),
		hosts:    t.hosts.share(),
		suffixes: t.suffixes.share(),
		any:      t.any,
		fallback: t.fallback,
		expanded: t.expanded,
	}
	rev := &revision{}
	next.applyToExisting(rev, t.rules, changes)
	for i := range set {
		if c := changes[set[i].Name]; c != nil && !c.done {
			next.rules = append(next.rules, c.rule)
			c.done = true
		}
	}
	next.rules = append(next.rules, unnamed...)
	if len(unnamed) > 0 || len(next.rules) > MaxRules {
		return next.recompile()
	}
	for i := range set {
		r := changes[set[i].Name].rule
		if r.validate() != nil {
			return next.recompile()
		}
		next.expanded += r.combinations()
		if next.expanded > maxExpanded || next.add(rev, r) != nil {
			return next.recompile()
		}
	}
	return next, nil
}

// changesByName returns the changes by name. Rules without a name of their own are apart: their names are empty, or
// those of an earlier rule in set.
func changesByName(set []Rule, removed []string) (changes map[string]*ruleChange, unnamed []*Rule) {
	changes = make(map[string]*ruleChange, len(set)+len(removed))
	for _, name := range removed {
		changes[name] = &ruleChange{}
	}
	for i := range set {
		r := set[i]
		if c := changes[r.Name]; r.Name == "" || c != nil && c.rule != nil {
			unnamed = append(unnamed, &r)
			continue
		}
		changes[r.Name] = &ruleChange{rule: &r}
	}
	delete(changes, "")
	return changes, unnamed
}

// applyToExisting appends the existing rules, changed in place, and takes those that change out of the index.
func (t *Table) applyToExisting(rev *revision, existing []*Rule, changes map[string]*ruleChange) {
	for _, r := range existing {
		c := changes[r.Name]
		if c == nil {
			t.rules = append(t.rules, r)
			continue
		}
		if c.rule != nil && !c.done {
			t.rules = append(t.rules, c.rule)
		}
		c.done = true
		t.expanded -= r.combinations()
		t.remove(rev, r)
	}
}

// recompile compiles the table's rules, whose index is incomplete. It is for changes with an error, so that the error
// names all that is invalid.
func (t *Table) recompile() (*Table, error) {
	rules := make([]Rule, len(t.rules))
	for i, r := range t.rules {
		rules[i] = *r
	}
	fallback := ""
	if t.fallback != nil {
		fallback = t.fallback.To[0].Service
	}
	return Compile(rules, fallback)
}

package route

// ruleChange is the change that WithChanges makes to the rule of one name.
type ruleChange struct {
	rule    *Rule // the replacement; nil removes the rule
	applied bool
}

// WithChanges returns a copy of the table in which the rules in set replace those of the same names or are added, and
// the rules named in removed are removed. A rule whose name is in both is set, not removed. A replaced rule keeps its
// position in the list of rules; a new rule is appended. The result and the error are the same as those of Compile for
// the changed list, but only the changed parts of the index are copied. The receiver is not changed.
func (t *Table) WithChanges(set []Rule, removed []string) (*Table, error) {
	changes, unnamed := changesByName(set, removed)
	next := &Table{
		rules:        make([]*Rule, 0, len(t.rules)+len(set)),
		hosts:        t.hosts.shallowCopy(),
		suffixes:     t.suffixes.shallowCopy(),
		anyHost:      t.anyHost,
		fallback:     t.fallback,
		combinations: t.combinations,
	}
	rev := &revision{}
	next.applyToExisting(rev, t.rules, changes)
	for i := range set {
		if c := changes[set[i].Name]; c != nil && !c.applied {
			next.rules = append(next.rules, c.rule)
			c.applied = true
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
		next.combinations += r.combinationCount()
		if next.combinations > maxCombinations || next.add(rev, r) != nil {
			return next.recompile()
		}
	}
	return next, nil
}

// changesByName returns the changes by rule name. It returns rules without a unique name separately as unnamed: their
// names are empty, or are those of an earlier rule in set.
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

// applyToExisting appends the existing rules to t.rules, with replacements at their positions and without removed
// rules. It removes the previous versions of changed rules from the index.
func (t *Table) applyToExisting(rev *revision, existing []*Rule, changes map[string]*ruleChange) {
	for _, r := range existing {
		c := changes[r.Name]
		if c == nil {
			t.rules = append(t.rules, r)
			continue
		}
		if c.rule != nil && !c.applied {
			t.rules = append(t.rules, c.rule)
		}
		c.applied = true
		t.combinations -= r.combinationCount()
		t.remove(rev, r)
	}
}

// recompile compiles the table's list of rules, ignoring the index, which may be incomplete. WithChanges calls it if a
// change is invalid, so that the error names each invalid rule.
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

package namespace

import (
	"cmp"
	"errors"
	"maps"
	"slices"
	"strings"
)

// Outcome is what a merge gives.
type Outcome struct {
	Policy    *Policy
	Hash      string
	Withheld  []WithheldError // by name
	Conflicts []Conflict
	Accepted  []*File // the last good files from now on, by name: the next merge's lastGood
}

// participant is how a namespace stands in a merge.
type participant struct {
	name         string
	lastAccepted *File // as it was offered; nil is none
	withinDomain *File // last, without what is outside its domain now
	submitted    *File // nil is none, or one that may not be taken up
	displaced    *File // an offer that was held for a conflict
	active       *File // nil is none
	removedRules map[string]bool
	withheld     *WithheldError
}

// Merge joins what namespaces offer with the last good files of the rest. A file that is bad, or that brings a conflict
// in, is held back, and its namespace goes on with its last good one; nobody else waits. What decides hangs on the
// files alone, not on the order in which they are given:
//
//   - Of the namespaces in a conflict one is held that brought a rule of it in or changed one, and whose last good file
//     would not have it. If that holds for several, the last by this order: those that are nearer to the root of the
//     delegations go first, then by name.
//   - If none did (the charter was changed), the rule of the last by that order is cut out of its last good file, and
//     comes back with the first merge that it conflicts with nothing in.
//   - So the policy has no conflict that holds; those that are only told are in Conflicts.
//
// A namespace that offers nothing goes on with its last good file.
func Merge(c *Declaration, lastGood, offered []*File) Outcome { return merge(c, lastGood, offered, 0) }

func merge(c *Declaration, lastGood, offered []*File, flaws mutation) Outcome {
	var out Outcome
	all := map[string]*participant{}
	for _, h := range c.Namespaces {
		all[h.Name] = &participant{name: h.Name, removedRules: map[string]bool{}}
	}
	unknown := map[string]*WithheldError{}
	for _, n := range lastGood {
		s := all[n.Name]
		if s == nil {
			unknown[n.Name] = &WithheldError{Namespace: n.Name, Submitted: n.Number, Cause: UnknownNamespaceError{n.Name}}
			continue
		}
		if s.lastAccepted == nil || n.Number > s.lastAccepted.Number || n.Number == s.lastAccepted.Number && n.digest() < s.lastAccepted.digest() {
			s.lastAccepted = n
		}
	}
	files := map[string][]*File{}
	for _, n := range offered {
		if all[n.Name] == nil {
			h := unknown[n.Name]
			if h == nil || n.Number > h.Submitted {
				unknown[n.Name] = &WithheldError{Namespace: n.Name, Submitted: n.Number, Cause: UnknownNamespaceError{n.Name}}
			}
			continue
		}
		files[n.Name] = append(files[n.Name], n)
	}
	names := slices.SortedFunc(maps.Keys(all), func(a, b string) int {
		return cmp.Or(cmp.Compare(c.depth[a], c.depth[b]), strings.Compare(a, b))
	})
	if flaws&arrivalOrder != 0 {
		names = nil
		for _, n := range append(slices.Clone(offered), lastGood...) {
			if all[n.Name] != nil && !slices.Contains(names, n.Name) {
				names = append(names, n.Name)
			}
		}
	}
	place := map[string]int{}
	var before []*File
	for i, name := range names {
		place[name] = i
		s := all[name]
		if s.lastAccepted != nil {
			s.withinDomain = s.lastAccepted
			if outside := c.outside(s.lastAccepted); len(outside) > 0 {
				for id := range outside {
					s.removedRules[id] = true
				}
				s.hold(s.lastAccepted.Number, s.lastAccepted.domainErrors(outside))
				s.withinDomain = s.lastAccepted.without(s.removedRules)
			}
			before = append(before, s.withinDomain)
		}
		s.active = s.withinDomain
		s.choose(c, files[name])
		if s.submitted != nil {
			s.active = s.submitted
		}
	}
	f := newFinder(c, before)
	told := map[string]bool{}
	tell := func(list []Conflict) {
		for _, x := range list {
			if key := x.String(); !told[key] {
				told[key] = true
				out.Conflicts = append(out.Conflicts, x)
			}
		}
	}
	for found := f.holding(active(names, all)); len(found) > 0; found = f.holding(active(names, all)) {
		sortConflicts(found)
		tell(found)
		if flaws&acceptAll != 0 {
			break
		}
		settle(found, all, place, flaws)
	}
	if flaws&noReinstatement == 0 {
		reinstate(f, names, all)
	}
	set := active(names, all)
	tell(f.telling(set))
	out.Policy = assemble(c, set)
	out.Hash = out.Policy.Hash()
	for i := range out.Conflicts {
		x := &out.Conflicts[i]
		for _, r := range x.Rules {
			s := all[r.Namespace]
			if x.Kind.Withholds() && s != nil && s.withheld != nil && (x.Withheld == "" || place[s.name] > place[x.Withheld]) {
				x.Withheld = s.name
			}
		}
	}
	for _, name := range names {
		s := all[name]
		switch {
		case s.submitted != nil:
			out.Accepted = append(out.Accepted, s.submitted)
		case s.lastAccepted != nil:
			out.Accepted = append(out.Accepted, s.lastAccepted)
		}
		if s.withheld != nil {
			s.withheld.RemovedRules = slices.Sorted(maps.Keys(s.removedRules))
			s.withheld.Active = 0
			if s.active != nil {
				s.withheld.Active = s.active.Number
			}
			out.Withheld = append(out.Withheld, *s.withheld)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(unknown)) {
		out.Withheld = append(out.Withheld, *unknown[name])
	}
	slices.SortFunc(out.Withheld, func(a, b WithheldError) int { return strings.Compare(a.Namespace, b.Namespace) })
	slices.SortFunc(out.Accepted, func(a, b *File) int { return strings.Compare(a.Name, b.Name) })
	sortConflicts(out.Conflicts)
	return out
}

// reinstate takes up again what was held for a conflict with a file that was itself held later. So in the end each file
// that is held would bring a conflict in.
func reinstate(f *finder, names []string, all map[string]*participant) {
	for again := true; again; {
		again = false
		for _, name := range names {
			s := all[name]
			if s.displaced == nil {
				continue
			}
			was := *s
			s.active, s.submitted, s.displaced, s.withheld, s.removedRules = s.displaced, s.displaced, nil, nil, map[string]bool{}
			if len(f.holding(active(names, all))) > 0 {
				*s = was
				continue
			}
			again = true
		}
	}
}

// mutation is a guard taken out, to see that the tests convict.
type mutation uint8

const (
	acceptAll         mutation = 1 << iota // conflicts are told, nobody is held
	withholdAll                            // all that brought a rule in are held
	arrivalOrder                           // the order of arrival decides
	noReinstatement                        // what was held stays held
	withholdUnchanged                      // the one that changed nothing is held as well as others
)

func active(names []string, all map[string]*participant) []*File {
	var set []*File
	for _, name := range names {
		if a := all[name].active; a != nil {
			set = append(set, a)
		}
	}
	return set
}

// choose takes the highest of the files that are offered, if it may be taken up.
func (s *participant) choose(c *Declaration, files []*File) {
	var top *File
	var unread []string
	twice := false
	for _, n := range files {
		switch {
		case n.readError != nil:
			unread = append(unread, n.readError.Error())
			if s.withheld == nil || n.readError.Error() == slices.Min(unread) {
				s.hold(0, n.readError)
			}
		case top == nil || n.Number > top.Number:
			top, twice = n, false
		case n.Number == top.Number && !n.same(top):
			twice = true
		}
	}
	switch {
	case top == nil:
	case twice:
		s.hold(top.Number, VersionTakenError{s.name, top.Number, top.Number})
	case s.lastAccepted != nil && (top.Number < s.lastAccepted.Number || top.Number == s.lastAccepted.Number && !top.same(s.lastAccepted)):
		s.hold(top.Number, VersionTakenError{s.name, top.Number, s.lastAccepted.Number})
	case s.lastAccepted != nil && top.Number == s.lastAccepted.Number:
	default:
		if outside := c.outside(top); len(outside) > 0 {
			s.hold(top.Number, top.domainErrors(outside))
			return
		}
		s.submitted = top
		s.removedRules = map[string]bool{}
		if len(unread) == 0 {
			s.withheld = nil // what was outside in the last one is of no matter now
		}
	}
}

func (s *participant) hold(number uint64, why error) {
	s.withheld = &WithheldError{Namespace: s.name, Submitted: number, Cause: why}
}

// domainErrors gives all rules outside a domain as errors of the file, in the order of their ids.
func (n *File) domainErrors(outside map[string]OutsideDomainError) error {
	var errs []error
	for _, id := range slices.Sorted(maps.Keys(outside)) {
		errs = append(errs, keyError(n.path, n.lines, n.ruleKeys[id], outside[id]))
	}
	return errors.Join(errs...)
}

// brought tells whether a namespace brought a rule in, changed it, or took it away; for minimums, whether it raised it.
func (s *participant) brought(k ConflictKind, id string) bool {
	if s.submitted == nil || s.removedRules[id] {
		return false
	}
	if s.lastAccepted == nil {
		return true
	}
	if k == TooManyCombinations {
		return s.active.combinations() > s.lastAccepted.combinations()
	}
	if k == MinimumsExceedLimit {
		return s.active.minimum(id) > s.lastAccepted.minimum(id)
	}
	return s.active.ruleTexts[id] != s.lastAccepted.ruleTexts[id]
}

func (n *File) minimum(id string) int64 {
	for i := range n.Quotas {
		if n.Quotas[i].id() == id {
			return n.Quotas[i].Min
		}
	}
	return 0
}

// settle holds back one namespace, the first by the order among those that must be; if there is none, it cuts rules.
func settle(found []Conflict, all map[string]*participant, place map[string]int, flaws mutation) {
	last := func(x *Conflict, ok func(s *participant, id string) bool) (*participant, string) {
		var who *participant
		var id string
		for _, r := range x.Rules {
			s := all[r.Namespace]
			if s != nil && ok(s, r.Rule) && (who == nil || place[s.name] > place[who.name]) {
				who, id = s, r.Rule
			}
		}
		return who, id
	}
	// A namespace that is held may take others' conflicts with it: only the first is held now, the rest is looked at anew.
	var first *participant
	var why int
	losers := make([]*participant, len(found))
	for i := range found {
		x := &found[i]
		losers[i], _ = last(x, func(s *participant, id string) bool {
			return s.brought(x.Kind, id) || flaws&withholdUnchanged != 0 && s.submitted != nil
		})
		if s := losers[i]; s != nil && (first == nil || place[s.name] < place[first.name]) {
			first, why = s, i
		}
	}
	if first != nil && flaws&withholdAll != 0 {
		for _, r := range found[why].Rules {
			if s := all[r.Namespace]; s != first && s.submitted != nil {
				s.hold(s.submitted.Number, found[why].Err())
				s.submitted, s.active = nil, s.withinDomain
			}
		}
	}
	if first != nil {
		first.hold(first.submitted.Number, found[why].Err())
		first.displaced = first.submitted
		first.submitted, first.active, first.removedRules = nil, first.withinDomain, map[string]bool{}
		if first.lastAccepted != nil {
			for id := range first.lastAccepted.ruleTexts {
				if _, stays := first.withinDomain.ruleTexts[id]; !stays {
					first.removedRules[id] = true
				}
			}
		}
		return
	}
	type rule struct{ namespace, id string }
	cut := map[rule]bool{}
	for i := range found {
		x := &found[i]
		// One that has lost a rule in this round is settled, or comes up again in the next.
		if slices.ContainsFunc(x.Rules, func(r Source) bool { return cut[rule{r.Namespace, r.Rule}] }) {
			continue
		}
		who, id := last(x, func(s *participant, id string) bool {
			return s.active != nil && (s.active.ruleTexts[id] != "" || x.Kind == TooManyCombinations) &&
				(x.Kind != ServiceRemoved || strings.HasPrefix(id, "route "))
		})
		cut[rule{who.name, id}] = true
		if x.Kind != TooManyCombinations && !x.More {
			who.removedRules[id] = true
		} else {
			// What is not listed can't be cut one by one.
			for i := range who.active.Routes {
				who.removedRules[who.active.Routes[i].id()] = true
			}
		}
		if who.withheld == nil {
			who.hold(who.active.Number, x.Err())
		}
	}
	for _, s := range all {
		if s.active != nil && slices.ContainsFunc(slices.Collect(maps.Keys(cut)), func(r rule) bool { return r.namespace == s.name }) {
			s.active = s.active.without(s.removedRules)
		}
	}
}

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
	Held      []NamespaceHeld // by name
	Conflicts []Conflict
	Good      []*Namespace // the last good files from now on, by name: the next merge's lastGood
}

// standing is how a namespace stands in a merge.
type standing struct {
	name   string
	last   *Namespace // as it was offered; nil is none
	fits   *Namespace // last, without what is outside its domain now
	offer  *Namespace // nil is none, or one that may not be taken up
	back   *Namespace // an offer that was held for a conflict
	active *Namespace // nil is none
	cut    map[string]bool
	held   *NamespaceHeld
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
func Merge(c *Charter, lastGood, offered []*Namespace) Outcome { return merge(c, lastGood, offered, 0) }

func merge(c *Charter, lastGood, offered []*Namespace, flaws flaw) Outcome {
	var out Outcome
	all := map[string]*standing{}
	for _, h := range c.Namespaces {
		all[h.Name] = &standing{name: h.Name, cut: map[string]bool{}}
	}
	unknown := map[string]*NamespaceHeld{}
	for _, n := range lastGood {
		s := all[n.Name]
		if s == nil {
			unknown[n.Name] = &NamespaceHeld{Namespace: n.Name, Offered: n.Number, Why: UnknownNamespace{n.Name}}
			continue
		}
		if s.last == nil || n.Number > s.last.Number || n.Number == s.last.Number && n.digest() < s.last.digest() {
			s.last = n
		}
	}
	files := map[string][]*Namespace{}
	for _, n := range offered {
		if all[n.Name] == nil {
			h := unknown[n.Name]
			if h == nil || n.Number > h.Offered {
				unknown[n.Name] = &NamespaceHeld{Namespace: n.Name, Offered: n.Number, Why: UnknownNamespace{n.Name}}
			}
			continue
		}
		files[n.Name] = append(files[n.Name], n)
	}
	names := slices.SortedFunc(maps.Keys(all), func(a, b string) int {
		return cmp.Or(cmp.Compare(c.depth[a], c.depth[b]), strings.Compare(a, b))
	})
	if flaws&byCome != 0 {
		names = nil
		for _, n := range append(slices.Clone(offered), lastGood...) {
			if all[n.Name] != nil && !slices.Contains(names, n.Name) {
				names = append(names, n.Name)
			}
		}
	}
	place := map[string]int{}
	var before []*Namespace
	for i, name := range names {
		place[name] = i
		s := all[name]
		if s.last != nil {
			s.fits = s.last
			if outside := c.outside(s.last); len(outside) > 0 {
				for id := range outside {
					s.cut[id] = true
				}
				s.hold(s.last.Number, s.last.complain(outside))
				s.fits = s.last.without(s.cut)
			}
			before = append(before, s.fits)
		}
		s.active = s.fits
		s.choose(c, files[name])
		if s.offer != nil {
			s.active = s.offer
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
		if flaws&takeAll != 0 {
			break
		}
		settle(found, all, place, flaws)
	}
	if flaws&noReturn == 0 {
		takeBack(f, names, all)
	}
	set := active(names, all)
	tell(f.telling(set))
	out.Policy = assemble(c, set)
	out.Hash = out.Policy.Hash()
	for i := range out.Conflicts {
		x := &out.Conflicts[i]
		for _, r := range x.Rules {
			s := all[r.Namespace]
			if x.Kind.Holds() && s != nil && s.held != nil && (x.Held == "" || place[s.name] > place[x.Held]) {
				x.Held = s.name
			}
		}
	}
	for _, name := range names {
		s := all[name]
		switch {
		case s.offer != nil:
			out.Good = append(out.Good, s.offer)
		case s.last != nil:
			out.Good = append(out.Good, s.last)
		}
		if s.held != nil {
			s.held.Cut = slices.Sorted(maps.Keys(s.cut))
			s.held.Holds = 0
			if s.active != nil {
				s.held.Holds = s.active.Number
			}
			out.Held = append(out.Held, *s.held)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(unknown)) {
		out.Held = append(out.Held, *unknown[name])
	}
	slices.SortFunc(out.Held, func(a, b NamespaceHeld) int { return strings.Compare(a.Namespace, b.Namespace) })
	slices.SortFunc(out.Good, func(a, b *Namespace) int { return strings.Compare(a.Name, b.Name) })
	sortConflicts(out.Conflicts)
	return out
}

// takeBack takes up again what was held for a conflict with a file that was itself held later. So in the end each file
// that is held would bring a conflict in.
func takeBack(f *finder, names []string, all map[string]*standing) {
	for again := true; again; {
		again = false
		for _, name := range names {
			s := all[name]
			if s.back == nil {
				continue
			}
			was := *s
			s.active, s.offer, s.back, s.held, s.cut = s.back, s.back, nil, nil, map[string]bool{}
			if len(f.holding(active(names, all))) > 0 {
				*s = was
				continue
			}
			again = true
		}
	}
}

// flaw is a guard taken out, to see that the tests convict.
type flaw uint8

const (
	takeAll  flaw = 1 << iota // conflicts are told, nobody is held
	holdAll                   // all that brought a rule in are held
	byCome                    // the order of arrival decides
	noReturn                  // what was held stays held
	lastWins                  // the one that changed nothing is held as well as others
)

func active(names []string, all map[string]*standing) []*Namespace {
	var set []*Namespace
	for _, name := range names {
		if a := all[name].active; a != nil {
			set = append(set, a)
		}
	}
	return set
}

// choose takes the highest of the files that are offered, if it may be taken up.
func (s *standing) choose(c *Charter, files []*Namespace) {
	var top *Namespace
	var unread []string
	twice := false
	for _, n := range files {
		switch {
		case n.bad != nil:
			unread = append(unread, n.bad.Error())
			if s.held == nil || n.bad.Error() == slices.Min(unread) {
				s.hold(0, n.bad)
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
		s.hold(top.Number, VersionTaken{s.name, top.Number, top.Number})
	case s.last != nil && (top.Number < s.last.Number || top.Number == s.last.Number && !top.same(s.last)):
		s.hold(top.Number, VersionTaken{s.name, top.Number, s.last.Number})
	case s.last != nil && top.Number == s.last.Number:
	default:
		if outside := c.outside(top); len(outside) > 0 {
			s.hold(top.Number, top.complain(outside))
			return
		}
		s.offer = top
		s.cut = map[string]bool{}
		if len(unread) == 0 {
			s.held = nil // what was outside in the last one is of no matter now
		}
	}
}

func (s *standing) hold(number uint64, why error) {
	s.held = &NamespaceHeld{Namespace: s.name, Offered: number, Why: why}
}

// complain gives all rules outside a domain as errors of the file, in the order of their ids.
func (n *Namespace) complain(outside map[string]OutsideDomain) error {
	var errs []error
	for _, id := range slices.Sorted(maps.Keys(outside)) {
		errs = append(errs, at(n.path, n.where, n.key[id], outside[id]))
	}
	return errors.Join(errs...)
}

// brought tells whether a namespace brought a rule in, changed it, or took it away; for minimums, whether it raised it.
func (s *standing) brought(k Kind, id string) bool {
	if s.offer == nil || s.cut[id] {
		return false
	}
	if s.last == nil {
		return true
	}
	if k == Crowded {
		return s.active.combinations() > s.last.combinations()
	}
	if k == Minimums {
		return s.active.minimum(id) > s.last.minimum(id)
	}
	return s.active.text[id] != s.last.text[id]
}

func (n *Namespace) minimum(id string) int64 {
	for i := range n.Budgets {
		if n.Budgets[i].id() == id {
			return n.Budgets[i].Min
		}
	}
	return 0
}

// settle holds back one namespace, the first by the order among those that must be; if there is none, it cuts rules.
func settle(found []Conflict, all map[string]*standing, place map[string]int, flaws flaw) {
	last := func(x *Conflict, ok func(s *standing, id string) bool) (*standing, string) {
		var who *standing
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
	var first *standing
	var why int
	losers := make([]*standing, len(found))
	for i := range found {
		x := &found[i]
		losers[i], _ = last(x, func(s *standing, id string) bool {
			return s.brought(x.Kind, id) || flaws&lastWins != 0 && s.offer != nil
		})
		if s := losers[i]; s != nil && (first == nil || place[s.name] < place[first.name]) {
			first, why = s, i
		}
	}
	if first != nil && flaws&holdAll != 0 {
		for _, r := range found[why].Rules {
			if s := all[r.Namespace]; s != first && s.offer != nil {
				s.hold(s.offer.Number, found[why].Err())
				s.offer, s.active = nil, s.fits
			}
		}
	}
	if first != nil {
		first.hold(first.offer.Number, found[why].Err())
		first.back = first.offer
		first.offer, first.active, first.cut = nil, first.fits, map[string]bool{}
		if first.last != nil {
			for id := range first.last.text {
				if _, stays := first.fits.text[id]; !stays {
					first.cut[id] = true
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
		who, id := last(x, func(s *standing, id string) bool {
			return s.active != nil && (s.active.text[id] != "" || x.Kind == Crowded) &&
				(x.Kind != Removed || strings.HasPrefix(id, "route "))
		})
		cut[rule{who.name, id}] = true
		if x.Kind != Crowded && !x.More {
			who.cut[id] = true
		} else {
			// What is not listed can't be cut one by one.
			for i := range who.active.Routes {
				who.cut[who.active.Routes[i].id()] = true
			}
		}
		if who.held == nil {
			who.hold(who.active.Number, x.Err())
		}
	}
	for _, s := range all {
		if s.active != nil && slices.ContainsFunc(slices.Collect(maps.Keys(cut)), func(r rule) bool { return r.namespace == s.name }) {
			s.active = s.active.without(s.cut)
		}
	}
}

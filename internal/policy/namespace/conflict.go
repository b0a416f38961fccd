package namespace

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"lapisspread/internal/route"
)

// ConflictKind is what is wrong between rules.
type ConflictKind string

// The kinds. Those of the first part hold a namespace back; those of the second are told and hold nobody.
const (
	Contradiction          ConflictKind = "contradiction" // one request matches two routes that lead apart, and no delegation says which goes first
	ContradictoryOverrides ConflictKind = "orders"        // a server shall be in and out at one moment
	MinimumsExceedLimit    ConflictKind = "minimums"      // they come to more than the whole
	CapBelowMinimum        ConflictKind = "cap"           // a cap set by a giver is under the minimum
	ServiceRemoved         ConflictKind = "removed"       // a route leads to a service that is not there
	InconsistentDefinition ConflictKind = "said twice"    // what one alone may say is said in two ways
	TooManyCombinations    ConflictKind = "crowded"       // all routes together are more than a table takes

	DomainOverlap   ConflictKind = "overlap"   // domains meet with no delegation: the charter's affair; no rules may have met yet
	UnreachableRule ConflictKind = "unmatched" // a rule that nothing can come to
)

// Withholds tells whether a conflict holds a namespace back.
func (k ConflictKind) Withholds() bool { return k != DomainOverlap && k != UnreachableRule }

// Conflict is rules that don't go together.
type Conflict struct {
	Kind     ConflictKind
	Rules    []Source       // that have a part in it
	Request  *route.Request // that all these rules match, where the conflict is about requests
	Time     *time.Time     // at which orders contradict
	Text     string
	More     bool   // there are more like it between these two namespaces, which are not listed
	Withheld string // the namespace that was held back for it; empty is none
	cause    error
}

// Err is the conflict as an error with advice: MinimumsExceedWhole, or a Clash.
func (c Conflict) Err() error {
	if c.cause != nil {
		return c.cause
	}
	return ConflictError{c}
}

func (c Conflict) String() string {
	var names []string
	for _, s := range c.Rules {
		names = append(names, s.String())
	}
	s := fmt.Sprintf("%s: %s: %s", c.Kind, strings.Join(names, ", "), c.Text)
	if q := c.Request; q != nil {
		s += fmt.Sprintf("; as for host %q, path %q, method %q, class %q, tenant %q", q.Host, q.Path, q.Method, q.Class, q.Tenant)
	}
	if c.More {
		s += "; and more"
	}
	if c.Time != nil {
		s += "; as at " + c.Time.Format(time.RFC3339)
	}
	return s
}

// bucket is rules of one pattern of hosts and paths. Those that list tenants, or else classes, are found by them: many teams
// have rules for one path that only their tenants tell apart.
type bucket struct {
	free              []int32
	byTenant, byClass map[string][]int32
	listed            [2][]int32 // those by tenant, and by class
}

func (b *bucket) add(m *Match, id int32) {
	enter := func(by *map[string][]int32, list []string, i int) {
		if *by == nil {
			*by = map[string][]int32{}
		}
		for _, v := range list {
			(*by)[v] = append((*by)[v], id)
		}
		b.listed[i] = append(b.listed[i], id)
	}
	switch {
	case len(m.Tenants) > 0:
		enter(&b.byTenant, m.Tenants, 0)
	case len(m.Classes) > 0:
		enter(&b.byClass, m.Classes, 1)
	default:
		b.free = append(b.free, id)
	}
}

// visit calls f for all that may have a request in common with m, some of them twice, until it says no.
func (b *bucket) visit(m *Match, f func(int32) bool) bool {
	each := func(ids []int32) bool {
		for _, id := range ids {
			if !f(id) {
				return false
			}
		}
		return true
	}
	some := func(by map[string][]int32, list []string, all []int32) bool {
		if len(list) == 0 {
			return each(all)
		}
		if len(by) > 0 {
			for _, v := range list {
				if !each(by[v]) {
					return false
				}
			}
		}
		return true
	}
	return each(b.free) && some(b.byTenant, m.Tenants, b.listed[0]) && some(b.byClass, m.Classes, b.listed[1])
}

// tree finds patterns of paths: by segment, those that a pattern lies in and those that lie in it.
type tree struct {
	below         map[string]*tree
	names         []string // of below, sorted
	exact, prefix bucket
}

// next takes a segment off a path that follows a slash.
func next(rest string) (segment, more string, last bool) {
	if i := strings.IndexByte(rest, '/'); i >= 0 {
		return rest[:i], rest[i+1:], false
	}
	return rest, "", true
}

func (t *tree) add(m *Match, id int32) {
	p := m.place()
	if p.path != "/" || p.exact {
		for rest, last := p.path[1:], false; !last; {
			var s string
			s, rest, last = next(rest)
			if t.below == nil {
				t.below = map[string]*tree{}
			}
			if t.below[s] == nil {
				i, _ := slices.BinarySearch(t.names, s)
				t.names = slices.Insert(t.names, i, s)
			}
			t = getOrCreate(t.below, s)
		}
	}
	if p.exact {
		t.exact.add(m, id)
	} else {
		t.prefix.add(m, id)
	}
}

// meeting calls f for the rules whose paths meet those of m, and that may meet it otherwise, until f says no. With outer only for
// those whose paths are all of m's.
func (t *tree) meeting(m *Match, outer bool, f func(int32) bool) bool {
	p := m.place()
	if p.path != "/" || p.exact {
		for rest, last := p.path[1:], false; !last; {
			if !t.prefix.visit(m, f) {
				return false
			}
			var s string
			s, rest, last = next(rest)
			if t = t.below[s]; t == nil {
				return true
			}
		}
	}
	if p.exact {
		return t.prefix.visit(m, f) && t.exact.visit(m, f)
	}
	if outer {
		return t.prefix.visit(m, f)
	}
	return t.all(m, f)
}

func (t *tree) all(m *Match, f func(int32) bool) bool {
	if !t.prefix.visit(m, f) || !t.exact.visit(m, f) {
		return false
	}
	for _, name := range t.names {
		if !t.below[name].all(m, f) {
			return false
		}
	}
	return true
}

// index is rules by host, then path.
type index map[string]*tree

func (x index) add(m *Match, id int32) { getOrCreate(x, m.Host).add(m, id) }

// outerHosts calls f for a pattern of hosts and each that it lies in.
func outerHosts(host string, f func(string)) {
	f(host)
	for rest := strings.TrimPrefix(host, "*."); ; {
		_, more, more2 := strings.Cut(rest, ".")
		if !more2 {
			break
		}
		f("*." + more)
		rest = more
	}
	if host != "" {
		f("")
	}
}

// maxConflictsPerRoute is with how many routes of one namespace a route's conflicts are listed: two teams that write thousands of routes
// across each other's would else fill the memory.
const maxConflictsPerRoute = 8

// finder finds the conflicts of sets of namespaces under one charter. It keeps what it found of two files for the next set.
type finder struct {
	c       *Declaration
	was     map[string][]Source // who offered which service before
	indexes map[*File]index
	pairs   map[[2]*File][]Conflict
	meets   map[[2]string]bool
}

func newFinder(c *Declaration, before []*File) *finder {
	f := &finder{c, map[string][]Source{}, map[*File]index{}, map[[2]*File][]Conflict{}, map[[2]string]bool{}}
	for _, n := range before {
		for i := range n.Services {
			if s := &n.Services[i]; !s.Removed {
				f.was[s.Name] = append(f.was[s.Name], n.source(s.id()))
			}
		}
	}
	return f
}

// Check finds all conflicts of a set of namespaces, each of which keeps to its domain. Before is the set that held so far.
func Check(c *Declaration, before, set []*File) []Conflict {
	f := newFinder(c, before)
	out := append(f.holding(set), f.telling(set)...)
	sortConflicts(out)
	return out
}

func sortConflicts(list []Conflict) {
	slices.SortFunc(list, func(a, b Conflict) int {
		return cmp.Or(strings.Compare(string(a.Kind), string(b.Kind)), slices.CompareFunc(a.Rules, b.Rules, compareSources),
			strings.Compare(a.Text, b.Text))
	})
}

func byName(set []*File) []*File {
	out := slices.Clone(set)
	slices.SortFunc(out, func(a, b *File) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// holding finds the conflicts that hold a namespace back.
func (f *finder) holding(set []*File) []Conflict {
	set = byName(set)
	var out []Conflict
	for i, b := range set {
		for _, a := range set[:i] {
			out = append(out, f.contradictions(a, b)...)
		}
	}
	out = append(out, inconsistentDefinitions(set)...)
	out = append(out, contradictoryOverrides(set)...)
	out = append(out, f.budgets(set)...)
	out = append(out, tooManyCombinations(set)...)
	return append(out, f.removed(set)...)
}

func (f *finder) indexOf(n *File) index {
	x, there := f.indexes[n]
	if !there {
		x = index{}
		for i := range n.Routes {
			x.add(&n.Routes[i].Match, int32(i))
		}
		f.indexes[n] = x
	}
	return x
}

// contradictions finds routes of two namespaces that meet and are not put in order by a delegation.
func (f *finder) contradictions(a, b *File) []Conflict {
	names := [2]string{a.Name, b.Name}
	meet, known := f.meets[names]
	if !known {
		meet = f.c.routesMayMeet(a.Name, b.Name)
		f.meets[names] = meet
	}
	if !meet {
		return nil
	}
	key := [2]*File{a, b}
	if found, there := f.pairs[key]; there {
		return found
	}
	var out []Conflict
	// Each pair is met once: at the host of the inner one. Where the hosts differ the inner one goes first, so a delegation to it
	// settles all pairs at once; this is what keeps a rule over everything from being compared with each rule under it.
	half := func(inner, outer *File, strict bool) {
		x := f.indexOf(outer)
		for i := range inner.Routes {
			r := &inner.Routes[i]
			under := f.c.delegated(inner.Name, outer.Name, SettingRoute, &r.Match)
			var with []int32
			outerHosts(r.Host, func(host string) {
				if strict && host == r.Host || under && host != r.Host || len(with) == maxConflictsPerRoute {
					return
				}
				t := x[host]
				if t == nil {
					return
				}
				t.meeting(&r.Match, false, func(id int32) bool {
					c, found := f.contradict(inner, outer, r, &outer.Routes[id], under)
					if !found || slices.Contains(with, id) {
						return true
					}
					with = append(with, id)
					c.More = len(with) == maxConflictsPerRoute
					out = append(out, c)
					return !c.More
				})
			})
		}
	}
	half(b, a, false)
	half(a, b, true)
	f.pairs[key] = out
	return out
}

// contradict looks at one route of each of two namespaces; under tells whether x stands in what o's delegated.
func (f *finder) contradict(xn, on *File, x, o *Route, under bool) (Conflict, bool) {
	q, meet := x.Match.meet(&o.Match)
	if !meet {
		return Conflict{}, false
	}
	rx, ro := x.rank(), o.rank()
	first := slices.Compare(rx[:], ro[:])
	text := "they lead apart, and no delegation puts one first"
	switch {
	case first == 0:
		text = "neither goes before the other"
	case x.leadsAs(o):
		return Conflict{}, false
	case first > 0 && under || first < 0 && f.c.delegated(on.Name, xn.Name, SettingRoute, &o.Match):
		return Conflict{}, false
	case first < 0 && under || first > 0 && f.c.delegated(on.Name, xn.Name, SettingRoute, &o.Match):
		text = "they lead apart, and the giver's goes before that of the namespace it delegated to"
	}
	return Conflict{Kind: Contradiction, Rules: sources(xn.source(x.id()), on.source(o.id())), Request: &q, Text: text}, true
}

func sources(list ...Source) []Source {
	slices.SortFunc(list, compareSources)
	return slices.Compact(list)
}

// leadsAs tells whether two routes lead to the same.
func (r *Route) leadsAs(o *Route) bool {
	return cmp.Or(r.Sticky, "key") == cmp.Or(o.Sticky, "key") &&
		slices.EqualFunc(r.To, o.To, func(a, b Target) bool { return a.Service == b.Service && *a.Weight == *b.Weight })
}

// inconsistentDefinitions finds services, and worths of classes, that two namespaces give differently.
func inconsistentDefinitions(set []*File) []Conflict {
	type statement struct {
		from Source
		text string
	}
	all := map[string][]statement{}
	for _, n := range set {
		for i := range n.Services {
			id := n.Services[i].id()
			all[id] = append(all[id], statement{n.source(id), n.ruleTexts[id]})
		}
		for i := range n.Classes {
			if c := &n.Classes[i]; c.PriorityWeight != nil {
				all[c.id()] = append(all[c.id()], statement{n.source(c.id()), fmt.Sprintf("worth %v", *c.PriorityWeight)})
			}
		}
	}
	var out []Conflict
	for _, id := range slices.Sorted(maps.Keys(all)) {
		for i, b := range all[id] {
			for _, a := range all[id][:i] {
				if a.text != b.text {
					out = append(out, Conflict{Kind: InconsistentDefinition, Rules: sources(a.from, b.from), Text: fmt.Sprintf("%s and %s", a.text, b.text)})
				}
			}
		}
	}
	return out
}

// contradictoryOverrides finds orders for one server that contradict at one moment.
func contradictoryOverrides(set []*File) []Conflict {
	type one struct {
		n *File
		o *Override
	}
	by := map[string][]one{}
	for _, n := range set {
		for i := range n.Overrides {
			by[n.Overrides[i].Server] = append(by[n.Overrides[i].Server], one{n, &n.Overrides[i]})
		}
	}
	var out []Conflict
	for _, server := range slices.Sorted(maps.Keys(by)) {
		for i, b := range by[server] {
			for _, a := range by[server][:i] {
				if moment, against := a.o.contradicts(b.o); against {
					out = append(out, Conflict{Kind: ContradictoryOverrides, Rules: sources(a.n.source(a.o.id()), b.n.source(b.o.id())), Time: &moment,
						Text: "server " + server + " shall be in and out"})
				}
			}
		}
	}
	return out
}

// budgets finds minimums that come to more than the whole, and caps under a minimum.
func (f *finder) budgets(set []*File) []Conflict {
	sums, parts := map[string]int64{}, map[string][]Source{}
	type limit struct {
		from Source
		cap  int64
	}
	caps := map[[2]string][]limit{}
	for _, n := range set {
		for i := range n.Quotas {
			b := &n.Quotas[i]
			if b.Namespace != "" {
				caps[[2]string{b.Quota, b.Namespace}] = append(caps[[2]string{b.Quota, b.Namespace}], limit{n.source(b.id()), b.Cap})
			}
			if b.Min > 0 {
				sums[b.Quota] += b.Min
				parts[b.Quota] = append(parts[b.Quota], n.source(b.id()))
			}
		}
	}
	var out []Conflict
	for _, name := range slices.Sorted(maps.Keys(sums)) {
		if whole := f.c.limits[name]; sums[name] > whole {
			why := MinimumsExceedLimitError{name, sums[name], whole}
			out = append(out, Conflict{Kind: MinimumsExceedLimit, Rules: sources(parts[name]...), Text: why.Error(), cause: why})
		}
	}
	for _, n := range set {
		for i := range n.Quotas {
			b := &n.Quotas[i]
			for _, l := range caps[[2]string{b.Quota, n.Name}] {
				if b.Namespace == "" && l.cap > 0 && l.cap < b.Min {
					out = append(out, Conflict{Kind: CapBelowMinimum, Rules: sources(l.from, n.source(b.id())),
						Text: fmt.Sprintf("cap %d is under minimum %d", l.cap, b.Min)})
				}
			}
		}
	}
	return out
}

// maxCombinations of methods, classes and tenants may all routes come to. It is well under what package route takes.
const maxCombinations = 400_000

// allRoutes stands for all routes of a namespace in a conflict.
const allRoutes = "all routes"

func (n *File) combinations() int {
	sum := 0
	for i := range n.Routes {
		r := &n.Routes[i]
		sum += max(1, len(r.Methods)) * max(1, len(r.Classes)) * max(1, len(r.Tenants))
	}
	return sum
}

// tooManyCombinations finds that all routes together would not compile: each file is small enough by itself.
func tooManyCombinations(set []*File) []Conflict {
	sum := 0
	var parts []Source
	for _, n := range set {
		if k := n.combinations(); k > 0 {
			sum += k
			parts = append(parts, n.source(allRoutes))
		}
	}
	if sum <= maxCombinations {
		return nil
	}
	return []Conflict{{Kind: TooManyCombinations, Rules: sources(parts...),
		Text: fmt.Sprintf("%d combinations of methods, classes and tenants; %d are the most", sum, maxCombinations)}}
}

// removed finds routes to services that nobody offers, with those who took them away.
func (f *finder) removed(set []*File) []Conflict {
	offered, gone := map[string]bool{}, map[string][]Source{}
	for _, n := range set {
		for i := range n.Services {
			if s := &n.Services[i]; s.Removed {
				gone[s.Name] = append(gone[s.Name], n.source(s.id()))
			} else {
				offered[s.Name] = true
			}
		}
	}
	var out []Conflict
	for _, n := range set {
		for i := range n.Routes {
			r := &n.Routes[i]
			for _, to := range r.To {
				if offered[to.Service] && len(gone[to.Service]) == 0 {
					continue
				}
				by := gone[to.Service]
				if len(by) == 0 {
					for _, s := range f.was[to.Service] {
						if k := slices.IndexFunc(set, func(o *File) bool { return o.Name == s.Namespace }); k >= 0 {
							by = append(by, set[k].source(s.Rule))
						}
					}
				}
				text := fmt.Sprintf("nobody offers service %q", to.Service)
				if len(by) > 0 {
					text = fmt.Sprintf("service %q is removed", to.Service)
				}
				q, _ := r.Match.meet(&r.Match)
				rules := sources(append(slices.Clone(by), n.source(r.id()))...)
				out = append(out, Conflict{Kind: ServiceRemoved, Rules: rules, Request: &q, Text: text})
			}
		}
	}
	return out
}

// telling finds what holds nobody back: overlaps of the charter, and rules that nothing can come to.
func (f *finder) telling(set []*File) []Conflict {
	return append(f.c.overlaps(), unreachableRules(byName(set))...)
}

// unreachableRules finds routes that other rules take every request from, and bounds for routes that are not there.
//
// It is exact because the language is open: there are always a host, a path, a method, a class and a tenant that no rule
// names. So of a route's requests with one listed method, class and tenant (a cell), the one that is fresh in all else
// can only be taken by a rule that takes the whole cell, and only these need be looked for: blocks, and routes that go first.
// A route that goes first and takes a whole cell has the same host, and is one for the prefix / beside one for any path.
func unreachableRules(set []*File) []Conflict {
	type rule struct {
		from Source
		m    *Match
	}
	var blocks []rule
	at := index{}
	roots := map[string][]rule{} // routes for the prefix /, by host
	names := map[string]bool{}
	for _, n := range set {
		for i := range n.Blocks {
			at.add(&n.Blocks[i].Match, int32(len(blocks)))
			blocks = append(blocks, rule{n.source(n.Blocks[i].id()), &n.Blocks[i].Match})
		}
		for i := range n.Routes {
			r := &n.Routes[i]
			names[n.Name+"/"+r.Name] = true
			if r.PathPrefix == "/" {
				roots[r.Host] = append(roots[r.Host], rule{n.source(r.id()), &r.Match})
			}
		}
	}
	var out []Conflict
	spare := spares(set)
	for _, n := range set {
		for i := range n.StalenessBounds {
			if s := &n.StalenessBounds[i]; !names[s.Route] {
				out = append(out, Conflict{Kind: UnreachableRule, Rules: []Source{n.source(s.id())}, Text: "there is no route " + s.Route})
			}
		}
		for i := range n.Routes {
			r := &n.Routes[i]
			var takers []rule
			if r.Path == "" && r.PathPrefix == "" {
				takers = append(takers, roots[r.Host]...)
			}
			if len(blocks) > 0 {
				flags := r.rank()[2]
				outerHosts(r.Host, func(host string) {
					if t := at[host]; t != nil {
						t.meeting(&r.Match, true, func(id int32) bool {
							if blocks[id].m.rank()[2]&^flags == 0 {
								takers = append(takers, blocks[id])
							}
							return true
						})
					}
				})
			}
			if len(takers) == 0 {
				continue
			}
			slices.SortFunc(takers, func(a, b rule) int { return compareSources(a.from, b.from) })
			var by []Source
			var q *route.Request
			whole := true
			for _, method := range orOne(r.Methods) {
				for _, class := range orOne(r.Classes) {
					for _, tenant := range orOne(r.Tenants) {
						if !whole {
							continue
						}
						cell := Match{r.Host, r.Path, r.PathPrefix, method, class, tenant}
						k := slices.IndexFunc(takers, func(t rule) bool { return t.m.covers(&cell) })
						if k < 0 {
							whole = false
							continue
						}
						by = append(by, takers[k].from)
						if q == nil {
							fresh := spare.fresh(&cell)
							q = &fresh
						}
					}
				}
			}
			if whole {
				out = append(out, Conflict{Kind: UnreachableRule, Rules: append([]Source{n.source(r.id())}, sources(by...)...), Request: q,
					Text: "nothing comes to the first: the rest take it all"})
			}
		}
	}
	return out
}

// orOne gives each value of a list as a list; any as one.
func orOne(list []string) [][]string {
	if len(list) == 0 {
		return [][]string{nil}
	}
	var out [][]string
	for i := range list {
		out = append(out, list[i:i+1])
	}
	return out
}

// spare is a word that no rule names.
type spare string

func spares(set []*File) spare {
	used := map[string]bool{}
	for _, n := range set {
		each := func(m *Match) {
			for _, list := range [][]string{m.Methods, m.Classes, m.Tenants} {
				for _, v := range list {
					used[v] = true
				}
			}
			for _, v := range strings.FieldsFunc(m.Host+"/"+m.Path+m.PathPrefix, func(r rune) bool { return r == '.' || r == '/' }) {
				used[v] = true
			}
		}
		for i := range n.Routes {
			each(&n.Routes[i].Match)
		}
		for i := range n.Blocks {
			each(&n.Blocks[i].Match)
		}
	}
	word := "any"
	for i := 2; used[word]; i++ {
		word = fmt.Sprintf("any-%d", i)
	}
	return spare(word)
}

// fresh is a request of a match that is named by no rule wherever the match leaves it open.
func (s spare) fresh(m *Match) route.Request {
	pick := func(list []string) string {
		if len(list) > 0 {
			return list[0]
		}
		return string(s)
	}
	p := m.place()
	if !p.exact {
		p.path = strings.TrimSuffix(p.path, "/") + "/" + string(s)
	}
	return route.Request{Host: writtenOut(m.Host, string(s)), Path: p.path,
		Method: pick(m.Methods), Class: pick(m.Classes), Tenant: pick(m.Tenants)}
}

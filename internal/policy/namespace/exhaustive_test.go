package namespace

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"lapisspread/internal/operatorerror"
	"lapisspread/internal/route"
)

// The exhaustive search looks at every request over a small alphabet, with tables of package route that have one rule
// each. The alphabet has a word that no rule names (f) in each place, so a conflict that it does not show does not
// exist.

// exhaustiveKinds are the kinds of conflicts that the exhaustive search finds.
var exhaustiveKinds = []ConflictKind{
	Contradiction, ContradictoryOverrides, MinimumsExceedLimit, ServiceRemoved, DomainOverlap, UnreachableRule,
}

// exhaustiveHours are the hours after randomStart at which overrides are compared.
const exhaustiveHours = 8

// everyRequest is all requests over the alphabet.
var everyRequest = func() []route.Request {
	var all []route.Request
	for _, host := range []string{"a", "b", "f", "b.a", "f.a", "f.b.a"} {
		for _, path := range []string{"/", "/f", "/x", "/x/", "/x/f", "/x/y", "/x/y/f"} {
			for _, method := range []string{"GET", "POST", "f"} {
				for _, class := range []string{"c", "f"} {
					for _, tenant := range []string{"t", "u", "f"} {
						all = append(all, route.Request{
							Host: host, Path: path, Method: method, Class: class, Tenant: tenant,
						})
					}
				}
			}
		}
	}
	return all
}()

// requestSet is a set of requests: one bit for each of everyRequest.
type requestSet []uint64

// matchSets caches the requests of matches, by their texts.
var matchSets = map[string]requestSet{}

func newRequestSet() requestSet { return make(requestSet, len(everyRequest)/64+1) }

func (s requestSet) has(i int) bool { return s[i/64]&(1<<(i%64)) != 0 }

func (s requestSet) empty() bool {
	return !slices.ContainsFunc(s, func(word uint64) bool { return word != 0 })
}

func (s requestSet) minus(other requestSet) requestSet {
	rest := slices.Clone(s)
	for i := range rest {
		rest[i] &^= other[i]
	}
	return rest
}

func (s requestSet) within(other requestSet) bool { return s.minus(other).empty() }

// common returns a request that is in both sets, or nil.
func (s requestSet) common(other requestSet) *route.Request {
	for i := range everyRequest {
		if s.has(i) && other.has(i) {
			return &everyRequest[i]
		}
	}
	return nil
}

func (s requestSet) intersects(other requestSet) bool {
	for i := range s {
		if s[i]&other[i] != 0 {
			return true
		}
	}
	return false
}

// tableOf returns a table with one rule for a match.
func tableOf(m *Match) *route.Table {
	table, err := route.Compile([]route.Rule{m.probeRule("")}, "")
	if err != nil {
		panic(err)
	}
	return table
}

// requestsOf returns all requests of a match, as package route sees it.
func requestsOf(m *Match) requestSet {
	key := fmt.Sprintf("%+v", *m)
	if set, ok := matchSets[key]; ok {
		return set
	}
	table := tableOf(m)
	set := newRequestSet()
	for i := range everyRequest {
		if _, verdict := table.Lookup(&everyRequest[i]); verdict == route.Found {
			set[i/64] |= 1 << (i % 64)
		}
	}
	matchSets[key] = set
	return set
}

// exhaustiveSearch finds the conflicts of a set of files, each as a text of its kind and rules.
type exhaustiveSearch struct {
	declaration *Declaration
	files       []*File
	matches     map[*Match]requestSet
	domains     map[*Domain]requestSet
	found       map[string]bool
}

func searchExhaustively(d *Declaration, files []*File) map[string]bool {
	s := &exhaustiveSearch{
		declaration: d,
		files:       files,
		matches:     map[*Match]requestSet{},
		domains:     map[*Domain]requestSet{},
		found:       map[string]bool{},
	}
	s.searchRoutes()
	s.searchServices()
	s.searchOverrides()
	s.searchMinimums()
	s.searchOverlaps()
	return s.found
}

func (s *exhaustiveSearch) add(kind ConflictKind, rules ...Source) {
	s.found[fmt.Sprint(kind, sources(rules...))] = true
}

func (s *exhaustiveSearch) requests(m *Match) requestSet {
	set, ok := s.matches[m]
	if !ok {
		set = requestsOf(m)
		s.matches[m] = set
	}
	return set
}

// domainRequests returns the requests of all parts of a domain.
func (s *exhaustiveSearch) domainRequests(d *Domain) requestSet {
	if set, ok := s.domains[d]; ok {
		return set
	}
	set := newRequestSet()
	hosts := d.Hosts
	if hosts == nil {
		hosts = []string{""}
	}
	prefixes := d.PathPrefixes
	if prefixes == nil {
		prefixes = []string{""}
	}
	for _, host := range hosts {
		for _, prefix := range prefixes {
			part := requestsOf(&Match{Host: host, PathPrefix: prefix, Classes: d.Classes, Tenants: d.Tenants})
			for i, word := range part {
				set[i] |= word
			}
		}
	}
	s.domains[d] = set
	return set
}

// delegated reports whether a route is within what another namespace delegated, directly or through others.
func (s *exhaustiveSearch) delegated(to, from string, m *Match) bool {
	for i := range s.declaration.Delegations {
		d := &s.declaration.Delegations[i]
		if d.To != to || !slices.Contains(d.Settings, SettingRoute) {
			continue
		}
		if !s.requests(m).within(s.domainRequests(&d.Domain)) {
			continue
		}
		if d.From == from || s.delegated(d.From, from, m) {
			return true
		}
	}
	return false
}

// ownedRoute is a route with the file that it is of.
type ownedRoute struct {
	file  *File
	route *Route
}

func (r ownedRoute) source() Source { return r.file.source(r.route.id()) }

// compareByTable returns 1 if package route chooses the first of two routes for a request, -1 if the second, and 0 if
// they are of equal precedence.
func compareByTable(a, b *Route, request *route.Request) int {
	table, err := route.Compile([]route.Rule{a.rule("a", a.targets()), b.rule("b", b.targets())}, "")
	if err != nil {
		return 0
	}
	if chosen, _ := table.Lookup(request); chosen.Name == "a" {
		return 1
	}
	return -1
}

// searchRoutes finds contradictions and unreachable routes.
func (s *exhaustiveSearch) searchRoutes() {
	var routes []ownedRoute
	var blocks []*Match
	for _, f := range s.files {
		for i := range f.Routes {
			routes = append(routes, ownedRoute{f, &f.Routes[i]})
		}
		for i := range f.Blocks {
			blocks = append(blocks, &f.Blocks[i].Match)
		}
	}
	for i, a := range routes {
		left := s.requests(&a.route.Match)
		for _, m := range blocks {
			left = left.minus(s.requests(m))
		}
		for k, b := range routes {
			if i == k {
				continue
			}
			request := s.requests(&a.route.Match).common(s.requests(&b.route.Match))
			if request == nil {
				continue
			}
			order := compareByTable(a.route, b.route, request)
			if order < 0 {
				left = left.minus(s.requests(&b.route.Match))
			}
			if k < i && a.file != b.file && s.contradict(a, b, order) {
				s.add(Contradiction, a.source(), b.source())
			}
		}
		if left.empty() {
			s.add(UnreachableRule, a.source())
		}
	}
}

// contradict reports whether two routes that meet contradict each other.
func (s *exhaustiveSearch) contradict(a, b ownedRoute, order int) bool {
	if order == 0 {
		return true
	}
	if fmt.Sprint(a.route.targets()) == fmt.Sprint(b.route.targets()) {
		return false
	}
	if order > 0 {
		return !s.delegated(a.file.Name, b.file.Name, &a.route.Match)
	}
	return !s.delegated(b.file.Name, a.file.Name, &b.route.Match)
}

// searchServices finds routes to services that are not there.
func (s *exhaustiveSearch) searchServices() {
	defined := map[string]bool{}
	removed := map[string]bool{}
	for _, f := range s.files {
		for _, service := range f.Services {
			defined[service.Name] = true
			removed[service.Name] = removed[service.Name] || service.Removed
		}
	}
	for _, f := range s.files {
		for i := range f.Routes {
			for _, to := range f.Routes[i].To {
				if !defined[to.Service] || removed[to.Service] {
					s.add(ServiceRemoved, f.source(f.Routes[i].id()))
				}
			}
		}
	}
}

// inForce reports whether an override is in force at a time.
func inForce(o *Override, at time.Time) bool {
	return !at.Before(o.From) && (o.Until.IsZero() || at.Before(o.Until))
}

func (s *exhaustiveSearch) searchOverrides() {
	for i, a := range s.files {
		for _, b := range s.files[:i] {
			for x := range a.Overrides {
				for y := range b.Overrides {
					if overridesContradict(&a.Overrides[x], &b.Overrides[y]) {
						s.add(ContradictoryOverrides,
							a.source(a.Overrides[x].id()), b.source(b.Overrides[y].id()))
					}
				}
			}
		}
	}
}

func overridesContradict(a, b *Override) bool {
	if a.Server != b.Server || a.Action == b.Action {
		return false
	}
	for hour := range exhaustiveHours {
		at := randomStart.Add(time.Duration(hour) * time.Hour)
		if inForce(a, at) && inForce(b, at) {
			return true
		}
	}
	return false
}

func (s *exhaustiveSearch) searchMinimums() {
	var rules []Source
	sum := int64(0)
	for _, f := range s.files {
		for i := range f.Quotas {
			sum += f.Quotas[i].Min
			rules = append(rules, f.source(f.Quotas[i].id()))
		}
	}
	if sum > s.declaration.limits[randomQuota] {
		s.add(MinimumsExceedLimit, rules...)
	}
}

func (s *exhaustiveSearch) searchOverlaps() {
	namespaces := s.declaration.Namespaces
	for i := range namespaces {
		for k := range i {
			if !s.overlap(namespaces[i].Name, namespaces[k].Name) {
				continue
			}
			s.add(DomainOverlap,
				Source{Namespace: namespaces[i].Name, Rule: declarationRule},
				Source{Namespace: namespaces[k].Name, Rule: declarationRule})
		}
	}
}

// overlap reports whether two domains have parts that intersect, of which neither came through the other namespace.
func (s *exhaustiveSearch) overlap(a, b string) bool {
	for _, x := range s.parts(a, nil, nil) {
		for _, y := range s.parts(b, nil, nil) {
			if slices.Contains(x.delegators, b) || slices.Contains(y.delegators, a) {
				continue
			}
			if s.domainRequests(x.domain).intersects(s.domainRequests(y.domain)) {
				return true
			}
		}
	}
	return false
}

// parts returns the parts of a namespace's domain that contain a part, or all of them, each with the namespaces that it
// came through up to its root. A part came through all that its delegator's part did, if it is within that.
func (s *exhaustiveSearch) parts(name string, part *Domain, through []string) []domainPart {
	var all []domainPart
	contains := func(d *Domain) bool {
		return part == nil || s.domainRequests(part).within(s.domainRequests(d))
	}
	partOr := func(d *Domain) *Domain {
		if part == nil {
			return d
		}
		return part
	}
	for i := range s.declaration.Namespaces {
		n := &s.declaration.Namespaces[i]
		if n.Name == name && len(n.Settings) > 0 && contains(&n.Domain) {
			all = append(all, domainPart{partOr(&n.Domain), slices.Clone(through)})
		}
	}
	for i := range s.declaration.Delegations {
		d := &s.declaration.Delegations[i]
		if d.To == name && contains(&d.Domain) {
			delegators := append(slices.Clone(through), d.From)
			all = append(all, s.parts(d.From, partOr(&d.Domain), delegators)...)
		}
	}
	return all
}

// exhaustiveKey is a conflict in the form of the exhaustive search.
func (c Conflict) exhaustiveKey() string {
	rules := c.Rules
	switch c.Kind {
	case UnreachableRule:
		rules = rules[:1]
	case ServiceRemoved:
		notRoute := func(s Source) bool { return !strings.HasPrefix(s.Rule, routeIDPrefix) }
		rules = slices.DeleteFunc(slices.Clone(rules), notRoute)
	}
	return fmt.Sprint(c.Kind, rules)
}

// compareWithExhaustive returns which conflicts were found too much, were not found, or have no valid request.
func compareWithExhaustive(d *Declaration, files []*File, found []Conflict) []string {
	var differences []string
	want := searchExhaustively(d, files)
	got := map[string]bool{}
	for _, c := range found {
		if c.Kind == InconsistentDefinition {
			continue // compares texts, and has a test of its own
		}
		got[c.exhaustiveKey()] = true
		if !want[c.exhaustiveKey()] {
			differences = append(differences, "found, but is none: "+c.String())
		}
		differences = append(differences, requestFaults(c, files)...)
	}
	for key := range want {
		if !got[key] {
			differences = append(differences, "not found: "+key)
		}
	}
	return differences
}

// requestFaults returns which rules of a conflict do not match its request. Of an unreachable rule that several others
// take, each takes only a part.
func requestFaults(c Conflict, files []*File) []string {
	if (c.Kind == Contradiction || c.Kind == UnreachableRule) && c.Request == nil {
		return []string{"no request: " + c.String()}
	}
	var faults []string
	for i, s := range c.Rules {
		m := findMatch(files, s)
		if m == nil || c.Kind == UnreachableRule && (i > 1 || len(c.Rules) > 2) {
			continue
		}
		if _, verdict := tableOf(m).Lookup(c.Request); verdict != route.Found {
			faults = append(faults, "its request does not match "+s.String()+": "+c.String())
		}
	}
	return faults
}

// findMatch returns the match of a route or block, or nil.
func findMatch(files []*File, s Source) *Match {
	for _, f := range files {
		if f.Name != s.Namespace {
			continue
		}
		for i := range f.Routes {
			if f.Routes[i].id() == s.Rule {
				return &f.Routes[i].Match
			}
		}
		for i := range f.Blocks {
			if f.Blocks[i].id() == s.Rule {
				return &f.Blocks[i].Match
			}
		}
	}
	return nil
}

func TestConflictsMatchExhaustiveSearch(t *testing.T) {
	const maxFaults = 10
	counts := map[ConflictKind]int{}
	advices := map[ConflictKind]string{}
	faults := 0
	for i := range randomSetCount {
		d, files := randomSet(i)
		found := Check(d, nil, files)
		for _, c := range found {
			counts[c.Kind]++
			advices[c.Kind] = operatorerror.AdviceOf(c.Err())
		}
		for _, difference := range compareWithExhaustive(d, files, found) {
			t.Errorf("set %d: %s", i, difference)
			if faults++; faults > maxFaults {
				t.FailNow()
			}
		}
	}
	t.Logf("%d sets: %v", randomSetCount, counts)
	for _, kind := range exhaustiveKinds {
		if counts[kind] < 20 {
			t.Errorf("%s occurred only %d times", kind, counts[kind])
		}
		for other, advice := range advices {
			if advice == "" || other != kind && advice == advices[kind] {
				t.Errorf("%s and %s have the same advice: %q", kind, other, advice)
			}
		}
	}
}

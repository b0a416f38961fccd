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

// The exhaustive search is a second, simpler implementation of Check. It tries every request whose host labels, path
// segments, method, class and tenant come from a small alphabet, and uses package route, with a table of a single
// rule, to decide whether the rule matches. The alphabet has, in each position, a word that no rule names (f). So each
// conflict between rules over this alphabet shows in one of these requests.

// exhaustiveKinds are the kinds of conflicts that the exhaustive search finds.
var exhaustiveKinds = []ConflictKind{
	Contradiction, ContradictoryOverrides, MinimumsExceedLimit, ServiceRemoved, DomainOverlap, UnreachableRule,
}

// exhaustiveHours are the hours after randomStart at which overrides are compared.
const exhaustiveHours = 8

// everyRequest lists all requests over the alphabet.
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

// requestSet is a set of requests: one bit for each request of everyRequest.
type requestSet []uint64

// requestsByMatch caches the results of matchingRequests, by the printed match.
var requestsByMatch = map[string]requestSet{}

// newRequestSet returns an empty set.
func newRequestSet() requestSet { return make(requestSet, len(everyRequest)/64+1) }

// has reports whether the set has the request everyRequest[i].
func (s requestSet) has(i int) bool { return s[i/64]&(1<<(i%64)) != 0 }

func (s requestSet) empty() bool {
	return !slices.ContainsFunc(s, func(word uint64) bool { return word != 0 })
}

// minus returns the requests of s that are not in other.
func (s requestSet) minus(other requestSet) requestSet {
	difference := slices.Clone(s)
	for i := range difference {
		difference[i] &^= other[i]
	}
	return difference
}

// within reports whether all requests of s are also in other.
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

// singleRuleTable returns a table whose only rule has the given match.
func singleRuleTable(m *Match) *route.Table {
	table, err := route.Compile([]route.Rule{m.probeRule("")}, "")
	if err != nil {
		panic(err)
	}
	return table
}

// matchingRequests returns the requests of everyRequest that a match contains according to package route.
func matchingRequests(m *Match) requestSet {
	key := fmt.Sprintf("%+v", *m)
	if set, ok := requestsByMatch[key]; ok {
		return set
	}
	table := singleRuleTable(m)
	set := newRequestSet()
	for i := range everyRequest {
		if _, verdict := table.Lookup(&everyRequest[i]); verdict == route.Found {
			set[i/64] |= 1 << (i % 64)
		}
	}
	requestsByMatch[key] = set
	return set
}

// exhaustiveSearch finds the conflicts of a set of files.
type exhaustiveSearch struct {
	declaration       *Declaration
	files             []*File
	requestsPerMatch  map[*Match]requestSet  // requests that a match contains; cached
	requestsPerDomain map[*Domain]requestSet // requests that a domain contains; cached
	found             map[string]bool        // found conflicts, each in the form of Conflict.exhaustiveKey
}

// searchExhaustively returns the conflicts of a set of files, in the form of exhaustiveKey.
func searchExhaustively(d *Declaration, files []*File) map[string]bool {
	s := &exhaustiveSearch{
		declaration:       d,
		files:             files,
		requestsPerMatch:  map[*Match]requestSet{},
		requestsPerDomain: map[*Domain]requestSet{},
		found:             map[string]bool{},
	}
	s.searchRoutes()
	s.searchServices()
	s.searchOverrides()
	s.searchMinimums()
	s.searchOverlaps()
	return s.found
}

// add records a conflict of a kind between rules.
func (s *exhaustiveSearch) add(kind ConflictKind, rules ...Source) {
	s.found[fmt.Sprint(kind, sources(rules...))] = true
}

// requests returns the requests of everyRequest that a match contains.
func (s *exhaustiveSearch) requests(m *Match) requestSet {
	set, ok := s.requestsPerMatch[m]
	if !ok {
		set = matchingRequests(m)
		s.requestsPerMatch[m] = set
	}
	return set
}

// domainRequests returns the requests of a domain, for all its combinations of a host and a path prefix.
func (s *exhaustiveSearch) domainRequests(d *Domain) requestSet {
	if set, ok := s.requestsPerDomain[d]; ok {
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
			matching := matchingRequests(&Match{Host: host, PathPrefix: prefix, Classes: d.Classes, Tenants: d.Tenants})
			for i, word := range matching {
				set[i] |= word
			}
		}
	}
	s.requestsPerDomain[d] = set
	return set
}

// delegated reports whether the requests of a route are within what namespace "from" delegated to namespace "to",
// directly or through others.
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

// ownedRoute is a route with the file that it is defined in.
type ownedRoute struct {
	file  *File
	route *Route
}

func (r ownedRoute) source() Source { return r.file.source(r.route.id()) }

// compareByTable returns 1 if a table of both routes gives the first one for a request, -1 if the second one, and 0 if
// the table does not compile because the routes have equal precedence.
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

// searchRoutes finds contradictions and unreachable routes. A route is unreachable if blocks and routes of higher
// precedence match all its requests.
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
		reachable := s.requests(&a.route.Match)
		for _, m := range blocks {
			reachable = reachable.minus(s.requests(m))
		}
		for j, b := range routes {
			if i == j {
				continue
			}
			request := s.requests(&a.route.Match).common(s.requests(&b.route.Match))
			if request == nil {
				continue
			}
			order := compareByTable(a.route, b.route, request)
			if order < 0 {
				reachable = reachable.minus(s.requests(&b.route.Match))
			}
			if j < i && a.file != b.file && s.contradict(a, b, order) {
				s.add(Contradiction, a.source(), b.source())
			}
		}
		if reachable.empty() {
			s.add(UnreachableRule, a.source())
		}
	}
}

// contradict reports whether two routes that match a common request contradict each other: they have equal precedence,
// or they have different targets and the requests of the one with precedence were not delegated by the namespace
// of the other. Order is the result of compareByTable for a and b.
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

// searchServices finds routes to services that are undefined or removed.
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

// searchOverrides finds overrides of two files that contradict each other.
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

// overridesContradict reports whether two overrides set one server to different states in some hour.
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

// searchMinimums adds a conflict if the minimums of the quota sum to more than its limit.
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

// searchOverlaps finds the pairs of namespaces whose domains overlap without a delegation between them.
func (s *exhaustiveSearch) searchOverlaps() {
	namespaces := s.declaration.Namespaces
	for i := range namespaces {
		for j := range i {
			if !s.overlap(namespaces[i].Name, namespaces[j].Name) {
				continue
			}
			s.add(DomainOverlap,
				Source{Namespace: namespaces[i].Name, Rule: declarationRule},
				Source{Namespace: namespaces[j].Name, Rule: declarationRule})
		}
	}
}

// overlap reports whether the domains of two namespaces have parts that intersect, and neither part was delegated by
// the other namespace, directly or through others.
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

// parts returns the ways in which a namespace has a part of a domain, each with the namespaces that delegated the part,
// up to the namespace whose own domain it is in. If part is nil, it returns them for all parts of the
// namespace. Delegators lists the namespaces whose delegations were already followed.
func (s *exhaustiveSearch) parts(name string, part *Domain, delegators []string) []domainPart {
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
			all = append(all, domainPart{partOr(&n.Domain), slices.Clone(delegators)})
		}
	}
	for i := range s.declaration.Delegations {
		d := &s.declaration.Delegations[i]
		if d.To == name && contains(&d.Domain) {
			withDelegator := append(slices.Clone(delegators), d.From)
			all = append(all, s.parts(d.From, partOr(&d.Domain), withDelegator)...)
		}
	}
	return all
}

// exhaustiveKey returns the kind and the rules of a conflict as a text, as the exhaustive search finds them: without
// the rules that make a route unreachable, and without those that removed a service.
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

// compareWithExhaustive compares found conflicts with those of the exhaustive search. It returns a text for each
// conflict that is found but does not exist, that is not found, or whose example request does not match its rules.
func compareWithExhaustive(d *Declaration, files []*File, found []Conflict) []string {
	var differences []string
	want := searchExhaustively(d, files)
	got := map[string]bool{}
	for _, c := range found {
		if c.Kind == InconsistentDefinition {
			continue // Check finds it by the texts of rules, which this search does not compare; see TestWithheldFiles
		}
		got[c.exhaustiveKey()] = true
		if !want[c.exhaustiveKey()] {
			differences = append(differences, "found a conflict that the exhaustive search does not find: "+c.String())
		}
		differences = append(differences, requestErrors(c, files)...)
	}
	for key := range want {
		if !got[key] {
			differences = append(differences, "did not find a conflict that the exhaustive search finds: "+key)
		}
	}
	return differences
}

// requestErrors returns a text for each rule of a conflict that does not match the conflict's example request. It does
// not check an unreachable route whose requests go to several other rules, because each of them matches only a part.
func requestErrors(c Conflict, files []*File) []string {
	if (c.Kind == Contradiction || c.Kind == UnreachableRule) && c.Request == nil {
		return []string{"found a conflict without an example request: " + c.String()}
	}
	var mismatches []string
	for i, s := range c.Rules {
		m := findMatch(files, s)
		if m == nil || c.Kind == UnreachableRule && (i > 1 || len(c.Rules) > 2) {
			continue
		}
		if _, verdict := singleRuleTable(m).Lookup(c.Request); verdict != route.Found {
			mismatches = append(mismatches,
				"found a conflict whose example request does not match rule "+s.String()+": "+c.String())
		}
	}
	return mismatches
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

// Check finds the same conflicts in random sets of files as the exhaustive search. Conflicts of different kinds have
// different advice.
func TestConflictsMatchExhaustiveSearch(t *testing.T) {
	const maxDifferences = 10
	counts := map[ConflictKind]int{}
	adviceByKind := map[ConflictKind]string{}
	differences := 0
	for i := range randomSetCount {
		d, files := randomSet(i)
		found := Check(d, nil, files)
		for _, c := range found {
			counts[c.Kind]++
			adviceByKind[c.Kind] = operatorerror.AdviceOf(c.Err())
		}
		for _, difference := range compareWithExhaustive(d, files, found) {
			t.Errorf("random set %d: Check %s", i, difference)
			if differences++; differences > maxDifferences {
				t.FailNow()
			}
		}
	}
	t.Logf("conflicts in %d random sets, by kind: %v", randomSetCount, counts)
	for _, kind := range exhaustiveKinds {
		if counts[kind] < 20 {
			t.Errorf("Check of the random sets finds %d conflicts of kind %s, want at least 20", counts[kind], kind)
		}
		for other, advice := range adviceByKind {
			if advice == "" || other != kind && advice == adviceByKind[kind] {
				t.Errorf("advice for conflicts of kind %s = %q, want advice that is not empty and "+
					"differs from that of kind %s",
					other, advice, kind)
			}
		}
	}
}

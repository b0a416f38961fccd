package namespace

import (
	"fmt"
	"slices"
	"strings"

	"lapisspread/internal/route"
)

// A route is unreachable if blocks or routes of higher precedence match all its requests. The search for such routes is
// exact, for the following reason. The values of requests are unlimited, so there are always a host label, a path
// segment, a method, a class and a tenant that no rule names. A route's requests are split by its combinations of a
// listed method, class and tenant. Each combination has a request with unnamed values wherever the route allows any,
// and only a rule that contains all requests of the combination can match it. So only such rules are searched: blocks,
// and routes of higher precedence. A route of higher precedence contains all requests of a combination only if it has
// the same host and the prefix "/", while the other route has no path pattern.

// sourcedMatch is the match of a rule, with the source of the rule.
type sourcedMatch struct {
	source Source
	match  *Match
}

// unreachableSearch finds rules that no request can reach.
type unreachableSearch struct {
	blocks     []sourcedMatch
	blockIndex routeIndex                // index of the blocks, identified by their positions in blocks
	rootRoutes map[string][]sourcedMatch // routes for the prefix "/", by host
	routes     map[string]bool           // the set of all routes, each as namespace/name
	unnamed    unnamedLabel              // used in example requests where a route allows any value
}

// unreachableRules finds routes whose requests are all matched by other rules first, and staleness bounds of routes
// that do not exist.
func unreachableRules(set []*File) []Conflict {
	s := newUnreachableSearch(set)
	var conflicts []Conflict
	for _, f := range set {
		for i := range f.StalenessBounds {
			if b := &f.StalenessBounds[i]; !s.routes[b.Route] {
				conflicts = append(conflicts, Conflict{
					Kind:  UnreachableRule,
					Rules: []Source{f.source(b.id())},
					Text:  "there is no route " + b.Route,
				})
			}
		}
		for i := range f.Routes {
			if conflict, ok := s.unreachable(f, &f.Routes[i]); ok {
				conflicts = append(conflicts, conflict)
			}
		}
	}
	return conflicts
}

// newUnreachableSearch returns a search over the blocks and routes of a set of files.
func newUnreachableSearch(set []*File) *unreachableSearch {
	s := &unreachableSearch{
		blockIndex: routeIndex{},
		rootRoutes: map[string][]sourcedMatch{},
		routes:     map[string]bool{},
		unnamed:    newUnnamedLabel(set),
	}
	for _, f := range set {
		for i := range f.Blocks {
			b := &f.Blocks[i]
			s.blockIndex.add(&b.Match, len(s.blocks))
			s.blocks = append(s.blocks, sourcedMatch{f.source(b.id()), &b.Match})
		}
		for i := range f.Routes {
			r := &f.Routes[i]
			s.routes[f.Name+"/"+r.Name] = true
			if r.PathPrefix == "/" {
				s.rootRoutes[r.Host] = append(s.rootRoutes[r.Host], sourcedMatch{f.source(r.id()), &r.Match})
			}
		}
	}
	return s
}

// unreachable returns a conflict if, for each combination of a listed method, class and tenant, a block or a route of
// higher precedence matches all requests of the combination.
func (s *unreachableSearch) unreachable(f *File, r *Route) (Conflict, bool) {
	candidates := s.candidates(r)
	if len(candidates) == 0 {
		return Conflict{}, false
	}
	slices.SortFunc(candidates, func(a, b sourcedMatch) int { return compareSources(a.source, b.source) })
	var matchedBy []Source
	var example *route.Request
	for combination := range r.eachCombination {
		i := slices.IndexFunc(candidates, func(c sourcedMatch) bool { return c.match.contains(&combination) })
		if i < 0 {
			return Conflict{}, false
		}
		matchedBy = append(matchedBy, candidates[i].source)
		if example == nil {
			request := s.unnamed.exampleRequest(&combination)
			example = &request
		}
	}
	return Conflict{
		Kind:    UnreachableRule,
		Rules:   append([]Source{f.source(r.id())}, sources(matchedBy...)...),
		Request: example,
		// The text means: the first rule in Rules gets no requests, because the other rules match all of them first.
		Text: "nothing comes to the first: the rest take it all",
	}, true
}

// candidates returns the rules that may match, before a route, all its requests with one combination of a listed
// method, class and tenant.
func (s *unreachableSearch) candidates(r *Route) []sourcedMatch {
	var candidates []sourcedMatch
	if r.Path == "" && r.PathPrefix == "" {
		candidates = append(candidates, s.rootRoutes[r.Host]...)
	}
	if len(s.blocks) == 0 {
		return candidates
	}
	lists := r.precedence()[2]
	eachOuterHost(r.Host, func(host string) {
		tree := s.blockIndex[host]
		if tree == nil {
			return
		}
		tree.eachContaining(&r.Match, func(id int) bool {
			// A block that lists methods, classes or tenants where the route allows any contains no whole combination.
			if s.blocks[id].match.precedence()[2]&^lists == 0 {
				candidates = append(candidates, s.blocks[id])
			}
			return true
		})
	})
	return candidates
}

// eachCombination yields, for each combination of a listed method, class and tenant, the match with only these values.
func (m *Match) eachCombination(yield func(Match) bool) {
	for _, methods := range singletons(m.Methods) {
		for _, classes := range singletons(m.Classes) {
			for _, tenants := range singletons(m.Tenants) {
				if !yield(Match{m.Host, m.Path, m.PathPrefix, methods, classes, tenants}) {
					return
				}
			}
		}
	}
}

// singletons returns, for each value of a list, a list with only that value. For an empty list, which allows any value,
// it returns an empty list as the only element.
func singletons(list []string) [][]string {
	if len(list) == 0 {
		return [][]string{nil}
	}
	var single [][]string
	for i := range list {
		single = append(single, list[i:i+1])
	}
	return single
}

// unnamedLabel is a word that no rule names. Example requests use it as a value, a host label or a path segment.
type unnamedLabel string

// newUnnamedLabel returns a word that no rule of a set of files names.
func newUnnamedLabel(set []*File) unnamedLabel {
	named := map[string]bool{}
	for _, f := range set {
		for i := range f.Routes {
			f.Routes[i].addNames(named)
		}
		for i := range f.Blocks {
			f.Blocks[i].addNames(named)
		}
	}
	label := exampleValue
	for i := 2; named[label]; i++ {
		label = fmt.Sprintf("%s-%d", exampleValue, i)
	}
	return unnamedLabel(label)
}

// addNames adds all listed values, host labels and path segments of a match to names.
func (m *Match) addNames(names map[string]bool) {
	for _, list := range m.lists() {
		for _, v := range list {
			names[v] = true
		}
	}
	separator := func(r rune) bool { return r == '.' || r == '/' }
	for _, name := range strings.FieldsFunc(m.Host+"/"+m.Path+m.PathPrefix, separator) {
		names[name] = true
	}
}

// exampleRequest returns a request of a match that has the unnamed label wherever the match allows any value.
func (l unnamedLabel) exampleRequest(m *Match) route.Request {
	first := func(list []string) string {
		if len(list) > 0 {
			return list[0]
		}
		return string(l)
	}
	path := m.pathPattern()
	if !path.exact {
		path.path = strings.TrimSuffix(path.path, "/") + "/" + string(l)
	}
	return route.Request{
		Host:   exampleHost(m.Host, string(l)),
		Path:   path.path,
		Method: first(m.Methods),
		Class:  first(m.Classes),
		Tenant: first(m.Tenants),
	}
}

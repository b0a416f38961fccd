package namespace

import (
	"fmt"
	"slices"
	"strings"

	"lapisspread/internal/route"
)

// The search for unreachable routes is exact because requests are open: there are always a host, a path, a method, a
// class and a tenant that no rule names. Of a route's requests with one listed method, class and tenant (a cell), the
// one that is unnamed in all else can only be taken by a rule that contains the whole cell. So only such rules are
// searched: blocks, and routes of higher precedence. A route of higher precedence that contains a whole cell has the
// same host, and is one for the prefix "/" beside one for any path.

// sourcedMatch is the match of a rule with its source.
type sourcedMatch struct {
	source Source
	match  *Match
}

// unreachableSearch finds rules that no request can come to.
type unreachableSearch struct {
	blocks     []sourcedMatch
	blockIndex routeIndex
	rootRoutes map[string][]sourcedMatch // routes for the prefix "/", by host
	routes     map[string]bool           // by namespace/name
	unnamed    unnamedLabel
}

// unreachableRules finds routes of which other rules take every request, and staleness bounds of routes that are not
// there.
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

// unreachable returns a conflict if other rules take every cell of a route.
func (s *unreachableSearch) unreachable(f *File, r *Route) (Conflict, bool) {
	candidates := s.candidates(r)
	if len(candidates) == 0 {
		return Conflict{}, false
	}
	slices.SortFunc(candidates, func(a, b sourcedMatch) int { return compareSources(a.source, b.source) })
	var takenBy []Source
	var example *route.Request
	for combination := range r.eachCombination {
		i := slices.IndexFunc(candidates, func(c sourcedMatch) bool { return c.match.contains(&combination) })
		if i < 0 {
			return Conflict{}, false
		}
		takenBy = append(takenBy, candidates[i].source)
		if example == nil {
			request := s.unnamed.exampleRequest(&combination)
			example = &request
		}
	}
	return Conflict{
		Kind:    UnreachableRule,
		Rules:   append([]Source{f.source(r.id())}, sources(takenBy...)...),
		Request: example,
		Text:    "nothing comes to the first: the rest take it all",
	}, true
}

// candidates returns the rules that may contain a whole cell of a route.
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
			// A block that lists what the route leaves open contains no whole cell.
			if s.blocks[id].match.precedence()[2]&^lists == 0 {
				candidates = append(candidates, s.blocks[id])
			}
			return true
		})
	})
	return candidates
}

// cells yields the match once for each combination of a listed method, class and tenant.
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

// singletons returns a list of each value of a list; an empty list, which is any value, stands for itself.
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

// unnamedLabel is a word that no rule names.
type unnamedLabel string

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

// addNames adds all values, host labels and path segments of a match.
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

// exampleRequest is a request of a match that no rule names wherever the match leaves it open.
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

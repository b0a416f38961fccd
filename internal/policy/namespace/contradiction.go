package namespace

import (
	"cmp"
	"slices"
)

// maxConflictsPerRoute is how many conflicts of a route with the routes of one namespace are listed: two teams that
// write thousands of routes across each other's would fill the memory.
const maxConflictsPerRoute = 8

// contradictionsBetween returns the routes of two files that meet, lead elsewhere, and have no order by a delegation.
func (f *finder) contradictionsBetween(a, b *File) []Conflict {
	names := [2]string{a.Name, b.Name}
	mayIntersect, known := f.mayIntersect[names]
	if !known {
		mayIntersect = f.declaration.routesMayIntersect(a.Name, b.Name)
		f.mayIntersect[names] = mayIntersect
	}
	if !mayIntersect {
		return nil
	}
	key := [2]*File{a, b}
	if conflicts, ok := f.contradictions[key]; ok {
		return conflicts
	}
	// Each pair of routes is compared once, at the host of the inner one; equal hosts count for the first search.
	first := contradictionSearch{finder: f, inner: b, outer: a, equalHosts: true}
	second := contradictionSearch{finder: f, inner: a, outer: b}
	conflicts := append(first.run(), second.run()...)
	f.contradictions[key] = conflicts
	return conflicts
}

// contradictionSearch compares the routes of one file with those of another whose hosts contain theirs.
type contradictionSearch struct {
	finder     *finder
	inner      *File
	outer      *File
	equalHosts bool // hosts that are equal are compared, too
	conflicts  []Conflict
}

func (s *contradictionSearch) run() []Conflict {
	index := s.finder.routeIndexFor(s.outer)
	for i := range s.inner.Routes {
		s.compareRoute(&s.inner.Routes[i], index)
	}
	return s.conflicts
}

// compareRoute compares a route with those of the outer file. Where the hosts differ, the route has precedence, so a
// delegation to its namespace settles all pairs at once: a rule for everything is not compared with each below it.
func (s *contradictionSearch) compareRoute(r *Route, index routeIndex) {
	delegated := s.finder.declaration.delegated(s.inner.Name, s.outer.Name, SettingRoute, &r.Match)
	var conflicting []int
	eachOuterHost(r.Host, func(host string) {
		equal := host == r.Host
		if equal && !s.equalHosts || !equal && delegated || len(conflicting) == maxConflictsPerRoute {
			return
		}
		tree := index[host]
		if tree == nil {
			return
		}
		tree.eachIntersecting(&r.Match, func(id int) bool {
			conflict, ok := s.compare(r, &s.outer.Routes[id], delegated)
			if !ok || slices.Contains(conflicting, id) {
				return true
			}
			conflicting = append(conflicting, id)
			conflict.More = len(conflicting) == maxConflictsPerRoute
			s.conflicts = append(s.conflicts, conflict)
			return !conflict.More
		})
	})
}

// compare compares two routes. Delegated tells whether the inner one is within what the outer namespace delegated.
// Routes go together if they lead alike, or if the delegate's has precedence; of equal precedence they never do.
func (s *contradictionSearch) compare(inner, outer *Route, delegated bool) (Conflict, bool) {
	request, ok := inner.intersect(&outer.Match)
	if !ok {
		return Conflict{}, false
	}
	innerPrecedence := inner.precedence()
	outerPrecedence := outer.precedence()
	order := slices.Compare(innerPrecedence[:], outerPrecedence[:])
	text := "neither goes before the other"
	if order != 0 {
		if inner.hasSameDestination(outer) || order > 0 && delegated {
			return Conflict{}, false
		}
		outerDelegated := s.finder.declaration.delegated(s.outer.Name, s.inner.Name, SettingRoute, &outer.Match)
		switch {
		case order < 0 && outerDelegated:
			return Conflict{}, false
		case order < 0 && delegated || order > 0 && outerDelegated:
			text = "they lead apart, and the giver's goes before that of the namespace it delegated to"
		default:
			text = "they lead apart, and no delegation puts one first"
		}
	}
	return Conflict{
		Kind:    Contradiction,
		Rules:   sources(s.inner.source(inner.id()), s.outer.source(outer.id())),
		Request: &request,
		Text:    text,
	}, true
}

// defaultSticky is what an empty Route.Sticky means.
const defaultSticky = "key"

// hasSameDestination reports whether two routes lead to the same services in the same way.
func (r *Route) hasSameDestination(other *Route) bool {
	equal := func(a, b Target) bool { return a.Service == b.Service && *a.Weight == *b.Weight }
	return cmp.Or(r.Sticky, defaultSticky) == cmp.Or(other.Sticky, defaultSticky) &&
		slices.EqualFunc(r.To, other.To, equal)
}

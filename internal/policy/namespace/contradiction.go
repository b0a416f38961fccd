package namespace

import (
	"cmp"
	"slices"
)

// maxConflictsPerRoute limits the listed conflicts of one route with the routes of one namespace. Without a limit, two
// teams with thousands of routes that contradict each other would exhaust the memory.
const maxConflictsPerRoute = 8

// contradictionsBetween returns the contradictions between the routes of two files: pairs that match a common request
// and either have equal precedence, or have different destinations and the requests of the one with precedence were not
// delegated by the namespace of the other.
func (f *finder) contradictionsBetween(a, b *File) []Conflict {
	names := [2]string{a.Name, b.Name}
	mayIntersect, cached := f.mayIntersect[names]
	if !cached {
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
	// Each pair of routes is compared once: in the search in which the host of the inner route is within that of the
	// outer one. Pairs with equal hosts are compared in the first search only.
	first := contradictionSearch{finder: f, inner: b, outer: a, equalHosts: true}
	second := contradictionSearch{finder: f, inner: a, outer: b}
	conflicts := append(first.run(), second.run()...)
	f.contradictions[key] = conflicts
	return conflicts
}

// contradictionSearch compares each route of the inner file with the routes of the outer file whose host patterns
// contain that of the inner route.
type contradictionSearch struct {
	finder     *finder
	inner      *File
	outer      *File
	equalHosts bool // whether to compare routes with equal host patterns, too
	conflicts  []Conflict
}

// run returns the contradictions of all routes of the inner file.
func (s *contradictionSearch) run() []Conflict {
	index := s.finder.routeIndexFor(s.outer)
	for i := range s.inner.Routes {
		s.compareRoute(&s.inner.Routes[i], index)
	}
	return s.conflicts
}

// compareRoute compares a route of the inner file with those of the outer file. If the hosts differ, the inner route
// has precedence; if it is also within what the outer namespace delegated to the inner one, no pair with a different
// host can contradict, and these pairs are skipped. So a delegator's route for all hosts is not compared with each
// route of its delegates.
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

// compare returns the contradiction between two routes, if there is one. Delegated says whether the inner route is
// within what the outer namespace delegated to the inner one. Routes that match a common request do not contradict each
// other if the one with precedence is a delegate's, or if they have the same destination. Routes of equal precedence
// always contradict each other.
func (s *contradictionSearch) compare(inner, outer *Route, delegated bool) (Conflict, bool) {
	request, ok := inner.intersect(&outer.Match)
	if !ok {
		return Conflict{}, false
	}
	innerPrecedence := inner.precedence()
	outerPrecedence := outer.precedence()
	order := slices.Compare(innerPrecedence[:], outerPrecedence[:])
	// "Goes before" in the texts means "has precedence over", "they lead apart" that the routes have different
	// destinations, and "the giver" the delegator.
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

// defaultSticky is the value that an empty Route.Sticky stands for.
const defaultSticky = "key"

// hasSameDestination reports whether two routes lead to the same services, with the same weights and stickiness.
func (r *Route) hasSameDestination(other *Route) bool {
	equal := func(a, b Target) bool { return a.Service == b.Service && *a.Weight == *b.Weight }
	return cmp.Or(r.Sticky, defaultSticky) == cmp.Or(other.Sticky, defaultSticky) &&
		slices.EqualFunc(r.To, other.To, equal)
}

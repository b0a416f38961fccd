package staleness

import (
	"slices"
	"strings"
	"time"
)

// routeState is a route with its entries and its level.
type routeState struct {
	name           string
	index          int // in View.routeByIndex and in each Snapshot
	entries        []*trackedEntry
	level          Level
	confidence     float64       // at the last evaluation
	betterSince    time.Duration // since when the confidence is sufficient for a better level; never if it is not
	doubtfulSince  time.Duration // when the level became Doubtful or worse; never if it is better
	priorityWeight float64       // see View.SetPriorityWeight
}

// route returns a route, and creates it if it does not exist.
func (v *View) route(name string) *routeState {
	if r := v.routeByName[name]; r != nil {
		return r
	}
	r := &routeState{name: name, index: len(v.routeByIndex), betterSince: never, priorityWeight: 1}
	v.routeByIndex = append(v.routeByIndex, r)
	v.routeByName[name] = r
	i, _ := slices.BinarySearchFunc(v.routes, name, func(r *routeState, name string) int {
		return strings.Compare(r.name, name)
	})
	v.routes = slices.Insert(v.routes, i, r)
	return r
}

// evaluateRoute updates a route's confidence and level. The confidence is the mean over its entries, multiplied by that
// of each source on which every route depends.
func (v *View) evaluateRoute(r *routeState, now time.Duration) {
	confirmed := 0
	ageKnown := true
	r.confidence = 0
	for _, e := range r.entries {
		v.advance(e.source, now)
		ageKnown = ageKnown && e.source.ageKnown
		e.confidence = v.confidence(e, now)
		r.confidence += e.confidence
		if e.confirmedAt >= now-v.settings.Levels.ConfirmedWithin {
			confirmed++
		}
	}
	if n := len(r.entries); n > 0 {
		r.confidence /= float64(n)
	}
	for _, s := range v.sources {
		if s.settings.AffectsAllRoutes {
			r.confidence *= v.Confidence(now, s.settings.Name)
			ageKnown = ageKnown && s.ageKnown
		}
	}
	r.updateLevel(&v.settings.Levels, now, 2*confirmed >= len(r.entries), ageKnown)
}

// updateLevel lowers the level at once, and raises it after the confidence was sufficient for Thresholds.RiseDelay.
func (r *routeState) updateLevel(t *Thresholds, now time.Duration, confirmed, ageKnown bool) {
	fallTo := t.levelFor(r.confidence, 0, confirmed)
	riseTo := t.levelFor(r.confidence, t.Margin, confirmed)
	if !ageKnown { // content of unknown age is not fresh, even if all servers answered
		fallTo = min(fallTo, Doubtful)
		riseTo = min(riseTo, Doubtful)
	}
	switch {
	case fallTo < r.level:
		r.setLevel(fallTo)
	case riseTo > r.level:
		if r.betterSince == never {
			r.betterSince = now
		}
		if now-r.betterSince >= t.RiseDelay {
			r.setLevel(riseTo)
		}
	default:
		r.betterSince = never
	}
	if r.level > Doubtful {
		r.doubtfulSince = never
	} else if r.doubtfulSince == never {
		r.doubtfulSince = now
	}
}

func (r *routeState) setLevel(level Level) {
	r.level = level
	r.betterSince = never
}

// Route evaluates a route, and returns its level and the probability that acting on its list is right. A route that no
// source has listed is Blind.
func (v *View) Route(now time.Duration, name string) (Level, float64) {
	r := v.routeByName[name]
	if r == nil {
		return Blind, 0
	}
	v.evaluateRoute(r, now)
	return r.level, r.confidence
}

// Fault returns a RouteBlindError or RouteDoubtfulError for operators if the route is at one of these levels, and nil
// otherwise. It uses the level of the last evaluation.
func (v *View) Fault(now time.Duration, name string) error {
	r := v.routeByName[name]
	if r == nil {
		return RouteBlindError{Route: name}
	}
	switch r.level {
	case Blind:
		blind := RouteBlindError{Route: name}
		if len(r.entries) > 0 {
			blind.Age, blind.Known = v.Age(now, r.entries[0].source.settings.Name)
		}
		return blind
	case Doubtful:
		return RouteDoubtfulError{Route: name, Confidence: r.confidence}
	}
	return nil
}

// Permits reports whether a request may go to an entry of a route, by the level of the last evaluation.
func (v *View) Permits(route, entry string, idempotency Idempotency) bool {
	r := v.routeByName[route]
	e := v.entries[entry]
	if r == nil || e == nil || e.Route != route {
		return false
	}
	return r.permits(e, idempotency)
}

// permits reports whether a request may go to an entry at the route's current level.
func (r *routeState) permits(e *trackedEntry, idempotency Idempotency) bool {
	switch PermissionFor(r.level, idempotency) {
	case AnyEndpoint:
		return true
	case ConfirmedOnly:
		return e.odds == 1 && e.confirmedAt >= r.doubtfulSince
	}
	return false
}

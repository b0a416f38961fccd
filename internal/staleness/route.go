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
	betterSince    time.Duration // when the confidence began to suffice for a better level; never if it does not
	doubtfulSince  time.Duration // when the level became Doubtful or worse; never if it is better
	priorityWeight float64       // of right decisions on the route
}

// route returns a route, and makes it if it is new.
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

// evaluateRoute brings a route's confidence and level up to now. The confidence is the mean of its entries, times that
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

// updateLevel lowers the level at once and raises it once the confidence has sufficed for Thresholds.RiseDelay.
func (r *routeState) updateLevel(t *Thresholds, now time.Duration, confirmed, ageKnown bool) {
	fallTo := t.levelOf(r.confidence, 0, confirmed)
	riseTo := t.levelOf(r.confidence, t.Margin, confirmed)
	if !ageKnown { // content of unknown age is not fresh, however many servers answered
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

// Route is the level of a route now, and the probability that acting on its list is right. A route that no source has
// named is Blind.
func (v *View) Route(now time.Duration, name string) (Level, float64) {
	r := v.routeByName[name]
	if r == nil {
		return Blind, 0
	}
	v.evaluateRoute(r, now)
	return r.level, r.confidence
}

// Fault is what an operator must know of a route: RouteBlindError, RouteDoubtfulError, or nil. It uses the level of the
// last evaluation.
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

// Permits tells whether a request may go to an entry of a route, by the level of the last evaluation.
func (v *View) Permits(route, entry string, idempotency Idempotency) bool {
	r := v.routeByName[route]
	e := v.entries[entry]
	if r == nil || e == nil || e.Route != route {
		return false
	}
	return r.permits(e, idempotency)
}

func (r *routeState) permits(e *trackedEntry, idempotency Idempotency) bool {
	switch PermissionFor(r.level, idempotency) {
	case AnyEndpoint:
		return true
	case ConfirmedOnly:
		return e.odds == 1 && e.confirmedAt >= r.doubtfulSince
	}
	return false
}

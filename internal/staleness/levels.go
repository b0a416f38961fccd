package staleness

import (
	"errors"
	"slices"
	"time"
)

// Level is how far a route of this edge may be trusted. The zero value is Blind: unknown is not fresh.
type Level uint8

// The levels, from the worst to the best.
const (
	Blind Level = iota
	Doubtful
	Ageing
	Fresh
	Confirmed
)

var levelNames = [...]string{"blind", "doubtful", "ageing", "fresh", "confirmed"}

func (l Level) String() string { return levelNames[min(int(l), len(levelNames)-1)] }

// Thresholds between levels. The zero value of a field stands for the default.
type Thresholds struct {
	// Confirmed, Fresh, Ageing, Doubtful are the least chances of these levels; .98, .95, .8, .4.
	Confirmed, Fresh, Ageing, Doubtful float64
	// Margin above a level's chance is needed to come back to it, for Rest: levels fall at once and rise slowly; .01, 2 s.
	Margin    float64
	RiseDelay time.Duration
	// Within is how long ago an entry may have answered to count as confirmed, of at least half of a route's entries; 10 s.
	ConfirmedWithin time.Duration
}

func (t *Thresholds) fill() error {
	for _, f := range []struct {
		v *float64
		d float64
	}{{&t.Confirmed, .98}, {&t.Fresh, .95}, {&t.Ageing, .8}, {&t.Doubtful, .4}, {&t.Margin, .01}} {
		if *f.v == 0 {
			*f.v = f.d
		}
	}
	if t.RiseDelay == 0 {
		t.RiseDelay = 2 * time.Second
	}
	if t.ConfirmedWithin == 0 {
		t.ConfirmedWithin = 10 * time.Second
	}
	var errs []error
	if !(0 < t.Doubtful && t.Doubtful < t.Ageing && t.Ageing < t.Fresh && t.Fresh <= t.Confirmed && t.Confirmed < 1) {
		errs = append(errs, InvalidSettingsError{"levels", "must be 0 < doubtful < ageing < fresh <= confirmed < 1"})
	}
	if !(t.Margin > 0 && t.Confirmed+t.Margin < 1) {
		errs = append(errs, InvalidSettingsError{"levels.margin", "must be above 0, and below 1 with the highest level"})
	}
	if t.RiseDelay < 0 || t.ConfirmedWithin < 0 {
		errs = append(errs, InvalidSettingsError{"levels.rest", "rest and within must not be negative"})
	}
	return errors.Join(errs...)
}

// levelOf is the level of a chance, raised by a margin that the chance must exceed.
func (t *Thresholds) levelOf(p, margin float64, confirmed bool) Level {
	switch {
	case p >= t.Confirmed+margin && confirmed:
		return Confirmed
	case p >= t.Fresh+margin:
		return Fresh
	case p >= t.Ageing+margin:
		return Ageing
	case p >= t.Doubtful+margin:
		return Doubtful
	}
	return Blind
}

type routeState struct {
	name           string
	entries        []*trackedEntry
	level          Level
	confidence     float64
	betterSince    time.Duration // since when the chance is good enough for a better level; never if it is not
	priorityWeight float64       // of a request, times requests a second
	index          int
	doubtfulSince  time.Duration // when the level became Doubtful or worse; never if it is not
}

func (v *View) route(name string) *routeState {
	r := v.routeByName[name]
	if r == nil {
		r = &routeState{name: name, betterSince: never, doubtfulSince: 0, priorityWeight: 1, index: len(v.routeByIndex)}
		v.routeByIndex = append(v.routeByIndex, r)
		v.routeByName[name] = r
		i, _ := slices.BinarySearchFunc(v.routes, name, func(a *routeState, n string) int { return cmpString(a.name, n) })
		v.routes = slices.Insert(v.routes, i, r)
	}
	return r
}

// evaluateRoute brings a route's chance and level up to now. The chance is that of an entry drawn from the route, times that of each
// source that bears on all routes.
func (v *View) evaluateRoute(r *routeState, now time.Duration) {
	p, confirmed, unknown := 0.0, 0, false
	for _, e := range r.entries {
		v.advance(e.source, now)
		unknown = unknown || !e.source.known
		e.confidence = v.confidence(e, now)
		p += e.confidence
		if e.confirmedAt >= now-v.settings.Levels.ConfirmedWithin {
			confirmed++
		}
	}
	if n := len(r.entries); n > 0 {
		p /= float64(n)
	}
	for _, s := range v.sources {
		if s.settings.AffectsAllRoutes {
			p *= v.Confidence(now, s.settings.Name)
			unknown = unknown || !s.known
		}
	}
	r.confidence = p
	t := &v.settings.Levels
	sure := 2*confirmed >= len(r.entries)
	down, up := t.levelOf(p, 0, sure), t.levelOf(p, t.Margin, sure)
	if unknown { // is not fresh, however many answered
		down, up = min(down, Doubtful), min(up, Doubtful)
	}
	switch {
	case down < r.level:
		r.level, r.betterSince = down, never
	case up > r.level:
		if r.betterSince == never {
			r.betterSince = now
		}
		if now-r.betterSince >= t.RiseDelay {
			r.level, r.betterSince = up, never
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

// Route is the level of a route now, and the chance that acting on it is right. A route that nobody told of is blind.
func (v *View) Route(now time.Duration, name string) (Level, float64) {
	r := v.routeByName[name]
	if r == nil {
		return Blind, 0
	}
	v.evaluateRoute(r, now)
	return r.level, r.confidence
}

// Fault is what an operator is told of a route: EdgeBlind, ViewDoubtful, or nil. It uses the level that was weighed last.
func (v *View) Fault(now time.Duration, name string) error {
	r := v.routeByName[name]
	if r == nil {
		return RouteBlindError{Route: name}
	}
	switch r.level {
	case Blind:
		b := RouteBlindError{Route: name}
		if len(r.entries) > 0 {
			b.Age, b.Known = v.Age(now, r.entries[0].source.settings.Name)
		}
		return b
	case Doubtful:
		return RouteDoubtfulError{Route: name, Confidence: r.confidence}
	}
	return nil
}

// Permits tells whether a request of an effect class may go to an entry of a route now, by the level weighed last.
func (v *View) Permits(route, name string, effect Idempotency) bool {
	r, e := v.routeByName[route], v.entries[name]
	if r == nil || e == nil || e.Route != route {
		return false
	}
	return v.permits(r, e, effect)
}

func (v *View) permits(r *routeState, e *trackedEntry, effect Idempotency) bool {
	switch PermissionFor(r.level, effect) {
	case AnyEndpoint:
		return true
	case ConfirmedOnly:
		return e.odds == 1 && e.confirmedAt >= r.doubtfulSince
	}
	return false
}

package listguard

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"lapisspread/decision"
	"lapisspread/internal/engine"
)

// GuardSettings say when a full list is suspect: if it newly lacks more than MaxMissingRatio of the ready endpoints, and
// at least MinMissing of them.
type GuardSettings struct {
	MaxMissingRatio float64       // 0 or more, below 1
	MinMissing      int           // 1 or more
	RetainFor       time.Duration // 1s to 1h; how long an endpoint stays from the first list on that lacks it
}

// Validate returns an error that names the settings that make no sense by their keys in the settings file.
func (s *GuardSettings) Validate() error {
	var errs []error
	reject := func(wrong bool, format string, args ...any) {
		if wrong {
			errs = append(errs, fmt.Errorf(format, args...))
		}
	}
	ratioValid := s.MaxMissingRatio >= 0 && s.MaxMissingRatio < 1 // false for NaN
	reject(!ratioValid, "shrink: %v is not within 0 and 1", s.MaxMissingRatio)
	reject(s.MinMissing < 1, "least: %d must be above 0", s.MinMissing)
	reject(s.RetainFor < time.Second || s.RetainFor > time.Hour, "hold: %v is not within 1s and 1h", s.RetainFor)
	return errors.Join(errs...)
}

// guardedEndpoint is an endpoint as the guard knows it.
type guardedEndpoint struct {
	engine.Endpoint
	missing bool          // the last full list lacks it
	since   time.Duration // when it was first missing
}

// Guard retains endpoints that discovery has lost. A discovery service that restarts with an empty store delivers a
// list that is full and wrong; a proxy that believed it would reject all requests while all backends are healthy. What
// the list says of an endpoint, that it drains or is removed, is believed at once: only silence about many at a time is
// suspect.
//
// A backend that is really gone stays in the list for RetainFor; health checks find it out. Where nothing checks health
// there must be no guard.
type Guard struct {
	settings GuardSettings
	known    map[string]*guardedEndpoint
	order    []string // the IDs of known, as they came
	version  uint32
	stats    GuardStats
}

// GuardStats count what a guard has done.
type GuardStats struct {
	SuspectLists int64
	Retained     int64 // endpoints that such a list lacked
	Returned     int64 // of these, the ones that were listed again
	Dropped      int64 // of these, the ones that were not within RetainFor
}

// NewGuard makes a guard of a process that knows a list already; one that is not Full is ignored.
func NewGuard(settings GuardSettings, known engine.EndpointList) (*Guard, error) {
	if err := settings.Validate(); err != nil {
		return nil, fmt.Errorf("comeback: %w", err)
	}
	g := &Guard{settings: settings, known: map[string]*guardedEndpoint{}}
	if known.Full {
		for _, endpoint := range known.Endpoints {
			g.add(endpoint)
		}
	}
	return g, nil
}

// Stats returns what the guard has done since it was made.
func (g *Guard) Stats() GuardStats { return g.stats }

// Missing returns how many endpoints are retained now that no list names.
func (g *Guard) Missing() int {
	n := 0
	for _, endpoint := range g.known {
		if endpoint.missing {
			n++
		}
	}
	return n
}

// Apply takes a list in and returns the one to believe.
func (g *Guard) Apply(now time.Duration, list engine.EndpointList) engine.EndpointList {
	g.version = list.Version
	if !list.Full {
		g.update(list)
		return list
	}
	g.removeExpectedAbsences(list)
	lacking := g.findLacking(list)
	suspect := g.isSuspect(lacking)
	if suspect {
		g.stats.SuspectLists++
	}
	g.update(list)
	for _, id := range lacking.ids {
		switch endpoint := g.known[id]; {
		case endpoint.missing: // retained since an earlier list
		case suspect:
			endpoint.missing = true
			endpoint.since = now
			g.stats.Retained++
		default:
			g.remove(id)
		}
	}
	g.removeExpired(now)
	return g.snapshot()
}

// update takes in what a list says of each endpoint that it names.
func (g *Guard) update(list engine.EndpointList) {
	for _, endpoint := range list.Endpoints {
		if endpoint.State == decision.Removed {
			g.remove(endpoint.ID)
		} else {
			g.add(endpoint)
		}
	}
}

// lackingEndpoints are the ready endpoints that a full list does not name.
type lackingEndpoints struct {
	ids   []string
	fresh int // of these, how many the list before has named
	ready int // ready endpoints before the list, named or not
}

// removeExpectedAbsences removes endpoints that a full list does not name and whose absence is no surprise: those that
// were draining, and those whose address another endpoint has now, which would get their requests under a wrong name.
func (g *Guard) removeExpectedAbsences(list engine.EndpointList) {
	named := namedBy(list)
	addrs := map[string]bool{}
	for _, endpoint := range list.Endpoints {
		if endpoint.State != decision.Removed {
			addrs[endpoint.Addr] = true
		}
	}
	for _, id := range slices.Clone(g.order) {
		endpoint := g.known[id]
		if !named[id] && (addrs[endpoint.Addr] || endpoint.State != decision.Ready) {
			g.remove(id)
		}
	}
}

// findLacking returns the ready endpoints that a full list does not name.
func (g *Guard) findLacking(list engine.EndpointList) lackingEndpoints {
	named := namedBy(list)
	var lacking lackingEndpoints
	for _, id := range g.order {
		endpoint := g.known[id]
		if endpoint.State != decision.Ready {
			continue
		}
		lacking.ready++
		if named[id] {
			continue
		}
		lacking.ids = append(lacking.ids, id)
		if !endpoint.missing {
			lacking.fresh++
		}
	}
	return lacking
}

// namedBy is the set of the IDs that a list names, in whatever state.
func namedBy(list engine.EndpointList) map[string]bool {
	named := map[string]bool{}
	for _, endpoint := range list.Endpoints {
		named[endpoint.ID] = true
	}
	return named
}

// isSuspect reports whether a list newly lacks too many ready endpoints.
func (g *Guard) isSuspect(lacking lackingEndpoints) bool {
	return lacking.fresh >= g.settings.MinMissing &&
		float64(lacking.fresh) > g.settings.MaxMissingRatio*float64(lacking.ready)
}

func (g *Guard) add(endpoint engine.Endpoint) {
	known := g.known[endpoint.ID]
	if known == nil {
		known = &guardedEndpoint{}
		g.known[endpoint.ID] = known
		g.order = append(g.order, endpoint.ID)
	}
	if known.missing {
		g.stats.Returned++
	}
	*known = guardedEndpoint{Endpoint: endpoint}
}

func (g *Guard) remove(id string) {
	delete(g.known, id)
	g.order = slices.DeleteFunc(g.order, func(other string) bool { return other == id })
}

// removeExpired drops what has been missing for RetainFor and reports whether there was any.
func (g *Guard) removeExpired(now time.Duration) bool {
	var expired []string
	for _, id := range g.order {
		if endpoint := g.known[id]; endpoint.missing && now-endpoint.since >= g.settings.RetainFor {
			expired = append(expired, id)
		}
	}
	for _, id := range expired {
		g.stats.Dropped++
		g.remove(id)
	}
	return len(expired) > 0
}

// NextExpiry returns when retained endpoints are dropped next; ok is false if none is retained.
func (g *Guard) NextExpiry() (at time.Duration, ok bool) {
	for _, endpoint := range g.known {
		if !endpoint.missing {
			continue
		}
		if due := endpoint.since + g.settings.RetainFor; !ok || due < at {
			at = due
			ok = true
		}
	}
	return at, ok
}

// Expire drops what has been retained for long enough. If there was any it returns the list to believe now.
func (g *Guard) Expire(now time.Duration) (list engine.EndpointList, changed bool) {
	if !g.removeExpired(now) {
		return engine.EndpointList{}, false
	}
	return g.snapshot(), true
}

// snapshot is the full list to believe.
func (g *Guard) snapshot() engine.EndpointList {
	list := engine.EndpointList{Version: g.version, Full: true}
	for _, id := range g.order {
		list.Endpoints = append(list.Endpoints, g.known[id].Endpoint)
	}
	return list
}

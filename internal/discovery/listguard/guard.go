package listguard

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"lapisspread/decision"
	"lapisspread/internal/engine"
)

// GuardSettings configure a Guard. A full list is suspect if it newly lacks more than MaxMissingRatio of the ready
// endpoints and at least MinMissing of them.
type GuardSettings struct {
	MaxMissingRatio float64       // 0 or more, below 1
	MinMissing      int           // 1 or more
	RetainFor       time.Duration // 1s to 1h; how long an endpoint is retained after the first list that lacks it
}

// Validate returns an error that names each invalid setting by its key in the settings file.
func (s *GuardSettings) Validate() error {
	var errs []error
	rejectIf := func(invalid bool, format string, args ...any) {
		if invalid {
			errs = append(errs, fmt.Errorf(format, args...))
		}
	}
	ratioValid := s.MaxMissingRatio >= 0 && s.MaxMissingRatio < 1 // false for NaN
	rejectIf(!ratioValid, "shrink: %v is not within 0 and 1", s.MaxMissingRatio)
	rejectIf(s.MinMissing < 1, "least: %d must be above 0", s.MinMissing)
	rejectIf(s.RetainFor < time.Second || s.RetainFor > time.Hour, "hold: %v is not within 1s and 1h", s.RetainFor)
	return errors.Join(errs...)
}

// guardedEndpoint is an endpoint of the guard's list.
type guardedEndpoint struct {
	engine.Endpoint
	missing      bool          // the last full list lacks it, and the guard retains it
	missingSince time.Duration // time of the first list that lacked it
}

// Guard retains endpoints that discovery has lost. A discovery service that restarts with an empty store delivers a
// full list that is wrong, and a proxy that used this list would reject all requests although all backends are healthy.
// An explicit change, such as draining or removed, is applied at once: a list is suspect only if many endpoints are
// missing from it without a change that says so.
//
// A backend that is really gone stays in the list for RetainFor, and only health checks can detect that it is gone. A
// proxy without health checks must therefore not use a guard.
type Guard struct {
	settings GuardSettings
	known    map[string]*guardedEndpoint
	order    []string // IDs of the endpoints in known, in the order in which they were added
	version  uint32
	stats    GuardStats
}

// GuardStats are the counters of a Guard.
type GuardStats struct {
	SuspectLists int64
	Retained     int64 // endpoints retained because a suspect list lacked them
	Returned     int64 // retained endpoints that were listed again
	Dropped      int64 // retained endpoints that were not listed again within RetainFor
}

// NewGuard returns a guard that starts with a known list, which is ignored if it is not Full. It returns an error that
// names each invalid setting.
func NewGuard(settings GuardSettings, known engine.EndpointList) (*Guard, error) {
	if err := settings.Validate(); err != nil {
		return nil, fmt.Errorf("listguard: %w", err)
	}
	g := &Guard{settings: settings, known: map[string]*guardedEndpoint{}}
	if known.Full {
		for _, endpoint := range known.Endpoints {
			g.add(endpoint)
		}
	}
	return g, nil
}

// Stats returns the counters since NewGuard.
func (g *Guard) Stats() GuardStats { return g.stats }

// Missing returns the number of endpoints that are currently retained.
func (g *Guard) Missing() int {
	n := 0
	for _, endpoint := range g.known {
		if endpoint.missing {
			n++
		}
	}
	return n
}

// Apply processes a list that discovery delivered at time now, and returns the list to use in its place. Changes are
// returned as they are; for a full list, the result is the full list with the retained endpoints added.
func (g *Guard) Apply(now time.Duration, list engine.EndpointList) engine.EndpointList {
	g.version = list.Version
	if !list.Full {
		g.update(list)
		return list
	}
	g.removeExpectedAbsences(list)
	absent := g.findAbsent(list)
	suspect := g.isSuspect(absent)
	if suspect {
		g.stats.SuspectLists++
	}
	g.update(list)
	for _, id := range absent.ids {
		switch endpoint := g.known[id]; {
		case endpoint.missing: // retained since an earlier list
		case suspect:
			endpoint.missing = true
			endpoint.missingSince = now
			g.stats.Retained++
		default:
			g.remove(id)
		}
	}
	g.removeExpired(now)
	return g.snapshot()
}

// update applies the state of each endpoint that a list contains.
func (g *Guard) update(list engine.EndpointList) {
	for _, endpoint := range list.Endpoints {
		if endpoint.State == decision.Removed {
			g.remove(endpoint.ID)
		} else {
			g.add(endpoint)
		}
	}
}

// absentEndpoints are the ready endpoints of the guard that a full list does not contain.
type absentEndpoints struct {
	ids         []string
	newlyAbsent int // number of ids that were not already missing from an earlier list
	ready       int // number of ready endpoints of the guard, absent or not
}

// removeExpectedAbsences removes the endpoints that a full list does not contain and whose absence is expected: those
// that were draining, and those whose address now belongs to another endpoint, which would otherwise receive their
// requests under the wrong ID.
func (g *Guard) removeExpectedAbsences(list engine.EndpointList) {
	listed := listedIDs(list)
	addrs := map[string]bool{}
	for _, endpoint := range list.Endpoints {
		if endpoint.State != decision.Removed {
			addrs[endpoint.Addr] = true
		}
	}
	for _, id := range slices.Clone(g.order) {
		endpoint := g.known[id]
		if !listed[id] && (addrs[endpoint.Addr] || endpoint.State != decision.Ready) {
			g.remove(id)
		}
	}
}

// findAbsent returns the ready endpoints that a full list does not contain.
func (g *Guard) findAbsent(list engine.EndpointList) absentEndpoints {
	listed := listedIDs(list)
	var absent absentEndpoints
	for _, id := range g.order {
		endpoint := g.known[id]
		if endpoint.State != decision.Ready {
			continue
		}
		absent.ready++
		if listed[id] {
			continue
		}
		absent.ids = append(absent.ids, id)
		if !endpoint.missing {
			absent.newlyAbsent++
		}
	}
	return absent
}

// listedIDs returns the set of the IDs that a list contains, whatever the state of the endpoint.
func listedIDs(list engine.EndpointList) map[string]bool {
	ids := map[string]bool{}
	for _, endpoint := range list.Endpoints {
		ids[endpoint.ID] = true
	}
	return ids
}

// isSuspect reports whether a list newly lacks too many ready endpoints.
func (g *Guard) isSuspect(absent absentEndpoints) bool {
	return absent.newlyAbsent >= g.settings.MinMissing &&
		float64(absent.newlyAbsent) > g.settings.MaxMissingRatio*float64(absent.ready)
}

// add inserts an endpoint or replaces its state. A retained endpoint is then no longer missing.
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

// remove deletes an endpoint from the guard's list; an unknown ID is ignored.
func (g *Guard) remove(id string) {
	delete(g.known, id)
	g.order = slices.DeleteFunc(g.order, func(other string) bool { return other == id })
}

// removeExpired drops the endpoints that have been missing for RetainFor, and reports whether there were any.
func (g *Guard) removeExpired(now time.Duration) bool {
	var expired []string
	for _, id := range g.order {
		if endpoint := g.known[id]; endpoint.missing && now-endpoint.missingSince >= g.settings.RetainFor {
			expired = append(expired, id)
		}
	}
	for _, id := range expired {
		g.stats.Dropped++
		g.remove(id)
	}
	return len(expired) > 0
}

// NextExpiry returns the time at which the next retained endpoint expires; ok is false if none is retained.
func (g *Guard) NextExpiry() (at time.Duration, ok bool) {
	for _, endpoint := range g.known {
		if !endpoint.missing {
			continue
		}
		if due := endpoint.missingSince + g.settings.RetainFor; !ok || due < at {
			at = due
			ok = true
		}
	}
	return at, ok
}

// Expire drops the endpoints that have been retained for RetainFor. If there were any, changed is true and list is the
// full list to use from now on.
func (g *Guard) Expire(now time.Duration) (list engine.EndpointList, changed bool) {
	if !g.removeExpired(now) {
		return engine.EndpointList{}, false
	}
	return g.snapshot(), true
}

// snapshot returns the full list to use.
func (g *Guard) snapshot() engine.EndpointList {
	list := engine.EndpointList{Version: g.version, Full: true}
	for _, id := range g.order {
		list.Endpoints = append(list.Endpoints, g.known[id].Endpoint)
	}
	return list
}

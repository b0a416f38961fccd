package staleness

import (
	"cmp"
	"errors"
	"maps"
	"math"
	"slices"
	"time"
)

// MapSettings are a steward's terms for the map.
type MapSettings struct {
	MaxTransit     time.Duration // the longest that a report is under way: a later one must not be handed in
	ReportInterval time.Duration // between two reports of an edge; after three without one it is unknown
	ClockDrift     float64       // of a monotonic clock against another, such as .001
	ClockJitter    time.Duration // what clocks are read off by; the least error that is called a lie
}

// RouteClaim is what an edge says of a route.
type RouteClaim struct {
	Route      string
	Level      Level
	Confidence float64
}

// SourceClaim is what an edge says of a source: it holds Version, which was the truth at most Bound ago.
type SourceClaim struct {
	Source  string
	Version uint64
	MaxAge  time.Duration
	Known   bool
}

// Report is what an edge says of its view.
type Report struct {
	Proxy       string
	Incarnation uint64        // another one is another process, with a clock of its own
	Clock       time.Duration // the edge's monotonic clock
	Sources     []SourceClaim
	Routes      []RouteClaim
}

const (
	maxSupersededVersions = 256 // of a source
	reportsToClear        = 3   // in a row lift a mark
)

type supersededVersion struct {
	version uint64
	at      time.Duration // from then on a later version was the truth
}

type proxyState struct {
	report           Report
	receivedAt       time.Duration
	faults           []error
	plausibleReports int
	firstClock       time.Duration // of the first report of this process
	firstClockAt     time.Duration
}

// FleetMap is a steward's view of the views of all edges. Pure, as View; now is the steward's monotonic clock.
type FleetMap struct {
	settings   MapSettings
	current    map[string]uint64
	superseded map[string][]supersededVersion
	proxies    map[string]*proxyState
}

// NewFleetMap makes a map on which nothing is known. Errors are BadSettings, joined.
func NewFleetMap(s MapSettings) (*FleetMap, error) {
	var errs []error
	if s.MaxTransit <= 0 {
		errs = append(errs, InvalidSettingsError{"transit", "must be above 0"})
	}
	if s.ReportInterval <= 0 {
		errs = append(errs, InvalidSettingsError{"every", "must be above 0"})
	}
	if !(s.ClockDrift >= 0 && s.ClockDrift < 1) {
		errs = append(errs, InvalidSettingsError{"drift", "must be within 0 and 1"})
	}
	if s.ClockJitter < 0 {
		errs = append(errs, InvalidSettingsError{"jitter", "must not be negative"})
	}
	if len(errs) > 0 {
		return nil, errors.Join(errs...)
	}
	return &FleetMap{settings: s, current: map[string]uint64{}, superseded: map[string][]supersededVersion{}, proxies: map[string]*proxyState{}}, nil
}

// RecordVersion notes that the steward has learned that a version is the truth of a source now, so that those before are not. What it
// learns late makes claims look better, never worse.
func (m *FleetMap) RecordVersion(now time.Duration, source string, version uint64) {
	was, known := m.current[source]
	if known && version <= was {
		return
	}
	if known {
		p := append(m.superseded[source], supersededVersion{was, now})
		m.superseded[source] = p[max(0, len(p)-maxSupersededVersions):]
	}
	m.current[source] = version
}

// supersededAt is when the steward knew that a version was the truth no more.
func (m *FleetMap) supersededAt(source string, version uint64) (time.Duration, bool) {
	p := m.superseded[source]
	i, _ := slices.BinarySearchFunc(p, version, func(s supersededVersion, v uint64) int { return cmp.Compare(s.version, v) })
	if i == len(p) {
		return 0, false
	}
	return p[i].at, true
}

// RecordReport takes an edge's report in. Errors are ClaimCannotBeTrue, joined; such an edge is marked, and unknown until three reports in
// a row can be true.
func (m *FleetMap) RecordReport(now time.Duration, r Report) error {
	e := m.proxies[r.Proxy]
	if e == nil {
		e = &proxyState{firstClock: r.Clock, firstClockAt: now}
		m.proxies[r.Proxy] = e
	} else if e.report.Incarnation != r.Incarnation {
		e.firstClock, e.firstClockAt = r.Clock, now
	}
	var errs []error
	// Danger: a clock that stands still makes every age look smaller; only its pace against ours shows it.
	off := (r.Clock - e.firstClock) - (now - e.firstClockAt)
	most := m.settings.MaxTransit + m.settings.ClockJitter + time.Duration(m.settings.ClockDrift*float64(now-e.firstClockAt))
	if off > most || off < -most {
		errs = append(errs, ImplausibleClaimError{Proxy: r.Proxy, Excess: max(off, -off), Reason: "its clock does not keep pace"})
		e.firstClock, e.firstClockAt = r.Clock, now
	}
	for _, c := range r.Sources {
		if !c.Known {
			continue
		}
		lie := ImplausibleClaimError{Proxy: r.Proxy, Source: c.Source, Version: c.Version, ClaimedAge: c.MaxAge}
		if c.MaxAge < 0 {
			lie.Excess, lie.Reason = -c.MaxAge, "no age is negative"
			errs = append(errs, lie)
			continue
		}
		at, over := m.supersededAt(c.Source, c.Version)
		if least := now - m.settings.MaxTransit - at; over && least > c.MaxAge+m.settings.ClockJitter {
			lie.Excess, lie.Reason = least, "that version was superseded before"
			errs = append(errs, lie)
		}
	}
	e.report, e.receivedAt = Report{Proxy: r.Proxy, Incarnation: r.Incarnation, Clock: r.Clock, Sources: slices.Clone(r.Sources), Routes: slices.Clone(r.Routes)}, now
	if len(errs) > 0 {
		e.faults, e.plausibleReports = errs, 0
		return errors.Join(errs...)
	}
	if e.plausibleReports++; e.plausibleReports >= reportsToClear {
		e.faults = nil
	}
	return nil
}

// Fault is why an edge is marked: ClaimCannotBeTrue, joined, or nil.
func (m *FleetMap) Fault(edge string) error {
	if e := m.proxies[edge]; e != nil {
		return errors.Join(e.faults...)
	}
	return nil
}

// Forget drops an edge that has left the fleet.
func (m *FleetMap) Forget(edge string) { delete(m.proxies, edge) }

// AgeRange is how old an edge's view of a source is, between two bounds. Known false stands apart: nothing is said.
type AgeRange struct {
	Known    bool
	Min, Max time.Duration
}

func (m *FleetMap) trusted(now time.Duration, edge string) *proxyState {
	e := m.proxies[edge]
	if e == nil || len(e.faults) > 0 || now-e.receivedAt > 3*m.settings.ReportInterval {
		return nil
	}
	return e
}

// Age is how old an edge's view of a source is. The least is what the steward knows at the report's moment; the edge may have
// heard since, so it is 0 from then on.
func (m *FleetMap) Age(now time.Duration, edge, source string) AgeRange {
	e := m.trusted(now, edge)
	if e == nil {
		return AgeRange{}
	}
	for _, c := range e.report.Sources {
		if c.Source == source && c.Known {
			s := AgeRange{Known: true, Max: c.MaxAge + m.settings.MaxTransit + time.Duration(float64(now-e.receivedAt)*(1+m.settings.ClockDrift))}
			if at, over := m.supersededAt(source, c.Version); over && now == e.receivedAt {
				s.Min = max(0, now-m.settings.MaxTransit-at)
			}
			return s
		}
	}
	return AgeRange{}
}

// ProxyRoute is a route at an edge. Low and High bound the chance that acting on it there is right.
type ProxyRoute struct {
	Proxy                        string
	Known                        bool
	Level                        Level // that it reported; without meaning if Known is false
	MinConfidence, MaxConfidence float64
}

// Route is a route at all edges, by the edge's name. An edge that said nothing, is marked or has gone silent is not Known, which is
// something else than fresh. Low falls with the time since the report, as if the edge had heard nothing from then on.
func (m *FleetMap) Route(now time.Duration, route string) []ProxyRoute {
	var all []ProxyRoute
	for _, name := range slices.Sorted(maps.Keys(m.proxies)) {
		p := ProxyRoute{Proxy: name, MaxConfidence: 1}
		if e := m.trusted(now, name); e != nil {
			for _, c := range e.report.Routes {
				if c.Route == route {
					since := (now - e.receivedAt + m.settings.MaxTransit).Seconds() / m.settings.ReportInterval.Seconds()
					p.Known, p.Level = true, c.Level
					// A report's chance is believed to a tenth an interval, of what it leaves to both sides.
					slack := 1 - math.Pow(.9, since)
					p.MinConfidence, p.MaxConfidence = c.Confidence*(1-slack), c.Confidence+(1-c.Confidence)*slack
				}
			}
		}
		all = append(all, p)
	}
	return all
}

// LevelCounts are edges by the level of a route, and those of which nothing is known.
type LevelCounts struct {
	Unknown int
	ByLevel [Confirmed + 1]int
}

// Count counts edges by the level of a route.
func (m *FleetMap) Count(now time.Duration, route string) LevelCounts {
	var c LevelCounts
	for _, p := range m.Route(now, route) {
		if p.Known {
			c.ByLevel[min(p.Level, Confirmed)]++
		} else {
			c.Unknown++
		}
	}
	return c
}

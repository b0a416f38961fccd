package staleness

import (
	"cmp"
	"errors"
	"maps"
	"math"
	"slices"
	"time"
)

// MapSettings are the settings of a FleetMap.
type MapSettings struct {
	MaxTransit     time.Duration // maximum transit time of a report; later reports must not be recorded
	ReportInterval time.Duration // between two reports of a proxy
	ClockDrift     float64       // maximum drift between two monotonic clocks, as a fraction such as .001
	ClockJitter    time.Duration // maximum error of reading a clock; smaller deviations are not reported as faults
}

const (
	// maxSupersededVersions is the number of earlier versions that are remembered per source.
	maxSupersededVersions = 256
	// reportsToClear is the number of plausible reports in a row that clear a proxy's faults.
	reportsToClear = 3
	// silentAfterReports is the number of report intervals after which a proxy's last report no longer counts.
	silentAfterReports = 3
	// trustPerInterval is the factor by which trust in a reported confidence decreases in each report interval.
	trustPerInterval = .9
)

// supersededVersion is a version that was replaced.
type supersededVersion struct {
	version uint64
	at      time.Duration // when a later version became current
}

// proxyState is the last report of a proxy and the faults in it.
type proxyState struct {
	report           Report
	receivedAt       time.Duration
	faults           []error
	plausibleReports int           // number of consecutive plausible reports
	firstClock       time.Duration // the proxy's clock in the report with which its speed is compared
	firstClockAt     time.Duration // when that report arrived
}

// compareClockFrom sets the report with which the speed of the proxy's clock is compared.
func (p *proxyState) compareClockFrom(clock, now time.Duration) {
	p.firstClock = clock
	p.firstClockAt = now
}

// FleetMap holds what the proxies reported to a control-plane server about their views. The now arguments of its
// methods are times of the server's monotonic clock. It must not be used by two goroutines at once.
type FleetMap struct {
	settings   MapSettings
	current    map[string]uint64              // version by source
	superseded map[string][]supersededVersion // by source, in order of versions
	proxies    map[string]*proxyState
}

// NewFleetMap returns an empty map. The error joins an InvalidSettingsError for each invalid setting.
func NewFleetMap(settings MapSettings) (*FleetMap, error) {
	var c settingsCheck
	c.reject(settings.MaxTransit <= 0, "transit", "must be above 0")
	c.reject(settings.ReportInterval <= 0, "every", "must be above 0")
	c.reject(!(settings.ClockDrift >= 0 && settings.ClockDrift < 1), "drift", "must be within 0 and 1")
	c.reject(settings.ClockJitter < 0, "jitter", "must not be negative")
	if err := errors.Join(c.errs...); err != nil {
		return nil, err
	}
	return &FleetMap{
		settings:   settings,
		current:    map[string]uint64{},
		superseded: map[string][]supersededVersion{},
		proxies:    map[string]*proxyState{},
	}, nil
}

// RecordVersion records that a version of a source is current now, so that earlier versions are superseded. A late call
// can make an implausible claim look plausible, but never the reverse.
func (m *FleetMap) RecordVersion(now time.Duration, source string, version uint64) {
	previous, known := m.current[source]
	if known && version <= previous {
		return
	}
	if known {
		superseded := append(m.superseded[source], supersededVersion{version: previous, at: now})
		m.superseded[source] = superseded[max(0, len(superseded)-maxSupersededVersions):]
	}
	m.current[source] = version
}

// supersededAt returns when the server learned that a version was no longer current.
func (m *FleetMap) supersededAt(source string, version uint64) (at time.Duration, superseded bool) {
	versions := m.superseded[source]
	i, _ := slices.BinarySearchFunc(versions, version, func(s supersededVersion, version uint64) int {
		return cmp.Compare(s.version, version)
	})
	if i == len(versions) {
		return 0, false
	}
	return versions[i].at, true
}

// RecordReport stores a proxy's report. The error joins an ImplausibleClaimError for each implausible claim. After an
// error the proxy counts as unknown until three plausible reports in a row.
func (m *FleetMap) RecordReport(now time.Duration, report Report) error {
	p := m.proxies[report.Proxy]
	if p == nil {
		p = &proxyState{}
		p.compareClockFrom(report.Clock, now)
		m.proxies[report.Proxy] = p
	} else if p.report.Incarnation != report.Incarnation {
		p.compareClockFrom(report.Clock, now)
	}
	var errs []error
	if err := m.checkClock(p, now, report); err != nil {
		errs = append(errs, err)
		p.compareClockFrom(report.Clock, now)
	}
	for _, claim := range report.Sources {
		if err := m.checkSource(now, report.Proxy, claim); err != nil {
			errs = append(errs, err)
		}
	}
	report.Sources = slices.Clone(report.Sources)
	report.Routes = slices.Clone(report.Routes)
	p.report = report
	p.receivedAt = now
	if len(errs) > 0 {
		p.faults = errs
		p.plausibleReports = 0
		return errors.Join(errs...)
	}
	p.plausibleReports++
	if p.plausibleReports >= reportsToClear {
		p.faults = nil
	}
	return nil
}

// checkClock compares the speed of a proxy's clock with that of the server's clock. A stopped clock makes every age
// look smaller, and no other check detects it.
func (m *FleetMap) checkClock(p *proxyState, now time.Duration, report Report) error {
	elapsed := now - p.firstClockAt
	deviation := (report.Clock - p.firstClock - elapsed).Abs()
	allowed := m.settings.MaxTransit + m.settings.ClockJitter + time.Duration(m.settings.ClockDrift*float64(elapsed))
	if deviation <= allowed {
		return nil
	}
	return ImplausibleClaimError{Proxy: report.Proxy, Excess: deviation, Reason: "its clock does not keep pace"}
}

// checkSource compares the claimed age of a version with the time at which the version was superseded.
func (m *FleetMap) checkSource(now time.Duration, proxy string, claim SourceClaim) error {
	if !claim.Known {
		return nil
	}
	fault := ImplausibleClaimError{
		Proxy:      proxy,
		Source:     claim.Source,
		Version:    claim.Version,
		ClaimedAge: claim.MaxAge,
	}
	if claim.MaxAge < 0 {
		fault.Excess = -claim.MaxAge
		fault.Reason = "no age is negative"
		return fault
	}
	at, superseded := m.supersededAt(claim.Source, claim.Version)
	minAge := now - m.settings.MaxTransit - at
	if !superseded || minAge <= claim.MaxAge+m.settings.ClockJitter {
		return nil
	}
	fault.Excess = minAge
	fault.Reason = "that version was superseded before"
	return fault
}

// Fault returns why a proxy counts as unknown: joined ImplausibleClaimErrors, or nil if it has no fault.
func (m *FleetMap) Fault(proxy string) error {
	if p := m.proxies[proxy]; p != nil {
		return errors.Join(p.faults...)
	}
	return nil
}

// Forget removes a proxy that has left the fleet.
func (m *FleetMap) Forget(proxy string) { delete(m.proxies, proxy) }

// trusted returns a proxy's state if its last report is recent and it has no faults, and nil otherwise.
func (m *FleetMap) trusted(now time.Duration, proxy string) *proxyState {
	p := m.proxies[proxy]
	if p == nil || len(p.faults) > 0 || now-p.receivedAt > silentAfterReports*m.settings.ReportInterval {
		return nil
	}
	return p
}

// AgeRange bounds the age of a proxy's content of a source. If Known is false, Min and Max have no meaning.
type AgeRange struct {
	Known    bool
	Min, Max time.Duration
}

// Age returns the bounds of the age of a proxy's content of a source. Min is above 0 only at the time of the report,
// because the proxy may have received an update since.
func (m *FleetMap) Age(now time.Duration, proxy, source string) AgeRange {
	p := m.trusted(now, proxy)
	if p == nil {
		return AgeRange{}
	}
	i := slices.IndexFunc(p.report.Sources, func(claim SourceClaim) bool {
		return claim.Source == source && claim.Known
	})
	if i < 0 {
		return AgeRange{}
	}
	claim := p.report.Sources[i]
	sinceReport := time.Duration(float64(now-p.receivedAt) * (1 + m.settings.ClockDrift))
	age := AgeRange{Known: true, Max: claim.MaxAge + m.settings.MaxTransit + sinceReport}
	if at, superseded := m.supersededAt(source, claim.Version); superseded && now == p.receivedAt {
		age.Min = max(0, now-m.settings.MaxTransit-at)
	}
	return age
}

// ProxyRoute is the state of a route at one proxy.
type ProxyRoute struct {
	Proxy string
	Known bool
	Level Level // as reported; meaningless if Known is false
	// MinConfidence and MaxConfidence bound the probability that acting on the proxy's list for the route is right.
	MinConfidence, MaxConfidence float64
}

// Route returns the state of a route at all proxies, sorted by the proxy's name. Known is false for a proxy that did
// not report the route, has faults, or has stopped reporting. The bounds widen with the time since the report.
func (m *FleetMap) Route(now time.Duration, route string) []ProxyRoute {
	var all []ProxyRoute
	for _, name := range slices.Sorted(maps.Keys(m.proxies)) {
		entry := ProxyRoute{Proxy: name, MaxConfidence: 1}
		if p := m.trusted(now, name); p != nil {
			m.applyClaims(&entry, p, now, route)
		}
		all = append(all, entry)
	}
	return all
}

// applyClaims fills entry with the claim for a route in a proxy's last report.
func (m *FleetMap) applyClaims(entry *ProxyRoute, p *proxyState, now time.Duration, route string) {
	intervals := (now - p.receivedAt + m.settings.MaxTransit).Seconds() / m.settings.ReportInterval.Seconds()
	slack := 1 - math.Pow(trustPerInterval, intervals)
	for _, claim := range p.report.Routes {
		if claim.Route != route {
			continue
		}
		entry.Known = true
		entry.Level = claim.Level
		entry.MinConfidence = claim.Confidence * (1 - slack)
		entry.MaxConfidence = claim.Confidence + (1-claim.Confidence)*slack
	}
}

// LevelCounts holds the number of proxies at each level of a route, and of proxies whose level is unknown.
type LevelCounts struct {
	Unknown int
	ByLevel [Confirmed + 1]int
}

// Count returns the number of proxies at each level of a route.
func (m *FleetMap) Count(now time.Duration, route string) LevelCounts {
	var counts LevelCounts
	for _, p := range m.Route(now, route) {
		if p.Known {
			counts.ByLevel[min(p.Level, Confirmed)]++
		} else {
			counts.Unknown++
		}
	}
	return counts
}

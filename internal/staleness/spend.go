package staleness

import (
	"cmp"
	"slices"
	"time"
)

// PlannedProbe is a question worth asking.
type PlannedProbe struct {
	Source string
	Entry  string  // to be probed; empty for a call for the source's whole list
	Gain   float64 // worth of what may be learned, by which probes and calls each are ordered
}

// probeCeiling is the chance beyond which nothing is asked.
const probeCeiling = .99

// SetPriorityWeight says what right decisions on a route are worth: demand times the worth of a request. A route has 1 unless told.
func (v *View) SetPriorityWeight(route string, worth float64) {
	if worth >= 0 {
		v.route(route).priorityWeight = worth
	}
}

// PlanProbes says what budgets of probes and of list calls go to: where confidence is low and worth is high. The gain of a probe is its
// route's worth, by entry, times (1-p)(p+.05): what is sure either way teaches little, but what is thought gone is asked now and
// then. The gain of a call is the worth of all that the source's silence or lies put at stake. Nothing is asked twice within a beat.
func (v *View) PlanProbes(now time.Duration, probes, calls int) []PlannedProbe {
	var ps, cs []PlannedProbe
	stake := map[string]float64{}
	for _, e := range v.entryOrder {
		p := v.Confidence(now, e.Name)
		worth := 1.0
		if r := v.routeByName[e.Route]; r != nil && len(r.entries) > 0 {
			worth = r.priorityWeight / float64(len(r.entries))
		}
		s := e.source
		following := s.filter.live
		if !s.known {
			following = 0
		}
		if p <= probeCeiling {
			stake[s.settings.Name] += worth * (1 - p) * (1 - following)
		}
		if gain := worth * (1 - p) * (p + .05); p <= probeCeiling && !s.settings.AffectsAllRoutes && now-e.probedAt >= s.gaps.Percentile90() {
			ps = append(ps, PlannedProbe{Source: s.settings.Name, Entry: e.Name, Gain: gain})
		}
	}
	for _, s := range v.sources {
		gain := stake[s.settings.Name]
		if !s.known {
			gain = max(gain, 1)
		}
		if gain > 0 && now-s.calledAt >= s.gaps.Percentile90() {
			cs = append(cs, PlannedProbe{Source: s.settings.Name, Gain: gain})
		}
	}
	byGain := func(a, b PlannedProbe) int { return cmp.Compare(b.Gain, a.Gain) }
	slices.SortStableFunc(ps, byGain)
	slices.SortStableFunc(cs, byGain)
	ps, cs = ps[:min(max(probes, 0), len(ps))], cs[:min(max(calls, 0), len(cs))]
	for _, p := range ps {
		v.entries[p.Entry].probedAt = now
	}
	for _, c := range cs {
		v.sourceByName[c.Source].calledAt = now
	}
	return append(cs, ps...)
}

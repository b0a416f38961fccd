package staleness

import (
	"cmp"
	"slices"
	"time"
)

// PlannedProbe is a health check of an entry, or a call for a source's complete list.
type PlannedProbe struct {
	Source string
	Entry  string  // the entry to probe; empty for a call
	Gain   float64 // the sort key, descending, of probes and of calls
}

const (
	// probeCeiling is the confidence above which an entry is not probed.
	probeCeiling = .99
	// removedProbeWeight keeps the gain of entries that are probably removed above 0, so that they are probed at times.
	removedProbeWeight = .05
	// minUnknownGain is the minimum gain of a call for a source of unknown age.
	minUnknownGain = 1
)

// SetPriorityWeight sets how much correct decisions on a route are worth: its demand times the weight of a request. The
// default is 1; negative weights are ignored.
func (v *View) SetPriorityWeight(route string, weight float64) {
	if weight >= 0 {
		v.route(route).priorityWeight = weight
	}
}

// PlanProbes distributes a budget of probes and one of list calls to the entries and sources with the highest
// gain: low confidence and high priority weight.
//
// The gain of a probe is the entry's part of its route's weight times (1-p)(p+.05), where p is the confidence: a probe
// of an entry that is almost certainly unchanged or changed yields little information. The gain of a call is the sum
// of the weights that are at risk because the source may not be followed. No entry is probed and no source is called
// twice within a usual gap of the source.
func (v *View) PlanProbes(now time.Duration, maxProbes, maxCalls int) []PlannedProbe {
	probes, atRisk := v.probeCandidates(now)
	calls := v.callCandidates(now, atRisk)
	probes = topByGain(probes, maxProbes)
	calls = topByGain(calls, maxCalls)
	for _, probe := range probes {
		v.entries[probe.Entry].probedAt = now
	}
	for _, call := range calls {
		v.sourceByName[call.Source].calledAt = now
	}
	return append(calls, probes...)
}

// probeCandidates returns the probes that are due, and by source the weight that is at risk because the source may not
// be followed.
func (v *View) probeCandidates(now time.Duration) (probes []PlannedProbe, atRisk map[string]float64) {
	atRisk = map[string]float64{}
	for _, e := range v.entryOrder {
		confidence := v.Confidence(now, e.Name)
		if confidence > probeCeiling {
			continue
		}
		s := e.source
		weight := v.routeWeightPerEntry(e)
		atRisk[s.settings.Name] += weight * (1 - confidence) * (1 - s.liveProbability())
		if !s.settings.AffectsAllRoutes && now-e.probedAt >= s.gaps.Percentile90() {
			gain := weight * (1 - confidence) * (confidence + removedProbeWeight)
			probes = append(probes, PlannedProbe{Source: s.settings.Name, Entry: e.Name, Gain: gain})
		}
	}
	return probes, atRisk
}

// callCandidates returns the calls that are due, with the weights at risk as their gains.
func (v *View) callCandidates(now time.Duration, atRisk map[string]float64) []PlannedProbe {
	var calls []PlannedProbe
	for _, s := range v.sources {
		gain := atRisk[s.settings.Name]
		if !s.ageKnown {
			gain = max(gain, minUnknownGain)
		}
		if gain > 0 && now-s.calledAt >= s.gaps.Percentile90() {
			calls = append(calls, PlannedProbe{Source: s.settings.Name, Gain: gain})
		}
	}
	return calls
}

// routeWeightPerEntry returns an entry's part of its route's priority weight.
func (v *View) routeWeightPerEntry(e *trackedEntry) float64 {
	r := v.routeByName[e.Route]
	if r == nil || len(r.entries) == 0 {
		return 1
	}
	return r.priorityWeight / float64(len(r.entries))
}

// liveProbability returns the probability that the source is followed live.
func (s *trackedSource) liveProbability() float64 {
	if !s.ageKnown {
		return 0
	}
	return s.filter.live
}

// topByGain returns at most count probes, those with the highest gain first.
func topByGain(probes []PlannedProbe, count int) []PlannedProbe {
	slices.SortStableFunc(probes, func(a, b PlannedProbe) int { return cmp.Compare(b.Gain, a.Gain) })
	return probes[:min(max(count, 0), len(probes))]
}

package staleness

import (
	"math"
	"time"
)

// Age returns an upper bound on the age of a source's content: the content was current at some moment within the last
// bound. If known is false, bound has no meaning. Age is the age of information as defined by Kaul, Yates and Gruteser
// (INFOCOM 2012).
func (v *View) Age(now time.Duration, name string) (bound time.Duration, known bool) {
	s := v.sourceByName[name]
	if s == nil || !s.ageKnown {
		return 0, false
	}
	v.advance(s, now)
	transit := v.settings.MaxTransit
	bound = now - s.currentAt + transit
	// While another party has a later version, messages from the source do not prove that the content is current.
	if s.supersededSince != never && s.confirmedAt != never {
		bound = max(bound, now-s.confirmedAt+transit)
	}
	weight := 0.0
	for _, h := range s.filter.stale {
		weight += h.weight
		if weight > v.settings.StaleAnswerThreshold {
			bound = max(bound, now-h.at+transit)
			break
		}
	}
	return bound, true
}

// RecordSuspension records that this process did not run for the gap before now (SIGSTOP, a suspended machine), which
// callers detect as a jump of the clock between two ticks. Silence during the gap is no evidence about the watch, and
// messages that arrive right after the gap were sent during it.
func (v *View) RecordSuspension(now, gap time.Duration) {
	if gap <= 0 || v.settings.omitted == termSuspension {
		return
	}
	for _, s := range v.sources {
		if !s.ageKnown || s.lastMessageAt == never {
			continue
		}
		v.advance(s, now-gap)
		s.filter.silence(max(s.currentAt, now-gap), now)
		s.backlogCurrentAt = s.currentAt - s.heartbeatGaps.Percentile90()
		if s.heartbeatAt != never {
			s.backlogCurrentAt = s.heartbeatAt - s.heartbeatDelay
		}
		s.drainingBacklog = true
		s.resumedAt = now
		s.forgetHeartbeats()
		s.lastMessageAt = now
		s.advancedTo = now
	}
}

// forgetHeartbeats resets the delay estimate, so that the next heartbeat counts as the first one.
func (s *trackedSource) forgetHeartbeats() {
	s.heartbeatAt = never
	s.heartbeatDelay = 0
}

// Restore marks the content as restored from an earlier process, of the given age; a negative savedAge means that
// the age is unknown. Learned change rates and gaps are kept.
func (v *View) Restore(now, savedAge time.Duration) {
	for _, s := range v.sources {
		if v.settings.omitted == termRestart {
			s.restoreAsCurrent(now)
		} else {
			s.restore(now, savedAge)
		}
	}
	for _, e := range v.entryOrder {
		e.confirmedAt = never
		e.checkedAt = never
		e.odds = 1
	}
}

func (s *trackedSource) restore(now, savedAge time.Duration) {
	s.ageKnown = savedAge >= 0
	s.lastMessageAt = never
	s.forgetHeartbeats()
	s.drainingBacklog = false
	s.currentAt = now - max(0, savedAge)
	s.advancedTo = now
	s.confirmedAt = s.currentAt
	s.supersededSince = never
	s.reportedVersion = 0
	s.filter.collapse(s.currentAt)
	if !s.ageKnown {
		s.filter.assumeUnknownAge(now)
	}
}

// restoreAsCurrent treats restored content as current; the calibration uses it to omit termRestart.
func (s *trackedSource) restoreAsCurrent(now time.Duration) {
	s.ageKnown = true
	s.lastMessageAt = now
	s.advancedTo = now
	s.currentAt = now
	s.filter = filter{live: 1}
}

const (
	minAssumedAge = time.Second
	maxAssumedAge = time.Hour
)

// assumeUnknownAge distributes the weight over ages from one second to one hour; younger ages get more weight.
func (f *filter) assumeUnknownAge(now time.Duration) {
	f.silent = f.silent[:0]
	for age := maxAssumedAge; age >= minAssumedAge; age /= 2 {
		f.silent = append(f.silent, hypothesis{at: now - age, weight: 1 / math.Sqrt(age.Seconds())})
	}
	f.normalize()
}

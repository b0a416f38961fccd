package staleness

import (
	"math"
	"time"
)

// recordLaterVersion weighs that somebody knows a later version: either a push is under way, or this view does not follow.
func (v *View) recordLaterVersion(s *trackedSource, now time.Duration, version uint64) {
	if version != 0 && version <= s.version {
		return
	}
	s.knownVersion = max(s.knownVersion, version)
	live := .01 // a push that is under way for so long is a late one
	if s.supersededSince == never || now-s.supersededSince < s.gaps.Percentile90()/2 {
		all := 0.0
		for _, k := range s.kindOrder {
			all += k.rate.Current() * float64(k.entries)
		}
		live = .002 + min(.5, all*.1)
	}
	if s.supersededSince == never {
		s.supersededSince = now
	}
	if len(s.filter.stale) == 0 {
		s.filter.stale = addHypothesis(s.filter.stale, max(s.currentAt, now-time.Minute), .01, now)
	}
	s.filter.update(live, func(hypothesis, bool) float64 { return 1 })
}

// falseRefusalProbability is the chance that a server which is as believed refuses.
func (v *View) falseRefusalProbability() float64 {
	return (.5 + max(0, v.falseRefusals)) / (50 + v.confirmations)
}

// RecordContradiction weighs evidence against the view. Evidence about an entry that is not listed is nothing.
func (v *View) RecordContradiction(now time.Duration, name string, ev Evidence) error {
	s, err := v.source(name)
	if err != nil {
		return err
	}
	v.advance(s, now)
	if v.settings.omitted == termEvidence {
		return nil
	}
	if ev.Kind == LaterVersion {
		if s.known {
			v.recordLaterVersion(s, now, ev.Version)
		}
		return nil
	}
	e := v.entries[ev.Entry]
	if e == nil || e.source != s {
		return nil
	}
	right := 1e-9 // the chance of this evidence if the entry is as believed
	switch ev.Kind {
	case Refused:
		right = v.falseRefusalProbability()
	case TokenRejected:
		right = .005
	}
	wrong := (.5 + v.contradictions[ev.Kind]) / (1 + v.contradictions[Refused] + v.contradictions[OtherIncarnation] + v.contradictions[TokenRejected]) // if it is not
	if e.odds == 1 {                                                                                                                                   // only the first says something about the source: the next are the same fact
		e.falseAlarm, e.unfollowedSurvival = applyOdds(v.confidence(e, now), right/wrong), v.survivalUnfollowed(e, now)
		v.contradictions[ev.Kind] += 1 - e.falseAlarm
		if ev.Kind == Refused {
			v.falseRefusals += e.falseAlarm
		}
		v.observeAttempt(e, now, func(same float64) float64 { return right*same + wrong*(1-same) }, 1-e.falseAlarm)
	}
	right /= wrong
	e.odds = max(1e-9, e.odds*right)
	e.checkedAt = now
	return nil
}

// observeAttempt weighs what an attempt told of the source, and of the rate.
func (v *View) observeAttempt(e *trackedEntry, now time.Duration, of func(same float64) float64, wrong float64) {
	s := e.source
	if s.filter.live > .8 {
		s.wrongWhileLive += wrong
		s.hazardWhileLive += e.kind.rate.Current()
	}
	hazard, dead := 0.0, 0.0
	s.filter.update(of(v.survivalLive(e, now)), func(g hypothesis, _ bool) float64 {
		q, h := v.survival(e, now, g.at)
		hazard += g.weight * h
		dead += g.weight
		return of(q)
	})
	if dead > .5 {
		e.kind.rate.ObserveTrial(hazard*(1-wrong/2), wrong*dead)
	}
}

// RecordConfirmation notes that an entry answered as believed: the same process, the token taken. With an empty entry, a steward or peer that
// knows the source by another way said that what is held is what it knows.
func (v *View) RecordConfirmation(now time.Duration, name, entry string) error {
	s, err := v.source(name)
	if err != nil {
		return err
	}
	v.advance(s, now)
	if v.settings.omitted == termEvidence {
		return nil
	}
	if entry == "" {
		if s.known {
			v.confirmSource(s, now)
		}
		return nil
	}
	e := v.entries[entry]
	if e == nil || e.source != s {
		return nil
	}
	if e.odds != 1 { // now it is known
		v.falseRefusals += 1 - e.falseAlarm
	}
	v.confirmations++
	v.observeAttempt(e, now, func(same float64) float64 { return same }, 0)
	e.confirmedAt, e.checkedAt, e.odds = now, now, 1
	return nil
}

// confirmSource weighs that what is held is the truth of now, whether this view follows or not.
func (v *View) confirmSource(s *trackedSource, now time.Duration) {
	s.filter.update(1, func(g hypothesis, _ bool) float64 {
		p := 1.0
		for _, k := range s.kindOrder {
			p *= math.Exp(-min(20, k.rate.Hazard(now-g.at)*float64(k.entries)))
		}
		return max(p, 1e-6)
	})
	for _, gs := range [2][]hypothesis{s.filter.silent, s.filter.stale} {
		for i := range gs {
			gs[i].at = now
		}
	}
	s.currentAt = max(s.currentAt, now-v.settings.MaxTransit)
	s.confirmedAt, s.supersededSince, s.knownVersion = now, never, 0
	for _, e := range v.entryOrder {
		if e.source == s {
			e.confirmedAt = max(e.confirmedAt, now-v.settings.MaxTransit)
		}
	}
}

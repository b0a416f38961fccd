package staleness

import (
	"math"
	"time"
)

const (
	// maxAdvance is the upper limit of the time after which a filter is advanced again. Earlier calls use the filter
	// without an advance, which bounds their cost.
	maxAdvance = 50 * time.Millisecond
	// maxAdvanceSteps bounds the steps of one advance after a long time.
	maxAdvanceSteps = 32
	// minAdvanceDivisor sets the part of the usual gap that must pass before a filter is advanced, if that is shorter
	// than maxAdvance.
	minAdvanceDivisor = 20
	// stepsPerGap is the number of steps into which an advance divides the usual gap between two messages.
	stepsPerGap = 4
	// priorSilentWatches is the weight of Settings.SilentWatchRate, as a number of observed silent watches.
	priorSilentWatches = .5
	// priorDelaySeconds is the mean delay of a change, with the weight of one change, before any was observed.
	priorDelaySeconds = .2
	// minHypothesisWeight is the weight below which a hypothesis is ignored in a confidence.
	minHypothesisWeight = 1e-5
	// maxCertainty keeps a probability below 1, so that evidence can contradict it.
	maxCertainty = 1 - 1e-6
)

// Confidence returns the probability that an entry is as listed: the listed incarnation still runs at its address, so
// acting on the entry now is right. It returns 0 for an entry that is not listed.
func (v *View) Confidence(now time.Duration, name string) float64 {
	e := v.entries[name]
	if e == nil {
		return 0
	}
	v.advance(e.source, now)
	return v.confidence(e, now)
}

// advance updates a source's filter for the time since the last advance. The silence in it makes a silent watch more
// likely.
func (v *View) advance(s *trackedSource, now time.Duration) {
	if now-s.advancedTo < min(s.gaps.Percentile90()/minAdvanceDivisor, maxAdvance) {
		return
	}
	if s.lastMessageAt == never { // no message yet: restored content is not followed
		s.advancedTo = now
		return
	}
	step := max(
		(now-s.advancedTo+maxAdvanceSteps-1)/maxAdvanceSteps,
		min(now-s.advancedTo, s.gaps.Percentile90()/stepsPerGap))
	rates := transitionRates{
		silence:  v.silentWatchRate(s),
		stale:    v.settings.StaleAnswerRate,
		recovery: v.settings.StaleAnswerRecoveryRate,
	}
	if v.settings.omitted == termPhi {
		rates.silence = 0
	}
	for s.advancedTo < now {
		to := min(now, s.advancedTo+step)
		stillSilent := s.gaps.stillSilent(s.advancedTo-s.lastMessageAt, to-s.lastMessageAt)
		if v.settings.omitted == termPhi {
			stillSilent = 1
		}
		s.filter.advance(s.advancedTo, to, stillSilent, rates)
		s.advancedTo = to
	}
	for _, k := range s.kindOrder {
		k.rate.fade(step)
	}
}

// silentWatchRate returns the learned rate, per second, at which the source's watch falls silent.
func (v *View) silentWatchRate(s *trackedSource) float64 {
	priorSeconds := priorSilentWatches / v.settings.SilentWatchRate
	return (priorSilentWatches + s.silentWatches) / (priorSeconds + s.watchedSeconds)
}

// meanDelay returns the mean time, in seconds, for which an entry of a live view is wrong before its change arrives.
// Changes that never arrive are included.
func (s *trackedSource) meanDelay() float64 {
	return (priorDelaySeconds + s.changedWhileLive) / (1 + s.hazardWhileLive)
}

// survival returns the probability that an entry is unchanged if the content was last current at the time at, and the
// entry's cumulative hazard since then.
func (v *View) survival(e *trackedEntry, now, at time.Duration) (probability, hazard float64) {
	checkedAt := max(e.confirmedAt, e.checkedAt)
	if v.settings.omitted == termRate { // the mean of the default prior for every kind
		rate := DefaultPrior.Changes / DefaultPrior.Exposure.Seconds()
		hazard = rate * (now - max(at, checkedAt)).Seconds()
		return math.Exp(-hazard), hazard
	}
	hazard = e.kind.rate.Hazard(now - at)
	if checkedAt > at {
		hazard -= e.kind.rate.Hazard(checkedAt - at)
	}
	hazard = max(0, hazard) // rounding may make the difference negative
	return e.kind.rate.Survival(hazard), hazard
}

// survivalLive returns the probability that an entry is unchanged if its source is followed live.
func (v *View) survivalLive(e *trackedEntry, now time.Duration) float64 {
	delay := e.source.meanDelay()
	if e.confirmedAt != never {
		delay = min(delay, (now - e.confirmedAt).Seconds())
	}
	return math.Exp(-e.kind.rate.Current() * max(0, delay))
}

// survivalUnfollowed returns the probability that an entry is unchanged if its source is not followed.
func (v *View) survivalUnfollowed(e *trackedEntry, now time.Duration) float64 {
	probability, weight := 0.0, 0.0
	for _, hypotheses := range e.source.filter.unfollowed() {
		for _, h := range hypotheses {
			survival, _ := v.survival(e, now, h.at)
			probability += h.weight * survival
			weight += h.weight
		}
	}
	if weight < minWeight {
		return 1
	}
	return probability / weight
}

// applyOdds multiplies the odds of a probability by a factor.
func applyOdds(probability, factor float64) float64 {
	if factor == 1 {
		return probability
	}
	probability = min(probability, maxCertainty)
	return factor * probability / (factor*probability + 1 - probability)
}

// confidence returns the probability that an entry is as listed, without advancing the filter.
func (v *View) confidence(e *trackedEntry, now time.Duration) float64 {
	f := &e.source.filter
	confidence := f.live * applyOdds(v.survivalLive(e, now), e.odds)
	for _, hypotheses := range f.unfollowed() {
		for _, h := range hypotheses {
			if h.weight < minHypothesisWeight {
				continue
			}
			survival, _ := v.survival(e, now, h.at)
			if e.odds != 1 {
				survival *= applyOdds(e.unfollowedSurvival, e.odds)
			}
			confidence += h.weight * survival
		}
	}
	return confidence
}

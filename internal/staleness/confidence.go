package staleness

import (
	"math"
	"time"
)

const (
	// maxAdvance is the longest time that may pass before a filter is advanced. Callers that ask more often get the
	// filter as it stands, which bounds their cost.
	maxAdvance = 50 * time.Millisecond
	// maxAdvanceSteps bounds the steps of one advance after a long time.
	maxAdvanceSteps = 32
	// minAdvanceDivisor sets the part of the usual gap that must pass before a filter is advanced, if that is less
	// than maxAdvance.
	minAdvanceDivisor = 20
	// stepsPerGap is how many steps of an advance the usual gap between two messages has.
	stepsPerGap = 4
	// priorSilentWatches is the weight of Settings.SilentWatchRate, in silent watches.
	priorSilentWatches = .5
	// priorDelaySeconds is the mean delay of a change, with the weight of one change, before any was observed.
	priorDelaySeconds = .2
	// minHypothesisWeight is the weight below which a hypothesis does not change a confidence.
	minHypothesisWeight = 1e-5
	// maxCertainty keeps a probability below 1, so that evidence can contradict it.
	maxCertainty = 1 - 1e-6
)

// Confidence is the probability that an entry is as listed, so that acting on it now is right. It is 0 for an entry
// that is not listed.
func (v *View) Confidence(now time.Duration, name string) float64 {
	e := v.entries[name]
	if e == nil {
		return 0
	}
	v.advance(e.source, now)
	return v.confidence(e, now)
}

// advance brings a source's filter up to now: the silence since the last step makes a silent watch more likely.
func (v *View) advance(s *trackedSource, now time.Duration) {
	if now-s.advancedTo < min(s.gaps.Percentile90()/minAdvanceDivisor, maxAdvance) {
		return
	}
	if s.heardAt == never { // only restored content, which is not followed anyway
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
		stillSilent := s.gaps.stillSilent(s.advancedTo-s.heardAt, to-s.heardAt)
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

// silentWatchRate is the learned rate, per second, at which the source's watch falls silent.
func (v *View) silentWatchRate(s *trackedSource) float64 {
	priorSeconds := priorSilentWatches / v.settings.SilentWatchRate
	return (priorSilentWatches + s.silentWatches) / (priorSeconds + s.watchedSeconds)
}

// meanDelay is for how many seconds an entry of a live view is wrong before its change arrives, on average over all
// changes, including those that never arrive.
func (s *trackedSource) meanDelay() float64 {
	return (priorDelaySeconds + s.wrongWhileLive) / (1 + s.hazardWhileLive)
}

// survival is the probability that an entry is unchanged if the content is that of the moment at, and the cumulative
// hazard that it went through.
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

// survivalLive is the probability that an entry is unchanged if its source is followed live.
func (v *View) survivalLive(e *trackedEntry, now time.Duration) float64 {
	delay := e.source.meanDelay()
	if e.confirmedAt != never {
		delay = min(delay, (now - e.confirmedAt).Seconds())
	}
	return math.Exp(-e.kind.rate.Current() * max(0, delay))
}

// survivalUnfollowed is the probability that an entry is unchanged if its source is not followed.
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

// confidence is the probability that an entry is as listed, by the filter as it stands.
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

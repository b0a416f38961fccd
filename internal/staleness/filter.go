package staleness

import (
	"math"
	"time"
)

const (
	// maxHypotheses bounds the hypotheses per state (silent or stale).
	maxHypotheses = 14
	// minWeight is the weight at which a hypothesis is dropped.
	minWeight = 1e-9
	// minTotalWeight is the total weight below which an observation counts as impossible in every state: the weights
	// are then not normalized.
	minTotalWeight = 1e-200
	// staleAfterChanges is the part of the stale weight that remains when changes arrive, because a stale source may
	// send some too.
	staleAfterChanges = .05
	// mergeAgeSeconds keeps the merge cost of very recent hypotheses finite.
	mergeAgeSeconds = .1
	// minMergeWeight makes the merge cost of hypotheses of almost no weight depend on their distance in time.
	minMergeWeight = 1e-12
)

// hypothesis assumes that the content of a source was last current at one moment.
type hypothesis struct {
	at     time.Duration // the moment at which the content was last current
	weight float64       // probability
}

// filter is the posterior over the state of a source. It is the Bayes filter of a Markov chain with transitions from
// live to silent, from live to stale and from stale back to live. The silent and the stale state are divided by the
// moment at which the content was last current, into a bounded number of hypotheses. All weights add up to 1.
type filter struct {
	live   float64      // probability that the source is followed live
	silent []hypothesis // nothing arrives: a dead watch, a one-way partition, an outage; in order of time
	stale  []hypothesis // answers arrive and carry old data; in order of time
}

// transitionRates are the rates of the transitions between states, per second.
type transitionRates struct {
	silence  float64 // live to silent
	stale    float64 // live to stale
	recovery float64 // stale to live
}

// unfollowed returns the hypotheses under which the source is not followed.
func (f *filter) unfollowed() [2][]hypothesis { return [2][]hypothesis{f.silent, f.stale} }

// total returns the sum of all weights.
func (f *filter) total() float64 {
	total := f.live
	for _, h := range f.silent {
		total += h.weight
	}
	for _, h := range f.stale {
		total += h.weight
	}
	return total
}

// update multiplies each weight by the likelihood of an observation and normalizes. live is the likelihood if the
// source is followed live.
func (f *filter) update(live float64, likelihood func(h hypothesis, silent bool) float64) {
	f.live *= live
	for i := range f.silent {
		f.silent[i].weight *= likelihood(f.silent[i], true)
	}
	for i := range f.stale {
		f.stale[i].weight *= likelihood(f.stale[i], false)
	}
	f.normalize()
}

// normalize scales the weights so that they add up to 1, and drops hypotheses below minWeight. It does nothing if
// the sum is not above minTotalWeight.
func (f *filter) normalize() {
	total := f.total()
	if !(total > minTotalWeight) { // also if total is not a number
		return
	}
	f.live /= total
	f.silent = normalizeHypotheses(f.silent, total)
	f.stale = normalizeHypotheses(f.stale, total)
}

// normalizeHypotheses divides the weights by the total and drops hypotheses below minWeight, in place.
func normalizeHypotheses(hypotheses []hypothesis, total float64) []hypothesis {
	kept := hypotheses[:0]
	for _, h := range hypotheses {
		h.weight /= total
		if h.weight > minWeight {
			kept = append(kept, h)
		}
	}
	return kept
}

// addHypothesis appends a hypothesis, which must not be earlier than the others. Beyond maxHypotheses it merges the two
// neighbors with the lowest mergeCost.
func addHypothesis(hypotheses []hypothesis, at time.Duration, weight float64, now time.Duration) []hypothesis {
	if weight <= 0 {
		return hypotheses
	}
	hypotheses = append(hypotheses, hypothesis{at: at, weight: weight})
	if len(hypotheses) <= maxHypotheses {
		return hypotheses
	}
	cheapest, minCost := 0, math.Inf(1)
	for i := 0; i+1 < len(hypotheses); i++ {
		if cost := mergeCost(hypotheses[i], hypotheses[i+1], now); cost < minCost {
			cheapest, minCost = i, cost
		}
	}
	hypotheses[cheapest] = merged(hypotheses[cheapest], hypotheses[cheapest+1])
	return append(hypotheses[:cheapest+1], hypotheses[cheapest+2:]...)
}

// mergeCost returns a cost that grows with the weights and with the distance in time relative to the age.
func mergeCost(earlier, later hypothesis, now time.Duration) float64 {
	weight := earlier.weight*later.weight/(earlier.weight+later.weight) + minMergeWeight
	distance := (later.at - earlier.at).Seconds() / (mergeAgeSeconds + (now - later.at).Seconds())
	return weight * math.Log1p(distance)
}

// merged returns one hypothesis with the sum of the weights, at the weighted mean of the two moments.
func merged(earlier, later hypothesis) hypothesis {
	weight := earlier.weight + later.weight
	offset := time.Duration(float64(later.at-earlier.at) * later.weight / weight)
	return hypothesis{at: earlier.at + offset, weight: weight}
}

// advance updates the weights for a time span without messages. stillSilent is the probability that a live watch sends
// nothing in the whole span.
func (f *filter) advance(from, to time.Duration, stillSilent float64, rates transitionRates) {
	seconds := (to - from).Seconds()
	if seconds <= 0 {
		return
	}
	middle := from + (to-from)/2
	live := f.live
	toSilent := -math.Expm1(-rates.silence * seconds)
	toStale := -math.Expm1(-rates.stale * seconds)
	toLive := -math.Expm1(-rates.recovery * seconds)
	recovered := 0.0
	for i := range f.stale {
		recovered += f.stale[i].weight * toLive
		f.stale[i].weight *= (1 - toLive) * stillSilent
	}
	f.live = (live*(1-toSilent)*(1-toStale) + recovered) * stillSilent
	f.silent = addHypothesis(f.silent, middle, live*toSilent*(1+stillSilent)/2, to)
	f.stale = addHypothesis(f.stale, middle, live*(1-toSilent)*toStale*stillSilent, to)
	f.normalize()
}

// received updates the weights after a message: the watch is not silent, and if the message carried changes, most of
// the weight of the stale hypotheses moves to live.
func (f *filter) received(changes bool) {
	for _, h := range f.silent {
		f.live += h.weight
	}
	f.silent = f.silent[:0]
	if changes {
		for i := range f.stale {
			f.live += f.stale[i].weight * (1 - staleAfterChanges)
			f.stale[i].weight *= staleAfterChanges
		}
	}
	f.normalize()
}

// silence moves the weight of live to the hypothesis that the watch has been silent since the moment at.
func (f *filter) silence(at, now time.Duration) {
	f.silent = addHypothesis(f.silent, at, f.live, now)
	f.live = 0
	f.normalize()
}

// collapse puts all weight on the hypothesis that the content was last current at one moment.
func (f *filter) collapse(at time.Duration) {
	f.live = 0
	f.silent = append(f.silent[:0], hypothesis{at: at, weight: 1})
	f.stale = f.stale[:0]
}

// silentWeight returns the probability that the watch is silent.
func (f *filter) silentWeight() float64 {
	weight := 0.0
	for _, h := range f.silent {
		weight += h.weight
	}
	return weight
}

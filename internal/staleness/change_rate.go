package staleness

import (
	"math"
	"time"
)

// Prior is the change rate of a kind of entry before anything was observed: a Gamma distribution, the conjugate prior
// of Poisson counts, so that observed changes and exposure add to it. Its predictive distribution (Lomax) has the heavy
// tail that a poorly known rate needs.
type Prior struct {
	Changes  float64       // number of changes that count as observed; the shape of the distribution
	Exposure time.Duration // entries times the time in which they were observed
}

// DefaultPrior is one change per 250 s, with the weight of half a change: a hundred seconds of twenty entries overrule
// it.
var DefaultPrior = Prior{Changes: 0.5, Exposure: 125 * time.Second}

const (
	// longMemory is the time constant with which old counts fade.
	longMemory = 900 * time.Second
	// burstMemory is the time constant of the rate in a burst of changes, such as a deployment.
	burstMemory = 8 * time.Second
	// trialMemory is the time constant of attempts on entries of a source that is not followed.
	trialMemory = 12 * time.Second
	// burstPriorSeconds is the exposure, in seconds of one entry, with which the burst rate begins at the long-term
	// rate.
	burstPriorSeconds = 20.0
)

// ChangeRate estimates how often entries of one kind change. Changes come in bursts, so there is a long-term rate and a
// current rate that fades back to it: a self-exciting process (Hawkes, Biometrika 1971) with one exponential.
type ChangeRate struct {
	prior         Prior
	longChanges   float64
	longExposure  float64 // entries times seconds
	burstChanges  float64
	burstExposure float64 // entries times seconds
	trialChanges  float64 // entries found changed by attempts while the source was not followed
	trialHazard   float64 // cumulative hazard of the unchanged ones
	shape         float64
}

// NewChangeRate begins with a prior. shape is that of the Gamma distribution of mean 1 by which the true rate of the
// next span differs from the learned one: the smaller, the more often bursts come unannounced.
func NewChangeRate(prior Prior, shape float64) *ChangeRate {
	return &ChangeRate{prior: prior, shape: shape}
}

// Observe adds a time in which a number of entries was followed live, and their changes.
func (r *ChangeRate) Observe(elapsed time.Duration, entries, changes int) {
	seconds := max(0, elapsed.Seconds())
	if seconds > 0 {
		long := math.Exp(-seconds / longMemory.Seconds())
		r.longChanges *= long
		r.longExposure *= long
		burst := math.Exp(-seconds / burstMemory.Seconds())
		r.burstChanges *= burst
		r.burstExposure *= burst
	}
	exposure := seconds * float64(entries)
	r.longChanges += float64(changes)
	r.longExposure += exposure
	r.burstChanges += float64(changes)
	r.burstExposure += exposure
}

// LongTerm is the changes per second of one entry over a long time.
func (r *ChangeRate) LongTerm() float64 {
	return (r.prior.Changes + r.longChanges) / (r.prior.Exposure.Seconds() + r.longExposure)
}

// Current is the changes per second of one entry in the last seconds.
func (r *ChangeRate) Current() float64 {
	return (r.LongTerm()*burstPriorSeconds + r.burstChanges) / (burstPriorSeconds + r.burstExposure)
}

// Hazard is the cumulative hazard of the next span: the changes that are expected of one entry.
func (r *ChangeRate) Hazard(span time.Duration) float64 {
	seconds := span.Seconds()
	if seconds <= 0 {
		return 0
	}
	long := r.LongTerm()
	burst := (r.Current() - long) * burstMemory.Seconds() * -math.Expm1(-seconds/burstMemory.Seconds())
	return max(0, long*seconds+burst)
}

// Survival is the probability that an entry comes through a cumulative hazard unchanged.
func (r *ChangeRate) Survival(hazard float64) float64 {
	return math.Exp(-(r.shape + r.trialChanges) * math.Log1p(hazard/(r.shape+r.trialHazard)))
}

// ObserveTrial adds an attempt on an entry of a source that is not followed: the cumulative hazard that the entry went
// through, and the probability that it was found changed.
func (r *ChangeRate) ObserveTrial(hazard, changed float64) {
	r.trialChanges += changed
	r.trialHazard += hazard
}

// resetTrials forgets the trials: the source is followed again.
func (r *ChangeRate) resetTrials() {
	r.trialChanges = 0
	r.trialHazard = 0
}

// fade lets older trials count less.
func (r *ChangeRate) fade(elapsed time.Duration) {
	factor := math.Exp(-elapsed.Seconds() / trialMemory.Seconds())
	r.trialChanges *= factor
	r.trialHazard *= factor
}

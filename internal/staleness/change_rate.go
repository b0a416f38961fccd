package staleness

import (
	"math"
	"time"
)

// Prior describes the change rate of a kind of entry before anything was observed: a Gamma distribution, the conjugate
// prior of Poisson counts, so that observed changes and exposure are added to it. Its predictive distribution (Lomax)
// has the heavy tail that a poorly known rate needs.
type Prior struct {
	Changes  float64       // number of changes that count as observed; the shape of the distribution
	Exposure time.Duration // entries times the time in which they were observed
}

// DefaultPrior is one change per 250 s with the weight of half a change, so that observations of twenty entries over a
// hundred seconds outweigh it.
var DefaultPrior = Prior{Changes: 0.5, Exposure: 125 * time.Second}

const (
	// longMemory is the time constant with which the counts of the long-term rate decay.
	longMemory = 900 * time.Second
	// burstMemory is the time constant of the rate in a burst of changes, such as a deployment.
	burstMemory = 8 * time.Second
	// trialMemory is the time constant with which attempts on entries of a source that is not followed decay.
	trialMemory = 12 * time.Second
	// burstPriorSeconds is the weight of the long-term rate in the current rate, as an exposure in seconds of one
	// entry.
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
	trialHazard   float64 // cumulative hazard of the entries that the attempts found unchanged
	shape         float64 // see NewChangeRate
}

// NewChangeRate returns an estimator that starts with a prior. shape is the shape of the Gamma distribution with mean 1
// of the factor between the true rate of the next time span and the learned rate: the smaller it is, the more often
// bursts are expected without earlier changes.
func NewChangeRate(prior Prior, shape float64) *ChangeRate {
	return &ChangeRate{prior: prior, shape: shape}
}

// Observe adds the changes of a number of entries whose source was followed live for the elapsed time.
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

// LongTerm returns the long-term rate, in changes per second of one entry.
func (r *ChangeRate) LongTerm() float64 {
	return (r.prior.Changes + r.longChanges) / (r.prior.Exposure.Seconds() + r.longExposure)
}

// Current returns the rate of the last seconds, in changes per second of one entry.
func (r *ChangeRate) Current() float64 {
	return (r.LongTerm()*burstPriorSeconds + r.burstChanges) / (burstPriorSeconds + r.burstExposure)
}

// Hazard returns the cumulative hazard of the next time span: the expected number of changes of one entry.
func (r *ChangeRate) Hazard(span time.Duration) float64 {
	seconds := span.Seconds()
	if seconds <= 0 {
		return 0
	}
	long := r.LongTerm()
	burst := (r.Current() - long) * burstMemory.Seconds() * -math.Expm1(-seconds/burstMemory.Seconds())
	return max(0, long*seconds+burst)
}

// Survival returns the probability that an entry is unchanged after a cumulative hazard.
func (r *ChangeRate) Survival(hazard float64) float64 {
	return math.Exp(-(r.shape + r.trialChanges) * math.Log1p(hazard/(r.shape+r.trialHazard)))
}

// ObserveTrial adds an attempt on an entry of a source that is not followed: the entry's cumulative hazard since the
// content was current, and the probability that the attempt found the entry changed.
func (r *ChangeRate) ObserveTrial(hazard, changed float64) {
	r.trialChanges += changed
	r.trialHazard += hazard
}

// resetTrials discards the trials once the source is followed again.
func (r *ChangeRate) resetTrials() {
	r.trialChanges = 0
	r.trialHazard = 0
}

// fade reduces the weight of earlier trials.
func (r *ChangeRate) fade(elapsed time.Duration) {
	factor := math.Exp(-elapsed.Seconds() / trialMemory.Seconds())
	r.trialChanges *= factor
	r.trialHazard *= factor
}

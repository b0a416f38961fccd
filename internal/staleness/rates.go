package staleness

import (
	"math"
	"time"
)

// Prior is what is believed of a kind of entry before anything was seen: a Gamma distribution of its rate of change. Gamma is the
// conjugate of the Poisson count, so that Changes over Exposure simply add to what is counted, and what it predicts for a span
// (Lomax) has the heavy tail that a rate known badly must have.
type Prior struct {
	Changes  float64       // the shape: changes that count as seen
	Exposure time.Duration // in which: entries times time
}

// DefaultPrior is a change in 250 s, worth half a change: a hundred seconds of twenty entries overrule it. Chosen on the seeds 1 to 10
// of the calibration.
var DefaultPrior = Prior{Changes: 0.5, Exposure: 125 * time.Second}

const (
	longMemory  = 900 * time.Second // time constant with which old counts fade
	burstMemory = 8 * time.Second   // of the rate in a burst of releases
	trialMemory = 12 * time.Second  // of attempts as trials of the rate while nothing is heard
	burstPrior  = 20.0              // seconds of an entry at the long rate that the burst's estimate begins with

)

// ChangeRate is how often entries of one kind change. Changes come in bursts (releases), so there is a long rate and a short one, which
// is taken to fade back: a self-exciting process (Hawkes, Biometrika 1971) with one exponential.
type ChangeRate struct {
	prior                       Prior
	longChanges, longExposure   float64 // long counts: changes, and seconds of entries
	burstChanges, burstExposure float64 // of the burst
	trialChanges, trialHazard   float64 // while nothing is heard: entries that were found wrong; hazard that right ones came through
	shape                       float64 // shape of what multiplies the rate while nothing is heard
}

// NewChangeRate begins with a prior. spread is the shape of the Gamma (mean 1) by which the true rate of the next span differs from what
// was learned; small for releases that come from nowhere.
func NewChangeRate(p Prior, spread float64) *ChangeRate { return &ChangeRate{prior: p, shape: spread} }

// Observe adds time in which so many entries were followed live, and the changes of them.
func (r *ChangeRate) Observe(d time.Duration, entries, changes int) {
	s := max(0, d.Seconds())
	if s > 0 {
		f, b := math.Exp(-s/longMemory.Seconds()), math.Exp(-s/burstMemory.Seconds())
		r.longChanges, r.longExposure, r.burstChanges, r.burstExposure = r.longChanges*f, r.longExposure*f, r.burstChanges*b, r.burstExposure*b
	}
	e := s * float64(entries)
	r.longChanges, r.longExposure = r.longChanges+float64(changes), r.longExposure+e
	r.burstChanges, r.burstExposure = r.burstChanges+float64(changes), r.burstExposure+e
}

// LongTerm is changes a second of one entry, over a long time.
func (r *ChangeRate) LongTerm() float64 {
	return (r.prior.Changes + r.longChanges) / (r.prior.Exposure.Seconds() + r.longExposure)
}

// Current is the same in the last seconds.
func (r *ChangeRate) Current() float64 {
	return (r.LongTerm()*burstPrior + r.burstChanges) / (burstPrior + r.burstExposure)
}

// Hazard is the changes expected of one entry in the next span.
func (r *ChangeRate) Hazard(d time.Duration) float64 {
	s := d.Seconds()
	if s <= 0 {
		return 0
	}
	long := r.LongTerm()
	return max(0, long*s+(r.Current()-long)*burstMemory.Seconds()*-math.Expm1(-s/burstMemory.Seconds()))
}

// Survival is the chance that an entry came through a hazard unchanged.
func (r *ChangeRate) Survival(hazard float64) float64 {
	return math.Exp(-(r.shape + r.trialChanges) * math.Log1p(hazard/(r.shape+r.trialHazard)))
}

// ObserveTrial notes that an entry which went through a hazard while nothing was heard was found changed or not.
func (r *ChangeRate) ObserveTrial(hazard, changed float64) {
	r.trialChanges += changed
	r.trialHazard += hazard
}

// fade lets trials of d ago count less.
func (r *ChangeRate) fade(d time.Duration) {
	f := math.Exp(-d.Seconds() / trialMemory.Seconds())
	r.trialChanges, r.trialHazard = r.trialChanges*f, r.trialHazard*f
}

package calibrate

import (
	"math"
	"slices"
	"time"
)

const (
	// deciles is the number of ranges of the estimated probability.
	deciles = 10
	// minDecileAttempts is the minimum number of attempts for a decile to be evaluated.
	minDecileAttempts = 100
	// baselineTransit is the transit time that the baseline adds to the time since the last message.
	baselineTransit = 250 * time.Millisecond
)

// Decile sums up the attempts whose estimated probability was within one tenth of the range 0 to 1.
type Decile struct {
	Attempts    int
	EstimateSum float64 // sum of the estimated probabilities
	Unchanged   int     // servers that were as listed
}

// Bias returns the observed fraction of unchanged servers minus the mean estimate, or 0 without attempts.
func (d Decile) Bias() float64 {
	if d.Attempts == 0 {
		return 0
	}
	return float64(d.Unchanged)/float64(d.Attempts) - d.EstimateSum/float64(d.Attempts)
}

// Score is the accuracy of one estimator.
type Score struct {
	Deciles  [deciles]Decile
	BrierSum float64 // sum of squared errors of the probabilities (Brier, 1950)

	Ages          int       // number of age bounds that were checked
	AgesCovered   int       // age bounds that were not below the age of information; see checkAge
	MissedCovered int       // age bounds that were not below the age of the first missed change
	StaleAnswers  int       // bounds that were below the age of information while discovery answered with an old list
	ratios        []float64 // age bound divided by age of information, for ages above 0
}

// Result is the outcome of simulations.
type Result struct {
	Estimate Score // of package staleness
	Baseline Score // of the baseline; see the package comment
	// SilentWatch is the score of package staleness for attempts during which the proxy had a watch that was silent.
	SilentWatch Score
	Attempts    int
	UnknownAges int // age checks at which the age was not known
}

// attemptOutcome holds the probabilities of two estimators for an attempt, and the true outcome.
type attemptOutcome struct {
	estimate  float64
	baseline  float64
	unchanged bool // the server was as listed
	silent    bool // the watch was silent
}

// ageOutcome holds a bound of the age, and the true ages.
type ageOutcome struct {
	information      time.Duration // age of information
	missed           time.Duration // age of the first missed change
	bound            time.Duration
	sinceLastMessage time.Duration
	staleAnswer      bool // discovery answered with an old list
}

func (s *Score) addAttempt(estimate float64, unchanged bool) {
	d := &s.Deciles[min(deciles-1, int(estimate*deciles))]
	d.Attempts++
	d.EstimateSum += estimate
	truth := 0.0
	if unchanged {
		d.Unchanged++
		truth = 1
	}
	s.BrierSum += (truth - estimate) * (truth - estimate)
}

func (r *Result) addAttempt(a attemptOutcome) {
	r.Attempts++
	if a.silent {
		r.SilentWatch.addAttempt(a.estimate, a.unchanged)
	}
	r.Estimate.addAttempt(a.estimate, a.unchanged)
	r.Baseline.addAttempt(a.baseline, a.unchanged)
}

func (s *Score) addAge(a ageOutcome, bound time.Duration) {
	s.Ages++
	switch {
	case a.information <= bound:
		s.AgesCovered++
	case a.staleAnswer:
		s.StaleAnswers++
	}
	if a.missed <= bound {
		s.MissedCovered++
	}
	if a.information > 0 {
		s.ratios = append(s.ratios, float64(bound)/float64(a.information))
	}
}

func (r *Result) addAge(a ageOutcome) {
	r.Estimate.addAge(a, a.bound)
	r.Baseline.addAge(a, a.sinceLastMessage+baselineTransit)
}

// WorstBias returns the largest absolute bias of a decile with at least a hundred attempts.
func (s *Score) WorstBias() float64 {
	worst := 0.0
	for _, d := range s.Deciles {
		if d.Attempts >= minDecileAttempts {
			worst = max(worst, math.Abs(d.Bias()))
		}
	}
	return worst
}

// Coverage returns the fraction of age bounds that were not below the age of information.
func (s *Score) Coverage() float64 { return float64(s.AgesCovered) / float64(max(1, s.Ages)) }

// CoverageWithoutStaleAnswers returns the same as Coverage, but leaves out the bounds that were too low because the
// discovery service answered with an old list.
func (s *Score) CoverageWithoutStaleAnswers() float64 {
	return float64(s.AgesCovered) / float64(max(1, s.Ages-s.StaleAnswers))
}

// CoverageOfMissed returns the fraction of age bounds that were not below the age of the first missed change.
func (s *Score) CoverageOfMissed() float64 { return float64(s.MissedCovered) / float64(max(1, s.Ages)) }

// MedianRatio returns the median of the bound divided by the age of information, or infinity if there is no bound.
func (s *Score) MedianRatio() float64 {
	if len(s.ratios) == 0 {
		return math.Inf(1)
	}
	return slices.Sorted(slices.Values(s.ratios))[len(s.ratios)/2]
}

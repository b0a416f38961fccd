package rollout

import (
	"errors"
	"fmt"
	"time"
)

// Bounds of the settings.
const (
	maxLooksPerStep = 100
	minErrorRate    = 1e-6
	maxErrorRate    = 0.5
)

// Settings control how a version is rolled out.
type Settings struct {
	// Steps are the fractions of the fleet that have the version in each step, in ascending order; the last is 1.
	Steps []float64
	// StepDuration is the minimum duration of each step.
	StepDuration time.Duration
	// WatchDuration is how long the fleet is watched after all have the version; see RegressionWatch.
	WatchDuration time.Duration
	// LooksPerStep is how often the reports are tested for harm in each step.
	LooksPerStep int
	// MinRequests is the minimum number of requests in a step, of the proxies with the version and of those without it
	// each, before a look.
	MinRequests int64
	// Margin is the rise of the share of bad requests, 0 to 1, that does not count as harm.
	Margin float64
	// GrossMargin stops a rollout without the statistical test: it is stopped if the share of bad requests of more than
	// half of the proxies with the version exceeds the mean of the others by more than this, 0 to 1.
	GrossMargin float64
	// ErrorRate bounds the probability that a harmless version is stopped.
	ErrorRate float64
	// SmallFleetErrorRate is the bound in a fleet of fewer than about 32 proxies, which has too few possible draws for
	// ErrorRate. The rate is then as close to ErrorRate as the number of draws allows.
	SmallFleetErrorRate float64
	// SilenceTimeout is the time without a report after which a proxy counts as failed. If StepDuration is shorter, a
	// proxy can count as failed earlier.
	SilenceTimeout time.Duration
}

// DefaultSettings returns settings for 9,500 rollouts a day in a fleet of hundreds to thousands of proxies that report
// once per second. With their ErrorRate at most 0.1 harmless versions are stopped per day.
func DefaultSettings() Settings {
	return Settings{
		Steps:               []float64{0.03, 0.2, 1},
		StepDuration:        2500 * time.Millisecond,
		WatchDuration:       time.Minute,
		LooksPerStep:        1,
		MinRequests:         1000,
		Margin:              0.002,
		GrossMargin:         0.2,
		ErrorRate:           1e-5,
		SmallFleetErrorRate: 0.01,
		SilenceTimeout:      10 * time.Second,
	}
}

// Validate returns an error that lists all invalid settings, each by its key in the configuration file, or nil.
func (s *Settings) Validate() error {
	var errs []error
	addIf := func(invalid bool, format string, args ...any) {
		if invalid {
			errs = append(errs, fmt.Errorf(format, args...))
		}
	}
	addIf(!s.stepsRiseToOne(), "steps: %v must be fractions above 0 in ascending order, the last of them 1", s.Steps)
	addIf(s.StepDuration <= 0, "step: %v must be above 0", s.StepDuration)
	addIf(s.WatchDuration <= 0, "watch: %v must be above 0", s.WatchDuration)
	addIf(s.LooksPerStep < 1 || s.LooksPerStep > maxLooksPerStep, "looks: %d is not between 1 and 100", s.LooksPerStep)
	addIf(s.MinRequests < 1, "enough: %d must be above 0", s.MinRequests)
	addIf(!within(s.Margin, 0, 1) || s.Margin == 1, "margin: %v must be at least 0 and below 1", s.Margin)
	addIf(!within(s.GrossMargin, s.Margin, 1) || s.GrossMargin == s.Margin,
		"gross: %v must be above the margin and at most 1", s.GrossMargin)
	addIf(!within(s.ErrorRate, minErrorRate, maxErrorRate), "error: %v is not between 0.000001 and 0.5", s.ErrorRate)
	addIf(!within(s.SmallFleetErrorRate, s.ErrorRate, maxErrorRate),
		"small: %v is not between the value of error and 0.5", s.SmallFleetErrorRate)
	addIf(s.SilenceTimeout <= 0, "silent: %v must be above 0", s.SilenceTimeout)
	return errors.Join(errs...)
}

// within reports whether low <= value <= high. It is false if value is NaN.
func within(value, low, high float64) bool { return value >= low && value <= high }

// stepsRiseToOne reports whether Steps is strictly ascending from above 0 to 1. It is false for NaN.
func (s *Settings) stepsRiseToOne() bool {
	last := 0.0
	for _, share := range s.Steps {
		if !(share > last && share <= 1) {
			return false
		}
		last = share
	}
	return last == 1
}

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
	// Steps are the fractions of the fleet that have the version in each step, rising; the last is 1.
	Steps []float64
	// StepDuration is the shortest duration of each step.
	StepDuration time.Duration
	// WatchDuration is how long the fleet is watched after all have the version; see RegressionWatch.
	WatchDuration time.Duration
	// LooksPerStep is how often the figures are tested in each step.
	LooksPerStep int
	// MinRequests is how many requests each side needs in a step before a look.
	MinRequests int64
	// Margin is by how much the share of bad requests, 0 to 1, may rise without mattering.
	Margin float64
	// GrossMargin is a rise of that share, of more than half of the proxies with the version, that stops a step
	// whatever the test can tell.
	GrossMargin float64
	// ErrorRate bounds the probability that a harmless version is stopped.
	ErrorRate float64
	// SmallFleetErrorRate bounds it in a fleet of fewer than about 32 proxies, where draws are too few for ErrorRate.
	// The rate is then as near to ErrorRate as the draws allow.
	SmallFleetErrorRate float64
	// SilenceTimeout is the time without a report after which a proxy counts as failed. In a shorter step less time is
	// enough.
	SilenceTimeout time.Duration
}

// DefaultSettings suit 9,500 rollouts a day in a fleet of hundreds to thousands of proxies that report once per second.
// ErrorRate then stops at most 0.1 harmless versions a day.
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

// Validate returns all settings that make no sense, by the key of the configuration file.
func (s *Settings) Validate() error {
	var errs []error
	addIf := func(wrong bool, format string, args ...any) {
		if wrong {
			errs = append(errs, fmt.Errorf(format, args...))
		}
	}
	addIf(!s.stepsRiseToOne(), "steps: %v: wanted shares that rise to 1", s.Steps)
	addIf(s.StepDuration <= 0, "step: %v must be above 0", s.StepDuration)
	addIf(s.WatchDuration <= 0, "watch: %v must be above 0", s.WatchDuration)
	addIf(s.LooksPerStep < 1 || s.LooksPerStep > maxLooksPerStep, "looks: %d is not within 1 and 100", s.LooksPerStep)
	addIf(s.MinRequests < 1, "enough: %d must be above 0", s.MinRequests)
	addIf(!within(s.Margin, 0, 1) || s.Margin == 1, "margin: %v is not within 0 and 1", s.Margin)
	addIf(!within(s.GrossMargin, s.Margin, 1) || s.GrossMargin == s.Margin,
		"gross: %v is not within the margin and 1", s.GrossMargin)
	addIf(!within(s.ErrorRate, minErrorRate, maxErrorRate), "error: %v is not within 0.000001 and 0.5", s.ErrorRate)
	addIf(!within(s.SmallFleetErrorRate, s.ErrorRate, maxErrorRate),
		"small: %v is not within the error and 0.5", s.SmallFleetErrorRate)
	addIf(s.SilenceTimeout <= 0, "silent: %v must be above 0", s.SilenceTimeout)
	return errors.Join(errs...)
}

// within is false for a value that is not a number.
func within(value, low, high float64) bool { return value >= low && value <= high }

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

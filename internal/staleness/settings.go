package staleness

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

// SourceSettings describes one source of a view, such as a discovery watch or the policy.
type SourceSettings struct {
	Name string
	// HeartbeatInterval is the expected time between two messages, 10ms to 1h.
	HeartbeatInterval time.Duration
	// AffectsAllRoutes makes the source one value instead of a list: a single entry of the source's name and kind, on
	// which every route depends.
	AffectsAllRoutes bool
}

// Settings configure a view. Each field that is 0 gets its default, except Sources.
type Settings struct {
	Sources []SourceSettings
	// Kinds are prior change rates by kind of entry. Other kinds have DefaultPrior.
	Kinds map[string]Prior
	// RateShape is the shape of the change rates; see NewChangeRate. Default 3.
	RateShape float64
	// SilentWatchRate is the expected rate per second at which a watch falls silent, before any silent watch was
	// observed. Default 1/200.
	SilentWatchRate float64
	// StaleAnswerRate is the expected rate per second at which a source begins to answer with stale data. Default
	// 1/1500.
	StaleAnswerRate float64
	// StaleAnswerRecoveryRate is the expected rate per second at which a source stops answering with stale data.
	// Default 1/15.
	StaleAnswerRecoveryRate float64
	// MaxTransit is the maximum transit time of a message that is not late, at most 1m. Default 250ms.
	MaxTransit time.Duration
	// StaleAnswerThreshold is the probability of stale answers, 0 to 1, above which Age includes them in its bound.
	// Stale answers look like those of a source without changes until something contradicts them, so a bound that
	// always included them would be minutes. Default .05.
	StaleAnswerThreshold float64
	// Levels are the confidence thresholds between the levels of a route.
	Levels Thresholds

	omitted estimateTerm
}

// estimateTerm is a part of the estimate that the calibration can omit.
type estimateTerm int

const (
	termNone estimateTerm = iota
	termPhi
	termRate
	termEvidence
	termSuspension
	termRestart
)

var termByName = map[string]estimateTerm{
	"phi":      termPhi,
	"rate":     termRate,
	"evidence": termEvidence,
	"stop":     termSuspension,
	"restart":  termRestart,
}

// Without returns a copy of the settings that omits a term of the estimate: phi, rate, evidence, stop (suspensions) or
// restart. Other names omit nothing. The calibration uses it to show that each term is needed.
func (s Settings) Without(term string) Settings {
	s.omitted = termByName[term]
	return s
}

const (
	// maxRate bounds the rates in settings, per second.
	maxRate              = 1000
	maxTransit           = time.Minute
	maxHeartbeatInterval = time.Hour
)

// settingsCheck collects the errors of invalid settings.
type settingsCheck struct{ errs []error }

// reject adds an InvalidSettingsError for a field if invalid is set.
func (c *settingsCheck) reject(invalid bool, field, format string, args ...any) {
	if invalid {
		c.errs = append(c.errs, InvalidSettingsError{field, fmt.Sprintf(format, args...)})
	}
}

// rate rejects a value that is not above 0 and at most maxRate. The condition is negated so that it also rejects NaN.
func (c *settingsCheck) rate(field string, value float64) {
	c.reject(!(value > 0 && value <= maxRate), field, "%v is not above 0 and at most 1000", value)
}

// setDefaultsAndCheck sets the defaults and checks all fields.
func (s *Settings) setDefaultsAndCheck() error {
	s.RateShape = cmp.Or(s.RateShape, 3)
	s.SilentWatchRate = cmp.Or(s.SilentWatchRate, 1./200)
	s.StaleAnswerRate = cmp.Or(s.StaleAnswerRate, 1./1500)
	s.StaleAnswerRecoveryRate = cmp.Or(s.StaleAnswerRecoveryRate, 1./15)
	s.StaleAnswerThreshold = cmp.Or(s.StaleAnswerThreshold, .05)
	s.MaxTransit = cmp.Or(s.MaxTransit, 250*time.Millisecond)
	var c settingsCheck
	c.rate("spread", s.RateShape)
	c.rate("silence", s.SilentWatchRate)
	c.rate("lies", s.StaleAnswerRate)
	c.rate("cure", s.StaleAnswerRecoveryRate)
	c.reject(!(s.StaleAnswerThreshold > 0 && s.StaleAnswerThreshold < 1),
		"lie_doubt", "%v is not within 0 and 1", s.StaleAnswerThreshold)
	c.reject(s.MaxTransit < 0 || s.MaxTransit > maxTransit, "transit", "%v is not within 0s and 1m", s.MaxTransit)
	c.sources(s.Sources)
	c.kinds(s.Kinds)
	return errors.Join(append(c.errs, s.Levels.setDefaultsAndCheck())...)
}

func (c *settingsCheck) sources(sources []SourceSettings) {
	c.reject(len(sources) == 0, "sources", "must have at least one source")
	seen := map[string]bool{}
	for _, source := range sources {
		c.reject(source.Name == "" || seen[source.Name], "sources", "%q is empty or occurs twice", source.Name)
		interval := source.HeartbeatInterval
		c.reject(interval < minHeartbeatInterval || interval > maxHeartbeatInterval,
			"sources."+source.Name+".beat", "%v is not within %v and 1h", interval, minHeartbeatInterval)
		seen[source.Name] = true
	}
}

func (c *settingsCheck) kinds(kinds map[string]Prior) {
	for _, kind := range slices.Sorted(maps.Keys(kinds)) {
		prior := kinds[kind]
		c.reject(!(prior.Changes > 0) || math.IsInf(prior.Changes, 0) || prior.Exposure <= 0,
			"kinds."+kind, "changes %v in %v: both must be above 0", prior.Changes, prior.Exposure)
	}
}

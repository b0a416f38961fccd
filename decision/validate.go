package decision

import (
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	// maxDuration is longer than anyone waits, and a few hundred times as much is still a Duration.
	maxDuration = 30 * 24 * time.Hour

	// maxWeightSetting is the largest weight: sums of it over all requests are still numbers.
	maxWeightSetting = 1e12

	// maxAttemptsSetting is the most attempts: an attempt's number is one byte in a timer's token and on the
	// wire.
	maxAttemptsSetting = 255

	defaultOverloadWindow = time.Second
)

// A SettingError names a setting that can't be served, by its path in the settings file, and says why.
type SettingError struct{ Field, Reason string }

// Error returns the path and the reason, as operators see them.
func (e *SettingError) Error() string { return e.Field + ": " + e.Reason }

// setting is a figure of the configuration under its name in the settings file.
type setting struct {
	name  string
	value float64
}

// Validate reports the first setting that can't be served: there must be a class, an attempt and a proxy, a
// class needs time to answer, and durations and ratios that the rules rely on must be numbers that are not
// negative. All else is served, brought to its range by Normalized. The error is a *SettingError, or nil.
func (c *Config) Validate() error {
	if len(c.Classes) == 0 {
		return &SettingError{"Services", "none given, so there is nothing to serve"}
	}
	if c.Instances < 1 {
		return &SettingError{"Balancers", fmt.Sprintf("%d, must be 1 or more", c.Instances)}
	}
	if attempts := c.Capabilities.MaxAttempts; attempts < 1 {
		reason := fmt.Sprintf("%d, must be 1 or more: no request could be sent", attempts)
		return &SettingError{"Caps.MaxAttempts", reason}
	}
	for i := range c.Classes {
		if err := c.Classes[i].validate(i); err != nil {
			return err
		}
	}
	for _, s := range c.numericSettings() {
		switch {
		case s.value < 0:
			return &SettingError{s.name, "is negative"}
		case math.IsNaN(s.value) || math.IsInf(s.value, 0):
			return &SettingError{s.name, "is no number"}
		}
	}
	return nil
}

func (c *Class) validate(index int) error {
	times := [2]setting{{"Aim", float64(c.LatencyObjective)}, {"GiveUp", float64(c.ClientTimeout)}}
	for _, s := range times {
		if s.value <= 0 {
			field := fmt.Sprintf("Services.%d.%s", index, s.name)
			return &SettingError{field, "must be above 0: no answer could be in time"}
		}
	}
	if c.DeduplicationWindow < 0 {
		return &SettingError{fmt.Sprintf("Services.%d.Window", index), "is negative"}
	}
	return nil
}

// numericSettings are the settings that must be numbers and not negative.
func (c *Config) numericSettings() []setting {
	constraints, capabilities := &c.Constraints, &c.Capabilities
	return []setting{
		{"Tick", float64(c.Tick)},
		{"RetryShare", c.RetryBudgetRatio},
		{"Obligations.AnswerSlack", float64(constraints.AnswerSlack)},
		{"Obligations.AskEvery", float64(constraints.MaxListAge)},
		{"Obligations.Cold", float64(constraints.WarmUp)},
		{"Obligations.DrainGrace", float64(constraints.DrainGrace)},
		{"Obligations.Fall", float64(constraints.OverloadWindow)},
		{"Obligations.FallMultiple", constraints.OverloadFactor},
		{"Obligations.StartCapacity", constraints.InitialCapacity},
		{"Caps.ConnIdle", float64(capabilities.ConnectionIdleTimeout)},
		{"Caps.ConnectTimeout", float64(capabilities.ConnectTimeout)},
		{"Caps.MaxRetryAfter", float64(capabilities.MaxRetryAfter)},
	}
}

// Normalized returns a copy in which weights and shares are within their ranges, and no duration is so long
// that sums of it would overflow. It shares nothing with c.
func (c *Config) Normalized() Config {
	n := *c
	n.Classes = slices.Clone(c.Classes)
	n.Tenants = slices.Clone(c.Tenants)
	constraints, capabilities := &n.Constraints, &n.Capabilities
	weights := &n.ObjectiveWeights
	capDurations(&n.Tick, &constraints.AnswerSlack, &constraints.MaxListAge, &constraints.WarmUp,
		&constraints.DrainGrace, &constraints.OverloadWindow, &capabilities.ConnectionIdleTimeout,
		&capabilities.ConnectTimeout, &capabilities.MaxRetryAfter)
	clampWeights(1, &constraints.InitialCapacity)
	clampWeights(maxWeightSetting, &n.OverQuotaWeight, &constraints.OverloadFactor, &weights.Overall,
		&weights.WorstClass, &weights.WorstTenant, &weights.WorstWindow)
	for i := range n.Classes {
		class := &n.Classes[i]
		capDurations(&class.LatencyObjective, &class.ClientTimeout, &class.DeduplicationWindow)
		clampWeights(maxWeightSetting, &class.PriorityWeight, &class.ObjectivePerWork, &class.LateValueShare)
	}
	for i := range n.Tenants {
		clampWeights(maxWeightSetting, &n.Tenants[i].Share, &n.Tenants[i].QuotaPerSecond)
	}
	capabilities.MaxAttempts = min(capabilities.MaxAttempts, maxAttemptsSetting)
	if *weights == (ObjectiveWeights{}) { // without any, no request would have a value
		weights.Overall = 1
	}
	if constraints.OverloadWindow == 0 {
		constraints.OverloadWindow = defaultOverloadWindow
	}
	return n
}

func capDurations(durations ...*time.Duration) {
	for _, d := range durations {
		*d = min(*d, maxDuration)
	}
}

// clampWeights brings weights to the range from 0 to highest; what is no number becomes 0.
func clampWeights(highest float64, weights ...*float64) {
	for _, w := range weights {
		if *w = min(*w, highest); !(*w >= 0) {
			*w = 0
		}
	}
}

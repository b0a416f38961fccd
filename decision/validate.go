package decision

import (
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	// maxDuration is longer than any realistic setting, and a few hundred times as much does not overflow a
	// time.Duration.
	maxDuration = 30 * 24 * time.Hour

	// maxWeightSetting is the largest weight. Sums of it over all requests stay finite.
	maxWeightSetting = 1e12

	// maxAttemptsSetting is the largest number of attempts of a request: the number of an attempt is one byte
	// in a timer's token and on the wire.
	maxAttemptsSetting = 255

	defaultOverloadWindow = time.Second
)

// A SettingError reports an invalid setting: Field is its path in the settings file.
type SettingError struct{ Field, Reason string }

// Error returns the path and the reason, which operators see.
func (e *SettingError) Error() string { return e.Field + ": " + e.Reason }

// setting is a number of the configuration with its path in the settings file.
type setting struct {
	name  string
	value float64
}

// Validate reports the first invalid setting as a *SettingError, or returns nil. There must be at least one
// class, one attempt and one proxy, the latency objective and the client timeout of a class must be above 0,
// and the durations and ratios that the rules depend on must be finite and not negative. Normalized clamps
// all other settings to their ranges.
func (c *Config) Validate() error {
	if len(c.Classes) == 0 {
		return &SettingError{"Services", "none given, at least one service is needed"}
	}
	if c.Instances < 1 {
		return &SettingError{"Balancers", fmt.Sprintf("%d, must be 1 or more", c.Instances)}
	}
	if attempts := c.Capabilities.MaxAttempts; attempts < 1 {
		reason := fmt.Sprintf("%d, must be 1 or more, or no request could be sent", attempts)
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
			return &SettingError{s.name, "is negative, must be 0 or more"}
		case math.IsNaN(s.value) || math.IsInf(s.value, 0):
			return &SettingError{s.name, "is not a finite number"}
		}
	}
	return nil
}

// validate reports the first invalid setting of a class; index is its position in the settings file.
func (c *Class) validate(index int) error {
	times := [2]setting{{"Aim", float64(c.LatencyObjective)}, {"GiveUp", float64(c.ClientTimeout)}}
	for _, s := range times {
		if s.value <= 0 {
			field := fmt.Sprintf("Services.%d.%s", index, s.name)
			return &SettingError{field, "must be above 0, or no answer could be in time"}
		}
	}
	if c.DeduplicationWindow < 0 {
		return &SettingError{fmt.Sprintf("Services.%d.Window", index), "is negative, must be 0 or more"}
	}
	return nil
}

// numericSettings returns the settings that must be finite and not negative.
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

// Normalized returns a copy in which weights and shares are clamped to their ranges, and durations to a
// maximum whose sums do not overflow. The copy shares no memory with c.
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
	if *weights == (ObjectiveWeights{}) { // with all weights 0, no request would have a value
		weights.Overall = 1
	}
	if constraints.OverloadWindow == 0 {
		constraints.OverloadWindow = defaultOverloadWindow
	}
	return n
}

// capDurations limits durations to maxDuration.
func capDurations(durations ...*time.Duration) {
	for _, d := range durations {
		*d = min(*d, maxDuration)
	}
}

// clampWeights clamps weights to the range from 0 to highest. NaN becomes 0.
func clampWeights(highest float64, weights ...*float64) {
	for _, w := range weights {
		if *w = min(*w, highest); !(*w >= 0) {
			*w = 0
		}
	}
}

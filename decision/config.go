package decision

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// A SettingError names a setting that can't be served, by its path in the settings, and says why.
type SettingError struct{ Field, Reason string }

func (e *SettingError) Error() string { return e.Field + ": " + e.Reason }

// Validate looks for settings that can't be served: without a class, an attempt or a proxy nothing
// can be; a class
// whose time is over at once has no answer; and what the rules are counted by must be a figure. All else is
// served, brought to its range if need be. The error is a *SettingError, or nil.
func (c *Config) Validate() error {
	if len(c.Classes) == 0 {
		return &SettingError{"Services", "none given, so there is nothing to serve"}
	}
	if c.Instances < 1 {
		return &SettingError{"Balancers", fmt.Sprintf("%d, must be 1 or more", c.Instances)}
	}
	if c.Capabilities.MaxAttempts < 1 {
		reason := fmt.Sprintf("%d, must be 1 or more: no request could be sent", c.Capabilities.MaxAttempts)
		return &SettingError{"Caps.MaxAttempts", reason}
	}
	for i, s := range c.Classes {
		for _, f := range [2]setting{{"Aim", float64(s.LatencyObjective)}, {"GiveUp",
			float64(s.ClientTimeout)}} {
			if f.value <= 0 {
				field := fmt.Sprintf("Services.%d.%s", i, f.name)
				return &SettingError{field, "must be above 0: no answer could be in time"}
			}
		}
		if s.DeduplicationWindow < 0 {
			return &SettingError{fmt.Sprintf("Services.%d.Window", i), "is negative"}
		}
	}
	o, k := &c.Constraints, &c.Capabilities
	for _, f := range []setting{
		{"Tick", float64(c.Tick)},
		{"RetryShare", c.RetryBudgetRatio},
		{"Obligations.AnswerSlack", float64(o.AnswerSlack)},
		{"Obligations.AskEvery", float64(o.MaxListAge)},
		{"Obligations.Cold", float64(o.WarmUp)},
		{"Obligations.DrainGrace", float64(o.DrainGrace)},
		{"Obligations.Fall", float64(o.OverloadWindow)},
		{"Obligations.FallMultiple", o.OverloadFactor},
		{"Obligations.StartCapacity", o.InitialCapacity},
		{"Caps.ConnIdle", float64(k.ConnectionIdleTimeout)},
		{"Caps.ConnectTimeout", float64(k.ConnectTimeout)},
		{"Caps.MaxRetryAfter", float64(k.MaxRetryAfter)},
	} {
		switch {
		case f.value < 0:
			return &SettingError{f.name, "is negative"}
		case math.IsNaN(f.value) || math.IsInf(f.value, 0):
			return &SettingError{f.name, "is no number"}
		}
	}
	return nil
}

type setting struct {
	name  string
	value float64
}

const (
	// no one waits for longer; a few hundred times this is still a span
	maxDuration      = 30 * 24 * time.Hour
	maxWeightSetting = 1e12 // sums of it over all requests are still numbers
	// an attempt's number is one byte in a timer's token, as on the wire
	maxAttemptsSetting    = 255
	defaultOverloadWindow = time.Second // where no span is told in which a cold backend falls
)

// Normalized gives the settings with what only weighs brought to its range, and with no span so long
// that sums of
// it would overflow. It shares nothing with these.
func (c *Config) Normalized() Config {
	m := *c
	m.Classes, m.Tenants = slices.Clone(c.Classes), slices.Clone(c.Tenants)
	bound := func(spans ...*time.Duration) {
		for _, d := range spans {
			*d = min(*d, maxDuration)
		}
	}
	within := func(most float64, weights ...*float64) {
		for _, w := range weights {
			if *w = min(*w, most); !(*w >= 0) {
				*w = 0
			}
		}
	}
	o, k, g := &m.Constraints, &m.Capabilities, &m.ObjectiveWeights
	bound(&m.Tick, &o.AnswerSlack, &o.MaxListAge, &o.WarmUp, &o.DrainGrace, &o.OverloadWindow)
	bound(&k.ConnectionIdleTimeout, &k.ConnectTimeout, &k.MaxRetryAfter)
	within(1, &o.InitialCapacity)
	within(maxWeightSetting, &m.OverQuotaWeight, &o.OverloadFactor)
	within(maxWeightSetting, &g.Overall, &g.WorstClass, &g.WorstTenant, &g.WorstWindow)
	for i := range m.Classes {
		s := &m.Classes[i]
		bound(&s.LatencyObjective, &s.ClientTimeout, &s.DeduplicationWindow)
		within(maxWeightSetting, &s.PriorityWeight, &s.ObjectivePerWork, &s.LateValueShare)
	}
	for i := range m.Tenants {
		within(maxWeightSetting, &m.Tenants[i].Share, &m.Tenants[i].QuotaPerSecond)
	}
	k.MaxAttempts = min(k.MaxAttempts, maxAttemptsSetting)
	if *g == (ObjectiveWeights{}) { // nothing is told of what counts
		g.Overall = 1
	}
	if o.OverloadWindow == 0 {
		o.OverloadWindow = defaultOverloadWindow
	}
	return m
}

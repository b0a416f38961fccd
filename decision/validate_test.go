package decision

import (
	"errors"
	"math"
	"testing"
	"time"
)

// The error of New for an invalid setting names the setting's path in the settings file and a reason.
func TestNewNamesInvalidSetting(t *testing.T) {
	for field, invalidate := range map[string]func(*Config){
		"Services":                  func(c *Config) { c.Classes = nil },
		"Services.0.Aim":            func(c *Config) { c.Classes[0].LatencyObjective = 0 },
		"Services.2.GiveUp":         func(c *Config) { c.Classes[2].ClientTimeout = 0 },
		"Services.1.Window":         func(c *Config) { c.Classes[1].DeduplicationWindow = -1 },
		"Balancers":                 func(c *Config) { c.Instances = 0 },
		"Tick":                      func(c *Config) { c.Tick = -1 },
		"RetryShare":                func(c *Config) { c.RetryBudgetRatio = math.NaN() },
		"Obligations.AnswerSlack":   func(c *Config) { c.Constraints.AnswerSlack = -1 },
		"Obligations.AskEvery":      func(c *Config) { c.Constraints.MaxListAge = -1 },
		"Obligations.Cold":          func(c *Config) { c.Constraints.WarmUp = -1 },
		"Obligations.DrainGrace":    func(c *Config) { c.Constraints.DrainGrace = -1 },
		"Obligations.Fall":          func(c *Config) { c.Constraints.OverloadWindow = -1 },
		"Obligations.FallMultiple":  func(c *Config) { c.Constraints.OverloadFactor = math.Inf(1) },
		"Obligations.StartCapacity": func(c *Config) { c.Constraints.InitialCapacity = math.NaN() },
		"Caps.ConnIdle":             func(c *Config) { c.Capabilities.ConnectionIdleTimeout = -1 },
		"Caps.ConnectTimeout":       func(c *Config) { c.Capabilities.ConnectTimeout = -1 },
		"Caps.MaxRetryAfter":        func(c *Config) { c.Capabilities.MaxRetryAfter = -1 },
		"Caps.MaxAttempts":          func(c *Config) { c.Capabilities.MaxAttempts = 0 },
	} {
		cfg := testConfig()
		invalidate(&cfg)
		_, err := New(cfg, 1, &recorder{})
		if settingErr := (*SettingError)(nil); !errors.As(err, &settingErr) || settingErr.Field != field ||
			settingErr.Reason == "" {
			t.Errorf("New(invalid %s) = error %v, want a SettingError that names this field and a reason", field, err)
		}
	}
}

// Weights and durations out of range are no error: New clamps them in its copy of the settings, and leaves the caller's
// settings unchanged.
func TestWeightsAreNormalized(t *testing.T) {
	cfg := testConfig()
	cfg.ObjectiveWeights = ObjectiveWeights{Overall: -1}
	cfg.Rank = -3
	cfg.Zone = 99
	cfg.OverQuotaWeight = math.Inf(1)
	cfg.Penalties.WastedWork = -1
	cfg.Classes[0].PriorityWeight = math.NaN()
	cfg.Classes[0].LateValueShare = -0.5
	cfg.Classes[0].ObjectivePerWork = 1e300
	cfg.Classes[1].LatencyObjective, cfg.Classes[1].ClientTimeout = time.Minute, time.Second
	cfg.Tenants = []Tenant{{Name: "a", Share: 7, QuotaPerSecond: math.Inf(1)}, {Name: "a", Share: -1}}
	cfg.Constraints.InitialCapacity = 34
	cfg.Constraints.OverloadWindow = 0
	cfg.Constraints.WarmUp = math.MaxInt64
	cfg.Capabilities.MaxAttempts = math.MaxInt32
	b, err := New(cfg, 1, &recorder{})
	if err != nil {
		t.Fatalf("New(settings out of range): %v, want no error", err)
	}
	class, constraints := b.config.Classes[0], b.config.Constraints
	if b.config.ObjectiveWeights != (ObjectiveWeights{Overall: 1}) || class.PriorityWeight != 0 ||
		class.LateValueShare != 0 || b.config.Tenants[1].Share != 0 ||
		math.IsInf(b.config.OverQuotaWeight+b.config.Tenants[0].QuotaPerSecond, 0) ||
		b.config.Capabilities.MaxAttempts != 255 {
		t.Errorf("after New: ObjectiveWeights = %+v, want Overall 1 and the others 0; PriorityWeight = %v and "+
			"LateValueShare = %v of class 0, want 0; Share = %v of tenant 1, want 0; OverQuotaWeight = %v and "+
			"QuotaPerSecond = %v of tenant 0, want finite values; MaxAttempts = %d, want 255",
			b.config.ObjectiveWeights, class.PriorityWeight, class.LateValueShare, b.config.Tenants[1].Share,
			b.config.OverQuotaWeight, b.config.Tenants[0].QuotaPerSecond, b.config.Capabilities.MaxAttempts)
	}
	if constraints.InitialCapacity != 1 || constraints.OverloadWindow != time.Second ||
		constraints.WarmUp != maxDuration {
		t.Errorf("after New: InitialCapacity = %v, OverloadWindow = %v, WarmUp = %v; want 1, 1s and %v",
			constraints.InitialCapacity, constraints.OverloadWindow, constraints.WarmUp, maxDuration)
	}
	if !math.IsNaN(cfg.Classes[0].PriorityWeight) || cfg.Tenants[1].Share != -1 {
		t.Errorf("the caller's PriorityWeight and Share after New = %v and %v, want NaN and -1, as they were",
			cfg.Classes[0].PriorityWeight, cfg.Tenants[1].Share)
	}
}

package wire

import (
	"errors"
	"reflect"
	"strings"
	"testing"
	"time"

	"lapisspread/decision"
)

func TestSettings(t *testing.T) {
	c, err := ParseSettings(strings.Join([]string{
		"Balancers=3", "Rank=2", "Zone=1", "Tick=5.0", "Caps.Cancel=true", "Caps.MaxAttempts=6", "Discovery=on_request",
		"Caps.ConnectTimeout=250.0", "Extra.WarmKeys=true", "Feedback.How=on_probe",
		"Feedback.Names=failed_ps,busy_reqs,new_one", "Weights=rough", "WorthBy=work", "Obligations.FallMultiple=2.5",
		"Services.count=2", "Services.0.Name=a", "Services.0.Aim=1000.0", "Services.0.GiveUp=3000.0",
		"Services.0.Effect=retryable", "Services.0.Group=all", "Services.1.Name=b", "Services.1.Aim=400",
		"Services.1.GiveUp=900", "Services.1.Effect=dedup", "Services.1.Group=zone", "Services.1.Window=1200.5",
		"Tenants.count=1", "Tenants.0.Name=t", "Tenants.0.QuotaPerS=12.5", "Brand.New=what", "",
	}, "\n"))
	if err != nil {
		t.Fatalf("ParseSettings of valid settings failed: %v", err)
	}
	want := decision.Config{
		Instances:        3,
		Rank:             2,
		Zone:             1,
		Tick:             5 * ms,
		PolledDiscovery:  true,
		KeyAffinity:      true,
		OverQuotaWeight:  1,
		WeightByWork:     true,
		Weights:          decision.WeightNominal,
		ObjectiveWeights: decision.ObjectiveWeights{Overall: 1},
		Classes: []decision.Class{
			{
				Name:               "a",
				LatencyObjective:   time.Second,
				ClientTimeout:      3 * time.Second,
				Idempotency:        decision.Idempotent,
				DeduplicationScope: decision.ScopeAll,
				PriorityWeight:     1,
			},
			{
				Name:                "b",
				LatencyObjective:    400 * ms,
				ClientTimeout:       900 * ms,
				Idempotency:         decision.IdempotentByKey,
				DeduplicationScope:  decision.ScopeZone,
				PriorityWeight:      1,
				DeduplicationWindow: 1200*ms + 500*time.Microsecond,
			},
		},
		Tenants:     []decision.Tenant{{Name: "t", QuotaPerSecond: 12.5}},
		Constraints: decision.Constraints{OverloadFactor: 2.5, InitialCapacity: 1},
		Capabilities: decision.Capabilities{
			Cancel:               true,
			ConnectTimeout:       250 * ms,
			MaxAttempts:          6,
			StreamsPerConnection: 1,
		},
	}
	if !reflect.DeepEqual(c, want) {
		t.Errorf("ParseSettings of valid settings:\n got %+v\nwant %+v", c, want)
	}
}

func TestMalformedSettingsNameTheirLine(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{"Balancers=1\nnonsense", "line 2"},
		{"=5", "line 1"},
		{"Tick=soon", "line 1: Tick"},
		{"Tick=NaN", "line 1: Tick"},
		{"Tick=1e300", "line 1: Tick"},
		{"Balancers=1.5", "line 1: Balancers"},
		{"Caps.Cancel=maybe", "line 1: Caps.Cancel"},
		{"A=1\nDiscovery=shouted", "line 2: Discovery"},
		{"Services.count=-1", "line 1: Services.count"},
		{"Services.count=99999999", "line 1: Services.count"},
		{"Services.count=1\nServices.0.Effect=odd", "line 2: Services.0.Effect"},
		{"Services.count=1\nServices.0.Effect=dedup\nServices.0.Group=galaxy", "line 3: Services.0.Group"},
	} {
		_, err := ParseSettings(c.text)
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("ParseSettings(%q): error %v, want one containing %q", c.text, err, c.want)
		}
		_, field, hasField := strings.Cut(c.want, ": ")
		if bad := (*decision.SettingError)(nil); hasField && (!errors.As(err, &bad) || bad.Field != field) {
			t.Errorf("ParseSettings(%q): error %v, want a *decision.SettingError for the field %s", c.text, err, field)
		}
	}
}

// An unknown word is read as the default, without an error, for settings that only influence weights and for the
// deduplication scope of a class without deduplication.
func TestUnknownWordsThatOnlyWeighAreDefaults(t *testing.T) {
	c, err := ParseSettings("Weights=guessed\nWorthBy=mood\nFeedback.How=by_post\nServices.count=2\n" +
		"Services.0.Effect=retryable\nServices.0.Group=galaxy\nServices.1.Effect=fragile\nServices.1.Group=galaxy")
	if err != nil {
		t.Fatalf("ParseSettings of settings with unknown words failed: %v", err)
	}
	if c.Weights != decision.WeightNone || c.WeightByWork {
		t.Errorf("Weights = %v, WeightByWork = %v for unknown words, want %v and false",
			c.Weights, c.WeightByWork, decision.WeightNone)
	}
	if c.Classes[0].Idempotency != decision.Idempotent || c.Classes[1].Idempotency != decision.NotIdempotent {
		t.Errorf("Idempotency of the classes = %v, %v, want %v, %v", c.Classes[0].Idempotency,
			c.Classes[1].Idempotency, decision.Idempotent, decision.NotIdempotent)
	}
	if c.Classes[1].DeduplicationScope != decision.ScopeCell {
		t.Errorf("DeduplicationScope of a class without deduplication = %v for an unknown word, want %v",
			c.Classes[1].DeduplicationScope, decision.ScopeCell)
	}
}

func FuzzSettings(f *testing.F) {
	f.Add("Services.count=2\nServices.1.Aim=5\n")
	f.Add("Tick=1e9\nFeedback.How=inline\nFeedback.Names=,,\n")
	f.Fuzz(func(t *testing.T, text string) {
		c, err := ParseSettings(text)
		if err == nil && len(c.Classes) > maxListLength {
			t.Errorf("ParseSettings(%q) returned %d classes, want at most %d", text, len(c.Classes), maxListLength)
		}
	})
}

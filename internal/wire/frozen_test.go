package wire

import (
	"os"
	"reflect"
	"testing"
	"time"

	"lapisspread/decision"
)

// Guards the names and the meanings of the settings keys: testdata/settings.txt was written by hand and has every key
// that the program at commit c8fad44 reads.
func TestFrozenSettings(t *testing.T) {
	text, err := os.ReadFile("testdata/settings.txt")
	if err != nil {
		t.Fatalf("reading the stored settings: %v", err)
	}
	got, err := ParseSettings(string(text))
	if err != nil {
		t.Fatalf("ParseSettings(testdata/settings.txt) failed: %v", err)
	}
	want := decision.Config{
		Instances:          3,
		Rank:               2,
		Zone:               1,
		Tick:               5500 * time.Microsecond,
		OverQuotaWeight:    0.25,
		WeightByWork:       true,
		Weights:            decision.WeightLive,
		PolledDiscovery:    true,
		KeyAffinity:        true,
		ClientsMarkRetries: true,
		ObjectiveWeights: decision.ObjectiveWeights{
			Overall:     0.5,
			WorstClass:  0.125,
			WorstTenant: 0.0625,
			WorstWindow: 0.3125,
		},
		Penalties: decision.Penalties{
			Connection:  0.11,
			CrossZone:   0.12,
			Discovery:   0.13,
			Handshake:   0.14,
			LateFailure: 0.15,
			PeerMessage: 0.16,
			HealthCheck: 0.17,
			WastedWork:  0.18,
		},
		Constraints: decision.Constraints{
			AnswerSlack:     21 * ms,
			MaxListAge:      1022 * ms,
			WarmUp:          2023 * ms,
			DrainGrace:      1524 * ms,
			OverloadWindow:  525 * ms,
			OverloadFactor:  2.5,
			InitialCapacity: 0.35,
		},
		Capabilities: decision.Capabilities{
			Cancel:                true,
			PeerMessages:          true,
			HealthChecks:          true,
			RetryAfter:            true,
			HedgedRequests:        true,
			ConnectionIdleTimeout: 10031 * ms,
			ConnectTimeout:        132 * ms,
			MaxRetryAfter:         1033 * ms,
			MaxAttempts:           4,
			StreamsPerConnection:  6,
		},
		Classes: []decision.Class{
			{
				Name:                "safe",
				LatencyObjective:    50 * ms,
				ObjectivePerWork:    2.5,
				ClientTimeout:       500 * ms,
				LateValueShare:      0.05,
				Idempotency:         decision.Idempotent,
				DeduplicationScope:  decision.ScopeAll,
				StreamedResponse:    true,
				PriorityWeight:      3,
				DeduplicationWindow: 41 * ms,
			},
			{
				Name:                "keyed",
				LatencyObjective:    100 * ms,
				ClientTimeout:       900 * ms,
				Idempotency:         decision.IdempotentByKey,
				DeduplicationScope:  decision.ScopeZone,
				PriorityWeight:      1,
				DeduplicationWindow: 1200500 * time.Microsecond,
			},
			{Name: "once", LatencyObjective: 40 * ms, ClientTimeout: 300 * ms, PriorityWeight: 1},
		},
		Tenants: []decision.Tenant{
			{Name: "first", Share: 0.7, QuotaPerSecond: 60.5},
			{Name: "second", Share: 0.3},
		},
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("ParseSettings(testdata/settings.txt):\n got %+v\nwant %+v", got, want)
	}
}

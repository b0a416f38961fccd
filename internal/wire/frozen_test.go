package wire

import (
	"os"
	"reflect"
	"testing"
	"time"

	"lapisspread/decision"
)

// testdata/settings.txt has every key of the settings that the program of c8fad44 reads, written by hand; each keeps its
// name and its meaning.
func TestFrozenSettings(t *testing.T) {
	text, err := os.ReadFile("testdata/settings.txt")
	if err != nil {
		t.Fatal(err)
	}
	got, err := ParseBootInfo(string(text))
	if err != nil {
		t.Fatal(err)
	}
	want := decision.Config{
		Instances:      3,
		Rank:           2,
		Zone:           1,
		Tick:           5500 * time.Microsecond,
		OverShareWorth: 0.25,
		WorthByWork:    true,
		Weights:        decision.WeightLive,
		OnRequest:      true,
		WarmKeys:       true,
		MarksRetry:     true,
		Goal:           decision.Goal{Whole: 0.5, WorstClass: 0.125, WorstTenant: 0.0625, WorstWindow: 0.3125},
		Prices: decision.Prices{Connection: 0.11, CrossZone: 0.12, Discovery: 0.13, Handshake: 0.14, LateFail: 0.15,
			Peer: 0.16, Probe: 0.17, Waste: 0.18},
		Obligations: decision.Obligations{AnswerSlack: 21 * ms, AskEvery: 1022 * ms, Cold: 2023 * ms,
			DrainGrace: 1524 * ms, Fall: 525 * ms, FallMultiple: 2.5, StartCapacity: 0.35},
		Caps: decision.Caps{Cancel: true, Peers: true, Probes: true, RetryAfter: true, SecondCopies: true,
			ConnIdle: 10031 * ms, ConnectTimeout: 132 * ms, MaxRetryAfter: 1033 * ms, MaxAttempts: 4, StreamsPerConn: 6},
		Classes: []decision.Class{
			{Name: "safe", Aim: 50 * ms, AimStretch: 2.5, GiveUp: 500 * ms, LateShare: 0.05, Effect: decision.Safe,
				Group: decision.GroupAll, Stream: true, Value: 3, Window: 41 * ms},
			{Name: "keyed", Aim: 100 * ms, GiveUp: 900 * ms, Effect: decision.Keyed, Group: decision.GroupZone, Value: 1,
				Window: 1200500 * time.Microsecond},
			{Name: "once", Aim: 40 * ms, GiveUp: 300 * ms, Value: 1},
		},
		Tenants: []decision.Tenant{{Name: "first", Share: 0.7, QuotaPerS: 60.5}, {Name: "second", Share: 0.3}},
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got  %+v\nwant %+v", got, want)
	}
}

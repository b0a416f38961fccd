package decision

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// frozenSums is how many random configurations there are kept sums of.
const frozenSums = 250

// TestTranscriptsKeepTheirSums reaches the rules that the two kept transcripts don't: it compares the SHA-256 sums of
// transcripts under random configurations. A line that differs begins with its seed; playTranscript with that seed and
// configuration, printed before and after a change, shows which decision has changed.
func TestTranscriptsKeepTheirSums(t *testing.T) {
	var sums bytes.Buffer
	for seed := range uint64(frozenSums) {
		text := playTranscript(t, seed, frozenRandomConfig(seed), 7*second).text.Bytes()
		fmt.Fprintf(&sums, "%d %x\n", seed, sha256.Sum256(text))
	}
	checkKept(t, "transcript-sums.txt", sums.Bytes())
}

// frozenRandomConfig is a configuration for playTranscript. Its draws must stay as they are.
func frozenRandomConfig(seed uint64) Config {
	rng := rand.New(rand.NewPCG(seed, 5))
	coin := func() bool { return rng.IntN(2) == 0 }
	cfg := frozenConfigs()[rng.IntN(2)]
	cfg.Classes = slices.Clone(cfg.Classes)
	cfg.Instances = []int{1, 2, 5, 8, 9, 12, 40, 300}[rng.IntN(8)]
	cfg.Rank = rng.IntN(5)
	cfg.Zone = rng.IntN(3)
	cfg.KeyAffinity = coin()
	cfg.PolledDiscovery = coin()
	cfg.WeightByWork = coin()
	cfg.Weights = WeightKind(rng.IntN(3))
	cfg.RetryBudgetRatio = []float64{0, 0.05, 0.5}[rng.IntN(3)]
	cfg.Tick = time.Duration(rng.IntN(10)) * milli
	cfg.OverQuotaWeight = rng.Float64()
	allowed := &cfg.Capabilities
	allowed.HedgedRequests = coin()
	allowed.Cancel = coin()
	allowed.HealthChecks = coin()
	allowed.RetryAfter = coin()
	allowed.MaxOpenRequests = []int{0, 3, 12, 1000}[rng.IntN(4)]
	allowed.MaxAttempts = 1 + rng.IntN(5)
	allowed.ConnectTimeout = []time.Duration{0, 20 * milli, 250 * milli, 2 * second}[rng.IntN(4)]
	rules := &cfg.Constraints
	rules.WarmUp = []time.Duration{0, second, 20 * second}[rng.IntN(3)]
	rules.OverloadWindow = []time.Duration{0, 100 * milli, 2 * second}[rng.IntN(3)]
	rules.InitialCapacity = rng.Float64()
	rules.OverloadFactor = 0.5 + 3*rng.Float64()
	for i := range cfg.Classes {
		class := &cfg.Classes[i]
		class.LateValueShare = []float64{0, 0.5}[rng.IntN(2)]
		class.ObjectivePerWork = []float64{0, 2}[rng.IntN(2)]
		class.PriorityWeight = 10 * rng.Float64()
		class.DeduplicationScope = DeduplicationScope(rng.IntN(3))
		class.Idempotency = Idempotency(rng.IntN(3))
		class.DeduplicationWindow = time.Duration(rng.IntN(1500)) * milli
		class.LatencyObjective = time.Duration(50+rng.IntN(1500)) * milli
	}
	return cfg
}

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

// goldenSumCount is the number of random configurations with a sum in testdata.
const goldenSumCount = 250

// TestTranscriptsKeepTheirSums compares the SHA-256 sums of transcripts under random configurations with a golden file.
// These transcripts also reach rules that the two complete transcripts do not. A line that differs begins with the seed
// of its configuration: print playTranscript with that seed and configuration before and after a change to see which
// decision has changed.
func TestTranscriptsKeepTheirSums(t *testing.T) {
	var sums bytes.Buffer
	for seed := range uint64(goldenSumCount) {
		text := playTranscript(t, seed, goldenRandomConfig(seed), 7*second).text.Bytes()
		fmt.Fprintf(&sums, "%d %x\n", seed, sha256.Sum256(text))
	}
	checkGoldenFile(t, "transcript-sums.txt", sums.Bytes())
}

// goldenRandomConfig returns a random configuration for playTranscript. Its random draws and their order must not
// change, or the sums in testdata no longer match.
func goldenRandomConfig(seed uint64) Config {
	rng := rand.New(rand.NewPCG(seed, 5))
	randomBool := func() bool { return rng.IntN(2) == 0 }
	cfg := goldenConfigs()[rng.IntN(2)]
	cfg.Classes = slices.Clone(cfg.Classes)
	cfg.Instances = []int{1, 2, 5, 8, 9, 12, 40, 300}[rng.IntN(8)]
	cfg.Rank = rng.IntN(5)
	cfg.Zone = rng.IntN(3)
	cfg.KeyAffinity = randomBool()
	cfg.PolledDiscovery = randomBool()
	cfg.WeightByWork = randomBool()
	cfg.Weights = WeightKind(rng.IntN(3))
	cfg.RetryBudgetRatio = []float64{0, 0.05, 0.5}[rng.IntN(3)]
	cfg.Tick = time.Duration(rng.IntN(10)) * milli
	cfg.OverQuotaWeight = rng.Float64()
	capabilities := &cfg.Capabilities
	capabilities.HedgedRequests = randomBool()
	capabilities.Cancel = randomBool()
	capabilities.HealthChecks = randomBool()
	capabilities.RetryAfter = randomBool()
	capabilities.MaxOpenRequests = []int{0, 3, 12, 1000}[rng.IntN(4)]
	capabilities.MaxAttempts = 1 + rng.IntN(5)
	capabilities.ConnectTimeout = []time.Duration{0, 20 * milli, 250 * milli, 2 * second}[rng.IntN(4)]
	constraints := &cfg.Constraints
	constraints.WarmUp = []time.Duration{0, second, 20 * second}[rng.IntN(3)]
	constraints.OverloadWindow = []time.Duration{0, 100 * milli, 2 * second}[rng.IntN(3)]
	constraints.InitialCapacity = rng.Float64()
	constraints.OverloadFactor = 0.5 + 3*rng.Float64()
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

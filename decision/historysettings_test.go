package decision_test

import (
	"math"
	"math/rand/v2"
	"time"

	"lapisspread/decision"
)

// minRequestGap is the minimum mean time between requests. It keeps runs with little work in each request short.
const minRequestGap = 10 * milli

// randomizeSettings sets cfg to random values, over the range of many kinds of sites. It returns the mean work of a
// request, short enough for answers within the latency objectives.
func randomizeSettings(cfg *decision.Config, rng *rand.Rand) (meanWork time.Duration) {
	// between draws a duration whose logarithm is uniformly distributed.
	between := func(minimum, maximum time.Duration) time.Duration {
		return time.Duration(float64(minimum) * math.Pow(float64(maximum)/float64(minimum), rng.Float64()))
	}
	if cfg.Instances = 1 + rng.IntN(3); rng.IntN(6) == 0 { // many proxies are rare, since their runs take long
		cfg.Instances = 9
	}
	cfg.Tick = between(milli/2, 20*milli).Round(milli / 2)
	capabilities, constraints := &cfg.Capabilities, &cfg.Constraints
	capabilities.ConnectTimeout = between(5*milli, 2*time.Second)
	capabilities.ConnectionIdleTimeout = between(time.Second, time.Minute)
	capabilities.MaxRetryAfter = between(50*milli, 5*time.Second)
	capabilities.MaxAttempts = 1 + rng.IntN(6)
	constraints.AnswerSlack = 4 * cfg.Tick
	constraints.DrainGrace = between(100*milli, 2*time.Second)
	constraints.MaxListAge = between(time.Second, 30*time.Second)
	constraints.WarmUp, constraints.OverloadWindow = between(100*milli, time.Minute), between(100*milli, 10*time.Second)
	if rng.IntN(6) == 0 {
		constraints.WarmUp = 0
	}
	constraints.OverloadFactor, constraints.InitialCapacity = 1.5+3*rng.Float64(), 0.1+0.8*rng.Float64()
	cfg.ClientsMarkRetries = rng.IntN(2) == 0
	cfg.WeightByWork = rng.IntN(3) == 0
	cfg.OverQuotaWeight = rng.Float64()
	cfg.Weights = decision.WeightKind(rng.IntN(3))
	cfg.ObjectiveWeights = decision.ObjectiveWeights{Overall: rng.Float64(), WorstClass: rng.Float64(),
		WorstTenant: rng.Float64(), WorstWindow: rng.Float64()}
	minTimeout := between(50*milli, 2*time.Second) // client timeouts are one to four times as long
	if rng.IntN(8) == 0 {
		minTimeout = 15 * time.Second
	}
	meanWork = 80 * milli
	for i := range cfg.Classes {
		class := &cfg.Classes[i]
		class.ClientTimeout = between(minTimeout, 4*minTimeout)
		class.LatencyObjective = between(class.ClientTimeout/8, class.ClientTimeout)
		class.DeduplicationWindow, class.PriorityWeight = between(10*milli, 10*time.Second),
			float64(between(milli, time.Second))/float64(20*milli)
		meanWork = min(meanWork, time.Duration(float64(class.LatencyObjective)*(0.1+0.3*rng.Float64())))
	}
	for i := range cfg.Tenants {
		cfg.Tenants[i].QuotaPerSecond = float64(between(milli, 10*time.Second)) / float64(10*milli)
	}
	return max(meanWork, milli)
}

// randomSiteConfig returns a configuration with classes of each kind of idempotency and deduplication scope. Other
// settings are random.
func randomSiteConfig(rng *rand.Rand) decision.Config {
	randomBool := func() bool { return rng.IntN(2) == 0 }
	lateValueShare := func() float64 { return []float64{0, 0.5}[rng.IntN(2)] }
	cfg := decision.Config{Instances: 1 + rng.IntN(4), Tick: time.Duration(rng.IntN(3)) * 2 * milli,
		OverQuotaWeight: 0.1,
		Classes: []decision.Class{
			{Name: "safe", LatencyObjective: 250 * milli, ClientTimeout: time.Second,
				Idempotency: decision.Idempotent, PriorityWeight: 2, LateValueShare: lateValueShare()},
			{Name: "zone", LatencyObjective: 250 * milli, ClientTimeout: time.Second,
				Idempotency: decision.IdempotentByKey, DeduplicationScope: decision.ScopeZone,
				DeduplicationWindow: 400 * milli, PriorityWeight: 2, LateValueShare: lateValueShare()},
			{Name: "cell", LatencyObjective: 500 * milli, ClientTimeout: time.Second,
				Idempotency: decision.IdempotentByKey, DeduplicationScope: decision.ScopeCell,
				DeduplicationWindow: 900 * milli, PriorityWeight: 1, LateValueShare: lateValueShare()},
			{Name: "all", LatencyObjective: 500 * milli, ClientTimeout: time.Second,
				Idempotency: decision.IdempotentByKey, DeduplicationScope: decision.ScopeAll,
				DeduplicationWindow: 150 * milli, PriorityWeight: 1, LateValueShare: lateValueShare()},
			{Name: "unsafe", LatencyObjective: 500 * milli, ClientTimeout: 2 * time.Second,
				Idempotency: decision.NotIdempotent, DeduplicationScope: decision.ScopeAll,
				DeduplicationWindow: time.Second, PriorityWeight: 10, LateValueShare: lateValueShare()},
			{Name: "stream", LatencyObjective: 500 * milli, ClientTimeout: 2 * time.Second,
				Idempotency: decision.Idempotent, StreamedResponse: true, PriorityWeight: 3,
				LateValueShare: lateValueShare()},
		},
		Tenants: []decision.Tenant{{Name: "a", Share: 0.7, QuotaPerSecond: 100},
			{Name: "b", Share: 0.3, QuotaPerSecond: 0}},
		ObjectiveWeights: decision.ObjectiveWeights{Overall: 0.55, WorstClass: 0.2, WorstTenant: 0.1,
			WorstWindow: 0.15},
		KeyAffinity: rng.IntN(4) == 0, PolledDiscovery: randomBool(),
		Constraints: decision.Constraints{AnswerSlack: 8 * milli, MaxListAge: 10 * time.Second,
			WarmUp: 8 * time.Second, DrainGrace: 500 * milli,
			OverloadWindow: time.Second, OverloadFactor: 3, InitialCapacity: 0.34},
		Capabilities: decision.Capabilities{Cancel: rng.IntN(4) > 0, HealthChecks: rng.IntN(5) > 0,
			RetryAfter: randomBool(), HedgedRequests: randomBool(),
			ConnectionIdleTimeout: time.Minute, ConnectTimeout: 75 * milli, MaxRetryAfter: time.Second,
			MaxAttempts: 1 + rng.IntN(4), StreamsPerConnection: 1,
			MaxOpenRequests: []int{0, 0, 20, 20000}[rng.IntN(4)]},
	}
	if rng.IntN(3) == 0 {
		cfg.Instances = 4 + rng.IntN(8)
	}
	return cfg
}

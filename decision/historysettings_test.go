package decision_test

import (
	"math"
	"math/rand/v2"
	"time"

	"lapisspread/decision"
)

// minRequestGap keeps runs with little work in each request short.
const minRequestGap = 10 * milli

// randomizeSettings draws the settings of any kind of site, and gives the mean work of a request that goes with its
// latency objectives.
func randomizeSettings(cfg *decision.Config, rng *rand.Rand) (work time.Duration) {
	between := func(least, most time.Duration) time.Duration { // each order of magnitude alike
		return time.Duration(float64(least) * math.Pow(float64(most)/float64(least), rng.Float64()))
	}
	if cfg.Instances = 1 + rng.IntN(3); rng.IntN(6) == 0 { // one of many: these runs take long
		cfg.Instances = 9
	}
	cfg.Tick = between(milli/2, 20*milli).Round(milli / 2)
	c, o := &cfg.Capabilities, &cfg.Constraints
	c.ConnectTimeout = between(5*milli, 2*time.Second)
	c.ConnectionIdleTimeout = between(time.Second, time.Minute)
	c.MaxRetryAfter = between(50*milli, 5*time.Second)
	c.MaxAttempts = 1 + rng.IntN(6)
	o.AnswerSlack = 4 * cfg.Tick
	o.DrainGrace = between(100*milli, 2*time.Second)
	o.MaxListAge = between(time.Second, 30*time.Second)
	o.WarmUp, o.OverloadWindow = between(100*milli, time.Minute), between(100*milli, 10*time.Second)
	if rng.IntN(6) == 0 {
		o.WarmUp = 0
	}
	o.OverloadFactor, o.InitialCapacity = 1.5+3*rng.Float64(), 0.1+0.8*rng.Float64()
	cfg.ClientsMarkRetries = rng.IntN(2) == 0
	cfg.WeightByWork = rng.IntN(3) == 0
	cfg.OverQuotaWeight = rng.Float64()
	cfg.Weights = decision.WeightKind(rng.IntN(3))
	cfg.ObjectiveWeights = decision.ObjectiveWeights{Overall: rng.Float64(), WorstClass: rng.Float64(),
		WorstTenant: rng.Float64(), WorstWindow: rng.Float64()}
	least := between(50*milli, 2*time.Second) // client timeout; of no class is it more than four times as long
	if rng.IntN(8) == 0 {
		least = 15 * time.Second
	}
	work = 80 * milli
	for i := range cfg.Classes {
		k := &cfg.Classes[i]
		k.ClientTimeout = between(least, 4*least)
		k.LatencyObjective = between(k.ClientTimeout/8, k.ClientTimeout)
		k.DeduplicationWindow, k.PriorityWeight = between(10*milli, 10*time.Second),
			float64(between(milli, time.Second))/float64(20*milli)
		work = min(work, time.Duration(float64(k.LatencyObjective)*(0.1+0.3*rng.Float64())))
	}
	for i := range cfg.Tenants {
		cfg.Tenants[i].QuotaPerSecond = float64(between(milli, 10*time.Second)) / float64(10*milli)
	}
	return max(work, milli)
}

// randomSiteConfig is the configuration of a site with one class of each idempotency.
func randomSiteConfig(rng *rand.Rand) decision.Config {
	coin := func() bool { return rng.IntN(2) == 0 }
	late := func() float64 { return []float64{0, 0.5}[rng.IntN(2)] }
	cfg := decision.Config{Instances: 1 + rng.IntN(4), Tick: time.Duration(rng.IntN(3)) * 2 * milli,
		OverQuotaWeight: 0.1,
		Classes: []decision.Class{
			{Name: "safe", LatencyObjective: 250 * milli, ClientTimeout: time.Second,
				Idempotency: decision.Idempotent, PriorityWeight: 2, LateValueShare: late()},
			{Name: "zone", LatencyObjective: 250 * milli, ClientTimeout: time.Second,
				Idempotency: decision.IdempotentByKey, DeduplicationScope: decision.ScopeZone,
				DeduplicationWindow: 400 * milli, PriorityWeight: 2, LateValueShare: late()},
			{Name: "cell", LatencyObjective: 500 * milli, ClientTimeout: time.Second,
				Idempotency: decision.IdempotentByKey, DeduplicationScope: decision.ScopeCell,
				DeduplicationWindow: 900 * milli, PriorityWeight: 1, LateValueShare: late()},
			{Name: "all", LatencyObjective: 500 * milli, ClientTimeout: time.Second,
				Idempotency: decision.IdempotentByKey, DeduplicationScope: decision.ScopeAll,
				DeduplicationWindow: 150 * milli, PriorityWeight: 1, LateValueShare: late()},
			{Name: "unsafe", LatencyObjective: 500 * milli, ClientTimeout: 2 * time.Second,
				Idempotency: decision.NotIdempotent, DeduplicationScope: decision.ScopeAll,
				DeduplicationWindow: time.Second, PriorityWeight: 10, LateValueShare: late()},
			{Name: "stream", LatencyObjective: 500 * milli, ClientTimeout: 2 * time.Second,
				Idempotency: decision.Idempotent, StreamedResponse: true, PriorityWeight: 3, LateValueShare: late()},
		},
		Tenants: []decision.Tenant{{Name: "a", Share: 0.7, QuotaPerSecond: 100},
			{Name: "b", Share: 0.3, QuotaPerSecond: 0}},
		ObjectiveWeights: decision.ObjectiveWeights{Overall: 0.55, WorstClass: 0.2, WorstTenant: 0.1,
			WorstWindow: 0.15},
		KeyAffinity: rng.IntN(4) == 0, PolledDiscovery: coin(),
		Constraints: decision.Constraints{AnswerSlack: 8 * milli, MaxListAge: 10 * time.Second,
			WarmUp: 8 * time.Second, DrainGrace: 500 * milli,
			OverloadWindow: time.Second, OverloadFactor: 3, InitialCapacity: 0.34},
		Capabilities: decision.Capabilities{Cancel: rng.IntN(4) > 0, HealthChecks: rng.IntN(5) > 0,
			RetryAfter: coin(), HedgedRequests: coin(),
			ConnectionIdleTimeout: time.Minute, ConnectTimeout: 75 * milli, MaxRetryAfter: time.Second,
			MaxAttempts: 1 + rng.IntN(4), StreamsPerConnection: 1,
			MaxOpenRequests: []int{0, 0, 20, 20000}[rng.IntN(4)]},
	}
	if rng.IntN(3) == 0 {
		cfg.Instances = 4 + rng.IntN(8)
	}
	return cfg
}

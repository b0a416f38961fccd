// Package simulation plays a world in virtual time: many proxies, each with a policy of its own in this process, before
// many nodes. Equal specs and seeds give equal results, byte for byte, whatever the number of cores.
//
// Time goes in steps of one tick. In each step all proxies take in what has come for them, each apart from the
// others, then all cells serve up to the step's end, each apart from the others. What passes between the two
// is put in order by one goroutine.
package simulation

import (
	"time"

	"lapisspread/decision"
	"lapisspread/internal/faultlab/checker"
	"lapisspread/internal/faultlab/model"
)

// Tick is the span of a step: a proxy handles what has come in once a tick.
const Tick = 2 * time.Millisecond

// ModuleConfig is what the platform tells a proxy of a world.
func ModuleConfig(s *model.Spec, proxy int) decision.Config {
	c := decision.Config{Instances: s.Proxies, Rank: proxy, Zone: s.ProxyZone(proxy), Tick: Tick, OverQuotaWeight: model.OverWorth,
		ClientsMarkRetries: true, Weights: decision.WeightNominal,
		ObjectiveWeights: decision.ObjectiveWeights{Overall: 0.55, WorstClass: 0.2, WorstTenant: 0.1, WorstWindow: 0.15},
		Penalties: decision.Penalties{CrossZone: checker.UsualPrices.CrossZone, LateFailure: checker.UsualPrices.LateFail,
			HealthCheck: checker.UsualPrices.Probe, WastedWork: checker.UsualPrices.Waste},
		Constraints: decision.Constraints{AnswerSlack: checker.DefaultSlack, MaxListAge: 10 * time.Second,
			WarmUp: model.Ms(s.Cold.For.Hi), DrainGrace: checker.DefaultDrainGrace, OverloadWindow: s.Cold.Fall,
			OverloadFactor: s.Cold.Multiple, InitialCapacity: s.Cold.From.Lo},
		Capabilities: decision.Capabilities{Cancel: true, HealthChecks: true, RetryAfter: true, HedgedRequests: true, ConnectionIdleTimeout: s.Conns.Idle,
			ConnectTimeout: s.Conns.ConnectTimeout, MaxRetryAfter: time.Second, MaxAttempts: 3, StreamsPerConnection: 1,
			MaxOpenRequests: 20000}}
	for _, k := range s.Classes {
		effect := decision.NotIdempotent
		if k.Safe {
			effect = decision.Idempotent
		}
		c.Classes = append(c.Classes, decision.Class{Name: k.Name, LatencyObjective: k.Aim, ClientTimeout: k.GiveUp, Idempotency: effect, DeduplicationScope: decision.ScopeAll,
			DeduplicationWindow: 5 * time.Second, LateValueShare: k.Late, PriorityWeight: k.Worth})
	}
	for _, t := range s.Tenants {
		c.Tenants = append(c.Tenants, decision.Tenant{Name: t.Name, Share: t.Share, QuotaPerSecond: t.Share * s.Load.Quota * s.Load.Rate})
	}
	return c
}

// State is a listing as the module knows it.
func State(l model.Listing) decision.BackendState {
	switch l {
	case model.Active:
		return decision.Ready
	case model.Leaving:
		return decision.Draining
	}
	return decision.Removed
}

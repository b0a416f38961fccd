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
	c := decision.Config{Instances: s.Proxies, Rank: proxy, Zone: s.ProxyZone(proxy), Tick: Tick, OverShareWorth: model.OverWorth,
		MarksRetry: true, Weights: decision.WeightNominal,
		Goal: decision.Goal{Whole: 0.55, WorstClass: 0.2, WorstTenant: 0.1, WorstWindow: 0.15},
		Prices: decision.Prices{CrossZone: checker.UsualPrices.CrossZone, LateFail: checker.UsualPrices.LateFail,
			Probe: checker.UsualPrices.Probe, Waste: checker.UsualPrices.Waste},
		Obligations: decision.Obligations{AnswerSlack: checker.DefaultSlack, AskEvery: 10 * time.Second,
			Cold: model.Ms(s.Cold.For.Hi), DrainGrace: checker.DefaultDrainGrace, Fall: s.Cold.Fall,
			FallMultiple: s.Cold.Multiple, StartCapacity: s.Cold.From.Lo},
		Caps: decision.Caps{Cancel: true, Probes: true, RetryAfter: true, SecondCopies: true, ConnIdle: s.Conns.Idle,
			ConnectTimeout: s.Conns.ConnectTimeout, MaxRetryAfter: time.Second, MaxAttempts: 3, StreamsPerConn: 1,
			MaxOpen: 20000}}
	for _, k := range s.Classes {
		effect := decision.Unsafe
		if k.Safe {
			effect = decision.Safe
		}
		c.Classes = append(c.Classes, decision.Class{Name: k.Name, Aim: k.Aim, GiveUp: k.GiveUp, Effect: effect, Group: decision.GroupAll,
			Window: 5 * time.Second, LateShare: k.Late, Value: k.Worth})
	}
	for _, t := range s.Tenants {
		c.Tenants = append(c.Tenants, decision.Tenant{Name: t.Name, Share: t.Share, QuotaPerS: t.Share * s.Load.Quota * s.Load.Rate})
	}
	return c
}

// State is a listing as the module knows it.
func State(l model.Listing) decision.State {
	switch l {
	case model.Active:
		return decision.Ready
	case model.Leaving:
		return decision.Draining
	}
	return decision.Gone
}

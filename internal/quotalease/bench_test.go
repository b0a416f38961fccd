package quotalease

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"
)

// BenchmarkAcquire measures Acquire and Release of one unit under a large lease of a rate or of units in flight.
func BenchmarkAcquire(b *testing.B) {
	for _, quota := range []string{"r", "h"} {
		b.Run(quota, func(b *testing.B) {
			cluster := newTestCluster(b, "a")
			cluster.maxLifetime = 2 * time.Hour
			holder := cluster.holders[0]
			holder.SetDemand(quota, 1e8)
			cluster.setQuotas(2, func(config *FleetConfig) {
				config.MaxLifetime = 2 * time.Hour
				config.Quotas[0].Limit = 1e8
				config.Quotas[0].Burst = 1e8
				config.Quotas[0].LeaseDuration = time.Hour
				config.Quotas[1].LeaseDuration = time.Hour
			})
			cluster.exchange(holder)
			b.ReportAllocs()
			now := cluster.now
			for b.Loop() {
				now += 30
				if token, err := holder.Acquire(now, quota, 1); err == nil {
					_ = holder.Release(quota, token, 1)
				}
			}
		})
	}
}

// BenchmarkDivide measures 50 divisions of a quota among 1000 holders.
func BenchmarkDivide(b *testing.B) {
	quota := rateQuota()
	var demands []Demand
	for i := range 1000 {
		demands = append(demands, Demand{
			HolderID: holderID(fmt.Sprintf("proxy-%04d", i)),
			Wanted:   FromUnits(float64(i%7) / 10),
			Current:  FromUnits(float64(i%5) / 10),
		})
	}
	for b.Loop() {
		for range 50 {
			Divide(quota, demands)
		}
	}
}

// benchmarkConfig returns a configuration with 50 rate quotas.
func benchmarkConfig() FleetConfig {
	config := FleetConfig{FleetID: "f", MaxDrift: .01, MaxLifetime: 10 * time.Second}
	for i := range 50 {
		config.Quotas = append(config.Quotas, Quota{
			Name: fmt.Sprintf("budget-%02d", i), Kind: Rate, Limit: 10000, Burst: 2000, LeaseDuration: 3 * time.Second,
		})
	}
	return config
}

// planLogged applies what the allocator plans and returns the size of these log commands in bytes, as JSON.
func (c *testCluster) planLogged() (logged int) {
	for range 2 {
		commands := c.allocator.Plan(c.now)
		if len(commands) == 0 {
			break
		}
		data, err := json.Marshal(commands)
		if err != nil {
			c.Fatalf("json.Marshal(the commands of Plan) = error %v, want no error", err)
		}
		logged += len(data)
		result, err := c.try(Command{Batch: commands})
		if err != nil {
			c.Fatalf("Apply(the commands of Plan) = error %v, want no error", err)
		}
		c.allocator.ObserveApplied(c.now, result)
	}
	return logged
}

// BenchmarkRound measures one round of requests of a whole fleet: one server receives the requests, plans, applies
// the commands and replies.
func BenchmarkRound(b *testing.B) {
	for _, holders := range []int{30, 300, 1000} {
		b.Run(fmt.Sprintf("%d holders x 50 budgets", holders), func(b *testing.B) {
			config := benchmarkConfig()
			cluster := newTestCluster(b, "")
			cluster.mustApply(Command{SetQuotas: &SetQuotas{Version: 2, Config: config}})
			for i := range holders {
				holder := cluster.join(fmt.Sprintf("proxy-%04d", i))
				for j := range config.Quotas {
					holder.SetDemand(config.Quotas[j].Name, float64((i*7+j)%40))
				}
			}
			requests := 0
			logged := 0
			for b.Loop() {
				for _, holder := range cluster.holders {
					requests++
					cluster.request(holder)
				}
				logged += cluster.planLogged()
				for _, holder := range cluster.holders {
					cluster.reply(holder)
				}
				cluster.now += time.Second
			}
			b.ReportMetric(float64(logged)/float64(requests), "logbytes/ask")
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(requests), "us/ask")
		})
	}
}

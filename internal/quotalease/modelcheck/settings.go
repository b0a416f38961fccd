package modelcheck

import (
	"time"

	"lapisspread/internal/quotalease"
	"lapisspread/internal/quotalease/internal/mutation"
)

const (
	fleetID   = "f"
	quotaName = "b"
)

// Settings are those of a modelled fleet with one quota.
type Settings struct {
	Holders       int
	Servers       int
	Kind          quotalease.Kind
	Limit         float64 // units a second, or units in flight
	Burst         float64 // units
	LeaseDuration time.Duration
	MaxHoldTime   time.Duration
	MaxDrift      float64
	Floor         float64 // units, of the first holder

	// MaxMoment is the longest time between two moments of a random run; 0 is a twentieth of a lease.
	MaxMoment time.Duration
	// FaultRates are how often each fault is drawn, in faultDraws moments; nil is defaultFaultRates.
	FaultRates map[Fault]int

	mutations mutation.Set
}

// config returns the configuration with a limit and a burst.
func (s *Settings) config(units, burst float64) quotalease.FleetConfig {
	quota := quotalease.Quota{
		Name: quotaName, Kind: s.Kind, Limit: units, Burst: burst,
		LeaseDuration: s.LeaseDuration, MaxHoldTime: s.MaxHoldTime,
	}
	if s.Floor > 0 {
		quota.Floors = map[string]float64{holderName(0): s.Floor}
	}
	return quotalease.FleetConfig{
		FleetID: fleetID, MaxDrift: s.MaxDrift, MaxLifetime: s.maxLifetime(), Quotas: []quotalease.Quota{quota},
	}
}

func (s *Settings) bootstrap(epoch uint64) quotalease.Command {
	return quotalease.Command{Bootstrap: &quotalease.Bootstrap{
		FleetID: fleetID, Epoch: epoch, MaxDrift: s.MaxDrift, MaxLifetime: s.maxLifetime(),
	}}
}

func (s *Settings) setQuotas(version uint64, units, burst float64) quotalease.Command {
	return quotalease.Command{SetQuotas: &quotalease.SetQuotas{Version: version, Config: s.config(units, burst)}}
}

func (s *Settings) maxLifetime() time.Duration { return s.LeaseDuration + s.MaxHoldTime }

// holderName returns the name of the i-th holder.
func holderName(i int) string { return string(rune('a'+i%26)) + string(rune('a'+i/26)) }

// driftingClock is wrong by a constant rate.
type driftingClock struct {
	rate   float64
	offset time.Duration
}

// at returns what the clock shows at a true time.
func (c driftingClock) at(now time.Duration) time.Duration {
	return c.offset + time.Duration(float64(now)*c.rate)
}

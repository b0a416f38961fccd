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

// Settings describe a modelled fleet with one quota.
type Settings struct {
	Holders       int // number of proxies
	Servers       int // number of control-plane servers
	Kind          quotalease.Kind
	Limit         float64 // units a second, or units in flight
	Burst         float64 // units
	LeaseDuration time.Duration
	MaxHoldTime   time.Duration
	MaxDrift      float64
	Floor         float64 // units of the floor of the first holder; 0 means no floor

	// MaxStepTime is the maximum time of one step of a random run; 0 means a twentieth of the lease duration.
	MaxStepTime time.Duration
	// FaultRates are the average numbers of each fault in faultRateSteps steps; nil means defaultFaultRates.
	FaultRates map[Fault]int

	mutations mutation.Set
}

// config returns the configuration of the fleet with a limit and a burst, in units.
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

// bootstrap returns the command that bootstraps the fleet under an epoch.
func (s *Settings) bootstrap(epoch uint64) quotalease.Command {
	return quotalease.Command{Bootstrap: &quotalease.Bootstrap{
		FleetID: fleetID, Epoch: epoch, MaxDrift: s.MaxDrift, MaxLifetime: s.maxLifetime(),
	}}
}

// setQuotas returns the command that sets the configuration with a limit and a burst, in units, under a version.
func (s *Settings) setQuotas(version uint64, units, burst float64) quotalease.Command {
	return quotalease.Command{SetQuotas: &quotalease.SetQuotas{Version: version, Config: s.config(units, burst)}}
}

// maxLifetime returns the longest time for which a lease or its units in flight can count.
func (s *Settings) maxLifetime() time.Duration { return s.LeaseDuration + s.MaxHoldTime }

// holderName returns the name of the i-th holder: aa, ba, ca and so on.
func holderName(i int) string { return string(rune('a'+i%26)) + string(rune('a'+i/26)) }

// driftingClock is a clock with a constant drift.
type driftingClock struct {
	rate   float64       // the speed relative to true time
	offset time.Duration // what the clock shows at true time 0
}

// clockTime returns the time that the clock shows at trueTime.
func (c driftingClock) clockTime(trueTime time.Duration) time.Duration {
	return c.offset + time.Duration(float64(trueTime)*c.rate)
}

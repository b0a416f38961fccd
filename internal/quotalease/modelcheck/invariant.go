package modelcheck

import (
	"fmt"
	"slices"
	"time"

	"lapisspread/internal/quotalease"
)

const (
	// Tolerances for floating-point errors, in units.
	levelTolerance = 1e-3 // of the level of the shared token bucket
	sumTolerance   = 1e-6 // of the sum of the outstanding units
)

// configuredLimit is a limit under which leases were granted. The outstanding units may reach it until the last of
// these leases has expired for certain.
type configuredLimit struct {
	units  float64
	burst  float64
	endsAt time.Duration // true time at which the last lease under this limit has expired
}

// recordLimit records the limit of a leader that may just have committed leases.
func (c *cluster) recordLimit(leader *server) {
	config, _ := leader.state.Config()
	if len(config.Quotas) == 0 {
		return
	}
	// A process with the slowest clock measures the maximum lifetime in this true time.
	longest := time.Duration(float64(c.settings.maxLifetime()) / (1 - c.settings.MaxDrift))
	limit := configuredLimit{
		units: config.Quotas[0].Limit, burst: config.Quotas[0].Burst, endsAt: c.now + longest + time.Millisecond,
	}
	c.limits = slices.DeleteFunc(slices.Clone(c.limits), func(old configuredLimit) bool {
		return old.units == limit.units || old.endsAt < c.now
	})
	c.limits = append(c.limits, limit)
}

// maxLimit returns the largest limit and the largest burst under which leases may be outstanding at the current time.
// They are at least the floor and its burst, because no configuration removes the floor.
func (c *cluster) maxLimit() (units, burst float64) {
	units = c.settings.Floor
	burst = c.settings.Burst * c.settings.Floor / c.settings.Limit
	for _, limit := range c.limits {
		if limit.endsAt >= c.now {
			units = max(units, limit.units)
			burst = max(burst, limit.burst)
		}
	}
	return units, burst
}

// fillSharedBucket refills the shared token bucket, from which the units that all proxies acquire are taken, at the
// rate and up to the burst of maxLimit.
func (c *cluster) fillSharedBucket() {
	units, burst := c.maxLimit()
	c.sharedBucket = min(burst, c.sharedBucket+units*(c.now-c.filledAt).Seconds())
	c.filledAt = c.now
}

// acquire has the i-th proxy acquire units until one is rejected, at most maxUnits. For a rate it records a violation
// if the proxies together spend more than the limit and the burst allow.
func (c *cluster) acquire(i, maxUnits int) {
	p := c.proxies[i]
	for range maxUnits {
		now := p.clockTime(c.now)
		token, err := p.Acquire(now, quotaName, 1)
		if err != nil {
			return
		}
		c.spentUnits++
		if c.settings.Kind == quotalease.InFlight {
			p.inFlight = append(p.inFlight, inFlightUnit{token: token, endsAt: now + c.settings.MaxHoldTime})
			continue
		}
		c.fillSharedBucket()
		c.sharedBucket--
		if c.sharedBucket < -levelTolerance {
			c.recordViolation("holder %s acquired a unit beyond the limit and the burst, by %.3f units",
				p.HolderID.Holder, -c.sharedBucket)
		}
	}
}

// releaseUnits releases the units in flight of the i-th proxy whose hold time has ended. It also releases other units,
// oldest first, until minUnits are released in all.
func (c *cluster) releaseUnits(i, minUnits int) {
	p := c.proxies[i]
	now := p.clockTime(c.now)
	p.inFlight = slices.DeleteFunc(slices.Clone(p.inFlight), func(unit inFlightUnit) bool {
		if unit.endsAt > now && minUnits <= 0 {
			return false
		}
		minUnits--
		if err := p.Release(quotaName, unit.token, 1); err != nil {
			c.recordViolation("holder %s: Release of a unit in flight failed: %v", p.HolderID.Holder, err)
		}
		return true
	})
}

// recordViolation records a violation of the invariant, unless one was recorded before.
func (c *cluster) recordViolation(format string, args ...any) {
	if c.violation == "" {
		c.violation = fmt.Sprintf("at %v: ", c.now) + fmt.Sprintf(format, args...)
	}
}

// outstanding returns the units that all processes may spend at the current time or have in flight.
func (c *cluster) outstanding() (sum float64) {
	for _, p := range c.proxies {
		leased, floor := p.inFlightUnits(c.now)
		if p.running {
			status := p.Status(p.clockTime(c.now), quotaName)
			leased = max(leased, status.Amount.Units())
			floor = max(floor, status.Floor.Units())
		}
		sum += leased + floor
	}
	for _, unit := range c.orphanedUnits {
		if unit.endsAt > c.now {
			sum++
		}
	}
	return sum
}

// inFlightUnits returns the units in flight that leases admitted, and those that the floor admitted.
func (p *proxy) inFlightUnits(now time.Duration) (leased, floor float64) {
	for _, unit := range p.inFlight {
		switch {
		case unit.endsAt <= p.clockTime(now):
		case unit.token == quotalease.Token{}:
			floor++
		default:
			leased++
		}
	}
	return leased, floor
}

// checkInvariant returns the first violation of the invariant so far, "" if there is none.
func (c *cluster) checkInvariant() string {
	units, _ := c.maxLimit()
	if sum := c.outstanding(); sum > units+sumTolerance {
		c.recordViolation("%.6f units are outstanding, above the limit of %v", sum, units)
	}
	return c.violation
}

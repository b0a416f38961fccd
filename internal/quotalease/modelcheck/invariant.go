package modelcheck

import (
	"fmt"
	"slices"
	"time"

	"lapisspread/internal/quotalease"
)

const (
	// levelTolerance and sumTolerance are in units, for floating-point errors.
	levelTolerance = 1e-3
	sumTolerance   = 1e-6
)

// configuredLimit is a limit under which something was granted. It counts until that must have expired, by true time.
type configuredLimit struct {
	units float64
	burst float64
	until time.Duration
}

// recordLimit notes the limit of a leader that may just have committed leases.
func (c *cluster) recordLimit(leader *server) {
	config, _ := leader.state.Config()
	if len(config.Quotas) == 0 {
		return
	}
	longest := time.Duration(float64(c.settings.maxLifetime()) / (1 - c.settings.MaxDrift)) // by a slow clock
	limit := configuredLimit{
		units: config.Quotas[0].Limit, burst: config.Quotas[0].Burst, until: c.now + longest + time.Millisecond,
	}
	c.limits = slices.DeleteFunc(slices.Clone(c.limits), func(old configuredLimit) bool {
		return old.units == limit.units || old.until < c.now
	})
	c.limits = append(c.limits, limit)
}

// maxLimit returns the largest limit that counts now. The floor counts always, because nobody takes it back.
func (c *cluster) maxLimit() (units, burst float64) {
	units = c.settings.Floor
	burst = c.settings.Burst * c.settings.Floor / c.settings.Limit
	for _, limit := range c.limits {
		if limit.until >= c.now {
			units = max(units, limit.units)
			burst = max(burst, limit.burst)
		}
	}
	return units, burst
}

// fillSharedBucket fills the one bucket that all that is spent must fit.
func (c *cluster) fillSharedBucket() {
	units, burst := c.maxLimit()
	c.sharedBucket = min(burst, c.sharedBucket+units*(c.now-c.filledAt).Seconds())
	c.filledAt = c.now
}

// acquire has a process spend what it can, up to a number of units.
func (c *cluster) acquire(i, most int) {
	p := c.proxies[i]
	for range most {
		now := p.at(c.now)
		token, err := p.Acquire(now, quotaName, 1)
		if err != nil {
			return
		}
		c.spentUnits++
		if c.settings.Kind == quotalease.InFlight {
			p.inFlight = append(p.inFlight, inFlightWork{token: token, until: now + c.settings.MaxHoldTime})
			continue
		}
		c.fillSharedBucket()
		c.sharedBucket--
		if c.sharedBucket < -levelTolerance {
			c.recordViolation("%s spends beyond the limit and its burst, by %.3f units",
				p.HolderID.Holder, -c.sharedBucket)
		}
	}
}

// releaseWork gives back units whose hold time is over, and a few more, the oldest first.
func (c *cluster) releaseWork(i, few int) {
	p := c.proxies[i]
	now := p.at(c.now)
	p.inFlight = slices.DeleteFunc(slices.Clone(p.inFlight), func(unit inFlightWork) bool {
		if unit.until > now && few <= 0 {
			return false
		}
		few--
		if err := p.Release(quotaName, unit.token, 1); err != nil {
			c.recordViolation("%v", err)
		}
		return true
	})
}

// recordViolation notes what broke, unless something broke before.
func (c *cluster) recordViolation(format string, args ...any) {
	if c.violation == "" {
		c.violation = fmt.Sprintf("at %v: ", c.now) + fmt.Sprintf(format, args...)
	}
}

// outstanding returns all that processes may spend now or have in flight, in units.
func (c *cluster) outstanding() (sum float64) {
	for _, p := range c.proxies {
		leased, floor := p.inFlightUnits(c.now)
		if p.up {
			status := p.Status(p.at(c.now), quotaName)
			leased = max(leased, status.Amount.Units())
			floor = max(floor, status.Floor.Units())
		}
		sum += leased + floor
	}
	for _, unit := range c.orphanedWork {
		if unit.until > c.now {
			sum++
		}
	}
	return sum
}

// inFlightUnits returns the units in flight under leases and of the floor.
func (p *proxy) inFlightUnits(now time.Duration) (leased, floor float64) {
	for _, unit := range p.inFlight {
		switch {
		case unit.until <= p.at(now):
		case unit.token == quotalease.Token{}:
			floor++
		default:
			leased++
		}
	}
	return leased, floor
}

// checkInvariant returns what is broken, "" if nothing is.
func (c *cluster) checkInvariant() string {
	units, _ := c.maxLimit()
	if sum := c.outstanding(); sum > units+sumTolerance {
		c.recordViolation("%.6f may be spent of a limit of %v", sum, units)
	}
	return c.violation
}

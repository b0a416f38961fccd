package processquota

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

// defaultWeight is the weight of a member whose Share.Weight is 0.
const defaultWeight = 1

// Share is what a member of a Pool is promised.
type Share struct {
	Min    int64   // units that it gets whenever it wants them
	Cap    int64   // the most units that it may hold; 0 is no cap but the total
	Weight float64 // of its part of what is above all minimums; 0 counts as 1
}

// PoolSettings hold for all members of a Pool.
type PoolSettings struct {
	Total  int64         // units
	Recall time.Duration // after which a waiting member has its minimum: the longest that anybody holds a unit
	Lend   float64       // part of an idle minimum that is lent, 0 to 1
}

// Pool is a number of units that members acquire and release. It is not safe for concurrent use.
type Pool struct {
	settings  PoolSettings
	members   map[string]*member
	order     []*member // in the order in which they were added
	used      int64
	weightSum float64 // of all members that are not removed
	minSum    int64
}

// member is one member of a pool.
type member struct {
	name  string
	share Share
	used  int64
	// waitingUntil is how long units are kept free for it, because it acquired in vain; 0 is not at all.
	waitingUntil time.Duration
	// removed says that it is no longer a member; it is dropped once it has released all units.
	removed bool
}

// NewPool returns a pool. Its error names each invalid member or field.
func NewPool(settings PoolSettings, shares map[string]Share) (*Pool, error) {
	p := &Pool{members: map[string]*member{}}
	if err := p.Reconfigure(settings, shares); err != nil {
		return nil, err
	}
	return p, nil
}

// Reconfigure sets new settings and shares. A member that holds more than it may now keeps it, and acquires nothing
// new until it is below. A member that is not in shares keeps what it holds, and acquires nothing. On an error, which
// names each invalid member or field, nothing changes.
func (p *Pool) Reconfigure(settings PoolSettings, shares map[string]Share) error {
	minSum, err := validatePool(settings, shares)
	if err != nil {
		return err
	}
	p.settings = settings
	p.minSum = minSum
	for _, m := range p.order {
		if _, stays := shares[m.name]; !stays {
			m.removed = true
			m.share = Share{}
			m.waitingUntil = 0
		}
	}
	for _, name := range slices.Sorted(maps.Keys(shares)) {
		share := shares[name]
		if share.Weight == 0 {
			share.Weight = defaultWeight
		}
		m := p.members[name]
		if m == nil {
			m = &member{name: name}
			p.members[name] = m
			p.order = append(p.order, m)
		}
		m.share = share
		m.removed = false
	}
	p.dropRemoved()
	return nil
}

// validatePool returns the sum of all minimums, or an error that names each invalid member or field.
func validatePool(settings PoolSettings, shares map[string]Share) (minSum int64, err error) {
	var errs []error
	switch {
	case settings.Total < 0:
		errs = append(errs, fmt.Errorf("total: %d is negative", settings.Total))
	case settings.Recall < 0:
		errs = append(errs, fmt.Errorf("recall: %v is negative", settings.Recall))
	case !(settings.Lend >= 0 && settings.Lend <= 1):
		errs = append(errs, fmt.Errorf("lend: %v is not within 0 and 1", settings.Lend))
	}
	for _, name := range slices.Sorted(maps.Keys(shares)) {
		s := shares[name]
		switch {
		case s.Min < 0 || s.Cap < 0:
			errs = append(errs, fmt.Errorf("%s: min %d or cap %d is negative", name, s.Min, s.Cap))
		case s.Cap > 0 && s.Cap < s.Min:
			errs = append(errs, fmt.Errorf("%s: cap %d is under min %d", name, s.Cap, s.Min))
		case !(s.Weight >= 0) || math.IsInf(s.Weight, 0):
			errs = append(errs, fmt.Errorf("%s: weight %v", name, s.Weight))
		}
		minSum += max(0, s.Min)
	}
	if minSum > settings.Total {
		errs = append(errs, fmt.Errorf("the minimums come to %d, the total is %d", minSum, settings.Total))
	}
	return minSum, errors.Join(errs...)
}

// dropRemoved forgets removed members that hold nothing.
func (p *Pool) dropRemoved() {
	remaining := p.order[:0]
	p.weightSum = 0
	for _, m := range p.order {
		if m.removed && m.used == 0 {
			delete(p.members, m.name)
			continue
		}
		remaining = append(remaining, m)
		if !m.removed {
			p.weightSum += m.share.Weight
		}
	}
	clear(p.order[len(remaining):])
	p.order = remaining
}

// Acquire gives a member n units, all or none. If it gets none although its cap permits them, units that others
// release are kept free for it until PoolSettings.Recall has passed.
func (p *Pool) Acquire(now time.Duration, name string, n int64) bool {
	m := p.members[name]
	if m == nil || m.removed || n < 0 {
		return false
	}
	if n == 0 {
		return true
	}
	if m.share.Cap > 0 && m.used+n > m.share.Cap || n > p.settings.Total {
		return false // what others release would not help
	}
	if n > p.available(now, m) {
		m.waitingUntil = now + max(p.settings.Recall, 1)
		return false
	}
	m.used += n
	p.used += n
	if m.used >= m.share.Min || m.waitingUntil <= now {
		m.waitingUntil = 0
	}
	return true
}

// Available returns how many units a member could acquire now.
func (p *Pool) Available(now time.Duration, name string) int64 {
	m := p.members[name]
	if m == nil || m.removed {
		return 0
	}
	available := p.available(now, m)
	if m.share.Cap > 0 {
		available = min(available, m.share.Cap-m.used)
	}
	return max(0, available)
}

// available returns how many more units m may hold, regardless of its cap. Of what others are owed, less is withheld
// from the rest of m's own minimum (withinMin) than from what is above it (aboveMin).
func (p *Pool) available(now time.Duration, m *member) int64 {
	withinMin := p.settings.Total - p.used
	aboveMin := withinMin
	for _, other := range p.order {
		if other == m || other.removed {
			continue
		}
		owed := other.share.Min - other.used
		waiting := other.waitingUntil > now
		if owed > 0 {
			// The part that is never lent stays free whatever other holds of the rest. The whole minimum of a waiting
			// member goes before what is above others' minimums, but not before these: all minimums fit together.
			neverLent := other.share.Min - int64(p.settings.Lend*float64(other.share.Min))
			withheld := max(0, neverLent-other.used)
			withinMin -= withheld
			if waiting {
				withheld = owed
			}
			aboveMin -= withheld
		}
		// Above its own minimum m yields to a waiting member that is under its weighted share, if m is above its own.
		if waiting && owed <= 0 && float64(other.used) < p.weightedShare(other) {
			aboveMin = min(aboveMin, int64(math.Floor(p.weightedShare(m)-float64(m.used))))
		}
	}
	if ownOwed := max(0, m.share.Min-m.used); aboveMin <= ownOwed {
		return min(withinMin, ownOwed)
	}
	return aboveMin
}

// weightedShare returns a member's minimum and, by its weight, its part of what is above all minimums, in units.
func (p *Pool) weightedShare(m *member) float64 {
	return float64(m.share.Min) + float64(p.settings.Total-p.minSum)*m.share.Weight/p.weightSum
}

// ReleaseError is returned by Pool.Release for units that the member does not hold.
type ReleaseError struct {
	Member string
	Units  int64
}

// Error implements error.
func (e ReleaseError) Error() string {
	return fmt.Sprintf("%s gives back %d that it does not hold", e.Member, e.Units)
}

// Release returns n units of a member to the pool. If the member does not hold them, it returns a ReleaseError and
// nothing changes.
func (p *Pool) Release(name string, n int64) error {
	m := p.members[name]
	if m == nil || n < 0 || n > m.used {
		return ReleaseError{Member: name, Units: n}
	}
	m.used -= n
	p.used -= n
	if m.removed && m.used == 0 {
		p.dropRemoved()
	}
	return nil
}

// MemberUsage is the state of one member.
type MemberUsage struct {
	Share
	Used    int64
	Waiting bool // it acquired in vain less than PoolSettings.Recall ago
}

// Usage returns the state of all members, and of removed ones that still hold units.
func (p *Pool) Usage(now time.Duration) map[string]MemberUsage {
	out := map[string]MemberUsage{}
	for _, m := range p.order {
		out[m.name] = MemberUsage{Share: m.share, Used: m.used, Waiting: m.waitingUntil > now}
	}
	return out
}

// InUse returns how many units a member holds.
func (p *Pool) InUse(name string) int64 {
	if m := p.members[name]; m != nil {
		return m.used
	}
	return 0
}

// Total returns how many units there are, and how many are held.
func (p *Pool) Total() (total, used int64) { return p.settings.Total, p.used }

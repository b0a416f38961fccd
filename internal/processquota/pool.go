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

// Share holds the limits of one member of a Pool.
type Share struct {
	Min    int64   // units that are guaranteed to the member
	Cap    int64   // maximum number of units that it may hold; 0 means no limit except the pool's total
	Weight float64 // its relative share of the units above all minimums; 0 counts as 1
}

// PoolSettings are the settings that apply to all members of a Pool.
type PoolSettings struct {
	Total  int64         // number of units in the pool
	Recall time.Duration // longest time that a unit is held, after which a waiting member has its minimum
	Lend   float64       // fraction of a member's minimum that is lent while unused, 0 to 1
}

// Pool is a fixed number of units that members acquire and release. It is not safe for concurrent use.
type Pool struct {
	settings  PoolSettings
	members   map[string]*member
	order     []*member // in the order in which they were added
	used      int64
	weightSum float64 // sum of the weights of all members that are not removed
	minSum    int64   // sum of the minimums of all members that are not removed
}

// member is one member of a pool.
type member struct {
	name  string
	share Share
	used  int64
	// waitingUntil is the time until which units are kept free for the member after a failed Acquire; 0 if none are.
	waitingUntil time.Duration
	// removed is set once the member is no longer configured. It is deleted when it has released all its units.
	removed bool
}

// NewPool returns a pool with a share for each member, by name. Its error names each invalid member or field.
func NewPool(settings PoolSettings, shares map[string]Share) (*Pool, error) {
	p := &Pool{members: map[string]*member{}}
	if err := p.Reconfigure(settings, shares); err != nil {
		return nil, err
	}
	return p, nil
}

// Reconfigure sets new settings and shares. A member that holds more than its new limit keeps those units, and cannot
// acquire more until it is below the limit. A member that is not in shares keeps the units that it holds, and cannot
// acquire more. On an error, which names each invalid member or field, nothing changes.
func (p *Pool) Reconfigure(settings PoolSettings, shares map[string]Share) error {
	minSum, err := validatePool(settings, shares)
	if err != nil {
		return err
	}
	p.settings = settings
	p.minSum = minSum
	for _, m := range p.order {
		if _, configured := shares[m.name]; !configured {
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
		errs = append(errs, fmt.Errorf("lend: %v is not between 0 and 1", settings.Lend))
	}
	for _, name := range slices.Sorted(maps.Keys(shares)) {
		s := shares[name]
		switch {
		case s.Min < 0 || s.Cap < 0:
			errs = append(errs, fmt.Errorf("%s: min %d or cap %d is negative", name, s.Min, s.Cap))
		case s.Cap > 0 && s.Cap < s.Min:
			errs = append(errs, fmt.Errorf("%s: cap %d is below min %d", name, s.Cap, s.Min))
		case !(s.Weight >= 0) || math.IsInf(s.Weight, 0):
			errs = append(errs, fmt.Errorf("%s: weight %v must be finite and not negative", name, s.Weight))
		}
		minSum += max(0, s.Min)
	}
	if minSum > settings.Total {
		errs = append(errs, fmt.Errorf("the sum of the minimums, %d, exceeds the total of %d", minSum, settings.Total))
	}
	return minSum, errors.Join(errs...)
}

// dropRemoved deletes the removed members that hold no units, and recomputes the sum of the weights.
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

// Acquire takes n units for a member, all or none, and reports whether it took them. If it fails although the member's
// cap permits n units, units that other members release are kept free for this member until PoolSettings.Recall has
// passed. It returns false for an unknown or removed member.
func (p *Pool) Acquire(now time.Duration, name string, n int64) bool {
	m := p.members[name]
	if m == nil || m.removed || n < 0 {
		return false
	}
	if n == 0 {
		return true
	}
	if m.share.Cap > 0 && m.used+n > m.share.Cap || n > p.settings.Total {
		return false // units released by other members would not help
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

// Available returns how many units a member could acquire at the time now.
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

// available returns how many more units m may acquire, ignoring its cap. It computes two limits: withinMin for units
// within m's own minimum and aboveMin for units above it. Units that are reserved for other members' minimums reduce
// withinMin by less than aboveMin.
func (p *Pool) available(now time.Duration, m *member) int64 {
	withinMin := p.settings.Total - p.used
	aboveMin := withinMin
	for _, other := range p.order {
		if other == m || other.removed {
			continue
		}
		unusedMin := other.share.Min - other.used
		waiting := other.waitingUntil > now
		if unusedMin > 0 {
			// The part of a minimum that is never lent always stays free. A waiting member's whole minimum has
			// precedence over units above other members' minimums, but not over those minimums: the total covers all
			// of them.
			neverLent := other.share.Min - int64(p.settings.Lend*float64(other.share.Min))
			withheld := max(0, neverLent-other.used)
			withinMin -= withheld
			if waiting {
				withheld = unusedMin
			}
			aboveMin -= withheld
		}
		// For units above its own minimum, m may not exceed its weighted share while another member waits that has its
		// minimum and is below its own weighted share.
		if waiting && unusedMin <= 0 && float64(other.used) < p.weightedShare(other) {
			aboveMin = min(aboveMin, int64(math.Floor(p.weightedShare(m)-float64(m.used))))
		}
	}
	if ownUnusedMin := max(0, m.share.Min-m.used); aboveMin <= ownUnusedMin {
		return min(withinMin, ownUnusedMin)
	}
	return aboveMin
}

// weightedShare returns, in units, a member's minimum plus its share, by weight, of the units above all minimums.
func (p *Pool) weightedShare(m *member) float64 {
	return float64(m.share.Min) + float64(p.settings.Total-p.minSum)*m.share.Weight/p.weightSum
}

// ReleaseError is returned by Pool.Release when the member holds fewer units than it releases.
type ReleaseError struct {
	Member string
	Units  int64 // number of units passed to Release
}

// Error implements error.
func (e ReleaseError) Error() string {
	return fmt.Sprintf("member %q cannot release %d units: it holds fewer, or the number is negative",
		e.Member, e.Units)
}

// Release returns n units of a member to the pool. If the member does not hold n units, or n is negative, it returns a
// ReleaseError and nothing changes.
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
	Waiting bool // units are kept free for it: its last Acquire failed less than PoolSettings.Recall ago
}

// Usage returns the state of all members by name, including removed members that still hold units.
func (p *Pool) Usage(now time.Duration) map[string]MemberUsage {
	out := map[string]MemberUsage{}
	for _, m := range p.order {
		out[m.name] = MemberUsage{Share: m.share, Used: m.used, Waiting: m.waitingUntil > now}
	}
	return out
}

// InUse returns how many units a member holds; 0 for an unknown member.
func (p *Pool) InUse(name string) int64 {
	if m := p.members[name]; m != nil {
		return m.used
	}
	return 0
}

// Total returns the number of units in the pool, and how many of them are held.
func (p *Pool) Total() (total, used int64) { return p.settings.Total, p.used }

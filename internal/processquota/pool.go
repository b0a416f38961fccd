// Package processquota shares what a process has among its services: requests in hand, bytes of bodies, connections
// (Pool), and attempts a second (Rate); and whose requests still get in as a share runs short (Gate). It is pure: no I/O, no goroutine, no clock; callers give the time and see to
// it that one at a time calls.
//
// What a Pool promises, for members with a minimum, a weight and a cap:
//
//   - The total is never exceeded, nor a member's cap.
//   - A member that asks finds at once what of its minimum is never lent.
//   - A member that goes on asking has its whole minimum after the recall time, if nobody holds anything for longer
//     than that. What of a minimum is idle is lent until its owner asks.
//   - What is over all minimums goes by weight: who asks and is under its weighted share goes before who is over it.
//     Nobody that asks waits for ever behind those that are over theirs, under the same condition.
package processquota

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

// Share is what a member is promised.
type Share struct {
	Min    int64   // units that it has whenever it wants them
	Cap    int64   // units that it may have at most; 0 is no cap but the total
	Weight float64 // of what is over all minimums; 0 counts as 1
}

// PoolSettings hold for all members of a pool.
type PoolSettings struct {
	Total  int64         // units
	Recall time.Duration // after which a member that asks has its minimum: the longest that anybody holds a unit
	Lend   float64       // part of an idle minimum that is lent, 0 to 1
}

// Pool is units that members take and give back.
type Pool struct {
	settings  PoolSettings
	members   map[string]*member
	order     []*member
	used      int64
	weightSum float64
	minSum    int64
}

type member struct {
	name         string
	share        Share
	used         int64
	waitingUntil time.Duration // it has asked in vain, and is kept room for until then; 0 is not
	removed      bool          // no longer a member; what it holds comes back in its time
}

// NewPool makes a pool. Errors name the member or the field.
func NewPool(terms PoolSettings, shares map[string]Share) (*Pool, error) {
	p := &Pool{members: map[string]*member{}}
	if err := p.Reconfigure(terms, shares); err != nil {
		return nil, err
	}
	return p, nil
}

// Reconfigure sets new terms and shares. Who holds more than it may now keeps it, and gets nothing new until it has
// come down; members that are no longer named give back what they hold and get nothing. A bad change changes nothing.
func (p *Pool) Reconfigure(terms PoolSettings, shares map[string]Share) error {
	var errs []error
	switch {
	case terms.Total < 0:
		errs = append(errs, fmt.Errorf("total: %d is negative", terms.Total))
	case terms.Recall < 0:
		errs = append(errs, fmt.Errorf("recall: %v is negative", terms.Recall))
	case !(terms.Lend >= 0 && terms.Lend <= 1):
		errs = append(errs, fmt.Errorf("lend: %v is not within 0 and 1", terms.Lend))
	}
	var mins int64
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
		mins += max(0, s.Min)
	}
	if mins > terms.Total {
		errs = append(errs, fmt.Errorf("the minimums come to %d, the total is %d", mins, terms.Total))
	}
	if len(errs) > 0 {
		return errors.Join(errs...)
	}
	p.settings, p.minSum = terms, mins
	for _, m := range p.order {
		if _, stays := shares[m.name]; !stays {
			m.removed, m.share, m.waitingUntil = true, Share{}, 0
		}
	}
	for _, name := range slices.Sorted(maps.Keys(shares)) {
		s := shares[name]
		if s.Weight == 0 {
			s.Weight = 1
		}
		m := p.members[name]
		if m == nil {
			m = &member{name: name}
			p.members[name] = m
			p.order = append(p.order, m)
		}
		m.share, m.removed = s, false
	}
	p.dropRemoved()
	return nil
}

// dropRemoved drops members that are gone and hold nothing.
func (p *Pool) dropRemoved() {
	keep := p.order[:0]
	p.weightSum = 0
	for _, m := range p.order {
		if m.removed && m.used == 0 {
			delete(p.members, m.name)
			continue
		}
		keep = append(keep, m)
		if !m.removed {
			p.weightSum += m.share.Weight
		}
	}
	clear(p.order[len(keep):])
	p.order = keep
}

// Acquire gives a member n units, or tells that it may not have them now; then room is kept for it.
func (p *Pool) Acquire(now time.Duration, name string, n int64) bool {
	m := p.members[name]
	if m == nil || m.removed || n < 0 {
		return false
	}
	if n == 0 {
		return true
	}
	if m.share.Cap > 0 && m.used+n > m.share.Cap || n > p.settings.Total {
		return false // it would not help to wait for others
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

// Available is how many units a member could take now: exactly as many does Take give it.
func (p *Pool) Available(now time.Duration, name string) int64 {
	m := p.members[name]
	if m == nil || m.removed {
		return 0
	}
	room := p.available(now, m)
	if m.share.Cap > 0 {
		room = min(room, m.share.Cap-m.used)
	}
	return max(0, room)
}

// available is how many more m may have, but for its cap.
func (p *Pool) available(now time.Duration, m *member) int64 {
	within, over := p.settings.Total-p.used, p.settings.Total-p.used // for its minimum, and beyond
	for _, o := range p.order {
		if o == m || o.removed {
			continue
		}
		left := o.share.Min - o.used
		wants := o.waitingUntil > now
		if left > 0 {
			// What is never lent stays, whatever o holds of the rest. A minimum that is asked for goes before what is
			// over others' minimums, but not before these: they all fit together.
			unlent := o.share.Min - int64(p.settings.Lend*float64(o.share.Min))
			keep := max(0, unlent-o.used)
			within -= keep
			if wants {
				keep = left
			}
			over -= keep
		}
		// Over its own minimum m makes way for one that asks and is under its weighted part, if m is over its own.
		if wants && left <= 0 && float64(o.used) < p.weightedShare(o) {
			over = min(over, int64(math.Floor(p.weightedShare(m)-float64(m.used))))
		}
	}
	if owed := max(0, m.share.Min-m.used); over <= owed {
		return min(within, owed)
	}
	return over
}

// weightedShare is a member's weighted share: its minimum, and its part by weight of what is over all minimums.
func (p *Pool) weightedShare(m *member) float64 {
	return float64(m.share.Min) + float64(p.settings.Total-p.minSum)*m.share.Weight/p.weightSum
}

// Release takes n units back from a member. What it does not hold it cannot give: that is told, and nothing changes.
func (p *Pool) Release(name string, n int64) error {
	m := p.members[name]
	if m == nil || n < 0 || n > m.used {
		return fmt.Errorf("%s gives back %d that it does not hold", name, n)
	}
	m.used -= n
	p.used -= n
	if m.removed && m.used == 0 {
		p.dropRemoved()
	}
	return nil
}

// MemberUsage is how a member stands.
type MemberUsage struct {
	Share
	Used    int64
	Waiting bool // it has asked in vain of late
}

// Usage is how all members stand, those that are gone and still hold something too.
func (p *Pool) Usage(now time.Duration) map[string]MemberUsage {
	out := map[string]MemberUsage{}
	for _, m := range p.order {
		out[m.name] = MemberUsage{m.share, m.used, m.waitingUntil > now}
	}
	return out
}

// InUse is how many units a member holds.
func (p *Pool) InUse(name string) int64 {
	if m := p.members[name]; m != nil {
		return m.used
	}
	return 0
}

// Total is how many units there are, and how many are taken.
func (p *Pool) Total() (total, used int64) { return p.settings.Total, p.used }

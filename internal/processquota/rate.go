package processquota

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"time"
)

// RateShare is what a member of a Rate is promised, in units a second.
type RateShare struct {
	Min    float64 // that it has whenever it wants it
	Cap    float64 // that it may have at most; 0 is no cap but the total
	Weight float64 // of what the others leave idle; 0 counts as 1
}

// Rate shares so many units a second: each member has a bucket that fills at its minimum, and what overflows, with
// what is over all minimums, fills a common one that each may take from, up to its cap.
//
// It promises that over any span no more than the total times the span and one burst is taken, and that a member
// which takes no more than its minimum, evenly, is never refused.
type Rate struct {
	total   float64
	burst   time.Duration
	members map[string]*rated
	order   []*rated
	common  float64
	at      time.Duration
	begun   bool
}

type rated struct {
	name   string
	share  RateShare
	tokens float64 // of its minimum
	room   float64 // what its cap still allows
	taken  float64 // of the common bucket of late, by weight
}

// NewRate makes a rate of so many units a second, of which each bucket holds as many as come in a burst.
func NewRate(total float64, burst time.Duration, shares map[string]RateShare) (*Rate, error) {
	r := &Rate{members: map[string]*rated{}}
	if err := r.Change(total, burst, shares); err != nil {
		return nil, err
	}
	return r, nil
}

// Change sets other figures. What was saved up stays, within the new bounds. A bad change changes nothing.
func (r *Rate) Change(total float64, burst time.Duration, shares map[string]RateShare) error {
	var errs []error
	if !(total > 0) || math.IsInf(total, 0) {
		errs = append(errs, fmt.Errorf("total: %v a second", total))
	}
	if burst <= 0 {
		errs = append(errs, fmt.Errorf("burst: %v", burst))
	}
	names := make([]string, 0, len(shares))
	sum := 0.0
	for n, s := range shares {
		names = append(names, n)
		sum += max(0, s.Min)
		if !(s.Min >= 0 && s.Cap >= 0 && s.Weight >= 0) || s.Cap > 0 && s.Cap < s.Min || math.IsInf(s.Min+s.Cap+s.Weight, 0) {
			errs = append(errs, fmt.Errorf("%s: min %v, cap %v, weight %v", n, s.Min, s.Cap, s.Weight))
		}
	}
	if sum > total*(1+1e-9) {
		errs = append(errs, fmt.Errorf("the minimums come to %v a second, the total is %v", sum, total))
	}
	if len(errs) > 0 {
		return errors.Join(errs...)
	}
	slices.Sort(names)
	r.total, r.burst = total, burst
	old := r.members
	r.members, r.order = map[string]*rated{}, nil
	for _, n := range names {
		s := shares[n]
		if s.Weight == 0 {
			s.Weight = 1
		}
		m := old[n]
		if m == nil {
			m = &rated{name: n, tokens: math.Inf(1), room: math.Inf(1)}
		}
		m.share = s
		m.tokens = min(m.tokens, r.holds(s.Min))
		m.room = min(m.room, r.holds(m.most(r)))
		r.members[n] = m
		r.order = append(r.order, m)
	}
	r.common = min(r.common, r.holds(r.total-sum))
	return nil
}

// holds is what a bucket that fills at a rate holds at most: one unit and
// a burst, so that who comes up to a burst late loses nothing.
func (r *Rate) holds(rate float64) float64 {
	if rate <= 0 {
		return 0
	}
	return 1 + rate*r.burst.Seconds()
}

func (m *rated) most(r *Rate) float64 {
	if m.share.Cap > 0 {
		return m.share.Cap
	}
	return r.total
}

// fill brings all buckets to now.
func (r *Rate) fill(now time.Duration) {
	if !r.begun {
		r.begun, r.at = true, now
	}
	span := (now - r.at).Seconds()
	if span <= 0 {
		return
	}
	r.at = now
	left := r.total * span
	for _, m := range r.order {
		got := m.share.Min * span
		left -= got
		full := r.holds(m.share.Min)
		if over := m.tokens + got - full; over > 0 {
			m.tokens = full
			left += over
		} else {
			m.tokens += got
		}
		m.room = min(m.room+m.most(r)*span, r.holds(m.most(r)))
		m.taken *= math.Exp(-span / r.burst.Seconds())
	}
	r.common = min(r.common+max(0, left), r.holds(r.total))
}

// tiny is what sums of many small spans may be off by.
const tiny = 1e-6

// Take takes a unit for a member, or tells that there is none for it now, and when there will be one of its
// minimum (0 if that is never).
func (r *Rate) Take(now time.Duration, name string) (ok bool, after time.Duration) {
	m := r.members[name]
	if m == nil {
		return false, 0
	}
	r.fill(now)
	switch {
	case m.room < 1-tiny:
		return false, time.Duration((1 - m.room) / m.most(r) * float64(time.Second))
	case m.tokens >= 1-tiny:
		m.tokens--
	case r.common >= 1 && r.mayBorrow(m):
		r.common--
		m.taken += 1 / m.share.Weight
	default:
		if m.share.Min > 0 {
			after = time.Duration((1 - m.tokens) / m.share.Min * float64(time.Second))
		}
		return false, after
	}
	m.room--
	return true, 0
}

// mayBorrow keeps the last half of the common bucket for those that have taken less of it, by weight.
func (r *Rate) mayBorrow(m *rated) bool {
	if r.common > r.holds(r.total)/2 || len(r.order) == 1 {
		return true
	}
	sum := 0.0
	n := 0
	for _, o := range r.order {
		if o.taken > 0 || o == m {
			sum += o.taken
			n++
		}
	}
	return m.taken <= sum/float64(n)+1
}

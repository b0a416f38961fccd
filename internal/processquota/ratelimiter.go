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

// RateLimiter shares so many units a second: each member has a bucket that fills at its minimum, and what overflows, with
// what is over all minimums, fills a common one that each may take from, up to its cap.
//
// It promises that over any span no more than the total times the span and one burst is taken, and that a member
// which takes no more than its minimum, evenly, is never refused.
type RateLimiter struct {
	total        float64
	burst        time.Duration
	members      map[string]*rateMember
	order        []*rateMember
	sharedTokens float64
	refilledAt   time.Duration
	started      bool
}

type rateMember struct {
	name             string
	share            RateShare
	minTokens        float64 // of its minimum
	capTokens        float64 // what its cap still allows
	recentlyBorrowed float64 // of the common bucket of late, by weight
}

// NewRateLimiter makes a rate of so many units a second, of which each bucket holds as many as come in a burst.
func NewRateLimiter(total float64, burst time.Duration, shares map[string]RateShare) (*RateLimiter, error) {
	r := &RateLimiter{members: map[string]*rateMember{}}
	if err := r.Reconfigure(total, burst, shares); err != nil {
		return nil, err
	}
	return r, nil
}

// Reconfigure sets other figures. What was saved up stays, within the new bounds. A bad change changes nothing.
func (r *RateLimiter) Reconfigure(total float64, burst time.Duration, shares map[string]RateShare) error {
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
	r.members, r.order = map[string]*rateMember{}, nil
	for _, n := range names {
		s := shares[n]
		if s.Weight == 0 {
			s.Weight = 1
		}
		m := old[n]
		if m == nil {
			m = &rateMember{name: n, minTokens: math.Inf(1), capTokens: math.Inf(1)}
		}
		m.share = s
		m.minTokens = min(m.minTokens, r.bucketSize(s.Min))
		m.capTokens = min(m.capTokens, r.bucketSize(m.maxRate(r)))
		r.members[n] = m
		r.order = append(r.order, m)
	}
	r.sharedTokens = min(r.sharedTokens, r.bucketSize(r.total-sum))
	return nil
}

// bucketSize is what a bucket that fills at a rate holds at most: one unit and
// a burst, so that who comes up to a burst late loses nothing.
func (r *RateLimiter) bucketSize(rate float64) float64 {
	if rate <= 0 {
		return 0
	}
	return 1 + rate*r.burst.Seconds()
}

func (m *rateMember) maxRate(r *RateLimiter) float64 {
	if m.share.Cap > 0 {
		return m.share.Cap
	}
	return r.total
}

// refill brings all buckets to now.
func (r *RateLimiter) refill(now time.Duration) {
	if !r.started {
		r.started, r.refilledAt = true, now
	}
	span := (now - r.refilledAt).Seconds()
	if span <= 0 {
		return
	}
	r.refilledAt = now
	left := r.total * span
	for _, m := range r.order {
		got := m.share.Min * span
		left -= got
		full := r.bucketSize(m.share.Min)
		if over := m.minTokens + got - full; over > 0 {
			m.minTokens = full
			left += over
		} else {
			m.minTokens += got
		}
		m.capTokens = min(m.capTokens+m.maxRate(r)*span, r.bucketSize(m.maxRate(r)))
		m.recentlyBorrowed *= math.Exp(-span / r.burst.Seconds())
	}
	r.sharedTokens = min(r.sharedTokens+max(0, left), r.bucketSize(r.total))
}

// roundingError is what sums of many small spans may be off by.
const roundingError = 1e-6

// Acquire takes a unit for a member, or tells that there is none for it now, and when there will be one of its
// minimum (0 if that is never).
func (r *RateLimiter) Acquire(now time.Duration, name string) (ok bool, after time.Duration) {
	m := r.members[name]
	if m == nil {
		return false, 0
	}
	r.refill(now)
	switch {
	case m.capTokens < 1-roundingError:
		return false, time.Duration((1 - m.capTokens) / m.maxRate(r) * float64(time.Second))
	case m.minTokens >= 1-roundingError:
		m.minTokens--
	case r.sharedTokens >= 1 && r.mayBorrow(m):
		r.sharedTokens--
		m.recentlyBorrowed += 1 / m.share.Weight
	default:
		if m.share.Min > 0 {
			after = time.Duration((1 - m.minTokens) / m.share.Min * float64(time.Second))
		}
		return false, after
	}
	m.capTokens--
	return true, 0
}

// mayBorrow keeps the last half of the common bucket for those that have taken less of it, by weight.
func (r *RateLimiter) mayBorrow(m *rateMember) bool {
	if r.sharedTokens > r.bucketSize(r.total)/2 || len(r.order) == 1 {
		return true
	}
	sum := 0.0
	n := 0
	for _, o := range r.order {
		if o.recentlyBorrowed > 0 || o == m {
			sum += o.recentlyBorrowed
			n++
		}
	}
	return m.recentlyBorrowed <= sum/float64(n)+1
}

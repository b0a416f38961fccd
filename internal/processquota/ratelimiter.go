package processquota

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// sumTolerance is by how much the sum of all minimums may exceed the total, relative to it, because of rounding.
	sumTolerance = 1e-9
	// roundingError is what the sum of many small refills may be off by, in units.
	roundingError = 1e-6
	// sharedReserve is the part of the shared bucket that is kept for members that borrowed less of late.
	sharedReserve = 0.5
)

// RateShare is what a member of a RateLimiter is promised, in units per second.
type RateShare struct {
	Min    float64 // that it gets whenever it wants them
	Cap    float64 // the most that it may get; 0 is no cap but the total
	Weight float64 // of its part of what the others leave idle; 0 counts as 1
}

// RateLimiter divides a number of units per second. Each member has a token bucket that fills at its minimum. What
// overflows, and what is above all minimums, fills a shared bucket from which each member may borrow, up to its cap.
//
// In any period no more units are acquired than the total times the period and one burst. A member that acquires its
// minimum at an even pace is never rejected. It is not safe for concurrent use.
type RateLimiter struct {
	total        float64 // units per second
	burst        time.Duration
	members      map[string]*rateMember
	order        []*rateMember // by name
	sharedTokens float64
	refilledAt   time.Duration
	started      bool // refilledAt is set
}

// rateMember is one member of a RateLimiter. Its buckets are in units.
type rateMember struct {
	name      string
	share     RateShare
	minTokens float64 // the bucket that fills at its minimum
	capTokens float64 // the bucket that fills at its cap
	// recentlyBorrowed is what it borrowed from the shared bucket, divided by its weight; it decays within a burst.
	recentlyBorrowed float64
}

// NewRateLimiter returns a limiter of total units per second. Each bucket holds what flows in within burst, and one
// unit more. Its error names each invalid member or field.
func NewRateLimiter(total float64, burst time.Duration, shares map[string]RateShare) (*RateLimiter, error) {
	r := &RateLimiter{members: map[string]*rateMember{}}
	if err := r.Reconfigure(total, burst, shares); err != nil {
		return nil, err
	}
	return r, nil
}

// Reconfigure sets new rates and shares. Tokens in the buckets stay, up to the new sizes. On an error, which names
// each invalid member or field, nothing changes.
func (r *RateLimiter) Reconfigure(total float64, burst time.Duration, shares map[string]RateShare) error {
	names := slices.Sorted(maps.Keys(shares))
	minSum, err := validateRates(total, burst, names, shares)
	if err != nil {
		return err
	}
	r.total = total
	r.burst = burst
	previous := r.members
	r.members = map[string]*rateMember{}
	r.order = nil
	for _, name := range names {
		share := shares[name]
		if share.Weight == 0 {
			share.Weight = defaultWeight
		}
		m := previous[name]
		if m == nil { // a new member starts with full buckets
			m = &rateMember{name: name, minTokens: math.Inf(1), capTokens: math.Inf(1)}
		}
		m.share = share
		m.minTokens = min(m.minTokens, r.bucketSize(share.Min))
		m.capTokens = min(m.capTokens, r.bucketSize(m.maxRate(r)))
		r.members[name] = m
		r.order = append(r.order, m)
	}
	r.sharedTokens = min(r.sharedTokens, r.bucketSize(r.total-minSum))
	return nil
}

// validateRates returns the sum of all minimums, or an error that names each invalid member or field.
func validateRates(
	total float64, burst time.Duration, names []string, shares map[string]RateShare,
) (minSum float64, err error) {
	var errs []error
	if !(total > 0) || math.IsInf(total, 0) {
		errs = append(errs, fmt.Errorf("total: %v a second", total))
	}
	if burst <= 0 {
		errs = append(errs, fmt.Errorf("burst: %v", burst))
	}
	for _, name := range names {
		s := shares[name]
		minSum += max(0, s.Min)
		negative := !(s.Min >= 0 && s.Cap >= 0 && s.Weight >= 0)
		if negative || s.Cap > 0 && s.Cap < s.Min || math.IsInf(s.Min+s.Cap+s.Weight, 0) {
			errs = append(errs, fmt.Errorf("%s: min %v, cap %v, weight %v", name, s.Min, s.Cap, s.Weight))
		}
	}
	if minSum > total*(1+sumTolerance) {
		errs = append(errs, fmt.Errorf("the minimums come to %v a second, the total is %v", minSum, total))
	}
	return minSum, errors.Join(errs...)
}

// bucketSize returns what a bucket that fills at a rate holds: the burst, and one unit more so that a member which
// acquires late within a burst loses nothing.
func (r *RateLimiter) bucketSize(rate float64) float64 {
	if rate <= 0 {
		return 0
	}
	return 1 + rate*r.burst.Seconds()
}

// maxRate returns the most that a member may get, in units per second.
func (m *rateMember) maxRate(r *RateLimiter) float64 {
	if m.share.Cap > 0 {
		return m.share.Cap
	}
	return r.total
}

// refill fills all buckets up to now.
func (r *RateLimiter) refill(now time.Duration) {
	if !r.started {
		r.started = true
		r.refilledAt = now
	}
	elapsed := (now - r.refilledAt).Seconds()
	if elapsed <= 0 {
		return
	}
	r.refilledAt = now
	unassigned := r.total * elapsed
	for _, m := range r.order {
		inflow := m.share.Min * elapsed
		unassigned -= inflow
		size := r.bucketSize(m.share.Min)
		if overflow := m.minTokens + inflow - size; overflow > 0 {
			m.minTokens = size
			unassigned += overflow
		} else {
			m.minTokens += inflow
		}
		m.capTokens = min(m.capTokens+m.maxRate(r)*elapsed, r.bucketSize(m.maxRate(r)))
		m.recentlyBorrowed *= math.Exp(-elapsed / r.burst.Seconds())
	}
	r.sharedTokens = min(r.sharedTokens+max(0, unassigned), r.bucketSize(r.total))
}

// Acquire takes one unit for a member. If there is none now, retryAfter is when there will be one of its minimum, or
// under its cap if that rejects it; 0 is not known.
func (r *RateLimiter) Acquire(now time.Duration, name string) (ok bool, retryAfter time.Duration) {
	m := r.members[name]
	if m == nil {
		return false, 0
	}
	r.refill(now)
	switch {
	case m.capTokens < 1-roundingError:
		return false, refillTime(m.capTokens, m.maxRate(r))
	case m.minTokens >= 1-roundingError:
		m.minTokens--
	case r.sharedTokens >= 1 && r.mayBorrow(m):
		r.sharedTokens--
		m.recentlyBorrowed += 1 / m.share.Weight
	default:
		if m.share.Min > 0 {
			retryAfter = refillTime(m.minTokens, m.share.Min)
		}
		return false, retryAfter
	}
	m.capTokens--
	return true, 0
}

// refillTime returns how long a bucket takes to hold one token, at a rate per second.
func refillTime(tokens, rate float64) time.Duration {
	return time.Duration((1 - tokens) / rate * float64(time.Second))
}

// mayBorrow keeps the last part of the shared bucket, sharedReserve, for members that borrowed no more than the mean
// of late, by weight.
func (r *RateLimiter) mayBorrow(m *rateMember) bool {
	if r.sharedTokens > r.bucketSize(r.total)*sharedReserve || len(r.order) == 1 {
		return true
	}
	sum := 0.0
	borrowers := 0
	for _, other := range r.order {
		if other.recentlyBorrowed > 0 || other == m {
			sum += other.recentlyBorrowed
			borrowers++
		}
	}
	return m.recentlyBorrowed <= sum/float64(borrowers)+1
}

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
	// sumTolerance is the fraction of the total by which the sum of all minimums may exceed it because of rounding.
	sumTolerance = 1e-9
	// roundingError is the maximum rounding error, in units, of a sum of many small refills.
	roundingError = 1e-6
	// sharedReserve is the fraction of the shared bucket that is reserved for members that recently borrowed little.
	sharedReserve = 0.5
)

// RateShare holds the limits of one member of a RateLimiter.
type RateShare struct {
	Min    float64 // units per second that are guaranteed to the member
	Cap    float64 // maximum units per second; 0 means no limit except the total
	Weight float64 // its relative share of the rate that other members leave unused; 0 counts as 1
}

// RateLimiter divides a rate, in units per second, among members. Each member has a token bucket that fills at its
// minimum rate. Overflow of these buckets, and the rate above all minimums, fill a shared bucket from which each member
// may borrow, up to its cap.
//
// In any period, no more units are acquired than the total rate times the period, plus one burst. A member that
// acquires at its minimum rate, evenly spaced, is never rejected. It is not safe for concurrent use.
type RateLimiter struct {
	total        float64 // units per second
	burst        time.Duration
	members      map[string]*rateMember
	order        []*rateMember // by name
	sharedTokens float64
	refilledAt   time.Duration
	started      bool // whether refilledAt is set
}

// rateMember is one member of a RateLimiter. The levels of its buckets are in units.
type rateMember struct {
	name      string
	share     RateShare
	minTokens float64 // level of the bucket that fills at the member's minimum rate
	capTokens float64 // level of the bucket that fills at the member's cap
	// recentlyBorrowed is the number of units borrowed from the shared bucket, divided by the weight. It decays
	// exponentially with the time constant RateLimiter.burst.
	recentlyBorrowed float64
}

// NewRateLimiter returns a limiter of total units per second. The capacity of each bucket is its inflow during burst
// plus one unit. Its error names each invalid member or field.
func NewRateLimiter(total float64, burst time.Duration, shares map[string]RateShare) (*RateLimiter, error) {
	r := &RateLimiter{members: map[string]*rateMember{}}
	if err := r.Reconfigure(total, burst, shares); err != nil {
		return nil, err
	}
	return r, nil
}

// Reconfigure sets a new total, in units per second, a new burst and new shares. Tokens in the buckets are kept up to
// the new capacities. On an error, which names each invalid member or field, nothing changes.
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
		errs = append(errs, fmt.Errorf("total: %v per second must be finite and above 0", total))
	}
	if burst <= 0 {
		errs = append(errs, fmt.Errorf("burst: %v must be above 0", burst))
	}
	for _, name := range names {
		s := shares[name]
		minSum += max(0, s.Min)
		negative := !(s.Min >= 0 && s.Cap >= 0 && s.Weight >= 0)
		if negative || s.Cap > 0 && s.Cap < s.Min || math.IsInf(s.Min+s.Cap+s.Weight, 0) {
			errs = append(errs, fmt.Errorf("%s: min %v, cap %v and weight %v must be finite and not negative, "+
				"and the cap 0 or at least the min", name, s.Min, s.Cap, s.Weight))
		}
	}
	if minSum > total*(1+sumTolerance) {
		errs = append(errs, fmt.Errorf("the sum of the minimums, %v per second, exceeds the total of %v",
			minSum, total))
	}
	return minSum, errors.Join(errs...)
}

// bucketSize returns the capacity of a bucket that fills at rate units per second: its inflow during burst, plus one
// unit so that a member that acquires late within a burst loses no tokens.
func (r *RateLimiter) bucketSize(rate float64) float64 {
	if rate <= 0 {
		return 0
	}
	return 1 + rate*r.burst.Seconds()
}

// maxRate returns the maximum rate of a member in units per second: its cap, or the limiter's total if it has no cap.
func (m *rateMember) maxRate(r *RateLimiter) float64 {
	if m.share.Cap > 0 {
		return m.share.Cap
	}
	return r.total
}

// refill adds to all buckets the tokens for the time from the previous refill to now.
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

// Acquire takes one unit for a member and reports whether it did. If not, retryAfter is the time until the bucket that
// rejected the member, of its cap or else of its minimum, holds one token; 0 means that it is not known.
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

// refillTime returns how long a bucket with the given tokens takes to hold one token, at rate tokens per second.
func refillTime(tokens, rate float64) time.Duration {
	return time.Duration((1 - tokens) / rate * float64(time.Second))
}

// mayBorrow reports whether a member may borrow from the shared bucket. The last part of the bucket, sharedReserve, is
// reserved for members whose recent borrowing, relative to their weights, is at most one unit above the mean of all
// borrowers.
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

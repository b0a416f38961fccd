package client

import (
	"math"
	"sync/atomic"
	"time"

	"lapisspread/internal/quotalease"
)

// bucket is a token bucket from which many goroutines take units without a lock. It is the virtual scheduling
// algorithm of GCRA (ITU-T I.371, annex A). Its state is one number: emptyAt, the time at which the bucket was last
// empty. Every take increases it, and only a refund decreases it. The level at a later time is the amount that arrives
// between emptyAt and that time, at most the capacity.
//
// It never admits more than quotalease.Holder does for the same leases. A unit is taken by one compare-and-swap from
// emptyAt to max(emptyAt, now-capacity) + cost, and only if the result is no later than now. So takes are totally
// ordered, and each finds the level that the Holder's bucket would have after the previous takes. Rounding errors only
// reduce what can be taken: cost is rounded up plus one nanosecond, capacity is rounded down. A take whose now was read
// earlier finds a lower level. A new bucket accrues nothing for the time before its creation, because its emptyAt
// starts then.
//
// A worker that replaces a bucket closes it first. Later takes from it fail, and earlier takes are included in the
// emptyAt that the worker swapped out. The next bucket starts with that level, or empty where the Holder's would be:
// if the lease has expired in between, if it belongs to another incarnation, or after a new claim to the floors. So
// units can never be taken from two lease buckets, or two floor buckets, of one quota at the same time, and all units
// taken from successive buckets are units that one Holder could have admitted.
type bucket struct {
	nanosPerUnit float64 // time in which one unit arrives, by a local clock that is fast by the maximum drift
	cost         int64   // of one unit, in nanoseconds: nanosPerUnit rounded up, plus one
	capacity     int64   // nanoseconds in which an empty bucket fills
	expiresAt    int64   // by the client's clock, in nanoseconds; never for a floor
	incarnation  uint64  // of the holder of the lease; 0 for a floor
	token        quotalease.Token
	tokenText    string       // the token as sent with attempts
	emptyAt      atomic.Int64 // by the client's clock, in nanoseconds; closedBucket after close
}

const (
	closedBucket = math.MaxInt64
	never        = math.MaxInt64
	// maxBucketNanos keeps times within int64.
	maxBucketNanos = 1e18
)

// newBucket returns an empty bucket that fills by amount units per second up to burst units. drift is the fraction by
// which the local clock may be fast. It returns nil if no unit could ever be taken, for example with a burst below one
// unit.
func newBucket(now time.Duration, amount, burst quotalease.Amount, drift float64) *bucket {
	if amount <= 0 || burst < quotalease.Unit {
		return nil
	}
	b := &bucket{nanosPerUnit: float64(time.Second) * (1 + drift) / amount.Units(), expiresAt: never}
	b.cost = int64(math.Ceil(min(b.nanosPerUnit, maxBucketNanos))) + 1
	b.capacity = max(b.cost, int64(min(burst.Units()*b.nanosPerUnit, maxBucketNanos)))
	b.emptyAt.Store(int64(now))
	return b
}

// take takes one unit. It returns false if the bucket is empty, expired or closed.
func (b *bucket) take(now int64) bool {
	if now >= b.expiresAt {
		return false
	}
	for {
		emptyAt := b.emptyAt.Load()
		if emptyAt == closedBucket {
			return false
		}
		next := max(emptyAt, now-b.capacity) + b.cost
		if next > now {
			return false
		}
		if b.emptyAt.CompareAndSwap(emptyAt, next) {
			return true
		}
	}
}

// refund undoes a take. The resulting level is no higher than without the take, because the units that arrived in the
// meantime are limited by the capacity in both cases.
func (b *bucket) refund() {
	for {
		emptyAt := b.emptyAt.Load()
		if emptyAt == closedBucket || b.emptyAt.CompareAndSwap(emptyAt, emptyAt-b.cost) {
			return
		}
	}
}

// close makes every later take fail.
func (b *bucket) close() { b.emptyAt.Store(closedBucket) }

// sameLease reports whether both buckets are of the same lease with the same expiry, rate and burst.
func (b *bucket) sameLease(other *bucket) bool {
	return b.token == other.token && b.incarnation == other.incarnation && b.expiresAt == other.expiresAt &&
		b.nanosPerUnit == other.nanosPerUnit && b.capacity == other.capacity
}

// inheritLevel closes the previous bucket, which has not expired, and starts b with its level.
func (b *bucket) inheritLevel(previous *bucket, now time.Duration) {
	emptyAt := previous.emptyAt.Swap(closedBucket)
	elapsed := min(int64(now)-emptyAt, previous.capacity) // negative if a concurrent take used a later now
	level := float64(elapsed) / previous.nanosPerUnit
	b.emptyAt.Store(int64(now) - int64(math.Floor(level*b.nanosPerUnit)))
}

// quota holds the current buckets of one quota and counts the demand for it.
type quota struct {
	limit   float64 // of the whole fleet, in units per second
	buckets atomic.Pointer[bucketPair]

	attempted atomic.Int64 // since the last request for leases
	admitted  atomic.Int64 // since the start
	rejected  atomic.Int64 // since the start
}

// bucketPair holds the buckets of a quota's floor and of its lease. Either may be nil.
type bucketPair struct{ floor, lease *bucket }

// maxTakeAttempts bounds how often take tries again while a worker replaces the buckets, so that take never waits for
// the worker.
const maxTakeAttempts = 3

// take takes one unit, from the floor if possible, otherwise from the lease, and returns the bucket that it came from.
// It returns nil if no unit is available.
func (q *quota) take(now int64) *bucket {
	for range maxTakeAttempts {
		pair := q.buckets.Load()
		if pair == nil {
			return nil
		}
		if pair.floor != nil && pair.floor.take(now) {
			return pair.floor
		}
		if pair.lease != nil && pair.lease.take(now) {
			return pair.lease
		}
		if q.buckets.Load() == pair {
			return nil
		}
	}
	return nil
}

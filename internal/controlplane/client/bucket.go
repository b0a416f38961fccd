package client

import (
	"math"
	"sync/atomic"
	"time"

	"lapisspread/internal/quotalease"
)

// bucket is a token bucket that many goroutines take units from without a lock. It is the virtual scheduling
// algorithm of GCRA (ITU-T I.371, annex A), with one number that only grows: emptyAt, the time at which the bucket
// was last empty. Its level at a time is what comes in from emptyAt until then, at most its capacity.
//
// It never admits more than quotalease.Holder does for the same leases. A unit is taken by one compare-and-swap
// from emptyAt to max(emptyAt, now-capacity) + cost, and only if that is no later than now. So the units are taken
// in one order, and each finds the level that the Holder's bucket would have after those before it, but for
// roundings, which are all against the taker: cost is rounded up and one more, capacity down. A 'now' that was read
// earlier finds less. Time before a bucket was made can't be taken, as its emptyAt begins there.
//
// A worker that puts another bucket in its place first closes this one: a later take fails, an earlier one is in
// the emptyAt that the worker swapped out. The next bucket begins with that level, or empty where the Holder's
// would be: if the lease has expired in between, of another incarnation, or at a claim just made. So never can two
// buckets of a quota be taken from, and what is taken from all of them in turn is what one Holder could have
// admitted.
type bucket struct {
	nanosPerUnit float64 // by this clock, if it is fast by the greatest drift
	cost         int64   // of a unit, in nanoseconds: nanosPerUnit rounded up, and one more
	capacity     int64   // nanoseconds in which an empty bucket fills
	expiresAt    int64   // by the client's clock, in nanoseconds; never for a floor
	incarnation  uint64  // of the worker's holder; 0 for a floor
	token        quotalease.Token
	tokenText    string       // the token as it goes out with attempts
	emptyAt      atomic.Int64 // by the client's clock, in nanoseconds; closedBucket after close
}

const (
	closedBucket = math.MaxInt64
	never        = math.MaxInt64
	// maxBucketNanos keeps times within int64.
	maxBucketNanos = 1e18
)

// newBucket makes an empty bucket for an amount of units a second. It is nil if nothing could be taken from it, as
// from a burst under one unit.
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

// take takes a unit, unless the bucket is empty, expired or closed.
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

// refund undoes a take. The level is then no higher than without it: what came in meanwhile was cut at the capacity
// in either case.
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

// sameAs reports whether both are of one lease.
func (b *bucket) sameAs(o *bucket) bool {
	return b.token == o.token && b.incarnation == o.incarnation && b.expiresAt == o.expiresAt &&
		b.nanosPerUnit == o.nanosPerUnit && b.capacity == o.capacity
}

// takeLevelOf closes a bucket that has not expired, and has this one begin with its level.
func (b *bucket) takeLevelOf(before *bucket, now time.Duration) {
	emptyAt := before.emptyAt.Swap(closedBucket)
	elapsed := min(int64(now)-emptyAt, before.capacity) // below 0 if a taker's now is later
	level := float64(elapsed) / before.nanosPerUnit
	b.emptyAt.Store(int64(now) - int64(math.Floor(level*b.nanosPerUnit)))
}

// quota is what may be taken of a quota now, and the demand for it.
type quota struct {
	limit   float64 // of the whole fleet, in units a second
	buckets atomic.Pointer[bucketPair]

	attempted atomic.Int64 // since the last request for leases
	admitted  atomic.Int64
	rejected  atomic.Int64
}

// bucketPair is the buckets of a floor and of a lease. Either may be nil.
type bucketPair struct{ floor, lease *bucket }

// maxTakeAttempts bounds how often take looks again while a worker replaces the buckets. It never waits for the
// worker.
const maxTakeAttempts = 3

// take takes a unit, of the floor first, and returns the bucket that it came from. It is nil if there is none.
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

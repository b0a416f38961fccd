package quotalease

import "time"

// tokenBucket is a token bucket that limits a rate.
type tokenBucket struct {
	level    float64       // in millionths of a unit
	filledAt time.Duration // when refill last changed the level
}

// refill adds rate units a second for the time since the last refill, up to burst. slowdown is 1 plus the maximum clock
// drift and divides the added units, because a clock that is fast by the drift would otherwise add too many.
func (b *tokenBucket) refill(now time.Duration, rate, burst Amount, slowdown float64) {
	if now > b.filledAt {
		b.level = min(float64(burst), b.level+float64(rate)*(now-b.filledAt).Seconds()/slowdown)
		b.filledAt = now
	}
}

// spend takes an amount from the bucket and returns true, or returns false if the level is too low.
func (b *tokenBucket) spend(amount Amount) bool {
	if b.level < float64(amount) {
		return false
	}
	b.level -= float64(amount)
	return true
}

// limitTo reduces the level to at most burst.
func (b *tokenBucket) limitTo(burst Amount) { b.level = min(b.level, float64(burst)) }

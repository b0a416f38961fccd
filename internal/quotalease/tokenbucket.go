package quotalease

import "time"

// tokenBucket limits a rate. Its level is in millionths of a unit.
type tokenBucket struct {
	level    float64
	filledAt time.Duration
}

// refill adds what came since the last refill at a rate a second, up to burst. slowdown is 1 plus the clock drift:
// a clock that is fast by the drift would fill too much.
func (b *tokenBucket) refill(now time.Duration, rate, burst Amount, slowdown float64) {
	if now > b.filledAt {
		b.level = min(float64(burst), b.level+float64(rate)*(now-b.filledAt).Seconds()/slowdown)
		b.filledAt = now
	}
}

// spend takes an amount from the bucket if it has as much.
func (b *tokenBucket) spend(amount Amount) bool {
	if b.level < float64(amount) {
		return false
	}
	b.level -= float64(amount)
	return true
}

// cutTo cuts the level to a burst.
func (b *tokenBucket) cutTo(burst Amount) { b.level = min(b.level, float64(burst)) }

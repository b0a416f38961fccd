package quotalease

import (
	"math"
	"time"
)

// DriftMargin returns the factor by which a server extends a duration on its own clock so that the duration has also
// ended on any other clock of the fleet: the server's clock may be fast by maxDrift and the other clock slow by it.
func DriftMargin(maxDrift float64) float64 { return (1 + maxDrift) / (1 - maxDrift) }

// withDriftMargin extends a duration by DriftMargin, rounded up. The additional nanosecond covers the floating-point
// rounding of the product.
func withDriftMargin(duration time.Duration, maxDrift float64) time.Duration {
	return time.Duration(math.Ceil(float64(duration)*DriftMargin(maxDrift))) + 1
}

// StartupSilence returns how long a server must not vote, confirm entries or lead after it starts. Its store may be an
// older copy that lacks leases; after this time those leases have expired.
func StartupSilence(maxLifetime time.Duration, maxDrift float64) time.Duration {
	return withDriftMargin(maxLifetime, maxDrift)
}

package quotalease

import (
	"math"
	"time"
)

// DriftMargin returns the factor by which a server stretches a duration by its own clock, so that it is over by any
// other clock of that drift: the server's clock may be fast by the drift and the other one slow by it.
func DriftMargin(maxDrift float64) float64 { return (1 + maxDrift) / (1 - maxDrift) }

// withDriftMargin stretches a duration by DriftMargin, rounded up. The nanosecond more is for the rounding of the
// product itself.
func withDriftMargin(duration time.Duration, maxDrift float64) time.Duration {
	return time.Duration(math.Ceil(float64(duration)*DriftMargin(maxDrift))) + 1
}

// StartupSilence returns for how long a server that starts neither votes, nor confirms entries, nor leads. Its
// store may be an older copy that has forgotten leases; after this time they have expired.
func StartupSilence(maxLifetime time.Duration, maxDrift float64) time.Duration {
	return withDriftMargin(maxLifetime, maxDrift)
}

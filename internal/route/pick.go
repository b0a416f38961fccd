package route

import (
	"math"
	"math/bits"
)

// Pick returns the service for a request of a rule, by the hash of what the request is sticky to. The same hash gives
// the same service, and when a weight grows, hashes move to that service only (weighted rendezvous hashing: Wang and
// Ravishankar, 2005).
func (r *Rule) Pick(hash uint64) string {
	if len(r.To) == 1 {
		return r.To[0].Service
	}
	best, lowestCost := "", math.Inf(1)
	for i := range r.To {
		to := &r.To[i]
		if to.Weight <= 0 {
			continue
		}
		if cost := -math.Log(unitInterval(mix(hash^nameHash(to.Service)))) / to.Weight; cost < lowestCost {
			best, lowestCost = to.Service, cost
		}
	}
	return best
}

// unitInterval maps a hash to a number above 0 and below 1, by the 53 bits that a float64 can represent.
func unitInterval(hash uint64) float64 {
	const mantissaBits = 53
	return (float64(hash>>(64-mantissaBits)) + 0.5) / (1 << mantissaBits)
}

// mix spreads a hash over all bits (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// Parameters of FNV-1a with 64 bits.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// nameHash returns a hash of a service's name: FNV-1a, which needs no allocation, rotated.
func nameHash(name string) uint64 {
	const rotation = 17
	h := uint64(fnvOffset)
	for i := range len(name) {
		h = (h ^ uint64(name[i])) * fnvPrime
	}
	return bits.RotateLeft64(h, rotation)
}

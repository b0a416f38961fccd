package route

import (
	"math"
	"math/bits"
)

// Pick returns the rule's service for a request. hash is the hash of the request's stickiness value, for example of its
// tenant. Equal hashes give the same service, and when a target's weight grows, hashes move only to that target
// (weighted rendezvous hashing: Wang and Ravishankar, 2005).
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
		if cost := -math.Log(unitInterval(mixBits(hash^nameHash(to.Service)))) / to.Weight; cost < lowestCost {
			best, lowestCost = to.Service, cost
		}
	}
	return best
}

// unitInterval maps a hash to a number above 0 and below 1. It uses the upper 53 bits, the precision of a float64.
func unitInterval(hash uint64) float64 {
	const mantissaBits = 53
	return (float64(hash>>(64-mantissaBits)) + 0.5) / (1 << mantissaBits)
}

// mixBits makes each bit of the result depend on all bits of x (the finalizer of SplitMix64).
func mixBits(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// Parameters of the 64-bit FNV-1a hash.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// nameHash returns the rotated FNV-1a hash of a service's name. It allocates nothing.
func nameHash(name string) uint64 {
	const rotation = 17
	h := uint64(fnvOffset)
	for i := range len(name) {
		h = (h ^ uint64(name[i])) * fnvPrime
	}
	return bits.RotateLeft64(h, rotation)
}

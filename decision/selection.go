package decision

import (
	"math"
	"slices"
)

// Targets are selected by power of two choices: of two targets drawn at random, the one with the lower
// expected delay gets the request. This needs no comparison of all targets, and proxies with the same
// estimates do not all choose the same target.
const (
	// A target in another zone is chosen only if the expected delay in the own zone is higher by more than
	// the share localPreference.
	localPreference = 0.5

	// affinityWaitShare is the share of its latency objective for which a request with a key waits for the
	// key's own targets.
	affinityWaitShare = 0.15

	// affinityTargetCount is the number of own targets of a key.
	affinityTargetCount = 2
)

// mayReceive reports whether drains, operators' commands and slow start allow sending a target a request of
// the work in ms.
func (b *Balancer) mayReceive(t *target, work float64) bool {
	return t.State == Ready && !t.detached && b.slowStartAllows(t, work)
}

// selectTarget returns the target for the next attempt of a request, or nil if there is none now. Unhealthy
// targets are considered only if mayAttempt allows no healthy one.
func (b *Balancer) selectTarget(r *request) *target {
	work, scale := b.workOf(r), b.limitScale(r)
	if b.sharedLimitReached(scale) {
		return nil
	}
	for _, healthyOnly := range [2]bool{true, false} {
		found := b.collectCandidates(r, work, healthyOnly)
		b.narrowCandidates(r, scale)
		if len(b.candidates) > 0 {
			return b.chooseByLocality(r)
		}
		if found {
			return nil
		}
	}
	return nil
}

// collectCandidates sets b.candidates to the targets that may get a request; if some of them have not been
// tried yet, only to these. found reports whether mayAttempt allows a target, also one that mayReceive
// forbids.
func (b *Balancer) collectCandidates(r *request, work float64, healthyOnly bool) (found bool) {
	b.candidates = b.candidates[:0]
	hasUntried := false
	for _, t := range b.active {
		if healthyOnly && !t.healthy || !b.mayAttempt(r, t) {
			continue
		}
		found = true
		if b.mayReceive(t, work) {
			b.candidates = append(b.candidates, t)
			hasUntried = hasUntried || !wasAttempted(r, t)
		}
	}
	if hasUntried {
		b.candidates = slices.DeleteFunc(b.candidates, func(t *target) bool { return wasAttempted(r, t) })
	}
	return found
}

// narrowCandidates reduces b.candidates to the targets with capacity and, for a request with a key, to the
// key's own targets. If all targets are near their limits and requests go wherever there is capacity, they
// find no cached data there, and the extra work keeps all targets at their limits. So a request with a key
// waits for the key's own targets for some time before others are considered.
func (b *Balancer) narrowCandidates(r *request, scale float64) {
	isFull := func(t *target) bool { return !b.hasCapacity(t, scale) }
	hasAffinity := b.hasAffinity(r)
	if !hasAffinity || b.now >= r.arrived+fromMillis(affinityWaitShare*millis(r.objectiveAt-r.arrived)) {
		b.candidates = slices.DeleteFunc(b.candidates, isFull)
	}
	if hasAffinity {
		b.candidates = affinityTargets(b.candidates, r.Key)
	}
	b.candidates = slices.DeleteFunc(b.candidates, isFull)
}

// hasAffinity reports whether a request should go to its key's own targets.
func (b *Balancer) hasAffinity(r *request) bool { return b.config.KeyAffinity && r.Key != 0 }

// expectedDelay returns the value by which targets are compared: the expected latency of a request at the
// current load, as a multiple of the latency expected of any backend.
func (b *Balancer) expectedDelay(r *request, t *target) float64 {
	return (t.limit.load + 1) * b.latencyRatio(t) * b.lossFactor(t, r.Class)
}

// chooseByLocality chooses one of b.candidates: the better of two in the own zone, unless the better of two
// from all zones is better by more than localPreference.
func (b *Balancer) chooseByLocality(r *request) *target {
	best := b.betterOfTwo(r, b.candidates)
	if b.hasAffinity(r) {
		return best
	}
	inOwnZone := slices.DeleteFunc(b.candidates, func(t *target) bool { return b.locality(t) > 0 })
	if len(inOwnZone) == 0 {
		return best
	}
	local := b.betterOfTwo(r, inOwnZone)
	if b.expectedDelay(r, best)*(1+localPreference) >= b.expectedDelay(r, local) {
		return local
	}
	return best
}

// betterOfTwo draws two targets at random and returns the one with the lower expected delay.
func (b *Balancer) betterOfTwo(r *request, candidates []*target) *target {
	i := b.random.IntN(len(candidates))
	if len(candidates) == 1 {
		return candidates[i]
	}
	j := b.random.IntN(len(candidates) - 1)
	if j >= i {
		j++
	}
	if b.expectedDelay(r, candidates[j]) < b.expectedDelay(r, candidates[i]) {
		return candidates[j]
	}
	return candidates[i]
}

// affinityTargets returns the own targets of a key, affinityTargetCount of the candidates at most, the first
// choice first. It overwrites candidates. Every proxy gets the same targets. They are selected by a weighted
// rendezvous hash: a target of twice the registered size is the first choice of twice as many keys.
func affinityTargets(candidates []*target, key uint64) []*target {
	n, ranks := 0, [affinityTargetCount + 1]float64{}
	for _, t := range candidates {
		i := n
		ranks[i] = -math.Log((float64(hashKey(key, t.ID))+1)/(1<<64)) / t.relativeSize
		for ; i > 0 && ranks[i] < ranks[i-1]; i-- {
			ranks[i], ranks[i-1] = ranks[i-1], ranks[i]
			candidates[i] = candidates[i-1]
		}
		candidates[i] = t
		n = min(n+1, affinityTargetCount)
	}
	return candidates[:n]
}

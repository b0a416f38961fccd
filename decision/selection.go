package decision

import (
	"math"
	"slices"
)

// Candidate selection is by power of two choices: of two targets drawn at random, the one of lower expected
// delay. It needs no view of all targets at once, and proxies that decide alike don't all choose the same
// target.
const (
	// localPreference is how much worse the own zone's choice may be before one elsewhere is taken.
	localPreference = 0.5

	// affinityWaitShare is the share of its objective that a request with a key waits for its own targets.
	affinityWaitShare = 0.15

	// affinityTargetCount is how many targets a key comes first to.
	affinityTargetCount = 2
)

// mayReceive guards drains, operators' orders and slow start: may a target get a request of so many ms of
// work?
func (b *Balancer) mayReceive(t *target, work float64) bool {
	return t.State == Ready && !t.detached && b.slowStartAllows(t, work)
}

// selectTarget finds the target for the next attempt of a request, or nil. Unhealthy targets are considered
// only if no healthy one may have it.
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

// collectCandidates sets b.candidates to the targets that may get a request, those not yet tried if there
// are any. It reports whether there is one that would do but for drains and slow start.
func (b *Balancer) collectCandidates(r *request, work float64, healthyOnly bool) (found bool) {
	b.candidates = b.candidates[:0]
	fresh := false
	for _, t := range b.active {
		if healthyOnly && !t.healthy || !b.mayAttempt(r, t) {
			continue
		}
		found = true
		if b.mayReceive(t, work) {
			b.candidates = append(b.candidates, t)
			fresh = fresh || !wasAttempted(r, t)
		}
	}
	if fresh {
		b.candidates = slices.DeleteFunc(b.candidates, func(t *target) bool { return wasAttempted(r, t) })
	}
	return found
}

// narrowCandidates leaves those with capacity and, for a request with a key, of these the key's own
// targets. Where all are at their limits, keys that go wherever there is capacity find nothing warm, and
// the extra work keeps all at their limits. So a key waits for its own two before others are considered.
func (b *Balancer) narrowCandidates(r *request, scale float64) {
	hasNone := func(t *target) bool { return !b.hasCapacity(t, scale) }
	hasAffinity := b.hasAffinity(r)
	if !hasAffinity || b.now >= r.arrived+fromMillis(affinityWaitShare*millis(r.objectiveAt-r.arrived)) {
		b.candidates = slices.DeleteFunc(b.candidates, hasNone)
	}
	if hasAffinity {
		b.candidates = affinityTargets(b.candidates, r.Key)
	}
	b.candidates = slices.DeleteFunc(b.candidates, hasNone)
}

// hasAffinity reports whether a request goes to its key's own targets.
func (b *Balancer) hasAffinity(r *request) bool { return b.config.KeyAffinity && r.Key != 0 }

// expectedDelay is what targets are compared by: the latency at the present load, in multiples of what is
// expected of any backend.
func (b *Balancer) expectedDelay(r *request, t *target) float64 {
	return (t.limit.load + 1) * b.latencyRatio(t) * b.lossFactor(t, r.Class)
}

// chooseByLocality takes one of b.candidates: the better of two in the own zone, unless the better of two
// of all is better by far.
func (b *Balancer) chooseByLocality(r *request) *target {
	best := b.betterOfTwo(r, b.candidates)
	if b.hasAffinity(r) {
		return best
	}
	near := slices.DeleteFunc(b.candidates, func(t *target) bool { return b.locality(t) > 0 })
	if len(near) == 0 {
		return best
	}
	local := b.betterOfTwo(r, near)
	if b.expectedDelay(r, best)*(1+localPreference) >= b.expectedDelay(r, local) {
		return local
	}
	return best
}

// betterOfTwo draws two targets at random and takes the one of lower expected delay.
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

// affinityTargets leaves the two targets that a key comes first to, in that order, the same at every proxy.
// It is a weighted rendezvous hash: a target that is registered as twice as large comes first to twice as
// many keys.
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

package rollout

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// drawSurplus is by how many times the possible draws must exceed what a level needs: figures tie, and proxies
	// leave.
	drawSurplus = 1.2
	// smallFleetSurplus is the same for the error rate of a small fleet. With 1, only the worst of all draws would
	// stop a rollout.
	smallFleetSurplus = 1000
	// maxExtraShare bounds by how much of the fleet a step is widened so that its test can stop it.
	maxExtraShare = 0.1
	// maxWidenings bounds the shift in stepSize.
	maxWidenings = 16
	// maxCombinations is where combinations stops counting.
	maxCombinations = 1e300
)

// Constants of the hashes that order the draw.
const (
	fnvOffsetBasis     = 14695981039346656037 // FNV-1a of 64 bits
	fnvPrime           = 1099511628211
	splitMixMultiplier = 0xbf58476d1ce4e5b9 // the finaliser of SplitMix64
	splitMixLastFactor = 0x94d049bb133111eb
)

// startStep starts a step. The figures of both sides begin anew, so that they cover the same time.
func (r *Rollout) startStep(now time.Duration) {
	r.stepStart = now
	r.looksTaken = 0
	clear(r.departed)
	for _, p := range r.proxies {
		p.good = 0
		p.bad = 0
		p.heardInStep = now
		p.adopted = false
	}
	r.expandStep()
}

// expandStep gives the version to as many proxies as the step is to have, in the order of the draw.
func (r *Rollout) expandStep() {
	wanted := r.stepSize(r.comparedCount) - r.drawnCount
	if wanted <= 0 {
		return
	}
	unavailable := func(p *proxy) bool { return p.targeted || p.excluded || p.hasLeft }
	if !r.undrawnSorted {
		r.undrawn = slices.DeleteFunc(r.undrawn, unavailable)
		slices.SortFunc(r.undrawn, compareDrawOrder)
		r.undrawnSorted = true
	}
	for ; wanted > 0 && len(r.undrawn) > 0; r.undrawn = r.undrawn[1:] {
		p := r.undrawn[0]
		if unavailable(p) {
			continue
		}
		p.targeted = true
		p.good = 0
		p.bad = 0
		p.adopted = false
		r.drawnCount++
		wanted--
	}
}

// drawAnew makes the draw. Proxies that have the version, or one that was stopped, were not drawn now and are excluded
// from the comparison: otherwise a stop by chance would be repeated with the same proxies, and the versions after it
// would be blamed. Only a fleet too small to do without them compares them.
func (r *Rollout) drawAnew() {
	targeted := 0
	for _, p := range r.proxies {
		if p.targeted {
			targeted++
		}
	}
	exclude := r.mutations&compareTargeted == 0 && (targeted == 0 || r.CanDetect(len(r.proxies)-targeted))
	r.comparedCount = 0
	r.drawnCount = 0
	r.lateCount = 0
	r.undrawn = nil
	r.undrawnSorted = false
	for name, p := range r.proxies {
		p.drawOrder = r.drawOrderOf(name)
		p.excluded = p.targeted && exclude
		p.late = false
		r.countProxy(p, 1)
	}
	r.looksPerStep, r.errorRate = r.planLooks(r.comparedCount)
}

func compareDrawOrder(a, b *proxy) int {
	return cmp.Or(cmp.Compare(a.drawOrder, b.drawOrder), strings.Compare(a.name, b.name))
}

// drawOrderOf returns a proxy's place in the draw: FNV-1a over seed and name, spread by the finaliser of SplitMix64.
func (r *Rollout) drawOrderOf(name string) uint64 {
	hash := uint64(fnvOffsetBasis) ^ r.seed
	for i := range len(name) {
		hash = (hash ^ uint64(name[i])) * fnvPrime
	}
	hash = (hash ^ hash>>30) * splitMixMultiplier
	hash = (hash ^ hash>>27) * splitMixLastFactor
	return hash ^ hash>>31
}

// stepSize returns how many of n proxies have the version in the current step. A few more than its share have it, up to
// maxExtraShare, if that lets the test stop the step; up to half in the last step with others to compare with.
func (r *Rollout) stepSize(n int) int {
	size := min(n, int(math.Ceil(r.settings.Steps[r.step]*float64(n))))
	if r.widenings > 0 {
		size = max(size, min(n/2, size<<min(r.widenings, maxWidenings)))
	}
	limit := int(math.Ceil(maxExtraShare * float64(n)))
	if r.step == len(r.settings.Steps)-2 {
		limit = n / 2
	}
	for larger := size; larger <= limit; larger++ {
		if combinations(n, larger) >= drawSurplus/r.significance() {
			return larger
		}
	}
	return size
}

// combinations returns in how many ways k of n can be drawn, or a number above maxCombinations.
func combinations(n, k int) float64 {
	ways := 1.0
	for i := 0; i < k && ways < maxCombinations; i++ {
		ways = ways * float64(n-i) / float64(i+1)
	}
	return ways
}

// significance returns the level of each look: its part of the error rate. By the union bound, all looks together err
// no more often than the rate.
func (r *Rollout) significance() float64 {
	if r.mutations&fullErrorRatePerLook != 0 {
		return r.errorRate
	}
	return r.errorRate / float64(r.comparedSteps()*r.looksPerStep)
}

// comparedSteps returns the number of steps that have others to compare with.
func (r *Rollout) comparedSteps() int { return max(1, len(r.settings.Steps)-1) }

// planLooks returns the looks per step of a rollout among n proxies, and its error rate. There is one look only if the
// rate divided over more would be below the probability of the unlikeliest draw, so that nothing could stop the
// rollout. Where draws are so few that one look at the configured rate could detect nothing but the worst, the rate is
// higher.
func (r *Rollout) planLooks(n int) (looks int, errorRate float64) {
	neededRate := func(surplus float64, looks int) float64 {
		return surplus * float64(r.comparedSteps()*looks) / combinations(n, n/2)
	}
	looks = 1
	if neededRate(drawSurplus, r.settings.LooksPerStep) <= r.settings.ErrorRate {
		looks = r.settings.LooksPerStep
	}
	errorRate = max(r.settings.ErrorRate, neededRate(smallFleetSurplus, 1))
	return looks, min(r.settings.SmallFleetErrorRate, errorRate)
}

// CanDetect reports whether, among n proxies, the test can stop a harmful version before all have it. If not, only
// a gross difference stops it.
func (r *Rollout) CanDetect(n int) bool {
	trial := Rollout{settings: r.settings, step: max(0, len(r.settings.Steps)-2)}
	trial.looksPerStep, trial.errorRate = trial.planLooks(n)
	size := trial.stepSize(n)
	return size < n && combinations(n, size) >= drawSurplus/trial.significance()
}

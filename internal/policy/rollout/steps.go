package rollout

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// drawSurplus is the factor by which the number of possible draws must exceed the inverse of a significance level.
	// It is above 1 because shares can be equal and proxies can leave.
	drawSurplus = 1.2
	// smallFleetSurplus is the corresponding factor for the error rate of a small fleet. With 1, only the worst of all
	// possible draws would stop a rollout.
	smallFleetSurplus = 1000
	// maxExtraShare is the maximum fraction of the fleet that a step may have if it gets more proxies than configured,
	// so that its test can stop it.
	maxExtraShare = 0.1
	// maxWidenings is the maximum number of doublings in stepSize, so that the shift does not overflow.
	maxWidenings = 16
	// maxCombinations is the value from which combinations stops counting, so that it does not overflow.
	maxCombinations = 1e300
)

// Constants of the hashes that order the draw.
const (
	fnvOffsetBasis     = 14695981039346656037 // FNV-1a of 64 bits
	fnvPrime           = 1099511628211
	splitMixMultiplier = 0xbf58476d1ce4e5b9 // the finaliser of SplitMix64
	splitMixLastFactor = 0x94d049bb133111eb
)

// startStep starts a step. It resets the requests of all proxies, so that those with and without the version are
// compared over the same time.
func (r *Rollout) startStep(now time.Duration) {
	r.stepStart = now
	r.looksTaken = 0
	clear(r.departed)
	for _, p := range r.proxies {
		p.good = 0
		p.bad = 0
		p.silentSince = now
		p.adopted = false
	}
	r.expandStep()
}

// expandStep makes the new version the target of further proxies, in the order of the draw, until the step has its
// size.
func (r *Rollout) expandStep() {
	missing := r.stepSize(r.comparedCount) - r.drawnCount
	if missing <= 0 {
		return
	}
	unavailable := func(p *proxy) bool { return p.targeted || p.excluded || p.hasLeft }
	if !r.undrawnSorted {
		r.undrawn = slices.DeleteFunc(r.undrawn, unavailable)
		slices.SortFunc(r.undrawn, compareDrawOrder)
		r.undrawnSorted = true
	}
	for ; missing > 0 && len(r.undrawn) > 0; r.undrawn = r.undrawn[1:] {
		p := r.undrawn[0]
		if unavailable(p) {
			continue
		}
		p.targeted = true
		p.good = 0
		p.bad = 0
		p.adopted = false
		r.drawnCount++
		missing--
	}
}

// redraw makes a new draw. Proxies that are to have the new version already, or that have a stopped one, are not part
// of the draw and are excluded from the comparison. Otherwise a stop by chance would be repeated with the same proxies
// and attributed to the versions after it. They are compared only in a fleet that is too small without them.
func (r *Rollout) redraw() {
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

// compareDrawOrder compares two proxies by the order of the draw, and by name if that is equal.
func compareDrawOrder(a, b *proxy) int {
	return cmp.Or(cmp.Compare(a.drawOrder, b.drawOrder), strings.Compare(a.name, b.name))
}

// drawOrderOf returns a proxy's sort key in the draw: FNV-1a over seed and name, mixed by the finaliser of SplitMix64.
func (r *Rollout) drawOrderOf(name string) uint64 {
	hash := uint64(fnvOffsetBasis) ^ r.seed
	for i := range len(name) {
		hash = (hash ^ uint64(name[i])) * fnvPrime
	}
	hash = (hash ^ hash>>30) * splitMixMultiplier
	hash = (hash ^ hash>>27) * splitMixLastFactor
	return hash ^ hash>>31
}

// stepSize returns how many of n proxies have the version in the current step. If the configured fraction is too small
// for the test to stop the step, stepSize returns the smallest sufficient number, up to maxExtraShare of the proxies,
// or up to half of them in the last step that still has others to compare with. Each widening doubles the size, up to
// half.
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

// combinations returns the number of ways to draw k of n, or a number of at least maxCombinations.
func combinations(n, k int) float64 {
	ways := 1.0
	for i := 0; i < k && ways < maxCombinations; i++ {
		ways = ways * float64(n-i) / float64(i+1)
	}
	return ways
}

// significance returns the significance level of each look: an equal part of the error rate. By the union bound, all
// looks together stop a harmless version with a probability of at most the error rate.
func (r *Rollout) significance() float64 {
	if r.mutations&fullErrorRatePerLook != 0 {
		return r.errorRate
	}
	return r.errorRate / float64(r.comparedSteps()*r.looksPerStep)
}

// comparedSteps returns the number of steps in which some proxies do not have the version, so that a comparison is
// possible: all but the last.
func (r *Rollout) comparedSteps() int { return max(1, len(r.settings.Steps)-1) }

// planLooks returns the looks per step of a rollout among n proxies, and its error rate. There is only one look if the
// error rate divided among Settings.LooksPerStep would be below the probability of a single draw: then nothing could
// stop the rollout. The error rate is above Settings.ErrorRate if there are so few possible draws that one look at that
// rate could detect only the worst of them.
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

// CanDetect reports whether, among n proxies, the statistical test can stop a harmful version before all proxies have
// it. If not, only a difference above Settings.GrossMargin stops it.
func (r *Rollout) CanDetect(n int) bool {
	trial := Rollout{settings: r.settings, step: max(0, len(r.settings.Steps)-2)}
	trial.looksPerStep, trial.errorRate = trial.planLooks(n)
	size := trial.stepSize(n)
	return size < n && combinations(n, size) >= drawSurplus/trial.significance()
}

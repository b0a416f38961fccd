package rollout

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// maxCells is the maximum number of cells of the smaller side in the test. More cells would hardly make it more
	// sensitive.
	maxCells = 128
	// grossSignificance is the significance level of a gross difference while proxies without the version are silent
	// too.
	grossSignificance = 1e-4
	// minGrossDraws raises that level in a small fleet to the probability of this many draws: among few proxies no
	// draw is as unlikely as grossSignificance.
	minGrossDraws = 10
	// roundingError is the maximum difference between sums of the same shares in different orders.
	roundingError = 1e-12
)

// badShares holds the share of bad requests of each proxy, 0 to 1, for the proxies with the new version and for those
// without it, in the order of the draw.
type badShares struct{ withPolicy, withoutPolicy []float64 }

// add appends the share of a proxy to its side.
func (s *badShares) add(withPolicy bool, share float64) {
	if withPolicy {
		s.withPolicy = append(s.withPolicy, share)
	} else {
		s.withoutPolicy = append(s.withoutPolicy, share)
	}
}

// stepSamples holds the measurements that a look tests.
type stepSamples struct {
	reporting badShares // only proxies that are not silent
	all       badShares // all proxies; silent ones count as failed
	anySilent bool
}

// samples returns the shares of bad requests of all compared proxies that had requests in this step.
func (r *Rollout) samples(now time.Duration) stepSamples {
	compared := make([]*proxy, 0, len(r.proxies)+len(r.departed))
	r.forEachCompared(func(p *proxy) { compared = append(compared, p) })
	slices.SortFunc(compared, compareDrawOrder)
	var samples stepSamples
	for _, p := range compared {
		share, requests := r.badShare(p, now)
		if requests == 0 {
			continue
		}
		samples.all.add(p.targeted, share)
		if r.isSilent(p, now) {
			samples.anySilent = true
		} else {
			samples.reporting.add(p.targeted, share)
		}
	}
	return samples
}

// grosslyWorse reports whether more than half of the proxies with the version exceed the mean share of bad requests of
// the others by more than Settings.GrossMargin, so that the test is not needed. If some proxies without the version are
// silent too, the few proxies of a first step may be silent for the same reason. Then the difference must also be
// significant, at a level that the number of possible draws can reach.
func (r *Rollout) grosslyWorse(shares stepSamples, requests [2]int64) bool {
	all := shares.all
	if lowerMedian(all.withPolicy)-mean(all.withoutPolicy) <= r.settings.GrossMargin {
		return false
	}
	controlReports := len(shares.reporting.withoutPolicy) == len(all.withoutPolicy)
	if controlReports || r.mutations&skipGrossSignificance != 0 {
		return true
	}
	ways := combinations(len(all.withPolicy)+len(all.withoutPolicy), len(all.withPolicy))
	level := max(grossSignificance, minGrossDraws/ways)
	return r.pValue(all, requests, level) <= level
}

// pValue returns the probability of a difference at least as large as the observed one if the version raises the share
// of bad requests by no more than Settings.Margin. It is the p-value of a randomisation test on the means of the
// proxies' shares; see the package comment. Only as many of the possible draws are sampled as the significance level
// needs. The estimate includes the actual draw, which keeps it valid however few are sampled (Phipson and Smyth 2010).
//
// In a large fleet, proxies that are adjacent in the draw are combined into cells. As the cells are random too, the
// test can redraw them like proxies, and the mean over all stays the same.
func (r *Rollout) pValue(shares badShares, requests [2]int64, level float64) float64 {
	treated := shares.withPolicy
	control := shares.withoutPolicy
	if len(treated) == 0 || len(control) == 0 {
		return 1
	}
	if r.mutations&poolRequests != 0 {
		return r.pooledPValue(mean(treated), mean(control), requests)
	}
	if r.mutations&skipCells == 0 {
		cellSize := max(1, (min(len(treated), len(control))+maxCells-1)/maxCells)
		treated = cellMeans(treated, cellSize)
		control = cellMeans(control, cellSize)
	}
	values := make([]float64, 0, len(treated)+len(control))
	total := 0.0
	treatedSum := 0.0
	for _, share := range treated {
		values = append(values, share-r.settings.Margin)
		treatedSum += share - r.settings.Margin
	}
	values = append(values, control...)
	for _, value := range values {
		total += value
	}
	// As the total is the same in all draws, the sum over one side determines the difference of the means. The smaller
	// side is drawn because that takes fewer steps.
	drawn := len(treated)
	worse := func(sum float64) bool { return sum >= treatedSum-roundingError }
	if len(control) < drawn {
		drawn = len(control)
		worse = func(sum float64) bool { return sum <= total-treatedSum+roundingError }
	}
	rng := rand.New(rand.NewPCG(r.seed, uint64(r.step)<<32|uint64(r.looksTaken)))
	return samplePValue(rng, values, drawn, worse, level)
}

// samplePValue repeatedly draws the given number of values and returns the estimated probability that worse is true for
// their sum. It reorders values. To keep a look cheap, it returns early once so many draws were worse that further ones
// cannot bring the estimate down to the level.
func samplePValue(rng *rand.Rand, values []float64, drawn int, worse func(sum float64) bool, level float64) float64 {
	draws := int(math.Ceil(1 / level))
	worseDraws := 0
	for i := range draws {
		sum := 0.0
		for j := range drawn {
			other := j + rng.IntN(len(values)-j)
			values[j], values[other] = values[other], values[j]
			sum += values[j]
		}
		if worse(sum) {
			worseDraws++
		}
		if float64(worseDraws+1) > level*float64(draws+1) {
			return float64(worseDraws+1) / float64(i+2)
		}
	}
	return float64(worseDraws+1) / float64(draws+1)
}

// pooledPValue is the test of two proportions that the mutation poolRequests uses in place of the randomisation test.
func (r *Rollout) pooledPValue(treated, control float64, requests [2]int64) float64 {
	pooled := (treated + control) / 2
	variance := pooled * (1 - pooled) * (1/float64(requests[withPolicy]) + 1/float64(requests[withoutPolicy]))
	z := (treated - control - r.settings.Margin) / math.Sqrt(variance+roundingError)
	return math.Erfc(z/math.Sqrt2) / 2
}

// cellMeans returns the means of consecutive cells of the given size. The remaining values, fewer than one cell, are
// left samples.
func cellMeans(values []float64, size int) []float64 {
	if size == 1 {
		return values
	}
	means := make([]float64, 0, len(values)/size)
	for ; len(values) >= size; values = values[size:] {
		means = append(means, mean(values[:size]))
	}
	return means
}

// lowerMedian returns the lower median: more than half of the values are greater or equal. It returns 0 for no values.
func lowerMedian(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[(len(sorted)-1)/2]
}

// mean returns the arithmetic mean, 0 for no values.
func mean(values []float64) float64 {
	sum := 0.0
	for _, value := range values {
		sum += value
	}
	return sum / float64(max(1, len(values)))
}

package rollout

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// maxCells bounds the cells of the smaller side in the test: more would tell hardly more.
	maxCells = 128
	// grossSignificance is the level of a gross difference while proxies without the version are silent too.
	grossSignificance = 1e-4
	// minGrossDraws bounds that level from below: no draw among few proxies is less likely.
	minGrossDraws = 10
	// roundingError is what sums of the same shares in another order may differ by.
	roundingError = 1e-12
)

// badShares are the shares of bad requests of the proxies on both sides, in the order of the draw.
type badShares struct{ withPolicy, withoutPolicy []float64 }

func (s *badShares) add(withPolicy bool, share float64) {
	if withPolicy {
		s.withPolicy = append(s.withPolicy, share)
	} else {
		s.withoutPolicy = append(s.withoutPolicy, share)
	}
}

// stepSamples are the figures of a look.
type stepSamples struct {
	reporting badShares // of proxies that are not silent
	all       badShares // silent ones count as failed
	anySilent bool
}

// samples returns the shares of all compared proxies that had requests.
func (r *Rollout) samples(now time.Duration) stepSamples {
	list := make([]*proxy, 0, len(r.proxies)+len(r.departed))
	r.forEachCompared(func(p *proxy) { list = append(list, p) })
	slices.SortFunc(list, compareDrawOrder)
	var out stepSamples
	for _, p := range list {
		share, requests := r.badShare(p, now)
		if requests == 0 {
			continue
		}
		out.all.add(p.targeted, share)
		if r.isSilent(p, now) {
			out.anySilent = true
		} else {
			out.reporting.add(p.targeted, share)
		}
	}
	return out
}

// grosslyWorse reports whether more than half of the proxies with the version do so much worse that no test is needed.
// Where proxies without it are silent too, the few of a first step may be silent for the same reason. Then the
// difference must also be unlikely, as far as so few draws allow.
func (r *Rollout) grosslyWorse(shares stepSamples, requests [2]int64) bool {
	all := shares.all
	if lowerMedian(all.withPolicy)-mean(all.withoutPolicy) <= r.settings.GrossMargin {
		return false
	}
	othersReport := len(shares.reporting.withoutPolicy) == len(all.withoutPolicy)
	if othersReport || r.mutations&skipGrossSignificance != 0 {
		return true
	}
	ways := combinations(len(all.withPolicy)+len(all.withoutPolicy), len(all.withPolicy))
	level := max(grossSignificance, minGrossDraws/ways)
	return r.pValue(all, requests, level) <= level
}

// pValue returns how likely a difference as large as this is if the version raises the share of bad requests by no more
// than the margin. It is the p-value of a randomisation test on the means of the proxies' shares; see the package
// comment. The draws are sampled, as many as the level needs. The estimate counts the actual draw, which keeps it valid
// however few are sampled (Phipson and Smyth 2010).
//
// In a large fleet, proxies that follow each other in the draw are joined into cells. Cells that were drawn by chance
// can be drawn anew like proxies, and the mean of all is the same.
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
	// The sum over one side stands for the difference of the means: the total is the same in all draws. The smaller
	// side is drawn.
	drawn := len(treated)
	worse := func(sum float64) bool { return sum >= treatedSum-roundingError }
	if len(control) < drawn {
		drawn = len(control)
		worse = func(sum float64) bool { return sum <= total-treatedSum+roundingError }
	}
	rng := rand.New(rand.NewPCG(r.seed, uint64(r.step)<<32|uint64(r.looksTaken)))
	return samplePValue(rng, values, drawn, worse, level)
}

// samplePValue draws a number of the values many times, and returns the estimated probability that their sum is worse.
// Once too many draws are, no further one can bring the estimate down to the level, and it returns early: a look must
// be cheap.
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

// cellMeans returns the means of cells of the given size; values that are left over stay out.
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

// lowerMedian returns the lower median: more than half of the values are as high or higher.
func lowerMedian(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[(len(sorted)-1)/2]
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, value := range values {
		sum += value
	}
	return sum / float64(max(1, len(values)))
}

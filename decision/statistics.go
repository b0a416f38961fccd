package decision

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// decayingSum is a sum whose parts decay exponentially with their age.
type decayingSum struct {
	sum       float64
	updatedAt time.Duration
}

// decay brings the sum to the time now and returns it; span is how long a part takes to fade to 1/e. The
// clock only advances, so decaying twice at one time changes nothing.
func (s *decayingSum) decay(now, span time.Duration) float64 {
	if span > 0 && now > s.updatedAt {
		s.sum *= math.Exp(-float64(now-s.updatedAt) / float64(span))
	}
	s.updatedAt = now
	return s.sum
}

func (s *decayingSum) add(v float64, now, span time.Duration) {
	s.decay(now, span)
	s.sum += v
}

// perSecond is the rate at which values are added.
func (s *decayingSum) perSecond(now, span time.Duration) float64 {
	return s.decay(now, span) / max(span, time.Millisecond).Seconds()
}

// linearFit is a least-squares line through points, of which old ones decay with the number of newer ones.
type linearFit struct{ weight, sumX, sumY, sumXX, sumXY float64 }

// learn adds a point; keep is what is left of the weight of all earlier ones.
func (f *linearFit) learn(x, y, keep float64) {
	f.weight = f.weight*keep + 1
	f.sumX = f.sumX*keep + x
	f.sumY = f.sumY*keep + y
	f.sumXX = f.sumXX*keep + x*x
	f.sumXY = f.sumXY*keep + x*y
}

// mean is the points' mean y. There must be a point.
func (f *linearFit) mean() float64 { return f.sumY / f.weight }

// minRelativeSpread is the share of the sum of x*x below which the spread of the points' x is taken for a
// rounding error.
const minRelativeSpread = 1e-9

// predict is the line's y at x. The line never falls, and it is flat if the points lie at one x.
func (f *linearFit) predict(x float64) float64 {
	slope, spread := 0.0, f.sumXX-f.sumX*f.sumX/f.weight
	if spread > minRelativeSpread*f.sumXX {
		slope = max(0, (f.sumXY-f.sumX*f.sumY/f.weight)/spread)
	}
	return f.mean() + slope*(x-f.sumX/f.weight)
}

// quantile follows a quantile of a stream of values by small steps, and the least that it was lately.
type quantile struct {
	samples  float64
	value    float64
	baseline float64 // 0 while too few values are known
}

// learn adds a value. The share exceedance of the values is to lie above the quantile, and one value
// moves it by the share step at most.
func (q *quantile) learn(v, exceedance, step float64) {
	switch q.samples++; {
	case q.samples == 1:
		q.value = v
	case v > q.value:
		q.value *= 1 + step*(1-exceedance)
	default:
		q.value *= 1 - step*exceedance
	}
}

// trackBaseline lets the baseline follow the quantile down at once, and up by one part in rise at each
// call. It begins when so many samples are known.
func (q *quantile) trackBaseline(minSamples, rise float64) {
	if q.samples < minSamples {
		return
	}
	if q.baseline *= 1 + 1/rise; q.baseline == 0 || q.value < q.baseline {
		q.baseline = q.value
	}
}

// baselineOr is the baseline, or what stands in for it while too few values are known.
func (q *quantile) baselineOr(otherwise float64) float64 {
	if q.baseline == 0 {
		return otherwise
	}
	return q.baseline
}

// movingAverage takes v into a mean over n values; the first v is the mean.
func movingAverage(mean, v, n float64) float64 {
	if mean == 0 {
		return v
	}
	return mean + (v-mean)/n
}

// median sorts the values and returns the one in the middle, 1 if there are none.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 1
	}
	slices.Sort(values)
	return values[len(values)/2]
}

// hashKey hashes a key with a backend, the same way at every proxy.
func hashKey(key uint64, id BackendID) uint64 {
	h := key ^ uint64(id)*0x9e3779b97f4a7c15
	for range 2 {
		h ^= h >> 32
		h *= 0xd6e8feb86659fd93
	}
	return h ^ h>>32
}

// jitter draws a duration below d.
func jitter(random *rand.Rand, d time.Duration) time.Duration {
	return time.Duration(random.Float64() * float64(d))
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// fromMillis is a duration of so many milliseconds, within maxDuration: one out of range would turn
// negative, and be due at once.
func fromMillis(ms float64) time.Duration {
	longest := millis(maxDuration)
	return time.Duration(min(max(ms, -longest), longest) * float64(time.Millisecond))
}

package decision

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// decayingSum is a sum of values that decay exponentially with their age.
type decayingSum struct {
	sum       float64
	updatedAt time.Duration
}

// decay updates the sum to the time now and returns it. A value decays to 1/e in span. A second call with the
// same time changes nothing.
func (s *decayingSum) decay(now, span time.Duration) float64 {
	if span > 0 && now > s.updatedAt {
		s.sum *= math.Exp(-float64(now-s.updatedAt) / float64(span))
	}
	s.updatedAt = now
	return s.sum
}

// add adds a value at the time now.
func (s *decayingSum) add(v float64, now, span time.Duration) {
	s.decay(now, span)
	s.sum += v
}

// perSecond returns the mean rate of the added values a second.
func (s *decayingSum) perSecond(now, span time.Duration) float64 {
	return s.decay(now, span) / max(span, time.Millisecond).Seconds()
}

// linearFit is a least-squares line through points. The weight of a point decays with each newer point.
type linearFit struct{ weight, sumX, sumY, sumXX, sumXY float64 }

// learn adds a point of weight 1 and multiplies the weight of all earlier ones by keep.
func (f *linearFit) learn(x, y, keep float64) {
	f.weight = f.weight*keep + 1
	f.sumX = f.sumX*keep + x
	f.sumY = f.sumY*keep + y
	f.sumXX = f.sumXX*keep + x*x
	f.sumXY = f.sumXY*keep + x*y
}

// mean returns the mean y of the points. There must be at least one point.
func (f *linearFit) mean() float64 { return f.sumY / f.weight }

// minRelativeSpread is the share of the sum of x*x below which the spread of the points' x is regarded as a
// rounding error.
const minRelativeSpread = 1e-9

// predict returns the y of the line at x. The slope of the line is never negative, and 0 if all points have
// the same x.
func (f *linearFit) predict(x float64) float64 {
	slope, spread := 0.0, f.sumXX-f.sumX*f.sumX/f.weight
	if spread > minRelativeSpread*f.sumXX {
		slope = max(0, (f.sumXY-f.sumX*f.sumY/f.weight)/spread)
	}
	return f.mean() + slope*(x-f.sumX/f.weight)
}

// quantile estimates a quantile of a stream of values by small steps, and a baseline: the lowest recent value
// of the quantile.
type quantile struct {
	samples  float64
	value    float64
	baseline float64 // 0 until there are enough samples
}

// learn adds a value. In the long run the share exceedance of the values lies above the quantile. One value
// changes the quantile by the share step at most.
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

// trackBaseline updates the baseline: it follows a falling quantile at once, and a rising one by the share
// 1/rise at each call. With fewer than minSamples samples it does nothing.
func (q *quantile) trackBaseline(minSamples, rise float64) {
	if q.samples < minSamples {
		return
	}
	if q.baseline *= 1 + 1/rise; q.baseline == 0 || q.value < q.baseline {
		q.baseline = q.value
	}
}

// baselineOr returns the baseline, or fallback until there are enough samples.
func (q *quantile) baselineOr(fallback float64) float64 {
	if q.baseline == 0 {
		return fallback
	}
	return q.baseline
}

// movingAverage returns the mean over about n values after adding v. A mean of 0 means that there are no
// values yet: v becomes the mean.
func movingAverage(mean, v, n float64) float64 {
	if mean == 0 {
		return v
	}
	return mean + (v-mean)/n
}

// median sorts the values in place and returns the middle one, or 1 if there are none.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 1
	}
	slices.Sort(values)
	return values[len(values)/2]
}

// hashKey hashes a key together with a backend. The result is the same at every proxy.
func hashKey(key uint64, id BackendID) uint64 {
	h := key ^ uint64(id)*0x9e3779b97f4a7c15
	for range 2 {
		h ^= h >> 32
		h *= 0xd6e8feb86659fd93
	}
	return h ^ h>>32
}

// jitter returns a random duration from 0 to d.
func jitter(random *rand.Rand, d time.Duration) time.Duration {
	return time.Duration(random.Float64() * float64(d))
}

// millis converts a duration to milliseconds.
func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// fromMillis converts milliseconds to a duration, clamped to maxDuration: a value out of range would overflow
// to a negative duration, and a timer would end at once.
func fromMillis(ms float64) time.Duration {
	longest := millis(maxDuration)
	return time.Duration(min(max(ms, -longest), longest) * float64(time.Millisecond))
}

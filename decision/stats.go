package decision

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// decayingSum is a sum whose parts fade with their age.
type decayingSum struct {
	sum       float64
	updatedAt time.Duration
}

// decay brings the sum to the time now; span is how long a part takes to fade to 1/e.
func (f *decayingSum) decay(now, span time.Duration) float64 {
	if span > 0 && now > f.updatedAt {
		f.sum *= math.Exp(-float64(now-f.updatedAt) / float64(span))
	}
	f.updatedAt = now
	return f.sum
}

func (f *decayingSum) add(v float64, now, span time.Duration) {
	f.decay(now, span)
	f.sum += v
}

// perSecond is the rate at which v is added.
func (f *decayingSum) perSecond(now, span time.Duration) float64 {
	return f.decay(now, span) / max(span, time.Millisecond).Seconds()
}

// linearFit is a least-squares line through points of which old ones fade with the number of newer ones.
type linearFit struct{ n, x, y, xx, xy float64 }

func (l *linearFit) learn(x, y, keep float64) {
	l.n, l.x, l.y = l.n*keep+1, l.x*keep+x, l.y*keep+y
	l.xx, l.xy = l.xx*keep+x*x, l.xy*keep+x*y
}

// mean is the points' mean y. There must be a point.
func (l *linearFit) mean() float64 { return l.y / l.n }

// predict is the line's y; the line never falls, and it is flat if the points don't say otherwise.
func (l *linearFit) predict(x float64) float64 {
	slope, spread := 0.0, l.xx-l.x*l.x/l.n
	if spread > 1e-9*l.xx {
		slope = max(0, (l.xy-l.x*l.y/l.n)/spread)
	}
	return l.mean() + slope*(x-l.x/l.n)
}

// quantile follows a quantile: a part of the values seen lies beyond it. least is the least that it was
// lately.
type quantile struct{ samples, value, baseline float64 }

// learn takes in a value; step is by how much one moves the quantile at most.
func (q *quantile) learn(v, part, step float64) {
	switch q.samples++; {
	case q.samples == 1:
		q.value = v
	case v > q.value:
		q.value *= 1 + step*(1-part)
	default:
		q.value *= 1 - step*part
	}
}

// trackBaseline follows the quantile down at once, and up by one part in rise each time; it begins when
// so many values are known.
func (q *quantile) trackBaseline(from, rise float64) {
	if q.samples < from {
		return
	}
	if q.baseline *= 1 + 1/rise; q.baseline == 0 || q.value < q.baseline {
		q.baseline = q.value
	}
}

// baselineOr is the least, or what stands in for it while too few values are known.
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

// tally is worth asked for and worth served.
type tally struct{ offered, served float64 }

func (t *tally) servedShare() float64 {
	if t.offered <= 0 {
		return 1
	}
	return t.served / t.offered
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

// jitter draws a span below d.
func jitter(rng *rand.Rand, d time.Duration) time.Duration {
	return time.Duration(rng.Float64() * float64(d))
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// fromMillis is a span of so many ms. Danger: one out of a Duration's range would turn negative, and be
// due at once.
func fromMillis(ms float64) time.Duration {
	most := millis(maxDuration)
	return time.Duration(min(max(ms, -most), most) * float64(time.Millisecond))
}

// median sorts the values and gives the one in the middle, 1 if there are none.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 1
	}
	slices.Sort(values)
	return values[len(values)/2]
}

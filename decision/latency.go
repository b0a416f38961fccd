package decision

import (
	"math"
	"time"
)

// The latency estimate has two parts. For each class, a linear fit of latency over expected work gives the
// latency of a request at any backend. For each target, the mean ratio of actual to expected latency shows
// how fast the target is: 1 is as expected.
const (
	// Measurements decay over decayIntervals check intervals, or over the time in which decayAnswers answers
	// of each active target arrive if that is longer, but over maxRateSpan at most.
	decayIntervals = 4
	decayAnswers   = 4
	maxRateSpan    = 5 * time.Minute

	// In a target's ratio, the median ratio of the targets of its locality counts as priorAnswers answers.
	priorAnswers = 0.5

	// minLatency is the minimum latency of an answer in ms: no expected latency may be 0.
	minLatency = 0.1

	// Each new latency multiplies the weight of the earlier ones of its class by classDecay.
	classDecay = 0.998

	// meanRequests is the number of requests that the overall means cover.
	meanRequests = 256

	// longestDecay is the share by which the longest recent latency decreases with each answer.
	longestDecay = 1.0 / meanRequests

	// Until there are answers, the expected latency of a class is initialLatencyShare of its objective. A
	// prediction is at least minPredictionShare of the class's mean.
	initialLatencyShare = 1.0 / 4
	minPredictionShare  = 1.0 / 4

	// cancelledWeight is the weight of the age of a cancelled attempt, in answers.
	cancelledWeight = 0.5

	// The tail latency of a class is the quantile that the share tailExceedance of its answers exceed. One
	// answer changes it by the share tailStep at most. It is used after tailMinSamples answers; until then
	// initialTailFactor times the mean is used in its place.
	tailExceedance    = 0.2
	tailStep          = 0.02
	tailMinSamples    = 50
	initialTailFactor = 1.2

	// The baseline of a tail latency rises by the share 1/tailBaselineRise in each sweep, so slowly that it
	// does not follow the latencies during a fault.
	tailBaselineRise = 4000
)

// expectedLatency returns the latency in ms that is expected of any backend for a class and an expected work
// in ms, where 0 means unknown.
func (b *Balancer) expectedLatency(class int, work float64) float64 {
	fit := &b.latencyByClass[class]
	if fit.weight < 1 {
		return millis(b.config.Classes[class].LatencyObjective) * initialLatencyShare
	}
	if work <= 0 {
		return fit.mean()
	}
	return max(fit.mean()*minPredictionShare, fit.predict(work))
}

// expectedFor returns the latency in ms that is expected of any backend for a request.
func (b *Balancer) expectedFor(r *request) float64 {
	return b.expectedLatency(r.Class, millis(r.ExpectedWork))
}

// workOf returns the work of a request in ms: its expected work or, if that is unknown, the expected latency
// of its class.
func (b *Balancer) workOf(r *request) float64 {
	if r.ExpectedWork > 0 {
		return millis(r.ExpectedWork)
	}
	return b.expectedLatency(r.Class, 0)
}

// latencyRatio returns the smoothed latency of a target as a multiple of the latency expected of any backend.
// Attempts in flight count with their age, so that the ratio rises at once when a target stops answering. The
// ratio of an unmeasured target is the median of the targets of its locality: the own zone or all others.
func (b *Balancer) latencyRatio(t *target) float64 {
	age := max(0, millis(b.now)*t.inverseExpected-t.sentOverExpected)
	sum := t.ratioSum.decay(b.now, b.decaySpan)
	count := t.ratioCount.decay(b.now, b.decaySpan)
	return (sum + age + priorAnswers*b.medianRatioByLocality[b.locality(t)]) / (count + priorAnswers)
}

// typicalLatency returns the latency of a request in ms: the overall mean times the median ratio, at most the
// longest latency of recent attempts. Right after all latencies jump, the mean already follows while the
// ratios are still relative to the mean before the jump. Their product would be hundreds of times the actual
// latency, and one proxy among many would send almost nothing.
func (b *Balancer) typicalLatency() float64 {
	return min(b.meanLatency*b.medianRatio, b.longestLatency)
}

// updateBaselines updates the baseline of each class's tail latency and the median latency ratios: of all
// active targets, and of those in the own zone and in other zones separately. With one median for both, an
// unmeasured target in another zone would be estimated as slow as those of an overloaded own zone, get no
// request, and never be measured.
func (b *Balancer) updateBaselines() {
	b.ratioBuffer = b.ratioBuffer[:0]
	for locality := range b.medianRatioByLocality {
		from := len(b.ratioBuffer)
		for _, t := range b.active {
			sum := t.ratioSum.decay(b.now, b.decaySpan)
			count := t.ratioCount.decay(b.now, b.decaySpan)
			if t.healthy && count > priorAnswers && b.locality(t) == locality {
				b.ratioBuffer = append(b.ratioBuffer, sum/count)
			}
		}
		b.medianRatioByLocality[locality] = median(b.ratioBuffer[from:])
	}
	b.medianRatio = median(b.ratioBuffer)
	for i := range b.tailByClass {
		b.tailByClass[i].trackBaseline(tailMinSamples, tailBaselineRise)
	}
}

// recordLongest updates the longest latency of recent attempts with a latency in ms.
func (b *Balancer) recordLongest(latency float64) {
	b.longestLatency = max(b.longestLatency*(1-longestDecay), latency)
}

// learnLatency records the latency in ms of an attempt that was answered. The class's tail latency is that of
// a request of mean work, so the latency of a request of more work is divided by its relative work.
func (b *Balancer) learnLatency(a *attempt, latency float64) {
	class := a.request.Class
	relativeWork := max(1, a.expectedLatency/b.expectedLatency(class, 0))
	b.tailByClass[class].learn(latency/relativeWork, tailExceedance, tailStep)
	b.latencyByClass[class].learn(millis(a.request.ExpectedWork), latency, classDecay)
	a.target.recordRatio(b.now, b.decaySpan, latency/a.expectedLatency, 1)
	b.recordLongest(latency)
}

// learnAge records the age in ms of an attempt that was cancelled: a lower bound of its latency.
func (b *Balancer) learnAge(a *attempt, age float64) {
	if age > a.expectedLatency {
		a.target.recordRatio(b.now, b.decaySpan, age/a.expectedLatency, cancelledWeight)
	}
}

// learnFailure records an attempt that failed at an age in ms. A failure may be fast, but counts as slow as
// the latency objective, or a failing backend would attract all traffic. It does not count as a multiple of
// the median ratio, which would grow without bound while all attempts fail.
func (b *Balancer) learnFailure(a *attempt, age float64) {
	latency := max(age, millis(b.config.Classes[a.request.Class].LatencyObjective))
	a.target.recordRatio(b.now, b.decaySpan, max(latency/a.expectedLatency, b.medianRatio), 1)
	b.recordLongest(latency)
}

// learnHint initialises the linear fit of a class from the first request with an expected work, if the class
// has no answers yet: it adds two points of the line on which latency equals expected work. Their mean is a
// quarter of the objective, as it is without expected work (initialLatencyShare).
func (b *Balancer) learnHint(class int, work time.Duration) {
	fit := &b.latencyByClass[class]
	if work <= 0 || fit.weight != 0 {
		return
	}
	half := millis(b.config.Classes[class].LatencyObjective) / 2
	fit.learn(0, 0, 1)
	fit.learn(half, half, 1)
}

// learnArrival updates the overall means of work and latency with an arriving request.
func (b *Balancer) learnArrival(r *request) {
	// If the means covered meanRequests from the first request on, the first would count as hundreds, and a
	// proxy that has just started would shed every request that earns less.
	b.meanSamples = min(b.meanSamples+1, meanRequests)
	b.meanWork = movingAverage(b.meanWork, b.workOf(r), b.meanSamples)
	b.meanLatency = movingAverage(b.meanLatency, b.expectedFor(r), b.meanSamples)
}

// meanRequestWork returns the mean work of a request in ms, never 0.
func (b *Balancer) meanRequestWork() float64 { return max(b.meanWork, minLatency) }

// inMeanRequests converts the work of a request in ms into requests of mean work, at least one. A budget of
// work alone would allow any number of small requests, and their connection handshakes are work too.
func (b *Balancer) inMeanRequests(work float64) float64 { return max(work/b.meanRequestWork(), 1) }

// decayOverSweep returns the factor by which sums that decay over a span decay between two sweeps.
func (b *Balancer) decayOverSweep(span time.Duration) float64 {
	return math.Exp(-float64(b.checkInterval/sweepsPerInterval) / float64(span))
}

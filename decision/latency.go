package decision

import (
	"math"
	"time"
)

// The latency estimate has two parts. By class, a line through expected work and latency says what a
// request takes at any backend. By target, the mean ratio of what attempts took to that says how fast the
// target is: 1 is as expected.
const (
	// Measurements decay over decayIntervals check intervals, or over the time in which decayAnswers answers
	// of each active target come, but over maxRateSpan at most.
	decayIntervals = 4
	decayAnswers   = 4
	maxRateSpan    = 5 * time.Minute

	// priorAnswers is how many answers the median of the others counts for in a target's ratio.
	priorAnswers = 0.5

	// minLatency is what an answer takes at least, in ms: no expected latency may be 0.
	minLatency = 0.1

	// classDecay is the weight that a class's earlier latencies keep as each new one comes.
	classDecay = 0.998

	// meanRequests is how many requests overall means are taken over.
	meanRequests = 256

	// longestDecay is the share by which the longest recent latency sinks with each answer.
	longestDecay = 1.0 / meanRequests

	// Until there are answers, a class is expected to take initialLatencyShare of its objective. A
	// prediction is at least minPredictionShare of the class's mean.
	initialLatencyShare = 1.0 / 4
	minPredictionShare  = 1.0 / 4

	// cancelledWeight is how many answers the age of a cancelled attempt counts for.
	cancelledWeight = 0.5

	// The tail latency of a class is the quantile that the share tailExceedance of its answers exceed. One
	// answer moves it by the share tailStep at most. It is known after tailMinSamples answers; until then
	// initialTailFactor times the mean stands in for it.
	tailExceedance    = 0.2
	tailStep          = 0.02
	tailMinSamples    = 50
	initialTailFactor = 1.2

	// A tail's baseline rises by one part in tailBaselineRise a sweep: far more slowly than faults come.
	tailBaselineRise = 4000
)

// expectedLatency is the latency in ms that class and expected work (ms; 0 is unknown) lead one to expect
// of any backend.
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

// expectedFor is the latency in ms that is expected for a request of any backend.
func (b *Balancer) expectedFor(r *request) float64 {
	return b.expectedLatency(r.Class, millis(r.ExpectedWork))
}

// workOf is the work of a request in ms.
func (b *Balancer) workOf(r *request) float64 {
	if r.ExpectedWork > 0 {
		return millis(r.ExpectedWork)
	}
	return b.expectedLatency(r.Class, 0)
}

// latencyRatio is the smoothed latency of a target as a multiple of what is expected of any backend.
// Attempts in flight count with their age, so silence shows at once. Unmeasured, it is the median of the
// targets of the own zone, or of those elsewhere, whichever it is one of.
func (b *Balancer) latencyRatio(t *target) float64 {
	age := max(0, millis(b.now)*t.inverseExpected-t.sentOverExpected)
	sum := t.ratioSum.decay(b.now, b.decaySpan)
	count := t.ratioCount.decay(b.now, b.decaySpan)
	return (sum + age + priorAnswers*b.medianRatioByLocality[b.locality(t)]) / (count + priorAnswers)
}

// typicalLatency is the latency of a request by overall mean and median ratio, in ms, at most the longest
// of recent attempts. Right after all latencies jump, the mean follows already while the ratios are
// still to the mean of before; their product would be hundreds of times what anything takes, and one proxy
// among many would send next to nothing.
func (b *Balancer) typicalLatency() float64 {
	return min(b.meanLatency*b.medianRatio, b.longestLatency)
}

// updateBaselines sets what is usual: the tail of each class, and the median ratios of all active targets,
// and of the own zone's and the others' apart. With one median for both, a target elsewhere would be taken
// to be as slow as those of an overloaded zone, get no request, and never be measured.
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

// recordLongest takes a latency in ms into the longest of recent attempts.
func (b *Balancer) recordLongest(latency float64) {
	b.longestLatency = max(b.longestLatency*(1-longestDecay), latency)
}

// learnLatency records the latency in ms of an attempt that was answered.
func (b *Balancer) learnLatency(a *attempt, latency float64) {
	class := a.request.Class
	heaviness := max(1, a.expectedLatency/b.expectedLatency(class, 0))
	b.tailByClass[class].learn(latency/heaviness, tailExceedance, tailStep)
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

// learnFailure records an attempt that failed after so many ms. A failure comes fast; it counts as slow as
// the objective, or a broken backend would draw all traffic. It is no multiple of the median ratio, which
// would feed itself while all fail.
func (b *Balancer) learnFailure(a *attempt, age float64) {
	lost := max(age, millis(b.config.Classes[a.request.Class].LatencyObjective))
	a.target.recordRatio(b.now, b.decaySpan, max(lost/a.expectedLatency, b.medianRatio), 1)
	b.recordLongest(lost)
}

// learnHint lets a class without answers expect a latency that equals the expected work, if its first
// request carries it: it learns two points of that line, whose mean is a quarter of the objective, as it is
// without a hint (initialLatencyShare).
func (b *Balancer) learnHint(class int, work time.Duration) {
	fit := &b.latencyByClass[class]
	if work <= 0 || fit.weight != 0 {
		return
	}
	half := millis(b.config.Classes[class].LatencyObjective) / 2
	fit.learn(0, 0, 1)
	fit.learn(half, half, 1)
}

// learnArrival takes a request into the overall means of work and latency.
func (b *Balancer) learnArrival(r *request) {
	// Averaged over meanRequests from the first on, the first would stand for hundreds, and a proxy that has
	// just started would shed whatever earns less.
	b.meanSamples = min(b.meanSamples+1, meanRequests)
	b.meanWork = movingAverage(b.meanWork, b.workOf(r), b.meanSamples)
	b.meanLatency = movingAverage(b.meanLatency, b.expectedFor(r), b.meanSamples)
}

// meanRequestWork is the mean work of a request in ms.
func (b *Balancer) meanRequestWork() float64 { return max(b.meanWork, minLatency) }

// inMeanRequests is how many requests of mean work a request of so many ms counts for, at least one: a work
// budget alone lets small requests through, and handshakes are work too.
func (b *Balancer) inMeanRequests(work float64) float64 { return max(work/b.meanRequestWork(), 1) }

// decayOverSweep is what a sweep leaves of sums that decay over a span.
func (b *Balancer) decayOverSweep(span time.Duration) float64 {
	return math.Exp(-float64(b.checkInterval/sweepsPerInterval) / float64(span))
}

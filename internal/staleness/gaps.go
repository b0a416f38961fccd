package staleness

import (
	"math"
	"slices"
	"time"
)

const (
	// gapWindow is the number of gaps that are remembered.
	gapWindow = 64
	// minGaps is the number of observed gaps from which percentiles are computed; below it the expected gap is used.
	minGaps = 4
	// gapPrior is the weight, in gaps, of the exponential prior, which allows for a gap longer than all observed ones.
	gapPrior = 0.25
	// gapBlurFraction is the mean excess of a gap over an observed one, as a part of the usual gap.
	gapBlurFraction = .1
	// maxBlurs is the excess, in units of gapBlurFraction of the usual gap, beyond which an observed gap no longer
	// counts.
	maxBlurs = 12
	// minHeartbeatInterval is the minimum interval between messages.
	minHeartbeatInterval = 10 * time.Millisecond
	// minStillSilent is the minimum of the silence probabilities that stillSilent divides; it avoids a division by 0.
	minStillSilent = 1e-250
	// minPhiProbability is the minimum of the probability whose logarithm Phi returns; it avoids the logarithm of 0.
	minPhiProbability = 1e-300
)

// GapDetector is an accrual failure detector on the gaps between the messages of one source: phi as in Hayashibara,
// Défago, Yared and Katayama, "The phi accrual failure detector" (SRDS 2004). It takes the empirical distribution of
// the gaps as in Satzger, Pietzowski, Trumler and Ungerer, "A new adaptive accrual failure detector for dependable
// distributed systems" (SAC 2007), because the gaps of a watch are a mixture of heartbeats and changes, which no normal
// distribution fits. The tail beyond the observed gaps is exponential.
type GapDetector struct {
	ring            [gapWindow]float64 // seconds, in order of arrival
	sorted          [gapWindow]float64 // the same gaps in ascending order
	count           int                // number of gaps in ring and in sorted
	next            int                // index in ring of the next gap to write
	expectedSeconds float64            // configured gap; used until minGaps gaps were observed, and for the prior
}

// NewGapDetector returns a detector for a source whose expected gap between two messages is given. The prior with that
// gap has the weight of a quarter of an observed gap.
func NewGapDetector(expected time.Duration) *GapDetector {
	return &GapDetector{expectedSeconds: max(expected, minHeartbeatInterval).Seconds()}
}

// Observe adds a gap. Gaps of a watch that is probably silent, or that contain a suspension of this process, must not
// be added: they would make long silences look usual.
func (g *GapDetector) Observe(gap time.Duration) {
	seconds := max(0, gap.Seconds())
	if g.count == gapWindow {
		oldest := g.ring[g.next]
		i, _ := slices.BinarySearch(g.sorted[:g.count], oldest)
		copy(g.sorted[i:], g.sorted[i+1:g.count])
		g.count--
	}
	i, _ := slices.BinarySearch(g.sorted[:g.count], seconds)
	copy(g.sorted[i+1:g.count+1], g.sorted[i:g.count])
	g.sorted[i] = seconds
	g.ring[g.next] = seconds
	g.count++
	g.next = (g.next + 1) % gapWindow
}

// Percentile90 returns the 90th percentile of the gaps, which the package calls the usual gap. It returns the expected
// gap until four gaps were observed.
func (g *GapDetector) Percentile90() time.Duration {
	if g.count < minGaps {
		return time.Duration(g.expectedSeconds * float64(time.Second))
	}
	return max(minHeartbeatInterval, time.Duration(g.sorted[g.count*9/10]*float64(time.Second)))
}

// Percentile10 returns the 10th percentile of the gaps, or 0 until four gaps were observed.
func (g *GapDetector) Percentile10() time.Duration {
	if g.count < minGaps {
		return 0
	}
	return time.Duration(g.sorted[g.count/10] * float64(time.Second))
}

// SilenceProbability returns the probability that a live watch sends nothing for longer than the given silence.
func (g *GapDetector) SilenceProbability(silence time.Duration) float64 {
	seconds := silence.Seconds()
	if seconds <= 0 {
		return 1
	}
	shorter, _ := slices.BinarySearch(g.sorted[:g.count], seconds)
	usual := max(g.expectedSeconds/4, g.Percentile90().Seconds())
	longer := float64(g.count-shorter) + gapPrior*math.Exp(-seconds/usual)
	// Without this term a message slightly later than all observed ones would make the watch look silent.
	for _, gap := range g.sorted[:shorter] {
		if blurs := (seconds - gap) / (gapBlurFraction * usual); blurs < maxBlurs {
			longer += math.Exp(-blurs)
		}
	}
	return longer / (float64(g.count) + gapPrior)
}

// stillSilent returns the conditional probability that a live watch that has been silent for the duration from stays
// silent until its silence has lasted for the duration to.
func (g *GapDetector) stillSilent(from, to time.Duration) float64 {
	until := max(g.SilenceProbability(to), minStillSilent)
	return min(1, until/max(g.SilenceProbability(from), minStillSilent))
}

// Phi returns -log10 of SilenceProbability: the higher, the less likely the watch is live.
func (g *GapDetector) Phi(silence time.Duration) float64 {
	return -math.Log10(max(g.SilenceProbability(silence), minPhiProbability))
}

// Package staleness estimates how old what a proxy (an edge) holds may be, and the chance that acting on it now is right.
// It is pure: no I/O, no goroutine, no clock; callers give the time, all from one monotonic clock, and see to it that one at a
// time calls. docs/fleet-staleness-design.md says which options were weighed and what the tests show.
package staleness

import (
	"math"
	"slices"
	"time"
)

const (
	gapWindow = 64 // gaps that are remembered
	// gapPrior is the weight, in gaps, of the exponential prior: some news will come later than all before it.
	gapPrior = 0.25
	// gapBlurFraction is the mean of what a gap may be longer than one that was seen, by the usual one.
	gapBlurFraction      = .1
	minHeartbeatInterval = 10 * time.Millisecond
)

// GapDetector is an accrual detector on the gaps between the news of one source: phi as in Hayashibara, Défago, Yared and Katayama,
// "The phi accrual failure detector" (SRDS 2004), with the gaps' own distribution in place of the normal one as in Satzger,
// Pietzowski, Trumler and Ungerer, "A new adaptive accrual failure detector for dependable distributed systems" (SAC 2007): the
// gaps of a watch are a mixture (beats and changes), which a normal one does not fit. The tail beyond what was seen is exponential.
type GapDetector struct {
	ring            [gapWindow]float64 // seconds, in the order in which they came
	sorted          [gapWindow]float64
	count, next     int
	expectedSeconds float64 // seconds
}

// NewGapDetector begins with an expected gap, which counts as a quarter of a gap seen.
func NewGapDetector(expected time.Duration) *GapDetector {
	return &GapDetector{expectedSeconds: max(expected, minHeartbeatInterval).Seconds()}
}

// Observe adds a gap. Gaps of a watch that is thought dead, or of a stop of one's own, are not to be added: they'd teach that long
// silence is usual.
func (g *GapDetector) Observe(gap time.Duration) {
	s := max(0, gap.Seconds())
	if g.count == gapWindow {
		old := g.ring[g.next]
		i, _ := slices.BinarySearch(g.sorted[:g.count], old)
		copy(g.sorted[i:], g.sorted[i+1:g.count])
		g.count--
	}
	i, _ := slices.BinarySearch(g.sorted[:g.count], s)
	copy(g.sorted[i+1:g.count+1], g.sorted[i:g.count])
	g.sorted[i], g.ring[g.next] = s, s
	g.count++
	g.next = (g.next + 1) % gapWindow
}

// Percentile90 is the gap that nine of ten did not exceed.
func (g *GapDetector) Percentile90() time.Duration {
	if g.count < 4 {
		return time.Duration(g.expectedSeconds * float64(time.Second))
	}
	return max(minHeartbeatInterval, time.Duration(g.sorted[g.count*9/10]*float64(time.Second)))
}

// Percentile10 is the gap that nine of ten exceeded.
func (g *GapDetector) Percentile10() time.Duration {
	if g.count < 4 {
		return 0
	}
	return time.Duration(g.sorted[g.count/10] * float64(time.Second))
}

// SilenceProbability is the chance that a live watch is silent for longer than s.
func (g *GapDetector) SilenceProbability(s time.Duration) float64 {
	x := s.Seconds()
	if x <= 0 {
		return 1
	}
	i, _ := slices.BinarySearch(g.sorted[:g.count], x)
	usual := max(g.expectedSeconds/4, g.Percentile90().Seconds())
	sum := float64(g.count-i) + gapPrior*math.Exp(-x/usual)
	// Danger: without a blur a message that is a little later than the latest of 64 would make the watch look dead.
	for _, gap := range g.sorted[:i] {
		if late := (x - gap) / (gapBlurFraction * usual); late < 12 {
			sum += math.Exp(-late)
		}
	}
	return sum / (float64(g.count) + gapPrior)
}

// Phi is -log10 of Later.
func (g *GapDetector) Phi(s time.Duration) float64 {
	return -math.Log10(max(g.SilenceProbability(s), 1e-300))
}

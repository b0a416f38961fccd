package staleness

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestPhiNeverFallsWithSilenceAndIsSmallWithinUsualGap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewGapDetector(time.Second)
		for _, ms := range rapid.SliceOfN(rapid.IntRange(1, 5000), 0, 200).Draw(t, "gaps") {
			g.Observe(time.Duration(ms) * time.Millisecond)
		}
		if g.SilenceProbability(0) != 1 {
			t.Fatalf("SilenceProbability(0) = %v, want 1", g.SilenceProbability(0))
		}
		last := 0.0
		for silence := time.Duration(0); silence < 20*time.Second; silence += 137 * time.Millisecond {
			phi := g.Phi(silence)
			if phi < last-1e-9 || math.IsNaN(phi) {
				t.Fatalf("Phi(%v) = %v, want a number of at least %v, the phi of a shorter silence", silence, phi, last)
			}
			last = phi
		}
		if g.count > 3 && g.Phi(g.Percentile90()/2) > 1.5 {
			t.Fatalf("Phi(half of the 90th percentile, %v) = %v, want at most 1.5",
				g.Percentile90()/2, g.Phi(g.Percentile90()/2))
		}
	})
}

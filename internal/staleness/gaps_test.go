package staleness

import (
	"flag"
	"math"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The same verdict each run: properties draw from a fixed seed unless another one is given.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		if err := f.Value.Set("24"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func TestPhiNeverFallsWithSilenceAndIsSmallWithinTheCadence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewGapDetector(time.Second)
		for _, ms := range rapid.SliceOfN(rapid.IntRange(1, 5000), 0, 200).Draw(t, "gaps") {
			g.Observe(time.Duration(ms) * time.Millisecond)
		}
		if g.SilenceProbability(0) != 1 {
			t.Fatalf("silence of nothing has chance %v", g.SilenceProbability(0))
		}
		last := 0.0
		for s := time.Duration(0); s < 20*time.Second; s += 137 * time.Millisecond {
			phi := g.Phi(s)
			if phi < last-1e-9 || math.IsNaN(phi) {
				t.Fatalf("phi falls from %v to %v at %v", last, phi, s)
			}
			last = phi
		}
		if g.count > 3 && g.Phi(g.Percentile90()/2) > 1.5 {
			t.Fatalf("phi %v within the cadence", g.Phi(g.Percentile90()/2))
		}
	})
}

func TestARateIsLearnedWhateverThePrior(t *testing.T) {
	for _, prior := range []Prior{{0.5, time.Second}, {0.5, time.Hour}, DefaultPrior} {
		r := NewChangeRate(prior, 2)
		for i := range 20_000 { // 50 entries, one change each 10 s
			n := 0
			if i%10 == 0 {
				n = 1
			}
			r.Observe(time.Second, 50, n)
		}
		if got := r.LongTerm(); math.Abs(got-.002) > .0005 {
			t.Errorf("prior %v: %v a second, want .002", prior, got)
		}
		before := r.Current()
		r.Observe(time.Second, 50, 25)
		if r.Current() < 5*before {
			t.Errorf("a burst lifts the rate from %v to %v only", before, r.Current())
		}
		if r.Survival(r.Hazard(time.Minute)) >= r.Survival(r.Hazard(time.Second)) {
			t.Error("the chance to be the same does not fall with time")
		}
	}
}

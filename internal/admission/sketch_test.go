package admission

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"
)

// An estimate is never too low, and seldom too high by more than it says.
func TestSketch(t *testing.T) {
	s := newSketch(7)
	rng := rand.New(rand.NewPCG(3, 4))
	exact := map[uint64]float64{}
	for range 200_000 {
		k := rng.Uint64() % 50_000
		if rng.IntN(10) == 0 {
			k = rng.Uint64() % 10 // few frequent keys
		}
		key := s.key(netip.PrefixFrom(ip(10, int(k>>16), int(k>>8), int(k)), 32))
		exact[key]++
		s.add(0, key)
	}
	wrong := 0
	for key, n := range exact {
		est := s.estimate(key)
		if est < n-0.5 {
			t.Fatalf("an estimate of %.1f for %v", est, n)
		}
		if est > n+s.errorBound() {
			wrong++
		}
	}
	if part := float64(wrong) / float64(len(exact)); part > 0.02 {
		t.Errorf("%.2f %% are off by more than %.1f", 100*part, s.errorBound())
	}
	var some uint64
	for key := range exact {
		some = key
		break
	}
	before := s.estimate(some)
	for now := time.Second; now <= 100*time.Second; now += time.Second {
		s.decay(now)
	}
	if after := s.estimate(some); after > before*1e-6 || s.total > 1 {
		t.Errorf("%v has decayed to %v in 100 s", before, after)
	}
}

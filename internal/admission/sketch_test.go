package admission

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"
)

// An estimate is never below the exact count, and at most 2 % of estimates exceed it by more than errorBound.
func TestSketch(t *testing.T) {
	s := newSketch(7)
	rng := rand.New(rand.NewPCG(3, 4))
	exact := map[uint64]float64{}
	for range 200_000 {
		k := rng.Uint64() % 50_000
		if rng.IntN(10) == 0 {
			k = rng.Uint64() % 10 // 10 % of the events have one of ten frequent keys
		}
		key := s.key(netip.PrefixFrom(ip(10, int(k>>16), int(k>>8), int(k)), 32))
		exact[key]++
		s.add(0, key)
	}
	beyondBound := 0
	for key, count := range exact {
		estimate := s.estimate(key)
		if estimate < count-0.5 {
			t.Fatalf("estimate = %.1f for a key with %.0f events, want no less than the exact count", estimate, count)
		}
		if estimate > count+s.errorBound() {
			beyondBound++
		}
	}
	if ratio := float64(beyondBound) / float64(len(exact)); ratio > 0.02 {
		t.Errorf("%.2f %% of the estimates exceed the exact count by more than errorBound %.1f, want at most 2 %%",
			100*ratio, s.errorBound())
	}
	var anyKey uint64
	for key := range exact {
		anyKey = key
		break
	}
	before := s.estimate(anyKey)
	for now := time.Second; now <= 100*time.Second; now += time.Second {
		s.decay(now)
	}
	if after := s.estimate(anyKey); after > before*1e-6 || s.total > 1 {
		t.Errorf("100 s of decay changed an estimate from %v to %v, want at most a millionth of the first value; "+
			"total of all keys = %v, want at most 1", before, after, s.total)
	}
}

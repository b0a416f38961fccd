package processquota

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Any order of events keeps the invariants of RateLimiter.
func TestRateLimiterInvariants(t *testing.T) {
	names := []string{"a", "b", "c"}
	rapid.Check(t, func(t *rapid.T) {
		total := float64(rapid.IntRange(30, 300).Draw(t, "total"))
		burst := 200 * ms
		shares := map[string]RateShare{}
		for _, n := range names {
			shares[n] = RateShare{Min: total / 3 * rapid.Float64Range(0, 1).Draw(t, "min "+n)}
		}
		r, err := NewRateLimiter(total, burst, shares)
		if err != nil {
			t.Fatal(err)
		}
		acquired := map[string]int{}
		all := 0.0
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "order"), 1))
		steady := rapid.SampledFrom(names).Draw(t, "steady") // acquires its minimum evenly, the others all they can
		next := 0.0
		end := 5 * time.Second
		for now := time.Duration(0); now < end; now += 2 * ms {
			for _, i := range rng.Perm(len(names)) {
				n := names[i]
				if n == steady {
					if now > 0 {
						next += shares[n].Min * 0.002
					}
					for ; next >= 1; next-- {
						ok, retryAfter := r.Acquire(now, n)
						if !ok {
							t.Fatalf("%s acquires its minimum of %.1f per second evenly and was rejected at %v, for %v",
								n, shares[n].Min, now, retryAfter)
						}
						acquired[n]++
						all++
					}
					continue
				}
				for range 3 {
					if ok, _ := r.Acquire(now, n); ok {
						acquired[n]++
						all++
					}
				}
			}
		}
		most := total*end.Seconds() + 2*total*burst.Seconds() + 5
		if all > most {
			t.Fatalf("%v were acquired, at most %v may be", all, most)
		}
	})
}

func TestRateLimiterCapsAndReconfigure(t *testing.T) {
	r, err := NewRateLimiter(100, time.Second, map[string]RateShare{"a": {Min: 10, Cap: 20}, "b": {}})
	if err != nil {
		t.Fatal(err)
	}
	count := func(name string, from, to time.Duration) int {
		n := 0
		for now := from; now < to; now += ms {
			for ok, _ := r.Acquire(now, name); ok; ok, _ = r.Acquire(now, name) {
				n++
			}
		}
		return n
	}
	if n := count("a", 0, 10*time.Second); n < 195 || n > 225 {
		t.Errorf("a acquired %d in 10 s; its cap is 20 per second", n)
	}
	if ok, retryAfter := r.Acquire(10*time.Second, "nobody"); ok || retryAfter != 0 {
		t.Error("an unknown member acquired")
	}
	if err := r.Reconfigure(5, time.Second, map[string]RateShare{"a": {Min: 10}}); err == nil {
		t.Error("minimums above the total were accepted")
	}
	if err := r.Reconfigure(50, time.Second, map[string]RateShare{"a": {Min: 5}}); err != nil {
		t.Fatal(err)
	}
	if n := count("a", 20*time.Second, 30*time.Second); n < 480 || n > 610 {
		t.Errorf("a acquired %d in 10 s, alone at 50 per second", n)
	}
}

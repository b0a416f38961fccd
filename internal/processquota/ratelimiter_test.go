package processquota

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The invariants of RateLimiter hold for members that acquire in any order: the total rate is never exceeded, and a
// member that acquires evenly at its minimum rate is never rejected.
func TestRateLimiterInvariants(t *testing.T) {
	names := []string{"a", "b", "c"}
	rapid.Check(t, func(t *rapid.T) {
		total := float64(rapid.IntRange(30, 300).Draw(t, "total"))
		burst := 200 * ms
		shares := map[string]RateShare{}
		for _, name := range names {
			shares[name] = RateShare{Min: total / 3 * rapid.Float64Range(0, 1).Draw(t, "min "+name)}
		}
		r, err := NewRateLimiter(total, burst, shares)
		if err != nil {
			t.Fatalf("NewRateLimiter(total %v, burst %v, shares %+v): %v", total, burst, shares, err)
		}
		acquired := 0.0
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "order"), 1))
		// The steady member acquires evenly at its minimum rate; the others acquire as much as they can.
		steady := rapid.SampledFrom(names).Draw(t, "steady")
		pending := 0.0 // units that the steady member has yet to acquire, including a fraction
		end := 5 * time.Second
		for now := time.Duration(0); now < end; now += 2 * ms {
			for _, i := range rng.Perm(len(names)) {
				name := names[i]
				if name == steady {
					if now > 0 {
						pending += shares[name].Min * 0.002
					}
					for ; pending >= 1; pending-- {
						ok, retryAfter := r.Acquire(now, name)
						if !ok {
							t.Fatalf("Acquire(%s) at %v was rejected with retry after %v, want a unit: "+
								"it acquires evenly at its minimum of %.1f per second",
								name, now, retryAfter, shares[name].Min)
						}
						acquired++
					}
					continue
				}
				for range 3 {
					if ok, _ := r.Acquire(now, name); ok {
						acquired++
					}
				}
			}
		}
		limit := total*end.Seconds() + 2*total*burst.Seconds() + 5
		if acquired > limit {
			t.Fatalf("%v units were acquired in %v, want at most %v at %v per second", acquired, end, limit, total)
		}
	})
}

func TestRateLimiterCapsAndReconfigure(t *testing.T) {
	r, err := NewRateLimiter(100, time.Second, map[string]RateShare{"a": {Min: 10, Cap: 20}, "b": {}})
	if err != nil {
		t.Fatalf("NewRateLimiter with a total of 100 per second: %v", err)
	}
	// acquireAll acquires as many units as possible in the given period and returns their number.
	acquireAll := func(name string, from, to time.Duration) int {
		acquired := 0
		for now := from; now < to; now += ms {
			for ok, _ := r.Acquire(now, name); ok; ok, _ = r.Acquire(now, name) {
				acquired++
			}
		}
		return acquired
	}
	if acquired := acquireAll("a", 0, 10*time.Second); acquired < 195 || acquired > 225 {
		t.Errorf("a acquired %d units in 10 s, want 195 to 225: its cap is 20 per second", acquired)
	}
	if ok, retryAfter := r.Acquire(10*time.Second, "nobody"); ok || retryAfter != 0 {
		t.Errorf("Acquire of an unknown member = %v, retry after %v, want false and 0", ok, retryAfter)
	}
	if err := r.Reconfigure(5, time.Second, map[string]RateShare{"a": {Min: 10}}); err == nil {
		t.Error("Reconfigure to a total of 5 and a minimum of 10 per second succeeded, want an error")
	}
	if err := r.Reconfigure(50, time.Second, map[string]RateShare{"a": {Min: 5}}); err != nil {
		t.Fatalf("Reconfigure to a total of 50 per second with one member: %v", err)
	}
	if acquired := acquireAll("a", 20*time.Second, 30*time.Second); acquired < 480 || acquired > 610 {
		t.Errorf("a, the only member, acquired %d units in 10 s, want 480 to 610 at 50 per second", acquired)
	}
}

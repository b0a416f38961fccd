package processquota

import (
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

func pool(t *testing.T, terms PoolSettings, shares map[string]Share) *Pool {
	t.Helper()
	p, err := NewPool(terms, shares)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func TestErrorsNameTheField(t *testing.T) {
	good := PoolSettings{Total: 10, Lend: 0.5}
	for _, k := range []struct {
		terms  PoolSettings
		shares map[string]Share
		want   string
	}{
		{PoolSettings{Total: -1}, nil, "total: -1"},
		{PoolSettings{Lend: 2}, nil, "lend: 2"},
		{PoolSettings{Recall: -1}, nil, "recall"},
		{good, map[string]Share{"a": {Min: -1}}, "a: min -1"},
		{good, map[string]Share{"a": {Min: 5, Cap: 4}}, "a: cap 4 is under min 5"},
		{good, map[string]Share{"a": {Weight: math.NaN()}}, "a: weight NaN"},
		{good, map[string]Share{"a": {Min: 6}, "b": {Min: 5}}, "the minimums come to 11, the total is 10"},
	} {
		if _, err := NewPool(k.terms, k.shares); err == nil || !strings.Contains(err.Error(), k.want) {
			t.Errorf("%+v %+v: %v", k.terms, k.shares, err)
		}
	}
}

func TestLendingAndRecall(t *testing.T) {
	p := pool(t, PoolSettings{Total: 10, Recall: time.Second, Lend: 0.5}, map[string]Share{"pay": {Min: 4}, "dispatch": {Min: 4}})
	n := 0
	for p.Acquire(0, "dispatch", 1) {
		n++
	}
	if n != 8 { // all but the half of pay's minimum that is never lent
		t.Errorf("dispatch took %d of 10, want 8", n)
	}
	if !p.Acquire(0, "pay", 1) || !p.Acquire(0, "pay", 1) || p.Acquire(0, "pay", 1) {
		t.Error("pay has not just its unlent two")
	}
	// As dispatch gives back, pay goes first: it asks, and is under its minimum.
	if err := p.Release("dispatch", 1); err != nil {
		t.Fatal(err)
	}
	if p.Acquire(ms, "dispatch", 1) {
		t.Error("dispatch took what pay is owed")
	}
	if !p.Acquire(ms, "pay", 1) {
		t.Error("pay did not get what came back")
	}
	// Nobody has asked for pay's last unit for longer than the recall time: it is lent again.
	if err := p.Release("dispatch", 1); err != nil {
		t.Fatal(err)
	}
	if !p.Acquire(ms+2*time.Second, "dispatch", 1) {
		t.Error("what nobody wants is not lent")
	}
	if err := p.Release("pay", 9); err == nil {
		t.Error("pay gave back what it does not hold")
	}
}

func TestChangesUnderUse(t *testing.T) {
	p := pool(t, PoolSettings{Total: 10, Lend: 1}, map[string]Share{"a": {}, "b": {}})
	for range 8 {
		p.Acquire(0, "a", 1)
	}
	if err := p.Reconfigure(PoolSettings{Total: 4}, map[string]Share{"b": {Min: 2, Cap: 2}, "c": {}}); err != nil {
		t.Fatal(err)
	}
	if p.Acquire(0, "a", 1) || p.Acquire(0, "b", 1) { // a is gone; what it holds is over the new total
		t.Error("something was taken over the new total")
	}
	if err := p.Reconfigure(PoolSettings{Total: 1}, map[string]Share{"b": {Min: 2}}); err == nil {
		t.Error("a bad change was taken")
	}
	if err := p.Release("a", 8); err != nil {
		t.Fatal(err)
	}
	if _, there := p.Usage(0)["a"]; there {
		t.Error("a is still a member")
	}
	if !p.Acquire(0, "b", 2) || p.Acquire(0, "b", 1) || !p.Acquire(0, "c", 2) {
		t.Error("after the change")
	}
}

// hold is a unit or more that is out.
type hold struct {
	name  string
	n     int64
	until time.Duration
}

// Any order of events keeps the promises of the package.
func TestPromises(t *testing.T) {
	names := []string{"a", "b", "c"}
	rapid.Check(t, func(t *rapid.T) {
		recall := 100 * ms
		terms := PoolSettings{Total: int64(rapid.IntRange(6, 40).Draw(t, "total")), Recall: recall, Lend: rapid.Float64Range(0, 1).Draw(t, "lend")}
		shares := map[string]Share{}
		left := terms.Total
		for _, n := range names {
			m := int64(rapid.IntRange(0, int(left)/2).Draw(t, "min "+n))
			left -= m
			s := Share{Min: m, Weight: float64(rapid.IntRange(1, 5).Draw(t, "weight "+n))}
			if rapid.Bool().Draw(t, "capped "+n) {
				s.Cap = m + int64(rapid.IntRange(0, 10).Draw(t, "cap "+n))
			}
			shares[n] = s
		}
		p, err := NewPool(terms, shares)
		if err != nil {
			t.Fatal(err)
		}
		var holds []hold
		used := map[string]int64{}
		asking := map[string]time.Duration{} // since when a member asks at every step and is refused
		now := time.Duration(0)
		greedy := map[string]bool{}
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "events"), 1))
		for step := range 150 {
			now += 5 * ms
			kept := holds[:0]
			for _, h := range holds {
				if h.until <= now {
					if err := p.Release(h.name, h.n); err != nil {
						t.Fatal(err)
					}
					used[h.name] -= h.n
				} else {
					kept = append(kept, h)
				}
			}
			holds = kept
			if step%20 == 0 {
				for _, n := range names {
					greedy[n] = rng.IntN(2) == 0
					delete(asking, n)
				}
			}
			for _, i := range rng.Perm(len(names)) {
				n := names[i]
				if !greedy[n] {
					continue
				}
				s := shares[n]
				unlent := s.Min - int64(terms.Lend*float64(s.Min))
				refused := false
				for range terms.Total {
					got := p.Acquire(now, n, 1)
					if !got {
						refused = true
						if used[n] < unlent {
							t.Fatalf("%s holds %d and was refused; %d of its %d are never lent", n, used[n], unlent, s.Min)
						}
						break
					}
					used[n]++
					d := time.Duration(1+rng.IntN(int(recall/ms))) * ms
					holds = append(holds, hold{n, 1, now + d})
				}
				if refused && used[n] < s.Min {
					if since, there := asking[n]; !there {
						asking[n] = now
					} else if now-since > recall+5*ms {
						t.Fatalf("%s has asked since %v and holds %d of its %d at %v", n, since, used[n], s.Min, now)
					}
				} else {
					delete(asking, n)
				}
			}
			total, all := p.Total()
			if all > total {
				t.Fatalf("%d of %d are taken", all, total)
			}
			for n, u := range p.Usage(now) {
				if u.Used != used[n] || u.Cap > 0 && u.Used > u.Cap {
					t.Fatalf("%s: %+v, %d by our count", n, u, used[n])
				}
			}
		}
	})
}

// Two that always ask come to their weighted shares, whoever was first.
func TestWeights(t *testing.T) {
	p := pool(t, PoolSettings{Total: 100, Recall: 100 * ms, Lend: 1}, map[string]Share{"a": {Weight: 3}, "b": {Weight: 1}})
	var holds []hold
	used := map[string]int64{}
	for step := range 200 {
		now := time.Duration(step) * 10 * ms
		kept := holds[:0]
		for _, h := range holds {
			if h.until <= now {
				p.Release(h.name, 1)
				used[h.name]--
			} else {
				kept = append(kept, h)
			}
		}
		holds = kept
		for _, n := range []string{"b", "a"} { // b asks first
			if n == "a" && step < 20 {
				continue // and has had all to itself for a while
			}
			for k := 0; p.Acquire(now, n, 1); k++ {
				used[n]++
				holds = append(holds, hold{n, 1, now + time.Duration(50+(k*37)%50)*ms})
			}
		}
	}
	if used["a"] < 65 || used["b"] < 20 {
		t.Errorf("a holds %d, b %d; their weights are 3 and 1", used["a"], used["b"])
	}
}

func TestRateKeepsItsPromises(t *testing.T) {
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
		taken := map[string]int{}
		all := 0.0
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "order"), 1))
		steady := rapid.SampledFrom(names).Draw(t, "steady") // takes its minimum evenly, the others all they can
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
						ok, after := r.Acquire(now, n)
						if !ok {
							t.Fatalf("%s takes its minimum of %.1f a second evenly and was refused at %v, for %v", n, shares[n].Min, now, after)
						}
						taken[n]++
						all++
					}
					continue
				}
				for range 3 {
					if ok, _ := r.Acquire(now, n); ok {
						taken[n]++
						all++
					}
				}
			}
		}
		most := total*end.Seconds() + 2*total*burst.Seconds() + 5
		if all > most {
			t.Fatalf("%v were taken, at most %v may be", all, most)
		}
	})
}

func TestRateCapsAndChanges(t *testing.T) {
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
		t.Errorf("a took %d in 10 s; its cap is 20 a second", n)
	}
	if ok, after := r.Acquire(10*time.Second, "nobody"); ok || after != 0 {
		t.Error("a stranger took")
	}
	if err := r.Reconfigure(5, time.Second, map[string]RateShare{"a": {Min: 10}}); err == nil {
		t.Error("minimums over the total were taken")
	}
	if err := r.Reconfigure(50, time.Second, map[string]RateShare{"a": {Min: 5}}); err != nil {
		t.Fatal(err)
	}
	if n := count("a", 20*time.Second, 30*time.Second); n < 480 || n > 610 {
		t.Errorf("a took %d in 10 s, alone at 50 a second", n)
	}
}

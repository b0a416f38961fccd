package processquota

import (
	"errors"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

func newPool(t *testing.T, settings PoolSettings, shares map[string]Share) *Pool {
	t.Helper()
	p, err := NewPool(settings, shares)
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
	p := newPool(t, PoolSettings{Total: 10, Recall: time.Second, Lend: 0.5},
		map[string]Share{"pay": {Min: 4}, "dispatch": {Min: 4}})
	n := 0
	for p.Acquire(0, "dispatch", 1) {
		n++
	}
	if n != 8 { // all but the part of pay's minimum that is never lent
		t.Errorf("dispatch took %d of 10, want 8", n)
	}
	for i, want := range []bool{true, true, false} {
		if got := p.Acquire(0, "pay", 1); got != want {
			t.Errorf("unit %d of the two of pay that are never lent: %v", i, got)
		}
	}
	// What dispatch releases goes to pay first, which waits and is under its minimum.
	if err := p.Release("dispatch", 1); err != nil {
		t.Fatal(err)
	}
	if p.Acquire(ms, "dispatch", 1) {
		t.Error("dispatch took what pay is owed")
	}
	if !p.Acquire(ms, "pay", 1) {
		t.Error("pay did not get what was released")
	}
	// Pay has not acquired for longer than the recall time: its last unit is lent again.
	if err := p.Release("dispatch", 1); err != nil {
		t.Fatal(err)
	}
	if !p.Acquire(ms+2*time.Second, "dispatch", 1) {
		t.Error("an idle unit is not lent")
	}
	var releaseErr ReleaseError
	if err := p.Release("pay", 9); !errors.As(err, &releaseErr) || releaseErr.Units != 9 {
		t.Errorf("pay released what it does not hold: %v", err)
	}
}

func TestReconfigureUnderUse(t *testing.T) {
	p := newPool(t, PoolSettings{Total: 10, Lend: 1}, map[string]Share{"a": {}, "b": {}})
	for range 8 {
		p.Acquire(0, "a", 1)
	}
	if err := p.Reconfigure(PoolSettings{Total: 4}, map[string]Share{"b": {Min: 2, Cap: 2}, "c": {}}); err != nil {
		t.Fatal(err)
	}
	if p.Acquire(0, "a", 1) || p.Acquire(0, "b", 1) { // a is removed; what it holds is above the new total
		t.Error("a unit was acquired above the new total")
	}
	if err := p.Reconfigure(PoolSettings{Total: 1}, map[string]Share{"b": {Min: 2}}); err == nil {
		t.Error("an invalid configuration was accepted")
	}
	if err := p.Release("a", 8); err != nil {
		t.Fatal(err)
	}
	if _, there := p.Usage(0)["a"]; there {
		t.Error("a is still a member")
	}
	if !p.Acquire(0, "b", 2) || p.Acquire(0, "b", 1) || !p.Acquire(0, "c", 2) {
		t.Error("after Reconfigure")
	}
}

// hold is a number of units in use.
type hold struct {
	name  string
	n     int64
	until time.Duration
}

// Any order of events keeps the invariants of Pool.
func TestPoolInvariants(t *testing.T) {
	names := []string{"a", "b", "c"}
	rapid.Check(t, func(t *rapid.T) {
		recall := 100 * ms
		settings := PoolSettings{
			Total:  int64(rapid.IntRange(6, 40).Draw(t, "total")),
			Recall: recall,
			Lend:   rapid.Float64Range(0, 1).Draw(t, "lend"),
		}
		shares := map[string]Share{}
		left := settings.Total
		for _, n := range names {
			m := int64(rapid.IntRange(0, int(left)/2).Draw(t, "min "+n))
			left -= m
			s := Share{Min: m, Weight: float64(rapid.IntRange(1, 5).Draw(t, "weight "+n))}
			if rapid.Bool().Draw(t, "capped "+n) {
				s.Cap = m + int64(rapid.IntRange(0, 10).Draw(t, "cap "+n))
			}
			shares[n] = s
		}
		p, err := NewPool(settings, shares)
		if err != nil {
			t.Fatal(err)
		}
		var holds []hold
		used := map[string]int64{}
		waiting := map[string]time.Duration{} // since when a member acquires in vain at every step
		now := time.Duration(0)
		greedy := map[string]bool{}
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "events"), 1))
		for step := range 150 {
			now += 5 * ms
			remaining := holds[:0]
			for _, h := range holds {
				if h.until <= now {
					if err := p.Release(h.name, h.n); err != nil {
						t.Fatal(err)
					}
					used[h.name] -= h.n
				} else {
					remaining = append(remaining, h)
				}
			}
			holds = remaining
			if step%20 == 0 {
				for _, n := range names {
					greedy[n] = rng.IntN(2) == 0
					delete(waiting, n)
				}
			}
			for _, i := range rng.Perm(len(names)) {
				n := names[i]
				if !greedy[n] {
					continue
				}
				s := shares[n]
				neverLent := s.Min - int64(settings.Lend*float64(s.Min))
				rejected := false
				for range settings.Total {
					got := p.Acquire(now, n, 1)
					if !got {
						rejected = true
						if used[n] < neverLent {
							t.Fatalf("%s holds %d and was rejected; %d of its %d are never lent",
								n, used[n], neverLent, s.Min)
						}
						break
					}
					used[n]++
					d := time.Duration(1+rng.IntN(int(recall/ms))) * ms
					holds = append(holds, hold{n, 1, now + d})
				}
				if rejected && used[n] < s.Min {
					if since, found := waiting[n]; !found {
						waiting[n] = now
					} else if now-since > recall+5*ms {
						t.Fatalf("%s has waited since %v and holds %d of its %d at %v", n, since, used[n], s.Min, now)
					}
				} else {
					delete(waiting, n)
				}
			}
			total, all := p.Total()
			if all > total {
				t.Fatalf("%d of %d are in use", all, total)
			}
			for n, u := range p.Usage(now) {
				if u.Used != used[n] || u.Cap > 0 && u.Used > u.Cap {
					t.Fatalf("%s: %+v, %d by the test's count", n, u, used[n])
				}
			}
		}
	})
}

// Two members that always acquire reach their weighted shares, whoever was first.
func TestWeights(t *testing.T) {
	p := newPool(t, PoolSettings{Total: 100, Recall: 100 * ms, Lend: 1},
		map[string]Share{"a": {Weight: 3}, "b": {Weight: 1}})
	var holds []hold
	used := map[string]int64{}
	for step := range 200 {
		now := time.Duration(step) * 10 * ms
		remaining := holds[:0]
		for _, h := range holds {
			if h.until <= now {
				if err := p.Release(h.name, 1); err != nil {
					t.Fatal(err)
				}
				used[h.name]--
			} else {
				remaining = append(remaining, h)
			}
		}
		holds = remaining
		for _, n := range []string{"b", "a"} { // b acquires first
			if n == "a" && step < 20 {
				continue // and is alone for a while
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

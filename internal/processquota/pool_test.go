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
		t.Fatalf("NewPool(settings %+v, shares %+v): %v", settings, shares, err)
	}
	return p
}

func TestErrorsNameTheField(t *testing.T) {
	validSettings := PoolSettings{Total: 10, Lend: 0.5}
	for _, test := range []struct {
		settings PoolSettings
		shares   map[string]Share
		want     string
	}{
		{PoolSettings{Total: -1}, nil, "total: -1"},
		{PoolSettings{Lend: 2}, nil, "lend: 2"},
		{PoolSettings{Recall: -1}, nil, "recall"},
		{validSettings, map[string]Share{"a": {Min: -1}}, "a: min -1"},
		{validSettings, map[string]Share{"a": {Min: 5, Cap: 4}}, "a: cap 4 is below min 5"},
		{validSettings, map[string]Share{"a": {Weight: math.NaN()}}, "a: weight NaN"},
		{
			validSettings, map[string]Share{"a": {Min: 6}, "b": {Min: 5}},
			"the sum of the minimums, 11, exceeds the total of 10",
		},
	} {
		_, err := NewPool(test.settings, test.shares)
		if err == nil || !strings.Contains(err.Error(), test.want) {
			t.Errorf("NewPool(settings %+v, shares %+v): error %v, want one that contains %q",
				test.settings, test.shares, err, test.want)
		}
	}
}

func TestLendingAndRecall(t *testing.T) {
	p := newPool(t, PoolSettings{Total: 10, Recall: time.Second, Lend: 0.5},
		map[string]Share{"pay": {Min: 4}, "dispatch": {Min: 4}})
	acquired := 0
	for p.Acquire(0, "dispatch", 1) {
		acquired++
	}
	if acquired != 8 { // all but the part of pay's minimum that is never lent
		t.Errorf("dispatch acquired %d of 10 units, want 8", acquired)
	}
	for i, want := range []bool{true, true, false} {
		if got := p.Acquire(0, "pay", 1); got != want {
			t.Errorf("Acquire(pay, 1 unit), call %d = %v, want %v: two units of its minimum are never lent",
				i+1, got, want)
		}
	}
	// A unit that dispatch releases is kept for pay, which is waiting and below its minimum.
	if err := p.Release("dispatch", 1); err != nil {
		t.Fatalf("Release(dispatch, 1 unit) while pay waits: %v", err)
	}
	if p.Acquire(ms, "dispatch", 1) {
		t.Error("Acquire(dispatch, 1 unit) = true, want false: the released unit is kept for pay")
	}
	if !p.Acquire(ms, "pay", 1) {
		t.Error("Acquire(pay, 1 unit) = false, want true: dispatch released a unit that is kept for pay")
	}
	// Pay has not acquired for longer than the recall time, so the last unit of its minimum is lent again.
	if err := p.Release("dispatch", 1); err != nil {
		t.Fatalf("Release(dispatch, 1 unit) while pay is idle: %v", err)
	}
	if !p.Acquire(ms+2*time.Second, "dispatch", 1) {
		t.Error("Acquire(dispatch, 1 unit) after the recall time = false, want true: pay's unused unit is lent")
	}
	var releaseErr ReleaseError
	if err := p.Release("pay", 9); !errors.As(err, &releaseErr) || releaseErr.Units != 9 {
		t.Errorf("Release(pay, 9 units), more than it holds: error %v, want a ReleaseError with 9 units", err)
	}
}

func TestReconfigureUnderUse(t *testing.T) {
	p := newPool(t, PoolSettings{Total: 10, Lend: 1}, map[string]Share{"a": {}, "b": {}})
	for range 8 {
		p.Acquire(0, "a", 1)
	}
	if err := p.Reconfigure(PoolSettings{Total: 4}, map[string]Share{"b": {Min: 2, Cap: 2}, "c": {}}); err != nil {
		t.Fatalf("Reconfigure to a total of 4, without member a: %v", err)
	}
	if p.Acquire(0, "a", 1) || p.Acquire(0, "b", 1) { // a is removed and holds 8 units, more than the new total
		t.Error("Acquire of 1 unit for a or b = true, want false: a holds 8 units and the new total is 4")
	}
	if err := p.Reconfigure(PoolSettings{Total: 1}, map[string]Share{"b": {Min: 2}}); err == nil {
		t.Error("Reconfigure to a total of 1 and a minimum of 2 succeeded, want an error")
	}
	if err := p.Release("a", 8); err != nil {
		t.Fatalf("Release(a, 8 units) by the removed member: %v", err)
	}
	if usage, found := p.Usage(0)["a"]; found {
		t.Errorf("Usage after the removed member a released all units has a: %+v, want no entry", usage)
	}
	if !p.Acquire(0, "b", 2) {
		t.Error("Acquire(b, 2 units) after Reconfigure = false, want true: its minimum is 2")
	}
	if p.Acquire(0, "b", 1) {
		t.Error("Acquire(b, 1 unit) with 2 units held = true, want false: its cap is 2")
	}
	if !p.Acquire(0, "c", 2) {
		t.Error("Acquire(c, 2 units) = false, want true: 2 of the total of 4 are free")
	}
}

// hold is a number of units that a member holds until a given time.
type hold struct {
	member string
	units  int64
	until  time.Duration
}

// The invariants of Pool hold for any sequence of calls.
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
		unassigned := settings.Total
		for _, name := range names {
			minimum := int64(rapid.IntRange(0, int(unassigned)/2).Draw(t, "min "+name))
			unassigned -= minimum
			share := Share{Min: minimum, Weight: float64(rapid.IntRange(1, 5).Draw(t, "weight "+name))}
			if rapid.Bool().Draw(t, "capped "+name) {
				share.Cap = minimum + int64(rapid.IntRange(0, 10).Draw(t, "cap "+name))
			}
			shares[name] = share
		}
		p, err := NewPool(settings, shares)
		if err != nil {
			t.Fatalf("NewPool(settings %+v, shares %+v): %v", settings, shares, err)
		}
		var holds []hold
		used := map[string]int64{}
		// waitingSince is, by member, the time of the first of the consecutive steps at which it was rejected below its
		// minimum.
		waitingSince := map[string]time.Duration{}
		now := time.Duration(0)
		active := map[string]bool{} // members that acquire as many units as they can at each step
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "events"), 1))
		for step := range 150 {
			now += 5 * ms
			remaining := holds[:0]
			for _, h := range holds {
				if h.until <= now {
					if err := p.Release(h.member, h.units); err != nil {
						t.Fatalf("Release(%s, %d held units): %v", h.member, h.units, err)
					}
					used[h.member] -= h.units
				} else {
					remaining = append(remaining, h)
				}
			}
			holds = remaining
			if step%20 == 0 {
				for _, name := range names {
					active[name] = rng.IntN(2) == 0
					delete(waitingSince, name)
				}
			}
			for _, i := range rng.Perm(len(names)) {
				name := names[i]
				if !active[name] {
					continue
				}
				share := shares[name]
				neverLent := share.Min - int64(settings.Lend*float64(share.Min))
				rejected := false
				for range settings.Total {
					acquired := p.Acquire(now, name, 1)
					if !acquired {
						rejected = true
						if used[name] < neverLent {
							t.Fatalf("Acquire(%s, 1 unit) with %d held = false, want true: "+
								"%d units of its minimum of %d are never lent", name, used[name], neverLent, share.Min)
						}
						break
					}
					used[name]++
					holdTime := time.Duration(1+rng.IntN(int(recall/ms))) * ms
					holds = append(holds, hold{name, 1, now + holdTime})
				}
				if rejected && used[name] < share.Min {
					if since, found := waitingSince[name]; !found {
						waitingSince[name] = now
					} else if now-since > recall+5*ms {
						t.Fatalf("at %v %s holds %d of its minimum of %d units and has waited since %v, "+
							"want its whole minimum after %v", now, name, used[name], share.Min, since, recall)
					}
				} else {
					delete(waitingSince, name)
				}
			}
			total, totalUsed := p.Total()
			if totalUsed > total {
				t.Fatalf("Total() reports %d units in use, want at most %d", totalUsed, total)
			}
			for name, usage := range p.Usage(now) {
				if usage.Used != used[name] || usage.Cap > 0 && usage.Used > usage.Cap {
					t.Fatalf("Usage() of %s = %+v, want %d units in use and no more than its cap",
						name, usage, used[name])
				}
			}
		}
	})
}

// Two members that acquire continuously reach their weighted shares, regardless of which one starts first.
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
				if err := p.Release(h.member, 1); err != nil {
					t.Fatalf("Release(%s, 1 held unit) at step %d: %v", h.member, step, err)
				}
				used[h.member]--
			} else {
				remaining = append(remaining, h)
			}
		}
		holds = remaining
		for _, name := range []string{"b", "a"} { // at each step b acquires before a
			if name == "a" && step < 20 {
				continue // during the first 20 steps only b acquires
			}
			for i := 0; p.Acquire(now, name, 1); i++ {
				used[name]++
				holds = append(holds, hold{name, 1, now + time.Duration(50+(i*37)%50)*ms})
			}
		}
	}
	if used["a"] < 65 || used["b"] < 20 {
		t.Errorf("a holds %d and b %d of 100 units, want at least 65 and 20: their weights are 3 and 1",
			used["a"], used["b"])
	}
}

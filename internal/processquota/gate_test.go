package processquota

import (
	"math"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func TestGateErrors(t *testing.T) {
	for _, k := range []struct {
		classes []GateClass
		weights []float64
		want    string
	}{
		{[]GateClass{{1, 1}, {1, 0}}, nil, "class 1"},
		{[]GateClass{{math.NaN(), 1}}, nil, "class 0"},
		{[]GateClass{{math.Inf(1), 1}}, nil, "class 0"},
		{nil, []float64{1, -1}, "tenant 1"},
	} {
		if _, err := NewGate(k.classes, k.weights); err == nil || !strings.Contains(err.Error(), k.want) {
			t.Errorf("%+v: %v", k, err)
		}
	}
}

func TestGateReservesCapacityForTheGreatestDensity(t *testing.T) {
	// The third class has the weight of the second but holds its unit for eight times as long.
	g, err := NewGate([]GateClass{{2, 250}, {10, 500}, {10, 4000}}, []float64{3, 1})
	if err != nil {
		t.Fatal(err)
	}
	for _, k := range []struct {
		used, room int64
		want       [3]bool
	}{
		{0, 100, [3]bool{true, true, true}},
		{80, 20, [3]bool{true, true, true}},
		{85, 15, [3]bool{true, true, false}},
		{92, 8, [3]bool{false, true, false}},
		{99, 1, [3]bool{false, true, false}},
		{100, 0, [3]bool{}},
	} {
		for class, want := range k.want {
			if got := g.Admits(k.used, k.room, class, 0); got != want {
				t.Errorf("%d used, %d left, class %d: %v", k.used, k.room, class, got)
			}
		}
	}
	for range 90 { // the second tenant's part is a quarter while the first is active
		g.Enter(1)
	}
	if !g.Admits(90, 10, 1, 1) {
		t.Error("a tenant that is alone was rejected with units available")
	}
	g.Enter(0)
	if g.Admits(91, 9, 1, 1) || !g.Admits(91, 9, 1, 0) {
		t.Error("in the reserve, the tenant above its part goes before the other")
	}
	if !g.Admits(91, 9, 1, 7) {
		t.Error("an unknown tenant does not count as the first")
	}
}

// Any order of events keeps the invariants of Gate, and those of the pool beneath it.
func TestGateInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		classCount, tenantCount := rapid.IntRange(1, 5).Draw(t, "classes"), rapid.IntRange(1, 4).Draw(t, "tenants")
		var classes []GateClass
		best := 0
		for i := range classCount {
			classes = append(classes, GateClass{
				PriorityWeight: float64(rapid.IntRange(1, 10).Draw(t, "weight")),
				HoldTime:       float64(rapid.IntRange(1, 9).Draw(t, "hold time")),
			})
			if classes[i].PriorityWeight/classes[i].HoldTime > classes[best].PriorityWeight/classes[best].HoldTime {
				best = i
			}
		}
		var weights []float64
		sum := 0.0
		for range tenantCount {
			weights = append(weights, float64(rapid.IntRange(1, 5).Draw(t, "weight")))
			sum += weights[len(weights)-1]
		}
		g, err := NewGate(classes, weights)
		if err != nil {
			t.Fatal(err)
		}
		total := int64(rapid.IntRange(1, 60).Draw(t, "total"))
		p, err := NewPool(PoolSettings{Total: total, Lend: 1}, map[string]Share{"s": {}})
		if err != nil {
			t.Fatal(err)
		}
		inUse := make([]int64, tenantCount)
		for range 200 {
			class := rapid.IntRange(0, classCount-1).Draw(t, "class")
			tenant := rapid.IntRange(0, tenantCount-1).Draw(t, "tenant")
			if inUse[tenant] > 0 && rapid.IntRange(0, 2).Draw(t, "leaves") == 0 {
				inUse[tenant]--
				g.Leave(tenant)
				if err := p.Release("s", 1); err != nil {
					t.Fatal(err)
				}
				continue
			}
			_, used := p.Total()
			available := p.Available(0, "s")
			got := g.Admits(used, available, class, tenant)
			others := false
			for i, n := range inUse {
				others = others || i != tenant && n > 0
			}
			switch under := float64(inUse[tenant]) < weights[tenant]/sum*float64(total); {
			case got && available <= 0:
				t.Fatal("admitted with nothing available")
			case !got && float64(available) > ReserveRatio*float64(total):
				t.Fatalf("rejected with %d of %d available", available, total)
			case !got && available > 0 && class == best && (under || !others):
				t.Fatalf("the densest class of a tenant that uses %d was rejected with %d of %d available",
					inUse[tenant], available, total)
			}
			if !got && g.Admits(used, available, best, tenant) && classes[class] == classes[best] {
				t.Fatal("two classes of the same density are not treated alike")
			}
			if got {
				if !p.Acquire(0, "s", 1) {
					t.Fatal("the pool rejected what it said was available")
				}
				g.Enter(tenant)
				inUse[tenant]++
			}
		}
	})
}

// Available returns exactly what Acquire gives, in any state.
func TestAvailableIsWhatAcquireGives(t *testing.T) {
	names := []string{"a", "b", "c"}
	rapid.Check(t, func(t *rapid.T) {
		settings := PoolSettings{
			Total:  int64(rapid.IntRange(1, 30).Draw(t, "total")),
			Recall: 100 * ms,
			Lend:   rapid.Float64Range(0, 1).Draw(t, "lend"),
		}
		shares, left := map[string]Share{}, settings.Total
		for _, n := range names {
			m := int64(rapid.IntRange(0, int(left)/2).Draw(t, "min"))
			left -= m
			shares[n] = Share{Min: m, Weight: float64(rapid.IntRange(1, 4).Draw(t, "weight"))}
		}
		type event struct {
			member string
			n      int64 // acquired, or released if negative
		}
		var events []event
		for range rapid.IntRange(0, 25).Draw(t, "events") {
			member := rapid.SampledFrom(names).Draw(t, "member")
			events = append(events, event{member, int64(rapid.IntRange(-4, 9).Draw(t, "n"))})
		}
		build := func() *Pool {
			p, err := NewPool(settings, shares)
			if err != nil {
				t.Fatal(err)
			}
			for _, e := range events {
				if e.n < 0 {
					_ = p.Release(e.member, -e.n) // it may not hold them
				} else {
					p.Acquire(0, e.member, e.n)
				}
			}
			return p
		}
		member := rapid.SampledFrom(names).Draw(t, "acquires")
		available := build().Available(0, member)
		if available > 0 && !build().Acquire(0, member, available) {
			t.Fatalf("%d are available to %s, which did not get them", available, member)
		}
		if build().Acquire(0, member, available+1) {
			t.Fatalf("%d are available to %s, which got one more", available, member)
		}
	})
}

package processquota

import (
	"math"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func TestGateErrors(t *testing.T) {
	for _, test := range []struct {
		classes []GateClass
		weights []float64
		want    string
	}{
		{[]GateClass{{1, 1}, {1, 0}}, nil, "class 1"},
		{[]GateClass{{math.NaN(), 1}}, nil, "class 0"},
		{[]GateClass{{math.Inf(1), 1}}, nil, "class 0"},
		{nil, []float64{1, -1}, "tenant 1"},
	} {
		_, err := NewGate(test.classes, test.weights)
		if err == nil || !strings.Contains(err.Error(), test.want) {
			t.Errorf("NewGate(classes %+v, weights %v): error %v, want one that contains %q",
				test.classes, test.weights, err, test.want)
		}
	}
}

func TestGateReservesCapacityForTheGreatestDensity(t *testing.T) {
	// The third class has the weight of the second but holds its unit for eight times as long.
	g, err := NewGate([]GateClass{{2, 250}, {10, 500}, {10, 4000}}, []float64{3, 1})
	if err != nil {
		t.Fatalf("NewGate with three classes and two tenants: %v", err)
	}
	for _, test := range []struct {
		used, available int64
		want            [3]bool // by class
	}{
		{0, 100, [3]bool{true, true, true}},
		{80, 20, [3]bool{true, true, true}},
		{85, 15, [3]bool{true, true, false}},
		{92, 8, [3]bool{false, true, false}},
		{99, 1, [3]bool{false, true, false}},
		{100, 0, [3]bool{}},
	} {
		for class, want := range test.want {
			if got := g.Admits(test.used, test.available, class, 0); got != want {
				t.Errorf("Admits(%d used, %d available, class %d, tenant 0) = %v, want %v",
					test.used, test.available, class, got, want)
			}
		}
	}
	for range 90 { // the second tenant's share is a quarter of the capacity while the first tenant is active
		g.Enter(1)
	}
	if !g.Admits(90, 10, 1, 1) {
		t.Error("Admits(90 used, 10 available, class 1, tenant 1) = false while no other tenant is active, want true")
	}
	g.Enter(0)
	aboveShare, belowShare := g.Admits(91, 9, 1, 1), g.Admits(91, 9, 1, 0)
	if aboveShare || !belowShare {
		t.Errorf("Admits(91 used, 9 available, class 1) = %v for the tenant above its share and %v for the one below, "+
			"want false and true", aboveShare, belowShare)
	}
	if !g.Admits(91, 9, 1, 7) {
		t.Error("Admits(91 used, 9 available, class 1, unknown tenant 7) = false, want true as for tenant 0")
	}
}

// The invariants of Gate hold for any sequence of requests, with a Pool that provides the units.
func TestGateInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		classCount, tenantCount := rapid.IntRange(1, 5).Draw(t, "classes"), rapid.IntRange(1, 4).Draw(t, "tenants")
		var classes []GateClass
		densest := 0 // index of the class of the highest density
		for i := range classCount {
			classes = append(classes, GateClass{
				PriorityWeight: float64(rapid.IntRange(1, 10).Draw(t, "weight")),
				HoldTime:       float64(rapid.IntRange(1, 9).Draw(t, "hold time")),
			})
			densestClass := classes[densest]
			if classes[i].PriorityWeight/classes[i].HoldTime > densestClass.PriorityWeight/densestClass.HoldTime {
				densest = i
			}
		}
		var weights []float64
		weightSum := 0.0
		for range tenantCount {
			weights = append(weights, float64(rapid.IntRange(1, 5).Draw(t, "weight")))
			weightSum += weights[len(weights)-1]
		}
		g, err := NewGate(classes, weights)
		if err != nil {
			t.Fatalf("NewGate(classes %+v, weights %v): %v", classes, weights, err)
		}
		total := int64(rapid.IntRange(1, 60).Draw(t, "total"))
		p, err := NewPool(PoolSettings{Total: total, Lend: 1}, map[string]Share{"s": {}})
		if err != nil {
			t.Fatalf("NewPool with a total of %d and one member: %v", total, err)
		}
		inUse := make([]int64, tenantCount)
		for range 200 {
			class := rapid.IntRange(0, classCount-1).Draw(t, "class")
			tenant := rapid.IntRange(0, tenantCount-1).Draw(t, "tenant")
			if inUse[tenant] > 0 && rapid.IntRange(0, 2).Draw(t, "leaves") == 0 {
				inUse[tenant]--
				g.Leave(tenant)
				if err := p.Release("s", 1); err != nil {
					t.Fatalf("Pool.Release of one unit in use: %v", err)
				}
				continue
			}
			_, used := p.Total()
			available := p.Available(0, "s")
			got := g.Admits(used, available, class, tenant)
			othersActive := false
			for i, n := range inUse {
				othersActive = othersActive || i != tenant && n > 0
			}
			switch belowShare := float64(inUse[tenant]) < weights[tenant]/weightSum*float64(total); {
			case got && available <= 0:
				t.Fatalf("Admits(%d used, %d available, class %d, tenant %d) = true, want false without a free unit",
					used, available, class, tenant)
			case !got && float64(available) > ReserveRatio*float64(total):
				t.Fatalf("Admits(%d used, %d available, class %d, tenant %d) = false, "+
					"want true while more than the reserve is free", used, available, class, tenant)
			case !got && available > 0 && class == densest && (belowShare || !othersActive):
				t.Fatalf("Admits(%d used, %d available, class %d, tenant %d) = false, want true for the class of the "+
					"highest density: tenant has %d in flight, below its share %v, other tenants active %v",
					used, available, class, tenant, inUse[tenant], belowShare, othersActive)
			}
			if !got && g.Admits(used, available, densest, tenant) && classes[class] == classes[densest] {
				t.Fatalf("Admits(%d used, %d available, tenant %d) = false for class %d and true for class %d, "+
					"want the same for equal densities", used, available, tenant, class, densest)
			}
			if got {
				if !p.Acquire(0, "s", 1) {
					t.Fatalf("Pool.Acquire(1) = false, want true: Available returned %d", available)
				}
				g.Enter(tenant)
				inUse[tenant]++
			}
		}
	})
}

// In any state of a pool, Acquire succeeds for the number that Available returns and fails for one unit more.
func TestAvailableIsWhatAcquireGives(t *testing.T) {
	names := []string{"a", "b", "c"}
	rapid.Check(t, func(t *rapid.T) {
		settings := PoolSettings{
			Total:  int64(rapid.IntRange(1, 30).Draw(t, "total")),
			Recall: 100 * ms,
			Lend:   rapid.Float64Range(0, 1).Draw(t, "lend"),
		}
		shares, unassigned := map[string]Share{}, settings.Total
		for _, name := range names {
			minimum := int64(rapid.IntRange(0, int(unassigned)/2).Draw(t, "min"))
			unassigned -= minimum
			shares[name] = Share{Min: minimum, Weight: float64(rapid.IntRange(1, 4).Draw(t, "weight"))}
		}
		type event struct {
			member string
			n      int64 // units to acquire, or to release if negative
		}
		var events []event
		for range rapid.IntRange(0, 25).Draw(t, "events") {
			member := rapid.SampledFrom(names).Draw(t, "member")
			events = append(events, event{member, int64(rapid.IntRange(-4, 9).Draw(t, "n"))})
		}
		poolAfterEvents := func() *Pool {
			p, err := NewPool(settings, shares)
			if err != nil {
				t.Fatalf("NewPool(settings %+v, shares %+v): %v", settings, shares, err)
			}
			for _, e := range events {
				if e.n < 0 {
					_ = p.Release(e.member, -e.n) // fails if the member holds fewer units
				} else {
					p.Acquire(0, e.member, e.n)
				}
			}
			return p
		}
		member := rapid.SampledFrom(names).Draw(t, "acquires")
		available := poolAfterEvents().Available(0, member)
		if available > 0 && !poolAfterEvents().Acquire(0, member, available) {
			t.Fatalf("Acquire(%s, %d units) = false, want true: Available returned %d", member, available, available)
		}
		if poolAfterEvents().Acquire(0, member, available+1) {
			t.Fatalf("Acquire(%s, %d units) = true, want false: Available returned %d", member, available+1, available)
		}
	})
}

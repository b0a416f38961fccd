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

func TestGateKeepsTheLastPlacesForWhatIsWorthMost(t *testing.T) {
	// An old booking is worth as much as a payout but holds its place for eight times as long.
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
	for range 90 { // the second tenant's part is a quarter, if the first is there
		g.Enter(1)
	}
	if !g.Admits(90, 10, 1, 1) {
		t.Error("a tenant alone was refused with room left")
	}
	g.Enter(0)
	if g.Admits(91, 9, 1, 1) || !g.Admits(91, 9, 1, 0) {
		t.Error("in the reserve, the tenant over its part goes before the other")
	}
	if !g.Admits(91, 9, 1, 7) {
		t.Error("a tenant that nobody knows counts with the first")
	}
}

// Any order of comings and goings keeps the promises of Gate, and those of the pool beneath it.
func TestGatePromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nc, nt := rapid.IntRange(1, 5).Draw(t, "classes"), rapid.IntRange(1, 4).Draw(t, "tenants")
		var classes []GateClass
		best := 0
		for i := range nc {
			classes = append(classes, GateClass{float64(rapid.IntRange(1, 10).Draw(t, "worth")), float64(rapid.IntRange(1, 9).Draw(t, "holds"))})
			if classes[i].PriorityWeight/classes[i].HoldTime > classes[best].PriorityWeight/classes[best].HoldTime {
				best = i
			}
		}
		var weights []float64
		sum := 0.0
		for range nt {
			weights = append(weights, float64(rapid.IntRange(1, 5).Draw(t, "weight")))
			sum += weights[len(weights)-1]
		}
		g, err := NewGate(classes, weights)
		if err != nil {
			t.Fatal(err)
		}
		total := int64(rapid.IntRange(1, 60).Draw(t, "places"))
		p, err := NewPool(PoolSettings{Total: total, Lend: 1}, map[string]Share{"s": {}})
		if err != nil {
			t.Fatal(err)
		}
		held := make([]int64, nt)
		for range 200 {
			class, tenant := rapid.IntRange(0, nc-1).Draw(t, "class"), rapid.IntRange(0, nt-1).Draw(t, "tenant")
			if held[tenant] > 0 && rapid.IntRange(0, 2).Draw(t, "goes") == 0 {
				held[tenant]--
				g.Leave(tenant)
				if err := p.Release("s", 1); err != nil {
					t.Fatal(err)
				}
				continue
			}
			_, used := p.Total()
			room := p.Available(0, "s")
			got := g.Admits(used, room, class, tenant)
			others := false
			for i, n := range held {
				others = others || i != tenant && n > 0
			}
			switch under := float64(held[tenant]) < weights[tenant]/sum*float64(total); {
			case got && room <= 0:
				t.Fatal("let in where nothing is free")
			case !got && float64(room) > ReserveRatio*float64(total):
				t.Fatalf("refused with %d of %d free", room, total)
			case !got && room > 0 && class == best && (under || !others):
				t.Fatalf("the densest class of a tenant that holds %d was refused with %d of %d free", held[tenant], room, total)
			}
			if !got && g.Admits(used, room, best, tenant) && classes[class] == classes[best] {
				t.Fatal("two classes of the same density are not treated alike")
			}
			if got {
				if !p.Acquire(0, "s", 1) {
					t.Fatal("the pool refused what it said it had")
				}
				g.Enter(tenant)
				held[tenant]++
			}
		}
	})
}

// Room says exactly what Take gives, at any state.
func TestRoomIsWhatTakeGives(t *testing.T) {
	names := []string{"a", "b", "c"}
	rapid.Check(t, func(t *rapid.T) {
		terms := PoolSettings{Total: int64(rapid.IntRange(1, 30).Draw(t, "total")), Recall: 100 * ms, Lend: rapid.Float64Range(0, 1).Draw(t, "lend")}
		shares, left := map[string]Share{}, terms.Total
		for _, n := range names {
			m := int64(rapid.IntRange(0, int(left)/2).Draw(t, "min"))
			left -= m
			shares[n] = Share{Min: m, Weight: float64(rapid.IntRange(1, 4).Draw(t, "weight"))}
		}
		type act struct {
			who string
			n   int64
		}
		var acts []act
		for range rapid.IntRange(0, 25).Draw(t, "acts") {
			acts = append(acts, act{rapid.SampledFrom(names).Draw(t, "who"), int64(rapid.IntRange(-4, 9).Draw(t, "n"))})
		}
		build := func() *Pool {
			p, err := NewPool(terms, shares)
			if err != nil {
				t.Fatal(err)
			}
			for _, a := range acts {
				if a.n < 0 {
					_ = p.Release(a.who, -a.n)
				} else {
					p.Acquire(0, a.who, a.n)
				}
			}
			return p
		}
		who := rapid.SampledFrom(names).Draw(t, "asks")
		room := build().Available(0, who)
		if room > 0 && !build().Acquire(0, who, room) {
			t.Fatalf("%s was told %d and did not get it", who, room)
		}
		if build().Acquire(0, who, room+1) {
			t.Fatalf("%s was told %d and got one more", who, room)
		}
	})
}

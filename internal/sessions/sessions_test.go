package sessions

import (
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func nodes(n int, weight func(i int) float64) []Node {
	var out []Node
	for i := range n {
		out = append(out, Node{uint32(1000 + 7*i), weight(i)})
	}
	return out
}

func even(int) float64 { return 1 }

// When one of N leaves, only its own sessions move, and they spread over all others; homes follow the weights.
func TestWhatMovesWhenOneLeaves(t *testing.T) {
	const keys = 200_000
	for _, n := range []int{10, 100, 1000} {
		all := nodes(n, even)
		before := NewPlacement(all)
		after := NewPlacement(slices.Delete(slices.Clone(all), 3, 4))
		moved, load := 0, map[uint32]int{}
		count := keys
		if n == 1000 {
			count /= 10 // a lookup looks at every server
		}
		for k := range count {
			key := mix(uint64(k))
			a, _ := before.Home(key)
			b, _ := after.Home(key)
			load[b]++
			if a != b {
				moved++
				if a != all[3].ID {
					t.Fatalf("%d servers: a session of %d moved, and %d left", n, a, all[3].ID)
				}
			}
		}
		most := 0
		for _, l := range load {
			most = max(most, l)
		}
		ideal := float64(count) / float64(n)
		mean := float64(count) / float64(n-1)
		t.Logf("%4d servers: %.4f of the sessions moved, 1/N is %.4f; largest over mean %.2f", n, float64(moved)/float64(count), 1/float64(n), float64(most)/mean)
		if d := math.Abs(float64(moved) - ideal); d > 6*math.Sqrt(ideal) {
			t.Errorf("%d servers: %d moved, want about %.0f", n, moved, ideal)
		}
		if float64(most) > mean+6*math.Sqrt(mean) {
			t.Errorf("%d servers: the largest has %d, the mean is %.0f", n, most, mean)
		}
	}
	heavy := NewPlacement(nodes(4, func(i int) float64 { return float64(i + 1) }))
	load := map[uint32]int{}
	for k := range keys {
		id, _ := heavy.Home(mix(uint64(k)))
		load[id]++
	}
	for i, n := range heavy.nodes {
		want := keys * n.Weight / heavy.total
		if d := math.Abs(float64(load[n.ID]) - want); d > 6*math.Sqrt(want) {
			t.Errorf("server %d of weight %v has %d, want %.0f", i, n.Weight, load[n.ID], want)
		}
	}
}

// Proxies that were told of the servers in another order agree; one that was told of none, or of weights that make no sense,
// names nobody.
func TestHomes(t *testing.T) {
	all := nodes(9, func(i int) float64 { return 0.5 + float64(i%3) })
	turned := slices.Clone(all)
	slices.Reverse(turned)
	a, b := NewPlacement(all), NewPlacement(turned)
	for k := range 1000 {
		x, ok1 := a.Home(Key("trips", fmt.Sprint(k)))
		y, ok2 := b.Home(Key("trips", fmt.Sprint(k)))
		if x != y || !ok1 || !ok2 {
			t.Fatalf("%d and %d", x, y)
		}
	}
	if Key("a", "bc") == Key("ab", "c") {
		t.Error("a route's name runs into the session's")
	}
	none := NewPlacement([]Node{{1, 0}, {2, -1}, {3, math.NaN()}, {4, math.Inf(1)}})
	if _, ok := none.Home(7); ok {
		t.Error("a home where there is none")
	}
	if _, ok := none.Bounded(7, 1.25, 0, func(uint32) int { return 0 }); ok {
		t.Error("a bounded home where there is none")
	}
}

// With a bound no server is home to more than that times its share, whatever the sessions and weights, and all have a home.
func TestTheBoundOnLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "servers")
		weights := rapid.SliceOfN(rapid.Float64Range(0.1, 8), n, n).Draw(t, "weights")
		bound := rapid.Float64Range(1.05, 2).Draw(t, "bound")
		p := NewPlacement(nodes(n, func(i int) float64 { return weights[i] }))
		load := map[uint32]int{}
		seed := rapid.Uint64().Draw(t, "seed")
		hot := rapid.Bool().Draw(t, "one hot key")
		total := rapid.IntRange(1, 300).Draw(t, "sessions")
		for k := range total {
			key := mix(seed + uint64(k))
			if hot {
				key = seed
			}
			id, ok := p.Bounded(key, bound, k, func(id uint32) int { return load[id] })
			if !ok {
				t.Fatalf("session %d has no home", k)
			}
			load[id]++
		}
		for _, n := range p.nodes {
			if most := math.Ceil(bound * float64(total) * n.Weight / p.total); float64(load[n.ID]) > most {
				t.Fatalf("%d on a server that may have %.0f of %d", load[n.ID], most, total)
			}
		}
	})
}

func table(t testing.TB, entries int, share float64) *Table {
	t.Helper()
	tb, err := NewTable(Settings{Bytes: entries * EntryBytes, Idle: time.Minute, TenantShare: share, Tenants: 3})
	if err != nil {
		t.Fatal(err)
	}
	return tb
}

func TestSettings(t *testing.T) {
	for want, s := range map[string]Settings{"bytes: 5": {Bytes: 5, Idle: 1, TenantShare: 1, Tenants: 1}, "idle: 0s": {Bytes: 1 << 20, TenantShare: 1, Tenants: 1},
		"tenant_share: 2": {Bytes: 1 << 20, Idle: 1, TenantShare: 2, Tenants: 1}, "tenants: 0": {Bytes: 1 << 20, Idle: 1, TenantShare: 1}} {
		if _, err := NewTable(s); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", want, err)
		}
	}
}

// A server that leaves, or begins anew, takes its sessions along at once, however many; those of others stay.
func TestAServerThatLeaves(t *testing.T) {
	tb := table(t, 20_000, 1)
	for k := range uint64(10_000) {
		tb.Put(0, k, 0, uint32(k%2))
	}
	tb.Left(1)
	for k := range uint64(10_000) {
		if _, found := tb.Get(1, k); found != (k%2 == 0) {
			t.Fatalf("session %d: %v", k, found)
		}
	}
	// One that is served by the server's next life is new there, and one that moves is counted.
	tb.Put(2, 1, 0, 1)
	tb.Put(3, 2, 0, 1)
	if e, found := tb.Get(4, 2); !found || e.Node != 1 || e.Moves != 1 || tb.Counts().Moved != 1 || tb.Counts().Stale != 5000 {
		t.Errorf("%+v, %+v", e, tb.Counts())
	}
}

// A tenant that floods a full table with new sessions takes room from itself once it has its share; what others ask for stays.
func TestATenantThatFloods(t *testing.T) {
	tb := table(t, 1000, 0.4)
	for k := range uint64(300) {
		tb.Put(0, k, 1, 1)
	}
	rng := rand.New(rand.NewPCG(1, 2))
	for i := range 50_000 {
		now := time.Duration(i) * time.Millisecond / 10
		tb.Put(now, 1e9+uint64(i), 2, 2)
		if i%10 == 0 {
			tb.Get(now, uint64(rng.IntN(300)))
		}
	}
	kept := 0
	for k := range uint64(300) {
		if _, found := tb.Get(6*time.Second, k); found {
			kept++
		}
	}
	if kept < 285 || tb.Len() > 1000 {
		t.Errorf("%d of 300 are left, %d in all; %+v", kept, tb.Len(), tb.Counts())
	}
	// What nobody asked for gives way to a third tenant, the flooder's first.
	for k := range uint64(300) {
		if !tb.Put(6*time.Second, 2e9+k, 0, 3) {
			tb.Put(6*time.Second, 2e9+k, 0, 3)
		}
	}
	if tb.tenants[0] < 290 || tb.tenants[1] < 280 {
		t.Errorf("by tenant: %v", tb.tenants)
	}
}

// A million that run out at once are dropped little by little.
func TestExpiryGoesRound(t *testing.T) {
	tb := table(t, 100_000, 1)
	for k := range uint64(100_000) {
		tb.Put(0, k, 0, 1)
	}
	tb.Get(50*time.Second, 7)
	rounds := 0
	for ; tb.Len() > 1; rounds++ {
		if n := tb.Sweep(time.Minute, 1000); n > 1000 || rounds > 100 {
			t.Fatalf("%d dropped in round %d", n, rounds)
		}
	}
	if _, found := tb.Get(61*time.Second, 7); !found || rounds < 99 {
		t.Errorf("one that was asked for is gone, or %d rounds did it", rounds)
	}
}

// Whatever is put, asked for, forgotten and left: an entry tells what was put last, the table keeps its bounds and counts, and
// nothing leaks.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 20).Draw(t, "entries")
		tb, err := NewTable(Settings{Bytes: size * EntryBytes, Idle: time.Minute, TenantShare: rapid.Float64Range(0.1, 1).Draw(t, "share"), Tenants: 3})
		if err != nil {
			t.Fatal(err)
		}
		type truth struct{ node, gen uint32 }
		last, gens := map[uint64]truth{}, map[uint32]uint32{}
		now := time.Duration(0)
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(-1, 20).Draw(t, "seconds")) * time.Second // a clock may go back
			key, node := uint64(rapid.IntRange(0, 30).Draw(t, "key")), uint32(rapid.IntRange(0, 4).Draw(t, "node"))
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0, 1:
				if tb.Put(now, key, uint16(rapid.IntRange(0, 4).Draw(t, "tenant")), node) {
					last[key] = truth{node, gens[node]}
				}
			case 2, 3:
				if e, found := tb.Get(now, key); found {
					if w, known := last[key]; !known || w.node != e.Node || w.gen != gens[e.Node] {
						t.Fatalf("session %d is said to be on %d; %+v, generation %d", key, e.Node, w, gens[e.Node])
					}
				}
			case 4:
				tb.Left(node)
				gens[node]++
			default:
				tb.Forget(key)
				delete(last, key)
				tb.Sweep(now, 3)
			}
			taken, tenants := 0, make([]int, 3)
			for i := range tb.places {
				s := tb.slot(i)
				if !s.taken {
					continue
				}
				taken++
				tenants[s.Tenant]++
				if at, found := tb.index[s.Key]; !found || at != i {
					t.Fatalf("slot %d is not in the index", i)
				}
			}
			if taken != tb.Len() || taken > size || int(tb.places) > size || taken+len(tb.free) != int(tb.places) || !slices.Equal(tenants, tb.tenants) {
				t.Fatalf("%d taken, %d in the index, %d free of %d; by tenant %v, counted %v", taken, tb.Len(), len(tb.free), tb.places, tenants, tb.tenants)
			}
		}
	})
}

func BenchmarkHome(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		p := NewPlacement(nodes(n, even))
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			k := uint64(0)
			for b.Loop() {
				k++
				p.Home(mix(k))
			}
		})
	}
}

// BenchmarkTable asks a table of a million, and tells what an entry takes and the longest that one call took.
func BenchmarkTable(b *testing.B) {
	const entries = 1_000_000
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	tb := table(b, entries, 1)
	longest := time.Duration(0)
	for k := range uint64(entries) {
		began := time.Now()
		tb.Put(0, mix(k), 0, uint32(k%100))
		longest = max(longest, time.Since(began))
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	k := uint64(0)
	for b.Loop() {
		k++
		tb.Get(1, mix(k%entries))
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/entries, "B/entry")
	b.ReportMetric(float64(longest.Microseconds()), "µs-longest-put")
}

package routetable

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"

	"lapisspread/internal/policy/merkle"
	"lapisspread/internal/policy/namespace"
)

// sizes are the numbers of routes of the measured policies.
var sizes = []int{1000, 4000, 13_000, 26_000}

// large returns a policy of many teams: 13 routes per team, 23 tenants in two routes, one service for nine routes, a
// class and a share for each team. Versions are the numbers of files by team; each version of a file has another
// weight in its third route.
func large(routes int, versions map[int]uint64) *namespace.Policy {
	rng := rand.New(rand.NewPCG(uint64(routes), 33))
	p := &namespace.Policy{Format: 1}
	teams, services := (routes+12)/13, max(1, routes/9)
	number := func(team int) uint64 { return max(1, versions[team]) }
	one := 1.0
	for i := range services {
		s := namespace.PolicyService{}
		s.Name = fmt.Sprintf("service-%05d", i)
		s.Sources = []namespace.Source{
			{Namespace: fmt.Sprintf("team-%05d", i%teams), Number: number(i % teams), Rule: "service " + s.Name},
		}
		p.Services = append(p.Services, s)
	}
	for i := range routes {
		team := i / 13
		r := namespace.PolicyRoute{}
		r.Name = fmt.Sprintf("team-%05d/route-%02d", team, i%13)
		r.Host = fmt.Sprintf("team-%05d.dispatch.example.org", team)
		r.PathPrefix = fmt.Sprintf("/api/v%d/orders-%02d", i%3, i%13)
		for range 11 + i%2 {
			r.Tenants = append(r.Tenants, fmt.Sprintf("tenant-%07d", rng.IntN(10_000_000)))
		}
		slices.Sort(r.Tenants)
		r.Tenants = slices.Compact(r.Tenants)
		weight := &one
		if v := versions[team]; v > 1 && i%13 == 2 {
			weight = new(float64)
			*weight = 1 + float64(v)/100
		}
		at := rng.IntN(services)
		r.To = []namespace.Target{{Service: fmt.Sprintf("service-%05d", at), Weight: &one}}
		if i%13 == 2 || i%4 == 0 {
			r.To = append(r.To, namespace.Target{Service: fmt.Sprintf("service-%05d", at+1), Weight: weight})
		}
		r.Source = namespace.Source{
			Namespace: fmt.Sprintf("team-%05d", team),
			Number:    number(team),
			Rule:      fmt.Sprintf("route route-%02d", i%13),
		}
		p.Routes = append(p.Routes, r)
	}
	for team := range teams {
		ns := fmt.Sprintf("team-%05d", team)
		from := []namespace.Source{{Namespace: ns, Number: number(team), Rule: "class c"}}
		worth := &namespace.Value[float64]{Value: 1, Sources: from}
		p.Classes = append(p.Classes, namespace.PolicyClass{Name: "class-" + ns, PriorityWeight: worth})
		least := &namespace.Value[int64]{Value: 5, Sources: from}
		share := namespace.PolicyShare{Quota: "attempts", Limit: 1 << 30, Namespace: ns, Min: least}
		p.Shares = append(p.Shares, share)
	}
	return p
}

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// changedRoutes returns versions of a policy, in each of which one team changed one route.
func changedRoutes(routes, n int) (was *namespace.Policy, next []*namespace.Policy) {
	rng := rand.New(rand.NewPCG(uint64(routes), 34))
	for range n {
		next = append(next, large(routes, map[int]uint64{rng.IntN((routes + 12) / 13): 2}))
	}
	return large(routes, nil), next
}

// The bytes that a change of one route costs must stay within their bounds.
func TestBytesOfOneChangedRoute(t *testing.T) {
	most := map[int]int{}
	for _, routes := range []int{1000, 13_000} {
		was, next := changedRoutes(routes, 8)
		from := must(was.Tree())
		for _, p := range next {
			to := must(p.Tree())
			set, removed := merkle.Changes(from, to)
			if len(set) != 2 || len(removed) != 0 { // the route and its file's number
				t.Fatalf("%d items set, %d removed", len(set), len(removed))
			}
			sum := 0
			for _, piece := range to.ChunksNotIn(from) {
				sum += len(piece)
			}
			most[routes] = max(most[routes], sum)
		}
	}
	t.Log(most)
	if most[13_000] > 4<<10 || 2*most[13_000] > 3*most[1000] {
		t.Errorf(
			"%v bytes for one changed route: over 4 KiB at 13,000, or over one and a half times what it is at 1,000",
			most,
		)
	}
}

func BenchmarkState(b *testing.B) {
	for _, routes := range sizes {
		b.Run(fmt.Sprint(routes), func(b *testing.B) {
			p := large(routes, nil)
			text := len(p.Encode())
			heap := func() int {
				var m runtime.MemStats
				runtime.GC()
				runtime.GC() // what pools keep goes with the second
				runtime.ReadMemStats(&m)
				return int(m.HeapAlloc)
			}
			var built *merkle.Tree
			for b.Loop() {
				built = must(p.Tree())
			}
			count, longest := 0, 0
			for _, piece := range built.Chunks() {
				count++
				longest = max(longest, len(piece))
			}
			before := heap()
			tree := must(merkle.Build(slices.Collect(built.Items())))
			withTree := heap()
			policy := must(namespace.FromTree(tree))
			withPolicy := heap()
			r := must(Build(policy, "", func(string) bool { return true }))
			withRoutes := heap()
			b.ReportMetric(float64(text), "text-B")
			b.ReportMetric(float64(tree.Size()), "tree-B")
			b.ReportMetric(float64(count), "pieces")
			b.ReportMetric(float64(longest), "longest-B")
			b.ReportMetric(float64(withTree-before)/1e6, "tree-MB")
			b.ReportMetric(float64(withPolicy-withTree)/1e6, "policy-MB") // with its table
			b.ReportMetric(float64(withRoutes-withPolicy)/1e6, "routes-MB")
			runtime.KeepAlive(built)
			runtime.KeepAlive(p)
			runtime.KeepAlive(tree)
			runtime.KeepAlive(policy)
			runtime.KeepAlive(r)
		})
	}
}

// BenchmarkChangedRoute measures the bytes and chunks of one changed route.
func BenchmarkChangedRoute(b *testing.B) {
	for _, routes := range sizes {
		b.Run(fmt.Sprint(routes), func(b *testing.B) {
			was, next := changedRoutes(routes, 50)
			from := must(was.Tree())
			var bytes, count, most int
			for _, p := range next {
				sum := 0
				for _, piece := range must(p.Tree()).ChunksNotIn(from) {
					sum += len(piece)
					count++
				}
				bytes, most = bytes+sum, max(most, sum)
			}
			to := must(next[0].Tree())
			for b.Loop() {
				for range to.ChunksNotIn(from) {
				}
			}
			b.ReportMetric(float64(bytes)/float64(len(next)), "B/change")
			b.ReportMetric(float64(most), "most-B/change")
			b.ReportMetric(float64(count)/float64(len(next)), "pieces/change")
		})
	}
}

// BenchmarkTakeUp measures the steps in which a proxy adopts one changed route, and adopting the whole policy.
func BenchmarkTakeUp(b *testing.B) {
	has := func(string) bool { return true }
	for _, routes := range sizes {
		p, changes := changedRoutes(routes, 1)
		q := changes[0]
		from, to := must(p.Tree()), must(q.Tree())
		was := must(namespace.FromTree(from))
		r := must(Build(was, "", has))
		set, removed := merkle.Changes(from, to)
		next, diff, err := was.With(set, removed)
		if err != nil || len(diff.Routes) != 1 {
			b.Fatal(err, len(diff.Routes))
		}
		text := q.Encode()
		assemble := func(b *testing.B) *merkle.Tree {
			a := merkle.NewAssembly(to.Root(), from)
			for _, piece := range to.ChunksNotIn(from) {
				if err := a.Add(piece); err != nil {
					b.Fatal(err)
				}
			}
			return must(a.Tree())
		}
		for name, step := range map[string]func(b *testing.B){
			"1 assembly":          func(b *testing.B) { assemble(b) },
			"2 changes":           func(*testing.B) { merkle.Changes(from, to) },
			"3 namespace.With":    func(*testing.B) { _, _, _ = was.With(set, removed) },
			"4 policyroutes.With": func(*testing.B) { must(r.Update(next, diff, has)) },
			"5 all of it": func(b *testing.B) {
				n, d, err := was.With(merkle.Changes(from, assemble(b)))
				if err != nil {
					b.Fatal(err)
				}
				must(r.Update(n, d, has))
			},
			"6 whole from pieces": func(*testing.B) { must(Build(must(namespace.FromTree(to)), "", has)) },
			"7 whole from text":   func(*testing.B) { must(Build(must(namespace.Decode(text)), "", has)) },
			"8 steward: tree.With": func(*testing.B) {
				must(from.With(set, removed))
			},
			"9 steward: whole tree": func(*testing.B) { must(q.Tree()) },
		} {
			b.Run(fmt.Sprintf("%d/%s", routes, name), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					step(b)
				}
			})
		}
	}
}

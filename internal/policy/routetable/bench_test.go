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

// benchmarkRouteCounts are the numbers of routes in the benchmarked policies.
var benchmarkRouteCounts = []int{1000, 4000, 13_000, 26_000}

// largePolicy returns a policy of many teams: 13 routes per team, 11 or 12 tenants per route, one service for every
// nine routes, and a class and a share for each team. Versions maps the index of a team to the version number of its
// file, by default 1; each version of a file has another weight in its third route.
func largePolicy(routes int, versions map[int]uint64) *namespace.Policy {
	rng := rand.New(rand.NewPCG(uint64(routes), 33))
	p := &namespace.Policy{Format: 1}
	teams, services := (routes+12)/13, max(1, routes/9)
	fileVersion := func(team int) uint64 { return max(1, versions[team]) }
	defaultWeight := 1.0
	for i := range services {
		s := namespace.PolicyService{}
		s.Name = fmt.Sprintf("service-%05d", i)
		s.Sources = []namespace.Source{
			{Namespace: fmt.Sprintf("team-%05d", i%teams), Number: fileVersion(i % teams), Rule: "service " + s.Name},
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
		weight := &defaultWeight
		if v := versions[team]; v > 1 && i%13 == 2 {
			weight = new(float64)
			*weight = 1 + float64(v)/100
		}
		service := rng.IntN(services)
		r.To = []namespace.Target{{Service: fmt.Sprintf("service-%05d", service), Weight: &defaultWeight}}
		if i%13 == 2 || i%4 == 0 {
			r.To = append(r.To, namespace.Target{Service: fmt.Sprintf("service-%05d", service+1), Weight: weight})
		}
		r.Source = namespace.Source{
			Namespace: fmt.Sprintf("team-%05d", team),
			Number:    fileVersion(team),
			Rule:      fmt.Sprintf("route route-%02d", i%13),
		}
		p.Routes = append(p.Routes, r)
	}
	for team := range teams {
		teamName := fmt.Sprintf("team-%05d", team)
		sources := []namespace.Source{{Namespace: teamName, Number: fileVersion(team), Rule: "class c"}}
		priorityWeight := &namespace.Value[float64]{Value: 1, Sources: sources}
		p.Classes = append(p.Classes, namespace.PolicyClass{Name: "class-" + teamName, PriorityWeight: priorityWeight})
		minShare := &namespace.Value[int64]{Value: 5, Sources: sources}
		share := namespace.PolicyShare{Quota: "attempts", Limit: 1 << 30, Namespace: teamName, Min: minShare}
		p.Shares = append(p.Shares, share)
	}
	return p
}

// must returns v, and panics if err is not nil.
func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// changedRoutes returns a policy with the given number of routes, and n changed copies of it; in each copy one team
// changed one route.
func changedRoutes(routes, n int) (original *namespace.Policy, changed []*namespace.Policy) {
	rng := rand.New(rand.NewPCG(uint64(routes), 34))
	for range n {
		changed = append(changed, largePolicy(routes, map[int]uint64{rng.IntN((routes + 12) / 13): 2}))
	}
	return largePolicy(routes, nil), changed
}

// A change of one route must change few chunks: at most 4 KiB among 13,000 routes, and at most one and a half times as
// much as among 1000 routes.
func TestBytesOfOneChangedRoute(t *testing.T) {
	maxBytes := map[int]int{} // by number of routes
	for _, routes := range []int{1000, 13_000} {
		original, changed := changedRoutes(routes, 8)
		from := must(original.Tree())
		for _, p := range changed {
			to := must(p.Tree())
			set, removed := merkle.Changes(from, to)
			if len(set) != 2 || len(removed) != 0 { // the route and the version number of its file
				t.Fatalf("merkle.Changes after a change of one route = %d items set, %d removed; want 2 and 0",
					len(set), len(removed))
			}
			sum := 0
			for _, chunk := range to.ChunksNotIn(from) {
				sum += len(chunk)
			}
			maxBytes[routes] = max(maxBytes[routes], sum)
		}
	}
	t.Logf("maximum bytes of changed chunks by number of routes: %v", maxBytes)
	if maxBytes[13_000] > 4<<10 || 2*maxBytes[13_000] > 3*maxBytes[1000] {
		t.Errorf("one changed route changes chunks of up to %d bytes among 13,000 routes and %d bytes among 1000; "+
			"want at most %d bytes among 13,000, and at most one and a half times the bytes among 1000",
			maxBytes[13_000], maxBytes[1000], 4<<10)
	}
}

// BenchmarkState measures building the tree of a policy, and reports the encoded sizes and the heap that the tree, the
// policy and its routes use.
func BenchmarkState(b *testing.B) {
	for _, routes := range benchmarkRouteCounts {
		b.Run(fmt.Sprint(routes), func(b *testing.B) {
			p := largePolicy(routes, nil)
			encodedSize := len(p.Encode())
			heapBytes := func() int {
				var stats runtime.MemStats
				runtime.GC()
				runtime.GC() // frees the contents of each sync.Pool, which survive the first collection
				runtime.ReadMemStats(&stats)
				return int(stats.HeapAlloc)
			}
			var built *merkle.Tree
			for b.Loop() {
				built = must(p.Tree())
			}
			count, longest := 0, 0
			for _, chunk := range built.Chunks() {
				count++
				longest = max(longest, len(chunk))
			}
			before := heapBytes()
			tree := must(merkle.Build(slices.Collect(built.Items())))
			withTree := heapBytes()
			policy := must(namespace.FromTree(tree))
			withPolicy := heapBytes()
			routeTables := must(Build(policy, "", func(string) bool { return true }))
			withRoutes := heapBytes()
			b.ReportMetric(float64(encodedSize), "text-B")
			b.ReportMetric(float64(tree.Size()), "tree-B")
			b.ReportMetric(float64(count), "pieces")
			b.ReportMetric(float64(longest), "longest-B")
			b.ReportMetric(float64(withTree-before)/1e6, "tree-MB")
			b.ReportMetric(float64(withPolicy-withTree)/1e6, "policy-MB") // with its compiled route table
			b.ReportMetric(float64(withRoutes-withPolicy)/1e6, "routes-MB")
			runtime.KeepAlive(built)
			runtime.KeepAlive(p)
			runtime.KeepAlive(tree)
			runtime.KeepAlive(policy)
			runtime.KeepAlive(routeTables)
		})
	}
}

// BenchmarkChangedRoute measures finding the chunks that differ after a change of one route, and reports their number
// and bytes.
func BenchmarkChangedRoute(b *testing.B) {
	for _, routes := range benchmarkRouteCounts {
		b.Run(fmt.Sprint(routes), func(b *testing.B) {
			original, changed := changedRoutes(routes, 50)
			from := must(original.Tree())
			var totalBytes, chunkCount, maxBytes int
			for _, p := range changed {
				sum := 0
				for _, chunk := range must(p.Tree()).ChunksNotIn(from) {
					sum += len(chunk)
					chunkCount++
				}
				totalBytes += sum
				maxBytes = max(maxBytes, sum)
			}
			to := must(changed[0].Tree())
			for b.Loop() {
				for range to.ChunksNotIn(from) {
				}
			}
			b.ReportMetric(float64(totalBytes)/float64(len(changed)), "B/change")
			b.ReportMetric(float64(maxBytes), "most-B/change")
			b.ReportMetric(float64(chunkCount)/float64(len(changed)), "pieces/change")
		})
	}
}

// BenchmarkTakeUp measures each step in which a proxy adopts a policy with one changed route (1 to 5), adopting the
// whole policy from chunks or from text (6 and 7), and how the control-plane server builds the tree of the changed
// policy (8 and 9).
func BenchmarkTakeUp(b *testing.B) {
	hasService := func(string) bool { return true }
	for _, routes := range benchmarkRouteCounts {
		original, changes := changedRoutes(routes, 1)
		changed := changes[0]
		from := must(original.Tree())
		to := must(changed.Tree())
		policy := must(namespace.FromTree(from))
		routeTables := must(Build(policy, "", hasService))
		set, removed := merkle.Changes(from, to)
		nextPolicy, diff, err := policy.With(set, removed)
		if err != nil {
			b.Fatalf("Policy.With(one changed route) failed: %v", err)
		}
		if len(diff.Routes) != 1 {
			b.Fatalf("Policy.With(one changed route) reports %d changed routes, want 1", len(diff.Routes))
		}
		encoded := changed.Encode()
		assemble := func(b *testing.B) *merkle.Tree {
			assembly := merkle.NewAssembly(to.Root(), from)
			for _, chunk := range to.ChunksNotIn(from) {
				if err := assembly.Add(chunk); err != nil {
					b.Fatalf("Assembly.Add(chunk) failed: %v", err)
				}
			}
			return must(assembly.Tree())
		}
		for name, step := range map[string]func(b *testing.B){
			"1 assembly":          func(b *testing.B) { assemble(b) },
			"2 changes":           func(*testing.B) { merkle.Changes(from, to) },
			"3 namespace.With":    func(*testing.B) { _, _, _ = policy.With(set, removed) },
			"4 policyroutes.With": func(*testing.B) { must(routeTables.Update(nextPolicy, diff, hasService)) },
			"5 all of it": func(b *testing.B) {
				updated, updatedDiff, err := policy.With(merkle.Changes(from, assemble(b)))
				if err != nil {
					b.Fatalf("Policy.With(changes of the assembled tree) failed: %v", err)
				}
				must(routeTables.Update(updated, updatedDiff, hasService))
			},
			"6 whole from pieces": func(*testing.B) { must(Build(must(namespace.FromTree(to)), "", hasService)) },
			"7 whole from text":   func(*testing.B) { must(Build(must(namespace.Decode(encoded)), "", hasService)) },
			"8 steward: tree.With": func(*testing.B) {
				must(from.With(set, removed))
			},
			"9 steward: whole tree": func(*testing.B) { must(changed.Tree()) },
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

package proxy

import (
	"fmt"
	"strings"
	"testing"

	"lapisspread/internal/engine"
	config "lapisspread/internal/services"
)

// fullListText returns a full list with the given number of endpoints, of which every 38 share a machine type.
func fullListText(servers int) string {
	var all []string
	for i := range servers {
		text := memberText(fmt.Sprintf("dispatch-r%d-z%02d-%05d", i%7, i%22, i), fmt.Sprintf("10.%d.%d.%d:8080",
			i>>16&255, i>>8&255, i&255), "active")
		all = append(all, strings.Replace(text, `"fast-5"`, fmt.Sprintf(`"kind-%04d"`, i/38), 1))
	}
	return listText(1, true, all...)
}

// BenchmarkList parses a full list, and filters it for a service that uses one machine type.
// The metric list-B is the length of the list in bytes.
func BenchmarkList(b *testing.B) {
	for _, servers := range []int{1000, 4000, 13_000, 26_000, 53_000} {
		b.Run(fmt.Sprintf("read=%d", servers), func(b *testing.B) {
			text := []byte(fullListText(servers))
			b.ReportAllocs()
			for b.Loop() {
				if _, err := parseList(text); err != nil {
					b.Fatalf("parseList(): %v", err)
				}
			}
			b.ReportMetric(float64(len(text)), "list-B")
		})
	}
	for _, servers := range []int{1000, 4000, 13_000, 26_000, 53_000} {
		b.Run(fmt.Sprintf("picked=%d", servers), func(b *testing.B) {
			list, err := parseList([]byte(fullListText(servers)))
			if err != nil {
				b.Fatalf("parseList(): %v", err)
			}
			source := filteredSource{nil, config.Service{Kinds: []string{"kind-0007"}}}
			b.ReportAllocs()
			for b.Loop() {
				if got := source.filter(list); len(got.Endpoints) != 38 {
					b.Fatalf("filter() kept %d endpoints, want 38", len(got.Endpoints))
				}
			}
		})
	}
}

// BenchmarkUpdate updates a service's connection pool with a full list.
func BenchmarkUpdate(b *testing.B) {
	for _, servers := range []int{38, 150, 600, 2400} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			list, err := parseList([]byte(fullListText(servers)))
			if err != nil {
				b.Fatalf("parseList(): %v", err)
			}
			p := newPool(1000, 1, 1)
			var up engine.Upstream = p
			for b.Loop() {
				up.Update(list)
			}
		})
	}
}

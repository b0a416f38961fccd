package report

import (
	"fmt"
	"strings"
)

// Compare tells in what two runs differ.
func Compare(a, b *Summary) string {
	var t strings.Builder
	fmt.Fprintf(&t, "A: %s, %s, %s, seed %d\nB: %s, %s, %s, seed %d\n", a.Name, a.Driver, a.Policy, a.Seed, b.Name, b.Driver, b.Policy, b.Seed)
	if a.Name != b.Name || a.Seed != b.Seed || a.Rate != b.Rate || a.Nodes != b.Nodes {
		t.WriteString("these are runs of different worlds: their difference is not that of what ran in them\n")
	}
	row := func(name string, x, y float64) {
		fmt.Fprintf(&t, "%-34s %10.3f %10.3f %+10.3f\n", name, x, y, y-x)
	}
	fmt.Fprintf(&t, "%-34s %10s %10s %10s\n", "", "A", "B", "B-A")
	row("rules broken", float64(a.RulesBroken), float64(b.RulesBroken))
	row("G", a.Worth.G, b.Worth.G)
	row("whole", a.Worth.Whole, b.Worth.Whole)
	row("worst 10 s", a.Worth.WorstWindow, b.Worth.WorstWindow)
	row("worst class", a.Worth.WorstClass, b.Worth.WorstClass)
	row("worst co-operative", a.Worth.WorstTenant, b.Worth.WorstTenant)
	row("prices", a.Worth.Prices, b.Worth.Prices)
	for _, x := range a.Classes {
		for _, y := range b.Classes {
			if x.Name == y.Name {
				row(x.Name+": worth", x.Share, y.Share)
				row(x.Name+": p50 ms", x.P50, y.P50)
				row(x.Name+": p99 ms", x.P99, y.P99)
			}
		}
	}
	return t.String()
}

package report

import (
	"fmt"
	"strings"
)

// shownBreaches is how many breaches a text shows with their evidence.
const shownBreaches = 5

// Text is the summary for a terminal.
func (s *Summary) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s, %s, %s, seed %d: G %.3f (whole %.3f, worst 10 s %.3f, worst class %.3f, worst co-operative %.3f, prices %.3f)\n",
		s.Name, s.Driver, s.Policy, s.Seed, s.Worth.G, s.Worth.Whole, s.Worth.WorstWindow, s.Worth.WorstClass, s.Worth.WorstTenant, s.Worth.Prices)
	for _, c := range s.Classes {
		fmt.Fprintf(&b, "  %-16s %6d asked, %5.1f%% of the worth served, %d refused, %d failed; p50 %.0f, p99 %.0f, most %.0f ms\n",
			c.Name, c.Requests, 100*c.Share, c.Refused, c.Failed, c.P50, c.P99, c.Max)
	}
	fmt.Fprintf(&b, "  %d first tries, %d taken, %d attempts, %d probes, %d lost with killed proxies\n",
		s.FirstTries, s.Taken, s.Attempts, s.Probes, s.Excused)
	if s.ComebackMs != nil {
		fmt.Fprintf(&b, "  full service is back %.0f s after the first fault began; %d stale decisions\n", *s.ComebackMs/1000, s.Stale)
	}
	if v := s.Spending; v != nil {
		fmt.Fprintf(&b, "  over the whole %d, used %.3f of what one central counter would have let through; %d older tokens turned away, %d without a token\n",
			v.OverWhole, v.Used, v.OldTokens, v.NoToken)
		for _, x := range v.Budgets {
			fmt.Fprintf(&b, "    %s: %d attempts, %d by floors, %.0f at most in a second, where %.0f may be\n", x.Name, x.Took, x.Floor, x.Most, x.May)
		}
	}
	if len(s.Usage) > 0 {
		most := 0.0
		for _, u := range s.Usage {
			most = max(most, u.RSSMB)
		}
		fmt.Fprintf(&b, "  the proxies took %.0f us of CPU a request and %.0f MB at most\n", s.PerRequest(), most)
	}
	for i, u := range s.Usage {
		if u.GoroutinesBefore > 0 {
			fmt.Fprintf(&b, "  proxy %d: descriptors %d before the load and %d after it, goroutines %d and %d\n", i, u.FilesBefore, u.FilesAfter,
				u.GoroutinesBefore, u.GoroutinesAfter)
		}
	}
	if !s.Scored {
		fmt.Fprintf(&b, "  NOT SCORED, the machine was too slow: %s\n", s.Late)
	}
	if s.Partial {
		b.WriteString("  broken off before its end\n")
	}
	for _, p := range s.Problems {
		fmt.Fprintf(&b, "  problem: %s\n", p)
	}
	fmt.Fprintf(&b, "rules broken: %d", s.RulesBroken)
	for _, r := range s.Broken() {
		fmt.Fprintf(&b, ", %s %d", r, s.ByRule[r])
	}
	b.WriteByte('\n')
	for i, x := range s.Breaches {
		if i == shownBreaches {
			fmt.Fprintf(&b, "  and %d more\n", s.RulesBroken-i)
			break
		}
		fmt.Fprintf(&b, "  at %.3f s: %s: %s, request %s by proxy %d\n", x.AtMs/1000, x.Rule, x.What, x.Request, x.Proxy)
		for _, e := range x.Evidence {
			fmt.Fprintf(&b, "    %s\n", e)
		}
	}
	return b.String()
}

package route

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Explanation is what became of one rule in a lookup.
type Explanation struct {
	Rule    *Rule
	Matches bool
	Why     string // it does not match, or lost
}

// Explain tells which rule a request gets and why, and what of the others. It looks at each rule by itself, apart
// from the table: the first reason is the winner's, those that match and lost follow, then the rest.
func (t *Table) Explain(q *Request) []Explanation {
	var out []Explanation
	for _, r := range t.rules {
		why := r.mismatch(q)
		out = append(out, Explanation{r, why == "", why})
	}
	slices.SortStableFunc(out, func(a, b Explanation) int {
		if a.Matches != b.Matches {
			if a.Matches {
				return -1
			}
			return 1
		}
		if !a.Matches {
			return 0
		}
		return -compare(a.Rule, b.Rule)
	})
	for i := range out {
		switch {
		case !out[i].Matches:
		case i == 0:
			out[i].Why = "first of those that match"
		default:
			out[i].Why = "matches, but " + lost(out[0].Rule, out[i].Rule)
		}
	}
	if t.fallback != nil {
		why := "the default: no rule matches"
		matches := UnambiguousPath(q.Path)
		last := Explanation{t.fallback, matches, why}
		if len(out) > 0 && out[0].Matches {
			last.Why = "the default goes last"
			return append(out, last)
		}
		return append([]Explanation{last}, out...)
	}
	return out
}

// mismatch says why a rule does not match; empty if it does.
func (r *Rule) mismatch(q *Request) string {
	if !UnambiguousPath(q.Path) {
		return AmbiguousPath.String()
	}
	var room [maxHostBytes + 1]byte
	host := string(hostOf(&room, q.Host))
	if suffix, wild := strings.CutPrefix(r.Host, "*."); wild {
		if !strings.HasSuffix(host, "."+suffix) {
			return fmt.Sprintf("host %q does not end with .%s", host, suffix)
		}
	} else if r.Host != "" && r.Host != host {
		return fmt.Sprintf("host %q is not %s", host, r.Host)
	}
	if r.Path != "" && r.Path != q.Path {
		return fmt.Sprintf("path %q is not %s", q.Path, r.Path)
	}
	if p := r.PathPrefix; p != "" && p != "/" && q.Path != p && !strings.HasPrefix(q.Path, p+"/") {
		return fmt.Sprintf("path %q is not under %s", q.Path, p)
	}
	for _, c := range []struct {
		name  string
		list  []string
		value string
	}{{"method", r.Methods, q.Method}, {"class", r.Classes, q.Class}, {"tenant", r.Tenants, q.Tenant}} {
		if len(c.list) > 0 && !slices.Contains(c.list, c.value) {
			return fmt.Sprintf("%s %q is none of %s", c.name, c.value, strings.Join(c.list, ", "))
		}
	}
	return ""
}

// rank is a rule's place in the order of precedence; compared field by field, more goes first.
func (r *Rule) rank() [4]int {
	var k [4]int
	if suffix, wild := strings.CutPrefix(r.Host, "*."); wild {
		k[0] = 1 + len(suffix)
	} else if r.Host != "" {
		k[0] = 1 << 20
	}
	if r.Path != "" {
		k[1] = 1 << 30
	} else if r.PathPrefix != "" {
		k[1] = 1 + len(r.PathPrefix)
	}
	if len(r.Tenants) > 0 {
		k[2] |= int(byTenant)
	}
	if len(r.Classes) > 0 {
		k[2] |= int(byClass)
	}
	if len(r.Methods) > 0 {
		k[2] |= int(byMethod)
	}
	return k
}

func compare(a, b *Rule) int {
	x, y := a.rank(), b.rank()
	return slices.CompareFunc(x[:], y[:], cmp.Compare[int])
}

// lost says by what one rule goes before another.
func lost(winner, loser *Rule) string {
	x, y := winner.rank(), loser.rank()
	switch {
	case x[0] != y[0]:
		return fmt.Sprintf("the host of %q is more exact", winner.Name)
	case x[1] != y[1]:
		return fmt.Sprintf("the path of %q is more exact", winner.Name)
	}
	return fmt.Sprintf("%q asks for more", winner.Name)
}

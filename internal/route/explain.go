package route

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
)

// Explanation says how one rule fared in a lookup.
type Explanation struct {
	Rule    *Rule
	Matches bool
	Why     string // why it won, was not first, or does not match
}

// Explain returns how each rule fares for a request: the winner first, then the other rules that match, in the order
// of precedence, then the rest. It compares the rules one by one, without the index.
func (t *Table) Explain(q *Request) []Explanation {
	var out []Explanation
	for _, r := range t.rules {
		why := r.mismatch(q)
		out = append(out, Explanation{Rule: r, Matches: why == "", Why: why})
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
			out[i].Why = "matches, but " + whyFirst(out[0].Rule, out[i].Rule)
		}
	}
	if t.fallback != nil {
		last := Explanation{Rule: t.fallback, Matches: UnambiguousPath(q.Path), Why: "the default: no rule matches"}
		if len(out) > 0 && out[0].Matches {
			last.Why = "the default goes last"
			return append(out, last)
		}
		return append([]Explanation{last}, out...)
	}
	return out
}

// mismatch returns why a rule does not match; empty if it does.
func (r *Rule) mismatch(q *Request) string {
	if !UnambiguousPath(q.Path) {
		return AmbiguousPath.String()
	}
	var buffer hostBuffer
	host := string(normalizeHost(&buffer, q.Host))
	if suffix, ok := r.hostSuffix(); ok {
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

// rank is a rule's place in the order of precedence. It is compared field by field; the greater value goes first.
type rank struct {
	host     int // 0 any, else 1 and the length of the suffix, or exactRank
	path     int // 0 any, else the length of the prefix and 1, or exactRank
	criteria criteria
}

// exactRank is above that of any suffix or prefix.
const exactRank = math.MaxInt

// rank returns a rule's place in the order of precedence.
func (r *Rule) rank() rank {
	k := rank{criteria: r.criteria()}
	if suffix, ok := r.hostSuffix(); ok {
		k.host = 1 + len(suffix)
	} else if r.Host != "" {
		k.host = exactRank
	}
	if r.Path != "" {
		k.path = exactRank
	} else if r.PathPrefix != "" {
		k.path = 1 + len(r.PathPrefix)
	}
	return k
}

// compare returns a positive number if a goes before b, 0 if neither goes before the other.
func compare(a, b *Rule) int {
	x, y := a.rank(), b.rank()
	return cmp.Or(
		cmp.Compare(x.host, y.host),
		cmp.Compare(x.path, y.path),
		cmp.Compare(x.criteria, y.criteria),
	)
}

// whyFirst says why one rule goes before another.
func whyFirst(winner, loser *Rule) string {
	x, y := winner.rank(), loser.rank()
	switch {
	case x.host != y.host:
		return fmt.Sprintf("the host of %q is more exact", winner.Name)
	case x.path != y.path:
		return fmt.Sprintf("the path of %q is more exact", winner.Name)
	}
	return fmt.Sprintf("%q asks for more", winner.Name)
}

package route

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
)

// Explanation is the result of comparing one rule with a request.
type Explanation struct {
	Rule    *Rule
	Matches bool
	Why     string // why it applies, why another rule has precedence, or why it does not match
}

// Explain returns the result for each rule: first the rule that applies, then the other rules that match, in the order
// of precedence, then the rest. The fallback, if there is one, is last, or first if no rule matches. Explain compares
// the rules one by one, without the index.
func (t *Table) Explain(q *Request) []Explanation {
	var out []Explanation
	for _, r := range t.rules {
		why := r.mismatchReason(q)
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
		return -comparePrecedence(a.Rule, b.Rule)
	})
	for i := range out {
		switch {
		case !out[i].Matches:
		case i == 0:
			out[i].Why = "first in precedence of the rules that match"
		default:
			out[i].Why = "matches, but " + precedenceReason(out[0].Rule, out[i].Rule)
		}
	}
	if t.fallback != nil {
		fallback := Explanation{Rule: t.fallback, Matches: UnambiguousPath(q.Path), Why: "the default: no rule matches"}
		if len(out) > 0 && out[0].Matches {
			fallback.Why = "the default applies only if no rule matches"
			return append(out, fallback)
		}
		return append([]Explanation{fallback}, out...)
	}
	return out
}

// mismatchReason returns why a rule does not match a request; empty if it matches.
func (r *Rule) mismatchReason(q *Request) string {
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
	for _, criterion := range []struct {
		name   string
		values []string
		value  string
	}{{"method", r.Methods, q.Method}, {"class", r.Classes, q.Class}, {"tenant", r.Tenants, q.Tenant}} {
		if len(criterion.values) > 0 && !slices.Contains(criterion.values, criterion.value) {
			return fmt.Sprintf("%s %q is none of %s",
				criterion.name, criterion.value, strings.Join(criterion.values, ", "))
		}
	}
	return ""
}

// rank is a rule's precedence. Ranks are compared field by field, and the greater value has precedence.
type rank struct {
	host     int // 0 for any host, 1 plus the length of the suffix, or exactRank
	path     int // 0 for any path, 1 plus the length of the prefix, or exactRank
	criteria criteria
}

// exactRank is the rank of an exact host or path, above that of any suffix or prefix.
const exactRank = math.MaxInt

// rank returns a rule's precedence.
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

// comparePrecedence returns a positive number if a has precedence over b, a negative one if b has precedence over a,
// and 0 if their precedence is equal.
func comparePrecedence(a, b *Rule) int {
	rankA, rankB := a.rank(), b.rank()
	return cmp.Or(
		cmp.Compare(rankA.host, rankB.host),
		cmp.Compare(rankA.path, rankB.path),
		cmp.Compare(rankA.criteria, rankB.criteria),
	)
}

// precedenceReason returns why one rule has precedence over another.
func precedenceReason(winner, loser *Rule) string {
	winnerRank, loserRank := winner.rank(), loser.rank()
	switch {
	case winnerRank.host != loserRank.host:
		return fmt.Sprintf("the host of %q is more specific", winner.Name)
	case winnerRank.path != loserRank.path:
		return fmt.Sprintf("the path of %q is more specific", winner.Name)
	}
	return fmt.Sprintf("%q matches by criteria of higher precedence", winner.Name)
}

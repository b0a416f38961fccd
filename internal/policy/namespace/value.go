package namespace

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Source identifies the rule of a namespace's file that a value or a conflict comes from.
type Source struct {
	Namespace string `json:"namespace"`
	Number    uint64 `json:"number,omitempty"` // number of the file; 0 in items, and for the declaration
	Rule      string `json:"rule"`             // kind and name, such as "route payouts"
}

// String returns the source as messages and conflicts show it, such as "dispatch/7 route r1".
func (s Source) String() string { return fmt.Sprintf("%s/%d %s", s.Namespace, s.Number, s.Rule) }

func compareSources(a, b Source) int {
	return cmp.Or(
		strings.Compare(a.Namespace, b.Namespace), cmp.Compare(a.Number, b.Number), strings.Compare(a.Rule, b.Rule),
	)
}

// sources sorts a list of sources in place and returns it without duplicates.
func sources(list ...Source) []Source {
	slices.SortFunc(list, compareSources)
	return slices.Compact(list)
}

// Value is a merged value of a setting, with all the rules that set this value.
type Value[T comparable] struct {
	Value   T        `json:"is"`
	Sources []Source `json:"from"`
}

// mergeValue merges the value that one rule sets into the merged value of other rules, which is nil if there are none.
// The preferred value stays; preferred(a, b) reports whether a replaces b. If preferred is a strict total order, the
// result does not depend on the order of the rules, nor on how often a rule is merged.
func mergeValue[T comparable](merged *Value[T], value T, source Source, preferred func(a, b T) bool) *Value[T] {
	if merged == nil || value != merged.Value && preferred(value, merged.Value) {
		return &Value[T]{value, []Source{source}}
	}
	if value == merged.Value {
		if i, found := slices.BinarySearchFunc(merged.Sources, source, compareSources); !found {
			merged.Sources = slices.Insert(merged.Sources, i, source)
		}
	}
	return merged
}

// preferLower prefers the lower value.
func preferLower[T cmp.Ordered](a, b T) bool { return a < b }

// preferStricterLevel prefers the stricter staleness level.
func preferStricterLevel(a, b string) bool {
	return slices.Index(StalenessLevels(), a) < slices.Index(StalenessLevels(), b)
}

// preferUnsafe prefers effectUnsafe.
func preferUnsafe(a, b string) bool { return a == effectUnsafe && b != effectUnsafe }

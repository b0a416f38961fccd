package namespace

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Source is the rule of a namespace's file that a value comes from.
type Source struct {
	Namespace string `json:"namespace"`
	Number    uint64 `json:"number,omitempty"` // of the file
	Rule      string `json:"rule"`             // kind and name, such as "route payouts"
}

// String returns the source as messages show it.
func (s Source) String() string { return fmt.Sprintf("%s/%d %s", s.Namespace, s.Number, s.Rule) }

func compareSources(a, b Source) int {
	return cmp.Or(
		strings.Compare(a.Namespace, b.Namespace), cmp.Compare(a.Number, b.Number), strings.Compare(a.Rule, b.Rule),
	)
}

// sources returns sources sorted and each once.
func sources(list ...Source) []Source {
	slices.SortFunc(list, compareSources)
	return slices.Compact(list)
}

// Value is a setting with all the rules that set it so.
type Value[T comparable] struct {
	Value   T        `json:"is"`
	Sources []Source `json:"from"`
}

// mergeValue merges what one rule sets into what others set: the value that preferred prefers stays. It is commutative,
// associative and idempotent as long as preferred is a total order.
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

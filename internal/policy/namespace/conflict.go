package namespace

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"lapisspread/internal/route"
)

// ConflictKind says why rules conflict. Its values appear in messages and keep the words of the operators' pages.
type ConflictKind string

// Kinds of conflicts that withhold a file.
const (
	Contradiction          ConflictKind = "contradiction" // two routes match one request, and no delegation orders them
	ContradictoryOverrides ConflictKind = "orders"        // a server is detached and attached at the same time
	MinimumsExceedLimit    ConflictKind = "minimums"      // the minimums of a quota sum to more than its limit
	CapBelowMinimum        ConflictKind = "cap"           // a delegator's cap is below its delegate's minimum
	ServiceRemoved         ConflictKind = "removed"       // a route leads to a service that is undefined or removed
	InconsistentDefinition ConflictKind = "said twice"    // two namespaces set a service or priority weight differently
	TooManyCombinations    ConflictKind = "crowded"       // all routes together exceed maxCombinations
)

// Kinds of conflicts that are only reported.
const (
	DomainOverlap   ConflictKind = "overlap"   // two domains intersect without a delegation, even if no rules intersect
	UnreachableRule ConflictKind = "unmatched" // no request can reach a rule
)

// Withholds reports whether Merge withholds a file for a conflict of this kind.
func (k ConflictKind) Withholds() bool { return k != DomainOverlap && k != UnreachableRule }

// Conflict is a set of rules that conflict with each other.
type Conflict struct {
	Kind     ConflictKind
	Rules    []Source       // the rules that conflict; for a DomainOverlap, the overlapping namespaces
	Request  *route.Request // an example request that the rules match; nil if the conflict is not about requests
	Time     *time.Time     // a time at which overrides contradict each other; nil for other kinds
	Text     string         // what exactly conflicts; part of String
	More     bool           // the two namespaces have more conflicts of this kind, which are not listed
	Withheld string         // the namespace whose file was withheld for the conflict; empty if none was withheld
	cause    error          // what Err returns instead of a ConflictError; may be nil
}

// Err returns the conflict as an error with advice: a MinimumsExceedLimitError or a ConflictError.
func (c Conflict) Err() error {
	if c.cause != nil {
		return c.cause
	}
	return ConflictError{c}
}

// String returns the conflict as messages show it. The text is stored as the reason why a file is withheld and compared
// between servers, so it must not change.
func (c Conflict) String() string {
	var rules []string
	for _, s := range c.Rules {
		rules = append(rules, s.String())
	}
	text := fmt.Sprintf("%s: %s: %s", c.Kind, strings.Join(rules, ", "), c.Text)
	if r := c.Request; r != nil {
		text += fmt.Sprintf("; as for host %q, path %q, method %q, class %q, tenant %q",
			r.Host, r.Path, r.Method, r.Class, r.Tenant)
	}
	if c.More {
		text += "; and more"
	}
	if c.Time != nil {
		text += "; as at " + c.Time.Format(time.RFC3339)
	}
	return text
}

// sortConflicts sorts conflicts in place by kind, then by rules, then by text.
func sortConflicts(list []Conflict) {
	slices.SortFunc(list, func(a, b Conflict) int {
		return cmp.Or(
			strings.Compare(string(a.Kind), string(b.Kind)),
			slices.CompareFunc(a.Rules, b.Rules, compareSources),
			strings.Compare(a.Text, b.Text),
		)
	})
}

// Check returns all conflicts of a set of files, sorted. Each file must have only rules within its namespace's domain.
// Active lists the files in force: if the set no longer defines one of their services, the conflict also names the rule
// that defined it.
func Check(d *Declaration, active, set []*File) []Conflict {
	f := newFinder(d, active)
	conflicts := append(f.withholding(set), f.reported(set)...)
	sortConflicts(conflicts)
	return conflicts
}

// finder finds the conflicts of sets of files under one declaration. It caches the contradictions between each two
// files, so that a set that shares files with an earlier one is checked faster.
type finder struct {
	declaration    *Declaration
	activeServices map[string][]Source     // rules in the files in force that define a service, by service name
	indexes        map[*File]routeIndex    // cached results of routeIndexFor, by file
	contradictions map[[2]*File][]Conflict // cached results of contradictionsBetween, by the two files
	mayIntersect   map[[2]string]bool      // cached results of Declaration.routesMayIntersect, by the two namespaces
}

// newFinder returns a finder. Active lists the files in force.
func newFinder(d *Declaration, active []*File) *finder {
	f := &finder{
		declaration:    d,
		activeServices: map[string][]Source{},
		indexes:        map[*File]routeIndex{},
		contradictions: map[[2]*File][]Conflict{},
		mayIntersect:   map[[2]string]bool{},
	}
	for _, file := range active {
		for i := range file.Services {
			if s := &file.Services[i]; !s.Removed {
				f.activeServices[s.Name] = append(f.activeServices[s.Name], file.source(s.id()))
			}
		}
	}
	return f
}

// sortedByName returns a copy of a set of files, sorted by namespace.
func sortedByName(set []*File) []*File {
	sorted := slices.Clone(set)
	slices.SortFunc(sorted, func(a, b *File) int { return strings.Compare(a.Name, b.Name) })
	return sorted
}

// withholding returns the conflicts of a set for which a file is withheld.
func (f *finder) withholding(set []*File) []Conflict {
	set = sortedByName(set)
	var conflicts []Conflict
	for i, b := range set {
		for _, a := range set[:i] {
			conflicts = append(conflicts, f.contradictionsBetween(a, b)...)
		}
	}
	conflicts = append(conflicts, inconsistentDefinitions(set)...)
	conflicts = append(conflicts, contradictoryOverrides(set)...)
	conflicts = append(conflicts, f.quotaConflicts(set)...)
	conflicts = append(conflicts, tooManyCombinations(set)...)
	return append(conflicts, f.removedServices(set)...)
}

// reported returns the conflicts of a set that are only reported.
func (f *finder) reported(set []*File) []Conflict {
	return append(f.declaration.overlaps(), unreachableRules(sortedByName(set))...)
}

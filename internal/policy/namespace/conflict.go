package namespace

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"lapisspread/internal/route"
)

// ConflictKind is what is wrong between rules.
type ConflictKind string

// Kinds of conflicts that withhold a file.
const (
	Contradiction          ConflictKind = "contradiction" // one request matches two routes that lead elsewhere
	ContradictoryOverrides ConflictKind = "orders"        // a server is detached and attached at one time
	MinimumsExceedLimit    ConflictKind = "minimums"      // of a quota
	CapBelowMinimum        ConflictKind = "cap"           // a cap that a delegator sets is below the minimum
	ServiceRemoved         ConflictKind = "removed"       // a route leads to a service that is not there
	InconsistentDefinition ConflictKind = "said twice"    // what one owner sets is set in two ways
	TooManyCombinations    ConflictKind = "crowded"       // all routes together are more than a table takes
)

// Kinds of conflicts that are only reported.
const (
	DomainOverlap   ConflictKind = "overlap"   // domains intersect without a delegation; rules need not
	UnreachableRule ConflictKind = "unmatched" // no request can come to a rule
)

// Withholds reports whether a conflict withholds a file.
func (k ConflictKind) Withholds() bool { return k != DomainOverlap && k != UnreachableRule }

// Conflict is rules that do not go together.
type Conflict struct {
	Kind     ConflictKind
	Rules    []Source       // that take part in it
	Request  *route.Request // that all these rules match, if the conflict is about requests
	Time     *time.Time     // at which overrides contradict each other
	Text     string
	More     bool   // there are more like it between the two namespaces, which are not listed
	Withheld string // the namespace whose file was withheld for it; empty is none
	cause    error
}

// Err returns the conflict as an error with advice: a MinimumsExceedLimitError or a ConflictError.
func (c Conflict) Err() error {
	if c.cause != nil {
		return c.cause
	}
	return ConflictError{c}
}

// String returns the conflict as messages show it.
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

func sortConflicts(list []Conflict) {
	slices.SortFunc(list, func(a, b Conflict) int {
		return cmp.Or(
			strings.Compare(string(a.Kind), string(b.Kind)),
			slices.CompareFunc(a.Rules, b.Rules, compareSources),
			strings.Compare(a.Text, b.Text),
		)
	})
}

// Check returns all conflicts of a set of files, each of which is within its domain. Active is the set that is in
// force.
func Check(d *Declaration, active, set []*File) []Conflict {
	f := newFinder(d, active)
	conflicts := append(f.withholding(set), f.reported(set)...)
	sortConflicts(conflicts)
	return conflicts
}

// finder finds the conflicts of sets of files under one declaration. It keeps what it found between two files for the
// next set.
type finder struct {
	declaration    *Declaration
	activeServices map[string][]Source // who defines which service in the files in force
	indexes        map[*File]routeIndex
	contradictions map[[2]*File][]Conflict
	mayIntersect   map[[2]string]bool // namespaces
}

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

func sortedByName(set []*File) []*File {
	sorted := slices.Clone(set)
	slices.SortFunc(sorted, func(a, b *File) int { return strings.Compare(a.Name, b.Name) })
	return sorted
}

// withholding returns the conflicts that withhold a file.
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

// reported returns the conflicts that withhold no file.
func (f *finder) reported(set []*File) []Conflict {
	return append(f.declaration.overlaps(), unreachableRules(sortedByName(set))...)
}

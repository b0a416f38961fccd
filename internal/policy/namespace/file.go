package namespace

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"lapisspread/internal/route"
	"lapisspread/internal/strictconfig"
)

// Limits of a policy file. MaxFileBytes also limits a declaration.
const (
	MaxFileBytes = 16 << 20 // 16 MiB
	maxRules     = 50_000   // maximum number of rules of all kinds together
)

// File is the policy file of a namespace. Parse sorts the lists in which order has no meaning. A parsed file is
// immutable.
type File struct {
	Version         int              `toml:"version"`   // format version; must be FileVersion
	Name            string           `toml:"namespace"` // name of the namespace; it must be declared
	Number          uint64           `toml:"number"`    // version of the content, from 1; higher is newer
	Services        []Service        `toml:"service"`
	Routes          []Route          `toml:"route"`
	Classes         []Class          `toml:"class"`
	Quotas          []QuotaShare     `toml:"budget"`
	Blocks          []Block          `toml:"block"`
	Overrides       []Override       `toml:"order"`
	StalenessBounds []StalenessBound `toml:"staleness"`

	path      string            // path of the file; part of error messages
	lines     map[string]int    // line of each key; part of error messages
	ruleTexts map[string]string // JSON of each rule, by rule ID; compared to find which rules changed
	ruleKeys  map[string]string // key of each rule in the file, such as route[2], by rule ID
	readError error             // why the file could not be read; set by UnreadableFile only
}

// Service is a group of servers that routes may lead to.
type Service struct {
	Name      string   `toml:"name" json:"name"`
	Discovery string   `toml:"discovery" json:"discovery,omitempty"` // address for service discovery, as host:port
	Kinds     []string `toml:"kinds" json:"kinds,omitempty"`         // kinds of servers that it uses; empty means all
	Cells     []int    `toml:"cells" json:"cells,omitempty"`         // cells of servers that it uses; empty means all
	Upstream  string   `toml:"upstream" json:"upstream,omitempty"`   // protocol of the servers: http or diameter
	Removed   bool     `toml:"removed" json:"removed,omitempty"`     // whether routes may no longer lead to the service
}

// Route says to which services the requests of a match are sent.
type Route struct {
	Name string `toml:"name" json:"name"`
	Match
	To           []Target `toml:"to" json:"to"`
	Sticky       string   `toml:"sticky" json:"sticky,omitempty"` // key, tenant or request; empty means key
	MaxStaleness string   `toml:"bears" json:"bears,omitempty"`   // one of StalenessLevels; empty sets no bound
}

// Target is a service of a route, with its weight relative to the route's other targets.
type Target struct {
	Service string   `toml:"service" json:"service"`
	Weight  *float64 `toml:"weight" json:"weight"` // Parse sets 1 if it is left out
}

// Class holds settings of a class of requests. A setting that is left out may be set by other namespaces.
// PriorityWeight is the weight of an answer within the latency objective; LateFraction is the fraction of that weight,
// 0 to 1, that a later answer has.
type Class struct {
	Name             string                `toml:"name" json:"name"`
	LatencyObjective strictconfig.Duration `toml:"aim" json:"aim,omitempty"`         // 0 if left out
	Deadline         strictconfig.Duration `toml:"give_up" json:"give_up,omitempty"` // 0 if left out
	Effect           string                `toml:"effect" json:"effect,omitempty"`   // effectSafe or effectUnsafe
	PriorityWeight   *float64              `toml:"worth" json:"worth,omitempty"`
	LateFraction     *float64              `toml:"late" json:"late,omitempty"`
}

// Values of Class.Effect. A safe request may be executed twice, an unsafe one must not.
const (
	effectSafe   = "safe"
	effectUnsafe = "unsafe"
)

// QuotaShare is a namespace's share of a quota, in the quota's units, or a cap that it sets on a delegate's share.
type QuotaShare struct {
	Quota     string  `toml:"name" json:"name"`
	Namespace string  `toml:"for" json:"for,omitempty"`       // the delegate; empty means the file's own namespace
	Min       int64   `toml:"min" json:"min,omitempty"`       // 0 means no minimum
	Cap       int64   `toml:"cap" json:"cap,omitempty"`       // 0 means no cap
	Weight    float64 `toml:"weight" json:"weight,omitempty"` // relative to those of other namespaces; 0 if left out
}

// Block rejects the requests of a match.
type Block struct {
	Name string `toml:"name" json:"name"`
	Match
}

// Override takes a server out of use (detach), or keeps it in use (attach), from the time From until before Until.
type Override struct {
	Name   string    `toml:"name" json:"name"`
	Server string    `toml:"server" json:"server"`
	Zone   string    `toml:"zone" json:"zone"`
	Action string    `toml:"do" json:"do"`       // actionDetach or actionAttach
	From   time.Time `toml:"from" json:"from"`   // start of the override; the zero time means no start
	Until  time.Time `toml:"until" json:"until"` // end of the override; the zero time means no end
}

// Values of Override.Action.
const (
	actionDetach = "detach"
	actionAttach = "attach"
)

// StalenessBound limits how stale the endpoint list of a route may be for the route to be used.
type StalenessBound struct {
	Route    string `toml:"route" json:"route"` // a route of the same file, or namespace/route
	MaxLevel string `toml:"bears" json:"bears"` // the stalest allowed level, one of StalenessLevels
}

// StalenessLevels returns the levels of staleness of an endpoint list, the freshest (as a bound, the strictest) first.
func StalenessLevels() []string { return []string{"confirmed", "fresh", "ageing", "doubtful", "blind"} }

// UnreadableFile returns a placeholder for a submitted file that could not be read or parsed. Merge reports it as
// withheld with the given error.
func UnreadableFile(name string, err error) *File { return &File{Name: name, readError: err} }

// Parse parses the policy file of a namespace in TOML, and makes all checks that need no declaration. Path is only used
// in errors. It returns one or several joined FileErrors.
func Parse(path string, text []byte) (*File, error) {
	if len(text) > MaxFileBytes {
		// The text means: the file's size, and the maximum, in bytes.
		return nil, FileError{Path: path, Err: fmt.Errorf("%d bytes; %d are the most", len(text), MaxFileBytes)}
	}
	f := &File{}
	if err := decodeFile(path, text, f); err != nil {
		return nil, err
	}
	f.path = path
	f.lines = keyLines(text)
	if err := f.check(); err != nil {
		return nil, err
	}
	return f, nil
}

// Rules returns the number of rules of all kinds in the file.
func (f *File) Rules() int {
	return len(f.Services) + len(f.Routes) + len(f.Classes) + len(f.Quotas) + len(f.Blocks) + len(f.Overrides) +
		len(f.StalenessBounds)
}

// source returns the Source for the rule with an ID.
func (f *File) source(id string) Source { return Source{f.Name, f.Number, id} }

// sameRules reports whether two files have equal rules. It ignores their numbers.
func (f *File) sameRules(other *File) bool { return maps.Equal(f.ruleTexts, other.ruleTexts) }

// rulesText returns all rules as a text. It is used to order files with the same number.
func (f *File) rulesText() string {
	var text strings.Builder
	for _, id := range slices.Sorted(maps.Keys(f.ruleTexts)) {
		text.WriteString(id + f.ruleTexts[id])
	}
	return text.String()
}

// without returns a copy of the file without the rules with the given IDs.
func (f *File) without(ids map[string]bool) *File {
	reduced := *f
	reduced.ruleTexts = map[string]string{}
	for id, text := range f.ruleTexts {
		if !ids[id] {
			reduced.ruleTexts[id] = text
		}
	}
	reduced.Services = withoutRules(f.Services, ids)
	reduced.Routes = withoutRules(f.Routes, ids)
	reduced.Classes = withoutRules(f.Classes, ids)
	reduced.Quotas = withoutRules(f.Quotas, ids)
	reduced.Blocks = withoutRules(f.Blocks, ids)
	reduced.Overrides = withoutRules(f.Overrides, ids)
	reduced.StalenessBounds = withoutRules(f.StalenessBounds, ids)
	return &reduced
}

// rule constrains a type to pointers to T that have a rule ID.
type rule[T any] interface {
	*T
	id() string
}

// withoutRules returns a copy of a list without the rules with the given IDs.
func withoutRules[T any, P rule[T]](list []T, ids map[string]bool) []T {
	var remaining []T
	for i := range list {
		if !ids[P(&list[i]).id()] {
			remaining = append(remaining, list[i])
		}
	}
	return remaining
}

// routeIDPrefix is the prefix of the ID of each route.
const routeIDPrefix = "route "

// The ID of a rule consists of its kind and its name. It is unique in the file.

func (s *Service) id() string        { return "service " + s.Name }
func (r *Route) id() string          { return routeIDPrefix + r.Name }
func (c *Class) id() string          { return "class " + c.Name }
func (s *QuotaShare) id() string     { return strings.TrimSpace("budget " + s.Quota + " " + s.Namespace) }
func (b *Block) id() string          { return "block " + b.Name }
func (o *Override) id() string       { return "order " + o.Name }
func (b *StalenessBound) id() string { return "staleness " + b.Route }

// targets returns the targets of a route as package route represents them.
func (r *Route) targets() []route.Target {
	var targets []route.Target
	for _, to := range r.To {
		targets = append(targets, route.Target{Service: to.Service, Weight: *to.Weight})
	}
	return targets
}

// contradicts returns the first time at which two overrides contradict each other, if there is one: both are in force
// for the same server with different actions.
func (o *Override) contradicts(other *Override) (time.Time, bool) {
	if o.Server != other.Server || o.Action == other.Action {
		return time.Time{}, false
	}
	from := o.From
	if other.From.After(from) {
		from = other.From
	}
	fromIsBefore := func(until time.Time) bool { return until.IsZero() || from.Before(until) }
	return from, fromIsBefore(o.Until) && fromIsBefore(other.Until)
}

// minimum returns the minimum that the quota share with a rule ID sets, or 0 if it sets none.
func (f *File) minimum(id string) int64 {
	for i := range f.Quotas {
		if f.Quotas[i].id() == id {
			return f.Quotas[i].Min
		}
	}
	return 0
}

// countCombinations returns the sum, over all routes, of the combinations of a method, a class and a tenant that the
// route lists. An empty list counts as one value.
func (f *File) countCombinations() int {
	sum := 0
	for i := range f.Routes {
		r := &f.Routes[i]
		sum += max(1, len(r.Methods)) * max(1, len(r.Classes)) * max(1, len(r.Tenants))
	}
	return sum
}

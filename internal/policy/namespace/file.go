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

// Bounds on a declaration or a file.
const (
	MaxFileBytes = 16 << 20
	maxRules     = 50_000
)

// File is the policy file of a namespace. Its lists are sorted once it is parsed; nothing changes it afterwards.
type File struct {
	Version         int              `toml:"version"`   // FileVersion
	Name            string           `toml:"namespace"` // in the declaration
	Number          uint64           `toml:"number"`    // of this content; each new one is higher
	Services        []Service        `toml:"service"`
	Routes          []Route          `toml:"route"`
	Classes         []Class          `toml:"class"`
	Quotas          []QuotaShare     `toml:"budget"`
	Blocks          []Block          `toml:"block"`
	Overrides       []Override       `toml:"order"`
	StalenessBounds []StalenessBound `toml:"staleness"`

	path      string
	lines     map[string]int    // by key
	ruleTexts map[string]string // the JSON of each rule, by its ID: tells what changed
	ruleKeys  map[string]string // the key of each rule in the file, by its ID
	readError error             // of UnreadableFile
}

// Service is a target of routes.
type Service struct {
	Name      string   `toml:"name" json:"name"`
	Discovery string   `toml:"discovery" json:"discovery,omitempty"` // host:port
	Kinds     []string `toml:"kinds" json:"kinds,omitempty"`         // of servers
	Cells     []int    `toml:"cells" json:"cells,omitempty"`
	Upstream  string   `toml:"upstream" json:"upstream,omitempty"` // http or diameter
	Removed   bool     `toml:"removed" json:"removed,omitempty"`   // no route may lead to it any more
}

// Route says where requests lead.
type Route struct {
	Name string `toml:"name" json:"name"`
	Match
	To           []Target `toml:"to" json:"to"`
	Sticky       string   `toml:"sticky" json:"sticky,omitempty"` // key, tenant or request; empty is key
	MaxStaleness string   `toml:"bears" json:"bears,omitempty"`   // of StalenessLevels
}

// Target is a service with its weight.
type Target struct {
	Service string   `toml:"service" json:"service"`
	Weight  *float64 `toml:"weight" json:"weight"` // 1 by default
}

// Class is settings of a class of requests. What is left out is left to other namespaces.
type Class struct {
	Name             string                `toml:"name" json:"name"`
	LatencyObjective strictconfig.Duration `toml:"aim" json:"aim,omitempty"`
	Deadline         strictconfig.Duration `toml:"give_up" json:"give_up,omitempty"`
	Effect           string                `toml:"effect" json:"effect,omitempty"` // effectSafe or effectUnsafe
	PriorityWeight   *float64              `toml:"worth" json:"worth,omitempty"`
	LateFraction     *float64              `toml:"late" json:"late,omitempty"` // of the weight; 0 to 1
}

// The effects of requests: a safe one may run twice, an unsafe one must never.
const (
	effectSafe   = "safe"
	effectUnsafe = "unsafe"
)

// QuotaShare is a namespace's share of a quota, in the quota's units; or a cap that it sets on a delegate.
type QuotaShare struct {
	Quota     string  `toml:"name" json:"name"`
	Namespace string  `toml:"for" json:"for,omitempty"` // the delegate; empty is the file's own namespace
	Min       int64   `toml:"min" json:"min,omitempty"`
	Cap       int64   `toml:"cap" json:"cap,omitempty"` // 0 is none
	Weight    float64 `toml:"weight" json:"weight,omitempty"`
}

// Block rejects the requests that match.
type Block struct {
	Name string `toml:"name" json:"name"`
	Match
}

// Override takes a server out of use, or keeps it in use, from one time until before another.
type Override struct {
	Name   string    `toml:"name" json:"name"`
	Server string    `toml:"server" json:"server"`
	Zone   string    `toml:"zone" json:"zone"`
	Action string    `toml:"do" json:"do"`       // actionDetach or actionAttach
	From   time.Time `toml:"from" json:"from"`   // zero: always so far
	Until  time.Time `toml:"until" json:"until"` // zero: for ever
}

// The actions of overrides.
const (
	actionDetach = "detach"
	actionAttach = "attach"
)

// StalenessBound is the stalest level at which a route is still used.
type StalenessBound struct {
	Route    string `toml:"route" json:"route"` // of the own file, or namespace/route
	MaxLevel string `toml:"bears" json:"bears"` // of StalenessLevels
}

// StalenessLevels returns how stale the endpoint list of a route can be, the strictest bound first.
func StalenessLevels() []string { return []string{"confirmed", "fresh", "ageing", "doubtful", "blind"} }

// UnreadableFile stands for a file that could not be read or parsed, so that Merge reports it.
func UnreadableFile(name string, err error) *File { return &File{Name: name, readError: err} }

// Parse parses the file of a namespace and checks what needs no declaration. Its errors are a FileError.
func Parse(path string, text []byte) (*File, error) {
	if len(text) > MaxFileBytes {
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

// Rules returns how many rules of all kinds the file has.
func (f *File) Rules() int {
	return len(f.Services) + len(f.Routes) + len(f.Classes) + len(f.Quotas) + len(f.Blocks) + len(f.Overrides) +
		len(f.StalenessBounds)
}

// source is a rule of the file as the source of a value.
func (f *File) source(id string) Source { return Source{f.Name, f.Number, id} }

// sameRules reports whether two files have equal rules.
func (f *File) sameRules(other *File) bool { return maps.Equal(f.ruleTexts, other.ruleTexts) }

// rulesText returns all rules as one text, which orders files of one number.
func (f *File) rulesText() string {
	var text strings.Builder
	for _, id := range slices.Sorted(maps.Keys(f.ruleTexts)) {
		text.WriteString(id + f.ruleTexts[id])
	}
	return text.String()
}

// without returns the file without some of its rules.
func (f *File) without(ids map[string]bool) *File {
	rest := *f
	rest.ruleTexts = map[string]string{}
	for id, text := range f.ruleTexts {
		if !ids[id] {
			rest.ruleTexts[id] = text
		}
	}
	rest.Services = withoutRules(f.Services, ids)
	rest.Routes = withoutRules(f.Routes, ids)
	rest.Classes = withoutRules(f.Classes, ids)
	rest.Quotas = withoutRules(f.Quotas, ids)
	rest.Blocks = withoutRules(f.Blocks, ids)
	rest.Overrides = withoutRules(f.Overrides, ids)
	rest.StalenessBounds = withoutRules(f.StalenessBounds, ids)
	return &rest
}

// rule is a pointer to a rule of a file.
type rule[T any] interface {
	*T
	id() string
}

// withoutRules returns a list without the rules of some IDs.
func withoutRules[T any, P rule[T]](list []T, ids map[string]bool) []T {
	var rest []T
	for i := range list {
		if !ids[P(&list[i]).id()] {
			rest = append(rest, list[i])
		}
	}
	return rest
}

// routeIDPrefix begins the ID of each route.
const routeIDPrefix = "route "

// The ID of a rule is its kind and its name, unique in the file.

func (s *Service) id() string        { return "service " + s.Name }
func (r *Route) id() string          { return routeIDPrefix + r.Name }
func (c *Class) id() string          { return "class " + c.Name }
func (s *QuotaShare) id() string     { return strings.TrimSpace("budget " + s.Quota + " " + s.Namespace) }
func (b *Block) id() string          { return "block " + b.Name }
func (o *Override) id() string       { return "order " + o.Name }
func (b *StalenessBound) id() string { return "staleness " + b.Route }

// targets returns the targets of a route in the form of package route.
func (r *Route) targets() []route.Target {
	var targets []route.Target
	for _, to := range r.To {
		targets = append(targets, route.Target{Service: to.Service, Weight: *to.Weight})
	}
	return targets
}

// contradicts returns the first time at which two overrides contradict each other, if there is one.
func (o *Override) contradicts(other *Override) (time.Time, bool) {
	if o.Server != other.Server || o.Action == other.Action {
		return time.Time{}, false
	}
	from := o.From
	if other.From.After(from) {
		from = other.From
	}
	before := func(until time.Time) bool { return until.IsZero() || from.Before(until) }
	return from, before(o.Until) && before(other.Until)
}

// minimum returns the minimum that a rule sets on a quota; 0 if it sets none.
func (f *File) minimum(id string) int64 {
	for i := range f.Quotas {
		if f.Quotas[i].id() == id {
			return f.Quotas[i].Min
		}
	}
	return 0
}

// countCombinations returns how many combinations of a method, a class and a tenant all routes list.
func (f *File) countCombinations() int {
	sum := 0
	for i := range f.Routes {
		r := &f.Routes[i]
		sum += max(1, len(r.Methods)) * max(1, len(r.Classes)) * max(1, len(r.Tenants))
	}
	return sum
}

package namespace

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"sort"
	"strings"
	"time"

	"lapisspread/internal/route"
	"lapisspread/internal/strictconfig"
)

// File is a file of one namespace. Lists in it are sorted once it is read. Nothing changes it afterwards.
type File struct {
	Version         int              `toml:"version"`   // 1: the form of the file
	Name            string           `toml:"namespace"` // the charter's name for it
	Number          uint64           `toml:"number"`    // of this content; each new one is higher
	Services        []Service        `toml:"service"`
	Routes          []Route          `toml:"route"`
	Classes         []Class          `toml:"class"`
	Quotas          []QuotaShare     `toml:"budget"`
	Blocks          []Block          `toml:"block"`
	Overrides       []Override       `toml:"order"`
	StalenessBounds []StalenessBound `toml:"staleness"`

	path      string
	lines     map[string]int    // lines by key
	ruleTexts map[string]string // what each rule says, by its id: to tell what changed
	ruleKeys  map[string]string // where each rule stands in the file, by its id
	readError error             // it could not be read
}

// Service is where routes lead.
type Service struct {
	Name      string   `toml:"name" json:"name"`
	Discovery string   `toml:"discovery" json:"discovery,omitempty"` // as in the file of services
	Kinds     []string `toml:"kinds" json:"kinds,omitempty"`
	Cells     []int    `toml:"cells" json:"cells,omitempty"`
	Upstream  string   `toml:"upstream" json:"upstream,omitempty"`
	Removed   bool     `toml:"removed" json:"removed,omitempty"` // no route may lead to it any more
}

// Route says where requests lead.
type Route struct {
	Name string `toml:"name" json:"name"`
	Match
	To           []Target `toml:"to" json:"to"`
	Sticky       string   `toml:"sticky" json:"sticky,omitempty"` // key, tenant or request; key if left out
	MaxStaleness string   `toml:"bears" json:"bears,omitempty"`   // the stalest level at which it may still be used; see Levels
}

// Target is a service with its weight.
type Target struct {
	Service string   `toml:"service" json:"service"`
	Weight  *float64 `toml:"weight" json:"weight"` // 1 if left out
}

// Class is settings of a class of requests. What is left out is left to others.
type Class struct {
	Name             string                `toml:"name" json:"name"`
	LatencyObjective strictconfig.Duration `toml:"aim" json:"aim,omitempty"`
	Deadline         strictconfig.Duration `toml:"give_up" json:"give_up,omitempty"`
	Effect           string                `toml:"effect" json:"effect,omitempty"` // safe, or unsafe: must never run twice
	PriorityWeight   *float64              `toml:"worth" json:"worth,omitempty"`
	LateFraction     *float64              `toml:"late" json:"late,omitempty"` // share of the worth that a late answer earns, 0 to 1
}

// QuotaShare is a namespace's part of a budget, in the budget's units; or a cap that it sets on one it delegated to.
type QuotaShare struct {
	Quota     string  `toml:"name" json:"name"`
	Namespace string  `toml:"for" json:"for,omitempty"` // another namespace; its own if left out
	Min       int64   `toml:"min" json:"min,omitempty"`
	Cap       int64   `toml:"cap" json:"cap,omitempty"` // 0 is none
	Weight    float64 `toml:"weight" json:"weight,omitempty"`
}

// Block refuses the requests that match.
type Block struct {
	Name string `toml:"name" json:"name"`
	Match
}

// Override takes a server out of use, or says that it stays in, from one moment until before another.
type Override struct {
	Name   string    `toml:"name" json:"name"`
	Server string    `toml:"server" json:"server"`
	Zone   string    `toml:"zone" json:"zone"`
	Action string    `toml:"do" json:"do"`       // detach or attach
	From   time.Time `toml:"from" json:"from"`   // left out, always so far
	Until  time.Time `toml:"until" json:"until"` // left out, for ever
}

// StalenessBound bounds how stale the view may be at which a route is still used.
type StalenessBound struct {
	Route    string `toml:"route" json:"route"` // of the own file, or namespace/route
	MaxLevel string `toml:"bears" json:"bears"`
}

// StalenessLevels are how stale a view can be, the strictest bound first.
func StalenessLevels() []string { return []string{"confirmed", "fresh", "ageing", "doubtful", "blind"} }

// Bounds on a file.
const (
	MaxFileBytes = 16 << 20
	maxRules     = 50_000
)

// UnreadableFile stands for a file that could not be read or parsed, so that Merge tells its owner.
func UnreadableFile(name string, err error) *File { return &File{Name: name, readError: err} }

// Parse reads the file of a namespace and checks it by itself. Errors are FileError.
func Parse(path string, text []byte) (*File, error) {
	if len(text) > MaxFileBytes {
		return nil, FileError{Path: path, Err: fmt.Errorf("%d bytes; %d are the most", len(text), MaxFileBytes)}
	}
	n := &File{}
	if err := decode(path, text, n); err != nil {
		return nil, err
	}
	n.path, n.lines = path, lines(text)
	if err := n.check(); err != nil {
		return nil, err
	}
	return n, nil
}

// check sorts what has no order, and checks all that needs no charter.
func (n *File) check() error {
	var errs []error
	bad := func(wrong bool, key, format string, args ...any) {
		if wrong {
			errs = append(errs, keyError(n.path, n.lines, key, fmt.Errorf(format, args...)))
		}
	}
	bad(n.Version != FileVersion, "version", "%d; this program reads %d", n.Version, FileVersion)
	bad(!strictconfig.ValidName(n.Name), "namespace", "%q: wanted small letters, digits and dashes", n.Name)
	bad(n.Number == 0, "number", "left out or 0")
	if total := n.Rules(); total > maxRules {
		bad(true, "", "%d rules; %d are the most", total, maxRules)
		return errors.Join(errs...)
	}
	n.ruleTexts, n.ruleKeys = map[string]string{}, map[string]string{}
	enter := func(key, id string, v any) {
		text, err := json.Marshal(v)
		bad(err != nil, key, "%v", err)
		_, twice := n.ruleTexts[id]
		bad(twice, key, "%s is there twice", id)
		n.ruleTexts[id], n.ruleKeys[id] = string(text), key
	}
	level := func(key, l string) {
		bad(!slices.Contains(StalenessLevels(), l), key+".bears", "%q is none of %s", l, strings.Join(StalenessLevels(), ", "))
	}
	match := func(key string, m *Match) {
		err := m.check()
		bad(err != nil, key, "%v", err)
		for _, list := range [][]string{m.Methods, m.Classes, m.Tenants} {
			slices.Sort(list)
		}
	}
	for i := range n.Services {
		s, key := &n.Services[i], fmt.Sprintf("service[%d]", i)
		bad(!strictconfig.ValidName(s.Name), key+".name", "%q: wanted small letters, digits and dashes", s.Name)
		bad(s.Discovery != "" && !strings.Contains(s.Discovery, ":"), key+".discovery", "%q is no host:port", s.Discovery)
		bad(!slices.Contains([]string{"", "http", "diameter"}, s.Upstream), key+".upstream", "%q is neither http nor diameter", s.Upstream)
		slices.Sort(s.Kinds)
		slices.Sort(s.Cells)
		enter(key, "service "+s.Name, s)
	}
	for i := range n.Routes {
		r, key := &n.Routes[i], fmt.Sprintf("route[%d]", i)
		bad(!strictconfig.ValidName(r.Name), key+".name", "%q: wanted small letters, digits and dashes", r.Name)
		match(key, &r.Match)
		bad(!slices.Contains([]string{"", "key", "tenant", "request"}, r.Sticky), key+".sticky", "%q is none of key, tenant, request", r.Sticky)
		if r.MaxStaleness != "" {
			level(key, r.MaxStaleness)
		}
		for k := range r.To {
			if r.To[k].Weight == nil {
				r.To[k].Weight = new(float64)
				*r.To[k].Weight = 1
			}
		}
		slices.SortFunc(r.To, func(a, b Target) int { return strings.Compare(a.Service, b.Service) })
		_, err := route.Compile([]route.Rule{(&Match{}).rule("", r.targets())}, "")
		bad(err != nil, key+".to", "no service, one twice, or weights that are negative or all 0")
		enter(key, "route "+r.Name, r)
	}
	for i := range n.Classes {
		c, key := &n.Classes[i], fmt.Sprintf("class[%d]", i)
		bad(c.Name == "", key+".name", "none is given")
		bad(c.LatencyObjective < 0 || c.Deadline < 0 || c.Deadline > 0 && c.Deadline < c.LatencyObjective, key+".aim", "aim %v and give_up %v: wanted 0 < aim <= give_up",
			time.Duration(c.LatencyObjective), time.Duration(c.Deadline))
		bad(c.Effect != "" && c.Effect != "safe" && c.Effect != "unsafe", key+".effect", "%q is neither safe nor unsafe", c.Effect)
		bad(c.PriorityWeight != nil && !(*c.PriorityWeight >= 0 && !math.IsInf(*c.PriorityWeight, 0)), key+".worth", "out of range")
		bad(c.LateFraction != nil && !(*c.LateFraction >= 0 && *c.LateFraction <= 1), key+".late", "not within 0 and 1")
		enter(key, "class "+c.Name, c)
	}
	for i := range n.Quotas {
		b, key := &n.Quotas[i], fmt.Sprintf("budget[%d]", i)
		if b.Namespace == n.Name {
			b.Namespace = ""
		}
		bad(b.Min < 0 || b.Cap < 0 || b.Cap > 0 && b.Cap < b.Min, key+".min", "min %d and cap %d: wanted 0 <= min <= cap", b.Min, b.Cap)
		bad(!(b.Weight >= 0) || math.IsInf(b.Weight, 0), key+".weight", "%v", b.Weight)
		bad(b.Namespace != "" && (b.Min != 0 || b.Weight != 0), key+".for", "for another namespace only a cap may be set")
		enter(key, strings.TrimSpace("budget "+b.Quota+" "+b.Namespace), b)
	}
	for i := range n.Blocks {
		b, key := &n.Blocks[i], fmt.Sprintf("block[%d]", i)
		bad(!strictconfig.ValidName(b.Name), key+".name", "%q: wanted small letters, digits and dashes", b.Name)
		match(key, &b.Match)
		enter(key, "block "+b.Name, b)
	}
	for i := range n.Overrides {
		o, key := &n.Overrides[i], fmt.Sprintf("order[%d]", i)
		bad(!strictconfig.ValidName(o.Name), key+".name", "%q: wanted small letters, digits and dashes", o.Name)
		bad(o.Server == "" || o.Zone == "", key+".server", "server or zone is not given")
		bad(o.Action != "detach" && o.Action != "attach", key+".do", "%q is neither detach nor attach", o.Action)
		// Danger: a time without offset means another moment on another machine, and so would the policy's hash.
		bad(o.From.Location() == time.Local || o.Until.Location() == time.Local, key+".from",
			"a time needs its offset, as 2026-12-01T06:00:00Z")
		o.From, o.Until = o.From.UTC(), o.Until.UTC()
		bad(!o.Until.IsZero() && !o.From.Before(o.Until), key+".until", "it is not after from")
		enter(key, "order "+o.Name, o)
	}
	for i := range n.StalenessBounds {
		s, key := &n.StalenessBounds[i], fmt.Sprintf("staleness[%d]", i)
		if !strings.Contains(s.Route, "/") {
			s.Route = n.Name + "/" + s.Route
		}
		level(key, s.MaxLevel)
		enter(key, "staleness "+s.Route, s)
	}
	bad(n.combinations() > maxCombinations, "route", "they come to %d combinations of methods, classes and tenants; %d are the most",
		n.combinations(), maxCombinations)
	if len(errs) == 0 {
		errs = n.within()
	}
	return errors.Join(errs...)
}

// within finds what contradicts in the file itself: routes that tie, and orders.
func (n *File) within() (errs []error) {
	rules := make([]route.Rule, len(n.Routes))
	for i := range n.Routes {
		rules[i] = n.Routes[i].Match.rule(n.Routes[i].Name, n.Routes[i].targets())
	}
	if _, err := route.Compile(rules, ""); err != nil {
		// The first that ties is the last of the shortest list that does not compile.
		i := sort.Search(len(rules), func(k int) bool { _, err := route.Compile(rules[:k+1], ""); return err != nil })
		_, what, _ := strings.Cut(err.Error(), ": ")
		what, _, _ = strings.Cut(what, "\n")
		errs = append(errs, keyError(n.path, n.lines, fmt.Sprintf("route[%d]", i), errors.New(what)))
	}
	for i := range n.Overrides {
		for k := range i {
			if _, against := n.Overrides[i].contradicts(&n.Overrides[k]); against {
				err := fmt.Errorf("contradicts order[%d] %q", k, n.Overrides[k].Name)
				errs = append(errs, keyError(n.path, n.lines, fmt.Sprintf("order[%d]", i), err))
			}
		}
	}
	return errs
}

// contradicts tells whether two orders contradict at one moment, and the first such.
func (o *Override) contradicts(p *Override) (time.Time, bool) {
	if o.Server != p.Server || o.Action == p.Action {
		return time.Time{}, false
	}
	from := o.From
	if p.From.After(from) {
		from = p.From
	}
	before := func(until time.Time) bool { return until.IsZero() || from.Before(until) }
	return from, before(o.Until) && before(p.Until)
}

func (r *Route) targets() []route.Target {
	var out []route.Target
	for _, to := range r.To {
		out = append(out, route.Target{Service: to.Service, Weight: *to.Weight})
	}
	return out
}

// Rules is how many rules of all kinds the file has.
func (n *File) Rules() int {
	return len(n.Services) + len(n.Routes) + len(n.Classes) + len(n.Quotas) + len(n.Blocks) + len(n.Overrides) + len(n.StalenessBounds)
}

// same tells whether two files say the same.
func (n *File) same(o *File) bool { return maps.Equal(n.ruleTexts, o.ruleTexts) }

// digest is all that a file says, in one order.
func (n *File) digest() string {
	var b strings.Builder
	for _, id := range slices.Sorted(maps.Keys(n.ruleTexts)) {
		b.WriteString(id + n.ruleTexts[id])
	}
	return b.String()
}

// without gives the file with some of its rules left out.
func (n *File) without(ids map[string]bool) *File {
	c := *n
	c.ruleTexts = map[string]string{}
	for id, text := range n.ruleTexts {
		if !ids[id] {
			c.ruleTexts[id] = text
		}
	}
	c.Services = keep(n.Services, func(s *Service) bool { return !ids[s.id()] })
	c.Routes = keep(n.Routes, func(r *Route) bool { return !ids[r.id()] })
	c.Classes = keep(n.Classes, func(x *Class) bool { return !ids[x.id()] })
	c.Quotas = keep(n.Quotas, func(b *QuotaShare) bool { return !ids[b.id()] })
	c.Blocks = keep(n.Blocks, func(b *Block) bool { return !ids[b.id()] })
	c.Overrides = keep(n.Overrides, func(o *Override) bool { return !ids[o.id()] })
	c.StalenessBounds = keep(n.StalenessBounds, func(s *StalenessBound) bool { return !ids[s.id()] })
	return &c
}

func keep[T any](list []T, ok func(*T) bool) []T {
	var out []T
	for i := range list {
		if ok(&list[i]) {
			out = append(out, list[i])
		}
	}
	return out
}

func (s *Service) id() string        { return "service " + s.Name }
func (r *Route) id() string          { return "route " + r.Name }
func (c *Class) id() string          { return "class " + c.Name }
func (b *QuotaShare) id() string     { return strings.TrimSpace("budget " + b.Quota + " " + b.Namespace) }
func (b *Block) id() string          { return "block " + b.Name }
func (o *Override) id() string       { return "order " + o.Name }
func (s *StalenessBound) id() string { return "staleness " + s.Route }

// outside finds all rules that the namespace may not make under a charter, by their ids.
func (c *Declaration) outside(n *File) map[string]OutsideDomainError {
	out := map[string]OutsideDomainError{}
	seats := c.parts[n.Name]
	check := func(id, setting string, ok func(d *Domain) (string, bool)) {
		what := "it may not set " + setting
		for _, s := range seats {
			if slices.Contains(s.domain.Settings, setting) {
				over, fits := ok(s.domain)
				if fits {
					return
				}
				what = over
			}
		}
		out[id] = OutsideDomainError{n.Name, id, what}
	}
	for i := range n.Services {
		check(n.Services[i].id(), SettingService, func(*Domain) (string, bool) { return "", true })
	}
	for i := range n.Routes {
		r := &n.Routes[i]
		check(r.id(), SettingRoute, func(d *Domain) (string, bool) { return d.holds(&r.Match) })
	}
	for i := range n.Blocks {
		b := &n.Blocks[i]
		check(b.id(), SettingBlock, func(d *Domain) (string, bool) { return d.holds(&b.Match) })
	}
	for i := range n.Classes {
		name := n.Classes[i].Name
		check(n.Classes[i].id(), SettingClass, func(d *Domain) (string, bool) {
			return fmt.Sprintf("class %q", name), len(d.Classes) == 0 || slices.Contains(d.Classes, name)
		})
	}
	for i := range n.Quotas {
		b := &n.Quotas[i]
		check(b.id(), SettingQuota, func(d *Domain) (string, bool) {
			if b.Namespace != "" && !anyOf(c.delegatorsOf(b.Namespace), func(a string) bool { return a == n.Name }) {
				return fmt.Sprintf("it delegates nothing to %q", b.Namespace), false
			}
			_, there := c.limits[b.Quota]
			return fmt.Sprintf("budget %q", b.Quota), there && named(d.Quotas, b.Quota)
		})
	}
	for i := range n.Overrides {
		o := &n.Overrides[i]
		check(o.id(), SettingOverride, func(d *Domain) (string, bool) { return fmt.Sprintf("zone %q", o.Zone), named(d.Zones, o.Zone) })
	}
	for i := range n.StalenessBounds {
		s := &n.StalenessBounds[i]
		check(s.id(), SettingStaleness, func(*Domain) (string, bool) {
			owner, _, _ := strings.Cut(s.Route, "/")
			return fmt.Sprintf("route %s", s.Route), owner == n.Name || slices.Contains(c.delegatorsOf(owner), n.Name)
		})
	}
	return out
}

// delegatorsOf are all namespaces that a namespace has a part of its domain from.
func (c *Declaration) delegatorsOf(name string) []string {
	var out []string
	for _, s := range c.parts[name] {
		out = append(out, s.delegators...)
	}
	return out
}

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

// Namespace is a file of one namespace. Lists in it are sorted once it is read. Nothing changes it afterwards.
type Namespace struct {
	Version   int         `toml:"version"`   // 1: the form of the file
	Name      string      `toml:"namespace"` // the charter's name for it
	Number    uint64      `toml:"number"`    // of this content; each new one is higher
	Services  []Service   `toml:"service"`
	Routes    []Route     `toml:"route"`
	Classes   []Class     `toml:"class"`
	Budgets   []Share     `toml:"budget"`
	Blocks    []Block     `toml:"block"`
	Orders    []Order     `toml:"order"`
	Staleness []Staleness `toml:"staleness"`

	path  string
	where map[string]int    // lines by key
	text  map[string]string // what each rule says, by its id: to tell what changed
	key   map[string]string // where each rule stands in the file, by its id
	bad   error             // it could not be read
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
	To     []Target `toml:"to" json:"to"`
	Sticky string   `toml:"sticky" json:"sticky,omitempty"` // key, tenant or request; key if left out
	Bears  string   `toml:"bears" json:"bears,omitempty"`   // the stalest level at which it may still be used; see Levels
}

// Target is a service with its weight.
type Target struct {
	Service string   `toml:"service" json:"service"`
	Weight  *float64 `toml:"weight" json:"weight"` // 1 if left out
}

// Class is settings of a class of requests. What is left out is left to others.
type Class struct {
	Name   string            `toml:"name" json:"name"`
	Aim    strictconfig.Span `toml:"aim" json:"aim,omitempty"`
	GiveUp strictconfig.Span `toml:"give_up" json:"give_up,omitempty"`
	Effect string            `toml:"effect" json:"effect,omitempty"` // safe, or unsafe: must never run twice
	Worth  *float64          `toml:"worth" json:"worth,omitempty"`
	Late   *float64          `toml:"late" json:"late,omitempty"` // share of the worth that a late answer earns, 0 to 1
}

// Share is a namespace's part of a budget, in the budget's units; or a cap that it sets on one it delegated to.
type Share struct {
	Budget string  `toml:"name" json:"name"`
	For    string  `toml:"for" json:"for,omitempty"` // another namespace; its own if left out
	Min    int64   `toml:"min" json:"min,omitempty"`
	Cap    int64   `toml:"cap" json:"cap,omitempty"` // 0 is none
	Weight float64 `toml:"weight" json:"weight,omitempty"`
}

// Block refuses the requests that match.
type Block struct {
	Name string `toml:"name" json:"name"`
	Match
}

// Order takes a server out of use, or says that it stays in, from one moment until before another.
type Order struct {
	Name   string    `toml:"name" json:"name"`
	Server string    `toml:"server" json:"server"`
	Zone   string    `toml:"zone" json:"zone"`
	Do     string    `toml:"do" json:"do"`       // detach or attach
	From   time.Time `toml:"from" json:"from"`   // left out, always so far
	Until  time.Time `toml:"until" json:"until"` // left out, for ever
}

// Staleness bounds how stale the view may be at which a route is still used.
type Staleness struct {
	Route string `toml:"route" json:"route"` // of the own file, or namespace/route
	Bears string `toml:"bears" json:"bears"`
}

// Levels are how stale a view can be, the strictest bound first.
func Levels() []string { return []string{"confirmed", "fresh", "ageing", "doubtful", "blind"} }

// Bounds on a file.
const (
	MostBytes = 16 << 20
	mostRules = 50_000
)

// Unreadable stands for a file that could not be read or parsed, so that Merge tells its owner.
func Unreadable(name string, err error) *Namespace { return &Namespace{Name: name, bad: err} }

// Parse reads the file of a namespace and checks it by itself. Errors are FileError.
func Parse(path string, text []byte) (*Namespace, error) {
	if len(text) > MostBytes {
		return nil, FileError{Path: path, Err: fmt.Errorf("%d bytes; %d are the most", len(text), MostBytes)}
	}
	n := &Namespace{}
	if err := decode(path, text, n); err != nil {
		return nil, err
	}
	n.path, n.where = path, lines(text)
	if err := n.check(); err != nil {
		return nil, err
	}
	return n, nil
}

// check sorts what has no order, and checks all that needs no charter.
func (n *Namespace) check() error {
	var errs []error
	bad := func(wrong bool, key, format string, args ...any) {
		if wrong {
			errs = append(errs, at(n.path, n.where, key, fmt.Errorf(format, args...)))
		}
	}
	bad(n.Version != Version, "version", "%d; this program reads %d", n.Version, Version)
	bad(!strictconfig.PlainName(n.Name), "namespace", "%q: wanted small letters, digits and dashes", n.Name)
	bad(n.Number == 0, "number", "left out or 0")
	if total := n.Rules(); total > mostRules {
		bad(true, "", "%d rules; %d are the most", total, mostRules)
		return errors.Join(errs...)
	}
	n.text, n.key = map[string]string{}, map[string]string{}
	enter := func(key, id string, v any) {
		text, err := json.Marshal(v)
		bad(err != nil, key, "%v", err)
		_, twice := n.text[id]
		bad(twice, key, "%s is there twice", id)
		n.text[id], n.key[id] = string(text), key
	}
	level := func(key, l string) {
		bad(!slices.Contains(Levels(), l), key+".bears", "%q is none of %s", l, strings.Join(Levels(), ", "))
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
		bad(!strictconfig.PlainName(s.Name), key+".name", "%q: wanted small letters, digits and dashes", s.Name)
		bad(s.Discovery != "" && !strings.Contains(s.Discovery, ":"), key+".discovery", "%q is no host:port", s.Discovery)
		bad(!slices.Contains([]string{"", "http", "diameter"}, s.Upstream), key+".upstream", "%q is neither http nor diameter", s.Upstream)
		slices.Sort(s.Kinds)
		slices.Sort(s.Cells)
		enter(key, "service "+s.Name, s)
	}
	for i := range n.Routes {
		r, key := &n.Routes[i], fmt.Sprintf("route[%d]", i)
		bad(!strictconfig.PlainName(r.Name), key+".name", "%q: wanted small letters, digits and dashes", r.Name)
		match(key, &r.Match)
		bad(!slices.Contains([]string{"", "key", "tenant", "request"}, r.Sticky), key+".sticky", "%q is none of key, tenant, request", r.Sticky)
		if r.Bears != "" {
			level(key, r.Bears)
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
		bad(c.Aim < 0 || c.GiveUp < 0 || c.GiveUp > 0 && c.GiveUp < c.Aim, key+".aim", "aim %v and give_up %v: wanted 0 < aim <= give_up",
			time.Duration(c.Aim), time.Duration(c.GiveUp))
		bad(c.Effect != "" && c.Effect != "safe" && c.Effect != "unsafe", key+".effect", "%q is neither safe nor unsafe", c.Effect)
		bad(c.Worth != nil && !(*c.Worth >= 0 && !math.IsInf(*c.Worth, 0)), key+".worth", "out of range")
		bad(c.Late != nil && !(*c.Late >= 0 && *c.Late <= 1), key+".late", "not within 0 and 1")
		enter(key, "class "+c.Name, c)
	}
	for i := range n.Budgets {
		b, key := &n.Budgets[i], fmt.Sprintf("budget[%d]", i)
		if b.For == n.Name {
			b.For = ""
		}
		bad(b.Min < 0 || b.Cap < 0 || b.Cap > 0 && b.Cap < b.Min, key+".min", "min %d and cap %d: wanted 0 <= min <= cap", b.Min, b.Cap)
		bad(!(b.Weight >= 0) || math.IsInf(b.Weight, 0), key+".weight", "%v", b.Weight)
		bad(b.For != "" && (b.Min != 0 || b.Weight != 0), key+".for", "for another namespace only a cap may be set")
		enter(key, strings.TrimSpace("budget "+b.Budget+" "+b.For), b)
	}
	for i := range n.Blocks {
		b, key := &n.Blocks[i], fmt.Sprintf("block[%d]", i)
		bad(!strictconfig.PlainName(b.Name), key+".name", "%q: wanted small letters, digits and dashes", b.Name)
		match(key, &b.Match)
		enter(key, "block "+b.Name, b)
	}
	for i := range n.Orders {
		o, key := &n.Orders[i], fmt.Sprintf("order[%d]", i)
		bad(!strictconfig.PlainName(o.Name), key+".name", "%q: wanted small letters, digits and dashes", o.Name)
		bad(o.Server == "" || o.Zone == "", key+".server", "server or zone is not given")
		bad(o.Do != "detach" && o.Do != "attach", key+".do", "%q is neither detach nor attach", o.Do)
		// Danger: a time without offset means another moment on another machine, and so would the policy's hash.
		bad(o.From.Location() == time.Local || o.Until.Location() == time.Local, key+".from",
			"a time needs its offset, as 2026-12-01T06:00:00Z")
		o.From, o.Until = o.From.UTC(), o.Until.UTC()
		bad(!o.Until.IsZero() && !o.From.Before(o.Until), key+".until", "it is not after from")
		enter(key, "order "+o.Name, o)
	}
	for i := range n.Staleness {
		s, key := &n.Staleness[i], fmt.Sprintf("staleness[%d]", i)
		if !strings.Contains(s.Route, "/") {
			s.Route = n.Name + "/" + s.Route
		}
		level(key, s.Bears)
		enter(key, "staleness "+s.Route, s)
	}
	bad(n.combinations() > mostCombinations, "route", "they come to %d combinations of methods, classes and tenants; %d are the most",
		n.combinations(), mostCombinations)
	if len(errs) == 0 {
		errs = n.within()
	}
	return errors.Join(errs...)
}

// within finds what contradicts in the file itself: routes that tie, and orders.
func (n *Namespace) within() (errs []error) {
	rules := make([]route.Rule, len(n.Routes))
	for i := range n.Routes {
		rules[i] = n.Routes[i].Match.rule(n.Routes[i].Name, n.Routes[i].targets())
	}
	if _, err := route.Compile(rules, ""); err != nil {
		// The first that ties is the last of the shortest list that does not compile.
		i := sort.Search(len(rules), func(k int) bool { _, err := route.Compile(rules[:k+1], ""); return err != nil })
		_, what, _ := strings.Cut(err.Error(), ": ")
		what, _, _ = strings.Cut(what, "\n")
		errs = append(errs, at(n.path, n.where, fmt.Sprintf("route[%d]", i), errors.New(what)))
	}
	for i := range n.Orders {
		for k := range i {
			if _, against := n.Orders[i].against(&n.Orders[k]); against {
				err := fmt.Errorf("contradicts order[%d] %q", k, n.Orders[k].Name)
				errs = append(errs, at(n.path, n.where, fmt.Sprintf("order[%d]", i), err))
			}
		}
	}
	return errs
}

// against tells whether two orders contradict at one moment, and the first such.
func (o *Order) against(p *Order) (time.Time, bool) {
	if o.Server != p.Server || o.Do == p.Do {
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
func (n *Namespace) Rules() int {
	return len(n.Services) + len(n.Routes) + len(n.Classes) + len(n.Budgets) + len(n.Blocks) + len(n.Orders) + len(n.Staleness)
}

// same tells whether two files say the same.
func (n *Namespace) same(o *Namespace) bool { return maps.Equal(n.text, o.text) }

// digest is all that a file says, in one order.
func (n *Namespace) digest() string {
	var b strings.Builder
	for _, id := range slices.Sorted(maps.Keys(n.text)) {
		b.WriteString(id + n.text[id])
	}
	return b.String()
}

// without gives the file with some of its rules left out.
func (n *Namespace) without(ids map[string]bool) *Namespace {
	c := *n
	c.text = map[string]string{}
	for id, text := range n.text {
		if !ids[id] {
			c.text[id] = text
		}
	}
	c.Services = keep(n.Services, func(s *Service) bool { return !ids[s.id()] })
	c.Routes = keep(n.Routes, func(r *Route) bool { return !ids[r.id()] })
	c.Classes = keep(n.Classes, func(x *Class) bool { return !ids[x.id()] })
	c.Budgets = keep(n.Budgets, func(b *Share) bool { return !ids[b.id()] })
	c.Blocks = keep(n.Blocks, func(b *Block) bool { return !ids[b.id()] })
	c.Orders = keep(n.Orders, func(o *Order) bool { return !ids[o.id()] })
	c.Staleness = keep(n.Staleness, func(s *Staleness) bool { return !ids[s.id()] })
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

func (s *Service) id() string   { return "service " + s.Name }
func (r *Route) id() string     { return "route " + r.Name }
func (c *Class) id() string     { return "class " + c.Name }
func (b *Share) id() string     { return strings.TrimSpace("budget " + b.Budget + " " + b.For) }
func (b *Block) id() string     { return "block " + b.Name }
func (o *Order) id() string     { return "order " + o.Name }
func (s *Staleness) id() string { return "staleness " + s.Route }

// outside finds all rules that the namespace may not make under a charter, by their ids.
func (c *Charter) outside(n *Namespace) map[string]OutsideDomain {
	out := map[string]OutsideDomain{}
	seats := c.seats[n.Name]
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
		out[id] = OutsideDomain{n.Name, id, what}
	}
	for i := range n.Services {
		check(n.Services[i].id(), SetService, func(*Domain) (string, bool) { return "", true })
	}
	for i := range n.Routes {
		r := &n.Routes[i]
		check(r.id(), SetRoute, func(d *Domain) (string, bool) { return d.holds(&r.Match) })
	}
	for i := range n.Blocks {
		b := &n.Blocks[i]
		check(b.id(), SetBlock, func(d *Domain) (string, bool) { return d.holds(&b.Match) })
	}
	for i := range n.Classes {
		name := n.Classes[i].Name
		check(n.Classes[i].id(), SetClass, func(d *Domain) (string, bool) {
			return fmt.Sprintf("class %q", name), len(d.Classes) == 0 || slices.Contains(d.Classes, name)
		})
	}
	for i := range n.Budgets {
		b := &n.Budgets[i]
		check(b.id(), SetBudget, func(d *Domain) (string, bool) {
			if b.For != "" && !anyOf(c.above(b.For), func(a string) bool { return a == n.Name }) {
				return fmt.Sprintf("it delegates nothing to %q", b.For), false
			}
			_, there := c.wholes[b.Budget]
			return fmt.Sprintf("budget %q", b.Budget), there && named(d.Budgets, b.Budget)
		})
	}
	for i := range n.Orders {
		o := &n.Orders[i]
		check(o.id(), SetOrder, func(d *Domain) (string, bool) { return fmt.Sprintf("zone %q", o.Zone), named(d.Zones, o.Zone) })
	}
	for i := range n.Staleness {
		s := &n.Staleness[i]
		check(s.id(), SetStaleness, func(*Domain) (string, bool) {
			owner, _, _ := strings.Cut(s.Route, "/")
			return fmt.Sprintf("route %s", s.Route), owner == n.Name || slices.Contains(c.above(owner), n.Name)
		})
	}
	return out
}

// above are all namespaces that a namespace has a part of its domain from.
func (c *Charter) above(name string) []string {
	var out []string
	for _, s := range c.seats[name] {
		out = append(out, s.above...)
	}
	return out
}

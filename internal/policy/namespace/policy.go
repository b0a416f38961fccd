package namespace

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"lapisspread/internal/processquota"
	"lapisspread/internal/route"
)

// Source is the rule of a namespace that a value comes from.
type Source struct {
	Namespace string `json:"namespace"`
	Number    uint64 `json:"number,omitempty"` // of its file
	Rule      string `json:"rule"`             // kind and name, as "route payouts"
}

func (s Source) String() string { return fmt.Sprintf("%s/%d %s", s.Namespace, s.Number, s.Rule) }

func compareSources(a, b Source) int {
	return cmp.Or(strings.Compare(a.Namespace, b.Namespace), cmp.Compare(a.Number, b.Number), strings.Compare(a.Rule, b.Rule))
}

// Value is a setting with the rules that made it: of several that say the same, all.
type Value[T comparable] struct {
	Value   T        `json:"is"`
	Sources []Source `json:"from"`
}

// join puts what one rule says to what others said: the one that better prefers stays. It is commutative,
// associative and idempotent as long as better is a total order.
func join[T comparable](v *Value[T], is T, from Source, better func(a, b T) bool) *Value[T] {
	switch {
	case v == nil || is != v.Value && better(is, v.Value):
		return &Value[T]{is, []Source{from}}
	case is == v.Value:
		if i, there := slices.BinarySearchFunc(v.Sources, from, compareSources); !there {
			v.Sources = slices.Insert(v.Sources, i, from)
		}
	}
	return v
}

// Policy is the rules of all namespaces, joined. All lists are sorted; it has one encoding.
type Policy struct {
	Format          int                    `json:"form"` // 1
	Services        []PolicyService        `json:"services"`
	Routes          []PolicyRoute          `json:"routes"`
	Classes         []PolicyClass          `json:"classes"`
	Shares          []PolicyShare          `json:"shares"`
	Blocks          []PolicyBlock          `json:"blocks"`
	Overrides       []PolicyOverride       `json:"orders"`
	StalenessBounds []PolicyStalenessBound `json:"staleness"`

	table *route.Table          // of the routes, where the policy was read; nothing changes it then
	files map[string]fileOrigin // that rules come from, likewise
}

// PolicyService is a service that routes may lead to.
type PolicyService struct {
	Service
	Sources []Source `json:"from"`
}

// PolicyRoute is a route under the name namespace/name.
type PolicyRoute struct {
	Route
	Source Source `json:"from"`
}

// PolicyClass is what all say of a class; nil where nobody does.
type PolicyClass struct {
	Name             string                `json:"name"`
	LatencyObjective *Value[time.Duration] `json:"aim,omitempty"`
	Deadline         *Value[time.Duration] `json:"give_up,omitempty"`
	Effect           *Value[string]        `json:"effect,omitempty"`
	PriorityWeight   *Value[float64]       `json:"worth,omitempty"`
	LateFraction     *Value[float64]       `json:"late,omitempty"`
}

// PolicyShare is a namespace's part of a budget, in its units.
type PolicyShare struct {
	Quota     string          `json:"budget"`
	Limit     int64           `json:"whole"`
	Namespace string          `json:"namespace"`
	Min       *Value[int64]   `json:"min,omitempty"`
	Cap       *Value[int64]   `json:"cap,omitempty"`
	Weight    *Value[float64] `json:"weight,omitempty"`
}

// PolicyBlock is a block under the name namespace/name.
type PolicyBlock struct {
	Block
	Source Source `json:"from"`
}

// PolicyOverride is an order under the name namespace/name.
type PolicyOverride struct {
	Override
	Source Source `json:"from"`
}

// PolicyStalenessBound is how stale the view may be at which a route is used.
type PolicyStalenessBound struct {
	Route    string         `json:"route"`
	MaxLevel *Value[string] `json:"bears"`
}

func (n *File) source(id string) Source { return Source{n.Name, n.Number, id} }

func less[T cmp.Ordered](a, b T) bool { return a < b }

// assemble joins namespaces without conflicts; in whichever order they are, the policy is the same.
func assemble(c *Declaration, active []*File) *Policy {
	p := &Policy{Format: 1}
	services := map[string]*PolicyService{}
	classes := map[string]*PolicyClass{}
	shares := map[[2]string]*PolicyShare{}
	bears := map[string]*Value[string]{}
	routes := map[string]bool{}
	stricter := func(a, b string) bool { return slices.Index(StalenessLevels(), a) < slices.Index(StalenessLevels(), b) }
	for _, n := range active {
		for i := range n.Services {
			s := &n.Services[i]
			if s.Removed {
				continue
			}
			have := getOrCreate(services, s.Name)
			have.Service = *s
			have.Sources = append(have.Sources, n.source(s.id()))
		}
		for i := range n.Routes {
			r := n.Routes[i]
			from := n.source(r.id())
			r.Name = n.Name + "/" + r.Name
			routes[r.Name] = true
			if r.MaxStaleness != "" {
				bears[r.Name] = join(bears[r.Name], r.MaxStaleness, from, stricter)
				r.MaxStaleness = ""
			}
			p.Routes = append(p.Routes, PolicyRoute{r, from})
		}
		for i := range n.Classes {
			x := &n.Classes[i]
			from, have := n.source(x.id()), getOrCreate(classes, x.Name)
			have.Name = x.Name
			if x.LatencyObjective > 0 {
				have.LatencyObjective = join(have.LatencyObjective, time.Duration(x.LatencyObjective), from, less)
			}
			if x.Deadline > 0 {
				have.Deadline = join(have.Deadline, time.Duration(x.Deadline), from, less)
			}
			if x.Effect != "" {
				have.Effect = join(have.Effect, x.Effect, from, func(a, b string) bool { return a > b }) // unsafe wins
			}
			if x.PriorityWeight != nil {
				have.PriorityWeight = join(have.PriorityWeight, *x.PriorityWeight, from, less)
			}
			if x.LateFraction != nil {
				have.LateFraction = join(have.LateFraction, *x.LateFraction, from, less)
			}
		}
		for i := range n.Quotas {
			b := &n.Quotas[i]
			who := cmp.Or(b.Namespace, n.Name)
			from, have := n.source(b.id()), getOrCreate(shares, [2]string{b.Quota, who})
			have.Quota, have.Namespace, have.Limit = b.Quota, who, c.limits[b.Quota]
			if b.Cap > 0 {
				have.Cap = join(have.Cap, b.Cap, from, less)
			}
			if b.Min > 0 {
				have.Min = join(have.Min, b.Min, from, less)
			}
			if b.Weight > 0 {
				have.Weight = join(have.Weight, b.Weight, from, less)
			}
		}
		for i := range n.Blocks {
			b := n.Blocks[i]
			from := n.source(b.id())
			b.Name = n.Name + "/" + b.Name
			p.Blocks = append(p.Blocks, PolicyBlock{b, from})
		}
		for i := range n.Overrides {
			o := n.Overrides[i]
			from := n.source(o.id())
			o.Name = n.Name + "/" + o.Name
			p.Overrides = append(p.Overrides, PolicyOverride{o, from})
		}
		for i := range n.StalenessBounds {
			s := &n.StalenessBounds[i]
			bears[s.Route] = join(bears[s.Route], s.MaxLevel, n.source(s.id()), stricter)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(services)) {
		slices.SortFunc(services[name].Sources, compareSources)
		p.Services = append(p.Services, *services[name])
	}
	for _, name := range slices.Sorted(maps.Keys(classes)) {
		p.Classes = append(p.Classes, *classes[name])
	}
	for _, s := range shares {
		p.Shares = append(p.Shares, *s)
	}
	for _, name := range slices.Sorted(maps.Keys(bears)) {
		if routes[name] {
			p.StalenessBounds = append(p.StalenessBounds, PolicyStalenessBound{name, bears[name]})
		}
	}
	slices.SortFunc(p.Shares, func(a, b PolicyShare) int {
		return cmp.Or(strings.Compare(a.Quota, b.Quota), strings.Compare(a.Namespace, b.Namespace))
	})
	slices.SortFunc(p.Routes, func(a, b PolicyRoute) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(p.Blocks, func(a, b PolicyBlock) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(p.Overrides, func(a, b PolicyOverride) int { return strings.Compare(a.Name, b.Name) })
	return p
}

func getOrCreate[K comparable, T any](m map[K]*T, key K) *T {
	v := m[key]
	if v == nil {
		v = new(T)
		m[key] = v
	}
	return v
}

// Encode gives the one encoding of a policy: JSON without blanks, fields in a fixed order, lists sorted.
func (p *Policy) Encode() []byte {
	var b bytes.Buffer
	e := json.NewEncoder(&b)
	e.SetEscapeHTML(false)
	if err := e.Encode(p); err != nil {
		panic(err) // every value was checked as it was read
	}
	return bytes.TrimSuffix(b.Bytes(), []byte("\n"))
}

// Hash names a policy by its content: SHA-256 of its encoding (FIPS 180-4), in hexadecimal. A fast hash would do against
// accidents, but teams that don't trust each other write what is hashed, and a proxy takes up what a hash names.
func (p *Policy) Hash() string {
	sum := sha256.Sum256(p.Encode())
	return hex.EncodeToString(sum[:])
}

// Decode reads an encoding. It must be the very one that Encode gives, and its routes must compile.
func Decode(text []byte) (*Policy, error) {
	p := &Policy{}
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(p); err != nil {
		return nil, fmt.Errorf("policy: %w", err)
	}
	if p.Format != 1 {
		return nil, fmt.Errorf("policy: form %d; this program reads 1", p.Format)
	}
	for i := range p.Routes {
		if err := weighted(&p.Routes[i].Route); err != nil {
			return nil, err
		}
	}
	if !bytes.Equal(p.Encode(), text) {
		return nil, errors.New("policy: not in the one encoding that a policy has")
	}
	if err := p.compile(); err != nil {
		return nil, err
	}
	return p, nil
}

// QuotaShares are the namespaces' shares of a budget in the form of package budget.
func (p *Policy) QuotaShares(name string) map[string]processquota.Share {
	out := map[string]processquota.Share{}
	for _, s := range p.Shares {
		if s.Quota != name {
			continue
		}
		var b processquota.Share
		if s.Min != nil {
			b.Min = s.Min.Value
		}
		if s.Cap != nil {
			b.Cap = s.Cap.Value
		}
		if s.Weight != nil {
			b.Weight = s.Weight.Value
		}
		out[s.Namespace] = b
	}
	return out
}

// Rules are the routes in the form of package route.
func (p *Policy) Rules() []route.Rule {
	out := make([]route.Rule, len(p.Routes))
	for i := range p.Routes {
		out[i] = p.Routes[i].rule()
	}
	return out
}

func (r *PolicyRoute) rule() route.Rule { return r.Match.rule(r.Name, r.targets()) }

// Table gives the compiled routes. Where the policy was read, by Decode, FromTree or With, they are compiled already.
func (p *Policy) Table() (*route.Table, error) {
	if p.table != nil {
		return p.table, nil
	}
	return route.Compile(p.Rules(), "")
}

func (p *Policy) compile() error {
	table, err := p.Table()
	if err != nil {
		return fmt.Errorf("policy: %w", err)
	}
	p.table = table
	return nil
}

// Explanation is what a policy does with a request, and by whose rules.
type Explanation struct {
	Verdict   route.Verdict
	Route     *PolicyRoute // nil if none is found
	Blocks    []PolicyBlock
	Class     *PolicyClass          // nil if nobody says anything of it
	Staleness *PolicyStalenessBound // of the route; nil if nobody says anything of it
	Reasons   []route.Explanation   // why that route, and what became of the others
}

// Explain tells what becomes of a request. It goes through all rules: it is for people, not for requests.
func (p *Policy) Explain(q *route.Request) (Explanation, error) {
	table, err := p.Table()
	if err != nil {
		return Explanation{}, fmt.Errorf("policy: %w", err)
	}
	out := Explanation{Reasons: table.Explain(q)}
	r, v := table.Lookup(q)
	out.Verdict = v
	if r != nil {
		i, _ := slices.BinarySearchFunc(p.Routes, r.Name, func(x PolicyRoute, name string) int { return strings.Compare(x.Name, name) })
		out.Route = &p.Routes[i]
		for k := range p.StalenessBounds {
			if p.StalenessBounds[k].Route == r.Name {
				out.Staleness = &p.StalenessBounds[k]
			}
		}
	}
	for _, b := range p.Blocks {
		one, err := route.Compile([]route.Rule{b.Match.rule(b.Name, []route.Target{{Service: "blocked", Weight: 1}})}, "")
		if err != nil {
			return Explanation{}, fmt.Errorf("policy: %w", err)
		}
		if _, v := one.Lookup(q); v == route.Found {
			out.Blocks = append(out.Blocks, b)
		}
	}
	for i := range p.Classes {
		if p.Classes[i].Name == q.Class {
			out.Class = &p.Classes[i]
		}
	}
	return out, nil
}

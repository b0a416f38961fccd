package namespace

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"lapisspread/internal/operatorerror"
	"lapisspread/internal/route"
)

// The slow search: every request over a small alphabet, through tables of package route that hold one rule each. The alphabet has
// a word that no rule names (f) in each place, so what it does not show does not exist.

var (
	drawnHosts    = []string{"", "a", "*.a", "b.a", "*.b.a", "b"}
	drawnPaths    = []string{"", "=/x", "=/x/", "/", "/x", "/x/y"} // with = it is exact
	drawnMethods  = [][]string{nil, nil, {"GET"}, {"GET", "POST"}, {"POST"}}
	drawnClasses  = [][]string{nil, nil, {"c"}}
	drawnTenants  = [][]string{nil, nil, {"t"}, {"t", "u"}, {"u"}}
	everyRequest  []route.Request
	masks         = map[string][]uint64{}
	ofMatch       = map[*Match][]uint64{} // of one set
	ofDomain      = map[*Domain][]uint64{}
	moments       = 8
	begin         = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	drawnServices = []string{"s", "r"}
)

func init() {
	for _, h := range []string{"a", "b", "f", "b.a", "f.a", "f.b.a"} {
		for _, p := range []string{"/", "/f", "/x", "/x/", "/x/f", "/x/y", "/x/y/f"} {
			for _, m := range []string{"GET", "POST", "f"} {
				for _, c := range []string{"c", "f"} {
					for _, t := range []string{"t", "u", "f"} {
						everyRequest = append(everyRequest, route.Request{Host: h, Path: p, Method: m, Class: c, Tenant: t})
					}
				}
			}
		}
	}
}

// mask is all requests of a match, as package route sees it.
func mask(m *Match) []uint64 {
	if v, there := ofMatch[m]; there {
		return v
	}
	ofMatch[m] = maskOf(m)
	return ofMatch[m]
}

func maskOf(m *Match) []uint64 {
	key := fmt.Sprintf("%+v", *m)
	if v, there := masks[key]; there {
		return v
	}
	table, err := route.Compile([]route.Rule{m.rule("", []route.Target{{Service: "s", Weight: 1}})}, "")
	if err != nil {
		panic(err)
	}
	v := make([]uint64, len(everyRequest)/64+1)
	for i := range everyRequest {
		if _, verdict := table.Lookup(&everyRequest[i]); verdict == route.Found {
			v[i/64] |= 1 << (i % 64)
		}
	}
	masks[key] = v
	return v
}

// common calls f with what is in both, and gives whether there is any.
func common(a, b []uint64) bool {
	for i := range a {
		if a[i]&b[i] != 0 {
			return true
		}
	}
	return false
}

func minus(a, b []uint64) []uint64 {
	out := slices.Clone(a)
	for i := range out {
		out[i] &^= b[i]
	}
	return out
}

func none(a []uint64) bool { return !slices.ContainsFunc(a, func(w uint64) bool { return w != 0 }) }

// domainMasks are the requests of each of a domain's parts.
func domainMask(d *Domain) []uint64 {
	if v, there := ofDomain[d]; there {
		return v
	}
	out := make([]uint64, len(everyRequest)/64+1)
	hosts, paths := d.Hosts, d.PathPrefixes
	if hosts == nil {
		hosts = []string{""}
	}
	if paths == nil {
		paths = []string{""}
	}
	for _, h := range hosts {
		for _, p := range paths {
			for i, w := range maskOf(&Match{Host: h, PathPrefix: p, Classes: d.Classes, Tenants: d.Tenants}) {
				out[i] |= w
			}
		}
	}
	ofDomain[d] = out
	return out
}

// slowUnder tells whether a route stands in what the other delegated, straight or through others, from the charter alone.
func slowUnder(c *Declaration, name, other string, m *Match) bool {
	for _, d := range c.Delegations {
		if d.To != name || !slices.Contains(d.Settings, SettingRoute) || !none(minus(mask(m), domainMask(&d.Domain))) {
			continue
		}
		if d.From == other {
			return true
		}
		if slowUnder(c, d.From, other, m) {
			return true
		}
	}
	return false
}

// goesFirst tells which of two routes package route takes for a request: 1, -1, or 0 if they tie.
func goesFirst(a, b *Route, q *route.Request) int {
	table, err := route.Compile([]route.Rule{a.Match.rule("a", a.targets()), b.Match.rule("b", b.targets())}, "")
	if err != nil {
		return 0
	}
	if r, _ := table.Lookup(q); r.Name == "a" {
		return 1
	}
	return -1
}

// slow finds what Check finds, each as kind and rules.
func slow(c *Declaration, set []*File) map[string]bool {
	clear(ofMatch)
	clear(ofDomain)
	out := map[string]bool{}
	add := func(k ConflictKind, rules ...Source) { out[fmt.Sprint(k, sources(rules...))] = true }
	type one struct {
		n *File
		r *Route
	}
	var routes []one
	var blocks []*Match
	offered, gone := map[string]bool{}, map[string]bool{}
	for _, n := range set {
		for i := range n.Routes {
			routes = append(routes, one{n, &n.Routes[i]})
		}
		for i := range n.Blocks {
			blocks = append(blocks, &n.Blocks[i].Match)
		}
		for i := range n.Services {
			offered[n.Services[i].Name] = true
			gone[n.Services[i].Name] = gone[n.Services[i].Name] || n.Services[i].Removed
		}
	}
	for i, a := range routes {
		left := mask(&a.r.Match)
		for _, m := range blocks {
			left = minus(left, mask(m))
		}
		for k, b := range routes {
			if i == k || !common(mask(&a.r.Match), mask(&b.r.Match)) {
				continue
			}
			var q *route.Request
			for x := range everyRequest {
				if mask(&a.r.Match)[x/64]&mask(&b.r.Match)[x/64]&(1<<(x%64)) != 0 {
					q = &everyRequest[x]
					break
				}
			}
			first := goesFirst(a.r, b.r, q)
			if first < 0 {
				left = minus(left, mask(&b.r.Match))
			}
			if k > i || a.n == b.n {
				continue
			}
			if first == 0 || !(first > 0 && slowUnder(c, a.n.Name, b.n.Name, &a.r.Match) || first < 0 && slowUnder(c, b.n.Name, a.n.Name, &b.r.Match)) &&
				fmt.Sprint(a.r.targets()) != fmt.Sprint(b.r.targets()) {
				add(Contradiction, a.n.source(a.r.id()), b.n.source(b.r.id()))
			}
		}
		if none(left) {
			add(UnreachableRule, a.n.source(a.r.id()))
		}
		for _, to := range a.r.To {
			if !offered[to.Service] || gone[to.Service] {
				add(ServiceRemoved, a.n.source(a.r.id()))
			}
		}
	}
	for i, a := range set {
		for _, b := range set[:i] {
			for x := range a.Overrides {
				for y := range b.Overrides {
					for m := range moments {
						at := begin.Add(time.Duration(m) * time.Hour)
						o, p := &a.Overrides[x], &b.Overrides[y]
						in := func(o *Override) bool { return !at.Before(o.From) && (o.Until.IsZero() || at.Before(o.Until)) }
						if o.Server == p.Server && o.Action != p.Action && in(o) && in(p) {
							add(ContradictoryOverrides, a.source(o.id()), b.source(p.id()))
						}
					}
				}
			}
		}
	}
	var mins []Source
	sum := int64(0)
	for _, n := range set {
		for i := range n.Quotas {
			sum += n.Quotas[i].Min
			mins = append(mins, n.source(n.Quotas[i].id()))
		}
	}
	if sum > c.limits["w"] {
		add(MinimumsExceedLimit, mins...)
	}
	for i := range c.Namespaces {
		for k := range i {
			if slowOverlap(c, c.Namespaces[i].Name, c.Namespaces[k].Name) {
				add(DomainOverlap, Source{Namespace: c.Namespaces[i].Name, Rule: "charter"}, Source{Namespace: c.Namespaces[k].Name, Rule: "charter"})
			}
		}
	}
	return out
}

// slowOverlap walks each part of two domains back to its root: parts that meet must have one of the two on the other's way.
func slowOverlap(c *Declaration, a, b string) bool {
	for _, x := range ways(c, a, nil, nil) {
		for _, y := range ways(c, b, nil, nil) {
			if common(domainMask(x.domain), domainMask(y.domain)) && !slices.Contains(x.delegators, b) && !slices.Contains(y.delegators, a) {
				return true
			}
		}
	}
	return false
}

// ways are a namespace's parts, each with those it came through. A part came through all that its giver's part did, if it lies in that.
func ways(c *Declaration, name string, part *Domain, through []string) (out []domainPart) {
	for i := range c.Namespaces {
		if h := &c.Namespaces[i]; h.Name == name && len(h.Settings) > 0 && (part == nil || none(minus(domainMask(part), domainMask(&h.Domain)))) {
			d := &h.Domain
			if part != nil {
				d = part
			}
			out = append(out, domainPart{d, slices.Clone(through)})
		}
	}
	for i := range c.Delegations {
		d := &c.Delegations[i]
		if d.To != name || part != nil && !none(minus(domainMask(part), domainMask(&d.Domain))) {
			continue
		}
		p := part
		if p == nil {
			p = &d.Domain
		}
		out = append(out, ways(c, d.From, p, append(slices.Clone(through), d.From))...)
	}
	return out
}

// key is a conflict in the slow search's form.
func (c Conflict) key() string {
	rules := c.Rules
	switch c.Kind {
	case UnreachableRule:
		rules = rules[:1]
	case ServiceRemoved:
		rules = slices.DeleteFunc(slices.Clone(rules), func(s Source) bool { return !strings.HasPrefix(s.Rule, "route ") })
	}
	return fmt.Sprint(c.Kind, rules)
}

type drawer struct{ *rand.Rand }

func one[T any](d drawer, list []T) T { return list[d.IntN(len(list))] }

func (d drawer) domain(settings ...string) Domain {
	out := Domain{Quotas: []string{"*"}, Zones: []string{"*"}, Settings: settings}
	if d.IntN(3) > 0 {
		out.Hosts = slices.Compact([]string{one(d, drawnHosts[1:]), one(d, drawnHosts[1:])})
	}
	if d.IntN(3) == 0 {
		out.PathPrefixes = []string{one(d, drawnPaths[3:])}
	}
	if d.IntN(5) == 0 {
		out.Tenants = one(d, drawnTenants[2:])
	}
	return out
}

var drawnNames = []string{"k", "l", "m", "n"}

func (d drawer) charter() *Declaration {
	for {
		c := &Declaration{Version: 1, Quotas: []Quota{{"w", 10}}}
		for i, name := range drawnNames {
			h := DeclaredNamespace{Name: name, Owner: "o"}
			if i == 0 || d.IntN(3) == 0 {
				h.Domain = d.domain("route", "block", "service", "budget", "staleness")
			}
			c.Namespaces = append(c.Namespaces, h)
		}
		for range d.IntN(5) {
			i := d.IntN(3)
			c.Delegations = append(c.Delegations, Delegation{drawnNames[i], drawnNames[i+1+d.IntN(3-i)], d.domain("route", "block", "service", "budget")})
		}
		if c.check("c", nil) == nil {
			// Orders are for all: they need no domain of requests.
			for _, name := range drawnNames {
				c.parts[name] = append(c.parts[name], domainPart{&Domain{Zones: []string{"*"}, Settings: []string{SettingOverride}}, drawnNames})
			}
			return c
		}
	}
}

func (d drawer) match(m *Match) {
	m.Host = one(d, drawnHosts)
	if p := one(d, drawnPaths); strings.HasPrefix(p, "=") {
		m.Path = p[1:]
	} else {
		m.PathPrefix = p
	}
	m.Methods, m.Classes, m.Tenants = slices.Clone(one(d, drawnMethods)), slices.Clone(one(d, drawnClasses)), slices.Clone(one(d, drawnTenants))
}

// file draws a namespace's file that keeps to its domain.
func (d drawer) file(c *Declaration, name string, number uint64) *File {
	n := &File{Version: 1, Name: name, Number: number, path: name}
	for i := range d.IntN(5) {
		r := Route{Name: fmt.Sprint("r", i), To: []Target{{Service: one(d, drawnServices)}}}
		d.match(&r.Match)
		n.Routes = append(n.Routes, r)
	}
	for i := range d.IntN(3) {
		b := Block{Name: fmt.Sprint("b", i)}
		d.match(&b.Match)
		n.Blocks = append(n.Blocks, b)
	}
	if d.IntN(2) == 0 {
		n.Overrides = []Override{{Name: "o", Server: one(d, drawnServices), Zone: "1", Action: one(d, []string{"detach", "attach"}),
			From: begin.Add(time.Duration(d.IntN(4)) * time.Hour), Until: begin.Add(time.Duration(4+d.IntN(3)) * time.Hour)}}
		if d.IntN(2) == 0 {
			n.Overrides[0].Until = n.Overrides[0].From.Add(time.Hour)
		}
	}
	n.Quotas = []QuotaShare{{Quota: "w", Min: int64(1 + d.IntN(4))}}
	for _, s := range drawnServices {
		if name == "k" || d.IntN(4) == 0 {
			n.Services = append(n.Services, Service{Name: s, Removed: d.IntN(20) == 0})
		}
	}
	if n.check() != nil {
		return d.file(c, name, number)
	}
	outside := map[string]bool{}
	for id := range c.outside(n) {
		outside[id] = true
	}
	return n.without(outside)
}

// compareWithSlow tells what a way of checking found too much or too little of a set, or without a request that holds.
func compareWithSlow(c *Declaration, set []*File, found []Conflict) (wrong []string) {
	want, got := slow(c, set), map[string]bool{}
	for _, x := range found {
		if x.Kind == InconsistentDefinition {
			continue // a comparison of texts, with a table test
		}
		got[x.key()] = true
		if !want[x.key()] {
			wrong = append(wrong, "found, but is none: "+x.String())
		}
		if (x.Kind == Contradiction || x.Kind == UnreachableRule) && x.Request == nil {
			wrong = append(wrong, "no request: "+x.String())
		}
		for _, s := range x.Rules {
			for _, n := range set {
				var m *Match
				for i := range n.Routes {
					if n.Routes[i].id() == s.Rule {
						m = &n.Routes[i].Match
					}
				}
				for i := range n.Blocks {
					if n.Blocks[i].id() == s.Rule {
						m = &n.Blocks[i].Match
					}
				}
				if n.Name != s.Namespace || m == nil || x.Kind == UnreachableRule && s != x.Rules[0] && s != x.Rules[1] {
					continue
				}
				table, err := route.Compile([]route.Rule{m.rule("", []route.Target{{Service: "s", Weight: 1}})}, "")
				if err != nil {
					panic(err)
				}
				if _, v := table.Lookup(x.Request); v != route.Found && !(x.Kind == UnreachableRule && len(x.Rules) > 2) {
					wrong = append(wrong, "its request does not match "+s.String()+": "+x.String())
				}
			}
		}
	}
	for key := range want {
		if !got[key] {
			wrong = append(wrong, "not found: "+key)
		}
	}
	return wrong
}

const drawnSets = 1000

// drawSet draws each set once: nothing changes them.
func drawSet(i int) (*Declaration, []*File) {
	if drawn[i].c == nil {
		drawn[i].c, drawn[i].set = drawAnew(i)
	}
	return drawn[i].c, slices.Clone(drawn[i].set)
}

var drawn [drawnSets]struct {
	c   *Declaration
	set []*File
}

func drawAnew(i int) (*Declaration, []*File) {
	d := drawer{rand.New(rand.NewPCG(uint64(i), 24))}
	c := d.charter()
	var set []*File
	for _, name := range drawnNames {
		set = append(set, d.file(c, name, 1))
	}
	return c, set
}

func TestConflictsAreThoseOfTheSlowSearch(t *testing.T) {
	kinds, advices := map[ConflictKind]int{}, map[ConflictKind]string{}
	bad := 0
	for i := range drawnSets {
		c, set := drawSet(i)
		found := Check(c, nil, set)
		for _, x := range found {
			kinds[x.Kind]++
			advices[x.Kind] = operatorerror.AdviceOf(x.Err())
		}
		for _, w := range compareWithSlow(c, set, found) {
			t.Errorf("set %d: %s", i, w)
			if bad++; bad > 10 {
				t.FailNow()
			}
		}
	}
	t.Logf("%d sets: %v", drawnSets, kinds)
	for _, k := range []ConflictKind{Contradiction, ContradictoryOverrides, MinimumsExceedLimit, ServiceRemoved, DomainOverlap, UnreachableRule} {
		if kinds[k] < 20 {
			t.Errorf("%s was drawn %d times only", k, kinds[k])
		}
		for other, text := range advices {
			if text == "" || other != k && text == advices[k] {
				t.Errorf("%s and %s have one advice: %q", k, other, text)
			}
		}
	}
}

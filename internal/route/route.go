// Package route decides which service a request goes to. It is pure: rules are compiled into a table that never
// changes, and looking up allocates nothing.
//
// Precedence is total. Of the rules that match a request, the first by this order wins:
//
//  1. the host: an exact one before a suffix (*.example.org), a longer suffix before a shorter one, any last;
//  2. the path: an exact one before a prefix, a longer prefix before a shorter one, any last;
//  3. what else the rule asks for: a tenant before none, then a class before none, then a method before none.
//
// Two rules that one request could match with none before the other are an error of the rules.
//
// Hosts are compared without port, trailing dot and case (RFC 9110, section 4.2.3). Prefixes hold by segment:
// /pay matches /pay and /pay/x, not /payroll.
package route

import (
	"errors"
	"fmt"
	"math"
	"math/bits"
	"slices"
	"strings"
)

// Rule sends the requests that match it to a service, or splits them over several.
type Rule struct {
	Name       string
	Host       string // exact, or a suffix as *.example.org; empty is any
	Path       string // exact; at most one of Path and PathPrefix is given
	PathPrefix string // by segment; neither is any
	Methods    []string
	Classes    []string
	Tenants    []string
	To         []Target
}

// Target is a service with its part of a rule's requests.
type Target struct {
	Service string
	Weight  float64 // relative to the others; 0 gets nothing
}

// Request is what rules look at.
type Request struct {
	Host, Path, Method, Class, Tenant string
}

// Verdict says how a lookup ended.
type Verdict uint8

// The verdicts.
const (
	Found     Verdict = iota
	NoRoute           // no rule matches (404, RFC 9110, section 15.5.5)
	WrongHost         // no rule is for that host (421, section 15.5.20)
	Unclear           // a path that may be read in two ways (400)
)

func (v Verdict) String() string {
	return [...]string{"found", "no route", "no rule is for that host", "a path that may be read in two ways"}[v]
}

// Table is compiled rules. Any number of goroutines may use it.
type Table struct {
	rules    []Rule
	hosts    map[string]*paths
	suffixes map[string]*paths // by what follows "*."
	any      *paths
	fallback int // the rule that takes what no other matches; -1 is none
}

type paths struct {
	exact, prefix map[string]*leaf
	any           *leaf
}

// leaf is the rules of one host and path. They are found by what else they ask for, most asked for first.
type leaf struct{ asks []asks }

type asks struct {
	flags flags
	rules map[extra]int32
}

type extra struct{ method, class, tenant string }

// flags say what a rule asks for beside host and path. A higher value goes first.
type flags uint8

const (
	byMethod flags = 1 << iota
	byClass
	byTenant
)

// Bounds on rules: a slip should say so, not fill the memory.
const (
	MostRules    = 200_000
	mostExpanded = 2_000_000 // combinations of methods, classes and tenants
	mostHost     = 253       // RFC 1035, section 2.3.4, without the trailing dot
)

// Compile makes a table. Fallback names the service that takes what no rule matches; empty is none. Errors name
// the rule, by its place and name, and all that is wrong is told at once.
func Compile(rules []Rule, fallback string) (*Table, error) {
	if len(rules) > MostRules {
		return nil, fmt.Errorf("%d rules; %d are the most", len(rules), MostRules)
	}
	t := &Table{rules: slices.Clone(rules), hosts: map[string]*paths{}, suffixes: map[string]*paths{}, any: &paths{}, fallback: -1}
	var errs []error
	expanded := 0
	names := map[string]int{}
	for i := range t.rules {
		r := &t.rules[i]
		if first, there := names[r.Name]; there && r.Name != "" {
			errs = append(errs, fmt.Errorf("route[%d] %q: name: route[%d] has it too", i, r.Name, first))
		}
		names[r.Name] = i
		if err := r.check(); err != nil {
			errs = append(errs, fmt.Errorf("route[%d] %q: %w", i, r.Name, err))
			continue
		}
		expanded += max(1, len(r.Methods)) * max(1, len(r.Classes)) * max(1, len(r.Tenants))
		if expanded > mostExpanded {
			return nil, fmt.Errorf("route[%d] %q: the rules come to more than %d combinations of methods, classes and tenants", i, r.Name, mostExpanded)
		}
		if other := t.add(int32(i)); other >= 0 {
			errs = append(errs, fmt.Errorf("route[%d] %q: ties with route[%d] %q: a request can match both, and neither goes before the other",
				i, r.Name, other, t.rules[other].Name))
		}
	}
	if len(errs) > 0 {
		return nil, errors.Join(errs...)
	}
	if fallback != "" {
		t.fallback = len(t.rules)
		t.rules = append(t.rules, Rule{Name: "default", To: []Target{{fallback, 1}}})
	}
	return t, nil
}

func (r *Rule) check() error {
	host := strings.TrimPrefix(r.Host, "*.")
	switch {
	case r.Path != "" && r.PathPrefix != "":
		return errors.New("path and path_prefix are both given")
	case r.Host != "" && !plainHost(host):
		return fmt.Errorf("host: %q is neither a host name in small letters nor *. and one", r.Host)
	case r.Path != "" && !Clear(r.Path):
		return fmt.Errorf("path: %q does not begin with /, or has empty or dot segments", r.Path)
	case r.PathPrefix != "" && (!Clear(r.PathPrefix) || r.PathPrefix != "/" && strings.HasSuffix(r.PathPrefix, "/")):
		return fmt.Errorf("path_prefix: %q does not begin with /, ends with it, or has empty or dot segments", r.PathPrefix)
	case len(r.To) == 0:
		return errors.New("to: no service is named")
	}
	for name, list := range map[string][]string{"methods": r.Methods, "classes": r.Classes, "tenants": r.Tenants} {
		for i, v := range list {
			if v == "" || slices.Contains(list[:i], v) {
				return fmt.Errorf("%s: %q is empty or there twice", name, v)
			}
		}
	}
	sum := 0.0
	for i, to := range r.To {
		if to.Service == "" || !(to.Weight >= 0) || math.IsInf(to.Weight, 0) {
			return fmt.Errorf("to[%d]: service %q with weight %v", i, to.Service, to.Weight)
		}
		if slices.ContainsFunc(r.To[:i], func(o Target) bool { return o.Service == to.Service }) {
			return fmt.Errorf("to[%d]: service %q is there twice", i, to.Service)
		}
		sum += to.Weight
	}
	if sum <= 0 {
		return errors.New("to: all weights are 0")
	}
	return nil
}

func plainHost(h string) bool {
	if h == "" || len(h) > mostHost || strings.HasPrefix(h, ".") || strings.HasSuffix(h, ".") || strings.Contains(h, "..") {
		return false
	}
	for i := range len(h) {
		c := h[i]
		if (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-' && c != '.' && c != '_' {
			return false
		}
	}
	return true
}

// Clear tells whether a path can be read in one way only: it begins with a slash and has neither empty nor dot
// segments (RFC 3986, section 3.3), except that it may end with a slash.
func Clear(path string) bool {
	if path == "" || path[0] != '/' {
		return false
	}
	for start := 1; start < len(path); {
		end := strings.IndexByte(path[start:], '/')
		if end < 0 {
			end = len(path) - start
		}
		segment := path[start : start+end]
		if segment == "" || segment == "." || segment == ".." {
			return false
		}
		start += end + 1
	}
	return true
}

// add enters a rule and gives one that it ties with, or -1.
func (t *Table) add(i int32) int32 {
	r := &t.rules[i]
	p := t.any
	if suffix, wild := strings.CutPrefix(r.Host, "*."); wild {
		p = at(t.suffixes, suffix)
	} else if r.Host != "" {
		p = at(t.hosts, r.Host)
	}
	var l *leaf
	switch {
	case r.Path != "":
		if p.exact == nil {
			p.exact = map[string]*leaf{}
		}
		l = at(p.exact, r.Path)
	case r.PathPrefix != "":
		if p.prefix == nil {
			p.prefix = map[string]*leaf{}
		}
		l = at(p.prefix, r.PathPrefix)
	default:
		if p.any == nil {
			p.any = &leaf{}
		}
		l = p.any
	}
	var f flags
	if len(r.Methods) > 0 {
		f |= byMethod
	}
	if len(r.Classes) > 0 {
		f |= byClass
	}
	if len(r.Tenants) > 0 {
		f |= byTenant
	}
	k, there := slices.BinarySearchFunc(l.asks, f, func(a asks, f flags) int { return int(f) - int(a.flags) })
	if !there {
		l.asks = slices.Insert(l.asks, k, asks{f, map[extra]int32{}})
	}
	m := l.asks[k].rules
	for _, method := range orNone(r.Methods) {
		for _, class := range orNone(r.Classes) {
			for _, tenant := range orNone(r.Tenants) {
				e := extra{method, class, tenant}
				if other, taken := m[e]; taken {
					return other
				}
				m[e] = i
			}
		}
	}
	return -1
}

func at[T any](m map[string]*T, key string) *T {
	v := m[key]
	if v == nil {
		v = new(T)
		m[key] = v
	}
	return v
}

func orNone(list []string) []string {
	if len(list) == 0 {
		return []string{""}
	}
	return list
}

// Lookup finds the rule for a request. It allocates nothing.
func (t *Table) Lookup(q *Request) (*Rule, Verdict) {
	if !Clear(q.Path) {
		return nil, Unclear
	}
	var room [mostHost + 1]byte
	host := hostOf(&room, q.Host)
	known := false
	if p := t.hosts[string(host)]; p != nil {
		known = true
		if i := p.find(q); i >= 0 {
			return &t.rules[i], Found
		}
	}
	if len(t.suffixes) > 0 {
		for rest := host; ; {
			dot := slices.Index(rest, '.')
			if dot < 0 {
				break
			}
			rest = rest[dot+1:]
			if p := t.suffixes[string(rest)]; p != nil {
				known = true
				if i := p.find(q); i >= 0 {
					return &t.rules[i], Found
				}
			}
		}
	}
	if i := t.any.find(q); i >= 0 {
		return &t.rules[i], Found
	}
	if t.fallback >= 0 {
		return &t.rules[t.fallback], Found
	}
	if !known && t.any.empty() {
		return nil, WrongHost
	}
	return nil, NoRoute
}

func (p *paths) empty() bool { return p.any == nil && len(p.exact) == 0 && len(p.prefix) == 0 }

// hostOf writes a host without port, trailing dot and case into room. One that is too long is no host.
func hostOf(room *[mostHost + 1]byte, host string) []byte {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && strings.IndexByte(host[i:], ']') < 0 {
		host = host[:i]
	}
	host = strings.TrimSuffix(host, ".")
	if len(host) > mostHost {
		return nil
	}
	for i := range len(host) {
		c := host[i]
		if c >= 'A' && c <= 'Z' {
			c += 'a' - 'A'
		}
		room[i] = c
	}
	return room[:len(host)]
}

func (p *paths) find(q *Request) int32 {
	if l := p.exact[q.Path]; l != nil {
		if i := l.find(q); i >= 0 {
			return i
		}
	}
	if len(p.prefix) > 0 {
		for rest := q.Path; rest != ""; {
			if rest != "/" {
				rest = strings.TrimSuffix(rest, "/")
			}
			if l := p.prefix[rest]; l != nil {
				if i := l.find(q); i >= 0 {
					return i
				}
			}
			if rest == "/" {
				break
			}
			rest = rest[:strings.LastIndexByte(rest, '/')+1]
		}
	}
	if p.any != nil {
		return p.any.find(q)
	}
	return -1
}

func (l *leaf) find(q *Request) int32 {
	for i := range l.asks {
		a := &l.asks[i]
		var e extra
		if a.flags&byMethod != 0 {
			e.method = q.Method
		}
		if a.flags&byClass != 0 {
			e.class = q.Class
		}
		if a.flags&byTenant != 0 {
			e.tenant = q.Tenant
		}
		if i, there := a.rules[e]; there {
			return i
		}
	}
	return -1
}

// Pick gives the service for a request of a rule, by the hash of what it shall stay by. The same hash gives the
// same service; when a weight grows, hashes move to that service only (weighted rendezvous: Wang and Ravishankar,
// 2005).
func (r *Rule) Pick(hash uint64) string {
	if len(r.To) == 1 {
		return r.To[0].Service
	}
	best, least := "", math.Inf(1)
	for i := range r.To {
		to := &r.To[i]
		if to.Weight <= 0 {
			continue
		}
		u := (float64(mix(hash^nameHash(to.Service))>>11) + 0.5) / (1 << 53)
		if cost := -math.Log(u) / to.Weight; cost < least {
			best, least = to.Service, cost
		}
	}
	return best
}

// mix spreads a hash over all bits (the finaliser of SplitMix64).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// nameHash is FNV-1a, which needs no allocation.
func nameHash(s string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * 1099511628211
	}
	return bits.RotateLeft64(h, 17)
}

// Services are the names of all services that rules send to, sorted.
func (t *Table) Services() []string {
	var names []string
	for i := range t.rules {
		for _, to := range t.rules[i].To {
			names = append(names, to.Service)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// Rules gives how many rules the table holds, without the default.
func (t *Table) Rules() int {
	if t.fallback >= 0 {
		return len(t.rules) - 1
	}
	return len(t.rules)
}

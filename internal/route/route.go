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
	"encoding/binary"
	"errors"
	"fmt"
	"hash/maphash"
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
	Found         Verdict = iota
	NoRoute               // no rule matches (404, RFC 9110, section 15.5.5)
	UnknownHost           // no rule is for that host (421, section 15.5.20)
	AmbiguousPath         // a path that may be read in two ways (400)
)

func (v Verdict) String() string {
	return [...]string{"found", "no route", "no rule is for that host", "a path that may be read in two ways"}[v]
}

// Table is compiled rules. Any number of goroutines may use it.
type Table struct {
	rules    []*Rule
	hosts    sharedMap[string, *hostRules]
	suffixes sharedMap[string, *hostRules] // by what follows "*."
	any      *hostRules
	fallback *Rule // takes what no other matches; nil is none
	expanded int   // combinations of methods, classes and tenants
}

type hostRules struct {
	exact, prefix sharedMap[string, *pathRules]
	any           *pathRules
	by            *revision
}

// pathRules is the rules of one host and path. They are found by what else they ask for, most asked for first.
type pathRules struct {
	groups []ruleGroup
	by     *revision
}

type ruleGroup struct {
	flags criteria
	rules sharedMap[string, *Rule] // by what key gives
}

// key is what a leaf's rules are found by: of one thing that is asked for itself, of several all of them, each but the last with its
// length before it. Room is for several; more is taken if it doesn't do.
func (f criteria) key(method, class, tenant string, room []byte) (one string, several []byte) {
	switch f {
	case 0:
		return "", nil
	case byMethod:
		return method, nil
	case byClass:
		return class, nil
	case byTenant:
		return tenant, nil
	}
	if f&byMethod != 0 {
		room = append(binary.AppendUvarint(room, uint64(len(method))), method...)
	}
	if f&byClass != 0 {
		room = append(binary.AppendUvarint(room, uint64(len(class))), class...)
	}
	if f&byTenant != 0 {
		room = append(room, tenant...)
	}
	return "", room
}

// criteria say what a rule asks for beside host and path. A higher value goes first.
type criteria uint8

const (
	byMethod criteria = 1 << iota
	byClass
	byTenant
)

// Bounds on rules: a slip should say so, not fill the memory.
const (
	MaxRules     = 200_000
	maxExpanded  = 2_000_000 // combinations of methods, classes and tenants
	maxHostBytes = 253       // RFC 1035, section 2.3.4, without the trailing dot
)

// Compile makes a table. Fallback names the service that takes what no rule matches; empty is none. Errors name
// the rule, by its place and name, and all that is wrong is told at once.
func Compile(rules []Rule, fallback string) (*Table, error) {
	if len(rules) > MaxRules {
		return nil, fmt.Errorf("%d rules; %d are the most", len(rules), MaxRules)
	}
	t := &Table{rules: make([]*Rule, len(rules)), any: &hostRules{}}
	e := &revision{}
	var errs []error
	names := map[string]int{}
	places := map[*Rule]int{}
	for i := range rules {
		r := &rules[i]
		t.rules[i] = new(Rule)
		*t.rules[i] = *r
		r = t.rules[i]
		places[r] = i
		if first, there := names[r.Name]; there && r.Name != "" {
			errs = append(errs, fmt.Errorf("route[%d] %q: name: route[%d] has it too", i, r.Name, first))
		}
		names[r.Name] = i
		if err := r.check(); err != nil {
			errs = append(errs, fmt.Errorf("route[%d] %q: %w", i, r.Name, err))
			continue
		}
		t.expanded += r.combinations()
		if t.expanded > maxExpanded {
			return nil, fmt.Errorf("route[%d] %q: the rules come to more than %d combinations of methods, classes and tenants", i, r.Name, maxExpanded)
		}
		if other := t.add(e, r); other != nil {
			errs = append(errs, fmt.Errorf("route[%d] %q: ties with route[%d] %q: a request can match both, and neither goes before the other",
				i, r.Name, places[other], other.Name))
		}
	}
	if len(errs) > 0 {
		return nil, errors.Join(errs...)
	}
	return t.WithFallback(fallback), nil
}

// WithFallback gives the same table with another service for what no rule matches; empty is none.
func (t *Table) WithFallback(fallback string) *Table {
	next := *t
	next.fallback = nil
	if fallback != "" {
		next.fallback = &Rule{Name: "default", To: []Target{{fallback, 1}}}
	}
	return &next
}

// WithChanges gives the table with rules set, by their names, and without those gone. A rule that is there keeps its place, a new one goes
// to the end. The verdicts and errors are those of Compile of the outcome; what did not change is shared. The table stays as it is.
func (t *Table) WithChanges(set []Rule, gone []string) (*Table, error) {
	type change struct {
		rule *Rule // nil: gone
		done bool
	}
	changes := make(map[string]*change, len(set)+len(gone))
	for _, name := range gone {
		changes[name] = &change{}
	}
	var unnamed []*Rule // or with the name of another in set
	for i := range set {
		r := set[i]
		if c := changes[r.Name]; r.Name == "" || c != nil && c.rule != nil {
			unnamed = append(unnamed, &r)
			continue
		}
		changes[r.Name] = &change{rule: &r}
	}
	delete(changes, "")
	next := &Table{rules: make([]*Rule, 0, len(t.rules)+len(set)), hosts: t.hosts.share(), suffixes: t.suffixes.share(), any: t.any,
		fallback: t.fallback, expanded: t.expanded}
	e := &revision{}
	for _, r := range t.rules {
		c := changes[r.Name]
		if c == nil {
			next.rules = append(next.rules, r)
			continue
		}
		if c.rule != nil && !c.done {
			next.rules = append(next.rules, c.rule)
		}
		c.done = true
		next.expanded -= r.combinations()
		next.remove(e, r)
	}
	whole := func() (*Table, error) { // something is wrong: all of it is told as of any rules
		rules := make([]Rule, len(next.rules))
		for i, r := range next.rules {
			rules[i] = *r
		}
		fallback := ""
		if t.fallback != nil {
			fallback = t.fallback.To[0].Service
		}
		return Compile(rules, fallback)
	}
	for i := range set {
		if c := changes[set[i].Name]; c != nil && !c.done {
			next.rules = append(next.rules, c.rule)
			c.done = true
		}
	}
	next.rules = append(next.rules, unnamed...)
	if len(unnamed) > 0 || len(next.rules) > MaxRules {
		return whole()
	}
	for i := range set {
		r := changes[set[i].Name].rule
		if r.check() != nil {
			return whole()
		}
		if next.expanded += r.combinations(); next.expanded > maxExpanded || next.add(e, r) != nil {
			return whole()
		}
	}
	return next, nil
}

// combinations are how many entries a rule has in the table.
func (r *Rule) combinations() int {
	return max(1, len(r.Methods)) * max(1, len(r.Classes)) * max(1, len(r.Tenants))
}

func (r *Rule) check() error {
	host := strings.TrimPrefix(r.Host, "*.")
	switch {
	case r.Path != "" && r.PathPrefix != "":
		return errors.New("path and path_prefix are both given")
	case r.Host != "" && !plainHost(host):
		return fmt.Errorf("host: %q is neither a host name in small letters nor *. and one", r.Host)
	case r.Path != "" && !UnambiguousPath(r.Path):
		return fmt.Errorf("path: %q does not begin with /, or has empty or dot segments", r.Path)
	case r.PathPrefix != "" && (!UnambiguousPath(r.PathPrefix) || r.PathPrefix != "/" && strings.HasSuffix(r.PathPrefix, "/")):
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
	if h == "" || len(h) > maxHostBytes || strings.HasPrefix(h, ".") || strings.HasSuffix(h, ".") || strings.Contains(h, "..") {
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

// UnambiguousPath tells whether a path can be read in one way only: it begins with a slash and has neither empty nor dot
// segments (RFC 3986, section 3.3), except that it may end with a slash.
func UnambiguousPath(path string) bool {
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

// flags say what a rule asks for.
func (r *Rule) flags() criteria {
	var f criteria
	if len(r.Methods) > 0 {
		f |= byMethod
	}
	if len(r.Classes) > 0 {
		f |= byClass
	}
	if len(r.Tenants) > 0 {
		f |= byTenant
	}
	return f
}

// leafOf is the rules of a rule's host and path, for an edit to change.
func (t *Table) leafOf(e *revision, r *Rule) *pathRules {
	own := func(p *hostRules) *hostRules {
		switch {
		case p == nil:
			return &hostRules{by: e}
		case p.by != e:
			return &hostRules{p.exact.share(), p.prefix.share(), p.any, e}
		}
		return p
	}
	var p *hostRules
	if suffix, wild := strings.CutPrefix(r.Host, "*."); wild {
		old, _ := t.suffixes.get(suffix, hashOfString)
		if p = own(old); p != old {
			t.suffixes.set(e, suffix, p, hashOfString)
		}
	} else if r.Host != "" {
		old, _ := t.hosts.get(r.Host, hashOfString)
		if p = own(old); p != old {
			t.hosts.set(e, r.Host, p, hashOfString)
		}
	} else {
		p = own(t.any)
		t.any = p
	}
	in := func(m *sharedMap[string, *pathRules], path string) *pathRules {
		old, _ := m.get(path, hashOfString)
		l := old.own(e)
		if l != old {
			m.set(e, path, l, hashOfString)
		}
		return l
	}
	switch {
	case r.Path != "":
		return in(&p.exact, r.Path)
	case r.PathPrefix != "":
		return in(&p.prefix, r.PathPrefix)
	}
	p.any = p.any.own(e)
	return p.any
}

// own gives a leaf for an edit to change.
func (l *pathRules) own(e *revision) *pathRules {
	switch {
	case l == nil:
		return &pathRules{by: e}
	case l.by == e:
		return l
	}
	next := &pathRules{make([]ruleGroup, len(l.groups)), e}
	for i := range l.groups {
		next.groups[i] = ruleGroup{l.groups[i].flags, l.groups[i].rules.share()}
	}
	return next
}

// keys calls f with the key of each combination that a rule asks for, until f says no.
func (r *Rule) keys(f func(string) bool) {
	flags := r.flags()
	var room []byte
	for _, method := range orNone(r.Methods) {
		for _, class := range orNone(r.Classes) {
			for _, tenant := range orNone(r.Tenants) {
				one, several := flags.key(method, class, tenant, room[:0])
				if several != nil {
					one, room = string(several), several
				}
				if !f(one) {
					return
				}
			}
		}
	}
}

func (l *pathRules) place(f criteria) (int, bool) {
	return slices.BinarySearchFunc(l.groups, f, func(a ruleGroup, f criteria) int { return int(f) - int(a.flags) })
}

// add enters a rule and gives one that it ties with, or nil.
func (t *Table) add(e *revision, r *Rule) (tie *Rule) {
	l, f := t.leafOf(e, r), r.flags()
	k, there := l.place(f)
	if !there {
		l.groups = slices.Insert(l.groups, k, ruleGroup{flags: f})
	}
	m := &l.groups[k].rules
	r.keys(func(key string) bool {
		if tie, _ = m.get(key, hashOfString); tie == nil {
			m.set(e, key, r, hashOfString)
		}
		return tie == nil
	})
	return tie
}

// remove takes a rule out that is there, and what is empty without it.
func (t *Table) remove(e *revision, r *Rule) {
	l, f := t.leafOf(e, r), r.flags()
	k, _ := l.place(f)
	m := &l.groups[k].rules
	r.keys(func(key string) bool {
		m.remove(e, key, hashOfString)
		return true
	})
	if m.n > 0 {
		return
	}
	if l.groups = slices.Delete(l.groups, k, k+1); len(l.groups) > 0 {
		return
	}
	hosts, host := &t.hosts, r.Host
	p := t.any
	if suffix, wild := strings.CutPrefix(r.Host, "*."); wild {
		hosts, host = &t.suffixes, suffix
	}
	if r.Host != "" {
		p, _ = hosts.get(host, hashOfString)
	}
	switch {
	case r.Path != "":
		p.exact.remove(e, r.Path, hashOfString)
	case r.PathPrefix != "":
		p.prefix.remove(e, r.PathPrefix, hashOfString)
	default:
		p.any = nil
	}
	if r.Host != "" && p.empty() {
		hosts.remove(e, host, hashOfString)
	}
}

func orNone(list []string) []string {
	if len(list) == 0 {
		return []string{""}
	}
	return list
}

// Lookup finds the rule for a request. It allocates nothing.
func (t *Table) Lookup(q *Request) (*Rule, Verdict) {
	if !UnambiguousPath(q.Path) {
		return nil, AmbiguousPath
	}
	var room [maxHostBytes + 1]byte
	host := hostOf(&room, q.Host)
	known := false
	if p := hostAt(&t.hosts, host); p != nil {
		known = true
		if r := p.find(q); r != nil {
			return r, Found
		}
	}
	if t.suffixes.n > 0 {
		for rest := host; ; {
			dot := slices.Index(rest, '.')
			if dot < 0 {
				break
			}
			rest = rest[dot+1:]
			if p := hostAt(&t.suffixes, rest); p != nil {
				known = true
				if r := p.find(q); r != nil {
					return r, Found
				}
			}
		}
	}
	if r := t.any.find(q); r != nil {
		return r, Found
	}
	if t.fallback != nil {
		return t.fallback, Found
	}
	if !known && t.any.empty() {
		return nil, UnknownHost
	}
	return nil, NoRoute
}

func (p *hostRules) empty() bool { return p.any == nil && p.exact.n == 0 && p.prefix.n == 0 }

// hostAt is get for a host, which is no string yet.
func hostAt(s *sharedMap[string, *hostRules], host []byte) *hostRules {
	switch len(s.parts) {
	case 0:
		return nil
	case 1:
		return s.parts[0][string(host)]
	}
	return s.parts[maphash.Bytes(seed, host)&uint64(len(s.parts)-1)][string(host)]
}

// leafAt is get for a path, without a call in the way where there is one part.
func leafAt(s *sharedMap[string, *pathRules], path string) *pathRules {
	switch len(s.parts) {
	case 0:
		return nil
	case 1:
		return s.parts[0][path]
	}
	return s.parts[maphash.String(seed, path)&uint64(len(s.parts)-1)][path]
}

// hostOf writes a host without port, trailing dot and case into room. One that is too long is no host.
func hostOf(room *[maxHostBytes + 1]byte, host string) []byte {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && strings.IndexByte(host[i:], ']') < 0 {
		host = host[:i]
	}
	host = strings.TrimSuffix(host, ".")
	if len(host) > maxHostBytes {
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

func (p *hostRules) find(q *Request) *Rule {
	if l := leafAt(&p.exact, q.Path); l != nil {
		if r := l.find(q); r != nil {
			return r
		}
	}
	if p.prefix.n > 0 {
		for rest := q.Path; rest != ""; {
			if rest != "/" {
				rest = strings.TrimSuffix(rest, "/")
			}
			if l := leafAt(&p.prefix, rest); l != nil {
				if r := l.find(q); r != nil {
					return r
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
	return nil
}

func (l *pathRules) find(q *Request) *Rule {
	var room [128]byte
	for i := range l.groups {
		a := &l.groups[i]
		one, several := a.flags.key(q.Method, q.Class, q.Tenant, room[:0])
		part := a.rules.parts[0] // there is one: no rule, no asks
		if n := len(a.rules.parts); n > 1 {
			if several != nil {
				part = a.rules.parts[maphash.Bytes(seed, several)&uint64(n-1)]
			} else {
				part = a.rules.parts[maphash.String(seed, one)&uint64(n-1)]
			}
		}
		var r *Rule
		if several != nil {
			r = part[string(several)]
		} else {
			r = part[one]
		}
		if r != nil {
			return r
		}
	}
	return nil
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
	all := t.rules
	if t.fallback != nil {
		all = append(slices.Clip(all), t.fallback)
	}
	for _, r := range all {
		for _, to := range r.To {
			names = append(names, to.Service)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// RuleCount gives how many rules the table holds, without the default.
func (t *Table) RuleCount() int { return len(t.rules) }

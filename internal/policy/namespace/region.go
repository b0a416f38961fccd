package namespace

import (
	"fmt"
	"slices"
	"strings"

	"lapisspread/internal/route"
)

// Match is which requests a rule is for, in the language of package route. A list left out is any.
type Match struct {
	Host       string   `toml:"host" json:"host,omitempty"`
	Path       string   `toml:"path" json:"path,omitempty"`
	PathPrefix string   `toml:"path_prefix" json:"path_prefix,omitempty"`
	Methods    []string `toml:"methods" json:"methods,omitempty"`
	Classes    []string `toml:"classes" json:"classes,omitempty"`
	Tenants    []string `toml:"tenants" json:"tenants,omitempty"`
}

// The sets of hosts that a pattern can stand for are nested or apart, never across, and so are the sets of paths. So
// the meet of two patterns is the inner one of the two, and no case has to be sampled.

// hostWithin tells whether every host of pattern a is one of pattern b. Empty is any host.
func hostWithin(a, b string) bool {
	if b == "" || a == b {
		return true
	}
	suffix, wild := strings.CutPrefix(b, "*")
	return wild && a != "" && strings.HasSuffix(a, suffix) && a != b
}

func hostMeet(a, b string) (string, bool) {
	switch {
	case hostWithin(a, b):
		return a, true
	case hostWithin(b, a):
		return b, true
	}
	return "", false
}

// pathPattern is a pattern of paths: one path, or all under a prefix by segment. "/" as a prefix is any.
type pathPattern struct {
	path  string
	exact bool
}

func (m *Match) place() pathPattern {
	switch {
	case m.Path != "":
		return pathPattern{m.Path, true}
	case m.PathPrefix != "":
		return pathPattern{m.PathPrefix, false}
	}
	return pathPattern{"/", false}
}

func (a pathPattern) within(b pathPattern) bool {
	if b.exact {
		return a == b
	}
	return b.path == "/" || a.path == b.path || strings.HasPrefix(a.path, b.path+"/")
}

func placeMeet(a, b pathPattern) (pathPattern, bool) {
	switch {
	case a.within(b):
		return a, true
	case b.within(a):
		return b, true
	}
	return pathPattern{}, false
}

// listWithin tells whether each value of a is one of b. An empty list is any value, of which there is no end.
func listWithin(a, b []string) bool {
	if len(b) == 0 {
		return true
	}
	return len(a) > 0 && !slices.ContainsFunc(a, func(v string) bool { return !slices.Contains(b, v) })
}

// listMeet gives the least value that both lists have; any is true if both are any.
func listMeet(a, b []string) (least string, any, some bool) {
	switch {
	case len(a) == 0 && len(b) == 0:
		return "", true, true
	case len(a) == 0:
		return slices.Min(b), false, true
	case len(b) == 0:
		return slices.Min(a), false, true
	}
	for _, v := range a {
		if slices.Contains(b, v) && (!some || v < least) {
			least, some = v, true
		}
	}
	return least, false, some
}

// meet writes out a request that both match, if there is one.
func (m *Match) meet(o *Match) (route.Request, bool) {
	host, ok := hostMeet(m.Host, o.Host)
	if !ok {
		return route.Request{}, false
	}
	p, ok := placeMeet(m.place(), o.place())
	if !ok {
		return route.Request{}, false
	}
	var q route.Request
	for _, d := range []struct {
		a, b  []string
		into  *string
		spare string
	}{{m.Methods, o.Methods, &q.Method, "GET"}, {m.Classes, o.Classes, &q.Class, "any"}, {m.Tenants, o.Tenants, &q.Tenant, "any"}} {
		v, any, some := listMeet(d.a, d.b)
		if !some {
			return route.Request{}, false
		}
		if any {
			v = d.spare
		}
		*d.into = v
	}
	q.Host, q.Path = writtenOut(host, "any"), p.path
	return q, true
}

// writtenOut is a host of a pattern: label is put where the pattern leaves one open.
func writtenOut(pattern, label string) string {
	switch {
	case pattern == "":
		return label + ".invalid" // RFC 2606, section 2
	case strings.HasPrefix(pattern, "*."):
		return label + pattern[1:]
	}
	return pattern
}

// matches tells whether a request is one of m's. The host has neither port nor capitals.
func (m *Match) matches(q *route.Request) bool {
	has := func(list []string, v string) bool { return len(list) == 0 || slices.Contains(list, v) }
	return hostWithin(q.Host, m.Host) && (pathPattern{q.Path, true}).within(m.place()) &&
		has(m.Methods, q.Method) && has(m.Classes, q.Class) && has(m.Tenants, q.Tenant)
}

// covers tells whether each request of o is one of m's.
func (m *Match) covers(o *Match) bool {
	return hostWithin(o.Host, m.Host) && o.place().within(m.place()) &&
		listWithin(o.Methods, m.Methods) && listWithin(o.Classes, m.Classes) && listWithin(o.Tenants, m.Tenants)
}

// rank is a rule's place in the total precedence of package route: more goes first, field by field.
func (m *Match) rank() [3]int {
	var k [3]int
	if suffix, wild := strings.CutPrefix(m.Host, "*."); wild {
		k[0] = 1 + len(suffix)
	} else if m.Host != "" {
		k[0] = 1 << 20
	}
	switch {
	case m.Path != "":
		k[1] = 1 << 30
	case m.PathPrefix != "":
		k[1] = 1 + len(m.PathPrefix)
	}
	for i, list := range [][]string{m.Methods, m.Classes, m.Tenants} {
		if len(list) > 0 {
			k[2] |= 1 << i
		}
	}
	return k
}

// check tells what makes a match no match, in package route's words.
func (m *Match) check() error {
	_, err := route.Compile([]route.Rule{m.rule("", []route.Target{{Service: "x", Weight: 1}})}, "")
	if err != nil {
		_, what, _ := strings.Cut(err.Error(), ": ")
		return fmt.Errorf("%s", what)
	}
	return nil
}

func (m *Match) rule(name string, to []route.Target) route.Rule {
	return route.Rule{Name: name, Host: m.Host, Path: m.Path, PathPrefix: m.PathPrefix, Methods: m.Methods, Classes: m.Classes,
		Tenants: m.Tenants, To: to}
}

// Domain is over what a namespace may speak. Of requests: hosts, path prefixes, classes and tenants, where a list left
// out is any. Of the rest a list left out is none, and "*" is any.
type Domain struct {
	Hosts        []string `toml:"hosts"`
	PathPrefixes []string `toml:"path_prefixes"`
	Classes      []string `toml:"classes"`
	Tenants      []string `toml:"tenants"`
	Quotas       []string `toml:"budgets"`
	Zones        []string `toml:"zones"`
	Settings     []string `toml:"settings"` // of Settings()
}

// The settings that a domain may name.
const (
	SettingRoute     = "route"     // where requests lead: the owner alone
	SettingClass     = "class"     // settings of classes: aim, give_up, effect and late the strictest, worth the owner alone
	SettingQuota     = "budget"    // minimums sum within the whole, caps the strictest, weights the owner alone
	SettingBlock     = "block"     // all of them
	SettingOverride  = "order"     // all of them, unless two contradict
	SettingStaleness = "staleness" // the strictest
	SettingService   = "service"   // the owner alone
)

// Settings are the names of all settings.
func Settings() []string {
	return []string{SettingBlock, SettingQuota, SettingClass, SettingOverride, SettingRoute, SettingService, SettingStaleness}
}

func (d *Domain) check() error {
	for _, h := range d.Hosts {
		if err := (&Match{Host: h}).check(); err != nil || h == "" {
			return fmt.Errorf("hosts: %q is no host, nor *. and one", h)
		}
	}
	for _, p := range d.PathPrefixes {
		if err := (&Match{PathPrefix: p}).check(); err != nil || p == "" {
			return fmt.Errorf("path_prefixes: %q is no prefix by segment", p)
		}
	}
	for _, s := range d.Settings {
		if !slices.Contains(Settings(), s) {
			return fmt.Errorf("settings: %q is none of %s", s, strings.Join(Settings(), ", "))
		}
	}
	for _, list := range [][]string{d.Classes, d.Tenants, d.Quotas, d.Zones} {
		if slices.Contains(list, "") {
			return fmt.Errorf("classes, tenants, budgets or zones: one is empty")
		}
	}
	return nil
}

func anyOf(list []string, ok func(string) bool) bool {
	return slices.ContainsFunc(list, ok)
}

// holds tells whether all requests of a match are the domain's; if not, by what.
func (d *Domain) holds(m *Match) (string, bool) {
	p := m.place()
	switch {
	case len(d.Hosts) > 0 && !anyOf(d.Hosts, func(h string) bool { return hostWithin(m.Host, h) }):
		return fmt.Sprintf("host %q", m.Host), false
	case len(d.PathPrefixes) > 0 && !anyOf(d.PathPrefixes, func(x string) bool { return p.within(pathPattern{x, false}) }):
		return fmt.Sprintf("path %q", p.path), false
	case !listWithin(m.Classes, d.Classes):
		return fmt.Sprintf("classes %q", m.Classes), false
	case !listWithin(m.Tenants, d.Tenants):
		return fmt.Sprintf("tenants %q", m.Tenants), false
	}
	return "", true
}

// named tells whether a name is in a list of budgets or zones.
func named(list []string, name string) bool {
	return slices.Contains(list, name) || slices.Contains(list, "*")
}

// within tells whether all that d may say o may too; if not, what is over.
func (d *Domain) within(o *Domain) (string, bool) {
	hosts, paths := d.Hosts, d.PathPrefixes
	if len(hosts) == 0 {
		hosts = []string{""}
	}
	if len(paths) == 0 {
		paths = []string{"/"}
	}
	for _, h := range hosts {
		for _, p := range paths {
			if what, ok := o.holds(&Match{Host: h, PathPrefix: p, Classes: d.Classes, Tenants: d.Tenants}); !ok {
				return what, false
			}
		}
	}
	for _, l := range []struct {
		what string
		a, b []string
	}{{"budget", d.Quotas, o.Quotas}, {"zone", d.Zones, o.Zones}, {"setting", d.Settings, o.Settings}} {
		for _, v := range l.a {
			if !named(l.b, v) {
				return fmt.Sprintf("%s %q", l.what, v), false
			}
		}
	}
	return "", true
}

// meet tells the settings that both domains have on one and the same thing, with a request where it is of requests.
func (d *Domain) meet(o *Domain) (settings []string, q *route.Request) {
	both := func(s string) bool { return slices.Contains(d.Settings, s) && slices.Contains(o.Settings, s) }
	if r, ok := d.meetRequests(o); ok {
		for _, s := range []string{SettingBlock, SettingRoute, SettingStaleness} {
			if both(s) {
				settings, q = append(settings, s), &r
			}
		}
	}
	if _, _, some := listMeet(d.Classes, o.Classes); some && both(SettingClass) {
		settings = append(settings, SettingClass)
	}
	zones := func(a, b []string) bool { return anyOf(a, func(z string) bool { return named(b, z) }) }
	if both(SettingOverride) && (zones(d.Zones, o.Zones) || zones(o.Zones, d.Zones)) {
		settings = append(settings, SettingOverride)
	}
	slices.Sort(settings)
	return settings, q
}

func (d *Domain) meetRequests(o *Domain) (route.Request, bool) {
	each := func(list []string, none string, f func(string) bool) bool {
		if len(list) == 0 {
			return f(none)
		}
		return slices.ContainsFunc(list, f)
	}
	var host string
	if !each(d.Hosts, "", func(a string) bool {
		return each(o.Hosts, "", func(b string) bool { h, ok := hostMeet(a, b); host = h; return ok })
	}) {
		return route.Request{}, false
	}
	var p pathPattern
	if !each(d.PathPrefixes, "/", func(a string) bool {
		return each(o.PathPrefixes, "/", func(b string) bool {
			m, ok := placeMeet(pathPattern{a, false}, pathPattern{b, false})
			p = m
			return ok
		})
	}) {
		return route.Request{}, false
	}
	x := Match{Host: host, PathPrefix: p.path, Classes: d.Classes, Tenants: d.Tenants}
	y := Match{Classes: o.Classes, Tenants: o.Tenants}
	return x.meet(&y)
}

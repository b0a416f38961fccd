package namespace

import (
	"errors"
	"slices"
	"strings"

	"lapisspread/internal/route"
)

// The set of hosts of one pattern contains, or is disjoint from, that of any other pattern; so it is with paths. The
// intersection of two patterns is therefore the inner one, and conflicts are found without sampling requests.

// Values of a request where a match leaves them open.
const (
	exampleMethod = "GET"
	exampleValue  = "any"
)

// Precedence of exact patterns, above that of any wildcard or prefix.
const (
	exactHostPrecedence = 1 << 20
	exactPathPrecedence = 1 << 30
)

// Match is the requests that a rule is for, as package route defines them. An empty list is any value.
type Match struct {
	Host       string   `toml:"host" json:"host,omitempty"`
	Path       string   `toml:"path" json:"path,omitempty"`
	PathPrefix string   `toml:"path_prefix" json:"path_prefix,omitempty"`
	Methods    []string `toml:"methods" json:"methods,omitempty"`
	Classes    []string `toml:"classes" json:"classes,omitempty"`
	Tenants    []string `toml:"tenants" json:"tenants,omitempty"`
}

// lists returns the lists of a match.
func (m *Match) lists() [3][]string { return [...][]string{m.Methods, m.Classes, m.Tenants} }

// validate returns what is wrong with a match, in the words of package route.
func (m *Match) validate() error {
	_, err := route.Compile([]route.Rule{m.probeRule("")}, "")
	if err == nil {
		return nil
	}
	_, fault, _ := strings.Cut(err.Error(), ": ")
	return errors.New(fault)
}

// probeRule is a rule for the match that leads to a service of no matter.
func (m *Match) probeRule(name string) route.Rule {
	return m.rule(name, []route.Target{{Service: "x", Weight: 1}})
}

func (m *Match) rule(name string, targets []route.Target) route.Rule {
	return route.Rule{
		Name:       name,
		Host:       m.Host,
		Path:       m.Path,
		PathPrefix: m.PathPrefix,
		Methods:    m.Methods,
		Classes:    m.Classes,
		Tenants:    m.Tenants,
		To:         targets,
	}
}

// intersect returns a request that both match, if there is one.
func (m *Match) intersect(other *Match) (route.Request, bool) {
	host, ok := hostIntersection(m.Host, other.Host)
	if !ok {
		return route.Request{}, false
	}
	path, ok := pathIntersection(m.pathPattern(), other.pathPattern())
	if !ok {
		return route.Request{}, false
	}
	method, ok := commonValue(m.Methods, other.Methods, exampleMethod)
	if !ok {
		return route.Request{}, false
	}
	class, ok := commonValue(m.Classes, other.Classes, exampleValue)
	if !ok {
		return route.Request{}, false
	}
	tenant, ok := commonValue(m.Tenants, other.Tenants, exampleValue)
	if !ok {
		return route.Request{}, false
	}
	return route.Request{
		Host: exampleHost(host, exampleValue), Path: path.path, Method: method, Class: class, Tenant: tenant,
	}, true
}

// contains reports whether each request of other matches m.
func (m *Match) contains(other *Match) bool {
	return hostWithin(other.Host, m.Host) && other.pathPattern().within(m.pathPattern()) &&
		listWithin(other.Methods, m.Methods) && listWithin(other.Classes, m.Classes) &&
		listWithin(other.Tenants, m.Tenants)
}

// precedence orders rules as package route does: compared field by field, the higher one is looked at first. The
// fields are the host, the path, and which lists are given, one bit each.
func (m *Match) precedence() [3]int {
	var p [3]int
	if suffix, wildcard := strings.CutPrefix(m.Host, "*."); wildcard {
		p[0] = 1 + len(suffix)
	} else if m.Host != "" {
		p[0] = exactHostPrecedence
	}
	switch {
	case m.Path != "":
		p[1] = exactPathPrecedence
	case m.PathPrefix != "":
		p[1] = 1 + len(m.PathPrefix)
	}
	for i, list := range m.lists() {
		if len(list) > 0 {
			p[2] |= 1 << i
		}
	}
	return p
}

// hostWithin reports whether every host of one pattern is one of another. An empty pattern is any host.
func hostWithin(inner, outer string) bool {
	if outer == "" || inner == outer {
		return true
	}
	suffix, wildcard := strings.CutPrefix(outer, "*")
	return wildcard && inner != "" && strings.HasSuffix(inner, suffix)
}

func hostIntersection(a, b string) (string, bool) {
	switch {
	case hostWithin(a, b):
		return a, true
	case hostWithin(b, a):
		return b, true
	}
	return "", false
}

// exampleHost is a host of a pattern, with a label where the pattern leaves one open.
func exampleHost(pattern, label string) string {
	switch {
	case pattern == "":
		return label + ".invalid" // RFC 2606, section 2
	case strings.HasPrefix(pattern, "*."):
		return label + pattern[1:]
	}
	return pattern
}

// pathPattern is one path, or all paths under a prefix by segment. The prefix "/" is any path.
type pathPattern struct {
	path  string
	exact bool
}

func (m *Match) pathPattern() pathPattern {
	switch {
	case m.Path != "":
		return pathPattern{m.Path, true}
	case m.PathPrefix != "":
		return pathPattern{m.PathPrefix, false}
	}
	return pathPattern{"/", false}
}

func (p pathPattern) isAny() bool { return p.path == "/" && !p.exact }

func (p pathPattern) within(outer pathPattern) bool {
	if outer.exact {
		return p == outer
	}
	return outer.path == "/" || p.path == outer.path || strings.HasPrefix(p.path, outer.path+"/")
}

func pathIntersection(a, b pathPattern) (pathPattern, bool) {
	switch {
	case a.within(b):
		return a, true
	case b.within(a):
		return b, true
	}
	return pathPattern{}, false
}

// listWithin reports whether each value of one list is one of another. An empty list is any value, of which there is
// no end.
func listWithin(inner, outer []string) bool {
	if len(outer) == 0 {
		return true
	}
	missing := func(v string) bool { return !slices.Contains(outer, v) }
	return len(inner) > 0 && !slices.ContainsFunc(inner, missing)
}

// listIntersection is the values that two lists have in common.
type listIntersection struct {
	smallest     string
	unrestricted bool // all values
	nonEmpty     bool // at least one
}

func intersectLists(a, b []string) listIntersection {
	switch {
	case len(a) == 0 && len(b) == 0:
		return listIntersection{unrestricted: true, nonEmpty: true}
	case len(a) == 0:
		return listIntersection{smallest: slices.Min(b), nonEmpty: true}
	case len(b) == 0:
		return listIntersection{smallest: slices.Min(a), nonEmpty: true}
	}
	var common listIntersection
	for _, v := range a {
		if slices.Contains(b, v) && (!common.nonEmpty || v < common.smallest) {
			common.smallest = v
			common.nonEmpty = true
		}
	}
	return common
}

// commonValue returns a value that both lists have; open if both have any.
func commonValue(a, b []string, open string) (string, bool) {
	common := intersectLists(a, b)
	if common.unrestricted {
		return open, true
	}
	return common.smallest, common.nonEmpty
}

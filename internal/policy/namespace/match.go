package namespace

import (
	"errors"
	"slices"
	"strings"

	"lapisspread/internal/route"
)

// Of two host patterns, either one contains the other or they have no host in common. The same holds for path patterns.
// So the intersection of two patterns, if it is not empty, is the narrower one, and conflicts are found exactly,
// without sampling requests.

// Values of an example request where a match allows any value.
const (
	exampleMethod = "GET"
	exampleValue  = "any"
)

// Precedences of exact patterns. The precedence of a wildcard or prefix is its length plus one, which is always lower.
const (
	exactHostPrecedence = 1 << 20
	exactPathPrecedence = 1 << 30
)

// Match says which requests a rule applies to, with the semantics of package route. An empty list or pattern allows any
// value.
type Match struct {
	Host       string   `toml:"host" json:"host,omitempty"`
	Path       string   `toml:"path" json:"path,omitempty"`
	PathPrefix string   `toml:"path_prefix" json:"path_prefix,omitempty"`
	Methods    []string `toml:"methods" json:"methods,omitempty"`
	Classes    []string `toml:"classes" json:"classes,omitempty"`
	Tenants    []string `toml:"tenants" json:"tenants,omitempty"`
}

// lists returns the methods, classes and tenants of a match.
func (m *Match) lists() [3][]string { return [...][]string{m.Methods, m.Classes, m.Tenants} }

// validate returns the error that package route has for the match, without its prefix, or nil.
func (m *Match) validate() error {
	_, err := route.Compile([]route.Rule{m.probeRule("")}, "")
	if err == nil {
		return nil
	}
	_, message, _ := strings.Cut(err.Error(), ": ")
	return errors.New(message)
}

// probeRule returns a rule of package route with the match and an arbitrary service. It is only used to check the match
// and to test whether requests match.
func (m *Match) probeRule(name string) route.Rule {
	return m.rule(name, []route.Target{{Service: "x", Weight: 1}})
}

// rule returns a rule of package route with the match.
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

// intersect returns an example request that both match, if there is one.
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

// precedence returns the precedence of a match, as in package route. Precedences are compared element by element; the
// rule with the higher one is tried first. The elements are the host, the path, and a bit for each list that is given.
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

// hostWithin reports whether the outer host pattern contains every host of the inner one. An empty pattern allows any
// host.
func hostWithin(inner, outer string) bool {
	if outer == "" || inner == outer {
		return true
	}
	suffix, wildcard := strings.CutPrefix(outer, "*")
	return wildcard && inner != "" && strings.HasSuffix(inner, suffix)
}

// hostIntersection returns the pattern of the hosts that are in both patterns, if there are any.
func hostIntersection(a, b string) (string, bool) {
	switch {
	case hostWithin(a, b):
		return a, true
	case hostWithin(b, a):
		return b, true
	}
	return "", false
}

// exampleHost returns a host of a pattern. Where the pattern allows any host label, it uses the given one.
func exampleHost(pattern, label string) string {
	switch {
	case pattern == "":
		return label + ".invalid" // .invalid is a reserved top-level domain (RFC 2606, section 2)
	case strings.HasPrefix(pattern, "*."):
		return label + pattern[1:]
	}
	return pattern
}

// pathPattern is one path, or all paths that begin with the segments of a prefix. The prefix "/" allows any path.
type pathPattern struct {
	path  string
	exact bool // whether the pattern is only this path; otherwise path is a prefix
}

// pathPattern returns the path pattern of a match. If the match has none, it returns the pattern that allows any path.
func (m *Match) pathPattern() pathPattern {
	switch {
	case m.Path != "":
		return pathPattern{m.Path, true}
	case m.PathPrefix != "":
		return pathPattern{m.PathPrefix, false}
	}
	return pathPattern{"/", false}
}

// isAny reports whether the pattern allows any path.
func (p pathPattern) isAny() bool { return p.path == "/" && !p.exact }

// within reports whether the outer pattern contains every path of p.
func (p pathPattern) within(outer pathPattern) bool {
	if outer.exact {
		return p == outer
	}
	return outer.path == "/" || p.path == outer.path || strings.HasPrefix(p.path, outer.path+"/")
}

// pathIntersection returns the pattern of the paths that are in both patterns, if there are any.
func pathIntersection(a, b pathPattern) (pathPattern, bool) {
	switch {
	case a.within(b):
		return a, true
	case b.within(a):
		return b, true
	}
	return pathPattern{}, false
}

// listWithin reports whether the outer list allows every value that the inner one allows. An empty list allows any
// value, so it is only within another empty list.
func listWithin(inner, outer []string) bool {
	if len(outer) == 0 {
		return true
	}
	missing := func(v string) bool { return !slices.Contains(outer, v) }
	return len(inner) > 0 && !slices.ContainsFunc(inner, missing)
}

// listIntersection describes the values that two lists both allow.
type listIntersection struct {
	smallest     string // the first common value in string order; empty if unrestricted
	unrestricted bool   // both lists allow any value
	nonEmpty     bool   // at least one value is common
}

// intersectLists returns the values that two lists both allow. An empty list allows any value.
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

// commonValue returns a value that both lists allow, if there is one. If both allow any value, it returns anyValue.
func commonValue(a, b []string, anyValue string) (string, bool) {
	common := intersectLists(a, b)
	if common.unrestricted {
		return anyValue, true
	}
	return common.smallest, common.nonEmpty
}

package route

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"
)

// wildcardPrefix begins a Rule.Host that is a suffix.
const wildcardPrefix = "*."

// Rule sends the requests that match it to a service, or divides them among several. An empty criterion matches any
// request.
type Rule struct {
	Name       string
	Host       string // exact, or a suffix such as *.example.org
	Path       string // exact; at most one of Path and PathPrefix is given
	PathPrefix string // by segments
	Methods    []string
	Classes    []string
	Tenants    []string
	To         []Target
}

// Target is a service with its part of a rule's requests.
type Target struct {
	Service string
	Weight  float64 // relative to the other targets; 0 gets nothing
}

// Request is what rules match.
type Request struct {
	Host, Path, Method, Class, Tenant string
}

// RuleError is returned by Compile for a rule that is invalid, or in conflict with another.
type RuleError struct {
	Index int // of the rule
	Name  string
	Err   error // what is wrong with it
}

// Error implements error.
func (e RuleError) Error() string { return fmt.Sprintf("route[%d] %q: %v", e.Index, e.Name, e.Err) }

// Unwrap returns what is wrong with the rule.
func (e RuleError) Unwrap() error { return e.Err }

// TieError says that one request can match two rules with none before the other.
type TieError struct {
	OtherIndex int
	OtherName  string
}

// Error implements error.
func (e TieError) Error() string {
	return fmt.Sprintf("ties with route[%d] %q: a request can match both, and neither goes before the other",
		e.OtherIndex, e.OtherName)
}

// combinations returns how many entries a rule has in a table.
func (r *Rule) combinations() int {
	return max(1, len(r.Methods)) * max(1, len(r.Classes)) * max(1, len(r.Tenants))
}

// hostSuffix returns what follows the wildcard of a rule's host; ok is false for any other host.
func (r *Rule) hostSuffix() (suffix string, ok bool) {
	return strings.CutPrefix(r.Host, wildcardPrefix)
}

// validate returns what is wrong with a rule by itself, by the key in the file.
func (r *Rule) validate() error {
	host := strings.TrimPrefix(r.Host, wildcardPrefix)
	switch {
	case r.Path != "" && r.PathPrefix != "":
		return errors.New("path and path_prefix are both given")
	case r.Host != "" && !validHost(host):
		return fmt.Errorf("host: %q is neither a host name in small letters nor *. and one", r.Host)
	case r.Path != "" && !UnambiguousPath(r.Path):
		return fmt.Errorf("path: %q does not begin with /, or has empty or dot segments", r.Path)
	case r.PathPrefix != "" && !validPrefix(r.PathPrefix):
		return fmt.Errorf("path_prefix: %q does not begin with /, ends with it, or has empty or dot segments",
			r.PathPrefix)
	case len(r.To) == 0:
		return errors.New("to: no service is named")
	}
	for name, values := range map[string][]string{"methods": r.Methods, "classes": r.Classes, "tenants": r.Tenants} {
		for i, v := range values {
			if v == "" || slices.Contains(values[:i], v) {
				return fmt.Errorf("%s: %q is empty or there twice", name, v)
			}
		}
	}
	return validateTargets(r.To)
}

// validPrefix reports whether a path prefix is unambiguous and does not end with a slash, but for the root.
func validPrefix(prefix string) bool {
	return UnambiguousPath(prefix) && (prefix == "/" || !strings.HasSuffix(prefix, "/"))
}

// validateTargets returns what is wrong with a rule's targets.
func validateTargets(targets []Target) error {
	sum := 0.0
	for i, to := range targets {
		if to.Service == "" || !(to.Weight >= 0) || math.IsInf(to.Weight, 0) {
			return fmt.Errorf("to[%d]: service %q with weight %v", i, to.Service, to.Weight)
		}
		if slices.ContainsFunc(targets[:i], func(o Target) bool { return o.Service == to.Service }) {
			return fmt.Errorf("to[%d]: service %q is there twice", i, to.Service)
		}
		sum += to.Weight
	}
	if sum <= 0 {
		return errors.New("to: all weights are 0")
	}
	return nil
}

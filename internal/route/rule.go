package route

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"
)

// wildcardPrefix is the prefix of a Rule.Host that matches hosts by suffix.
const wildcardPrefix = "*."

// Rule sends the requests that match it to a service, or divides them among several. An empty criterion matches any
// request.
type Rule struct {
	Name       string
	Host       string // an exact host, or a suffix such as *.example.org
	Path       string // an exact path; at most one of Path and PathPrefix may be set
	PathPrefix string // matches whole path segments
	Methods    []string
	Classes    []string
	Tenants    []string
	To         []Target
}

// Target is a service with its share of a rule's requests.
type Target struct {
	Service string
	Weight  float64 // relative to the other targets; with 0 it gets no requests
}

// Request holds the properties of a request that rules match. Host may have a port.
type Request struct {
	Host, Path, Method, Class, Tenant string
}

// RuleError is returned by Compile for a rule that is invalid, or that conflicts with another rule.
type RuleError struct {
	Index int    // index of the rule in the list passed to Compile
	Name  string // the rule's name
	Err   error  // why the rule is rejected
}

// Error implements error.
func (e RuleError) Error() string { return fmt.Sprintf("route[%d] %q: %v", e.Index, e.Name, e.Err) }

// Unwrap returns why the rule is rejected.
func (e RuleError) Unwrap() error { return e.Err }

// TieError is the reason of a RuleError for a rule that has the same precedence as an earlier rule, where one request
// can match both.
type TieError struct {
	OtherIndex int    // index of the earlier rule in the list passed to Compile
	OtherName  string // name of the earlier rule
}

// Error implements error.
func (e TieError) Error() string {
	return fmt.Sprintf("ties with route[%d] %q: a request can match both, and neither has precedence",
		e.OtherIndex, e.OtherName)
}

// combinationCount returns the number of combinations of the rule's methods, classes and tenants. The table has one
// entry for each.
func (r *Rule) combinationCount() int {
	return max(1, len(r.Methods)) * max(1, len(r.Classes)) * max(1, len(r.Tenants))
}

// hostSuffix returns the part of a rule's host after the wildcard; ok is false if the host has no wildcard.
func (r *Rule) hostSuffix() (suffix string, ok bool) {
	return strings.CutPrefix(r.Host, wildcardPrefix)
}

// validate checks a rule without regard to other rules. Its error begins with the key of the invalid field in the
// configuration file.
func (r *Rule) validate() error {
	host := strings.TrimPrefix(r.Host, wildcardPrefix)
	switch {
	case r.Path != "" && r.PathPrefix != "":
		return errors.New("path and path_prefix are both given")
	case r.Host != "" && !validHost(host):
		return fmt.Errorf("host: %q is neither a lowercase host name nor *. followed by one", r.Host)
	case r.Path != "" && !UnambiguousPath(r.Path):
		return fmt.Errorf("path: %q does not begin with /, or has empty or dot segments", r.Path)
	case r.PathPrefix != "" && !validPrefix(r.PathPrefix):
		return fmt.Errorf("path_prefix: %q does not begin with /, ends with /, or has empty or dot segments",
			r.PathPrefix)
	case len(r.To) == 0:
		return errors.New("to: no service is named")
	}
	for name, values := range map[string][]string{"methods": r.Methods, "classes": r.Classes, "tenants": r.Tenants} {
		for i, v := range values {
			if v == "" || slices.Contains(values[:i], v) {
				return fmt.Errorf("%s: %q is empty or listed twice", name, v)
			}
		}
	}
	return validateTargets(r.To)
}

// validPrefix reports whether a path prefix is unambiguous and, except for the root, does not end with a slash.
func validPrefix(prefix string) bool {
	return UnambiguousPath(prefix) && (prefix == "/" || !strings.HasSuffix(prefix, "/"))
}

// validateTargets checks a rule's targets. Its error names the invalid target by its index.
func validateTargets(targets []Target) error {
	sum := 0.0
	for i, to := range targets {
		if to.Service == "" || !(to.Weight >= 0) || math.IsInf(to.Weight, 0) {
			return fmt.Errorf("to[%d]: service %q with weight %v: the name must not be empty, and the weight must be "+
				"finite and not negative", i, to.Service, to.Weight)
		}
		if slices.ContainsFunc(targets[:i], func(other Target) bool { return other.Service == to.Service }) {
			return fmt.Errorf("to[%d]: service %q is listed twice", i, to.Service)
		}
		sum += to.Weight
	}
	if sum <= 0 {
		return errors.New("to: all weights are 0")
	}
	return nil
}

package namespace

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"lapisspread/internal/route"
)

// anyName in a list of quotas or zones allows every name.
const anyName = "*"

// The settings that a domain may list. Each comment says how the values of several namespaces are merged.
const (
	SettingRoute     = "route"     // routes: only the owner's value counts
	SettingClass     = "class"     // classes: the strictest value; for the priority weight, the owner's
	SettingQuota     = "budget"    // shares: the minimums add up within the limit; strictest cap, owner's weight
	SettingBlock     = "block"     // blocks: the union
	SettingOverride  = "order"     // overrides: the union, unless two contradict each other
	SettingStaleness = "staleness" // staleness bounds: the strictest value
	SettingService   = "service"   // services: only the owner's value counts
)

// Settings returns the names of all settings, sorted.
func Settings() []string {
	return []string{
		SettingBlock, SettingQuota, SettingClass, SettingOverride, SettingRoute, SettingService, SettingStaleness,
	}
}

// Domain says what a namespace may set rules about. An empty list of hosts, path prefixes, classes or tenants allows
// any value. An empty list of quotas, zones or settings allows none; "*" allows any quota or zone.
type Domain struct {
	Hosts        []string `toml:"hosts"`
	PathPrefixes []string `toml:"path_prefixes"`
	Classes      []string `toml:"classes"`
	Tenants      []string `toml:"tenants"`
	Quotas       []string `toml:"budgets"`
	Zones        []string `toml:"zones"`
	Settings     []string `toml:"settings"` // each is one of the names that Settings returns
}

// validate returns the first error of the domain's values, or nil.
func (d *Domain) validate() error {
	for _, host := range d.Hosts {
		if err := (&Match{Host: host}).validate(); err != nil || host == "" {
			// The text means: the value is neither a host nor a wildcard of the form "*." followed by a host.
			return fmt.Errorf("hosts: %q is no host, nor *. and one", host)
		}
	}
	for _, prefix := range d.PathPrefixes {
		if err := (&Match{PathPrefix: prefix}).validate(); err != nil || prefix == "" {
			// The text means: the value is not a valid path prefix; prefixes match whole path segments.
			return fmt.Errorf("path_prefixes: %q is no prefix by segment", prefix)
		}
	}
	for _, setting := range d.Settings {
		if !slices.Contains(Settings(), setting) {
			return fmt.Errorf("settings: %q is none of %s", setting, strings.Join(Settings(), ", "))
		}
	}
	for _, list := range [][]string{d.Classes, d.Tenants, d.Quotas, d.Zones} {
		if slices.Contains(list, "") {
			return errors.New("classes, tenants, budgets or zones: one is empty")
		}
	}
	return nil
}

// hostPatterns returns the host patterns of a domain. If it has none, it returns the pattern for any host.
func (d *Domain) hostPatterns() []string {
	if len(d.Hosts) == 0 {
		return []string{""}
	}
	return d.Hosts
}

// prefixPatterns returns the path prefixes of a domain. If it has none, it returns the prefix for any path.
func (d *Domain) prefixPatterns() []string {
	if len(d.PathPrefixes) == 0 {
		return []string{"/"}
	}
	return d.PathPrefixes
}

// excess describes the part of a match that is outside the domain, such as "host x". It returns an empty string if the
// domain contains all requests of the match.
func (d *Domain) excess(m *Match) string {
	path := m.pathPattern()
	hostInside := func(host string) bool { return hostWithin(m.Host, host) }
	pathInside := func(prefix string) bool { return path.within(pathPattern{prefix, false}) }
	switch {
	case !slices.ContainsFunc(d.hostPatterns(), hostInside):
		return fmt.Sprintf("host %q", m.Host)
	case !slices.ContainsFunc(d.prefixPatterns(), pathInside):
		return fmt.Sprintf("path %q", path.path)
	case !listWithin(m.Classes, d.Classes):
		return fmt.Sprintf("classes %q", m.Classes)
	case !listWithin(m.Tenants, d.Tenants):
		return fmt.Sprintf("tenants %q", m.Tenants)
	}
	return ""
}

// includesName reports whether a list of quotas or zones includes a name or "*".
func includesName(list []string, name string) bool {
	return slices.Contains(list, name) || slices.Contains(list, anyName)
}

// excessOver describes the part of the domain that is outside another one. It returns an empty string if the outer
// domain contains all of it.
func (d *Domain) excessOver(outer *Domain) string {
	for _, host := range d.hostPatterns() {
		for _, prefix := range d.prefixPatterns() {
			m := &Match{Host: host, PathPrefix: prefix, Classes: d.Classes, Tenants: d.Tenants}
			if excess := outer.excess(m); excess != "" {
				return excess
			}
		}
	}
	for _, lists := range []struct {
		kind         string
		inner, outer []string
	}{
		{"budget", d.Quotas, outer.Quotas},
		{"zone", d.Zones, outer.Zones},
		{"setting", d.Settings, outer.Settings},
	} {
		for _, name := range lists.inner {
			if !includesName(lists.outer, name) {
				return fmt.Sprintf("%s %q", lists.kind, name)
			}
		}
	}
	return ""
}

// intersect returns the settings, sorted, that both domains allow on a common subject: requests, classes or zones. If
// the common subject is requests, it also returns an example request.
func (d *Domain) intersect(other *Domain) ([]string, *route.Request) {
	var settings []string
	var example *route.Request
	inBoth := func(setting string) bool {
		return slices.Contains(d.Settings, setting) && slices.Contains(other.Settings, setting)
	}
	if request, ok := d.intersectRequests(other); ok {
		for _, setting := range []string{SettingBlock, SettingRoute, SettingStaleness} {
			if inBoth(setting) {
				settings = append(settings, setting)
				example = &request
			}
		}
	}
	if inBoth(SettingClass) && intersectLists(d.Classes, other.Classes).nonEmpty {
		settings = append(settings, SettingClass)
	}
	if inBoth(SettingOverride) && (anyIncluded(d.Zones, other.Zones) || anyIncluded(other.Zones, d.Zones)) {
		settings = append(settings, SettingOverride)
	}
	slices.Sort(settings)
	return settings, example
}

// anyIncluded reports whether a list of quotas or zones includes at least one of the names.
func anyIncluded(names, list []string) bool {
	return slices.ContainsFunc(names, func(name string) bool { return includesName(list, name) })
}

// intersectRequests returns an example request that is in both domains, if there is one.
func (d *Domain) intersectRequests(other *Domain) (route.Request, bool) {
	host, ok := firstIntersection(d.hostPatterns(), other.hostPatterns(), hostIntersection)
	if !ok {
		return route.Request{}, false
	}
	prefix, ok := firstIntersection(d.prefixPatterns(), other.prefixPatterns(), prefixIntersection)
	if !ok {
		return route.Request{}, false
	}
	a := Match{Host: host, PathPrefix: prefix, Classes: d.Classes, Tenants: d.Tenants}
	b := Match{Classes: other.Classes, Tenants: other.Tenants}
	return a.intersect(&b)
}

func prefixIntersection(a, b string) (string, bool) {
	path, ok := pathIntersection(pathPattern{a, false}, pathPattern{b, false})
	return path.path, ok
}

// firstIntersection returns the intersection of the first pair of patterns, one of each list, that intersect. It
// returns false if there is no such pair.
func firstIntersection(
	a, b []string, intersect func(a, b string) (string, bool),
) (string, bool) {
	for _, x := range a {
		for _, y := range b {
			if common, ok := intersect(x, y); ok {
				return common, true
			}
		}
	}
	return "", false
}

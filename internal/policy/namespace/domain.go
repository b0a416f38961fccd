package namespace

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"lapisspread/internal/route"
)

// anyName in a list of quotas or zones is any of them.
const anyName = "*"

// The settings that a domain may name, each with how it is merged.
const (
	SettingRoute     = "route"     // where requests lead: the owner's alone
	SettingClass     = "class"     // of classes: the strictest, but the priority weight is the owner's alone
	SettingQuota     = "budget"    // minimums sum within the limit, caps are the strictest, weights the owner's alone
	SettingBlock     = "block"     // the union
	SettingOverride  = "order"     // the union, unless two contradict each other
	SettingStaleness = "staleness" // the strictest
	SettingService   = "service"   // the owner's alone
)

// Settings returns the names of all settings, sorted.
func Settings() []string {
	return []string{
		SettingBlock, SettingQuota, SettingClass, SettingOverride, SettingRoute, SettingService, SettingStaleness,
	}
}

// Domain is what a namespace may set rules about. An empty list of hosts, path prefixes, classes or tenants is any
// value; an empty list of the others is none, and "*" is any quota or zone.
type Domain struct {
	Hosts        []string `toml:"hosts"`
	PathPrefixes []string `toml:"path_prefixes"`
	Classes      []string `toml:"classes"`
	Tenants      []string `toml:"tenants"`
	Quotas       []string `toml:"budgets"`
	Zones        []string `toml:"zones"`
	Settings     []string `toml:"settings"` // of Settings()
}

func (d *Domain) validate() error {
	for _, host := range d.Hosts {
		if err := (&Match{Host: host}).validate(); err != nil || host == "" {
			return fmt.Errorf("hosts: %q is no host, nor *. and one", host)
		}
	}
	for _, prefix := range d.PathPrefixes {
		if err := (&Match{PathPrefix: prefix}).validate(); err != nil || prefix == "" {
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

// hostPatterns returns the hosts of a domain, with any host written out.
func (d *Domain) hostPatterns() []string {
	if len(d.Hosts) == 0 {
		return []string{""}
	}
	return d.Hosts
}

// prefixPatterns returns the path prefixes of a domain, with any path written out.
func (d *Domain) prefixPatterns() []string {
	if len(d.PathPrefixes) == 0 {
		return []string{"/"}
	}
	return d.PathPrefixes
}

// excess returns what of a match is not in the domain, or an empty text if all its requests are.
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

// includesName reports whether a list of quotas or zones has a name.
func includesName(list []string, name string) bool {
	return slices.Contains(list, name) || slices.Contains(list, anyName)
}

// excessOver returns what of the domain is not in another one, or an empty text if all of it is.
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

// intersect returns the settings that two domains have on the same thing, and a request where the thing is one.
func (d *Domain) intersect(other *Domain) ([]string, *route.Request) {
	var settings []string
	var example *route.Request
	both := func(setting string) bool {
		return slices.Contains(d.Settings, setting) && slices.Contains(other.Settings, setting)
	}
	if request, ok := d.intersectRequests(other); ok {
		for _, setting := range []string{SettingBlock, SettingRoute, SettingStaleness} {
			if both(setting) {
				settings = append(settings, setting)
				example = &request
			}
		}
	}
	if both(SettingClass) && intersectLists(d.Classes, other.Classes).nonEmpty {
		settings = append(settings, SettingClass)
	}
	if both(SettingOverride) && (anyIncluded(d.Zones, other.Zones) || anyIncluded(other.Zones, d.Zones)) {
		settings = append(settings, SettingOverride)
	}
	slices.Sort(settings)
	return settings, example
}

// anyIncluded reports whether a list has some name of another one.
func anyIncluded(names, list []string) bool {
	return slices.ContainsFunc(names, func(name string) bool { return includesName(list, name) })
}

// intersectRequests returns a request that is in both domains, if there is one.
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

// firstIntersection returns the first intersection of patterns of two lists.
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

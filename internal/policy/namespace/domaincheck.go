package namespace

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// domainChecker finds the rules of a file that are outside the domain of its namespace.
type domainChecker struct {
	declaration *Declaration
	file        *File
	outside     map[string]OutsideDomainError // errors of rules outside the domain, by rule ID
}

// rulesOutsideDomain returns, by rule ID, the rules of a file that its namespace may not set.
func (d *Declaration) rulesOutsideDomain(f *File) map[string]OutsideDomainError {
	c := domainChecker{d, f, map[string]OutsideDomainError{}}
	for i := range f.Services {
		c.check(f.Services[i].id(), SettingService, func(*Domain) string { return "" })
	}
	for i := range f.Routes {
		r := &f.Routes[i]
		c.check(r.id(), SettingRoute, func(domain *Domain) string { return domain.excess(&r.Match) })
	}
	for i := range f.Blocks {
		b := &f.Blocks[i]
		c.check(b.id(), SettingBlock, func(domain *Domain) string { return domain.excess(&b.Match) })
	}
	for i := range f.Classes {
		class := &f.Classes[i]
		c.check(class.id(), SettingClass, class.excess)
	}
	for i := range f.Quotas {
		s := &f.Quotas[i]
		c.check(s.id(), SettingQuota, func(domain *Domain) string { return c.quotaExcess(s, domain) })
	}
	for i := range f.Overrides {
		o := &f.Overrides[i]
		c.check(o.id(), SettingOverride, o.excess)
	}
	for i := range f.StalenessBounds {
		b := &f.StalenessBounds[i]
		c.check(b.id(), SettingStaleness, func(*Domain) string { return c.stalenessExcess(b) })
	}
	return c.outside
}

// check adds a rule to outside if no part of the namespace's domain contains it. The function excess describes what of
// the rule is outside a part; it returns an empty string if the part contains the rule.
func (c *domainChecker) check(id, setting string, excess func(*Domain) string) {
	reason := "it may not set " + setting
	for _, part := range c.declaration.parts[c.file.Name] {
		if !slices.Contains(part.domain.Settings, setting) {
			continue
		}
		outsidePart := excess(part.domain)
		if outsidePart == "" {
			return
		}
		reason = outsidePart
	}
	c.outside[id] = OutsideDomainError{c.file.Name, id, reason}
}

// excess describes the class, such as `class "x"`, if it is outside a domain. Otherwise it returns an empty string.
func (c *Class) excess(domain *Domain) string {
	if len(domain.Classes) == 0 || slices.Contains(domain.Classes, c.Name) {
		return ""
	}
	return fmt.Sprintf("class %q", c.Name)
}

// excess describes the override's zone, such as `zone "x"`, if the zone is outside a domain. Otherwise it returns an
// empty string.
func (o *Override) excess(domain *Domain) string {
	if includesName(domain.Zones, o.Zone) {
		return ""
	}
	return fmt.Sprintf("zone %q", o.Zone)
}

// quotaExcess describes why a domain does not allow a quota share. It returns an empty string if the domain allows the
// share: the quota must be declared and in the domain, and a cap on another namespace's share also needs a delegation
// to that namespace.
func (c *domainChecker) quotaExcess(s *QuotaShare, domain *Domain) string {
	if s.Namespace != "" && !slices.Contains(c.declaration.delegatorsOf(s.Namespace), c.file.Name) {
		return fmt.Sprintf("it delegates nothing to %q", s.Namespace)
	}
	if _, ok := c.declaration.limits[s.Quota]; ok && includesName(domain.Quotas, s.Quota) {
		return ""
	}
	return fmt.Sprintf("budget %q", s.Quota)
}

// stalenessExcess describes the route of a staleness bound that the namespace may not set. It returns an empty string
// for bounds on the namespace's own routes and on those of its delegates, which are allowed.
func (c *domainChecker) stalenessExcess(b *StalenessBound) string {
	owner, _, _ := strings.Cut(b.Route, "/")
	if owner == c.file.Name || slices.Contains(c.declaration.delegatorsOf(owner), c.file.Name) {
		return ""
	}
	return fmt.Sprintf("route %s", b.Route)
}

// domainErrors returns the errors of all rules outside the domain, joined, each as a FileError. They are ordered by
// rule ID, because the text must not depend on the order of a map.
func (f *File) domainErrors(outside map[string]OutsideDomainError) error {
	var errs []error
	for _, id := range slices.Sorted(maps.Keys(outside)) {
		errs = append(errs, keyError(f.path, f.lines, f.ruleKeys[id], outside[id]))
	}
	return errors.Join(errs...)
}

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
	outside     map[string]OutsideDomainError // by rule ID
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

// check adds a rule to outside if no part of the namespace's domain contains it. Excess describes what of the rule is
// outside a part; an empty text means that the part contains the rule.
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

// excess returns the class if it is outside a domain, or an empty text.
func (c *Class) excess(domain *Domain) string {
	if len(domain.Classes) == 0 || slices.Contains(domain.Classes, c.Name) {
		return ""
	}
	return fmt.Sprintf("class %q", c.Name)
}

// excess returns the zone of the override if it is outside a domain, or an empty text.
func (o *Override) excess(domain *Domain) string {
	if includesName(domain.Zones, o.Zone) {
		return ""
	}
	return fmt.Sprintf("zone %q", o.Zone)
}

// quotaExcess allows shares of quotas that are declared and in the domain. A cap on another namespace's share also
// needs a delegation to that namespace.
func (c *domainChecker) quotaExcess(s *QuotaShare, domain *Domain) string {
	if s.Namespace != "" && !slices.Contains(c.declaration.delegatorsOf(s.Namespace), c.file.Name) {
		return fmt.Sprintf("it delegates nothing to %q", s.Namespace)
	}
	if _, ok := c.declaration.limits[s.Quota]; ok && includesName(domain.Quotas, s.Quota) {
		return ""
	}
	return fmt.Sprintf("budget %q", s.Quota)
}

// stalenessExcess allows bounds on the namespace's own routes and on those of its delegates.
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

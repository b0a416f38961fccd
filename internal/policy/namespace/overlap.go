package namespace

import (
	"slices"
	"strings"

	"lapisspread/internal/route"
)

// overlaps returns a conflict for each two namespaces whose domains intersect, except where one of the intersecting
// parts was delegated by the other namespace, directly or through others.
func (d *Declaration) overlaps() []Conflict {
	var all []Conflict
	for i := range d.Namespaces {
		for j := range i {
			a := d.Namespaces[j].Name
			b := d.Namespaces[i].Name
			if conflict, ok := d.overlap(min(a, b), max(a, b)); ok {
				all = append(all, conflict)
			}
		}
	}
	return all
}

// overlap returns the conflict between the domains of two namespaces, if there is one, as described at overlaps.
func (d *Declaration) overlap(a, b string) (Conflict, bool) {
	shared := map[string]bool{}
	var example *route.Request
	for _, x := range d.parts[a] {
		for _, y := range d.parts[b] {
			if slices.Contains(x.delegators, b) || slices.Contains(y.delegators, a) {
				continue
			}
			settings, request := x.domain.intersect(y.domain)
			for _, setting := range settings {
				shared[setting] = true
			}
			if example == nil {
				example = request
			}
		}
	}
	if len(shared) == 0 {
		return Conflict{}, false
	}
	notShared := func(setting string) bool { return !shared[setting] }
	names := slices.DeleteFunc(Settings(), notShared)
	return Conflict{
		Kind:    DomainOverlap,
		Rules:   []Source{{Namespace: a, Rule: declarationRule}, {Namespace: b, Rule: declarationRule}},
		Request: example,
		Text:    "both may set " + strings.Join(names, ", "),
	}, true
}

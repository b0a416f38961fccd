package namespace

import (
	"fmt"
	"maps"
	"slices"
)

// maxCombinations limits the combinations of a method, a class and a tenant that all routes together may list. It is
// well below the limit of package route.
const maxCombinations = 400_000

// allRoutes is Source.Rule in a conflict that is about all routes of a namespace.
const allRoutes = "all routes"

// definition is a namespace's value for a setting that no two namespaces may set differently: a service, or the
// priority weight of a class.
type definition struct {
	source Source
	text   string // the value, compared with those of other namespaces and shown in conflicts
}

// inconsistentDefinitions finds services, and priority weights of classes, that two namespaces set to different values.
func inconsistentDefinitions(set []*File) []Conflict {
	definitions := map[string][]definition{}
	for _, f := range set {
		for i := range f.Services {
			id := f.Services[i].id()
			definitions[id] = append(definitions[id], definition{f.source(id), f.ruleTexts[id]})
		}
		for i := range f.Classes {
			c := &f.Classes[i]
			if c.PriorityWeight == nil {
				continue
			}
			text := fmt.Sprintf("worth %v", *c.PriorityWeight)
			definitions[c.id()] = append(definitions[c.id()], definition{f.source(c.id()), text})
		}
	}
	var conflicts []Conflict
	for _, id := range slices.Sorted(maps.Keys(definitions)) {
		for i, b := range definitions[id] {
			for _, a := range definitions[id][:i] {
				if a.text == b.text {
					continue
				}
				conflicts = append(conflicts, Conflict{
					Kind:  InconsistentDefinition,
					Rules: sources(a.source, b.source),
					Text:  fmt.Sprintf("%s and %s", a.text, b.text),
				})
			}
		}
	}
	return conflicts
}

// sourcedOverride is an override with the rule that it comes from.
type sourcedOverride struct {
	source   Source
	override *Override
}

// contradictoryOverrides finds overrides of the same server that contradict each other at some time.
func contradictoryOverrides(set []*File) []Conflict {
	byServer := map[string][]sourcedOverride{}
	for _, f := range set {
		for i := range f.Overrides {
			o := &f.Overrides[i]
			byServer[o.Server] = append(byServer[o.Server], sourcedOverride{f.source(o.id()), o})
		}
	}
	var conflicts []Conflict
	for _, server := range slices.Sorted(maps.Keys(byServer)) {
		for i, b := range byServer[server] {
			for _, a := range byServer[server][:i] {
				at, ok := a.override.contradicts(b.override)
				if !ok {
					continue
				}
				conflicts = append(conflicts, Conflict{
					Kind:  ContradictoryOverrides,
					Rules: sources(a.source, b.source),
					Time:  &at,
					// The text means: one override detaches the server and the other attaches it.
					Text: "server " + server + " shall be in and out",
				})
			}
		}
	}
	return conflicts
}

// quotaConflicts finds quotas whose minimums sum to more than the limit, and caps below a minimum.
func (f *finder) quotaConflicts(set []*File) []Conflict {
	return append(f.excessiveMinimums(set), capsBelowMinimum(set)...)
}

// excessiveMinimums finds quotas whose minimums sum to more than the limit. It returns one conflict for each quota.
func (f *finder) excessiveMinimums(set []*File) []Conflict {
	sums := map[string]int64{}
	rules := map[string][]Source{}
	for _, file := range set {
		for i := range file.Quotas {
			s := &file.Quotas[i]
			if s.Min > 0 {
				sums[s.Quota] += s.Min
				rules[s.Quota] = append(rules[s.Quota], file.source(s.id()))
			}
		}
	}
	var conflicts []Conflict
	for _, quota := range slices.Sorted(maps.Keys(sums)) {
		limit := f.declaration.limits[quota]
		if sums[quota] <= limit {
			continue
		}
		cause := MinimumsExceedLimitError{quota, sums[quota], limit}
		conflicts = append(conflicts, Conflict{
			Kind: MinimumsExceedLimit, Rules: sources(rules[quota]...), Text: cause.Error(), cause: cause,
		})
	}
	return conflicts
}

// sourcedCap is a cap that a delegator sets on a delegate's share, with the rule that it comes from.
type sourcedCap struct {
	source Source
	cap    int64
}

// capsBelowMinimum finds caps of delegators that are below the minimum in the delegate's own share.
func capsBelowMinimum(set []*File) []Conflict {
	caps := map[shareKey][]sourcedCap{}
	for _, f := range set {
		for i := range f.Quotas {
			if s := &f.Quotas[i]; s.Namespace != "" {
				key := shareKey{s.Quota, s.Namespace}
				caps[key] = append(caps[key], sourcedCap{f.source(s.id()), s.Cap})
			}
		}
	}
	var conflicts []Conflict
	for _, f := range set {
		for i := range f.Quotas {
			s := &f.Quotas[i]
			if s.Namespace != "" {
				continue
			}
			for _, c := range caps[shareKey{s.Quota, f.Name}] {
				if c.cap == 0 || c.cap >= s.Min {
					continue
				}
				conflicts = append(conflicts, Conflict{
					Kind:  CapBelowMinimum,
					Rules: sources(c.source, f.source(s.id())),
					Text:  fmt.Sprintf("cap %d is under minimum %d", c.cap, s.Min),
				})
			}
		}
	}
	return conflicts
}

// tooManyCombinations returns a conflict if all routes together list more than maxCombinations. Parse has already
// checked that no single file exceeds it.
func tooManyCombinations(set []*File) []Conflict {
	sum := 0
	var rules []Source
	for _, f := range set {
		if n := f.countCombinations(); n > 0 {
			sum += n
			rules = append(rules, f.source(allRoutes))
		}
	}
	if sum <= maxCombinations {
		return nil
	}
	text := fmt.Sprintf("%d combinations of methods, classes and tenants; %d are the most", sum, maxCombinations)
	return []Conflict{{Kind: TooManyCombinations, Rules: sources(rules...), Text: text}}
}

// removedServices finds routes to services that are undefined or marked as removed. The conflict also names the rules
// that marked the service, or else those that defined it in the files in force.
func (f *finder) removedServices(set []*File) []Conflict {
	defined := map[string]bool{}
	removed := map[string][]Source{}
	for _, file := range set {
		for i := range file.Services {
			if s := &file.Services[i]; s.Removed {
				removed[s.Name] = append(removed[s.Name], file.source(s.id()))
			} else {
				defined[s.Name] = true
			}
		}
	}
	var conflicts []Conflict
	for _, file := range set {
		for i := range file.Routes {
			r := &file.Routes[i]
			for _, to := range r.To {
				if defined[to.Service] && len(removed[to.Service]) == 0 {
					continue
				}
				removers := removed[to.Service]
				if len(removers) == 0 {
					removers = f.formerDefinitions(to.Service, set)
				}
				conflicts = append(conflicts, removedService(to.Service, removers, file, r))
			}
		}
	}
	return conflicts
}

// formerDefinitions returns the rules that define a service in the files in force. The sources have the numbers of the
// files in the new set.
func (f *finder) formerDefinitions(service string, set []*File) []Source {
	var former []Source
	for _, s := range f.activeServices[service] {
		i := slices.IndexFunc(set, func(file *File) bool { return file.Name == s.Namespace })
		if i >= 0 {
			former = append(former, set[i].source(s.Rule))
		}
	}
	return former
}

// removedService returns the conflict of a route that leads to an undefined or removed service.
func removedService(service string, removers []Source, file *File, r *Route) Conflict {
	// The text means: no file defines the service.
	text := fmt.Sprintf("nobody offers service %q", service)
	if len(removers) > 0 {
		text = fmt.Sprintf("service %q is removed", service)
	}
	request, _ := r.intersect(&r.Match)
	return Conflict{
		Kind:    ServiceRemoved,
		Rules:   sources(append(slices.Clone(removers), file.source(r.id()))...),
		Request: &request,
		Text:    text,
	}
}

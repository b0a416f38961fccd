package namespace

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// policyBuilder merges the rules of files that have no conflict. The policy does not depend on the order of the files.
type policyBuilder struct {
	declaration     *Declaration
	policy          *Policy
	services        map[string]*PolicyService
	classes         map[string]*PolicyClass
	shares          map[shareKey]*PolicyShare
	stalenessBounds map[string]*Value[string] // merged bounds; the key is the route's namespace/name
	routeNames      map[string]bool           // the set of all routes, each as namespace/name
}

// shareKey identifies a namespace's share of a quota.
type shareKey struct{ quota, namespace string }

// assemble merges the rules of files without conflicts into a policy.
func assemble(d *Declaration, files []*File) *Policy {
	b := policyBuilder{
		declaration:     d,
		policy:          &Policy{Format: policyFormat},
		services:        map[string]*PolicyService{},
		classes:         map[string]*PolicyClass{},
		shares:          map[shareKey]*PolicyShare{},
		stalenessBounds: map[string]*Value[string]{},
		routeNames:      map[string]bool{},
	}
	for _, f := range files {
		b.addServices(f)
		b.addRoutes(f)
		b.addClasses(f)
		b.addQuotas(f)
		b.addBlocks(f)
		b.addOverrides(f)
		b.addStalenessBounds(f)
	}
	return b.build()
}

// getOrCreate returns the value of a key. If there is none, it first stores a new zero value under the key.
func getOrCreate[K comparable, T any](values map[K]*T, key K) *T {
	value := values[key]
	if value == nil {
		value = new(T)
		values[key] = value
	}
	return value
}

func (b *policyBuilder) addServices(f *File) {
	for i := range f.Services {
		s := &f.Services[i]
		if s.Removed {
			continue
		}
		merged := getOrCreate(b.services, s.Name)
		merged.Service = *s
		merged.Sources = append(merged.Sources, f.source(s.id()))
	}
}

func (b *policyBuilder) addRoutes(f *File) {
	for i := range f.Routes {
		r := f.Routes[i]
		source := f.source(r.id())
		r.Name = f.Name + "/" + r.Name
		b.routeNames[r.Name] = true
		if r.MaxStaleness != "" {
			b.stalenessBounds[r.Name] = mergeValue(
				b.stalenessBounds[r.Name], r.MaxStaleness, source, preferStricterLevel)
			r.MaxStaleness = ""
		}
		b.policy.Routes = append(b.policy.Routes, PolicyRoute{r, source})
	}
}

func (b *policyBuilder) addClasses(f *File) {
	for i := range f.Classes {
		c := &f.Classes[i]
		source := f.source(c.id())
		merged := getOrCreate(b.classes, c.Name)
		merged.Name = c.Name
		if c.LatencyObjective > 0 {
			objective := time.Duration(c.LatencyObjective)
			merged.LatencyObjective = mergeValue(merged.LatencyObjective, objective, source, preferLower)
		}
		if c.Deadline > 0 {
			merged.Deadline = mergeValue(merged.Deadline, time.Duration(c.Deadline), source, preferLower)
		}
		if c.Effect != "" {
			merged.Effect = mergeValue(merged.Effect, c.Effect, source, preferUnsafe)
		}
		if c.PriorityWeight != nil {
			merged.PriorityWeight = mergeValue(merged.PriorityWeight, *c.PriorityWeight, source, preferLower)
		}
		if c.LateFraction != nil {
			merged.LateFraction = mergeValue(merged.LateFraction, *c.LateFraction, source, preferLower)
		}
	}
}

func (b *policyBuilder) addQuotas(f *File) {
	for i := range f.Quotas {
		s := &f.Quotas[i]
		source := f.source(s.id())
		namespace := cmp.Or(s.Namespace, f.Name)
		merged := getOrCreate(b.shares, shareKey{s.Quota, namespace})
		merged.Quota = s.Quota
		merged.Namespace = namespace
		merged.Limit = b.declaration.limits[s.Quota]
		if s.Cap > 0 {
			merged.Cap = mergeValue(merged.Cap, s.Cap, source, preferLower)
		}
		if s.Min > 0 {
			merged.Min = mergeValue(merged.Min, s.Min, source, preferLower)
		}
		if s.Weight > 0 {
			merged.Weight = mergeValue(merged.Weight, s.Weight, source, preferLower)
		}
	}
}

func (b *policyBuilder) addBlocks(f *File) {
	for i := range f.Blocks {
		block := f.Blocks[i]
		source := f.source(block.id())
		block.Name = f.Name + "/" + block.Name
		b.policy.Blocks = append(b.policy.Blocks, PolicyBlock{block, source})
	}
}

func (b *policyBuilder) addOverrides(f *File) {
	for i := range f.Overrides {
		o := f.Overrides[i]
		source := f.source(o.id())
		o.Name = f.Name + "/" + o.Name
		b.policy.Overrides = append(b.policy.Overrides, PolicyOverride{o, source})
	}
}

func (b *policyBuilder) addStalenessBounds(f *File) {
	for i := range f.StalenessBounds {
		bound := &f.StalenessBounds[i]
		b.stalenessBounds[bound.Route] = mergeValue(
			b.stalenessBounds[bound.Route], bound.MaxLevel, f.source(bound.id()), preferStricterLevel)
	}
}

// build sorts all lists and returns the policy. It leaves out staleness bounds of routes that do not exist.
func (b *policyBuilder) build() *Policy {
	p := b.policy
	for _, name := range slices.Sorted(maps.Keys(b.services)) {
		slices.SortFunc(b.services[name].Sources, compareSources)
		p.Services = append(p.Services, *b.services[name])
	}
	for _, name := range slices.Sorted(maps.Keys(b.classes)) {
		p.Classes = append(p.Classes, *b.classes[name])
	}
	for _, s := range b.shares {
		p.Shares = append(p.Shares, *s)
	}
	for _, name := range slices.Sorted(maps.Keys(b.stalenessBounds)) {
		if b.routeNames[name] {
			p.StalenessBounds = append(p.StalenessBounds, PolicyStalenessBound{name, b.stalenessBounds[name]})
		}
	}
	slices.SortFunc(p.Shares, func(a, b PolicyShare) int {
		return cmp.Or(strings.Compare(a.Quota, b.Quota), strings.Compare(a.Namespace, b.Namespace))
	})
	slices.SortFunc(p.Routes, func(a, b PolicyRoute) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(p.Blocks, func(a, b PolicyBlock) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(p.Overrides, func(a, b PolicyOverride) int { return strings.Compare(a.Name, b.Name) })
	return p
}

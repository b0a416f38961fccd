// Package routetable builds what requests are routed by from a policy: the routes, their stickiness, and the blocked
// requests. It is deterministic: no I/O, no goroutine, no clock. A policy that follows another costs what has changed.
package routetable

import (
	"maps"
	"slices"

	"lapisspread/internal/policy/namespace"
	"lapisspread/internal/route"
)

// blockedTarget is the service name of rules in Routes.Blocks. Nobody resolves it.
const blockedTarget = "blocked"

// Routes are what requests are routed by under one policy. They are immutable and safe for concurrent use.
type Routes struct {
	Table *route.Table
	// StickyBy is what requests of a route stick by, by route, where it is not the key.
	StickyBy map[string]string
	// Blocks matches requests that are blocked. Nil blocks none.
	Blocks *route.Table

	fallback string
}

// Build returns the routes of a policy. Fallback is the service for requests that no route matches; empty means none.
// HasService reports whether the proxy has a service. It fails with a MissingServicesError that names all missing
// services, or with an InvalidRulesError.
func Build(p *namespace.Policy, fallback string, hasService func(string) bool) (*Routes, error) {
	if err := checkServices(p.Routes, hasService); err != nil {
		return nil, err
	}
	table, err := p.Table()
	if err != nil {
		return nil, InvalidRulesError{Kind: "routes", Err: err}
	}
	blocks, err := compileBlocks(p)
	if err != nil {
		return nil, err
	}
	r := &Routes{Table: table.WithFallback(fallback), StickyBy: map[string]string{}, Blocks: blocks, fallback: fallback}
	for i := range p.Routes {
		if by := p.Routes[i].Sticky; by != "" {
			r.StickyBy[p.Routes[i].Name] = by
		}
	}
	return r, nil
}

// Update returns the routes of the policy that follows the one of r; diff is how the two differ. The result and the
// errors are those of Build with the same fallback, as long as hasService answers as it did for r. If the services
// have changed, use Build, which checks all routes. Update costs what has changed, and leaves r as it is.
func (r *Routes) Update(
	p *namespace.Policy, diff *namespace.Diff, hasService func(string) bool,
) (*Routes, error) {
	if err := checkServices(diff.Routes, hasService); err != nil {
		return nil, err
	}
	table, err := p.Table()
	if err != nil {
		return nil, InvalidRulesError{Kind: "routes", Err: err}
	}
	blocks := r.Blocks
	if diff.BlocksChanged {
		if blocks, err = compileBlocks(p); err != nil {
			return nil, err
		}
	}
	return &Routes{
		Table:    table.WithFallback(r.fallback),
		StickyBy: r.updateSticky(diff),
		Blocks:   blocks,
		fallback: r.fallback,
	}, nil
}

// updateSticky returns StickyBy under the next policy. It copies the map only if something changes.
func (r *Routes) updateSticky(diff *namespace.Diff) map[string]string {
	sticky := r.StickyBy
	copied := false
	set := func(route, by string) {
		if sticky[route] == by {
			return
		}
		if !copied {
			sticky = maps.Clone(sticky)
			copied = true
		}
		if by == "" {
			delete(sticky, route)
		} else {
			sticky[route] = by
		}
	}
	for _, route := range diff.RemovedRoutes {
		set(route, "")
	}
	for i := range diff.Routes {
		set(diff.Routes[i].Name, diff.Routes[i].Sticky)
	}
	return sticky
}

// checkServices returns a MissingServicesError if routes lead to services that the proxy does not have.
func checkServices(routes []namespace.PolicyRoute, hasService func(string) bool) error {
	var missing []string
	checked := map[string]bool{}
	for i := range routes {
		for _, target := range routes[i].To {
			if checked[target.Service] {
				continue
			}
			checked[target.Service] = true
			if !hasService(target.Service) {
				missing = append(missing, target.Service)
			}
		}
	}
	if len(missing) == 0 {
		return nil
	}
	slices.Sort(missing)
	return MissingServicesError{Names: missing}
}

// compileBlocks returns a table of the blocked requests, nil if there are none.
func compileBlocks(p *namespace.Policy) (*route.Table, error) {
	if len(p.Blocks) == 0 {
		return nil, nil
	}
	rules := make([]route.Rule, len(p.Blocks))
	for i := range p.Blocks {
		block := &p.Blocks[i]
		rules[i] = route.Rule{
			Name:       block.Name,
			Host:       block.Host,
			Path:       block.Path,
			PathPrefix: block.PathPrefix,
			Methods:    block.Methods,
			Classes:    block.Classes,
			Tenants:    block.Tenants,
			To:         []route.Target{{Service: blockedTarget, Weight: 1}},
		}
	}
	table, err := route.Compile(rules, "")
	if err != nil {
		return nil, InvalidRulesError{Kind: "blocks", Err: err}
	}
	return table, nil
}

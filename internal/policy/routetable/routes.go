// Package routetable builds the tables that route requests from a policy: the routes, their stickiness, and the rules
// that block requests. It is deterministic: no I/O, no goroutine, no clock. The cost of an update from one policy to
// the next depends only on what changed.
package routetable

import (
	"maps"
	"slices"

	"lapisspread/internal/policy/namespace"
	"lapisspread/internal/route"
)

// blockedTarget is the service name in the rules of Routes.Blocks. A rule needs a target; this one is never resolved to
// a service.
const blockedTarget = "blocked"

// Routes holds the routing tables of one policy. It is immutable and safe for concurrent use.
type Routes struct {
	// Table maps requests to routes.
	Table *route.Table
	// StickyBy maps the name of a route to the request attribute that decides which target a request gets ("key",
	// "tenant" or "request"). Routes without an entry use the key.
	StickyBy map[string]string
	// Blocks matches the requests that are blocked. Nil means that none are.
	Blocks *route.Table

	fallback string
}

// Build returns the routes of a policy. Fallback is the service for requests that match no route; empty means none.
// HasService reports whether the proxy has a service. Build returns a MissingServicesError that names all missing
// services, or an InvalidRulesError.
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

// Update returns the routes of p, where diff is the difference between the policy of r and p. The result and the errors
// are those of Build with the same fallback, provided that hasService gives the same results as it did for r. If the
// services have changed, use Build, which checks all routes; Update checks only the changed ones. The cost of Update
// depends only on what changed. It does not modify r.
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

// updateSticky returns StickyBy with the changes of diff. It copies the map only if an entry changes.
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

// checkServices returns a MissingServicesError if a route has a target service that the proxy does not have.
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

// compileBlocks returns a table that matches the blocked requests, or nil if the policy blocks none.
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

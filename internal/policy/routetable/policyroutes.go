// Package routetable makes of a policy what requests are led by: the routes, what they stay by, and what is blocked. It is pure:
// no I/O, no goroutine, no clock. A policy that follows on another costs what changed.
package routetable

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"lapisspread/internal/policy/namespace"
	"lapisspread/internal/route"
)

// Routes are what requests are led by under one policy. Nothing changes them; any number of goroutines may use them.
type Routes struct {
	Table    *route.Table
	StickyBy map[string]string // by route, where it is not the key: what a route that splits stays by
	Blocks   *route.Table      // what is blocked; nil is nothing

	fallback string
}

// MissingServicesError says that routes lead to services that the proxy does not have.
type MissingServicesError struct{ Names []string }

func (e MissingServicesError) Error() string {
	const most = 20
	if n := len(e.Names) - most; n > 0 {
		return fmt.Sprintf("the file of services does not have %s, and %d more", strings.Join(e.Names[:most], ", "), n)
	}
	return "the file of services does not have " + strings.Join(e.Names, ", ")
}

// Advice is what an operator can do.
func (MissingServicesError) Advice() string {
	return "Enter the services in the proxy's file of services and have it read again; until then the routes before go on."
}

// InvalidRulesError says that a policy's routes or blocks can't all hold.
type InvalidRulesError struct {
	Kind string // routes or blocks
	Err  error
}

func (e InvalidRulesError) Error() string { return fmt.Sprintf("the policy's %s: %v", e.Kind, e.Err) }

// Unwrap gives what is wrong.
func (e InvalidRulesError) Unwrap() error { return e.Err }

// Advice is what an operator can do.
func (InvalidRulesError) Advice() string {
	return "The routes before go on. Have the teams whose rules are named mend them, and offer their files again."
}

// Build makes the routes of a policy. Fallback is the service for what no route matches, empty for none; has tells whether there is a
// service. Errors are MissingServices, with all that are missing, and BadRoutes.
func Build(p *namespace.Policy, fallback string, has func(service string) bool) (*Routes, error) {
	if err := checkServices(p.Routes, has); err != nil {
		return nil, err
	}
	table, err := p.Table()
	if err != nil {
		return nil, InvalidRulesError{"routes", err}
	}
	blocks, err := compileBlocks(p)
	if err != nil {
		return nil, err
	}
	r := &Routes{Table: table.Otherwise(fallback), StickyBy: map[string]string{}, Blocks: blocks, fallback: fallback}
	for i := range p.Routes {
		if by := p.Routes[i].Sticky; by != "" {
			r.StickyBy[p.Routes[i].Name] = by
		}
	}
	return r, nil
}

// Update makes the routes of the policy that follows on the one that these are of, where d is what is not as in that. It gives what Build
// gives of p with the same fallback, and the same errors, as long as has tells of the services what it told before: where the services
// change, Build checks all routes anew. It costs what changed; the routes themselves stay as they are.
func (r *Routes) Update(p *namespace.Policy, d *namespace.Diff, has func(service string) bool) (*Routes, error) {
	if err := checkServices(d.Routes, has); err != nil {
		return nil, err
	}
	table, err := p.Table()
	if err != nil {
		return nil, InvalidRulesError{"routes", err}
	}
	next := &Routes{Table: table.Otherwise(r.fallback), StickyBy: r.StickyBy, Blocks: r.Blocks, fallback: r.fallback}
	if d.Blocks {
		if next.Blocks, err = compileBlocks(p); err != nil {
			return nil, err
		}
	}
	copied := false
	stick := func(name, by string) {
		if next.StickyBy[name] == by {
			return
		}
		if !copied {
			next.StickyBy, copied = maps.Clone(next.StickyBy), true
		}
		if by == "" {
			delete(next.StickyBy, name)
		} else {
			next.StickyBy[name] = by
		}
	}
	for _, name := range d.RoutesGone {
		stick(name, "")
	}
	for i := range d.Routes {
		stick(d.Routes[i].Name, d.Routes[i].Sticky)
	}
	return next, nil
}

// checkServices tells which services routes lead to that are not there.
func checkServices(routes []namespace.PolicyRoute, has func(string) bool) error {
	var names []string
	seen := map[string]bool{}
	for i := range routes {
		for _, to := range routes[i].To {
			if !seen[to.Service] {
				seen[to.Service] = true
				if !has(to.Service) {
					names = append(names, to.Service)
				}
			}
		}
	}
	if len(names) == 0 {
		return nil
	}
	slices.Sort(names)
	return MissingServicesError{names}
}

// compileBlocks is a table of what is blocked; nil of nothing.
func compileBlocks(p *namespace.Policy) (*route.Table, error) {
	if len(p.Blocks) == 0 {
		return nil, nil
	}
	rules := make([]route.Rule, len(p.Blocks))
	for i := range p.Blocks {
		b := &p.Blocks[i]
		rules[i] = route.Rule{Name: b.Name, Host: b.Host, Path: b.Path, PathPrefix: b.PathPrefix, Methods: b.Methods, Classes: b.Classes,
			Tenants: b.Tenants, To: []route.Target{{Service: "blocked", Weight: 1}}}
	}
	table, err := route.Compile(rules, "")
	if err != nil {
		return nil, InvalidRulesError{"blocks", err}
	}
	return table, nil
}

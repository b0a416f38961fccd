package capacity

import (
	"fmt"
	"slices"
	"strings"

	"lapisspread/internal/fleetlink"
	"lapisspread/internal/namespace"
	"lapisspread/internal/route"
)

// decides is what a hollow proxy decides by: made of a policy as the real one makes it.
type decides struct {
	taken  *fleetlink.Taken
	table  *route.Table
	sticky map[string]string
	blocks *route.Table
}

func takenOf(p *namespace.Policy) *fleetlink.Taken { return &fleetlink.Taken{Policy: p, Epoch: "1"} }

// decideBy makes it; has tells which services there are, nil is all.
func decideBy(_ *decides, t *fleetlink.Taken, has map[string]bool) (*decides, error) {
	out := &decides{taken: t, sticky: map[string]string{}}
	if t.Policy == nil {
		return out, nil
	}
	var missing []string
	for _, r := range t.Policy.Routes {
		out.sticky[r.Name] = r.Sticky
		for _, to := range r.To {
			if has != nil && !has[to.Service] && !slices.Contains(missing, to.Service) {
				missing = append(missing, to.Service)
			}
		}
	}
	if len(missing) > 0 {
		return nil, fmt.Errorf("there are no services %s", strings.Join(missing, ", "))
	}
	var err error
	if out.table, err = route.Compile(t.Policy.Rules(), ""); err != nil {
		return nil, err
	}
	var rules []route.Rule
	for _, b := range t.Policy.Blocks {
		rules = append(rules, route.Rule{Name: b.Name, Host: b.Host, Path: b.Path, PathPrefix: b.PathPrefix, Methods: b.Methods, Classes: b.Classes,
			Tenants: b.Tenants, To: []route.Target{{Service: "blocked", Weight: 1}}})
	}
	if len(rules) > 0 {
		out.blocks, err = route.Compile(rules, "")
	}
	return out, err
}

// service is how a request is decided; empty is by no route.
func (d *decides) service(q *route.Request) string {
	if d == nil || d.table == nil {
		return ""
	}
	if d.blocks != nil {
		if _, v := d.blocks.Lookup(q); v == route.Found {
			return "blocked"
		}
	}
	r, v := d.table.Lookup(q)
	if v != route.Found {
		return ""
	}
	return r.Pick(0)
}

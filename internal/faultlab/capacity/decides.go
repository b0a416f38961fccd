package capacity

import (
	"bytes"
	"strings"

	"lapisspread/internal/controlplane/client"
	"lapisspread/internal/policy/merkle"
	"lapisspread/internal/policy/namespace"
	"lapisspread/internal/policy/routetable"
	"lapisspread/internal/route"
)

// decides is what a hollow proxy decides by: made of a policy as the real one makes it.
type decides struct {
	taken  *client.InstalledPolicy
	routes *routetable.Routes // nil of none
}

// takenOf is a policy as a proxy has it that has fetched all of it: it shares nothing.
func takenOf(p *namespace.Policy) (*client.InstalledPolicy, error) {
	from, err := p.Tree()
	if err != nil {
		return nil, err
	}
	var items []merkle.Item
	for item := range from.Items() {
		items = append(items, merkle.Item{Key: strings.Clone(item.Key), Value: bytes.Clone(item.Value)})
	}
	t := &client.InstalledPolicy{Epoch: "1"}
	if t.Tree, err = merkle.Build(items); err != nil {
		return nil, err
	}
	t.Policy, err = namespace.FromTree(t.Tree)
	return t, err
}

// decideBy makes it of what was taken up, and of the one before; has tells which services there are, nil is all.
func decideBy(was *decides, t *client.InstalledPolicy, has map[string]bool) (*decides, error) {
	out := &decides{taken: t}
	if t.Policy == nil {
		return out, nil
	}
	there := func(service string) bool { return has == nil || has[service] }
	var err error
	if was != nil && was.routes != nil && t.Diff != nil && was.taken.Offer == t.Base {
		out.routes, err = was.routes.Update(t.Policy, t.Diff, there)
	} else {
		out.routes, err = routetable.Build(t.Policy, "", there)
	}
	return out, err
}

// service is how a request is decided; empty is by no route.
func (d *decides) service(q *route.Request) string {
	if d == nil || d.routes == nil {
		return ""
	}
	if d.routes.Blocks != nil {
		if _, v := d.routes.Blocks.Lookup(q); v == route.Found {
			return "blocked"
		}
	}
	r, v := d.routes.Table.Lookup(q)
	if v != route.Found {
		return ""
	}
	return r.Pick(0)
}

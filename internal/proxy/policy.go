package proxy

import (
	"context"
	"errors"
	"net/http"

	"lapisspread/internal/controlplane/client"
	"lapisspread/internal/metrics"
	"lapisspread/internal/policy/routetable"
	"lapisspread/internal/route"
)

// takeUp has requests decided under a policy from now on, all of it or nothing. Whoever is decided already keeps what it was
// decided under.
func (s *services) takeUp(t *client.InstalledPolicy) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.now.Load()
	if old == nil {
		return errors.New("the proxy does not serve yet")
	}
	next := *old
	if err := next.decideBy(t, s.policyRoutes); err != nil {
		return err
	}
	s.now.Store(&next)
	return nil
}

// decideBy sets the policy, and where routes come from it the routes. What did not change since the policy before is taken over, if
// the services are the same. An error leaves something half done: n is thrown away then.
func (n *installed) decideBy(t *client.InstalledPolicy, routes bool) error {
	before, was := n.policyRoutes, n.policy
	n.policy = t
	if !routes || n.only != nil || t == nil || t.Policy == nil {
		return nil
	}
	has := func(service string) bool { return n.byName[service] != nil }
	var next *routetable.Routes
	var err error
	if before != nil && t.Diff != nil && was != nil && was.Policy != nil && was.Offer == t.Base {
		next, err = before.Update(t.Policy, t.Diff, has)
	} else {
		next, err = routetable.Build(t.Policy, n.otherwise, has)
	}
	if err != nil {
		return err
	}
	n.policyRoutes, n.table, n.sticky, n.blocks = next, next.Table, next.StickyBy, next.Blocks
	return nil
}

// blocked says which block of the policy a request meets.
func (n *installed) blocked(q *route.Request) error {
	if n.blocks == nil {
		return nil
	}
	if rule, verdict := n.blocks.Lookup(q); verdict == route.Found {
		return &rejection{status: http.StatusForbidden, text: "blocked by " + rule.Name}
	}
	return nil
}

// ended counts a request, and whether it went well under the policy that it was decided under.
func (r *request) ended(o metrics.Outcome) {
	r.service.figures.CountRequest(r.Class, o)
	r.policy.CountRequest(o == metrics.Served)
}

// followPolicy has the process take up what the stewards offer until ctx ends.
func (p *Proxy) followPolicy(ctx context.Context) {
	if policies := p.policies.Load(); policies != nil {
		if err := p.services.takeUp(policies.Current()); err != nil { // requests are counted before there is any, to compare with
			p.log.Error("requests are not counted for the policy", "err", err)
		}
		policies.Restore()
		policies.Run(ctx)
	}
}

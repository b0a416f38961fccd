package proxy

import (
	"net/http"

	"lapisspread/internal/controlplane/client"
	"lapisspread/internal/policy/routetable"
	"lapisspread/internal/route"
	config "lapisspread/internal/services"
)

// routingState holds the services and routes of one configuration. It is immutable once it is stored in a serviceSet.
type routingState struct {
	only   *service // the only service; nil if there are several
	byName map[string]*service
	table  *route.Table
	sticky map[string]string // what selects one of a route's several services (tenant, request or key), by route name
	limits config.Limits

	policy         *client.InstalledPolicy // the installed policy; nil without a control plane
	blocks         *route.Table            // blocks of the policy; nil if nothing is blocked
	defaultService string                  // from the file of services, for requests that no route matches

	policyRoutes *routetable.Routes // source of table, sticky and blocks; nil if the routes come from the file
}

// newRoutingState returns a state with the routes of a file of services. The caller adds the services.
func newRoutingState(file *config.Config) *routingState {
	n := &routingState{
		byName:         map[string]*service{},
		table:          file.Table,
		sticky:         map[string]string{},
		limits:         file.File.Limits,
		defaultService: file.File.Default,
	}
	for _, r := range file.File.Routes {
		n.sticky[r.Name] = r.Sticky
	}
	return n
}

// applyPolicy sets the policy, and also the routes if they come from the policy. Routes that did not change since the
// previous policy are reused. After an error n is incomplete and must be discarded.
func (n *routingState) applyPolicy(policy *client.InstalledPolicy, routesFromPolicy bool) error {
	previous := n.policy
	n.policy = policy
	if !routesFromPolicy || n.only != nil || policy == nil || policy.Policy == nil {
		return nil
	}
	routes, err := n.buildRoutes(previous, policy)
	if err != nil {
		return err
	}
	n.policyRoutes = routes
	n.table = routes.Table
	n.sticky = routes.StickyBy
	n.blocks = routes.Blocks
	return nil
}

// buildRoutes builds the routes of a policy: incrementally if its diff is against the previous policy, else completely.
func (n *routingState) buildRoutes(previous, policy *client.InstalledPolicy) (*routetable.Routes, error) {
	known := func(service string) bool { return n.byName[service] != nil }
	incremental := n.policyRoutes != nil && policy.Diff != nil &&
		previous != nil && previous.Policy != nil && previous.Offer == policy.Base
	if incremental {
		return n.policyRoutes.Update(policy.Policy, policy.Diff, known)
	}
	return routetable.Build(policy.Policy, n.defaultService, known)
}

// checkBlocked returns a rejection if the policy blocks a request.
func (n *routingState) checkBlocked(q *route.Request) error {
	if n.blocks == nil {
		return nil
	}
	if rule, verdict := n.blocks.Lookup(q); verdict == route.Found {
		return &rejection{status: http.StatusForbidden, message: "blocked by " + rule.Name}
	}
	return nil
}

// route returns the service for a request and the policy that routed it. The policy is valid with an error too. The
// caller must release the service.
func (s *serviceSet) route(r *http.Request) (*service, *client.InstalledPolicy, error) {
	return s.acquireService(func(state *routingState) (*service, error) { return state.serviceFor(r) })
}

// acquireService returns the only service, or if there are several the one that find returns, and the policy of that
// routing state. The policy is valid with an error too. The caller must release the service.
func (s *serviceSet) acquireService(find func(state *routingState) (*service, error)) (
	*service, *client.InstalledPolicy, error,
) {
	for {
		state := s.current.Load()
		svc := state.only
		if svc == nil {
			var err error
			svc, err = find(state)
			if err != nil {
				return nil, state.policy, err
			}
		}
		if svc.acquire() {
			return svc, state.policy, nil
		}
		if s.current.Load() == state { // not replaced by a reload, so the process is ending
			return nil, state.policy, unavailable("the service is ending")
		}
	}
}

// serviceFor returns the service that an HTTP request is routed to.
func (n *routingState) serviceFor(r *http.Request) (*service, error) {
	q := route.Request{
		Host:   r.Host,
		Path:   r.URL.Path,
		Method: r.Method,
		Class:  r.Header.Get("X-Priority-Class"),
		Tenant: r.Header.Get("X-Tenant-Id"),
	}
	key := func() string { return r.URL.Query().Get("key") }
	svc, err := n.lookup(&q, key, r.Header.Get("X-Request-Id"))
	if err == nil && svc.diameter != nil {
		return nil, &rejection{
			status:  http.StatusNotImplemented,
			message: "the servers behind this route speak Diameter",
		}
	}
	return svc, err
}

// lookup returns the service that a request is routed to. A route with several services may be split by key or by id.
func (n *routingState) lookup(q *route.Request, key func() string, id string) (*service, error) {
	if err := n.checkBlocked(q); err != nil {
		return nil, err
	}
	rule, verdict := n.table.Lookup(q)
	switch verdict {
	case route.Found:
	case route.UnknownHost:
		return nil, &rejection{status: http.StatusMisdirectedRequest, message: verdict.String()}
	case route.AmbiguousPath:
		return nil, malformed("%v", verdict)
	default:
		return nil, &rejection{status: http.StatusNotFound, message: verdict.String()}
	}
	splitBy := ""
	if len(rule.To) > 1 {
		splitBy = n.splitValue(rule.Name, q.Tenant, key, id)
	}
	svc := n.byName[rule.Pick(hashName(splitBy))]
	if svc == nil {
		return nil, &rejection{status: http.StatusNotFound, message: "the route's service is not there"}
	}
	return svc, nil
}

// splitValue returns the value by which a route with several services chooses one: equal values go to the same service.
func (n *routingState) splitValue(ruleName, tenant string, key func() string, id string) string {
	switch n.sticky[ruleName] {
	case "tenant":
		return tenant
	case "request":
		return id
	}
	if value := key(); value != "" {
		return value
	}
	return id
}

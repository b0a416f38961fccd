package proxy

import (
	"cmp"
	"context"
	"slices"
	"time"

	"lapisspread/decision"
	"lapisspread/internal/engine"
	config "lapisspread/internal/services"
)

// newSource returns the source of the endpoint list at an address: a discovery client, wrapped with the freshness
// monitor and the list guard if they are configured. The name stays the same if a source moves to another address.
func (s *serviceSet) newSource(name, addr string) engine.Source {
	p := s.proxy
	client := newDiscoveryClient(addr, p.cfg.timing, p.log)
	client.onInvalidList = func() { p.counters.InvalidLists.Add(1) }
	var source engine.Source = client
	// The monitor wraps the client directly: it must see discovery's answers, and not the lists that the guard has
	// changed.
	if monitor := p.freshness.Load(); monitor != nil {
		hold := client.timing.watchHold
		source = monitor.Wrap(freshnessName(name), hold, client, s.initialList(addr), p.snapshots.listAge(addr))
	}
	if p.listGuard == nil {
		return source
	}
	guarded := p.listGuard.Wrap(name, source, s.initialList(addr))
	client.watchHold = func() time.Duration { return guarded.WatchTimeout(client.timing.watchHold) }
	return guarded
}

// freshnessName returns the name under which a source's freshness is monitored. The source of the only service keeps
// its name if it moves to another address.
func freshnessName(source string) string { return cmp.Or(source, "discovery") }

// followFreshness makes a service use the freshness of the endpoint list at an address.
func (s *service) followFreshness(addr string) {
	switch {
	case s.freshness == nil:
	case s.name == "":
		s.freshness.Follow(freshnessName(""))
	default:
		s.freshness.Follow(freshnessName(addr))
	}
}

// initialList returns the endpoint list of an address known at the process's start, empty for any address but the
// configured one.
func (s *serviceSet) initialList(addr string) List {
	if addr != s.proxy.cfg.Discovery {
		return List{}
	}
	known := s.proxy.cfg.InitialEndpoints
	return List{Version: known.Version, Full: true, Endpoints: known.Endpoints}
}

// switchDiscovery makes a service use the endpoint list at another address. It has no effect if the service already
// does.
func (s *serviceSet) switchDiscovery(svc *service, discovery string) {
	svc.engine.Post(func() {
		if discovery == svc.engine.Source().Addr() {
			return
		}
		source, _ := s.subscribe(discovery, &svc.spec)
		svc.engine.SwitchSource(source)
		svc.followFreshness(discovery)
	})
}

// subscribe returns a service's source for the endpoint list at an address, and the newest list that is known.
// Several services at one address share one watch.
func (s *serviceSet) subscribe(addr string, spec *config.Service) (engine.Source, List) {
	known := s.initialList(addr)
	if spec.Name == "" {
		return s.newSource("", addr), known
	}
	follower := s.discoveryRegistry.Subscribe(addr, known)
	known, _ = follower.List()
	if len(spec.Kinds) == 0 && len(spec.Cells) == 0 {
		return follower, known
	}
	filtered := filteredSource{Source: follower, spec: *spec}
	return filtered, filtered.filter(known)
}

// filteredSource is a source reduced to the endpoints of one service. In a change, other endpoints are reported as
// removed, since an endpoint may have moved to another service.
type filteredSource struct {
	engine.Source
	spec config.Service
}

// matches reports whether an endpoint's kind and cell belong to the service.
func (s filteredSource) matches(m *Member) bool {
	return (len(s.spec.Kinds) == 0 || slices.Contains(s.spec.Kinds, m.Kind)) &&
		(len(s.spec.Cells) == 0 || slices.Contains(s.spec.Cells, m.Cell))
}

// filter returns a list reduced to the service's endpoints.
func (s filteredSource) filter(list List) List {
	filtered := List{Version: list.Version, Full: list.Full}
	for _, m := range list.Endpoints {
		if !s.matches(&m) {
			if list.Full {
				continue
			}
			m.State = decision.Removed
		}
		filtered.Endpoints = append(filtered.Endpoints, m)
	}
	return filtered
}

// Fetch fetches the whole list and returns the service's endpoints in it.
func (s filteredSource) Fetch(ctx context.Context) (List, error) {
	list, err := s.Source.Fetch(ctx)
	return s.filter(list), err
}

// Watch calls notify with each answer, reduced to the service's endpoints.
func (s filteredSource) Watch(ctx context.Context, from uint32, notify func(List)) error {
	return s.Source.Watch(ctx, from, func(list List) { notify(s.filter(list)) })
}

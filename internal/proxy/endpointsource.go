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

// newSource makes the source of the endpoint list at an address: a discovery client, whose answers pass the freshness
// monitor and the list guard where there are any. The name stays the same where a source moves to another address.
func (s *serviceSet) newSource(name, addr string) engine.Source {
	p := s.proxy
	client := newDiscoveryClient(addr, p.cfg.timing, p.log)
	client.onInvalidList = func() { p.counters.InvalidLists.Add(1) }
	var source engine.Source = client
	// The monitor comes before the guard: it judges what discovery said, not what the guard made of it.
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
// its name where it moves to another address.
func freshnessName(source string) string { return cmp.Or(source, "discovery") }

// followFreshness makes a service judge freshness by the list of its source at an address.
func (s *service) followFreshness(addr string) {
	switch {
	case s.freshness == nil:
	case s.name == "":
		s.freshness.Follow(freshnessName(""))
	default:
		s.freshness.Follow(freshnessName(addr))
	}
}

// initialList returns the endpoint list at an address as it was known at the start.
func (s *serviceSet) initialList(addr string) List {
	if addr != s.proxy.cfg.Discovery {
		return List{}
	}
	known := s.proxy.cfg.InitialEndpoints
	return List{Version: known.Version, Full: true, Endpoints: known.Endpoints}
}

// switchDiscovery has a service take its endpoint list from another address, unless it does already.
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

// subscribe returns a service's source of its endpoint list at an address, and the list as far as it is known already.
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

// filteredSource is a source reduced to the endpoints of one service. Other endpoints are reported as removed, since an
// endpoint may come to belong to another service.
type filteredSource struct {
	engine.Source
	spec config.Service
}

// matches reports whether an endpoint belongs to the service.
func (s filteredSource) matches(m *Member) bool {
	return (len(s.spec.Kinds) == 0 || slices.Contains(s.spec.Kinds, m.Kind)) &&
		(len(s.spec.Cells) == 0 || slices.Contains(s.spec.Cells, m.Cell))
}

func (s filteredSource) filter(list List) List {
	out := List{Version: list.Version, Full: list.Full}
	for _, m := range list.Endpoints {
		if !s.matches(&m) {
			if list.Full {
				continue
			}
			m.State = decision.Removed
		}
		out.Endpoints = append(out.Endpoints, m)
	}
	return out
}

// Fetch fetches the whole list and returns the service's part of it.
func (s filteredSource) Fetch(ctx context.Context) (List, error) {
	list, err := s.Source.Fetch(ctx)
	return s.filter(list), err
}

// Watch calls notify with the service's part of each change.
func (s filteredSource) Watch(ctx context.Context, from uint32, notify func(List)) error {
	return s.Source.Watch(ctx, from, func(list List) { notify(s.filter(list)) })
}

package discovery

import (
	"slices"

	"lapisspread/decision"
	"lapisspread/internal/engine"
)

// endpointSet is a full endpoint list that changes are applied to.
type endpointSet struct {
	known   bool // whether a list was applied
	version uint32
	members []engine.Endpoint // in the order in which they were added
}

// apply replaces the set by a full list, or applies the changes to single endpoints that a list holds.
func (s *endpointSet) apply(list engine.EndpointList) {
	if list.Full {
		s.members = s.members[:0]
	}
	s.known = true
	s.version = list.Version
	for _, endpoint := range list.Endpoints {
		i := slices.IndexFunc(s.members, func(other engine.Endpoint) bool { return other.ID == endpoint.ID })
		switch {
		case endpoint.State == decision.Removed && i >= 0:
			s.members = slices.Delete(s.members, i, i+1)
		case endpoint.State == decision.Removed:
		case i < 0:
			s.members = append(s.members, endpoint)
		default:
			if endpoint.Addr == "" { // a change to draining may omit the address
				endpoint.Addr = s.members[i].Addr
			}
			s.members[i] = endpoint
		}
	}
}

// snapshot returns the full list, which shares no memory with the set.
func (s *endpointSet) snapshot() engine.EndpointList {
	return engine.EndpointList{Version: s.version, Full: true, Endpoints: slices.Clone(s.members)}
}

package proxy

import "sync"

// maxKnownNames bounds the names that an endpointNames holds; the oldest ones are dropped first.
const maxKnownNames = 8192

// endpointNames is the names of all backends that were ever listed to a service: only these can be detached by an
// operator. All methods may be called by any goroutine, and none waits for the engine's loop.
type endpointNames struct {
	mu      sync.Mutex
	names   map[string]bool
	order   []string      // by the time of the first listing
	changed chan struct{} // buffered; tells the engine's loop that the detached backends have changed
}

func newEndpointNames() *endpointNames {
	return &endpointNames{names: map[string]bool{}, changed: make(chan struct{}, 1)}
}

// add takes in the names of an endpoint list.
func (r *endpointNames) add(list List) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range list.Endpoints {
		if r.names[m.ID] {
			continue
		}
		if len(r.order) >= maxKnownNames {
			delete(r.names, r.order[0])
			r.order = r.order[1:]
		}
		r.names[m.ID] = true
		r.order = append(r.order, m.ID)
	}
}

func (r *endpointNames) contains(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.names[id]
}

// notify tells the engine's loop that the detached backends have changed. It does not block.
func (r *endpointNames) notify() {
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

package proxy

import "sync"

// maxKnownNames bounds the names that an endpointNames holds; the oldest ones are dropped first.
const maxKnownNames = 8192

// endpointNames holds the names of all backends that were ever listed to a service. An operator can detach only these.
// All methods may be called by any goroutine, and none waits for the engine's loop.
type endpointNames struct {
	mu      sync.Mutex
	names   map[string]bool
	order   []string      // in the order of their first listing
	changed chan struct{} // buffered; notifies the engine's loop that the detached backends have changed
}

func newEndpointNames() *endpointNames {
	return &endpointNames{names: map[string]bool{}, changed: make(chan struct{}, 1)}
}

// add adds the names of an endpoint list.
func (n *endpointNames) add(list List) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, m := range list.Endpoints {
		if n.names[m.ID] {
			continue
		}
		if len(n.order) >= maxKnownNames {
			delete(n.names, n.order[0])
			n.order = n.order[1:]
		}
		n.names[m.ID] = true
		n.order = append(n.order, m.ID)
	}
}

func (n *endpointNames) contains(id string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.names[id]
}

// notify wakes the engine's loop because the detached backends have changed. It does not block.
func (n *endpointNames) notify() {
	select {
	case n.changed <- struct{}{}:
	default:
	}
}

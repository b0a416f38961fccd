package listener

import (
	"sync"
	"time"

	"lapisspread/internal/admission"
	"lapisspread/internal/processquota"
)

// InHand bounds the requests in hand of one service. It is for any goroutine.
type InHand struct {
	mu    sync.Mutex
	rules *admission.Requests
}

// NewInHand makes the bounds of a service with so many tenants.
func NewInHand(s admission.RequestSettings, gate *processquota.Gate, tenants int, seed uint64) (*InHand, error) {
	rules, err := admission.NewRequests(s, gate, tenants, seed)
	if err != nil {
		return nil, err
	}
	return &InHand{rules: rules}, nil
}

// Take takes a request, or says why not and when it may come back.
func (r *InHand) Take(class, tenant, ofConn int) (why string, after time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rules.Take(class, tenant, ofConn)
}

// Limit is how many may be in hand now, and how many are.
func (r *InHand) Limit() (limit, inHand int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rules.Limit()
}

// Done ends what Take began; took is how long an answer that served took, 0 for any other end.
func (r *InHand) Done(tenant int, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rules.Done(tenant, took)
}

package listener

import (
	"sync"
	"time"

	"lapisspread/internal/admission"
	"lapisspread/internal/processquota"
)

// RequestLimiter bounds the requests in hand of one service. It is for any goroutine.
type RequestLimiter struct {
	mu    sync.Mutex
	rules *admission.RequestLimiter
}

// NewRequestLimiter makes the bounds of a service with so many tenants.
func NewRequestLimiter(s admission.RequestSettings, gate *processquota.Gate, tenants int, seed uint64) (*RequestLimiter, error) {
	rules, err := admission.NewRequestLimiter(s, gate, tenants, seed)
	if err != nil {
		return nil, err
	}
	return &RequestLimiter{rules: rules}, nil
}

// Acquire takes a request, or says why not and when it may come back.
func (r *RequestLimiter) Acquire(class, tenant, ofConn int) (why string, after time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rules.Acquire(class, tenant, ofConn)
}

// Limit is how many may be in hand now, and how many are.
func (r *RequestLimiter) Limit() (limit, inHand int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rules.Limit()
}

// Release ends what Take began; took is how long an answer that served took, 0 for any other end.
func (r *RequestLimiter) Release(tenant int, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rules.Release(tenant, took)
}

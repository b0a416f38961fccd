package listener

import (
	"sync"
	"time"

	"lapisspread/internal/admission"
	"lapisspread/internal/processquota"
)

// RequestLimiter bounds the requests in flight of one service. It is safe for concurrent use.
type RequestLimiter struct {
	mu    sync.Mutex
	rules *admission.RequestLimiter
}

// NewRequestLimiter returns a limiter for a service with a number of tenants; see admission.NewRequestLimiter.
func NewRequestLimiter(
	s admission.RequestSettings, gate *processquota.Gate, tenants int, seed uint64,
) (*RequestLimiter, error) {
	rules, err := admission.NewRequestLimiter(s, gate, tenants, seed)
	if err != nil {
		return nil, err
	}
	return &RequestLimiter{rules: rules}, nil
}

// Acquire admits a request, which an empty reason says, or returns the reason and after how long the client may retry;
// see admission.RequestLimiter.Acquire. It does not wait for a request to end. Release must follow for a request that
// was admitted.
func (r *RequestLimiter) Acquire(class, tenant, ofConn int) (reason string, retryAfter time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rules.Acquire(class, tenant, ofConn)
}

// Limit returns how many requests may be in flight now, and how many are.
func (r *RequestLimiter) Limit() (limit, inFlight int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rules.Limit()
}

// Release ends a request that Acquire admitted. latency is that of an answer that was served, 0 for any other end.
func (r *RequestLimiter) Release(tenant int, latency time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rules.Release(tenant, latency)
}

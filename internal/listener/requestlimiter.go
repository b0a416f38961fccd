package listener

import (
	"sync"
	"time"

	"lapisspread/internal/admission"
	"lapisspread/internal/processquota"
)

// RequestLimiter limits the number of requests in flight of one service. It is safe for concurrent use.
type RequestLimiter struct {
	mu    sync.Mutex
	rules *admission.RequestLimiter
}

// NewRequestLimiter returns a limiter for a service with the given number of tenants; see admission.NewRequestLimiter.
func NewRequestLimiter(
	s admission.RequestSettings, gate *processquota.Gate, tenants int, seed uint64,
) (*RequestLimiter, error) {
	rules, err := admission.NewRequestLimiter(s, gate, tenants, seed)
	if err != nil {
		return nil, err
	}
	return &RequestLimiter{rules: rules}, nil
}

// Acquire admits a request and returns an empty reason, or rejects it and returns the reason and the time after which
// the client may retry. class and tenant are indexes of the service's classes and tenants; connInFlight is the number
// of requests in flight on the client's connection. Acquire does not wait for other requests to end. The caller must
// call Release once for each admitted request.
func (r *RequestLimiter) Acquire(class, tenant, connInFlight int) (reason string, retryAfter time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rules.Acquire(class, tenant, connInFlight)
}

// Limit returns the current limit for requests in flight, and the number of requests in flight.
func (r *RequestLimiter) Limit() (limit, inFlight int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rules.Limit()
}

// Release records the end of a request that Acquire admitted. latency is the response's latency if the request was
// served, and 0 otherwise.
func (r *RequestLimiter) Release(tenant int, latency time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rules.Release(tenant, latency)
}

package limiter

import (
	"time"

	"lapisspread/internal/processquota"
)

// Request describes a request for which Acquire decides on admission.
type Request struct {
	Service string
	Gate    *processquota.Gate // the service's gate; nil admits every class and tenant
	Class   int                // index of its class in the gate
	Tenant  int                // index of its tenant in the gate
	Bytes   int64              // length of its body
}

// Acquire admits a request and takes a unit of requests in flight, the bytes of its body and one attempt. It returns an
// empty reason for an admitted request. Otherwise it returns the reason for the rejection, as a message to the client,
// and the time after which the client may retry; 0 means that it is not known. The caller must call Release for each
// admitted request when it ends, and must not call it for a rejected one. Release does not return the attempt.
func (l *Limits) Acquire(r Request) (reason string, retryAfter time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pools == nil {
		return "", 0
	}
	now := l.now()
	available := l.pools.requests.Available(now, r.Service)
	if available > 0 && r.Gate != nil {
		if !r.Gate.Admits(l.pools.requests.InUse(r.Service), available, r.Class, r.Tenant) {
			l.rejectionCounts(r.Service).PriorityReserve++
			return "the last of the service's places are kept for what is worth more, " +
				"and for tenants that hold less", 0
		}
	}
	if !l.pools.requests.Acquire(now, r.Service, 1) {
		l.rejectionCounts(r.Service).Capacity++
		return "the service's share of this proxy is taken", 0
	}
	if !l.pools.bytes.Acquire(now, r.Service, r.Bytes) {
		_ = l.pools.requests.Release(r.Service, 1) // cannot fail: the unit was acquired above
		l.rejectionCounts(r.Service).Capacity++
		return "the service's share of this proxy's bytes is taken", 0
	}
	if l.attempts != nil {
		if ok, retryAfter := l.attempts.Acquire(now, r.Service); !ok {
			l.release(r)
			l.rejectionCounts(r.Service).Attempts++
			return "the service's attempts of this second are taken", retryAfter
		}
	}
	if r.Gate != nil {
		r.Gate.Enter(r.Tenant)
	}
	return "", 0
}

// Release returns the units of a request that Acquire admitted, except its attempt.
func (l *Limits) Release(r Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pools == nil {
		return
	}
	l.release(r)
	if r.Gate != nil {
		r.Gate.Leave(r.Tenant)
	}
}

// release returns a request's units to the pools. The caller holds l.mu.
func (l *Limits) release(r Request) {
	// A request that was admitted before the first Reconfigure holds no units, so these calls may fail.
	_ = l.pools.requests.Release(r.Service, 1)
	_ = l.pools.bytes.Release(r.Service, r.Bytes)
}

// AcquireRetry takes one of the service's attempts per second for a retry, and reports whether the retry may be made.
func (l *Limits) AcquireRetry(service string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.attempts == nil {
		return true
	}
	ok, _ := l.attempts.Acquire(l.now(), service)
	if !ok {
		l.rejectionCounts(service).Retries++
	}
	return ok
}

// rejectionCounts returns the counts of a service, which the caller may change. The caller holds l.mu.
func (l *Limits) rejectionCounts(service string) *rejections {
	r := l.rejected[service]
	if r == nil {
		r = &rejections{}
		l.rejected[service] = r
	}
	return r
}

// AcquireConn takes a connection for a service and reports whether the service may open it. The caller must call
// ReleaseConn when a permitted connection is closed.
func (l *Limits) AcquireConn(service string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.pools == nil || l.pools.conns.Acquire(l.now(), service, 1)
}

// ReleaseConn returns a connection that AcquireConn permitted.
func (l *Limits) ReleaseConn(service string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pools != nil {
		_ = l.pools.conns.Release(service, 1) // fails for a connection from before the first Reconfigure
	}
}

package limiter

import (
	"time"

	"lapisspread/internal/processquota"
)

// Request is a request that asks for admission.
type Request struct {
	Service string
	Gate    *processquota.Gate // of the service; nil admits every class and tenant
	Class   int
	Tenant  int
	Bytes   int64 // of its body
}

// Acquire admits a request, with the bytes of its body and its first attempt. Otherwise it returns the reason, and
// after how long the client may retry; 0 is not known. Release must follow for a request that was admitted, and for
// no other. The attempt is used up.
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
			l.rejectionsOf(r.Service).PriorityReserve++
			return "the last of the service's places are kept for what is worth more, " +
				"and for tenants that hold less", 0
		}
	}
	if !l.pools.requests.Acquire(now, r.Service, 1) {
		l.rejectionsOf(r.Service).Capacity++
		return "the service's share of this proxy is taken", 0
	}
	if !l.pools.bytes.Acquire(now, r.Service, r.Bytes) {
		_ = l.pools.requests.Release(r.Service, 1) // it was just acquired
		l.rejectionsOf(r.Service).Capacity++
		return "the service's share of this proxy's bytes is taken", 0
	}
	if l.attempts != nil {
		if ok, retryAfter := l.attempts.Acquire(now, r.Service); !ok {
			l.release(r)
			l.rejectionsOf(r.Service).Attempts++
			return "the service's attempts of this second are taken", retryAfter
		}
	}
	if r.Gate != nil {
		r.Gate.Enter(r.Tenant)
	}
	return "", 0
}

// Release ends a request that Acquire admitted.
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

// release returns what a request holds to the pools. The lock is held.
func (l *Limits) release(r Request) {
	// A request that was admitted before the first Reconfigure holds nothing.
	_ = l.pools.requests.Release(r.Service, 1)
	_ = l.pools.bytes.Release(r.Service, r.Bytes)
}

// AcquireRetry takes one retry out of the service's attempts per second, and reports whether it may be made.
func (l *Limits) AcquireRetry(service string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.attempts == nil {
		return true
	}
	ok, _ := l.attempts.Acquire(l.now(), service)
	if !ok {
		l.rejectionsOf(service).Retries++
	}
	return ok
}

// rejectionsOf returns the counts of a service. The lock is held.
func (l *Limits) rejectionsOf(service string) *rejections {
	r := l.rejected[service]
	if r == nil {
		r = &rejections{}
		l.rejected[service] = r
	}
	return r
}

// AcquireConn reports whether a service may open a connection to a server. ReleaseConn must follow when it is closed.
func (l *Limits) AcquireConn(service string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.pools == nil || l.pools.conns.Acquire(l.now(), service, 1)
}

// ReleaseConn ends a connection that AcquireConn permitted.
func (l *Limits) ReleaseConn(service string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pools != nil {
		_ = l.pools.conns.Release(service, 1) // one from before the first Reconfigure holds nothing
	}
}

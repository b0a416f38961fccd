// Package limiter holds what the services of one process share of it: requests in hand, bytes of bodies, connections to
// servers, attempts a second. The decisions are package budget's; here are the lock, the clock and the totals.
package limiter

import (
	"fmt"
	"sync"
	"time"

	"lapisspread/internal/processquota"
	"lapisspread/internal/services"
)

// attemptsBurst is how much of a second's attempts may be saved up.
const attemptsBurst = 250 * time.Millisecond

// Totals are what there is to share. A total of attempts of 0 is no limit.
type Totals struct {
	Requests, Bytes, Conns int64
	Attempts               float64 // a second: requests taken, and further attempts
}

// Limits are what the services share. Before the first Change they bind nothing: there is one service then. They are
// for any goroutine; no call waits.
type Limits struct {
	now func() time.Duration // a clock that only goes forward

	mu       sync.Mutex
	pools    *pools // nil for one service
	attempts *processquota.RateLimiter
	leaving  map[string]int // services that take no more and have not ended, by name
	file     *services.File // the pools' own
	totals   Totals
	rejected map[string]*rejections
}

type pools struct{ requests, bytes, conns *processquota.Pool }

// rejections count what a service was refused, by why.
type rejections struct {
	Capacity        int64 `json:"places"`   // no request more in hand, or no byte
	PriorityReserve int64 `json:"worth"`    // the last places are kept for others
	Attempts        int64 `json:"attempts"` // none in this second
	Retries         int64 `json:"repeats"`  // further attempts that were not made
}

// New makes limits that go by a clock.
func New(now func() time.Duration) *Limits {
	return &Limits{now: now, leaving: map[string]int{}, rejected: map[string]*rejections{}}
}

// Reconfigure sets the limits of a file. Services that are leaving keep a share until Left is called for each: what they
// have in hand may need connections yet. A bad change changes nothing, and its error names the limit.
func (l *Limits) Reconfigure(f *services.File, totals Totals, leaving []string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, name := range leaving {
		l.leaving[name]++
	}
	err := l.set(f, totals)
	if err != nil {
		for _, name := range leaving {
			l.left(name)
		}
		return err
	}
	l.file, l.totals = f, totals
	return nil
}

// Resize sets other totals for the file that holds. Who holds more than it may now keeps it, and gets nothing new until
// it has come down.
func (l *Limits) Resize(totals Totals) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pools == nil {
		return nil
	}
	if err := l.set(l.file, totals); err != nil {
		return err
	}
	l.totals = totals
	return nil
}

// RemoveLeaving notes that a service which was leaving has left.
func (l *Limits) RemoveLeaving(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.left(name)
	_ = l.set(l.file, l.totals) // they were good before, and one less asks for less
}

func (l *Limits) left(name string) {
	if l.leaving[name]--; l.leaving[name] <= 0 {
		delete(l.leaving, name)
	}
}

// RequestUsage is how many of the requests that may be in hand are, for all services together.
func (l *Limits) RequestUsage() (total, used int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pools == nil {
		return 0, 0
	}
	return l.pools.requests.Total()
}

// set brings the pools to a file. The lock is held.
func (l *Limits) set(f *services.File, totals Totals) error {
	next := pools{}
	if l.pools != nil {
		next = *l.pools
	}
	for _, k := range []struct {
		pool  **processquota.Pool
		total int64
	}{{&next.requests, totals.Requests}, {&next.bytes, totals.Bytes}, {&next.conns, totals.Conns}} { // the same shares: all are good or none
		shares := withLeaving(f.Shares(k.total), l.leaving)
		var err error
		if *k.pool == nil {
			*k.pool, err = processquota.NewPool(f.PoolSettings(k.total), shares)
		} else {
			err = (*k.pool).Reconfigure(f.PoolSettings(k.total), shares)
		}
		if err != nil {
			return fmt.Errorf("limits: %w", err)
		}
	}
	attempts, err := l.rate(f, totals.Attempts)
	if err != nil {
		return err
	}
	l.pools, l.attempts = &next, attempts
	stay := withLeaving(f.Shares(1), l.leaving)
	for name := range l.rejected {
		if _, stays := stay[name]; !stays {
			delete(l.rejected, name)
		}
	}
	return nil
}

// withLeaving adds services that have not ended yet, without a part kept for them.
func withLeaving[S any](shares map[string]S, leaving map[string]int) map[string]S {
	for name := range leaving {
		if _, stays := shares[name]; !stays {
			var none S
			shares[name] = none
		}
	}
	return shares
}

func (l *Limits) rate(f *services.File, total float64) (*processquota.RateLimiter, error) {
	if total == 0 {
		return nil, nil
	}
	shares := withLeaving(f.RateShares(total), l.leaving)
	if l.attempts == nil {
		r, err := processquota.NewRateLimiter(total, attemptsBurst, shares)
		if err != nil {
			return nil, fmt.Errorf("limits: attempts: %w", err)
		}
		return r, nil
	}
	if err := l.attempts.Reconfigure(total, attemptsBurst, shares); err != nil {
		return nil, fmt.Errorf("limits: attempts: %w", err)
	}
	return l.attempts, nil
}

// Request is a request that wants to be taken.
type Request struct {
	Service       string
	Gate          *processquota.Gate // the service's own; nil lets everyone in
	Class, Tenant int
	Bytes         int64 // of its body
}

// Acquire takes a request with its body's bytes and its first attempt, or tells why not and after how long it may come
// again; 0 is not known. What was taken is given back by Give, but for the attempt.
func (l *Limits) Acquire(a Request) (why string, after time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pools == nil {
		return "", 0
	}
	now := l.now()
	if room := l.pools.requests.Available(now, a.Service); room > 0 && a.Gate != nil {
		if !a.Gate.Admits(l.pools.requests.InUse(a.Service), room, a.Class, a.Tenant) {
			l.rejectionsOf(a.Service).PriorityReserve++
			return "the last of the service's places are kept for what is worth more, and for tenants that hold less", 0
		}
	}
	if !l.pools.requests.Acquire(now, a.Service, 1) {
		l.rejectionsOf(a.Service).Capacity++
		return "the service's share of this proxy is taken", 0
	}
	if !l.pools.bytes.Acquire(now, a.Service, a.Bytes) {
		_ = l.pools.requests.Release(a.Service, 1) // it was taken just now
		l.rejectionsOf(a.Service).Capacity++
		return "the service's share of this proxy's bytes is taken", 0
	}
	if l.attempts != nil {
		if ok, after := l.attempts.Acquire(now, a.Service); !ok {
			_ = l.pools.requests.Release(a.Service, 1)
			_ = l.pools.bytes.Release(a.Service, a.Bytes)
			l.rejectionsOf(a.Service).Attempts++
			return "the service's attempts of this second are taken", after
		}
	}
	if a.Gate != nil {
		a.Gate.Enter(a.Tenant)
	}
	return "", 0
}

// Release ends what Take began. Danger: it must be asked for what Take has granted only.
func (l *Limits) Release(a Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pools == nil {
		return
	}
	_ = l.pools.requests.Release(a.Service, 1)
	_ = l.pools.bytes.Release(a.Service, a.Bytes)
	if a.Gate != nil {
		a.Gate.Leave(a.Tenant)
	}
}

// AcquireRetry takes a further attempt out of the service's attempts a second, or tells that there is none now.
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

func (l *Limits) rejectionsOf(service string) *rejections {
	r := l.rejected[service]
	if r == nil {
		r = &rejections{}
		l.rejected[service] = r
	}
	return r
}

// AcquireConn takes a connection to a server for a service, or tells that it may not have one.
func (l *Limits) AcquireConn(service string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.pools == nil || l.pools.conns.Acquire(l.now(), service, 1)
}

// ReleaseConn gives it back.
func (l *Limits) ReleaseConn(service string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pools != nil {
		_ = l.pools.conns.Release(service, 1)
	}
}

// Report is how the services stand with what they share; nil for one service.
func (l *Limits) Report() map[string]any {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pools == nil {
		return nil
	}
	out := map[string]any{}
	now := l.now()
	for name, p := range map[string]*processquota.Pool{"requests": l.pools.requests, "bytes": l.pools.bytes, "connections": l.pools.conns} {
		total, used := p.Total()
		by := map[string]int64{}
		for member, u := range p.Usage(now) {
			by[member] = u.Used
		}
		out[name] = map[string]any{"total": total, "used": used, "by_service": by}
	}
	refused := map[string]rejections{}
	for name, r := range l.rejected {
		refused[name] = *r
	}
	out["refused"] = refused
	if l.attempts != nil {
		out["attempts_a_second"] = l.totals.Attempts
	}
	return out
}

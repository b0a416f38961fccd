// Package limiter applies the limits that the services of one process share: requests in flight, bytes of request
// bodies, connections to backends, and attempts per second. Package processquota makes the decisions; this package adds
// the lock, the clock and the totals.
package limiter

import (
	"fmt"
	"sync"
	"time"

	"lapisspread/internal/processquota"
	"lapisspread/internal/services"
)

// attemptsBurst is the period for which unused attempts accumulate in the token buckets.
const attemptsBurst = 250 * time.Millisecond

// Totals are the process-wide limits that all services share.
type Totals struct {
	Requests int64   // requests in flight
	Bytes    int64   // bytes of the bodies of requests in flight
	Conns    int64   // open connections to backends
	Attempts float64 // per second: admitted requests plus retries; 0 means no limit
}

// Limits enforces the limits that the services of one process share. Before the first Reconfigure, when there is only
// one service, it admits everything. All methods are safe for concurrent use, and none blocks, except on the mutex.
type Limits struct {
	now func() time.Duration // a monotonic clock

	mu       sync.Mutex
	pools    *pools                    // nil before the first Reconfigure
	attempts *processquota.RateLimiter // nil without a limit on attempts per second
	// leaving holds, by name, the services that were removed from the configuration while requests were in flight. The
	// value counts the calls of Reconfigure that removed the service, less those of RemoveLeaving.
	leaving  map[string]int
	file     *services.File // the configuration that was applied last
	totals   Totals
	rejected map[string]*rejections // by service
}

// pools are the limits on units that services hold for some time.
type pools struct{ requests, bytes, conns *processquota.Pool }

// rejections counts the rejected requests and retries of a service, by reason.
type rejections struct {
	Capacity        int64 `json:"places"`   // requests rejected by the limit on requests in flight or on bytes
	PriorityReserve int64 `json:"worth"`    // requests rejected by the service's gate
	Attempts        int64 `json:"attempts"` // requests rejected by the limit on attempts per second
	Retries         int64 `json:"repeats"`  // retries rejected by the limit on attempts per second
}

// New returns limits that admit everything until the first Reconfigure. now is a monotonic clock.
func New(now func() time.Duration) *Limits {
	return &Limits{now: now, leaving: map[string]int{}, rejected: map[string]*rejections{}}
}

// Reconfigure applies the limits of a configuration file. leaving names services that the file no longer has but that
// have requests in flight: each keeps a share, so that these requests can still open connections, until RemoveLeaving
// is called for it. On an error, which names the limit, nothing changes.
func (l *Limits) Reconfigure(f *services.File, totals Totals, leaving []string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, name := range leaving {
		l.leaving[name]++
	}
	if err := l.apply(f, totals); err != nil {
		for _, name := range leaving {
			l.uncountLeaving(name)
		}
		return err
	}
	l.file = f
	l.totals = totals
	return nil
}

// Resize sets new totals for the current configuration. A service that holds more than its new limit keeps those units,
// and cannot acquire more until it is below the limit. On an error nothing changes. Before the first Reconfigure Resize
// does nothing.
func (l *Limits) Resize(totals Totals) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pools == nil {
		return nil
	}
	if err := l.apply(l.file, totals); err != nil {
		return err
	}
	l.totals = totals
	return nil
}

// RemoveLeaving removes the share of a service that was passed to Reconfigure as leaving. The caller calls it once for
// each such Reconfigure, after the service's requests have ended.
func (l *Limits) RemoveLeaving(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.uncountLeaving(name)
	_ = l.apply(l.file, l.totals) // cannot fail: the same configuration was valid with one more share
}

// uncountLeaving decrements the count of a service that is leaving. The caller holds l.mu.
func (l *Limits) uncountLeaving(name string) {
	if l.leaving[name]--; l.leaving[name] <= 0 {
		delete(l.leaving, name)
	}
}

// RequestUsage returns the maximum and the current number of requests in flight of all services together; both are 0
// before the first Reconfigure.
func (l *Limits) RequestUsage() (total, used int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pools == nil {
		return 0, 0
	}
	return l.pools.requests.Total()
}

// apply configures the pools and the rate limiter for a configuration file. The caller holds l.mu.
func (l *Limits) apply(f *services.File, totals Totals) error {
	next := pools{}
	if l.pools != nil {
		next = *l.pools
	}
	// All pools have the same relative shares, so an invalid configuration fails at the first pool and changes none.
	for _, p := range []struct {
		pool  **processquota.Pool
		total int64
	}{
		{&next.requests, totals.Requests},
		{&next.bytes, totals.Bytes},
		{&next.conns, totals.Conns},
	} {
		shares := withLeaving(f.Shares(p.total), l.leaving)
		var err error
		if *p.pool == nil {
			*p.pool, err = processquota.NewPool(f.PoolSettings(p.total), shares)
		} else {
			err = (*p.pool).Reconfigure(f.PoolSettings(p.total), shares)
		}
		if err != nil {
			return fmt.Errorf("limits: %w", err)
		}
	}
	attempts, err := l.attemptLimiter(f, totals.Attempts)
	if err != nil {
		return err
	}
	l.pools = &next
	l.attempts = attempts
	members := withLeaving(f.Shares(1), l.leaving)
	for name := range l.rejected {
		if _, configured := members[name]; !configured {
			delete(l.rejected, name)
		}
	}
	return nil
}

// withLeaving adds to shares an empty share for each service that is leaving, and returns shares.
func withLeaving[S any](shares map[string]S, leaving map[string]int) map[string]S {
	for name := range leaving {
		if _, configured := shares[name]; !configured {
			var empty S
			shares[name] = empty
		}
	}
	return shares
}

// attemptLimiter returns the limiter of attempts per second for a configuration file; nil if total is 0, which means no
// limit. It reconfigures the existing limiter if there is one. The caller holds l.mu.
func (l *Limits) attemptLimiter(f *services.File, total float64) (*processquota.RateLimiter, error) {
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

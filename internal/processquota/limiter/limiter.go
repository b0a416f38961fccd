// Package limiter applies the limits that the services of one process share: requests in flight, bytes of bodies,
// connections to servers, and attempts per second. The decisions are package processquota's; this package adds the
// lock, the clock and the totals.
package limiter

import (
	"fmt"
	"sync"
	"time"

	"lapisspread/internal/processquota"
	"lapisspread/internal/services"
)

// attemptsBurst is how much of the attempts per second may be saved up.
const attemptsBurst = 250 * time.Millisecond

// Totals are what the services share.
type Totals struct {
	Requests int64   // in flight
	Bytes    int64   // of bodies in flight
	Conns    int64   // to servers
	Attempts float64 // per second: requests admitted, and retries; 0 is no limit
}

// Limits are what the services of one process share. Before the first Reconfigure they admit everything: there is one
// service then. All methods are safe for concurrent use, and none blocks.
type Limits struct {
	now func() time.Duration // a monotonic clock

	mu       sync.Mutex
	pools    *pools // nil for one service
	attempts *processquota.RateLimiter
	// leaving counts the services that admit nothing more and have requests in flight, by name.
	leaving  map[string]int
	file     *services.File // the configuration of pools
	totals   Totals
	rejected map[string]*rejections // by service
}

// pools are the units that services hold for a while.
type pools struct{ requests, bytes, conns *processquota.Pool }

// rejections count what a service was refused, by reason.
type rejections struct {
	Capacity        int64 `json:"places"`   // of requests in flight, or of bytes
	PriorityReserve int64 `json:"worth"`    // by the gate
	Attempts        int64 `json:"attempts"` // requests, for want of attempts per second
	Retries         int64 `json:"repeats"`  // retries, for want of attempts per second
}

// New returns limits that admit everything. now is a monotonic clock.
func New(now func() time.Duration) *Limits {
	return &Limits{now: now, leaving: map[string]int{}, rejected: map[string]*rejections{}}
}

// Reconfigure sets the limits of a file. Services in leaving keep a share, so that their requests in flight can still
// connect, until RemoveLeaving is called for each. On an error, which names the limit, nothing changes.
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

// Resize sets other totals. A service that holds more than it may now keeps it, and gets nothing new until it is
// below. On an error nothing changes.
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

// RemoveLeaving ends the share of a service that was leaving, once its requests have ended.
func (l *Limits) RemoveLeaving(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.uncountLeaving(name)
	_ = l.apply(l.file, l.totals) // it was valid with one share more
}

// uncountLeaving takes back one count of a service that is leaving. The lock is held.
func (l *Limits) uncountLeaving(name string) {
	if l.leaving[name]--; l.leaving[name] <= 0 {
		delete(l.leaving, name)
	}
}

// RequestUsage returns how many requests may be in flight, and how many are, for all services together.
func (l *Limits) RequestUsage() (total, used int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pools == nil {
		return 0, 0
	}
	return l.pools.requests.Total()
}

// apply configures the pools and the rate limiter for a file. The lock is held.
func (l *Limits) apply(f *services.File, totals Totals) error {
	next := pools{}
	if l.pools != nil {
		next = *l.pools
	}
	// All pools have the same relative shares, so an error of the first leaves none changed.
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
		if _, stays := members[name]; !stays {
			delete(l.rejected, name)
		}
	}
	return nil
}

// withLeaving adds the services that are leaving, with an empty share.
func withLeaving[S any](shares map[string]S, leaving map[string]int) map[string]S {
	for name := range leaving {
		if _, stays := shares[name]; !stays {
			var empty S
			shares[name] = empty
		}
	}
	return shares
}

// attemptLimiter returns the limiter of attempts per second for a file; nil without a limit. The lock is held.
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

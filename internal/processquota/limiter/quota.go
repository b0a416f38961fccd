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
	attempts *processquota.Rate
	leaving  map[string]int // services that take no more and have not ended, by name
	file     *services.File // the pools' own
	totals   Totals
	refused  map[string]*refusals
}

type pools struct{ requests, bytes, conns *processquota.Pool }

// refusals count what a service was refused, by why.
type refusals struct {
	Places   int64 `json:"places"`   // no request more in hand, or no byte
	Worth    int64 `json:"worth"`    // the last places are kept for others
	Attempts int64 `json:"attempts"` // none in this second
	Repeats  int64 `json:"repeats"`  // further attempts that were not made
}

// New makes limits that go by a clock.
func New(now func() time.Duration) *Limits {
	return &Limits{now: now, leaving: map[string]int{}, refused: map[string]*refusals{}}
}

// Change sets the limits of a file. Services that are leaving keep a share until Left is called for each: what they
// have in hand may need connections yet. A bad change changes nothing, and its error names the limit.
func (l *Limits) Change(f *services.File, totals Totals, leaving []string) error {
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

// Left notes that a service which was leaving has left.
func (l *Limits) Left(name string) {
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

// Requests is how many of the requests that may be in hand are, for all services together.
func (l *Limits) Requests() (total, used int64) {
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
			*k.pool, err = processquota.NewPool(f.Terms(k.total), shares)
		} else {
			err = (*k.pool).Change(f.Terms(k.total), shares)
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
	for name := range l.refused {
		if _, stays := stay[name]; !stays {
			delete(l.refused, name)
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

func (l *Limits) rate(f *services.File, total float64) (*processquota.Rate, error) {
	if total == 0 {
		return nil, nil
	}
	shares := withLeaving(f.RateShares(total), l.leaving)
	if l.attempts == nil {
		r, err := processquota.NewRate(total, attemptsBurst, shares)
		if err != nil {
			return nil, fmt.Errorf("limits: attempts: %w", err)
		}
		return r, nil
	}
	if err := l.attempts.Change(total, attemptsBurst, shares); err != nil {
		return nil, fmt.Errorf("limits: attempts: %w", err)
	}
	return l.attempts, nil
}

// Ask is a request that wants to be taken.
type Ask struct {
	Service       string
	Gate          *processquota.Gate // the service's own; nil lets everyone in
	Class, Tenant int
	Bytes         int64 // of its body
}

// Take takes a request with its body's bytes and its first attempt, or tells why not and after how long it may come
// again; 0 is not known. What was taken is given back by Give, but for the attempt.
func (l *Limits) Take(a Ask) (why string, after time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pools == nil {
		return "", 0
	}
	now := l.now()
	if room := l.pools.requests.Room(now, a.Service); room > 0 && a.Gate != nil {
		if !a.Gate.Admits(l.pools.requests.Held(a.Service), room, a.Class, a.Tenant) {
			l.refusedOf(a.Service).Worth++
			return "the last of the service's places are kept for what is worth more, and for tenants that hold less", 0
		}
	}
	if !l.pools.requests.Take(now, a.Service, 1) {
		l.refusedOf(a.Service).Places++
		return "the service's share of this proxy is taken", 0
	}
	if !l.pools.bytes.Take(now, a.Service, a.Bytes) {
		_ = l.pools.requests.Give(a.Service, 1) // it was taken just now
		l.refusedOf(a.Service).Places++
		return "the service's share of this proxy's bytes is taken", 0
	}
	if l.attempts != nil {
		if ok, after := l.attempts.Take(now, a.Service); !ok {
			_ = l.pools.requests.Give(a.Service, 1)
			_ = l.pools.bytes.Give(a.Service, a.Bytes)
			l.refusedOf(a.Service).Attempts++
			return "the service's attempts of this second are taken", after
		}
	}
	if a.Gate != nil {
		a.Gate.Enter(a.Tenant)
	}
	return "", 0
}

// Give ends what Take began. Danger: it must be asked for what Take has granted only.
func (l *Limits) Give(a Ask) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pools == nil {
		return
	}
	_ = l.pools.requests.Give(a.Service, 1)
	_ = l.pools.bytes.Give(a.Service, a.Bytes)
	if a.Gate != nil {
		a.Gate.Leave(a.Tenant)
	}
}

// Repeat takes a further attempt out of the service's attempts a second, or tells that there is none now.
func (l *Limits) Repeat(service string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.attempts == nil {
		return true
	}
	ok, _ := l.attempts.Take(l.now(), service)
	if !ok {
		l.refusedOf(service).Repeats++
	}
	return ok
}

func (l *Limits) refusedOf(service string) *refusals {
	r := l.refused[service]
	if r == nil {
		r = &refusals{}
		l.refused[service] = r
	}
	return r
}

// TakeConn takes a connection to a server for a service, or tells that it may not have one.
func (l *Limits) TakeConn(service string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.pools == nil || l.pools.conns.Take(l.now(), service, 1)
}

// GiveConn gives it back.
func (l *Limits) GiveConn(service string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pools != nil {
		_ = l.pools.conns.Give(service, 1)
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
		for member, u := range p.Used(now) {
			by[member] = u.Used
		}
		out[name] = map[string]any{"total": total, "used": used, "by_service": by}
	}
	refused := map[string]refusals{}
	for name, r := range l.refused {
		refused[name] = *r
	}
	out["refused"] = refused
	if l.attempts != nil {
		out["attempts_a_second"] = l.totals.Attempts
	}
	return out
}

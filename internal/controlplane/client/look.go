package client

import (
	"fmt"
	"math"
	"sync/atomic"
	"time"

	"lapisspread/internal/engine"
	"lapisspread/internal/quotalease"
)

// A bucket is a token bucket that many goroutines take from without a lock: the virtual scheduling of GCRA (ITU-T I.371, annex A),
// one number that only grows. Its level at a time t is what comes in within t - z, depth at most.
//
// Why it never allows more than grant.Holder does for the same grants: a unit is taken by one compare-and-swap from z to
// max(z, t-depth) + cost, and only if that is no later than t. So the units taken are in one order, and each finds the level that
// the Holder's bucket would have at its t after those before it, but for roundings that are all against the taker (cost is rounded
// up and one more, depth down). A t that was read earlier finds less. Time before a cell was made can't be taken: its z begins there.
// When the duty puts another cell in its place it first swaps z for closed: whoever comes later fails, whoever came before is in
// the z that it got. The next cell begins with that level, or empty where the Holder's bucket would be (the lease had ended in
// between, another incarnation, a claim just made). A cell whose lease is over gives nothing. So at no moment two cells of a bucket
// can be taken from, and what is taken from all of them in turn is what one Holder could have allowed.
type bucket struct {
	nanosPerUnit float64 // nanoseconds a unit, by this clock if it is fast by the drift
	cost         int64   // per, rounded up
	capacity     int64   // nanoseconds in which an empty bucket fills
	expiresAt    int64   // by the link's clock; a floor's never comes
	incarnation  uint64  // incarnation; 0 of a floor
	token        quotalease.Token
	tokenText    string // the token, as it goes out
	emptyAt      atomic.Int64
}

const (
	closedBucket = math.MaxInt64
	never        = math.MaxInt64
)

// newBucket makes an empty one; nil for nothing.
func newBucket(now time.Duration, amount, burst quotalease.Amount, drift float64) *bucket {
	if amount <= 0 || burst < quotalease.Unit {
		return nil // less than a unit at once: nothing can be taken, as of the Holder
	}
	c := &bucket{nanosPerUnit: float64(time.Second) * (1 + drift) / amount.Units(), expiresAt: never}
	c.cost = int64(math.Ceil(min(c.nanosPerUnit, 1e18))) + 1
	c.capacity = max(c.cost, int64(min(burst.Units()*c.nanosPerUnit, 1e18))) // of a burst of one: that one, each time that cost has gone by
	c.emptyAt.Store(int64(now))
	return c
}

// take takes a unit. A cell that was closed meanwhile gives nothing.
func (c *bucket) take(now int64) bool {
	if now >= c.expiresAt {
		return false
	}
	for {
		z := c.emptyAt.Load()
		if z == closedBucket {
			return false
		}
		next := max(z, now-c.capacity) + c.cost
		if next > now {
			return false
		}
		if c.emptyAt.CompareAndSwap(z, next) {
			return true
		}
	}
}

// refund undoes a take: the level is then no higher than without it, for what came in meanwhile was cut at the depth with or without.
func (c *bucket) refund() {
	for {
		z := c.emptyAt.Load()
		if z == closedBucket || c.emptyAt.CompareAndSwap(z, z-c.cost) {
			return
		}
	}
}

// takeLevelOf closes a cell and has this one begin with its level. At now the one before must be alive.
func (c *bucket) takeLevelOf(before *bucket, now time.Duration) {
	z := before.emptyAt.Swap(closedBucket)
	level := float64(min(int64(now)-z, before.capacity)) / before.nanosPerUnit // below 0 if somebody's now is later
	c.emptyAt.Store(int64(now) - int64(math.Floor(level*c.nanosPerUnit)))
}

// quota is what of a budget may be taken now: of the floor and of the lease.
type quota struct {
	name                          string
	limit                         float64
	buckets                       atomic.Pointer[bucketPair]
	attempted, admitted, rejected atomic.Int64
}

type bucketPair struct{ floor, lease *bucket }

func (p *quota) take(now int64) *bucket {
	for range 3 { // a cell was replaced meanwhile: look again, but never wait for whoever replaces it
		c := p.buckets.Load()
		if c == nil {
			return nil
		}
		if c.floor != nil && c.floor.take(now) {
			return c.floor
		}
		if c.lease != nil && c.lease.take(now) {
			return c.lease
		}
		if p.buckets.Load() == c {
			return nil
		}
	}
	return nil
}

// maxQuotasPerService may cover one attempt.
const maxQuotasPerService = 8

// ServiceQuotas is the budgets that cover the attempts of a service. It is for any goroutine; a look takes no lock and allocates nothing.
type ServiceQuotas struct {
	client   *QuotaClient
	covering []coveringQuota
}

type coveringQuota struct {
	quota         *quota
	class, tenant int // -1 is any
	retriesOnly   bool
}

var _ engine.Quota = (*ServiceQuotas)(nil)

// ForService is what covers a service; nil if nothing does.
func (l *QuotaClient) ForService(service string, classes, tenants []string) (*ServiceQuotas, error) {
	s := &ServiceQuotas{client: l}
	at := func(name string, names []string) (int, bool) {
		if name == "" {
			return -1, true
		}
		for i, n := range names {
			if n == name {
				return i, true
			}
		}
		return 0, false
	}
	for _, b := range l.config.File.Quotas {
		class, ok1 := at(b.Filter.Class, classes)
		tenant, ok2 := at(b.Filter.Tenant, tenants)
		if ok1 && ok2 && (b.Filter.Service == "" || b.Filter.Service == service) {
			s.covering = append(s.covering, coveringQuota{l.quotas[b.Name], class, tenant, b.Filter.Attempts == "retries"})
		}
	}
	if len(s.covering) == 0 {
		return nil, nil
	}
	if len(s.covering) > maxQuotasPerService {
		return nil, fmt.Errorf("%d budgets cover service %q; %d are the most", len(s.covering), service, maxQuotasPerService)
	}
	return s, nil
}

// Acquire looks whether an attempt may go out now, by all budgets that cover it, and takes a unit of each, or of none.
func (s *ServiceQuotas) Acquire(class, tenant int, first bool) (engine.Permit, bool) {
	now := int64(s.client.clock())
	p := engine.Permit{Token: s.client.floorToken, Expires: never}
	var took [maxQuotasPerService]*bucket
	var newest quotalease.Token
	for i := range s.covering {
		on := &s.covering[i]
		if on.class >= 0 && on.class != class || on.tenant >= 0 && on.tenant != tenant || on.retriesOnly && first {
			continue
		}
		c := on.quota.take(now)
		if c != nil || first || on.retriesOnly { // of a refused attempt those that follow it don't count: it is one demand
			on.quota.attempted.Add(1)
		}
		if c == nil {
			on.quota.rejected.Add(1)
			for _, t := range took[:i] {
				if t != nil {
					t.refund()
				}
			}
			return engine.Permit{}, false
		}
		on.quota.admitted.Add(1)
		took[i] = c
		if c.expiresAt != never {
			p.Expires = min(p.Expires, time.Duration(c.expiresAt))
			if c.token.Compare(newest) > 0 {
				newest, p.Token = c.token, c.tokenText
			}
		}
	}
	return p, true
}

// Expired looks once more just before an attempt goes out: the process may have been stopped since Draw. What ends between this look
// and the network can slip; see grant.Holder.Send.
func (s *ServiceQuotas) Expired(p engine.Permit) bool {
	if s.client.clock() < p.Expires {
		return false
	}
	s.client.counters.expiredBeforeSend.Add(1)
	return true
}

// publish puts what the Holder has in place of what was there. Only the newest duty may: it tells whether it did. By is the Holder's
// incarnation: what a duty before it has left goes on to its end while it has nothing itself; 0 ends that too.
func (l *QuotaClient) publish(generation, by uint64, name string, now time.Duration, lease, floor *bucket) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.quotas[name]
	if p == nil || generation != l.generation {
		return p == nil
	}
	was := p.buckets.Load()
	if was == nil {
		was = &bucketPair{}
	}
	if lease == nil && was.lease != nil && by > 0 && was.lease.incarnation != by {
		lease = was.lease
	}
	next := &bucketPair{l.replaceBucket(was.floor, floor, now), l.replaceBucket(was.lease, lease, now)}
	if *next != *was {
		p.buckets.Store(next)
	}
	return true
}

// replaceBucket gives the cell that holds from now on.
func (l *QuotaClient) replaceBucket(was, next *bucket, now time.Duration) *bucket {
	switch {
	case was == nil || was == next:
		return next
	case next == nil:
		was.emptyAt.Store(closedBucket)
		return nil
	case was.token == next.token && was.incarnation == next.incarnation && was.expiresAt == next.expiresAt && was.nanosPerUnit == next.nanosPerUnit && was.capacity == next.capacity:
		return was // told again
	case was.incarnation == next.incarnation && (int64(now) < was.expiresAt || l.mutations.reuseExpired):
		z := was.emptyAt.Load()
		next.takeLevelOf(was, now)
		if l.mutations.keepReplacedOpen {
			was.emptyAt.Store(z)
		}
	default:
		was.emptyAt.Store(closedBucket)
	}
	return next
}

// mutations take a guard out, for the trial of the checks.
type mutations struct{ reuseExpired, keepReplacedOpen, startFull, neverExpire bool }

// bucketsFor is what the Holder has of a budget, as cells.
func (l *QuotaClient) bucketsFor(h *quotalease.Holder, by uint64, now time.Duration, name string, burst quotalease.Amount, claimed bool, f quotalease.Floor) (lease, floor *bucket) {
	drift := l.quotaConfig.MaxDrift
	has := h.Status(now, name)
	if lease = newBucket(now, has.Amount, burst, drift); lease != nil {
		lease.expiresAt, lease.incarnation, lease.token = int64(now+has.Remaining), by, has.Token
		lease.tokenText = fmt.Sprintf("%s;%v", l.config.ProxyName, has.Token)
		if l.mutations.startFull {
			lease.emptyAt.Add(-lease.capacity)
		}
		if l.mutations.neverExpire {
			lease.expiresAt = never - 1
		}
	}
	if claimed {
		floor = newBucket(now, f.Amount, f.Burst, drift)
	}
	return lease, floor
}

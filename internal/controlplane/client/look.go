package client

import (
	"fmt"
	"math"
	"sync/atomic"
	"time"

	"lapisspread/internal/engine"
	"lapisspread/internal/quotalease"
)

// A cell is a token bucket that many goroutines take from without a lock: the virtual scheduling of GCRA (ITU-T I.371, annex A),
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
type cell struct {
	per   float64 // nanoseconds a unit, by this clock if it is fast by the drift
	cost  int64   // per, rounded up
	depth int64   // nanoseconds in which an empty bucket fills
	ends  int64   // by the link's clock; a floor's never comes
	by    uint64  // incarnation; 0 of a floor
	token quotalease.Token
	text  string // the token, as it goes out
	z     atomic.Int64
}

const (
	closed = math.MaxInt64
	never  = math.MaxInt64
)

// newCell makes an empty one; nil for nothing.
func newCell(now time.Duration, amount, burst quotalease.Amount, drift float64) *cell {
	if amount <= 0 || burst < quotalease.Unit {
		return nil // less than a unit at once: nothing can be taken, as of the Holder
	}
	c := &cell{per: float64(time.Second) * (1 + drift) / amount.Units(), ends: never}
	c.cost = int64(math.Ceil(min(c.per, 1e18))) + 1
	c.depth = max(c.cost, int64(min(burst.Units()*c.per, 1e18))) // of a burst of one: that one, each time that cost has gone by
	c.z.Store(int64(now))
	return c
}

// take takes a unit. A cell that was closed meanwhile gives nothing.
func (c *cell) take(now int64) bool {
	if now >= c.ends {
		return false
	}
	for {
		z := c.z.Load()
		if z == closed {
			return false
		}
		next := max(z, now-c.depth) + c.cost
		if next > now {
			return false
		}
		if c.z.CompareAndSwap(z, next) {
			return true
		}
	}
}

// back undoes a take: the level is then no higher than without it, for what came in meanwhile was cut at the depth with or without.
func (c *cell) back() {
	for {
		z := c.z.Load()
		if z == closed || c.z.CompareAndSwap(z, z-c.cost) {
			return
		}
	}
}

// follow closes a cell and has this one begin with its level. At now the one before must be alive.
func (c *cell) follow(before *cell, now time.Duration) {
	z := before.z.Swap(closed)
	level := float64(min(int64(now)-z, before.depth)) / before.per // below 0 if somebody's now is later
	c.z.Store(int64(now) - int64(math.Floor(level*c.per)))
}

// pot is what of a budget may be taken now: of the floor and of the lease.
type pot struct {
	name                    string
	whole                   float64
	cells                   atomic.Pointer[cells]
	tried, allowed, refused atomic.Int64
}

type cells struct{ floor, lease *cell }

func (p *pot) take(now int64) *cell {
	for range 3 { // a cell was replaced meanwhile: look again, but never wait for whoever replaces it
		c := p.cells.Load()
		if c == nil {
			return nil
		}
		if c.floor != nil && c.floor.take(now) {
			return c.floor
		}
		if c.lease != nil && c.lease.take(now) {
			return c.lease
		}
		if p.cells.Load() == c {
			return nil
		}
	}
	return nil
}

// mostBudgets may cover one attempt.
const mostBudgets = 8

// Sight is the budgets that cover the attempts of a service. It is for any goroutine; a look takes no lock and allocates nothing.
type Sight struct {
	link *Link
	on   []cover
}

type cover struct {
	pot           *pot
	class, tenant int // -1 is any
	retries       bool
}

var _ engine.Quota = (*Sight)(nil)

// Sight is what covers a service; nil if nothing does.
func (l *Link) Sight(service string, classes, tenants []string) (*Sight, error) {
	s := &Sight{link: l}
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
	for _, b := range l.set.File.Budgets {
		class, ok1 := at(b.Of.Class, classes)
		tenant, ok2 := at(b.Of.Tenant, tenants)
		if ok1 && ok2 && (b.Of.Service == "" || b.Of.Service == service) {
			s.on = append(s.on, cover{l.pots[b.Name], class, tenant, b.Of.Counts == "retries"})
		}
	}
	if len(s.on) == 0 {
		return nil, nil
	}
	if len(s.on) > mostBudgets {
		return nil, fmt.Errorf("%d budgets cover service %q; %d are the most", len(s.on), service, mostBudgets)
	}
	return s, nil
}

// Acquire looks whether an attempt may go out now, by all budgets that cover it, and takes a unit of each, or of none.
func (s *Sight) Acquire(class, tenant int, first bool) (engine.Permit, bool) {
	now := int64(s.link.clock())
	p := engine.Permit{Token: s.link.floorText, Expires: never}
	var took [mostBudgets]*cell
	var newest quotalease.Token
	for i := range s.on {
		on := &s.on[i]
		if on.class >= 0 && on.class != class || on.tenant >= 0 && on.tenant != tenant || on.retries && first {
			continue
		}
		c := on.pot.take(now)
		if c != nil || first || on.retries { // of a refused attempt those that follow it don't count: it is one demand
			on.pot.tried.Add(1)
		}
		if c == nil {
			on.pot.refused.Add(1)
			for _, t := range took[:i] {
				if t != nil {
					t.back()
				}
			}
			return engine.Permit{}, false
		}
		on.pot.allowed.Add(1)
		took[i] = c
		if c.ends != never {
			p.Expires = min(p.Expires, time.Duration(c.ends))
			if c.token.Compare(newest) > 0 {
				newest, p.Token = c.token, c.text
			}
		}
	}
	return p, true
}

// Expired looks once more just before an attempt goes out: the process may have been stopped since Draw. What ends between this look
// and the network can slip; see grant.Holder.Send.
func (s *Sight) Expired(p engine.Permit) bool {
	if s.link.clock() < p.Expires {
		return false
	}
	s.link.counts.stopped.Add(1)
	return true
}

// publish puts what the Holder has in place of what was there. Only the newest duty may: it tells whether it did. By is the Holder's
// incarnation: what a duty before it has left goes on to its end while it has nothing itself; 0 ends that too.
func (l *Link) publish(generation, by uint64, name string, now time.Duration, lease, floor *cell) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.pots[name]
	if p == nil || generation != l.generation {
		return p == nil
	}
	was := p.cells.Load()
	if was == nil {
		was = &cells{}
	}
	if lease == nil && was.lease != nil && by > 0 && was.lease.by != by {
		lease = was.lease
	}
	next := &cells{l.replace(was.floor, floor, now), l.replace(was.lease, lease, now)}
	if *next != *was {
		p.cells.Store(next)
	}
	return true
}

// replace gives the cell that holds from now on.
func (l *Link) replace(was, next *cell, now time.Duration) *cell {
	switch {
	case was == nil || was == next:
		return next
	case next == nil:
		was.z.Store(closed)
		return nil
	case was.token == next.token && was.by == next.by && was.ends == next.ends && was.per == next.per && was.depth == next.depth:
		return was // told again
	case was.by == next.by && (int64(now) < was.ends || l.flaws.late):
		z := was.z.Load()
		next.follow(was, now)
		if l.flaws.open {
			was.z.Store(z)
		}
	default:
		was.z.Store(closed)
	}
	return next
}

// flaws take a guard out, for the trial of the checks.
type flaws struct{ late, open, full, endless bool }

// cellsOf is what the Holder has of a budget, as cells.
func (l *Link) cellsOf(h *quotalease.Holder, by uint64, now time.Duration, name string, burst quotalease.Amount, claimed bool, f quotalease.Floor) (lease, floor *cell) {
	drift := l.grants.MaxDrift
	has := h.Status(now, name)
	if lease = newCell(now, has.Amount, burst, drift); lease != nil {
		lease.ends, lease.by, lease.token = int64(now+has.Remaining), by, has.Token
		lease.text = fmt.Sprintf("%s;%v", l.set.Name, has.Token)
		if l.flaws.full {
			lease.z.Add(-lease.depth)
		}
		if l.flaws.endless {
			lease.ends = never - 1
		}
	}
	if claimed {
		floor = newCell(now, f.Amount, f.Burst, drift)
	}
	return lease, floor
}

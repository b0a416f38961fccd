package listguard

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"
)

// CallSettings say how calls for the list are spread over a fleet that does not talk.
type CallSettings struct {
	Rate    float64       // calls a second that the register takes from all proxies together
	Proxies int           // that there are
	Most    time.Duration // the longest rest between two calls
	Hold    time.Duration // for which a watch is held; each proxy asks for three quarters to all of it
	Seed    uint64        // of chance: another one for each process
}

const (
	// LeastRest is the shortest rest after a call that failed.
	LeastRest = 50 * time.Millisecond
	// firstMost is the longest wait of a process's first call. Danger: until it calls it acts on a list of before its start,
	// and a server that leaves must get nothing new 500 ms after the word.
	firstMost = 250 * time.Millisecond
)

// Check tells what makes no sense, by the field's name.
func (s *CallSettings) Check() error {
	var errs []error
	bad := func(wrong bool, format string, args ...any) {
		if wrong {
			errs = append(errs, fmt.Errorf(format, args...))
		}
	}
	bad(!(s.Rate > 0 && s.Rate <= 1e6), "rate: %v is not within 0 and 1000000 a second", s.Rate)
	bad(s.Proxies < 1, "proxies: %d must be above 0", s.Proxies)
	bad(s.Most < LeastRest || s.Most > time.Hour, "most: %v is not within %v and 1h", s.Most, LeastRest)
	bad(s.Hold < 0 || s.Hold > time.Minute, "hold: %v is not within 0s and 1m", s.Hold)
	return errors.Join(errs...)
}

// Calls decides when a proxy makes its next call for the list. All proxies that start in one moment go by the same rule and
// other chance, so that together they ask about as often as the register takes.
type Calls struct {
	set    CallSettings
	rng    *rand.Rand
	rest   time.Duration
	until  time.Duration // before it no call is made
	begun  bool
	failed int
}

// NewCalls makes the rule of one proxy.
func NewCalls(s CallSettings) (*Calls, error) {
	if err := s.Check(); err != nil {
		return nil, fmt.Errorf("comeback: %w", err)
	}
	return &Calls{set: s, rng: rand.New(rand.NewPCG(s.Seed, 17))}, nil
}

// turn is the time in which each proxy of the fleet may call once.
func (c *Calls) turn() time.Duration {
	return min(c.set.Most, time.Duration(float64(c.set.Proxies-1)/c.set.Rate*float64(time.Second)))
}

// between draws a span, evenly.
func (c *Calls) between(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(c.rng.Float64()*float64(max(0, hi-lo)))
}

// Wait is how long a call that is wanted now waits. The first of a process waits a random part of a turn, a short one at most:
// most of the fleet may be starting with it. A fleet of one does not wait.
func (c *Calls) Wait(now time.Duration) time.Duration {
	if !c.begun {
		c.begun = true
		c.until = now + c.between(0, min(firstMost, c.set.Most, c.turn()))
	}
	return max(0, c.until-now)
}

// Failed notes that a call has failed; after is when the register said to come back, 0 if it did not. The rest is drawn between
// the least and three times the one before (decorrelated jitter): proxies that failed together do not come back together.
// Danger: many that are told the same second come back in it; each adds a random part of a turn.
func (c *Calls) Failed(now, after time.Duration) {
	c.failed++
	least := max(LeastRest, c.turn()/2)
	c.rest = min(c.between(least, max(2*least, 3*c.rest)), max(c.set.Most, least))
	if after > 0 {
		c.rest = max(c.rest, min(after, c.set.Most)+c.between(0, max(LeastRest, c.turn())))
	}
	c.until = now + c.rest
}

// Answered notes that a call was answered.
func (c *Calls) Answered() { c.rest, c.until, c.failed = 0, 0, 0 }

// InARow is how many calls have failed in a row.
func (c *Calls) InARow() int { return c.failed }

// Hold is for how long the next watch is held. Danger: watches that began together would else end together, again and again.
func (c *Calls) Hold() time.Duration { return c.between(c.set.Hold*3/4, c.set.Hold) }

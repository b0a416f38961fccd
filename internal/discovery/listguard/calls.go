package listguard

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"
)

// PacingSettings say how calls for the list are spread over a fleet that does not talk.
type PacingSettings struct {
	CallsPerSecond float64       // calls a second that the register takes from all proxies together
	Proxies        int           // that there are
	MaxBackoff     time.Duration // the longest rest between two calls
	WatchTimeout   time.Duration // for which a watch is held; each proxy asks for three quarters to all of it
	Seed           uint64        // of chance: another one for each process
}

const (
	// MinBackoff is the shortest rest after a call that failed.
	MinBackoff = 50 * time.Millisecond
	// maxInitialDelay is the longest wait of a process's first call. Danger: until it calls it acts on a list of before its start,
	// and a server that leaves must get nothing new 500 ms after the word.
	maxInitialDelay = 250 * time.Millisecond
)

// Validate tells what makes no sense, by the field's name.
func (s *PacingSettings) Validate() error {
	var errs []error
	bad := func(wrong bool, format string, args ...any) {
		if wrong {
			errs = append(errs, fmt.Errorf(format, args...))
		}
	}
	bad(!(s.CallsPerSecond > 0 && s.CallsPerSecond <= 1e6), "rate: %v is not within 0 and 1000000 a second", s.CallsPerSecond)
	bad(s.Proxies < 1, "proxies: %d must be above 0", s.Proxies)
	bad(s.MaxBackoff < MinBackoff || s.MaxBackoff > time.Hour, "most: %v is not within %v and 1h", s.MaxBackoff, MinBackoff)
	bad(s.WatchTimeout < 0 || s.WatchTimeout > time.Minute, "hold: %v is not within 0s and 1m", s.WatchTimeout)
	return errors.Join(errs...)
}

// Pacer decides when a proxy makes its next call for the list. All proxies that start in one moment go by the same rule and
// other chance, so that together they ask about as often as the register takes.
type Pacer struct {
	settings PacingSettings
	random   *rand.Rand
	backoff  time.Duration
	until    time.Duration // before it no call is made
	started  bool
	failures int
}

// NewPacer makes the rule of one proxy.
func NewPacer(s PacingSettings) (*Pacer, error) {
	if err := s.Validate(); err != nil {
		return nil, fmt.Errorf("comeback: %w", err)
	}
	return &Pacer{settings: s, random: rand.New(rand.NewPCG(s.Seed, 17))}, nil
}

// fleetRound is the time in which each proxy of the fleet may call once.
func (c *Pacer) fleetRound() time.Duration {
	return min(c.settings.MaxBackoff, time.Duration(float64(c.settings.Proxies-1)/c.settings.CallsPerSecond*float64(time.Second)))
}

// randomBetween draws a span, evenly.
func (c *Pacer) randomBetween(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(c.random.Float64()*float64(max(0, hi-lo)))
}

// Wait is how long a call that is wanted now waits. The first of a process waits a random part of a turn, a short one at most:
// most of the fleet may be starting with it. A fleet of one does not wait.
func (c *Pacer) Wait(now time.Duration) time.Duration {
	if !c.started {
		c.started = true
		c.until = now + c.randomBetween(0, min(maxInitialDelay, c.settings.MaxBackoff, c.fleetRound()))
	}
	return max(0, c.until-now)
}

// Failed notes that a call has failed; after is when the register said to come back, 0 if it did not. The rest is drawn between
// the least and three times the one before (decorrelated jitter): proxies that failed together do not come back together.
// Danger: many that are told the same second come back in it; each adds a random part of a turn.
func (c *Pacer) Failed(now, after time.Duration) {
	c.failures++
	least := max(MinBackoff, c.fleetRound()/2)
	c.backoff = min(c.randomBetween(least, max(2*least, 3*c.backoff)), max(c.settings.MaxBackoff, least))
	if after > 0 {
		c.backoff = max(c.backoff, min(after, c.settings.MaxBackoff)+c.randomBetween(0, max(MinBackoff, c.fleetRound())))
	}
	c.until = now + c.backoff
}

// Succeeded notes that a call was answered.
func (c *Pacer) Succeeded() { c.backoff, c.until, c.failures = 0, 0, 0 }

// ConsecutiveFailures is how many calls have failed in a row.
func (c *Pacer) ConsecutiveFailures() int { return c.failures }

// WatchTimeout is for how long the next watch is held. Danger: watches that began together would else end together, again and again.
func (c *Pacer) WatchTimeout() time.Duration {
	return c.randomBetween(c.settings.WatchTimeout*3/4, c.settings.WatchTimeout)
}

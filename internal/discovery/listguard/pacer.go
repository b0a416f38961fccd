package listguard

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"
)

// PacingSettings say how the calls of a fleet to discovery are spread. The proxies do not talk to each other.
type PacingSettings struct {
	CallsPerSecond float64       // that discovery takes from all proxies together
	Proxies        int           // how many there are
	MaxBackoff     time.Duration // the longest pause between two calls
	WatchTimeout   time.Duration // for how long a watch is held; each proxy asks for three quarters of it or more
	Seed           uint64        // of the random choices; must differ between processes
}

const (
	// MinBackoff is the shortest pause after a failed call.
	MinBackoff = 50 * time.Millisecond
	// maxInitialDelay bounds the delay of a process's first call: until then it goes by a list of before its start, and
	// a backend that leaves must get nothing new 500 ms after it was said to.
	maxInitialDelay = 250 * time.Millisecond
	// maxCallsPerSecond bounds PacingSettings.CallsPerSecond.
	maxCallsPerSecond = 1e6
	// pacerStream is the stream of the random generator that a Pacer uses.
	pacerStream = 17
)

// Validate returns an error that names the settings that make no sense by their keys in the settings file.
func (s *PacingSettings) Validate() error {
	var errs []error
	reject := func(wrong bool, format string, args ...any) {
		if wrong {
			errs = append(errs, fmt.Errorf(format, args...))
		}
	}
	rateValid := s.CallsPerSecond > 0 && s.CallsPerSecond <= maxCallsPerSecond // false for NaN
	reject(!rateValid, "rate: %v is not within 0 and 1000000 a second", s.CallsPerSecond)
	reject(s.Proxies < 1, "proxies: %d must be above 0", s.Proxies)
	reject(s.MaxBackoff < MinBackoff || s.MaxBackoff > time.Hour,
		"most: %v is not within %v and 1h", s.MaxBackoff, MinBackoff)
	reject(s.WatchTimeout < 0 || s.WatchTimeout > time.Minute, "hold: %v is not within 0s and 1m", s.WatchTimeout)
	return errors.Join(errs...)
}

// Pacer decides when a proxy makes its next call to discovery. All proxies that start in one moment go by the same rule
// with other random choices, so that together they call about as often as discovery takes.
type Pacer struct {
	settings PacingSettings
	random   *rand.Rand
	backoff  time.Duration // after the last failed call; 0 after one that succeeded
	until    time.Duration // before it no call is made
	started  bool          // the first call's delay was drawn
	failures int           // in a row
}

// NewPacer makes the pacer of one process.
func NewPacer(settings PacingSettings) (*Pacer, error) {
	if err := settings.Validate(); err != nil {
		return nil, fmt.Errorf("comeback: %w", err)
	}
	return &Pacer{settings: settings, random: rand.New(rand.NewPCG(settings.Seed, pacerStream))}, nil
}

// fleetRound is the time in which each proxy of the fleet may call once.
func (p *Pacer) fleetRound() time.Duration {
	seconds := float64(p.settings.Proxies-1) / p.settings.CallsPerSecond
	return min(p.settings.MaxBackoff, time.Duration(seconds*float64(time.Second)))
}

// randomBetween draws a duration, evenly.
func (p *Pacer) randomBetween(low, high time.Duration) time.Duration {
	return low + time.Duration(p.random.Float64()*float64(max(0, high-low)))
}

// Wait returns how long a call that is wanted now must wait. The first call of a process waits a random part of a fleet
// round, at most maxInitialDelay, because most of the fleet may be starting with it. A fleet of one does not wait.
func (p *Pacer) Wait(now time.Duration) time.Duration {
	if !p.started {
		p.started = true
		p.until = now + p.randomBetween(0, min(maxInitialDelay, p.settings.MaxBackoff, p.fleetRound()))
	}
	return max(0, p.until-now)
}

// Failed notes that a call has failed. retryAfter is when discovery said to come back; 0 is none.
//
// The backoff is drawn between the shortest one and three times the one before (decorrelated jitter), so that proxies
// that failed together do not come back together. Many may get the same retryAfter: each adds a random part of a
// fleet round.
func (p *Pacer) Failed(now, retryAfter time.Duration) {
	p.failures++
	shortest := max(MinBackoff, p.fleetRound()/2)
	drawn := p.randomBetween(shortest, max(2*shortest, 3*p.backoff))
	p.backoff = min(drawn, max(p.settings.MaxBackoff, shortest))
	if retryAfter > 0 {
		spread := p.randomBetween(0, max(MinBackoff, p.fleetRound()))
		p.backoff = max(p.backoff, min(retryAfter, p.settings.MaxBackoff)+spread)
	}
	p.until = now + p.backoff
}

// Succeeded notes that a call was answered.
func (p *Pacer) Succeeded() {
	p.backoff = 0
	p.until = 0
	p.failures = 0
}

// ConsecutiveFailures returns how many calls have failed in a row.
func (p *Pacer) ConsecutiveFailures() int { return p.failures }

// WatchTimeout returns for how long the next watch is to be held. It is drawn again for each, so that watches that
// began together do not end together again and again.
func (p *Pacer) WatchTimeout() time.Duration {
	return p.randomBetween(p.settings.WatchTimeout*3/4, p.settings.WatchTimeout)
}

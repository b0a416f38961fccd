package listguard

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"
)

// PacingSettings configure how the calls of a fleet of proxies to discovery are spread. The proxies do not communicate
// with each other.
type PacingSettings struct {
	CallsPerSecond float64       // calls that discovery accepts from all proxies together
	Proxies        int           // number of proxies in the fleet
	MaxBackoff     time.Duration // the longest pause between two calls
	WatchTimeout   time.Duration // maximum duration of a watch; each proxy requests at least three quarters of it
	Seed           uint64        // seed of the random delays; must differ between processes
}

const (
	// MinBackoff is the shortest pause after a failed call.
	MinBackoff = 50 * time.Millisecond
	// maxInitialDelay bounds the delay of a process's first call. Until that call the process uses a list from before
	// its start, but a backend must get no new requests 500 ms after discovery announced that it leaves.
	maxInitialDelay = 250 * time.Millisecond
	// maxCallsPerSecond bounds PacingSettings.CallsPerSecond.
	maxCallsPerSecond = 1e6
	// pacerStream is the second seed of a Pacer's PCG random generator.
	pacerStream = 17
)

// Validate returns an error that names each invalid setting by its key in the settings file.
func (s *PacingSettings) Validate() error {
	var errs []error
	rejectIf := func(invalid bool, format string, args ...any) {
		if invalid {
			errs = append(errs, fmt.Errorf(format, args...))
		}
	}
	rateValid := s.CallsPerSecond > 0 && s.CallsPerSecond <= maxCallsPerSecond // false for NaN
	rejectIf(!rateValid, "rate: %v is not within 0 and 1000000 a second", s.CallsPerSecond)
	rejectIf(s.Proxies < 1, "proxies: %d must be above 0", s.Proxies)
	rejectIf(s.MaxBackoff < MinBackoff || s.MaxBackoff > time.Hour,
		"most: %v is not within %v and 1h", s.MaxBackoff, MinBackoff)
	rejectIf(s.WatchTimeout < 0 || s.WatchTimeout > time.Minute, "hold: %v is not within 0s and 1m", s.WatchTimeout)
	return errors.Join(errs...)
}

// Pacer computes when a proxy may make its next call to discovery. All proxies follow the same rule with different
// random delays, so that proxies that start at the same time together call about as often as discovery accepts.
// A fleet round is the time in which each proxy of the fleet may call once, at most MaxBackoff.
type Pacer struct {
	settings PacingSettings
	random   *rand.Rand
	backoff  time.Duration // pause after the last call; 0 if that call succeeded
	until    time.Duration // no call is made before this time
	started  bool          // Wait has drawn the delay of the first call
	failures int           // consecutive failed calls
}

// NewPacer returns the pacer of one process, or an error that names each invalid setting.
func NewPacer(settings PacingSettings) (*Pacer, error) {
	if err := settings.Validate(); err != nil {
		return nil, fmt.Errorf("listguard: %w", err)
	}
	return &Pacer{settings: settings, random: rand.New(rand.NewPCG(settings.Seed, pacerStream))}, nil
}

// fleetRound returns the duration of a fleet round; see Pacer.
func (p *Pacer) fleetRound() time.Duration {
	seconds := float64(p.settings.Proxies-1) / p.settings.CallsPerSecond
	return min(p.settings.MaxBackoff, time.Duration(seconds*float64(time.Second)))
}

// randomBetween draws a duration between low and high, uniformly distributed.
func (p *Pacer) randomBetween(low, high time.Duration) time.Duration {
	return low + time.Duration(p.random.Float64()*float64(max(0, high-low)))
}

// Wait returns how long a call must wait if the caller wants to make it at time now. The first call of a process waits
// a random part of a fleet round, at most maxInitialDelay, because most of the fleet may be starting at the same time.
// The first call in a fleet of one proxy does not wait.
func (p *Pacer) Wait(now time.Duration) time.Duration {
	if !p.started {
		p.started = true
		p.until = now + p.randomBetween(0, min(maxInitialDelay, p.settings.MaxBackoff, p.fleetRound()))
	}
	return max(0, p.until-now)
}

// Failed records that a call failed at time now. retryAfter is the delay that discovery requested before the next call,
// or 0 if it requested none.
//
// The backoff is drawn between its minimum and three times the previous backoff (decorrelated jitter), so that proxies
// whose calls failed at the same time do not retry at the same time. Since many proxies may get the same retryAfter,
// each adds a random part of a fleet round to it.
func (p *Pacer) Failed(now, retryAfter time.Duration) {
	p.failures++
	minimum := max(MinBackoff, p.fleetRound()/2)
	drawn := p.randomBetween(minimum, max(2*minimum, 3*p.backoff))
	p.backoff = min(drawn, max(p.settings.MaxBackoff, minimum))
	if retryAfter > 0 {
		spread := p.randomBetween(0, max(MinBackoff, p.fleetRound()))
		p.backoff = max(p.backoff, min(retryAfter, p.settings.MaxBackoff)+spread)
	}
	p.until = now + p.backoff
}

// Succeeded records that a call succeeded: the next call need not wait.
func (p *Pacer) Succeeded() {
	p.backoff = 0
	p.until = 0
	p.failures = 0
}

// ConsecutiveFailures returns how many calls have failed since the last success.
func (p *Pacer) ConsecutiveFailures() int { return p.failures }

// WatchTimeout returns the maximum duration of the next watch. It is drawn separately for each watch, so that watches
// that started at the same time do not keep ending at the same time.
func (p *Pacer) WatchTimeout() time.Duration {
	return p.randomBetween(p.settings.WatchTimeout*3/4, p.settings.WatchTimeout)
}

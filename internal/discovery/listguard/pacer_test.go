package listguard

import (
	"slices"
	"strings"
	"testing"
	"time"
)

// pacingSettings returns valid settings for a fleet with the given number of proxies.
func pacingSettings(proxies int, seed uint64) PacingSettings {
	return PacingSettings{
		CallsPerSecond: 4,
		Proxies:        proxies,
		MaxBackoff:     10 * second,
		WatchTimeout:   20 * second,
		Seed:           seed,
	}
}

// startFleet simulates, in virtual time, a discovery service that accepts four calls a second and a fleet whose proxies
// all start at time 0. It returns the numbers of calls and of rejected calls in each second, and the time at which the
// last proxy got its list.
func startFleet(t *testing.T, proxies int, retryAfter time.Duration) (calls, rejected []int, done time.Duration) {
	t.Helper()
	type proxy struct {
		pacer *Pacer
		next  time.Duration // time of its next call
		done  bool          // whether it got its list
	}
	var fleet []*proxy
	for i := range proxies {
		pacer, err := NewPacer(pacingSettings(proxies, uint64(i)))
		if err != nil {
			t.Fatalf("NewPacer for proxy %d of %d: %v", i, proxies, err)
		}
		fleet = append(fleet, &proxy{pacer: pacer, next: pacer.Wait(0)})
	}
	const callsPerSecond = 4
	tokens := float64(callsPerSecond)
	var lastRefill time.Duration // time at which tokens were last added
	for {
		var caller *proxy
		for _, p := range fleet {
			if !p.done && (caller == nil || p.next < caller.next) {
				caller = p
			}
		}
		if caller == nil {
			return calls, rejected, done
		}
		now := caller.next
		if now > time.Hour {
			t.Fatalf("fleet of %d proxies: at least one got no list within an hour", proxies)
		}
		for len(calls) <= int(now/second) {
			calls = append(calls, 0)
			rejected = append(rejected, 0)
		}
		calls[now/second]++
		tokens = min(callsPerSecond, tokens+callsPerSecond*(now-lastRefill).Seconds())
		lastRefill = now
		if tokens >= 1 {
			tokens--
			caller.done = true
			done = now
			caller.pacer.Succeeded()
			continue
		}
		rejected[now/second]++
		caller.pacer.Failed(now, retryAfter)
		caller.next = now + caller.pacer.Wait(now)
	}
}

// A fleet whose proxies start at the same time calls about as often as discovery accepts, and all proxies get a list in
// a small multiple of the shortest possible time.
func TestFleetStartIsSpread(t *testing.T) {
	for _, proxies := range []int{1, 12, 36} {
		for _, retryAfter := range []time.Duration{0, second} {
			calls, rejected, done := startFleet(t, proxies, retryAfter)
			shortest := time.Duration(float64(proxies) / 4 * float64(second)) // at four accepted calls a second
			// In the first second all proxies make a call, and most calls are rejected.
			later := append(calls[1:], 0)
			tooMany := calls[0] > 2*proxies || slices.Max(later) > 12
			if tooMany || proxies == 1 && (done > 0 || len(calls) != 1) {
				t.Errorf("%d proxies, retry after %v: %v calls in each second, all proxies had a list after %v; "+
					"want at most %d calls in the first second and 12 in each later one, "+
					"and a single proxy to make its only call without delay",
					proxies, retryAfter, calls, done, 2*proxies)
			}
			if done > 6*shortest+2*second {
				t.Errorf("%d proxies, retry after %v: all proxies had a list after %v, want at most %v; "+
					"%v calls were rejected in each second",
					proxies, retryAfter, done, 6*shortest+2*second, rejected)
			}
		}
	}
}

// After a failed call the pacer waits at least for the delay that discovery requested, and at most for MaxBackoff plus
// a fleet round. NewPacer returns an error that names the key of an invalid setting.
func TestPacerKeepsRetryAfter(t *testing.T) {
	p, err := NewPacer(pacingSettings(12, 5))
	if err != nil {
		t.Fatalf("NewPacer: %v", err)
	}
	now := second + p.Wait(second)
	if now > second+maxInitialDelay {
		t.Errorf("the first Wait(1s) = %v, want at most %v", now-second, maxInitialDelay)
	}
	for range 50 {
		p.Failed(now, 3*second)
		if wait := p.Wait(now); wait < 3*second || wait > pacingSettings(12, 5).MaxBackoff+p.fleetRound() {
			t.Fatalf("Wait after Failed with a retryAfter of 3s = %v, want 3s to MaxBackoff plus a fleet round (%v)",
				wait, pacingSettings(12, 5).MaxBackoff+p.fleetRound())
		}
		p.Failed(now, 0)
		if wait := p.Wait(now); wait < MinBackoff || wait > 10*second {
			t.Fatalf("Wait after Failed without a retryAfter = %v, want %v to 10s", wait, MinBackoff)
		}
		if timeout := p.WatchTimeout(); timeout < 15*second || timeout > 20*second {
			t.Fatalf("WatchTimeout() = %v, want 15s to 20s", timeout)
		}
	}
	if p.ConsecutiveFailures() != 100 {
		t.Errorf("ConsecutiveFailures() after 100 calls of Failed = %d, want 100", p.ConsecutiveFailures())
	}
	if p.Succeeded(); p.Wait(now) != 0 {
		t.Errorf("Wait after Succeeded = %v, want 0", p.Wait(now))
	}
	for want, s := range map[string]PacingSettings{
		"rate: 0":    {Proxies: 1, MaxBackoff: second},
		"proxies: 0": {CallsPerSecond: 1, MaxBackoff: second},
		"most: 0s":   {CallsPerSecond: 1, Proxies: 1},
		"hold: 1h":   {CallsPerSecond: 1, Proxies: 1, MaxBackoff: second, WatchTimeout: time.Hour},
	} {
		if _, err := NewPacer(s); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("NewPacer(%+v) returned error %v, want one that contains %q", s, err, want)
		}
	}
}

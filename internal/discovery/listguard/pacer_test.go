package listguard

import (
	"slices"
	"strings"
	"testing"
	"time"
)

func pacingSettings(proxies int, seed uint64) PacingSettings {
	return PacingSettings{
		CallsPerSecond: 4,
		Proxies:        proxies,
		MaxBackoff:     10 * second,
		WatchTimeout:   20 * second,
		Seed:           seed,
	}
}

// startFleet simulates, in virtual time, a discovery service that takes four calls a second and a fleet that starts in
// one moment. It returns the calls and the rejected ones by second, and when each proxy has its list.
func startFleet(t *testing.T, proxies int, retryAfter time.Duration) (calls, rejected []int, done time.Duration) {
	t.Helper()
	type proxy struct {
		pacer *Pacer
		next  time.Duration // its next call
		done  bool
	}
	var fleet []*proxy
	for i := range proxies {
		pacer, err := NewPacer(pacingSettings(proxies, uint64(i)))
		if err != nil {
			t.Fatal(err)
		}
		fleet = append(fleet, &proxy{pacer: pacer, next: pacer.Wait(0)})
	}
	const callsPerSecond = 4
	tokens := float64(callsPerSecond)
	var last time.Duration // when tokens were counted
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
			t.Fatalf("%d proxies: not all have a list after an hour", proxies)
		}
		for len(calls) <= int(now/second) {
			calls = append(calls, 0)
			rejected = append(rejected, 0)
		}
		calls[now/second]++
		tokens = min(callsPerSecond, tokens+callsPerSecond*(now-last).Seconds())
		last = now
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

// A fleet that starts together calls about as often as discovery takes, and all have a list in little more than the
// time that this takes by itself.
func TestFleetStartIsSpread(t *testing.T) {
	for _, proxies := range []int{1, 12, 36} {
		for _, retryAfter := range []time.Duration{0, second} {
			calls, rejected, done := startFleet(t, proxies, retryAfter)
			need := time.Duration(float64(proxies) / 4 * float64(second))
			later := append(calls[1:], 0) // in the first second each calls once and learns that it is too much
			tooMany := calls[0] > 2*proxies || slices.Max(later) > 12
			if tooMany || proxies == 1 && (done > 0 || len(calls) != 1) {
				t.Errorf("%d proxies, retry after %v: %v calls a second, all done after %v",
					proxies, retryAfter, calls, done)
			}
			if done > 6*need+2*second {
				t.Errorf("%d proxies, retry after %v: done after %v, %v would do; rejected %v",
					proxies, retryAfter, done, need, rejected)
			}
		}
	}
}

func TestPacerKeepsRetryAfter(t *testing.T) {
	p, err := NewPacer(pacingSettings(12, 5))
	if err != nil {
		t.Fatal(err)
	}
	now := second + p.Wait(second)
	if now > second+maxInitialDelay {
		t.Errorf("the first call waits until %v", now)
	}
	for range 50 {
		p.Failed(now, 3*second)
		if w := p.Wait(now); w < 3*second || w > pacingSettings(12, 5).MaxBackoff+p.fleetRound() {
			t.Fatalf("retry after 3 s: it waits %v", w)
		}
		p.Failed(now, 0)
		if w := p.Wait(now); w < MinBackoff || w > 10*second {
			t.Fatalf("it waits %v", w)
		}
		if h := p.WatchTimeout(); h < 15*second || h > 20*second {
			t.Fatalf("a watch is held for %v", h)
		}
	}
	if p.ConsecutiveFailures() != 100 {
		t.Errorf("%d in a row", p.ConsecutiveFailures())
	}
	if p.Succeeded(); p.Wait(now) != 0 {
		t.Error("it waits after an answer")
	}
	for want, s := range map[string]PacingSettings{
		"rate: 0":    {Proxies: 1, MaxBackoff: second},
		"proxies: 0": {CallsPerSecond: 1, MaxBackoff: second},
		"most: 0s":   {CallsPerSecond: 1, Proxies: 1},
		"hold: 1h":   {CallsPerSecond: 1, Proxies: 1, MaxBackoff: second, WatchTimeout: time.Hour},
	} {
		if _, err := NewPacer(s); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", want, err)
		}
	}
}

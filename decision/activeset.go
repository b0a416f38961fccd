package decision

import (
	"math"
	"time"
)

// A proxy uses only as many of the listed backends as its request rate requires. If each of many proxies
// connected to all backends, the connections would fill the backends' connection tables, and each proxy would
// send too few requests to a backend to measure its latency.
const (
	// In each locality, a proxy uses as many targets as requests arrive in the fraction
	// activeShareOfInterval of a check interval, but at least minActiveTargets: if one of them fails, two
	// are left to compare.
	activeShareOfInterval = 0.5
	minActiveTargets      = 3

	// localities is the number of values of Balancer.locality: the proxy's own zone and all other zones.
	localities = 2
)

// selectActive recomputes the span over which measurements decay and the active targets. Both depend on the
// request rate.
func (b *Balancer) selectActive() {
	// A long time without requests, if included in the mean, would hide the current rate for thousands of
	// requests.
	for b.now-b.countedSince > maxRateSpan {
		b.decayRequestRate()
	}
	rate := b.requestRate()
	b.decaySpan = b.decaySpanFor(rate) // depends on the number of targets that were active until now
	b.chooseActive(b.wantedTargets(rate))
}

// wantedTargets returns how many healthy targets of each locality this proxy uses at a request rate, in
// requests a second: all of them with KeyAffinity, else as many as requests arrive in the fraction
// activeShareOfInterval of a check interval.
func (b *Balancer) wantedTargets(rate float64) float64 {
	if b.config.KeyAffinity {
		return float64(len(b.listed))
	}
	return max(minActiveTargets, math.Ceil(rate*b.checkInterval.Seconds()*activeShareOfInterval))
}

// chooseActive makes the first listed targets of each locality active, up to wanted healthy ones; unhealthy
// targets before these are active too. The order of the listed targets does not change as others are added
// or removed.
func (b *Balancer) chooseActive(wanted float64) {
	b.active = b.active[:0]
	remaining := [localities]float64{wanted, wanted}
	for _, t := range b.listed {
		if remaining[b.locality(t)] < 1 {
			continue
		}
		b.active = append(b.active, t)
		t.limit.requestShare = b.requestShare(wanted)
		if t.limit.ceiling == 0 {
			t.limit = newConcurrencyLimit(t.limit.requestShare, targetLimitBackoff, 0)
		}
		if t.healthy {
			remaining[b.locality(t)]--
		}
	}
}

// requestShare returns this proxy's share of one request in flight at a target: the share is 0.5 if two
// proxies use the target. It assumes that all proxies want the same number of targets of each locality. If
// there are more targets than a proxy wants, a target is active at only some of the proxies, and the share of
// each of these is larger.
func (b *Balancer) requestShare(wanted float64) float64 {
	return max(1, float64(len(b.listed))/(localities*wanted)) / float64(b.config.Instances)
}

// decaySpanFor returns the span over which measurements decay at a rate in requests a second. A proxy that
// sends to each backend only rarely must remember that one is slow until it sends there again.
func (b *Balancer) decaySpanFor(rate float64) time.Duration {
	span := decayIntervals * b.checkInterval
	if rate <= 0 {
		return span
	}
	answersSpan := min(1000*(decayAnswers*float64(len(b.active))/rate), millis(maxRateSpan)) // ms
	return max(span, fromMillis(answersSpan))
}

// countRequest counts a request in the request rate, and halves the count once it covers more than
// meanRequests requests and decayIntervals check intervals. If it covered less than a check interval, the
// rate would appear as a fraction of the actual rate, and a proxy with much traffic would use too few
// backends.
func (b *Balancer) countRequest() {
	b.requestCount++
	if b.requestCount > meanRequests && b.now-b.countedSince > decayIntervals*b.checkInterval {
		b.decayRequestRate()
	}
}

// requestRate returns the rate of arriving requests a second.
func (b *Balancer) requestRate() float64 {
	return b.requestCount / (b.now - b.countedSince + b.checkInterval).Seconds()
}

// decayRequestRate halves the request count and the time that it covers, so that later requests weigh more in
// the rate.
func (b *Balancer) decayRequestRate() {
	b.requestCount /= 2
	b.countedSince = b.now - (b.now-b.countedSince)/2
}

package decision

import (
	"math"
	"time"
)

// A proxy uses only as many of the listed backends as it has requests for. Many proxies with connections to
// all would fill the backends' connection tables, and know none of them.
const (
	// As many targets are active as requests come in activeShareOfInterval of a check interval, but at least
	// minActiveTargets: two to compare after one is lost.
	activeShareOfInterval = 0.5
	minActiveTargets      = 3

	// localities is the number of values of Balancer.locality: the proxy's own zone, and elsewhere.
	localities = 2
)

// selectActive brings what follows the request rate up to date: the span over which measurements decay, and
// the active targets.
func (b *Balancer) selectActive() {
	// A long silence in the mean would hide the present rate for thousands of requests.
	for b.now-b.countedSince > maxRateSpan {
		b.decayRequestRate()
	}
	rate := b.requestRate()
	b.decaySpan = b.decaySpanFor(rate) // goes by the targets that were active until now
	b.chooseActive(b.wantedTargets(rate))
}

// wantedTargets is how many healthy targets of each locality this proxy uses at a rate of requests a second:
// all if keys choose the target, else as many as it has requests in a part of the check interval.
func (b *Balancer) wantedTargets(rate float64) float64 {
	if b.config.KeyAffinity {
		return float64(len(b.listed))
	}
	return max(minActiveTargets, math.Ceil(rate*b.checkInterval.Seconds()*activeShareOfInterval))
}

// chooseActive makes the first listed targets of each locality active, up to wanted healthy ones; unhealthy
// ones before these are active too. The order of the others stays as some come and go.
func (b *Balancer) chooseActive(wanted float64) {
	b.active = b.active[:0]
	left := [localities]float64{wanted, wanted}
	for _, t := range b.listed {
		if left[b.locality(t)] < 1 {
			continue
		}
		b.active = append(b.active, t)
		t.limit.unit = b.limitUnit(wanted)
		if t.limit.ceiling == 0 {
			t.limit = newConcurrencyLimit(t.limit.unit, targetLimitBackoff, 0)
		}
		if t.healthy {
			left[b.locality(t)]--
		}
	}
}

// limitUnit is this proxy's part of one request in flight at a target, if all proxies want as many targets of
// each locality: a target is active at only a share of the proxies where there are more than they want.
func (b *Balancer) limitUnit(wanted float64) float64 {
	return max(1, float64(len(b.listed))/(localities*wanted)) / float64(b.config.Instances)
}

// decaySpanFor is the span over which measurements decay at a rate of requests a second. A proxy that meets
// each backend only now and then must not forget a slow one before it comes to it again.
func (b *Balancer) decaySpanFor(rate float64) time.Duration {
	span := decayIntervals * b.checkInterval
	if rate <= 0 {
		return span
	}
	enough := min(1000*(decayAnswers*float64(len(b.active))/rate), millis(maxRateSpan))
	return max(span, fromMillis(enough))
}

// countRequest counts a request in the request rate, and halves the count once it covers meanRequests and
// decayIntervals check intervals. Over so few requests that they come within a check
// interval, the rate would seem a fraction of what it is, and a proxy with much traffic would use too few
// backends.
func (b *Balancer) countRequest() {
	b.requestCount++
	if b.requestCount > meanRequests && b.now-b.countedSince > decayIntervals*b.checkInterval {
		b.decayRequestRate()
	}
}

// requestRate is how many requests come a second.
func (b *Balancer) requestRate() float64 {
	return b.requestCount / (b.now - b.countedSince + b.checkInterval).Seconds()
}

// decayRequestRate halves the requests that the rate is taken from, and the time that it is taken over.
func (b *Balancer) decayRequestRate() {
	b.requestCount /= 2
	b.countedSince = b.now - (b.now-b.countedSince)/2
}

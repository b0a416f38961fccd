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
)

// selectActive sets which listed targets this proxy uses: all if keys choose, else as many healthy ones, in
// its own zone and elsewhere, as it has requests in a part of the check interval. The order stays as others
// come and go. It also sets the span over which measurements decay, which follows the request rate.
func (b *Balancer) selectActive() {
	// A long silence in the mean would hide the present rate for thousands of requests.
	for b.now-b.countedSince > maxRateSpan {
		b.decayRequestRate()
	}
	rate := b.requestRate()
	wanted := max(minActiveTargets, math.Ceil(rate*b.checkInterval.Seconds()*activeShareOfInterval))
	if b.config.KeyAffinity {
		wanted = float64(len(b.listed))
	}
	b.decaySpan = b.decaySpanFor(rate)
	b.active = b.active[:0]
	left := [2]float64{wanted, wanted} // by locality
	for _, t := range b.listed {
		if left[b.locality(t)] < 1 {
			continue
		}
		b.active = append(b.active, t)
		t.limit.unit = max(1, float64(len(b.listed))/(2*wanted)) / float64(b.config.Instances)
		if t.limit.ceiling == 0 {
			t.limit = newConcurrencyLimit(t.limit.unit, targetLimitBackoff, 0)
		}
		if t.healthy {
			left[b.locality(t)]--
		}
	}
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

// countRequest takes a request into the request rate. Over so few requests that they come within a check
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

package decision

import "time"

// Slow start: a backend that has started, or may have, serves only a share of its capacity and falls over
// beyond a multiple of it. What it may be sent is a token bucket in requests of mean work, filled at the
// rate that this proxy's part of its capacity allows.
const (
	// servedWorkIntervals is over how many check intervals the work that backends serve is taken.
	servedWorkIntervals = 8

	// slowStartSafety is the share of what would make a cold backend fall over that it may be sent.
	slowStartSafety = 0.8

	// slowStartBurst is the share of the overload window over which tokens may be saved up.
	slowStartBurst = 0.25

	minOverloadWindow = time.Second

	// soleRequestWork is of how many times the mean work a request may be that is alone at a cold backend.
	soleRequestWork = 2
)

// warmUpCapacity gives the share of its capacity that a backend has at least, and whether it is still warming
// up.
func (b *Balancer) warmUpCapacity(t *target) (share float64, warmingUp bool) {
	c := &b.config.Constraints
	if age := b.now - t.lastStart; t.lastStart > 0 && age < c.WarmUp {
		return c.InitialCapacity + (1-c.InitialCapacity)*max(0, float64(age)/float64(c.WarmUp)), true
	}
	return 1, false
}

// recordStart notes a start, known or suspected; what was served before it says nothing. Tokens are in
// requests, as a proxy that has just started knows no mean work. Each of many proxies that hear of a start
// at once has a first request for the backend, and these alone could make it fall over: so a proxy's first
// waits a random part of the time in which all proxies may send one each.
func (b *Balancer) recordStart(t *target, at time.Duration) {
	if at <= t.lastStart {
		return
	}
	t.lastStart = at
	t.recentWork = decayingSum{}
	t.tokensUpdatedAt = b.now
	t.slowStartTokens = -b.random.Float64() * b.otherProxiesShare()
}

// otherProxiesShare is the share of the other proxies in all requests.
func (b *Balancer) otherProxiesShare() float64 { return 1 - 1/float64(b.config.Instances) }

// refillSlowStart sets the rate of each backend that warms up and adds the tokens that are due.
func (b *Balancer) refillSlowStart() {
	window := max(b.config.Constraints.OverloadWindow, minOverloadWindow).Seconds()
	for _, t := range b.active {
		share, warmingUp := b.warmUpCapacity(t)
		if !warmingUp {
			continue
		}
		t.slowStartRate = b.slowStartRateOf(t, share, window)
		added := t.slowStartRate * (b.now - t.tokensUpdatedAt).Seconds()
		most := t.slowStartRate * slowStartBurst * window / b.meanRequestWork()
		t.slowStartTokens = min(t.slowStartTokens+added/b.meanRequestWork(), most)
		t.tokensUpdatedAt = b.now
	}
}

// slowStartRateOf is the work in ms a second that a backend may be sent while it has a share of its capacity;
// window is the overload window in seconds. The rate is that share of what similar backends serve of this
// proxy's requests, or some more than the backend serves itself. All proxies together stay within what it can
// bear.
func (b *Balancer) slowStartRateOf(t *target, share, window float64) float64 {
	least := b.meanWork / window / float64(b.config.Instances) // a request a window teaches enough
	expected := b.similarServedRate(t) * share
	own := t.recentWork.perSecond(b.now, b.config.Constraints.OverloadWindow)
	rate := max(expected, own)
	if b.usesSharedLimit() { // among many proxies, chance makes the larger of the two too large at each
		rate = (expected + own) / 2
	}
	return max(rate*slowStartSafety*b.config.Constraints.OverloadFactor, least)
}

// similarServedRate is the mean work in ms a second that warm backends of the same kind and zone serve, or
// all warm ones if there is none.
func (b *Balancer) similarServedRate(t *target) float64 {
	sum, n := 0.0, 0.0
	for _, anyKind := range [2]bool{false, true} {
		for _, o := range b.active {
			if _, warmingUp := b.warmUpCapacity(o); warmingUp || !o.healthy {
				continue
			}
			if anyKind || o.Kind == t.Kind && o.Zone == t.Zone {
				sum += o.servedWork.perSecond(b.now, servedWorkIntervals*b.checkInterval)
				n++
			}
		}
		if n > 0 {
			break
		}
	}
	return sum / max(n, 1)
}

// slowStartAllows reports whether a target may be sent a request of so many ms of work: always once it is
// warm, else within its tokens, or alone if it is not of much more work than the mean. The latter needs
// tokens too: answers that come fast, or a cancel, would let one request at a time add up.
func (b *Balancer) slowStartAllows(t *target, work float64) bool {
	if _, warmingUp := b.warmUpCapacity(t); !warmingUp {
		return true
	}
	alone := len(t.inFlight) == 0 && t.slowStartTokens >= 0 && work <= soleRequestWork*b.meanRequestWork()
	return t.slowStartTokens >= b.inMeanRequests(work) || alone
}

// recordServedWork records the work of an attempt that was answered.
func (b *Balancer) recordServedWork(t *target, work float64) {
	t.servedWork.add(work, b.now, servedWorkIntervals*b.checkInterval)
	t.recentWork.add(work, b.now, b.config.Constraints.OverloadWindow)
}

package decision

import "time"

// Slow start: a backend that has just started, or may have, can serve only a share of its capacity, and fails
// under a load above a multiple of that share. Sends to it are limited by a token bucket in requests of mean
// work, which is filled at the rate of this proxy's share of the reduced capacity.
const (
	// servedWorkIntervals is the number of check intervals over which the work that a backend served is
	// averaged.
	servedWorkIntervals = 8

	// A backend that is warming up is sent at most slowStartSafety times the load that would make it fail.
	slowStartSafety = 0.8

	// slowStartBurst is the share of the overload window for which unused tokens accumulate.
	slowStartBurst = 0.25

	// A shorter overload window counts as minOverloadWindow when tokens are added.
	minOverloadWindow = time.Second

	// Without enough tokens, a request may still be sent to a backend with nothing else in flight if its work
	// is at most soleRequestWork times the mean.
	soleRequestWork = 2
)

// warmUpCapacity returns the share of its full capacity that a backend has at least, and whether it is still
// warming up.
func (b *Balancer) warmUpCapacity(t *target) (share float64, warmingUp bool) {
	c := &b.config.Constraints
	if age := b.now - t.lastStart; t.lastStart > 0 && age < c.WarmUp {
		return c.InitialCapacity + (1-c.InitialCapacity)*max(0, float64(age)/float64(c.WarmUp)), true
	}
	return 1, false
}

// recordStart records a start of a backend, known or suspected, and discards the work that it served before.
// When many proxies learn of a start at once, each has a first request for the backend, and these alone could
// make it fail. So the tokens begin with a random negative value: the first request waits a random part of
// the time in which all proxies together may send one request each. Tokens are in requests, not in work,
// because a proxy that has just started has no mean work yet.
func (b *Balancer) recordStart(t *target, at time.Duration) {
	if at <= t.lastStart {
		return
	}
	t.lastStart = at
	t.recentWork = decayingSum{}
	t.tokensUpdatedAt = b.now
	t.slowStartTokens = -b.random.Float64() * b.otherProxiesShare()
}

// otherProxiesShare returns the share of the other proxies in all requests, if all proxies get equal shares.
func (b *Balancer) otherProxiesShare() float64 { return 1 - 1/float64(b.config.Instances) }

// refillSlowStart updates the rate of each backend that is warming up, and adds tokens for the time since the
// last refill.
func (b *Balancer) refillSlowStart() {
	window := max(b.config.Constraints.OverloadWindow, minOverloadWindow).Seconds()
	for _, t := range b.active {
		share, warmingUp := b.warmUpCapacity(t)
		if !warmingUp {
			continue
		}
		t.slowStartRate = b.slowStartRateFor(t, share, window)
		added := t.slowStartRate * (b.now - t.tokensUpdatedAt).Seconds()
		maxTokens := t.slowStartRate * slowStartBurst * window / b.meanRequestWork()
		t.slowStartTokens = min(t.slowStartTokens+added/b.meanRequestWork(), maxTokens)
		t.tokensUpdatedAt = b.now
	}
}

// slowStartRateFor returns the work in ms a second that this proxy may send to a backend which has a share of
// its full capacity. window is the overload window in seconds. The rate is a multiple of the larger of two
// estimates: that share of what similar backends serve of this proxy's requests, and what the backend itself
// has served of them since its start. All proxies together stay within what the backend can serve.
func (b *Balancer) slowStartRateFor(t *target, share, window float64) float64 {
	// One request of all proxies in an overload window is enough to measure the backend.
	minRate := b.meanWork / window / float64(b.config.Instances)
	expected := b.similarServedRate(t) * share
	served := t.recentWork.perSecond(b.now, b.config.Constraints.OverloadWindow)
	rate := max(expected, served)
	if b.usesSharedLimit() { // at many proxies the larger estimate would be too large by chance
		rate = (expected + served) / 2
	}
	return max(rate*slowStartSafety*b.config.Constraints.OverloadFactor, minRate)
}

// similarServedRate returns the mean work in ms a second that warm, healthy backends of the same kind and
// zone serve of this proxy's requests or, if there are none, that all warm, healthy backends serve.
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

// slowStartAllows reports whether slow start allows sending a target a request of the work in ms. A warm
// target may always get it. Otherwise the tokens must suffice, or nothing else may be in flight at the target
// and the work must be at most soleRequestWork times the mean. In the latter case the tokens must not be
// negative: with fast answers or cancels, one request at a time would add up to too much work.
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

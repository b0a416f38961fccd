package decision

import (
	"testing"
	"time"
)

// A late attempt that was alone at its backend is no sign of overload: it reduces the limit only slightly.
func TestOneLateAttemptCutsLimitLittle(t *testing.T) {
	b, h := newBalancer(t, testConfig(), 1)
	only := b.targets[0]
	only.limit.ceiling = 20
	b.Request(second, Request{ID: 1, Deadline: 4 * second})
	b.Outcome(second+900*milli, Outcome{ID: 1, Backend: h.take("send")[0].to, Result: OK, Final: true})
	if only.limit.ceiling >= 20 || only.limit.ceiling < 15 {
		t.Errorf("limit after one late answer = %v, want at least 15 and less than the earlier 20", only.limit.ceiling)
	}
}

// Proxies that start together under load must not double their limits far beyond what overloads a backend.
func TestLateAttemptSlowsGrowthOfNewLimit(t *testing.T) {
	for _, c := range []struct {
		name         string
		firstLatency float64 // ms, of the first answer
		maxGrowth    float64 // of the limit by the second answer, which comes in time
		minGrowth    float64
	}{
		{"first answer in time", 100, 1.1, 0.9},
		{"first answer late", 2900, 0.6, 0.01},
	} {
		b, h := newBalancer(t, testConfig(), 1)
		now := second
		only := b.targets[0]
		for id := range RequestID(2) {
			b.Request(now, Request{ID: id + 1, Class: 2, Deadline: now + 3*second})
			if got := h.take("send"); len(got) != 1 {
				t.Fatalf("%s: Request(%d) caused %d sends, want 1", c.name, id+1, len(got))
			}
			before := only.limit.ceiling
			took := 50 * milli
			if id == 0 {
				took = fromMillis(c.firstLatency)
			}
			now += took
			b.Outcome(now, Outcome{ID: id + 1, Result: OK, Final: true})
			if growth := only.limit.ceiling - before; id == 1 && (growth > c.maxGrowth || growth < c.minGrowth) {
				t.Errorf("%s: the second answer raised the limit of %v by %v, want %v to %v", c.name, before, growth,
					c.minGrowth, c.maxGrowth)
			}
			// The limit grows only while it is in use: make it so low that the next attempt uses it.
			only.limit.ceiling, b.meanLatency = 1, b.expectedLatency(notIdempotent, 0)
		}
	}
}

// A late attempt reduces the limit once, and while it is in flight: its end would show an overload too late.
func TestAttemptIsLateWhileInFlight(t *testing.T) {
	b, _ := newBalancer(t, testConfig(), 1)
	only := b.targets[0]
	only.limit.ceiling = 20
	b.Request(second, Request{ID: 1, Deadline: 4 * second})
	b.Timer(second+600*milli, sweepToken)
	afterOneSweep := only.limit.ceiling
	b.Timer(second+650*milli, sweepToken)
	// Each sweep reduces an unused limit slightly.
	if afterOneSweep >= 20 || only.limit.ceiling < afterOneSweep*0.95 {
		t.Errorf("limit after one sweep with a late attempt in flight = %v, after two sweeps = %v; "+
			"want less than the earlier 20 after one, and at least 95%% of that after two", afterOneSweep,
			only.limit.ceiling)
	}
}

// A backend that rejects requests at once has nothing in flight, but must not be treated as idle.
func TestRejectingBackendDoesNotLookIdle(t *testing.T) {
	cfg := testConfig()
	cfg.Zone = 9 // no backend is in the proxy's own zone
	b, h := newBalancer(t, cfg, 2)
	b.Request(second, Request{ID: 1, Deadline: 4 * second})
	rejecting := h.take("send")[0].to
	before := b.targetsByID[rejecting].limit.ceiling
	b.Outcome(second+milli, Outcome{ID: 1, Backend: rejecting, Result: Rejected})
	b.Request(second+2*milli, Request{ID: 2, Deadline: 4 * second})
	for _, a := range h.take("send") {
		if a.to == rejecting {
			t.Errorf("request 2 sent to backend %d, which had just rejected request 1, want the other backend", a.to)
		}
	}
	if after := b.targetsByID[rejecting].limit.ceiling; after >= before {
		t.Errorf("limit after Outcome(Rejected) = %v, want less than the %v before it", after, before)
	}
}

// One attempt in flight from each of many proxies may overload a backend: a limit below one spaces attempts in time.
func TestLimitBelowOneSpacesAttempts(t *testing.T) {
	b, h := newBalancer(t, testConfig(), 1)
	only := b.targets[0]
	b.meanLatency, only.limit.ceiling = 200, 0.5
	sent := 0 * second
	for at := second; at < 3*second; at += 10 * milli {
		only.limit.ceiling, b.meanLatency = 0.5, 200
		b.Request(at, Request{ID: RequestID(at), Class: idempotent, Deadline: at + 3*second})
		b.Timer(at, dispatchToken)
		for _, a := range h.take("send") {
			if gap := at - sent; sent > 0 && gap < 380*milli {
				t.Fatalf("two sends %v apart at a limit of 0.5 and a latency of 200 ms, want at least 380ms", gap)
			}
			sent = at
			b.Outcome(at+milli, Outcome{ID: a.id, Attempt: a.attempt, Backend: 1, Result: OK, Final: true})
		}
	}
	if sent < 2*second {
		t.Errorf("last send at %v, want one later than 2s, since requests arrive until 3s", sent)
	}
}

// An unused limit decreases: one far above the load in use would let a burst overload the backend before late answers
// show it.
func TestUnusedLimitSinks(t *testing.T) {
	b, _ := newBalancer(t, testConfig(), 1)
	only := b.targets[0]
	only.limit.ceiling = 100
	for at := second; at < 11*second; at += 50 * milli {
		b.Timer(at, sweepToken)
	}
	if only.limit.ceiling > 2*newConcurrencyLimit(0.5, targetLimitBackoff, 0).ceiling ||
		only.limit.ceiling < newConcurrencyLimit(0.5, targetLimitBackoff, 0).ceiling {
		t.Errorf("limit after ten idle seconds = %v, want the initial limit of %v to twice that", only.limit.ceiling,
			newConcurrencyLimit(0.5, targetLimitBackoff, 0).ceiling)
	}
}

// A shared limit of one or two in flight would often be reached by chance, so it applies to the mean load.
func TestSharedLimitHoldsForMeanLoad(t *testing.T) {
	b, _ := newBalancer(t, manyConfig(100), 10)
	b.sharedLimit.ceiling = 1.5
	for range 4 {
		b.sharedLimit.reserve(&attempt{loadWeight: 1}, b.now, 100)
	}
	if b.now += 10 * milli; b.sharedLimitReached(1) {
		t.Error("sharedLimitReached = true 10 ms after four attempts were sent, at a limit of 1.5, want false")
	}
	if b.now += 10 * second; !b.sharedLimitReached(1) {
		t.Error("sharedLimitReached = false 10 s after four attempts were sent, at a limit of 1.5, want true")
	}
}

// Some slow backends are no sign of overload: they must not reduce the shared limit.
func TestSlowBackendsDoNotCutSharedLimit(t *testing.T) {
	for _, c := range []struct {
		name string
		slow bool
	}{{"backend measured as slow", true}, {"backend not measured as slow", false}} {
		b, _ := newBalancer(t, manyConfig(100), 2)
		to := b.targets[0]
		if c.slow {
			to.recordRatio(b.now, b.decaySpan, 400, 100)
		}
		r := &request{Request: Request{ID: 1, Class: idempotent, Deadline: time.Hour}, arrived: b.now,
			objectiveAt: b.now + second}
		b.meanLatency = 100
		b.meanWork = 100
		b.requests[1] = r
		if !b.send(r, to) {
			t.Fatalf("%s: send() = false, want true", c.name)
		}
		limits := [2]float64{to.limit.ceiling, b.sharedLimit.ceiling}
		b.now += 900 * milli
		b.adjustLimits(r.attempts[0], Cancelled)
		if to.limit.ceiling >= limits[0] {
			t.Errorf("%s: target limit after a late attempt = %v, want less than the %v before it", c.name,
				to.limit.ceiling, limits[0])
		}
		if cut := b.sharedLimit.ceiling < limits[1]; cut == c.slow {
			t.Errorf("%s: shared limit reduced by a late attempt: %v, want %v", c.name, cut, !c.slow)
		}
	}
}

// Two unanswered attempts in a row reduce the limit of a hanging backend to one in flight over all proxies: many
// proxies that each try it occasionally would together lose many requests. The limit recovers with time.
func TestLimitRecoversAfterHang(t *testing.T) {
	b, _ := newBalancer(t, manyConfig(100), 3)
	to := b.targets[0]
	first := to.limit.ceiling
	for i := range 2 {
		if to.limit.ceiling != first {
			t.Fatalf("limit after %d unanswered attempts = %v, want the initial limit of %v until the second one", i,
				to.limit.ceiling, first)
		}
		b.recordAttemptHealth(&attempt{request: &request{}, target: to, waitingSince: b.now}, Timeout)
	}
	if to.limit.ceiling != to.limit.requestShare {
		t.Errorf("limit after two unanswered attempts = %v, want its minimum of %v", to.limit.ceiling,
			to.limit.requestShare)
	}
	for range limitRecoveryFactor * decayIntervals * sweepsPerInterval {
		b.relaxLimit(&to.limit)
	}
	if to.limit.ceiling < first/2 || to.limit.ceiling > first {
		t.Errorf("limit after its recovery time = %v, want %v (half of the initial limit) to %v (the initial limit)",
			to.limit.ceiling, first/2, first)
	}
}

// A proxy with little traffic seldom has two queued requests to choose from, so limits are scaled by a request's gain.
func TestHighGainRaisesLimitScale(t *testing.T) {
	cfg := manyConfig(100)
	cfg.Classes[keyedAnywhere].PriorityWeight = 20
	b, h := newBalancer(t, cfg, 10)
	now := b.now
	for id := range RequestID(400) { // enough for the first ones to hardly count in the mean gain
		now += 10 * milli
		b.Request(now, Request{ID: id + 1, Class: []int{idempotent, idempotent, keyedAnywhere}[id%3],
			Deadline: now + 3*second})
		for _, a := range h.take("send") {
			b.Outcome(now, Outcome{ID: a.id, Attempt: a.attempt, Backend: a.to, Result: OK, Final: true})
		}
	}
	scale := func(class int) float64 {
		r := &request{Request: Request{Class: class, Deadline: now + 3*second}, arrived: now, objectiveAt: now + second}
		r.value = b.config.Classes[class].PriorityWeight
		return b.limitScale(r)
	}
	if low, high := scale(idempotent), scale(keyedAnywhere); low > 1 || low < minLimitScale || high < 1.5 ||
		high > maxLimitScale {
		t.Errorf("limitScale(low gain) = %v, want %v to 1; limitScale(high gain) = %v, want 1.5 to %v", low,
			minLimitScale, high, float64(maxLimitScale))
	}
	b.config.Instances = 2
	if scale(idempotent) != 1 || scale(keyedAnywhere) != 1 {
		t.Errorf("one of two proxies: limitScale = %v and %v, want 1: it can choose among queued requests",
			scale(idempotent), scale(keyedAnywhere))
	}
}

// While no attempt is late, a limit that low-gain requests reach must grow, or they are shed unnecessarily.
func TestLimitGrowsWhereLowGainReachesIt(t *testing.T) {
	for _, c := range []struct {
		usedShare float64 // of the limit
		grows     bool
	}{{0.3, false}, {0.5, true}} {
		b, _ := newBalancer(t, manyConfig(100), 2)
		b.sharedLimit.ceiling, b.sharedLimit.growthStep = 4, 0
		a := &attempt{target: b.targets[0], reservations: []reservation{{limit: &b.sharedLimit,
			loadAtSend: 4 * c.usedShare, lateAt: time.Hour}}}
		b.adjustLimits(a, OK)
		if grown := b.sharedLimit.ceiling > 4; grown != c.grows {
			t.Errorf("answer in time with the share %v of the limit in use raised the limit: %v, want %v", c.usedShare,
				grown, c.grows)
		}
	}
}

// The growth and the backoff of the shared limit balance at about one late attempt in five, not at one in two.
func TestSharedLimitGrowsByShareOfBackoff(t *testing.T) {
	b, _ := newBalancer(t, manyConfig(400), 2)
	b.sharedLimit.ceiling, b.sharedLimit.growthStep = 1, 0
	endAttempt := func(result Result, lateAt time.Duration) {
		b.adjustLimits(&attempt{target: b.targets[0], reservations: []reservation{{limit: &b.sharedLimit,
			loadAtSend: 9, lateAt: lateAt}}}, result)
	}
	for range 30 {
		endAttempt(OK, 0)
		for range 3 {
			endAttempt(OK, time.Hour)
		}
	}
	if b.sharedLimit.ceiling > 0.9 {
		t.Errorf("shared limit = %v after 30 late attempts and 90 in time, starting from 1, want at most 0.9",
			b.sharedLimit.ceiling)
	}
}

// The usual latency under load may exceed the objective. An attempt must count as late before its objective, or the
// limit does not fall while half of all requests are lost.
func TestAttemptIsLateBeforeItsObjective(t *testing.T) {
	b, h := newBalancer(t, manyConfig(10), 2)
	for i := range b.tailByClass {
		b.tailByClass[i].baseline = 5000
	}
	b.Request(b.now, Request{ID: 1, Class: notIdempotent, Deadline: b.now + 4*second})
	if len(h.take("send")) != 1 {
		t.Fatal("Request(not idempotent) caused no send, want one")
	}
	for _, u := range b.requests[1].attempts[0].reservations {
		if late := u.lateAt - b.now; late >= b.config.Classes[notIdempotent].LatencyObjective {
			t.Errorf("attempt counts as late after %v, want less than the objective of %v", late,
				b.config.Classes[notIdempotent].LatencyObjective)
		}
	}
}

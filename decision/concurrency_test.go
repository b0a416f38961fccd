package decision

import (
	"testing"
	"time"
)

// A late attempt that was alone at its backend is no sign of overload: it cuts the limit a little only.
func TestOneLateAttemptCutsLimitLittle(t *testing.T) {
	b, h := newBalancer(t, testConfig(), 1)
	only := b.targets[0]
	only.limit.ceiling = 20
	b.Request(second, Request{ID: 1, Deadline: 4 * second})
	b.Outcome(second+900*milli, Outcome{ID: 1, Backend: h.take("send")[0].to, Result: OK, Final: true})
	if only.limit.ceiling >= 20 || only.limit.ceiling < 15 {
		t.Errorf("limit %v after one late answer", only.limit.ceiling)
	}
}

// Proxies that start together under load must not double their limits past what overloads a server.
func TestLateAttemptSlowsGrowthOfNewLimit(t *testing.T) {
	for _, c := range []struct {
		name  string
		takes float64 // ms, of the first answer
		most  float64 // growth of the limit by the second, in time
		least float64
	}{
		{"in time", 100, 1.1, 0.9},
		{"late", 2900, 0.6, 0.01},
	} {
		b, h := newBalancer(t, testConfig(), 1)
		now := second
		only := b.targets[0]
		for id := range RequestID(2) {
			b.Request(now, Request{ID: id + 1, Class: 2, Deadline: now + 3*second})
			if got := h.take("send"); len(got) != 1 {
				t.Fatalf("%s: sends %v", c.name, got)
			}
			before := only.limit.ceiling
			took := 50 * milli
			if id == 0 {
				took = fromMillis(c.takes)
			}
			now += took
			b.Outcome(now, Outcome{ID: id + 1, Result: OK, Final: true})
			if grown := only.limit.ceiling - before; id == 1 && (grown > c.most || grown < c.least) {
				t.Errorf("%s: the limit of %v grew by %v", c.name, before, grown)
			}
			// so that the next attempt uses it
			only.limit.ceiling, b.meanLatency = 1, b.expectedLatency(notIdempotent, 0)
		}
	}
}

// Waiting for a late attempt's end would show an overload too late.
func TestAttemptIsLateWhileInFlight(t *testing.T) {
	b, _ := newBalancer(t, testConfig(), 1)
	only := b.targets[0]
	only.limit.ceiling = 20
	b.Request(second, Request{ID: 1, Deadline: 4 * second})
	b.Timer(second+600*milli, sweepToken)
	once := only.limit.ceiling
	b.Timer(second+650*milli, sweepToken)
	if once >= 20 || only.limit.ceiling < once*0.95 { // it may sink a little by itself
		t.Errorf("limits %v, then %v", once, only.limit.ceiling)
	}
}

// A backend that rejects requests at once must not look idle.
func TestRejectingBackendDoesNotLookIdle(t *testing.T) {
	cfg := testConfig()
	cfg.Zone = 9 // no backend is near
	b, h := newBalancer(t, cfg, 2)
	b.Request(second, Request{ID: 1, Deadline: 4 * second})
	full := h.take("send")[0].to
	before := b.targetsByID[full].limit.ceiling
	b.Outcome(second+milli, Outcome{ID: 1, Backend: full, Result: Rejected})
	b.Request(second+2*milli, Request{ID: 2, Deadline: 4 * second})
	for _, a := range h.take("send") {
		if a.to == full {
			t.Error("sent to a backend that had just said that it is full")
		}
	}
	if now := b.targetsByID[full].limit.ceiling; now >= before {
		t.Errorf("its limit was %v and is %v", before, now)
	}
}

// One attempt in flight from each of many proxies may be too much: a limit below one spaces attempts in time.
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
				t.Fatalf("a send %v after the one before", gap)
			}
			sent = at
			b.Outcome(at+milli, Outcome{ID: a.id, Attempt: a.attempt, Backend: 1, Result: OK, Final: true})
		}
	}
	if sent < 2*second {
		t.Errorf("last send at %v", sent)
	}
}

// A limit far above its use would let a burst overload the server before answers tell.
func TestUnusedLimitSinks(t *testing.T) {
	b, _ := newBalancer(t, testConfig(), 1)
	only := b.targets[0]
	only.limit.ceiling = 100
	for at := second; at < 11*second; at += 50 * milli {
		b.Timer(at, sweepToken)
	}
	if only.limit.ceiling > 2*newConcurrencyLimit(0.5, targetLimitBackoff, 0).ceiling ||
		only.limit.ceiling < newConcurrencyLimit(0.5, targetLimitBackoff, 0).ceiling {
		t.Errorf("limit %v after ten idle seconds", only.limit.ceiling)
	}
}

// A shared limit of one or two in flight would be reached by chance, so it holds for the mean load.
func TestSharedLimitHoldsForMeanLoad(t *testing.T) {
	b, _ := newBalancer(t, manyConfig(100), 10)
	b.sharedLimit.ceiling = 1.5
	for range 4 {
		b.sharedLimit.reserve(&attempt{loadWeight: 1}, b.now, 100)
	}
	if b.now += 10 * milli; b.sharedLimitReached(1) {
		t.Error("full as soon as four are out")
	}
	if b.now += 10 * second; !b.sharedLimitReached(1) {
		t.Error("four out for ten seconds, and it is not full")
	}
}

// Some slow backends are no sign of overload: they must not cut the limit for all.
func TestSlowBackendsDoNotCutSharedLimit(t *testing.T) {
	for _, c := range []struct {
		name string
		slow bool
	}{{"known to be slow", true}, {"not known to be", false}} {
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
			t.Fatal("not sent")
		}
		limits := [2]float64{to.limit.ceiling, b.sharedLimit.ceiling}
		b.now += 900 * milli
		b.adjustLimits(r.attempts[0], Cancelled)
		if to.limit.ceiling >= limits[0] {
			t.Errorf("%s: its own limit is not cut", c.name)
		}
		if cut := b.sharedLimit.ceiling < limits[1]; cut == c.slow {
			t.Errorf("%s: the shared limit is cut: %v", c.name, cut)
		}
	}
}

// Two unanswered attempts in a row bring the limit of a hanging backend to one in flight over all proxies, as many
// proxies that each try it now and then lose much together. It recovers with time.
func TestLimitRecoversAfterHang(t *testing.T) {
	b, _ := newBalancer(t, manyConfig(100), 3)
	to := b.targets[0]
	first := to.limit.ceiling
	for i := range 2 {
		if to.limit.ceiling != first {
			t.Fatalf("the limit fell after %d", i)
		}
		b.recordAttemptHealth(&attempt{request: &request{}, target: to, waitingSince: b.now}, Timeout)
	}
	if to.limit.ceiling != to.limit.unit {
		t.Errorf("limit %v after two attempts without an answer, its floor is %v", to.limit.ceiling, to.limit.unit)
	}
	for range limitRecoveryFactor * decayIntervals * sweepsPerInterval {
		b.relaxLimit(&to.limit)
	}
	if to.limit.ceiling < first/2 || to.limit.ceiling > first {
		t.Errorf("after a while the limit is %v, it began at %v", to.limit.ceiling, first)
	}
}

// A proxy with little traffic seldom has two requests to choose from, so limits are scaled by their gain.
func TestHighGainRaisesLimitScale(t *testing.T) {
	cfg := manyConfig(100)
	cfg.Classes[keyedAnywhere].PriorityWeight = 20
	b, h := newBalancer(t, cfg, 10)
	now := b.now
	for id := range RequestID(400) { // until the mean gain is known, and no longer that of the first
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
		t.Errorf("limit scales: %v for little gain, %v for much", low, high)
	}
	b.config.Instances = 2
	if scale(idempotent) != 1 || scale(keyedAnywhere) != 1 {
		t.Error("a proxy that sees much of the traffic chooses among what waits instead")
	}
}

// While none is late, a limit that requests of little gain reach must grow, or they are shed without need.
func TestLimitGrowsWhereLowGainReachesIt(t *testing.T) {
	for _, c := range []struct {
		used  float64
		grows bool
	}{{0.3, false}, {0.5, true}} {
		b, _ := newBalancer(t, manyConfig(100), 2)
		b.sharedLimit.ceiling, b.sharedLimit.growthStep = 4, 0
		a := &attempt{target: b.targets[0], reservations: []reservation{{limit: &b.sharedLimit,
			loadAtSend: 4 * c.used, lateAt: time.Hour}}}
		b.adjustLimits(a, OK)
		if grown := b.sharedLimit.ceiling > 4; grown != c.grows {
			t.Errorf("%v of the limit used: grown is %v", c.used, grown)
		}
	}
}

// Growth and backoff balance at about one late attempt in five, not at every second one.
func TestSharedLimitGrowsByShareOfBackoff(t *testing.T) {
	b, _ := newBalancer(t, manyConfig(400), 2)
	b.sharedLimit.ceiling, b.sharedLimit.growthStep = 1, 0
	ends := func(result Result, lateAt time.Duration) {
		b.adjustLimits(&attempt{target: b.targets[0], reservations: []reservation{{limit: &b.sharedLimit,
			loadAtSend: 9, lateAt: lateAt}}}, result)
	}
	for range 30 {
		ends(OK, 0)
		for range 3 {
			ends(OK, time.Hour)
		}
	}
	if b.sharedLimit.ceiling > 0.9 {
		t.Errorf("limit %v with one late in four, it should have fallen", b.sharedLimit.ceiling)
	}
}

// Usual latency under load may exceed the objective; an attempt must count as late before that, or the limit
// stands while half of all are lost.
func TestAttemptIsLateBeforeItsObjective(t *testing.T) {
	b, h := newBalancer(t, manyConfig(10), 2)
	for i := range b.tailByClass {
		b.tailByClass[i].baseline = 5000
	}
	b.Request(b.now, Request{ID: 1, Class: notIdempotent, Deadline: b.now + 4*second})
	if len(h.take("send")) != 1 {
		t.Fatal("nothing was sent")
	}
	for _, u := range b.requests[1].attempts[0].reservations {
		if late := u.lateAt - b.now; late >= b.config.Classes[notIdempotent].LatencyObjective {
			t.Errorf("late only after %v", late)
		}
	}
}

package decision

import (
	"testing"
	"time"
)

// manyConfig is that of one of many proxies, each with little traffic.
func manyConfig(n int) Config {
	cfg := testConfig()
	cfg.Instances, cfg.Rank = n, 7
	return cfg
}

// Each of many proxies that hear of a start at once has a first request: together these push it over.
func TestFirstRequestsToStartedBackendAreSpread(t *testing.T) {
	for _, c := range []struct{ n, least, most int }{{1, 200, 200}, {100, 0, 20}} {
		allowed := 0
		for seed := range uint64(200) {
			b, err := New(manyConfig(c.n), seed, &recorder{})
			if err != nil {
				t.Fatal(err)
			}
			b.Start(second)
			b.UpdateEndpoints(second, EndpointUpdate{Kind: UpdateFull, Backends: list(3)})
			b.now, b.meanWork = 3000*second, 100
			b.recordStart(b.targets[0], b.now)
			b.refillSlowStart() // what it might have been sent before its start must not count
			if b.slowStartAllows(b.targets[0], 100) {
				allowed++
			}
		}
		if allowed < c.least || allowed > c.most {
			t.Errorf("%d proxies: %d of 200 may send at once", c.n, allowed)
		}
	}
}

// Probes by the clock alone cost the backends of many proxies more than their requests do.
func TestHealthChecksStayWithinBudget(t *testing.T) {
	b, h := newBalancer(t, manyConfig(100), 40)
	span := 60 * second
	for now := second; now < second+span; now += b.checkInterval / sweepsPerInterval {
		b.Timer(now, timerSweep<<56)
		for _, p := range h.take("probe") {
			b.HealthChecked(now, HealthCheckResult{Backend: p.to, Result: OK})
		}
	}
	// No request came, so only the least is due; what the first budget allows comes once.
	probes := 0
	for now := second + span; now < second+2*span; now += b.checkInterval / sweepsPerInterval {
		b.Timer(now, timerSweep<<56)
		for _, p := range h.take("probe") {
			probes++
			b.HealthChecked(now, HealthCheckResult{Backend: p.to, Result: OK})
		}
	}
	want := int(span/(passingCheckFactor*b.checkInterval)) * minChecksPerSpan
	if probes < want*8/10 || probes > want*12/10 {
		t.Errorf("%d probes a minute without requests, %d are due", probes, want)
	}
}

// Many proxies with connections to all backends fill their tables and know none of them.
func TestActiveSetFollowsRequestRate(t *testing.T) {
	for _, c := range []struct {
		name string
		warm bool
		gap  time.Duration
		used int
	}{
		{"one request in two seconds", false, 2 * second, 2 * minActiveTargets},
		{"hundreds a second", false, 2 * milli, 40},
		{"little, but keys choose", true, 2 * second, 40},
	} {
		cfg := manyConfig(100)
		cfg.KeyAffinity = c.warm
		b, _ := newBalancer(t, cfg, 40)
		now := second
		for id := range RequestID(60) {
			now += c.gap
			b.Request(now, Request{ID: id + 1, Class: idempotent, Deadline: now + second})
		}
		b.Timer(now, timerSweep<<56)
		if len(b.active) != c.used {
			t.Errorf("%s: uses %d, not %d", c.name, len(b.active), c.used)
		}
		if c.used > len(b.listed)/2 {
			continue
		}
		before := b.active[0]
		before.healthy = false
		b.Timer(now+b.checkInterval, timerSweep<<56)
		if len(b.active) != c.used+1 || b.active[0] != before {
			t.Errorf("%s: an unhealthy one is not made up for: %d used", c.name, len(b.active))
		}
	}
}

// In a zone with too few backends, one elsewhere that was never met must not count as slow as those.
func TestUnmeasuredBackendElsewhereIsNotSlow(t *testing.T) {
	b, _ := newBalancer(t, manyConfig(100), 6)
	for _, to := range b.targets {
		if to.Zone == b.config.Zone {
			to.recordRatio(b.now, b.decaySpan, 4, 3)
			to.recordRatio(b.now, b.decaySpan, 8, 1)
		}
	}
	b.updateBaselines()
	for _, to := range b.targets {
		if got := b.latencyRatio(to); to.Zone != b.config.Zone && got != 1 {
			t.Errorf("backend %d elsewhere is taken to be %v as slow as usual", to.ID, got)
		} else if to.Zone == b.config.Zone && got < 2 {
			t.Errorf("backend %d: estimate %v", to.ID, got)
		}
	}
	r := &request{Request: Request{Class: idempotent, Deadline: time.Hour}, objectiveAt: time.Hour}
	if to := b.selectTarget(r); to == nil || to.Zone == b.config.Zone {
		t.Error("the request stays in a zone three times as slow")
	}
}

// A limit for all backends at one or two out would be closed by chance; so it holds for their mean.
func TestSharedLimitHoldsForMeanLoad(t *testing.T) {
	b, _ := newBalancer(t, manyConfig(100), 10)
	b.sharedLimit.limit = 1.5
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

// Some slow machines say nothing of a crowd: they must not close the limit for all.
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
		r := &request{Request: Request{ID: 1, Class: idempotent, Deadline: time.Hour}, arrived: b.now, objectiveAt: b.now + second}
		b.meanLatency, b.meanWork, b.requests[1] = 100, 100, r
		if !b.send(r, to) {
			t.Fatal("not sent")
		}
		limits := [2]float64{to.limit.limit, b.sharedLimit.limit}
		b.now += 900 * milli
		b.adjustLimits(r.attempts[0], Cancelled)
		if to.limit.limit >= limits[0] {
			t.Errorf("%s: its own limit is not cut", c.name)
		}
		if cut := b.sharedLimit.limit < limits[1]; cut == c.slow {
			t.Errorf("%s: the shared limit is cut: %v", c.name, cut)
		}
	}
}

// A proxy that meets a backend only now and then would forget that it is slow before it comes to it again.
func TestDecaySpanCoversAnswersOfEachTarget(t *testing.T) {
	b, _ := newBalancer(t, manyConfig(100), 6)
	now := second
	for id := range RequestID(60) {
		now += second
		b.Request(now, Request{ID: id + 1, Class: idempotent, Deadline: now + milli})
	}
	b.selectActive()
	if b.decaySpan < 20*second || b.decaySpan > 30*second {
		t.Errorf("one request a second to six backends is remembered for %v", b.decaySpan)
	}
}

// The waiting room is ranked at each outcome: that of all proxies together must not grow with their number.
func TestQueueIsThisProxysShare(t *testing.T) {
	cfg := manyConfig(100)
	cfg.KeyAffinity = true
	b, _ := newBalancer(t, cfg, 50)
	b.sharedLimit.limit = 0
	b.sharedLimit.averageLoad, b.sharedLimit.load, b.sharedLimit.averagedAt = 1, 1, b.now
	for id := range RequestID(200) {
		b.Request(b.now, Request{ID: id + 1, Class: idempotent, Deadline: b.now + 3*second})
	}
	if n := len(b.queue); n == 0 || n > 50 {
		t.Errorf("%d wait", n)
	}
}

// A backend registered as twice as large comes first to twice as many keys, at every proxy.
func TestKeysFollowRegisteredSize(t *testing.T) {
	cfg := manyConfig(100)
	cfg.Weights = WeightNominal
	b, _ := newBalancer(t, cfg, 0)
	backends := list(4)
	backends[0].Weight = 3
	b.UpdateEndpoints(b.now, EndpointUpdate{Kind: UpdateFull, Backends: backends})
	firsts := 0
	for key := range uint64(3000) {
		pool := append([]*target(nil), b.targets...)
		if two := affinityTargets(pool, key+1); two[0].ID == backends[0].ID {
			firsts++
		}
	}
	if firsts < 1350 || firsts > 1650 {
		t.Errorf("%d of 3000 keys come first to the one with half of all", firsts)
	}
}

// Many proxies that each try a backend that hangs now and then lose much together: two attempts in a
// row without an answer bring its limit to one out over all proxies. It comes back with time.
func TestLimitRecoversAfterHang(t *testing.T) {
	b, _ := newBalancer(t, manyConfig(100), 3)
	to := b.targets[0]
	first := to.limit.limit
	for i := range 2 {
		if to.limit.limit != first {
			t.Fatalf("the limit fell after %d", i)
		}
		b.recordAttemptHealth(&attempt{request: &request{}, target: to, waitingSince: b.now}, Timeout)
	}
	if to.limit.limit != to.limit.unit {
		t.Errorf("limit %v after two attempts without an answer, its floor is %v", to.limit.limit, to.limit.unit)
	}
	for range limitRecoveryFactor * decayIntervals * sweepsPerInterval {
		b.relaxLimit(&to.limit)
	}
	if to.limit.limit < first/2 || to.limit.limit > first {
		t.Errorf("after a while the limit is %v, it began at %v", to.limit.limit, first)
	}
}

// Of what like backends serve and what a cold one serves itself, chance makes one large at each of many
// proxies: the larger of the two at each would add up to twice what it can take.
func TestManyProxiesAverageSlowStartRate(t *testing.T) {
	rates := [2]float64{}
	for i, n := range [2]int{2, 100} {
		b, _ := newBalancer(t, manyConfig(n), 3)
		b.now, b.meanWork = 30*second, 1
		cold := b.targets[0]
		b.recordStart(cold, b.now-10*second)
		cold.recentWork.add(1000, b.now, b.config.Constraints.OverloadWindow)
		b.refillSlowStart()
		rates[i] = cold.slowStartRate
	}
	if half := rates[0] / 2; rates[1] > half*1.01 || rates[1] < half*0.99 {
		t.Errorf("with nothing served by others a proxy of many may send %v, one of two %v", rates[1], rates[0])
	}
}

// A proxy with little traffic seldom has two waiting to choose from; so the limits themselves tell worth apart.
func TestHighGainRaisesLimitScale(t *testing.T) {
	cfg := manyConfig(100)
	cfg.Classes[keyedAnywhere].PriorityWeight = 20
	b, h := newBalancer(t, cfg, 10)
	now := b.now
	for id := range RequestID(400) { // until the mean gain is known, and no longer that of the first
		now += 10 * milli
		b.Request(now, Request{ID: id + 1, Class: []int{idempotent, idempotent, keyedAnywhere}[id%3], Deadline: now + 3*second})
		for _, a := range h.take("send") {
			b.Outcome(now, Outcome{ID: a.id, Attempt: a.attempt, Backend: a.to, Result: OK, Final: true})
		}
	}
	part := func(class int) float64 {
		r := &request{Request: Request{Class: class, Deadline: now + 3*second}, arrived: now, objectiveAt: now + second}
		r.value = b.config.Classes[class].PriorityWeight
		return b.limitScale(r)
	}
	if low, high := part(idempotent), part(keyedAnywhere); low > 1 || low < minLimitScale || high < 1.5 || high > maxLimitScale {
		t.Errorf("parts of the limit: %v for little worth, %v for much", low, high)
	}
	b.config.Instances = 2
	if part(idempotent) != 1 || part(keyedAnywhere) != 1 {
		t.Error("a proxy that sees much of the traffic chooses among what waits instead")
	}
}

// A backend may pass its probes and serve all classes but one.
func TestClassAvoidsBackendsThatLoseIt(t *testing.T) {
	b, _ := newBalancer(t, manyConfig(100), 2)
	bad, good := b.targets[0], b.targets[1]
	for range 2 {
		b.recordAttemptHealth(&attempt{request: &request{}, target: bad, waitingSince: b.now}, Timeout)
		b.recordAttemptHealth(&attempt{request: &request{Request: Request{Class: notIdempotent}}, target: bad, waitingSince: b.now}, OK)
	}
	one, other := &request{}, &request{Request: Request{Class: notIdempotent}}
	if b.expectedDelay(one, bad) < 2*b.expectedDelay(one, good) {
		t.Error("the class that gets no answer does not avoid the backend")
	}
	if b.expectedDelay(other, bad) > b.expectedDelay(other, good) {
		t.Error("the class that is served avoids it too")
	}
}

// While none is late, a limit that little gain meets must grow, or a calm bank refuses what it could serve.
func TestLimitGrowsWhereLowGainReachesIt(t *testing.T) {
	for _, c := range []struct {
		used  float64
		grows bool
	}{{0.3, false}, {0.5, true}} {
		b, _ := newBalancer(t, manyConfig(100), 2)
		b.sharedLimit.limit, b.sharedLimit.growthStep = 4, 0
		a := &attempt{target: b.targets[0], reservations: []reservation{{concurrencyLimit: &b.sharedLimit, loadAtSend: 4 * c.used, lateAt: time.Hour}}}
		b.adjustLimits(a, OK)
		if grown := b.sharedLimit.limit > 4; grown != c.grows {
			t.Errorf("%v of the limit used: grown is %v", c.used, grown)
		}
	}
}

// At rest about one in five may be late, not every second one: the queues would take what is wanted in time.
func TestSharedLimitGrowsByShareOfBackoff(t *testing.T) {
	b, _ := newBalancer(t, manyConfig(400), 2)
	b.sharedLimit.limit, b.sharedLimit.growthStep = 1, 0
	ends := func(result Result, lateAt time.Duration) {
		b.adjustLimits(&attempt{target: b.targets[0], reservations: []reservation{{concurrencyLimit: &b.sharedLimit, loadAtSend: 9, lateAt: lateAt}}}, result)
	}
	for range 30 {
		ends(OK, 0)
		for range 3 {
			ends(OK, time.Hour)
		}
	}
	if b.sharedLimit.limit > 0.9 {
		t.Errorf("limit %v with one late in four, it should have fallen", b.sharedLimit.limit)
	}
}

// Where connections are made fast the checker's spans are short, and probes would cost more than requests.
func TestShortConnectTimeoutsKeepHealthChecksRare(t *testing.T) {
	cfg := manyConfig(100)
	cfg.Capabilities.ConnectTimeout = 50 * milli
	b, h := newBalancer(t, cfg, 10)
	h.take()
	probes := 0
	for at := second; at < 11*second; at += b.checkInterval / sweepsPerInterval {
		b.Timer(at, timerSweep<<56)
		for _, a := range h.take("probe") {
			probes++
			b.HealthChecked(at, HealthCheckResult{Backend: a.to, Result: OK, Latency: milli})
		}
	}
	if probes < 5 || probes > 15 {
		t.Errorf("%d probes in ten idle seconds", probes)
	}
}

// What is usual under load may pass the aim; an attempt counts as late before it is lost, or the limit stands
// while half of all are.
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

package decision

import "testing"

// A request of much work may overload a backend that warms up even if it is alone there.
func TestHeavyRequestNeedsSlowStartTokens(t *testing.T) {
	b, _ := newBalancer(t, testConfig(), 1)
	only := b.targets[0]
	only.lastStart = second
	b.meanWork = 100
	only.slowStartTokens = 0.1
	if !b.slowStartAllows(only, 150) {
		t.Error("slowStartAllows(1.5 times the mean work, idle backend) = false, want true")
	}
	if b.slowStartAllows(only, 250) {
		t.Error("slowStartAllows(2.5 times the mean work, idle backend, 0.1 tokens) = true, want false")
	}
}

// The work that a backend served before a restart does not count for its slow-start rate.
func TestRestartClearsRecentWork(t *testing.T) {
	b, _ := newBalancer(t, testConfig(), 2)
	b.targets[0].recentWork.add(5000, second, second)
	b.UpdateEndpoints(2*second, EndpointUpdate{Kind: UpdateDelta, Backends: []Backend{
		{ID: b.targets[0].ID, State: Ready, Started: 2 * second}}})
	b.refillSlowStart()
	if got := b.targets[0].slowStartRate; got > 100 {
		t.Errorf("slow-start rate right after a restart = %v ms of work a second, want at most 100", got)
	}
}

// A request of little work takes a whole slow-start token, since each may cost a handshake. A budget of work alone
// would allow any number of them.
func TestLightRequestTakesWholeSlowStartToken(t *testing.T) {
	b, _ := newBalancer(t, testConfig(), 1)
	only := b.targets[0]
	b.meanWork = 50
	only.lastStart = second
	only.slowStartTokens = 2
	sent := 0
	for i := range 50 {
		r := &request{Request: Request{ID: RequestID(i), ExpectedWork: milli, Deadline: 4 * second}, arrived: second,
			objectiveAt: 2 * second}
		b.requests[r.ID] = r
		if b.send(r, only) {
			sent++
		}
	}
	if sent == 0 || sent > 3 {
		t.Errorf("%d requests of little work sent with 2 slow-start tokens, want 1 to 3", sent)
	}
}

// A proxy that has just started has no mean work yet. Its first request to a backend that warms up must still wait for
// the proxy's share of the slow-start budget: most proxies may have restarted at the same time.
func TestNewProxyWaitsForItsSlowStartShare(t *testing.T) {
	for _, c := range []struct {
		proxies, minSent, maxSent int
	}{{1, 200, 200}, {30, 0, 20}} {
		sent := 0
		for seed := range uint64(200) {
			h := &recorder{}
			b, err := New(manyConfig(c.proxies), seed, h)
			if err != nil {
				t.Fatalf("New(%d proxies): %v", c.proxies, err)
			}
			now := 3000 * second
			b.Start(now)
			backends := list(1)
			backends[0].Started = now - 2*second
			b.UpdateEndpoints(now, EndpointUpdate{Kind: UpdateFull, Backends: backends})
			now += 5 * milli
			b.Request(now, Request{ID: 1, Class: idempotent, Deadline: now + second})
			sent += len(h.take("send"))
		}
		if sent < c.minSent || sent > c.maxSent {
			t.Errorf("%d of 200 runs with %d proxies sent their first request to a backend that warms up at once, "+
				"want %d to %d", sent, c.proxies, c.minSent, c.maxSent)
		}
	}
}

// When an endpoint update reports a start to many proxies, each has a first request for the backend. Together these
// would overload it, so the proxies send them at different times.
func TestFirstRequestsToStartedBackendAreSpread(t *testing.T) {
	for _, c := range []struct{ proxies, minAllowed, maxAllowed int }{{1, 200, 200}, {100, 0, 20}} {
		allowed := 0
		for seed := range uint64(200) {
			b, err := New(manyConfig(c.proxies), seed, &recorder{})
			if err != nil {
				t.Fatalf("New(%d proxies): %v", c.proxies, err)
			}
			b.Start(second)
			b.UpdateEndpoints(second, EndpointUpdate{Kind: UpdateFull, Backends: list(3)})
			b.now, b.meanWork = 3000*second, 100
			b.recordStart(b.targets[0], b.now)
			b.refillSlowStart() // must not add tokens for the time before the start
			if b.slowStartAllows(b.targets[0], 100) {
				allowed++
			}
		}
		if allowed < c.minAllowed || allowed > c.maxAllowed {
			t.Errorf("slowStartAllows right after a start = true in %d of 200 runs with %d proxies, want %d to %d",
				allowed,
				c.proxies, c.minAllowed, c.maxAllowed)
		}
	}
}

// There are two estimates of the rate that a backend can serve while it warms up, and at each of many proxies one is
// large by chance. If each used the larger one, together they would send twice what the backend can serve.
func TestManyProxiesAverageSlowStartRate(t *testing.T) {
	rates := [2]float64{}
	for i, n := range [2]int{2, 100} {
		b, _ := newBalancer(t, manyConfig(n), 3)
		b.now, b.meanWork = 30*second, 1
		started := b.targets[0]
		b.recordStart(started, b.now-10*second)
		started.recentWork.add(1000, b.now, b.config.Constraints.OverloadWindow)
		b.refillSlowStart()
		rates[i] = started.slowStartRate
	}
	if half := rates[0] / 2; rates[1] > half*1.01 || rates[1] < half*0.99 {
		t.Errorf("slow-start rate without work at other backends: at one of 100 proxies %v, at one of 2 proxies %v; "+
			"want the former to be half of the latter", rates[1], rates[0])
	}
}

package decision

import "testing"

// A heavy request may be too much for a cold backend even if it is alone there.
func TestHeavyRequestNeedsSlowStartTokens(t *testing.T) {
	b, _ := newBalancer(t, testConfig(), 1)
	only := b.targets[0]
	only.lastStart = second
	b.meanWork = 100
	only.slowStartTokens = 0.1
	if !b.slowStartAllows(only, 150) {
		t.Error("a usual request may go alone")
	}
	if b.slowStartAllows(only, 250) {
		t.Error("a heavy one may not")
	}
}

// What a backend served before it restarted says nothing of what it can do cold.
func TestRestartClearsRecentWork(t *testing.T) {
	b, _ := newBalancer(t, testConfig(), 2)
	b.targets[0].recentWork.add(5000, second, second)
	b.UpdateEndpoints(2*second, EndpointUpdate{Kind: UpdateDelta, Backends: []Backend{
		{ID: b.targets[0].ID, State: Ready, Started: 2 * second}}})
	b.refillSlowStart()
	if got := b.targets[0].slowStartRate; got > 100 {
		t.Errorf("may be sent %v ms of work a second right after its start", got)
	}
}

// Light requests would fit any budget of work, but each costs a handshake.
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
		t.Errorf("%d light requests in a budget of two mean ones", sent)
	}
}

// A proxy that has just started knows no mean work, and its first request must wait for its share of the budget like
// any other: most proxies may have restarted at once.
func TestNewProxyWaitsForItsSlowStartShare(t *testing.T) {
	for _, c := range []struct {
		n, least, most int
	}{{1, 200, 200}, {30, 0, 20}} {
		sent := 0
		for seed := range uint64(200) {
			h := &recorder{}
			b, err := New(manyConfig(c.n), seed, h)
			if err != nil {
				t.Fatal(err)
			}
			now := 3000 * second
			b.Start(now)
			one := list(1)
			one[0].Started = now - 2*second
			b.UpdateEndpoints(now, EndpointUpdate{Kind: UpdateFull, Backends: one})
			now += 5 * milli
			b.Request(now, Request{ID: 1, Class: idempotent, Deadline: now + second})
			sent += len(h.take("send"))
		}
		if sent < c.least || sent > c.most {
			t.Errorf("%d proxies: %d of 200 send their first request to a cold backend at once", c.n, sent)
		}
	}
}

// Each of many proxies that hear of a start at once has a first request: together these would overload the backend.
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
			b.refillSlowStart() // tokens from before its start must not count
			if b.slowStartAllows(b.targets[0], 100) {
				allowed++
			}
		}
		if allowed < c.least || allowed > c.most {
			t.Errorf("%d proxies: %d of 200 may send at once", c.n, allowed)
		}
	}
}

// Of the two estimates of a cold backend's rate, chance makes one large at each of many proxies: the larger of the two
// at each would add up to twice what it can bear.
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

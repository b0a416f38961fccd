package decision

import (
	"testing"
	"time"
)

// A backend that fails fast has nothing in flight and looks idle, and its health checks may pass all the while.
func TestBackendWithErrorsGetsFewRequests(t *testing.T) {
	b, h := newBalancer(t, testConfig(), 4)
	sends, broken, unsafeLost := 0, 0, 0
	out := map[RequestID]action{}
	for at := second; at < 9*second; at += 10 * milli {
		id := RequestID(at / milli)
		b.Request(at, Request{ID: id, Class: []int{idempotent, notIdempotent}[id/10%2], Deadline: at + 3*second})
		b.Timer(at, dispatchToken)
		for _, a := range h.take("send") {
			sends++
			if a.to == 2 {
				broken++
				if id/10%2 == 1 && at > 3*second {
					unsafeLost++
				}
				b.Outcome(at, Outcome{ID: a.id, Attempt: a.attempt, Backend: 2, Result: Error})
				for _, again := range h.take("send") {
					out[again.id] = again
				}
				continue
			}
			out[a.id] = a
		}
		for old := id - 200; old <= id-100; old += 10 {
			if a, ok := out[old]; ok {
				delete(out, old)
				b.Outcome(at, Outcome{ID: old, Attempt: a.attempt, Backend: a.to, Result: OK, Final: true})
			}
		}
		b.Timer(at, sweepToken)
		h.take()
	}
	if sends < 500 || broken > sends/50 || broken < 4 || unsafeLost > 2 {
		t.Errorf("%d of %d sends went to the broken one, %d unsafe ones late on", broken, sends, unsafeLost)
	}
}

// A backend may die and come back before the list says so: it counts as just started.
func TestSuspectedRestartBeginsSlowStart(t *testing.T) {
	for _, c := range []struct {
		name string
		fail func(b *Balancer, h *recorder, now time.Duration)
	}{
		{"checks fail", func(b *Balancer, _ *recorder, now time.Duration) {
			for range unhealthyThreshold {
				b.targets[0].checkInFlight = true
				b.HealthChecked(now, HealthCheckResult{Backend: 1, Result: ConnectFailed})
			}
		}},
		{"connections fail", func(b *Balancer, h *recorder, now time.Duration) {
			for id := range RequestID(2) {
				now += time.Duration(id) * b.checkInterval // nothing is answered meanwhile
				b.Request(now, Request{ID: id + 1, Class: notIdempotent, Deadline: now + second})
				if got := h.take("send"); len(got) == 0 {
					t.Fatal("nothing was sent")
				}
				b.Outcome(now, Outcome{ID: id + 1, Backend: 1, Result: ConnectFailed})
				h.take()
			}
		}},
	} {
		b, h := newBalancer(t, testConfig(), 1)
		now := 30 * second
		if _, cold := b.warmUpCapacity(b.targets[0]); cold {
			t.Fatalf("%s: cold before", c.name)
		}
		c.fail(b, h, now)
		b.now = now + second
		if share, cold := b.warmUpCapacity(b.targets[0]); !cold || share > 0.3 {
			t.Errorf("%s: cold %v, share %v a second later", c.name, cold, share)
		}
		b.now = now + 21*second
		if _, cold := b.warmUpCapacity(b.targets[0]); cold {
			t.Errorf("%s: still cold after the cold span", c.name)
		}
	}
}

// Health checks may be rare: an unanswered attempt makes one due at once, unless the backend answered others since.
func TestFailedAttemptTriggersHealthCheck(t *testing.T) {
	for _, c := range []struct {
		name   string
		lastOK time.Duration
		asks   bool
	}{{"silent", 0, true}, {"answers others", second + milli, false}} {
		b, h := newBalancer(t, testConfig(), 2)
		only := b.targets[0]
		only.nextCheck, b.targets[1].nextCheck = time.Hour, time.Hour
		b.now = second + 2*milli
		only.lastSuccess = c.lastOK
		b.checkBudget = 1
		b.recordAttemptHealth(&attempt{request: &request{}, target: only, waitingSince: second}, Timeout)
		b.startDueHealthChecks()
		if asked := len(h.take("check")) > 0; asked != c.asks {
			t.Errorf("%s: checked is %v", c.name, asked)
		}
	}
}

// Two failures that come close together are no sign of a restart; after some time without an answer they are.
func TestRestartIsSuspectedAfterSilenceOnly(t *testing.T) {
	for _, c := range []struct {
		apart time.Duration
		cold  bool
	}{{10 * milli, false}, {second, true}} {
		b, _ := newBalancer(t, testConfig(), 1)
		target := b.targets[0]
		for i := range RequestID(2) {
			now := 30*second + time.Duration(i)*c.apart
			b.now = now
			b.recordAttemptHealth(&attempt{request: &request{}, target: target, waitingSince: now}, Reset)
			b.recordAttemptHealth(&attempt{request: &request{}, target: target, waitingSince: now}, ConnectFailed)
		}
		if _, cold := b.warmUpCapacity(target); cold != c.cold {
			t.Errorf("failures %v apart: cold %v", c.apart, cold)
		}
	}
}

// Attempts and checks that could not be sent for a lack of the proxy's own resources say nothing of a backend.
func TestNotSentIsNoEvidenceOfHealth(t *testing.T) {
	for result, blamed := range map[Result]bool{NotSent: false, ConnectFailed: true} {
		b, h := newBalancer(t, testConfig(), 1)
		to := b.targets[0]
		for i := range RequestID(6) {
			now := 30*second + time.Duration(i)*second
			b.Request(now, Request{ID: i, Class: notIdempotent, Deadline: now + second})
			for n, sent := 0, h.take("send"); len(sent) > 0; n, sent = n+1, h.take("send") {
				b.Outcome(now, Outcome{ID: i, Attempt: n, Backend: sent[0].to, Result: result})
			}
			b.startHealthCheck(to)
			b.HealthChecked(now, HealthCheckResult{Backend: to.ID, Result: result})
			b.ClientGone(now, i)
		}
		if _, cold := b.warmUpCapacity(to); cold != blamed || to.healthy == blamed {
			t.Errorf("result %d: taken for cold %v, healthy %v", result, cold, to.healthy)
		}
	}
}

// A backend may pass its health checks and serve all classes but one.
func TestClassAvoidsBackendsThatLoseIt(t *testing.T) {
	b, _ := newBalancer(t, manyConfig(100), 2)
	bad, good := b.targets[0], b.targets[1]
	for range 2 {
		b.recordAttemptHealth(&attempt{request: &request{}, target: bad, waitingSince: b.now}, Timeout)
		b.recordAttemptHealth(&attempt{request: &request{Request: Request{Class: notIdempotent}}, target: bad,
			waitingSince: b.now}, OK)
	}
	one, other := &request{}, &request{Request: Request{Class: notIdempotent}}
	if b.expectedDelay(one, bad) < 2*b.expectedDelay(one, good) {
		t.Error("the class that gets no answer does not avoid the backend")
	}
	if b.expectedDelay(other, bad) > b.expectedDelay(other, good) {
		t.Error("the class that is served avoids it too")
	}
}

// An unmeasured backend is taken to be as its only neighbour, so that it gets requests and is measured. A trace of old
// losses must not break that tie.
func TestOldLossesBreakNoTie(t *testing.T) {
	b, _ := newBalancer(t, testConfig(), 2)
	two := list(2)
	two[1].Zone = two[0].Zone
	b.UpdateEndpoints(second, EndpointUpdate{Kind: UpdateFull, Version: 2, Backends: two})
	known, lost := b.targetsByID[1], b.targetsByID[2]
	known.recordRatio(second, b.decaySpan, 40, 40)
	lost.lossesByClass[idempotent].add(3, second, lossDecayFactor*b.decaySpan)
	lost.lossesByClass[idempotent].sum /= 1000 // as some minutes leave it
	b.updateBaselines()
	to := map[BackendID]int{}
	r := &request{Request: Request{ID: 1, Class: idempotent, Deadline: 4 * second}, arrived: second,
		objectiveAt: 2 * second, value: 1}
	for range 64 {
		to[b.selectTarget(r).ID]++
	}
	if to[1] == 0 || to[2] == 0 {
		t.Errorf("of 64 requests %d went to the one that is known and %d to its neighbour", to[1], to[2])
	}
	lost.lossesByClass[idempotent].add(3, second, lossDecayFactor*b.decaySpan)
	if b.expectedDelay(r, lost) < 3*b.expectedDelay(r, known) {
		t.Errorf("one that has just lost three is scored %v, the other %v", b.expectedDelay(r, lost),
			b.expectedDelay(r, known))
	}
}

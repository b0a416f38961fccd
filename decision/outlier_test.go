package decision

import (
	"testing"
	"time"
)

// A backend that answers with errors at once gets few requests, although nothing is in flight there, so that it looks
// idle, and its health checks may pass.
func TestBackendWithErrorsGetsFewRequests(t *testing.T) {
	b, h := newBalancer(t, testConfig(), 4)
	sends, toFailing, lateNotIdempotent := 0, 0, 0 // toFailing: sends to backend 2, which answers with errors
	inFlight := map[RequestID]action{}
	for at := second; at < 9*second; at += 10 * milli {
		id := RequestID(at / milli)
		b.Request(at, Request{ID: id, Class: []int{idempotent, notIdempotent}[id/10%2], Deadline: at + 3*second})
		b.Timer(at, dispatchToken)
		for _, a := range h.take("send") {
			sends++
			if a.to == 2 {
				toFailing++
				if id/10%2 == 1 && at > 3*second {
					lateNotIdempotent++
				}
				b.Outcome(at, Outcome{ID: a.id, Attempt: a.attempt, Backend: 2, Result: Error})
				for _, retry := range h.take("send") {
					inFlight[retry.id] = retry
				}
				continue
			}
			inFlight[a.id] = a
		}
		for old := id - 200; old <= id-100; old += 10 {
			if a, ok := inFlight[old]; ok {
				delete(inFlight, old)
				b.Outcome(at, Outcome{ID: old, Attempt: a.attempt, Backend: a.to, Result: OK, Final: true})
			}
		}
		b.Timer(at, sweepToken)
		h.take()
	}
	if sends < 500 || toFailing > sends/50 || toFailing < 4 || lateNotIdempotent > 2 {
		t.Errorf("%d sends in total, want at least 500; %d sends to the failing backend, %d of them of not idempotent "+
			"requests after the first 2 s; want 4 to %d, and at most 2", sends, toFailing, lateNotIdempotent, sends/50)
	}
}

// A backend may restart before the endpoint list shows it. When its health checks or connections fail, it counts as
// just started.
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
				now += time.Duration(id) * b.checkInterval // an interval without answers
				b.Request(now, Request{ID: id + 1, Class: notIdempotent, Deadline: now + second})
				if got := h.take("send"); len(got) == 0 {
					t.Fatalf("Request(%d) caused no send, want one", id+1)
				}
				b.Outcome(now, Outcome{ID: id + 1, Backend: 1, Result: ConnectFailed})
				h.take()
			}
		}},
	} {
		b, h := newBalancer(t, testConfig(), 1)
		now := 30 * second
		if _, warmingUp := b.warmUpCapacity(b.targets[0]); warmingUp {
			t.Fatalf("%s: backend is warming up before the failures, want warm", c.name)
		}
		c.fail(b, h, now)
		b.now = now + second
		if share, warmingUp := b.warmUpCapacity(b.targets[0]); !warmingUp || share > 0.3 {
			t.Errorf("%s: warmUpCapacity 1 s after the failures = %v, warming up %v; want at most 0.3, true", c.name,
				share, warmingUp)
		}
		b.now = now + 21*second
		if _, warmingUp := b.warmUpCapacity(b.targets[0]); warmingUp {
			t.Errorf("%s: still warming up 21 s after the failures, want warm after WarmUp, 20 s", c.name)
		}
	}
}

// Health checks may be rare, so an unanswered attempt makes one due at once, unless the backend has answered other
// attempts since that one was sent.
func TestFailedAttemptTriggersHealthCheck(t *testing.T) {
	for _, c := range []struct {
		name        string
		lastSuccess time.Duration
		wantCheck   bool
	}{{"no answers", 0, true}, {"answers to other attempts", second + milli, false}} {
		b, h := newBalancer(t, testConfig(), 2)
		only := b.targets[0]
		only.nextCheck, b.targets[1].nextCheck = time.Hour, time.Hour
		b.now = second + 2*milli
		only.lastSuccess = c.lastSuccess
		b.checkBudget = 1
		b.recordAttemptHealth(&attempt{request: &request{}, target: only, waitingSince: second}, Timeout)
		b.startDueHealthChecks()
		if checked := len(h.take("check")) > 0; checked != c.wantCheck {
			t.Errorf("%s: health check started after an unanswered attempt: %v, want %v", c.name, checked, c.wantCheck)
		}
	}
}

// Two failures close together are no sign of a restart. Two with some time without an answer between them are.
func TestRestartIsSuspectedAfterSilenceOnly(t *testing.T) {
	for _, c := range []struct {
		interval  time.Duration // between the failures
		warmingUp bool
	}{{10 * milli, false}, {second, true}} {
		b, _ := newBalancer(t, testConfig(), 1)
		target := b.targets[0]
		for i := range RequestID(2) {
			now := 30*second + time.Duration(i)*c.interval
			b.now = now
			b.recordAttemptHealth(&attempt{request: &request{}, target: target, waitingSince: now}, Reset)
			b.recordAttemptHealth(&attempt{request: &request{}, target: target, waitingSince: now}, ConnectFailed)
		}
		if _, warmingUp := b.warmUpCapacity(target); warmingUp != c.warmingUp {
			t.Errorf("after failures %v apart: warming up = %v, want %v", c.interval, warmingUp, c.warmingUp)
		}
	}
}

// Attempts and health checks that were not sent because the proxy lacked resources are no evidence of a backend's
// health.
func TestNotSentIsNoEvidenceOfHealth(t *testing.T) {
	for result, isEvidence := range map[Result]bool{NotSent: false, ConnectFailed: true} {
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
		if _, warmingUp := b.warmUpCapacity(to); warmingUp != isEvidence || to.healthy == isEvidence {
			t.Errorf("after attempts and checks that ended with %s: warming up = %v, healthy = %v; want %v, %v",
				resultName(result), warmingUp, to.healthy, isEvidence, !isEvidence)
		}
	}
}

// A backend may pass its health checks and answer all classes but one. Only that class avoids it.
func TestClassAvoidsBackendsThatLoseIt(t *testing.T) {
	b, _ := newBalancer(t, manyConfig(100), 2)
	failing, good := b.targets[0], b.targets[1]
	for range 2 {
		b.recordAttemptHealth(&attempt{request: &request{}, target: failing, waitingSince: b.now}, Timeout)
		b.recordAttemptHealth(&attempt{request: &request{Request: Request{Class: notIdempotent}}, target: failing,
			waitingSince: b.now}, OK)
	}
	unanswered, served := &request{}, &request{Request: Request{Class: notIdempotent}}
	if got, want := b.expectedDelay(unanswered, failing), 2*b.expectedDelay(unanswered, good); got < want {
		t.Errorf("expectedDelay(unanswered class, failing backend) = %v, want at least %v, twice the good backend's",
			got, want)
	}
	if got, limit := b.expectedDelay(served, failing), b.expectedDelay(served, good); got > limit {
		t.Errorf("expectedDelay(served class, failing backend) = %v, want at most the good backend's, %v", got, limit)
	}
}

// An unmeasured backend is estimated as its only neighbour, so that it gets requests and is measured. A remainder of
// old losses must not break that tie.
func TestOldLossesBreakNoTie(t *testing.T) {
	b, _ := newBalancer(t, testConfig(), 2)
	two := list(2)
	two[1].Zone = two[0].Zone
	b.UpdateEndpoints(second, EndpointUpdate{Kind: UpdateFull, Version: 2, Backends: two})
	known, lost := b.targetsByID[1], b.targetsByID[2]
	known.recordRatio(second, b.decaySpan, 40, 40)
	lost.lossesByClass[idempotent].add(3, second, lossDecayFactor*b.decaySpan)
	lost.lossesByClass[idempotent].sum /= 1000 // as after decaying for some minutes
	b.updateBaselines()
	sends := map[BackendID]int{}
	r := &request{Request: Request{ID: 1, Class: idempotent, Deadline: 4 * second}, arrived: second,
		objectiveAt: 2 * second, value: 1}
	for range 64 {
		sends[b.selectTarget(r).ID]++
	}
	if sends[1] == 0 || sends[2] == 0 {
		t.Errorf("selectTarget in 64 calls chose the measured backend %d times and the unmeasured one %d times, "+
			"want both chosen", sends[1], sends[2])
	}
	lost.lossesByClass[idempotent].add(3, second, lossDecayFactor*b.decaySpan)
	if b.expectedDelay(r, lost) < 3*b.expectedDelay(r, known) {
		t.Errorf("expectedDelay(backend that has just left 3 attempts unanswered) = %v, want at least three times "+
			"the other's, %v", b.expectedDelay(r, lost), b.expectedDelay(r, known))
	}
}

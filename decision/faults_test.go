package decision

import (
	"testing"
	"time"
)

// Faults that the model found, each as plain as it can be shown.

// A keyed request whose window ends while it waits can be sent nowhere any more: it is answered then, not parked.
func TestKeyedRequestIsAnsweredOnceWindowEnds(t *testing.T) {
	b, h := newBalancer(t, testConfig(), 2)
	b.Request(second, Request{ID: 1, Class: keyed, Deadline: 9 * second})
	b.requests[1].objectiveAt = 9 * second // much time is left beside the window of 1 s
	to := h.take("send")[0].to
	for _, other := range b.targets { // those of its zone have no room
		other.limit.limit, other.limit.inFlight, other.limit.load = 1, 9, 9
	}
	b.Outcome(second+900*milli, Outcome{ID: 1, Backend: to, Result: Reset})
	if got := h.take("send", "refuse", "fail"); len(got) != 0 {
		t.Fatalf("it does not wait: %v", got)
	}
	b.Timer(2*second+10*milli, timerDispatch<<56)
	if got := h.take("send", "refuse", "fail"); len(got) != 1 || got[0].verb != "fail" {
		t.Errorf("after the end of its window: %v, want its failure", got)
	}
}

// The window counts from the first send that may have run, also where the body's end comes later.
func TestWindowOfStreamedRequestStartsAtSend(t *testing.T) {
	b, h := newBalancer(t, testConfig(), 4)
	b.Request(second, Request{ID: 1, Class: keyed, Deadline: 9 * second, StreamedBody: true})
	to := h.take("send")[0].to
	b.BodyComplete(second+900*milli, 1, 9*second)
	b.Outcome(2*second+100*milli, Outcome{ID: 1, Backend: to, Result: Reset})
	if got := h.take("send", "fail"); len(got) != 1 || got[0].verb != "fail" {
		t.Errorf("1.1 s after its send, with a window of 1 s: %v, want its failure", got)
	}
}

// A server that left the list and returns is a new target, whether or not something was still out there.
func TestReturningBackendCountsAsHealthy(t *testing.T) {
	for _, busy := range []bool{false, true} {
		b, _ := newBalancer(t, testConfig(), 2)
		id := list(2)[0].ID
		for range unhealthyThreshold {
			b.startHealthCheck(b.targetsByID[id])
			b.HealthChecked(second, HealthCheckResult{Backend: id, Result: Timeout})
		}
		if busy {
			b.startHealthCheck(b.targetsByID[id])
		}
		b.UpdateEndpoints(2*second, EndpointUpdate{Kind: UpdateDelta, Backends: []Backend{{ID: id, State: Removed}}})
		b.UpdateEndpoints(3*second, EndpointUpdate{Kind: UpdateFull, Backends: list(2)})
		if _, excluded := b.CountBackends(); excluded != 0 {
			t.Errorf("a probe still out is %v: %d avoided on its return", busy, excluded)
		}
	}
}

// Answers that come at the very time of their send must leave figures that can be compared.
func TestInstantAnswersLeaveComparableDelays(t *testing.T) {
	b, h := newBalancer(t, testConfig(), 2)
	for id := range RequestID(40) {
		b.Request(second, Request{ID: id, Class: idempotent, Deadline: 3 * second})
		for _, a := range h.take("send") {
			b.Outcome(second, Outcome{ID: a.id, Backend: a.to, Final: true})
		}
	}
	slow := b.targets[0]
	slow.recordRatio(second, b.decaySpan, 8*20, 20)
	if d, other := b.expectedDelay(&request{}, slow), b.expectedDelay(&request{}, b.targets[1]); !(d > other) {
		t.Errorf("the slow one counts as %v, the other as %v", d, other)
	}
}

// After a day without a request a proxy finds its rate again in seconds, and remembers nothing for hours.
func TestRequestRateRecoversAfterSilence(t *testing.T) {
	b, h := newBalancer(t, testConfig(), 400)
	now := second
	for i := range 2000 {
		if now += 10 * milli; i == 1000 {
			now += 24 * time.Hour
			b.Timer(now, timerSweep<<56)
			if b.decaySpan > 10*time.Minute {
				t.Errorf("what was measured is remembered for %v", b.decaySpan)
			}
		}
		id := RequestID(i + 1)
		b.Request(now, Request{ID: id, Class: idempotent, Deadline: now + second})
		for _, a := range h.take("send") {
			b.Outcome(now, Outcome{ID: a.id, Backend: a.to, Final: true})
		}
		b.ClientGone(now, id)
	}
	if b.selectActive(); len(b.active) <= 2*minActiveTargets {
		t.Errorf("10 s on, at 100 requests a second, it uses %d of 400 servers", len(b.active))
	}
}

// Attempts and probes that could not be sent for want of something of the proxy's own say nothing of a backend.
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

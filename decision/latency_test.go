package decision

import (
	"testing"
	"time"
)

// While all attempts fail, the latency that a failure counts as must not raise the median ratio it is derived from, or
// the median would grow without bound.
func TestFailuresDoNotRaiseMedianRatio(t *testing.T) {
	b, h := newBalancer(t, testConfig(), 4)
	now := second
	for id := range RequestID(400) {
		b.Request(now, Request{ID: id + 1, Class: notIdempotent, Deadline: now + 3*second})
		now += 50 * milli
		b.Timer(now, sweepToken)
		for _, a := range h.take("send") {
			b.Outcome(now, Outcome{ID: a.id, Attempt: a.attempt, Backend: a.to, Result: Error})
		}
	}
	if limit := 2 * 1000 / b.expectedLatency(notIdempotent, 0); b.medianRatio < 1 || b.medianRatio > limit {
		t.Errorf("median latency ratio after 400 failed requests = %v, want 1 to %v", b.medianRatio, limit)
	}
}

// Answers that come at the time of their send, with a latency of 0, must leave expected delays that can be compared.
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
		t.Errorf("after instant answers, expectedDelay(slow target) = %v, want more than that of the other target, %v",
			d, other)
	}
}

// A backend in another zone that was never measured must not be estimated as slow as those of an overloaded own zone.
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
			t.Errorf("latencyRatio(unmeasured backend %d in another zone) = %v, want 1", to.ID, got)
		} else if to.Zone == b.config.Zone && got < 2 {
			t.Errorf("latencyRatio(slow backend %d in the own zone) = %v, want at least 2", to.ID, got)
		}
	}
	r := &request{Request: Request{Class: idempotent, Deadline: time.Hour}, objectiveAt: time.Hour}
	if to := b.selectTarget(r); to == nil {
		t.Error("selectTarget = nil, want a target outside the own zone")
	} else if to.Zone == b.config.Zone {
		t.Errorf("selectTarget = backend %d in the own zone, which is three times as slow, want one outside", to.ID)
	}
}

// The first request must not dominate the overall mean over the next hundreds of requests.
func TestFirstRequestIsNoMean(t *testing.T) {
	b, _ := newBalancer(t, testConfig(), 4)
	const others = 15
	for i := range 1 + others {
		r := Request{ID: RequestID(i + 1), Deadline: 2 * second, ExpectedWork: milli}
		if i == 0 {
			r.ExpectedWork = 100 * milli
		}
		b.Request(second, r)
	}
	if want := (100. + others) / (1 + others); b.meanWork < want-0.01 || b.meanWork > want+0.01 {
		t.Errorf("mean work of one request of 100 ms and %d of 1 ms = %.2f ms, want %.2f ms", others, b.meanWork, want)
	}
}

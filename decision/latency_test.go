package decision

import (
	"testing"
	"time"
)

// While all attempts fail, what a failure counts for must not raise the median that it is measured by.
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
	if most := 2 * 1000 / b.expectedLatency(notIdempotent, 0); b.medianRatio < 1 || b.medianRatio > most {
		t.Errorf("median %v of the expected delay; %v at most", b.medianRatio, most)
	}
}

// Answers that come at the very time of their send must leave delays that can be compared.
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

// A backend elsewhere that was never measured must not count as slow as those of an overloaded zone.
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

// The first request must not stand for the mean of the next hundreds.
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
		t.Errorf("the mean work is %.1f ms, %.1f is right", b.meanWork, want)
	}
}

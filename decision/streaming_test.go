package decision

import "testing"

// A body on its way is no load at its backend, and the request's time counts from its last byte.
func TestUploadIsNoLoad(t *testing.T) {
	b, h := newBalancer(t, testConfig(), 1)
	b.Request(second, Request{ID: 1, Class: notIdempotent, Deadline: 2 * second, StreamedBody: true})
	if got := h.take("send"); len(got) != 1 {
		t.Fatalf("sent %v", got)
	}
	to := b.targets[0]
	b.now = 6 * second
	if e := b.latencyRatio(to); to.limit.load != 0 || e > 1.01 {
		t.Errorf("load %v, estimate %v while the body is on its way", to.limit.load, e)
	}
	b.Timer(6*second, attemptToken(1, 0))
	if got := h.take("send", "reject", "fail"); len(got) != 0 {
		t.Errorf("a second copy of a body that passes by once: %v", got)
	}
	b.BodyComplete(6*second, 1, 7*second)
	b.now = 6*second + 500*milli
	if e := b.latencyRatio(to); to.limit.load <= 0 || e < 2 {
		t.Errorf("load %v, estimate %v half a second after its last byte", to.limit.load, e)
	}
	b.Outcome(6*second+600*milli, Outcome{ID: 1, Backend: to.ID, Result: OK, Final: true})
	if to.limit.load != 0 || to.inverseExpected != 0 || b.totalTally.served == 0 {
		t.Errorf("load %v, ages %v, served %v at the end", to.limit.load, to.inverseExpected, b.totalTally.served)
	}
}

// A request whose body is consumed is not retried, whatever its class allows.
func TestConsumedBodyIsNotRetried(t *testing.T) {
	for _, spent := range []bool{true, false} {
		b, h := newBalancer(t, testConfig(), 3)
		b.Request(second, Request{ID: 1, Class: idempotent, Deadline: 2 * second, StreamedBody: true})
		first := h.take("send")
		b.Outcome(second+milli, Outcome{ID: 1, Backend: first[0].to, Result: Rejected, BodyConsumed: spent})
		got := h.take("send", "reject")
		if want := map[bool]string{true: "reject", false: "send"}[spent]; len(got) != 1 || got[0].verb != want {
			t.Errorf("spent %v: %v, want %s", spent, got, want)
		}
	}
}

// The latency of a long answer is that of its first byte, and it is no load from then on.
func TestLongAnswerCountsToFirstByte(t *testing.T) {
	b, h := newBalancer(t, testConfig(), 1)
	b.Request(second, Request{ID: 1, Class: idempotent, Deadline: 2 * second})
	to := h.take("send")[0].to
	b.FirstByte(second+20*milli, FirstByte{ID: 1, Backend: to, Latency: 20 * milli})
	if got := b.targets[0]; got.limit.load != 0 || got.ratioCount.sum == 0 ||
		b.latencyByClass[idempotent].mean() != 20 {
		t.Errorf("load %v, answers %v, class mean %v", got.limit.load, got.ratioCount.sum,
			b.latencyByClass[idempotent].mean())
	}
	b.Timer(30*second, dispatchToken)
	b.Outcome(30*second, Outcome{ID: 1, Backend: to, Result: Reset, Latency: 29 * second, Final: true})
	if got := h.take("reject", "fail", "send"); len(got) != 0 || len(b.requests) != 0 || b.openRequests != 0 {
		t.Errorf("after its end: %v, %d requests held, %d open", got, len(b.requests), b.openRequests)
	}
}

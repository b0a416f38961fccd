package decision

import "testing"

// While a request body is being uploaded, the request is no load at its backend. Its latency counts from the last byte.
func TestUploadIsNoLoad(t *testing.T) {
	b, h := newBalancer(t, testConfig(), 1)
	b.Request(second, Request{ID: 1, Class: notIdempotent, Deadline: 2 * second, StreamedBody: true})
	if got := h.take("send"); len(got) != 1 {
		t.Fatalf("Request(streamed body) caused the sends %v, want one", got)
	}
	to := b.targets[0]
	b.now = 6 * second
	if e := b.latencyRatio(to); to.limit.load != 0 || e > 1.01 {
		t.Errorf("during the upload: load = %v, latencyRatio = %v; want 0 and at most 1.01", to.limit.load, e)
	}
	b.Timer(6*second, attemptToken(1, 0))
	if got := h.take("send", "reject", "fail"); len(got) != 0 {
		t.Errorf("hedging timer during the upload caused %v, want no action: the body can be sent only once", got)
	}
	b.BodyComplete(6*second, 1, 7*second)
	b.now = 6*second + 500*milli
	if e := b.latencyRatio(to); to.limit.load <= 0 || e < 2 {
		t.Errorf("500 ms after BodyComplete: load = %v, latencyRatio = %v; want above 0 and at least 2", to.limit.load,
			e)
	}
	b.Outcome(6*second+600*milli, Outcome{ID: 1, Backend: to.ID, Result: OK, Final: true})
	if to.limit.load != 0 || to.inverseExpected != 0 || b.totalTally.served == 0 {
		t.Errorf("after Outcome(OK): load = %v, inverseExpected = %v, served value = %v; want 0, 0 and above 0",
			to.limit.load, to.inverseExpected, b.totalTally.served)
	}
}

// A request whose body is consumed is not retried, whatever its class allows.
func TestConsumedBodyIsNotRetried(t *testing.T) {
	for _, consumed := range []bool{true, false} {
		b, h := newBalancer(t, testConfig(), 3)
		b.Request(second, Request{ID: 1, Class: idempotent, Deadline: 2 * second, StreamedBody: true})
		first := h.take("send")
		b.Outcome(second+milli, Outcome{ID: 1, Backend: first[0].to, Result: Rejected, BodyConsumed: consumed})
		got := h.take("send", "reject")
		if want := map[bool]string{true: "reject", false: "send"}[consumed]; len(got) != 1 || got[0].verb != want {
			t.Errorf("Outcome(Rejected, BodyConsumed %v) caused %v, want one %s", consumed, got, want)
		}
	}
}

// The latency of a streamed answer is that of its first byte. From then on it is no load at its backend.
func TestLongAnswerCountsToFirstByte(t *testing.T) {
	b, h := newBalancer(t, testConfig(), 1)
	b.Request(second, Request{ID: 1, Class: idempotent, Deadline: 2 * second})
	to := h.take("send")[0].to
	b.FirstByte(second+20*milli, FirstByte{ID: 1, Backend: to, Latency: 20 * milli})
	if got := b.targets[0]; got.limit.load != 0 || got.ratioCount.sum == 0 ||
		b.latencyByClass[idempotent].mean() != 20 {
		t.Errorf("after FirstByte at 20 ms: load = %v, answers counted = %v, mean latency of the class = %v ms; "+
			"want 0, above 0 and 20 ms", got.limit.load, got.ratioCount.sum, b.latencyByClass[idempotent].mean())
	}
	b.Timer(30*second, dispatchToken)
	b.Outcome(30*second, Outcome{ID: 1, Backend: to, Result: Reset, Latency: 29 * second, Final: true})
	if got := h.take("reject", "fail", "send"); len(got) != 0 || len(b.requests) != 0 || b.openRequests != 0 {
		t.Errorf("Outcome(Reset) after FirstByte caused %v, with %d requests recorded and %d open; want none", got,
			len(b.requests), b.openRequests)
	}
}

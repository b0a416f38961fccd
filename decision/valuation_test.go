package decision

import "testing"

// A request that the client marked as a retry counts in no tally. The first one of a class whose tally has decayed must
// not raise the mean gain that all later requests are compared with.
func TestRetryToDecayedTallyKeepsItsValue(t *testing.T) {
	cfg := testConfig()
	cfg.Instances, cfg.ClientsMarkRetries, cfg.ObjectiveWeights = 300, true,
		ObjectiveWeights{Overall: 0.5, WorstClass: 0.5}
	cfg.Constraints.WarmUp = 2 * second
	b, _ := newBalancer(t, cfg, 6)
	now, id := second, RequestID(0)
	sendRequest := func(class int, markedRetry bool) {
		id++
		b.Request(now, Request{ID: id, Class: class, Deadline: now + 3*second, MarkedRetry: markedRetry})
		b.Outcome(now+milli, Outcome{ID: id, Result: OK, Final: true, Latency: milli})
	}
	sendRequest(notIdempotent, false)
	for now < 90*second {
		now += 100 * milli
		sendRequest(idempotent, false)
		b.Timer(now, sweepToken)
	}
	before := b.meanGain
	sendRequest(notIdempotent, true)
	if b.meanGain > 3*before {
		t.Errorf("mean gain after one marked retry = %v, want at most three times the %v before it", b.meanGain, before)
	}
}

package decision

import "testing"

// A client's retry counts in no tally. The first that comes to a class whose tally has decayed must not lift the mean
// that all later requests are compared with.
func TestRetryToDecayedTallyKeepsItsValue(t *testing.T) {
	cfg := testConfig()
	cfg.Instances, cfg.ClientsMarkRetries, cfg.ObjectiveWeights = 300, true,
		ObjectiveWeights{Overall: 0.5, WorstClass: 0.5}
	cfg.Constraints.WarmUp = 2 * second
	b, _ := newBalancer(t, cfg, 6)
	now, id := second, RequestID(0)
	ask := func(class int, repeat bool) {
		id++
		b.Request(now, Request{ID: id, Class: class, Deadline: now + 3*second, MarkedRetry: repeat})
		b.Outcome(now+milli, Outcome{ID: id, Result: OK, Final: true, Latency: milli})
	}
	ask(notIdempotent, false)
	for now < 90*second {
		now += 100 * milli
		ask(idempotent, false)
		b.Timer(now, sweepToken)
	}
	before := b.meanGain
	ask(notIdempotent, true)
	if b.meanGain > 3*before {
		t.Errorf("one repeat lifts the mean gain from %v to %v", before, b.meanGain)
	}
}

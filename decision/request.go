package decision

import (
	"slices"
	"time"
)

// request is a request that has no final answer yet, or one that has attempts in flight after it.
type request struct {
	Request
	arrived      time.Duration // with a streamed body: when its last byte had gone by
	objectiveAt  time.Duration // an answer after it is late
	waitUntil    time.Duration // it is given up in the queue from then on
	attempts     []*attempt
	ended        bool // it has its final answer
	bodyComplete bool // its streamed body has gone by

	streaming        bool // its answer has begun
	streamingAttempt *attempt

	value     float64 // priority weight, by work if so configured, less what exceeds its tenant's quota
	overQuota float64 // share of its tenant's traffic that exceeds the quota
	rank      float64 // its marginal gain, as last dispatched
}

// attempt is one send of a request to a target.
type attempt struct {
	request       *request
	number        int // from 0
	target        *target
	zone, cell    int           // of the target as it was then
	sentAt        time.Duration // the deduplication window counts from here
	waitingSince  time.Duration // an answer is waited for from here on
	reservations  []reservation
	work          float64 // ms
	loadWeight    float64 // what it counts for in a limit; 1 is a request of mean latency
	done          bool
	mayHaveRun    bool
	cancelled     bool
	retryReserved bool // a retry after its end is paid for

	expectedLatency float64 // ms that class and expected work lead one to expect of any backend

	uploading  bool    // its body is on its way: no answer is waited for yet
	fullWeight float64 // its loadWeight once the body has gone by
}

// hasInFlight reports whether an attempt is in flight.
func (r *request) hasInFlight() bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return !a.done })
}

// wasAttempted reports whether an attempt of a request went to a target.
func wasAttempted(r *request, t *target) bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.target == t })
}

// begin enters an attempt at its request and its target.
func (a *attempt) begin() {
	r, t := a.request, a.target
	r.attempts = append(r.attempts, a)
	t.inFlight = append(t.inFlight, a)
	if a.uploading = r.StreamedBody; a.uploading {
		a.fullWeight = a.loadWeight
		a.loadWeight = 0
		return
	}
	a.startWaiting(a.waitingSince)
}

// startWaiting notes that an answer is waited for from now on. A body that is still on its way says nothing
// of how fast the backend answers, and is no load there yet: the backend begins with its last byte.
func (a *attempt) startWaiting(now time.Duration) {
	t := a.target
	t.sentOverExpected += millis(now) / a.expectedLatency
	t.inverseExpected += 1 / a.expectedLatency
	if a.uploading {
		a.uploading = false
		a.loadWeight = a.fullWeight
		for i := range a.reservations {
			a.reservations[i].startWaiting(a, now)
		}
	}
	a.waitingSince = now
}

// release takes an attempt off its target and its limits.
func (a *attempt) release(now time.Duration) {
	t := a.target
	a.done = true
	if i := slices.Index(t.inFlight, a); i >= 0 {
		t.inFlight = slices.Delete(t.inFlight, i, i+1)
	}
	for i := range a.reservations {
		a.reservations[i].limit.release(a.loadWeight, now)
	}
	if len(t.inFlight) == 0 { // rounding must leave no trace
		t.sentOverExpected = 0
		t.inverseExpected = 0
	} else if !a.uploading {
		t.sentOverExpected -= millis(a.waitingSince) / a.expectedLatency
		t.inverseExpected -= 1 / a.expectedLatency
	}
}

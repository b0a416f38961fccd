package decision

import (
	"slices"
	"time"
)

// request is the record of a request without a final answer, or with attempts in flight after it.
type request struct {
	Request
	arrived      time.Duration // later, the time at which the last byte of a streamed body was forwarded
	objectiveAt  time.Duration // an answer after this time is late
	waitUntil    time.Duration // from this time on it gets its final answer if it is still queued
	attempts     []*attempt
	ended        bool // it has its final answer
	bodyComplete bool // its streamed body has been forwarded completely

	streaming        bool     // the first byte of its answer has arrived
	streamingAttempt *attempt // the attempt whose answer is streamed

	value     float64 // priority weight, times work if so configured, reduced by overQuota
	overQuota float64 // share of its tenant's traffic that exceeds the quota
	rank      float64 // its marginal gain at the last dispatch
}

// attempt is the record of one send of a request to a target.
type attempt struct {
	request       *request
	number        int // index into request.attempts
	target        *target
	zone, cell    int           // of the target at the time of the send
	sentAt        time.Duration // the deduplication window counts from this time
	waitingSince  time.Duration // the latency counts from this time: the send, or the end of a streamed body
	reservations  []reservation
	work          float64 // ms, see Balancer.workOf
	loadWeight    float64 // its load in concurrency limits; 1 is a request of mean latency
	done          bool
	mayHaveRun    bool
	cancelled     bool
	retryReserved bool // the retry budget has already been charged for the retry after this attempt

	expectedLatency float64 // ms, expected of any backend by class and expected work

	uploading  bool    // its streamed body is not complete yet, so no answer is expected
	fullWeight float64 // its loadWeight once the body is complete
}

// hasInFlight reports whether an attempt is in flight.
func (r *request) hasInFlight() bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return !a.done })
}

// wasAttempted reports whether an attempt of a request went to a target.
func wasAttempted(r *request, t *target) bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.target == t })
}

// begin adds an attempt to its request and its target.
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

// startWaiting records that the latency of an attempt counts from now on. While its body is being uploaded,
// an attempt shows nothing about how fast the backend answers, and is no load there yet: the backend starts
// to work after the last byte.
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

// release marks an attempt as done and removes it from its target and its limits.
func (a *attempt) release(now time.Duration) {
	t := a.target
	a.done = true
	if i := slices.Index(t.inFlight, a); i >= 0 {
		t.inFlight = slices.Delete(t.inFlight, i, i+1)
	}
	for i := range a.reservations {
		a.reservations[i].limit.release(a.loadWeight, now)
	}
	if len(t.inFlight) == 0 { // without attempts in flight, rounding errors must not leave a sum
		t.sentOverExpected = 0
		t.inverseExpected = 0
	} else if !a.uploading {
		t.sentOverExpected -= millis(a.waitingSince) / a.expectedLatency
		t.inverseExpected -= 1 / a.expectedLatency
	}
}

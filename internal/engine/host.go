package engine

import (
	"fmt"
	"time"

	"lapisspread/decision"
)

// timerRetryDelay is the minimum delay before a timer whose event has panicked fires again.
const timerRetryDelay = 100 * time.Millisecond

// decider is the interface through which the engine calls the decision module. *decision.Balancer implements it.
type decider interface {
	Start(now time.Duration)
	UpdateEndpoints(now time.Duration, update decision.EndpointUpdate)
	Request(now time.Duration, request decision.Request)
	Outcome(now time.Duration, outcome decision.Outcome)
	FirstByte(now time.Duration, first decision.FirstByte)
	BodyComplete(now time.Duration, id decision.RequestID, deadline time.Duration)
	HealthChecked(now time.Duration, result decision.HealthCheckResult)
	ClientGone(now time.Duration, id decision.RequestID)
	Timer(now time.Duration, token uint64)
	Detach(now time.Duration, id decision.BackendID)
	Attach(now time.Duration, id decision.BackendID)
	CheckHealthNow(now time.Duration)
	CountBackends() (known, excluded int)
	Snapshot(now time.Duration) decision.Snapshot
	Restore(now time.Duration, snapshot decision.Snapshot)
}

// host implements decision.Host: it carries out the decision module's actions. None of its methods blocks, and their
// results are reported by later events. The methods for attempts, health checks and endpoints are in
// attempt.go, healthcheck.go and endpoints.go.
type host struct{ *Engine }

var _ decision.Host = host{}

// Reject ends a request that did not run, so that the client may safely repeat it. retryAfter is passed to the client;
// 0 means no delay.
func (h host) Reject(id decision.RequestID, retryAfter time.Duration) {
	if r := h.requests[id]; r != nil {
		h.complete(r, Result{Outcome: Rejected, RetryAfter: retryAfter})
	}
}

// Fail ends a request that may or may not have run.
func (h host) Fail(id decision.RequestID) {
	if r := h.requests[id]; r != nil {
		h.complete(r, Result{Outcome: Failed, TimedOut: r.timedOut})
	}
}

// ReleaseIdleConnections closes a backend's idle connections.
func (h host) ReleaseIdleConnections(id decision.BackendID) {
	h.startWorker(func() { h.opts.Upstream.Release(id) })
}

// SendToPeer does nothing: proxies do not exchange messages with each other.
func (h host) SendToPeer(uint32, []byte) {}

// StartTimer calls the decision module's Timer after a delay, always in a later event.
//
// Some timers of the module set themselves again each time they fire. A panic in the call of Timer would stop such a
// timer for good. So after a panic the timer is set again, unless the module has already set a timer with this token.
func (h host) StartTimer(delay time.Duration, token uint64) {
	h.pendingTokens[token]++
	h.startTimerAt(h.clock.Now()+max(delay, 0), func() {
		h.pendingTokens[token]--
		if h.pendingTokens[token] == 0 {
			delete(h.pendingTokens, token)
		}
		before := h.pendingTokens[token]
		ok := h.recoverPanic(func() { h.decider.Timer(h.clock.Now(), token) })
		if !ok && h.pendingTokens[token] <= before {
			h.StartTimer(max(delay, timerRetryDelay), token)
		}
	})
}

// Log writes a line of the decision module to the log.
func (h host) Log(line string) { h.log.Info(fmt.Sprintf("module: %s", line)) }

package engine

import (
	"fmt"
	"time"

	"lapisspread/decision"
)

// timerRetryDelay is the shortest time after which a timer whose event has failed fires again.
const timerRetryDelay = 100 * time.Millisecond

// decider is the decision module as the engine calls it; *decision.Balancer is the one.
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

// host carries out the decision module's actions. None of its methods blocks, and what they cause comes as later
// events. Methods that belong to one concern stand in that concern's file.
type host struct{ *Engine }

var _ decision.Host = host{}

// Reject ends a request that did not run: a repeat is harmless. retryAfter is passed to the client; 0 is none.
func (h host) Reject(id decision.RequestID, retryAfter time.Duration) {
	if r := h.requests[id]; r != nil {
		h.complete(r, Result{Outcome: Rejected, RetryAfter: retryAfter})
	}
}

// Fail ends a request without a promise whether it has run.
func (h host) Fail(id decision.RequestID) {
	if r := h.requests[id]; r != nil {
		h.complete(r, Result{Outcome: Failed, TimedOut: r.timedOut})
	}
}

// ReleaseIdleConnections closes a backend's idle connections.
func (h host) ReleaseIdleConnections(id decision.BackendID) {
	h.startWorker(func() { h.opts.Upstream.Release(id) })
}

// SendToPeer does nothing: proxies do not gossip.
func (h host) SendToPeer(uint32, []byte) {}

// StartTimer has the decision module's Timer called after a delay, always in a later event.
//
// A panic in that call would end for good what the module does by a timer that sets itself again. So unless the module
// has set the token again by then, the timer fires once more.
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

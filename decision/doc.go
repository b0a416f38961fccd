// Package decision makes the decisions of an HTTP load balancer that runs as a small group of proxies. It
// receives events and returns actions, and does no input or output itself.
//
// # Contract
//
// A Balancer decides for one proxy. Its caller reports each event by calling one method; the Balancer
// responds by calling the methods of its Host within that call.
//
//   - A Balancer must be used by one goroutine at a time. It starts no goroutine and takes no lock.
//   - It uses neither the wall clock nor global state. Each event has a time, now: the time.Duration
//     since any fixed origin, which never decreases. Equal configurations, seeds and events give exactly
//     equal actions.
//   - Host methods must not call the Balancer. The caller reports their effects as later events.
//   - Identifiers are opaque. A backend keeps its identifier over a restart; a RequestID is not reused.
//   - Events for unknown or ended requests, attempts and backends are ignored: an event may be reported after
//     an action that made it obsolete.
//
// # Events and actions
//
//	Start, Timer                     time                    -> StartTimer, WatchEndpoints
//	UpdateEndpoints                  the endpoint list       -> StartTimer
//	Detach, Attach                   an operator's command   -> ReleaseIdleConnections
//	Request, BodyComplete            a client's request      -> Send, Reject, Fail
//	FirstByte, Outcome, ClientGone   progress of an attempt  -> Send, Cancel, Reject, Fail
//	CheckHealthNow, HealthChecked    health checks           -> CheckHealth
//	Restore, Snapshot                state of a predecessor
//
// # The order of the rules
//
// These rules are applied to a request in order. Each is implemented in one file:
//
//  1. Its value is computed: its contribution to the objective, reduced if its tenant exceeds its quota
//     (valuation.go).
//  2. It is shed if nearly MaxOpenRequests are open and it earns less per ms than the mean (admission.go).
//  3. It is queued; whenever there may be capacity, the request of the greatest marginal gain is sent first
//     (queue.go).
//  4. A target is selected among those that are active (activeset.go), healthy (healthcheck.go), within
//     their slow-start budget (slowstart.go) and below their concurrency limit (concurrency.go), by power of
//     two choices on the expected delay (selection.go, latency.go, outlier.go).
//  5. It is sent if idempotency, drains and operators' commands allow it. These guards, mayAttempt and
//     mayReceive, are checked again at the send itself (attempts.go).
//  6. A slow attempt is hedged or replaced (hedging.go); a failed one is retried within the retry budget
//     (retry.go).
//  7. It gets one final answer: the backend's, a rejection, or a failure (answers.go).
//
// # Files
//
//	config.go, validate.go    settings, their units and their valid ranges
//	events.go, host.go        events and actions
//	balancer.go, timers.go    the Balancer, its timers and the periodic sweep
//	target.go, request.go     the records of a backend, a request and an attempt
//	endpoints.go              reconciling the endpoint list
//	discovery.go              backoff of calls for the endpoint list
//	operator.go               detaching and attaching backends by an operator's command
//	activeset.go              which of the listed backends this proxy uses
//	healthcheck.go            active health checks
//	outlier.go                failed attempts as evidence of a backend's health
//	slowstart.go              the work budget of a backend that warms up
//	latency.go                the latency estimate
//	concurrency.go            limits on the load in flight
//	selection.go              choosing a target
//	valuation.go              the value of serving a request
//	admission.go, queue.go    admitting, shedding and dispatching
//	attempts.go               sending attempts and handling their outcomes
//	retry.go, hedging.go      the retry budget; hedged requests
//	answers.go                final answers and cancellation
//	streaming.go              streamed bodies and answers
//	snapshot.go               state for a successor process
//	statistics.go             decaying sums, fits and quantiles
//
// # Units
//
// Clock times and settings are of type time.Duration. Estimates are of type float64: latencies and work in
// milliseconds, rates per second, loads in requests of mean latency, latency ratios as multiples of the
// latency expected of any backend. Constants without a unit are ratios or counts.
//
// # Changing a rule
//
// TestTranscriptKeepsItsBytes compares every decision in two fixed scenarios with golden files, and
// TestTranscriptsKeepTheirSums those under random configurations. A change that is meant to alter decisions
// must rewrite these files, and show its effect by the experiments of cmd/faultlab.
package decision

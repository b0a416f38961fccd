// Package decision makes the decisions of an HTTP load balancer that runs as a small group of proxies. It
// is a pure core: events go in, actions come out, and it does no input or output of its own.
//
// # Contract
//
// A Balancer decides for one proxy. Its caller reports each event by calling one method; the Balancer
// answers by calling the methods of its Host from within that call.
//
//   - One goroutine at a time. A Balancer starts none and takes no lock.
//   - No wall clock and no global state. Each event carries now, a time.Duration on a clock that starts
//     anywhere and never goes back. Equal configurations, seeds and events give equal actions, bit by bit.
//   - Host methods must not call the Balancer back. What they cause is reported by later events.
//   - Identifiers are opaque. A backend keeps its identifier over a restart; a RequestID is not used again.
//   - Events for what is unknown or has ended are ignored. Their order may cross that of the actions.
//
// # Events and actions
//
//	Start, Timer                     time                    -> StartTimer, WatchEndpoints
//	UpdateEndpoints                  the endpoint list       -> StartTimer
//	Detach, Attach                   an operator's order     -> ReleaseIdleConnections
//	Request, BodyComplete            a client's request      -> Send, Reject, Fail
//	FirstByte, Outcome, ClientGone   progress of an attempt  -> Send, Cancel, Reject, Fail
//	CheckHealthNow, HealthChecked    health checks           -> CheckHealth
//	Restore, Snapshot                state of a predecessor
//
// # The order of the rules
//
// A request passes these rules in turn. Each stands in one place:
//
//  1. It is valued: its part of the objective, less what exceeds its tenant's quota (valuation.go).
//  2. It is shed if nearly all requests that may be open are, and it earns less than the mean
//     (admission.go).
//  3. It is queued; whenever there may be capacity, the request of the greatest marginal gain goes first
//     (queue.go).
//  4. A target is selected among those that are active (activeset.go), healthy (healthcheck.go), within
//     their slow-start budget (slowstart.go) and below their concurrency limit (concurrency.go), by power of
//     two choices on the expected delay (selection.go, latency.go, outlier.go).
//  5. It is sent if idempotency, drains and operators' orders allow it. Both guards are checked again
//     where it leaves (attempts.go).
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
//	operator.go               detaching and attaching by order
//	activeset.go              which of the listed backends this proxy uses
//	healthcheck.go            active health checks
//	outlier.go                failed attempts as evidence of health
//	slowstart.go              the budget of a backend that warms up
//	latency.go                the latency estimate
//	concurrency.go            limits on what is in flight
//	selection.go              choosing a target
//	valuation.go              the value of serving a request
//	admission.go, queue.go    admitting, shedding and dispatching
//	attempts.go               sending, and learning from the end of an attempt
//	retry.go, hedging.go      the retry budget; hedged requests
//	answers.go                final answers and cancellation
//	streaming.go              streamed bodies and answers
//	snapshot.go               state handed to a successor
//	statistics.go             decaying sums, fits and quantiles
//
// # Units
//
// Times on the clock and settings are a time.Duration. Estimates are float64: latencies and work in
// milliseconds, rates a second, loads in requests of mean latency, latency ratios in multiples of what is
// expected of any backend. Constants without a unit are plain ratios or counts.
//
// # Changing a rule
//
// TestTranscriptKeepsItsBytes holds every decision of two fixed scenarios, and TestTranscriptsKeepTheirSums
// those under random configurations. A change that is meant to alter decisions writes them anew, and shows
// its effect by the experiments of cmd/faultlab.
package decision

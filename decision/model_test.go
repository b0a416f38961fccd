package decision_test

import (
	"fmt"
	"slices"
	"time"

	"lapisspread/decision"
)

// The rules that the model checks; a violation begins with one of them. The numbers are those of model's comment.
const (
	ruleFinalAnswer   = "rule 1 (final answer)"
	ruleIdempotency   = "rule 2 (idempotency)"
	ruleDrain         = "rule 3 (drain)"
	ruleSlowStart     = "rule 4 (slow start)"
	ruleHealth        = "health"         // health checks and their consequences
	ruleUnanswered    = "unanswered"     // a request that may not be sent any more is answered at once
	ruleInvalidAction = "invalid action" // an action for something unknown or beyond the settings
)

// model checks the actions of one proxy's Balancer. It states four rules and the health of backends as simply as
// possible: it records all events and searches all of them each time. It uses the interface of the package under test
// and none of its code.
//
//   - Rule 1: each request gets one final answer, in time.
//   - Rule 2: a request that may have run is retried only as its class allows, and rejected only if that is harmless.
//   - Rule 3: a backend that is draining, removed or detached gets nothing new.
//   - Rule 4: a backend that is warming up gets no more work than it can serve.
type model struct {
	config     decision.Config
	now        time.Duration
	loads      *backendLoads
	servers    map[decision.BackendID]*modelBackend
	detached   map[decision.BackendID]bool // by an operator
	open       []*modelRequest
	byID       map[decision.RequestID]*modelRequest
	violations []string

	// If drainGraceOnly is set, rule 3 allows a send within DrainGrace after the backend stopped being ready. Otherwise
	// the Balancer must be stricter: no send once an endpoint update has reported that the backend is not ready.
	drainGraceOnly bool
}

// modelBackend is the state of a backend according to the endpoint list and the health checks.
type modelBackend struct {
	decision.Backend
	notReadySince            time.Duration // valid if State is not Ready
	unhealthy, checkInFlight bool
	passes, fails            int // consecutive health checks
}

type modelRequest struct {
	decision.Request
	work                       time.Duration
	attempts                   []*modelAttempt
	ended, streaming           bool // ended: has its final answer
	bodyComplete, bodyConsumed bool
	reported                   bool // a violation has been reported
}

type modelAttempt struct {
	target     decision.BackendID
	zone, cell int
	sent       time.Duration
	done       bool
	result     decision.Result
}

// succeeded reports whether the attempt ended with OK.
func (a *modelAttempt) succeeded() bool { return a.done && a.result == decision.OK }

// backendLoads records the work that all proxies together sent to each backend, and the speed of each.
type backendLoads struct {
	speed map[decision.BackendID]float64 // ms of work a ms, once warm
	sent  map[decision.BackendID][]sentWork
	slack time.Duration // work by which random arrivals may exceed what a backend that warms up can serve
}

// sentWork is the work of one attempt and the time of its send.
type sentWork struct{ at, work time.Duration }

// resultName names a result for failure messages and traces.
func resultName(r decision.Result) string {
	return [...]string{decision.OK: "OK", decision.Error: "Error", decision.Rejected: "Rejected",
		decision.Timeout: "Timeout", decision.ConnectFailed: "ConnectFailed", decision.Reset: "Reset",
		decision.Cancelled: "Cancelled", decision.NotSent: "NotSent"}[r]
}

// newModel returns the model of one proxy. All proxies of a run share loads.
func newModel(cfg decision.Config, loads *backendLoads) *model {
	return &model{config: cfg, loads: loads, servers: map[decision.BackendID]*modelBackend{},
		detached: map[decision.BackendID]bool{},
		byID:     map[decision.RequestID]*modelRequest{}}
}

// violation records that a rule, one of the constants above, was violated.
func (m *model) violation(rule, format string, args ...any) {
	m.violations = append(m.violations, rule+": "+fmt.Sprintf(format, args...))
}

// endpoints records an endpoint update.
func (m *model) endpoints(l decision.EndpointUpdate) {
	if l.Kind == decision.UpdateFailed {
		return
	}
	remove := func(s *modelBackend) {
		if s.State == decision.Ready {
			s.notReadySince = m.now
		}
		s.State = decision.Removed
	}
	if l.Kind != decision.UpdateDelta {
		for id, s := range m.servers {
			if !slices.ContainsFunc(l.Backends, func(e decision.Backend) bool { return e.ID == id }) {
				remove(s)
			}
		}
	}
	for _, e := range l.Backends {
		s := m.servers[e.ID]
		if s == nil {
			if e.State == decision.Removed {
				continue
			}
			s = &modelBackend{notReadySince: m.now}
			m.servers[e.ID] = s
		}
		if e.State == decision.Removed {
			remove(s)
			continue
		}
		if s.State == decision.Removed { // new or returned: healthy until health checks fail
			s.unhealthy = false
			s.passes = 0
			s.fails = 0
		}
		if s.State == decision.Ready && e.State != decision.Ready {
			s.notReadySince = m.now
		}
		s.Backend = e
	}
}

// healthChecked records the result of a health check.
func (m *model) healthChecked(id decision.BackendID, r decision.Result) {
	s := m.servers[id]
	if s == nil || !s.checkInFlight {
		return
	}
	s.checkInFlight = false
	switch r {
	case decision.OK:
		s.passes, s.fails = s.passes+1, 0
	case decision.Timeout, decision.ConnectFailed, decision.Reset, decision.Error:
		s.passes, s.fails = 0, s.fails+1
	}
	if s.fails >= 2 {
		s.unhealthy = true
	}
	if s.passes >= 2 {
		s.unhealthy = false
	}
}

// request records a request with its actual work, which may differ from its expected work.
func (m *model) request(q decision.Request, work time.Duration) {
	r := &modelRequest{Request: q, work: work}
	m.open, m.byID[q.ID] = append(m.open, r), r
}

// outcome records how attempt n of a request ended. Only the first report counts.
func (m *model) outcome(id decision.RequestID, n int, result decision.Result, bodyConsumed bool) {
	r := m.byID[id]
	if r == nil || n >= len(r.attempts) || r.attempts[n].done {
		return
	}
	r.attempts[n].done, r.attempts[n].result = true, result
	r.bodyConsumed = r.bodyConsumed || bodyConsumed
	if result == decision.OK || r.streaming {
		r.ended = true
	}
}

// neverRan reports whether the result of an attempt proves that it did not run.
func neverRan(t *modelAttempt) bool {
	return t.done && (t.result == decision.Rejected || t.result == decision.ConnectFailed ||
		t.result == decision.NotSent)
}

// forbiddenReason returns why rule 2 forbids sending a request to a backend of the zone and cell, or "" if it does not.
func (m *model) forbiddenReason(r *modelRequest, zone, cell int) string {
	c := m.config.Classes[r.Class]
	for n, t := range r.attempts {
		if !t.done && (!m.config.Capabilities.HedgedRequests || r.StreamedBody) {
			return "a second attempt would be in flight"
		}
		if neverRan(t) || c.Idempotency == decision.Idempotent {
			continue
		}
		switch {
		case c.Idempotency == decision.NotIdempotent:
			return fmt.Sprintf("attempt %d may have run and the request is not idempotent", n)
		case c.DeduplicationScope == decision.ScopeZone && t.zone != zone,
			c.DeduplicationScope == decision.ScopeCell && t.cell != cell:
			return fmt.Sprintf("the backend is outside the deduplication scope of attempt %d", n)
		case m.now-t.sent >= c.DeduplicationWindow:
			return fmt.Sprintf("the deduplication window of attempt %d has ended", n)
		}
	}
	if len(r.attempts) >= m.config.Capabilities.MaxAttempts {
		return "MaxAttempts is reached"
	}
	return ""
}

// send records an attempt and checks it against the rules.
func (m *model) send(id decision.RequestID, to decision.BackendID) {
	r, s := m.byID[id], m.servers[to]
	if r == nil || s == nil {
		m.violation(ruleInvalidAction, "request %d sent to backend %d, one of which is unknown", id, to)
		return
	}
	if r.ended || r.streaming {
		m.violation(ruleFinalAnswer, "request %d sent to backend %d after its final answer", id, to)
	}
	if reason := m.forbiddenReason(r, s.Zone, s.Cell); reason != "" {
		m.violation(ruleIdempotency, "request %d sent to backend %d, but %s", id, to, reason)
	}
	if elapsed := m.now - s.notReadySince; s.State != decision.Ready && elapsed > m.config.Constraints.DrainGrace {
		m.violation(ruleDrain, "send to backend %d, %v after it was listed as draining or removed, want at most %v", to,
			elapsed, m.config.Constraints.DrainGrace)
	} else if s.State != decision.Ready && !m.drainGraceOnly {
		m.violation(ruleInvalidAction, "send to backend %d, which is not listed as ready", to)
	}
	if m.detached[to] {
		m.violation(ruleDrain, "send to backend %d, which is detached", to)
	}
	if s.unhealthy {
		for _, o := range m.servers {
			if o.State == decision.Ready && !o.unhealthy && !m.detached[o.ID] &&
				m.forbiddenReason(r, o.Zone, o.Cell) == "" {
				m.violation(ruleHealth, "send to unhealthy backend %d while backend %d is healthy", to, o.ID)
				break
			}
		}
	}
	if overload := m.loads.add(m.config.Constraints, m.now, s.Backend, r.work); overload != "" {
		m.violation(ruleSlowStart, "%s", overload)
	}
	r.attempts = append(r.attempts, &modelAttempt{target: to, zone: s.Zone, cell: s.Cell, sent: m.now})
}

// add records work sent to a backend. It returns a description of the overload if the backend is warming up and gets
// more than it can serve, else "".
func (b *backendLoads) add(c decision.Constraints, now time.Duration, s decision.Backend, work time.Duration) string {
	b.sent[s.ID] = append(b.sent[s.ID], sentWork{now, work})
	age := now - s.Started
	if s.Started == 0 || age >= c.WarmUp {
		return ""
	}
	sum := time.Duration(0)
	for _, w := range b.sent[s.ID] {
		if w.at >= s.Started && now-w.at < c.OverloadWindow {
			sum += w.work
		}
	}
	share := c.InitialCapacity + (1-c.InitialCapacity)*float64(max(age, 0))/float64(c.WarmUp)
	budget := c.OverloadFactor*share*b.speed[s.ID]*float64(c.OverloadWindow) + float64(b.slack)
	if float64(sum) > budget {
		return fmt.Sprintf("backend %d got %v of work within %v, %v after its start; it can serve at most %v", s.ID,
			sum, c.OverloadWindow, age, time.Duration(budget))
	}
	return ""
}

// final records a rejection or a failure as the final answer of a request, and checks it against the rules.
func (m *model) final(id decision.RequestID, rejected bool) {
	r := m.byID[id]
	if r == nil {
		m.violation(ruleFinalAnswer, "final answer to unknown request %d", id)
		return
	}
	if r.ended || r.streaming {
		m.violation(ruleFinalAnswer, "request %d got a second final answer", id)
	}
	c := m.config.Classes[r.Class]
	harmless := c.Idempotency == decision.Idempotent || c.Idempotency == decision.IdempotentByKey &&
		c.DeduplicationScope == decision.ScopeAll
	for n, t := range r.attempts {
		if rejected && !harmless && !neverRan(t) {
			m.violation(ruleIdempotency, "request %d rejected although attempt %d may have run", id, n)
		}
	}
	r.ended = true
}

// cancel checks the cancellation of attempt n of a request.
func (m *model) cancel(id decision.RequestID, n int) {
	if r := m.byID[id]; r == nil || n < 0 || n >= len(r.attempts) {
		m.violation(ruleInvalidAction, "attempt %d of request %d cancelled, but never sent", n, id)
	}
}

// checkHealth records the start of a health check and checks that it is allowed.
func (m *model) checkHealth(id decision.BackendID) {
	s := m.servers[id]
	switch {
	case m.drainGraceOnly:
	case s == nil || s.State != decision.Ready || m.detached[id]:
		m.violation(ruleDrain, "health check of backend %d, which is not listed as ready or is detached", id)
		return
	case s.checkInFlight:
		m.violation(ruleHealth, "two health checks of backend %d in flight at once", id)
	case !m.config.Capabilities.HealthChecks:
		m.violation(ruleInvalidAction, "health check of backend %d although HealthChecks is false", id)
	}
	if s != nil {
		s.checkInFlight = true
	}
}

// undeliverable reports whether rule 2 has forbidden every send of a request for longer than the time between two
// dispatches, whatever the endpoint list contains later. A queued request gets its final answer only at a dispatch.
func (m *model) undeliverable(r *modelRequest) bool {
	if r.bodyConsumed {
		return true
	}
	earlier := *m
	earlier.now -= max(25*time.Millisecond, 3*m.config.Tick+time.Millisecond)
	for _, t := range r.attempts { // a keyed request may go to the zone and cell of an attempt that may have run
		if earlier.forbiddenReason(r, t.zone, t.cell) == "" {
			return false
		}
	}
	return true
}

// check checks the state after an event has been handled: all open requests, and the numbers of backends that
// CountBackends reported, known and excluded.
func (m *model) check(known, excluded int) {
	wantKnown, wantExcluded := 0, 0
	for id, s := range m.servers {
		if s.State != decision.Removed {
			wantKnown++
			if m.detached[id] || s.State == decision.Ready && s.unhealthy {
				wantExcluded++
			}
		}
	}
	if !m.drainGraceOnly && (known != wantKnown || excluded != wantExcluded) {
		m.violation(ruleHealth, "CountBackends() = %d known, %d excluded; want %d and %d", known, excluded, wantKnown,
			wantExcluded)
	}
	m.checkDeadlines()
	for _, r := range m.open {
		if r.ended || r.streaming || r.reported {
			continue
		}
		inFlight := slices.ContainsFunc(r.attempts, func(t *modelAttempt) bool { return !t.done })
		if inFlight || len(r.attempts) == 0 {
			continue
		}
		if m.undeliverable(r) {
			m.violation(ruleUnanswered, "request %d may not be sent any more and has no final answer", r.ID)
			r.reported = true
		}
	}
	m.forget()
}

// checkDeadlines checks that no open request is past its deadline by more than AnswerSlack.
func (m *model) checkDeadlines() {
	for _, r := range m.open {
		answerDue := !r.ended && !r.streaming && !r.reported && (!r.StreamedBody || r.bodyComplete)
		if answerDue && m.now > r.Deadline+m.config.Constraints.AnswerSlack {
			m.violation(ruleFinalAnswer, "request %d has no final answer %v after its deadline", r.ID, m.now-r.Deadline)
			r.reported = true
		}
	}
}

// forget removes the requests that need no more checks from the open ones.
func (m *model) forget() {
	m.open = slices.DeleteFunc(m.open, func(r *modelRequest) bool { return r.ended || r.reported })
}

package decision_test

import (
	"fmt"
	"slices"
	"time"

	"lapisspread/decision"
)

// model states the four rules and the health of backends for one proxy, as simply as can be: it records what happened
// and looks through all of it each time. It uses the interface of the package under test and none of its code.
//
//   - Rule 1: each request gets one final answer, in time.
//   - Rule 2: a request that may have run is repeated only as its class allows, and rejected only if that is harmless.
//   - Rule 3: a backend that drains, left or is detached gets nothing new.
//   - Rule 4: a backend that warms up gets no more work than it can bear.
type model struct {
	config     decision.Config
	now        time.Duration
	loads      *backendLoads
	servers    map[decision.BackendID]*modelBackend
	detached   map[decision.BackendID]bool // by an operator
	open       []*modelRequest
	byID       map[decision.RequestID]*modelRequest
	violations []string

	// only the rule is checked, not the design, by which a backend that is not ready gets nothing at once
	drainGraceOnly bool
}

// modelBackend is what the list and the health checks said of a backend.
type modelBackend struct {
	decision.Backend
	notReadySince            time.Duration // if it is not ready
	unhealthy, checkInFlight bool
	passes, fails            int // in a row
}

type modelRequest struct {
	decision.Request
	work                       time.Duration
	attempts                   []*modelAttempt
	ended, streaming           bool // ended: it has its final answer
	bodyComplete, bodyConsumed bool
	reported                   bool
}

type modelAttempt struct {
	target     decision.BackendID
	zone, cell int
	sent       time.Duration
	done       bool
	result     decision.Result
}

// succeeded reports whether an attempt was answered.
func (a *modelAttempt) succeeded() bool { return a.done && a.result == decision.OK }

// backendLoads is what all proxies together sent to each backend, and what each can serve.
type backendLoads struct {
	speed map[decision.BackendID]float64 // ms of work in a ms, once warm
	sent  map[decision.BackendID][]workSent
	slack time.Duration // for chance
}

type workSent struct{ at, ms time.Duration }

func newModel(cfg decision.Config, fleet *backendLoads) *model {
	return &model{config: cfg, loads: fleet, servers: map[decision.BackendID]*modelBackend{},
		detached: map[decision.BackendID]bool{},
		byID:     map[decision.RequestID]*modelRequest{}}
}

func (m *model) violation(rule, format string, args ...any) {
	m.violations = append(m.violations, rule+": "+fmt.Sprintf(format, args...))
}

func (m *model) endpoints(l decision.EndpointUpdate) {
	if l.Kind == decision.UpdateFailed {
		return
	}
	leave := func(s *modelBackend) {
		if s.State == decision.Ready {
			s.notReadySince = m.now
		}
		s.State = decision.Removed
	}
	if l.Kind != decision.UpdateDelta {
		for id, s := range m.servers {
			if !slices.ContainsFunc(l.Backends, func(e decision.Backend) bool { return e.ID == id }) {
				leave(s)
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
			leave(s)
			continue
		}
		if s.State == decision.Removed { // it is new or back: healthy until checks say otherwise
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

func (m *model) healthChecked(id decision.BackendID, r decision.Result) {
	s := m.servers[id]
	if s == nil || !s.checkInFlight { // no check is in flight
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

func (m *model) request(q decision.Request, ms time.Duration) {
	r := &modelRequest{Request: q, work: ms}
	m.open, m.byID[q.ID] = append(m.open, r), r
}

// outcome records how an attempt ended, the first time that it is reported.
func (m *model) outcome(id decision.RequestID, n int, result decision.Result, spent bool) {
	r := m.byID[id]
	if r == nil || n >= len(r.attempts) || r.attempts[n].done {
		return
	}
	r.attempts[n].done, r.attempts[n].result = true, result
	r.bodyConsumed = r.bodyConsumed || spent
	if result == decision.OK || r.streaming {
		r.ended = true
	}
}

func neverRan(t *modelAttempt) bool {
	return t.done && (t.result == decision.Rejected || t.result == decision.ConnectFailed ||
		t.result == decision.NotSent)
}

// forbids says why the rule on repeats forbids to send a request to a place; empty is that it doesn't.
func (m *model) forbids(r *modelRequest, zone, cell int) string {
	c := m.config.Classes[r.Class]
	for n, t := range r.attempts {
		if !t.done && (!m.config.Capabilities.HedgedRequests || r.StreamedBody) {
			return "two attempts out"
		}
		if neverRan(t) || c.Idempotency == decision.Idempotent {
			continue
		}
		switch {
		case c.Idempotency == decision.NotIdempotent:
			return fmt.Sprintf("attempt %d may have run and may not be repeated", n)
		case c.DeduplicationScope == decision.ScopeZone && t.zone != zone,
			c.DeduplicationScope == decision.ScopeCell && t.cell != cell:
			return fmt.Sprintf("it leaves the group of attempt %d", n)
		case m.now-t.sent >= c.DeduplicationWindow:
			return fmt.Sprintf("the window of attempt %d is over", n)
		}
	}
	if len(r.attempts) >= m.config.Capabilities.MaxAttempts {
		return "too many attempts"
	}
	return ""
}

func (m *model) send(id decision.RequestID, to decision.BackendID) {
	r, s := m.byID[id], m.servers[to]
	if r == nil || s == nil {
		m.violation("listed", "request %d is sent to %d, one of them unknown", id, to)
		return
	}
	if r.ended || r.streaming {
		m.violation("rule 1", "request %d is sent after its end", id)
	}
	if why := m.forbids(r, s.Zone, s.Cell); why != "" {
		m.violation("rule 2", "request %d to %d: %s", id, to, why)
	}
	if away := m.now - s.notReadySince; s.State != decision.Ready && away > m.config.Constraints.DrainGrace {
		m.violation("rule 3", "send to %d, %v after it was listed as draining or gone", to, away)
	} else if s.State != decision.Ready && !m.drainGraceOnly {
		m.violation("listed", "send to %d, which is not listed as ready", to)
	}
	if m.detached[to] {
		m.violation("rule 3", "send to %d, which is detached", to)
	}
	if s.unhealthy {
		for _, o := range m.servers {
			if o.State == decision.Ready && !o.unhealthy && !m.detached[o.ID] && m.forbids(r, o.Zone, o.Cell) == "" {
				m.violation("health", "send to %d, which fails its checks, while %d is healthy", to, o.ID)
				break
			}
		}
	}
	if why := m.loads.charge(m.config.Constraints, m.now, s.Backend, r.work); why != "" {
		m.violation("rule 4", "%s", why)
	}
	r.attempts = append(r.attempts, &modelAttempt{target: to, zone: s.Zone, cell: s.Cell, sent: m.now})
}

// charge enters work at a backend, and says if that is more than it can bear while it warms up.
func (b *backendLoads) charge(o decision.Constraints, now time.Duration, s decision.Backend, ms time.Duration) string {
	b.sent[s.ID] = append(b.sent[s.ID], workSent{now, ms})
	age := now - s.Started
	if s.Started == 0 || age >= o.WarmUp {
		return ""
	}
	sum := time.Duration(0)
	for _, w := range b.sent[s.ID] {
		if w.at >= s.Started && now-w.at < o.OverloadWindow {
			sum += w.ms
		}
	}
	share := o.InitialCapacity + (1-o.InitialCapacity)*float64(max(age, 0))/float64(o.WarmUp)
	budget := o.OverloadFactor*share*b.speed[s.ID]*float64(o.OverloadWindow) + float64(b.slack)
	if float64(sum) > budget {
		return fmt.Sprintf("%d got %v of work within %v, %v after its start; it bears %v", s.ID, sum,
			o.OverloadWindow, age, time.Duration(budget))
	}
	return ""
}

// final takes a rejection or a failure.
func (m *model) final(id decision.RequestID, rejected bool) {
	r := m.byID[id]
	if r == nil {
		m.violation("rule 1", "an answer to request %d, which nobody sent", id)
		return
	}
	if r.ended || r.streaming {
		m.violation("rule 1", "request %d gets a second answer", id)
	}
	c := m.config.Classes[r.Class]
	harmless := c.Idempotency == decision.Idempotent || c.Idempotency == decision.IdempotentByKey &&
		c.DeduplicationScope == decision.ScopeAll
	for n, t := range r.attempts {
		if rejected && !harmless && !neverRan(t) {
			m.violation("rule 2", "request %d is rejected though attempt %d may have run", id, n)
		}
	}
	r.ended = true
}

func (m *model) cancel(id decision.RequestID, n int) {
	if r := m.byID[id]; r == nil || n < 0 || n >= len(r.attempts) {
		m.violation("listed", "attempt %d of request %d is called off, and was never made", n, id)
	}
}

func (m *model) checkHealth(id decision.BackendID) {
	s := m.servers[id]
	switch {
	case m.drainGraceOnly:
	case s == nil || s.State != decision.Ready || m.detached[id]:
		m.violation("rule 3", "a check of %d, which is not listed as ready or is detached", id)
		return
	case s.checkInFlight:
		m.violation("health", "two checks of %d at once", id)
	case !m.config.Capabilities.HealthChecks:
		m.violation("listed", "a check where none is allowed")
	}
	if s != nil {
		s.checkInFlight = true
	}
}

// hopeless reports whether a request may have been sent nowhere any more for some ms, whatever lists will say: the
// proxy dispatches its queue now and then only.
func (m *model) hopeless(r *modelRequest) bool {
	if r.bodyConsumed {
		return true
	}
	then := *m
	then.now -= max(25*time.Millisecond, 3*m.config.Tick+time.Millisecond)
	for _, t := range r.attempts { // a keyed one may go where one went that may have run
		if then.forbids(r, t.zone, t.cell) == "" {
			return false
		}
	}
	return true
}

// check looks at all open requests once an event has been handled. known and excluded are what the proxy reports.
func (m *model) check(known, excluded int) {
	wantKnown, wantOut := 0, 0
	for id, s := range m.servers {
		if s.State != decision.Removed {
			wantKnown++
			if m.detached[id] || s.State == decision.Ready && s.unhealthy {
				wantOut++
			}
		}
	}
	if !m.drainGraceOnly && (known != wantKnown || excluded != wantOut) {
		m.violation("health", "%d servers known and %d avoided, should be %d and %d", known, excluded, wantKnown,
			wantOut)
	}
	m.checkDeadlines()
	for _, r := range m.open {
		if r.ended || r.streaming || r.reported {
			continue
		}
		out := slices.ContainsFunc(r.attempts, func(t *modelAttempt) bool { return !t.done })
		if out || len(r.attempts) == 0 {
			continue
		}
		if m.hopeless(r) {
			m.violation("parked", "request %d may be sent nowhere any more and has no answer", r.ID)
			r.reported = true
		}
	}
	m.forget()
}

// checkDeadlines looks for requests that had no answer in time.
func (m *model) checkDeadlines() {
	for _, r := range m.open {
		timed := !r.ended && !r.streaming && !r.reported && (!r.StreamedBody || r.bodyComplete)
		if timed && m.now > r.Deadline+m.config.Constraints.AnswerSlack {
			m.violation("rule 1", "request %d has no answer in time", r.ID)
			r.reported = true
		}
	}
}

func (m *model) forget() {
	m.open = slices.DeleteFunc(m.open, func(r *modelRequest) bool { return r.ended || r.reported })
}

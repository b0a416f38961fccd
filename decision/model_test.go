package decision_test

import (
	"fmt"
	"slices"
	"time"

	"lapisspread/decision"
)

// model is the four rules and the health of servers, as plainly as they can be said, for one proxy. It keeps what
// happened and looks through all of it each time. Of the module it uses the interface and no code.
type model struct {
	cfg     decision.Config
	now     time.Duration
	fleet   *books
	servers map[decision.BackendID]*server
	out     map[decision.BackendID]bool // by hand
	asks    []*asked
	byID    map[decision.RequestID]*asked
	broken  []string

	graceOnly bool // the rule alone is looked at, not the design, by which a server that is not ready leaves at once
}

// server is what this proxy was told of a server, and what probes said.
type server struct {
	decision.Backend
	notReady      time.Duration // since when it was told so, if it is not ready
	sick, probing bool
	passes, fails int // in a row
}

type asked struct {
	decision.Request
	work          time.Duration
	tries         []*try
	over, streams bool // over: it has its final answer
	whole, spent  bool
	complained    bool
}

type try struct {
	to         decision.BackendID
	zone, cell int
	sent       time.Duration
	over       bool
	result     decision.Result
}

// books is what all proxies together sent to each server since its last start, and what that can do.
type books struct {
	speed map[decision.BackendID]float64 // ms of work in a ms, once warm
	sent  map[decision.BackendID][]work
	slack time.Duration // for chance
}

type work struct{ at, ms time.Duration }

func newModel(cfg decision.Config, fleet *books) *model {
	return &model{cfg: cfg, fleet: fleet, servers: map[decision.BackendID]*server{}, out: map[decision.BackendID]bool{},
		byID: map[decision.RequestID]*asked{}}
}

func (m *model) breaks(rule, format string, args ...any) {
	m.broken = append(m.broken, rule+": "+fmt.Sprintf(format, args...))
}

// ---- what the proxy is told ----

func (m *model) list(l decision.EndpointUpdate) {
	if l.Kind == decision.UpdateFailed {
		return
	}
	leave := func(s *server) {
		if s.State == decision.Ready {
			s.notReady = m.now
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
			s = &server{notReady: m.now}
			m.servers[e.ID] = s
		}
		if e.State == decision.Removed {
			leave(s)
			continue
		}
		if s.State == decision.Removed { // it is new, or was away: a new target, well until probes say otherwise
			s.sick, s.passes, s.fails = false, 0, 0
		}
		if s.State == decision.Ready && e.State != decision.Ready {
			s.notReady = m.now
		}
		s.Backend = e
	}
}

func (m *model) probed(id decision.BackendID, r decision.Result) {
	s := m.servers[id]
	if s == nil || !s.probing { // nobody asked for this
		return
	}
	s.probing = false
	switch r {
	case decision.OK:
		s.passes, s.fails = s.passes+1, 0
	case decision.Timeout, decision.ConnectFailed, decision.Reset, decision.Error:
		s.passes, s.fails = 0, s.fails+1
	}
	if s.fails >= 2 {
		s.sick = true
	}
	if s.passes >= 2 {
		s.sick = false
	}
}

func (m *model) request(q decision.Request, ms time.Duration) {
	r := &asked{Request: q, work: ms}
	m.asks, m.byID[q.ID] = append(m.asks, r), r
}

// outcome notes how a try ended, the first time that it is said.
func (m *model) outcome(id decision.RequestID, n int, result decision.Result, spent bool) {
	r := m.byID[id]
	if r == nil || n >= len(r.tries) || r.tries[n].over {
		return
	}
	r.tries[n].over, r.tries[n].result = true, result
	r.spent = r.spent || spent
	if result == decision.OK || r.streams {
		r.over = true
	}
}

// ---- what it does ----

func neverRan(t *try) bool {
	return t.over && (t.result == decision.Rejected || t.result == decision.ConnectFailed || t.result == decision.NotSent)
}

// forbids says what the second rule has against sending a request (again) to a place, or nothing.
func (m *model) forbids(r *asked, zone, cell int) string {
	c := m.cfg.Classes[r.Class]
	for n, t := range r.tries {
		if !t.over && (!m.cfg.Capabilities.HedgedRequests || r.StreamedBody) {
			return "two attempts out"
		}
		if neverRan(t) || c.Idempotency == decision.Idempotent {
			continue
		}
		switch {
		case c.Idempotency == decision.NotIdempotent:
			return fmt.Sprintf("attempt %d may have run and may not be repeated", n)
		case c.DeduplicationScope == decision.ScopeZone && t.zone != zone, c.DeduplicationScope == decision.ScopeCell && t.cell != cell:
			return fmt.Sprintf("it leaves the group of attempt %d", n)
		case m.now-t.sent >= c.DeduplicationWindow:
			return fmt.Sprintf("the window of attempt %d is over", n)
		}
	}
	if len(r.tries) >= m.cfg.Capabilities.MaxAttempts {
		return "too many attempts"
	}
	return ""
}

func (m *model) send(id decision.RequestID, to decision.BackendID) {
	r, s := m.byID[id], m.servers[to]
	if r == nil || s == nil {
		m.breaks("listed", "request %d is sent to %d, one of them unknown", id, to)
		return
	}
	if r.over || r.streams {
		m.breaks("rule 1", "request %d is sent after its end", id)
	}
	if why := m.forbids(r, s.Zone, s.Cell); why != "" {
		m.breaks("rule 2", "request %d to %d: %s", id, to, why)
	}
	if away := m.now - s.notReady; s.State != decision.Ready && away > m.cfg.Constraints.DrainGrace {
		m.breaks("rule 3", "send to %d, %v after it was told to drain or gone", to, away)
	} else if s.State != decision.Ready && !m.graceOnly {
		m.breaks("listed", "send to %d, which is not listed as ready", to)
	}
	if m.out[to] {
		m.breaks("rule 3", "send to %d, which is out by hand", to)
	}
	if s.sick {
		for _, o := range m.servers {
			if o.State == decision.Ready && !o.sick && !m.out[o.ID] && m.forbids(r, o.Zone, o.Cell) == "" {
				m.breaks("health", "send to %d, which fails its probes, while %d is well", to, o.ID)
				break
			}
		}
	}
	if why := m.fleet.charge(m.cfg.Constraints, m.now, s.Backend, r.work); why != "" {
		m.breaks("rule 4", "%s", why)
	}
	r.tries = append(r.tries, &try{to: to, zone: s.Zone, cell: s.Cell, sent: m.now})
}

// charge enters work in the budget of a cold server, and says if that is more than its budget.
func (b *books) charge(o decision.Constraints, now time.Duration, s decision.Backend, ms time.Duration) string {
	b.sent[s.ID] = append(b.sent[s.ID], work{now, ms})
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
	if budget := o.OverloadFactor*share*b.speed[s.ID]*float64(o.OverloadWindow) + float64(b.slack); float64(sum) > budget {
		return fmt.Sprintf("%d got %v of work within %v, %v after its start; it bears %v", s.ID, sum, o.OverloadWindow, age, time.Duration(budget))
	}
	return ""
}

// final takes an answer that the proxy words itself.
func (m *model) final(id decision.RequestID, refused bool) {
	r := m.byID[id]
	if r == nil {
		m.breaks("rule 1", "an answer to request %d, which nobody sent", id)
		return
	}
	if r.over || r.streams {
		m.breaks("rule 1", "request %d gets a second answer", id)
	}
	c := m.cfg.Classes[r.Class]
	harmless := c.Idempotency == decision.Idempotent || c.Idempotency == decision.IdempotentByKey && c.DeduplicationScope == decision.ScopeAll
	for n, t := range r.tries {
		if refused && !harmless && !neverRan(t) {
			m.breaks("rule 2", "request %d is refused though attempt %d may have run", id, n)
		}
	}
	r.over = true
}

func (m *model) cancel(id decision.RequestID, n int) {
	if r := m.byID[id]; r == nil || n < 0 || n >= len(r.tries) {
		m.breaks("listed", "attempt %d of request %d is called off, and was never made", n, id)
	}
}

func (m *model) probe(id decision.BackendID) {
	s := m.servers[id]
	switch {
	case m.graceOnly:
	case s == nil || s.State != decision.Ready || m.out[id]:
		m.breaks("rule 3", "a probe of %d, which is not listed as ready or is out by hand", id)
		return
	case s.probing:
		m.breaks("health", "two probes of %d at once", id)
	case !m.cfg.Capabilities.HealthChecks:
		m.breaks("listed", "a probe where none is allowed")
	}
	if s != nil {
		s.probing = true
	}
}

// hopeless tells whether a request may be sent nowhere any more, whatever lists will say, and that for some ms: the
// proxy looks at what waits now and then only.
func (m *model) hopeless(r *asked) bool {
	if r.spent {
		return true
	}
	then := *m
	then.now -= max(25*time.Millisecond, 3*m.cfg.Tick+time.Millisecond)
	for _, t := range r.tries { // where one that may have run went is the only place for a keyed one
		if then.forbids(r, t.zone, t.cell) == "" {
			return false
		}
	}
	return true
}

// settled looks at all that is open once an event has been handled. known and excluded are what the proxy says.
func (m *model) settled(known, excluded int) {
	wantKnown, wantOut := 0, 0
	for id, s := range m.servers {
		if s.State != decision.Removed {
			wantKnown++
			if m.out[id] || s.State == decision.Ready && s.sick {
				wantOut++
			}
		}
	}
	if !m.graceOnly && (known != wantKnown || excluded != wantOut) {
		m.breaks("health", "%d servers known and %d avoided, should be %d and %d", known, excluded, wantKnown, wantOut)
	}
	m.late()
	for _, r := range m.asks {
		if r.over || r.streams || r.complained {
			continue
		}
		out := slices.ContainsFunc(r.tries, func(t *try) bool { return !t.over })
		if out || len(r.tries) == 0 {
			continue
		}
		if m.hopeless(r) {
			m.breaks("parked", "request %d may be sent nowhere any more and has no answer", r.ID)
			r.complained = true
		}
	}
	m.forget()
}

// late looks for requests whose time is up.
func (m *model) late() {
	for _, r := range m.asks {
		timed := !r.over && !r.streams && !r.complained && (!r.StreamedBody || r.whole)
		if timed && m.now > r.Deadline+m.cfg.Constraints.AnswerSlack {
			m.breaks("rule 1", "request %d has no answer in time", r.ID)
			r.complained = true
		}
	}
}

func (m *model) forget() {
	m.asks = slices.DeleteFunc(m.asks, func(r *asked) bool { return r.over || r.complained })
}

package decision_test

import (
	"fmt"
	"math"
	"slices"
	"time"

	"lapisspread/decision"
)

// proxy is the Host of a policy. It reports the events and the policy's actions to a model.
type proxy struct {
	*history
	model     *model
	policy    *policy
	listsSent int // endpoint updates reported to this proxy
}

// report reports an event first to the model and then to the policy, and checks the result with the model.
func (x *proxy) report(event string, toModel, toPolicy func()) {
	if event != "timer" {
		x.tracef("proxy %d: %s", slices.Index(x.proxies, x), event)
	}
	x.model.now = x.now
	toModel()
	toPolicy()
	x.model.check(x.policy.CountBackends())
	if len(x.violations) == 0 {
		x.violations = append(x.violations, x.model.violations...)
	}
}

// reportThenList calls report, sometimes followed by an endpoint update.
func (x *proxy) reportThenList(event string, toModel, toPolicy func()) {
	x.report(event, toModel, toPolicy)
	if x.random.IntN(8) == 0 {
		x.sendList()
	}
}

// sendList reports the current servers by a random kind of endpoint update.
func (x *proxy) sendList() {
	l := decision.EndpointUpdate{Version: math.MaxUint32 - 3 + uint32(x.listsSent)} // wraps around
	x.listsSent++
	all := x.backends()
	switch x.random.IntN(10) {
	case 0:
		l.Kind = decision.UpdateFailed
	case 1, 2, 3:
		l.Kind = []decision.UpdateKind{decision.UpdateFull, decision.UpdateCached}[x.random.IntN(2)]
		l.Backends = slices.DeleteFunc(all, func(e decision.Backend) bool { return e.State == decision.Removed })
	default:
		l.Kind, l.Backends = decision.UpdateDelta, all
		if len(all) > 0 {
			l.Backends = all[:1+x.random.IntN(len(all))]
		}
	}
	kind := [...]string{decision.UpdateDelta: "delta", decision.UpdateFull: "full", decision.UpdateCached: "cached",
		decision.UpdateFailed: "failed"}[l.Kind]
	x.report(fmt.Sprintf("%s endpoint update:%s", kind, describeBackends(l.Backends)),
		func() { x.model.endpoints(l) }, func() { x.policy.UpdateEndpoints(x.now, l) })
}

func (x *proxy) Send(id decision.RequestID, to decision.BackendID, until time.Duration) {
	x.tracef("  send request %d to backend %d until %v", id, to, until)
	x.model.send(id, to)
	r, s := x.model.byID[id], x.servers[to]
	if r == nil || s == nil || len(r.attempts) == 0 {
		return
	}
	n := len(r.attempts) - 1
	if until <= 0 || until > r.Deadline || r.StreamedBody {
		until = r.Deadline
	}
	latency := x.serve(s, r.work)
	result := s.result
	switch result {
	case decision.ConnectFailed:
		latency = x.config.Capabilities.ConnectTimeout
	case decision.Timeout:
		latency = math.MaxInt64 / 4
	case decision.Error, decision.Reset, decision.Rejected, decision.Cancelled, decision.NotSent:
		latency = time.Duration(x.random.IntN(3)) * 5 * milli
	}
	if x.oddEvents && x.random.IntN(20) == 0 {
		latency = 0
	}
	if r.StreamedBody && !r.bodyComplete { // sendRequest schedules the answer once the body is complete
		if result != decision.OK && result != decision.Timeout {
			x.schedule(latency, func() { x.endAttempt(id, n, result) })
		}
		return
	}
	x.scheduleEnd(r, n, result, latency, until)
}

// scheduleEnd schedules the end of attempt n after latency, or with a timeout at until if that is earlier.
func (x *proxy) scheduleEnd(r *modelRequest, n int, result decision.Result, latency, until time.Duration) {
	if x.now+latency >= until {
		latency, result = max(0, until-x.now), decision.Timeout
	}
	if result == decision.OK && (x.config.Classes[r.Class].StreamedResponse || x.random.IntN(20) == 0) {
		x.schedule(latency, func() { x.beginAnswer(r.ID, n) })
		return
	}
	x.schedule(latency, func() { x.endAttempt(r.ID, n, result) })
}

// serve queues work at a server, which processes one request after the other, and returns the time until the answer.
func (x *proxy) serve(s *backendServer, work time.Duration) time.Duration {
	if x.instantAnswers {
		return 0
	}
	speed := x.loads.speed[s.ID] / s.slowdown
	c := x.config.Constraints
	if age := x.now - s.Started; s.Started > 0 && age < c.WarmUp {
		speed *= c.InitialCapacity + (1-c.InitialCapacity)*float64(age)/float64(c.WarmUp)
	}
	s.busyUntil = max(s.busyUntil, x.now) + time.Duration(float64(work)/speed)
	return s.busyUntil - x.now + milli
}

// beginAnswer reports the first byte of the answer to attempt n, and schedules its end.
func (x *proxy) beginAnswer(id decision.RequestID, n int) {
	r := x.model.byID[id]
	if r.ended || r.streaming { // the request has its answer already
		x.endAttempt(id, n, decision.OK)
		return
	}
	if r.attempts[n].done {
		return
	}
	f := decision.FirstByte{ID: id, Attempt: n, Backend: r.attempts[n].target, Latency: x.now - r.attempts[n].sent}
	x.reportThenList(fmt.Sprintf("first byte for request %d, attempt %d", id, n),
		func() { r.streaming = true }, func() { x.policy.FirstByte(x.now, f) })
	x.schedule(time.Duration(x.random.IntN(500))*milli, func() {
		x.endAttempt(id, n, []decision.Result{decision.OK, decision.Reset}[x.random.IntN(2)])
	})
}

// endAttempt reports the outcome of attempt n. With oddEvents it sometimes reports another outcome of it later.
func (x *proxy) endAttempt(id decision.RequestID, n int, result decision.Result) {
	r := x.model.byID[id]
	t := r.attempts[n]
	if !t.done {
		bodyConsumed := r.StreamedBody && result != decision.OK && x.random.IntN(2) == 0
		o := decision.Outcome{ID: id, Attempt: n, Backend: t.target, Result: result, Latency: x.now - t.sent,
			BodyConsumed: bodyConsumed}
		if x.oddEvents && x.random.IntN(10) == 0 {
			o.Latency = []time.Duration{0, -time.Hour, math.MaxInt64, math.MinInt64}[x.random.IntN(4)]
		}
		x.reportThenList(fmt.Sprintf("outcome %s of request %d, attempt %d", resultName(result), id, n),
			func() { x.model.outcome(id, n, result, bodyConsumed) },
			func() { o.Final = r.ended; x.policy.Outcome(x.now, o) })
	}
	if !x.oddEvents || x.random.IntN(6) > 0 {
		return
	}
	x.schedule(time.Duration(x.random.IntN(2000))*milli, func() {
		o := decision.Outcome{ID: id, Attempt: n, Backend: t.target, Result: decision.Result(x.random.IntN(8)),
			Final: r.ended}
		x.reportThenList(fmt.Sprintf("second outcome %s of request %d, attempt %d", resultName(o.Result), id, n),
			func() {}, func() { x.policy.Outcome(x.now, o) })
	})
}

func (x *proxy) Reject(id decision.RequestID, after time.Duration) {
	x.tracef("  reject request %d", id)
	if after < 0 || after > x.config.Capabilities.MaxRetryAfter {
		x.model.violation(ruleInvalidAction, "request %d rejected with retryAfter %v, want 0 to %v", id, after,
			x.config.Capabilities.MaxRetryAfter)
	}
	x.model.final(id, true)
}

func (x *proxy) Fail(id decision.RequestID) {
	x.tracef("  fail request %d", id)
	x.model.final(id, false)
}

func (x *proxy) Cancel(id decision.RequestID, n int) {
	x.tracef("  cancel request %d, attempt %d", id, n)
	if x.model.cancel(id, n); len(x.model.violations) == 0 {
		x.schedule(0, func() { x.endAttempt(id, n, decision.Cancelled) })
	}
}

func (x *proxy) CheckHealth(id decision.BackendID) {
	x.tracef("  check health of backend %d", id)
	x.model.checkHealth(id)
	s := x.servers[id]
	if s == nil {
		return
	}
	latency := time.Duration(1+x.random.IntN(10)) * milli
	if s.result == decision.Timeout || s.result == decision.ConnectFailed {
		latency = x.config.Capabilities.ConnectTimeout
	}
	if x.anySettings {
		latency = min(latency, x.config.Capabilities.ConnectTimeout)
	}
	reportedLatency := latency
	if x.oddEvents && x.random.IntN(8) == 0 {
		reportedLatency = []time.Duration{0, -time.Hour, math.MaxInt64, math.MinInt64}[x.random.IntN(4)]
	}
	results := 1
	if x.oddEvents && x.random.IntN(6) == 0 {
		results = 2
	}
	for i := range results {
		x.schedule(latency+time.Duration(i*x.random.IntN(3000))*milli, func() {
			p := decision.HealthCheckResult{Backend: id, Result: s.result, Latency: reportedLatency}
			if i > 0 {
				p.Result = decision.Result(x.random.IntN(8))
			}
			x.reportThenList(fmt.Sprintf("health check of backend %d: %s", id, resultName(p.Result)),
				func() { x.model.healthChecked(id, p.Result) },
				func() { x.policy.HealthChecked(x.now, p) })
		})
	}
}

func (x *proxy) ReleaseIdleConnections(decision.BackendID) {}

func (x *proxy) SendToPeer(uint32, []byte) {}

func (x *proxy) Log(string) {}

func (x *proxy) FetchEndpoints() { x.WatchEndpoints(true) }

func (x *proxy) WatchEndpoints(bool) { x.schedule(20*milli, x.sendList) }

func (x *proxy) StartTimer(d time.Duration, token uint64) {
	d = max(d, milli)
	if tick := x.config.Tick; x.anySettings && tick > 0 { // timers end on multiples of a tick
		d = (x.now+d+tick-1)/tick*tick - x.now
	}
	x.schedule(d, func() { x.reportThenList("timer", func() {}, func() { x.policy.Timer(x.now, token) }) })
}

// sendRequest reports a random request. It schedules the end of the body of a streamed request, and for some other
// requests that the client leaves early.
func (x *proxy) sendRequest() {
	x.lastID++
	id, class := x.lastID, x.random.IntN(len(x.config.Classes))
	if _, used := x.model.byID[id]; used {
		return
	}
	work := time.Duration(10+x.random.IntN(40)) * x.meanWork / 30
	expectedWork := work
	if !x.workHints {
		expectedWork = 0
	}
	timeout := time.Duration(100+x.random.IntN(2900)) * milli
	if x.anySettings {
		if clientTimeout := x.config.Classes[class].ClientTimeout; x.allHealthy {
			timeout = clientTimeout
		} else {
			timeout = max(milli, timeout*time.Duration(clientTimeout/milli)/3000)
		}
	}
	q := decision.Request{ID: id, Class: class, Key: uint64(x.random.IntN(20)), ExpectedWork: expectedWork,
		Deadline: x.now + timeout, Tenant: x.random.IntN(4) - 1, StreamedBody: x.random.IntN(12) == 0}
	x.reportThenList(fmt.Sprintf("request %d class %d", id, class), func() { x.model.request(q, work) },
		func() { x.policy.Request(x.now, q) })
	r := x.model.byID[id]
	if q.StreamedBody {
		x.schedule(time.Duration(x.random.IntN(3000))*milli, func() {
			if !r.ended && !r.streaming {
				x.reportThenList(fmt.Sprintf("body of request %d complete", id),
					func() { r.bodyComplete, r.Deadline = true, x.now+timeout },
					func() { x.policy.BodyComplete(x.now, id, x.now+timeout) })
			}
			for n, t := range r.attempts {
				if !t.done {
					s := x.servers[t.target]
					x.scheduleEnd(r, n, s.result, x.serve(s, r.work), max(x.now, r.Deadline))
				}
			}
		})
	} else if x.random.IntN(40) == 0 {
		x.schedule(time.Duration(x.random.IntN(200))*milli, func() {
			if !r.ended && !r.streaming {
				x.reportThenList(fmt.Sprintf("client of request %d leaves", id), func() { r.ended = true },
					func() { x.policy.ClientGone(x.now, id) })
			}
		})
	}
}

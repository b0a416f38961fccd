package decision_test

import (
	"fmt"
	"math"
	"slices"
	"time"

	"lapisspread/decision"
)

// proxy is the Host of a policy, with a model beside it.
type proxy struct {
	*history
	model     *model
	policy    *policy
	listsSeen int // lists that were sent to this proxy
}

// report passes an event to a proxy and to its model, and checks what came of it.
func (x *proxy) report(what string, toModel, toPolicy func()) {
	if what != "timer" {
		x.note("proxy %d: %s", slices.Index(x.proxies, x), what)
	}
	x.model.now = x.now
	toModel()
	toPolicy()
	x.model.check(x.policy.CountBackends())
	if len(x.violations) == 0 {
		x.violations = append(x.violations, x.model.violations...)
	}
}

// reportThenList is report, now and then followed by another list.
func (x *proxy) reportThenList(what string, toModel, toPolicy func()) {
	x.report(what, toModel, toPolicy)
	if x.random.IntN(8) == 0 {
		x.sendList()
	}
}

// sendList sends the servers as they are now, in one of the kinds of update.
func (x *proxy) sendList() {
	l := decision.EndpointUpdate{Version: math.MaxUint32 - 3 + uint32(x.listsSeen)} // wraps
	x.listsSeen++
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
	x.report(fmt.Sprintf("list %d %s", l.Kind, describeBackends(l.Backends)), func() { x.model.endpoints(l) },
		func() { x.policy.UpdateEndpoints(x.now, l) })
}

func (x *proxy) Send(id decision.RequestID, to decision.BackendID, until time.Duration) {
	x.note("  send %d to %d until %v", id, to, until)
	x.model.send(id, to)
	r, s := x.model.byID[id], x.servers[to]
	if r == nil || s == nil || len(r.attempts) == 0 {
		return
	}
	n := len(r.attempts) - 1
	if until <= 0 || until > r.Deadline || r.StreamedBody {
		until = r.Deadline
	}
	took := x.serve(s, r.work)
	result := s.result
	switch result {
	case decision.ConnectFailed:
		took = x.config.Capabilities.ConnectTimeout
	case decision.Timeout:
		took = math.MaxInt64 / 4
	case decision.Error, decision.Reset, decision.Rejected, decision.Cancelled, decision.NotSent:
		took = time.Duration(x.random.IntN(3)) * 5 * milli
	}
	if x.oddEvents && x.random.IntN(20) == 0 {
		took = 0
	}
	if r.StreamedBody && !r.bodyComplete { // it goes on once the body is complete
		if result != decision.OK && result != decision.Timeout {
			x.schedule(took, func() { x.endAttempt(id, n, result) })
		}
		return
	}
	x.scheduleEnd(r, n, result, took, until)
}

// scheduleEnd ends an attempt after some time, or at its timeout.
func (x *proxy) scheduleEnd(r *modelRequest, n int, result decision.Result, took, until time.Duration) {
	if x.now+took >= until {
		took, result = max(0, until-x.now), decision.Timeout
	}
	if result == decision.OK && (x.config.Classes[r.Class].StreamedResponse || x.random.IntN(20) == 0) {
		x.schedule(took, func() { x.beginAnswer(r.ID, n) })
		return
	}
	x.schedule(took, func() { x.endAttempt(r.ID, n, result) })
}

// serve is how long a server takes for work that comes now; it works on one request after the other.
func (x *proxy) serve(s *backendServer, ms time.Duration) time.Duration {
	if x.instantAnswers {
		return 0
	}
	speed := x.loads.speed[s.ID] / s.slowdown
	o := x.config.Constraints
	if age := x.now - s.Started; s.Started > 0 && age < o.WarmUp {
		speed *= o.InitialCapacity + (1-o.InitialCapacity)*float64(age)/float64(o.WarmUp)
	}
	s.busyUntil = max(s.busyUntil, x.now) + time.Duration(float64(ms)/speed)
	return s.busyUntil - x.now + milli
}

func (x *proxy) beginAnswer(id decision.RequestID, n int) {
	r := x.model.byID[id]
	if r.ended || r.streaming { // its answer is not wanted any more
		x.endAttempt(id, n, decision.OK)
		return
	}
	if r.attempts[n].done {
		return
	}
	f := decision.FirstByte{ID: id, Attempt: n, Backend: r.attempts[n].target, Latency: x.now - r.attempts[n].sent}
	x.reportThenList(fmt.Sprintf("first byte of %d/%d", id, n), func() { r.streaming = true },
		func() { x.policy.FirstByte(x.now, f) })
	x.schedule(time.Duration(x.random.IntN(500))*milli, func() {
		x.endAttempt(id, n, []decision.Result{decision.OK, decision.Reset}[x.random.IntN(2)])
	})
}

// endAttempt reports an outcome, now and then once more later, or another one.
func (x *proxy) endAttempt(id decision.RequestID, n int, result decision.Result) {
	r := x.model.byID[id]
	t := r.attempts[n]
	if !t.done {
		spent := r.StreamedBody && result != decision.OK && x.random.IntN(2) == 0
		o := decision.Outcome{ID: id, Attempt: n, Backend: t.target, Result: result, Latency: x.now - t.sent,
			BodyConsumed: spent}
		if x.oddEvents && x.random.IntN(10) == 0 {
			o.Latency = []time.Duration{0, -time.Hour, math.MaxInt64, math.MinInt64}[x.random.IntN(4)]
		}
		x.reportThenList(fmt.Sprintf("outcome %d of %d/%d", result, id, n),
			func() { x.model.outcome(id, n, result, spent) },
			func() { o.Final = r.ended; x.policy.Outcome(x.now, o) })
	}
	if !x.oddEvents || x.random.IntN(6) > 0 {
		return
	}
	x.schedule(time.Duration(x.random.IntN(2000))*milli, func() {
		o := decision.Outcome{ID: id, Attempt: n, Backend: t.target, Result: decision.Result(x.random.IntN(8)),
			Final: r.ended}
		x.reportThenList(fmt.Sprintf("outcome %d of %d/%d again", o.Result, id, n), func() {},
			func() { x.policy.Outcome(x.now, o) })
	})
}

func (x *proxy) Reject(id decision.RequestID, after time.Duration) {
	x.note("  reject %d", id)
	if after < 0 || after > x.config.Capabilities.MaxRetryAfter {
		x.model.violation("listed", "request %d is to come again after %v", id, after)
	}
	x.model.final(id, true)
}

func (x *proxy) Fail(id decision.RequestID) {
	x.note("  fail %d", id)
	x.model.final(id, false)
}

func (x *proxy) Cancel(id decision.RequestID, n int) {
	x.note("  cancel %d/%d", id, n)
	if x.model.cancel(id, n); len(x.model.violations) == 0 {
		x.schedule(0, func() { x.endAttempt(id, n, decision.Cancelled) })
	}
}

func (x *proxy) CheckHealth(id decision.BackendID) {
	x.note("  check %d", id)
	x.model.checkHealth(id)
	s := x.servers[id]
	if s == nil {
		return
	}
	took := time.Duration(1+x.random.IntN(10)) * milli
	if s.result == decision.Timeout || s.result == decision.ConnectFailed {
		took = x.config.Capabilities.ConnectTimeout
	}
	if x.anySettings {
		took = min(took, x.config.Capabilities.ConnectTimeout)
	}
	reported := took
	if x.oddEvents && x.random.IntN(8) == 0 {
		reported = []time.Duration{0, -time.Hour, math.MaxInt64, math.MinInt64}[x.random.IntN(4)]
	}
	results := 1
	if x.oddEvents && x.random.IntN(6) == 0 {
		results = 2
	}
	for i := range results {
		x.schedule(took+time.Duration(i*x.random.IntN(3000))*milli, func() {
			p := decision.HealthCheckResult{Backend: id, Result: s.result, Latency: reported}
			if i > 0 {
				p.Result = decision.Result(x.random.IntN(8))
			}
			x.reportThenList(fmt.Sprintf("check of %d: %d", id, p.Result),
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

func (x *proxy) StartTimer(in time.Duration, token uint64) {
	in = max(in, milli)
	if tick := x.config.Tick; x.anySettings && tick > 0 { // as where time advances in ticks
		in = (x.now+in+tick-1)/tick*tick - x.now
	}
	x.schedule(in, func() { x.reportThenList("timer", func() {}, func() { x.policy.Timer(x.now, token) }) })
}

func (x *proxy) sendRequest() {
	x.lastID++
	id, class := x.lastID, x.random.IntN(len(x.config.Classes))
	if _, used := x.model.byID[id]; used {
		return
	}
	ms := time.Duration(10+x.random.IntN(40)) * x.meanWork / 30 // of work
	cost := ms
	if !x.workHints {
		cost = 0
	}
	give := time.Duration(100+x.random.IntN(2900)) * milli
	if x.anySettings {
		if most := x.config.Classes[class].ClientTimeout; x.allHealthy {
			give = most
		} else {
			give = max(milli, give*time.Duration(most/milli)/3000)
		}
	}
	q := decision.Request{ID: id, Class: class, Key: uint64(x.random.IntN(20)), ExpectedWork: cost,
		Deadline: x.now + give, Tenant: x.random.IntN(4) - 1, StreamedBody: x.random.IntN(12) == 0}
	x.reportThenList(fmt.Sprintf("request %d class %d", id, class), func() { x.model.request(q, ms) },
		func() { x.policy.Request(x.now, q) })
	r := x.model.byID[id]
	if q.StreamedBody {
		x.schedule(time.Duration(x.random.IntN(3000))*milli, func() {
			if !r.ended && !r.streaming {
				x.reportThenList(fmt.Sprintf("whole %d", id), func() { r.bodyComplete, r.Deadline = true, x.now+give },
					func() { x.policy.BodyComplete(x.now, id, x.now+give) })
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
				x.reportThenList(fmt.Sprintf("client of %d leaves", id), func() { r.ended = true },
					func() { x.policy.ClientGone(x.now, id) })
			}
		})
	}
}

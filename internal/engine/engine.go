package engine

import (
	"container/heap"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"runtime/debug"
	"slices"
	"sync"
	"time"

	"lapisspread/decision"
)

const (
	eventBuffer = 256
	// How long after a request's deadline the engine itself ends it, should the module not have.
	deadlineGrace = 5 * time.Millisecond
	// How soon a timer whose event failed comes again at the earliest.
	timerRetryDelay = 100 * time.Millisecond
	// How often the figures on the list are brought up to date.
	backendCountInterval = 100 * time.Millisecond
	// The span over which the proxies that are told to move to another discovery together do so. The old one
	// answers for a second and a half yet.
	sourceSwitchSpread = 500 * time.Millisecond
)

type inFlightAttempt struct {
	backend   decision.BackendID
	startedAt time.Duration
	ctx       context.Context
	stop      context.CancelCauseFunc
	timer     *time.Timer // its time-out; nil while its body is on its way

	result decision.Result
	ended  bool // and result is how it ended
}

// cancel ends the attempt, and what its time-out holds.
func (a *inFlightAttempt) cancel() {
	if a.timer != nil {
		a.timer.Stop()
	}
	a.stop(context.Canceled)
}

// setTimeout sets the attempt's time-out.
func (a *inFlightAttempt) setTimeout(d time.Duration) {
	a.timer = time.AfterFunc(d, func() { a.stop(context.DeadlineExceeded) })
}

// Engine is the one goroutine that calls the module. All state of requests is its own; everything else posts
// events to it.
type Engine struct {
	opts        Options
	clock       Clock
	log         *slog.Logger
	decider     module
	source      Source
	nextSource  Source // where it moves to soon, if not nil
	switchTimer *timer
	random      *rand.Rand
	detached    map[string]bool // backends that the module was told are out by hand

	events  chan func()
	done    chan struct{}
	workers sync.WaitGroup
	ctx     context.Context // of all that it starts

	timers           timerHeap
	timerSequence    uint64
	pendingTokens    map[uint64]int // timers that the module has set, by token
	deferred         []func()       // follow the event being handled
	requests         map[decision.RequestID]*Request
	lastRequestID    decision.RequestID
	listVersion      uint32        // of the list
	listKnown        bool          // it is from the source that is asked now, or from the start
	lastTurn         time.Duration // when the loop last came round
	stopWatch        context.CancelFunc
	watchGeneration  int // begun so far
	zoneNumbers      map[string]int
	kindNumbers      map[string]int
	readinessChecks  []*readinessCheck // wait for probes, or for a list whose servers can be probed
	currentReadiness *readinessCheck   // the one that the module is ordering probes for just now
}

// module is the decisions as the engine calls them.
type module interface {
	Start(now time.Duration)
	UpdateEndpoints(now time.Duration, m decision.EndpointUpdate)
	Request(now time.Duration, q decision.Request)
	Outcome(now time.Duration, o decision.Outcome)
	FirstByte(now time.Duration, f decision.FirstByte)
	BodyComplete(now time.Duration, id decision.RequestID, deadline time.Duration)
	HealthChecked(now time.Duration, p decision.HealthCheckResult)
	ClientGone(now time.Duration, id decision.RequestID)
	Timer(now time.Duration, token uint64)
	Detach(now time.Duration, id decision.BackendID)
	Attach(now time.Duration, id decision.BackendID)
	CheckHealthNow(now time.Duration)
	CountBackends() (known, excluded int)
	Snapshot(now time.Duration) decision.Snapshot
	Restore(now time.Duration, m decision.Snapshot)
}

// New makes an engine. An error names the setting of the module that makes no sense.
func New(opts Options) (*Engine, error) {
	opts.setDefaults()
	l := &Engine{opts: opts, clock: NewClock(), log: opts.Log, source: opts.Source, events: make(chan func(), eventBuffer),
		done: make(chan struct{}), listKnown: true, pendingTokens: map[uint64]int{}, requests: map[decision.RequestID]*Request{}, stopWatch: func() {},
		zoneNumbers: indexByName(opts.Zones), kindNumbers: indexByName(opts.Kinds), random: rand.New(rand.NewPCG(opts.Seed, 1))}
	m, err := decision.New(opts.Decision, opts.Seed, host{l})
	if err != nil {
		return nil, err
	}
	l.decider = m
	return l, nil
}

func indexByName(names []string) map[string]int {
	m := map[string]int{}
	for i, name := range names {
		m[name] = i
	}
	return m
}

// Clock is the time that deadlines go by.
func (l *Engine) Clock() Clock { return l.clock }

// Run handles events until ctx ends, and then waits for all that it has started.
func (l *Engine) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	l.ctx, l.lastTurn = ctx, l.clock.Now()
	wake := time.NewTimer(time.Hour)
	defer wake.Stop()
	l.handle(func() {
		l.decider.Start(l.clock.Now())
		if l.opts.Snapshot != nil {
			l.decider.Restore(l.clock.Now(), *l.opts.Snapshot)
		}
		l.applyDetached() // before the list, so that nothing is sent to a backend that is out
		l.applyEndpoints(l.opts.InitialEndpoints, decision.UpdateCached)
		if !l.opts.Decision.PolledDiscovery { // the module takes pushed lists as they come and asks for none
			host{l}.WatchEndpoints(true)
		}
		l.scheduleBackendCount()
	})
	for ctx.Err() == nil {
		l.refreshAfterStall()
		l.fireTimers()
		if len(l.timers) > 0 {
			wake.Reset(l.timers[0].due - l.clock.Now())
		}
		select { // orders go before all else
		case <-l.opts.DetachedChanged:
			l.handle(l.applyDetached)
		default:
		}
		select {
		case <-l.opts.DetachedChanged:
			l.refreshAfterStall()
			l.handle(l.applyDetached)
		case event := <-l.events:
			l.refreshAfterStall()
			l.handle(event)
		case <-wake.C:
		case <-ctx.Done():
		}
	}
	cancel()
	close(l.done)
	l.workers.Wait()
	l.source.Close()
	if l.nextSource != nil {
		l.nextSource.Close()
	}
}

// refreshAfterStall asks for the list before all else once the loop has stood still for long: the process was stopped, or had no
// processor. Danger: what its agent has counts as told all the while, and a request that has waited would go out before the news
// that waits beside it. It is asked for only where lists are pushed, which costs nothing, and waited for no longer than a call's
// rest; after that all goes on by the list that there is. The census has the loop come round in time.
func (l *Engine) refreshAfterStall() {
	now, m := l.clock.Now(), &l.opts.Decision
	stood := now - l.lastTurn
	l.lastTurn = now
	if m.PolledDiscovery || stood < max(m.Constraints.DrainGrace/2, 2*backendCountInterval) {
		return
	}
	type answer struct {
		list EndpointList
		err  error
	}
	asked, came := l.source, make(chan answer, 1)
	ctx, cancel := context.WithTimeout(l.ctx, m.MaxListBackoff())
	defer cancel()
	l.startWorker(func() {
		list, err := asked.Fetch(ctx)
		came <- answer{list, err}
	})
	var a answer
	select {
	case a = <-came:
	case <-ctx.Done():
		a.err = context.Cause(ctx)
	}
	switch {
	case a.err != nil:
		l.log.Warn("it stood still, and no list has come since", "for", stood, "err", a.err)
	case !l.listKnown || !a.list.OlderThan(l.listVersion):
		l.handle(func() { l.endpointsReceived(a.list) })
	}
	l.lastTurn = l.clock.Now()
}

// Post hands an event to the loop; after its end they are dropped.
func (l *Engine) Post(event func()) {
	select {
	case l.events <- event:
	case <-l.done:
	}
}

// Snapshot tells what the module has learned, unless the engine ends first.
func (l *Engine) Snapshot() (m decision.Snapshot, ok bool) {
	told := make(chan decision.Snapshot, 1)
	l.Post(func() { told <- l.decider.Snapshot(l.clock.Now()) })
	select {
	case m = <-told:
		return m, true
	case <-l.done:
		return m, false
	}
}

// handle runs an event and what follows from it. Danger: a panic in the decisions would take all requests
// in hand with it; so it ends that event alone, and its request at the latest at its deadline.
func (l *Engine) handle(event func()) {
	l.recoverPanic(event)
	for len(l.deferred) > 0 {
		next := l.deferred[0]
		l.deferred = l.deferred[1:]
		l.recoverPanic(next)
	}
}

func (l *Engine) recoverPanic(event func()) (ok bool) {
	defer func() {
		if v := recover(); v != nil {
			l.log.Error("an event failed", "panic", v, "stack", string(debug.Stack()))
		}
	}()
	event()
	return true
}

// startWorker runs work that may wait in a goroutine of its own.
func (l *Engine) startWorker(work func()) {
	l.workers.Add(1)
	go func() {
		defer l.workers.Done()
		work()
	}()
}

// ---- timers ----

type timer struct {
	due      time.Duration
	sequence uint64
	event    func()
	index    int // in the heap, -1 outside
}

type timerHeap []*timer

func (t timerHeap) Len() int { return len(t) }
func (t timerHeap) Less(i, j int) bool {
	return t[i].due < t[j].due || t[i].due == t[j].due && t[i].sequence < t[j].sequence
}
func (t timerHeap) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].index, t[j].index = i, j
}
func (t *timerHeap) Push(x any) {
	x.(*timer).index = len(*t)
	*t = append(*t, x.(*timer))
}
func (t *timerHeap) Pop() any {
	old := *t
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*t = old[:len(old)-1]
	last.index = -1
	return last
}

func (l *Engine) startTimerAt(when time.Duration, event func()) *timer {
	l.timerSequence++
	t := &timer{due: when, sequence: l.timerSequence, event: event}
	heap.Push(&l.timers, t)
	return t
}

// stopTimer takes a timer back, with all that its event holds.
func (l *Engine) stopTimer(t *timer) {
	if t != nil && t.index >= 0 {
		heap.Remove(&l.timers, t.index)
	}
}

// fireTimers runs the timers that are due; those that they set wait for the next round.
func (l *Engine) fireTimers() {
	now, newest := l.clock.Now(), l.timerSequence
	for len(l.timers) > 0 && l.timers[0].due <= now && l.timers[0].sequence <= newest {
		l.handle(heap.Pop(&l.timers).(*timer).event)
	}
}

// ---- requests ----

// Submit enters a request that a client has sent.
func (l *Engine) Submit(r *Request) {
	now := l.clock.Now()
	for {
		l.lastRequestID++
		if _, used := l.requests[l.lastRequestID]; !used {
			break
		}
	}
	r.id = l.lastRequestID
	l.requests[r.id] = r
	deadline := r.Deadline
	if r.Uploading() { // as if its last byte had come; Whole tells
		deadline = now + r.Timeout
	} else if now >= r.Deadline {
		l.complete(r, Result{Outcome: Failed, TimedOut: true})
		return
	} else {
		r.expiry = l.startTimerAt(r.Deadline+deadlineGrace, func() { l.expireRequest(r) })
	}
	l.decider.Request(now, decision.Request{ID: r.id, Class: r.Class, Tenant: r.Tenant, Key: r.Key, ExpectedWork: r.ExpectedWork,
		Deadline: deadline, MarkedRetry: r.MarkedRetry, StreamedBody: r.Uploading()})
}

// BodyComplete notes that the last byte of a streamed body has been read: the request's time counts from there.
func (l *Engine) BodyComplete(r *Request, at time.Duration) {
	if r.ended || !r.Uploading() {
		return
	}
	r.Deadline = at + r.Timeout
	r.expiry = l.startTimerAt(r.Deadline+deadlineGrace, func() { l.expireRequest(r) })
	now := l.clock.Now()
	for _, a := range r.attempts {
		if a.timer == nil {
			a.setTimeout(r.Deadline - now)
		}
	}
	l.decider.BodyComplete(now, r.id, r.Deadline)
}

// streamStarted takes a long answer that has begun: it is the final one.
func (l *Engine) streamStarted(r *Request, n int, d Stream) {
	if r.ended {
		l.log.Info("a long answer is not wanted any more", "attempt", n, "streaming", r.stream != nil)
		d.End(ErrAbandoned)
		return
	}
	a := r.attempts[n]
	r.stream = d
	l.complete(r, Result{Outcome: Served, Stream: d})
	now := l.clock.Now()
	l.decider.FirstByte(now, decision.FirstByte{ID: r.id, Attempt: n, Backend: a.backend, Latency: now - a.startedAt})
}

// expireRequest ends a request that is still open after its deadline: an answer is owed whatever went wrong.
func (l *Engine) expireRequest(r *Request) {
	if r.ended {
		return
	}
	l.log.Warn("a request was still open at its deadline", "attempts", len(r.attempts))
	l.complete(r, Result{Outcome: Failed, TimedOut: true})
	l.decider.ClientGone(l.clock.Now(), r.id)
}

// ClientGone notes that the client has left.
func (l *Engine) ClientGone(r *Request) {
	if r.stream != nil {
		r.stream.End(ErrAbandoned)
	}
	if r.ended || r.id == 0 {
		return
	}
	l.complete(r, Result{Outcome: Failed, ClientGone: true})
	l.decider.ClientGone(l.clock.Now(), r.id)
}

// complete gives the final answer, once.
func (l *Engine) complete(r *Request, a Result) {
	if r.ended {
		return
	}
	r.ended = true
	r.guard.close()
	a.MayHaveRun = r.mayHaveRun()
	r.result <- a
	l.stopTimer(r.expiry)
	l.release(r)
}

func (l *Engine) release(r *Request) {
	if r.ended && r.inFlight == 0 {
		delete(l.requests, r.id)
		r.Message = nil
	}
}

// attemptEnded takes the end of an attempt.
func (l *Engine) attemptEnded(r *Request, n int, result decision.Result, body any) {
	now, a := l.clock.Now(), r.attempts[n]
	a.cancel()
	a.result, a.ended = result, true
	r.guard.attemptEnded(n, result)
	r.inFlight--
	r.timedOut = result == decision.Timeout
	spent := result != decision.OK && r.Message != nil && r.Message.Consumed()
	if result == decision.OK {
		l.complete(r, Result{Outcome: Served, Response: body})
	}
	l.release(r)
	l.decider.Outcome(now, decision.Outcome{ID: r.id, Attempt: n, Backend: a.backend, Result: result,
		Latency: now - a.startedAt, Final: r.ended, BodyConsumed: spent})
}

// ---- the list ----

// applyEndpoints hands a list to the pool and to the module, in this order: what the module sends next goes by it.
func (l *Engine) applyEndpoints(list EndpointList, kind decision.UpdateKind) {
	l.listVersion = list.Version
	if kind != decision.UpdateDelta {
		list.Full = true
	}
	l.opts.Upstream.Update(list)
	l.opts.OnEndpoints(list)
	m := decision.EndpointUpdate{Kind: kind, Version: list.Version}
	for _, e := range list.Endpoints {
		l.log.Info("listed", "backend", BackendID(e.ID), "name", e.ID, "addr", e.Addr, "state", stateNames[e.State])
		m.Backends = append(m.Backends, decision.Backend{ID: BackendID(e.ID), Zone: l.indexOf(l.zoneNumbers, e.Zone),
			Kind: l.indexOf(l.kindNumbers, e.Kind), Cell: e.Cell, State: e.State, Weight: e.Weight, Started: e.Started})
	}
	l.decider.UpdateEndpoints(l.clock.Now(), m)
	for _, v := range l.readinessChecks {
		l.startReadinessCheck(v)
	}
}

var stateNames = map[decision.BackendState]string{decision.Ready: "ready", decision.Draining: "draining",
	decision.Removed: "gone"}

// indexOf is a name's place in the settings; names that these lack share the place after the last.
func (l *Engine) indexOf(of map[string]int, name string) int {
	if n, known := of[name]; known {
		return n
	}
	l.log.Warn("the settings name no such zone or kind of machine", "name", name)
	return len(of)
}

// endpointsReceived takes an answer of discovery. One that crosses a newer list is dropped.
func (l *Engine) endpointsReceived(list EndpointList) {
	switch {
	case list.Full:
		l.listKnown = true
		l.applyEndpoints(list, decision.UpdateFull)
	case !list.OlderThan(l.listVersion):
		l.applyEndpoints(list, decision.UpdateDelta)
	}
}

// SwitchSource turns to another discovery a little later. Danger: where a fleet's configurations are replaced together,
// all proxies would ask for the whole list in the same moment.
func (l *Engine) SwitchSource(d Source) {
	if l.nextSource != nil {
		l.nextSource.Close()
	}
	l.nextSource = d
	l.stopTimer(l.switchTimer)
	l.switchTimer = l.startTimerAt(l.clock.Now()+time.Duration(l.random.Int64N(int64(sourceSwitchSpread))), func() {
		l.nextSource = nil
		l.useSource(d)
	})
}

// Source is the discovery that is asked, or is going to be.
func (l *Engine) Source() Source {
	if l.nextSource != nil {
		return l.nextSource
	}
	return l.source
}

// useSource turns to another discovery. Backends, their health and all requests in hand live on; the old service's
// calls end, and what they may still bring counts no more. The new one's versions are its own, so it is asked
// for the whole list first.
func (l *Engine) useSource(d Source) {
	old := l.source
	l.log.Info("discovery has moved", "from", old.Addr(), "to", d.Addr())
	l.source, l.listKnown = d, false
	host{l}.WatchEndpoints(true)
	old.Close()
}

func (l *Engine) endpointsFailed(err error) {
	l.log.Warn("a call for the list failed", "err", err)
	l.decider.UpdateEndpoints(l.clock.Now(), decision.EndpointUpdate{Kind: decision.UpdateFailed})
}

// ---- the module's host ----

// host carries out the module's actions. None of its methods blocks, and what they cause comes as later events.
type host struct{ *Engine }

var _ decision.Host = host{}

// Send starts an attempt. What may not go out (any more) ends as Moot.
func (h host) Send(id decision.RequestID, to decision.BackendID, until time.Duration) {
	r := h.requests[id]
	if r == nil {
		h.log.Warn("an attempt for a request that is over")
		return
	}
	n, now := len(r.attempts), h.clock.Now()
	if r.Uploading() {
		until = now + r.Timeout // what is told to the backend; its time-out is set once the body is whole
	} else if until <= 0 || until > r.Deadline {
		until = r.Deadline
	}
	a := &inFlightAttempt{backend: to, startedAt: now}
	a.ctx, a.stop = context.WithCancelCause(h.ctx)
	r.attempts = append(r.attempts, a)
	r.inFlight++
	b := h.opts.Upstream.Find(to)
	if r.guard.isClosed() || b == nil || now >= until || n >= h.opts.Decision.Capabilities.MaxAttempts ||
		r.inFlight > 1 && !h.opts.Decision.Capabilities.HedgedRequests || n > 0 && !h.opts.AllowRetry() {
		h.deferred = append(h.deferred, func() { h.attemptEnded(r, n, decision.NotSent, nil) })
		return
	}
	if h.opts.Freshness != nil {
		if _, ok := h.opts.Freshness.CheckAttempt(to, r.Class); !ok {
			h.deferred = append(h.deferred, func() { h.attemptEnded(r, n, decision.NotSent, nil) })
			return
		}
	}
	var permit Permit
	if h.opts.Quota != nil {
		var ok bool
		if permit, ok = h.opts.Quota.Acquire(r.Class, r.Tenant, n == 0); !ok {
			h.deferred = append(h.deferred, func() { h.attemptEnded(r, n, decision.NotSent, nil) })
			return
		}
	}
	if !r.Uploading() {
		a.setTimeout(until - now)
	}
	window := retryWindow(h.opts.Decision.Classes[min(max(r.Class, 0), len(h.opts.Decision.Classes)-1)])
	may := func() (time.Time, bool) {
		by, ok := r.guard.begin(n, h.clock.Now(), window)
		if by == 0 {
			return time.Time{}, ok
		}
		return h.clock.Time(by), ok
	}
	t := Attempt{Message: r.Message, Timeout: until - now, LeaseToken: permit.Token, MaySend: may, StartStream: func(d Stream) bool {
		if a.ctx.Err() != nil {
			return false
		}
		h.Post(func() {
			if a.timer != nil {
				a.timer.Stop()
			}
			if a.ctx.Err() != nil { // its time ran out meanwhile
				h.log.Info("a long answer came too late", "cause", context.Cause(a.ctx), "uploading", r.Uploading())
				d.End(ErrAbandoned)
				return
			}
			h.streamStarted(r, n, d)
		})
		return true
	}}
	h.startWorker(func() {
		if h.opts.Quota != nil && h.opts.Quota.Expired(permit) {
			h.Post(func() { h.attemptEnded(r, n, decision.NotSent, nil) })
			return
		}
		var seen any
		if h.opts.Freshness != nil { // once more: the process may have been stopped since
			var ok bool
			if seen, ok = h.opts.Freshness.CheckAttempt(to, r.Class); !ok {
				h.Post(func() { h.attemptEnded(r, n, decision.NotSent, nil) })
				return
			}
		}
		result, body := b.Exchange(a.ctx, t)
		if h.opts.Freshness != nil {
			h.opts.Freshness.AttemptEnded(seen, result)
		}
		h.Post(func() { h.attemptEnded(r, n, result, body) })
	})
}

// Reject says that coming again is harmless, and when.
func (h host) Reject(id decision.RequestID, retryAfter time.Duration) {
	if r := h.requests[id]; r != nil {
		h.complete(r, Result{Outcome: Rejected, RetryAfter: retryAfter})
	}
}

// Fail promises nothing.
func (h host) Fail(id decision.RequestID) {
	if r := h.requests[id]; r != nil {
		h.complete(r, Result{Outcome: Failed, TimedOut: r.timedOut})
	}
}

// Cancel closes the attempt's connection; its outcome comes as an event.
func (h host) Cancel(id decision.RequestID, n int) {
	if r := h.requests[id]; r != nil && n >= 0 && n < len(r.attempts) {
		r.attempts[n].cancel()
	}
}

// CheckHealth checks a backend.
func (h host) CheckHealth(to decision.BackendID) {
	sent, b := h.clock.Now(), h.opts.Upstream.Find(to)
	v := h.currentReadiness
	if v != nil {
		v.checked, v.pending = v.checked+1, v.pending+1
	}
	report := func(result decision.Result) {
		now := h.clock.Now()
		h.decider.HealthChecked(now, decision.HealthCheckResult{Backend: to, Result: result, Latency: now - sent})
		if v != nil {
			h.readinessResult(v, result)
		}
	}
	if b == nil {
		h.deferred = append(h.deferred, func() { report(decision.NotSent) })
		return
	}
	h.startWorker(func() {
		var seen any
		if h.opts.Freshness != nil {
			seen, _ = h.opts.Freshness.CheckAttempt(to, -1)
		}
		result := b.CheckHealth(h.ctx)
		if h.opts.Freshness != nil {
			h.opts.Freshness.AttemptEnded(seen, result)
		}
		h.Post(func() { report(result) })
	})
}

// readinessCheck is a caller of Vet that waits.
type readinessCheck struct {
	started                  bool // it has its probes
	checked, pending, passed int
	done                     chan struct{}
}

// CheckReadiness has the module probe the servers that the first requests would go to, and waits until each has answered or
// failed, or ctx ends. Where no list has come yet it waits for that. It tells how many passed, of how many that were
// probed.
func (l *Engine) CheckReadiness(ctx context.Context) (passed, asked int) {
	v := &readinessCheck{done: make(chan struct{})}
	l.Post(func() {
		l.readinessChecks = append(l.readinessChecks, v)
		l.startReadinessCheck(v)
	})
	select {
	case <-v.done:
	case <-ctx.Done():
	case <-l.done:
	}
	answer := make(chan [2]int, 1)
	l.Post(func() {
		l.readinessChecks = slices.DeleteFunc(l.readinessChecks, func(o *readinessCheck) bool { return o == v })
		answer <- [2]int{v.passed, v.checked}
	})
	select {
	case n := <-answer:
		return n[0], n[1]
	case <-l.done:
		return 0, 0
	}
}

// startReadinessCheck begins a vetting, if there is anything to probe.
func (l *Engine) startReadinessCheck(v *readinessCheck) {
	if v.started {
		return
	}
	if known, _ := l.decider.CountBackends(); known == 0 {
		return
	}
	v.started, v.pending = true, 1 // for the call itself
	l.currentReadiness = v
	defer func() { // also where the module panics: else later probes would count for it
		l.currentReadiness = nil
		l.finishReadinessCheck(v)
	}()
	l.decider.CheckHealthNow(l.clock.Now())
}

// readinessResult counts a probe's result.
func (l *Engine) readinessResult(v *readinessCheck, result decision.Result) {
	if result == decision.OK {
		v.passed++
	}
	l.finishReadinessCheck(v)
}

func (l *Engine) finishReadinessCheck(v *readinessCheck) {
	if v.pending--; v.pending == 0 {
		close(v.done)
	}
}

// ReleaseIdleConnections closes a backend's idle connections.
func (h host) ReleaseIdleConnections(b decision.BackendID) {
	h.startWorker(func() { h.opts.Upstream.Release(b) })
}

// WatchEndpoints begins a watch in place of the one before, or ends it.
func (h host) WatchEndpoints(on bool) {
	h.stopWatch()
	h.watchGeneration++
	if !on {
		return
	}
	ctx, cancel := context.WithCancel(h.ctx)
	h.stopWatch = cancel
	known, from, mine := h.listKnown, h.listVersion, h.watchGeneration
	asked := h.source
	current := func(event func()) func() {
		return func() {
			if mine == h.watchGeneration {
				event()
			}
		}
	}
	h.startWorker(func() {
		defer cancel()
		tell := func(list EndpointList) { h.Post(current(func() { h.endpointsReceived(list) })) }
		var err error
		if !known {
			var list EndpointList
			if list, err = asked.Fetch(ctx); err == nil {
				from = list.Version
				tell(list)
			}
		}
		if err == nil {
			err = asked.Watch(ctx, from, tell)
		}
		if ctx.Err() == nil {
			h.Post(current(func() { h.endpointsFailed(err) }))
		}
	})
}

// FetchEndpoints asks once for the whole list.
func (h host) FetchEndpoints() {
	asked := h.source
	h.startWorker(func() {
		list, err := asked.Fetch(h.ctx)
		h.Post(func() {
			switch {
			case asked != h.source: // a late answer of one that is asked no more
			case err != nil:
				h.endpointsFailed(err)
			case !h.listKnown || !list.OlderThan(h.listVersion):
				h.endpointsReceived(list)
			}
		})
	})
}

// SendToPeer does nothing: the module has nothing to say to other proxies.
func (h host) SendToPeer(uint32, []byte) {}

// StartTimer sets a timer. It is due in a later event, never in this one.
//
// Danger: a panic in a timer's event would lose what the module does by it again and again: its look at
// health, or at what waits. So if the module had not set that timer anew by then, it comes again.
func (h host) StartTimer(d time.Duration, token uint64) {
	h.pendingTokens[token]++
	h.startTimerAt(h.clock.Now()+max(d, 0), func() {
		if h.pendingTokens[token]--; h.pendingTokens[token] == 0 {
			delete(h.pendingTokens, token)
		}
		before := h.pendingTokens[token]
		if !h.recoverPanic(func() { h.decider.Timer(h.clock.Now(), token) }) && h.pendingTokens[token] <= before {
			h.StartTimer(max(d, timerRetryDelay), token)
		}
	})
}

// Log writes a line of the module's.
func (h host) Log(line string) { h.log.Info(fmt.Sprintf("module: %s", line)) }

// ---- orders by hand ----

// applyDetached brings the module to the orders as they are written down.
func (l *Engine) applyDetached() {
	now := l.clock.Now()
	out := map[string]bool{}
	for _, name := range l.opts.Detached() {
		out[name] = true
		if !l.detached[name] {
			l.decider.Detach(now, BackendID(name))
		}
	}
	for name := range l.detached {
		if !out[name] {
			l.decider.Attach(now, BackendID(name))
		}
	}
	l.detached = out
	l.reportBackendCount()
}

// reportBackendCount publishes what the module says of the list.
func (l *Engine) reportBackendCount() { l.opts.OnBackendCount(l.decider.CountBackends()) }

// scheduleBackendCount publishes it now and then: health changes without a word.
func (l *Engine) scheduleBackendCount() {
	l.reportBackendCount()
	l.startTimerAt(l.clock.Now()+backendCountInterval, l.scheduleBackendCount)
}

// ErrAbandoned says that nobody wants an answer any more.
var ErrAbandoned = errors.New("nobody wants the answer any more")

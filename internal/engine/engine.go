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
	backstop = 5 * time.Millisecond
	// How soon a timer whose event failed comes again at the earliest.
	timerAgain = 100 * time.Millisecond
	// How often the figures on the list are brought up to date.
	censusEvery = 100 * time.Millisecond
	// The span over which the proxies that are told to move to another discovery together do so. The old one
	// answers for a second and a half yet.
	moveSpread = 500 * time.Millisecond
)

type attempt struct {
	to    decision.BackendID
	sent  time.Duration
	ctx   context.Context
	give  context.CancelCauseFunc
	timer *time.Timer // its time-out; nil while its body is on its way

	result decision.Result
	over   bool // and result is how it ended
}

// cancel ends the attempt, and what its time-out holds.
func (a *attempt) cancel() {
	if a.timer != nil {
		a.timer.Stop()
	}
	a.give(context.Canceled)
}

// limit sets the attempt's time-out.
func (a *attempt) limit(d time.Duration) {
	a.timer = time.AfterFunc(d, func() { a.give(context.DeadlineExceeded) })
}

// Engine is the one goroutine that calls the module. All state of requests is its own; everything else posts
// events to it.
type Engine struct {
	opts   Options
	clock  Clock
	log    *slog.Logger
	module module
	source Source
	next   Source // where it moves to soon, if not nil
	move   *timer
	rng    *rand.Rand
	out    map[string]bool // backends that the module was told are out by hand

	events  chan func()
	done    chan struct{}
	workers sync.WaitGroup
	ctx     context.Context // of all that it starts

	timers    timers
	timerSeq  uint64
	set       map[uint64]int // timers that the module has set, by token
	deferred  []func()       // follow the event being handled
	requests  map[decision.RequestID]*Exchange
	lastID    decision.RequestID
	version   uint32        // of the list
	listKnown bool          // it is from the source that is asked now, or from the start
	turned    time.Duration // when the loop last came round
	stopWatch context.CancelFunc
	watches   int // begun so far
	zones     map[string]int
	kinds     map[string]int
	vetting   []*vetting // wait for probes, or for a list whose servers can be probed
	asking    *vetting   // the one that the module is ordering probes for just now
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
	opts.fill()
	l := &Engine{opts: opts, clock: NewClock(), log: opts.Log, source: opts.Source, events: make(chan func(), eventBuffer),
		done: make(chan struct{}), listKnown: true, set: map[uint64]int{}, requests: map[decision.RequestID]*Exchange{}, stopWatch: func() {},
		zones: numbers(opts.Zones), kinds: numbers(opts.Kinds), rng: rand.New(rand.NewPCG(opts.Seed, 1))}
	m, err := decision.New(opts.Module, opts.Seed, host{l})
	if err != nil {
		return nil, err
	}
	l.module = m
	return l, nil
}

func numbers(names []string) map[string]int {
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
	l.ctx, l.turned = ctx, l.clock.Now()
	wake := time.NewTimer(time.Hour)
	defer wake.Stop()
	l.handle(func() {
		l.module.Start(l.clock.Now())
		if l.opts.Recall != nil {
			l.module.Restore(l.clock.Now(), *l.opts.Recall)
		}
		l.obey() // before the list, so that nothing is sent to a backend that is out
		l.list(l.opts.Known, decision.UpdateCached)
		if !l.opts.Module.PolledDiscovery { // the module takes pushed lists as they come and asks for none
			host{l}.WatchEndpoints(true)
		}
		l.watchCensus()
	})
	for ctx.Err() == nil {
		l.catchUp()
		l.fire()
		if len(l.timers) > 0 {
			wake.Reset(l.timers[0].at - l.clock.Now())
		}
		select { // orders go before all else
		case <-l.opts.Wake:
			l.handle(l.obey)
		default:
		}
		select {
		case <-l.opts.Wake:
			l.catchUp()
			l.handle(l.obey)
		case event := <-l.events:
			l.catchUp()
			l.handle(event)
		case <-wake.C:
		case <-ctx.Done():
		}
	}
	cancel()
	close(l.done)
	l.workers.Wait()
	l.source.Close()
	if l.next != nil {
		l.next.Close()
	}
}

// catchUp asks for the list before all else once the loop has stood still for long: the process was stopped, or had no
// processor. Danger: what its agent has counts as told all the while, and a request that has waited would go out before the news
// that waits beside it. It is asked for only where lists are pushed, which costs nothing, and waited for no longer than a call's
// rest; after that all goes on by the list that there is. The census has the loop come round in time.
func (l *Engine) catchUp() {
	now, m := l.clock.Now(), &l.opts.Module
	stood := now - l.turned
	l.turned = now
	if m.PolledDiscovery || stood < max(m.Constraints.DrainGrace/2, 2*censusEvery) {
		return
	}
	type answer struct {
		list List
		err  error
	}
	asked, came := l.source, make(chan answer, 1)
	ctx, cancel := context.WithTimeout(l.ctx, m.MaxListBackoff())
	defer cancel()
	l.start(func() {
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
	case !l.listKnown || !a.list.Past(l.version):
		l.handle(func() { l.listed(a.list) })
	}
	l.turned = l.clock.Now()
}

// Post hands an event to the loop; after its end they are dropped.
func (l *Engine) Post(event func()) {
	select {
	case l.events <- event:
	case <-l.done:
	}
}

// Remember tells what the module has learned, unless the engine ends first.
func (l *Engine) Remember() (m decision.Snapshot, ok bool) {
	told := make(chan decision.Snapshot, 1)
	l.Post(func() { told <- l.module.Snapshot(l.clock.Now()) })
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
	l.guard(event)
	for len(l.deferred) > 0 {
		next := l.deferred[0]
		l.deferred = l.deferred[1:]
		l.guard(next)
	}
}

func (l *Engine) guard(event func()) (ok bool) {
	defer func() {
		if v := recover(); v != nil {
			l.log.Error("an event failed", "panic", v, "stack", string(debug.Stack()))
		}
	}()
	event()
	return true
}

// start runs work that may wait in a goroutine of its own.
func (l *Engine) start(work func()) {
	l.workers.Add(1)
	go func() {
		defer l.workers.Done()
		work()
	}()
}

// ---- timers ----

type timer struct {
	at    time.Duration
	seq   uint64
	event func()
	place int // in the heap, -1 outside
}

type timers []*timer

func (t timers) Len() int { return len(t) }
func (t timers) Less(i, j int) bool {
	return t[i].at < t[j].at || t[i].at == t[j].at && t[i].seq < t[j].seq
}
func (t timers) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].place, t[j].place = i, j
}
func (t *timers) Push(x any) {
	x.(*timer).place = len(*t)
	*t = append(*t, x.(*timer))
}
func (t *timers) Pop() any {
	old := *t
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*t = old[:len(old)-1]
	last.place = -1
	return last
}

func (l *Engine) at(when time.Duration, event func()) *timer {
	l.timerSeq++
	t := &timer{at: when, seq: l.timerSeq, event: event}
	heap.Push(&l.timers, t)
	return t
}

// drop takes a timer back, with all that its event holds.
func (l *Engine) drop(t *timer) {
	if t != nil && t.place >= 0 {
		heap.Remove(&l.timers, t.place)
	}
}

// fire runs the timers that are due; those that they set wait for the next round.
func (l *Engine) fire() {
	now, newest := l.clock.Now(), l.timerSeq
	for len(l.timers) > 0 && l.timers[0].at <= now && l.timers[0].seq <= newest {
		l.handle(heap.Pop(&l.timers).(*timer).event)
	}
}

// ---- requests ----

// Take enters a request that a client has sent.
func (l *Engine) Take(r *Exchange) {
	now := l.clock.Now()
	for {
		l.lastID++
		if _, used := l.requests[l.lastID]; !used {
			break
		}
	}
	r.id = l.lastID
	l.requests[r.id] = r
	deadline := r.Deadline
	if r.Uploading() { // as if its last byte had come; Whole tells
		deadline = now + r.Timeout
	} else if now >= r.Deadline {
		l.end(r, Result{End: Failed, TimedOut: true})
		return
	} else {
		r.expiry = l.at(r.Deadline+backstop, func() { l.expire(r) })
	}
	l.module.Request(now, decision.Request{ID: r.id, Class: r.Class, Tenant: r.Tenant, Key: r.Key, ExpectedWork: r.Cost,
		Deadline: deadline, MarkedRetry: r.Repeat, StreamedBody: r.Uploading()})
}

// Whole notes that the last byte of a streamed body has been read: the request's time counts from there.
func (l *Engine) Whole(r *Exchange, at time.Duration) {
	if r.ended || !r.Uploading() {
		return
	}
	r.Deadline = at + r.Timeout
	r.expiry = l.at(r.Deadline+backstop, func() { l.expire(r) })
	now := l.clock.Now()
	for _, a := range r.attempts {
		if a.timer == nil {
			a.limit(r.Deadline - now)
		}
	}
	l.module.BodyComplete(now, r.id, r.Deadline)
}

// firstByte takes a long answer that has begun: it is the final one.
func (l *Engine) firstByte(r *Exchange, n int, d Stream) {
	if r.ended {
		l.log.Info("a long answer is not wanted any more", "attempt", n, "streaming", r.stream != nil)
		d.End(ErrGone)
		return
	}
	a := r.attempts[n]
	r.stream = d
	l.end(r, Result{End: Served, Stream: d})
	now := l.clock.Now()
	l.module.FirstByte(now, decision.FirstByte{ID: r.id, Attempt: n, Backend: a.to, Latency: now - a.sent})
}

// expire ends a request that is still open after its deadline: an answer is owed whatever went wrong.
func (l *Engine) expire(r *Exchange) {
	if r.ended {
		return
	}
	l.log.Warn("a request was still open at its deadline", "attempts", len(r.attempts))
	l.end(r, Result{End: Failed, TimedOut: true})
	l.module.ClientGone(l.clock.Now(), r.id)
}

// Gone notes that the client has left.
func (l *Engine) Gone(r *Exchange) {
	if r.stream != nil {
		r.stream.End(ErrGone)
	}
	if r.ended || r.id == 0 {
		return
	}
	l.end(r, Result{End: Failed, Gone: true})
	l.module.ClientGone(l.clock.Now(), r.id)
}

// end gives the final answer, once.
func (l *Engine) end(r *Exchange, a Result) {
	if r.ended {
		return
	}
	r.ended = true
	r.sends.end()
	a.MayHaveRun = r.mayHaveRun()
	r.result <- a
	l.drop(r.expiry)
	l.forget(r)
}

func (l *Engine) forget(r *Exchange) {
	if r.ended && r.out == 0 {
		delete(l.requests, r.id)
		r.Message = nil
	}
}

// outcome takes the end of an attempt.
func (l *Engine) outcome(r *Exchange, n int, result decision.Result, body any) {
	now, a := l.clock.Now(), r.attempts[n]
	a.cancel()
	a.result, a.over = result, true
	r.sends.ended(n, result)
	r.out--
	r.timedOut = result == decision.Timeout
	spent := result != decision.OK && r.Message != nil && r.Message.Spent()
	if result == decision.OK {
		l.end(r, Result{End: Served, Answer: body})
	}
	l.forget(r)
	l.module.Outcome(now, decision.Outcome{ID: r.id, Attempt: n, Backend: a.to, Result: result,
		Latency: now - a.sent, Final: r.ended, BodyConsumed: spent})
}

// ---- the list ----

// list hands a list to the pool and to the module, in this order: what the module sends next goes by it.
func (l *Engine) list(list List, kind decision.UpdateKind) {
	l.version = list.Version
	if kind != decision.UpdateDelta {
		list.Full = true
	}
	l.opts.Upstream.Update(list)
	l.opts.Listed(list)
	m := decision.EndpointUpdate{Kind: kind, Version: list.Version}
	for _, e := range list.Members {
		l.log.Info("listed", "backend", BackendID(e.ID), "name", e.ID, "addr", e.Addr, "state", stateNames[e.State])
		m.Backends = append(m.Backends, decision.Backend{ID: BackendID(e.ID), Zone: l.number(l.zones, e.Zone),
			Kind: l.number(l.kinds, e.Kind), Cell: e.Cell, State: e.State, Weight: e.Weight, Started: e.Started})
	}
	l.module.UpdateEndpoints(l.clock.Now(), m)
	for _, v := range l.vetting {
		l.vet(v)
	}
}

var stateNames = map[decision.BackendState]string{decision.Ready: "ready", decision.Draining: "draining",
	decision.Removed: "gone"}

// number is a name's place in the settings; names that these lack share the place after the last.
func (l *Engine) number(of map[string]int, name string) int {
	if n, known := of[name]; known {
		return n
	}
	l.log.Warn("the settings name no such zone or kind of machine", "name", name)
	return len(of)
}

// listed takes an answer of discovery. One that crosses a newer list is dropped.
func (l *Engine) listed(list List) {
	switch {
	case list.Full:
		l.listKnown = true
		l.list(list, decision.UpdateFull)
	case !list.Past(l.version):
		l.list(list, decision.UpdateDelta)
	}
}

// MoveTo turns to another discovery a little later. Danger: where a fleet's configurations are replaced together,
// all proxies would ask for the whole list in the same moment.
func (l *Engine) MoveTo(d Source) {
	if l.next != nil {
		l.next.Close()
	}
	l.next = d
	l.drop(l.move)
	l.move = l.at(l.clock.Now()+time.Duration(l.rng.Int64N(int64(moveSpread))), func() {
		l.next = nil
		l.ask(d)
	})
}

// Source is the discovery that is asked, or is going to be.
func (l *Engine) Source() Source {
	if l.next != nil {
		return l.next
	}
	return l.source
}

// ask turns to another discovery. Backends, their health and all requests in hand live on; the old service's
// calls end, and what they may still bring counts no more. The new one's versions are its own, so it is asked
// for the whole list first.
func (l *Engine) ask(d Source) {
	old := l.source
	l.log.Info("discovery has moved", "from", old.Addr(), "to", d.Addr())
	l.source, l.listKnown = d, false
	host{l}.WatchEndpoints(true)
	old.Close()
}

func (l *Engine) listFailed(err error) {
	l.log.Warn("a call for the list failed", "err", err)
	l.module.UpdateEndpoints(l.clock.Now(), decision.EndpointUpdate{Kind: decision.UpdateFailed})
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
	a := &attempt{to: to, sent: now}
	a.ctx, a.give = context.WithCancelCause(h.ctx)
	r.attempts = append(r.attempts, a)
	r.out++
	b := h.opts.Upstream.Find(to)
	if r.sends.isOver() || b == nil || now >= until || n >= h.opts.Module.Capabilities.MaxAttempts ||
		r.out > 1 && !h.opts.Module.Capabilities.HedgedRequests || n > 0 && !h.opts.Repeat() {
		h.deferred = append(h.deferred, func() { h.outcome(r, n, decision.NotSent, nil) })
		return
	}
	if h.opts.View != nil {
		if _, ok := h.opts.View.Look(to, r.Class); !ok {
			h.deferred = append(h.deferred, func() { h.outcome(r, n, decision.NotSent, nil) })
			return
		}
	}
	var permit Permit
	if h.opts.Budget != nil {
		var ok bool
		if permit, ok = h.opts.Budget.Draw(r.Class, r.Tenant, n == 0); !ok {
			h.deferred = append(h.deferred, func() { h.outcome(r, n, decision.NotSent, nil) })
			return
		}
	}
	if !r.Uploading() {
		a.limit(until - now)
	}
	window := repeats(h.opts.Module.Classes[min(max(r.Class, 0), len(h.opts.Module.Classes)-1)])
	may := func() (time.Time, bool) {
		by, ok := r.sends.begin(n, h.clock.Now(), window)
		if by == 0 {
			return time.Time{}, ok
		}
		return h.clock.Time(by), ok
	}
	t := Attempt{Message: r.Message, Timeout: until - now, Token: permit.Token, May: may, Begin: func(d Stream) bool {
		if a.ctx.Err() != nil {
			return false
		}
		h.Post(func() {
			if a.timer != nil {
				a.timer.Stop()
			}
			if a.ctx.Err() != nil { // its time ran out meanwhile
				h.log.Info("a long answer came too late", "cause", context.Cause(a.ctx), "uploading", r.Uploading())
				d.End(ErrGone)
				return
			}
			h.firstByte(r, n, d)
		})
		return true
	}}
	h.start(func() {
		if h.opts.Budget != nil && h.opts.Budget.Over(permit) {
			h.Post(func() { h.outcome(r, n, decision.NotSent, nil) })
			return
		}
		var seen any
		if h.opts.View != nil { // once more: the process may have been stopped since
			var ok bool
			if seen, ok = h.opts.View.Look(to, r.Class); !ok {
				h.Post(func() { h.outcome(r, n, decision.NotSent, nil) })
				return
			}
		}
		result, body := b.Exchange(a.ctx, t)
		if h.opts.View != nil {
			h.opts.View.Ended(seen, result)
		}
		h.Post(func() { h.outcome(r, n, result, body) })
	})
}

// Reject says that coming again is harmless, and when.
func (h host) Reject(id decision.RequestID, retryAfter time.Duration) {
	if r := h.requests[id]; r != nil {
		h.end(r, Result{End: Refused, RetryAfter: retryAfter})
	}
}

// Fail promises nothing.
func (h host) Fail(id decision.RequestID) {
	if r := h.requests[id]; r != nil {
		h.end(r, Result{End: Failed, TimedOut: r.timedOut})
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
	v := h.asking
	if v != nil {
		v.asked, v.open = v.asked+1, v.open+1
	}
	report := func(result decision.Result) {
		now := h.clock.Now()
		h.module.HealthChecked(now, decision.HealthCheckResult{Backend: to, Result: result, Latency: now - sent})
		if v != nil {
			h.vetted(v, result)
		}
	}
	if b == nil {
		h.deferred = append(h.deferred, func() { report(decision.NotSent) })
		return
	}
	h.start(func() {
		var seen any
		if h.opts.View != nil {
			seen, _ = h.opts.View.Look(to, -1)
		}
		result := b.Probe(h.ctx)
		if h.opts.View != nil {
			h.opts.View.Ended(seen, result)
		}
		h.Post(func() { report(result) })
	})
}

// vetting is a caller of Vet that waits.
type vetting struct {
	begun               bool // it has its probes
	asked, open, passed int
	done                chan struct{}
}

// Vet has the module probe the servers that the first requests would go to, and waits until each has answered or
// failed, or ctx ends. Where no list has come yet it waits for that. It tells how many passed, of how many that were
// probed.
func (l *Engine) Vet(ctx context.Context) (passed, asked int) {
	v := &vetting{done: make(chan struct{})}
	l.Post(func() {
		l.vetting = append(l.vetting, v)
		l.vet(v)
	})
	select {
	case <-v.done:
	case <-ctx.Done():
	case <-l.done:
	}
	answer := make(chan [2]int, 1)
	l.Post(func() {
		l.vetting = slices.DeleteFunc(l.vetting, func(o *vetting) bool { return o == v })
		answer <- [2]int{v.passed, v.asked}
	})
	select {
	case n := <-answer:
		return n[0], n[1]
	case <-l.done:
		return 0, 0
	}
}

// vet begins a vetting, if there is anything to probe.
func (l *Engine) vet(v *vetting) {
	if v.begun {
		return
	}
	if known, _ := l.module.CountBackends(); known == 0 {
		return
	}
	v.begun, v.open = true, 1 // for the call itself
	l.asking = v
	defer func() { // also where the module panics: else later probes would count for it
		l.asking = nil
		l.vettingLanded(v)
	}()
	l.module.CheckHealthNow(l.clock.Now())
}

// vetted counts a probe's result.
func (l *Engine) vetted(v *vetting, result decision.Result) {
	if result == decision.OK {
		v.passed++
	}
	l.vettingLanded(v)
}

func (l *Engine) vettingLanded(v *vetting) {
	if v.open--; v.open == 0 {
		close(v.done)
	}
}

// ReleaseIdleConnections closes a backend's idle connections.
func (h host) ReleaseIdleConnections(b decision.BackendID) {
	h.start(func() { h.opts.Upstream.Release(b) })
}

// WatchEndpoints begins a watch in place of the one before, or ends it.
func (h host) WatchEndpoints(on bool) {
	h.stopWatch()
	h.watches++
	if !on {
		return
	}
	ctx, cancel := context.WithCancel(h.ctx)
	h.stopWatch = cancel
	known, from, mine := h.listKnown, h.version, h.watches
	asked := h.source
	current := func(event func()) func() {
		return func() {
			if mine == h.watches {
				event()
			}
		}
	}
	h.start(func() {
		defer cancel()
		tell := func(list List) { h.Post(current(func() { h.listed(list) })) }
		var err error
		if !known {
			var list List
			if list, err = asked.Fetch(ctx); err == nil {
				from = list.Version
				tell(list)
			}
		}
		if err == nil {
			err = asked.Watch(ctx, from, tell)
		}
		if ctx.Err() == nil {
			h.Post(current(func() { h.listFailed(err) }))
		}
	})
}

// FetchEndpoints asks once for the whole list.
func (h host) FetchEndpoints() {
	asked := h.source
	h.start(func() {
		list, err := asked.Fetch(h.ctx)
		h.Post(func() {
			switch {
			case asked != h.source: // a late answer of one that is asked no more
			case err != nil:
				h.listFailed(err)
			case !h.listKnown || !list.Past(h.version):
				h.listed(list)
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
	h.set[token]++
	h.at(h.clock.Now()+max(d, 0), func() {
		if h.set[token]--; h.set[token] == 0 {
			delete(h.set, token)
		}
		before := h.set[token]
		if !h.guard(func() { h.module.Timer(h.clock.Now(), token) }) && h.set[token] <= before {
			h.StartTimer(max(d, timerAgain), token)
		}
	})
}

// Log writes a line of the module's.
func (h host) Log(line string) { h.log.Info(fmt.Sprintf("module: %s", line)) }

// ---- orders by hand ----

// obey brings the module to the orders as they are written down.
func (l *Engine) obey() {
	now := l.clock.Now()
	out := map[string]bool{}
	for _, name := range l.opts.Out() {
		out[name] = true
		if !l.out[name] {
			l.module.Detach(now, BackendID(name))
		}
	}
	for name := range l.out {
		if !out[name] {
			l.module.Attach(now, BackendID(name))
		}
	}
	l.out = out
	l.census()
}

// census publishes what the module says of the list.
func (l *Engine) census() { l.opts.Census(l.module.CountBackends()) }

// watchCensus publishes it now and then: health changes without a word.
func (l *Engine) watchCensus() {
	l.census()
	l.at(l.clock.Now()+censusEvery, l.watchCensus)
}

// ErrGone says that nobody wants an answer any more.
var ErrGone = errors.New("nobody wants the answer any more")

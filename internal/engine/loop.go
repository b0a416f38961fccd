package engine

import (
	"context"
	"runtime/debug"
	"time"

	"lapisspread/decision"
)

// idleWake is how long the loop sleeps while no timer is set.
const idleWake = time.Hour

// Run handles events until ctx ends, and returns once all that it has started has ended. It is called once.
func (e *Engine) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	e.ctx = ctx
	e.lastTurn = e.clock.Now()
	e.handle(e.begin)
	wake := time.NewTimer(idleWake)
	defer wake.Stop()
	for ctx.Err() == nil {
		e.turn(ctx, wake)
	}
	cancel()
	close(e.done)
	e.workers.Wait()
	e.source.Close()
	if e.nextSource != nil {
		e.nextSource.Close()
	}
}

// begin is the loop's first event.
func (e *Engine) begin() {
	e.decider.Start(e.clock.Now())
	if e.opts.Snapshot != nil {
		e.decider.Restore(e.clock.Now(), *e.opts.Snapshot)
	}
	e.applyDetached() // before the list, so that nothing is sent to a detached backend
	e.applyEndpoints(e.opts.InitialEndpoints, decision.UpdateCached)
	if !e.opts.Decision.PolledDiscovery { // pushed lists need no action of the decision module
		host{e}.WatchEndpoints(true)
	}
	e.scheduleBackendCount()
}

// turn fires the timers that are due and handles at most one event. It blocks until there is one, a timer is due or
// ctx ends.
func (e *Engine) turn(ctx context.Context, wake *time.Timer) {
	e.refreshAfterStall()
	e.fireTimers()
	if len(e.timers) > 0 {
		wake.Reset(e.timers[0].due - e.clock.Now())
	}
	select { // an operator's order goes before all else
	case <-e.opts.DetachedChanged:
		e.handle(e.applyDetached)
	default:
	}
	select {
	case <-e.opts.DetachedChanged:
		e.refreshAfterStall()
		e.handle(e.applyDetached)
	case event := <-e.events:
		e.refreshAfterStall()
		e.handle(event)
	case <-wake.C:
	case <-ctx.Done():
	}
}

// handle runs an event and the events that it defers.
func (e *Engine) handle(event func()) {
	e.recoverPanic(event)
	for len(e.deferred) > 0 {
		next := e.deferred[0]
		e.deferred = e.deferred[1:]
		e.recoverPanic(next)
	}
}

// recoverPanic runs an event and reports whether it returned. It keeps a panic in the decisions from ending all
// requests in flight: the request concerned ends at its deadline at the latest.
func (e *Engine) recoverPanic(event func()) (ok bool) {
	defer func() {
		if v := recover(); v != nil {
			e.log.Error("event handler panicked", "panic", v, "stack", string(debug.Stack()))
		}
	}()
	event()
	return true
}

// startWorker runs work that may block in a goroutine of its own, which Run waits for.
func (e *Engine) startWorker(work func()) { e.workers.Go(work) }

// refreshAfterStall fetches the endpoint list once the loop has stood still for long, because the process was stopped
// or had no processor. It keeps a request that has waited from going out before the drain notice that waits beside it.
//
// The list is fetched only where lists are pushed, since a poll has a price, and waited for no longer than
// MaxListBackoff; then the loop goes on with the list that it has. It stops the loop while it waits.
func (e *Engine) refreshAfterStall() {
	now := e.clock.Now()
	stall := now - e.lastTurn
	e.lastTurn = now
	config := &e.opts.Decision
	// The timer of scheduleBackendCount has an idle loop come round well within this.
	if config.PolledDiscovery || stall < max(config.Constraints.DrainGrace/2, 2*backendCountInterval) {
		return
	}
	list, err := e.fetchWithin(config.MaxListBackoff())
	switch {
	case err != nil:
		e.log.Warn("no endpoint list came after a stall of the event loop", "stall", stall, "err", err)
	case !e.listKnown || !list.OlderThan(e.listVersion):
		e.handle(func() { e.endpointsReceived(list) })
	}
	e.lastTurn = e.clock.Now()
}

// fetchWithin fetches the list and blocks until it is there, at most for timeout, whatever the source does.
func (e *Engine) fetchWithin(timeout time.Duration) (EndpointList, error) {
	type response struct {
		list EndpointList
		err  error
	}
	ctx, cancel := context.WithTimeout(e.ctx, timeout)
	defer cancel()
	source := e.source
	received := make(chan response, 1)
	e.startWorker(func() {
		list, err := source.Fetch(ctx)
		received <- response{list, err}
	})
	select {
	case r := <-received:
		return r.list, r.err
	case <-ctx.Done():
		return EndpointList{}, context.Cause(ctx)
	}
}

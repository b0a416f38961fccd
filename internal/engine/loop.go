package engine

import (
	"context"
	"runtime/debug"
	"time"

	"lapisspread/decision"
)

// maxIdleSleep is how long the loop sleeps while no timer is set.
const maxIdleSleep = time.Hour

// Run handles events until ctx ends, and returns once all workers that it has started have ended. It must be called
// only once.
func (e *Engine) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	e.ctx = ctx
	e.lastStallCheck = e.clock.Now()
	e.handle(e.startUp)
	wake := time.NewTimer(maxIdleSleep)
	defer wake.Stop()
	for ctx.Err() == nil {
		e.runOnce(ctx, wake)
	}
	cancel()
	close(e.done)
	e.workers.Wait()
	e.source.Close()
	if e.nextSource != nil {
		e.nextSource.Close()
	}
}

// startUp is the first event that the loop handles.
func (e *Engine) startUp() {
	e.decider.Start(e.clock.Now())
	if e.opts.Snapshot != nil {
		e.decider.Restore(e.clock.Now(), *e.opts.Snapshot)
	}
	e.applyDetached() // before the list, so that nothing is sent to a detached backend
	e.applyEndpoints(e.opts.InitialEndpoints, decision.UpdateCached)
	if !e.opts.Decision.PolledDiscovery { // pushed lists are watched without an action of the decision module
		host{e}.WatchEndpoints(true)
	}
	e.scheduleBackendCount()
}

// runOnce is one iteration of the loop: it fires the timers that are due and handles at most one posted event. It
// blocks until an event arrives, a timer is due or ctx ends.
func (e *Engine) runOnce(ctx context.Context, wake *time.Timer) {
	e.refreshAfterStall()
	e.fireTimers()
	if len(e.timers) > 0 {
		wake.Reset(e.timers[0].due - e.clock.Now())
	}
	select { // an operator's detach or attach is handled before any other event
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

// recoverPanic runs an event and reports whether it returned without a panic. It keeps a panic in the decision module
// from ending all requests in flight; the request that caused the panic ends at its deadline at the latest.
func (e *Engine) recoverPanic(event func()) (ok bool) {
	defer func() {
		if v := recover(); v != nil {
			e.log.Error("event handler panicked", "panic", v, "stack", string(debug.Stack()))
		}
	}()
	event()
	return true
}

// startWorker runs work that may block in a new goroutine. Run waits for the goroutine before it returns.
func (e *Engine) startWorker(work func()) { e.workers.Go(work) }

// refreshAfterStall fetches the endpoint list if the loop has not run for a long time, because the process was stopped
// or got no CPU time. Otherwise a request that arrived during the stall could be sent to a backend before the loop
// handles the drain notice for that backend, which arrived during the stall too.
//
// The list is fetched only if lists are pushed, since each poll has a cost. The call blocks the loop until the list has
// arrived, for at most MaxListBackoff; after that the loop continues with the list that it has.
func (e *Engine) refreshAfterStall() {
	now := e.clock.Now()
	stall := now - e.lastStallCheck
	e.lastStallCheck = now
	config := &e.opts.Decision
	// Also an idle loop runs at least once within this time, because of the timer of scheduleBackendCount.
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
	e.lastStallCheck = e.clock.Now()
}

// fetchWithin fetches the list. It blocks until the list has arrived or for timeout, even if the source ignores the
// context.
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

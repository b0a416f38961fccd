package engine

import "time"

// backendCountInterval is the interval at which the counts of backends are published.
const backendCountInterval = 100 * time.Millisecond

// applyDetached passes to the decision module the backends that an operator has detached or attached since the last
// call.
func (e *Engine) applyDetached() {
	now := e.clock.Now()
	detached := map[string]bool{}
	for _, name := range e.opts.Detached() {
		detached[name] = true
		if !e.detached[name] {
			e.decider.Detach(now, BackendID(name))
		}
	}
	for name := range e.detached {
		if !detached[name] {
			e.decider.Attach(now, BackendID(name))
		}
	}
	e.detached = detached
	e.reportBackendCount()
}

// reportBackendCount publishes how many backends are listed and how many of them are excluded from traffic.
func (e *Engine) reportBackendCount() { e.opts.OnBackendCount(e.decider.CountBackends()) }

// scheduleBackendCount publishes the counts now and then once per backendCountInterval, because the health of a backend
// can change without an event.
func (e *Engine) scheduleBackendCount() {
	e.reportBackendCount()
	e.startTimerAt(e.clock.Now()+backendCountInterval, e.scheduleBackendCount)
}

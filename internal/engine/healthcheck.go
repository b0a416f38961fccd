package engine

import (
	"context"

	"lapisspread/decision"
)

// CheckHealth starts a health check of a backend. For an unknown backend the result is decision.NotSent.
func (h host) CheckHealth(id decision.BackendID) {
	startedAt := h.clock.Now()
	backend := h.opts.Upstream.Find(id)
	check := h.currentReadiness
	if check != nil {
		check.checked++
		check.pending++
	}
	report := func(result decision.Result) {
		now := h.clock.Now()
		h.decider.HealthChecked(now, decision.HealthCheckResult{Backend: id, Result: result, Latency: now - startedAt})
		if check != nil {
			check.addResult(result)
		}
	}
	if backend == nil {
		h.deferred = append(h.deferred, func() { report(decision.NotSent) })
		return
	}
	h.startWorker(func() {
		result := h.checkHealth(h.ctx, id, backend)
		h.Post(func() { report(result) })
	})
}

// checkHealth carries out a health check and blocks until the check has ended.
func (e *Engine) checkHealth(ctx context.Context, id decision.BackendID, backend Backend) decision.Result {
	if e.opts.Freshness == nil {
		return backend.CheckHealth(ctx)
	}
	check, _ := e.opts.Freshness.CheckAttempt(id, healthCheckClass) // ok is ignored: a health check is always allowed
	result := backend.CheckHealth(ctx)
	e.opts.Freshness.AttemptEnded(check, result)
	return result
}

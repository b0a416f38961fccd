package engine

import (
	"context"
	"slices"

	"lapisspread/decision"
)

// readinessCheck is the state of one call of CheckReadiness.
type readinessCheck struct {
	started bool
	checked int           // number of health checks that were started
	passed  int           // number of health checks that have succeeded
	pending int           // number of health checks that have not ended, plus 1 while they are being started
	done    chan struct{} // closed when pending drops to 0
}

// addResult counts the result of one health check.
func (c *readinessCheck) addResult(result decision.Result) {
	if result == decision.OK {
		c.passed++
	}
	c.decrementPending()
}

// decrementPending subtracts 1 from pending and closes done when no health check is pending.
func (c *readinessCheck) decrementPending() {
	c.pending--
	if c.pending == 0 {
		close(c.done)
	}
}

// CheckReadiness makes the decision module check the health of the backends that the first requests would go to. It
// returns how many of these checks have passed so far and how many were started. It blocks until all of them have ended
// or until ctx ends; if there is no endpoint list yet, it first waits for one. Once the loop has ended it returns 0, 0.
// Any goroutine except the loop's own may call it: in the loop's goroutine the call would be a deadlock.
func (e *Engine) CheckReadiness(ctx context.Context) (passed, checked int) {
	check := &readinessCheck{done: make(chan struct{})}
	e.Post(func() {
		e.readinessChecks = append(e.readinessChecks, check)
		e.startReadinessCheck(check)
	})
	select {
	case <-check.done:
	case <-ctx.Done():
	case <-e.done:
	}
	removed := make(chan struct{})
	e.Post(func() {
		isCheck := func(other *readinessCheck) bool { return other == check }
		e.readinessChecks = slices.DeleteFunc(e.readinessChecks, isCheck)
		passed = check.passed
		checked = check.checked
		close(removed)
	})
	select {
	case <-removed:
		return passed, checked
	case <-e.done:
		return 0, 0
	}
}

// startReadinessCheck starts the health checks of a readiness check, unless they were started or there are no backends.
func (e *Engine) startReadinessCheck(check *readinessCheck) {
	if check.started {
		return
	}
	if known, _ := e.decider.CountBackends(); known == 0 {
		return
	}
	check.started = true
	check.pending = 1 // keeps done open until all health checks are started
	e.currentReadiness = check
	defer func() { // deferred, so that after a panic of the decision module later health checks are not counted here
		e.currentReadiness = nil
		check.decrementPending()
	}()
	e.decider.CheckHealthNow(e.clock.Now())
}

package engine

import (
	"context"
	"slices"

	"lapisspread/decision"
)

// readinessCheck is a call of CheckReadiness that waits for its health checks.
type readinessCheck struct {
	started bool
	checked int           // health checks that were started
	passed  int           // of these, how many have succeeded
	pending int           // of these, how many have not ended; one more while they are being started
	done    chan struct{} // closed when none is pending
}

// add counts the result of one health check.
func (c *readinessCheck) add(result decision.Result) {
	if result == decision.OK {
		c.passed++
	}
	c.end()
}

// end counts one pending health check less.
func (c *readinessCheck) end() {
	c.pending--
	if c.pending == 0 {
		close(c.done)
	}
}

// CheckReadiness has the decision module check the health of the backends that the first requests would go to, and
// returns how many of these checks have passed so far, of how many that were started. It blocks until each has passed
// or failed, or until ctx ends; before a list has come it waits for that. Once the loop has ended it returns 0, 0. Any
// goroutine but the loop's own may call it, which would wait for itself.
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
		isThis := func(other *readinessCheck) bool { return other == check }
		e.readinessChecks = slices.DeleteFunc(e.readinessChecks, isThis)
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

// startReadinessCheck starts the health checks, once there are backends to check.
func (e *Engine) startReadinessCheck(check *readinessCheck) {
	if check.started {
		return
	}
	if known, _ := e.decider.CountBackends(); known == 0 {
		return
	}
	check.started = true
	check.pending = 1 // for this call
	e.currentReadiness = check
	defer func() { // a panic of the decision module must not have later health checks counted for this one
		e.currentReadiness = nil
		check.end()
	}()
	e.decider.CheckHealthNow(e.clock.Now())
}

// Package supervisor runs work in a supervised goroutine. The work of a Task is started again if it returns, panics or
// gets stuck.
package supervisor

import (
	"context"
	"runtime/debug"
	"sync/atomic"
	"time"
)

const (
	// StuckAfter is the time without a heartbeat after which a task counts as stuck.
	StuckAfter = 8 * time.Second
	// MaxStuck is the maximum number of stuck goroutines of a task in addition to the running one. If more are stuck,
	// the task is started again only after one of them has ended.
	MaxStuck = 3
	// restartDelay is the pause before work that has returned or panicked is started again.
	restartDelay = 100 * time.Millisecond
	// stuckPollInterval is the interval at which the number of stuck goroutines is checked while it exceeds MaxStuck.
	stuckPollInterval = time.Second
	// checkInterval is the interval at which the heartbeat is checked.
	checkInterval = StuckAfter / 8
	// staleChecks is the number of consecutive checks that must find the heartbeat too old before the task counts as
	// stuck. One is not enough: if the whole process was stopped for a while, the first check may run before the task
	// could send a heartbeat.
	staleChecks = 2
)

// Task is work that Run supervises. All fields must be set before Run and must not change afterwards.
type Task struct {
	// Clock returns the time of a monotonic clock.
	Clock func() time.Duration
	// OnStart is called before each start of Work. It returns the generation that is passed to that call of Work.
	OnStart func() uint64
	// Work runs until ctx ends. It must call Heartbeat more often than once per StuckAfter.
	Work func(ctx context.Context, generation uint64)
	// OnPanic is called with the value and the stack of a panic in Work, on the goroutine of Work.
	OnPanic func(cause any, stack []byte)
	// OnStuck is called when Work is stuck; since is the time since the last heartbeat. After the call the context of
	// Work ends, and Work is started again in another goroutine.
	OnStuck func(since time.Duration)
	// ShutdownGrace is how long Run waits for Work to return after ctx has ended.
	ShutdownGrace time.Duration

	lastHeartbeat atomic.Int64 // time by Clock, in nanoseconds
}

// Heartbeat records that the work makes progress. Any goroutine may call it.
func (t *Task) Heartbeat() { t.lastHeartbeat.Store(int64(t.Clock())) }

// Run starts Work, and starts it again whenever it ends or is stuck, until ctx ends. It blocks until then, and
// afterwards at most ShutdownGrace until Work has returned.
func (t *Task) Run(ctx context.Context) {
	var running atomic.Int64 // goroutines of Work that have not ended, including stuck ones
	for ctx.Err() == nil {
		workCtx, cancel := context.WithCancel(ctx)
		generation := t.OnStart()
		t.Heartbeat()
		done := make(chan struct{})
		running.Add(1)
		go func() {
			defer close(done)
			defer running.Add(-1)
			t.runWork(workCtx, generation)
		}()
		stuck := t.watch(ctx, done)
		cancel()
		for stuck && running.Load() > MaxStuck && ctx.Err() == nil {
			Sleep(ctx, stuckPollInterval)
		}
		if !stuck {
			Sleep(ctx, restartDelay)
		}
	}
}

// runWork calls Work, recovers from a panic, and reports it to OnPanic.
func (t *Task) runWork(ctx context.Context, generation uint64) {
	defer func() {
		if cause := recover(); cause != nil {
			t.OnPanic(cause, debug.Stack())
		}
	}()
	t.Work(ctx, generation)
}

// watch blocks until Work has ended or is stuck. After ctx has ended it blocks until Work has ended, at most
// ShutdownGrace. It reports whether Work is stuck.
func (t *Task) watch(ctx context.Context, done <-chan struct{}) (stuck bool) {
	checks := time.NewTicker(checkInterval)
	defer checks.Stop()
	stale := 0
	for {
		select {
		case <-done:
			return false
		case <-ctx.Done():
			t.awaitShutdown(done)
			return false
		case <-checks.C:
			since := t.Clock() - time.Duration(t.lastHeartbeat.Load())
			if since <= StuckAfter {
				stale = 0
				continue
			}
			stale++
			if stale >= staleChecks {
				t.OnStuck(since)
				return true
			}
		}
	}
}

// awaitShutdown blocks until done is closed, at most ShutdownGrace.
func (t *Task) awaitShutdown(done <-chan struct{}) {
	grace := time.NewTimer(t.ShutdownGrace)
	defer grace.Stop()
	select {
	case <-done:
	case <-grace.C:
	}
}

// Sleep blocks for d, or until ctx ends.
func Sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Package supervisor runs work in a supervised goroutine: a Task that has ended, panicked or is stuck is started again.
package supervisor

import (
	"context"
	"runtime/debug"
	"sync/atomic"
	"time"
)

const (
	// StuckAfter is how long a task may go without a heartbeat.
	StuckAfter = 8 * time.Second
	// MaxStuck is how many goroutines of a task may be stuck before another one is started only as they end.
	MaxStuck = 3
	// restartDelay is the pause before a task that has ended is started again.
	restartDelay = 100 * time.Millisecond
	// stuckPollInterval is how often the number of stuck goroutines is looked at while there are too many.
	stuckPollInterval = time.Second
	// checkInterval is how often the heartbeat is checked.
	checkInterval = StuckAfter / 8
	// staleChecks is at how many checks in a row the heartbeat must be too old: at a single one the whole process may
	// have been stopped, and the task has had no turn yet.
	staleChecks = 2
)

// Task is one piece of work. All fields must be set before Run and not change after.
type Task struct {
	// Clock returns a time that never goes back.
	Clock func() time.Duration
	// OnStart is called before each start; what it returns identifies that start.
	OnStart func() uint64
	// Work does the work until ctx ends, and calls Heartbeat more often than every StuckAfter.
	Work func(ctx context.Context, generation uint64)
	// OnPanic is called with the panic that has ended Work, in its goroutine.
	OnPanic func(cause any, stack []byte)
	// OnStuck is called when Work has had no heartbeat for a time. Its context ends then, and it is started again.
	OnStuck func(since time.Duration)
	// ShutdownGrace is how long Work may take to return after ctx has ended.
	ShutdownGrace time.Duration

	lastHeartbeat atomic.Int64 // by Clock, in nanoseconds
}

// Heartbeat says that the work goes on. Any goroutine may call it.
func (t *Task) Heartbeat() { t.lastHeartbeat.Store(int64(t.Clock())) }

// Run has the work done, again and again, until ctx ends. It blocks until then, and for ShutdownGrace at most after.
func (t *Task) Run(ctx context.Context) {
	var running atomic.Int64
	for ctx.Err() == nil {
		workCtx, cancel := context.WithCancel(ctx)
		generation := t.OnStart()
		t.Heartbeat()
		done := make(chan struct{})
		running.Add(1)
		go func() {
			defer close(done)
			defer running.Add(-1)
			t.workRecovering(workCtx, generation)
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

// workRecovering does the work and reports a panic.
func (t *Task) workRecovering(ctx context.Context, generation uint64) {
	defer func() {
		if cause := recover(); cause != nil {
			t.OnPanic(cause, debug.Stack())
		}
	}()
	t.Work(ctx, generation)
}

// watch blocks until the work has ended, is stuck, or ctx has ended and it had its ShutdownGrace.
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

func (t *Task) awaitShutdown(done <-chan struct{}) {
	grace := time.NewTimer(t.ShutdownGrace)
	defer grace.Stop()
	select {
	case <-done:
	case <-grace.C:
	}
}

// Sleep waits for a time, or until ctx ends.
func Sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

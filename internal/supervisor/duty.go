// Package supervisor has work done in a goroutine that is watched: one that died or is stuck is begun anew.
package supervisor

import (
	"context"
	"runtime/debug"
	"sync/atomic"
	"time"
)

// StuckAfter is for how long a duty may be without a beat. MostStuck is how many that were given up may be alive before
// another one is begun only as they end: each holds a goroutine.
const (
	StuckAfter   = 8 * time.Second
	MaxStuck     = 3
	restartDelay = 100 * time.Millisecond // before one that ended is begun anew
)

// Task is one piece of work. All fields are set before Run.
type Task struct {
	Clock         func() time.Duration                         // only goes forward
	OnStart       func() uint64                                // called before each; what it gives tells this one from those before
	Work          func(ctx context.Context, generation uint64) // beats until ctx ends
	OnPanic       func(cause any, stack []byte)
	OnStuck       func(since time.Duration)
	ShutdownGrace time.Duration // that Body has once ctx has ended

	lastHeartbeat atomic.Int64
}

// Heartbeat says that the duty goes on.
func (d *Task) Heartbeat() { d.lastHeartbeat.Store(int64(d.Clock())) }

// Run has the work done until ctx ends.
func (d *Task) Run(ctx context.Context) {
	var alive atomic.Int64
	for ctx.Err() == nil {
		inner, cancel := context.WithCancel(ctx)
		generation := d.OnStart()
		d.Heartbeat()
		done := make(chan struct{})
		alive.Add(1)
		go func() {
			defer close(done)
			defer alive.Add(-1)
			defer func() {
				if r := recover(); r != nil {
					d.OnPanic(r, debug.Stack())
				}
			}()
			d.Work(inner, generation)
		}()
		stuck := d.watch(ctx, done)
		cancel()
		for stuck && alive.Load() > MaxStuck && ctx.Err() == nil {
			Sleep(ctx, time.Second)
		}
		if !stuck {
			Sleep(ctx, restartDelay)
		}
	}
}

// watch waits until the duty has ended, is stuck, or ctx has ended and it had time for its last word.
func (d *Task) watch(ctx context.Context, done <-chan struct{}) (stuck bool) {
	looks := time.NewTicker(StuckAfter / 8)
	defer looks.Stop()
	stale := 0
	for {
		select {
		case <-done:
			return false
		case <-ctx.Done():
			last := time.NewTimer(d.ShutdownGrace)
			defer last.Stop()
			select {
			case <-done:
			case <-last.C:
			}
			return false
		case <-looks.C:
			since := d.Clock() - time.Duration(d.lastHeartbeat.Load())
			if since <= StuckAfter {
				stale = 0
				continue
			}
			if stale++; stale > 1 { // once is a process that was stopped as a whole: the duty has had no turn yet
				d.OnStuck(since)
				return true
			}
		}
	}
}

// Sleep waits for so long, or until ctx ends.
func Sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

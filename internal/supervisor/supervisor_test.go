package supervisor

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// recorder creates a task and records its starts, panics and stuck goroutines.
type recorder struct {
	mu     sync.Mutex
	starts atomic.Int64
	events []string
}

func (r *recorder) record(event string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, event)
}

// newTask returns a task that runs work, with the fake clock of the synctest bubble.
func (r *recorder) newTask(work func(ctx context.Context, t *Task, generation uint64)) *Task {
	start := time.Now()
	t := &Task{
		Clock:         func() time.Duration { return time.Since(start) },
		OnStart:       func() uint64 { return uint64(r.starts.Add(1)) },
		OnPanic:       func(any, []byte) { r.record("panic") },
		OnStuck:       func(time.Duration) { r.record("stuck") },
		ShutdownGrace: time.Second,
	}
	t.Work = func(ctx context.Context, generation uint64) { work(ctx, t, generation) }
	return t
}

// sendHeartbeats calls Heartbeat every second until ctx ends.
func sendHeartbeats(ctx context.Context, t *Task) {
	for ctx.Err() == nil {
		t.Heartbeat()
		Sleep(ctx, time.Second)
	}
}

// Work that panics, returns or is stuck is started again. Work that sends heartbeats is not.
func TestTaskIsStartedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &recorder{}
		stuck := make(chan struct{})
		task := r.newTask(func(ctx context.Context, task *Task, generation uint64) {
			switch generation {
			case 1:
				panic("by the test")
			case 2: // returns
			case 3:
				<-stuck
			default:
				sendHeartbeats(ctx, task)
			}
		})
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			task.Run(ctx)
			close(ended)
		}()
		time.Sleep(time.Hour)
		if starts := r.starts.Load(); starts != 4 {
			t.Errorf("Work that panicked, then returned, then got stuck was started %d times, want 4", starts)
		}
		if !slices.Equal(r.events, []string{"panic", "stuck"}) {
			t.Errorf("calls of OnPanic and OnStuck = %q, want [panic stuck]", r.events)
		}
		cancel()
		<-ended
		close(stuck)
	})
}

// At most MaxStuck goroutines are stuck in addition to the last one that was started.
func TestStuckGoroutinesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &recorder{}
		stuck := make(chan struct{})
		task := r.newTask(func(context.Context, *Task, uint64) { <-stuck })
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			task.Run(ctx)
			close(ended)
		}()
		time.Sleep(time.Hour)
		if starts := r.starts.Load(); starts != MaxStuck+1 {
			t.Errorf("Work that is always stuck was started %d times, want %d", starts, MaxStuck+1)
		}
		cancel()
		<-ended
		close(stuck)
	})
}

// If Work does not return, Run returns ShutdownGrace (1s) after its context has ended.
func TestShutdownGrace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &recorder{}
		stuck := make(chan struct{})
		task := r.newTask(func(context.Context, *Task, uint64) { <-stuck })
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(time.Second, cancel)
		start := time.Now()
		task.Run(ctx)
		if took := time.Since(start); took < 2*time.Second || took > 3*time.Second {
			t.Errorf("Run returned after %v, want 2s to 3s: its context ends after 1s and ShutdownGrace is 1s", took)
		}
		close(stuck)
	})
}

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

// recorder runs a task and records what becomes of it.
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

// task makes a task with a clock of the test's bubble.
func (r *recorder) task(work func(ctx context.Context, t *Task, generation uint64)) *Task {
	began := time.Now()
	t := &Task{
		Clock:         func() time.Duration { return time.Since(began) },
		OnStart:       func() uint64 { return uint64(r.starts.Add(1)) },
		OnPanic:       func(any, []byte) { r.record("panic") },
		OnStuck:       func(time.Duration) { r.record("stuck") },
		ShutdownGrace: time.Second,
	}
	t.Work = func(ctx context.Context, generation uint64) { work(ctx, t, generation) }
	return t
}

// beat works until ctx ends, with a heartbeat every second.
func beat(ctx context.Context, t *Task) {
	for ctx.Err() == nil {
		t.Heartbeat()
		Sleep(ctx, time.Second)
	}
}

// A task that panics, ends or is stuck is started again; one that has heartbeats is left alone.
func TestTaskIsStartedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &recorder{}
		stuck := make(chan struct{})
		task := r.task(func(ctx context.Context, task *Task, generation uint64) {
			switch generation {
			case 1:
				panic("by the test")
			case 2: // ends
			case 3:
				<-stuck
			default:
				beat(ctx, task)
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
			t.Errorf("%d starts, want 4", starts)
		}
		if !slices.Equal(r.events, []string{"panic", "stuck"}) {
			t.Errorf("events: %v", r.events)
		}
		cancel()
		<-ended
		close(stuck)
	})
}

// No more than MaxStuck goroutines hang beside the one that runs.
func TestStuckGoroutinesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &recorder{}
		stuck := make(chan struct{})
		task := r.task(func(context.Context, *Task, uint64) { <-stuck })
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			task.Run(ctx)
			close(ended)
		}()
		time.Sleep(time.Hour)
		if starts := r.starts.Load(); starts != MaxStuck+1 {
			t.Errorf("%d starts, want %d", starts, MaxStuck+1)
		}
		cancel()
		<-ended
		close(stuck)
	})
}

// Run returns at most ShutdownGrace after its context has ended.
func TestShutdownGrace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &recorder{}
		stuck := make(chan struct{})
		task := r.task(func(context.Context, *Task, uint64) { <-stuck })
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(time.Second, cancel)
		began := time.Now()
		task.Run(ctx)
		if took := time.Since(began); took < 2*time.Second || took > 3*time.Second {
			t.Errorf("Run returned after %v, want 2s", took)
		}
		close(stuck)
	})
}

package client

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"

	"lapisspread/internal/controlplane/api"
	"lapisspread/internal/operatorerror"
	"lapisspread/internal/policy/merkle"
	"lapisspread/internal/strictconfig"
	"lapisspread/internal/supervisor"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testFile returns the configuration of a fleet with two quotas and one control-plane server at each address.
func testFile(stateDir string, addresses ...string) *api.Config {
	leaseDuration := strictconfig.Duration(3 * time.Second)
	file := &api.Config{
		Version:     1,
		Fleet:       "north",
		MaxDrift:    .001,
		MaxLifetime: strictconfig.Duration(10 * time.Second),
		StateDir:    stateDir,
		Quotas: []api.Quota{
			{
				Name:          "all",
				Filter:        api.AttemptFilter{Attempts: "attempts"},
				Limit:         1000,
				Burst:         100,
				LeaseDuration: leaseDuration,
			},
			{
				Name:          "again",
				Filter:        api.AttemptFilter{Attempts: "retries", Service: "pay"},
				Limit:         100,
				Burst:         10,
				LeaseDuration: leaseDuration,
			},
		},
	}
	for i, address := range addresses {
		id := i + 1
		file.Servers = append(file.Servers, api.Server{Name: fmt.Sprint("s", id), ID: uint64(id), Address: address})
	}
	return file
}

// noServer is an address on which no server listens.
const noServer = "127.0.0.1:1"

// testConfig returns the Config of a proxy whose only control-plane server is unreachable.
func testConfig(stateDir string) Config {
	return Config{File: testFile(stateDir, noServer), ProxyName: "p1"}
}

// always is a mayWrite or mayInstall function of a worker that has not been replaced.
func always() bool { return true }

// runInBackground runs a client until stop is called. stop waits until run has returned.
func runInBackground(run func(context.Context)) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		run(ctx)
	}()
	return func() {
		cancel()
		<-ended
	}
}

// Workers that panic or stop sending heartbeats are replaced, up to the limit of stuck workers. A worker that makes
// progress is not replaced.
func TestCrashedOrStuckWorkerIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		startedAt := time.Now()
		config := testConfig("")
		config.Clock = func() time.Duration { return time.Since(startedAt) }
		c := NewQuotaClient(config)
		release := make(chan struct{})
		var started, alive, maxAlive atomic.Int64
		c.worker.Work = func(ctx context.Context, _ uint64) {
			maxAlive.Store(max(maxAlive.Load(), alive.Add(1)))
			defer alive.Add(-1)
			switch n := started.Add(1); {
			case n <= 2:
				panic("panic injected by the test")
			case n <= 20:
				<-release // ignores ctx, as a stuck worker does
			default:
				for ctx.Err() == nil {
					c.worker.Heartbeat()
					supervisor.Sleep(ctx, pollInterval)
				}
			}
		}
		stop := runInBackground(c.Run)
		time.Sleep(10 * time.Minute)
		crashes, stalls := c.counters.crashes.Load(), c.counters.stalls.Load()
		if crashes != 2 || maxAlive.Load() != supervisor.MaxStuck+1 || stalls != supervisor.MaxStuck+1 {
			t.Errorf("after 10m: %d workers crashed, %d stalled, at most %d ran at once; want 2, %d and %d",
				crashes, stalls, maxAlive.Load(), supervisor.MaxStuck+1, supervisor.MaxStuck+1)
		}
		close(release)
		time.Sleep(10 * time.Minute)
		if alive.Load() != 1 {
			t.Errorf("10m after the stuck workers were released: %d workers run, want 1", alive.Load())
		}
		before := started.Load()
		time.Sleep(10 * time.Minute)
		if after := started.Load(); after != before {
			t.Errorf("workers started while the current worker made progress: %d, want 0", after-before)
		}
		status := c.Status()
		for _, fault := range status.Faults {
			if fault.Advice == "" {
				t.Errorf("Status().Faults: fault %q has no advice, want some", fault.Error)
			}
		}
		if len(status.Faults) != 2 {
			t.Errorf("Status().Faults = %+v, want 2 faults: crashed and stalled workers", status.Faults)
		}
		stop()
	})
}

// Every error that a policy update may report must have a text and advice for the operator.
func TestPolicyErrorsHaveAdvice(t *testing.T) {
	for _, err := range []error{
		PolicyNotInstalledError{1, errors.New("x")},
		PolicyNotInstalledError{1, merkle.UnexpectedChunkError{}},
		merkle.MalformedChunkError{},
		merkle.IncompleteError{},
	} {
		if operatorerror.AdviceOf(err) == "" || strings.TrimSpace(err.Error()) == "" {
			t.Errorf("%T: advice %q, text %q; want neither empty", err, operatorerror.AdviceOf(err), err.Error())
		}
	}
}

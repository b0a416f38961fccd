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

// testFile is the configuration of a fleet with two quotas and a server at each address.
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

// noServer is an address where nobody answers.
const noServer = "127.0.0.1:1"

// testConfig is the Config of a proxy without a server.
func testConfig(stateDir string) Config {
	return Config{File: testFile(stateDir, noServer), ProxyName: "p1"}
}

func always() bool { return true }

// runInBackground runs a client until the returned function is called, which waits for its end.
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

// The fake clock goes on whenever all wait.
func TestCrashedOrStuckWorkerIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begin := time.Now()
		config := testConfig("")
		config.Clock = func() time.Duration { return time.Since(begin) }
		c := NewQuotaClient(config)
		release := make(chan struct{})
		var started, alive, mostAlive atomic.Int64
		c.worker.Work = func(ctx context.Context, _ uint64) {
			mostAlive.Store(max(mostAlive.Load(), alive.Add(1)))
			defer alive.Add(-1)
			switch n := started.Add(1); {
			case n <= 2:
				panic("by the test")
			case n <= 20:
				<-release // without regard to ctx
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
		if crashes != 2 || mostAlive.Load() != supervisor.MaxStuck+1 || stalls != supervisor.MaxStuck+1 {
			t.Errorf("%d crashed, %d stalled, %d at once", crashes, stalls, mostAlive.Load())
		}
		close(release)
		time.Sleep(10 * time.Minute)
		if alive.Load() != 1 {
			t.Errorf("%d workers are alive", alive.Load())
		}
		before := started.Load()
		time.Sleep(10 * time.Minute)
		if started.Load() != before {
			t.Error("a worker that makes progress was replaced")
		}
		status := c.Status()
		for _, fault := range status.Faults {
			if fault.Advice == "" {
				t.Errorf("%q has no advice", fault.Error)
			}
		}
		if len(status.Faults) != 2 {
			t.Errorf("%+v", status.Faults)
		}
		stop()
	})
}

func TestPolicyErrorsHaveAdvice(t *testing.T) {
	for _, err := range []error{
		PolicyNotInstalledError{1, errors.New("x")},
		PolicyNotInstalledError{1, merkle.UnexpectedChunkError{}},
		merkle.MalformedChunkError{},
		merkle.IncompleteError{},
	} {
		if operatorerror.AdviceOf(err) == "" || strings.TrimSpace(err.Error()) == "" {
			t.Errorf("%T", err)
		}
	}
}

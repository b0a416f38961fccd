package client

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"lapisspread/internal/controlplane/api"
	"lapisspread/internal/operatorerror"
	"lapisspread/internal/supervisor"
)

// Config configures a QuotaClient or a PolicyClient.
type Config struct {
	// File is the fleet's configuration.
	File *api.Config
	// ProxyName is the name of this proxy. It must be unique in the fleet.
	ProxyName string
	// Logger receives faults and policy changes. Nil discards them.
	Logger *slog.Logger
	// Transport carries the calls to the control-plane servers. Nil is a transport without TLS.
	Transport http.RoundTripper
	// Clock returns the current time and must never go back. Nil is the machine's boot time, which includes time that
	// the machine is suspended.
	Clock func() time.Duration
}

// faultLogInterval is the minimum time between two log lines about faults with the same code.
const faultLogInterval = 10 * time.Second

// shutdownGrace is how long a worker may run after its context has ended.
const shutdownGrace = 2 * releaseTimeout

// connection is the state that both clients share: the HTTP client for calls to the servers, counters of calls, and the
// supervised worker that makes the calls.
type connection struct {
	config     Config
	clock      func() time.Duration
	httpClient *http.Client
	worker     supervisor.Task
	counters   counters

	mu         sync.Mutex        // never held during I/O
	generation uint64            // of the current worker, the only one that may publish or install
	server     string            // the address of the server that answered last
	faults     map[string]*Fault // by error code
}

// counters count events since the client was created.
type counters struct {
	requests          atomic.Int64
	answered          atomic.Int64
	failed            atomic.Int64
	crashes           atomic.Int64
	stalls            atomic.Int64
	expiredBeforeSend atomic.Int64
}

// initialize prepares a connection whose workers run work. Work must return soon after ctx ends; generation identifies
// the worker.
func (c *connection) initialize(config Config, work func(ctx context.Context, generation uint64)) {
	if config.Logger == nil {
		config.Logger = slog.New(slog.DiscardHandler)
	}
	if config.Transport == nil {
		config.Transport = api.NewTransport(nil)
	}
	if config.Clock == nil {
		config.Clock = supervisor.Boottime
	}
	c.config = config
	c.clock = config.Clock
	c.httpClient = &http.Client{Transport: config.Transport}
	c.faults = map[string]*Fault{}
	c.worker = supervisor.Task{
		Clock:         c.clock,
		OnStart:       c.beginGeneration,
		Work:          work,
		OnPanic:       c.workerCrashed,
		OnStuck:       c.workerStalled,
		ShutdownGrace: shutdownGrace,
	}
}

// beginGeneration returns the number of a new worker generation. Workers of earlier generations are no longer current,
// so what they would publish or install is dropped.
func (c *connection) beginGeneration() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.generation++
	return c.generation
}

// isCurrent reports whether the worker of a generation is the latest one.
func (c *connection) isCurrent(generation uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.generation == generation
}

// workerCrashed counts and reports a worker's panic. The supervisor calls it.
func (c *connection) workerCrashed(cause any, stack []byte) {
	c.counters.crashes.Add(1)
	c.reportFault(WorkerCrashedError{fmt.Sprint(cause)})
	c.config.Logger.Error("control-plane worker panicked", "cause", cause, "stack", string(stack))
}

// workerStalled counts and reports that a worker has made no progress for the given time. The supervisor calls it.
func (c *connection) workerStalled(since time.Duration) {
	c.counters.stalls.Add(1)
	c.reportFault(WorkerStalledError{since})
}

// setServer records the address of the server that answered last.
func (c *connection) setServer(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.server = address
}

func (c *connection) lastServer() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.server
}

// redirectedTo returns the leader's address from an error of the server at address. It returns "" if the error names no
// leader, or names that same server.
func redirectedTo(err error, address string) string {
	var remote api.RemoteError
	if errors.As(err, &remote) && remote.LeaderAddress != address {
		return remote.LeaderAddress
	}
	return ""
}

// Fault describes the latest error with one code, for the admin protocol.
type Fault struct {
	Error  string `json:"error"`
	Advice string `json:"advice"` // what an operator can do
	Count  int64  `json:"count"`  // errors with this code since the start

	loggedAt time.Duration
}

// reportFault counts an error by its code, and logs it unless an error with the same code was logged within
// faultLogInterval.
func (c *connection) reportFault(err error) {
	code := api.RemoteErrorOf(err).Code
	now := c.clock()
	c.mu.Lock()
	fault := c.faults[code]
	if fault == nil {
		fault = &Fault{loggedAt: now - faultLogInterval}
		c.faults[code] = fault
	}
	fault.Count++
	fault.Error = err.Error()
	fault.Advice = operatorerror.AdviceOf(err)
	log := now-fault.loggedAt >= faultLogInterval
	if log {
		fault.loggedAt = now
	}
	count := fault.Count
	c.mu.Unlock()
	if log {
		advice := cmp.Or(operatorerror.AdviceOf(err), "none")
		c.config.Logger.Warn("control-plane client fault", "err", err, "advice", advice, "count", count)
	}
}

// listFaults returns copies of the faults, sorted by code. The caller must hold mu.
func (c *connection) listFaults() (faults []Fault) {
	for _, code := range slices.Sorted(maps.Keys(c.faults)) {
		faults = append(faults, *c.faults[code])
	}
	return faults
}

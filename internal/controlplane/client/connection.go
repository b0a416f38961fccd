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

// Config of a client.
type Config struct {
	// File is the fleet's configuration.
	File *api.Config
	// ProxyName is the name of this proxy. No other may have it.
	ProxyName string
	// Logger takes faults and changes of policy; nil discards them.
	Logger *slog.Logger
	// Transport leads to the servers; nil is a transport without TLS.
	Transport http.RoundTripper
	// Clock never goes back; nil is the machine's, which goes on while the machine is suspended.
	Clock func() time.Duration
}

// faultLogInterval is the least time between two log lines of one kind of fault.
const faultLogInterval = 10 * time.Second

// shutdownGrace is how long a worker may take once its context has ended.
const shutdownGrace = 2 * releaseTimeout

// connection is what both clients share: the calls to the servers, their counts, and the supervised worker that
// makes them.
type connection struct {
	config     Config
	clock      func() time.Duration
	httpClient *http.Client
	worker     supervisor.Task
	counters   counters

	mu         sync.Mutex // never held over I/O
	generation uint64     // of the worker that may publish
	server     string     // the address of the server that answered last
	faults     map[string]*Fault
}

// counters count since the start.
type counters struct {
	requests          atomic.Int64
	answered          atomic.Int64
	failed            atomic.Int64
	crashes           atomic.Int64
	stalls            atomic.Int64
	expiredBeforeSend atomic.Int64
}

// initialize sets a connection up, with the work of its workers.
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

// isCurrent reports whether no other worker was started since a generation.
func (c *connection) isCurrent(generation uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.generation == generation
}

func (c *connection) workerCrashed(cause any, stack []byte) {
	c.counters.crashes.Add(1)
	c.reportFault(WorkerCrashedError{fmt.Sprint(cause)})
	c.config.Logger.Error("control-plane worker panicked", "cause", cause, "stack", string(stack))
}

func (c *connection) workerStalled(since time.Duration) {
	c.counters.stalls.Add(1)
	c.reportFault(WorkerStalledError{since})
}

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

// redirectedTo is the address of the leader that a server other than the one at the given address named; empty if
// there is none.
func redirectedTo(err error, address string) string {
	var remote api.RemoteError
	if errors.As(err, &remote) && remote.LeaderAddress != address {
		return remote.LeaderAddress
	}
	return ""
}

// Fault is an error that came up, how often, and what an operator can do.
type Fault struct {
	Error  string `json:"error"`
	Advice string `json:"advice"`
	Count  int64  `json:"count"`

	loggedAt time.Duration
}

// reportFault counts an error by its code, and logs it unless one of the same code was logged shortly before.
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

// listFaults copies the faults, in the order of their codes. It is called with mu locked.
func (c *connection) listFaults() (faults []Fault) {
	for _, code := range slices.Sorted(maps.Keys(c.faults)) {
		faults = append(faults, *c.faults[code])
	}
	return faults
}

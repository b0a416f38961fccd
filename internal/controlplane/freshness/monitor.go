package freshness

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"lapisspread/internal/controlplane/api"
	"lapisspread/internal/operatorerror"
	"lapisspread/internal/staleness"
	"lapisspread/internal/supervisor"
)

const (
	snapshotInterval     = 100 * time.Millisecond // between two snapshots
	maxSnapshotAge       = 2 * time.Second        // older snapshots are not used
	observationQueueSize = 1024                   // observations queued for the worker; further ones are dropped
	maxLists             = 64                     // bounds the memory, since lists are never removed
	minWatchInterval     = 10 * time.Millisecond  // lower limit of Wrap's watchInterval
	maxWatchInterval     = time.Hour              // upper limit of Wrap's watchInterval
	shutdownGrace        = time.Second            // how long the worker may run after its context has ended
)

// Config configures a Monitor.
type Config struct {
	// Freshness holds the fleet's settings. It is required.
	Freshness *api.FreshnessSettings
	// Logger receives log messages. Nil discards them.
	Logger *slog.Logger
	// Clock returns the current time. It must never go back and must include time that the machine is suspended. Nil is
	// the machine's boot time.
	Clock func() time.Duration
}

// Monitor tracks the freshness of all endpoint lists of a proxy. Its methods are safe for concurrent use.
type Monitor struct {
	config       Config
	clock        func() time.Duration
	supervisor   supervisor.Task
	wakeups      chan struct{} // capacity 1
	observations chan observation
	counters     monitorCounters
	generation   atomic.Uint64 // of the current worker

	mu    sync.Mutex
	lists map[string]*List // by name
	order []*List          // in the order in which Wrap created them
}

// monitorCounters count since the monitor's start.
type monitorCounters struct {
	droppedObservations atomic.Int64
	mergedUpdates       atomic.Int64
	suspensions         atomic.Int64
	workerDeaths        atomic.Int64
	workerStalls        atomic.Int64
	staleLookups        atomic.Int64
	forbiddenAttempts   [3]atomic.Int64 // by staleness.Idempotency
}

// New returns a monitor without lists. The caller must call Run.
func New(config Config) *Monitor {
	if config.Logger == nil {
		config.Logger = slog.New(slog.DiscardHandler)
	}
	if config.Clock == nil {
		config.Clock = supervisor.Boottime
	}
	m := &Monitor{
		config:       config,
		clock:        config.Clock,
		wakeups:      make(chan struct{}, 1),
		observations: make(chan observation, observationQueueSize),
		lists:        map[string]*List{},
	}
	m.supervisor = supervisor.Task{
		Clock:         m.clock,
		OnStart:       func() uint64 { return m.generation.Add(1) },
		Work:          m.runWorker,
		OnPanic:       m.workerDied,
		OnStuck:       m.workerStuck,
		ShutdownGrace: shutdownGrace,
	}
	return m
}

// Run runs the worker until ctx ends. It blocks; call it once.
func (m *Monitor) Run(ctx context.Context) { m.supervisor.Run(ctx) }

// wake makes the worker apply its input before the next snapshot is due.
func (m *Monitor) wake() {
	select {
	case m.wakeups <- struct{}{}:
	default:
	}
}

// workerDied counts and logs a worker's panic. The supervisor calls it.
func (m *Monitor) workerDied(cause any, stack []byte) {
	m.counters.workerDeaths.Add(1)
	err := WorkerDiedError{Reason: fmt.Sprint(cause)}
	m.config.Logger.Error("freshness worker panicked", "err", err, "advice", err.Advice(), "stack", string(stack))
}

// workerStuck counts and logs that a worker has sent no heartbeat for the given time. The supervisor calls it.
func (m *Monitor) workerStuck(since time.Duration) {
	m.counters.workerStalls.Add(1)
	err := WorkerStuckError{For: since}
	m.config.Logger.Error("freshness worker stuck", "err", err, "advice", err.Advice())
}

// RouteReport describes the freshness of one route, that is the endpoints of one kind of server.
type RouteReport struct {
	Name       string  `json:"name"`
	Level      string  `json:"level"`
	Confidence float32 `json:"chance"` // probability, 0 to 1, that the list is still correct for this route
	Servers    int     `json:"servers"`
	Fault      string  `json:"trouble,omitempty"` // why the route is not trusted; empty if it is
	Advice     string  `json:"advice,omitempty"`  // what an operator can do about the fault
}

// ListReport describes one endpoint list.
type ListReport struct {
	Name    string        `json:"name"`
	Age     string        `json:"age_at_most"` // upper bound of the list's age: a duration, or "unknown"
	Servers int           `json:"servers"`
	Routes  []RouteReport `json:"routes"`
}

// Report describes the freshness of all lists, for the admin console. Its JSON keys are part of the console's protocol.
type Report struct {
	Enforced            bool             `json:"act"`
	Lists               []ListReport     `json:"registers"`
	DroppedObservations int64            `json:"evidence_dropped"`
	MergedUpdates       int64            `json:"news_merged"`
	Suspensions         int64            `json:"stops"` // of this process
	WorkerDeaths        int64            `json:"duties_died"`
	WorkerStalls        int64            `json:"duties_stuck"`
	StaleLookups        int64            `json:"looks_at_old"` // checks of attempts without a recent snapshot
	ForbiddenAttempts   map[string]int64 `json:"attempts_forbidden"`
}

// idempotencyKeys are the keys of Report.ForbiddenAttempts: the classes of idempotency in the console's protocol.
var idempotencyKeys = [3]string{
	staleness.Idempotent:      "safe",
	staleness.IdempotentByKey: "keyed",
	staleness.NotIdempotent:   "once",
}

// Report returns the current state. It does not wait for the worker.
func (m *Monitor) Report() Report {
	report := Report{
		Enforced:            m.config.Freshness.Enforce,
		DroppedObservations: m.counters.droppedObservations.Load(),
		MergedUpdates:       m.counters.mergedUpdates.Load(),
		Suspensions:         m.counters.suspensions.Load(),
		WorkerDeaths:        m.counters.workerDeaths.Load(),
		WorkerStalls:        m.counters.workerStalls.Load(),
		StaleLookups:        m.counters.staleLookups.Load(),
		ForbiddenAttempts:   map[string]int64{},
	}
	for idempotency, name := range idempotencyKeys {
		report.ForbiddenAttempts[name] = m.counters.forbiddenAttempts[idempotency].Load()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, list := range m.order {
		if state := list.published.Load(); state != nil {
			report.Lists = append(report.Lists, state.report)
		}
	}
	return report
}

// adviceOf returns an error's advice, or "none".
func adviceOf(err error) string {
	if advice := operatorerror.AdviceOf(err); advice != "" {
		return advice
	}
	return "none"
}

// Package freshness has a proxy weigh how old what it holds of each register may be (package staleness), and engines look at it. One
// goroutine, the duty, owns the views; it is watched, and begun anew on the lists as last heard where it dies or is stuck. What it
// publishes is looked at without a lock and without allocation; no request ever waits for it.
package freshness

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"lapisspread/decision"
	"lapisspread/internal/controlplane/api"
	"lapisspread/internal/operatorerror"
	"lapisspread/internal/staleness"
	"lapisspread/internal/supervisor"
)

const (
	snapshotInterval     = 100 * time.Millisecond // between two snapshots
	suspensionGap        = time.Second            // a gap between two looks of the duty that is a stop of the process
	maxSnapshotAge       = 2 * time.Second        // a snapshot that is older says nothing
	observationQueueSize = 1024                   // evidence that waits for the duty
	maxLists             = 64
	minWatchInterval     = 10 * time.Millisecond
)

// Config of a link.
type Config struct {
	Freshness *api.FreshnessSettings
	Logger    *slog.Logger
	Clock     func() time.Duration // only goes forward; nil is the machine's, with the time that it is suspended
}

// Monitor is a proxy's views of all its registers. It is for any goroutine.
type Monitor struct {
	config       Config
	clock        func() time.Duration
	supervisor   supervisor.Task
	wakeups      chan struct{}
	observations chan observation
	counters     struct {
		droppedObservations, mergedUpdates, suspensions, workerDeaths, workerStalls, staleLookups atomic.Int64
		forbiddenAttempts                                                                         [3]atomic.Int64 // by staleness.Effect
	}
	generation atomic.Uint64

	mu    sync.Mutex
	lists map[string]*List
	order []*List
}

// observation is what an attempt has shown.
type observation struct {
	from    *endpoint
	refused bool
}

// endpoint is a listed server as a snapshot knows it.
type endpoint struct {
	list         *List
	generation   uint64
	name         string
	handle       staleness.Handle
	lastObserved [2]atomic.Int64 // when it last answered or refused: more of it in one tick is the same fact
}

// publishedState is what is looked at. It never changes.
type publishedState struct {
	snapshot    *staleness.Snapshot
	endpoints   map[decision.BackendID]*endpoint
	mayBeListed bool // what is not listed may be sent what may run twice
	report      ListReport
}

// New makes a link that has no registers yet.
func New(set Config) *Monitor {
	if set.Logger == nil {
		set.Logger = slog.New(slog.DiscardHandler)
	}
	l := &Monitor{config: set, clock: set.Clock, wakeups: make(chan struct{}, 1), observations: make(chan observation, observationQueueSize), lists: map[string]*List{}}
	if l.clock == nil {
		l.clock = supervisor.Boottime
	}
	l.supervisor = supervisor.Task{Clock: l.clock, OnStart: func() uint64 { return l.generation.Add(1) }, Work: l.runWorker, OnPanic: l.workerDied, OnStuck: l.workerStuck, ShutdownGrace: time.Second}
	return l
}

// Run weighs until ctx ends.
func (l *Monitor) Run(ctx context.Context) { l.supervisor.Run(ctx) }

func (l *Monitor) wake() {
	select {
	case l.wakeups <- struct{}{}:
	default:
	}
}

func (l *Monitor) workerDied(cause any, stack []byte) {
	l.counters.workerDeaths.Add(1)
	err := WorkerDiedError{fmt.Sprint(cause)}
	l.config.Logger.Error("the view", "err", err, "advice", err.Advice(), "stack", string(stack))
}

func (l *Monitor) workerStuck(since time.Duration) {
	l.counters.workerStalls.Add(1)
	err := WorkerStuckError{since}
	l.config.Logger.Error("the view", "err", err, "advice", err.Advice())
}

// worker is one duty's own.
type worker struct {
	*Monitor
	generation uint64
	views      map[*List]*listState
	lastStep   time.Duration // look
	notBefore  time.Duration // from which what waits has come
}

// listState is a register as one duty weighs it.
type listState struct {
	list       *List
	view       *staleness.View
	endpoints  map[decision.BackendID]*endpoint
	routes     map[string]int // servers of each
	indexStale bool           // servers and routes are not those of the view
	levels     map[string]staleness.Level
}

func (l *Monitor) runWorker(ctx context.Context, generation uint64) {
	w := &worker{Monitor: l, generation: generation, views: map[*List]*listState{}, lastStep: l.clock()}
	next := w.lastStep
	for ctx.Err() == nil {
		l.supervisor.Heartbeat()
		now := w.step()
		if now >= next {
			w.publish(now)
			next = now + snapshotInterval
		}
		wait := time.NewTimer(next - now)
		select {
		case <-wait.C:
		case <-l.wakeups:
		case <-ctx.Done():
		}
		wait.Stop()
	}
}

// step takes in all that waits.
func (w *worker) step() time.Duration {
	now := max(w.clock(), w.lastStep)
	gap := now - w.lastStep
	w.notBefore, w.lastStep = w.lastStep, now
	if gap > suspensionGap { // before all else: what waits was sent while the process stood, or before
		w.notBefore = now
		w.counters.suspensions.Add(1)
		for _, x := range w.views {
			x.view.Stopped(now, gap)
		}
	}
	w.mu.Lock()
	order := slices.Clone(w.order)
	w.mu.Unlock()
	for _, r := range order {
		if x := w.views[r]; x != nil {
			w.applyUpdate(x, now)
		} else {
			w.startList(r, now)
		}
	}
	for range len(w.observations) { // what comes meanwhile is for the next time
		e := <-w.observations
		x := w.views[e.from.list]
		if x == nil || e.from.generation != w.generation || x.view.Handle(e.from.name) != e.from.handle {
			continue // another process is listed there by now
		}
		// The view was made with this source, so that there is no error.
		if e.refused {
			_ = x.view.Contradicted(now, api.ListSource, staleness.Evidence{Kind: staleness.Refused, Entry: e.from.name})
		} else {
			_ = x.view.Confirmed(now, api.ListSource, e.from.name)
		}
	}
	return now
}

// startList begins to weigh a register, on what was heard of it or on what is known.
func (w *worker) startList(r *List, now time.Duration) {
	view, err := staleness.New(w.config.Freshness.StalenessSettings(r.watchInterval))
	if err != nil { // the file was checked
		panic(err)
	}
	n, at, age := r.restartState()
	_ = view.Heard(now, api.ListSource, n)
	if age >= 0 {
		age += now - at
	}
	view.Restarted(now, age)
	w.views[r] = &listState{list: r, view: view, indexStale: true, levels: map[string]staleness.Level{}}
}

// applyUpdate takes in what a register has told.
func (w *worker) applyUpdate(x *listState, now time.Duration) {
	n := x.list.takePending()
	w.counters.mergedUpdates.Add(n.merged)
	at := min(max(n.at, w.notBefore), now)
	if n.heard {
		if n.changed {
			x.indexStale = true
			if err := x.view.Heard(at, api.ListSource, n.News); err != nil {
				w.config.Logger.Warn("the view", "err", err, "advice", cmp.Or(operatorerror.Of(err), "none"))
			}
		} else {
			_ = x.view.Quiet(at, api.ListSource)
		}
	}
	if n.callFailed {
		_ = x.view.Failed(now, api.ListSource, staleness.FailTimeout)
	}
	if n.watchBroken {
		_ = x.view.Failed(now, api.ListSource, staleness.FailBroken)
	}
}

// publish puts how things stand where engines look.
func (w *worker) publish(now time.Duration) {
	for _, x := range w.views {
		if x.indexStale {
			w.indexEndpoints(x)
		}
		s := &publishedState{snapshot: x.view.Tick(now), endpoints: x.endpoints, mayBeListed: true, report: ListReport{Name: x.list.name, Servers: len(x.endpoints), Age: "unknown"}}
		if age, known := x.view.Age(now, api.ListSource); known {
			s.report.Age = age.Round(time.Millisecond).String()
		}
		best := staleness.Blind
		for _, name := range slices.Sorted(maps.Keys(x.routes)) {
			level, chance := s.snapshot.Route(x.view.RouteIndex(name))
			best = max(best, level)
			r := RouteReport{Name: name, Level: level.String(), Confidence: chance, Servers: x.routes[name]}
			trouble := x.view.Trouble(now, name)
			if trouble != nil {
				r.Fault, r.Advice = trouble.Error(), operatorerror.Of(trouble)
			}
			s.report.Routes = append(s.report.Routes, r)
			if was, any := x.levels[name]; !any || was != level {
				x.levels[name] = level
				if trouble != nil {
					w.config.Logger.Warn("the view", "register", x.list.name, "err", trouble, "advice", r.Advice)
				} else if was <= staleness.Doubtful {
					w.config.Logger.Info("the view is trusted again", "register", x.list.name, "route", name, "level", r.Level)
				}
			}
		}
		s.mayBeListed = len(x.routes) == 0 || best > staleness.Blind
		if w.generation == w.Monitor.generation.Load() {
			x.list.published.Store(s)
		}
	}
}

// indexEndpoints names the servers that the view lists.
func (w *worker) indexEndpoints(x *listState) {
	x.indexStale = false
	servers, routes := map[decision.BackendID]*endpoint{}, map[string]int{}
	for _, e := range x.list.entries() {
		h := x.view.Handle(e.Name)
		if h == 0 { // of a list that is newer than the view: it comes with the next
			x.indexStale = true
			continue
		}
		id := backendID(e.Name)
		s := x.endpoints[id]
		if s == nil || s.handle != h || s.name != e.Name {
			s = &endpoint{list: x.list, generation: w.generation, name: e.Name, handle: h}
		}
		servers[id] = s
		routes[e.Route]++
	}
	x.endpoints, x.routes = servers, routes
}

// RouteReport is the servers of a kind.
type RouteReport struct {
	Name       string  `json:"name"`
	Level      string  `json:"level"`
	Confidence float32 `json:"chance"` // that acting on the list is right
	Servers    int     `json:"servers"`
	Fault      string  `json:"trouble,omitempty"`
	Advice     string  `json:"advice,omitempty"`
}

// ListReport is a register's list.
type ListReport struct {
	Name    string        `json:"name"`
	Age     string        `json:"age_at_most"` // "unknown" if nobody can tell
	Servers int           `json:"servers"`
	Routes  []RouteReport `json:"routes"`
}

// Report is what the console shows.
type Report struct {
	Enforced            bool             `json:"act"`
	Lists               []ListReport     `json:"registers"`
	DroppedObservations int64            `json:"evidence_dropped"`
	MergedUpdates       int64            `json:"news_merged"`
	Suspensions         int64            `json:"stops"` // of this process
	WorkerDeaths        int64            `json:"duties_died"`
	WorkerStalls        int64            `json:"duties_stuck"`
	StaleLookups        int64            `json:"looks_at_old"` // at a snapshot that is too old, or at none yet
	ForbiddenAttempts   map[string]int64 `json:"attempts_forbidden"`
}

var effectNames = [3]string{staleness.Safe: "safe", staleness.Keyed: "keyed", staleness.Once: "once"}

// Report tells how the views stand. It waits for nobody.
func (l *Monitor) Report() Report {
	c := &l.counters
	out := Report{Enforced: l.config.Freshness.Enforce, DroppedObservations: c.droppedObservations.Load(), MergedUpdates: c.mergedUpdates.Load(), Suspensions: c.suspensions.Load(), WorkerDeaths: c.workerDeaths.Load(),
		WorkerStalls: c.workerStalls.Load(), StaleLookups: c.staleLookups.Load(), ForbiddenAttempts: map[string]int64{}}
	for e, name := range effectNames {
		out.ForbiddenAttempts[name] = c.forbiddenAttempts[e].Load()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.order {
		if s := r.published.Load(); s != nil {
			out.Lists = append(out.Lists, s.report)
		}
	}
	return out
}

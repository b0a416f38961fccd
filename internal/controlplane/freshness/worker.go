package freshness

import (
	"context"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"lapisspread/decision"
	"lapisspread/internal/controlplane/api"
	"lapisspread/internal/engine"
	"lapisspread/internal/operatorerror"
	"lapisspread/internal/staleness"
)

// suspensionGap is the time between two steps of the worker after which the process counts as suspended in between.
const suspensionGap = time.Second

// unknownAge is ListReport.Age of a list of unknown age.
const unknownAge = "unknown"

// publishedState is a snapshot of one list. It is immutable.
type publishedState struct {
	snapshot  *staleness.Snapshot
	endpoints map[decision.BackendID]*endpoint
	// mayBeListed allows attempts that may run twice at endpoints that the list does not have.
	mayBeListed bool
	report      ListReport
}

// endpoint is a listed endpoint as one worker knows it.
type endpoint struct {
	list       *List
	generation uint64 // of the worker
	name       string
	handle     staleness.Handle
	// When an attempt last showed that the endpoint answers, or refuses connections. The same within one snapshot's
	// time says nothing new.
	lastConfirmed atomic.Int64
	lastRefused   atomic.Int64
}

// observation is what an attempt at an endpoint has shown.
type observation struct {
	from    *endpoint
	refused bool // the connection was refused; else the endpoint answered
}

// worker owns the staleness models. A worker that was replaced goes on without effect.
type worker struct {
	*Monitor
	generation uint64
	lists      map[*List]*listState
	lastStep   time.Duration
	notBefore  time.Duration // when the oldest input of this step can have arrived
}

// listState is a list as one worker knows it.
type listState struct {
	list       *List
	view       *staleness.View
	endpoints  map[decision.BackendID]*endpoint
	routes     map[string]int // endpoints of each route
	indexStale bool           // endpoints and routes are not those of the view
	levels     map[string]staleness.Level
}

// runWorker applies input as it arrives and publishes a snapshot each snapshotInterval. It blocks until ctx ends; the
// supervisor calls it.
func (m *Monitor) runWorker(ctx context.Context, generation uint64) {
	w := &worker{Monitor: m, generation: generation, lists: map[*List]*listState{}, lastStep: m.clock()}
	nextSnapshot := w.lastStep
	for ctx.Err() == nil {
		m.supervisor.Heartbeat()
		now := w.step()
		if now >= nextSnapshot {
			w.publish(now)
			nextSnapshot = now + snapshotInterval
		}
		timer := time.NewTimer(nextSnapshot - now)
		select {
		case <-timer.C:
		case <-m.wakeups:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// step applies all input that has arrived, and returns the time.
func (w *worker) step() time.Duration {
	now := max(w.clock(), w.lastStep)
	gap := now - w.lastStep
	w.notBefore = w.lastStep
	w.lastStep = now
	// A suspension comes before all other input, which was sent before it ended.
	if gap > suspensionGap {
		w.notBefore = now
		w.counters.suspensions.Add(1)
		for _, state := range w.lists {
			state.view.RecordSuspension(now, gap)
		}
	}
	w.updateLists(now)
	w.applyObservations(now)
	return now
}

// updateLists applies what each list's source has sent, and starts to track lists that are new.
func (w *worker) updateLists(now time.Duration) {
	w.mu.Lock()
	order := slices.Clone(w.order)
	w.mu.Unlock()
	for _, list := range order {
		if state := w.lists[list]; state != nil {
			w.applyUpdate(state, now)
		} else {
			w.startList(list, now)
		}
	}
}

// applyObservations applies the observations that are queued now; later ones wait for the next step.
func (w *worker) applyObservations(now time.Duration) {
	for range len(w.observations) {
		observed := <-w.observations
		from := observed.from
		state := w.lists[from.list]
		if state == nil || from.generation != w.generation || state.view.Handle(from.name) != from.handle {
			continue // another process is listed under that name by now
		}
		// These fail for an unknown source only, and the view was made with this one.
		if observed.refused {
			evidence := staleness.Evidence{Kind: staleness.Refused, Entry: from.name}
			_ = state.view.RecordContradiction(now, api.ListSource, evidence)
		} else {
			_ = state.view.RecordConfirmation(now, api.ListSource, from.name)
		}
	}
}

// startList begins to track a list, from what was last heard or is known from an earlier process.
func (w *worker) startList(list *List, now time.Duration) {
	view, err := staleness.New(w.config.Freshness.StalenessSettings(list.watchInterval))
	if err != nil {
		panic(err) // the settings were checked when the file was read
	}
	update, at, age := list.restartState()
	_ = view.ApplyUpdate(now, api.ListSource, update)
	if age >= 0 {
		age += now - at
	}
	view.Restore(now, age)
	w.lists[list] = &listState{list: list, view: view, indexStale: true, levels: map[string]staleness.Level{}}
}

// applyUpdate applies what a list's source has sent since the last step.
func (w *worker) applyUpdate(state *listState, now time.Duration) {
	update := state.list.takePending()
	w.counters.mergedUpdates.Add(update.merged)
	at := min(max(update.at, w.notBefore), now)
	if update.changed {
		state.indexStale = true
		if err := state.view.ApplyUpdate(at, api.ListSource, update.Update); err != nil {
			w.config.Logger.Warn("endpoint list contradicts itself", "err", err, "advice", adviceOf(err))
		}
	} else if update.heard {
		_ = state.view.RecordHeartbeat(at, api.ListSource)
	}
	if update.callFailed {
		_ = state.view.RecordFailure(now, api.ListSource, staleness.CallTimedOut)
	}
	if update.watchBroken {
		_ = state.view.RecordFailure(now, api.ListSource, staleness.WatchBroken)
	}
}

// publish makes a snapshot of every list visible to its services.
func (w *worker) publish(now time.Duration) {
	for _, state := range w.lists {
		if state.indexStale {
			w.indexEndpoints(state)
		}
		next := w.snapshot(state, now)
		if w.generation == w.Monitor.generation.Load() {
			state.list.published.Store(next)
		}
	}
}

// snapshot evaluates a list's routes and returns the state to publish. It logs routes whose level has changed.
func (w *worker) snapshot(state *listState, now time.Duration) *publishedState {
	next := &publishedState{
		snapshot:  state.view.Tick(now),
		endpoints: state.endpoints,
		report:    ListReport{Name: state.list.name, Servers: len(state.endpoints), Age: unknownAge},
	}
	if age, known := state.view.Age(now, api.ListSource); known {
		next.report.Age = age.Round(time.Millisecond).String()
	}
	best := staleness.Blind
	for _, route := range slices.Sorted(maps.Keys(state.routes)) {
		level, confidence := next.snapshot.Route(state.view.RouteIndex(route))
		best = max(best, level)
		fault := state.view.Fault(now, route)
		report := RouteReport{Name: route, Level: level.String(), Confidence: confidence, Servers: state.routes[route]}
		if fault != nil {
			report.Fault = fault.Error()
			report.Advice = operatorerror.AdviceOf(fault)
		}
		next.report.Routes = append(next.report.Routes, report)
		w.logLevel(state, route, level, fault)
	}
	next.mayBeListed = len(state.routes) == 0 || best > staleness.Blind
	return next
}

// logLevel logs a route's level if it has changed to or from one that is not trusted.
func (w *worker) logLevel(state *listState, route string, level staleness.Level, fault error) {
	previous, known := state.levels[route]
	if known && previous == level {
		return
	}
	state.levels[route] = level
	log := w.config.Logger.With("list", state.list.name, "route", route, "level", level.String())
	if fault != nil {
		log.Warn("endpoint list is stale", "err", fault, "advice", operatorerror.AdviceOf(fault))
	} else if previous <= staleness.Doubtful {
		log.Info("endpoint list is fresh again")
	}
}

// indexEndpoints rebuilds the endpoints and routes from the list.
func (w *worker) indexEndpoints(state *listState) {
	state.indexStale = false
	endpoints := map[decision.BackendID]*endpoint{}
	routes := map[string]int{}
	for _, entry := range state.list.entries() {
		handle := state.view.Handle(entry.Name)
		if handle == 0 { // the list is newer than the view
			state.indexStale = true
			continue
		}
		id := engine.BackendID(entry.Name)
		indexed := state.endpoints[id]
		if indexed == nil || indexed.handle != handle || indexed.name != entry.Name {
			indexed = &endpoint{list: state.list, generation: w.generation, name: entry.Name, handle: handle}
		}
		endpoints[id] = indexed
		routes[entry.Route]++
	}
	state.endpoints = endpoints
	state.routes = routes
}

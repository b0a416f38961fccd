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

// suspensionGap is the time between two steps of the worker above which the process is assumed to have been suspended.
const suspensionGap = time.Second

// unknownAge is ListReport.Age of a list of unknown age.
const unknownAge = "unknown"

// publishedState is a snapshot of one list. It is immutable.
type publishedState struct {
	snapshot  *staleness.Snapshot
	endpoints map[decision.BackendID]*endpoint
	// mayBeListed means that a backend missing from the list may still be valid: attempts that may run twice are
	// allowed there.
	mayBeListed bool
	report      ListReport
}

// endpoint is a worker's record of a listed endpoint.
type endpoint struct {
	list       *List
	generation uint64 // of the worker
	name       string
	handle     staleness.Handle
	// Times, in nanoseconds by the monitor's clock, of the last recorded observation that the endpoint answered, and
	// that it refused a connection. A repeated observation within snapshotInterval carries no new information.
	lastConfirmed atomic.Int64
	lastRefused   atomic.Int64
}

// observation is the evidence from one attempt or health check at an endpoint.
type observation struct {
	target  *endpoint
	refused bool // true if the connection was refused, false if the endpoint answered
}

// worker owns the staleness models. A replaced worker that still runs has no effect.
type worker struct {
	*Monitor
	generation uint64
	lists      map[*List]*listState
	lastStep   time.Duration // when the latest step began
	notBefore  time.Duration // earliest time at which the input of this step can have arrived
}

// listState is a worker's state of one list.
type listState struct {
	list       *List
	view       *staleness.View
	endpoints  map[decision.BackendID]*endpoint
	routes     map[string]int             // number of endpoints by route
	indexStale bool                       // endpoints and routes must be rebuilt from the list
	levels     map[string]staleness.Level // last logged level by route
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

// step applies all input that has arrived, and returns the current time.
func (w *worker) step() time.Duration {
	now := max(w.clock(), w.lastStep)
	gap := now - w.lastStep
	w.notBefore = w.lastStep
	w.lastStep = now
	// A suspension is recorded before all other input: input found now may have been sent before the suspension ended.
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

// applyObservations applies the observations that are queued at its start. Later ones wait for the next step.
func (w *worker) applyObservations(now time.Duration) {
	for range len(w.observations) {
		observed := <-w.observations
		target := observed.target
		state := w.lists[target.list]
		if state == nil || target.generation != w.generation || state.view.Handle(target.name) != target.handle {
			continue // observed under an earlier worker, or the name now belongs to another process
		}
		// These calls fail only for an unknown source, and the view was created with ListSource.
		if observed.refused {
			evidence := staleness.Evidence{Kind: staleness.Refused, Entry: target.name}
			_ = state.view.RecordContradiction(now, api.ListSource, evidence)
		} else {
			_ = state.view.RecordConfirmation(now, api.ListSource, target.name)
		}
	}
}

// startList starts to track a list, from the list as last received or as known when it was wrapped.
func (w *worker) startList(list *List, now time.Duration) {
	view, err := staleness.New(w.config.Freshness.StalenessSettings(list.watchInterval))
	if err != nil {
		panic(err) // unreachable: the settings were checked when the file was read
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
	} else if update.received {
		_ = state.view.RecordHeartbeat(at, api.ListSource)
	}
	if update.callFailed {
		_ = state.view.RecordFailure(now, api.ListSource, staleness.CallTimedOut)
	}
	if update.watchBroken {
		_ = state.view.RecordFailure(now, api.ListSource, staleness.WatchBroken)
	}
}

// publish publishes a snapshot of every list to the services that follow it, unless this worker was replaced.
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

// logLevel logs a route's level when it changes: a warning if the new level has a fault, a message if the level rises
// from Doubtful or lower to one without a fault.
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

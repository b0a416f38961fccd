package engine

import (
	"context"
	"hash/fnv"
	"time"

	"lapisspread/decision"
)

// sourceSwitchSpread is the interval over which the proxies of a fleet switch to a new source if they get it at the
// same time. The old source must stay available for that long.
const sourceSwitchSpread = 500 * time.Millisecond

// EndpointList is a list of backends from discovery: all backends, or only those that have changed.
type EndpointList struct {
	Version   uint32     `json:"Version"`
	Full      bool       `json:"Full"` // whether the list has all backends
	Endpoints []Endpoint `json:"Members"`
}

// OlderThan reports whether the list is older than a version. Versions wrap around: a plain comparison would treat
// every change after the highest version as old and drop it.
func (l EndpointList) OlderThan(version uint32) bool { return int32(l.Version-version) < 0 }

// Endpoint is a backend in an EndpointList.
type Endpoint struct {
	ID      string                `json:"ID"`
	Addr    string                `json:"Addr"`
	Zone    string                `json:"Zone"`
	Kind    string                `json:"Kind"` // kind of machine
	Cell    int                   `json:"Cell"`
	State   decision.BackendState `json:"State"`
	Weight  float64               `json:"Weight"`
	Started time.Duration         `json:"Started"` // since the Unix epoch
}

// BackendID derives a backend's ID from its name only, so that the ID is the same at every proxy and after every
// restart. Key affinity relies on this.
func BackendID(name string) decision.BackendID {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(name)) // writes to a hash.Hash do not fail
	return decision.BackendID(hash.Sum32())
}

// Source delivers the endpoint list. Fetch and Watch are called from worker goroutines and may block; the engine
// calls Addr and Close in its own goroutine.
type Source interface {
	// Addr returns the address of the discovery service.
	Addr() string
	// Fetch polls the full list once. It may block until ctx ends.
	Fetch(ctx context.Context) (EndpointList, error)
	// Watch calls deliver for each change after the version from. It blocks until the watch fails or ctx ends.
	Watch(ctx context.Context, from uint32, deliver func(EndpointList)) error
	// Close ends all calls that are in flight.
	Close()
}

var stateNames = map[decision.BackendState]string{
	decision.Ready:    "ready",
	decision.Draining: "draining",
	decision.Removed:  "gone",
}

// applyEndpoints passes a list to the upstream and then to the decision module. The order matters: the module may send
// attempts to the new backends at once.
func (e *Engine) applyEndpoints(list EndpointList, kind decision.UpdateKind) {
	e.listVersion = list.Version
	if kind != decision.UpdateDelta {
		list.Full = true
	}
	e.opts.Upstream.Update(list)
	e.opts.OnEndpoints(list)
	update := decision.EndpointUpdate{Kind: kind, Version: list.Version}
	for _, endpoint := range list.Endpoints {
		id := BackendID(endpoint.ID)
		state := stateNames[endpoint.State]
		e.log.Info("endpoint listed", "backend", id, "name", endpoint.ID, "addr", endpoint.Addr, "state", state)
		update.Backends = append(update.Backends, decision.Backend{
			ID:      id,
			Zone:    e.indexOf(e.zoneNumbers, endpoint.Zone),
			Kind:    e.indexOf(e.kindNumbers, endpoint.Kind),
			Cell:    endpoint.Cell,
			State:   endpoint.State,
			Weight:  endpoint.Weight,
			Started: endpoint.Started,
		})
	}
	e.decider.UpdateEndpoints(e.clock.Now(), update)
	for _, check := range e.readinessChecks {
		e.startReadinessCheck(check)
	}
}

// indexOf returns the index of a name; all unknown names share the index after the last one.
func (e *Engine) indexOf(numbers map[string]int, name string) int {
	if n, found := numbers[name]; found {
		return n
	}
	e.log.Warn("unknown zone or machine kind in the endpoint list", "name", name)
	return len(numbers)
}

// endpointsReceived applies a list from the source. Changes that are older than the current list are dropped.
func (e *Engine) endpointsReceived(list EndpointList) {
	switch {
	case list.Full:
		e.listKnown = true
		e.applyEndpoints(list, decision.UpdateFull)
	case !list.OlderThan(e.listVersion):
		e.applyEndpoints(list, decision.UpdateDelta)
	}
}

// endpointsFailed reports a failed call to the source to the decision module.
func (e *Engine) endpointsFailed(err error) {
	e.log.Warn("polling the endpoint list failed", "err", err)
	e.decider.UpdateEndpoints(e.clock.Now(), decision.EndpointUpdate{Kind: decision.UpdateFailed})
}

// WatchEndpoints ends the current watch and, if on is set, starts a new one.
func (h host) WatchEndpoints(on bool) {
	h.stopWatch()
	h.watchGeneration++
	if !on {
		return
	}
	ctx, cancel := context.WithCancel(h.ctx)
	h.stopWatch = cancel
	w := watch{
		engine:     h.Engine,
		source:     h.source,
		generation: h.watchGeneration,
		listKnown:  h.listKnown,
		from:       h.listVersion,
	}
	h.startWorker(func() {
		defer cancel()
		err := w.run(ctx)
		if ctx.Err() == nil {
			w.post(func() { h.endpointsFailed(err) })
		}
	})
}

// watch is one watch of a source. If no full list has come from the source, the watch fetches it first.
type watch struct {
	engine     *Engine
	source     Source
	generation int
	listKnown  bool
	from       uint32 // changes after this version are delivered
}

// run carries out the watch. It blocks until the watch fails or ctx ends.
func (w *watch) run(ctx context.Context) error {
	deliver := func(list EndpointList) { w.post(func() { w.engine.endpointsReceived(list) }) }
	from := w.from
	if !w.listKnown {
		list, err := w.source.Fetch(ctx)
		if err != nil {
			return err
		}
		from = list.Version
		deliver(list)
	}
	return w.source.Watch(ctx, from, deliver)
}

// post posts an event that is ignored if another watch has replaced this one in the meantime.
func (w *watch) post(event func()) {
	w.engine.Post(func() {
		if w.generation == w.engine.watchGeneration {
			event()
		}
	})
}

// FetchEndpoints polls the full list once.
func (h host) FetchEndpoints() {
	source := h.source
	h.startWorker(func() {
		list, err := source.Fetch(h.ctx)
		h.Post(func() {
			switch {
			case source != h.source: // a late response of a source that was replaced
			case err != nil:
				h.endpointsFailed(err)
			case !h.listKnown || !list.OlderThan(h.listVersion):
				h.endpointsReceived(list)
			}
		})
	})
}

// SwitchSource makes the engine use another source after a random delay of up to sourceSwitchSpread. The delay keeps a
// fleet whose configurations are replaced together from polling the new source at the same moment. It must be called
// within an event.
func (e *Engine) SwitchSource(source Source) {
	if e.nextSource != nil {
		e.nextSource.Close()
	}
	e.nextSource = source
	e.stopTimer(e.switchTimer)
	delay := time.Duration(e.random.Int64N(int64(sourceSwitchSpread)))
	e.switchTimer = e.startTimerAt(e.clock.Now()+delay, func() {
		e.nextSource = nil
		e.useSource(source)
	})
}

// Source returns the source that a pending SwitchSource has set, or else the source in use. It must be called within an
// event.
func (e *Engine) Source() Source {
	if e.nextSource != nil {
		return e.nextSource
	}
	return e.source
}

// useSource replaces the source. Backends, their health and all requests in flight are kept; late results of calls to
// the old source are dropped. The versions of the two sources are unrelated, so the full list of the new one is fetched
// first.
func (e *Engine) useSource(source Source) {
	old := e.source
	e.log.Info("discovery address changed", "from", old.Addr(), "to", source.Addr())
	e.source = source
	e.listKnown = false
	host{e}.WatchEndpoints(true)
	old.Close()
}

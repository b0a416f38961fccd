package engine

import (
	"context"
	"hash/fnv"
	"time"

	"lapisspread/decision"
)

// sourceSwitchSpread is the time over which the proxies of a fleet that get another source together switch to it.
// The old one must answer for that long.
const sourceSwitchSpread = 500 * time.Millisecond

// EndpointList is what discovery says of the backends: all of them, or those that have changed.
type EndpointList struct {
	Version   uint32     `json:"Version"`
	Full      bool       `json:"Full"` // all of them
	Endpoints []Endpoint `json:"Members"`
}

// OlderThan reports whether the list is older than a version. Versions wrap: a plain comparison would drop all changes
// after the highest one.
func (l EndpointList) OlderThan(version uint32) bool { return int32(l.Version-version) < 0 }

// Endpoint is a backend as discovery names it.
type Endpoint struct {
	ID      string                `json:"ID"`
	Addr    string                `json:"Addr"`
	Zone    string                `json:"Zone"`
	Kind    string                `json:"Kind"` // of machine
	Cell    int                   `json:"Cell"`
	State   decision.BackendState `json:"State"`
	Weight  float64               `json:"Weight"`
	Started time.Duration         `json:"Started"` // since the Unix epoch
}

// BackendID derives a backend's ID from its name alone: it is the same at every proxy and after every restart, which
// key affinity relies on.
func BackendID(name string) decision.BackendID {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(name)) // a Hash does not fail
	return decision.BackendID(hash.Sum32())
}

// Source delivers the endpoint list. Its methods are called from goroutines of their own.
type Source interface {
	// Addr is the address of the discovery service.
	Addr() string
	// Fetch polls the full list once. It may block until ctx ends.
	Fetch(ctx context.Context) (EndpointList, error)
	// Watch calls deliver with each change after a version, until the watch fails or ctx ends.
	Watch(ctx context.Context, from uint32, deliver func(EndpointList)) error
	// Close ends all calls.
	Close()
}

var stateNames = map[decision.BackendState]string{
	decision.Ready:    "ready",
	decision.Draining: "draining",
	decision.Removed:  "gone",
}

// applyEndpoints hands a list to the upstream and to the decision module, in this order: what the module sends next
// goes by it.
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

// indexOf returns a name's number; unknown names share the number after the last.
func (e *Engine) indexOf(numbers map[string]int, name string) int {
	if n, known := numbers[name]; known {
		return n
	}
	e.log.Warn("unknown zone or machine kind in the endpoint list", "name", name)
	return len(numbers)
}

// endpointsReceived takes a list of the source. Changes that are older than the list at hand are dropped.
func (e *Engine) endpointsReceived(list EndpointList) {
	switch {
	case list.Full:
		e.listKnown = true
		e.applyEndpoints(list, decision.UpdateFull)
	case !list.OlderThan(e.listVersion):
		e.applyEndpoints(list, decision.UpdateDelta)
	}
}

// endpointsFailed takes the failure of a call to the source.
func (e *Engine) endpointsFailed(err error) {
	e.log.Warn("polling the endpoint list failed", "err", err)
	e.decider.UpdateEndpoints(e.clock.Now(), decision.EndpointUpdate{Kind: decision.UpdateFailed})
}

// WatchEndpoints starts a watch in place of the one before, or ends it.
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

// watch is one watch of a source; a fetch of the full list goes before it if that is not known.
type watch struct {
	engine     *Engine
	source     Source
	generation int
	listKnown  bool
	from       uint32 // the version that changes are wanted after
}

// run blocks until the watch fails or ctx ends.
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

// post posts an event that counts only while no other watch has taken this one's place.
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
			case source != h.source: // a late response of one that was replaced
			case err != nil:
				h.endpointsFailed(err)
			case !h.listKnown || !list.OlderThan(h.listVersion):
				h.endpointsReceived(list)
			}
		})
	})
}

// SwitchSource has the engine use another source a little later, at random within sourceSwitchSpread: it keeps a fleet
// whose configurations are replaced together from polling the new one in the same moment. It is called within an event.
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

// Source is the source in use, or the one that SwitchSource has set. It is called within an event.
func (e *Engine) Source() Source {
	if e.nextSource != nil {
		return e.nextSource
	}
	return e.source
}

// useSource turns to another source. Backends, their health and all requests in flight live on; what calls of the old
// source still bring is dropped. Versions of the new one are its own, so its full list is fetched first.
func (e *Engine) useSource(source Source) {
	old := e.source
	e.log.Info("discovery address changed", "from", old.Addr(), "to", source.Addr())
	e.source = source
	e.listKnown = false
	host{e}.WatchEndpoints(true)
	old.Close()
}

package freshness

import (
	"encoding/binary"
	"hash/fnv"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"lapisspread/decision"
	"lapisspread/internal/engine"
	"lapisspread/internal/staleness"
)

// List is one endpoint list that the process follows, whichever source it comes from. Its methods are safe for
// concurrent use.
//
// Updates wait here for the worker. A later update is merged into one that still waits. So there is at most one pending
// change for each endpoint, and no change is lost however long the worker takes: discovery would not repeat it.
type List struct {
	name          string
	monitor       *Monitor
	watchInterval time.Duration
	published     atomic.Pointer[publishedState]

	mu           sync.Mutex
	activeSource *observedSource  // the source that was called last; what others still send is ignored
	latestFrom   *observedSource  // the source of latest
	latest       staleness.Update // the whole list as last heard
	lastHeard    time.Duration    // 0 is never
	initialAge   time.Duration    // of latest at initialAt, before anything was heard; negative is unknown
	initialAt    time.Duration
	pending      pendingUpdate
}

// pendingUpdate is what the worker has not taken yet.
type pendingUpdate struct {
	staleness.Update
	at          time.Duration
	heard       bool  // the source has answered
	changed     bool  // it has sent a list or changes, not only that nothing changed
	watchBroken bool  // a watch has ended since
	callFailed  bool  // a call has failed since
	merged      int64 // updates that were merged into an earlier one
}

// newList returns a list that the process holds already, of a known age; a negative age is unknown.
func newList(m *Monitor, name string, watchInterval time.Duration, known engine.EndpointList, age time.Duration) *List {
	list := &List{
		name:          name,
		monitor:       m,
		watchInterval: min(max(watchInterval, minWatchInterval), maxWatchInterval),
		latest:        updateFromList(known),
		initialAge:    age,
		initialAt:     m.clock(),
	}
	list.dropRemoved()
	return list
}

// dropRemoved makes latest a whole list, without entries that are gone. The caller holds mu.
func (l *List) dropRemoved() {
	l.latest.Complete = true
	l.latest.Changes = slices.DeleteFunc(l.latest.Changes, func(c staleness.Change) bool { return c.Removed })
}

// update records what a source has sent. Fetched means that it answers a call, not a watch.
func (l *List) update(source *observedSource, update staleness.Update, fetched bool) {
	now := l.monitor.clock()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.activeSource != source {
		return
	}
	reported := engine.EndpointList{Version: uint32(update.Version)}
	if (fetched || !update.Complete) && l.latestFrom == source && reported.OlderThan(uint32(l.latest.Version)) {
		return // an answer that was overtaken by a newer one; the engine drops it too
	}
	l.latestFrom = source
	mergeUpdate(&l.latest, update)
	l.dropRemoved()
	l.lastHeard = now

	pending := &l.pending
	if pending.heard {
		pending.merged++
	}
	if update.Complete || len(update.Changes) > 0 {
		pending.changed = true
	}
	mergeUpdate(&pending.Update, update)
	pending.at = now
	pending.heard = true
	pending.watchBroken = false
	pending.callFailed = false
	l.monitor.wake()
}

// sourceFailed records that a call or a watch of a source has failed.
func (l *List) sourceFailed(source *observedSource, watch bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.activeSource != source {
		return
	}
	if watch {
		l.pending.watchBroken = true
	} else {
		l.pending.callFailed = true
	}
	l.monitor.wake()
}

// takePending hands the pending update to the worker.
func (l *List) takePending() pendingUpdate {
	l.mu.Lock()
	defer l.mu.Unlock()
	update := l.pending
	l.pending = pendingUpdate{}
	return update
}

// restartState returns the whole list for a new worker, and how old it was at a time; a negative age is unknown. It
// includes the pending update.
func (l *List) restartState() (update staleness.Update, at, age time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending = pendingUpdate{}
	update = l.latest
	update.Changes = slices.Clone(update.Changes)
	update.Complete = true
	if l.lastHeard == 0 {
		return update, l.initialAt, l.initialAge
	}
	settings := l.monitor.config.Freshness.StalenessSettings(l.watchInterval)
	return update, l.lastHeard, settings.MaxTransit + l.watchInterval
}

// entries returns what is listed, as last heard.
func (l *List) entries() []staleness.Change {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.latest.Changes)
}

// updateFromList converts a list. An endpoint that drains takes no new requests, so it counts as gone.
func updateFromList(list engine.EndpointList) staleness.Update {
	update := staleness.Update{Version: uint64(list.Version), Complete: list.Full}
	for i := range list.Endpoints {
		e := &list.Endpoints[i]
		update.Changes = append(update.Changes, staleness.Change{
			Removed: e.State != decision.Ready,
			Entry:   staleness.Entry{Name: e.ID, Kind: e.Kind, Route: routeOf(e.Kind), Incarnation: incarnation(e)},
		})
	}
	return update
}

// incarnation identifies the process that answers for an endpoint, by when it started and where.
func incarnation(e *engine.Endpoint) uint64 {
	hash := fnv.New64a()
	_ = binary.Write(hash, binary.LittleEndian, int64(e.Started)) // a hash never fails
	_, _ = io.WriteString(hash, e.Addr)
	return hash.Sum64()
}

// routeOf returns the route of a kind of server. A release replaces the servers of one kind, so doubt is about a kind.
func routeOf(kind string) string {
	if kind == "" {
		return "servers"
	}
	return kind
}

// mergeUpdate merges a later update into an earlier one.
func mergeUpdate(into *staleness.Update, later staleness.Update) {
	if later.Complete {
		*into = later
		into.Changes = slices.Clone(later.Changes)
		return
	}
	replaced := make(map[string]bool, len(later.Changes))
	for _, change := range later.Changes {
		replaced[change.Name] = true
	}
	into.Changes = slices.DeleteFunc(into.Changes, func(c staleness.Change) bool { return replaced[c.Name] })
	into.Changes = append(into.Changes, later.Changes...)
	into.Version = later.Version
}

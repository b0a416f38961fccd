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
// Updates are queued here for the worker. A later update is merged into the pending one, so there is at most one
// pending change for each endpoint. No change is lost however long the worker takes, because discovery would not send
// it again.
type List struct {
	name          string
	monitor       *Monitor
	watchInterval time.Duration
	published     atomic.Pointer[publishedState]

	mu           sync.Mutex
	activeSource *observedSource  // the source that was called last; updates of other sources are ignored
	latestFrom   *observedSource  // the source of latest
	latest       staleness.Update // the complete list as last received
	receivedAt   time.Duration    // when a source last answered; 0 means never
	initialAge   time.Duration    // of the initial list at initialAt; negative means unknown
	initialAt    time.Duration
	pending      pendingUpdate
}

// pendingUpdate is the update that the worker has not taken yet.
type pendingUpdate struct {
	staleness.Update
	at          time.Duration // when the source last answered
	received    bool          // the source has answered
	changed     bool          // the source has sent a list or changes, not only that nothing changed
	watchBroken bool          // a watch has ended since the last answer
	callFailed  bool          // a call has failed since the last answer
	merged      int64         // number of updates that were merged into an earlier one
}

// newList returns a list whose initial content is known, received age ago; a negative age means unknown.
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

// dropRemoved deletes removed entries from latest and marks it as a complete list. The caller must hold mu.
func (l *List) dropRemoved() {
	l.latest.Complete = true
	l.latest.Changes = slices.DeleteFunc(l.latest.Changes, func(c staleness.Change) bool { return c.Removed })
}

// update records an update from a source. fetched means that it answers a Fetch, not a Watch.
func (l *List) update(source *observedSource, update staleness.Update, fetched bool) {
	now := l.monitor.clock()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.activeSource != source {
		return
	}
	reported := engine.EndpointList{Version: uint32(update.Version)}
	if (fetched || !update.Complete) && l.latestFrom == source && reported.OlderThan(uint32(l.latest.Version)) {
		return // this answer is older than one received before it; the engine drops it too
	}
	l.latestFrom = source
	mergeUpdate(&l.latest, update)
	l.dropRemoved()
	l.receivedAt = now

	pending := &l.pending
	if pending.received {
		pending.merged++
	}
	if update.Complete || len(update.Changes) > 0 {
		pending.changed = true
	}
	mergeUpdate(&pending.Update, update)
	pending.at = now
	pending.received = true
	pending.watchBroken = false
	pending.callFailed = false
	l.monitor.wake()
}

// sourceFailed records that a watch (watch is true) or a Fetch of a source has failed.
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

// takePending returns the pending update and clears it. The worker calls it.
func (l *List) takePending() pendingUpdate {
	l.mu.Lock()
	defer l.mu.Unlock()
	update := l.pending
	l.pending = pendingUpdate{}
	return update
}

// restartState returns the complete list for a new worker, and its age at the time at; a negative age means unknown.
// The list includes the pending update, which is cleared.
func (l *List) restartState() (update staleness.Update, at, age time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending = pendingUpdate{}
	update = l.latest
	update.Changes = slices.Clone(update.Changes)
	update.Complete = true
	if l.receivedAt == 0 {
		return update, l.initialAt, l.initialAge
	}
	settings := l.monitor.config.Freshness.StalenessSettings(l.watchInterval)
	return update, l.receivedAt, settings.MaxTransit + l.watchInterval
}

// entries returns the entries of the list as last received.
func (l *List) entries() []staleness.Change {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.latest.Changes)
}

// updateFromList converts a list to an update. An endpoint that is not ready counts as removed: a draining endpoint
// takes no new requests.
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

// incarnation returns a hash that identifies an endpoint's process, of its start time and its address.
func incarnation(e *engine.Endpoint) uint64 {
	hash := fnv.New64a()
	_ = binary.Write(hash, binary.LittleEndian, int64(e.Started)) // a hash never fails
	_, _ = io.WriteString(hash, e.Addr)
	return hash.Sum64()
}

// routeOf returns the staleness route of a kind of server. Freshness is tracked by kind, because a release replaces the
// servers of one kind.
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

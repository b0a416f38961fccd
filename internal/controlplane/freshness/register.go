package freshness

import (
	"context"
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

// List is one list that this process follows, wherever its source moves. It is for any goroutine.
//
// Its news wait here for the duty. Later ones are taken into those that wait yet, so that there is never more than one change of each
// server, and nothing of a list is lost however long the duty takes: what a dropped change would have said nobody says again.
type List struct {
	name          string
	monitor       *Monitor
	watchInterval time.Duration
	published     atomic.Pointer[publishedState]

	mu           sync.Mutex
	activeSource *observedSource // the one that was asked last: what others may still bring is not of this list
	heldFrom     *observedSource // the one of which held is
	held         staleness.News
	lastHeard    time.Duration // 0 is never
	initialAge   time.Duration // of what was held before that, as of since; negative is unknown
	initialAt    time.Duration
	pending      pendingUpdate
}

// pendingUpdate is what the duty has not taken yet.
type pendingUpdate struct {
	staleness.News
	at                      time.Duration
	heard, changed          bool // something was heard; it is more than a beat
	watchBroken, callFailed bool // a watch has ended since; a call got no answer
	merged                  int64
}

// incarnation is one number for the process that answers for a server: when it began, and where.
func incarnation(m *engine.Endpoint) uint64 {
	h := fnv.New64a()
	_ = binary.Write(h, binary.LittleEndian, int64(m.Started))
	io.WriteString(h, m.Addr)
	return h.Sum64()
}

// newsFromList is a list as news. Servers that are told to leave take nothing new: for a request they are gone.
func newsFromList(list engine.EndpointList) staleness.News {
	n := staleness.News{Version: uint64(list.Version), Whole: list.Full}
	for i := range list.Endpoints {
		m := &list.Endpoints[i]
		n.Changed = append(n.Changed, staleness.Change{Gone: m.State != decision.Ready,
			Entry: staleness.Entry{Name: m.ID, Kind: m.Kind, Route: routeOf(m.Kind), Start: incarnation(m)}})
	}
	return n
}

// routeOf is the route of a kind of machine: a release replaces servers of a kind, so doubt is about a kind.
func routeOf(kind string) string {
	if kind == "" {
		return "servers"
	}
	return kind
}

// mergeNews takes later news into earlier ones.
func mergeNews(into *staleness.News, later staleness.News) {
	if later.Whole {
		*into = later
		into.Changed = slices.Clone(later.Changed)
		return
	}
	named := make(map[string]bool, len(later.Changed))
	for _, c := range later.Changed {
		named[c.Name] = true
	}
	into.Changed = slices.DeleteFunc(into.Changed, func(c staleness.Change) bool { return named[c.Name] })
	into.Changed = append(into.Changed, later.Changed...)
	into.Version = later.Version
}

// update takes a list in that a source has told.
func (r *List) update(s *observedSource, n staleness.News, called bool) {
	at := r.monitor.clock()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.activeSource != s {
		return
	}
	if (called || !n.Whole) && r.heldFrom == s && (engine.EndpointList{Version: uint32(n.Version)}).OlderThan(uint32(r.held.Version)) {
		return // an answer that crossed a newer one: the engine drops it too
	}
	r.heldFrom = s
	mergeNews(&r.held, n)
	r.held.Whole = true
	r.held.Changed = slices.DeleteFunc(r.held.Changed, func(c staleness.Change) bool { return c.Gone })
	r.lastHeard = at
	w := &r.pending
	if w.heard {
		w.merged++
	}
	if n.Whole || len(n.Changed) > 0 {
		w.changed = true
	}
	mergeNews(&w.News, n)
	w.at, w.heard, w.watchBroken, w.callFailed = at, true, false, false
	r.monitor.wake()
}

// sourceFailed notes how a call of a source ended.
func (r *List) sourceFailed(s *observedSource, watch bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.activeSource == s {
		r.pending.watchBroken, r.pending.callFailed = r.pending.watchBroken || watch, r.pending.callFailed || !watch
		r.monitor.wake()
	}
}

// takePending gives the duty what waits.
func (r *List) takePending() pendingUpdate {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.pending
	r.pending = pendingUpdate{}
	return w
}

// restartState is the whole list as last heard, and how old it was at that moment; negative is unknown.
func (r *List) restartState() (n staleness.News, at, age time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pending = pendingUpdate{} // it is in it
	n = r.held
	n.Changed, n.Whole = slices.Clone(n.Changed), true
	if r.lastHeard == 0 {
		return n, r.initialAt, r.initialAge
	}
	return n, r.lastHeard, r.monitor.config.Freshness.StalenessSettings(r.watchInterval).Transit + r.watchInterval
}

// observedSource is a register's source with a listener.
type observedSource struct {
	engine.Source
	list *List
}

// Wrap has the view of a register hear what a source tells. Of one name is one register, also where it moves. Known is the list that the
// process holds of it already, so old; negative is unknown. Beat is the time between two answers of its watch.
func (l *Monitor) Wrap(name string, beat time.Duration, inner engine.Source, known engine.EndpointList, age time.Duration) engine.Source {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.lists[name]
	if r == nil {
		if len(l.lists) >= maxLists {
			err := TooManyListsError{name, maxLists}
			l.config.Logger.Warn("the view", "err", err, "advice", err.Advice())
			return inner
		}
		r = &List{name: name, monitor: l, watchInterval: min(max(beat, minWatchInterval), time.Hour), held: newsFromList(known), initialAge: age, initialAt: l.clock()}
		r.held.Whole = true
		r.held.Changed = slices.DeleteFunc(r.held.Changed, func(c staleness.Change) bool { return c.Gone })
		l.lists[name] = r
		l.order = append(l.order, r)
		l.wake()
	}
	return &observedSource{inner, r}
}

// begin has a source that is asked be the one that counts.
func (s *observedSource) begin() {
	s.list.mu.Lock()
	defer s.list.mu.Unlock()
	s.list.activeSource = s
}

// Fetch asks once for the whole list.
func (s *observedSource) Fetch(ctx context.Context) (engine.EndpointList, error) {
	s.begin()
	asked := s.list.monitor.clock()
	list, err := s.Source.Fetch(ctx)
	switch {
	case err == nil:
		n := newsFromList(list)
		n.Whole, n.Asked = true, asked
		s.list.update(s, n, true)
	case ctx.Err() == nil:
		s.list.sourceFailed(s, false)
	}
	return list, err
}

// Watch tells of each answer until it fails or ctx ends.
func (s *observedSource) Watch(ctx context.Context, from uint32, tell func(engine.EndpointList)) error {
	s.begin()
	err := s.Source.Watch(ctx, from, func(list engine.EndpointList) {
		s.list.update(s, newsFromList(list), false)
		tell(list)
	})
	if ctx.Err() == nil {
		s.list.sourceFailed(s, true)
	}
	return err
}

// entries is what is listed, as last heard.
func (r *List) entries() []staleness.Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.held.Changed)
}

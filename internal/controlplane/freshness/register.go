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

// Register is one list that this process follows, wherever its source moves. It is for any goroutine.
//
// Its news wait here for the duty. Later ones are taken into those that wait yet, so that there is never more than one change of each
// server, and nothing of a list is lost however long the duty takes: what a dropped change would have said nobody says again.
type Register struct {
	name string
	link *Link
	beat time.Duration
	now  atomic.Pointer[seen]

	mu      sync.Mutex
	asks    *source // the one that was asked last: what others may still bring is not of this list
	told    *source // the one of which held is
	held    staleness.News
	heard   time.Duration // 0 is never
	age     time.Duration // of what was held before that, as of since; negative is unknown
	since   time.Duration
	waiting news
}

// news is what the duty has not taken yet.
type news struct {
	staleness.News
	at           time.Duration
	any, changes bool // something was heard; it is more than a beat
	broken, mute bool // a watch has ended since; a call got no answer
	merged       int64
}

// start is one number for the process that answers for a server: when it began, and where.
func start(m *engine.Endpoint) uint64 {
	h := fnv.New64a()
	_ = binary.Write(h, binary.LittleEndian, int64(m.Started))
	io.WriteString(h, m.Addr)
	return h.Sum64()
}

// newsOf is a list as news. Servers that are told to leave take nothing new: for a request they are gone.
func newsOf(list engine.EndpointList) staleness.News {
	n := staleness.News{Version: uint64(list.Version), Whole: list.Full}
	for i := range list.Endpoints {
		m := &list.Endpoints[i]
		n.Changed = append(n.Changed, staleness.Change{Gone: m.State != decision.Ready,
			Entry: staleness.Entry{Name: m.ID, Kind: m.Kind, Route: routeOf(m.Kind), Start: start(m)}})
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

// merge takes later news into earlier ones.
func merge(into *staleness.News, later staleness.News) {
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

// hear takes a list in that a source has told.
func (r *Register) hear(s *source, n staleness.News, called bool) {
	at := r.link.clock()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.asks != s {
		return
	}
	if (called || !n.Whole) && r.told == s && (engine.EndpointList{Version: uint32(n.Version)}).OlderThan(uint32(r.held.Version)) {
		return // an answer that crossed a newer one: the engine drops it too
	}
	r.told = s
	merge(&r.held, n)
	r.held.Whole = true
	r.held.Changed = slices.DeleteFunc(r.held.Changed, func(c staleness.Change) bool { return c.Gone })
	r.heard = at
	w := &r.waiting
	if w.any {
		w.merged++
	}
	if n.Whole || len(n.Changed) > 0 {
		w.changes = true
	}
	merge(&w.News, n)
	w.at, w.any, w.broken, w.mute = at, true, false, false
	r.link.wake()
}

// fail notes how a call of a source ended.
func (r *Register) fail(s *source, watch bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.asks == s {
		r.waiting.broken, r.waiting.mute = r.waiting.broken || watch, r.waiting.mute || !watch
		r.link.wake()
	}
}

// take gives the duty what waits.
func (r *Register) take() news {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.waiting
	r.waiting = news{}
	return w
}

// all is the whole list as last heard, and how old it was at that moment; negative is unknown.
func (r *Register) all() (n staleness.News, at, age time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waiting = news{} // it is in it
	n = r.held
	n.Changed, n.Whole = slices.Clone(n.Changed), true
	if r.heard == 0 {
		return n, r.since, r.age
	}
	return n, r.heard, r.link.set.View.Settings(r.beat).Transit + r.beat
}

// source is a register's source with a listener.
type source struct {
	engine.Source
	register *Register
}

// Wrap has the view of a register hear what a source tells. Of one name is one register, also where it moves. Known is the list that the
// process holds of it already, so old; negative is unknown. Beat is the time between two answers of its watch.
func (l *Link) Wrap(name string, beat time.Duration, inner engine.Source, known engine.EndpointList, age time.Duration) engine.Source {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.registers[name]
	if r == nil {
		if len(l.registers) >= mostRegisters {
			err := TooManyRegisters{name, mostRegisters}
			l.set.Log.Warn("the view", "err", err, "advice", err.Advice())
			return inner
		}
		r = &Register{name: name, link: l, beat: min(max(beat, leastBeat), time.Hour), held: newsOf(known), age: age, since: l.clock()}
		r.held.Whole = true
		r.held.Changed = slices.DeleteFunc(r.held.Changed, func(c staleness.Change) bool { return c.Gone })
		l.registers[name] = r
		l.order = append(l.order, r)
		l.wake()
	}
	return &source{inner, r}
}

// begin has a source that is asked be the one that counts.
func (s *source) begin() {
	s.register.mu.Lock()
	defer s.register.mu.Unlock()
	s.register.asks = s
}

// Fetch asks once for the whole list.
func (s *source) Fetch(ctx context.Context) (engine.EndpointList, error) {
	s.begin()
	asked := s.register.link.clock()
	list, err := s.Source.Fetch(ctx)
	switch {
	case err == nil:
		n := newsOf(list)
		n.Whole, n.Asked = true, asked
		s.register.hear(s, n, true)
	case ctx.Err() == nil:
		s.register.fail(s, false)
	}
	return list, err
}

// Watch tells of each answer until it fails or ctx ends.
func (s *source) Watch(ctx context.Context, from uint32, tell func(engine.EndpointList)) error {
	s.begin()
	err := s.Source.Watch(ctx, from, func(list engine.EndpointList) {
		s.register.hear(s, newsOf(list), false)
		tell(list)
	})
	if ctx.Err() == nil {
		s.register.fail(s, true)
	}
	return err
}

// listed is what is listed, as last heard.
func (r *Register) listed() []staleness.Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.held.Changed)
}

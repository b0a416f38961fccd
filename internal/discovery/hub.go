// Package discovery lets several engines follow one register by one watch. A hub keeps the register's whole list as it
// is now: who joins late is told it at once, and who asks for it while the watch is alive is answered from it.
//
// What it promises each follower is what a source promises one engine: every change in the register's order, the whole
// list ahead of changes that it has no ground for, and an error once the watch has failed. What it promises the
// register: one watch and one call for the list at a time, however many follow, and after failures a rest that
// doubles, whoever asks.
package discovery

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"lapisspread/decision"
	"lapisspread/internal/engine"
)

const firstRest = 50 * time.Millisecond // after a failed call, if no shorter one is the most

// ErrLeft says that a follower has left its register.
var ErrLeft = errors.New("register: the follower has left")

// Hubs are the registers that somebody follows, by address. They are for any goroutine.
type Hubs struct {
	open func(addr string) engine.Source
	rest time.Duration // after a failed call, at most

	mu     sync.Mutex
	byAddr map[string]*hub
}

// NewHubs makes an empty set, which opens a register when the first follower comes and closes it when the last leaves. After
// failed calls it rests for so long at most.
func NewHubs(rest time.Duration, open func(addr string) engine.Source) *Hubs {
	return &Hubs{open: open, rest: rest, byAddr: map[string]*hub{}}
}

// Join adds a follower of the register at an address: a source of its own, which it leaves by Close. Known is the
// list as the process knows it from elsewhere, for a register that nobody follows yet; one that is not Full is none.
func (s *Hubs) Join(addr string, known engine.List) *Follower {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.byAddr[addr]
	if h == nil {
		h = &hub{source: s.open(addr), mostRest: s.rest, watchers: map[*watcher]bool{}}
		if known.Full {
			h.list.take(known)
			h.seq++
		}
		s.byAddr[addr] = h
	}
	h.followers++
	ctx, end := context.WithCancelCause(context.Background())
	return &Follower{hubs: s, hub: h, ctx: ctx, end: end}
}

// leave takes a follower off. Danger: who joins at the same time must find the hub open, or not at all.
func (s *Hubs) leave(h *hub) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if h.followers--; h.followers == 0 {
		delete(s.byAddr, h.source.Addr())
		h.close()
	}
}

// hub is one register with its followers.
type hub struct {
	source    engine.Source
	followers int // the set's lock guards it

	mu        sync.Mutex
	list      catalogue
	seq       uint64 // counts what has changed the list
	watchers  map[*watcher]bool
	stop      context.CancelFunc // of the watch; nil while there is none
	alive     bool               // the watch has told something, and has not failed since
	fetching  *fetch
	rest      time.Duration // before the next call
	mostRest  time.Duration
	restUntil time.Time
}

// watcher is one follower's watch: what it has not been told yet, in order.
type watcher struct {
	lists []engine.List
	seq   uint64 // of the last of them
	err   error
	wake  chan struct{} // holds one
}

// fetch is a call for the whole list under way, for all that wait for it.
type fetch struct {
	done chan struct{}
	list engine.List
	err  error
}

// Follower is a register as one engine sees it.
type Follower struct {
	hubs *Hubs
	hub  *hub
	ctx  context.Context
	end  context.CancelCauseFunc
	once sync.Once
	seen uint64 // what it was told last; the hub's lock guards it
}

var _ engine.Source = (*Follower)(nil)

// Addr is the register's address.
func (f *Follower) Addr() string { return f.hub.source.Addr() }

// List is the whole list as it is known now, if it is.
func (f *Follower) List() (engine.List, bool) {
	f.hub.mu.Lock()
	defer f.hub.mu.Unlock()
	return f.hub.list.whole(), f.hub.list.known
}

// Close ends the follower's calls; with the last one's the register's own.
func (f *Follower) Close() {
	f.once.Do(func() {
		f.end(ErrLeft)
		f.hubs.leave(f.hub)
	})
}

// close ends the register's calls.
func (h *hub) close() {
	h.mu.Lock()
	if h.stop != nil {
		h.stop()
		h.stop = nil
	}
	h.mu.Unlock()
	h.source.Close()
}

// Fetch gives the whole list: the hub's own while its watch is alive, else the register's, by one call for all that
// ask at the same time.
func (f *Follower) Fetch(ctx context.Context) (engine.List, error) {
	h := f.hub
	h.mu.Lock()
	if h.alive && h.list.known {
		list := h.list.whole()
		h.mu.Unlock()
		return list, nil
	}
	c := h.fetching
	if c == nil {
		c = &fetch{done: make(chan struct{})}
		h.fetching = c
		wait := time.Until(h.restUntil)
		go h.fetch(c, wait)
	}
	h.mu.Unlock()
	select {
	case <-c.done:
		return c.list, c.err
	case <-ctx.Done():
		return engine.List{}, context.Cause(ctx)
	case <-f.ctx.Done():
		return engine.List{}, context.Cause(f.ctx)
	}
}

// fetch makes a call for all that wait for it. It outlives each of them: the source's Close ends it.
func (h *hub) fetch(c *fetch, wait time.Duration) {
	if wait > 0 {
		time.Sleep(wait)
	}
	h.mu.Lock()
	before := h.seq
	h.mu.Unlock()
	c.list, c.err = h.source.Fetch(context.Background())
	h.mu.Lock()
	defer h.mu.Unlock()
	h.fetching = nil
	h.note(c.err)
	switch {
	case c.err != nil:
	case h.seq != before && c.list.Past(h.list.version):
		// Danger: the watch has told something newer meanwhile, and goes on from there. What drains by it would be ready
		// again, and nobody would ever say otherwise.
		c.list = h.list.whole()
	default:
		h.tell(c.list)
	}
	close(c.done)
}

// note has the next call wait after one that failed. The lock is held.
func (h *hub) note(err error) {
	if err == nil {
		h.rest = 0
		return
	}
	h.rest = min(max(2*h.rest, firstRest), h.mostRest)
	h.restUntil = time.Now().Add(h.rest)
}

// Watch tells of each change until the register's watch fails, the follower leaves or ctx ends; first, of the whole
// list, unless nothing has changed since it last told of something. Danger: the version that the follower stands at
// does not say so: a register that has begun anew counts its versions anew.
func (f *Follower) Watch(ctx context.Context, _ uint32, tell func(engine.List)) error {
	h := f.hub
	w := &watcher{wake: make(chan struct{}, 1)}
	h.mu.Lock()
	if f.ctx.Err() != nil {
		h.mu.Unlock()
		return ErrLeft
	}
	if h.list.known && h.seq != f.seen {
		w.add(h.list.whole(), h.seq)
	}
	h.watchers[w] = true
	if h.stop == nil {
		h.begin()
	}
	h.mu.Unlock()
	defer h.drop(w)
	for {
		h.mu.Lock()
		lists, seq, err := w.lists, w.seq, w.err
		w.lists = nil
		h.mu.Unlock()
		for _, l := range lists {
			tell(l)
		}
		if len(lists) > 0 {
			h.mu.Lock()
			f.seen = seq
			h.mu.Unlock()
		}
		if err != nil {
			return err
		}
		if len(lists) > 0 {
			continue
		}
		select {
		case <-w.wake:
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-f.ctx.Done():
			return context.Cause(f.ctx)
		}
	}
}

// drop ends a watcher; the register's watch goes on only while somebody watches.
func (h *hub) drop(w *watcher) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.watchers, w)
	if len(h.watchers) == 0 && h.stop != nil {
		h.stop()
		h.stop, h.alive = nil, false
	}
}

func (w *watcher) add(l engine.List, seq uint64) {
	w.seq = seq
	if l.Full {
		w.lists = w.lists[:0] // it says all that those before it do
	}
	w.lists = append(w.lists, l)
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// begin starts the register's watch. The lock is held.
func (h *hub) begin() {
	ctx, stop := context.WithCancel(context.Background())
	h.stop = stop
	wait := time.Until(h.restUntil)
	go h.watch(ctx, wait)
}

// watch follows the register until it fails or nobody watches. Danger: a watch that was stopped may end after the next
// one has begun; it must change nothing then.
func (h *hub) watch(ctx context.Context, wait time.Duration) {
	if wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
	}
	mine := func(change func()) {
		h.mu.Lock()
		defer h.mu.Unlock()
		if ctx.Err() == nil {
			change()
		}
	}
	var known bool
	var from uint32
	mine(func() { known, from = h.list.known, h.list.version })
	var err error
	if !known {
		var list engine.List
		if list, err = h.source.Fetch(ctx); err == nil {
			from = list.Version
			mine(func() { h.tell(list) })
		}
	}
	if err == nil {
		err = h.source.Watch(ctx, from, func(list engine.List) {
			mine(func() {
				h.alive = true
				h.note(nil)
				h.tell(list)
			})
		})
	}
	if err == nil {
		err = errors.New("register: the watch has ended")
	}
	mine(func() {
		h.note(err)
		h.stop, h.alive = nil, false
		for w := range h.watchers {
			w.err = err
			delete(h.watchers, w)
			select {
			case w.wake <- struct{}{}:
			default:
			}
		}
	})
}

// tell takes a list in and passes it on. The lock is held.
func (h *hub) tell(list engine.List) {
	if !list.Full && (!h.list.known || list.Past(h.list.version)) {
		return // changes to a list that nobody has, or of one that is past
	}
	h.list.take(list)
	h.seq++
	for w := range h.watchers {
		w.add(list, h.seq)
	}
}

// catalogue is a whole list, and how changes alter it.
type catalogue struct {
	known   bool
	version uint32
	members []engine.Member // in the order in which they came
}

func (c *catalogue) take(list engine.List) {
	if list.Full {
		c.members = c.members[:0]
	}
	c.known, c.version = true, list.Version
	for _, m := range list.Members {
		i := slices.IndexFunc(c.members, func(o engine.Member) bool { return o.ID == m.ID })
		switch {
		case m.State == decision.Removed && i >= 0:
			c.members = slices.Delete(c.members, i, i+1)
		case m.State == decision.Removed:
		case i < 0:
			c.members = append(c.members, m)
		default:
			if m.Addr == "" { // one that drains need not say it again
				m.Addr = c.members[i].Addr
			}
			c.members[i] = m
		}
	}
}

func (c *catalogue) whole() engine.List {
	return engine.List{Version: c.version, Full: true, Members: slices.Clone(c.members)}
}

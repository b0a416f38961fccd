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

const initialBackoff = 50 * time.Millisecond // after a failed call, if no shorter one is the most

// ErrUnsubscribed says that a follower has left its register.
var ErrUnsubscribed = errors.New("register: the follower has left")

// Registry are the registers that somebody follows, by address. They are for any goroutine.
type Registry struct {
	open       func(addr string) engine.Source
	maxBackoff time.Duration // after a failed call, at most

	mu     sync.Mutex
	byAddr map[string]*sharedWatch
}

// NewRegistry makes an empty set, which opens a register when the first follower comes and closes it when the last leaves. After
// failed calls it rests for so long at most.
func NewRegistry(rest time.Duration, open func(addr string) engine.Source) *Registry {
	return &Registry{open: open, maxBackoff: rest, byAddr: map[string]*sharedWatch{}}
}

// Subscribe adds a follower of the register at an address: a source of its own, which it leaves by Close. Known is the
// list as the process knows it from elsewhere, for a register that nobody follows yet; one that is not Full is none.
func (s *Registry) Subscribe(addr string, known engine.EndpointList) *Subscription {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.byAddr[addr]
	if h == nil {
		h = &sharedWatch{source: s.open(addr), maxBackoff: s.maxBackoff, watchers: map[*watcher]bool{}}
		if known.Full {
			h.endpoints.apply(known)
			h.sequence++
		}
		s.byAddr[addr] = h
	}
	h.subscribers++
	ctx, end := context.WithCancelCause(context.Background())
	return &Subscription{registry: s, watch: h, ctx: ctx, cancel: end}
}

// unsubscribe takes a follower off. Danger: who joins at the same time must find the hub open, or not at all.
func (s *Registry) unsubscribe(h *sharedWatch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if h.subscribers--; h.subscribers == 0 {
		delete(s.byAddr, h.source.Addr())
		h.close()
	}
}

// sharedWatch is one register with its followers.
type sharedWatch struct {
	source      engine.Source
	subscribers int // the set's lock guards it

	mu           sync.Mutex
	endpoints    endpointSet
	sequence     uint64 // counts what has changed the list
	watchers     map[*watcher]bool
	stop         context.CancelFunc // of the watch; nil while there is none
	alive        bool               // the watch has told something, and has not failed since
	fetching     *fetch
	backoff      time.Duration // before the next call
	maxBackoff   time.Duration
	backoffUntil time.Time
}

// watcher is one follower's watch: what it has not been told yet, in order.
type watcher struct {
	lists    []engine.EndpointList
	sequence uint64 // of the last of them
	err      error
	wake     chan struct{} // holds one
}

// fetch is a call for the whole list under way, for all that wait for it.
type fetch struct {
	done chan struct{}
	list engine.EndpointList
	err  error
}

// Subscription is a register as one engine sees it.
type Subscription struct {
	registry     *Registry
	watch        *sharedWatch
	ctx          context.Context
	cancel       context.CancelCauseFunc
	once         sync.Once
	seenSequence uint64 // what it was told last; the hub's lock guards it
}

var _ engine.Source = (*Subscription)(nil)

// Addr is the register's address.
func (f *Subscription) Addr() string { return f.watch.source.Addr() }

// List is the whole list as it is known now, if it is.
func (f *Subscription) List() (engine.EndpointList, bool) {
	f.watch.mu.Lock()
	defer f.watch.mu.Unlock()
	return f.watch.endpoints.snapshot(), f.watch.endpoints.known
}

// Close ends the follower's calls; with the last one's the register's own.
func (f *Subscription) Close() {
	f.once.Do(func() {
		f.cancel(ErrUnsubscribed)
		f.registry.unsubscribe(f.watch)
	})
}

// close ends the register's calls.
func (h *sharedWatch) close() {
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
func (f *Subscription) Fetch(ctx context.Context) (engine.EndpointList, error) {
	h := f.watch
	h.mu.Lock()
	if h.alive && h.endpoints.known {
		list := h.endpoints.snapshot()
		h.mu.Unlock()
		return list, nil
	}
	c := h.fetching
	if c == nil {
		c = &fetch{done: make(chan struct{})}
		h.fetching = c
		wait := time.Until(h.backoffUntil)
		go h.fetch(c, wait)
	}
	h.mu.Unlock()
	select {
	case <-c.done:
		return c.list, c.err
	case <-ctx.Done():
		return engine.EndpointList{}, context.Cause(ctx)
	case <-f.ctx.Done():
		return engine.EndpointList{}, context.Cause(f.ctx)
	}
}

// fetch makes a call for all that wait for it. It outlives each of them: the source's Close ends it.
func (h *sharedWatch) fetch(c *fetch, wait time.Duration) {
	if wait > 0 {
		time.Sleep(wait)
	}
	h.mu.Lock()
	before := h.sequence
	h.mu.Unlock()
	c.list, c.err = h.source.Fetch(context.Background())
	h.mu.Lock()
	defer h.mu.Unlock()
	h.fetching = nil
	h.recordResult(c.err)
	switch {
	case c.err != nil:
	case h.sequence != before && c.list.OlderThan(h.endpoints.version):
		// Danger: the watch has told something newer meanwhile, and goes on from there. What drains by it would be ready
		// again, and nobody would ever say otherwise.
		c.list = h.endpoints.snapshot()
	default:
		h.publish(c.list)
	}
	close(c.done)
}

// recordResult has the next call wait after one that failed. The lock is held.
func (h *sharedWatch) recordResult(err error) {
	if err == nil {
		h.backoff = 0
		return
	}
	h.backoff = min(max(2*h.backoff, initialBackoff), h.maxBackoff)
	h.backoffUntil = time.Now().Add(h.backoff)
}

// Watch tells of each change until the register's watch fails, the follower leaves or ctx ends; first, of the whole
// list, unless nothing has changed since it last told of something. Danger: the version that the follower stands at
// does not say so: a register that has begun anew counts its versions anew.
func (f *Subscription) Watch(ctx context.Context, _ uint32, tell func(engine.EndpointList)) error {
	h := f.watch
	w := &watcher{wake: make(chan struct{}, 1)}
	h.mu.Lock()
	if f.ctx.Err() != nil {
		h.mu.Unlock()
		return ErrUnsubscribed
	}
	if h.endpoints.known && h.sequence != f.seenSequence {
		w.enqueue(h.endpoints.snapshot(), h.sequence)
	}
	h.watchers[w] = true
	if h.stop == nil {
		h.startWatch()
	}
	h.mu.Unlock()
	defer h.removeWatcher(w)
	for {
		h.mu.Lock()
		lists, seq, err := w.lists, w.sequence, w.err
		w.lists = nil
		h.mu.Unlock()
		for _, l := range lists {
			tell(l)
		}
		if len(lists) > 0 {
			h.mu.Lock()
			f.seenSequence = seq
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

// removeWatcher ends a watcher; the register's watch goes on only while somebody watches.
func (h *sharedWatch) removeWatcher(w *watcher) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.watchers, w)
	if len(h.watchers) == 0 && h.stop != nil {
		h.stop()
		h.stop, h.alive = nil, false
	}
}

func (w *watcher) enqueue(l engine.EndpointList, seq uint64) {
	w.sequence = seq
	if l.Full {
		w.lists = w.lists[:0] // it says all that those before it do
	}
	w.lists = append(w.lists, l)
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// startWatch starts the register's watch. The lock is held.
func (h *sharedWatch) startWatch() {
	ctx, stop := context.WithCancel(context.Background())
	h.stop = stop
	wait := time.Until(h.backoffUntil)
	go h.runWatch(ctx, wait)
}

// runWatch follows the register until it fails or nobody watches. Danger: a watch that was stopped may end after the next
// one has begun; it must change nothing then.
func (h *sharedWatch) runWatch(ctx context.Context, wait time.Duration) {
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
	mine(func() { known, from = h.endpoints.known, h.endpoints.version })
	var err error
	if !known {
		var list engine.EndpointList
		if list, err = h.source.Fetch(ctx); err == nil {
			from = list.Version
			mine(func() { h.publish(list) })
		}
	}
	if err == nil {
		err = h.source.Watch(ctx, from, func(list engine.EndpointList) {
			mine(func() {
				h.alive = true
				h.recordResult(nil)
				h.publish(list)
			})
		})
	}
	if err == nil {
		err = errors.New("register: the watch has ended")
	}
	mine(func() {
		h.recordResult(err)
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

// publish takes a list in and passes it on. The lock is held.
func (h *sharedWatch) publish(list engine.EndpointList) {
	if !list.Full && (!h.endpoints.known || list.OlderThan(h.endpoints.version)) {
		return // changes to a list that nobody has, or of one that is past
	}
	h.endpoints.apply(list)
	h.sequence++
	for w := range h.watchers {
		w.enqueue(list, h.sequence)
	}
}

// endpointSet is a whole list, and how changes alter it.
type endpointSet struct {
	known   bool
	version uint32
	members []engine.Endpoint // in the order in which they came
}

func (c *endpointSet) apply(list engine.EndpointList) {
	if list.Full {
		c.members = c.members[:0]
	}
	c.known, c.version = true, list.Version
	for _, m := range list.Endpoints {
		i := slices.IndexFunc(c.members, func(o engine.Endpoint) bool { return o.ID == m.ID })
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

func (c *endpointSet) snapshot() engine.EndpointList {
	return engine.EndpointList{Version: c.version, Full: true, Endpoints: slices.Clone(c.members)}
}

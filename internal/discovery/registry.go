package discovery

import (
	"context"
	"errors"
	"sync"
	"time"

	"lapisspread/internal/engine"
)

// ErrUnsubscribed is returned by the calls of a Subscription that was closed.
var ErrUnsubscribed = errors.New("discovery: the subscription was closed")

// Registry holds one shared watch for each discovery service that has a subscription. It is safe for concurrent use.
type Registry struct {
	open       func(addr string) engine.Source
	maxBackoff time.Duration

	mu     sync.Mutex
	byAddr map[string]*sharedWatch
}

// NewRegistry returns an empty registry. open is called for the first subscription to an address; the source that it
// returns is closed with the last subscription. maxBackoff is the longest pause after a failed call; with 0 there is no
// pause.
func NewRegistry(maxBackoff time.Duration, open func(addr string) engine.Source) *Registry {
	return &Registry{open: open, maxBackoff: maxBackoff, byAddr: map[string]*sharedWatch{}}
}

// Subscribe adds a subscription to the discovery service at addr, which the caller ends with Close. known is an
// endpoint list from another source, such as a snapshot. It is the initial list if addr has no other subscription; it
// is ignored if it is not Full.
func (r *Registry) Subscribe(addr string, known engine.EndpointList) *Subscription {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.byAddr[addr]
	if w == nil {
		w = &sharedWatch{source: r.open(addr), maxBackoff: r.maxBackoff, watchers: map[*watcher]bool{}}
		if known.Full {
			w.endpoints.apply(known)
			w.sequence++
		}
		r.byAddr[addr] = w
	}
	w.subscribers++
	ctx, cancel := context.WithCancelCause(context.Background())
	return &Subscription{registry: r, watch: w, ctx: ctx, cancel: cancel}
}

// unsubscribe removes one subscriber, and closes the source if it was the last one. It holds the registry's lock while
// the source closes, so that a concurrent Subscribe never gets a source that is being closed.
func (r *Registry) unsubscribe(w *sharedWatch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w.subscribers--
	if w.subscribers == 0 {
		delete(r.byAddr, w.source.Addr())
		w.close()
	}
}

// Subscription is the engine.Source through which one engine uses a shared watch.
type Subscription struct {
	registry     *Registry
	watch        *sharedWatch
	ctx          context.Context // ends with Close
	cancel       context.CancelCauseFunc
	closeOnce    sync.Once
	seenSequence uint64 // sequence of the last list that Watch delivered; guarded by watch.mu
}

var _ engine.Source = (*Subscription)(nil)

// Addr returns the discovery service's address.
func (s *Subscription) Addr() string { return s.watch.source.Addr() }

// List returns the current full list; ok is false if none has arrived yet.
func (s *Subscription) List() (list engine.EndpointList, ok bool) {
	s.watch.mu.Lock()
	defer s.watch.mu.Unlock()
	return s.watch.endpoints.snapshot(), s.watch.endpoints.known
}

// Close ends the subscription: its pending calls return ErrUnsubscribed. Closing the last subscription to an address
// closes the source too. Calls after the first do nothing.
func (s *Subscription) Close() {
	s.closeOnce.Do(func() {
		s.cancel(ErrUnsubscribed)
		s.registry.unsubscribe(s.watch)
	})
}

// Fetch returns the full list. While the shared watch is healthy it returns the current list without a call. Otherwise
// it polls the discovery service, with one call for all concurrent Fetches, and blocks until that call has ended, or
// until ctx or the subscription ends. The error is that of the call, the cause of ctx, or ErrUnsubscribed.
func (s *Subscription) Fetch(ctx context.Context) (engine.EndpointList, error) {
	list, call := s.watch.listOrFetch()
	if call == nil {
		return list, nil
	}
	select {
	case <-call.done:
		return call.list, call.err
	case <-ctx.Done():
		return engine.EndpointList{}, context.Cause(ctx)
	case <-s.ctx.Done():
		return engine.EndpointList{}, context.Cause(s.ctx)
	}
}

// Watch calls deliver with each change until the shared watch fails, or until ctx or the subscription ends. It first
// delivers the full list, unless an earlier Watch of this subscription delivered it and nothing has changed since. The
// version is ignored, because a discovery service that was restarted counts its versions from the beginning. The error
// is never nil: it is that of the shared watch, the cause of ctx, or ErrUnsubscribed.
func (s *Subscription) Watch(ctx context.Context, _ uint32, deliver func(engine.EndpointList)) error {
	w, err := s.watch.addWatcher(s)
	if err != nil {
		return err
	}
	defer s.watch.removeWatcher(w)
	for {
		lists, failure := s.watch.takePending(w)
		for _, list := range lists {
			deliver(list)
		}
		if len(lists) > 0 {
			s.watch.markSeen(s, w)
		}
		if failure != nil {
			return failure
		}
		if len(lists) > 0 {
			continue
		}
		select {
		case <-w.wake:
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-s.ctx.Done():
			return context.Cause(s.ctx)
		}
	}
}

package discovery

import (
	"context"
	"errors"
	"sync"
	"time"

	"lapisspread/internal/engine"
)

// ErrUnsubscribed ends the calls of a subscription that was closed. Its text, which stays as it is,
// calls the Registry a register and a Subscription a follower.
var ErrUnsubscribed = errors.New("register: the follower has left")

// Registry has the discovery services that somebody subscribes to, by address. It is safe for concurrent use.
type Registry struct {
	open       func(addr string) engine.Source
	maxBackoff time.Duration

	mu     sync.Mutex
	byAddr map[string]*sharedWatch
}

// NewRegistry makes an empty registry. open is called for the first subscription to an address; its source is closed
// with the last one. maxBackoff bounds the pause after a failed call; with 0 there is none.
func NewRegistry(maxBackoff time.Duration, open func(addr string) engine.Source) *Registry {
	return &Registry{open: open, maxBackoff: maxBackoff, byAddr: map[string]*sharedWatch{}}
}

// Subscribe adds a subscription to the discovery service at an address; Close ends it. known is the list as the process
// knows it from elsewhere, for an address without subscriptions; one that is not Full is ignored.
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

// unsubscribe counts a subscriber less. It holds the registry's lock while the last one closes the source, so that who
// subscribes at the same time finds it open or not at all.
func (r *Registry) unsubscribe(w *sharedWatch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w.subscribers--
	if w.subscribers == 0 {
		delete(r.byAddr, w.source.Addr())
		w.close()
	}
}

// Subscription is a discovery service as one engine sees it.
type Subscription struct {
	registry     *Registry
	watch        *sharedWatch
	ctx          context.Context // ends with Close
	cancel       context.CancelCauseFunc
	closeOnce    sync.Once
	seenSequence uint64 // of the last list that Watch has delivered; the watch's lock guards it
}

var _ engine.Source = (*Subscription)(nil)

// Addr is the discovery service's address.
func (s *Subscription) Addr() string { return s.watch.source.Addr() }

// List returns the full list as it is now; ok is false if there is none yet.
func (s *Subscription) List() (list engine.EndpointList, ok bool) {
	s.watch.mu.Lock()
	defer s.watch.mu.Unlock()
	return s.watch.endpoints.snapshot(), s.watch.endpoints.known
}

// Close ends the subscription's calls with ErrUnsubscribed, and with the last subscription the source's own. Calls
// after the first do nothing.
func (s *Subscription) Close() {
	s.closeOnce.Do(func() {
		s.cancel(ErrUnsubscribed)
		s.registry.unsubscribe(s.watch)
	})
}

// Fetch returns the full list: the one at hand while the watch is healthy, else by one call for all that ask at the
// same time. It blocks until that call has ended, or until ctx or the subscription ends. The error is the call's, the
// cause of ctx, or ErrUnsubscribed.
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

// Watch calls deliver with each change until the shared watch fails, or until ctx or the subscription ends; before that
// with the full list, unless nothing has changed since an earlier Watch has delivered it. The version is ignored: a
// discovery service that was restarted counts its versions from the beginning. The error is never nil: it is the shared
// watch's, the cause of ctx, or ErrUnsubscribed.
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

package discovery

import (
	"context"
	"errors"
	"sync"
	"time"

	"lapisspread/internal/engine"
)

// initialBackoff is the pause after the first failed call; maxBackoff bounds it.
const initialBackoff = 50 * time.Millisecond

// errWatchEnded is reported when a source's Watch returns without an error.
var errWatchEnded = errors.New("discovery: the source's watch ended without an error")

// sharedWatch is the watch of one discovery service that all its subscribers share.
type sharedWatch struct {
	source      engine.Source
	maxBackoff  time.Duration
	subscribers int // guarded by Registry.mu

	mu           sync.Mutex
	endpoints    endpointSet
	sequence     uint64 // incremented with each change to endpoints
	watchers     map[*watcher]bool
	stop         context.CancelFunc // cancels the source's Watch call; nil while there is none
	healthy      bool               // the source's Watch call has delivered a list and has not failed since
	fetching     *fetchCall
	backoff      time.Duration // pause after the last call; 0 if that call succeeded
	backoffUntil time.Time     // no call is made before it
}

// watcher is one call of Subscription.Watch, with the lists that it has not delivered yet.
type watcher struct {
	lists    []engine.EndpointList // in order of arrival
	sequence uint64                // sequence of the last list that was enqueued
	taken    uint64                // value of sequence at the last takePending
	err      error                 // failure of the shared watch, which Watch returns after delivering lists
	wake     chan struct{}         // capacity 1; signaled when lists or err has changed
}

// fetchCall is a poll of the full list that all concurrent Fetches share. list and err are set before done is closed.
type fetchCall struct {
	done chan struct{}
	list engine.EndpointList
	err  error
}

// close cancels the source's Watch call and closes the source.
func (w *sharedWatch) close() {
	w.mu.Lock()
	if w.stop != nil {
		w.stop()
		w.stop = nil
	}
	w.mu.Unlock()
	w.source.Close()
}

// listOrFetch returns the current list if the watch is healthy. Otherwise it returns the poll to wait for, which it
// starts if none is running.
func (w *sharedWatch) listOrFetch() (engine.EndpointList, *fetchCall) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.healthy && w.endpoints.known {
		return w.endpoints.snapshot(), nil
	}
	if w.fetching == nil {
		w.fetching = &fetchCall{done: make(chan struct{})}
		go w.fetch(w.fetching, time.Until(w.backoffUntil))
	}
	return engine.EndpointList{}, w.fetching
}

// fetch polls the source after a delay. It continues even if all callers that wait for it have returned. Closing the
// source ends the poll, but not the delay, which is at most maxBackoff.
func (w *sharedWatch) fetch(call *fetchCall, delay time.Duration) {
	if delay > 0 {
		time.Sleep(delay)
	}
	w.mu.Lock()
	before := w.sequence
	w.mu.Unlock()
	call.list, call.err = w.source.Fetch(context.Background())
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fetching = nil
	w.recordResult(call.err)
	switch {
	case call.err != nil:
	case w.sequence != before && call.list.OlderThan(w.endpoints.version):
		// The watch has delivered a newer list in the meantime and will not repeat it. Publishing the older list
		// would make a draining backend ready again permanently.
		call.list = w.endpoints.snapshot()
	default:
		w.publish(call.list)
	}
	close(call.done)
}

// recordResult updates the backoff: err is the result of a call, nil for success. The caller holds w.mu.
func (w *sharedWatch) recordResult(err error) {
	if err == nil {
		w.backoff = 0
		return
	}
	w.backoff = min(max(2*w.backoff, initialBackoff), w.maxBackoff)
	w.backoffUntil = time.Now().Add(w.backoff)
}

// addWatcher registers a call of Subscription.Watch, and starts the source's watch if it is not running. It returns
// ErrUnsubscribed if the subscription is closed.
func (w *sharedWatch) addWatcher(s *Subscription) (*watcher, error) {
	added := &watcher{wake: make(chan struct{}, 1)}
	w.mu.Lock()
	defer w.mu.Unlock()
	if s.ctx.Err() != nil {
		return nil, ErrUnsubscribed
	}
	if w.endpoints.known && w.sequence != s.seenSequence {
		added.enqueue(w.endpoints.snapshot(), w.sequence)
	}
	w.watchers[added] = true
	if w.stop == nil {
		w.startWatch()
	}
	return added, nil
}

// takePending removes and returns the lists that a watcher has not delivered yet, and the failure of the shared watch
// that follows them, if any.
func (w *sharedWatch) takePending(watcher *watcher) ([]engine.EndpointList, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	lists := watcher.lists
	watcher.lists = nil
	watcher.taken = watcher.sequence
	return lists, watcher.err
}

// markSeen records that a subscription has delivered the lists of its watcher's last takePending.
func (w *sharedWatch) markSeen(s *Subscription, watcher *watcher) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s.seenSequence = watcher.taken
}

// removeWatcher removes a watcher, and stops the source's watch if it was the last one.
func (w *sharedWatch) removeWatcher(removed *watcher) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.watchers, removed)
	if len(w.watchers) == 0 && w.stop != nil {
		w.stop()
		w.stop = nil
		w.healthy = false
	}
}

// enqueue appends a list to those that a watcher has to deliver. The caller holds sharedWatch.mu.
func (w *watcher) enqueue(list engine.EndpointList, sequence uint64) {
	w.sequence = sequence
	if list.Full {
		w.lists = w.lists[:0] // a full list replaces all earlier ones
	}
	w.lists = append(w.lists, list)
	w.signal()
}

func (w *watcher) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// startWatch starts the source's watch in a goroutine. The caller holds w.mu.
func (w *sharedWatch) startWatch() {
	ctx, stop := context.WithCancel(context.Background())
	w.stop = stop
	go w.runWatch(ctx, time.Until(w.backoffUntil))
}

// runWatch watches the source after a delay, until the watch fails or ctx ends. It reports a failure to all watchers.
func (w *sharedWatch) runWatch(ctx context.Context, delay time.Duration) {
	if !sleep(ctx, delay) {
		return
	}
	err := w.watchSource(ctx)
	if err == nil {
		err = errWatchEnded
	}
	w.whileCurrent(ctx, func() {
		w.recordResult(err)
		w.stop = nil
		w.healthy = false
		for watcher := range w.watchers {
			watcher.err = err
			delete(w.watchers, watcher)
			watcher.signal()
		}
	})
}

// sleep waits for d and reports whether d passed before ctx ended.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// watchSource fetches and publishes the full list if there is none yet, and then publishes each change. It blocks until
// the source's watch ends.
func (w *sharedWatch) watchSource(ctx context.Context) error {
	var known bool
	var version uint32
	w.whileCurrent(ctx, func() {
		known = w.endpoints.known
		version = w.endpoints.version
	})
	if !known {
		list, err := w.source.Fetch(ctx)
		if err != nil {
			return err
		}
		version = list.Version
		w.whileCurrent(ctx, func() { w.publish(list) })
	}
	return w.source.Watch(ctx, version, func(list engine.EndpointList) {
		w.whileCurrent(ctx, func() {
			w.healthy = true
			w.recordResult(nil)
			w.publish(list)
		})
	})
}

// whileCurrent calls change with w.mu held, unless ctx, the context of the calling watch, has ended. A stopped watch
// may return after the next one has started, and must not change the state of that one.
func (w *sharedWatch) whileCurrent(ctx context.Context, change func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if ctx.Err() == nil {
		change()
	}
}

// publish applies a list and enqueues it for all watchers. Changes are dropped if no full list has arrived yet, or if
// they are older than the current list. The caller holds w.mu.
func (w *sharedWatch) publish(list engine.EndpointList) {
	if !list.Full && (!w.endpoints.known || list.OlderThan(w.endpoints.version)) {
		return
	}
	w.endpoints.apply(list)
	w.sequence++
	for watcher := range w.watchers {
		watcher.enqueue(list, w.sequence)
	}
}

package discovery

import (
	"context"
	"errors"
	"sync"
	"time"

	"lapisspread/internal/engine"
)

// initialBackoff is the pause after the first failed call, unless maxBackoff is shorter.
const initialBackoff = 50 * time.Millisecond

// errWatchEnded is the failure of a source's watch that has ended without an error. Its text, which logs show
// and which stays as it is, calls the Registry a register.
var errWatchEnded = errors.New("register: the watch has ended")

// sharedWatch is one discovery service with its subscribers.
type sharedWatch struct {
	source      engine.Source
	maxBackoff  time.Duration
	subscribers int // the registry's lock guards it

	mu           sync.Mutex
	endpoints    endpointSet
	sequence     uint64 // counts the changes of endpoints
	watchers     map[*watcher]bool
	stop         context.CancelFunc // ends the source's watch; nil while there is none
	healthy      bool               // the source's watch has delivered something and has not failed since
	fetching     *fetchCall
	backoff      time.Duration // after the last call; 0 if that succeeded
	backoffUntil time.Time
}

// watcher is one subscription's Watch: what it has not delivered yet, in order.
type watcher struct {
	lists    []engine.EndpointList
	sequence uint64 // of the last list
	taken    uint64 // sequence as takePending last gave lists out
	err      error
	wake     chan struct{} // of capacity 1
}

// fetchCall is a poll of the full list that all who ask meanwhile wait for. list and err are set when done is closed.
type fetchCall struct {
	done chan struct{}
	list engine.EndpointList
	err  error
}

// close ends the source's calls.
func (w *sharedWatch) close() {
	w.mu.Lock()
	if w.stop != nil {
		w.stop()
		w.stop = nil
	}
	w.mu.Unlock()
	w.source.Close()
}

// listOrFetch returns the list at hand if the watch is healthy, else the call to wait for.
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

// fetch makes a call after a delay. It outlives each of those who wait for it: the source's Close ends the call, but
// not the delay, which is no longer than maxBackoff.
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
		// The watch has delivered something newer meanwhile and goes on from there: the older list would make a
		// draining backend ready again for good.
		call.list = w.endpoints.snapshot()
	default:
		w.publish(call.list)
	}
	close(call.done)
}

// recordResult sets the backoff by how a call has ended. The lock is held.
func (w *sharedWatch) recordResult(err error) {
	if err == nil {
		w.backoff = 0
		return
	}
	w.backoff = min(max(2*w.backoff, initialBackoff), w.maxBackoff)
	w.backoffUntil = time.Now().Add(w.backoff)
}

// addWatcher begins a subscription's Watch, and the source's watch if there is none.
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

// takePending returns what a watcher has not delivered yet, and the failure that comes after it.
func (w *sharedWatch) takePending(from *watcher) ([]engine.EndpointList, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	lists := from.lists
	from.lists = nil
	from.taken = from.sequence
	return lists, from.err
}

// markSeen notes that a subscription has delivered what its watcher gave it last.
func (w *sharedWatch) markSeen(s *Subscription, from *watcher) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s.seenSequence = from.taken
}

// removeWatcher ends a subscription's Watch, and the source's watch with the last one.
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

// enqueue adds a list to what a watcher is to deliver. The lock is held.
func (w *watcher) enqueue(list engine.EndpointList, sequence uint64) {
	w.sequence = sequence
	if list.Full {
		w.lists = w.lists[:0] // it says all that those before it do
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

// startWatch starts the source's watch. The lock is held.
func (w *sharedWatch) startWatch() {
	ctx, stop := context.WithCancel(context.Background())
	w.stop = stop
	go w.runWatch(ctx, time.Until(w.backoffUntil))
}

// runWatch watches the source after a delay, until that fails or ctx ends, and reports the failure to the watchers.
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

// sleep waits for a time and reports whether it passed before ctx ended.
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

// watchSource fetches the full list if there is none, and publishes it and each change after it.
func (w *sharedWatch) watchSource(ctx context.Context) error {
	var known bool
	var from uint32
	w.whileCurrent(ctx, func() {
		known = w.endpoints.known
		from = w.endpoints.version
	})
	if !known {
		list, err := w.source.Fetch(ctx)
		if err != nil {
			return err
		}
		from = list.Version
		w.whileCurrent(ctx, func() { w.publish(list) })
	}
	return w.source.Watch(ctx, from, func(list engine.EndpointList) {
		w.whileCurrent(ctx, func() {
			w.healthy = true
			w.recordResult(nil)
			w.publish(list)
		})
	})
}

// whileCurrent runs a change under the lock, unless the watch that it belongs to was stopped: that may end after the
// next one has begun, and must change nothing then.
func (w *sharedWatch) whileCurrent(ctx context.Context, change func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if ctx.Err() == nil {
		change()
	}
}

// publish takes a list in and passes it on to the watchers. Changes to a list that nobody has, or to a newer one, are
// dropped. The lock is held.
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

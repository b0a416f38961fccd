package discovery

import (
	"context"
	"errors"
	"fmt"
	"math"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"lapisspread/decision"
	"lapisspread/internal/engine"
)

// fakeSource is a discovery service for tests. Its Watch delivers the lists that the test sends on the channel lists,
// and returns the error that the test sends on the channel fail.
type fakeSource struct {
	mu         sync.Mutex
	list       engine.EndpointList
	err        error // returned by later calls of Fetch and Watch; nil for success
	lists      chan engine.EndpointList
	fail       chan error
	fetches    int
	watches    int
	calls      []time.Time // start times of all calls of Fetch and Watch
	running    int         // Watch calls that are running
	maxRunning int         // maximum of running so far
	closed     bool
}

// newFakeSource returns a source whose Fetch returns list.
func newFakeSource(list engine.EndpointList) *fakeSource {
	return &fakeSource{list: list, lists: make(chan engine.EndpointList), fail: make(chan error)}
}

func (f *fakeSource) Addr() string { return "127.0.0.1:1" }
func (f *fakeSource) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
}

func (f *fakeSource) Fetch(context.Context) (engine.EndpointList, error) {
	f.mu.Lock()
	f.fetches++
	f.calls = append(f.calls, time.Now())
	list := f.list
	err := f.err
	f.mu.Unlock()
	time.Sleep(10 * time.Millisecond)
	return list, err
}

func (f *fakeSource) Watch(ctx context.Context, _ uint32, deliver func(engine.EndpointList)) error {
	f.mu.Lock()
	f.watches++
	f.calls = append(f.calls, time.Now())
	f.running++
	f.maxRunning = max(f.maxRunning, f.running)
	err := f.err
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.running--
	}()
	if err != nil {
		return err
	}
	for {
		select {
		case l := <-f.lists:
			deliver(l)
		case err := <-f.fail:
			return err
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// testRegistry is a registry with one discovery service; known is the list that each subscription starts with.
type testRegistry struct {
	*Registry
	known engine.EndpointList
}

func newTestRegistry(src *fakeSource, known engine.EndpointList) testRegistry {
	return testRegistry{NewRegistry(2*time.Second, func(string) engine.Source { return src }), known}
}

func (r testRegistry) subscribe() *Subscription { return r.Subscribe("127.0.0.1:1", r.known) }

// full returns a full list with a ready endpoint for each ID.
func full(version uint32, ids ...string) engine.EndpointList {
	l := engine.EndpointList{Version: version, Full: true}
	for _, id := range ids {
		l.Endpoints = append(l.Endpoints, engine.Endpoint{ID: id, Addr: id + ":1", State: decision.Ready})
	}
	return l
}

// subscriber simulates an engine: it applies the lists that a subscription delivers.
type subscriber struct {
	mu    sync.Mutex
	list  endpointSet
	lists int // lists that were delivered
	errs  int // failed calls of Watch
}

func (s *subscriber) deliver(l engine.EndpointList) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists++
	s.list.apply(l)
}

// ids returns the sorted IDs of the endpoints in the subscriber's list.
func (s *subscriber) ids() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ids []string
	for _, m := range s.list.members {
		ids = append(ids, m.ID)
	}
	slices.Sort(ids)
	return ids
}

// run calls Watch in a loop until ctx ends, as an engine does.
func (s *subscriber) run(ctx context.Context, src engine.Source) {
	for ctx.Err() == nil {
		s.mu.Lock()
		version := s.list.version
		s.mu.Unlock()
		if err := src.Watch(ctx, version, s.deliver); err != nil && ctx.Err() == nil {
			s.mu.Lock()
			s.errs++
			s.mu.Unlock()
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// All subscriptions to an address share one watch of the source, and the last Close closes the source.
func TestSubscriptionsShareOneWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		src := newFakeSource(full(7, "a", "b"))
		r := newTestRegistry(src, engine.EndpointList{})
		ctx, cancel := context.WithCancel(t.Context())
		var all []*subscriber
		var subscriptions []*Subscription
		add := func() {
			s := &subscriber{}
			subscription := r.subscribe()
			all = append(all, s)
			subscriptions = append(subscriptions, subscription)
			go s.run(ctx, subscription)
		}
		for range 50 {
			add()
		}
		time.Sleep(100 * time.Millisecond)
		src.lists <- engine.EndpointList{Version: 8, Endpoints: []engine.Endpoint{
			{ID: "a", State: decision.Removed},
			{ID: "c", Addr: "c:1", State: decision.Ready},
		}}
		synctest.Wait()
		add() // a late subscriber gets the current list
		time.Sleep(100 * time.Millisecond)
		for i, s := range all {
			if got := s.ids(); !slices.Equal(got, []string{"b", "c"}) {
				t.Fatalf("subscriber %d has endpoints %q, want [b c]", i, got)
			}
		}
		if src.fetches != 1 || src.watches != 1 {
			t.Errorf("51 subscribers caused %d Fetch and %d Watch calls to the source, want 1 and 1",
				src.fetches, src.watches)
		}
		if list, err := subscriptions[0].Fetch(ctx); err != nil || len(list.Endpoints) != 2 || src.fetches != 1 {
			t.Errorf("Fetch while the watch is healthy = %d endpoints, error %v, %d Fetch calls to the source in all; "+
				"want 2 endpoints, nil, 1 call", len(list.Endpoints), err, src.fetches)
		}
		cancel()
		synctest.Wait()
		if src.running != 0 || src.closed {
			t.Errorf("after the last Watch returned: %d source watches running, source closed = %v; want 0 and false",
				src.running, src.closed)
		}
		for _, subscription := range subscriptions {
			subscription.Close()
			subscription.Close() // a second Close does nothing
		}
		if !src.closed || len(r.byAddr) != 0 {
			t.Errorf("after the last Close: source closed = %v, %d addresses in the registry; want true and 0",
				src.closed, len(r.byAddr))
		}
	})
}

// A discovery service that fails is called at a bounded rate however many subscribe, and each subscriber gets the
// error.
func TestFailuresAreReportedAndBackedOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		src := newFakeSource(full(1, "a"))
		src.err = errors.New("down")
		r := newTestRegistry(src, full(1, "a"))
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var all []*subscriber
		for range 200 {
			s := &subscriber{list: endpointSet{known: true, version: 1}}
			all = append(all, s)
			go s.run(ctx, r.subscribe())
		}
		time.Sleep(20 * time.Second)
		synctest.Wait()
		src.mu.Lock()
		calls := len(src.calls)
		src.mu.Unlock()
		if calls > 20 || calls < 8 {
			t.Errorf("200 subscribers made %d calls to a failing source in 20s, want 8 to 20", calls)
		}
		for i, s := range all {
			s.mu.Lock()
			if s.errs < 5 {
				t.Fatalf("subscriber %d got %d errors from Watch, want at least 5", i, s.errs)
			}
			s.mu.Unlock()
		}
		src.mu.Lock()
		src.err = nil
		src.mu.Unlock()
		time.Sleep(3 * time.Second)
		src.lists <- full(2, "z")
		synctest.Wait()
		for i, s := range all {
			if got := s.ids(); !slices.Equal(got, []string{"z"}) {
				t.Fatalf("after the source recovered, subscriber %d has endpoints %q, want [z]", i, got)
			}
		}
		if src.maxRunning != 1 {
			t.Errorf("%d source watches ran at the same time, want 1", src.maxRunning)
		}
	})
}

// A subscriber that unsubscribes or is slow to process lists does not block the others. A slow one still gets all
// changes, in order.
func TestSlowSubscriberBlocksNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		src := newFakeSource(full(1))
		r := newTestRegistry(src, full(1))
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		slow := &subscriber{list: endpointSet{version: 1}}
		fast := &subscriber{list: endpointSet{version: 1}}
		watch := func(deliver func(engine.EndpointList)) {
			if err := r.subscribe().Watch(ctx, 1, deliver); !errors.Is(err, context.Canceled) {
				t.Errorf("Watch returned %v, want context.Canceled", err)
			}
		}
		go watch(func(l engine.EndpointList) {
			time.Sleep(time.Second)
			slow.deliver(l)
		})
		go watch(fast.deliver)
		closing := r.subscribe()
		watchErr := make(chan error, 1)
		go func() { watchErr <- closing.Watch(ctx, 1, func(engine.EndpointList) {}) }()
		synctest.Wait()
		closing.Close()
		if err := <-watchErr; !errors.Is(err, ErrUnsubscribed) {
			t.Errorf("Watch of a closed subscription = %v, want ErrUnsubscribed", err)
		}
		for v := range uint32(5) {
			added := engine.Endpoint{ID: fmt.Sprint("n", v), Addr: "x:1", State: decision.Ready}
			src.lists <- engine.EndpointList{Version: 2 + v, Endpoints: []engine.Endpoint{added}}
			synctest.Wait()
			if fast.lists != int(v)+2 { // the full list and v+1 changes
				t.Errorf("after %d changes the fast subscriber got %d lists, want %d", v+1, fast.lists, v+2)
			}
		}
		time.Sleep(10 * time.Second)
		if got := slow.ids(); len(got) != 5 {
			t.Errorf("the slow subscriber has endpoints %q, want the 5 that the changes added", got)
		}
	})
}

// For random changes, restarts and failures, a subscriber that joins at any moment ends up with the current list of the
// discovery service.
func TestSubscribersConverge(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.IntRange(0, 5), 1, 30).Draw(rt, "steps")
		ids := rapid.SliceOfN(rapid.IntRange(0, 6), len(steps), len(steps)).Draw(rt, "ids")
		var mismatches []string // rt.Fatalf must not be called from within the synctest bubble
		synctest.Test(t, func(t *testing.T) {
			var expected endpointSet
			expected.apply(full(1, "n0"))
			src := newFakeSource(expected.snapshot())
			r := newTestRegistry(src, engine.EndpointList{})
			ctx, cancel := context.WithCancel(t.Context())
			var all []*subscriber
			add := func() {
				s := &subscriber{}
				all = append(all, s)
				go s.run(ctx, r.subscribe())
				time.Sleep(50 * time.Millisecond)
			}
			add()
			version := uint32(1)
			for i, step := range steps {
				id := fmt.Sprint("n", ids[i])
				version++
				switch step {
				case 0, 1, 2:
					state := decision.BackendState(step)
					changed := engine.Endpoint{ID: id, Addr: fmt.Sprint(id, ":", version), State: state}
					l := engine.EndpointList{Version: version, Endpoints: []engine.Endpoint{changed}}
					expected.apply(l)
					src.lists <- l
				case 3: // the discovery service restarts, and its versions start again
					version = uint32(i % 3)
					expected.apply(full(version, id))
					src.lists <- expected.snapshot()
				case 4: // the watch fails; changes during the failure are in the next list
					src.fail <- errors.New("broken")
					time.Sleep(5 * time.Second)
					expected.apply(full(version, id))
					src.lists <- expected.snapshot()
				default:
					add()
				}
				synctest.Wait()
			}
			for i, s := range all {
				s.mu.Lock()
				if fmt.Sprint(s.list.members) != fmt.Sprint(expected.members) {
					mismatch := fmt.Sprintf("subscriber %d has endpoints %+v, want %+v",
						i, s.list.members, expected.members)
					mismatches = append(mismatches, mismatch)
				}
				s.mu.Unlock()
			}
			cancel()
			synctest.Wait()
		})
		if len(mismatches) > 0 {
			rt.Fatalf("after all changes: %q", mismatches)
		}
	})
}

// List versions wrap around: version 0 is newer than the highest version.
func TestVersionWraps(t *testing.T) {
	for _, c := range []struct {
		current  uint32
		received uint32
		applied  bool
	}{
		{7, 8, true},
		{7, 6, false},
		{math.MaxUint32, 0, true},
		{1, math.MaxUint32, false},
	} {
		w := &sharedWatch{watchers: map[*watcher]bool{}}
		w.publish(full(c.current, "a"))
		removed := engine.Endpoint{ID: "a", State: decision.Removed}
		w.publish(engine.EndpointList{Version: c.received, Endpoints: []engine.Endpoint{removed}})
		if applied := len(w.endpoints.members) == 0; applied != c.applied {
			t.Errorf("publish(changes of version %d) on a list of version %d: applied = %v, want %v",
				c.received, c.current, applied, c.applied)
		}
	}
}

// slowFetchSource is a fakeSource whose Fetch takes the list when it is called and returns it when release is closed.
type slowFetchSource struct {
	*fakeSource
	called  chan struct{}
	release chan struct{}
}

func (f *slowFetchSource) Fetch(context.Context) (engine.EndpointList, error) {
	f.mu.Lock()
	list := f.list
	f.mu.Unlock()
	close(f.called)
	<-f.release
	return list, nil
}

// A poll takes the list, then the watch delivers that an endpoint is draining, and then the poll returns its older
// list: the endpoint must stay draining.
func TestFetchedListDoesNotUndoNewerChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		src := &slowFetchSource{newFakeSource(full(5, "a", "b")), make(chan struct{}), make(chan struct{})}
		registry := NewRegistry(time.Second, func(string) engine.Source { return src })
		polling := registry.Subscribe("r", full(5, "a", "b"))
		watching := registry.Subscribe("r", engine.EndpointList{})
		ctx, cancel := context.WithCancel(t.Context())
		fetched := make(chan engine.EndpointList, 1)
		go func() {
			list, err := polling.Fetch(ctx)
			if err != nil {
				t.Errorf("Fetch: %v", err)
			}
			fetched <- list
		}()
		<-src.called
		s := &subscriber{}
		go s.run(ctx, watching)
		draining := engine.Endpoint{ID: "a", Addr: "a:1", State: decision.Draining}
		src.lists <- engine.EndpointList{Version: 6, Endpoints: []engine.Endpoint{draining}}
		synctest.Wait()
		close(src.release)
		list := <-fetched
		synctest.Wait()
		current, _ := watching.List()
		for name, l := range map[string]engine.EndpointList{
			"Fetch":      list,
			"List":       current,
			"subscriber": s.list.snapshot(),
		} {
			if l.Version != 6 || len(l.Endpoints) != 2 || l.Endpoints[0].State != decision.Draining {
				t.Errorf("%s: got list %+v, want version 6 with endpoint a draining and endpoint b", name, l)
			}
		}
		cancel()
		synctest.Wait()
		polling.Close()
		watching.Close()
	})
}

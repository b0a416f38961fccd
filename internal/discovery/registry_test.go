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

// fakeSource is a discovery service: what is sent to lists goes to its watch, and an error sent to fail ends that.
type fakeSource struct {
	mu      sync.Mutex
	list    engine.EndpointList
	err     error // of the next fetches
	lists   chan engine.EndpointList
	fail    chan error
	fetches int
	watches int
	calls   []time.Time
	open    int // watches now
	maxOpen int
	closed  bool
}

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
	f.open++
	f.maxOpen = max(f.maxOpen, f.open)
	err := f.err
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.open--
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

// testRegistry is a registry with one discovery service.
type testRegistry struct {
	*Registry
	known engine.EndpointList
}

func newTestRegistry(src *fakeSource, known engine.EndpointList) testRegistry {
	return testRegistry{NewRegistry(2*time.Second, func(string) engine.Source { return src }), known}
}

func (r testRegistry) subscribe() *Subscription { return r.Subscribe("127.0.0.1:1", r.known) }

func full(version uint32, ids ...string) engine.EndpointList {
	l := engine.EndpointList{Version: version, Full: true}
	for _, id := range ids {
		l.Endpoints = append(l.Endpoints, engine.Endpoint{ID: id, Addr: id + ":1", State: decision.Ready})
	}
	return l
}

// subscriber keeps what an engine would know.
type subscriber struct {
	mu    sync.Mutex
	list  endpointSet
	lists int
	errs  int
}

func (s *subscriber) deliver(l engine.EndpointList) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists++
	s.list.apply(l)
}

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

// run watches again and again until ctx ends, as an engine does.
func (s *subscriber) run(ctx context.Context, src engine.Source) {
	for ctx.Err() == nil {
		s.mu.Lock()
		from := s.list.version
		s.mu.Unlock()
		if err := src.Watch(ctx, from, s.deliver); err != nil && ctx.Err() == nil {
			s.mu.Lock()
			s.errs++
			s.mu.Unlock()
			time.Sleep(20 * time.Millisecond)
		}
	}
}

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
		add() // one that subscribes late gets the list so far
		time.Sleep(100 * time.Millisecond)
		for i, s := range all {
			if got := s.ids(); !slices.Equal(got, []string{"b", "c"}) {
				t.Fatalf("subscriber %d knows %v", i, got)
			}
		}
		if src.fetches != 1 || src.watches != 1 {
			t.Errorf("%d fetches, %d watches for 51 subscribers", src.fetches, src.watches)
		}
		if list, err := subscriptions[0].Fetch(ctx); err != nil || len(list.Endpoints) != 2 || src.fetches != 1 {
			t.Errorf("while the watch is healthy: %+v, %v, %d fetches", list, err, src.fetches)
		}
		cancel()
		synctest.Wait()
		if src.open != 0 || src.closed {
			t.Errorf("nobody watches; %d watches are open, closed %v", src.open, src.closed)
		}
		for _, subscription := range subscriptions {
			subscription.Close()
			subscription.Close() // twice is once
		}
		if !src.closed || len(r.byAddr) != 0 {
			t.Error("the last has unsubscribed, and the source is not closed")
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
			t.Errorf("%d calls in 20 s", calls)
		}
		for i, s := range all {
			s.mu.Lock()
			if s.errs < 5 {
				t.Fatalf("subscriber %d got %d failures", i, s.errs)
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
				t.Fatalf("subscriber %d knows %v after the recovery", i, got)
			}
		}
		if src.maxOpen != 1 {
			t.Errorf("%d watches at a time", src.maxOpen)
		}
	})
}

// A subscriber that leaves, or is slow to take lists, does not block the others; what it missed comes in order.
func TestSlowSubscriberBlocksNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		src := newFakeSource(full(1))
		r := newTestRegistry(src, full(1))
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		slow := &subscriber{list: endpointSet{version: 1}}
		quick := &subscriber{list: endpointSet{version: 1}}
		watch := func(deliver func(engine.EndpointList)) {
			if err := r.subscribe().Watch(ctx, 1, deliver); !errors.Is(err, context.Canceled) {
				t.Errorf("the watch ended: %v", err)
			}
		}
		go watch(func(l engine.EndpointList) {
			time.Sleep(time.Second)
			slow.deliver(l)
		})
		go watch(quick.deliver)
		gone := r.subscribe()
		left := make(chan error, 1)
		go func() { left <- gone.Watch(ctx, 1, func(engine.EndpointList) {}) }()
		synctest.Wait()
		gone.Close()
		if err := <-left; !errors.Is(err, ErrUnsubscribed) {
			t.Errorf("the one that unsubscribed: %v", err)
		}
		for v := range uint32(5) {
			added := engine.Endpoint{ID: fmt.Sprint("n", v), Addr: "x:1", State: decision.Ready}
			src.lists <- engine.EndpointList{Version: 2 + v, Endpoints: []engine.Endpoint{added}}
			synctest.Wait()
			if quick.lists != int(v)+2 { // the full list first
				t.Errorf("the quick one got %d of %d lists", quick.lists, v+2)
			}
		}
		time.Sleep(10 * time.Second)
		if got := slow.ids(); len(got) != 5 {
			t.Errorf("the slow one knows %v", got)
		}
	})
}

// Whatever changes come, a subscriber that joins at any moment ends up with the list of the discovery service.
func TestSubscribersConverge(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.IntRange(0, 5), 1, 30).Draw(rt, "steps")
		ids := rapid.SliceOfN(rapid.IntRange(0, 6), len(steps), len(steps)).Draw(rt, "ids")
		var wrong []string // rapid must not be failed from within the bubble
		synctest.Test(t, func(t *testing.T) {
			var truth endpointSet
			truth.apply(full(1, "n0"))
			src := newFakeSource(truth.snapshot())
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
					truth.apply(l)
					src.lists <- l
				case 3: // it restarts, with versions of its own
					version = uint32(i % 3)
					truth.apply(full(version, id))
					src.lists <- truth.snapshot()
				case 4: // it fails; what changes meanwhile is in its next list
					src.fail <- errors.New("broken")
					time.Sleep(5 * time.Second)
					truth.apply(full(version, id))
					src.lists <- truth.snapshot()
				default:
					add()
				}
				synctest.Wait()
			}
			for i, s := range all {
				s.mu.Lock()
				if fmt.Sprint(s.list.members) != fmt.Sprint(truth.members) {
					text := fmt.Sprintf("subscriber %d has %v, want %v", i, s.list.members, truth.members)
					wrong = append(wrong, text)
				}
				s.mu.Unlock()
			}
			cancel()
			synctest.Wait()
		})
		if len(wrong) > 0 {
			rt.Fatalf("%v", wrong)
		}
	})
}

// A list's version wraps: changes after the highest version are newer.
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
			t.Errorf("changes of version %d to a list of version %d are applied: %v", c.received, c.current, applied)
		}
	}
}

// slowFetchSource returns the list as it was when Fetch was called, once it is released.
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

// A list that was fetched before the watch delivered a drain comes after it: the drain stands.
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
				t.Error(err)
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
			"the fetched list": list,
			"the registry":     current,
			"the subscriber":   s.list.snapshot(),
		} {
			if l.Version != 6 || len(l.Endpoints) != 2 || l.Endpoints[0].State != decision.Draining {
				t.Errorf("%s has %+v", name, l)
			}
		}
		cancel()
		synctest.Wait()
		polling.Close()
		watching.Close()
	})
}

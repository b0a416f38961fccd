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

// fake is a register: what comes in at lists goes out to its watch; an error ends it.
type fake struct {
	mu      sync.Mutex
	list    engine.EndpointList
	err     error // of the next fetches
	lists   chan engine.EndpointList
	fail    chan error
	fetches int
	watches int
	at      []time.Time // of all calls
	open    int         // watches now
	most    int
	closed  bool
}

func newFake(list engine.EndpointList) *fake {
	return &fake{list: list, lists: make(chan engine.EndpointList), fail: make(chan error)}
}

func (f *fake) Addr() string { return "127.0.0.1:1" }
func (f *fake) Close()       { f.mu.Lock(); f.closed = true; f.mu.Unlock() }

func (f *fake) Fetch(context.Context) (engine.EndpointList, error) {
	f.mu.Lock()
	f.fetches++
	f.at = append(f.at, time.Now())
	list, err := f.list, f.err
	f.mu.Unlock()
	time.Sleep(10 * time.Millisecond)
	return list, err
}

func (f *fake) Watch(ctx context.Context, from uint32, tell func(engine.EndpointList)) error {
	f.mu.Lock()
	f.watches++
	f.at = append(f.at, time.Now())
	f.open++
	f.most = max(f.most, f.open)
	err := f.err
	f.mu.Unlock()
	defer func() { f.mu.Lock(); f.open--; f.mu.Unlock() }()
	if err != nil {
		return err
	}
	for {
		select {
		case l := <-f.lists:
			tell(l)
		case err := <-f.fail:
			return err
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// testHub is a set with one register.
type testHub struct {
	*Registry
	known engine.EndpointList
}

func newTestHub(src *fake, known engine.EndpointList) testHub {
	return testHub{NewRegistry(2*time.Second, func(string) engine.Source { return src }), known}
}

func (h testHub) Join() *Subscription { return h.Registry.Subscribe("127.0.0.1:1", h.known) }

func full(version uint32, ids ...string) engine.EndpointList {
	l := engine.EndpointList{Version: version, Full: true}
	for _, id := range ids {
		l.Endpoints = append(l.Endpoints, engine.Endpoint{ID: id, Addr: id + ":1", State: decision.Ready})
	}
	return l
}

// follower keeps what an engine would know.
type follower struct {
	mu   sync.Mutex
	list endpointSet
	told int
	errs int
}

func (f *follower) tell(l engine.EndpointList) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.told++
	f.list.apply(l)
}

func (f *follower) ids() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var ids []string
	for _, m := range f.list.members {
		ids = append(ids, m.ID)
	}
	slices.Sort(ids)
	return ids
}

// follow watches again and again until ctx ends, as an engine does.
func (f *follower) follow(ctx context.Context, src engine.Source) {
	for ctx.Err() == nil {
		f.mu.Lock()
		from := f.list.version
		f.mu.Unlock()
		if err := src.Watch(ctx, from, f.tell); err != nil && ctx.Err() == nil {
			f.mu.Lock()
			f.errs++
			f.mu.Unlock()
			time.Sleep(20 * time.Millisecond)
		}
	}
}

func TestManyFollowByOneWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		src := newFake(full(7, "a", "b"))
		h := newTestHub(src, engine.EndpointList{})
		ctx, cancel := context.WithCancel(t.Context())
		var all []*follower
		var joined []*Subscription
		add := func() {
			f, j := &follower{}, h.Join()
			all, joined = append(all, f), append(joined, j)
			go f.follow(ctx, j)
		}
		for range 50 {
			add()
		}
		time.Sleep(100 * time.Millisecond)
		src.lists <- engine.EndpointList{Version: 8, Endpoints: []engine.Endpoint{{ID: "a", State: decision.Removed}, {ID: "c", Addr: "c:1", State: decision.Ready}}}
		synctest.Wait()
		add() // who comes late is told what is so far
		time.Sleep(100 * time.Millisecond)
		for i, f := range all {
			if got := f.ids(); !slices.Equal(got, []string{"b", "c"}) {
				t.Fatalf("follower %d knows %v", i, got)
			}
		}
		if src.fetches != 1 || src.watches != 1 {
			t.Errorf("%d fetches, %d watches for 51 followers", src.fetches, src.watches)
		}
		if list, err := joined[0].Fetch(ctx); err != nil || len(list.Endpoints) != 2 || src.fetches != 1 {
			t.Errorf("while the watch is alive: %+v, %v, %d fetches", list, err, src.fetches)
		}
		cancel()
		synctest.Wait()
		if src.open != 0 || src.closed {
			t.Errorf("nobody watches; %d watches are open, closed %v", src.open, src.closed)
		}
		for _, j := range joined {
			j.Close()
			j.Close() // twice is once
		}
		if !src.closed || len(h.byAddr) != 0 {
			t.Error("the last has left, and the register is not closed")
		}
	})
}

// A register that fails is asked at a bounded rate however many follow, and each follower hears of it.
func TestFailuresAreToldAndPaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		src := newFake(full(1, "a"))
		src.err = errors.New("down")
		h := newTestHub(src, full(1, "a"))
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var all []*follower
		for range 200 {
			f := &follower{list: endpointSet{known: true, version: 1}}
			all = append(all, f)
			go f.follow(ctx, h.Join())
		}
		time.Sleep(20 * time.Second)
		synctest.Wait()
		src.mu.Lock()
		calls := len(src.at)
		src.mu.Unlock()
		if calls > 20 || calls < 8 {
			t.Errorf("%d calls in 20 s", calls)
		}
		for i, f := range all {
			f.mu.Lock()
			if f.errs < 5 {
				t.Fatalf("follower %d heard of %d failures", i, f.errs)
			}
			f.mu.Unlock()
		}
		src.mu.Lock()
		src.err = nil
		src.mu.Unlock()
		time.Sleep(3 * time.Second)
		src.lists <- full(2, "z")
		synctest.Wait()
		for i, f := range all {
			if got := f.ids(); !slices.Equal(got, []string{"z"}) {
				t.Fatalf("follower %d knows %v after all is well", i, got)
			}
		}
		if src.most != 1 {
			t.Errorf("%d watches at a time", src.most)
		}
	})
}

// A follower that leaves, or is slow to listen, does not hold the others up; what it missed comes in order.
func TestASlowFollowerHoldsNobodyUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		src := newFake(full(1))
		h := newTestHub(src, full(1))
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		slow, quick := &follower{list: endpointSet{version: 1}}, &follower{list: endpointSet{version: 1}}
		go h.Join().Watch(ctx, 1, func(l engine.EndpointList) { time.Sleep(time.Second); slow.tell(l) })
		go h.Join().Watch(ctx, 1, quick.tell)
		gone := h.Join()
		left := make(chan error, 1)
		go func() { left <- gone.Watch(ctx, 1, func(engine.EndpointList) {}) }()
		synctest.Wait()
		gone.Close()
		if err := <-left; !errors.Is(err, ErrUnsubscribed) {
			t.Errorf("the one that left: %v", err)
		}
		for v := range uint32(5) {
			src.lists <- engine.EndpointList{Version: 2 + v, Endpoints: []engine.Endpoint{{ID: fmt.Sprint("n", v), Addr: "x:1", State: decision.Ready}}}
			synctest.Wait()
			if quick.told != int(v)+2 { // the whole list first
				t.Errorf("the quick one was told %d of %d", quick.told, v+2)
			}
		}
		time.Sleep(10 * time.Second)
		if got := slow.ids(); len(got) != 5 {
			t.Errorf("the slow one knows %v", got)
		}
	})
}

// Whatever changes come, in whatever pieces, who joins at any moment comes to know what the register says.
func TestEveryFollowerComesToTheSameList(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.IntRange(0, 5), 1, 30).Draw(rt, "steps")
		ids := rapid.SliceOfN(rapid.IntRange(0, 6), len(steps), len(steps)).Draw(rt, "ids")
		var wrong []string // rapid must not be failed from within the bubble
		synctest.Test(t, func(t *testing.T) {
			var truth endpointSet
			truth.apply(full(1, "n0"))
			src := newFake(truth.snapshot())
			h := newTestHub(src, engine.EndpointList{})
			ctx, cancel := context.WithCancel(t.Context())
			var all []*follower
			add := func() {
				f := &follower{}
				all = append(all, f)
				go f.follow(ctx, h.Join())
				time.Sleep(50 * time.Millisecond)
			}
			add()
			version := uint32(1)
			for i, s := range steps {
				id := fmt.Sprint("n", ids[i])
				version++
				switch s {
				case 0, 1, 2:
					l := engine.EndpointList{Version: version, Endpoints: []engine.Endpoint{{ID: id, Addr: fmt.Sprint(id, ":", version), State: decision.BackendState(s)}}}
					truth.apply(l)
					src.lists <- l
				case 3: // the register starts anew, with versions of its own
					version = uint32(i % 3)
					truth.apply(full(version, id))
					src.lists <- truth.snapshot()
				case 4: // it breaks; what changes meanwhile is in its next answer
					src.fail <- errors.New("broken")
					time.Sleep(5 * time.Second)
					truth.apply(full(version, id))
					src.lists <- truth.snapshot()
				default:
					add()
				}
				synctest.Wait()
			}
			for i, f := range all {
				f.mu.Lock()
				if fmt.Sprint(f.list.members) != fmt.Sprint(truth.members) {
					wrong = append(wrong, fmt.Sprintf("follower %d knows %v, the register says %v", i, f.list.members, truth.members))
				}
				f.mu.Unlock()
			}
			cancel()
			synctest.Wait()
		})
		if len(wrong) > 0 {
			rt.Fatalf("%v", wrong)
		}
	})
}

// The list's number wraps: changes that come after the last number are newer.
func TestChangesAfterTheLastNumberAreTaken(t *testing.T) {
	for _, k := range []struct {
		held, told uint32
		taken      bool
	}{{7, 8, true}, {7, 6, false}, {math.MaxUint32, 0, true}, {1, math.MaxUint32, false}} {
		h := &sharedWatch{watchers: map[*watcher]bool{}}
		h.publish(full(k.held, "a"))
		h.publish(engine.EndpointList{Version: k.told, Endpoints: []engine.Endpoint{{ID: "a", State: decision.Removed}}})
		if taken := len(h.endpoints.members) == 0; taken != k.taken {
			t.Errorf("holding list %d, changes with number %d are taken: %v", k.held, k.told, taken)
		}
	}
}

// heldFetch answers a call for the whole list with what it was as the call came, once it is let go.
type heldFetch struct {
	*fake
	came, letGo chan struct{}
}

func (f *heldFetch) Fetch(context.Context) (engine.EndpointList, error) {
	f.mu.Lock()
	list := f.list
	f.mu.Unlock()
	close(f.came)
	<-f.letGo
	return list, nil
}

// A whole list that was asked for before the watch told of a drain comes after it: the drain stands.
func TestAWholeListThatCrossesNewsDoesNotUndoIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		src := &heldFetch{newFake(full(5, "a", "b")), make(chan struct{}), make(chan struct{})}
		hubs := NewRegistry(time.Second, func(string) engine.Source { return src })
		asks, follows := hubs.Subscribe("r", full(5, "a", "b")), hubs.Subscribe("r", engine.EndpointList{})
		ctx, cancel := context.WithCancel(t.Context())
		fetched := make(chan engine.EndpointList, 1)
		go func() {
			list, err := asks.Fetch(ctx)
			if err != nil {
				t.Error(err)
			}
			fetched <- list
		}()
		<-src.came
		f := &follower{}
		go f.follow(ctx, follows)
		src.lists <- engine.EndpointList{Version: 6, Endpoints: []engine.Endpoint{{ID: "a", Addr: "a:1", State: decision.Draining}}}
		synctest.Wait()
		close(src.letGo)
		list := <-fetched
		synctest.Wait()
		held, _ := follows.List()
		for what, l := range map[string]engine.EndpointList{"the call's answer": list, "the hub": held, "the follower": f.list.snapshot()} {
			if l.Version != 6 || len(l.Endpoints) != 2 || l.Endpoints[0].State != decision.Draining {
				t.Errorf("%s has %+v", what, l)
			}
		}
		cancel()
		synctest.Wait()
		asks.Close()
		follows.Close()
	})
}

package freshness

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"lapisspread/decision"
	"lapisspread/internal/controlplane/api"
	"lapisspread/internal/engine"
	"lapisspread/internal/staleness"
)

// fakeSource is a list source whose watch returns what is sent on answers: a list, or an error that ends the watch.
type fakeSource struct {
	answers chan any
	list    engine.EndpointList
}

func (s *fakeSource) Addr() string { return "register" }
func (s *fakeSource) Close()       {}
func (s *fakeSource) Fetch(context.Context) (engine.EndpointList, error) {
	return s.list, nil
}
func (s *fakeSource) Watch(ctx context.Context, _ uint32, handle func(engine.EndpointList)) error {
	for {
		select {
		case x := <-s.answers:
			switch x := x.(type) {
			case error:
				return x
			case engine.EndpointList:
				handle(x)
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func endpointList(version uint32, full bool, names ...string) engine.EndpointList {
	l := engine.EndpointList{Version: version, Full: full}
	for _, n := range names {
		l.Endpoints = append(l.Endpoints, engine.Endpoint{ID: n, Addr: n + ":1", Kind: "fast", State: decision.Ready})
	}
	return l
}

var classes = []decision.Class{
	{Idempotency: decision.Idempotent}, {Idempotency: decision.IdempotentByKey},
	{Idempotency: decision.NotIdempotent},
}

const (
	idempotentClass = 0
	keyedClass      = 1
	onceOnlyClass   = 2
)

// fixture is a monitor with one list of four endpoints.
type fixture struct {
	t           *testing.T
	monitor     *Monitor
	fakeSource  *fakeSource
	source      engine.Source
	view        *ServiceView
	suspended   atomic.Int64
	heartbeats  atomic.Bool
	listVersion atomic.Uint32 // of the last answer
}

// runFixture runs a test in a synctest bubble, with a watch that answers every second while heartbeats is set.
func runFixture(t *testing.T, act bool, do func(f *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		begun := time.Now()
		f := &fixture{t: t, fakeSource: &fakeSource{answers: make(chan any)}}
		f.monitor = New(Config{Freshness: &api.FreshnessSettings{Enforce: act},
			Clock: func() time.Duration { return time.Hour + time.Since(begun) + time.Duration(f.suspended.Load()) }})
		f.fakeSource.list = endpointList(1, true, "a", "b", "c", "d")
		f.source = f.monitor.Wrap("r", time.Second, f.fakeSource, f.fakeSource.list, -1)
		f.view = f.monitor.ForService(classes)
		f.view.Follow("r")
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{}, 3)
		go func() { f.monitor.Run(ctx); ended <- struct{}{} }()
		go func() {
			for ctx.Err() == nil {
				_ = f.source.Watch(ctx, 1, func(engine.EndpointList) {})
			}
			ended <- struct{}{}
		}()
		go func() {
			for ctx.Err() == nil {
				if f.heartbeats.Load() {
					f.answer(endpointList(f.listVersion.Load(), false))
				}
				time.Sleep(time.Second)
			}
			ended <- struct{}{}
		}()
		defer func() {
			cancel()
			for range 3 {
				<-ended
			}
		}()
		f.listVersion.Store(1)
		f.heartbeats.Store(true)
		do(f)
	})
}

func (f *fixture) answer(x any) {
	if l, is := x.(engine.EndpointList); is {
		f.listVersion.Store(max(f.listVersion.Load(), l.Version))
	}
	select {
	case f.fakeSource.answers <- x:
	case <-time.After(10 * time.Second):
	}
}

func (f *fixture) level() staleness.Level {
	s := f.view.list.Load().published.Load()
	if s == nil {
		return staleness.Blind
	}
	worst := staleness.Confirmed
	for _, r := range s.report.Routes {
		for l := range staleness.Confirmed {
			if l.String() == r.Level {
				worst = min(worst, l)
			}
		}
	}
	return worst
}

// waitFor waits for a condition that must become true.
func (f *fixture) waitFor(what string, yes func() bool) {
	f.t.Helper()
	for range 36000 {
		if yes() {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	f.t.Fatalf("timed out: %s: %+v", what, f.monitor.Report())
}

func (f *fixture) waitUntilFresh() {
	f.t.Helper()
	f.waitFor("fresh", func() bool { return f.level() >= staleness.Fresh && f.allowed("a", onceOnlyClass) })
}

func (f *fixture) allowed(server string, class int) bool {
	_, ok := f.view.CheckAttempt(engine.BackendID(server), class)
	return ok
}

func (f *fixture) attemptEnded(server string, result decision.Result) {
	seen, _ := f.view.CheckAttempt(engine.BackendID(server), -1)
	f.view.AttemptEnded(seen, result)
	time.Sleep(3 * snapshotInterval)
}

func (f *fixture) confidence(server string) float32 {
	s := f.view.list.Load().published.Load()
	c, _ := s.snapshot.Entry(s.endpoints[engine.BackendID(server)].handle, staleness.Idempotent)
	return c
}

func TestSilentWatchLowersLevelAndAnswersRestoreIt(t *testing.T) {
	runFixture(t, true, func(f *fixture) {
		if f.allowed("a", onceOnlyClass) {
			t.Error("before any answer, an attempt that must not run twice was allowed")
		}
		f.waitUntilFresh()
		time.Sleep(time.Minute)
		f.heartbeats.Store(false)
		f.waitFor("doubt", func() bool { return f.level() == staleness.Doubtful })
		for _, c := range []struct {
			class int
			may   bool
		}{{idempotentClass, true}, {keyedClass, true}, {onceOnlyClass, false}} {
			if f.allowed("b", c.class) != c.may {
				t.Errorf("doubtful: class %d: %v", c.class, !c.may)
			}
		}
		f.attemptEnded("a", decision.OK)
		if f.level() == staleness.Doubtful && (!f.allowed("a", onceOnlyClass) || f.allowed("b", onceOnlyClass)) {
			t.Error("an attempt that must not run twice is refused at an endpoint that answered, or allowed at another")
		}
		f.waitFor("blindness", func() bool { return f.level() == staleness.Blind })
		if f.allowed("a", onceOnlyClass) || f.allowed("b", idempotentClass) || f.allowed("nobody", idempotentClass) {
			t.Error("blind, and an attempt is allowed")
		}
		f.heartbeats.Store(true)
		f.waitUntilFresh()
		if f := f.monitor.Report().ForbiddenAttempts; f["once"] == 0 || f["safe"] == 0 {
			t.Errorf("forbidden: %v", f)
		}
	})
}

func TestNothingIsForbiddenUnlessEnforced(t *testing.T) {
	runFixture(t, false, func(f *fixture) {
		f.waitUntilFresh()
		f.heartbeats.Store(false)
		f.waitFor("blindness", func() bool { return f.level() == staleness.Blind })
		if !f.allowed("a", onceOnlyClass) || !f.allowed("nobody", onceOnlyClass) ||
			f.monitor.Report().ForbiddenAttempts["once"] > 0 {
			t.Error("not enforced, and an attempt is forbidden")
		}
	})
}

func TestRefusedConnectionConcernsOneEndpoint(t *testing.T) {
	runFixture(t, true, func(f *fixture) {
		f.waitUntilFresh()
		was := f.confidence("b")
		for range 3 {
			f.attemptEnded("a", decision.ConnectFailed)
		}
		if a, b := f.confidence("a"), f.confidence("b"); a > .5 || b < .9*was {
			t.Errorf("after a's refusals: a %v, b %v, was %v", a, b, was)
		}
		low := f.confidence("a")
		f.attemptEnded("a", decision.Timeout) // no evidence either way
		if f.confidence("a") > low+.05 {
			t.Error("a time-out was taken for an answer")
		}
		f.attemptEnded("a", decision.OK)
		f.waitFor("a trusted again", func() bool { return f.confidence("a") > .95 })
	})
}

// After a suspension of the process, input that waited in the socket does not count as recent, and the last snapshot is
// too old.
func TestSuspensionOfTheProcess(t *testing.T) {
	runFixture(t, true, func(f *fixture) {
		f.waitUntilFresh()
		f.suspended.Add(int64(5 * time.Minute))
		if f.allowed("a", onceOnlyClass) || !f.allowed("a", idempotentClass) {
			t.Error("right after a suspension an old snapshot allowed what must not run twice, or nothing is allowed")
		}
		time.Sleep(3 * snapshotInterval)
		if r := f.monitor.Report(); r.Suspensions != 1 || r.StaleLookups == 0 || f.level() >= staleness.Fresh {
			t.Errorf("after a suspension: %+v", r)
		}
		f.waitUntilFresh()
	})
}

func TestRestartedWorkerKeepsTheList(t *testing.T) {
	runFixture(t, true, func(f *fixture) {
		f.waitUntilFresh()
		f.answer(endpointList(2, false, "e"))
		time.Sleep(3 * snapshotInterval)
		gone := endpointList(3, false, "d")
		gone.Endpoints[0].State = decision.Removed
		f.answer(gone)
		f.monitor.observations <- observation{} // without an endpoint: the worker panics
		f.waitFor("another worker", func() bool { return f.monitor.Report().WorkerDeaths == 1 })
		f.waitFor("its snapshot", func() bool {
			return f.view.list.Load().published.Load().endpoints[engine.BackendID("e")].generation == 2
		})
		f.waitUntilFresh()
		if !f.allowed("e", onceOnlyClass) || f.allowed("d", onceOnlyClass) {
			t.Error("the list is another one after the restart")
		}
	})
}

func TestBrokenWatchLowersConfidence(t *testing.T) {
	runFixture(t, true, func(f *fixture) {
		f.waitUntilFresh()
		f.heartbeats.Store(false)
		time.Sleep(2 * time.Second)
		was := f.confidence("a")
		f.answer(errors.New("broken"))
		time.Sleep(5 * time.Second)
		if f.confidence("a") >= was {
			t.Error("a broken watch did not lower the confidence")
		}
		f.heartbeats.Store(true)
		f.waitUntilFresh()
	})
}

func TestOvertakenAnswerIsDropped(t *testing.T) {
	runFixture(t, true, func(f *fixture) {
		f.answer(endpointList(5, false, "e"))
		if _, err := f.source.Fetch(context.Background()); err != nil { // of version 1, without e
			t.Fatal(err)
		}
		f.waitUntilFresh()
		if !f.allowed("e", onceOnlyClass) {
			t.Error("an older list took the place of a newer one")
		}
	})
}

// Without a worker the queues are bounded, and no change of the list is lost.
func TestQueuesAreBounded(t *testing.T) {
	l := New(Config{Freshness: &api.FreshnessSettings{}})
	fake := &fakeSource{answers: make(chan any)}
	src := l.Wrap("r", time.Second, fake, engine.EndpointList{}, -1)
	ctx, cancel := context.WithCancel(context.Background())
	told, ended := make(chan struct{}), make(chan struct{})
	go func() { _ = src.Watch(ctx, 0, func(engine.EndpointList) { told <- struct{}{} }); close(ended) }()
	for i := range 1000 {
		fake.answers <- endpointList(uint32(i), i == 0, fmt.Sprint("s", i%7))
		<-told
	}
	cancel()
	<-ended
	r := l.lists["r"]
	if n := r.takePending(); len(n.Changes) != 7 || !n.Complete || n.merged != 999 || n.Version != 999 {
		t.Errorf("%d changes wait, whole %v, %d merged, version %d", len(n.Changes), n.Complete, n.merged, n.Version)
	}
	sight := l.ForService(classes)
	for range observationQueueSize + 10 {
		sight.AttemptEnded(&endpoint{list: r}, decision.OK)
	}
	if len(l.observations) != observationQueueSize || l.Report().DroppedObservations != 10 {
		t.Errorf("%d wait, %d dropped", len(l.observations), l.Report().DroppedObservations)
	}
	for i := range maxLists + 5 {
		l.Wrap(fmt.Sprint(i), time.Second, fake, engine.EndpointList{}, -1)
	}
	if len(l.lists) != maxLists {
		t.Errorf("%d lists", len(l.lists))
	}
}

func TestCheckAttemptDoesNotAllocate(t *testing.T) {
	runFixture(t, true, func(f *fixture) {
		f.waitUntilFresh()
		a, nobody := engine.BackendID("a"), engine.BackendID("nobody")
		allocations := testing.AllocsPerRun(100, func() {
			f.view.CheckAttempt(a, onceOnlyClass)
			f.view.CheckAttempt(nobody, idempotentClass)
		})
		if allocations > 0 {
			t.Errorf("CheckAttempt allocates %v times", allocations)
		}
	})
}

func BenchmarkLook(b *testing.B) {
	l := New(Config{Freshness: &api.FreshnessSettings{Enforce: true}})
	l.Wrap("r", time.Second, &fakeSource{}, endpointList(1, true, "a", "b"), 0)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { l.Run(ctx); close(ended) }()
	defer func() { cancel(); <-ended }()
	s := l.ForService(classes)
	s.Follow("r")
	id := engine.BackendID("a")
	b.ReportAllocs()
	for b.Loop() {
		s.CheckAttempt(id, idempotentClass)
	}
}

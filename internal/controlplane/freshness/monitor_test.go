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
		case answer := <-s.answers:
			switch answer := answer.(type) {
			case error:
				return answer
			case engine.EndpointList:
				handle(answer)
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// endpointList returns a list of ready endpoints with the given names.
func endpointList(version uint32, full bool, names ...string) engine.EndpointList {
	list := engine.EndpointList{Version: version, Full: full}
	for _, name := range names {
		list.Endpoints = append(list.Endpoints,
			engine.Endpoint{ID: name, Addr: name + ":1", Kind: "fast", State: decision.Ready})
	}
	return list
}

// classes are the request classes of the service: one for each kind of idempotency.
var classes = []decision.Class{
	{Idempotency: decision.Idempotent}, {Idempotency: decision.IdempotentByKey},
	{Idempotency: decision.NotIdempotent},
}

// Indices into classes.
const (
	idempotentClass    = 0
	keyedClass         = 1
	nonIdempotentClass = 2
)

// fixture is a running monitor with one list of the endpoints a, b, c and d, and a service that follows it.
type fixture struct {
	t           *testing.T
	monitor     *Monitor
	fakeSource  *fakeSource
	source      engine.Source
	view        *ServiceView
	suspended   atomic.Int64  // nanoseconds for which the machine was suspended, added to the clock
	heartbeats  atomic.Bool   // the watch answers every second
	listVersion atomic.Uint32 // highest version answered so far
}

// runFixture runs a test in a synctest bubble, with a watch that answers every second while heartbeats is set.
// enforce makes the monitor forbid attempts.
func runFixture(t *testing.T, enforce bool, run func(f *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		startedAt := time.Now()
		f := &fixture{t: t, fakeSource: &fakeSource{answers: make(chan any)}}
		f.monitor = New(Config{
			Freshness: &api.FreshnessSettings{Enforce: enforce},
			Clock: func() time.Duration {
				return time.Hour + time.Since(startedAt) + time.Duration(f.suspended.Load())
			},
		})
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
		run(f)
	})
}

// answer sends an answer of the watch: an engine.EndpointList, or an error that ends the watch. It gives up after 10 s.
func (f *fixture) answer(answer any) {
	if list, ok := answer.(engine.EndpointList); ok {
		f.listVersion.Store(max(f.listVersion.Load(), list.Version))
	}
	select {
	case f.fakeSource.answers <- answer:
	case <-time.After(10 * time.Second):
	}
}

// level returns the lowest published level of all routes, at most Confirmed.
func (f *fixture) level() staleness.Level {
	state := f.view.list.Load().published.Load()
	if state == nil {
		return staleness.Blind
	}
	lowest := staleness.Confirmed
	for _, route := range state.report.Routes {
		for level := range staleness.Confirmed {
			if level.String() == route.Level {
				lowest = min(lowest, level)
			}
		}
	}
	return lowest
}

// waitFor waits until a condition holds, and fails the test after an hour of the fake clock. description names the
// condition.
func (f *fixture) waitFor(description string, condition func() bool) {
	f.t.Helper()
	for range 36000 {
		if condition() {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	f.t.Fatalf("waiting 1h for %s: timed out with report %+v", description, f.monitor.Report())
}

// waitUntilFresh waits until the list is fresh and endpoint a gets attempts that must not run twice.
func (f *fixture) waitUntilFresh() {
	f.t.Helper()
	f.waitFor("level fresh and a non-idempotent attempt at endpoint a to be allowed", func() bool {
		return f.level() >= staleness.Fresh && f.allowed("a", nonIdempotentClass)
	})
}

// allowed reports whether CheckAttempt allows an attempt of a class at a server.
func (f *fixture) allowed(server string, class int) bool {
	_, ok := f.view.CheckAttempt(engine.BackendID(server), class)
	return ok
}

// attemptEnded records the result of an attempt at a server and waits until it is in the published snapshot.
func (f *fixture) attemptEnded(server string, result decision.Result) {
	token, _ := f.view.CheckAttempt(engine.BackendID(server), -1)
	f.view.AttemptEnded(token, result)
	time.Sleep(3 * snapshotInterval)
}

// confidence returns the published confidence, 0 to 1, in the list entry of a server.
func (f *fixture) confidence(server string) float32 {
	state := f.view.list.Load().published.Load()
	confidence, _ := state.snapshot.Entry(state.endpoints[engine.BackendID(server)].handle, staleness.Idempotent)
	return confidence
}

// While the watch delivers nothing, the freshness level falls to doubtful and then to blind. At doubtful, an endpoint
// that has not answered since gets only attempts that may run twice. At blind its idempotent attempts are refused too.
// When the watch answers again, the level rises.
func TestSilentWatchLowersLevelAndAnswersRestoreIt(t *testing.T) {
	runFixture(t, true, func(f *fixture) {
		if f.allowed("a", nonIdempotentClass) {
			t.Error("CheckAttempt(endpoint a, not idempotent) before any answer of the watch = allowed, want forbidden")
		}
		f.waitUntilFresh()
		time.Sleep(time.Minute)
		f.heartbeats.Store(false)
		f.waitFor("level doubtful after the watch fell silent", func() bool { return f.level() == staleness.Doubtful })
		for _, test := range []struct {
			name  string
			class int
			want  bool
		}{
			{"idempotent", idempotentClass, true},
			{"idempotent by key", keyedClass, true},
			{"not idempotent", nonIdempotentClass, false},
		} {
			if got := f.allowed("b", test.class); got != test.want {
				t.Errorf("CheckAttempt(endpoint b, %s) at level doubtful: allowed %v, want %v", test.name, got, test.want)
			}
		}
		f.attemptEnded("a", decision.OK)
		if f.level() == staleness.Doubtful &&
			(!f.allowed("a", nonIdempotentClass) || f.allowed("b", nonIdempotentClass)) {
			t.Errorf("non-idempotent attempts at level doubtful after endpoint a answered: allowed at endpoint a %v, at b %v; "+
				"want true, false", f.allowed("a", nonIdempotentClass), f.allowed("b", nonIdempotentClass))
		}
		f.waitFor("level blind after the watch fell silent", func() bool { return f.level() == staleness.Blind })
		if f.allowed("a", nonIdempotentClass) || f.allowed("b", idempotentClass) ||
			f.allowed("unlisted", idempotentClass) {
			t.Errorf("attempts at level blind: allowed at endpoint a (not idempotent) %v, at endpoint b (idempotent) %v, "+
				"an unlisted backend (idempotent) %v; want all false",
				f.allowed("a", nonIdempotentClass), f.allowed("b", idempotentClass),
				f.allowed("unlisted", idempotentClass))
		}
		f.heartbeats.Store(true)
		f.waitUntilFresh()
		if forbidden := f.monitor.Report().ForbiddenAttempts; forbidden["once"] == 0 || forbidden["safe"] == 0 {
			t.Errorf("Report().ForbiddenAttempts = %v, want once and safe above 0", forbidden)
		}
	})
}

// Unless the setting Enforce is on, CheckAttempt allows every attempt, however outdated the endpoint list may be, and
// counts none as forbidden.
func TestNothingIsForbiddenUnlessEnforced(t *testing.T) {
	runFixture(t, false, func(f *fixture) {
		f.waitUntilFresh()
		f.heartbeats.Store(false)
		f.waitFor("level blind after the watch fell silent", func() bool { return f.level() == staleness.Blind })
		if !f.allowed("a", nonIdempotentClass) || !f.allowed("unlisted", nonIdempotentClass) ||
			f.monitor.Report().ForbiddenAttempts["once"] > 0 {
			t.Errorf("non-idempotent attempts without Enforce, level blind: allowed at endpoint a %v, at an unlisted one %v, "+
				"%d counted as forbidden; want true, true, 0", f.allowed("a", nonIdempotentClass),
				f.allowed("unlisted", nonIdempotentClass), f.monitor.Report().ForbiddenAttempts["once"])
		}
	})
}

// Refused connections to one endpoint lower the confidence in its list entry only. A timeout does not raise the
// confidence, and a successful attempt restores it.
func TestRefusedConnectionConcernsOneEndpoint(t *testing.T) {
	runFixture(t, true, func(f *fixture) {
		f.waitUntilFresh()
		before := f.confidence("b")
		for range 3 {
			f.attemptEnded("a", decision.ConnectFailed)
		}
		if a, b := f.confidence("a"), f.confidence("b"); a > .5 || b < .9*before {
			t.Errorf("confidence after 3 refused connections to endpoint a: endpoint a %v, endpoint b %v; "+
				"want a at most 0.5, b at least 90%% of the previous %v", a, b, before)
		}
		low := f.confidence("a")
		f.attemptEnded("a", decision.Timeout) // a timeout is evidence neither for nor against the entry
		if got := f.confidence("a"); got > low+.05 {
			t.Errorf("confidence in the list entry of endpoint a after a timeout: %v, want at most %v: "+
				"a timeout is no evidence for the entry", got, low+.05)
		}
		f.attemptEnded("a", decision.OK)
		f.waitFor("confidence in the list entry of endpoint a above 0.95 after a successful attempt", func() bool {
			return f.confidence("a") > .95
		})
	})
}

// After the process was suspended, input that was queued in the socket must not count as recent, and the last published
// snapshot is too old to use.
func TestSuspensionOfTheProcess(t *testing.T) {
	runFixture(t, true, func(f *fixture) {
		f.waitUntilFresh()
		f.suspended.Add(int64(5 * time.Minute))
		if f.allowed("a", nonIdempotentClass) || !f.allowed("a", idempotentClass) {
			t.Errorf("attempts at endpoint a right after a suspension, with an old snapshot: allowed non-idempotent %v, "+
				"idempotent %v; want false, true", f.allowed("a", nonIdempotentClass), f.allowed("a", idempotentClass))
		}
		time.Sleep(3 * snapshotInterval)
		if r := f.monitor.Report(); r.Suspensions != 1 || r.StaleLookups == 0 || f.level() >= staleness.Fresh {
			t.Errorf("after a suspension: level %v, report %+v; "+
				"want a level below fresh, 1 suspension, stale lookups above 0", f.level(), r)
		}
		f.waitUntilFresh()
	})
}

// A worker that replaces a crashed one starts from the complete list, including earlier additions and removals.
func TestRestartedWorkerKeepsTheList(t *testing.T) {
	runFixture(t, true, func(f *fixture) {
		f.waitUntilFresh()
		f.answer(endpointList(2, false, "e"))
		time.Sleep(3 * snapshotInterval)
		removal := endpointList(3, false, "d")
		removal.Endpoints[0].State = decision.Removed
		f.answer(removal)
		f.monitor.observations <- observation{} // has no endpoint, so the worker panics
		f.waitFor("the worker to panic", func() bool { return f.monitor.Report().WorkerDeaths == 1 })
		f.waitFor("a snapshot of the second worker", func() bool {
			return f.view.list.Load().published.Load().endpoints[engine.BackendID("e")].generation == 2
		})
		f.waitUntilFresh()
		if !f.allowed("e", nonIdempotentClass) || f.allowed("d", nonIdempotentClass) {
			t.Errorf("non-idempotent attempts after a restart of the worker: allowed at endpoint e (added before) %v, "+
				"at endpoint d (removed before) %v; want true, false",
				f.allowed("e", nonIdempotentClass), f.allowed("d", nonIdempotentClass))
		}
	})
}

// The confidence in the list must fall after the watch of its source has ended with an error.
func TestBrokenWatchLowersConfidence(t *testing.T) {
	runFixture(t, true, func(f *fixture) {
		f.waitUntilFresh()
		f.heartbeats.Store(false)
		time.Sleep(2 * time.Second)
		before := f.confidence("a")
		f.answer(errors.New("watch broken by the test"))
		time.Sleep(5 * time.Second)
		if got := f.confidence("a"); got >= before {
			t.Errorf("confidence in the list entry of endpoint a 5s after the watch broke: %v, want below the previous %v",
				got, before)
		}
		f.heartbeats.Store(true)
		f.waitUntilFresh()
	})
}

// If a Fetch returns a list with a lower version than the watch has already delivered, the monitor must ignore it.
func TestOvertakenAnswerIsDropped(t *testing.T) {
	runFixture(t, true, func(f *fixture) {
		f.answer(endpointList(5, false, "e"))
		if _, err := f.source.Fetch(context.Background()); err != nil { // returns version 1, without e
			t.Fatalf("Fetch() = error %v, want nil", err)
		}
		f.waitUntilFresh()
		if !f.allowed("e", nonIdempotentClass) {
			t.Error("CheckAttempt(endpoint e) after fetching a list older than the watched one = forbidden, want allowed: " +
				"the older list must be dropped")
		}
	})
}

// While no worker runs, the queues stay bounded and no change of a list is lost.
func TestQueuesAreBounded(t *testing.T) {
	m := New(Config{Freshness: &api.FreshnessSettings{}})
	fake := &fakeSource{answers: make(chan any)}
	source := m.Wrap("r", time.Second, fake, engine.EndpointList{}, -1)
	ctx, cancel := context.WithCancel(context.Background())
	handled, ended := make(chan struct{}), make(chan struct{})
	go func() { _ = source.Watch(ctx, 0, func(engine.EndpointList) { handled <- struct{}{} }); close(ended) }()
	for i := range 1000 {
		fake.answers <- endpointList(uint32(i), i == 0, fmt.Sprint("s", i%7))
		<-handled
	}
	cancel()
	<-ended
	list := m.lists["r"]
	pending := list.takePending()
	if len(pending.Changes) != 7 || !pending.Complete || pending.merged != 999 || pending.Version != 999 {
		t.Errorf("pending after 1000 updates of 7 endpoints: %d changes, complete %v, %d updates merged, version %d; "+
			"want 7, true, 999, 999", len(pending.Changes), pending.Complete, pending.merged, pending.Version)
	}
	view := m.ForService(classes)
	for range observationQueueSize + 10 {
		view.AttemptEnded(&endpoint{list: list}, decision.OK)
	}
	if len(m.observations) != observationQueueSize || m.Report().DroppedObservations != 10 {
		t.Errorf("after %d observations: %d queued, %d dropped; want %d, 10", observationQueueSize+10,
			len(m.observations), m.Report().DroppedObservations, observationQueueSize)
	}
	for i := range maxLists + 5 {
		m.Wrap(fmt.Sprint(i), time.Second, fake, engine.EndpointList{}, -1)
	}
	if len(m.lists) != maxLists {
		t.Errorf("lists after %d calls of Wrap with further names: %d, want %d", maxLists+5, len(m.lists), maxLists)
	}
}

func TestCheckAttemptDoesNotAllocate(t *testing.T) {
	runFixture(t, true, func(f *fixture) {
		f.waitUntilFresh()
		listed, unlisted := engine.BackendID("a"), engine.BackendID("unlisted")
		allocations := testing.AllocsPerRun(100, func() {
			f.view.CheckAttempt(listed, nonIdempotentClass)
			f.view.CheckAttempt(unlisted, idempotentClass)
		})
		if allocations > 0 {
			t.Errorf("allocations per 2 calls of CheckAttempt: %v, want 0", allocations)
		}
	})
}

// BenchmarkLook measures CheckAttempt at a listed endpoint.
func BenchmarkLook(b *testing.B) {
	m := New(Config{Freshness: &api.FreshnessSettings{Enforce: true}})
	m.Wrap("r", time.Second, &fakeSource{}, endpointList(1, true, "a", "b"), 0)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { m.Run(ctx); close(ended) }()
	defer func() { cancel(); <-ended }()
	view := m.ForService(classes)
	view.Follow("r")
	id := engine.BackendID("a")
	b.ReportAllocs()
	for b.Loop() {
		view.CheckAttempt(id, idempotentClass)
	}
}

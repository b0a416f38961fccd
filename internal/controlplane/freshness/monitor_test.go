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

// register is a fake source: what is sent on told comes at once, and a watch ends where it is an error.
type register struct {
	told chan any
	list engine.EndpointList
}

func (r *register) Addr() string { return "register" }
func (r *register) Close()       {}
func (r *register) Fetch(context.Context) (engine.EndpointList, error) {
	return r.list, nil
}
func (r *register) Watch(ctx context.Context, _ uint32, tell func(engine.EndpointList)) error {
	for {
		select {
		case x := <-r.told:
			switch x := x.(type) {
			case error:
				return x
			case engine.EndpointList:
				tell(x)
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func servers(version uint32, full bool, names ...string) engine.EndpointList {
	l := engine.EndpointList{Version: version, Full: full}
	for _, n := range names {
		l.Endpoints = append(l.Endpoints, engine.Endpoint{ID: n, Addr: n + ":1", Kind: "fast", State: decision.Ready})
	}
	return l
}

var classes = []decision.Class{{Idempotency: decision.Idempotent}, {Idempotency: decision.IdempotentByKey}, {Idempotency: decision.NotIdempotent}}

const (
	safe  = 0
	keyed = 1
	once  = 2
)

// world is a link with one register of four servers.
type world struct {
	t     *testing.T
	link  *Monitor
	fake  *register
	src   engine.Source
	sight *ServiceView
	jump  atomic.Int64
	beats atomic.Bool
	at    atomic.Uint32 // the register's version
}

// play runs a test under a fake clock that goes on whenever all wait.
func play(t *testing.T, act bool, do func(w *world)) {
	synctest.Test(t, func(t *testing.T) {
		begun := time.Now()
		w := &world{t: t, fake: &register{told: make(chan any)}}
		w.link = New(Config{Freshness: &api.FreshnessSettings{Enforce: act}, Clock: func() time.Duration { return time.Hour + time.Since(begun) + time.Duration(w.jump.Load()) }})
		w.fake.list = servers(1, true, "a", "b", "c", "d")
		w.src = w.link.Wrap("r", time.Second, w.fake, w.fake.list, -1)
		w.sight = w.link.ForService(classes)
		w.sight.Follow("r")
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{}, 3)
		go func() { w.link.Run(ctx); ended <- struct{}{} }()
		go func() {
			for ctx.Err() == nil {
				_ = w.src.Watch(ctx, 1, func(engine.EndpointList) {})
			}
			ended <- struct{}{}
		}()
		go func() {
			for ctx.Err() == nil {
				if w.beats.Load() {
					w.say(servers(w.at.Load(), false))
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
		w.at.Store(1)
		w.beats.Store(true)
		do(w)
	})
}

func (w *world) say(x any) {
	if l, is := x.(engine.EndpointList); is {
		w.at.Store(max(w.at.Load(), l.Version))
	}
	select {
	case w.fake.told <- x:
	case <-time.After(10 * time.Second):
	}
}

func (w *world) level() staleness.Level {
	s := w.sight.list.Load().published.Load()
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

// comes waits for what must come at last.
func (w *world) comes(what string, yes func() bool) {
	w.t.Helper()
	for range 36000 {
		if yes() {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	w.t.Fatalf("never: %s: %+v", what, w.link.Report())
}

func (w *world) fresh() {
	w.t.Helper()
	w.comes("fresh", func() bool { return w.level() >= staleness.Fresh && w.may("a", once) })
}

func (w *world) may(server string, class int) bool {
	_, ok := w.sight.CheckAttempt(backendID(server), class)
	return ok
}

func (w *world) ended(server string, result decision.Result) {
	seen, _ := w.sight.CheckAttempt(backendID(server), -1)
	w.sight.AttemptEnded(seen, result)
	time.Sleep(3 * snapshotInterval)
}

func (w *world) chance(server string) float32 {
	s := w.sight.list.Load().published.Load()
	c, _ := s.snapshot.Entry(s.endpoints[backendID(server)].handle, staleness.Safe)
	return c
}

func TestASilentWatchIsDoubtedAndNewsBringTrustBack(t *testing.T) {
	play(t, true, func(w *world) {
		if w.may("a", once) {
			t.Error("before anything was heard, what must never run twice was let out")
		}
		w.fresh()
		time.Sleep(time.Minute)
		w.beats.Store(false)
		w.comes("doubt", func() bool { return w.level() == staleness.Doubtful })
		for _, c := range []struct {
			class int
			may   bool
		}{{safe, true}, {keyed, true}, {once, false}} {
			if w.may("b", c.class) != c.may {
				t.Errorf("doubtful: class %d: %v", c.class, !c.may)
			}
		}
		w.ended("a", decision.OK)
		if w.level() == staleness.Doubtful && (!w.may("a", once) || w.may("b", once)) {
			t.Error("what must never run twice may not go to whom answered since, or goes to another")
		}
		w.comes("blindness", func() bool { return w.level() == staleness.Blind })
		if w.may("a", once) || w.may("b", safe) || w.may("nobody", safe) {
			t.Error("blind, and something goes out")
		}
		w.beats.Store(true)
		w.fresh()
		if f := w.link.Report().ForbiddenAttempts; f["once"] == 0 || f["safe"] == 0 {
			t.Errorf("forbidden: %v", f)
		}
	})
}

func TestWithoutActNothingIsForbidden(t *testing.T) {
	play(t, false, func(w *world) {
		w.fresh()
		w.beats.Store(false)
		w.comes("blindness", func() bool { return w.level() == staleness.Blind })
		if !w.may("a", once) || !w.may("nobody", once) || w.link.Report().ForbiddenAttempts["once"] > 0 {
			t.Error("it is only shown, and yet something is forbidden")
		}
	})
}

func TestARefusalIsAboutOneServer(t *testing.T) {
	play(t, true, func(w *world) {
		w.fresh()
		was := w.chance("b")
		for range 3 {
			w.ended("a", decision.ConnectFailed)
		}
		if a, b := w.chance("a"), w.chance("b"); a > .5 || b < .9*was {
			t.Errorf("after a's refusals: a %v, b %v, was %v", a, b, was)
		}
		low := w.chance("a")
		w.ended("a", decision.Timeout) // says nothing
		if w.chance("a") > low+.05 {
			t.Error("a time-out was taken for an answer")
		}
		w.ended("a", decision.OK)
		w.comes("a trusted again", func() bool { return w.chance("a") > .95 })
	})
}

// What waited in the socket while the process stood is no news, and a look right after it finds what is too old.
func TestAStopOfTheProcess(t *testing.T) {
	play(t, true, func(w *world) {
		w.fresh()
		w.jump.Add(int64(5 * time.Minute))
		if w.may("a", once) || !w.may("a", safe) {
			t.Error("right after a stop an old snapshot was trusted with what must never run twice, or nothing goes out")
		}
		time.Sleep(3 * snapshotInterval)
		if r := w.link.Report(); r.Suspensions != 1 || r.StaleLookups == 0 || w.level() >= staleness.Fresh {
			t.Errorf("after a stop: %+v", r)
		}
		w.fresh()
	})
}

func TestADutyThatDiedGoesOnWithWhatWasHeard(t *testing.T) {
	play(t, true, func(w *world) {
		w.fresh()
		w.say(servers(2, false, "e"))
		time.Sleep(3 * snapshotInterval)
		gone := servers(3, false, "d")
		gone.Endpoints[0].State = decision.Removed
		w.say(gone)
		w.link.observations <- observation{} // without a server: it kills the duty
		w.comes("another duty", func() bool { return w.link.Report().WorkerDeaths == 1 })
		w.comes("its snapshot", func() bool { return w.sight.list.Load().published.Load().endpoints[backendID("e")].generation == 2 })
		w.fresh()
		if !w.may("e", once) || w.may("d", once) {
			t.Error("the list after it is another one")
		}
	})
}

func TestAFailedWatchIsWeighed(t *testing.T) {
	play(t, true, func(w *world) {
		w.fresh()
		w.beats.Store(false)
		time.Sleep(2 * time.Second)
		was := w.chance("a")
		w.say(errors.New("broken"))
		time.Sleep(5 * time.Second)
		if w.chance("a") >= was {
			t.Error("a watch that has ended is as good as one that has not")
		}
		w.beats.Store(true)
		w.fresh()
	})
}

func TestAnAnswerThatCrossedANewerOneIsDropped(t *testing.T) {
	play(t, true, func(w *world) {
		w.say(servers(5, false, "e"))
		if _, err := w.src.Fetch(context.Background()); err != nil { // of version 1, without e
			t.Fatal(err)
		}
		w.fresh()
		if !w.may("e", once) {
			t.Error("an older list took the place of a newer one")
		}
	})
}

// Without a duty all that waits is bounded, and of the list nothing is lost.
func TestWhatWaitsIsBounded(t *testing.T) {
	l := New(Config{Freshness: &api.FreshnessSettings{}})
	fake := &register{told: make(chan any)}
	src := l.Wrap("r", time.Second, fake, engine.EndpointList{}, -1)
	ctx, cancel := context.WithCancel(context.Background())
	told, ended := make(chan struct{}), make(chan struct{})
	go func() { _ = src.Watch(ctx, 0, func(engine.EndpointList) { told <- struct{}{} }); close(ended) }()
	for i := range 1000 {
		fake.told <- servers(uint32(i), i == 0, fmt.Sprint("s", i%7))
		<-told
	}
	cancel()
	<-ended
	r := l.lists["r"]
	if n := r.takePending(); len(n.Changed) != 7 || !n.Whole || n.merged != 999 || n.Version != 999 {
		t.Errorf("%d changes wait, whole %v, %d merged, version %d", len(n.Changed), n.Whole, n.merged, n.Version)
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
		t.Errorf("%d registers", len(l.lists))
	}
}

func TestALookAllocatesNothing(t *testing.T) {
	play(t, true, func(w *world) {
		w.fresh()
		a, nobody := backendID("a"), backendID("nobody")
		if n := testing.AllocsPerRun(100, func() { w.sight.CheckAttempt(a, once); w.sight.CheckAttempt(nobody, safe) }); n > 0 {
			t.Errorf("a look allocates %v times", n)
		}
	})
}

func BenchmarkLook(b *testing.B) {
	l := New(Config{Freshness: &api.FreshnessSettings{Enforce: true}})
	l.Wrap("r", time.Second, &register{}, servers(1, true, "a", "b"), 0)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { l.Run(ctx); close(ended) }()
	defer func() { cancel(); <-ended }()
	s := l.ForService(classes)
	s.Follow("r")
	id := backendID("a")
	b.ReportAllocs()
	for b.Loop() {
		s.CheckAttempt(id, safe)
	}
}

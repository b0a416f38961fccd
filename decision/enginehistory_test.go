package decision_test

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"lapisspread/decision"
	"lapisspread/internal/engine"
	"lapisspread/internal/engine/enginetest"
)

// engineHarness runs an engine between random requests, a random endpoint list and scripted servers, with the model
// beside it. A send counts when a server has it, so of the rule on drains only the grace period is checked.
type engineHarness struct {
	enginetest.Script
	mu      sync.Mutex
	seed    uint64
	random  *rand.Rand // of the requests and of the list; what goroutines draw comes from randomFor
	model   *model
	engine  *engine.Engine
	members []engine.Endpoint
	version uint32
	changed chan struct{}       // closed at each change of the list
	update  engine.EndpointList // what changed last
	trace   []string
}

type drawnMessage decision.RequestID

func (drawnMessage) Consumed() bool { return false }

func (g *engineHarness) lock() func() {
	g.mu.Lock()
	g.model.now = g.engine.Clock().Now()
	return g.mu.Unlock
}

func (g *engineHarness) note(format string, args ...any) {
	g.trace = append(g.trace, fmt.Sprintf("%v ", g.model.now)+fmt.Sprintf(format, args...))
}

// randomFor gives each purpose a source of its own, as goroutines of one moment run in any order.
func (g *engineHarness) randomFor(of ...int) *rand.Rand {
	h := g.seed
	for _, n := range of {
		h = h*1_000_003 + uint64(n)
	}
	return rand.New(rand.NewPCG(h, 11))
}

func (g *engineHarness) Addr() string { return "drawn" }
func (g *engineHarness) Close()       {}

func (g *engineHarness) Fetch(context.Context) (engine.EndpointList, error) {
	defer g.lock()()
	l := g.fullList()
	g.reportList(l)
	return l, nil
}

func (g *engineHarness) Watch(ctx context.Context, from uint32, tell func(engine.EndpointList)) error {
	for {
		unlock := g.lock()
		l, changed := g.update, g.changed
		if from == g.version {
			unlock()
			select {
			case <-changed:
			case <-ctx.Done():
				return ctx.Err()
			}
			continue
		}
		if l.Version != from+1 { // more than one change was missed
			l = g.fullList()
		}
		fails := g.randomFor(1, int(g.version), int(g.model.now)).IntN(20) == 0
		if !fails {
			g.reportList(l)
		}
		unlock()
		if fails {
			return errors.New("drawn")
		}
		tell(l)
		from = l.Version
	}
}

// fullList is the list as it is now.
func (g *engineHarness) fullList() engine.EndpointList {
	return engine.EndpointList{Version: g.version, Full: true, Endpoints: slices.Clone(g.members)}
}

// reportList tells the model of a list. The lock must be held.
func (g *engineHarness) reportList(l engine.EndpointList) {
	m := decision.EndpointUpdate{Kind: decision.UpdateDelta, Version: l.Version}
	if l.Full {
		m.Kind = decision.UpdateFull
	}
	for _, e := range l.Endpoints {
		m.Backends = append(m.Backends, decision.Backend{ID: engine.BackendID(e.ID), Cell: e.Cell, State: e.State,
			Started: e.Started})
	}
	g.note("list %d full %v:%s", l.Version, l.Full, describeBackends(m.Backends))
	g.model.endpoints(m)
}

// changeList makes a random change of the list.
func (g *engineHarness) changeList() {
	defer g.lock()()
	e := &g.members[g.random.IntN(len(g.members))]
	e.State = []decision.BackendState{decision.Ready, decision.Ready, decision.Draining,
		decision.Removed}[g.random.IntN(4)]
	if e.State == decision.Ready && g.random.IntN(3) == 0 {
		e.Started = g.model.now
	}
	g.version++
	g.update = engine.EndpointList{Version: g.version, Endpoints: []engine.Endpoint{*e}}
	if g.random.IntN(10) == 0 {
		g.update = g.fullList()
	}
	close(g.changed)
	g.changed = make(chan struct{})
}

// Find gives a server whatever the list says: what is sent there is for the engine and the module to decide.
func (g *engineHarness) Find(id decision.BackendID) engine.Backend { return scriptedPeer{g, id} }

type scriptedPeer struct {
	*engineHarness
	id decision.BackendID
}

func (s scriptedPeer) Exchange(ctx context.Context, a engine.Attempt) (decision.Result, any) {
	id := decision.RequestID(a.Message.(drawnMessage))
	unlock := s.lock()
	rng := s.randomFor(3, int(id), int(s.id), int(s.model.now))
	unlock()
	if rng.IntN(4) == 0 { // a new connection is made
		select {
		case <-time.After(time.Duration(rng.IntN(300)) * milli):
		case <-ctx.Done():
		}
	}
	unlock = s.lock()
	_, may := a.SendAllowed()
	if !may || ctx.Err() != nil { // cancelled before it began, or too late
		unlock()
		return decision.NotSent, nil
	}
	s.note("send %d to %d", id, s.id)
	s.model.send(id, s.id)
	t := &modelAttempt{}
	if tries := s.model.byID[id].attempts; len(tries) > 0 {
		t = tries[len(tries)-1]
	}
	unlock()
	result, answer := s.Script.Exchange(ctx, a)
	defer s.lock()()
	s.note("outcome %d of %d", result, id)
	t.done, t.result = true, result
	return result, answer
}

func (g *engineHarness) sendRequest(id decision.RequestID, class int, give, leave time.Duration) {
	x := &engine.Request{Message: drawnMessage(id), Class: class, Timeout: give}
	x.Init()
	unlock := g.lock()
	x.Deadline = g.model.now + give
	g.note("request %d class %d", id, class)
	g.model.request(decision.Request{ID: id, Class: class, Deadline: x.Deadline}, milli)
	unlock()
	g.engine.Post(func() { g.engine.Submit(x) })
	if leave > 0 {
		time.Sleep(leave)
		g.engine.Post(func() { g.engine.ClientGone(x) })
	}
	end := <-x.Result()
	unlock = g.lock()
	g.note("end of request %d: %v", id, end.Outcome)
	r := g.model.byID[id]
	switch {
	case end.ClientGone:
		r.ended = true
	case end.Outcome == engine.Served:
		if r.ended || !slices.ContainsFunc(r.attempts, func(t *modelAttempt) bool {
			return t.done &&
				t.result == decision.OK
		}) {
			g.model.violation("rule 1", "request %d is served by nobody, or twice", id)
		}
		r.ended = true
	default:
		g.model.final(id, end.Outcome == engine.Rejected)
	}
	g.model.checkDeadlines()
	g.model.forget()
	unlock()
	time.Sleep(time.Minute)
	select {
	case <-x.Result():
		t := g.lock()
		g.model.violation("rule 1", "request %d has a second result", id)
		t()
	default:
	}
}

// runEngineHistory runs a random history through the engine and gives the violations and the trace.
func runEngineHistory(t *testing.T, seed uint64) (violations, trace []string) {
	synctest.Test(t, func(t *testing.T) {
		g := newEngineHarness(t, seed)
		ctx, cancel := context.WithCancel(t.Context())
		var all sync.WaitGroup
		all.Go(func() { g.engine.Run(ctx) })
		for id := range decision.RequestID(600) {
			unlock := g.lock()
			class, give, leave := g.random.IntN(len(g.model.config.Classes)),
				time.Duration(50+g.random.IntN(1500))*milli,
				time.Duration(0)
			if g.random.IntN(20) == 0 {
				leave = min(give, time.Duration(1+g.random.IntN(100))*milli)
			}
			gap, change := time.Duration(g.random.IntN(30))*milli, g.random.IntN(15) == 0
			unlock()
			all.Go(func() { g.sendRequest(id, class, give, leave) })
			time.Sleep(gap)
			if change {
				g.changeList()
			}
		}
		time.Sleep(2 * time.Minute)
		cancel()
		all.Wait()
		violations, trace = g.model.violations, g.trace
	})
	return violations, trace
}

// newEngineHarness starts nothing yet: the engine has its first list, and the model knows it.
func newEngineHarness(t *testing.T, seed uint64) *engineHarness {
	t.Helper()
	cfg := enginetest.Config()
	cfg.Classes = append(slices.Clone(cfg.Classes), // with windows shorter than a connection may take
		decision.Class{Name: "all", LatencyObjective: time.Second, ClientTimeout: 3 * time.Second,
			Idempotency: decision.IdempotentByKey, DeduplicationScope: decision.ScopeAll,
			DeduplicationWindow: 60 * milli, PriorityWeight: 1},
		decision.Class{Name: "cell", LatencyObjective: time.Second, ClientTimeout: 3 * time.Second,
			Idempotency: decision.IdempotentByKey, DeduplicationScope: decision.ScopeCell,
			DeduplicationWindow: 150 * milli, PriorityWeight: 1})
	rng := rand.New(rand.NewPCG(seed, 9))
	cfg.Capabilities.HedgedRequests, cfg.Capabilities.HealthChecks = rng.IntN(2) == 0, rng.IntN(2) == 0
	g := &engineHarness{seed: seed, random: rng, version: math.MaxUint32 - 3, changed: make(chan struct{})} // wraps
	g.model = newModel(cfg, &backendLoads{speed: map[decision.BackendID]float64{},
		sent: map[decision.BackendID][]workSent{}, slack: time.Hour})
	g.model.drainGraceOnly = true
	for i := range 1 + rng.IntN(6) {
		g.members = append(g.members, engine.Endpoint{ID: fmt.Sprint("s", i), Addr: "127.0.0.1:1",
			State: decision.Ready, Cell: i % 2, Weight: 1})
	}
	g.update = g.fullList()
	g.Next = g.nextStep
	e, err := engine.New(engine.Options{Decision: cfg, Seed: seed, InitialEndpoints: g.update, Upstream: g,
		Source: g})
	if err != nil {
		t.Fatal(err)
	}
	g.engine = e
	unlock := g.lock()
	g.reportList(g.update)
	unlock()
	return g
}

// nextStep scripts what a server does with an attempt.
func (g *engineHarness) nextStep(_ int, a engine.Attempt) enginetest.Step {
	defer g.lock()()
	id := a.Message.(drawnMessage)
	rng := g.randomFor(2, int(id), len(g.model.byID[decision.RequestID(id)].attempts))
	r := enginetest.Step{Delay: time.Duration(rng.IntN(80)) * milli, Response: "x",
		IgnoresCancel: rng.IntN(20) == 0}
	if rng.IntN(4) == 0 {
		r.Result = []decision.Result{decision.Error, decision.Rejected, decision.Timeout,
			decision.ConnectFailed, decision.Reset, decision.NotSent}[rng.IntN(6)]
	}
	if rng.IntN(15) == 0 {
		r.Delay, r.IgnoresCancel = time.Hour, false
	}
	return r
}

func TestEngineFollowsModel(t *testing.T) {
	for seed := range uint64(12) {
		if broken, trace := runEngineHistory(t, seed); len(broken) > 0 {
			reportViolation(t, seed, broken[:min(3, len(broken))], trace, len(trace))
			return
		}
	}
}

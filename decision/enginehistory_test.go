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

// engineHarness runs an engine with random requests, a random endpoint list and scripted servers, and reports each
// event to the model. A send is reported when a server receives it, after the engine's own delays, so the model's rule
// on drains is checked with its grace period only.
type engineHarness struct {
	enginetest.Script
	mu      sync.Mutex
	seed    uint64
	random  *rand.Rand // for the requests and the list; goroutines use randomFor
	model   *model
	engine  *engine.Engine
	members []engine.Endpoint
	version uint32
	changed chan struct{}       // closed at each change of the list
	update  engine.EndpointList // the latest change
	trace   []string
}

// requestMessage is the message of a request: only its ID.
type requestMessage decision.RequestID

func (requestMessage) Consumed() bool { return false }

// lock locks the harness, sets the model's clock to the engine's, and returns the function that unlocks.
func (g *engineHarness) lock() func() {
	g.mu.Lock()
	g.model.now = g.engine.Clock().Now()
	return g.mu.Unlock
}

// tracef adds a line to the trace. The lock must be held.
func (g *engineHarness) tracef(format string, args ...any) {
	g.trace = append(g.trace, fmt.Sprintf("%v ", g.model.now)+fmt.Sprintf(format, args...))
}

// randomFor returns a random source for a purpose, which is given by numbers. Goroutines that run at the same simulated
// time run in any order, so a shared source would make runs irreproducible.
func (g *engineHarness) randomFor(purpose ...int) *rand.Rand {
	h := g.seed
	for _, n := range purpose {
		h = h*1_000_003 + uint64(n)
	}
	return rand.New(rand.NewPCG(h, 11))
}

func (g *engineHarness) Addr() string { return "simulated" }
func (g *engineHarness) Close()       {}

func (g *engineHarness) Fetch(context.Context) (engine.EndpointList, error) {
	defer g.lock()()
	l := g.fullList()
	g.reportList(l)
	return l, nil
}

func (g *engineHarness) Watch(ctx context.Context, from uint32, onUpdate func(engine.EndpointList)) error {
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
			return errors.New("simulated failure of the watch")
		}
		onUpdate(l)
		from = l.Version
	}
}

// fullList returns the current list.
func (g *engineHarness) fullList() engine.EndpointList {
	return engine.EndpointList{Version: g.version, Full: true, Endpoints: slices.Clone(g.members)}
}

// reportList reports an endpoint list to the model. The lock must be held.
func (g *engineHarness) reportList(l engine.EndpointList) {
	m := decision.EndpointUpdate{Kind: decision.UpdateDelta, Version: l.Version}
	if l.Full {
		m.Kind = decision.UpdateFull
	}
	for _, e := range l.Endpoints {
		m.Backends = append(m.Backends, decision.Backend{ID: engine.BackendID(e.ID), Cell: e.Cell, State: e.State,
			Started: e.Started})
	}
	g.tracef("endpoint list, version %d, full %v:%s", l.Version, l.Full, describeBackends(m.Backends))
	g.model.endpoints(m)
}

// changeList makes a random change to the list.
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

// Find returns a server for any ID, listed or not: the engine and the Balancer decide what is sent there.
func (g *engineHarness) Find(id decision.BackendID) engine.Backend { return scriptedPeer{g, id} }

type scriptedPeer struct {
	*engineHarness
	id decision.BackendID
}

func (s scriptedPeer) Exchange(ctx context.Context, a engine.Attempt) (decision.Result, any) {
	id := decision.RequestID(a.Message.(requestMessage))
	unlock := s.lock()
	rng := s.randomFor(3, int(id), int(s.id), int(s.model.now))
	unlock()
	if rng.IntN(4) == 0 { // the time that a new connection takes
		select {
		case <-time.After(time.Duration(rng.IntN(300)) * milli):
		case <-ctx.Done():
		}
	}
	unlock = s.lock()
	_, may := a.SendAllowed()
	if !may || ctx.Err() != nil { // cancelled before it was sent, or too late
		unlock()
		return decision.NotSent, nil
	}
	s.tracef("send request %d to backend %d", id, s.id)
	s.model.send(id, s.id)
	t := &modelAttempt{}
	if attempts := s.model.byID[id].attempts; len(attempts) > 0 {
		t = attempts[len(attempts)-1]
	}
	unlock()
	result, answer := s.Script.Exchange(ctx, a)
	defer s.lock()()
	s.tracef("outcome %s of request %d", resultName(result), id)
	t.done, t.result = true, result
	return result, answer
}

// sendRequest submits a request and waits for its result. If leaveAfter is above 0, the client leaves after it.
func (g *engineHarness) sendRequest(id decision.RequestID, class int, timeout, leaveAfter time.Duration) {
	x := &engine.Request{Message: requestMessage(id), Class: class, Timeout: timeout}
	x.Init()
	unlock := g.lock()
	x.Deadline = g.model.now + timeout
	g.tracef("request %d class %d", id, class)
	g.model.request(decision.Request{ID: id, Class: class, Deadline: x.Deadline}, milli)
	unlock()
	g.engine.Post(func() { g.engine.Submit(x) })
	if leaveAfter > 0 {
		time.Sleep(leaveAfter)
		g.engine.Post(func() { g.engine.ClientGone(x) })
	}
	end := <-x.Result()
	unlock = g.lock()
	g.tracef("end of request %d: %v", id, end.Outcome)
	r := g.model.byID[id]
	switch {
	case end.ClientGone:
		r.ended = true
	case end.Outcome == engine.Served:
		if r.ended || !slices.ContainsFunc(r.attempts, (*modelAttempt).succeeded) {
			g.model.violation(ruleFinalAnswer, "request %d ended as Served, but it already had its final answer or "+
				"none of its attempts ended with OK", id)
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
		unlock = g.lock()
		g.model.violation(ruleFinalAnswer, "request %d got a second result", id)
		unlock()
	default:
	}
}

// runEngineHistory runs a random history through the engine and returns the model's violations and the trace.
func runEngineHistory(t *testing.T, seed uint64) (violations, trace []string) {
	synctest.Test(t, func(t *testing.T) {
		g := newEngineHarness(t, seed)
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { g.engine.Run(ctx) })
		for id := range decision.RequestID(600) {
			unlock := g.lock()
			class, timeout, leaveAfter := g.random.IntN(len(g.model.config.Classes)),
				time.Duration(50+g.random.IntN(1500))*milli,
				time.Duration(0)
			if g.random.IntN(20) == 0 {
				leaveAfter = min(timeout, time.Duration(1+g.random.IntN(100))*milli)
			}
			gap, change := time.Duration(g.random.IntN(30))*milli, g.random.IntN(15) == 0
			unlock()
			running.Go(func() { g.sendRequest(id, class, timeout, leaveAfter) })
			time.Sleep(gap)
			if change {
				g.changeList()
			}
		}
		time.Sleep(2 * time.Minute)
		cancel()
		running.Wait()
		violations, trace = g.model.violations, g.trace
	})
	return violations, trace
}

// newEngineHarness returns a harness whose engine is not running yet. The engine and the model have the first list.
func newEngineHarness(t *testing.T, seed uint64) *engineHarness {
	t.Helper()
	cfg := enginetest.Config()
	// The deduplication windows are shorter than a connection may take.
	cfg.Classes = append(slices.Clone(cfg.Classes),
		decision.Class{Name: "all", LatencyObjective: time.Second, ClientTimeout: 3 * time.Second,
			Idempotency: decision.IdempotentByKey, DeduplicationScope: decision.ScopeAll,
			DeduplicationWindow: 60 * milli, PriorityWeight: 1},
		decision.Class{Name: "cell", LatencyObjective: time.Second, ClientTimeout: 3 * time.Second,
			Idempotency: decision.IdempotentByKey, DeduplicationScope: decision.ScopeCell,
			DeduplicationWindow: 150 * milli, PriorityWeight: 1})
	rng := rand.New(rand.NewPCG(seed, 9))
	cfg.Capabilities.HedgedRequests, cfg.Capabilities.HealthChecks = rng.IntN(2) == 0, rng.IntN(2) == 0
	// The list's version wraps around after some changes.
	g := &engineHarness{seed: seed, random: rng, version: math.MaxUint32 - 3, changed: make(chan struct{})}
	g.model = newModel(cfg, &backendLoads{speed: map[decision.BackendID]float64{},
		sent: map[decision.BackendID][]sentWork{}, slack: time.Hour})
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
		t.Fatalf("engine.New: %v", err)
	}
	g.engine = e
	unlock := g.lock()
	g.reportList(g.update)
	unlock()
	return g
}

// nextStep returns the random behaviour of a server for an attempt.
func (g *engineHarness) nextStep(_ int, a engine.Attempt) enginetest.Step {
	defer g.lock()()
	id := a.Message.(requestMessage)
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

// An engine with its Balancer violates none of the model's rules in random histories.
func TestEngineFollowsModel(t *testing.T) {
	for seed := range uint64(12) {
		if violations, trace := runEngineHistory(t, seed); len(violations) > 0 {
			reportViolation(t, seed, violations[:min(3, len(violations))], trace, len(trace))
			return
		}
	}
}

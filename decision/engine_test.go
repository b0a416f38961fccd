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

// rig is an engine between drawn requests, a drawn list and servers scripted by its conformance kit, with the model
// beside it. What goes out counts when a server has it, so of the third rule the grace is looked at.
type rig struct {
	enginetest.Script
	mu      sync.Mutex
	seed    uint64
	rng     *rand.Rand // of the requests and of the list; what goroutines draw comes from draw
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

func (g *rig) lock() func() {
	g.mu.Lock()
	g.model.now = g.engine.Clock().Now()
	return g.mu.Unlock
}

func (g *rig) note(format string, args ...any) {
	g.trace = append(g.trace, fmt.Sprintf("%v ", g.model.now)+fmt.Sprintf(format, args...))
}

// draw gives a source of its own to each purpose: goroutines of one moment run in any order.
func (g *rig) draw(of ...int) *rand.Rand {
	h := g.seed
	for _, n := range of {
		h = h*1_000_003 + uint64(n)
	}
	return rand.New(rand.NewPCG(h, 11))
}

// ---- the list ----

func (g *rig) Addr() string { return "drawn" }
func (g *rig) Close()       {}

func (g *rig) Fetch(context.Context) (engine.EndpointList, error) {
	defer g.lock()()
	l := g.whole()
	g.told(l)
	return l, nil
}

func (g *rig) Watch(ctx context.Context, from uint32, tell func(engine.EndpointList)) error {
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
			l = g.whole()
		}
		fails := g.draw(1, int(g.version), int(g.model.now)).IntN(20) == 0
		if !fails {
			g.told(l)
		}
		unlock()
		if fails {
			return errors.New("drawn")
		}
		tell(l)
		from = l.Version
	}
}

// whole is the list as it is now.
func (g *rig) whole() engine.EndpointList {
	return engine.EndpointList{Version: g.version, Full: true, Endpoints: slices.Clone(g.members)}
}

// told tells the model of a list. The lock must be held.
func (g *rig) told(l engine.EndpointList) {
	m := decision.EndpointUpdate{Kind: decision.UpdateDelta, Version: l.Version}
	if l.Full {
		m.Kind = decision.UpdateFull
	}
	for _, e := range l.Endpoints {
		m.Backends = append(m.Backends, decision.Backend{ID: engine.BackendID(e.ID), Cell: e.Cell, State: e.State, Started: e.Started})
	}
	g.note("told of list %d full %v:%s", l.Version, l.Full, brief(m.Backends))
	g.model.list(m)
}

// change draws a change of the list.
func (g *rig) change() {
	defer g.lock()()
	e := &g.members[g.rng.IntN(len(g.members))]
	e.State = []decision.BackendState{decision.Ready, decision.Ready, decision.Draining, decision.Removed}[g.rng.IntN(4)]
	if e.State == decision.Ready && g.rng.IntN(3) == 0 {
		e.Started = g.model.now
	}
	g.version++
	g.update = engine.EndpointList{Version: g.version, Endpoints: []engine.Endpoint{*e}}
	if g.rng.IntN(10) == 0 {
		g.update = g.whole()
	}
	close(g.changed)
	g.changed = make(chan struct{})
}

// ---- servers ----

// Find gives a server whatever the list says: what is sent there is for the engine and the module to decide.
func (g *rig) Find(id decision.BackendID) engine.Backend { return scripted{g, id} }

type scripted struct {
	*rig
	id decision.BackendID
}

func (s scripted) Exchange(ctx context.Context, a engine.Attempt) (decision.Result, any) {
	id := decision.RequestID(a.Message.(drawnMessage))
	unlock := s.lock()
	rng := s.draw(3, int(id), int(s.id), int(s.model.now))
	unlock()
	if rng.IntN(4) == 0 { // a new connection is made
		select {
		case <-time.After(time.Duration(rng.IntN(300)) * milli):
		case <-ctx.Done():
		}
	}
	unlock = s.lock()
	_, may := a.SendAllowed()
	if !may || ctx.Err() != nil { // called off before it began, or too late
		unlock()
		return decision.NotSent, nil
	}
	s.note("send %d to %d", id, s.id)
	s.model.send(id, s.id)
	t := &try{}
	if tries := s.model.byID[id].tries; len(tries) > 0 {
		t = tries[len(tries)-1]
	}
	unlock()
	result, answer := s.Script.Exchange(ctx, a)
	defer s.lock()()
	s.note("outcome %d of %d", result, id)
	t.over, t.result = true, result
	return result, answer
}

// ---- requests ----

func (g *rig) ask(id decision.RequestID, class int, give, leave time.Duration) {
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
		r.over = true
	case end.Outcome == engine.Served:
		if r.over || !slices.ContainsFunc(r.tries, func(t *try) bool { return t.over && t.result == decision.OK }) {
			g.model.breaks("rule 1", "request %d is served by nobody, or twice", id)
		}
		r.over = true
	default:
		g.model.final(id, end.Outcome == engine.Rejected)
	}
	g.model.late()
	g.model.forget()
	unlock()
	time.Sleep(time.Minute)
	select {
	case <-x.Result():
		t := g.lock()
		g.model.breaks("rule 1", "request %d has a second result", id)
		t()
	default:
	}
}

// playEngine draws a run through the engine and gives what it broke, and the trace.
func playEngine(t *testing.T, seed uint64) (broken, trace []string) {
	synctest.Test(t, func(t *testing.T) {
		cfg := enginetest.Config()
		cfg.Classes = append(slices.Clone(cfg.Classes), // with windows shorter than a connection may take
			decision.Class{Name: "all", LatencyObjective: time.Second, ClientTimeout: 3 * time.Second, Idempotency: decision.IdempotentByKey, DeduplicationScope: decision.ScopeAll, DeduplicationWindow: 60 * milli, PriorityWeight: 1},
			decision.Class{Name: "cell", LatencyObjective: time.Second, ClientTimeout: 3 * time.Second, Idempotency: decision.IdempotentByKey, DeduplicationScope: decision.ScopeCell, DeduplicationWindow: 150 * milli, PriorityWeight: 1})
		rng := rand.New(rand.NewPCG(seed, 9))
		cfg.Capabilities.HedgedRequests, cfg.Capabilities.HealthChecks = rng.IntN(2) == 0, rng.IntN(2) == 0
		g := &rig{seed: seed, rng: rng, version: math.MaxUint32 - 3, changed: make(chan struct{})} // wraps
		g.model = newModel(cfg, &books{speed: map[decision.BackendID]float64{}, sent: map[decision.BackendID][]work{}, slack: time.Hour})
		g.model.graceOnly = true
		for i := range 1 + rng.IntN(6) {
			g.members = append(g.members, engine.Endpoint{ID: fmt.Sprint("s", i), Addr: "127.0.0.1:1", State: decision.Ready, Cell: i % 2, Weight: 1})
		}
		g.update = g.whole()
		g.Next = func(_ int, a engine.Attempt) enginetest.Step {
			defer g.lock()()
			id := a.Message.(drawnMessage)
			rng := g.draw(2, int(id), len(g.model.byID[decision.RequestID(id)].tries))
			r := enginetest.Step{Delay: time.Duration(rng.IntN(80)) * milli, Response: "x", IgnoresCancel: rng.IntN(20) == 0}
			if rng.IntN(4) == 0 {
				r.Result = []decision.Result{decision.Error, decision.Rejected, decision.Timeout, decision.ConnectFailed, decision.Reset, decision.NotSent}[rng.IntN(6)]
			}
			if rng.IntN(15) == 0 {
				r.Delay, r.IgnoresCancel = time.Hour, false
			}
			return r
		}
		e, err := engine.New(engine.Options{Decision: cfg, Seed: seed, InitialEndpoints: g.update, Upstream: g, Source: g})
		if err != nil {
			t.Fatal(err)
		}
		g.engine = e
		unlock := g.lock()
		g.told(g.update)
		unlock()
		ctx, cancel := context.WithCancel(t.Context())
		var all sync.WaitGroup
		all.Go(func() { e.Run(ctx) })
		for id := range decision.RequestID(600) {
			unlock := g.lock()
			class, give, leave := g.rng.IntN(len(cfg.Classes)), time.Duration(50+g.rng.IntN(1500))*milli, time.Duration(0)
			if g.rng.IntN(20) == 0 {
				leave = min(give, time.Duration(1+g.rng.IntN(100))*milli)
			}
			gap, change := time.Duration(g.rng.IntN(30))*milli, g.rng.IntN(15) == 0
			unlock()
			all.Go(func() { g.ask(id, class, give, leave) })
			time.Sleep(gap)
			if change {
				g.change()
			}
		}
		time.Sleep(2 * time.Minute)
		cancel()
		all.Wait()
		broken, trace = g.model.broken, g.trace
	})
	return broken, trace
}

func TestTheEngineKeepsToTheModel(t *testing.T) {
	for seed := range uint64(12) {
		if broken, trace := playEngine(t, seed); len(broken) > 0 {
			convict(t, seed, broken[:min(3, len(broken))], trace, len(trace))
			return
		}
	}
}

// Package guardedsource puts the rules of coming back (package comeback) between a register and those who follow it: calls for the
// list wait their turn, and a list that suddenly lacks many servers is not believed at once.
package guardedsource

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"lapisspread/decision"
	"lapisspread/internal/discovery/listguard"
	"lapisspread/internal/engine"
)

// Plan is what a process goes by. It is for any goroutine.
type Plan struct {
	file    *File
	proxies int
	seed    uint64
	now     func() time.Duration
	log     *slog.Logger
	most    time.Duration // the longest rest between two calls, whatever the file says; 0 is no such bound

	mu     sync.Mutex
	guards map[string]*guarded
	calls  map[string]*listguard.Calls // by name, as guards
	counts Counts
	held   map[string]Held // by address
}

// Held is a list as a register has told it.
type Held struct {
	List engine.List   `json:"list"`
	At   time.Duration `json:"at"` // when it last answered, by the plan's clock; 0 is never
}

// Held tells the lists of all registers, by address.
func (p *Plan) Held() map[string]Held {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.held)
}

// hold takes a list into what is held of a register.
func (p *Plan) hold(addr string, told engine.List) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.held[addr]
	h.At = p.now()
	switch {
	case told.Full:
		h.List = told
	case !told.Past(h.List.Version):
		members := slices.Clone(h.List.Members) // of which others hold the old ones
		for _, m := range told.Members {
			members = slices.DeleteFunc(members, func(o engine.Member) bool { return o.ID == m.ID })
			if m.State != decision.Removed {
				members = append(members, m)
			}
		}
		h.List = engine.List{Version: told.Version, Full: true, Members: members}
	}
	p.held[addr] = h
}

// guarded is a guard with the lock under which lists go through it, so that they keep their order.
type guarded struct {
	mu    sync.Mutex
	guard *listguard.Guard
}

// Counts are what the calls for the list have come to.
type Counts struct {
	Calls  int64 `json:"calls"`
	Failed int64 `json:"failed"`
	Later  int64 `json:"told_to_come_back_later"`
}

// NewPlan makes the plan of one of so many proxies. The seed must be another one for each process.
func NewPlan(f *File, proxies int, seed uint64, now func() time.Duration, log *slog.Logger) *Plan {
	return &Plan{file: f, proxies: proxies, seed: seed, now: now, log: log, guards: map[string]*guarded{}, calls: map[string]*listguard.Calls{},
		held: map[string]Held{}}
}

// Within has no call rest longer, whatever the file and the register say. Danger: what a register has counts as told soon after it
// could be reached, however many it has turned away.
func (p *Plan) Within(most time.Duration) *Plan {
	p.most = most
	return p
}

// Later is an error by which a register says when to come back.
type Later interface{ RetryAfter() time.Duration }

// Wrap puts the rules before a source. What it knows of a register is kept by the name: sources of one name are one register,
// wherever it has moved. Known is the list that the process knows of it from elsewhere.
func (p *Plan) Wrap(name string, inner engine.Source, known engine.List) *Source {
	s := &Source{Source: inner, plan: p}
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, any := p.held[inner.Addr()]; !any {
		p.held[inner.Addr()] = Held{List: known}
	}
	if set, on := p.file.guard(); on {
		if p.guards[name] == nil {
			g, err := listguard.NewGuard(set, known)
			if err != nil { // the file was checked
				panic(err)
			}
			p.guards[name] = &guarded{guard: g}
		}
		s.guard = p.guards[name]
	}
	if set, on := p.file.calls(p.proxies, p.seed); on {
		if p.calls[name] == nil {
			if p.most > 0 {
				set.Most = max(min(set.Most, p.most/2), listguard.LeastRest) // a turn may be added to it
			}
			c, err := listguard.NewCalls(set)
			if err != nil { // the file was checked
				panic(err)
			}
			p.calls[name] = c
		}
		s.calls = p.calls[name]
	}
	return s
}

// Report is how a plan stands.
type Report struct {
	Counts
	FailedInARow int   `json:"failed_in_a_row"`
	Doubted      int64 `json:"lists_doubted"`
	Kept         int64 `json:"servers_kept"`
	Back         int64 `json:"servers_back"`
	Dropped      int64 `json:"servers_dropped"`
	Missing      int   `json:"servers_missing_now"`
}

// Report tells how it stands.
func (p *Plan) Report() Report {
	p.mu.Lock()
	r := Report{Counts: p.counts}
	for _, c := range p.calls {
		r.FailedInARow = max(r.FailedInARow, c.InARow())
	}
	guards := make([]*guarded, 0, len(p.guards))
	for _, g := range p.guards {
		guards = append(guards, g)
	}
	p.mu.Unlock()
	for _, g := range guards {
		g.mu.Lock()
		c := g.guard.Counts()
		r.Doubted, r.Kept, r.Back, r.Dropped, r.Missing = r.Doubted+c.Doubted, r.Kept+c.Kept, r.Back+c.Back, r.Dropped+c.Dropped, r.Missing+g.guard.Missing()
		g.mu.Unlock()
	}
	return r
}

// Source is a register with the rules before it.
type Source struct {
	engine.Source
	plan  *Plan
	guard *guarded         // nil believes all
	calls *listguard.Calls // nil waits for nothing; the plan's lock guards it
}

var _ engine.Source = (*Source)(nil)

// Hold is for how long a watch is to be held; usual is it without the rules.
func (s *Source) Hold(usual time.Duration) time.Duration {
	if s.calls == nil {
		return usual
	}
	s.plan.mu.Lock()
	defer s.plan.mu.Unlock()
	return s.calls.Hold()
}

// Fetch asks for the whole list in its turn.
func (s *Source) Fetch(ctx context.Context) (engine.List, error) {
	if err := s.turn(ctx); err != nil {
		return engine.List{}, err
	}
	list, err := s.Source.Fetch(ctx)
	s.note(ctx, err)
	if err != nil {
		return list, err
	}
	s.plan.hold(s.Addr(), list)
	return s.take(list), nil
}

// Watch tells of each answer, and of what time alone changes in the list, until the watch fails or ctx ends.
func (s *Source) Watch(ctx context.Context, from uint32, tell func(engine.List)) error {
	if err := s.turn(ctx); err != nil {
		return err
	}
	inner, cancel := context.WithCancel(ctx)
	changed := make(chan struct{}, 1)
	var running sync.WaitGroup
	defer func() { cancel(); running.Wait() }()
	if s.guard != nil {
		running.Go(func() { s.elapse(inner, changed, tell) })
	}
	err := s.Source.Watch(ctx, from, func(list engine.List) {
		s.note(ctx, nil)
		s.plan.hold(s.Addr(), list)
		if s.guard == nil {
			tell(list)
			return
		}
		s.guard.mu.Lock()
		tell(s.believe(list))
		s.guard.mu.Unlock()
		select {
		case changed <- struct{}{}:
		default:
		}
	})
	s.note(ctx, err)
	return err
}

// elapse drops servers once they have been kept for long enough.
func (s *Source) elapse(ctx context.Context, changed <-chan struct{}, tell func(engine.List)) {
	for {
		s.guard.mu.Lock()
		if list, over := s.guard.guard.Elapse(s.plan.now()); over {
			s.plan.log.Warn("servers that the register names no more are given up", "left", len(list.Members))
			tell(list)
		}
		due, any := s.guard.guard.Due()
		s.guard.mu.Unlock()
		var timer <-chan time.Time
		if any {
			timer = time.After(max(0, due-s.plan.now()))
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-timer:
		}
	}
}

func (s *Source) take(list engine.List) engine.List {
	if s.guard == nil {
		return list
	}
	s.guard.mu.Lock()
	defer s.guard.mu.Unlock()
	return s.believe(list)
}

// believe has the guard look at a list. Its lock is held.
func (s *Source) believe(list engine.List) engine.List {
	before := s.guard.guard.Counts()
	out := s.guard.guard.Take(s.plan.now(), list)
	if c := s.guard.guard.Counts(); c.Doubted != before.Doubted {
		s.plan.log.Warn("a list lacks many servers, which are kept for a while", "named", len(list.Members), "kept", c.Kept-before.Kept)
	}
	return out
}

// turn waits until a call may be made.
func (s *Source) turn(ctx context.Context) error {
	if s.calls == nil {
		return ctx.Err()
	}
	s.plan.mu.Lock()
	wait := s.calls.Wait(s.plan.now())
	s.plan.counts.Calls++
	s.plan.mu.Unlock()
	if wait == 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// note takes in how a call ended, unless it was called off.
func (s *Source) note(ctx context.Context, err error) {
	if s.calls == nil || ctx.Err() != nil {
		return
	}
	s.plan.mu.Lock()
	defer s.plan.mu.Unlock()
	if err == nil {
		s.calls.Answered()
		return
	}
	var after time.Duration
	if later := Later(nil); errors.As(err, &later) {
		after = later.RetryAfter()
	}
	if after > 0 {
		s.plan.counts.Later++
	}
	s.plan.counts.Failed++
	s.calls.Failed(s.plan.now(), after)
}

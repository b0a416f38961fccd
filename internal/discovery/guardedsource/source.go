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

// Coordinator is what a process goes by. It is for any goroutine.
type Coordinator struct {
	file       *File
	proxies    int
	seed       uint64
	now        func() time.Duration
	log        *slog.Logger
	maxBackoff time.Duration // the longest rest between two calls, whatever the file says; 0 is no such bound

	mu          sync.Mutex
	guards      map[string]*lockedGuard
	pacers      map[string]*listguard.Pacer // by name, as guards
	stats       CallStats
	cachedLists map[string]CachedList // by address
}

// CachedList is a list as a register has told it.
type CachedList struct {
	Endpoints  engine.EndpointList `json:"list"`
	AnsweredAt time.Duration       `json:"at"` // when it last answered, by the plan's clock; 0 is never
}

// CachedLists tells the lists of all registers, by address.
func (p *Coordinator) CachedLists() map[string]CachedList {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.cachedLists)
}

// cache takes a list into what is held of a register.
func (p *Coordinator) cache(addr string, told engine.EndpointList) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.cachedLists[addr]
	h.AnsweredAt = p.now()
	switch {
	case told.Full:
		h.Endpoints = told
	case !told.OlderThan(h.Endpoints.Version):
		members := slices.Clone(h.Endpoints.Endpoints) // of which others hold the old ones
		for _, m := range told.Endpoints {
			members = slices.DeleteFunc(members, func(o engine.Endpoint) bool { return o.ID == m.ID })
			if m.State != decision.Removed {
				members = append(members, m)
			}
		}
		h.Endpoints = engine.EndpointList{Version: told.Version, Full: true, Endpoints: members}
	}
	p.cachedLists[addr] = h
}

// lockedGuard is a guard with the lock under which lists go through it, so that they keep their order.
type lockedGuard struct {
	mu    sync.Mutex
	guard *listguard.Guard
}

// CallStats are what the calls for the list have come to.
type CallStats struct {
	Calls    int64 `json:"calls"`
	Failed   int64 `json:"failed"`
	Deferred int64 `json:"told_to_come_back_later"`
}

// NewCoordinator makes the plan of one of so many proxies. The seed must be another one for each process.
func NewCoordinator(f *File, proxies int, seed uint64, now func() time.Duration, log *slog.Logger) *Coordinator {
	return &Coordinator{file: f, proxies: proxies, seed: seed, now: now, log: log, guards: map[string]*lockedGuard{}, pacers: map[string]*listguard.Pacer{},
		cachedLists: map[string]CachedList{}}
}

// LimitBackoff has no call rest longer, whatever the file and the register say. Danger: what a register has counts as told soon after it
// could be reached, however many it has turned away.
func (p *Coordinator) LimitBackoff(most time.Duration) *Coordinator {
	p.maxBackoff = most
	return p
}

// RetryAfterError is an error by which a register says when to come back.
type RetryAfterError interface{ RetryAfter() time.Duration }

// Wrap puts the rules before a source. What it knows of a register is kept by the name: sources of one name are one register,
// wherever it has moved. Known is the list that the process knows of it from elsewhere.
func (p *Coordinator) Wrap(name string, inner engine.Source, known engine.EndpointList) *Source {
	s := &Source{Source: inner, coordinator: p}
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, any := p.cachedLists[inner.Addr()]; !any {
		p.cachedLists[inner.Addr()] = CachedList{Endpoints: known}
	}
	if set, on := p.file.guardSettings(); on {
		if p.guards[name] == nil {
			g, err := listguard.NewGuard(set, known)
			if err != nil { // the file was checked
				panic(err)
			}
			p.guards[name] = &lockedGuard{guard: g}
		}
		s.guard = p.guards[name]
	}
	if set, on := p.file.pacingSettings(p.proxies, p.seed); on {
		if p.pacers[name] == nil {
			if p.maxBackoff > 0 {
				set.MaxBackoff = max(min(set.MaxBackoff, p.maxBackoff/2), listguard.MinBackoff) // a turn may be added to it
			}
			c, err := listguard.NewPacer(set)
			if err != nil { // the file was checked
				panic(err)
			}
			p.pacers[name] = c
		}
		s.pacer = p.pacers[name]
	}
	return s
}

// Report is how a plan stands.
type Report struct {
	CallStats
	ConsecutiveFailures int   `json:"failed_in_a_row"`
	SuspectLists        int64 `json:"lists_doubted"`
	Retained            int64 `json:"servers_kept"`
	Returned            int64 `json:"servers_back"`
	Dropped             int64 `json:"servers_dropped"`
	Missing             int   `json:"servers_missing_now"`
}

// Report tells how it stands.
func (p *Coordinator) Report() Report {
	p.mu.Lock()
	r := Report{CallStats: p.stats}
	for _, c := range p.pacers {
		r.ConsecutiveFailures = max(r.ConsecutiveFailures, c.ConsecutiveFailures())
	}
	guards := make([]*lockedGuard, 0, len(p.guards))
	for _, g := range p.guards {
		guards = append(guards, g)
	}
	p.mu.Unlock()
	for _, g := range guards {
		g.mu.Lock()
		c := g.guard.Stats()
		r.SuspectLists, r.Retained, r.Returned, r.Dropped, r.Missing = r.SuspectLists+c.SuspectLists, r.Retained+c.Retained, r.Returned+c.Returned, r.Dropped+c.Dropped, r.Missing+g.guard.Missing()
		g.mu.Unlock()
	}
	return r
}

// Source is a register with the rules before it.
type Source struct {
	engine.Source
	coordinator *Coordinator
	guard       *lockedGuard     // nil believes all
	pacer       *listguard.Pacer // nil waits for nothing; the plan's lock guards it
}

var _ engine.Source = (*Source)(nil)

// WatchTimeout is for how long a watch is to be held; usual is it without the rules.
func (s *Source) WatchTimeout(usual time.Duration) time.Duration {
	if s.pacer == nil {
		return usual
	}
	s.coordinator.mu.Lock()
	defer s.coordinator.mu.Unlock()
	return s.pacer.WatchTimeout()
}

// Fetch asks for the whole list in its turn.
func (s *Source) Fetch(ctx context.Context) (engine.EndpointList, error) {
	if err := s.waitTurn(ctx); err != nil {
		return engine.EndpointList{}, err
	}
	list, err := s.Source.Fetch(ctx)
	s.recordResult(ctx, err)
	if err != nil {
		return list, err
	}
	s.coordinator.cache(s.Addr(), list)
	return s.filter(list), nil
}

// Watch tells of each answer, and of what time alone changes in the list, until the watch fails or ctx ends.
func (s *Source) Watch(ctx context.Context, from uint32, tell func(engine.EndpointList)) error {
	if err := s.waitTurn(ctx); err != nil {
		return err
	}
	inner, cancel := context.WithCancel(ctx)
	changed := make(chan struct{}, 1)
	var running sync.WaitGroup
	defer func() { cancel(); running.Wait() }()
	if s.guard != nil {
		running.Go(func() { s.expireRetained(inner, changed, tell) })
	}
	err := s.Source.Watch(ctx, from, func(list engine.EndpointList) {
		s.recordResult(ctx, nil)
		s.coordinator.cache(s.Addr(), list)
		if s.guard == nil {
			tell(list)
			return
		}
		s.guard.mu.Lock()
		tell(s.filterLocked(list))
		s.guard.mu.Unlock()
		select {
		case changed <- struct{}{}:
		default:
		}
	})
	s.recordResult(ctx, err)
	return err
}

// expireRetained drops servers once they have been kept for long enough.
func (s *Source) expireRetained(ctx context.Context, changed <-chan struct{}, tell func(engine.EndpointList)) {
	for {
		s.guard.mu.Lock()
		if list, over := s.guard.guard.Expire(s.coordinator.now()); over {
			s.coordinator.log.Warn("servers that the register names no more are given up", "left", len(list.Endpoints))
			tell(list)
		}
		due, any := s.guard.guard.NextExpiry()
		s.guard.mu.Unlock()
		var timer <-chan time.Time
		if any {
			timer = time.After(max(0, due-s.coordinator.now()))
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-timer:
		}
	}
}

func (s *Source) filter(list engine.EndpointList) engine.EndpointList {
	if s.guard == nil {
		return list
	}
	s.guard.mu.Lock()
	defer s.guard.mu.Unlock()
	return s.filterLocked(list)
}

// filterLocked has the guard look at a list. Its lock is held.
func (s *Source) filterLocked(list engine.EndpointList) engine.EndpointList {
	before := s.guard.guard.Stats()
	out := s.guard.guard.Apply(s.coordinator.now(), list)
	if c := s.guard.guard.Stats(); c.SuspectLists != before.SuspectLists {
		s.coordinator.log.Warn("a list lacks many servers, which are kept for a while", "named", len(list.Endpoints), "kept", c.Retained-before.Retained)
	}
	return out
}

// waitTurn waits until a call may be made.
func (s *Source) waitTurn(ctx context.Context) error {
	if s.pacer == nil {
		return ctx.Err()
	}
	s.coordinator.mu.Lock()
	wait := s.pacer.Wait(s.coordinator.now())
	s.coordinator.stats.Calls++
	s.coordinator.mu.Unlock()
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

// recordResult takes in how a call ended, unless it was called off.
func (s *Source) recordResult(ctx context.Context, err error) {
	if s.pacer == nil || ctx.Err() != nil {
		return
	}
	s.coordinator.mu.Lock()
	defer s.coordinator.mu.Unlock()
	if err == nil {
		s.pacer.Succeeded()
		return
	}
	var after time.Duration
	if later := RetryAfterError(nil); errors.As(err, &later) {
		after = later.RetryAfter()
	}
	if after > 0 {
		s.coordinator.stats.Deferred++
	}
	s.coordinator.stats.Failed++
	s.pacer.Failed(s.coordinator.now(), after)
}
